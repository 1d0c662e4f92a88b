"""Watching and reclaiming the leases of hosts that no longer renew them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from cardamomquay.leases._calls import LeasesReclaimed
from cardamomquay.leases._calls import WriteLeaseRows
from cardamomquay.leases._rows import LEASES_TABLE
from cardamomquay.leases._rows import delete_transaction
from cardamomquay.leases._rows import is_own_lease
from cardamomquay.leases._rows import read_lease_row
from cardamomquay.leases._state import LEASE_TTL_S
from cardamomquay.leases._state import LeaseState
from cardamomquay.leases._state import LeaseWatch
from cardamomquay.leases._state import PendingReclaim
from cardamomquay.platform import Committed
from cardamomquay.platform import Conflicted

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from cardamomquay.leases._calls import LeaseRowsWritten
    from cardamomquay.platform import Row
    from cardamomquay.reducer import Effect
    from cardamomquay.reducer import Identity

LEASE_WATCH_S = 1.0
# Reads further apart than this may hide a short outage, which extends leases.
LEASE_WATCH_GAP_S = 2.0
# Only finds hosts that are not watched yet; reads carry the proof.
LEASE_SCAN_S = 10.0

UNSEEN = LeaseWatch()


def may_reclaim(identity: Identity) -> bool:
    """Whether a host may reclaim leases: only in the store's region.

    Hosts elsewhere cannot tell an outage of the store from a lost link to it.
    """
    return identity.region == identity.store_region


def restart_watches(own: LeaseState, hosts: Iterable[str] | None = None) -> LeaseState:
    """Start the wait of some hosts' leases again, or of all.

    A holder that sees the store down extends its lease, so reads before and after
    a failed one do not add up.
    """
    watched = own.watched
    for host in own.watched if hosts is None else hosts:
        if host in watched and watched[host] is not UNSEEN:
            watched = watched.set(host, UNSEEN)
    return own if watched is own.watched else replace(own, watched=watched)


def add_watches(own: LeaseState, rows: Sequence[Row], identity: Identity) -> LeaseState:
    """Watch every holder that a scan shows, except this incarnation."""
    watched = own.watched
    for row in rows:
        lease = read_lease_row(row)
        if lease is None or is_own_lease(lease, identity):
            continue
        if lease.host not in watched:
            watched = watched.set(lease.host, UNSEEN)
    return own if watched is own.watched else replace(own, watched=watched)


def watch_rows(
    own: LeaseState,
    rows: Sequence[Row],
    started_s: float,
    now_s: float,
    identity: Identity,
) -> tuple[LeaseState, tuple[Effect, ...]]:
    """Apply a successful read and reclaim, in one transaction, what has expired.

    Parameters
    ----------
    own : LeaseState
    rows : sequence of Row
    started_s, now_s : float
        Start of the read, and arrival of its answer.
    identity : Identity

    Returns
    -------
    state : LeaseState
    effects : tuple of Effect
    """
    watched = own.watched
    expired: list[tuple[str, int]] = []
    for row in rows:
        if row.key.table != LEASES_TABLE or row.key.key not in watched:
            continue
        lease = read_lease_row(row)
        if lease is None or is_own_lease(lease, identity):
            watched = watched.delete(row.key.key)
            continue
        watch = _next_watch(watched[lease.host], lease.version, started_s, now_s)
        watched = watched.set(lease.host, watch)
        if started_s - watch.since_s >= LEASE_TTL_S:
            expired.append((lease.host, lease.version))
    own = replace(own, watched=watched)
    if not expired or own.reclaim is not None:
        return own, ()
    call = own.calls + 1
    own = replace(own, calls=call, reclaim=PendingReclaim(call, now_s, tuple(expired)))
    return own, (WriteLeaseRows(call, delete_transaction(expired)),)


def _next_watch(
    watch: LeaseWatch, version: int, started_s: float, now_s: float
) -> LeaseWatch:
    if version == watch.version and started_s - watch.read_s <= LEASE_WATCH_GAP_S:
        return replace(watch, read_s=started_s)
    # The row may have been written until the answer arrived, so the wait counts
    # from there and not from the start of the read.
    return LeaseWatch(version, now_s, started_s)


def reclaim_answered(
    own: LeaseState, reclaim: PendingReclaim, event: LeaseRowsWritten
) -> tuple[LeaseState, tuple[Effect, ...]]:
    """Apply the outcome of a reclaim."""
    own = replace(own, reclaim=None)
    hosts = tuple(host for host, _ in reclaim.versions)
    match event.result:
        case Committed():
            watched = own.watched
            for host in hosts:
                watched = watched.delete(host) if host in watched else watched
            return replace(own, watched=watched), (LeasesReclaimed(hosts),)
        case Conflicted(rows=rows):
            # The others of the group are still unchanged; the next read sends them.
            renewed = restart_watches(own, [row.key.key for row in rows])
            return replace(renewed, watch_due_s=event.now_s), ()
        case _:
            return restart_watches(own, hosts), ()
