"""A small load model in paused time: hosts, upstreams with slots, warm objects.

The hosts use the real choice of upstreams and tell each other what is warm with a
delay. An upstream works a third as long on an object that it handled before, cancels
work at the caller's time limit, and turns requests away when its queue is full.
"""

from __future__ import annotations

import heapq
import random
from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import TYPE_CHECKING

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

SLOTS = 3
QUEUE = 9
COLD_S = 0.88
WARM_SHARE = 0.3
SPREAD = 0.15
OBJECTIVE_S = 0.6
TIMEOUT_S = 1.2
NEWS_DELAY_S = 0.15
DEADLINE_S = 4.0
REGION_OF = {"a": "A", "b": "B", "c": "C"}
ROUND_TRIP_S = 0.07


@dataclass
class Work:
    """A request at an upstream."""

    host: int
    key: str
    began_s: float
    due_s: float
    candidate: Candidate | None
    occupied: float = 0.0


@dataclass
class Server:
    """An upstream with slots, a queue and warm objects."""

    upstream: Upstream
    running: list[Work] = field(default_factory=list)
    queue: list[Work] = field(default_factory=list)
    warm: set[str] = field(default_factory=set)
    busy_s: float = 0.0

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return len(self.running) + len(self.queue)


@dataclass
class Outcome:
    """What became of one request of a caller."""

    asked_s: float
    zone: str = ""
    answered_s: float | None = None
    refused: bool = False


class Policy(ABC):
    """How a host chooses an upstream."""

    @abstractmethod
    def choose(
        self, host: int, key: str, servers: list[Server], now_s: float
    ) -> Candidate | Upstream | None:
        """Return the choice, None to refuse."""


class RandomPolicy(Policy):
    """Any upstream; the baseline."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def choose(
        self, host: int, key: str, servers: list[Server], now_s: float
    ) -> Candidate | Upstream | None:
        return self._random.choice(servers).upstream


class LeastLoadedPolicy(Policy):
    """The least loaded upstream of the host's region, with its load known at once."""

    def __init__(self, zones: list[str]) -> None:
        self._zones = zones

    def choose(
        self, host: int, key: str, servers: list[Server], now_s: float
    ) -> Candidate | Upstream | None:
        region = REGION_OF[self._zones[host]]
        near = [s for s in servers if REGION_OF[s.upstream.zone] == region]
        return min(near or servers, key=lambda s: s.load).upstream


class FixedPolicy(Policy):
    """The first upstream of the object's rank, whatever its load."""

    def choose(
        self, host: int, key: str, servers: list[Server], now_s: float
    ) -> Candidate | Upstream | None:
        return max(
            servers, key=lambda s: rendezvous_hash(key, s.upstream.instance)
        ).upstream


class PlacementPolicy(Policy):
    """The product's choice, one for each host."""

    def __init__(self, zones: list[str]) -> None:
        self.placements = [Placement(ZoneLatencies(zone, REGION_OF)) for zone in zones]

    def choose(
        self, host: int, key: str, servers: list[Server], now_s: float
    ) -> Candidate | Upstream | None:
        wanted = PlacementRequest("r", "browse", key, OBJECTIVE_S, frozenset())
        upstreams = [server.upstream for server in servers]
        return self.placements[host].choose(wanted, upstreams, (), now_s)


