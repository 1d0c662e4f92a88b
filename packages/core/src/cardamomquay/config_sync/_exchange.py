"""Requests and replies with which hosts exchange records and configuration versions."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from cardamomquay.config_sync._reducer import ConfigState
from cardamomquay.config_sync._unsettled import unsettled_edits_entry
from cardamomquay.membership import DEAD_AFTER_S
from cardamomquay.membership import SEQUENCE_UNITS_PER_S
from cardamomquay.membership import KnownRecord
from cardamomquay.membership import MembershipState
from cardamomquay.membership import SentRecord

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomquay.membership import Member
    from cardamomquay.membership import MemberRecord
    from cardamomquay.reducer import CoreState


@dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """A request to exchange records.

    Parameters
    ----------
    sender_record : SentRecord
        The sender's own record.
    known_records : tuple of KnownRecord
        Which records of other hosts the sender has, so that the reply contains only
        newer ones.
    config_version : int
        Version in force on the sender.
    """

    sender_record: SentRecord
    known_records: tuple[KnownRecord, ...]
    config_version: int


@dataclass(frozen=True, slots=True)
class ExchangeReply:
    """The reply to an `ExchangeRequest`.

    Parameters
    ----------
    records : tuple of SentRecord
        The replying host's own record first, then the newer records of other hosts.
    config_version : int
        Version in force on the replying host.
    confirmed_age_s : float or None
        Age of the evidence that this version is the newest; None without evidence.
    """

    records: tuple[SentRecord, ...]
    config_version: int
    confirmed_age_s: float | None


def own_record(core: CoreState, now_s: float, load: float = 0.0) -> MemberRecord:
    """Return this host's record at `now_s`.

    Parameters
    ----------
    core : CoreState
    now_s : float
        Must not go backwards between calls, since the sequence number is derived from
        it.
    load : float
        Share of this host's request threads that are busy.

    Returns
    -------
    MemberRecord
    """
    config_state = core.state_of(ConfigState)
    members = core.state_of(MembershipState)
    record = members.members[members.own_host].record
    return replace(
        record,
        extra=record.extra.update(unsettled_edits_entry(core)),
        sequence=int(now_s * SEQUENCE_UNITS_PER_S),
        config_version=config_state.version,
        store_report=config_state.store_report,
        store_report_at_s=config_state.store_report_at_s,
        load=load,
    )


def exchange_request(
    core: CoreState, now_s: float, load: float = 0.0
) -> ExchangeRequest:
    """Return the request that this host sends at `now_s`.

    Parameters
    ----------
    core : CoreState
    now_s : float
    load : float
        Share of this host's request threads that are busy.

    Returns
    -------
    ExchangeRequest
    """
    members = core.state_of(MembershipState)
    # Includes dead hosts. Otherwise a peer with a slightly later `sent_after_s` for a
    # dead host's last record would send this record, and the host would count as
    # suspect again.
    known = tuple(
        KnownRecord(name, member.record.incarnation, member.record.sequence)
        for name, member in members.members.items()
        if name != members.own_host and member.has_dated_record
    )
    record = _with_ages(own_record(core, now_s, load), now_s, now_s)
    return ExchangeRequest(record, known, core.state_of(ConfigState).version)


def exchange_reply(
    core: CoreState, now_s: float, known: Sequence[KnownRecord] = (), load: float = 0.0
) -> ExchangeReply:
    """Return the reply that this host sends at `now_s`.

    Parameters
    ----------
    core : CoreState
    now_s : float
    known : sequence of KnownRecord
        Which records the peer has. The reply contains those that are newer.
    load : float
        Share of this host's request threads that are busy.

    Returns
    -------
    ExchangeReply
    """
    config_state = core.state_of(ConfigState)
    members = core.state_of(MembershipState)
    known_by_host = {entry.host: entry for entry in known}
    records = [_with_ages(own_record(core, now_s, load), now_s, now_s)]
    for name, member in members.members.items():
        if not _is_recent_peer_record(members, name, member, now_s):
            continue
        entry = known_by_host.get(name)
        same_incarnation = (
            entry is not None and entry.incarnation == member.record.incarnation
        )
        if not (
            same_incarnation and entry and entry.sequence >= member.record.sequence
        ):
            records.append(_with_ages(member.record, member.sent_after_s, now_s))
    sent = tuple(
        _without_known_static_fields(known_by_host, record) for record in records
    )
    age_s = None if config_state.config is None else now_s - config_state.confirmed_at_s
    return ExchangeReply(sent, config_state.version, age_s)


def _is_recent_peer_record(
    members: MembershipState, name: str, member: Member, now_s: float
) -> bool:
    recent = now_s - member.sent_after_s <= DEAD_AFTER_S
    return name != members.own_host and member.has_dated_record and recent


def _without_known_static_fields(
    known_by_host: Mapping[str, KnownRecord], sent: SentRecord
) -> SentRecord:
    known = known_by_host.get(sent.record.host)
    if known is None or known.incarnation != sent.record.incarnation:
        return sent
    return sent.without_static_fields()


def _with_ages(record: MemberRecord, sent_after_s: float, now_s: float) -> SentRecord:
    return SentRecord(record, now_s - sent_after_s, now_s - record.store_report_at_s)
