"""Reducer for host leases: acquires, renews, releases and reclaims them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from cardamomquay.config_sync import CONFIG_EVIDENCE_MAX_AGE_S
from cardamomquay.config_sync import HeadReadFailed
from cardamomquay.config_sync import config_evidence
from cardamomquay.config_sync import is_outage_confirmed
from cardamomquay.leases._effects import LeaseAcquired
from cardamomquay.leases._effects import LeaseLost
from cardamomquay.leases._effects import LeaseReleased
from cardamomquay.leases._effects import LeaseReleaseRequested
from cardamomquay.leases._effects import LeaseRowsRead
from cardamomquay.leases._effects import LeaseRowsWritten
from cardamomquay.leases._effects import LeasesScanned
from cardamomquay.leases._effects import ReadLeaseRows
from cardamomquay.leases._effects import ScanLeases
from cardamomquay.leases._effects import WriteLeaseRows
from cardamomquay.leases._rows import LeaseRow
from cardamomquay.leases._rows import acquire_transaction
from cardamomquay.leases._rows import delete_transaction
from cardamomquay.leases._rows import fence_row_key
from cardamomquay.leases._rows import is_own_lease
from cardamomquay.leases._rows import lease_row_key
from cardamomquay.leases._rows import next_fence
from cardamomquay.leases._rows import parse_lease_row
from cardamomquay.leases._rows import renew_transaction
from cardamomquay.leases._state import LEASE_RENEWAL_INTERVAL_S
from cardamomquay.leases._state import LEASE_SAFETY_MARGIN_S
from cardamomquay.leases._state import LEASE_TTL_S
from cardamomquay.leases._state import LeaseState
from cardamomquay.leases._state import LeaseWriteKind
from cardamomquay.leases._state import PendingCall
from cardamomquay.leases._state import PendingWrite
from cardamomquay.leases._state import is_lease_valid
from cardamomquay.leases._watch import LEASE_SCAN_INTERVAL_S
from cardamomquay.leases._watch import LEASE_WATCH_INTERVAL_S
from cardamomquay.leases._watch import add_watches
from cardamomquay.leases._watch import apply_reclaim_outcome
from cardamomquay.leases._watch import apply_watched_rows
from cardamomquay.leases._watch import may_reclaim
from cardamomquay.leases._watch import restart_watches
from cardamomquay.platform import Committed
from cardamomquay.platform import Conflicted
from cardamomquay.platform import Unavailable
from cardamomquay.reducer import CoreState
from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event
from cardamomquay.reducer import Identity
from cardamomquay.reducer import SliceReducer
from cardamomquay.reducer import Tick

if TYPE_CHECKING:
    from cardamomquay.platform import Row
    from cardamomquay.platform import RowKey
    from cardamomquay.platform import Transaction

# A call that is not answered within this time counts as failed.
LEASE_CALL_TIMEOUT_S = 1.5
LEASE_RETRY_DELAY_S = 0.5

_StateAndEffects = tuple[LeaseState, tuple[Effect, ...]]


class LeaseReducer(SliceReducer[LeaseState]):
    """Keeps this host's lease and reclaims expired leases of other hosts.

    It has to come after `MembershipReducer` and `ConfigReducer` in the root reducer:
    their states show whether the store is down.
    """

    state_type = LeaseState

    def initial(self, identity: Identity) -> LeaseState:
        return LeaseState()

    def reduce(
        self, state: LeaseState, event: Event, core: CoreState
    ) -> _StateAndEffects:
        match event:
            case Tick():
                return _tick(state, event.now_s, core)
            case LeaseRowsRead() if (
                state.pending_read
                and event.call_number == state.pending_read.call_number
            ):
                return _apply_read_outcome(
                    state, state.pending_read, event, core.identity
                )
            case LeaseRowsWritten() if (
                state.pending_write
                and event.call_number == state.pending_write.call_number
            ):
                return _apply_write_outcome(
                    state, state.pending_write, event, core.identity
                )
            case LeaseRowsWritten() if (
                state.pending_reclaim
                and event.call_number == state.pending_reclaim.call_number
            ):
                return apply_reclaim_outcome(state, state.pending_reclaim, event)
            case LeasesScanned(result=Unavailable()) if not state.watches:
                # A host that starts during an outage watches no lease yet. Waiting for
                # the next regular scan would delay its reclaims by up to 10 s.
                return replace(
                    state, scan_due_s=event.now_s + LEASE_WATCH_INTERVAL_S
                ), ()
            case LeasesScanned(result=Unavailable()) | HeadReadFailed():
                # Other hosts extend their leases when this host reports a refused read
                # of the head row. Such a read therefore restarts the expiry waits, as a
                # failed scan does; so does a read without an answer.
                return restart_watches(state), ()
            case LeasesScanned(result=result) if not isinstance(result, Unavailable):
                return add_watches(state, result.rows, core.identity), ()
            case LeaseReleaseRequested():
                return replace(
                    state, release_requested=True, valid_until_s=float("-inf")
                ), ()
            case _:
                return state, ()


def _tick(state: LeaseState, now_s: float, core: CoreState) -> _StateAndEffects:
    identity = core.identity
    state = _extend_in_outage(state, now_s, core)
    state = _drop_timed_out_calls(state, now_s)
    state, write_effects = _write_own_row(state, now_s, identity)
    state, read_effects = _read_due_rows(state, now_s, identity)
    if not may_reclaim(identity) or now_s < state.scan_due_s:
        return state, (*write_effects, *read_effects)
    state = replace(state, scan_due_s=now_s + LEASE_SCAN_INTERVAL_S)
    return state, (*write_effects, *read_effects, ScanLeases())


def _extend_in_outage(state: LeaseState, now_s: float, core: CoreState) -> LeaseState:
    """Extend a valid lease while the store is confirmed to be down.

    A host that may reclaim restarts its expiry waits when its read of the head row is
    refused. Its report has the start of that read as its time, so the waits restart at
    or after that time, and none can end sooner than `LEASE_TTL_S` after the oldest
    report. A lease that has expired is not extended: it may have been reclaimed before
    the outage.
    """
    renewal_is_late = (
        state.valid_until_s - now_s
        < LEASE_TTL_S - LEASE_SAFETY_MARGIN_S - LEASE_RENEWAL_INTERVAL_S
    )
    if (
        state.release_requested
        or not renewal_is_late
        or not is_lease_valid(state, now_s)
    ):
        return state
    evidence = config_evidence(core, now_s)
    if not is_outage_confirmed(evidence, now_s):
        return state
    oldest_report_s = min(
        r.at_s for r in evidence.reports if now_s - r.at_s <= CONFIG_EVIDENCE_MAX_AGE_S
    )
    return _extend_validity(state, oldest_report_s)


def _extend_validity(state: LeaseState, started_s: float) -> LeaseState:
    """Extend the validity to `LEASE_TTL_S`, less the margin, after `started_s`."""
    until_s = started_s + LEASE_TTL_S - LEASE_SAFETY_MARGIN_S
    if state.release_requested or until_s <= state.valid_until_s:
        return state
    return replace(state, valid_until_s=until_s)


def _drop_timed_out_calls(state: LeaseState, now_s: float) -> LeaseState:
    earliest_start_s = now_s - LEASE_CALL_TIMEOUT_S
    if (
        state.pending_write is not None
        and state.pending_write.started_s < earliest_start_s
    ):
        state = replace(state, pending_write=None, must_read_row=True, row_due_s=now_s)
    if (
        state.pending_read is not None
        and state.pending_read.started_s < earliest_start_s
    ):
        state = restart_watches(replace(state, pending_read=None))
    if (
        state.pending_reclaim is not None
        and state.pending_reclaim.started_s < earliest_start_s
    ):
        hosts = [host for host, _ in state.pending_reclaim.versions]
        state = restart_watches(replace(state, pending_reclaim=None), hosts)
    return state


def _write_own_row(
    state: LeaseState, now_s: float, identity: Identity
) -> _StateAndEffects:
    if state.row is None or state.pending_write is not None or state.must_read_row:
        return state, ()
    if state.release_requested:
        transaction = delete_transaction([(identity.host, state.row.version)])
        return _issue_write(
            state, now_s, LeaseWriteKind.RELEASE, state.fence, transaction
        )
    if now_s < state.row_due_s:
        return state, ()
    transaction = renew_transaction(state.row, state.last_write_number + 1)
    return _issue_write(state, now_s, LeaseWriteKind.RENEW, state.fence, transaction)


def _issue_write(
    state: LeaseState,
    now_s: float,
    kind: LeaseWriteKind,
    fence: int,
    transaction: Transaction,
) -> _StateAndEffects:
    call_number = state.last_call_number + 1
    write_number = state.last_write_number + 1
    state = replace(
        state,
        last_call_number=call_number,
        last_write_number=write_number,
        last_write_started_s=now_s,
        must_read_row=False,
        pending_write=PendingWrite(call_number, now_s, kind, write_number, fence),
    )
    return state, (WriteLeaseRows(call_number, transaction),)


def _read_due_rows(
    state: LeaseState, now_s: float, identity: Identity
) -> _StateAndEffects:
    """Read this host's row and the watched rows in one call, as far as they are due."""
    if state.pending_read is not None:
        return state, ()
    keys = []
    if state.must_read_row and not state.released and now_s >= state.row_due_s:
        keys += [lease_row_key(identity.host), fence_row_key(identity.host)]
    if may_reclaim(identity) and state.watches and now_s >= state.watch_due_s:
        keys += [lease_row_key(host) for host in sorted(state.watches)]
        state = replace(state, watch_due_s=now_s + LEASE_WATCH_INTERVAL_S)
    if not keys:
        return state, ()
    call_number = state.last_call_number + 1
    state = replace(
        state,
        last_call_number=call_number,
        pending_read=PendingCall(call_number, now_s),
    )
    return state, (ReadLeaseRows(call_number, tuple(dict.fromkeys(keys))),)


