"""What one host knows of one upstream from its answers."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field

# Objects that an upstream is assumed to keep warm at the same time.
WARM_OBJECTS_MAX = 20
# A first request for an object that is this much overdue counts as lost.
WARMING_OVERDUE_S = 0.3
# Time in which a reported load approaches that of the service. Warm work takes 0.2 to
# 0.5 s, so an upstream's own queue is another one a second later, while the load that
# hosts put on the service together changes slowly.
LOAD_MEMORY_S = 0.5
# Time over which the load of a service is averaged, and the weight, in reports, with
# which it is taken for idle: few reports tell little of the other upstreams.
SERVICE_LOAD_MEMORY_S = 1.5
IDLE_REPORTS = 3.0
# Failures and slowness fade so that an upstream is tried again by single requests.
FAULT_MEMORY_S = 4.0
SLOWNESS_LEARNING_RATE = 0.3
SLOWNESS_RANGE = (0.5, 20.0)
FAULT_LEARNING_RATE = 0.35
# Failures in a row to connect or to answer after which nothing is sent for a time.
EJECTION_FAILURES = 2
SILENCE_WEIGHT = 0.5
EJECTION_S = 1.0
EJECTION_MAX_S = 8.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Requests that an upstream runs and queues, by its own account."""

    running: int
    waiting: int
    slots: int


