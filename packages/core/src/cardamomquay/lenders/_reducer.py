"""Claims resources for lending; a claim is valid while the host holds its lease."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import immutables

from cardamomquay.config_sync import ConfigState
from cardamomquay.leases import LEASES_TABLE
from cardamomquay.leases import LeaseState
from cardamomquay.leases import is_lease_valid
from cardamomquay.lenders._rows import LenderRow
from cardamomquay.lenders._rows import lender_row_key
from cardamomquay.lenders._rows import lender_row_value
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
from cardamomquay.reducer import SliceReducer
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
# Time after which a scan or a write without an answer counts as failed.
CALL_TIMEOUT_S = 2.0
CLAIMS_PER_WRITE_MAX = 64


@dataclass(frozen=True, slots=True)
class ScanLenders(Effect):
    """Scan `LENDERS_TABLE` and `LEASES_TABLE`; `LendersScanned` has the result."""

    call_number: int


@dataclass(frozen=True, slots=True)
class WriteLenderRows(Effect):
    """Call `TableService.transact` once; `LenderRowsWritten` has the result."""

    call_number: int
    transaction: Transaction


@dataclass(frozen=True, slots=True)
class StartLending(Effect):
    """Tell the daemon that this host lends a resource from now on.

    `fence` is the fencing token of the lender row, `lease_fence` the one of the host
    lease under which the resource is lent.
    """

    resource: str
    fence: int
    lease_fence: int


@dataclass(frozen=True, slots=True)
class StopLending(Effect):
    """Tell the daemon that this host no longer lends a resource."""

    resource: str


@dataclass(frozen=True, slots=True)
class LendersScanned(Event):
    """Results of `ScanLenders`: the rows of lenders and of host leases."""

    call_number: int
    lenders: RowsRead | Unavailable
    leases: RowsRead | Unavailable


@dataclass(frozen=True, slots=True)
class LenderRowsWritten(Event):
    """Result of `WriteLenderRows`."""

    call_number: int
    result: Committed | Conflicted | Unavailable


@dataclass(frozen=True, slots=True)
class LendersState:
    """State of `LendersReducer`.

    Parameters
    ----------
    rows : immutables.Map
        Lender row of each resource, as last read.
    lending : immutables.Map
        Fencing token of each resource that this host lends.
    lease_fence : int
        Fencing token of the host lease under which it lends.
    lease_revision : int
        A revision of the store at which that lease was held. Rows read at an older
        revision may have been taken over before the lease was acquired.
    last_call_number : int
        Number of the last call made; calls are numbered from 1.
    call_started_s : float or None
        Start of the pending call, None if there is none.
    due_s : float
        Time at which the next scan is due.
    leaving : bool
        Whether this host is stopping as planned and claims no more resources.
    """

    rows: immutables.Map[str, LenderRow] = immutables.Map()
    lending: immutables.Map[str, int] = immutables.Map()
    lease_fence: int = 0
    lease_revision: int = 0
    last_call_number: int = 0
    call_started_s: float | None = None
    due_s: float = float("-inf")
    leaving: bool = False

    def lender_of(self, resource: str) -> LenderRow | None:
        """Return the lender row of a resource as last read, or None."""
        return self.rows.get(resource)


_Step = tuple[LendersState, tuple[Effect, ...]]


class LendersReducer(SliceReducer[LendersState]):
    """Claims the resources that rendezvous hashing assigns to this host.

    A resource belongs to a region and is lent by a live host of that region, or by any
    live host if the region has none. A lender keeps a resource until it stops or loses
    its lease, so that a host that comes back causes no change of lender.

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

    def reduce(self, state: LendersState, event: Event, core: CoreState) -> _Step:
        match event:
            case Tick():
                return self._tick(state, event.now_s, core)
            case LendersScanned() if event.call_number == state.last_call_number:
                return self._apply_scan(state, event, core)
            case LenderRowsWritten() if event.call_number == state.last_call_number:
                # Whether the write succeeded is read from the rows by the next scan.
                return replace(state, call_started_s=None, due_s=event.now_s), ()
            case LeaveRequested():
                return replace(state, leaving=True, due_s=event.now_s), ()
            case _:
                return state, ()

    def _tick(self, state: LendersState, now_s: float, core: CoreState) -> _Step:
        lease = core.state_of(LeaseState)
        state, stopped = _stop_without_lease(state, lease)
        if state.call_started_s is not None:
            if now_s - state.call_started_s < CALL_TIMEOUT_S:
                return state, stopped
            state = replace(state, call_started_s=None)
        if now_s < state.due_s:
            return state, stopped
        call_number = state.last_call_number + 1
        state = replace(
            state,
            last_call_number=call_number,
            call_started_s=now_s,
            due_s=now_s + SCAN_INTERVAL_S,
        )
        return state, (*stopped, ScanLenders(call_number))

    def _apply_scan(
        self, state: LendersState, event: LendersScanned, core: CoreState
    ) -> _Step:
        state = replace(state, call_started_s=None)
        if not isinstance(event.lenders, RowsRead) or not isinstance(
            event.leases, RowsRead
        ):
            return state, ()
        found = (read_lender_row(row) for row in event.lenders.rows)
        rows = {row.resource: row for row in found if row is not None}
        state = replace(state, rows=immutables.Map(rows))
        state, changed = _apply_rows(state, event.lenders.revision, core)
        if state.leaving:
            state, released = _release_rows(state, event.now_s, core.identity)
            return state, (*changed, *released)
        state, claimed = self._claim(state, event, core)
        return state, (*changed, *claimed)

    def _claim(
        self, state: LendersState, event: LendersScanned, core: CoreState
    ) -> _Step:
        config = core.state_of(ConfigState).config
        lease = core.state_of(LeaseState)
        if config is None or not is_lease_valid(lease, event.now_s):
            return state, ()
        assert isinstance(event.leases, RowsRead)
        lease_holders = {
            row.key.key: (str(row.value["incarnation"]), row.version)
            for row in event.leases.rows
            if row.value is not None
        }
        identity = core.identity
        hosts = _live_hosts_by_region(core, event.now_s)
        all_hosts = [host for names in hosts.values() for host in names]
        conditions: dict[RowKey, Condition] = {}
        writes = []
        for resource, region in self._resources_of(config).items():
            if preferred_host(resource, hosts.get(region) or all_hosts) != (
                identity.host
            ):
                continue
            old = state.rows.get(resource)
            if old is not None and _is_held(old, lease_holders):
                continue
            key = lender_row_key(resource)
            conditions[key] = Condition(key, 0 if old is None else old.version)
            if old is not None and old.host:
                # Fails the write if the old lender has its lease again at the commit.
                lease_key = RowKey(LEASES_TABLE, old.host)
                _, version = lease_holders.get(old.host, ("", 0))
                conditions[lease_key] = Condition(lease_key, version)
            fence = 1 if old is None else old.fence + 1
            value = lender_row_value(identity.host, identity.incarnation, fence)
            writes.append(Write(key, value))
            if len(writes) >= CLAIMS_PER_WRITE_MAX:
                break
        if not writes:
            return state, ()
        return _write_rows(
            state, event.now_s, tuple(conditions.values()), tuple(writes)
        )


