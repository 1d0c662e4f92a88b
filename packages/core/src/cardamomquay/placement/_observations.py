"""Load, speed and health of upstreams, from answers and from other hosts' reports."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field

# Number of objects that an upstream is assumed to keep cached.
WARM_OBJECTS_MAX = 20
# First requests of other hosts that are remembered for an upstream, the latest ones. It
# runs fewer at once. Those without an answer are not reported again, and callers choose
# the objects.
PEER_WARMING_MAX = 64
# A first request for an object is considered lost when it is overdue by this much.
WARMING_GRACE_S = 0.3
# Time constant with which the last reported load of an upstream decays to the mean load
# of its service. Requests for warm objects take 0.2 to 0.5 s, so a queue turns over
# within a second, while the load of the service as a whole changes slowly.
LOAD_DECAY_S = 0.5
# Time constant with which reports lose weight in the mean load of a service.
SERVICE_LOAD_DECAY_S = 1.5
# Number of reports of idle upstreams that the mean load includes in addition to the
# received ones, since few reports say little about other upstreams.
IDLE_PRIOR_REPORTS = 3.0
# Time constant with which fault rate and slowness decay, so that an upstream that was
# avoided because of them gets a few requests again.
HEALTH_DECAY_S = 4.0
SLOWNESS_EWMA_WEIGHT = 0.3
# Time constant with which the reported time factor of a machine decays to the mean of
# its service: other work on the machine comes and goes within about half a second.
TIME_FACTOR_DECAY_S = 0.5
# Number of reports over which the mean time factor of a service is taken.
TIME_FACTOR_MEAN_REPORTS = 50
# Limits of a reported time factor, so that a wrong one does not rule an upstream out.
TIME_FACTOR_RANGE = (0.1, 20.0)
# Limits of a single ratio of actual to expected processing time.
SLOWNESS_RANGE = (0.5, 20.0)
FAULT_EWMA_WEIGHT = 0.35
# Consecutive failures to connect or to answer after which an upstream is ejected. A
# timeout counts less, since a full queue looks the same as a dead upstream.
EJECTION_FAILURES = 2
TIMEOUT_FAILURE_WEIGHT = 0.5
# Duration of the first ejection; it doubles with each further failure, up to the limit.
EJECTION_MIN_S = 1.0
EJECTION_MAX_S = 8.0
EJECTION_DOUBLINGS_MAX = math.log2(EJECTION_MAX_S / EJECTION_MIN_S)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an upstream reports.

    Parameters
    ----------
    running, waiting : int
        Numbers of requests.
    slots : int
    time_factor : float or None
        How long work takes on its machine at that moment, compared with usual; 1 is
        usual. None if the upstream does not report it.
    """

    running: int
    waiting: int
    slots: int
    time_factor: float | None = None


class ServiceLoad:
    """Mean number of requests per slot that other hosts have at a service.

    Attributes
    ----------
    mean_time_factor : float
        Mean of the time factors that its upstreams have reported; 1 without any.
    """

    def __init__(self) -> None:
        self.mean_time_factor = 1.0
        self._weight = 0.0
        self._sum = 0.0
        self._updated_s = -math.inf

    def add_report(self, per_slot: float, now_s: float) -> None:
        """Include the load that one upstream reports."""
        decay = self._decay_factor(now_s)
        self._weight = self._weight * decay + 1.0
        self._sum = self._sum * decay + per_slot
        self._updated_s = now_s

    def add_time_factor(self, time_factor: float) -> None:
        """Include the time factor that one upstream reports."""
        difference = time_factor - self.mean_time_factor
        self.mean_time_factor += difference / TIME_FACTOR_MEAN_REPORTS

    def per_slot(self, now_s: float) -> float:
        """Return requests of other hosts per slot; 0 without recent reports."""
        decay = self._decay_factor(now_s)
        return self._sum * decay / (self._weight * decay + IDLE_PRIOR_REPORTS)

    def _decay_factor(self, now_s: float) -> float:
        return math.exp(-(now_s - self._updated_s) / SERVICE_LOAD_DECAY_S)


