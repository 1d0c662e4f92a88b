"""Measures policies for the choice of upstreams in a deterministic simulation.

There are twelve upstreams with three or four slots each; one is slow, and one joins
with a cold cache. Eight hosts become twelve, of which one is then lost. Callers prefer
some hosts to others, and after 8 s the order of their preference is reversed.
"""

from __future__ import annotations

import heapq
import itertools
import json
import sys
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import TYPE_CHECKING
from typing import Any

import numpy as np

from cardamomquay.balancing import BorrowedSlots
from cardamomquay.balancing import Observation
from cardamomquay.balancing import ObservedResult
from cardamomquay.balancing import RandomChooser
from cardamomquay.balancing import Reservation
from cardamomquay.balancing import RoundRobinChooser
from cardamomquay.balancing import SlotLender
from cardamomquay.config import Pool
from cardamomquay.config import Upstream
from cardamomquay.outcomes import Refusal
from cardamomquay_dev.rotating_subsets import rotating_grant

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomquay.balancing import SlotGrant
    from cardamomquay.balancing import SlotRequest
    from cardamomquay.balancing import UpstreamChooser

POLICIES = (
    "slot_lending",
    "slot_lending_by_zone",
    "rotating_subsets",
    "random",
    "round_robin",
)
DURATION_S = 16.0
COLD_UPSTREAM_JOINS_AT_S = 3.0
HOSTS_JOIN_AT_S = 5.0
PREFERENCE_REVERSED_AT_S = 8.0
HOST_LOST_AT_S = 10.0
MEAN_SERVICE_TIME_S = 0.05
# Factors of the service time. The factor of the cold upstream falls to 1 in the course
# of its first `REQUESTS_UNTIL_WARM` requests.
SLOW_FACTOR = 4.0
COLD_FACTOR = 4.0
REQUESTS_UNTIL_WARM = 60
CONNECT_TIME_S = 0.001
LENDER_ROUND_TRIP_S = 0.001
SHED_ANSWER_TIME_S = 0.001
DEADLINE_S = 1.0
POLL_INTERVAL_S = 0.005
# Longest time until a host learns that another has joined.
HOST_VIEW_DELAY_MAX_S = 1.5
# Time from the loss of a lender's host until its successor starts: 6 s in which the
# lease is read unchanged, and the time to take it over.
TAKEOVER_S = 8.0
POOL = "browse"
REGION = "mtl"
ZONES = ("mtl-a", "mtl-b")
SLOT_LENDING_BY_ZONE = "slot_lending_by_zone"


