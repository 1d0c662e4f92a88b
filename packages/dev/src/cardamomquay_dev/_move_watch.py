"""Polls the states of the demo's version moves and reports on them."""

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
TAKE_BACK_STATES = frozenset({"taking_back", "taken_back"})


@dataclass(frozen=True, slots=True)
class WatchedMove:
    """A move of the demo, with the limits that the demo requests for it.

    `cap_percent` is the maximum share of the new pool until its version is proved good,
    `step_cap_percent` the maximum change of the share in one step, and
    `finish_within_s` the time within which the move must complete.
    """

    owner: str
    route: str
    to_pool: str
    cap_percent: float
    step_cap_percent: float
    finish_within_s: float


class MoveWatch:
    """Records when an operator port first showed each state of each move.

    Parameters
    ----------
    moves : sequence of WatchedMove
    get_operator_urls : callable
        Returns the URLs of the operator ports of the running hosts.
    key : str
        An operator's key.
    """

    def __init__(
        self,
        moves: Sequence[WatchedMove],
        get_operator_urls: Callable[[], Sequence[str]],
        key: str,
    ) -> None:
        self._moves = moves
        self._get_operator_urls = get_operator_urls
        self._headers = (f"X-Operator-Key: {key}",)
        self._started_s: dict[str, float] = {}
        self._first_seen_s: dict[tuple[str, str], float] = {}
        self._latest: dict[str, dict[str, Any]] = {}
        self._finished = threading.Event()

    def record_start(self, route: str) -> None:
        """Record that a move was requested now."""
        self._started_s[route] = time.time()

    def stop(self) -> None:
        """End `run`."""
        self._finished.set()

    def run(self) -> None:
        """Poll the states of the moves until `stop`."""
        while not self._finished.wait(POLL_S):
            for url in self._get_operator_urls():
                document = get_json(f"{url}/v1/moves", self._headers)
                if document is not None:
                    self._record_states(document["moves"])
                    break

    def results(self, runs: Sequence[RunRecord]) -> dict[str, Any]:
        """Return the report of each move, by the name of its new pool."""
        return {move.to_pool: self._result(move, runs) for move in self._moves}

    def _record_states(self, moves: dict[str, dict[str, Any]]) -> None:
        for route, move in moves.items():
            self._latest[route] = move
            self._first_seen_s.setdefault((route, str(move["state"])), time.time())

    def _result(self, move: WatchedMove, runs: Sequence[RunRecord]) -> dict[str, Any]:
        """Return the report of a move.

        `completed_s` counts from the request of the move, `taken_back_s` from the first
        run of the new version, and `last_run_after_shown_s` from the time at which an
        operator port first showed the take-back.
        """
        started_s = self._started_s.get(move.route, float("inf"))
        # A route of the demo has the name of the pool that it led to before its move.
        new_version = _checks.summarise_move(runs, move.route, move.to_pool, started_s)
        completed_s = self._first_seen_s.get((move.route, COMPLETED))
        take_back_times_s = [
            at_s
            for (route, state), at_s in self._first_seen_s.items()
            if route == move.route and state in TAKE_BACK_STATES
        ]
        taken_back_s = min(take_back_times_s, default=None)
        latest = self._latest.get(move.route, {})
        return {
            "cap": move.cap_percent / 100,
            "largest_share": new_version["largest_share"],
            "runs": new_version["runs"],
            "state": latest.get("state", "none"),
            "reason": latest.get("reason", ""),
            "finished_in_time": completed_s is not None
            and completed_s - started_s <= move.finish_within_s,
            "completed_s": _seconds_since(completed_s, started_s),
            "taken_back_s": _seconds_since(taken_back_s, new_version["first_run_s"]),
            "last_run_after_shown_s": (
                0.0
                if taken_back_s is None
                else round(max(0.0, new_version["last_run_s"] - taken_back_s), 3)
            ),
        }


def _seconds_since(at_s: float | None, started_s: float) -> float | None:
    return None if at_s is None else round(at_s - started_s, 2)