@dataclass
class UpstreamRecord:
    """Load, speed and health of one upstream, as estimated by this host.

    Parameters
    ----------
    slots : int
    service_load : ServiceLoad
        Load of the service that the upstream belongs to.
    in_flight : int
        Requests of this host that the upstream has not answered yet.
    slowness, slowness_updated_s : float
        Ratio of actual to expected processing time as of the time of its update,
        without the part that the reported time factor explains.
    fault_rate, fault_updated_s : float
        Share of failing requests as of the time of its update.
    consecutive_failures : float
        Failures to connect or to answer since the last success; a timeout counts as
        `TIMEOUT_FAILURE_WEIGHT`.
    ejected_until_s : float
    full_until_s : float
        Until then the upstream counts as full, since it has refused a request because
        of its load.
    """

    slots: int
    service_load: ServiceLoad = field(default_factory=ServiceLoad)
    in_flight: int = 0
    slowness: float = 1.0
    slowness_updated_s: float = 0.0
    fault_rate: float = 0.0
    fault_updated_s: float = 0.0
    consecutive_failures: float = 0.0
    ejected_until_s: float = -math.inf
    full_until_s: float = -math.inf
    _time_factor: float | None = None
    _time_factor_s: float = -math.inf
    _peer_requests: float = 0.0
    _load_updated_s: float = -math.inf
    _warm_objects: OrderedDict[int, None] = field(default_factory=OrderedDict)
    _warming_due_s: dict[int, float] = field(default_factory=dict)
    _peer_warming_due_s: dict[int, float] = field(default_factory=dict)

    def estimated_load(self, now_s: float) -> float:
        """Return the estimated number of running and waiting requests."""
        service_mean = self.service_load.per_slot(now_s) * self.slots
        weight = math.exp(-(now_s - self._load_updated_s) / LOAD_DECAY_S)
        reported = service_mean + weight * (self._peer_requests - service_mean)
        from_peers = sum(due_s > now_s for due_s in self._peer_warming_due_s.values())
        return self.in_flight + max(reported, from_peers)

    def record_load_report(self, report: LoadReport, now_s: float) -> None:
        """Update the load from a report that came with an answer.

        `in_flight` must no longer include the answered request.
        """
        self.slots = max(1, report.slots)
        total = report.running + report.waiting
        self._peer_requests = max(0.0, total - self.in_flight)
        self._load_updated_s = now_s
        self.service_load.add_report(self._peer_requests / self.slots, now_s)
        if report.time_factor is not None:
            low, high = TIME_FACTOR_RANGE
            self._time_factor = min(high, max(low, report.time_factor))
            self._time_factor_s = now_s
            self.service_load.add_time_factor(self._time_factor)

    def update_load_after_timeout(
        self, waited_s: float, mean_work_s: float, now_s: float
    ) -> None:
        """Estimate the load from a request that timed out.

        `in_flight` must no longer include that request. All slots were busy while it
        waited, so the queue ahead of it held at least as many requests as the slots
        finish in that time.
        """
        ahead = self.slots * waited_s / max(mean_work_s, 1e-3) - self.slots
        self._peer_requests = max(self._peer_requests, ahead - self.in_flight)
        self._load_updated_s = now_s

    def load_age_s(self, now_s: float) -> float:
        """Return the age of the last load report or timeout; infinite without one."""
        return now_s - self._load_updated_s

    def is_warm(self, object_id: int) -> bool:
        """Return whether the upstream is assumed to have an object cached."""
        return object_id in self._warm_objects

    def warm_at_s(self, object_id: int, now_s: float) -> float | None:
        """Return when the first request for an object is expected to finish.

        Returns
        -------
        float or None
            None if no such request is in flight.
        """
        due_s = self._warming_due_s.get(
            object_id, self._peer_warming_due_s.get(object_id)
        )
        if due_s is None or due_s + WARMING_GRACE_S < now_s:
            return None
        return max(due_s, now_s)

    def running_cold_requests(self, now_s: float) -> int:
        """Return the estimated number of running requests for cold objects."""
        own = sum(due_s > now_s for due_s in self._warming_due_s.values())
        from_peers = sum(due_s > now_s for due_s in self._peer_warming_due_s.values())
        return own + from_peers

    @property
    def object_count(self) -> int:
        """Number of objects that are assumed to be cached or being loaded."""
        return (
            len(self._warm_objects)
            + len(self._warming_due_s)
            + len(self._peer_warming_due_s)
        )

    def record_warming(self, object_id: int, due_s: float) -> None:
        """Record that this host has sent the first request for an object."""
        self._warming_due_s[object_id] = due_s

    def apply_peer_warming(self, object_id: int, due_s: float) -> None:
        """Record that another host has sent the first request for an object."""
        self._peer_warming_due_s.pop(object_id, None)
        self._peer_warming_due_s[object_id] = due_s
        if len(self._peer_warming_due_s) > PEER_WARMING_MAX:
            del self._peer_warming_due_s[next(iter(self._peer_warming_due_s))]

    def clear_warming(self, object_id: int) -> None:
        """Remove a first request that ended without an answer."""
        self._warming_due_s.pop(object_id, None)

    def record_warm(self, object_id: int) -> bool:
        """Mark an object as warm; return whether it was not warm before."""
        is_new = object_id not in self._warm_objects
        self._warming_due_s.pop(object_id, None)
        self._peer_warming_due_s.pop(object_id, None)
        self._warm_objects[object_id] = None
        self._warm_objects.move_to_end(object_id)
        while len(self._warm_objects) > WARM_OBJECTS_MAX:
            self._warm_objects.popitem(last=False)
        return is_new

    def record_cold(self, object_id: int) -> None:
        """Mark an object as cold, after an answer as slow as for a cold one."""
        self._warm_objects.pop(object_id, None)

    def clear_objects(self) -> None:
        """Mark all objects as cold, after a restart of the upstream."""
        self._warm_objects.clear()
        self._warming_due_s.clear()
        self._peer_warming_due_s.clear()

    def time_factor(self, now_s: float) -> float:
        """Return the estimated time factor of its machine, from its latest report."""
        mean = self.service_load.mean_time_factor
        if self._time_factor is None:
            return mean
        weight = math.exp(-(now_s - self._time_factor_s) / TIME_FACTOR_DECAY_S)
        return mean + weight * (self._time_factor - mean)

    def work_factor(self, now_s: float) -> float:
        """Return the ratio of processing times there now to those measured usually."""
        return self.current_slowness(now_s) * self.time_factor(now_s)

    def current_slowness(self, now_s: float) -> float:
        """Return the ratio to the expected processing time, which decays to 1."""
        age_s = now_s - self.slowness_updated_s
        return 1.0 + (self.slowness - 1.0) * math.exp(-age_s / HEALTH_DECAY_S)

    def current_fault_rate(self, now_s: float) -> float:
        """Return the estimated share of failing requests, which decays to 0."""
        return self.fault_rate * math.exp(
            -(now_s - self.fault_updated_s) / HEALTH_DECAY_S
        )

    def record_speed_ratio(self, ratio: float, now_s: float) -> None:
        """Update the slowness from the ratio of actual to expected processing time."""
        low, high = SLOWNESS_RANGE
        previous = self.current_slowness(now_s)
        ratio = min(high, max(low, ratio))
        self.slowness = previous + SLOWNESS_EWMA_WEIGHT * (ratio - previous)
        self.slowness_updated_s = now_s

    def record_success(self, now_s: float) -> None:
        """Record a successful answer, and end an ejection."""
        self._update_fault_rate(0.0, now_s)
        self.consecutive_failures = 0.0
        self.ejected_until_s = -math.inf

    def record_failure(self, now_s: float) -> None:
        """Record a failed answer of a reachable upstream."""
        self._update_fault_rate(1.0, now_s)

    def record_unreachable(self, now_s: float) -> None:
        """Record that the upstream did not accept a connection."""
        self._count_failure(1.0, now_s)

    def record_timeout(self, now_s: float) -> None:
        """Record a request that timed out, as less than a whole failure.

        A full queue looks the same as a dead upstream, so ejection takes more timeouts
        than failed connections.
        """
        self._count_failure(TIMEOUT_FAILURE_WEIGHT, now_s)

    def _count_failure(self, weight: float, now_s: float) -> None:
        self._update_fault_rate(1.0, now_s)
        self.consecutive_failures += weight
        if self.consecutive_failures >= EJECTION_FAILURES:
            doublings = self.consecutive_failures - EJECTION_FAILURES
            ejection_s = EJECTION_MIN_S * 2 ** min(doublings, EJECTION_DOUBLINGS_MAX)
            self.ejected_until_s = now_s + min(EJECTION_MAX_S, ejection_s)

    def _update_fault_rate(self, value: float, now_s: float) -> None:
        previous = self.current_fault_rate(now_s)
        self.fault_rate = previous + FAULT_EWMA_WEIGHT * (value - previous)
        self.fault_updated_s = now_s
