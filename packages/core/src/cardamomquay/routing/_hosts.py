"""Which host a caller should use."""

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

LOOKUP_TTL_S = 2.0
HOSTS_MAX = 24
WEIGHT_SCALE = 100
SAME_ZONE_WEIGHT = 4.0
SAME_REGION_WEIGHT = 2.0
OTHER_REGION_WEIGHT = 1.0
HOLDER_FACTOR = 2.0
# Above the rank of any region with headroom.
FULL_REGION_RANK = 1000
# A host with a wrong load report still gets some callers, and the real load shows.
FREE_MIN = 0.05
UNKNOWN_LOAD = 0.5
# Callers keep answers for 2 s, so this adds little. Members change too often, with
# every exchange of every peer, to start again with each change.
CACHE_S = 0.2
CACHE_MAX = 1024


@dataclass(frozen=True, slots=True)
class LookupRequest:
    """A caller's question.

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
class RankingView:
    """What a host knows besides the members.

    Parameters
    ----------
    region_order : mapping of str to tuple of str
        For each region, the other regions by delay, the nearest first.
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
    """A host to use, the better ones first."""

    host: str
    address: str
    region: str
    weight: int


@dataclass(frozen=True, slots=True)
class LookupAnswer:
    """Hosts to use.

    Parameters
    ----------
    hosts : tuple of RankedHost
    ttl_s : float
        Time for which the answer may be cached, in seconds.
    complete : bool
        False if the answering host lacks data and gave what is safe.
    """

    hosts: tuple[RankedHost, ...]
    ttl_s: float
    complete: bool


NO_VIEW = RankingView()


def rank_hosts(
    members: MembershipState,
    request: LookupRequest,
    now_s: float,
    view: RankingView = NO_VIEW,
    hosts_max: int = HOSTS_MAX,
) -> LookupAnswer:
    """Rank the hosts that take new callers.

    The caller's region comes first, then the others by delay; a region without
    headroom comes after those that have some. Inside a region, hosts that hold a
    portion of the organisation's quota come first, then those of the same zone, then
    those with more free capacity.

    Parameters
    ----------
    members : MembershipState
    request : LookupRequest
    now_s : float
    view : RankingView, optional
    hosts_max : int, default=24
        Largest number of hosts in the answer.

    Returns
    -------
    LookupAnswer
        If no host is live, the suspect ones, as an incomplete answer.
    """
    live: list[MemberRecord] = []
    suspect: list[MemberRecord] = []
    for name, member in members.members.items():
        state = members.state_of(name, now_s)
        if state is MemberState.LIVE:
            live.append(member.record)
        elif state is MemberState.SUSPECT:
            suspect.append(member.record)
    places = _Places(request, view)
    nearest = heapq.nsmallest(hosts_max, map(places.key, live or suspect))
    hosts = tuple(
        RankedHost(record.host, record.address, record.region, -negative)
        for *_, negative, _, record in nearest
    )
    return LookupAnswer(hosts, LOOKUP_TTL_S, bool(live) and not suspect)


class _Places:
    """Keys that sort hosts for one caller, with one entry for each region."""

    def __init__(self, request: LookupRequest, view: RankingView) -> None:
        self._region = request.region
        self._zone = request.availability_zone
        self._holders = view.holders.get(request.organisation, frozenset())
        self._headroom = view.headroom
        self._order = {request.region: 0} if request.region else {}
        for region in view.region_order.get(request.region, ()):
            self._order.setdefault(region, len(self._order))
        self._known: dict[str, tuple[int, float]] = {}

    def key(
        self, record: MemberRecord
    ) -> tuple[int, bool, bool, int, str, MemberRecord]:
        """Return a sort key; its last part is the record, of a unique host."""
        known = self._known.get(record.region)
        if known is None:
            known = self._known[record.region] = self._place(record.region)
        rank, weight = known
        same_zone = rank == 0 and record.availability_zone == self._zone
        if same_zone:
            weight *= SAME_ZONE_WEIGHT / SAME_REGION_WEIGHT
        holds = record.host in self._holders
        if holds:
            weight *= HOLDER_FACTOR
        weight *= max(FREE_MIN, 1.0 - _share(record.load, UNKNOWN_LOAD))
        scaled = max(1, round(weight * WEIGHT_SCALE))
        return rank, not holds, not same_zone, -scaled, record.host, record

    def _place(self, region: str) -> tuple[int, float]:
        """Rank of a region, 0 for the caller's own, and weight of its hosts."""
        headroom = _share(self._headroom.get(region, 1.0), 1.0)
        near = bool(self._region) and region == self._region
        weight = SAME_REGION_WEIGHT if near else OTHER_REGION_WEIGHT
        rank = self._order.get(region, len(self._order)) + int(not self._region)
        if headroom <= 0.0:
            rank += FULL_REGION_RANK
        return rank, weight * max(FREE_MIN, headroom)


def _share(value: float, unknown: float) -> float:
    """Limit a reported share to 0 to 1."""
    return min(1.0, max(0.0, value)) if math.isfinite(value) else unknown


class HostRanker:
    """Remembers answers for a short time, since many callers ask the same.

    Safe for threads: a race computes an answer twice.
    """

    def __init__(self) -> None:
        self._answers: dict[LookupRequest, tuple[float, LookupAnswer]] = {}

    def rank(
        self,
        members: MembershipState,
        request: LookupRequest,
        now_s: float,
        view: RankingView = NO_VIEW,
    ) -> LookupAnswer:
        """Rank hosts as `rank_hosts` does.

        Parameters
        ----------
        members : MembershipState
        request : LookupRequest
        now_s : float
        view : RankingView, optional

        Returns
        -------
        LookupAnswer
            At most `CACHE_S` old, even if members or view have changed since.
        """
        answers = self._answers
        known = answers.get(request)
        if known is not None and 0.0 <= now_s - known[0] < CACHE_S:
            return known[1]
        answer = rank_hosts(members, request, now_s, view)
        if len(answers) >= CACHE_MAX:
            answers.clear()
        answers[request] = (now_s, answer)
        return answer
