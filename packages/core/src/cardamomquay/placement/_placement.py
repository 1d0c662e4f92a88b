"""Chooses upstreams by expected latency, with affinity of objects to upstreams.

A few dozen objects make up nearly all requests. An upstream that has handled an object
recently (the object is warm there) needs about a third of the time for it, and
processing all requests cold would exceed the capacity of all slots. Upstreams are
therefore ranked for each object in the same order on all hosts of a region, which keeps
each object on few upstreams. A request goes to another upstream only if its expected
latency is lower there even with a cold object.

While the first request for an object is in flight at an upstream, other requests for
the object wait for it or are refused with a retry delay. Sent at once, each of them
would occupy a slot for a cold request, and after the loss of a zone or during a
roll-out all slots would be taken by requests that time out and warm nothing.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.placement._observations import ServiceLoad
from cardamomquay.placement._observations import UpstreamRecord
from cardamomquay.placement._ranking import short_id
from cardamomquay.placement._ranking import weighted_rendezvous_score
from cardamomquay.placement._work_times import WorkTimes

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping

    from cardamomquay.placement._zone_latencies import ZoneLatencies
    from cardamomquay.traffic import Upstream

# Weight of upstreams of the host's own region in the ranking. Callers of a region
# request objects of that region; with 3, more than half of the requests stay in the
# region and the load of regions with unequal slots differs by less than a tenth.
OWN_REGION_WEIGHT = 3.0
# Cost added for a cold request at an upstream below the first rank: waiting in a short
# queue is better than a second upstream that processes the object cold.
LOWER_RANK_PENALTY_S = 0.3
# Cost of a failure as a multiple of the latency objective: the time until the failure
# is detected, and the retry.
FAULT_COST_OBJECTIVES = 2.0
# Shortest processing time as a share of the mean; processing times vary by about 15%.
MIN_WORK_SHARE = 0.8
# An upstream with less than this share of the mean number of objects takes over objects
# that are warm at others.
UNDERFILLED_SHARE = 0.35
# Requests per slot at which upstreams typically refuse further ones.
FULL_REQUESTS_PER_SLOT = 4
# Number of upstreams evaluated for a request, in order of rank. Others are evaluated
# only if the object is warm there: with this many busy, the service is full.
RANKED_CANDIDATES_MAX = 24
# Number of objects whose ranking is cached, so that it is not computed again while a
# request waits for its object. An entry takes about 2 KB with 126 upstreams.
RANK_CACHE_SIZE = 512
# Costs that differ by less than this count as equal; the higher rank is then chosen.
COST_TIE_S = 0.02


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Properties of a request that the choice of an upstream depends on.

    Parameters
    ----------
    route : str
    service : str
    object_key : str
        Key of the object that the request concerns; empty if unknown.
    objective_s : float
    allowed_regions : frozenset of str
        Regions that may serve the request; empty for all.
    """

    route: str
    service: str
    object_key: str
    objective_s: float
    allowed_regions: frozenset[str]


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream with the expected outcome of a request sent to it now.

    Parameters
    ----------
    upstream : Upstream
    expected_latency_s : float
        Expected seconds until the answer arrives.
    min_latency_s : float
        Shortest time in seconds in which an answer can arrive. If it exceeds the
        remaining time, the request cannot be served in time.
    cost_s : float
        `expected_latency_s` plus penalties for failures, for other zones, and for cold
        requests at upstreams below the first rank.
    is_warm : bool
        Whether the upstream has the object cached, or will have after
        `object_load_wait_s`.
    object_load_wait_s : float
        Seconds until another request has loaded the object; 0 to send at once.
    queue_wait_s : float
        Expected seconds until a slot is free.
    work_s : float
        Expected seconds for which the request occupies a slot.
    load_age_s : float
        Age in seconds of the upstream's last load report; infinite without one.
    """

    upstream: Upstream
    expected_latency_s: float
    min_latency_s: float
    cost_s: float
    is_warm: bool
    object_load_wait_s: float
    queue_wait_s: float
    work_s: float = 0.0
    load_age_s: float = math.inf


@dataclass(frozen=True, slots=True)
class _CachedRank:
    members: tuple[str, ...]
    order: tuple[str, ...]


class Placement:
    """Chooses upstreams for one host.

    Parameters
    ----------
    zone_latencies : ZoneLatencies
    """

    def __init__(self, zone_latencies: ZoneLatencies) -> None:
        self._zone_latencies = zone_latencies
        self._records: dict[str, UpstreamRecord] = {}
        self._by_short_id: dict[int, UpstreamRecord] = {}
        self._service_loads: dict[str, ServiceLoad] = {}
        self._work_times: dict[str, WorkTimes] = {}
        self._rank_cache: OrderedDict[tuple[str, str], _CachedRank] = OrderedDict()

    def record_of(self, upstream: Upstream) -> UpstreamRecord:
        """Return the record of an upstream, created on first use."""
        known = self._records.get(upstream.instance)
        if known is None:
            load = self._service_loads.setdefault(upstream.service, ServiceLoad())
            known = UpstreamRecord(max(1, upstream.capacity), load)
            self._records[upstream.instance] = known
            self._by_short_id[short_id(upstream.instance)] = known
        return known

    def record_by_short_id(self, upstream_id: int) -> UpstreamRecord | None:
        """Return the record of an upstream that another host has reported on."""
        return self._by_short_id.get(upstream_id)

    def clear_record(self, instance: str) -> None:
        """Remove the record of an upstream that no longer exists."""
        self._records.pop(instance, None)
        self._by_short_id.pop(short_id(instance), None)

    def work_times(self, route: str, objective_s: float) -> WorkTimes:
        """Return the processing times of a route, created on first use."""
        known = self._work_times.get(route)
        if known is None:
            known = self._work_times[route] = WorkTimes.from_objective(objective_s)
        return known

    def choose(
        self,
        request: PlacementRequest,
        upstreams: Iterable[Upstream],
        excluded: Collection[str],
        now_s: float,
    ) -> Candidate | None:
        """Return the upstream with the lowest expected cost.

        The upstream of the first rank is chosen at any cost if it has few objects, no
        request of this host is in flight there, and it runs none for a cold object.

        Parameters
        ----------
        request : PlacementRequest
        upstreams : iterable of Upstream
            Upstreams to which the request may be sent now.
        excluded : collection of str
            Instances that were tried before.
        now_s : float

        Returns
        -------
        Candidate or None
            None if there is no upstream to choose from.
        """
        ranked = self._usable(request, upstreams, excluded, now_s)
        if not ranked:
            return None
        if self._needs_objects(ranked, now_s):
            return self._make_candidate(request, *ranked[0], 0, now_s)
        best: Candidate | None = None
        object_id = short_id(request.object_key) if request.object_key else 0
        for rank, (upstream, record) in enumerate(ranked):
            if rank >= RANKED_CANDIDATES_MAX and not record.is_warm(object_id):
                continue
            candidate = self._make_candidate(request, upstream, record, rank, now_s)
            if best is None or candidate.cost_s < best.cost_s - COST_TIE_S:
                best = candidate
        return best

    def _usable(
        self,
        request: PlacementRequest,
        upstreams: Iterable[Upstream],
        excluded: Collection[str],
        now_s: float,
    ) -> list[tuple[Upstream, UpstreamRecord]]:
        """Return the eligible upstreams with their records, by rank."""
        allowed = [
            (upstream, self.record_of(upstream))
            for upstream in self._ranked(request, upstreams)
            if upstream.instance not in excluded
            and (
                not request.allowed_regions
                or self.region_of(upstream) in request.allowed_regions
            )
        ]
        usable = [pair for pair in allowed if pair[1].ejected_until_s <= now_s]
        # If all are ejected, the fault is more likely on this host or its network.
        return usable or allowed

    def _ranked(
        self, request: PlacementRequest, upstreams: Iterable[Upstream]
    ) -> list[Upstream]:
        by_instance = {upstream.instance: upstream for upstream in upstreams}
        members = tuple(by_instance)
        key = (request.service, request.object_key)
        cached = self._rank_cache.get(key)
        if cached is None or cached.members != members:
            order = sorted(
                members,
                key=lambda i: self._rank_score(request, by_instance[i]),
                reverse=True,
            )
            cached = self._rank_cache[key] = _CachedRank(members, tuple(order))
            while len(self._rank_cache) > RANK_CACHE_SIZE:
                self._rank_cache.popitem(last=False)
        self._rank_cache.move_to_end(key)
        return [by_instance[instance] for instance in cached.order]

    @staticmethod
    def _needs_objects(
        ranked: list[tuple[Upstream, UpstreamRecord]], now_s: float
    ) -> bool:
        """Return whether the first upstream takes over an object warm at another.

        An upstream that has joined takes over the objects for which it ranks first, one
        at a time. Otherwise objects that are warm at other upstreams would never move.
        """
        first = ranked[0][1]
        if first.in_flight > 0 or first.running_cold_requests(now_s) > 0:
            return False
        total = sum(record.object_count for _, record in ranked)
        return first.object_count < UNDERFILLED_SHARE * total / len(ranked)

    def _rank_score(self, request: PlacementRequest, upstream: Upstream) -> float:
        is_same_region = self.region_of(upstream) == self._zone_latencies.region
        weight = OWN_REGION_WEIGHT if is_same_region else 1.0
        return weighted_rendezvous_score(request.object_key, upstream.instance, weight)

    @property
    def region_of_zone(self) -> Mapping[str, str]:
        """Region by availability zone."""
        return self._zone_latencies.region_of

    def region_of(self, upstream: Upstream) -> str | None:
        """Return the region of an upstream; None if its zone is unknown."""
        return self._zone_latencies.region_of.get(upstream.zone)

    def _make_candidate(
        self,
        request: PlacementRequest,
        upstream: Upstream,
        record: UpstreamRecord,
        rank: int,
        now_s: float,
    ) -> Candidate:
        work = self.work_times(request.route, request.objective_s)
        slowness = record.work_factor(now_s)
        is_warm = False
        object_load_wait_s = 0.0
        if request.object_key:
            object_id = short_id(request.object_key)
            is_warm = record.is_warm(object_id)
            warm_at_s = None if is_warm else record.warm_at_s(object_id, now_s)
            if warm_at_s is not None:
                is_warm = True
                object_load_wait_s = warm_at_s - now_s
        queue_wait_s = self._queue_wait_s(record, work, slowness, now_s)
        work_s = work.expected_s(is_warm) * slowness
        round_trip_s = self._zone_latencies.round_trip_s(upstream.zone)
        expected_latency_s = (
            max(object_load_wait_s, queue_wait_s) + work_s + round_trip_s
        )
        least_work_s = MIN_WORK_SHARE * work_s if work.is_measured(is_warm) else 0.0
        min_latency_s = (
            max(object_load_wait_s, queue_wait_s) + least_work_s + round_trip_s
        )
        cross_zone_penalty_s = self._zone_latencies.cost_s(upstream.zone) - round_trip_s
        fault_rate = record.current_fault_rate(now_s)
        fault_s = fault_rate * FAULT_COST_OBJECTIVES * request.objective_s
        cost_s = expected_latency_s + cross_zone_penalty_s + fault_s
        if rank > 0 and not is_warm:
            cost_s += LOWER_RANK_PENALTY_S
        return Candidate(
            upstream,
            expected_latency_s,
            min_latency_s,
            cost_s,
            is_warm,
            object_load_wait_s,
            queue_wait_s,
            work_s,
            record.load_age_s(now_s),
        )

    @staticmethod
    def _queue_wait_s(
        record: UpstreamRecord, work: WorkTimes, slowness: float, now_s: float
    ) -> float:
        occupied = record.estimated_load(now_s)
        if now_s < record.full_until_s:
            occupied = max(occupied, float(FULL_REQUESTS_PER_SLOT * record.slots))
        waiting = occupied + 1.0 - record.slots
        if waiting <= 0.0:
            return 0.0
        cold_share = min(1.0, record.running_cold_requests(now_s) / max(1.0, occupied))
        mean_s = work.warm_s + cold_share * (work.cold_s - work.warm_s)
        return waiting / record.slots * mean_s * slowness
