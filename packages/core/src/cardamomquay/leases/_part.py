"""The host's own lease, and the reducer's part for all leases."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from cardamomquay.currency import CURRENCY_BOUND_S
from cardamomquay.currency import HeadReadFailed
from cardamomquay.currency import currency_view
from cardamomquay.currency import is_outage_confirmed
from cardamomquay.leases._calls import LeaseAcquired
from cardamomquay.leases._calls import LeaseLost
from cardamomquay.leases._calls import LeaseReleased
from cardamomquay.leases._calls import LeaseRowsRead
from cardamomquay.leases._calls import LeaseRowsWritten
from cardamomquay.leases._calls import LeasesScanned
from cardamomquay.leases._calls import ReadLeaseRows
from cardamomquay.leases._calls import ReleaseLeaseRequested
from cardamomquay.leases._calls import ScanLeases
from cardamomquay.leases._calls import WriteLeaseRows
from cardamomquay.leases._rows import LeaseRow
from cardamomquay.leases._rows import acquire_transaction
from cardamomquay.leases._rows import delete_transaction
from cardamomquay.leases._rows import fence_row_key
from cardamomquay.leases._rows import is_own_lease
from cardamomquay.leases._rows import lease_row_key
from cardamomquay.leases._rows import next_fence
from cardamomquay.leases._rows import read_lease_row
from cardamomquay.leases._rows import renew_transaction
from cardamomquay.leases._state import LEASE_RENEWAL_S
from cardamomquay.leases._state import LEASE_SAFETY_S
from cardamomquay.leases._state import LEASE_TTL_S
from cardamomquay.leases._state import LeaseState
from cardamomquay.leases._state import LeaseWrite
from cardamomquay.leases._state import PendingCall
from cardamomquay.leases._state import PendingWrite
from cardamomquay.leases._state import is_lease_valid
from cardamomquay.leases._watch import LEASE_SCAN_S
from cardamomquay.leases._watch import LEASE_WATCH_S
from cardamomquay.leases._watch import add_watches
from cardamomquay.leases._watch import may_reclaim
from cardamomquay.leases._watch import reclaim_answered
from cardamomquay.leases._watch import restart_watches
from cardamomquay.leases._watch import watch_rows
from cardamomquay.platform import Committed
from cardamomquay.platform import Conflicted
from cardamomquay.platform import Unavailable
from cardamomquay.reducer import CoreState
from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event
from cardamomquay.reducer import Identity
from cardamomquay.reducer import Part
from cardamomquay.reducer import Tick

if TYPE_CHECKING:
    from cardamomquay.platform import Row
    from cardamomquay.platform import RowKey
    from cardamomquay.platform import Transaction

# A call without an answer for this long counts as failed.
LEASE_CALL_TIMEOUT_S = 1.5
LEASE_RETRY_S = 0.5

_Step = tuple[LeaseState, tuple[Effect, ...]]


class LeasePart(Part[LeaseState]):
    """Holds this host's lease and reclaims expired ones.

    It comes after `MembershipPart` and `ConfigPart`, whose reports tell a store
    outage.
    """

    state_type = LeaseState

    def initial(self, identity: Identity) -> LeaseState:
        return LeaseState()

    def reduce(self, own: LeaseState, event: Event, core: CoreState) -> _Step:
        match event:
            case Tick():
                return _tick(own, event.now_s, core)
            case LeaseRowsRead() if own.read and event.call == own.read.call:
                return _rows_read(own, own.read, event, core.identity)
            case LeaseRowsWritten() if own.write and event.call == own.write.call:
                return _write_answered(own, own.write, event, core.identity)
            case LeaseRowsWritten() if own.reclaim and event.call == own.reclaim.call:
                return reclaim_answered(own, own.reclaim, event)
            case LeasesScanned(result=Unavailable()) if not own.watched:
                # A host that starts during an outage watches nobody yet. With the
                # interval between scans, its wait would begin up to 10 s late.
                return replace(own, scan_due_s=event.now_s + LEASE_WATCH_S), ()
            case LeasesScanned(result=Unavailable()) | HeadReadFailed():
                # Holders elsewhere extend their leases on this host's report of a
                # failed head read, so that read restarts the wait as well.
                return restart_watches(own), ()
            case LeasesScanned(result=result) if not isinstance(result, Unavailable):
                return add_watches(own, result.rows, core.identity), ()
            case ReleaseLeaseRequested():
                return replace(own, stopping=True, valid_until_s=float("-inf")), ()
            case _:
                return own, ()


def _tick(own: LeaseState, now_s: float, core: CoreState) -> _Step:
    identity = core.identity
    own = _extend_in_outage(own, now_s, core)
    own = _drop_overdue_calls(own, now_s)
    own, written = _write_own_row(own, now_s, identity)
    own, read = _read_what_is_due(own, now_s, identity)
    if not may_reclaim(identity) or now_s < own.scan_due_s:
        return own, (*written, *read)
    own = replace(own, scan_due_s=now_s + LEASE_SCAN_S)
    return own, (*written, *read, ScanLeases())


def _extend_in_outage(own: LeaseState, now_s: float, core: CoreState) -> LeaseState:
    """Extend a valid lease while the store is down.

    Each reclaimer starts its wait again no earlier than the refusal it reports, so
    none can finish before the oldest report plus the time to live. A lease that
    has run out stays so: it may have been reclaimed before the outage.
    """
    renewal_is_late = (
        own.valid_until_s - now_s < LEASE_TTL_S - LEASE_SAFETY_S - LEASE_RENEWAL_S
    )
    if own.stopping or not renewal_is_late or not is_lease_valid(own, now_s):
        return own
    view = currency_view(core, now_s)
    if not is_outage_confirmed(view, now_s):
        return own
    oldest_s = min(r.at_s for r in view.reports if now_s - r.at_s <= CURRENCY_BOUND_S)
    return _dated(own, oldest_s)


def _dated(own: LeaseState, started_s: float) -> LeaseState:
    """Make a lease valid by evidence from `started_s`."""
    until_s = started_s + LEASE_TTL_S - LEASE_SAFETY_S
    if own.stopping or until_s <= own.valid_until_s:
        return own
    return replace(own, valid_until_s=until_s)


def _drop_overdue_calls(own: LeaseState, now_s: float) -> LeaseState:
    before_s = now_s - LEASE_CALL_TIMEOUT_S
    if own.write is not None and own.write.started_s < before_s:
        own = replace(own, write=None, check_row=True, own_due_s=now_s)
    if own.read is not None and own.read.started_s < before_s:
        own = restart_watches(replace(own, read=None))
    if own.reclaim is not None and own.reclaim.started_s < before_s:
        hosts = [host for host, _ in own.reclaim.versions]
        own = restart_watches(replace(own, reclaim=None), hosts)
    return own


def _write_own_row(own: LeaseState, now_s: float, identity: Identity) -> _Step:
    if own.row is None or own.write is not None or own.check_row:
        return own, ()
    if own.stopping:
        transaction = delete_transaction([(identity.host, own.row.version)])
        return _issue_write(own, now_s, LeaseWrite.RELEASE, own.fence, transaction)
    if now_s < own.own_due_s:
        return own, ()
    transaction = renew_transaction(own.row, own.attempts + 1)
    return _issue_write(own, now_s, LeaseWrite.RENEW, own.fence, transaction)


def _issue_write(
    own: LeaseState,
    now_s: float,
    kind: LeaseWrite,
    fence: int,
    transaction: Transaction,
) -> _Step:
    call = own.calls + 1
    renewals = own.attempts + 1
    own = replace(
        own,
        calls=call,
        attempts=renewals,
        attempt_started_s=now_s,
        check_row=False,
        write=PendingWrite(call, now_s, kind, renewals, fence),
    )
    return own, (WriteLeaseRows(call, transaction),)


def _read_what_is_due(own: LeaseState, now_s: float, identity: Identity) -> _Step:
    """Read the own row and the watched rows that are due, in one call."""
    if own.read is not None:
        return own, ()
    keys = []
    if own.check_row and not own.released and now_s >= own.own_due_s:
        keys += [lease_row_key(identity.host), fence_row_key(identity.host)]
    if may_reclaim(identity) and own.watched and now_s >= own.watch_due_s:
        keys += [lease_row_key(host) for host in sorted(own.watched)]
        own = replace(own, watch_due_s=now_s + LEASE_WATCH_S)
    if not keys:
        return own, ()
    call = own.calls + 1
    own = replace(own, calls=call, read=PendingCall(call, now_s))
    return own, (ReadLeaseRows(call, tuple(dict.fromkeys(keys))),)


def _rows_read(
    own: LeaseState, read: PendingCall, event: LeaseRowsRead, identity: Identity
) -> _Step:
    own = replace(own, read=None)
    if isinstance(event.result, Unavailable):
        due_s = max(own.own_due_s, event.now_s + LEASE_RETRY_S)
        own = replace(own, own_due_s=due_s) if own.check_row else own
        return restart_watches(own), ()
    rows = {row.key: row for row in event.result.rows}
    effects: tuple[Effect, ...] = ()
    if own.check_row and fence_row_key(identity.host) in rows:
        own, effects = _settle_own_row(own, rows, event.now_s, identity)
    own, reclaims = watch_rows(
        own, event.result.rows, read.started_s, event.now_s, identity
    )
    return own, (*effects, *reclaims)


def _settle_own_row(
    own: LeaseState, rows: dict[RowKey, Row], now_s: float, identity: Identity
) -> _Step:
    found = read_lease_row(rows[lease_row_key(identity.host)])
    if found is not None and is_own_lease(found, identity):
        acquired = () if own.row is not None else (LeaseAcquired(found.fence),)
        own = replace(
            own, row=found, fence=found.fence, check_row=False, own_due_s=now_s
        )
        # An older attempt that took effect late says nothing about the newest.
        if found.renewals == own.attempts:
            due_s = own.attempt_started_s + LEASE_RENEWAL_S
            own = _dated(replace(own, own_due_s=due_s), own.attempt_started_s)
        return own, acquired
    effects: tuple[Effect, ...] = ()
    if own.row is not None and not own.stopping:
        effects = (LeaseLost(own.fence),)
    own = replace(own, row=None, fence=0, valid_until_s=float("-inf"))
    if own.stopping:
        own = replace(own, released=True, check_row=False)
        return own, (LeaseReleased(),)
    if found is not None:
        # The predecessor of the same name keeps its lease until it is released or
        # reclaimed.
        return replace(own, own_due_s=now_s + LEASE_RETRY_S), effects
    fence_row = rows[fence_row_key(identity.host)]
    transaction = acquire_transaction(
        identity.host, identity.incarnation, own.attempts + 1, fence_row
    )
    fence = next_fence(fence_row)
    own, wanted = _issue_write(own, now_s, LeaseWrite.ACQUIRE, fence, transaction)
    return own, (*effects, *wanted)


def _write_answered(
    own: LeaseState, write: PendingWrite, event: LeaseRowsWritten, identity: Identity
) -> _Step:
    own = replace(own, write=None)
    result = event.result
    if not isinstance(result, Committed):
        row_may_differ = isinstance(result, Conflicted) or result.may_have_committed
        delay_s = 0.0 if row_may_differ else LEASE_RETRY_S
        return replace(own, check_row=True, own_due_s=event.now_s + delay_s), ()
    if write.kind is LeaseWrite.RELEASE:
        own = replace(own, row=None, fence=0, released=True)
        return own, (LeaseReleased(),)
    row = LeaseRow(
        identity.host,
        identity.incarnation,
        write.renewals,
        write.fence,
        result.revision,
    )
    due_s = write.started_s + LEASE_RENEWAL_S
    own = replace(own, row=row, fence=write.fence, own_due_s=due_s)
    own = _dated(own, write.started_s)
    if write.kind is LeaseWrite.ACQUIRE:
        return own, (LeaseAcquired(write.fence),)
    return own, ()
