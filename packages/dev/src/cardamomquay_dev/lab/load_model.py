"""Simulates hosts that send requests for objects to upstreams with slots and queues.

A host chooses an upstream by a policy. With `PlacementPolicy` it reports to the others,
after a delay, which upstreams have an object warm. An upstream needs about a third of
the time for an object that it has handled before (a warm object), cancels a request at
its timeout, and fails new requests when its queue is full.
"""

from __future__ import annotations

import heapq
import random
from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from cardamomquay.placement import AdmissionClaim
from cardamomquay.placement import AdmissionControl
from cardamomquay.placement import AdmissionRequest
from cardamomquay.placement import Candidate
from cardamomquay.placement import LoadReport
from cardamomquay.placement import OverloadControl
from cardamomquay.placement import Placement
from cardamomquay.placement import PlacementRequest
from cardamomquay.placement import RequestTiming
from cardamomquay.placement import UpstreamRecord
from cardamomquay.placement import ZoneLatencies
from cardamomquay.placement import rendezvous_hash
from cardamomquay.placement import short_id
from cardamomquay.traffic import Upstream
from cardamomquay.traffic import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Callable

# Slots and longest queue of each upstream.
SLOTS = 3
QUEUE_LENGTH_MAX = 9
# Median service time for a cold object; a warm one takes `WARM_TIME_SHARE` of it.
COLD_SERVICE_TIME_S = 0.88
WARM_TIME_SHARE = 0.3
# Standard deviation of the logarithm of the service time.
SERVICE_TIME_SIGMA = 0.15
# Latency within which a caller's request should be answered.
OBJECTIVE_S = 0.6
ATTEMPT_TIMEOUT_S = 1.2
REPORT_DELAY_S = 0.15
CALLER_DEADLINE_S = 4.0
REGION_OF = {"a": "A", "b": "B", "c": "C"}
# Added to the latency of each answer, whatever the zones of host and upstream.
ROUND_TRIP_S = 0.07


@dataclass
class ServerRequest:
    """A request that waits or runs at an upstream.

    `load_when_sent` is the host's estimate, made when it sent the request, of the load
    of the upstream.
    """

    host: int
    key: str
    sent_s: float
    timeout_at_s: float
    candidate: Candidate | None
    load_when_sent: float = 0.0


@dataclass
class Server:
    """An upstream with slots, a queue, and the keys of its warm objects.

    `busy_s` is the time that its slots spent on requests, and `discarded_s` the part of
    it spent on requests that ended without an answer.
    """

    upstream: Upstream
    running: list[ServerRequest] = field(default_factory=list)
    queue: list[ServerRequest] = field(default_factory=list)
    warm: set[str] = field(default_factory=set)
    busy_s: float = 0.0
    discarded_s: float = 0.0

    @property
    def load(self) -> int:
        """Number of requests that run or wait."""
        return len(self.running) + len(self.queue)


@dataclass
class Outcome:
    """Result of one request of a caller.

    `asked_s` is the time of the request. `refused` says that a host has refused the
    request at least once, even if it answered a retry.
    """

    asked_s: float
    zone: str = ""
    route: str = "r"
    priority: int = 0
    answered_s: float | None = None
    refused: bool = False


class Policy(ABC):
    """Chooses the upstreams of requests for all hosts."""

    @abstractmethod
    def choose(
        self, host: int, key: str, servers: list[Server], now_s: float
    ) -> Candidate | Upstream | None:
        """Return an upstream, or a candidate with estimates if the policy makes any.

        `LoadModel` does not support None, which `Placement` may return if there are no
        upstreams.
        """


