"""Reads and writes rows of the table ``moves``."""

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

MOVES_TABLE = "moves"
# The controller of all moves is the host that lends the resource ``moves``, so its row
# is in the table of lenders.
CONTROLLER_ROW_KEY = RowKey("lenders", "moves")


class MoveState(StrEnum):
    """State of a move.

    In `HOLDING` the share does not grow, since measurements are missing. In
    `TAKING_BACK` some hosts may still send requests to the new pool; in `TAKEN_BACK`
    all requests go to the old pool again.
    """

    PLANNED = "planned"
    RAMPING = "ramping"
    HOLDING = "holding"
    COMPLETED = "completed"
    TAKING_BACK = "taking_back"
    TAKEN_BACK = "taken_back"


# States in which requests go to the new pool.
SENDING_STATES = (MoveState.RAMPING, MoveState.HOLDING, MoveState.COMPLETED)
# States in which another move of the route may begin. A completed move can still be
# taken back.
ENDED_STATES = (MoveState.COMPLETED, MoveState.TAKEN_BACK)


@dataclass(frozen=True, slots=True)
class Move:
    """One row of the table: the state of a route's move.

    Parameters
    ----------
    route, move_id, from_pool, to_pool : str
    state : MoveState
    step : int
        Number of the last step; each transaction of the same move adds one.
    share_percent : float
        Share of the route's requests that go to `to_pool`.
    proved : bool
        Whether the new version was proved good, which lifts the cap on the share.
    fence : int
        Fencing token of the controller that wrote the row.
    elapsed_s : float
        Time from the start of the move to the last step. A duration is stored rather
        than the time of the start because the clocks of hosts have different origins.
    reason : str
        Reason for the last step.
    figures : mapping
        Figures on which the last step is based.
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

    def matches(self, route: Route) -> bool:
        """Whether this is the move that the route's configuration asks for."""
        plan = route.move
        return plan is not None and (self.move_id, self.from_pool, self.to_pool) == (
            plan.move_id,
            route.pool,
            plan.to_pool,
        )


def move_row_key(route: str) -> RowKey:
    """Return the key of the row of a route's move."""
    return RowKey(MOVES_TABLE, route)


def move_row_value(move: Move) -> dict[str, Any]:
    """Encode a move as the value of its row."""
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
    """Decode the value of a row.

    Parameters
    ----------
    value : mapping or None

    Returns
    -------
    Move or None
        None if there is no row or its value is invalid.
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
    numbers = (move.share_percent, move.elapsed_s)
    if not all(math.isfinite(number) for number in numbers):
        return None
    return move if 0 <= move.share_percent <= 100 else None


def step_transaction(
    move: Move, row_version: int, controller_version: int
) -> Transaction:
    """Return the transaction that writes a step.

    The condition on the controller's row makes a delayed transaction of a paused
    former controller fail, even if its successor has not written any move yet.

    Parameters
    ----------
    move : Move
        The move after the step.
    row_version : int
        Version of the move's row before the step; 0 if there is no row.
    controller_version : int
        Version of the controller's row in which this host is the controller.

    Returns
    -------
    Transaction
    """
    key = move_row_key(move.route)
    return Transaction(
        (
            Condition(key, row_version),
            Condition(CONTROLLER_ROW_KEY, controller_version),
        ),
        (Write(key, move_row_value(move)),),
    )
