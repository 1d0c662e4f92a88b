"""Measures admission and fair queueing in simulations."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.admission import FairQueue
from cardamomquay.admission import StaticSplitAdmission
from cardamomquay.admission import Ticket
from cardamomquay.admission import TokenBucket
from cardamomquay.config import Organisation
from cardamomquay_dev.lending_fleet import LendingFleet
from cardamomquay_dev.simulated_time import EventLoop

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Sequence

HOSTS = {f"{region}{i}": region for region in ("mtl", "qc", "sag") for i in range(3)}
# One large, two middle-sized and one small organisation; "tight" has a small burst.
ORGANISATIONS = (
    Organisation("large", "x", 200.0, 100),
    Organisation("middle", "x", 60.0, 30),
    Organisation("tight", "x", 60.0, 12),
    Organisation("small", "x", 10.0, 10),
)
LOAD_SHARE = 0.8
START_S = 8.0
HOSTS_CHANGE_AT_S = 20.0
END_S = 32.0
# Time from admission to sending the request to an upstream.
SEND_DELAY_S = 0.002
SETTLED_REFUSED_SHARE = 0.001
SETTLED_WINDOW_S = 1.0


@dataclass(frozen=True, slots=True)
class _Arrival:
    at_s: float
    organisation: str
    host: str


def _poisson_times(
    random: Random, rate_per_s: float, from_s: float, to_s: float
) -> Iterator[float]:
    at_s = from_s
    while (at_s := at_s + random.expovariate(rate_per_s)) < to_s:
        yield at_s


def _arrivals(random: Random) -> list[_Arrival]:
    """Return arrivals; each organisation changes its host at `HOSTS_CHANGE_AT_S`."""
    arrivals = []
    names = sorted(HOSTS)
    for organisation in ORGANISATIONS:
        before, after = random.sample(names, 2)
        rate_per_s = organisation.rate_per_s * LOAD_SHARE
        for at_s in _poisson_times(random, rate_per_s, START_S, END_S):
            host = before if at_s < HOSTS_CHANGE_AT_S else after
            arrivals.append(_Arrival(at_s, organisation.name, host))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _entitled_times_s(arrivals: Sequence[_Arrival]) -> dict[str, list[float]]:
    """Return the times of requests that one bucket per organisation would admit."""
    buckets = {
        o.name: TokenBucket(o.rate_per_s, o.burst, START_S, o.burst)
        for o in ORGANISATIONS
    }
    admitted: dict[str, list[float]] = {o.name: [] for o in ORGANISATIONS}
    for arrival in arrivals:
        if buckets[arrival.organisation].take(arrival.at_s):
            admitted[arrival.organisation].append(arrival.at_s)
    return admitted


def _run_fleet(
    arrivals: Sequence[_Arrival], seed: int, *, lending: bool
) -> dict[str, Any]:
    fleet = LendingFleet(HOSTS, ORGANISATIONS, Random(seed))
    if not lending:
        for host in fleet.hosts.values():
            admission = StaticSplitAdmission(fleet.loop.clock)
            admission.apply({o.name: o for o in ORGANISATIONS}, len(HOSTS))
            host.admission = admission
    for arrival in arrivals:
        send = partial(fleet.request, arrival.host, arrival.organisation, SEND_DELAY_S)
        fleet.loop.at(arrival.at_s, send)
    fleet.loop.run_until(END_S + 1.0)
    entitled = _entitled_times_s(arrivals)
    wrongful = {}
    for organisation in ORGANISATIONS:
        runs = len(fleet.runs.get(organisation.name, ()))
        # Requests may wait for a token, so more can run than one bucket would admit.
        wrongful[organisation.name] = max(0, len(entitled[organisation.name]) - runs)
    entitled_count = sum(len(times) for times in entitled.values())
    return {
        "requests": len(arrivals),
        "entitled": entitled_count,
        "wrongful_refusals": sum(wrongful.values()),
        "wrongful_share": sum(wrongful.values()) / entitled_count,
        "wrongful_by_organisation": wrongful,
        "refusals_by_reason": dict(Counter(r for _, _, r in fleet.refusals)),
        "largest_excess": max(fleet.excess(o) for o in ORGANISATIONS),
        "settle_s": _settle_s(arrivals, [at_s for at_s, _, _ in fleet.refusals]),
        "borrow_calls_per_host_and_s": fleet.borrow_calls / len(HOSTS) / END_S,
    }


def _settle_s(arrivals: Sequence[_Arrival], refused: Sequence[float]) -> float | None:
    """Return the time from `HOSTS_CHANGE_AT_S` until at most 0.1% are refused.

    It ends at the start of the first second with at most that share. None if there is
    no such second before the end.
    """
    steps = int((END_S - SETTLED_WINDOW_S - HOSTS_CHANGE_AT_S) / 0.05)
    for step in range(steps):
        from_s = HOSTS_CHANGE_AT_S + step * 0.05
        to_s = from_s + SETTLED_WINDOW_S
        requested = sum(from_s <= arrival.at_s < to_s for arrival in arrivals)
        refused_count = sum(from_s <= at_s < to_s for at_s in refused)
        if refused_count <= requested * SETTLED_REFUSED_SHARE:
            return round(step * 0.05, 2)
    return None


def measure_limits(seed: int) -> dict[str, Any]:
    """Compare the lending of tokens with a static equal split.

    Nine hosts in three regions, with a one-way delay of 0.5 ms within a region and
    35 ms between regions. Four organisations send 0.8 of their rate, each to one host
    and, from 20 s on, to another.

    Parameters
    ----------
    seed : int

    Returns
    -------
    dict
        For each kind of admission: wrongful refusals (requests that one bucket per
        organisation would have admitted, less those that ran), largest excess of the
        requests that ran over rate and burst, and seconds from the change of hosts
        until they refuse at most 0.1% of the requests in a second.
    """
    arrivals = _arrivals(Random(seed))
    return {
        "static_split": _run_fleet(arrivals, seed, lending=False),
        "lending": _run_fleet(arrivals, seed, lending=True),
    }


SLOTS = 12
QUEUE_LENGTH_MAX = 200
MEAN_WORK_S = 0.02
# Requests leave the queue if they have waited for this time.
DEADLINE_S = 1.0
FAIR_END_S = 20.0
FAIR_WEIGHTS = {"flooding": 100.0, "one": 100.0, "two": 100.0, "three": 50.0}


class _FirstComeFirstServedQueue(FairQueue):
    """Starts requests in the order of their arrival; the baseline."""

    def _next_start_tag(self, organisation: str) -> float:
        return self._virtual_time + 1.0


def _run_queue(
    seed: int, flooding_load: float, queue_type: type[FairQueue]
) -> dict[str, Any]:
    """Run one host's queue.

    The flooding organisation sends `flooding_load` times its entitlement, all others
    0.9 times theirs.
    """
    loop = EventLoop()
    # Random streams for each organisation, so that the others' requests are the same
    # with every `flooding_load`.
    arrivals = {name: Random(f"{seed}:arrivals:{name}") for name in FAIR_WEIGHTS}
    work = {name: Random(f"{seed}:work:{name}") for name in FAIR_WEIGHTS}
    queue = queue_type(loop.clock, SLOTS, QUEUE_LENGTH_MAX)
    queue.apply(FAIR_WEIGHTS)
    latencies: dict[str, list[float]] = {name: [] for name in FAIR_WEIGHTS}
    requested = Counter[str]()
    open_tickets: list[tuple[Ticket, float]] = []
    started: set[Ticket] = set()

    def start_work() -> None:
        for ticket, entered_s in tuple(open_tickets):
            if ticket.is_running and ticket not in started:
                started.add(ticket)
                work_s = work[ticket.organisation].expovariate(1.0 / MEAN_WORK_S)
                loop.after(work_s, partial(finish, ticket, entered_s))

    def finish(ticket: Ticket, entered_s: float) -> None:
        open_tickets.remove((ticket, entered_s))
        latencies[ticket.organisation].append(loop.now_s() - entered_s)
        queue.leave(ticket)
        start_work()

    def give_up(ticket: Ticket, entered_s: float) -> None:
        if not ticket.is_running and (ticket, entered_s) in open_tickets:
            open_tickets.remove((ticket, entered_s))
            queue.leave(ticket)

    def enter(organisation: str) -> None:
        requested[organisation] += 1
        ticket = queue.enter(organisation)
        if ticket is not None:
            now_s = loop.now_s()
            open_tickets.append((ticket, now_s))
            loop.after(DEADLINE_S, partial(give_up, ticket, now_s))
            start_work()

    capacity_per_s = SLOTS / MEAN_WORK_S
    entitled_share = {
        n: w / sum(FAIR_WEIGHTS.values()) for n, w in FAIR_WEIGHTS.items()
    }
    for name, share in entitled_share.items():
        load = flooding_load if name == "flooding" else 0.9
        rate_per_s = capacity_per_s * share * load
        for at_s in _poisson_times(arrivals[name], rate_per_s, 0.0, FAIR_END_S):
            loop.at(at_s, partial(enter, name))
    loop.run_until(FAIR_END_S)
    others = [
        s for n, values_s in latencies.items() if n != "flooding" for s in values_s
    ]
    # Served share of what an organisation requests, or of its entitlement if less.
    shares = {
        name: len(latencies[name])
        / min(requested[name], capacity_per_s * entitled_share[name] * FAIR_END_S)
        for name in FAIR_WEIGHTS
    }
    return {
        "others_p99_s": _percentile(others, 0.99),
        "worst_served_share": min(shares.values()),
        "shares": shares,
    }


def _percentile(values: Sequence[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]


def measure_fairness(seed: int) -> dict[str, Any]:
    """Compare the fair queue with first come, first served.

    One host with 12 slots and 20 ms of work per request on average. Four organisations
    send 0.9 of their entitlement; in a second run one sends 10 times its entitlement.

    Parameters
    ----------
    seed : int

    Returns
    -------
    dict
        For each queue: the p99 latency of the other organisations in seconds, with and
        without flooding, their ratio, and the least share that an organisation was
        served of its requests, or of its entitlement if that is less.
    """
    queues: dict[str, Callable[[float], dict[str, Any]]] = {
        "first_come_first_served": partial(
            _run_queue, seed, queue_type=_FirstComeFirstServedQueue
        ),
        "fair_queue": partial(_run_queue, seed, queue_type=FairQueue),
    }
    figures = {}
    for name, run_queue in queues.items():
        normal, flooded = run_queue(0.9), run_queue(10.0)
        figures[name] = {
            "others_p99_without_s": normal["others_p99_s"],
            "others_p99_with_s": flooded["others_p99_s"],
            "p99_ratio": flooded["others_p99_s"] / normal["others_p99_s"],
            "worst_served_share": flooded["worst_served_share"],
        }
    return figures


__all__ = ["measure_fairness", "measure_limits"]
