"""Membership: who is live, suspect, leaving or dead."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

import immutables

from cardamomquay.membership._records import MemberRecord
from cardamomquay.membership._records import MemberState
from cardamomquay.membership._records import PeerRecord
from cardamomquay.reducer import CoreState
from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event
from cardamomquay.reducer import Identity
from cardamomquay.reducer import Part
from cardamomquay.reducer import Tick

if TYPE_CHECKING:
    from cardamomquay.platform import ListedHost

HOST_LIST_INTERVAL_S = 1.0
EXCHANGE_INTERVAL_S = 0.5
SUSPECT_AFTER_S = 1.5
DEAD_AFTER_S = 5.0
# A dead host that the platform does not list is called for so long, since a host
# that was paused or cut off may return.
FORGET_AFTER_S = 60.0
# Sequence numbers are microseconds of the sender's clock. They grow with each
# statement, and a number that a peer sends back dates the message that carries it.
SEQUENCES_PER_S = 1_000_000


@dataclass(frozen=True, slots=True)
class ReadHostList(Effect):
    """Read the platform's host list; the answer is `HostsListed`."""


@dataclass(frozen=True, slots=True)
class PeerTarget:
    """A host to call, and where."""

    host: str
    peer_address: str


@dataclass(frozen=True, slots=True)
class ExchangeWithPeers(Effect):
    """Exchange records with each target; each answer is `ExchangeAnswered`."""

    targets: tuple[PeerTarget, ...]


@dataclass(frozen=True, slots=True)
class HostsListed(Event):
    """The platform's list, which may be an old one."""

    hosts: tuple[ListedHost, ...]


@dataclass(frozen=True, slots=True)
class LeaveRequested(Event):
    """A planned stop of this host begins."""


@dataclass(frozen=True, slots=True)
class ExtraPublished(Event):
    """Sets an entry of the own record's `extra`; None removes it."""

    name: str
    value: str | None


@dataclass(frozen=True, slots=True)
class ExchangeAnswered(Event):
    """A peer answered a call that this host began at `started_s`.

    Parameters
    ----------
    started_s : float
    target : PeerTarget
        Whom this host meant to call.
    sender : str
        Host that answered.
    records : tuple of PeerRecord
    config_version : int
        Version in force on the peer.
    confirmed_age_s : float or None
        Age of the peer's evidence for that version.
    """

    started_s: float
    target: PeerTarget
    sender: str
    records: tuple[PeerRecord, ...]
    config_version: int = 0
    confirmed_age_s: float | None = None


@dataclass(frozen=True, slots=True)
class ExchangeReceived(Event):
    """A peer called this host.

    Parameters
    ----------
    sender : str
    records : tuple of PeerRecord
    config_version : int
        Version in force on the peer.
    """

    sender: str
    records: tuple[PeerRecord, ...]
    config_version: int = 0


@dataclass(frozen=True, slots=True)
class Member:
    """A host's newest record and when it was heard.

    Parameters
    ----------
    record : MemberRecord
    heard_at_s : float
        On this host's clock: the host made this statement at this time or later.
        For a host that is only listed, when it was first listed.
    heard : bool
        False while only the platform's list names the host.
    """

    record: MemberRecord
    heard_at_s: float
    heard: bool = True


@dataclass(frozen=True, slots=True)
class MembershipState:
    """State of the membership part.

    Parameters
    ----------
    members : immutables.Map of str to Member
    own_host : str
    leaving : bool
        Whether this host leaves.
    list_due_s, exchange_due_s : float
    by_peer_address : immutables.Map of str to str
        Host that was heard last at each address.
    listed : frozenset of str
        Hosts of the platform's newest list.
    """

    members: immutables.Map[str, Member]
    own_host: str = ""
    leaving: bool = False
    list_due_s: float = 0.0
    exchange_due_s: float = 0.0
    by_peer_address: immutables.Map[str, str] = field(default_factory=immutables.Map)
    listed: frozenset[str] = frozenset()

    def state_of(self, host: str, now_s: float) -> MemberState:
        """Return a host's state at `now_s`; an unknown host counts as dead."""
        member = self.members.get(host)
        if member is None:
            return MemberState.DEAD
        age_s = 0.0 if host == self.own_host else now_s - member.heard_at_s
        if age_s > DEAD_AFTER_S:
            return MemberState.DEAD
        if member.record.leaving:
            return MemberState.LEAVING
        return MemberState.SUSPECT if age_s > SUSPECT_AFTER_S else MemberState.LIVE


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
        own = replace(own, list_due_s=now_s + HOST_LIST_INTERVAL_S)
        effects.append(ReadHostList())
    if now_s >= own.exchange_due_s:
        own = replace(own, exchange_due_s=now_s + EXCHANGE_INTERVAL_S)
        own = _forget(own, now_s)
        targets = tuple(
            PeerTarget(name, member.record.peer_address)
            for name, member in own.members.items()
            if name != own.own_host and member.record.peer_address
        )
        if targets:
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
    return replace(own, members=own.members.delete(host), by_peer_address=addresses)


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
    """Apply records that a peer sent unasked.

    A request can wait in a socket while this host is paused, so its arrival dates
    nothing. The sequence number of this host's own record in it does: the request
    was sent after this host made that statement.
    """
    sent_after_s = float("-inf")
    for received in event.records:
        record = received.record
        if (record.host, record.incarnation) == (identity.host, identity.incarnation):
            sent_after_s = record.sequence / SEQUENCES_PER_S
    for received in event.records:
        known = own.members.get(received.record.host)
        if sent_after_s > float("-inf"):
            record, heard_at_s = received.dated(min(sent_after_s, event.now_s))
            own = _apply_record(own, record, heard_at_s, event.now_s)
        elif known is None and received.heard_age_s < DEAD_AFTER_S:
            # Not dated, so not heard: called from now on, offered once it answers.
            record, _ = received.dated(event.now_s - FORGET_AFTER_S)
            suspect_s = event.now_s - DEAD_AFTER_S
            member = Member(record, suspect_s, heard=False)
            own = replace(own, members=own.members.set(record.host, member))
    return own


def _apply_record(
    own: MembershipState, record: MemberRecord, heard_at_s: float, now_s: float
) -> MembershipState:
    if record.host == own.own_host or now_s - heard_at_s > FORGET_AFTER_S:
        return own
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
