"""What a host tells its peers."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from cardamomquay.currency._part import ConfigState
from cardamomquay.currency._unsettled import unsettled_extra
from cardamomquay.membership import DEAD_AFTER_S
from cardamomquay.membership import SEQUENCE_UNITS_PER_S
from cardamomquay.membership import Known
from cardamomquay.membership import MembershipState
from cardamomquay.membership import PeerRecord

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomquay.membership import Member
    from cardamomquay.membership import MemberRecord
    from cardamomquay.reducer import CoreState


@dataclass(frozen=True, slots=True)
class Request:
    """What a host sends with a call.

    Parameters
    ----------
    own : PeerRecord
        Its own record.
    known : tuple of Known
        What it knows of others, so that the answer has only what is newer.
    config_version : int
    """

    own: PeerRecord
    known: tuple[Known, ...]
    config_version: int


@dataclass(frozen=True, slots=True)
class Statement:
    """What a host answers.

    Parameters
    ----------
    records : tuple of PeerRecord
        The own record first.
    config_version : int
    confirmed_age_s : float or None
        Age of the evidence for that version; None without evidence.
    """

    records: tuple[PeerRecord, ...]
    config_version: int
    confirmed_age_s: float | None


def own_record(core: CoreState, now_s: float, load: float = 0.0) -> MemberRecord:
    """Return this host's record at `now_s`.

    Parameters
    ----------
    core : CoreState
    now_s : float
        Not earlier than in the call before, which makes the sequence number grow.
    load : float

    Returns
    -------
    MemberRecord
    """
    own = core.part(ConfigState)
    members = core.part(MembershipState)
    record = members.members[members.own_host].record
    return replace(
        record,
        extra=record.extra.update(unsettled_extra(core)),
        sequence=int(now_s * SEQUENCE_UNITS_PER_S),
        config_version=own.version,
        store_report=own.report,
        store_report_at_s=own.report_at_s,
        load=load,
    )


def exchange_request(core: CoreState, now_s: float, load: float = 0.0) -> Request:
    """Return what this host sends with a call at `now_s`.

    Parameters
    ----------
    core : CoreState
    now_s : float
    load : float
        Share of this host's request threads that are busy.

    Returns
    -------
    Request
    """
    members = core.part(MembershipState)
    # The dead ones too: a peer that heard a dead host's last statement a little
    # later would otherwise make it a suspect one again.
    known = tuple(
        Known(name, member.record.incarnation, member.record.sequence)
        for name, member in members.members.items()
        if name != members.own_host and member.heard
    )
    own = _aged(own_record(core, now_s, load), now_s, now_s)
    return Request(own, known, core.part(ConfigState).version)


def exchange_reply(
    core: CoreState, now_s: float, known: Sequence[Known] = (), load: float = 0.0
) -> Statement:
    """Return what this host answers at `now_s`.

    Parameters
    ----------
    core : CoreState
    now_s : float
    known : sequence of Known
        Statements that the peer knows; it is told what is newer.
    load : float
        Share of this host's request threads that are busy.

    Returns
    -------
    Statement
    """
    own = core.part(ConfigState)
    members = core.part(MembershipState)
    theirs = {entry.host: entry for entry in known}
    records = [_aged(own_record(core, now_s, load), now_s, now_s)]
    for name, member in members.members.items():
        if not _is_told(members, name, member, now_s):
            continue
        entry = theirs.get(name)
        same_run = entry is not None and entry.incarnation == member.record.incarnation
        if not (same_run and entry and entry.sequence >= member.record.sequence):
            records.append(_aged(member.record, member.heard_at_s, now_s))
    told = tuple(_shortened_for(theirs, record) for record in records)
    age_s = None if own.config is None else now_s - own.confirmed_at_s
    return Statement(told, own.version, age_s)


def _is_told(members: MembershipState, name: str, member: Member, now_s: float) -> bool:
    recent = now_s - member.heard_at_s <= DEAD_AFTER_S
    return name != members.own_host and member.heard and recent


def _shortened_for(theirs: Mapping[str, Known], stated: PeerRecord) -> PeerRecord:
    known = theirs.get(stated.record.host)
    if known is None or known.incarnation != stated.record.incarnation:
        return stated
    return stated.shortened()


def _aged(record: MemberRecord, heard_at_s: float, now_s: float) -> PeerRecord:
    return PeerRecord(record, now_s - heard_at_s, now_s - record.store_report_at_s)
