"""What one host knows of the room of services in regions, and decides from it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.placement import short_id
from cardamomquay.regional_capacity._counts import Count
from cardamomquay.regional_capacity._counts import SlidingCounts
from cardamomquay.regional_capacity._scarcity import RegionScarcity
from cardamomquay.regional_capacity._shift_limit import ShiftLimit
from cardamomquay.regional_capacity._summaries import AGGREGATED_AGE_MAX_S
from cardamomquay.regional_capacity._summaries import PAIRS_MAX
from cardamomquay.regional_capacity._summaries import RUN_REGIONS_MAX
from cardamomquay.regional_capacity._summaries import Summary
from cardamomquay.regional_capacity._summaries import lacking
from cardamomquay.regional_capacity._summaries import pressure
from cardamomquay.regional_capacity._summaries import sum_summaries

if TYPE_CHECKING:
    import random
    from collections.abc import Collection
    from collections.abc import Iterable

    from cardamomquay.regional_capacity._counts import Pair

# Interval at which the counts of all hosts are summed.
UPDATE_PERIOD_S = 0.1
# A host reports a pair if this many of its own requests found no room and they are
# this share, or if the sum of all hosts has half of the share that makes it scarce.
REPORTED_LACKING_MIN = 2
REPORTED_PRESSURE = 0.1
REPORTED_SUM_PRESSURE = 0.03
# Time after a region's last scarcity for which the shift limit applies there.
SHIFT_LIMIT_KEEP_S = 8.0
# Range of the retry delay for requests that a region has no room for. Scarcity of a
# region outlasts the patience of clients, so that waiting longer wins nothing, and
# requests that return after the end of other traffic have to be rejected again.
RETRY_DELAY_S = (0.25, 0.6)


@dataclass(slots=True)
class RegionChoice:
    """What was decided for one request, kept until its end.

    Parameters
    ----------
    draw : float
        From 0 to 1; the request leaves a region if it is below the share that does.
    is_bound : bool
        Whether the request may run in no other region with room.
    is_decided : bool
        Whether the request was counted and admitted or rejected.
    is_recorded : bool
        Whether it was counted where the request is sent.
    is_sent : bool
        Whether an attempt was made, so that the next one is a retry.
    """

    draw: float = 1.0
    is_bound: bool = False
    is_decided: bool = False
    is_recorded: bool = False
    is_sent: bool = False


@dataclass(frozen=True, slots=True)
class RegionRejection:
    """Rejection of a bound request.

    Parameters
    ----------
    retry_delay_s : float
    detail : str
        Inputs of the decision.
    """

    retry_delay_s: float
    detail: str


@dataclass(frozen=True, slots=True)
class ScarcityChange:
    """A region became scarce for a service, or ceased to be.

    Parameters
    ----------
    service, region : str
    scarcity : RegionScarcity
    age_s : float
        Age of the oldest summary that was used, in seconds.
    sources : int
        Number of summaries that were used, this host's own not counted.
    """

    service: str
    region: str
    scarcity: RegionScarcity
    age_s: float
    sources: int


class RegionalCapacity:
    """Scarcity of services in regions, for one host.

    Parameters
    ----------
    region : str
        The host's own region.
    max_shift : float
        Largest share of a region's requests that may change the region in which they
        run from one window to the next; 0 turns all decisions off.
    rng : random.Random

    Attributes
    ----------
    avoided_count, rejected_count, shift_rejected_count : int
        Requests that left a scarce region, that were rejected for its lack of room, and
        that were rejected because of the shift limit.
    """

    def __init__(self, region: str, max_shift: float, rng: random.Random) -> None:
        self._region = region
        self._max_shift = max_shift
        self._rng = rng
        self._has_bound_requests = False
        self._counts: SlidingCounts[tuple[Pair, Count]] = SlidingCounts()
        self._runs: SlidingCounts[int] = SlidingCounts()
        # By host, or by availability zone for sums of a gateway, with their region.
        self._summaries: dict[str, tuple[str, Summary]] = {}
        self._scarcities: dict[Pair, RegionScarcity] = {}
        self._shift_limits: dict[int, ShiftLimit] = {}
        # Regions in which each service has had upstreams, by short identifier.
        self._regions: dict[int, set[int]] = {}
        self._names: dict[int, str] = {}
        self._updated_s = float("-inf")
        self._changes: list[ScarcityChange] = []
        self.avoided_count = 0
        self.rejected_count = 0
        self.shift_rejected_count = 0

    def apply_config(self, *, has_bound_requests: bool) -> None:
        """Apply whether some organisation or route is bound to regions."""
        self._has_bound_requests = has_bound_requests

    @property
    def is_active(self) -> bool:
        """Whether anything is counted and decided."""
        return self._has_bound_requests and self._max_shift > 0.0

    def begin(self) -> RegionChoice:
        """Return the state of a new request."""
        return RegionChoice(self._rng.random())

    def avoided_regions(
        self, service: str, regions: Collection[str], choice: RegionChoice, now_s: float
    ) -> set[str]:
        """Return the regions that a request leaves, to run in another one with room.

        Parameters
        ----------
        service : str
        regions : collection of str
            Regions with upstreams that may serve the request.
        choice : RegionChoice
        now_s : float

        Returns
        -------
        set of str
        """
        if len(regions) < 2:
            return set()
        pairs = {region: self._pair(service, region) for region in regions}
        for service_id, region_id in pairs.values():
            self._regions.setdefault(service_id, set()).add(region_id)
        if not self._scarcities:
            return set()
        self.update(now_s)
        avoided = set()
        for region, pair in pairs.items():
            scarcity = self._scarcities.get(pair)
            if scarcity is not None and choice.draw < scarcity.avoided_share:
                avoided.add(region)
        return avoided if len(avoided) < len(regions) else set()

    def record_choice(
        self,
        service: str,
        regions: Collection[str],
        avoided: Collection[str],
        chosen: str,
        choice: RegionChoice,
    ) -> None:
        """Record where a request that may run in several regions is sent."""
        if not self._scarcities or len(regions) < 2 or choice.is_recorded:
            return
        choice.is_recorded = True
        for region in regions:
            scarcity = self.scarcity(service, region)
            if scarcity is not None and region not in avoided:
                scarcity.record_flexible(is_here=chosen == region)
        self.avoided_count += bool(avoided)

    def is_scarce(self, service: str, region: str) -> bool:
        """Return whether a service has no room in a region."""
        scarcity = self.scarcity(service, region)
        return scarcity is not None and scarcity.is_scarce

    def admit(
        self, service: str, region: str, choice: RegionChoice, now_s: float
    ) -> RegionRejection | None:
        """Decide whether a bound request may be sent to its region.

        Parameters
        ----------
        service, region : str
        choice : RegionChoice
            Of the request, which is counted once.
        now_s : float

        Returns
        -------
        RegionRejection or None
            None if it may be sent.
        """
        pair = self._pair(service, region)
        self.update(now_s)
        scarcity = self._scarcities.get(pair)
        if choice.is_decided:
            if choice.is_sent and scarcity is not None and scarcity.is_flooded:
                return self._rejection(region, scarcity, "no room for a retry")
            return None
        choice.is_decided = choice.is_bound = True
        if scarcity is None or not scarcity.is_recent(SHIFT_LIMIT_KEEP_S, now_s):
            self._counts.add((pair, Count.ADMITTED), now_s)
            return None
        limit = self._shift_limits.get(pair[1])
        if limit is not None:
            limit.record_offered(scarcity.admitted_share, now_s)
        if limit is not None and not limit.permits(now_s):
            # Not counted as rejected for lack of room, or the region would stay scarce
            # for as long as such requests arrive.
            self.shift_rejected_count += 1
            return self._rejection(
                region,
                scarcity,
                f"shift limit, at most {limit.share_max(now_s):.2f} of the requests",
            )
        if scarcity.is_scarce and not scarcity.admit():
            self.rejected_count += 1
            self._counts.add((pair, Count.REJECTED), now_s)
            return self._rejection(region, scarcity, "no room")
        self._counts.add((pair, Count.ADMITTED), now_s)
        return None

    def _rejection(
        self, region: str, scarcity: RegionScarcity, cause: str
    ) -> RegionRejection:
        counts = scarcity.counts
        detail = (
            f"region {region}: {cause}; admitted_share={scarcity.admitted_share:.2f} "
            f"offered={counts[Count.ADMITTED] + counts[Count.REJECTED]} "
            f"answered={counts[Count.ANSWERED]} shed={counts[Count.SHED]} "
            f"age={self._summary_age_s(self._updated_s):.2f}"
        )
        return RegionRejection(self._rng.uniform(*RETRY_DELAY_S), detail)

    def record_refused(self, service: str, region: str, now_s: float) -> None:
        """Record that the host's own admission refused a request for a region."""
        self._counts.add((self._pair(service, region), Count.REFUSED), now_s)

    def explain_refused(self, service: str, region: str) -> RegionRejection | None:
        """Return the rejection of a bound request that the own admission refused.

        Parameters
        ----------
        service, region : str

        Returns
        -------
        RegionRejection or None
            None if the region is not scarce, so that it is not the cause.
        """
        scarcity = self.scarcity(service, region)
        if scarcity is None or not scarcity.is_scarce:
            return None
        self.rejected_count += 1
        return self._rejection(region, scarcity, "refused by the host's own admission")

    def record_sent(
        self, service: str, region: str, choice: RegionChoice, now_s: float
    ) -> None:
        """Record an attempt to send a request to an upstream."""
        pair = self._pair(service, region)
        choice.is_sent = True
        if not choice.is_bound:
            self._counts.add((pair, Count.FLEXIBLE), now_s)
        for limited, limit in self._shift_limits.items():
            if limited == pair[1]:
                limit.record_here()
            else:
                limit.record_elsewhere(now_s)

    def record_answered(
        self, service: str, region: str, now_s: float, *, is_queued: bool
    ) -> None:
        """Record that an upstream ran and answered a request.

        Parameters
        ----------
        service, region : str
        now_s : float
        is_queued : bool
            Whether more than one request for two of its slots was waiting there.
        """
        pair = self._pair(service, region)
        self._counts.add((pair, Count.ANSWERED), now_s)
        if is_queued:
            self._counts.add((pair, Count.QUEUED), now_s)
        self._runs.add(pair[1], now_s)

    def record_shed(self, service: str, region: str, now_s: float) -> None:
        """Record that an upstream shed a request since all its slots were taken."""
        self._counts.add((self._pair(service, region), Count.SHED), now_s)

    def own_summary(self, now_s: float) -> Summary | None:
        """Return this host's counts of scarce pairs; None if there are none."""
        if not self.is_active:
            return None
        own = self._own_pairs(now_s)
        reported = [
            pair
            for pair, counts in own.items()
            if (
                lacking(counts) >= REPORTED_LACKING_MIN
                and pressure(counts) >= REPORTED_PRESSURE
            )
            or self._is_reported_by_all(pair)
        ]
        if not reported:
            return None
        reported.sort(key=lambda pair: -lacking(own[pair]))
        runs = self._runs.totals(now_s)
        kept = sorted(runs, key=lambda region: -runs[region])[:RUN_REGIONS_MAX]
        return Summary(
            now_s,
            {pair: own[pair] for pair in reported[:PAIRS_MAX]},
            {region: runs[region] for region in kept},
        )

    def _is_reported_by_all(self, pair: Pair) -> bool:
        scarcity = self._scarcities.get(pair)
        return scarcity is not None and (
            scarcity.is_scarce or pressure(scarcity.counts) >= REPORTED_SUM_PRESSURE
        )

    def apply_summary(self, source: str, region: str, summary: Summary) -> None:
        """Apply the summary of a host, or of the hosts of a zone.

        Parameters
        ----------
        source : str
            Name of the host or availability zone.
        region : str
            Region in which it is.
        summary : Summary
            One with older counts than that known is dropped.
        """
        known = self._summaries.get(source)
        if known is None or known[1].counted_s <= summary.counted_s:
            self._summaries[source] = (region, summary)

    def summary_of(self, sources: Iterable[str], now_s: float) -> Summary | None:
        """Return the sum of this host's summary and those of other hosts of its zone.

        Parameters
        ----------
        sources : iterable of str
            Names of the other hosts.
        now_s : float

        Returns
        -------
        Summary or None
        """
        summaries = [
            self._summaries[source][1]
            for source in sources
            if source in self._summaries
        ]
        recent = [s for s in summaries if now_s - s.counted_s < AGGREGATED_AGE_MAX_S]
        own = self.own_summary(now_s)
        return sum_summaries([own, *recent] if own else recent)

    def summary_from(self, source: str, now_s: float) -> Summary | None:
        """Return the latest summary of a host or zone if it is fresh."""
        known = self._summaries.get(source)
        return known[1] if known is not None and known[1].is_fresh(now_s) else None

    def update(self, now_s: float) -> None:
        """Sum the counts of all hosts, unless that was done just before."""
        if 0.0 <= now_s - self._updated_s < UPDATE_PERIOD_S or not self.is_active:
            return
        self._updated_s = now_s
        for source in [
            name
            for name, (_, summary) in self._summaries.items()
            if not summary.is_fresh(now_s)
        ]:
            del self._summaries[source]
        sums = {pair: list(counts) for pair, counts in self._own_pairs(now_s).items()}
        for _, summary in self._summaries.values():
            for pair, counts in summary.pairs.items():
                total = sums.setdefault(pair, [0] * len(Count))
                for index, count in enumerate(counts):
                    total[index] += count
        for pair, total in sums.items():
            if pair not in self._scarcities and lacking(total):
                self._scarcities[pair] = RegionScarcity(self._max_shift, now_s)
        for pair, scarcity in list(self._scarcities.items()):
            self._update_scarcity(pair, scarcity, sums, now_s)
        self._update_shift_limits(now_s)

    def _update_scarcity(
        self,
        pair: Pair,
        scarcity: RegionScarcity,
        sums: dict[Pair, list[int]],
        now_s: float,
    ) -> None:
        was_scarce = scarcity.is_scarce
        others = self._regions.get(pair[0], set()) - {pair[1]}
        rooms = [self._scarcities.get((pair[0], region)) for region in others]
        others_have_room = any(room is None or room.has_room for room in rooms)
        nothing = [0] * len(Count)
        elsewhere = [sums.get((pair[0], region), nothing) for region in others]
        scarcity.update(
            sums.get(pair, nothing),
            [sum(counts) for counts in zip(nothing, *elsewhere, strict=True)],
            now_s,
            others_have_room=others_have_room,
        )
        if scarcity.is_scarce != was_scarce:
            self._changes.append(
                ScarcityChange(
                    self._names.get(pair[0], str(pair[0])),
                    self._names.get(pair[1], str(pair[1])),
                    scarcity,
                    self._summary_age_s(now_s),
                    len(self._summaries),
                )
            )
        if scarcity.is_idle and not scarcity.is_recent(SHIFT_LIMIT_KEEP_S, now_s):
            del self._scarcities[pair]

    def _update_shift_limits(self, now_s: float) -> None:
        regions = {
            region for (_, region), s in self._scarcities.items() if s.has_been_scarce
        }
        for region in self._shift_limits.keys() - regions:
            del self._shift_limits[region]
        if not regions:
            return
        runs = self._runs.totals(now_s)
        for source_region, summary in self._summaries.values():
            if source_region == self._region:
                for region, count in summary.runs.items():
                    runs[region] = runs.get(region, 0) + count
        for region in regions:
            limit = self._shift_limits.get(region)
            if limit is None:
                limit = self._shift_limits[region] = ShiftLimit(self._max_shift, now_s)
            limit.update_reference(region, runs, now_s)

    def take_changes(self) -> list[ScarcityChange]:
        """Return the changes of scarcity since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _summary_age_s(self, now_s: float) -> float:
        counted = [summary.counted_s for _, summary in self._summaries.values()]
        return max(0.0, now_s - min(counted, default=now_s))

    def _own_pairs(self, now_s: float) -> dict[Pair, tuple[int, ...]]:
        own: dict[Pair, list[int]] = {}
        for (pair, count), number in self._counts.totals(now_s).items():
            own.setdefault(pair, [0] * len(Count))[count] += number
        return {pair: tuple(counts) for pair, counts in own.items()}

    def scarcity(self, service: str, region: str) -> RegionScarcity | None:
        """Return what is known of a service in a region; None if it has room."""
        return self._scarcities.get(self._pair(service, region))

    def _pair(self, service: str, region: str) -> Pair:
        pair = (short_id(service), short_id(region))
        self._names[pair[0]], self._names[pair[1]] = service, region
        return pair