def _apply_read_outcome(
    state: LeaseState, read: PendingCall, event: LeaseRowsRead, identity: Identity
) -> _StateAndEffects:
    state = replace(state, pending_read=None)
    if isinstance(event.result, Unavailable):
        due_s = max(state.row_due_s, event.now_s + LEASE_RETRY_DELAY_S)
        state = replace(state, row_due_s=due_s) if state.must_read_row else state
        return restart_watches(state), ()
    rows = {row.key: row for row in event.result.rows}
    effects: tuple[Effect, ...] = ()
    if state.must_read_row and fence_row_key(identity.host) in rows:
        state, effects = _apply_own_row(state, rows, event.now_s, identity)
    state, reclaims = apply_watched_rows(
        state, event.result.rows, read.started_s, event.now_s, identity
    )
    return state, (*effects, *reclaims)


def _apply_own_row(
    state: LeaseState, rows: dict[RowKey, Row], now_s: float, identity: Identity
) -> _StateAndEffects:
    found = parse_lease_row(rows[lease_row_key(identity.host)])
    if found is not None and is_own_lease(found, identity):
        acquired = () if state.row is not None else (LeaseAcquired(found.fence),)
        state = replace(
            state, row=found, fence=found.fence, must_read_row=False, row_due_s=now_s
        )
        # Validity counts from the start of the write that the row shows. Only the start
        # of the last write is kept, so an earlier one that was committed late does not
        # extend the validity.
        if found.write_number == state.last_write_number:
            due_s = state.last_write_started_s + LEASE_RENEWAL_INTERVAL_S
            state = _extend_validity(
                replace(state, row_due_s=due_s), state.last_write_started_s
            )
        return state, acquired
    effects: tuple[Effect, ...] = ()
    if state.row is not None and not state.release_requested:
        effects = (LeaseLost(state.fence),)
    state = replace(state, row=None, fence=0, valid_until_s=float("-inf"))
    if state.release_requested:
        state = replace(state, released=True, must_read_row=False)
        return state, (LeaseReleased(),)
    if found is not None:
        # An earlier incarnation of this host keeps the lease until it is released or
        # reclaimed.
        return replace(state, row_due_s=now_s + LEASE_RETRY_DELAY_S), effects
    fence_row = rows[fence_row_key(identity.host)]
    transaction = acquire_transaction(
        identity.host, identity.incarnation, state.last_write_number + 1, fence_row
    )
    fence = next_fence(fence_row)
    state, write_effects = _issue_write(
        state, now_s, LeaseWriteKind.ACQUIRE, fence, transaction
    )
    return state, (*effects, *write_effects)


def _apply_write_outcome(
    state: LeaseState, write: PendingWrite, event: LeaseRowsWritten, identity: Identity
) -> _StateAndEffects:
    state = replace(state, pending_write=None)
    result = event.result
    if not isinstance(result, Committed):
        row_may_have_changed = (
            isinstance(result, Conflicted) or result.may_have_committed
        )
        delay_s = 0.0 if row_may_have_changed else LEASE_RETRY_DELAY_S
        return replace(state, must_read_row=True, row_due_s=event.now_s + delay_s), ()
    if write.kind is LeaseWriteKind.RELEASE:
        state = replace(state, row=None, fence=0, released=True)
        return state, (LeaseReleased(),)
    row = LeaseRow(
        identity.host,
        identity.incarnation,
        write.write_number,
        write.fence,
        result.revision,
    )
    due_s = write.started_s + LEASE_RENEWAL_INTERVAL_S
    state = replace(state, row=row, fence=write.fence, row_due_s=due_s)
    state = _extend_validity(state, write.started_s)
    if write.kind is LeaseWriteKind.ACQUIRE:
        return state, (LeaseAcquired(write.fence),)
    return state, ()
