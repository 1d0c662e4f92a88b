"""Events, effects and state of the membership reducer."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import immutables

from cardamomquay.membership._records import KnownRecord
from cardamomquay.membership._records import MemberRecord
from cardamomquay.membership._records import MemberState
from cardamomquay.membership._records import SentRecord
from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event

if TYPE_CHECKING:
    from cardamomquay.platform import ListedHost

# A host counts as suspect, then as dead, when the age of its newest record (the time
# since `Member.sent_after_s`) exceeds these limits.
SUSPECT_AFTER_S = 1.5
DEAD_AFTER_S = 5.0
# Sequence numbers are times on the sender's clock in microseconds, so they grow with
# each record. When a peer sends one back, the peer's message was sent after that time.
SEQUENCE_UNITS_PER_S = 1_000_000


@dataclass(frozen=True, slots=True)
class ReadHostList(Effect):
    """Read the platform's host list; the answer is `HostsListed`."""


@dataclass(frozen=True, slots=True)
class PeerTarget:
    """A host to call, and its address."""

    host: str
    peer_address: str


@dataclass(frozen=True, slots=True)
class ExchangeWithPeers(Effect):
    """Exchange records with each target; each answer is `ExchangeAnswered`."""

    targets: tuple[PeerTarget, ...]


@dataclass(frozen=True, slots=True)
class HostsListed(Event):
    """The platform's host list was read; it may be out of date."""

    hosts: tuple[ListedHost, ...]


@dataclass(frozen=True, slots=True)
class LeaveRequested(Event):
    """A planned stop of this host has begun."""


@dataclass(frozen=True, slots=True)
class ExtraChanged(Event):
    """Sets an entry in `extra` of this host's record; a value of None removes it."""

    name: str
    value: str | None


@dataclass(frozen=True, slots=True)
class ExchangeAnswered(Event):
    """A peer answered a call that this host started at `started_s`.

    Parameters
    ----------
    started_s : float
    target : PeerTarget
        The host that was called.
    sender : str
        The host that answered; a different one if the address has been reassigned.
    records : tuple of SentRecord
    config_version : int
        Version in force on the peer.
    confirmed_age_s : float or None
        Age of the peer's evidence that this is the newest; None without evidence.
    """

    started_s: float
    target: PeerTarget
    sender: str
    records: tuple[SentRecord, ...]
    config_version: int = 0
    confirmed_age_s: float | None = None


@dataclass(frozen=True, slots=True)
class ExchangeReceived(Event):
    """A peer called this host.

    Parameters
    ----------
    sender_record : SentRecord
        The peer's own record.
    known_records : tuple of KnownRecord
        Which records the peer has.
    config_version : int
        Version in force on the peer.
    """

    sender_record: SentRecord
    known_records: tuple[KnownRecord, ...] = ()
    config_version: int = 0


@dataclass(frozen=True, slots=True)
class Member:
    """A host's newest record, and when the host was last known to be running.

    Parameters
    ----------
    record : MemberRecord
    sent_after_s : float
        On this host's clock: the host sent this record at this time or later. If
        `has_dated_record` is false: when the host was first seen in the platform's
        host list, or `DEAD_AFTER_S` before the arrival of a request whose age is
        unknown.
    has_dated_record : bool
        False until a record of the host has been received with a known earliest time
        of sending.
    """

    record: MemberRecord
    sent_after_s: float
    has_dated_record: bool = True


@dataclass(frozen=True, slots=True)
class MembershipState:
    """State of the membership reducer.

    Parameters
    ----------
    members : immutables.Map of str to Member
    called_at_s : immutables.Map of str to float
        When this host last called each host.
    own_host : str
    leaving : bool
        Whether a planned stop of this host has begun.
    host_list_due_s, exchange_due_s : float
        When the next read of the host list and the next round of exchanges are due.
    host_by_peer_address : immutables.Map of str to str
        For each address, the host with the newest record that has this address.
    listed_hosts : frozenset of str
        Hosts in the platform's host list as last read.
    """

    members: immutables.Map[str, Member]
    called_at_s: immutables.Map[str, float] = field(default_factory=immutables.Map)
    own_host: str = ""
    leaving: bool = False
    host_list_due_s: float = 0.0
    exchange_due_s: float = 0.0
    host_by_peer_address: immutables.Map[str, str] = field(
        default_factory=immutables.Map
    )
    listed_hosts: frozenset[str] = frozenset()

    def state_of(self, host: str, now_s: float) -> MemberState:
        """Return a host's state at `now_s`; an unknown host counts as dead."""
        member = self.members.get(host)
        if member is None:
            return MemberState.DEAD
        age_s = 0.0 if host == self.own_host else now_s - member.sent_after_s
        if age_s > DEAD_AFTER_S:
            return MemberState.DEAD
        if member.record.leaving:
            return MemberState.LEAVING
        return MemberState.SUSPECT if age_s > SUSPECT_AFTER_S else MemberState.LIVE
