"""Events and effects of version moves."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event

if TYPE_CHECKING:
    from cardamomquay.moves._counters import HostReport
    from cardamomquay.moves._rows import Move
    from cardamomquay.platform import Committed
    from cardamomquay.platform import Conflicted
    from cardamomquay.platform import Row
    from cardamomquay.platform import RowKey
    from cardamomquay.platform import Transaction
    from cardamomquay.platform import Unavailable


@dataclass(frozen=True, slots=True)
class ReadMoves(Effect):
    """Read rows of moves; answered by `MovesRead` or `MovesReadFailed`."""

    keys: tuple[RowKey, ...]


@dataclass(frozen=True, slots=True)
class WriteMoveStep(Effect):
    """Commit the transaction of a step; answered by `MoveStepWriteFinished`."""

    route: str
    transaction: Transaction


@dataclass(frozen=True, slots=True)
class MoveChanged(Effect):
    """Notifies the runtime that this host has a newer row of a move."""

    move: Move


@dataclass(frozen=True, slots=True)
class MoveStopped(Effect):
    """Notifies the runtime that this host stopped a move without the controller."""

    route: str
    move_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class MoveControllerChanged(Event):
    """Whether this host is the controller: the holder of the row ``lenders/moves``.

    Parameters
    ----------
    is_controller : bool
        Whether this host is the controller.
    fence : int
        Fencing token in the row.
    row_version : int
        Version of the row in which this incarnation of the host is the holder.
    """

    is_controller: bool
    fence: int = 0
    row_version: int = 0


@dataclass(frozen=True, slots=True)
class MovesRead(Event):
    """Result of `ReadMoves`: rows of moves, from a read that began at `started_s`."""

    started_s: float
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class MovesReadFailed(Event):
    """`ReadMoves` failed."""


@dataclass(frozen=True, slots=True)
class MoveStepWriteFinished(Event):
    """Outcome of `WriteMoveStep`."""

    route: str
    outcome: Committed | Conflicted | Unavailable


@dataclass(frozen=True, slots=True)
class HostReportReceived(Event):
    """A report of a peer or of this host.

    `taken_at_s` is when the sender made the report, on this host's clock. For a peer it
    is computed from the age that the record states, as described at `reports_of`.
    """

    host: str
    incarnation: str
    taken_at_s: float
    report: HostReport