class ServiceLoad:
    """Mean load that other hosts put on the upstreams of a service, for each slot."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._sum = 0.0
        self._seen_s = -math.inf

    def note(self, per_slot: float, now_s: float) -> None:
        """Learn from the load that one upstream reports."""
        fade = self._fade(now_s)
        self._weight = self._weight * fade + 1.0
        self._sum = self._sum * fade + per_slot
        self._seen_s = now_s

    def per_slot(self, now_s: float) -> float:
        """Return requests of other hosts for each slot; 0 without recent reports."""
        fade = self._fade(now_s)
        return self._sum * fade / (self._weight * fade + IDLE_REPORTS)

    def _fade(self, now_s: float) -> float:
        return math.exp(-(now_s - self._seen_s) / SERVICE_LOAD_MEMORY_S)


@dataclass
class UpstreamRecord:
    """Load, speed and health of one upstream, as seen by this host.

    Parameters
    ----------
    slots : int
    service_load : ServiceLoad
        Of the upstream's service.
    """

    slots: int
    service_load: ServiceLoad = field(default_factory=ServiceLoad)
    in_flight: int = 0
    slowness: float = 1.0
    slowness_seen_s: float = 0.0
    fault_rate: float = 0.0
    fault_seen_s: float = 0.0
    failures_in_row: float = 0.0
    ejected_until_s: float = -math.inf
    full_until_s: float = -math.inf
    _others: float = 0.0
    _load_seen_s: float = -math.inf
    _warm: OrderedDict[int, None] = field(default_factory=OrderedDict)
    _warming: dict[int, float] = field(default_factory=dict)
    _warming_elsewhere: dict[int, float] = field(default_factory=dict)

    def occupied(self, now_s: float) -> float:
        """Return the requests believed to run or wait at the upstream."""
        usual = self.service_load.per_slot(now_s) * self.slots
        weight = math.exp(-(now_s - self._load_seen_s) / LOAD_MEMORY_S)
        reported = usual + weight * (self._others - usual)
        told = sum(due_s > now_s for due_s in self._warming_elsewhere.values())
        return self.in_flight + max(reported, told)

    def note_load(self, report: LoadReport, now_s: float) -> None:
        """Learn from the load that an answer states; `in_flight` excludes it."""
        self.slots = max(1, report.slots)
        total = report.running + report.waiting
        self._others = max(0.0, total - self.in_flight)
        self._load_seen_s = now_s
        self.service_load.note(self._others / self.slots, now_s)

    def note_timed_out(self, waited_s: float, mean_work_s: float, now_s: float) -> None:
        """Learn from a request without an answer; `in_flight` excludes it.

        The upstream kept its slots busy all the while, so at least as many requests
        were before this one as the slots finish in that time.
        """
        ahead = self.slots * waited_s / max(mean_work_s, 1e-3) - self.slots
        self._others = max(self._others, ahead - self.in_flight)
        self._load_seen_s = now_s

    def is_warm(self, token: int) -> bool:
        """Tell whether the upstream is believed to have handled an object lately."""
        return token in self._warm

    def warm_at_s(self, token: int, now_s: float) -> float | None:
        """Return when an object that is handled for the first time will be warm.

        Returns
        -------
        float or None
            None if no such request is on its way.
        """
        due_s = self._warming.get(token, self._warming_elsewhere.get(token))
        if due_s is None or due_s + WARMING_OVERDUE_S < now_s:
            return None
        return max(due_s, now_s)

    def cold_runs(self, now_s: float) -> int:
        """Return the requests for cold objects that are believed to run."""
        own = sum(due_s > now_s for due_s in self._warming.values())
        told = sum(due_s > now_s for due_s in self._warming_elsewhere.values())
        return own + told

    @property
    def warm_count(self) -> int:
        """Number of objects that the upstream is believed to have at hand."""
        return len(self._warm) + len(self._warming) + len(self._warming_elsewhere)

    def note_warming(self, token: int, due_s: float) -> None:
        """Remember that a first request for an object is on its way."""
        self._warming[token] = due_s

    def note_warming_elsewhere(self, token: int, due_s: float) -> None:
        """Remember a first request that another host has sent."""
        self._warming_elsewhere[token] = due_s

    def note_not_warmed(self, token: int) -> None:
        """Forget a first request that ended without an answer."""
        self._warming.pop(token, None)

    def note_handled(self, token: int) -> bool:
        """Remember that the upstream handled an object; return whether it is news."""
        is_new = token not in self._warm
        self._warming.pop(token, None)
        self._warming_elsewhere.pop(token, None)
        self._warm[token] = None
        self._warm.move_to_end(token)
        while len(self._warm) > WARM_OBJECTS_MAX:
            self._warm.popitem(last=False)
        return is_new

    def note_cold(self, token: int) -> None:
        """Forget an object that took as long as one that is new to the upstream."""
        self._warm.pop(token, None)

    def forget_objects(self) -> None:
        """Forget all objects, after a restart of the upstream."""
        self._warm.clear()
        self._warming.clear()
        self._warming_elsewhere.clear()

    def current_slowness(self, now_s: float) -> float:
        """Return the factor of the usual work time, drifting back to 1."""
        age_s = now_s - self.slowness_seen_s
        return 1.0 + (self.slowness - 1.0) * math.exp(-age_s / FAULT_MEMORY_S)

    def current_fault_rate(self, now_s: float) -> float:
        """Return the believed share of failing requests, fading out."""
        return self.fault_rate * math.exp(-(now_s - self.fault_seen_s) / FAULT_MEMORY_S)

    def note_speed(self, ratio: float, now_s: float) -> None:
        """Learn from the ratio of a request's work time to the expected one."""
        low, high = SLOWNESS_RANGE
        before = self.current_slowness(now_s)
        ratio = min(high, max(low, ratio))
        self.slowness = before + SLOWNESS_LEARNING_RATE * (ratio - before)
        self.slowness_seen_s = now_s

    def note_success(self, now_s: float) -> None:
        """Record a proper answer."""
        self._note_fault(0.0, now_s)
        self.failures_in_row = 0.0
        self.ejected_until_s = -math.inf

    def note_fault(self, now_s: float) -> None:
        """Record a failed answer of an upstream that can be reached."""
        self._note_fault(1.0, now_s)

    def note_unreachable(self, now_s: float) -> None:
        """Record that the upstream did not accept a connection."""
        self._note_failure(1.0, now_s)

    def note_silent(self, now_s: float) -> None:
        """Record a request that ended without an answer in time.

        A full queue looks the same as a dead upstream, so it takes more of them.
        """
        self._note_failure(SILENCE_WEIGHT, now_s)

    def _note_failure(self, weight: float, now_s: float) -> None:
        self._note_fault(1.0, now_s)
        self.failures_in_row += weight
        if self.failures_in_row >= EJECTION_FAILURES:
            doubled = EJECTION_S * 2 ** (self.failures_in_row - EJECTION_FAILURES)
            self.ejected_until_s = now_s + min(EJECTION_MAX_S, doubled)

    def _note_fault(self, value: float, now_s: float) -> None:
        before = self.current_fault_rate(now_s)
        self.fault_rate = before + FAULT_LEARNING_RATE * (value - before)
        self.fault_seen_s = now_s
