"""Chooses upstreams by expected latency, keeping objects where they are warm.

Load pattern: a few dozen objects make up nearly all requests, an upstream that has
handled an object lately works about a third as long on it, and cold work alone would
exceed all slots. A fixed rank of the upstreams for each object, the same on all hosts
of a region, keeps each object on few upstreams; requests leave them only where the
expected latency elsewhere is lower even without the object at hand.

While the first request for an object is on its way to an upstream, others for the
same object wait for it or are asked to come back: sent along at once, each of them
would occupy a slot for the time of cold work, and after the loss of a zone or in a
roll-out all slots would be taken by work that ends at its timeout and warms nothing.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.placement._observations import ServiceLoad
from cardamomquay.placement._observations import UpstreamRecord
from cardamomquay.placement._ranking import token_of
from cardamomquay.placement._ranking import weighted_rank
from cardamomquay.placement._work_times import WorkTimes

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from cardamomquay.placement._distances import Distances
    from cardamomquay.traffic import Upstream

# Weight of an upstream of the host's own region in the rank. Callers of a region ask
# for objects of their own; with 3, more than half of the requests stay in the region
# and the load of regions with unequal slots still differs by less than a tenth.
OWN_REGION_WEIGHT = 3.0
# Advantage of the first rank for an object that is warm nowhere: a little queue is
# better than a second upstream that has to work on it cold.
FIRST_RANK_S = 0.3
# Cost of a failure as a multiple of the objective: the time until it shows, and the
# repeated request.
FAULT_COST_OBJECTIVES = 2.0
# Work varies by about 15%; an answer rarely takes less than this part of the mean.
LEAST_WORK_SHARE = 0.8
# An upstream with less than this part of the mean number of objects is filled up.
JOINED_SHARE = 0.35
# Requests for each slot at which upstreams turn others away, typically.
FULL_SLOTS = 4
# Upstreams weighed for a request by their rank. Further ones are weighed only if the
# object is warm there: with this many busy, the service is full.
WEIGHED_MAX = 24
# Objects whose rank of the upstreams is kept, so that it is not computed again while a
# request waits for its object; each takes about 2 KB with 126 upstreams.
KEPT_RANKS = 512
# Costs closer than this are equal; the rank decides between them.
TIE_S = 0.02


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What the choice of an upstream depends on.

    Parameters
    ----------
    route : str
    service : str
    object_key : str
        Key of the object that the request concerns; empty if unknown.
    objective_s : float
    home_regions : frozenset of str
        Regions that may serve the request; empty for all.
    """

    route: str
    service: str
    object_key: str
    objective_s: float
    home_regions: frozenset[str]


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream with what is expected of a request sent to it now.

    Parameters
    ----------
    upstream : Upstream
    finish_s : float
        Expected seconds until the answer arrives.
    least_s : float
        Seconds that an answer takes at least; more than there is left means that the
        request cannot be served in time.
    cost_s : float
        `finish_s` with faults and crossings weighed in; the least cost is chosen.
    is_warm : bool
    wait_s : float
        Seconds until another request has warmed the object; 0 to send at once.
    queue_s : float
        Seconds until a slot is free.
    """

    upstream: Upstream
    finish_s: float
    least_s: float
    cost_s: float
    is_warm: bool
    wait_s: float
    queue_s: float


@dataclass(frozen=True, slots=True)
class _KeptRank:
    members: tuple[str, ...]
    order: tuple[str, ...]


class Placement:
    """Chooses upstreams for one host.

    Parameters
    ----------
    distances : Distances
    """

    def __init__(self, distances: Distances) -> None:
        self._distances = distances
        self._records: dict[str, UpstreamRecord] = {}
        self._by_token: dict[int, UpstreamRecord] = {}
        self._loads: dict[str, ServiceLoad] = {}
        self._work: dict[str, WorkTimes] = {}
        self._ranks: OrderedDict[tuple[str, str], _KeptRank] = OrderedDict()

    def record(self, upstream: Upstream) -> UpstreamRecord:
        """Return what is known of an upstream, made on first use."""
        known = self._records.get(upstream.instance)
        if known is None:
            load = self._loads.setdefault(upstream.service, ServiceLoad())
            known = UpstreamRecord(max(1, upstream.capacity), load)
            self._records[upstream.instance] = known
            self._by_token[token_of(upstream.instance)] = known
        return known

    def record_of_token(self, token: int) -> UpstreamRecord | None:
        """Return the record of an upstream that another host names."""
        return self._by_token.get(token)

    def forget(self, instance: str) -> None:
        """Forget an upstream that is gone."""
        self._records.pop(instance, None)
        self._by_token.pop(token_of(instance), None)

    def work_times(self, route: str, objective_s: float) -> WorkTimes:
        """Return the work times of a route, made on first use."""
        known = self._work.get(route)
        if known is None:
            known = self._work[route] = WorkTimes.from_objective(objective_s)
        return known

    def choose(
        self,
        req: PlacementRequest,
        upstreams: Iterable[Upstream],
        excluded: Collection[str],
        now_s: float,
    ) -> Candidate | None:
        """Return the upstream with the least expected cost.

        Parameters
        ----------
        req : PlacementRequest
        upstreams : iterable of Upstream
            Those that may get the request now.
        excluded : collection of str
            Instances that were tried before.
        now_s : float

        Returns
        -------
        Candidate or None
            None if there is no upstream to choose from.
        """
        ranked = self._usable(req, upstreams, excluded, now_s)
        if not ranked:
            return None
        if self._is_owed_objects(ranked, now_s):
            return self._candidate(req, *ranked[0], 0, now_s)
        best: Candidate | None = None
        token = token_of(req.object_key) if req.object_key else 0
        for rank, (upstream, record) in enumerate(ranked):
            if rank >= WEIGHED_MAX and not record.is_warm(token):
                continue
            candidate = self._candidate(req, upstream, record, rank, now_s)
            if best is None or candidate.cost_s < best.cost_s - TIE_S:
                best = candidate
        return best

    def _usable(
        self,
        req: PlacementRequest,
        upstreams: Iterable[Upstream],
        excluded: Collection[str],
        now_s: float,
    ) -> list[tuple[Upstream, UpstreamRecord]]:
        """Return the upstreams to weigh with their records, by rank."""
        allowed = [
            (upstream, self.record(upstream))
            for upstream in self._ranked(req, upstreams)
            if upstream.instance not in excluded
            and (not req.home_regions or self._region(upstream) in req.home_regions)
        ]
        usable = [pair for pair in allowed if pair[1].ejected_until_s <= now_s]
        # With all of them ejected, the fault is likely nearer to this host.
        return usable or allowed

    def _ranked(
        self, req: PlacementRequest, upstreams: Iterable[Upstream]
    ) -> list[Upstream]:
        by_instance = {upstream.instance: upstream for upstream in upstreams}
        members = tuple(by_instance)
        key = (req.service, req.object_key)
        kept = self._ranks.get(key)
        if kept is None or kept.members != members:
            order = sorted(
                members, key=lambda i: self._rank(req, by_instance[i]), reverse=True
            )
            kept = self._ranks[key] = _KeptRank(members, tuple(order))
            while len(self._ranks) > KEPT_RANKS:
                self._ranks.popitem(last=False)
        self._ranks.move_to_end(key)
        return [by_instance[instance] for instance in kept.order]

    @staticmethod
    def _is_owed_objects(
        ranked: list[tuple[Upstream, UpstreamRecord]], now_s: float
    ) -> bool:
        """Tell whether the first upstream should get an object that is warm elsewhere.

        An upstream that has joined gets the objects that it ranks first for one by
        one; otherwise those that are warm elsewhere would stay there for good.
        """
        first = ranked[0][1]
        if first.in_flight > 0 or first.cold_runs(now_s) > 0:
            return False
        total = sum(record.warm_count for _, record in ranked)
        return first.warm_count < JOINED_SHARE * total / len(ranked)

    def _rank(self, req: PlacementRequest, upstream: Upstream) -> float:
        is_near = self._region(upstream) == self._distances.region
        weight = OWN_REGION_WEIGHT if is_near else 1.0
        return weighted_rank(req.object_key, upstream.instance, weight)

    def _region(self, upstream: Upstream) -> str | None:
        return self._distances.region_of.get(upstream.zone)

    def _candidate(
        self,
        req: PlacementRequest,
        upstream: Upstream,
        record: UpstreamRecord,
        rank: int,
        now_s: float,
    ) -> Candidate:
        work = self.work_times(req.route, req.objective_s)
        slowness = record.current_slowness(now_s)
        is_warm = False
        wait_s = 0.0
        if req.object_key:
            token = token_of(req.object_key)
            is_warm = record.is_warm(token)
            warm_at_s = None if is_warm else record.warm_at_s(token, now_s)
            if warm_at_s is not None:
                is_warm = True
                wait_s = warm_at_s - now_s
        queue_s = self._queue_s(record, work, slowness, now_s)
        work_s = work.expected_s(is_warm) * slowness
        round_trip_s = self._distances.round_trip_s(upstream.zone)
        finish_s = max(wait_s, queue_s) + work_s + round_trip_s
        least_work_s = LEAST_WORK_SHARE * work_s if work.is_measured else 0.0
        least_s = max(wait_s, queue_s) + least_work_s + round_trip_s
        crossing_s = self._distances.cost_s(upstream.zone) - round_trip_s
        fault_rate = record.current_fault_rate(now_s)
        fault_s = fault_rate * FAULT_COST_OBJECTIVES * req.objective_s
        cost_s = finish_s + crossing_s + fault_s
        if rank > 0 and not is_warm:
            cost_s += FIRST_RANK_S
        return Candidate(upstream, finish_s, least_s, cost_s, is_warm, wait_s, queue_s)

    @staticmethod
    def _queue_s(
        record: UpstreamRecord, work: WorkTimes, slowness: float, now_s: float
    ) -> float:
        occupied = record.occupied(now_s)
        if now_s < record.full_until_s:
            occupied = max(occupied, float(FULL_SLOTS * record.slots))
        waiting = occupied + 1.0 - record.slots
        if waiting <= 0.0:
            return 0.0
        cold_share = min(1.0, record.cold_runs(now_s) / max(1.0, occupied))
        mean_s = work.warm_s + cold_share * (work.cold_s - work.warm_s)
        return waiting / record.slots * mean_s * slowness