class LoadModel:
    """Plays requests against upstreams.

    Parameters
    ----------
    policy : Policy
    zones : list of str
        Availability zone of each host.
    servers : list of Server
    seed : int
    overload_control : OverloadControl, optional
        Decides whether a request may join a queue.
    """

    def __init__(
        self,
        policy: Policy,
        zones: list[str],
        servers: list[Server],
        seed: int,
        overload_control: OverloadControl | None = None,
    ) -> None:
        self.policy = policy
        self.zones = zones
        self.servers = servers
        self.random = random.Random(seed)
        self._overload_control = overload_control or OverloadControl(self.random)
        self.now_s = 0.0
        self.outcomes: list[Outcome] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0
        self._outcomes_of: dict[int, Outcome] = {}
        self._lost: list[Server] = []

    @property
    def busy_s(self) -> float:
        """Time that all slots have spent on requests."""
        return sum(server.busy_s for server in (*self.servers, *self._lost))

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Call an action at a time."""
        self._serial += 1
        heapq.heappush(self._events, (time_s, self._serial, action))

    def offer(self, from_s: float, to_s: float, per_s: float, objects: int) -> None:
        """Let callers of all zones send requests for their regions' objects."""
        time_s = from_s
        while time_s < to_s:
            time_s += self.random.expovariate(per_s)
            host = self.random.randrange(len(self.zones))
            key = f"{self.zones[host]}-{self.random.randrange(objects)}"
            outcome = Outcome(time_s, self.zones[host])
            self.outcomes.append(outcome)
            self.at(time_s, partial(self._ask, host, key, outcome, True))

    def lose(self, time_s: float, zone: str) -> None:
        """Take the upstreams of a zone away."""

        def remove() -> None:
            self._lost += [s for s in self.servers if s.upstream.zone == zone]
            self.servers = [s for s in self.servers if s.upstream.zone != zone]

        self.at(time_s, remove)

    def run(self) -> None:
        """Play until nothing is left to do."""
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def in_objective(self, from_s: float, to_s: float) -> float:
        """Return the share of requests asked in a span that were in the objective."""
        asked = [o for o in self.outcomes if from_s <= o.asked_s < to_s]
        good = [
            o
            for o in asked
            if o.answered_s is not None and o.answered_s - o.asked_s <= OBJECTIVE_S
        ]
        return len(good) / max(1, len(asked))

    def answered(self, from_s: float, to_s: float) -> float:
        """Return the share of requests asked in a span that were answered at all."""
        asked = [o for o in self.outcomes if from_s <= o.asked_s < to_s]
        return sum(o.answered_s is not None for o in asked) / max(1, len(asked))

    def _ask(self, host: int, key: str, outcome: Outcome, may_come_back: bool) -> None:
        limit_s = self.now_s + TIMEOUT_S
        self._choose(host, key, outcome, limit_s, may_come_back)

    def _choose(
        self,
        host: int,
        key: str,
        outcome: Outcome,
        limit_s: float,
        may_come_back: bool,
    ) -> None:
        choice = self.policy.choose(host, key, self.servers, self.now_s)
        candidate = choice if isinstance(choice, Candidate) else None
        if candidate is not None:
            deadline_left_s = outcome.asked_s + DEADLINE_S - self.now_s
            timing = RequestTiming(
                limit_s - self.now_s,
                outcome.asked_s + OBJECTIVE_S - self.now_s,
                deadline_left_s,
            )
            pause_s = self._overload_control.retry_delay_s(candidate, timing)
            if pause_s is not None:
                outcome.refused = True
                if may_come_back:
                    again_s = self.now_s + min(pause_s, deadline_left_s / 3)
                    self.at(again_s, lambda: self._ask(host, key, outcome, False))
                return
            if candidate.warm_up_wait_s > 0.0:
                again_s = self.now_s + min(0.05, candidate.warm_up_wait_s)
                self.at(
                    again_s,
                    lambda: self._choose(host, key, outcome, limit_s, may_come_back),
                )
                return
        upstream = candidate.upstream if candidate else choice
        assert isinstance(upstream, Upstream)
        self._send(host, key, upstream, candidate, outcome, limit_s)

    def _send(
        self,
        host: int,
        key: str,
        upstream: Upstream,
        candidate: Candidate | None,
        outcome: Outcome,
        limit_s: float,
    ) -> None:
        server = next(s for s in self.servers if s.upstream is upstream)
        work = Work(host, key, self.now_s, limit_s, candidate)
        if candidate is not None:
            self._note_sent(work, upstream)
        if len(server.queue) >= QUEUE:
            self._end(server, work, None)
            return
        server.queue.append(work)
        self._start(server, outcome_of={id(work): outcome})

    def _start(self, server: Server, outcome_of: dict[int, Outcome]) -> None:
        self._outcomes_of.update(outcome_of)
        while server.queue and len(server.running) < SLOTS:
            work = server.queue.pop(0)
            if work.due_s <= self.now_s:
                self._end(server, work, None)
                continue
            server.running.append(work)
            mean_s = COLD_S * (WARM_SHARE if work.key in server.warm else 1.0)
            takes_s = mean_s * self.random.lognormvariate(0.0, SPREAD)
            done_s = min(self.now_s + takes_s, work.due_s)
            is_whole = done_s < work.due_s
            server.busy_s += done_s - self.now_s
            self.at(done_s, partial(self._finish, server, work, is_whole))

    def _finish(self, server: Server, work: Work, is_whole: bool) -> None:
        server.running.remove(work)
        if is_whole:
            server.warm.add(work.key)
        self._end(server, work, self.now_s + ROUND_TRIP_S if is_whole else None)
        self._start(server, {})

    def _end(self, server: Server, work: Work, answered_s: float | None) -> None:
        outcome = self._outcomes_of.pop(id(work), None)
        if outcome is not None:
            outcome.answered_s = answered_s
        if work.candidate is None or not isinstance(self.policy, PlacementPolicy):
            return
        record = self.policy.placements[work.host].record_of(server.upstream)
        record.in_flight -= 1
        object_id = short_id(work.key)
        record.clear_warming(object_id)
        if answered_s is None:
            times = self.policy.placements[work.host].work_times("r", OBJECTIVE_S)
            waited_s = self.now_s - work.began_s
            record.update_load_after_timeout(waited_s, times.mean_s, self.now_s)
            return
        self._learn_work(work, record)
        running, waiting = len(server.running), len(server.queue)
        record.record_load_report(LoadReport(running, waiting, SLOTS), self.now_s)
        if record.record_warm(object_id):
            self._tell(
                work.host, server.upstream, lambda other: other.record_warm(object_id)
            )

    def _learn_work(self, work: Work, record: UpstreamRecord) -> None:
        assert isinstance(self.policy, PlacementPolicy)
        if work.occupied >= record.slots:
            return
        times = self.policy.placements[work.host].work_times("r", OBJECTIVE_S)
        took_s = self.now_s - work.began_s
        was_warm = times.looks_warm(took_s / record.current_slowness(self.now_s))
        times.observe(was_warm, took_s)
        record.record_speed_ratio(took_s / times.expected_s(was_warm), self.now_s)

    def _note_sent(self, work: Work, upstream: Upstream) -> None:
        assert isinstance(self.policy, PlacementPolicy)
        assert work.candidate is not None
        record = self.policy.placements[work.host].record_of(upstream)
        work.occupied = record.estimated_load(self.now_s)
        record.in_flight += 1
        if not work.candidate.is_warm:
            object_id = short_id(work.key)
            due_s = self.now_s + work.candidate.expected_latency_s
            record.record_warming(object_id, due_s)
            self._tell(
                work.host,
                upstream,
                lambda other: other.apply_peer_warming(object_id, due_s),
            )

    def _tell(
        self, host: int, upstream: Upstream, news: Callable[[UpstreamRecord], object]
    ) -> None:
        assert isinstance(self.policy, PlacementPolicy)
        placements = self.policy.placements

        def apply() -> None:
            for other, placement in enumerate(placements):
                if other != host:
                    news(placement.record_of(upstream))

        self.at(self.now_s + NEWS_DELAY_S, apply)


def upstream(number: int, zone: str) -> Upstream:
    """Return an upstream of the service under test."""
    return Upstream(
        f"i-{number}", "browse", f"h:{number}", zone, "v1", SLOTS, UpstreamState.READY
    )


def uneven_regions() -> list[Server]:
    """Return twelve upstreams: two, four and six in three regions."""
    zones = ["a"] * 2 + ["b"] * 4 + ["c"] * 6
    return [Server(upstream(n, zone)) for n, zone in enumerate(zones)]
