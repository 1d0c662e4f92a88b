"""Starts version moves in the demo and follows them to their end."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay_dev import _checks
from cardamomquay_dev._http import get_json

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from cardamomquay_dev._checks import RunRecord

POLL_S = 0.1
COMPLETED = "completed"
TAKING_BACK = frozenset({"taking_back", "taken_back"})


@dataclass(frozen=True, slots=True)
class WatchedMove:
    """A move of the demo; the cap is in percent."""

    owner: str
    route: str
    to_pool: str
    cap_percent: float
    step_cap_percent: float
    finish_within_s: float


class MoveWatch:
    """Keeps when each state of each move was first shown.

    Parameters
    ----------
    moves : sequence of WatchedMove
    servers : callable
        Returns the operator ports that can be asked.
    key : str
        An operator's key.
    """

    def __init__(
        self,
        moves: Sequence[WatchedMove],
        servers: Callable[[], Sequence[str]],
        key: str,
    ) -> None:
        self._moves = moves
        self._servers = servers
        self._headers = (f"X-Operator-Key: {key}",)
        self._started_s: dict[str, float] = {}
        self._shown: dict[tuple[str, str], float] = {}
        self._last: dict[str, dict[str, Any]] = {}
        self._finished = threading.Event()

    def started(self, route: str) -> None:
        """Note that a move was asked for."""
        self._started_s[route] = time.time()

    def stop(self) -> None:
        """End `run`."""
        self._finished.set()

    def run(self) -> None:
        """Poll the states of the moves until `stop`."""
        while not self._finished.wait(POLL_S):
            for server in self._servers():
                document = get_json(f"{server}/v1/moves", self._headers)
                if document is not None:
                    self._note(document["moves"])
                    break

    def results(self, runs: Sequence[RunRecord]) -> dict[str, Any]:
        """Return the report of each move, by the name of its new pool."""
        return {move.to_pool: self._result(move, runs) for move in self._moves}

    def _note(self, moves: dict[str, dict[str, Any]]) -> None:
        for route, move in moves.items():
            self._last[route] = move
            self._shown.setdefault((route, str(move["state"])), time.time())

    def _result(self, move: WatchedMove, runs: Sequence[RunRecord]) -> dict[str, Any]:
        started_s = self._started_s.get(move.route, float("inf"))
        found = _checks.check_move(runs, move.route, move.to_pool, started_s)
        completed_s = self._shown.get((move.route, COMPLETED))
        shown = [
            at_s
            for (route, state), at_s in self._shown.items()
            if route == move.route and state in TAKING_BACK
        ]
        taken_back_s = min(shown, default=None)
        last = self._last.get(move.route, {})
        return {
            "cap": move.cap_percent / 100,
            "largest_share": found["largest_share"],
            "runs": found["runs"],
            "state": last.get("state", "none"),
            "reason": last.get("reason", ""),
            "finished_in_time": completed_s is not None
            and completed_s - started_s <= move.finish_within_s,
            "completed_s": _since(completed_s, started_s),
            "taken_back_s": _since(taken_back_s, found["first_run_s"]),
            "last_run_after_shown_s": (
                0.0
                if taken_back_s is None
                else round(max(0.0, found["last_run_s"] - taken_back_s), 3)
            ),
        }


def _since(at_s: float | None, started_s: float) -> float | None:
    return None if at_s is None else round(at_s - started_s, 2)
