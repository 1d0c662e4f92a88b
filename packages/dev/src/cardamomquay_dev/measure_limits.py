"""Measurements of admission and fairness in paused time."""

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
from cardamomquay_dev.paused_time import EventLoop

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Sequence

HOSTS = {f"{region}{i}": region for region in ("mtl", "qc", "sag") for i in range(3)}
# Rates of one large, two middle-sized and one small organisation.
ORGANISATIONS = (
    Organisation("large", "x", 200.0, 100),
    Organisation("middle", "x", 60.0, 30),
    Organisation("tight", "x", 60.0, 12),
    Organisation("small", "x", 10.0, 10),
)
LOAD = 0.8
START_S = 8.0
SHIFT_S = 20.0
END_S = 32.0
SEND_DELAY_S = 0.002
SETTLED_SHARE = 0.001
SETTLED_WINDOW_S = 1.0


@dataclass(frozen=True, slots=True)
class _Arrival:
    at_s: float
    organisation: str
    host: str


def _poisson(
    random: Random, rate: float, from_s: float, to_s: float
) -> Iterator[float]:
    at_s = from_s
    while (at_s := at_s + random.expovariate(rate)) < to_s:
        yield at_s


def _arrivals(random: Random) -> list[_Arrival]:
    """Callers of each organisation use one host, and another one after the shift."""
    arrivals = []
    names = sorted(HOSTS)
    for organisation in ORGANISATIONS:
        before, after = random.sample(names, 2)
        rate = organisation.rate_per_s * LOAD
        for at_s in _poisson(random, rate, START_S, END_S):
            host = before if at_s < SHIFT_S else after
            arrivals.append(_Arrival(at_s, organisation.name, host))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _entitled(arrivals: Sequence[_Arrival]) -> dict[str, list[float]]:
    """Return the times that one bucket for the whole organisation would admit."""
    buckets = {
        o.name: TokenBucket(o.rate_per_s, o.burst, START_S, o.burst)
        for o in ORGANISATIONS
    }
    admitted: dict[str, list[float]] = {o.name: [] for o in ORGANISATIONS}
    for arrival in arrivals:
        if buckets[arrival.organisation].take(arrival.at_s):
            admitted[arrival.organisation].append(arrival.at_s)
    return admitted


def _run(arrivals: Sequence[_Arrival], seed: int, *, lent: bool) -> dict[str, Any]:
    fleet = LendingFleet(HOSTS, ORGANISATIONS, Random(seed))
    if not lent:
        for host in fleet.hosts.values():
            admission = StaticSplitAdmission(fleet.loop.clock)
            admission.apply({o.name: o for o in ORGANISATIONS}, len(HOSTS))
            host.admission = admission
    for arrival in arrivals:
        ask = partial(fleet.request, arrival.host, arrival.organisation, SEND_DELAY_S)
        fleet.loop.at(arrival.at_s, ask)
    fleet.loop.run_until(END_S + 1.0)
    entitled = _entitled(arrivals)
    wrongful = {}
    for organisation in ORGANISATIONS:
        runs = len(fleet.runs.get(organisation.name, ()))
        # More runs than one bucket would admit come from waiting for a token.
        wrongful[organisation.name] = max(0, len(entitled[organisation.name]) - runs)
    expected = sum(len(times) for times in entitled.values())
    return {
        "requests": len(arrivals),
        "entitled": expected,
        "wrongful_refusals": sum(wrongful.values()),
        "wrongful_share": sum(wrongful.values()) / expected,
        "wrongful_by_organisation": wrongful,
        "refusals_by_reason": dict(Counter(r for _, _, r in fleet.refusals)),
        "largest_excess": max(fleet.excess(o) for o in ORGANISATIONS),
        "settle_s": _settle_s(arrivals, [at_s for at_s, _, _ in fleet.refusals]),
        "borrow_calls_per_host_and_s": fleet.messages / len(HOSTS) / END_S,
    }


def _settle_s(arrivals: Sequence[_Arrival], refused: Sequence[float]) -> float | None:
    """Return the time from the shift until 1 s passes with under 0.1% refused.

    None if that does not happen before the end.
    """
    steps = int((END_S - SETTLED_WINDOW_S - SHIFT_S) / 0.05)
    for step in range(steps):
        from_s = SHIFT_S + step * 0.05
        to_s = from_s + SETTLED_WINDOW_S
        asked = sum(from_s <= arrival.at_s < to_s for arrival in arrivals)
        lost = sum(from_s <= at_s < to_s for at_s in refused)
        if lost <= asked * SETTLED_SHARE:
            return round(step * 0.05, 2)
    return None


