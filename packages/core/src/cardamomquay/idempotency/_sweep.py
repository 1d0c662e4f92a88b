"""Expiry of claim rows."""

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

RECORD_LIFE_S = 72 * 3600.0
SWEEP_BATCH = 100


@dataclass(frozen=True, slots=True)
class SweepDone:
    """The sweep has gone through all rows.

    Parameters
    ----------
    expired : int
        Records deleted.
    undated : int
        Records without a wall time, which never expire.
    """

    expired: int
    undated: int


@dataclass(frozen=True, slots=True)
class SweepFenced:
    """The sweep stopped: the caller is no longer the controller."""

    expired: int


@dataclass(frozen=True, slots=True)
class SweepInterrupted:
    """The sweep stopped: the store gave no usable answer. It may be run again."""

    expired: int


def sweep_claims(
    tables: TableService,
    wall_now_s: float,
    fence: Condition,
    batch: int = SWEEP_BATCH,
) -> SweepDone | SweepFenced | SweepInterrupted:
    """Delete the records of claims older than 72 hours.

    Parameters
    ----------
    tables : TableService
    wall_now_s : float
        Wall time in seconds since the epoch.
    fence : Condition
        The controller's own row, with the version at which it took it. Each
        deletion depends on it, so a former controller deletes nothing.
    batch : int
        Rows deleted in one transaction at most.

    Returns
    -------
    SweepDone, SweepFenced or SweepInterrupted
    """
    found = tables.scan(CLAIMS_TABLE)
    if isinstance(found, Unavailable):
        return SweepInterrupted(0)
    undated = 0
    old: list[Row] = []
    for row in found.rows:
        claimed_at_s = row.value.get("claimed_at_s") if row.value else None
        if not isinstance(claimed_at_s, int | float):
            undated += 1
        elif wall_now_s - claimed_at_s >= RECORD_LIFE_S:
            old.append(row)
    expired = 0
    while old:
        rows, old = old[:batch], old[batch:]
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
                # A row that changed since the scan is left to the next sweep.
                old = [row for row in rows if row.key not in keys] + old
            case _:
                return SweepInterrupted(expired)
    return SweepDone(expired, undated)
