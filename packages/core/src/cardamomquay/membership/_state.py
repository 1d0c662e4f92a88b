"""Events, effects and state of the membership part."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import immutables

from cardamomquay.membership._records import Known
from cardamomquay.membership._records import MemberRecord
from cardamomquay.membership._records import MemberState
from cardamomquay.membership._records import PeerRecord
from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event

if TYPE_CHECKING:
    from cardamomquay.platform import ListedHost

SUSPECT_AFTER_S = 1.5
DEAD_AFTER_S = 5.0
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
    own : PeerRecord
        Of the peer itself.
    known : tuple of Known
        Statements that the peer knows.
    config_version : int
        Version in force on the peer.
    """

    own: PeerRecord
    known: tuple[Known, ...] = ()
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
    called_at_s : immutables.Map of str to float
        When each host was called last.
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
    called_at_s: immutables.Map[str, float] = field(default_factory=immutables.Map)
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
