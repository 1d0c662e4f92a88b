"""Chooses upstreams by expected latency, keeping objects where they are warm.

Load pattern: a few dozen objects make up nearly all requests, an upstream that has
handled an object lately works about a third as long on it, and cold work alone would
exceed all slots; regions have unequal demand and unequal upstreams. A fixed rank of
the upstreams for each object, the same on every host of a region, gives each object
one upstream in the region and one elsewhere. The one elsewhere takes what the region
has no room for, and is warm for it; requests leave both only where the expected
latency is lower even without the object at hand.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.placement._observations import UpstreamRecord
from cardamomquay.placement._ranking import rank_of
from cardamomquay.placement._work_times import WorkTimes

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from cardamomquay.placement._distances import Distances
    from cardamomquay.traffic import Upstream

# Cost of a failure as a multiple of the objective: the time until it shows, and the
# repeated request.
FAULT_COST_OBJECTIVES = 2.0
# Work varies by about 15%; an answer rarely takes less than this part of the mean.
LEAST_WORK_SHARE = 0.8
# Requests for each slot at which upstreams turn others away, typically.
FULL_SLOTS = 4
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
        The same with faults and crossings weighed in; the least cost is chosen.
    is_warm : bool
    """

    upstream: Upstream
    finish_s: float
    least_s: float
    cost_s: float
    is_warm: bool


class Placement:
    """Chooses upstreams for one host.

    Parameters
    ----------
    distances : Distances
    """

    def __init__(self, distances: Distances) -> None:
        self._distances = distances
        self._records: dict[str, UpstreamRecord] = {}
        self._work: dict[str, WorkTimes] = {}

    def record(self, upstream: Upstream) -> UpstreamRecord:
        """Return what is known of an upstream, made on first use."""
        known = self._records.get(upstream.instance)
        if known is None:
            known = UpstreamRecord(slots=max(1, upstream.capacity))
            self._records[upstream.instance] = known
        return known

    def forget(self, instance: str) -> None:
        """Forget an upstream that is gone."""
        self._records.pop(instance, None)

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
        allowed = [
            upstream
            for upstream in upstreams
            if upstream.instance not in excluded and self._is_at_home(req, upstream)
        ]
        usable = [u for u in allowed if self.record(u).ejected_until_s <= now_s]
        # With all of them ejected, the fault is likely nearer to this host.
        ranked = sorted(
            usable or allowed,
            key=lambda u: rank_of(req.object_key, u.instance),
            reverse=True,
        )
        near = [u for u in ranked if self._is_near(u)]
        far = [u for u in ranked if not self._is_near(u)]
        # Taken as warm before this host has seen it, since all hosts rank alike.
        presumed = {u.instance for u in (*near[:1], *far[:1])}
        best: Candidate | None = None
        for upstream in (*near, *far):
            is_warm = bool(req.object_key) and upstream.instance in presumed
            candidate = self._candidate(req, upstream, is_warm, now_s)
            if best is None or candidate.cost_s < best.cost_s - TIE_S:
                best = candidate
        return best

    def _is_near(self, upstream: Upstream) -> bool:
        return self._distances.region_of.get(upstream.zone) == self._distances.region

    def _is_at_home(self, req: PlacementRequest, upstream: Upstream) -> bool:
        if not req.home_regions:
            return True
        return self._distances.region_of.get(upstream.zone) in req.home_regions

    def _candidate(
        self,
        req: PlacementRequest,
        upstream: Upstream,
        is_presumed_warm: bool,
        now_s: float,
    ) -> Candidate:
        record = self.record(upstream)
        work = self.work_times(req.route, req.objective_s)
        is_warm = is_presumed_warm or record.is_warm(req.object_key)
        slowness = record.current_slowness(now_s)
        occupied = record.occupied(now_s)
        if now_s < record.full_until_s:
            occupied = max(occupied, float(FULL_SLOTS * record.slots))
        waiting = max(0.0, occupied + 1.0 - record.slots)
        queue_s = math.ceil(waiting) / record.slots * work.warm_s * slowness
        work_s = work.expected_s(is_warm) * slowness
        round_trip_s = self._distances.round_trip_s(upstream.zone)
        finish_s = queue_s + work_s + round_trip_s
        least_work_s = LEAST_WORK_SHARE * work_s if work.is_measured else 0.0
        least_s = queue_s + least_work_s + round_trip_s
        fault_s = (
            record.current_fault_rate(now_s) * FAULT_COST_OBJECTIVES * req.objective_s
        )
        crossing_s = self._distances.cost_s(upstream.zone)
        cost_s = queue_s + work_s + crossing_s + fault_s
        return Candidate(upstream, finish_s, least_s, cost_s, is_warm)
