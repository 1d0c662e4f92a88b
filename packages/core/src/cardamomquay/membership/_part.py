"""Membership: who is live, suspect, leaving or dead."""

from __future__ import annotations

from dataclasses import replace

import immutables

from cardamomquay.membership._partners import choose_partners
from cardamomquay.membership._partners import overdue_hosts
from cardamomquay.membership._records import MemberRecord
from cardamomquay.membership._records import MemberState
from cardamomquay.membership._state import DEAD_AFTER_S
from cardamomquay.membership._state import SEQUENCES_PER_S
from cardamomquay.membership._state import ExchangeAnswered
from cardamomquay.membership._state import ExchangeReceived
from cardamomquay.membership._state import ExchangeWithPeers
from cardamomquay.membership._state import ExtraPublished
from cardamomquay.membership._state import HostsListed
from cardamomquay.membership._state import LeaveRequested
from cardamomquay.membership._state import Member
from cardamomquay.membership._state import MembershipState
from cardamomquay.membership._state import PeerTarget
from cardamomquay.membership._state import ReadHostList
from cardamomquay.reducer import CoreState
from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event
from cardamomquay.reducer import Identity
from cardamomquay.reducer import Part
from cardamomquay.reducer import Tick

# The list only brings hosts together: a new host calls others, which then know it.
HOST_LIST_INTERVAL_S = 1.0
HOST_LIST_INTERVAL_HEARD_S = 5.0
EXCHANGE_INTERVAL_S = 0.5
# A dead host that the platform does not list is called for so long, since a host
# that was paused or cut off may return.
FORGET_AFTER_S = 60.0


class MembershipPart(Part[MembershipState]):
    """Keeps the records of all hosts."""

    state_type = MembershipState

    def initial(self, identity: Identity) -> MembershipState:
        record = MemberRecord(
            host=identity.host,
            incarnation=identity.incarnation,
            sequence=0,
            region=identity.region,
            availability_zone=identity.availability_zone,
            address=identity.address,
            peer_address=identity.peer_address,
        )
        members = immutables.Map({identity.host: Member(record, 0.0)})
        return MembershipState(members, own_host=identity.host)

    def reduce(
        self, own: MembershipState, event: Event, core: CoreState
    ) -> tuple[MembershipState, tuple[Effect, ...]]:
        match event:
            case Tick():
                return _tick(own, event.now_s)
            case HostsListed():
                return _apply_list(own, event), ()
            case LeaveRequested():
                return _restate(replace(own, leaving=True), leaving=True), ()
            case ExtraPublished(name=name, value=value):
                extra = own.members[own.own_host].record.extra
                if value is not None:
                    return _restate(own, extra=extra.set(name, value)), ()
                if name in extra:
                    return _restate(own, extra=extra.delete(name)), ()
                return own, ()
            case ExchangeAnswered():
                return _exchange_answered(own, event), ()
            case ExchangeReceived():
                return _exchange_received(own, event, core.identity), ()
            case _:
                return own, ()


def _tick(
    own: MembershipState, now_s: float
) -> tuple[MembershipState, tuple[Effect, ...]]:
    effects: list[Effect] = []
    if now_s >= own.list_due_s:
        heard = any(
            own.state_of(name, now_s) is MemberState.LIVE and member.heard
            for name, member in own.members.items()
            if name != own.own_host
        )
        interval_s = HOST_LIST_INTERVAL_HEARD_S if heard else HOST_LIST_INTERVAL_S
        own = replace(own, list_due_s=now_s + interval_s)
        effects.append(ReadHostList())
    targets: tuple[PeerTarget, ...]
    if now_s >= own.exchange_due_s:
        own = replace(own, exchange_due_s=now_s + EXCHANGE_INTERVAL_S)
        own = _forget(own, now_s)
        targets = choose_partners(own, now_s)
    else:
        targets = overdue_hosts(own, now_s)
    if targets:
        called = own.called_at_s
        for target in targets:
            called = called.set(target.host, now_s)
        own = replace(own, called_at_s=called)
        effects.append(ExchangeWithPeers(targets))
    return own, tuple(effects)


def _restate(own: MembershipState, **changes: object) -> MembershipState:
    """Change the own record."""
    member = own.members[own.own_host]
    record = replace(member.record, **changes)  # type: ignore[arg-type]
    new = replace(member, record=record)
    return replace(own, members=own.members.set(own.own_host, new))


def _forget(own: MembershipState, now_s: float) -> MembershipState:
    gone = [
        name
        for name, member in own.members.items()
        if name not in own.listed
        and name != own.own_host
        and now_s - member.heard_at_s > FORGET_AFTER_S
    ]
    for name in gone:
        own = _remove(own, name)
    return own


def _remove(own: MembershipState, host: str) -> MembershipState:
    member = own.members[host]
    addresses = own.by_peer_address
    if addresses.get(member.record.peer_address) == host:
        addresses = addresses.delete(member.record.peer_address)
    called = own.called_at_s
    return replace(
        own,
        members=own.members.delete(host),
        by_peer_address=addresses,
        called_at_s=called.delete(host) if host in called else called,
    )


