"""An event loop in simulated time."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from cardamomquay.clock import ManualClock

if TYPE_CHECKING:
    from collections.abc import Callable


class EventLoop:
    """Runs scheduled calls in the order of their times, on a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def now_s(self) -> float:
        return self.clock.now_s()

    def at(self, at_s: float, call: Callable[[], None]) -> None:
        """Schedule a call at a time; a past time means as soon as possible."""
        heapq.heappush(self._calls, (at_s, next(self._sequence), call))

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay in seconds."""
        self.at(self.now_s() + delay_s, call)

    def run_until(self, end_s: float) -> None:
        """Run all calls that are due by `end_s`, and set the clock to that time."""
        while self._calls and self._calls[0][0] <= end_s:
            at_s, _, call = heapq.heappop(self._calls)
            self._advance_to(at_s)
            call()
        self._advance_to(end_s)

    def _advance_to(self, at_s: float) -> None:
        self.clock.advance(max(0.0, at_s - self.now_s()))
