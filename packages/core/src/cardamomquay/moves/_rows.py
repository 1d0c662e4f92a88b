"""Rows of the table ``moves``."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.platform import Condition
from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Write

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cardamomquay.config import Route

TABLE = "moves"
CONTROLLER_ROW = RowKey("lenders", "moves")


class MoveState(StrEnum):
    """Where a move stands."""

    PLANNED = "planned"
    RAMPING = "ramping"
    HOLDING = "holding"
    COMPLETED = "completed"
    TAKING_BACK = "taking_back"
    TAKEN_BACK = "taken_back"


SENDING = (MoveState.RAMPING, MoveState.HOLDING, MoveState.COMPLETED)
ENDED = (MoveState.COMPLETED, MoveState.TAKEN_BACK)


@dataclass(frozen=True, slots=True)
class Move:
    """A move as its row holds it.

    Parameters
    ----------
    route, move_id, from_pool, to_pool : str
    state : MoveState
    step : int
        Grows by one with each transaction of the same move.
    share_percent : float
        Share of the route's requests for `to_pool`.
    proved : bool
        Whether the new version was proved good, so that the cap is lifted.
    fence : int
        Fencing token of the controller that wrote the row.
    elapsed_s : float
        Time since the move began. Hosts' clocks have different origins, so the row
        holds a duration.
    reason : str
    figures : mapping
        Figures behind the last decision.
    """

    route: str
    move_id: str
    from_pool: str
    to_pool: str
    state: MoveState = MoveState.PLANNED
    step: int = 0
    share_percent: float = 0.0
    proved: bool = False
    fence: int = 0
    elapsed_s: float = 0.0
    reason: str = ""
    figures: Mapping[str, Any] = field(default_factory=dict)

    def is_for(self, route: Route) -> bool:
        """Whether this is the move that the route's row asks for."""
        plan = route.move
        return plan is not None and (self.move_id, self.from_pool, self.to_pool) == (
            plan.move_id,
            route.pool,
            plan.to_pool,
        )


def move_row_key(route: str) -> RowKey:
    """Return the key of a route's move."""
    return RowKey(TABLE, route)


def move_value(move: Move) -> dict[str, Any]:
    """Return the value of a move's row."""
    return {
        "route": move.route,
        "move_id": move.move_id,
        "from_pool": move.from_pool,
        "to_pool": move.to_pool,
        "state": move.state.value,
        "step": move.step,
        "share_percent": move.share_percent,
        "proved": move.proved,
        "fence": move.fence,
        "elapsed_s": move.elapsed_s,
        "reason": move.reason,
        "figures": dict(move.figures),
    }


def parse_move(value: Mapping[str, Any] | None) -> Move | None:
    """Read a row's value.

    Parameters
    ----------
    value : mapping or None

    Returns
    -------
    Move or None
        None if there is no row, or none that is valid.
    """
    if value is None:
        return None
    try:
        move = Move(
            route=str(value["route"]),
            move_id=str(value["move_id"]),
            from_pool=str(value["from_pool"]),
            to_pool=str(value["to_pool"]),
            state=MoveState(value["state"]),
            step=int(value["step"]),
            share_percent=float(value["share_percent"]),
            proved=value["proved"] is True,
            fence=int(value["fence"]),
            elapsed_s=float(value["elapsed_s"]),
            reason=str(value["reason"]),
            figures=dict(value["figures"]),
        )
    except (KeyError, TypeError, ValueError):
        return None
    figures = (move.share_percent, move.elapsed_s)
    if not all(math.isfinite(figure) for figure in figures):
        return None
    return move if 0 <= move.share_percent <= 100 else None


def step_transaction(
    move: Move, row_version: int, controller_version: int
) -> Transaction:
    """Return the transaction of a step.

    The condition on the controller's row stops a transaction that a paused
    controller left on its way, even before its successor has written any move.

    Parameters
    ----------
    move : Move
        The move after the step.
    row_version : int
        Version of the move's row before it; 0 without a row.
    controller_version : int
        Version of the row that names this host as the controller.

    Returns
    -------
    Transaction
    """
    key = move_row_key(move.route)
    return Transaction(
        (Condition(key, row_version), Condition(CONTROLLER_ROW, controller_version)),
        (Write(key, move_value(move)),),
    )