def _upstreams(count: int) -> tuple[Upstream, ...]:
    return tuple(
        Upstream(
            f"u{i:02d}", f"10.0.0.{i + 1}:80", REGION, ZONES[i // 2 % 2], 3 + i % 2, 330
        )
        for i in range(count)
    )


@dataclass
class _Server:
    """An upstream.

    `above_slots` counts the requests that found no free slot. `peak` is the largest
    number of requests at the same time.
    """

    upstream: Upstream
    active: int = 0
    peak: int = 0
    above_slots: int = 0
    served: int = 0
    connections: int = 0
    connections_peak: int = 0


@dataclass
class _Host:
    """A host.

    `view_delay_s` is the time until the host learns that another has joined; it takes
    1.5 s longer to learn of a loss. `idle` counts idle connections by upstream.
    `pending` holds the requests without a decision and the times of their arrival.
    """

    name: str
    view_delay_s: float
    borrowed: BorrowedSlots | None = None
    lost: bool = False
    idle: Counter[str] = field(default_factory=Counter)
    pending: list[tuple[Any, float]] = field(default_factory=list)


class _Simulation:
    def __init__(self, policy: str, seed: int, load: float, duration_s: float) -> None:
        self.zone_without_lender: str | None = None
        self.answered_times_s: list[float] = []
        self.policy = policy
        self.duration_s = duration_s
        self.random = Random(seed)
        self.now_s = 0.0
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.pool = Pool(POOL, "owner", _upstreams(11))
        self.servers = {u.name: _Server(u) for u in _upstreams(12)}
        zones = ZONES if policy == SLOT_LENDING_BY_ZONE else ("",)
        self.lenders = {
            zone: SlotLender(
                self._upstreams_of(zone), DEADLINE_S, 0.0, is_first_lender=True
            )
            for zone in zones
        }
        self.hosts: list[_Host] = []
        self.joined_s: dict[str, float] = {}
        self.lost_s: dict[str, float] = {}
        self.latencies: list[float] = []
        self.shed_counts: Counter[str] = Counter()
        self.requests = self.new_connections = self.lender_calls = self.probes = 0
        self.choosers: dict[str, UpstreamChooser] = {}
        slots = sum(server.upstream.slots for server in self.servers.values())
        self.rate_per_s = load * slots / MEAN_SERVICE_TIME_S

    def run(self) -> dict[str, float]:
        for _ in range(8):
            self._add_host()
        self.at(COLD_UPSTREAM_JOINS_AT_S, self._add_cold_upstream)
        for _ in range(4):
            self.at(HOSTS_JOIN_AT_S, self._add_host)
        self.at(HOST_LOST_AT_S, self._lose_host)
        self.at(0.05, self._handle_arrival)
        self.at(0.0, self._poll)
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            if self.now_s > self.duration_s:
                break
            action()
        p50, p99 = np.percentile(self.latencies, [50, 99])
        servers = self.servers.values()
        return {
            "p50_ms": round(float(p50) * 1e3, 2),
            "p99_ms": round(float(p99) * 1e3, 2),
            "requests": self.requests,
            "shed_by_host": self.shed_counts["host"],
            "shed_by_upstream": self.shed_counts["upstream"],
            "requests_above_slots": sum(server.above_slots for server in servers),
            "peak_above_slots": max(s.peak - s.upstream.slots for s in servers),
            "peak_connections": max(s.connections_peak for s in servers),
            "new_connections_per_s": round(self.new_connections / self.duration_s, 1),
            "lender_calls_per_s": round(self.lender_calls / self.duration_s, 1),
            "probes_per_s": round(self.probes / self.duration_s, 2),
        }

    def _upstreams_of(self, zone: str) -> tuple[Upstream, ...]:
        """Return the pool's upstreams in a zone; an empty string stands for all."""
        zones = {"": ZONES}.get(zone, (zone,))
        return tuple(u for u in self.pool.upstreams if u.availability_zone in zones)

    def at(self, when_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when_s, next(self._sequence), action))

    def _add_host(self) -> None:
        name = f"h{len(self.hosts):02d}"
        host = _Host(name, self.random.uniform(0.1, HOST_VIEW_DELAY_MAX_S))
        if self.policy in {"slot_lending", SLOT_LENDING_BY_ZONE, "rotating_subsets"}:
            host.borrowed = BorrowedSlots(
                self.pool,
                REGION,
                name,
                "1",
                self.now_s,
                by_zone=self.policy == SLOT_LENDING_BY_ZONE,
            )
        elif self.policy == "random":
            self.choosers[name] = RandomChooser(Random(self.random.random()))
        else:
            self.choosers[name] = RoundRobinChooser()
        self.hosts.append(host)
        # Hosts that exist at the start know each other from the start.
        self.joined_s[name] = self.now_s if self.now_s else -HOST_VIEW_DELAY_MAX_S

    def _add_cold_upstream(self) -> None:
        self.pool = Pool(POOL, "owner", _upstreams(12))
        for zone, lender in self.lenders.items():
            lender.apply_upstreams(self._upstreams_of(zone), DEADLINE_S, self.now_s)
        for host in self.hosts:
            if host.borrowed is not None:
                host.borrowed.apply_pool(self.pool, self.now_s)

    def _lose_host(self) -> None:
        host = self.hosts[1]
        host.lost = True
        host.pending.clear()
        for name, count in host.idle.items():
            self.servers[name].connections -= count
        self.lost_s[host.name] = self.now_s

    def lose_lender(self) -> None:
        self.zone_without_lender = next(iter(self.lenders))
        self.at(self.now_s + TAKEOVER_S, self._replace_lender)

    def _replace_lender(self) -> None:
        zone = self.zone_without_lender
        assert zone is not None
        self.zone_without_lender = None
        self.lenders[zone] = SlotLender(
            self._upstreams_of(zone), DEADLINE_S, self.now_s
        )

    def _handle_arrival(self) -> None:
        self.at(
            self.now_s + self.random.expovariate(self.rate_per_s), self._handle_arrival
        )
        live = [host for host in self.hosts if not host.lost]
        if self.now_s >= PREFERENCE_REVERSED_AT_S:
            live.reverse()
        weights = [1.0 / (1 + i) ** 0.5 for i in range(len(live))]
        host = self.random.choices(live, weights)[0]
        self.requests += 1
        if host.borrowed is None:
            chooser = self.choosers[host.name]
            decision = chooser.reserve(self.pool, "org", (), self.now_s)
            self._handle_decision(host, decision, self.now_s)
            return
        pending = host.borrowed.submit("org", (), self.now_s + DEADLINE_S, self.now_s)
        host.pending.append((pending, self.now_s))
        self._handle_decided_requests(host)

    def _handle_decided_requests(self, host: _Host) -> None:
        waiting = []
        for pending, arrived_s in host.pending:
            if pending.result is None:
                waiting.append((pending, arrived_s))
            else:
                self._handle_decision(host, pending.result, arrived_s)
        host.pending = waiting
        self._call_lenders(host)

    def _handle_decision(
        self, host: _Host, decision: Reservation | Refusal, arrived_s: float
    ) -> None:
        if isinstance(decision, Refusal):
            self.shed_counts["host"] += 1
            return
        server = self.servers[decision.upstream.name]
        delay_s = 0.0
        if host.idle[decision.upstream.name] > 0:
            host.idle[decision.upstream.name] -= 1
        else:
            self.new_connections += 1
            delay_s = CONNECT_TIME_S
            server.connections += 1
            server.connections_peak = max(server.connections_peak, server.connections)
        server.active += 1
        server.peak = max(server.peak, server.active)
        shed = server.active > server.upstream.slots
        server.above_slots += int(shed)
        sent_s = self.now_s
        if shed:
            took_s = SHED_ANSWER_TIME_S
        else:
            took_s = self._service_s(server)
            server.served += 1

        def done() -> None:
            server.active -= 1
            if host.lost:
                server.connections -= 1
                return
            host.idle[decision.upstream.name] += 1
            result = ObservedResult.SHED if shed else ObservedResult.ANSWERED
            observation = Observation(result, self.now_s - sent_s)
            if shed:
                self.shed_counts["upstream"] += 1
            else:
                self.latencies.append(self.now_s - arrived_s)
                self.answered_times_s.append(self.now_s)
            if host.borrowed is None:
                self.choosers[host.name].release(decision, observation)
                return
            host.borrowed.release(decision, observation, self.now_s)
            self._handle_decided_requests(host)

        self.at(self.now_s + delay_s + took_s, done)

    def _service_s(self, server: _Server) -> float:
        factor = 1.0
        if server.upstream.name == "u05":
            factor = SLOW_FACTOR
        if server.upstream.name == "u11":
            cold = max(0.0, 1.0 - server.served / REQUESTS_UNTIL_WARM)
            factor = 1.0 + (COLD_FACTOR - 1.0) * cold
        drawn = 0.5 + 0.5 * self.random.expovariate(1.0)
        return min(0.9 * DEADLINE_S, MEAN_SERVICE_TIME_S * factor * drawn)

    def _poll(self) -> None:
        self.at(self.now_s + POLL_INTERVAL_S, self._poll)
        for lender in self.lenders.values():
            for name in lender.health.probes_due(self.now_s):
                self.probes += int(
                    self.policy in {"slot_lending", SLOT_LENDING_BY_ZONE}
                )
                lender.health.record_probe(name, True, self.now_s)
        for host in self.hosts:
            if host.borrowed is not None and not host.lost:
                host.borrowed.process_queue(self.now_s)
                self._handle_decided_requests(host)

    def _call_lenders(self, host: _Host) -> None:
        if host.borrowed is None or host.lost:
            return
        while (request := host.borrowed.next_call(self.now_s)) is not None:
            self._close_idle(host, host.borrowed)
            self._send(host, host.borrowed, request)

    def _send(self, host: _Host, borrowed: BorrowedSlots, request: SlotRequest) -> None:
        if self.policy == "rotating_subsets":
            grant = rotating_grant(
                host.name,
                self._live_hosts_seen_by(host),
                self.pool.upstreams,
                self.now_s,
            )
            borrowed.apply_reply(request, grant, self.now_s)
            return
        self.lender_calls += 1

        def reach_lender() -> None:
            lender = self.lenders[request.zone]
            lost = self.zone_without_lender == request.zone
            grant = None if lost else lender.lend(request, self.now_s)
            self.at(self.now_s + LENDER_ROUND_TRIP_S / 2, lambda: replied(grant))

        def replied(grant: SlotGrant | None) -> None:
            if host.lost:
                return
            borrowed.apply_reply(request, grant, self.now_s)
            self._handle_decided_requests(host)

        self.at(self.now_s + LENDER_ROUND_TRIP_S / 2, reach_lender)

    def _close_idle(self, host: _Host, borrowed: BorrowedSlots) -> None:
        for name in host.idle:
            allowed = borrowed.connections_allowed(name, self.now_s) - borrowed.in_use(
                name
            )
            while host.idle[name] > max(0, allowed):
                host.idle[name] -= 1
                self.servers[name].connections -= 1

    def _live_hosts_seen_by(self, host: _Host) -> tuple[str, ...]:
        """Return the hosts that `host` counts as live.

        It counts a host from `view_delay_s` after that host joined until 1.5 s plus
        `view_delay_s` after it was lost.
        """
        return tuple(
            other.name
            for other in self.hosts
            if (
                other is host
                or self.now_s >= self.joined_s[other.name] + host.view_delay_s
            )
            and self.now_s < self.lost_s.get(other.name, 1e9) + 1.5 + host.view_delay_s
        )


