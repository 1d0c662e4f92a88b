"""Membership: who is live, suspect, leaving or dead."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import immutables

from cardamomquay.membership._records import MemberRecord
from cardamomquay.membership._records import MemberState
from cardamomquay.reducer import CoreState
from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event
from cardamomquay.reducer import Identity
from cardamomquay.reducer import Part
from cardamomquay.reducer import Tick

if TYPE_CHECKING:
    from cardamomquay.platform import ListedHost

HOST_LIST_INTERVAL_S = 1.0
SUSPECT_AFTER_S = 1.5
DEAD_AFTER_S = 5.0


@dataclass(frozen=True, slots=True)
class ReadHostList(Effect):
    """Read the platform's host list; the answer is `HostsListed`."""


@dataclass(frozen=True, slots=True)
class HostsListed(Event):
    """The platform's list, which may be an old one."""

    hosts: tuple[ListedHost, ...]


@dataclass(frozen=True, slots=True)
class LeaveRequested(Event):
    """A planned stop of this host begins."""


@dataclass(frozen=True, slots=True)
class Member:
    """A host's newest record and when it was heard.

    Parameters
    ----------
    record : MemberRecord
    heard_at_s : float
        On this host's clock.
    heard : bool
        False while only the platform's list names the host.
    """

    record: MemberRecord
    heard_at_s: float
    heard: bool = True


@dataclass(frozen=True, slots=True)
class MembershipState:
    """State of the membership part."""

    members: immutables.Map[str, Member]
    leaving: bool = False
    list_due_s: float = 0.0

    def state_of(self, host: str, now_s: float) -> MemberState:
        """Return a host's state at `now_s`; an unknown host counts as dead."""
        member = self.members.get(host)
        if member is None:
            return MemberState.DEAD
        if member.record.leaving:
            return MemberState.LEAVING
        age_s = now_s - member.heard_at_s
        if age_s > DEAD_AFTER_S:
            return MemberState.DEAD
        return MemberState.SUSPECT if age_s > SUSPECT_AFTER_S else MemberState.LIVE


class MembershipPart(Part[MembershipState]):
    """Keeps the records of all hosts."""

    state_type = MembershipState

    def initial(self, identity: Identity) -> MembershipState:
        return MembershipState(immutables.Map())

    def reduce(
        self, own: MembershipState, event: Event, core: CoreState
    ) -> tuple[MembershipState, tuple[Effect, ...]]:
        match event:
            case Tick() if event.now_s >= own.list_due_s:
                due_s = event.now_s + HOST_LIST_INTERVAL_S
                return replace(own, list_due_s=due_s), (ReadHostList(),)
            case HostsListed():
                return _apply_list(own, event, core.identity), ()
            case LeaveRequested():
                return replace(own, leaving=True), ()
            case _:
                return own, ()


def _apply_list(
    own: MembershipState, event: HostsListed, identity: Identity
) -> MembershipState:
    members = own.members
    listed = {host.host for host in event.hosts}
    for host in event.hosts:
        known = members.get(host.host)
        if known is not None and known.heard:
            continue
        record = MemberRecord(
            host=host.host,
            incarnation="",
            sequence=0,
            region=host.region,
            availability_zone=host.availability_zone,
            address=host.address,
            peer_address=host.peer_address,
            leaving=host.leaving or (own.leaving and host.host == identity.host),
        )
        members = members.set(host.host, Member(record, event.now_s, heard=False))
    for name, member in own.members.items():
        if not member.heard and name not in listed:
            members = members.delete(name)
    return replace(own, members=members)
