"""Deletion of expired claim rows by the controller.

The controller is the one host that runs the moves and deletes expired claims.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.idempotency._claims import CLAIMS_TABLE
from cardamomquay.platform import Committed
from cardamomquay.platform import Condition
from cardamomquay.platform import Conflicted
from cardamomquay.platform import Transaction
from cardamomquay.platform import Unavailable
from cardamomquay.platform import Write

if TYPE_CHECKING:
    from cardamomquay.platform import Row
    from cardamomquay.platform import TableService

CLAIM_TTL_S = 72 * 3600.0
SWEEP_BATCH_ROWS = 100


@dataclass(frozen=True, slots=True)
class SweepDone:
    """The sweep covered all rows.

    Parameters
    ----------
    expired : int
        Number of expired claim rows that were deleted.
    undated : int
        Number of claim rows without a wall-clock time, which never expire.
    """

    expired: int
    undated: int


@dataclass(frozen=True, slots=True)
class SweepFenced:
    """The sweep stopped because the caller is no longer the controller."""

    expired: int


@dataclass(frozen=True, slots=True)
class SweepInterrupted:
    """The sweep stopped because the store returned no usable answer.

    It may be run again.
    """

    expired: int


def sweep_claims(
    tables: TableService,
    wall_now_s: float,
    fence: Condition,
    batch_rows: int = SWEEP_BATCH_ROWS,
) -> SweepDone | SweepFenced | SweepInterrupted:
    """Delete the rows of claims that are at least 72 hours old.

    Parameters
    ----------
    tables : TableService
    wall_now_s : float
        Wall-clock time in seconds since the epoch.
    fence : Condition
        The controller's row at the version with which the caller became the
        controller. Each deletion requires it, so a former controller deletes nothing.
    batch_rows : int
        Maximum number of rows deleted in one transaction.

    Returns
    -------
    SweepDone, SweepFenced or SweepInterrupted
    """
    scanned = tables.scan(CLAIMS_TABLE)
    if isinstance(scanned, Unavailable):
        return SweepInterrupted(0)
    undated = 0
    expired_rows: list[Row] = []
    for row in scanned.rows:
        claimed_at_s = row.value.get("claimed_at_s") if row.value else None
        if not isinstance(claimed_at_s, int | float):
            undated += 1
        elif wall_now_s - claimed_at_s >= CLAIM_TTL_S:
            expired_rows.append(row)
    expired = 0
    while expired_rows:
        rows, expired_rows = expired_rows[:batch_rows], expired_rows[batch_rows:]
        result = tables.transact(
            Transaction(
                (fence, *(Condition(row.key, row.version) for row in rows)),
                tuple(Write(row.key, None) for row in rows),
            )
        )
        match result:
            case Committed():
                expired += len(rows)
            case Conflicted(rows=changed):
                keys = {row.key for row in changed}
                if fence.key in keys:
                    return SweepFenced(expired)
                # A row that changed since the scan is left for the next sweep.
                expired_rows = [
                    row for row in rows if row.key not in keys
                ] + expired_rows
            case _:
                return SweepInterrupted(expired)
    return SweepDone(expired, undated)