def run_policy(
    policy: str, seed: int, load: float, duration_s: float = DURATION_S
) -> dict[str, float]:
    """Run the simulation with one policy.

    Parameters
    ----------
    policy : str
        One of `POLICIES`.
    seed : int
    load : float
        Offered requests as a share of the pool's nominal capacity.
    duration_s : float, default=16

    Returns
    -------
    dict
        Latencies in milliseconds, counts, and rates per second.
    """
    return _Simulation(policy, seed, load, duration_s).run()


def measure_lender_loss(
    seed: int, load: float = 0.6, policy: str = "slot_lending"
) -> dict[str, float]:
    """Measure the interruption of a pool when the host of its lender is lost.

    Parameters
    ----------
    seed : int
    load : float, default=0.6
    policy : str, default="slot_lending"

    Returns
    -------
    dict
        Longest time without an answer in seconds, share of requests that hosts
        refused, and number of requests sent to upstreams without a free slot.
    """
    simulation = _Simulation(policy, seed, load, 40.0)
    simulation.at(12.0, simulation.lose_lender)
    result = simulation.run()
    answered = np.array(simulation.answered_times_s)
    return {
        "longest_gap_s": round(float(np.diff(answered).max()), 2),
        "shed_share": round(result["shed_by_host"] / result["requests"], 3),
        "requests_above_slots": result["requests_above_slots"],
    }


def measure_balancing(seed: int, load: float = 0.6) -> dict[str, dict[str, float]]:
    """Run the simulation with every policy.

    Parameters
    ----------
    seed : int
    load : float, default=0.6
        Offered requests as a share of the pool's nominal capacity.

    Returns
    -------
    dict
        By policy: latencies in milliseconds, counts, and rates per second.
    """
    return {policy: run_policy(policy, seed, load) for policy in POLICIES}


if __name__ == "__main__":
    wanted_load = float(sys.argv[2]) if len(sys.argv) > 2 else 0.6
    print(json.dumps(measure_balancing(int(sys.argv[1]), wanted_load), indent=2))