class RandomPolicy(Policy):
    """Chooses a random upstream; the baseline."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def choose(
        self, host: int, key: str, servers: list[Server], now_s: float
    ) -> Candidate | Upstream | None:
        return self._random.choice(servers).upstream


class LeastLoadedPolicy(Policy):
    """Chooses the upstream with the least current load in the host's region.

    If the region has no upstream, chooses among all.
    """

    def __init__(self, zones: list[str]) -> None:
        self._zones = zones

    def choose(
        self, host: int, key: str, servers: list[Server], now_s: float
    ) -> Candidate | Upstream | None:
        region = REGION_OF[self._zones[host]]
        in_region = [s for s in servers if REGION_OF[s.upstream.zone] == region]
        return min(in_region or servers, key=lambda s: s.load).upstream


class FixedPolicy(Policy):
    """Chooses the upstream with the highest hash for the object, whatever its load."""

    def choose(
        self, host: int, key: str, servers: list[Server], now_s: float
    ) -> Candidate | Upstream | None:
        return max(
            servers, key=lambda s: rendezvous_hash(key, s.upstream.instance)
        ).upstream


class PlacementPolicy(Policy):
    """Chooses by one `Placement` per host, as the daemons do."""

    def __init__(self, zones: list[str]) -> None:
        self.placements = [Placement(ZoneLatencies(zone, REGION_OF)) for zone in zones]

    def choose(
        self, host: int, key: str, servers: list[Server], now_s: float
    ) -> Candidate | Upstream | None:
        request = PlacementRequest("r", "browse", key, OBJECTIVE_S, frozenset())
        upstreams = [server.upstream for server in servers]
        return self.placements[host].choose(request, upstreams, (), now_s)


class LoadModel:
    """Simulates requests of callers to hosts and upstreams.

    Parameters
    ----------
    policy : Policy
    zones : list of str
        Availability zone of each host.
    servers : list of Server
    seed : int
    overload_control : OverloadControl, optional
        Decides whether a request may join an upstream's queue, for all hosts.
    admission : callable, optional
        Makes the admission control of each host; takes precedence.
    """

    def __init__(
        self,
        policy: Policy,
        zones: list[str],
        servers: list[Server],
        seed: int,
        overload_control: OverloadControl | None = None,
        admission: Callable[[], AdmissionControl] | None = None,
    ) -> None:
        self.policy = policy
        self.zones = zones
        self.servers = servers
        self.random = random.Random(seed)
        control = overload_control or OverloadControl(self.random)
        self._controls: list[AdmissionControl] = [
            admission() if admission else control for _ in zones
        ]
        # Refused requests are repeated at most this often. An impatient caller does not
        # wait for the retry delay.
        self.retries_max = 1
        self.impatient_share = 0.0
        self.now_s = 0.0
        self.outcomes: list[Outcome] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        # By the `id` of the `ServerRequest`.
        self._outcome_by_request: dict[int, Outcome] = {}
        self._lost_servers: list[Server] = []

    @property
    def busy_s(self) -> float:
        """Total time that all slots have spent on requests, in seconds."""
        return sum(server.busy_s for server in (*self.servers, *self._lost_servers))

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self._sequence += 1
        heapq.heappush(self._events, (time_s, self._sequence, action))

    @property
    def discarded_s(self) -> float:
        """Time that all slots have spent on requests without an answer, in seconds."""
        servers = (*self.servers, *self._lost_servers)
        return sum(server.discarded_s for server in servers)

    def offer(
        self,
        from_s: float,
        to_s: float,
        per_s: float,
        objects: int,
        route: str = "r",
        priority: int = 0,
        zones: tuple[str, ...] = (),
    ) -> None:
        """Schedule random requests of the zones' callers for objects of their zone.

        Without `zones`, callers are in the zones of all hosts.
        """
        hosts = [n for n, z in enumerate(self.zones) if not zones or z in zones]
        time_s = from_s
        while time_s < to_s:
            time_s += self.random.expovariate(per_s)
            host = hosts[self.random.randrange(len(hosts))]
            key = f"{self.zones[host]}-{self.random.randrange(objects)}"
            outcome = Outcome(time_s, self.zones[host], route, priority)
            self.outcomes.append(outcome)
            attempt = partial(
                self._start_attempt, host, key, outcome, self.retries_max, 0.0
            )
            self.at(time_s, attempt)

    def lose_zone(self, time_s: float, zone: str) -> None:
        """Schedule the loss of all upstreams of a zone.

        They get no requests from then on, but still handle those sent to them before.
        """

        def remove() -> None:
            self._lost_servers += [s for s in self.servers if s.upstream.zone == zone]
            self.servers = [s for s in self.servers if s.upstream.zone != zone]

        self.at(time_s, remove)

    def run(self) -> None:
        """Run until no scheduled action is left."""
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def share_in_objective(self, from_s: float, to_s: float) -> float:
        """Return the share of requests sent in a span that met the objective."""
        requested = [o for o in self.outcomes if from_s <= o.asked_s < to_s]
        good = [
            o
            for o in requested
            if o.answered_s is not None and o.answered_s - o.asked_s <= OBJECTIVE_S
        ]
        return len(good) / max(1, len(requested))

    def share_answered(self, from_s: float, to_s: float) -> float:
        """Return the share of requests sent in a span that were answered."""
        requested = [o for o in self.outcomes if from_s <= o.asked_s < to_s]
        return sum(o.answered_s is not None for o in requested) / max(1, len(requested))

    def _start_attempt(
        self, host: int, key: str, outcome: Outcome, retries: int, waited_s: float
    ) -> None:
        timeout_at_s = self.now_s + ATTEMPT_TIMEOUT_S
        claim = AdmissionClaim(
            (0, outcome.priority), outcome.route, is_return=waited_s >= 0.1
        )
        self._choose(host, key, outcome, timeout_at_s, retries, claim)

    def _choose(
        self,
        host: int,
        key: str,
        outcome: Outcome,
        timeout_at_s: float,
        retries: int,
        claim: AdmissionClaim,
    ) -> None:
        choice = self.policy.choose(host, key, self.servers, self.now_s)
        candidate = choice if isinstance(choice, Candidate) else None
        if candidate is not None:
            deadline_left_s = outcome.asked_s + CALLER_DEADLINE_S - self.now_s
            timing = RequestTiming(
                timeout_at_s - self.now_s,
                outcome.asked_s + OBJECTIVE_S - self.now_s,
                deadline_left_s,
            )
            request = AdmissionRequest(candidate, timing, claim, OBJECTIVE_S)
            delay_s = self._controls[host].decide(request, self.now_s).retry_delay_s
            if delay_s is not None:
                outcome.refused = True
                if retries > 0:
                    # Callers accept a delay of up to a third of their remaining time.
                    wait_s = min(delay_s, deadline_left_s / 3)
                    if self.impatient_share > self.random.random():
                        wait_s = 0.02
                    self.at(
                        self.now_s + wait_s,
                        lambda: self._start_attempt(
                            host, key, outcome, retries - 1, wait_s
                        ),
                    )
                return
            if candidate.object_load_wait_s > 0.0:
                retry_at_s = self.now_s + min(0.05, candidate.object_load_wait_s)
                admitted = replace(claim, is_admitted=True)
                self.at(
                    retry_at_s,
                    lambda: self._choose(
                        host, key, outcome, timeout_at_s, retries, admitted
                    ),
                )
                return
        upstream = candidate.upstream if candidate else choice
        assert isinstance(upstream, Upstream)
        self._send(host, key, upstream, candidate, outcome, timeout_at_s)

    def _send(
        self,
        host: int,
        key: str,
        upstream: Upstream,
        candidate: Candidate | None,
        outcome: Outcome,
        timeout_at_s: float,
    ) -> None:
        server = next(s for s in self.servers if s.upstream is upstream)
        request = ServerRequest(host, key, self.now_s, timeout_at_s, candidate)
        if candidate is not None:
            self._record_sent(request, upstream)
        if len(server.queue) >= QUEUE_LENGTH_MAX:
            self._end(server, request, None)
            return
        server.queue.append(request)
        self._start_queued(server, outcome_by_request={id(request): outcome})

    def _start_queued(
        self, server: Server, outcome_by_request: dict[int, Outcome]
    ) -> None:
        self._outcome_by_request.update(outcome_by_request)
        while server.queue and len(server.running) < SLOTS:
            request = server.queue.pop(0)
            if request.timeout_at_s <= self.now_s:
                self._end(server, request, None)
                continue
            server.running.append(request)
            median_s = COLD_SERVICE_TIME_S * (
                WARM_TIME_SHARE if request.key in server.warm else 1.0
            )
            service_s = median_s * self.random.lognormvariate(0.0, SERVICE_TIME_SIGMA)
            done_s = min(self.now_s + service_s, request.timeout_at_s)
            is_complete = done_s < request.timeout_at_s
            server.busy_s += done_s - self.now_s
            server.discarded_s += 0.0 if is_complete else done_s - self.now_s
            self.at(done_s, partial(self._finish_service, server, request, is_complete))

    def _finish_service(
        self, server: Server, request: ServerRequest, is_complete: bool
    ) -> None:
        server.running.remove(request)
        if is_complete:
            server.warm.add(request.key)
        self._end(server, request, self.now_s + ROUND_TRIP_S if is_complete else None)
        self._start_queued(server, {})

    def _end(
        self, server: Server, request: ServerRequest, answered_s: float | None
    ) -> None:
        outcome = self._outcome_by_request.pop(id(request), None)
        if outcome is not None:
            outcome.answered_s = answered_s
        if request.candidate is None or not isinstance(self.policy, PlacementPolicy):
            return
        record = self.policy.placements[request.host].record_of(server.upstream)
        record.in_flight -= 1
        object_id = short_id(request.key)
        record.clear_warming(object_id)
        if answered_s is None:
            times = self.policy.placements[request.host].work_times("r", OBJECTIVE_S)
            waited_s = self.now_s - request.sent_s
            record.update_load_after_timeout(waited_s, times.mean_s, self.now_s)
            return
        self._record_answer_time(request, record)
        running, waiting = len(server.running), len(server.queue)
        record.record_load_report(LoadReport(running, waiting, SLOTS), self.now_s)
        if record.record_warm(object_id):
            self._report_to_peers(
                request.host,
                server.upstream,
                lambda other: other.record_warm(object_id),
            )

    def _record_answer_time(
        self, request: ServerRequest, record: UpstreamRecord
    ) -> None:
        assert isinstance(self.policy, PlacementPolicy)
        # A request that was sent to a full upstream probably waited in its queue, and
        # so does not show the service time.
        if request.load_when_sent >= record.slots:
            return
        times = self.policy.placements[request.host].work_times("r", OBJECTIVE_S)
        took_s = self.now_s - request.sent_s
        assert request.candidate is not None
        was_warm = times.record_work_time(request.candidate.is_warm, took_s)
        record.record_speed_ratio(took_s / times.expected_s(was_warm), self.now_s)

    def _record_sent(self, request: ServerRequest, upstream: Upstream) -> None:
        assert isinstance(self.policy, PlacementPolicy)
        assert request.candidate is not None
        record = self.policy.placements[request.host].record_of(upstream)
        request.load_when_sent = record.estimated_load(self.now_s)
        record.in_flight += 1
        if not request.candidate.is_warm:
            object_id = short_id(request.key)
            due_s = self.now_s + request.candidate.expected_latency_s
            record.record_warming(object_id, due_s)
            self._report_to_peers(
                request.host,
                upstream,
                lambda other: other.apply_peer_warming(object_id, due_s),
            )

    def _report_to_peers(
        self,
        host: int,
        upstream: Upstream,
        apply_report: Callable[[UpstreamRecord], object],
    ) -> None:
        assert isinstance(self.policy, PlacementPolicy)
        placements = self.policy.placements

        def apply() -> None:
            for other, placement in enumerate(placements):
                if other != host:
                    apply_report(placement.record_of(upstream))

        self.at(self.now_s + REPORT_DELAY_S, apply)


def make_upstream(number: int, zone: str) -> Upstream:
    """Return an upstream of the simulated service."""
    return Upstream(
        f"i-{number}", "browse", f"h:{number}", zone, "v1", SLOTS, UpstreamState.READY
    )


def uneven_regions() -> list[Server]:
    """Return two upstreams in region A, four in region B and six in region C."""
    zones = ["a"] * 2 + ["b"] * 4 + ["c"] * 6
    return [Server(make_upstream(n, zone)) for n, zone in enumerate(zones)]
