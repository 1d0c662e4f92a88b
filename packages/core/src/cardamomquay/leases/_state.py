"""State of this host's lease, and of the other hosts' leases that it watches."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

import immutables

if TYPE_CHECKING:
    from cardamomquay.leases._rows import LeaseRow

# A lease may be reclaimed once its row has stayed unchanged for this time.
LEASE_TTL_S = 6.0
LEASE_RENEWAL_INTERVAL_S = 2.0
# A holder stops using its lease this long before it may be reclaimed.
LEASE_SAFETY_MARGIN_S = 0.5


class LeaseWriteKind(StrEnum):
    """What a write of this host's lease row does."""

    ACQUIRE = "acquire"
    RENEW = "renew"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A call to the table service that has not been answered yet.

    Parameters
    ----------
    call_number : int
        Number of the call; an answer to another call is ignored.
    started_s : float
        When the effect was issued. The call itself begins later.
    """

    call_number: int
    started_s: float


@dataclass(frozen=True, slots=True)
class PendingWrite(PendingCall):
    """A write of this host's lease row.

    Parameters
    ----------
    kind : LeaseWriteKind
    write_number, fence : int
        Values that the row has once the write has been committed.
    """

    kind: LeaseWriteKind
    write_number: int
    fence: int


@dataclass(frozen=True, slots=True)
class PendingReclaim(PendingCall):
    """A deletion of expired leases; `versions` has the host and row version of each."""

    versions: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class LeaseWatch:
    """How long another host's lease row has stayed the same in consecutive reads.

    Parameters
    ----------
    version : int
        Row version that all these reads returned; 0 before the first of them.
    unchanged_since_s : float
        When the first of them was answered.
    last_read_started_s : float
        When the last of them began.
    """

    version: int = 0
    unchanged_since_s: float = float("inf")
    last_read_started_s: float = float("-inf")


@dataclass(frozen=True, slots=True)
class LeaseState:
    """State of the lease reducer.

    Parameters
    ----------
    fence : int
        Fencing token of the lease; 0 without a lease.
    valid_until_s : float
        When this host has to stop using the lease, on its own clock:
        `LEASE_SAFETY_MARGIN_S` before another host can reclaim it.
    row : LeaseRow or None
        Lease row of this incarnation as last read or written; None if it has none.
    last_write_number : int
        Number of writes of the row attempted during this incarnation.
    last_write_started_s : float
        Start of the last of them.
    must_read_row : bool
        Whether the row has to be read before it is written again.
    row_due_s : float
        When the next read or write of the row is due.
    pending_write : PendingWrite or None
    pending_read : PendingCall or None
    pending_reclaim : PendingReclaim or None
    watches : immutables.Map
        `LeaseWatch` of each other host that holds a lease, by host.
    watch_due_s, scan_due_s : float
        When the next read of the watched rows and the next scan are due.
    last_call_number : int
        Number of the last call issued; calls are numbered from 1.
    release_requested : bool
        Whether the release of the lease has been requested, near the end of a planned
        stop.
    released : bool
        Whether this incarnation has no lease row any more after a requested release.
    """

    fence: int = 0
    valid_until_s: float = float("-inf")
    row: LeaseRow | None = None
    last_write_number: int = 0
    last_write_started_s: float = float("-inf")
    must_read_row: bool = True
    row_due_s: float = float("-inf")
    pending_write: PendingWrite | None = None
    pending_read: PendingCall | None = None
    pending_reclaim: PendingReclaim | None = None
    watches: immutables.Map[str, LeaseWatch] = immutables.Map()
    watch_due_s: float = float("-inf")
    scan_due_s: float = float("-inf")
    last_call_number: int = 0
    release_requested: bool = False
    released: bool = False


def is_lease_valid(state: LeaseState, now_s: float) -> bool:
    """Whether this host holds a lease that it may still rely on.

    Parameters
    ----------
    state : LeaseState
    now_s : float

    Returns
    -------
    bool
    """
    return state.fence > 0 and now_s < state.valid_until_s
