"""What a host tells its peers."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from cardamomquay.currency._part import ConfigState
from cardamomquay.currency._unsettled import unsettled_extra
from cardamomquay.membership import DEAD_AFTER_S
from cardamomquay.membership import SEQUENCES_PER_S
from cardamomquay.membership import MembershipState
from cardamomquay.membership import PeerRecord

if TYPE_CHECKING:
    from cardamomquay.membership import MemberRecord
    from cardamomquay.reducer import CoreState


@dataclass(frozen=True, slots=True)
class Statement:
    """The content of an exchange, in either direction.

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
        sequence=int(now_s * SEQUENCES_PER_S),
        config_version=own.version,
        store_report=own.report,
        store_report_at_s=own.report_at_s,
        load=load,
    )


def exchange_statement(core: CoreState, now_s: float, load: float = 0.0) -> Statement:
    """Return what this host tells a peer at `now_s`.

    Parameters
    ----------
    core : CoreState
    now_s : float
    load : float
        Share of this host's request threads that are busy.

    Returns
    -------
    Statement
    """
    own = core.part(ConfigState)
    members = core.part(MembershipState)
    records = [_aged(own_record(core, now_s, load), now_s, now_s)]
    records.extend(
        _aged(member.record, member.heard_at_s, now_s)
        for name, member in members.members.items()
        if name != members.own_host
        and member.heard
        and now_s - member.heard_at_s <= DEAD_AFTER_S
    )
    age_s = None if own.config is None else now_s - own.confirmed_at_s
    return Statement(tuple(records), own.version, age_s)


def _aged(record: MemberRecord, heard_at_s: float, now_s: float) -> PeerRecord:
    return PeerRecord(record, now_s - heard_at_s, now_s - record.store_report_at_s)
