"""Reducer for membership: which hosts are live, suspect, leaving or dead."""

from __future__ import annotations

from dataclasses import replace

import immutables

from cardamomquay.membership._exchange_targets import choose_exchange_targets
from cardamomquay.membership._exchange_targets import overdue_targets
from cardamomquay.membership._records import MemberRecord
from cardamomquay.membership._records import MemberState
from cardamomquay.membership._state import DEAD_AFTER_S
from cardamomquay.membership._state import SEQUENCE_UNITS_PER_S
from cardamomquay.membership._state import ExchangeAnswered
from cardamomquay.membership._state import ExchangeReceived
from cardamomquay.membership._state import ExchangeWithPeers
from cardamomquay.membership._state import ExtraChanged
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
from cardamomquay.reducer import SliceReducer
from cardamomquay.reducer import Tick

# The platform's host list is only needed for discovery. A new host calls the hosts in
# the list, which then know it.
HOST_LIST_INTERVAL_S = 1.0
HOST_LIST_INTERVAL_WITH_PEERS_S = 5.0
EXCHANGE_INTERVAL_S = 0.5
# A dead host that the platform no longer lists is kept and called for this time, since
# it may return after a pause or a partition. Records older than this are ignored.
FORGET_AFTER_S = 60.0


class MembershipReducer(SliceReducer[MembershipState]):
    """Keeps the newest record of each host."""

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
        self, state: MembershipState, event: Event, core: CoreState
    ) -> tuple[MembershipState, tuple[Effect, ...]]:
        match event:
            case Tick():
                return _tick(state, event.now_s)
            case HostsListed():
                return _apply_host_list(state, event), ()
            case LeaveRequested():
                return _update_own_record(
                    replace(state, leaving=True), leaving=True
                ), ()
            case ExtraChanged(name=name, value=value):
                extra = state.members[state.own_host].record.extra
                if value is not None:
                    return _update_own_record(state, extra=extra.set(name, value)), ()
                if name in extra:
                    return _update_own_record(state, extra=extra.delete(name)), ()
                return state, ()
            case ExchangeAnswered():
                return _apply_exchange_answer(state, event), ()
            case ExchangeReceived():
                return _apply_exchange_request(state, event, core.identity), ()
            case _:
                return state, ()


def _tick(
    state: MembershipState, now_s: float
) -> tuple[MembershipState, tuple[Effect, ...]]:
    effects: list[Effect] = []
    if now_s >= state.host_list_due_s:
        has_live_peer = any(
            state.state_of(name, now_s) is MemberState.LIVE and member.has_dated_record
            for name, member in state.members.items()
            if name != state.own_host
        )
        interval_s = (
            HOST_LIST_INTERVAL_WITH_PEERS_S if has_live_peer else HOST_LIST_INTERVAL_S
        )
        state = replace(state, host_list_due_s=now_s + interval_s)
        effects.append(ReadHostList())
    targets: tuple[PeerTarget, ...]
    if now_s >= state.exchange_due_s:
        state = replace(state, exchange_due_s=now_s + EXCHANGE_INTERVAL_S)
        state = _remove_long_dead_hosts(state, now_s)
        targets = choose_exchange_targets(state, now_s)
    else:
        targets = overdue_targets(state, now_s)
    if targets:
        called = state.called_at_s
        for target in targets:
            called = called.set(target.host, now_s)
        state = replace(state, called_at_s=called)
        effects.append(ExchangeWithPeers(targets))
    return state, tuple(effects)


def _update_own_record(state: MembershipState, **changes: object) -> MembershipState:
    member = state.members[state.own_host]
    record = replace(member.record, **changes)  # type: ignore[arg-type]
    new = replace(member, record=record)
    return replace(state, members=state.members.set(state.own_host, new))


def _remove_long_dead_hosts(state: MembershipState, now_s: float) -> MembershipState:
    long_dead_hosts = [
        name
        for name, member in state.members.items()
        if name not in state.listed_hosts
        and name != state.own_host
        and now_s - member.sent_after_s > FORGET_AFTER_S
    ]
    for name in long_dead_hosts:
        state = _remove(state, name)
    return state


def _remove(state: MembershipState, host: str) -> MembershipState:
    member = state.members[host]
    addresses = state.host_by_peer_address
    if addresses.get(member.record.peer_address) == host:
        addresses = addresses.delete(member.record.peer_address)
    called = state.called_at_s
    return replace(
        state,
        members=state.members.delete(host),
        host_by_peer_address=addresses,
        called_at_s=called.delete(host) if host in called else called,
    )


