"""Sends requests for tokens to lenders and applies the answers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from cardamomquay.quota._messages import GrantStatus
from cardamomquay.quota._messages import TokenGrant

if TYPE_CHECKING:
    from collections.abc import Sequence
    from concurrent.futures import Future

    from cardamomquay.clock import Clock
    from cardamomquay.quota._borrowed_tokens import BorrowedTokens
    from cardamomquay.quota._messages import TokenRequest
    from cardamomquay.quota._messages import TokenTransport


class TokenRequestSender:
    """Sends requests for tokens without blocking; thread-safe.

    Parameters
    ----------
    clock : Clock
    transport : TokenTransport
    """

    def __init__(self, clock: Clock, transport: TokenTransport) -> None:
        self._clock = clock
        self._transport = transport

    def send(self, borrowed: BorrowedTokens, requests: Sequence[TokenRequest]) -> None:
        """Send the planned requests; their answers are applied when they arrive.

        Parameters
        ----------
        borrowed : BorrowedTokens
        requests : sequence of TokenRequest
        """
        for request in requests:
            fut = self._transport.borrow(request)
            fut.add_done_callback(partial(self._on_answer, borrowed, request))

    def _on_answer(
        self, borrowed: BorrowedTokens, request: TokenRequest, fut: Future[TokenGrant]
    ) -> None:
        grant = TokenGrant(GrantStatus.NO_ANSWER)
        if not fut.cancelled() and fut.exception() is None:
            grant = fut.result()
        now_s = self._clock.now_s()
        borrowed.apply_answer(request, grant, now_s)
        if grant.granted < request.wanted:
            # The other lenders are asked for what this one did not lend.
            self.send(borrowed, borrowed.plan(now_s))
