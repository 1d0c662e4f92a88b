"""Which host lends which resource: claims under host leases."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import immutables

from cardamomquay.currency import ConfigState
from cardamomquay.leases import LEASES_TABLE
from cardamomquay.leases import LeaseState
from cardamomquay.leases import is_lease_valid
from cardamomquay.lenders._rows import LenderRow
from cardamomquay.lenders._rows import lender_row_key
from cardamomquay.lenders._rows import lender_value
from cardamomquay.lenders._rows import preferred_host
from cardamomquay.lenders._rows import read_lender_row
from cardamomquay.membership import LeaveRequested
from cardamomquay.membership import MembershipState
from cardamomquay.membership import MemberState
from cardamomquay.platform import Condition
from cardamomquay.platform import RowKey
from cardamomquay.platform import RowsRead
from cardamomquay.platform import Transaction
from cardamomquay.platform import Write
from cardamomquay.reducer import CoreState
from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event
from cardamomquay.reducer import Identity
from cardamomquay.reducer import Part
from cardamomquay.reducer import Tick

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from cardamomquay.config import Config
    from cardamomquay.platform import Committed
    from cardamomquay.platform import Conflicted
    from cardamomquay.platform import Unavailable

SCAN_INTERVAL_S = 1.0
# A scan or a write without an answer for this long counts as failed.
CALL_TIMEOUT_S = 2.0
CLAIMS_MAX = 64


@dataclass(frozen=True, slots=True)
class ScanLenders(Effect):
    """Scan `LENDERS_TABLE` and `LEASES_TABLE`; the answer is `LendersScanned`."""

    call: int


@dataclass(frozen=True, slots=True)
class WriteLenderRows(Effect):
    """Call `TableService.transact` once; the answer is `LenderRowsWritten`."""

    call: int
    transaction: Transaction


@dataclass(frozen=True, slots=True)
class LendingStarted(Effect):
    """Tells the shell that this host lends a resource from now on."""

    resource: str
    fence: int
    lease_fence: int


@dataclass(frozen=True, slots=True)
class LendingStopped(Effect):
    """Tells the shell that this host no longer lends a resource."""

    resource: str


@dataclass(frozen=True, slots=True)
class LendersScanned(Event):
    """Rows of the lenders and of the host leases, of two scans."""

    call: int
    lenders: RowsRead | Unavailable
    leases: RowsRead | Unavailable


@dataclass(frozen=True, slots=True)
class LenderRowsWritten(Event):
    """The outcome of `WriteLenderRows`."""

    call: int
    result: Committed | Conflicted | Unavailable


@dataclass(frozen=True, slots=True)
class LendersState:
    """State of the lenders' part.

    Parameters
    ----------
    rows : immutables.Map
        Lender row of each resource, as last read.
    lending : immutables.Map
        Fence of each resource that this host lends.
    lease_fence : int
        Fence of the host lease under which it lends.
    lease_revision : int
        A revision at which that lease was held. Rows read at an older one may have
        been taken over before the lease was acquired.
    calls : int
    call_started_s : float or None
        Start of the call that is out.
    due_s : float
        When the next scan is due.
    leaving : bool
    """

    rows: immutables.Map[str, LenderRow] = immutables.Map()
    lending: immutables.Map[str, int] = immutables.Map()
    lease_fence: int = 0
    lease_revision: int = 0
    calls: int = 0
    call_started_s: float | None = None
    due_s: float = float("-inf")
    leaving: bool = False

    def lender_of(self, resource: str) -> LenderRow | None:
        """Return the lender of a resource as last read, or None."""
        return self.rows.get(resource)


_Step = tuple[LendersState, tuple[Effect, ...]]


class LendersPart(Part[LendersState]):
    """Claims the resources that rendezvous hashing gives to this host.

    A resource belongs to a region and is lent by a live host there, or by any live
    host while the region has none. A lender keeps a resource until it leaves or its
    lease is gone, so that a host that returns causes no change of lender.

    Parameters
    ----------
    resources_of : callable
        Returns the region of each resource of a configuration.
    """

    state_type = LendersState

    def __init__(self, resources_of: Callable[[Config], Mapping[str, str]]) -> None:
        self._resources_of = resources_of

    def initial(self, identity: Identity) -> LendersState:
        return LendersState()

    def reduce(self, own: LendersState, event: Event, core: CoreState) -> _Step:
        match event:
            case Tick():
                return self._tick(own, event.now_s, core)
            case LendersScanned() if event.call == own.calls:
                return self._scanned(own, event, core)
            case LenderRowsWritten() if event.call == own.calls:
                # Whatever came of it, the next scan shows the rows in force.
                return replace(own, call_started_s=None, due_s=event.now_s), ()
            case LeaveRequested():
                return replace(own, leaving=True, due_s=event.now_s), ()
            case _:
                return own, ()

    def _tick(self, own: LendersState, now_s: float, core: CoreState) -> _Step:
        lease = core.part(LeaseState)
        own, stopped = _stop_without_lease(own, lease)
        if own.call_started_s is not None:
            if now_s - own.call_started_s < CALL_TIMEOUT_S:
                return own, stopped
            own = replace(own, call_started_s=None)
        if now_s < own.due_s:
            return own, stopped
        call = own.calls + 1
        own = replace(
            own, calls=call, call_started_s=now_s, due_s=now_s + SCAN_INTERVAL_S
        )
        return own, (*stopped, ScanLenders(call))

    def _scanned(
        self, own: LendersState, event: LendersScanned, core: CoreState
    ) -> _Step:
        own = replace(own, call_started_s=None)
        if not isinstance(event.lenders, RowsRead) or not isinstance(
            event.leases, RowsRead
        ):
            return own, ()
        found = (read_lender_row(row) for row in event.lenders.rows)
        rows = {row.resource: row for row in found if row is not None}
        own = replace(own, rows=immutables.Map(rows))
        own, changed = _adopt(own, event.lenders.revision, core)
        if own.leaving:
            own, released = _release(own, event.now_s, core.identity)
            return own, (*changed, *released)
        own, claimed = self._claim(own, event, core)
        return own, (*changed, *claimed)

    def _claim(
        self, own: LendersState, event: LendersScanned, core: CoreState
    ) -> _Step:
        config = core.part(ConfigState).config
        lease = core.part(LeaseState)
        if config is None or not is_lease_valid(lease, event.now_s):
            return own, ()
        assert isinstance(event.leases, RowsRead)
        holders = {
            row.key.key: (str(row.value["incarnation"]), row.version)
            for row in event.leases.rows
            if row.value is not None
        }
        identity = core.identity
        hosts = _hosts_by_region(core, event.now_s)
        everywhere = [host for names in hosts.values() for host in names]
        conditions: dict[RowKey, Condition] = {}
        writes = []
        for resource, region in self._resources_of(config).items():
            if preferred_host(resource, hosts.get(region) or everywhere) != (
                identity.host
            ):
                continue
            old = own.rows.get(resource)
            if old is not None and _is_held(old, holders):
                continue
            key = lender_row_key(resource)
            conditions[key] = Condition(key, 0 if old is None else old.version)
            if old is not None and old.host:
                # The old lender must not have its lease again at the commit.
                lease_key = RowKey(LEASES_TABLE, old.host)
                _, version = holders.get(old.host, ("", 0))
                conditions[lease_key] = Condition(lease_key, version)
            fence = 1 if old is None else old.fence + 1
            value = lender_value(identity.host, identity.incarnation, fence)
            writes.append(Write(key, value))
            if len(writes) >= CLAIMS_MAX:
                break
        if not writes:
            return own, ()
        return _issue(own, event.now_s, tuple(conditions.values()), tuple(writes))


def _hosts_by_region(core: CoreState, now_s: float) -> Mapping[str, list[str]]:
    members = core.part(MembershipState)
    identity = core.identity
    hosts: defaultdict[str, list[str]] = defaultdict(list)
    for name, member in members.members.items():
        if name != identity.host and (
            members.state_of(name, now_s) is MemberState.LIVE
        ):
            hosts[member.record.region].append(name)
    hosts[identity.region].append(identity.host)
    return hosts


def _is_held(row: LenderRow, holders: Mapping[str, tuple[str, int]]) -> bool:
    if not row.host:
        return False
    incarnation, _ = holders.get(row.host, ("", 0))
    return incarnation == row.incarnation


def _stop_without_lease(own: LendersState, lease: LeaseState) -> _Step:
    """Stop lending after the lease was lost, even if a new one was acquired."""
    if not own.lending or lease.fence == own.lease_fence:
        return own, ()
    stopped = tuple(LendingStopped(resource) for resource in own.lending)
    return replace(own, lending=immutables.Map()), stopped


def _adopt(own: LendersState, revision: int, core: CoreState) -> _Step:
    """Start and stop lending as the rows that were read say.

    A row that names this host is not taken over while the host holds its lease, so
    one read at or after a revision at which the lease was held is still in force.
    """
    lease = core.part(LeaseState)
    identity = core.identity
    if lease.fence == 0 or lease.row is None:
        return own, ()
    if lease.fence != own.lease_fence:
        own = replace(own, lease_fence=lease.fence, lease_revision=lease.row.version)
    if revision < own.lease_revision:
        return own, ()
    effects: list[Effect] = []
    lending = own.lending
    for resource, row in own.rows.items():
        if row.incarnation != identity.incarnation or lending.get(resource) == (
            row.fence
        ):
            continue
        lending = lending.set(resource, row.fence)
        effects.append(LendingStarted(resource, row.fence, lease.fence))
    for resource in tuple(lending):
        current = own.rows.get(resource)
        if current is None or current.incarnation != identity.incarnation:
            lending = lending.delete(resource)
            effects.append(LendingStopped(resource))
    return replace(own, lending=lending), tuple(effects)


def _release(own: LendersState, now_s: float, identity: Identity) -> _Step:
    """Give the rows of this host back before a planned stop."""
    mine = [r for r in own.rows.values() if r.incarnation == identity.incarnation]
    if not mine:
        return own, ()
    stopped = tuple(LendingStopped(resource) for resource in own.lending)
    own = replace(own, lending=immutables.Map())
    conditions = tuple(
        Condition(lender_row_key(row.resource), row.version) for row in mine
    )
    # The fence of a resource has to grow, so its row stays without a lender.
    writes = tuple(
        Write(lender_row_key(row.resource), lender_value("", "", row.fence))
        for row in mine
    )
    own, effects = _issue(own, now_s, conditions, writes)
    return own, (*stopped, *effects)


def _issue(
    own: LendersState,
    now_s: float,
    conditions: Iterable[Condition],
    writes: Iterable[Write],
) -> _Step:
    call = own.calls + 1
    own = replace(own, calls=call, call_started_s=now_s)
    transaction = Transaction(tuple(conditions), tuple(writes))
    return own, (WriteLenderRows(call, transaction),)