def measure_limits(seed: int) -> dict[str, Any]:
    """Compare lending with the static equal split.

    Nine hosts of three regions, 0.5 ms within a region and 35 ms between regions
    one way; four organisations at 0.8 of their rate, each with all callers on one
    host and, from 20 s on, on another.

    Parameters
    ----------
    seed : int

    Returns
    -------
    dict
        For each admission: wrongful refusals (requests that one bucket for the
        organisation would have admitted, less those that ran), largest excess over
        rate and burst in runs, and seconds to settle after the shift.
    """
    arrivals = _arrivals(Random(seed))
    return {
        "static_split": _run(arrivals, seed, lent=False),
        "lending": _run(arrivals, seed, lent=True),
    }


SLOTS = 12
QUEUE = 200
WORK_S = 0.02
DEADLINE_S = 1.0
FAIR_END_S = 20.0
FAIR_WEIGHTS = {"flooding": 100.0, "one": 100.0, "two": 100.0, "three": 50.0}


class _ArrivalOrder(FairQueue):
    """First come, first served: the baseline."""

    def _next_start(self, organisation: str) -> float:
        return self._virtual_time + 1.0


def _serve(seed: int, flood: float, queue_type: type[FairQueue]) -> dict[str, Any]:
    """Run one host whose organisations ask for 0.9 of their weights."""
    loop = EventLoop()
    # Own streams, so that the others send the same requests with and without a flood.
    arrivals = {name: Random(f"{seed}:arrivals:{name}") for name in FAIR_WEIGHTS}
    work = {name: Random(f"{seed}:work:{name}") for name in FAIR_WEIGHTS}
    queue = queue_type(loop.clock, SLOTS, QUEUE)
    queue.apply(FAIR_WEIGHTS)
    latencies: dict[str, list[float]] = {name: [] for name in FAIR_WEIGHTS}
    asked = Counter[str]()
    open_tickets: list[tuple[Ticket, float]] = []
    started: set[Ticket] = set()

    def start_work() -> None:
        for ticket, asked_s in tuple(open_tickets):
            if ticket.is_running and ticket not in started:
                started.add(ticket)
                work_s = work[ticket.organisation].expovariate(1.0 / WORK_S)
                loop.after(work_s, partial(finish, ticket, asked_s))

    def finish(ticket: Ticket, asked_s: float) -> None:
        open_tickets.remove((ticket, asked_s))
        latencies[ticket.organisation].append(loop.now_s() - asked_s)
        queue.leave(ticket)
        start_work()

    def give_up(ticket: Ticket, asked_s: float) -> None:
        if not ticket.is_running and (ticket, asked_s) in open_tickets:
            open_tickets.remove((ticket, asked_s))
            queue.leave(ticket)

    def ask(organisation: str) -> None:
        asked[organisation] += 1
        ticket = queue.enter(organisation)
        if ticket is not None:
            now_s = loop.now_s()
            open_tickets.append((ticket, now_s))
            loop.after(DEADLINE_S, partial(give_up, ticket, now_s))
            start_work()

    capacity = SLOTS / WORK_S
    entitled = {n: w / sum(FAIR_WEIGHTS.values()) for n, w in FAIR_WEIGHTS.items()}
    for name, share in entitled.items():
        load = flood if name == "flooding" else 0.9
        rate = capacity * share * load
        for at_s in _poisson(arrivals[name], rate, 0.0, FAIR_END_S):
            loop.at(at_s, partial(ask, name))
    loop.run_until(FAIR_END_S)
    others = [s for n, list_s in latencies.items() if n != "flooding" for s in list_s]
    # An organisation that asks for less than its entitlement is entitled to that.
    shares = {
        name: len(latencies[name])
        / min(asked[name], capacity * entitled[name] * FAIR_END_S)
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

    One host with 12 slots, 20 ms of work on average, and four organisations that ask
    for 0.9 of their entitled share of it; then one asks for 10 times its share.

    Parameters
    ----------
    seed : int

    Returns
    -------
    dict
        For each queue: the others' p99 latency in seconds with and without the
        flood, their ratio, and the worst-served organisation's share of its
        entitlement.
    """
    kinds: dict[str, Callable[[float], dict[str, Any]]] = {
        "first_come_first_served": partial(_serve, seed, queue_type=_ArrivalOrder),
        "fair_queue": partial(_serve, seed, queue_type=FairQueue),
    }
    figures = {}
    for name, serve in kinds.items():
        calm, flooded = serve(0.9), serve(10.0)
        figures[name] = {
            "others_p99_without_s": calm["others_p99_s"],
            "others_p99_with_s": flooded["others_p99_s"],
            "p99_ratio": flooded["others_p99_s"] / calm["others_p99_s"],
            "worst_served_share": flooded["worst_served_share"],
        }
    return figures


__all__ = ["measure_fairness", "measure_limits"]
