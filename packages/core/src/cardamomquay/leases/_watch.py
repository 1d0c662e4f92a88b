"""Detects and reclaims leases that their hosts no longer renew."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from cardamomquay.leases._effects import LeasesReclaimed
from cardamomquay.leases._effects import WriteLeaseRows
from cardamomquay.leases._rows import LEASES_TABLE
from cardamomquay.leases._rows import delete_transaction
from cardamomquay.leases._rows import is_own_lease
from cardamomquay.leases._rows import parse_lease_row
from cardamomquay.leases._state import LEASE_TTL_S
from cardamomquay.leases._state import LeaseState
from cardamomquay.leases._state import LeaseWatch
from cardamomquay.leases._state import PendingReclaim
from cardamomquay.platform import Committed
from cardamomquay.platform import Conflicted

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from cardamomquay.leases._effects import LeaseRowsWritten
    from cardamomquay.platform import Row
    from cardamomquay.reducer import Effect
    from cardamomquay.reducer import Identity

LEASE_WATCH_INTERVAL_S = 1.0
# The expiry wait starts again if two reads are further apart than this: a short
# outage of the store, during which holders extend their leases, could go unnoticed
# between them.
LEASE_WATCH_MAX_GAP_S = 2.0
# Scans only find leases to watch. Expiry is established by the reads between them.
LEASE_SCAN_INTERVAL_S = 10.0

UNREAD_WATCH = LeaseWatch()


def may_reclaim(identity: Identity) -> bool:
    """Whether a host may reclaim leases: only in the store's region.

    Hosts in other regions cannot tell an outage of the store from a network partition.
    """
    return identity.region == identity.store_region


def restart_watches(
    state: LeaseState, hosts: Iterable[str] | None = None
) -> LeaseState:
    """Restart the expiry wait for the given hosts, or for all watched hosts.

    Holders extend their leases while the store is down, so the time before a failed
    read must not count towards expiry.
    """
    watches = state.watches
    for host in state.watches if hosts is None else hosts:
        if host in watches and watches[host] is not UNREAD_WATCH:
            watches = watches.set(host, UNREAD_WATCH)
    return state if watches is state.watches else replace(state, watches=watches)


def add_watches(
    state: LeaseState, rows: Sequence[Row], identity: Identity
) -> LeaseState:
    """Start watching each lease found by a scan, except that of this incarnation."""
    watches = state.watches
    for row in rows:
        lease = parse_lease_row(row)
        if lease is None or is_own_lease(lease, identity):
            continue
        if lease.host not in watches:
            watches = watches.set(lease.host, UNREAD_WATCH)
    return state if watches is state.watches else replace(state, watches=watches)


def apply_watched_rows(
    state: LeaseState,
    rows: Sequence[Row],
    started_s: float,
    now_s: float,
    identity: Identity,
) -> tuple[LeaseState, tuple[Effect, ...]]:
    """Apply a successful read, and reclaim all expired leases in one transaction.

    Parameters
    ----------
    state : LeaseState
    rows : sequence of Row
    started_s, now_s : float
        Start of the read, and arrival of its answer.
    identity : Identity

    Returns
    -------
    state : LeaseState
    effects : tuple of Effect
    """
    watches = state.watches
    expired: list[tuple[str, int]] = []
    for row in rows:
        if row.key.table != LEASES_TABLE or row.key.key not in watches:
            continue
        lease = parse_lease_row(row)
        if lease is None or is_own_lease(lease, identity):
            watches = watches.delete(row.key.key)
            continue
        watch = _next_watch(watches[lease.host], lease.version, started_s, now_s)
        watches = watches.set(lease.host, watch)
        if started_s - watch.unchanged_since_s >= LEASE_TTL_S:
            expired.append((lease.host, lease.version))
    state = replace(state, watches=watches)
    if not expired or state.pending_reclaim is not None:
        return state, ()
    call_number = state.last_call_number + 1
    state = replace(
        state,
        last_call_number=call_number,
        pending_reclaim=PendingReclaim(call_number, now_s, tuple(expired)),
    )
    return state, (WriteLeaseRows(call_number, delete_transaction(expired)),)


def _next_watch(
    watch: LeaseWatch, version: int, started_s: float, now_s: float
) -> LeaseWatch:
    if (
        version == watch.version
        and started_s - watch.last_read_started_s <= LEASE_WATCH_MAX_GAP_S
    ):
        return replace(watch, last_read_started_s=started_s)
    # The row may have been written until the answer arrived, so the expiry wait starts
    # at the answer and not at the start of the read.
    return LeaseWatch(version, now_s, started_s)


def apply_reclaim_outcome(
    state: LeaseState, reclaim: PendingReclaim, event: LeaseRowsWritten
) -> tuple[LeaseState, tuple[Effect, ...]]:
    """Apply the outcome of a reclaim."""
    state = replace(state, pending_reclaim=None)
    hosts = tuple(host for host, _ in reclaim.versions)
    match event.result:
        case Committed():
            watches = state.watches
            for host in hosts:
                watches = watches.delete(host) if host in watches else watches
            return replace(state, watches=watches), (LeasesReclaimed(hosts),)
        case Conflicted(rows=rows):
            # The transaction failed as a whole. The rows that did not conflict are
            # reclaimed after the next read, which is due at once.
            restarted = restart_watches(state, [row.key.key for row in rows])
            return replace(restarted, watch_due_s=event.now_s), ()
        case _:
            return restart_watches(state, hosts), ()