def _apply_exchange_answer(
    state: MembershipState, event: ExchangeAnswered
) -> MembershipState:
    for received in event.records:
        record, sent_after_s = received.to_receiver_clock(event.started_s)
        state = _apply_record(state, record, sent_after_s, event.now_s)
    expected = state.members.get(event.target.host)
    if (
        event.sender not in {event.target.host, state.own_host}
        and expected is not None
        and expected.record.peer_address == event.target.peer_address
    ):
        # Another host answered at this address, so it has replaced the expected one.
        state = _remove(state, event.target.host)
    return state


def _apply_exchange_request(
    state: MembershipState, event: ExchangeReceived, identity: Identity
) -> MembershipState:
    """Apply the record of a peer that called.

    A request can wait in a socket buffer while this host is paused, so its arrival time
    says nothing about its age. If it contains a sequence number of this host, it was
    sent after this host sent the record with that number.
    """
    received = event.sender_record
    for known in event.known_records:
        if (known.host, known.incarnation) == (identity.host, identity.incarnation):
            request_sent_after_s = min(
                known.sequence / SEQUENCE_UNITS_PER_S, event.now_s
            )
            record, sent_after_s = received.to_receiver_clock(request_sent_after_s)
            return _apply_record(state, record, sent_after_s, event.now_s)
    if received.record.host in state.members:
        return state
    # The time of the record is unknown. The host is called from now on, but does not
    # count as live until it answers, and its store report counts as too old.
    record, _ = received.to_receiver_clock(event.now_s - FORGET_AFTER_S)
    member = Member(record, event.now_s - DEAD_AFTER_S, has_dated_record=False)
    return replace(state, members=state.members.set(record.host, member))


def _apply_record(
    state: MembershipState, record: MemberRecord, sent_after_s: float, now_s: float
) -> MembershipState:
    if record.host == state.own_host or now_s - sent_after_s > FORGET_AFTER_S:
        return state
    if not record.peer_address:
        completed = _fill_static_fields(record, state.members.get(record.host))
        if completed is None:
            return state
        record = completed
    host_at_address = state.host_by_peer_address.get(record.peer_address)
    if host_at_address is not None and host_at_address != record.host:
        if state.members[host_at_address].sent_after_s >= sent_after_s:
            return state
        # An address belongs to one host: the one with the newer record has replaced the
        # other.
        state = _remove(state, host_at_address)
    known = state.members.get(record.host)
    if known is not None and known.has_dated_record:
        if not _is_newer(record, sent_after_s, known, now_s):
            if (
                _is_same_record(record, known.record)
                and sent_after_s > known.sent_after_s
            ):
                member = replace(known, sent_after_s=sent_after_s)
                return replace(state, members=state.members.set(record.host, member))
            return state
        if known.record.peer_address != record.peer_address:
            state = _remove(state, record.host)
        elif known.record.incarnation == record.incarnation:
            sent_after_s = max(sent_after_s, known.sent_after_s)
    return replace(
        state,
        members=state.members.set(record.host, Member(record, sent_after_s)),
        host_by_peer_address=state.host_by_peer_address.set(
            record.peer_address, record.host
        ),
    )


def _fill_static_fields(
    record: MemberRecord, known: Member | None
) -> MemberRecord | None:
    if known is None or known.record.incarnation != record.incarnation:
        return None
    return replace(
        record,
        region=known.record.region,
        availability_zone=known.record.availability_zone,
        address=known.record.address,
        peer_address=known.record.peer_address,
    )


def _is_same_record(one: MemberRecord, other: MemberRecord) -> bool:
    return (one.incarnation, one.sequence) == (other.incarnation, other.sequence)


def _is_newer(
    record: MemberRecord, sent_after_s: float, known: Member, now_s: float
) -> bool:
    if record.incarnation == known.record.incarnation:
        return record.sequence > known.record.sequence
    if record.incarnation > known.record.incarnation:
        return True
    # Incarnations are ordered by the machines' wall clocks. A replacement whose clock
    # is behind is accepted once its predecessor counts as dead.
    dead = now_s - known.sent_after_s > DEAD_AFTER_S
    return dead and sent_after_s > known.sent_after_s


def _apply_host_list(state: MembershipState, event: HostsListed) -> MembershipState:
    listed_hosts = frozenset(host.host for host in event.hosts)
    state = replace(state, listed_hosts=listed_hosts)
    for host in event.hosts:
        known = state.members.get(host.host)
        if host.host == state.own_host or (
            known is not None and known.has_dated_record
        ):
            continue
        if state.host_by_peer_address.get(host.peer_address) is not None:
            # A host with a received record has this address, so the list is out of
            # date.
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
        # Keeps the time at which the host was first listed, so that a host that never
        # answers becomes suspect however often it is listed.
        first_listed_s = event.now_s if known is None else known.sent_after_s
        members = state.members.set(
            host.host, Member(record, first_listed_s, has_dated_record=False)
        )
        state = replace(state, members=members)
    for name, member in state.members.items():
        if not member.has_dated_record and name not in listed_hosts:
            state = _remove(state, name)
    return state
