"""Which host a caller should use."""

from __future__ import annotations

from dataclasses import dataclass

from cardamomquay.membership import MembershipState
from cardamomquay.membership import MemberState

LOOKUP_TTL_S = 2.0
SAME_ZONE_WEIGHT = 4
SAME_REGION_WEIGHT = 2
OTHER_REGION_WEIGHT = 1


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


def rank_hosts(
    members: MembershipState, request: LookupRequest, now_s: float
) -> LookupAnswer:
    """Rank the hosts that take new callers.

    Parameters
    ----------
    members : MembershipState
    request : LookupRequest
    now_s : float

    Returns
    -------
    LookupAnswer
    """
    ranked = []
    complete = True
    for name, member in members.members.items():
        state = members.state_of(name, now_s)
        if state is MemberState.SUSPECT:
            complete = False
        if state is not MemberState.LIVE:
            continue
        record = member.record
        weight = OTHER_REGION_WEIGHT
        if record.region == request.region:
            same_zone = record.availability_zone == request.availability_zone
            weight = SAME_ZONE_WEIGHT if same_zone else SAME_REGION_WEIGHT
        ranked.append(RankedHost(name, record.address, record.region, weight))
    ranked.sort(key=lambda host: (-host.weight, host.host))
    return LookupAnswer(tuple(ranked), LOOKUP_TTL_S, complete and bool(ranked))
