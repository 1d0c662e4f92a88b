"""Shares the processor time for long bodies among the connections.

A body in chunks of one byte has tens of thousands of events in one read. With hundreds
of such callers, even a few events of each in one iteration of the event loop delay all
other requests.
"""

from __future__ import annotations

import asyncio
from collections import deque

# After this many events of one request, it waits for its turn.
EVENTS_PER_TURN = 64
# Events of a request before its first turn. An ordinary request has fewer and never
# waits.
EVENTS_BEFORE_TURNS = 16
# Turns in one iteration of the event loop: 256 events of about 10 microseconds each.
TURNS_PER_ITERATION = 4


class ParseTurns:
    """Lets a few connections parse in each iteration of the event loop, in order."""

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._is_scheduled = False

    async def next(self) -> None:
        """Wait for a turn."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(self._release)
        await turn

    def _release(self) -> None:
        released = 0
        while self._waiting and released < TURNS_PER_ITERATION:
            turn = self._waiting.popleft()
            # Those of connections that were closed meanwhile are cancelled.
            if not turn.done():
                turn.set_result(None)
                released += 1
        self._is_scheduled = bool(self._waiting)
        if self._is_scheduled:
            asyncio.get_running_loop().call_soon(self._release)
