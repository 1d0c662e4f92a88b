"""Ranking of the hosts that a caller should use."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cardamomquay.membership import MembershipState
from cardamomquay.membership import MemberState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cardamomquay.membership import MemberRecord

# Time for which callers may cache an answer.
LOOKUP_TTL_S = 2.0
# Largest number of hosts in an answer.
HOSTS_MAX = 24
# Weights in answers are integers: the relative weights of hosts times this.
WEIGHT_SCALE = 100
SAME_ZONE_WEIGHT = 4.0
SAME_REGION_WEIGHT = 2.0
OTHER_REGION_WEIGHT = 1.0
QUOTA_HOLDER_FACTOR = 2.0
# Added to the rank of a full region, to place it after all regions with headroom.
FULL_REGION_RANK = 1000
# Least free share: a host with a wrong load report still gets some callers, and its
# real load becomes known.
FREE_SHARE_MIN = 0.05
# Load assumed for a host whose reported load is not a finite number.
UNKNOWN_LOAD = 0.5
# Callers cache answers for `LOOKUP_TTL_S`, so this adds little delay. Changes of the
# members do not invalidate answers, since each exchange with a peer changes them.
CACHE_S = 0.2
CACHED_ANSWERS_MAX = 1024


@dataclass(frozen=True, slots=True)
class LookupRequest:
    """A caller's request for hosts.

    Parameters
    ----------
    region, availability_zone : str
        Location of the caller; empty if unknown.
    organisation : str
    """

    region: str = ""
    availability_zone: str = ""
    organisation: str = ""


@dataclass(frozen=True)
class RankingInputs:
    """Inputs of the ranking besides the members.

    Parameters
    ----------
    region_order : mapping of str to tuple of str
        For each region, the other regions by latency, the nearest first.
    headroom : mapping of str to float
        Share of each region's capacity that is free, 0 to 1; 1 if not known.
    holders : mapping of str to frozenset of str
        For each organisation, the hosts that hold a portion of its quota.
    """

    region_order: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    headroom: Mapping[str, float] = field(default_factory=dict)
    holders: Mapping[str, frozenset[str]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RankedHost:
    """A host in an answer, with its relative weight."""

    host: str
    address: str
    region: str
    weight: int


@dataclass(frozen=True, slots=True)
class LookupAnswer:
    """Ranked hosts for a caller, the best first.

    Parameters
    ----------
    hosts : tuple of RankedHost
    ttl_s : float
        Time for which the answer may be cached, in seconds.
    complete : bool
        False if the answering host lacks recent data. The answer is then a fallback, in
        which hosts may be dead or missing.
    """

    hosts: tuple[RankedHost, ...]
    ttl_s: float
    complete: bool


DEFAULT_INPUTS = RankingInputs()


def rank_hosts(
    members: MembershipState,
    request: LookupRequest,
    now_s: float,
    inputs: RankingInputs = DEFAULT_INPUTS,
    hosts_max: int = HOSTS_MAX,
) -> LookupAnswer:
    """Rank the hosts that accept new callers.

    The caller's region comes first, then the others by latency; regions without
    headroom come last. Within a region, hosts that hold a portion of the organisation's
    quota come first, then those of the same zone, then those with more free capacity.

    Parameters
    ----------
    members : MembershipState
    request : LookupRequest
    now_s : float
    inputs : RankingInputs, optional
    hosts_max : int, default=24
        Largest number of hosts in the answer.

    Returns
    -------
    LookupAnswer
        Contains suspect hosts only if none is live. It is incomplete if any host is
        suspect, or none is live.
    """
    live: list[MemberRecord] = []
    suspect: list[MemberRecord] = []
    for name, member in members.members.items():
        state = members.state_of(name, now_s)
        if state is MemberState.LIVE:
            live.append(member.record)
        elif state is MemberState.SUSPECT:
            suspect.append(member.record)
    sort_keys = _SortKeys(request, inputs)
    nearest = heapq.nsmallest(hosts_max, map(sort_keys.key, live or suspect))
    hosts = tuple(
        RankedHost(record.host, record.address, record.region, -negative_weight)
        for *_, negative_weight, _, record in nearest
    )
    return LookupAnswer(hosts, LOOKUP_TTL_S, bool(live) and not suspect)


class _SortKeys:
    """Sort keys of hosts for one caller; ranks of regions are cached."""

    def __init__(self, request: LookupRequest, inputs: RankingInputs) -> None:
        self._region = request.region
        self._zone = request.availability_zone
        self._holders = inputs.holders.get(request.organisation, frozenset())
        self._headroom = inputs.headroom
        self._positions = {request.region: 0} if request.region else {}
        for region in inputs.region_order.get(request.region, ()):
            self._positions.setdefault(region, len(self._positions))
        self._ranked_regions: dict[str, tuple[int, float]] = {}

    def key(
        self, record: MemberRecord
    ) -> tuple[int, bool, bool, int, str, MemberRecord]:
        """Return the sort key of a host; its unique name decides before the record."""
        known = self._ranked_regions.get(record.region)
        if known is None:
            known = self._ranked_regions[record.region] = self._rank_region(
                record.region
            )
        rank, weight = known
        same_zone = rank == 0 and record.availability_zone == self._zone
        if same_zone:
            weight *= SAME_ZONE_WEIGHT / SAME_REGION_WEIGHT
        holds = record.host in self._holders
        if holds:
            weight *= QUOTA_HOLDER_FACTOR
        weight *= max(FREE_SHARE_MIN, 1.0 - _clamp_share(record.load, UNKNOWN_LOAD))
        scaled = max(1, round(weight * WEIGHT_SCALE))
        return rank, not holds, not same_zone, -scaled, record.host, record

    def _rank_region(self, region: str) -> tuple[int, float]:
        """Return the rank of a region (0 is the caller's) and its hosts' weight."""
        headroom = _clamp_share(self._headroom.get(region, 1.0), 1.0)
        is_own_region = bool(self._region) and region == self._region
        weight = SAME_REGION_WEIGHT if is_own_region else OTHER_REGION_WEIGHT
        # Rank 0 is the caller's region; if that is unknown, ranks start at 1.
        rank = self._positions.get(region, len(self._positions)) + int(not self._region)
        if headroom <= 0.0:
            rank += FULL_REGION_RANK
        return rank, weight * max(FREE_SHARE_MIN, headroom)


def _clamp_share(value: float, unknown: float) -> float:
    """Limit a reported share to the range from 0 to 1."""
    return min(1.0, max(0.0, value)) if math.isfinite(value) else unknown


class HostRanker:
    """Caches answers for a short time, since many callers send equal requests.

    Thread-safe; at worst, two threads compute the same answer.
    """

    def __init__(self) -> None:
        self._answers: dict[LookupRequest, tuple[float, LookupAnswer]] = {}

    def rank(
        self,
        members: MembershipState,
        request: LookupRequest,
        now_s: float,
        inputs: RankingInputs = DEFAULT_INPUTS,
    ) -> LookupAnswer:
        """Rank hosts as `rank_hosts` does.

        Parameters
        ----------
        members : MembershipState
        request : LookupRequest
        now_s : float
        inputs : RankingInputs, optional

        Returns
        -------
        LookupAnswer
            At most `CACHE_S` old, even if members or inputs have changed since.
        """
        answers = self._answers
        known = answers.get(request)
        if known is not None and 0.0 <= now_s - known[0] < CACHE_S:
            return known[1]
        answer = rank_hosts(members, request, now_s, inputs)
        if len(answers) >= CACHED_ANSWERS_MAX:
            answers.clear()
        answers[request] = (now_s, answer)
        return answer
