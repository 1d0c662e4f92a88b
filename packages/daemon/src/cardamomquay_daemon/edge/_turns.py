"""Shares the processor time of the event loop among connections.

Connections with pipelined requests, with bodies in chunks of one byte or with long
answers have work in each iteration of the event loop. Even a little work for each of
hundreds of them delays all other requests, and the answers of upstreams and of the
store.
"""

from __future__ import annotations

import asyncio

from cardamomquay.caller_turns import TurnOrder

# After this many events of one request, it waits for its turn again.
EVENTS_PER_TURN = 64
# Events of a request before its second turn. An ordinary request has fewer.
EVENTS_BEFORE_TURNS = 16
# A turn is one request, or 64 events of its body, and takes about a millisecond with
# all that follows from it. A request takes some ten iterations from its first byte to
# its answer.
TURNS_PER_ITERATION = 8
# Turns of the answers that are being read, which have an order of their own. A turn is
# a part of 64 KiB or 64 events, and takes a tenth of a millisecond.
ANSWER_TURNS_PER_ITERATION = 16
# Parsing and forwarding this many headers takes as long as a turn.
HEADERS_PER_TURN = 64


class Turns:
    """Lets a few connections work in each iteration of the event loop, in order.

    Parameters
    ----------
    per_iteration : int
        Number of turns in an iteration.
    """

    def __init__(self, per_iteration: int) -> None:
        self._order: TurnOrder[asyncio.Future[None]] = TurnOrder(per_iteration)
        # The event loop whose next iteration begins a round; None if it needs none.
        self._scheduled_in: asyncio.AbstractEventLoop | None = None

    def __len__(self) -> int:
        return len(self._order)

    def request(self, *, is_ahead: bool) -> asyncio.Future[None] | None:
        """Ask for a turn.

        Parameters
        ----------
        is_ahead : bool
            Whether it belongs to those that the others go before; see `TurnOrder`. It
            then waits for the next iteration at least.

        Returns
        -------
        asyncio.Future or None
            Done at the turn; one that is done before is left out. None if the turn is
            now.
        """
        self._schedule()
        if not is_ahead and self._order.take_now():
            return None
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._order.wait(turn, is_ahead=is_ahead)
        return turn

    def charge(self, turns: int) -> None:
        """Count further work of the current turn."""
        if turns:
            self._order.charge(turns)
            self._schedule()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        if self._scheduled_in is not loop:
            self._scheduled_in = loop
            loop.call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        self._scheduled_in = None
        self._order.begin_round()
        while (turn := self._order.pop()) is not None:
            # Connections that were closed meanwhile no longer wait.
            if not turn.done():
                self._order.charge(1)
                turn.set_result(None)
        if not self._order.is_fresh:
            self._schedule()
