"""Which step a move takes next."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.moves._judge import Judgement
from cardamomquay.moves._judge import Verdict
from cardamomquay.moves._rows import ENDED
from cardamomquay.moves._rows import SENDING
from cardamomquay.moves._rows import Move
from cardamomquay.moves._rows import MoveState

if TYPE_CHECKING:
    from cardamomquay.config import MovePlan
    from cardamomquay.config import Route

# Hosts read the rows every 0.5 s and report twice a second, so a step shows in the
# reports of all hosts after about 1.5 s.
STEP_MIN_S = 2.0
# Time at 100% before a move counts as completed, unless the deadline is short.
SOAK_S = 10.0
SOAK_SHARE = 0.1
# After this time every host has seen the row, or its view of the rows has expired.
DRAIN_S = 3.0


@dataclass(frozen=True, slots=True)
class Situation:
    """What a step depends on besides the row.

    Parameters
    ----------
    judgement : Judgement
    measured : bool
        Whether enough hosts report.
    dwell_s : float
        Time since this host saw the row's version first.
    fence : int
    """

    judgement: Judgement
    measured: bool
    dwell_s: float
    fence: int


def next_step(move: Move | None, route: Route, now: Situation) -> Move | None:
    """Decide the next step of a route's move.

    Parameters
    ----------
    move : Move or None
        The row as read last.
    route : Route
        The route as configured now.
    now : Situation

    Returns
    -------
    Move or None
        The row after the step, None if nothing is due.
    """
    if move is not None and move.fence > now.fence:
        return None
    plan = route.move
    if move is None or (move.state in ENDED and not move.is_for(route)):
        if plan is None:
            return None
        return Move(route.name, plan.move_id, route.pool, plan.to_pool, fence=now.fence)
    if move.state is MoveState.TAKING_BACK:
        if now.dwell_s < DRAIN_S:
            return None
        return _step(move, now, state=MoveState.TAKEN_BACK, reason=move.reason)
    if move.state is MoveState.TAKEN_BACK:
        return None
    if plan is None or not move.is_for(route):
        return _take_back(
            move, now, "move_removed" if plan is None else "move_replaced"
        )
    if move.state in SENDING and now.judgement.verdict is Verdict.BAD:
        return _take_back(move, now, now.judgement.reason)
    if move.state is MoveState.COMPLETED:
        return None
    return _advance(move, plan, now)


def _advance(move: Move, plan: MovePlan, now: Situation) -> Move | None:
    elapsed_s = move.elapsed_s + now.dwell_s
    if elapsed_s + _time_needed_s(move, plan, now) > plan.finish_within_s:
        return _take_back(move, now, "deadline")
    if not move.proved and move.share_percent > plan.cap_percent:
        return _step(move, now, share_percent=plan.cap_percent, reason="cap_lowered")
    if not now.measured:
        if move.state is not MoveState.RAMPING:
            return None
        return _step(move, now, state=MoveState.HOLDING, reason="measurements_missing")
    if move.state is MoveState.PLANNED:
        share = min(plan.cap_percent, plan.step_cap_percent)
        return _step(move, now, state=MoveState.RAMPING, share_percent=share, reason="")
    if move.state is MoveState.HOLDING:
        return _step(move, now, state=MoveState.RAMPING, reason="")
    if now.judgement.verdict is not Verdict.GOOD or now.dwell_s < STEP_MIN_S:
        return None
    if move.share_percent < 100:
        share = min(100.0, move.share_percent + plan.step_cap_percent)
        return _step(move, now, share_percent=share, proved=True, reason="good")
    if now.dwell_s < soak_s(plan):
        return None
    return _step(move, now, state=MoveState.COMPLETED, reason="good")


def soak_s(plan: MovePlan) -> float:
    """Return the time at 100% before a move counts as completed."""
    return min(SOAK_S, SOAK_SHARE * plan.finish_within_s)


def _time_needed_s(move: Move, plan: MovePlan, now: Situation) -> float:
    """Return the shortest time in which the remaining steps can be done."""
    steps = math.ceil((100.0 - move.share_percent) / plan.step_cap_percent)
    needed_s = steps * STEP_MIN_S + soak_s(plan)
    if move.state is not MoveState.RAMPING:
        return needed_s
    # The present step has used a part of its own time.
    own_s = STEP_MIN_S if move.share_percent < 100 else soak_s(plan)
    return needed_s - min(now.dwell_s, own_s)


def _take_back(move: Move, now: Situation, reason: str) -> Move:
    return _step(
        move, now, state=MoveState.TAKING_BACK, share_percent=0.0, reason=reason
    )


def _step(move: Move, now: Situation, **changes: Any) -> Move:
    return replace(
        move,
        step=move.step + 1,
        fence=now.fence,
        elapsed_s=move.elapsed_s + now.dwell_s,
        **changes,
    )
