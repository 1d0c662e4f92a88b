"""State of this host's lease, and of the leases it may reclaim."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

import immutables

if TYPE_CHECKING:
    from cardamomquay.leases._rows import LeaseRow

LEASE_TTL_S = 6.0
LEASE_RENEWAL_S = 2.0
LEASE_SAFETY_S = 0.5


class LeaseWrite(StrEnum):
    """What a write of the own lease row does."""

    ACQUIRE = "acquire"
    RENEW = "renew"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A call to the table service without an answer so far.

    Parameters
    ----------
    call : int
        Number of the call; an answer to another call is ignored.
    started_s : float
        When the effect was issued, which is before the call began.
    """

    call: int
    started_s: float


@dataclass(frozen=True, slots=True)
class PendingWrite(PendingCall):
    """A write of the own row.

    Parameters
    ----------
    kind : LeaseWrite
    renewals, fence : int
        What the row holds once the write has taken effect.
    """

    kind: LeaseWrite
    renewals: int
    fence: int


@dataclass(frozen=True, slots=True)
class PendingReclaim(PendingCall):
    """A deletion of expired leases, by host and version."""

    versions: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class LeaseWatch:
    """What uninterrupted reads have shown of another holder's lease row.

    Parameters
    ----------
    version : int
        Version that all these reads showed; 0 before the first of them.
    since_s : float
        When the first of them was answered.
    read_s : float
        When the last of them began.
    """

    version: int = 0
    since_s: float = float("inf")
    read_s: float = float("-inf")


@dataclass(frozen=True, slots=True)
class LeaseState:
    """What this host holds.

    Parameters
    ----------
    fence : int
        Fencing token of the lease; 0 without a lease.
    valid_until_s : float
        On the host's clock, `LEASE_SAFETY_S` before the lease can be reclaimed.
    row : LeaseRow or None
        The own row as last seen.
    attempts : int
        Writes of the own row so far in this incarnation.
    attempt_started_s : float
        Start of the newest of them.
    check_row : bool
        Whether the own row has to be read before it is written again.
    own_due_s : float
        When the next call about the own row is due.
    write : PendingWrite or None
    read : PendingCall or None
    reclaim : PendingReclaim or None
    watched : immutables.Map
        `LeaseWatch` of each other holder, by host.
    watch_due_s, scan_due_s : float
    calls : int
        Calls numbered so far.
    stopping : bool
        Whether the lease is being released.
    released : bool
    """

    fence: int = 0
    valid_until_s: float = float("-inf")
    row: LeaseRow | None = None
    attempts: int = 0
    attempt_started_s: float = float("-inf")
    check_row: bool = True
    own_due_s: float = float("-inf")
    write: PendingWrite | None = None
    read: PendingCall | None = None
    reclaim: PendingReclaim | None = None
    watched: immutables.Map[str, LeaseWatch] = immutables.Map()
    watch_due_s: float = float("-inf")
    scan_due_s: float = float("-inf")
    calls: int = 0
    stopping: bool = False
    released: bool = False


def is_lease_valid(state: LeaseState, now_s: float) -> bool:
    """Whether this host may act on what it holds.

    Parameters
    ----------
    state : LeaseState
    now_s : float

    Returns
    -------
    bool
    """
    return state.fence > 0 and now_s < state.valid_until_s