def _exchange_answered(
    own: MembershipState, event: ExchangeAnswered
) -> MembershipState:
    for received in event.records:
        record, heard_at_s = received.dated(event.started_s)
        own = _apply_record(own, record, heard_at_s, event.now_s)
    expected = own.members.get(event.target.host)
    if (
        event.sender not in {event.target.host, own.own_host}
        and expected is not None
        and expected.record.peer_address == event.target.peer_address
    ):
        # Another host answers at this address: the expected one was replaced.
        own = _remove(own, event.target.host)
    return own


def _exchange_received(
    own: MembershipState, event: ExchangeReceived, identity: Identity
) -> MembershipState:
    """Apply the record of a peer that called.

    A request can wait in a socket while this host is paused, so its arrival dates
    nothing. The sequence number of this host's own record in it does: the request
    was sent after this host made that statement.
    """
    received = event.own
    for known in event.known:
        if (known.host, known.incarnation) == (identity.host, identity.incarnation):
            sent_after_s = min(known.sequence / SEQUENCES_PER_S, event.now_s)
            record, heard_at_s = received.dated(sent_after_s)
            return _apply_record(own, record, heard_at_s, event.now_s)
    if received.record.host in own.members:
        return own
    # Not dated, so not heard: called from now on, offered once it answers.
    record, _ = received.dated(event.now_s - FORGET_AFTER_S)
    member = Member(record, event.now_s - DEAD_AFTER_S, heard=False)
    return replace(own, members=own.members.set(record.host, member))


def _apply_record(
    own: MembershipState, record: MemberRecord, heard_at_s: float, now_s: float
) -> MembershipState:
    if record.host == own.own_host or now_s - heard_at_s > FORGET_AFTER_S:
        return own
    if not record.peer_address:
        completed = _complete(record, own.members.get(record.host))
        if completed is None:
            return own
        record = completed
    holder = own.by_peer_address.get(record.peer_address)
    if holder is not None and holder != record.host:
        if own.members[holder].heard_at_s >= heard_at_s:
            return own
        # One address has one host: the one heard later has replaced the other.
        own = _remove(own, holder)
    known = own.members.get(record.host)
    if known is not None and known.heard:
        if not _is_newer(record, heard_at_s, known, now_s):
            if _same_statement(record, known.record) and heard_at_s > known.heard_at_s:
                member = replace(known, heard_at_s=heard_at_s)
                return replace(own, members=own.members.set(record.host, member))
            return own
        if known.record.peer_address != record.peer_address:
            own = _remove(own, record.host)
        elif known.record.incarnation == record.incarnation:
            heard_at_s = max(heard_at_s, known.heard_at_s)
    return replace(
        own,
        members=own.members.set(record.host, Member(record, heard_at_s)),
        by_peer_address=own.by_peer_address.set(record.peer_address, record.host),
    )


def _complete(record: MemberRecord, known: Member | None) -> MemberRecord | None:
    if known is None or known.record.incarnation != record.incarnation:
        return None
    return replace(
        record,
        region=known.record.region,
        availability_zone=known.record.availability_zone,
        address=known.record.address,
        peer_address=known.record.peer_address,
    )


def _same_statement(one: MemberRecord, other: MemberRecord) -> bool:
    return (one.incarnation, one.sequence) == (other.incarnation, other.sequence)


def _is_newer(
    record: MemberRecord, heard_at_s: float, known: Member, now_s: float
) -> bool:
    if record.incarnation == known.record.incarnation:
        return record.sequence > known.record.sequence
    if record.incarnation > known.record.incarnation:
        return True
    # Incarnations are ordered by the wall clocks of the machines. A replacement
    # whose clock is behind is accepted once its predecessor counts as dead.
    dead = now_s - known.heard_at_s > DEAD_AFTER_S
    return dead and heard_at_s > known.heard_at_s


def _apply_list(own: MembershipState, event: HostsListed) -> MembershipState:
    listed = frozenset(host.host for host in event.hosts)
    own = replace(own, listed=listed)
    for host in event.hosts:
        known = own.members.get(host.host)
        if host.host == own.own_host or (known is not None and known.heard):
            continue
        if own.by_peer_address.get(host.peer_address) is not None:
            # A host that was heard has this address; the list is an old one.
            continue
        record = MemberRecord(
            host=host.host,
            incarnation="",
            sequence=0,
            region=host.region,
            availability_zone=host.availability_zone,
            address=host.address,
            peer_address=host.peer_address,
            leaving=host.leaving,
        )
        # The time of the first listing stays, so that a host that never answers
        # an exchange becomes suspect however often it is listed.
        first_s = event.now_s if known is None else known.heard_at_s
        members = own.members.set(host.host, Member(record, first_s, heard=False))
        own = replace(own, members=members)
    for name, member in own.members.items():
        if not member.heard and name not in listed:
            own = _remove(own, name)
    return own