def _live_hosts_by_region(core: CoreState, now_s: float) -> Mapping[str, list[str]]:
    members = core.state_of(MembershipState)
    identity = core.identity
    hosts: defaultdict[str, list[str]] = defaultdict(list)
    for name, member in members.members.items():
        if name != identity.host and (
            members.state_of(name, now_s) is MemberState.LIVE
        ):
            hosts[member.record.region].append(name)
    hosts[identity.region].append(identity.host)
    return hosts


def _is_held(row: LenderRow, lease_holders: Mapping[str, tuple[str, int]]) -> bool:
    if not row.host:
        return False
    incarnation, _ = lease_holders.get(row.host, ("", 0))
    return incarnation == row.incarnation


def _stop_without_lease(state: LendersState, lease: LeaseState) -> _Step:
    """Stop lending if the lease was lost, even if a new one was acquired since."""
    if not state.lending or lease.fence == state.lease_fence:
        return state, ()
    stopped = tuple(StopLending(resource) for resource in state.lending)
    return replace(state, lending=immutables.Map()), stopped


def _apply_rows(state: LendersState, revision: int, core: CoreState) -> _Step:
    """Start and stop lending according to the rows that were read.

    No other host takes over a row of this host while it holds its lease. A row that
    was read at or after a revision at which the lease was held is therefore still
    valid.
    """
    lease = core.state_of(LeaseState)
    identity = core.identity
    if lease.fence == 0 or lease.row is None:
        return state, ()
    if lease.fence != state.lease_fence:
        state = replace(
            state, lease_fence=lease.fence, lease_revision=lease.row.version
        )
    if revision < state.lease_revision:
        return state, ()
    effects: list[Effect] = []
    lending = state.lending
    for resource, row in state.rows.items():
        if row.incarnation != identity.incarnation or lending.get(resource) == (
            row.fence
        ):
            continue
        lending = lending.set(resource, row.fence)
        effects.append(StartLending(resource, row.fence, lease.fence))
    for resource in tuple(lending):
        current = state.rows.get(resource)
        if current is None or current.incarnation != identity.incarnation:
            lending = lending.delete(resource)
            effects.append(StopLending(resource))
    return replace(state, lending=lending), tuple(effects)


def _release_rows(state: LendersState, now_s: float, identity: Identity) -> _Step:
    """Release the rows of this host before a planned stop."""
    mine = [r for r in state.rows.values() if r.incarnation == identity.incarnation]
    if not mine:
        return state, ()
    stopped = tuple(StopLending(resource) for resource in state.lending)
    state = replace(state, lending=immutables.Map())
    conditions = tuple(
        Condition(lender_row_key(row.resource), row.version) for row in mine
    )
    # The row stays, without a lender, because the fence of a resource must increase.
    writes = tuple(
        Write(lender_row_key(row.resource), lender_row_value("", "", row.fence))
        for row in mine
    )
    state, effects = _write_rows(state, now_s, conditions, writes)
    return state, (*stopped, *effects)


def _write_rows(
    state: LendersState,
    now_s: float,
    conditions: Iterable[Condition],
    writes: Iterable[Write],
) -> _Step:
    call_number = state.last_call_number + 1
    state = replace(state, last_call_number=call_number, call_started_s=now_s)
    transaction = Transaction(tuple(conditions), tuple(writes))
    return state, (WriteLenderRows(call_number, transaction),)
