"""Decides the next step of a move."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.moves._judge import Judgement
from cardamomquay.moves._judge import Verdict
from cardamomquay.moves._rows import ENDED_STATES
from cardamomquay.moves._rows import SENDING_STATES
from cardamomquay.moves._rows import Move
from cardamomquay.moves._rows import MoveState

if TYPE_CHECKING:
    from cardamomquay.config import MovePlan
    from cardamomquay.config import Route

# Hosts read the rows every 0.5 s and report twice per second, so the effect of a step
# is in the reports of all hosts after about 1.5 s.
STEP_MIN_S = 2.0
# Time at a share of 100% before a move is completed; at most `SOAK_MAX_TIME_FRACTION`
# of the time that the plan allows.
SOAK_S = 10.0
SOAK_MAX_TIME_FRACTION = 0.1
# Time from a take-back until it counts as finished. By then each host has seen the row
# of the take-back, or its view of the rows has expired, unless the move was completed.
TAKE_BACK_MIN_S = 3.0


@dataclass(frozen=True, slots=True)
class StepInputs:
    """What the next step depends on besides the row and the route.

    Parameters
    ----------
    judgement : Judgement
    has_enough_reports : bool
        Whether more than half of the live hosts have reported recently.
    dwell_s : float
        Time since this host first saw the current version of the row.
    fence : int
        Fencing token of this host as the controller.
    """

    judgement: Judgement
    has_enough_reports: bool
    dwell_s: float
    fence: int


def next_step(move: Move | None, route: Route, inputs: StepInputs) -> Move | None:
    """Decide the next step of a route's move.

    Parameters
    ----------
    move : Move or None
        The newest known row.
    route : Route
        The route in the configuration in force.
    inputs : StepInputs

    Returns
    -------
    Move or None
        The row after the step; None if no step is due.
    """
    if move is not None and move.fence > inputs.fence:
        return None
    plan = route.move
    if move is None or (move.state in ENDED_STATES and not move.matches(route)):
        if plan is None:
            return None
        return Move(
            route.name, plan.move_id, route.pool, plan.to_pool, fence=inputs.fence
        )
    if move.state is MoveState.TAKING_BACK:
        if inputs.dwell_s < TAKE_BACK_MIN_S:
            return None
        return _step_to(move, inputs, state=MoveState.TAKEN_BACK, reason=move.reason)
    if move.state is MoveState.TAKEN_BACK:
        return None
    if plan is None or not move.matches(route):
        return _take_back(
            move, inputs, "move_removed" if plan is None else "move_replaced"
        )
    if move.state in SENDING_STATES and inputs.judgement.verdict is Verdict.BAD:
        return _take_back(move, inputs, inputs.judgement.reason)
    if move.state is MoveState.COMPLETED:
        return None
    return _advance(move, plan, inputs)


def _advance(move: Move, plan: MovePlan, inputs: StepInputs) -> Move | None:
    elapsed_s = move.elapsed_s + inputs.dwell_s
    if elapsed_s + _min_time_needed_s(move, plan, inputs) > plan.finish_within_s:
        return _take_back(move, inputs, "deadline")
    if not move.proved and move.share_percent > plan.cap_percent:
        return _step_to(
            move, inputs, share_percent=plan.cap_percent, reason="cap_lowered"
        )
    if not inputs.has_enough_reports:
        if move.state is not MoveState.RAMPING:
            return None
        return _step_to(
            move, inputs, state=MoveState.HOLDING, reason="measurements_missing"
        )
    if move.state is MoveState.PLANNED:
        share = min(plan.cap_percent, plan.step_cap_percent)
        return _step_to(
            move, inputs, state=MoveState.RAMPING, share_percent=share, reason=""
        )
    if move.state is MoveState.HOLDING:
        return _step_to(move, inputs, state=MoveState.RAMPING, reason="")
    if inputs.judgement.verdict is not Verdict.GOOD or inputs.dwell_s < STEP_MIN_S:
        return None
    if move.share_percent < 100:
        share = min(100.0, move.share_percent + plan.step_cap_percent)
        return _step_to(move, inputs, share_percent=share, proved=True, reason="good")
    if inputs.dwell_s < soak_time_s(plan):
        return None
    return _step_to(move, inputs, state=MoveState.COMPLETED, reason="good")


def soak_time_s(plan: MovePlan) -> float:
    """Return the time at a share of 100% before a move is completed."""
    return min(SOAK_S, SOAK_MAX_TIME_FRACTION * plan.finish_within_s)


def _min_time_needed_s(move: Move, plan: MovePlan, inputs: StepInputs) -> float:
    """Return the shortest time that the remaining steps take."""
    steps = math.ceil((100.0 - move.share_percent) / plan.step_cap_percent)
    needed_s = steps * STEP_MIN_S + soak_time_s(plan)
    if move.state is not MoveState.RAMPING:
        return needed_s
    # The current step has already used a part of its time.
    current_step_s = STEP_MIN_S if move.share_percent < 100 else soak_time_s(plan)
    return needed_s - min(inputs.dwell_s, current_step_s)


def _take_back(move: Move, inputs: StepInputs, reason: str) -> Move:
    return _step_to(
        move, inputs, state=MoveState.TAKING_BACK, share_percent=0.0, reason=reason
    )


def _step_to(move: Move, inputs: StepInputs, **changes: Any) -> Move:
    return replace(
        move,
        step=move.step + 1,
        fence=inputs.fence,
        elapsed_s=move.elapsed_s + inputs.dwell_s,
        **changes,
    )
