"""Events and effects of version moves."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event

if TYPE_CHECKING:
    from cardamomquay.moves._rows import Move
    from cardamomquay.moves._windows import HostReport
    from cardamomquay.platform import Committed
    from cardamomquay.platform import Conflicted
    from cardamomquay.platform import Row
    from cardamomquay.platform import RowKey
    from cardamomquay.platform import Transaction
    from cardamomquay.platform import Unavailable


@dataclass(frozen=True, slots=True)
class ReadMoves(Effect):
    """Read rows with `TableService.read`; answer `MovesRead` or `MovesReadFailed`."""

    keys: tuple[RowKey, ...]


@dataclass(frozen=True, slots=True)
class WriteMoveStep(Effect):
    """Commit a step; the answer is `MoveStepDone`."""

    route: str
    transaction: Transaction


@dataclass(frozen=True, slots=True)
class MoveChanged(Effect):
    """Tells the shell that a newer row of a move is known on this host."""

    move: Move


@dataclass(frozen=True, slots=True)
class MoveStopped(Effect):
    """Tells the shell that this host stopped a move by itself."""

    route: str
    move_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class ControllerChanged(Event):
    """Whether this host holds ``lenders/moves``.

    Parameters
    ----------
    held : bool
    fence : int
        Fencing token in the row.
    row_version : int
        Version of the row that names this host's incarnation.
    """

    held: bool
    fence: int = 0
    row_version: int = 0


@dataclass(frozen=True, slots=True)
class MovesRead(Event):
    """Rows of moves from one read that began at `started_s`."""

    started_s: float
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class MovesReadFailed(Event):
    """A read of the rows of moves failed."""


@dataclass(frozen=True, slots=True)
class MoveStepDone(Event):
    """Outcome of `WriteMoveStep`."""

    route: str
    outcome: Committed | Conflicted | Unavailable


@dataclass(frozen=True, slots=True)
class ReportHeard(Event):
    """A host's report, this host's own included.

    `taken_at_s` is when the host took it, on this host's clock: the time of arrival
    less the age that the sender states.
    """

    host: str
    incarnation: str
    taken_at_s: float
    report: HostReport
