"""Sends requests for tokens to lenders and applies the answers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from cardamomquay.quota._messages import Grant
from cardamomquay.quota._messages import GrantStatus

if TYPE_CHECKING:
    from collections.abc import Sequence
    from concurrent.futures import Future

    from cardamomquay.clock import Clock
    from cardamomquay.quota._borrowed_tokens import Purse
    from cardamomquay.quota._messages import GrantRequest
    from cardamomquay.quota._messages import LenderDirectory


class LenderCalls:
    """Sends requests for tokens without blocking; thread-safe.

    Parameters
    ----------
    clock : Clock
    directory : LenderDirectory
    """

    def __init__(self, clock: Clock, directory: LenderDirectory) -> None:
        self._clock = clock
        self._directory = directory

    def send(self, purse: Purse, requests: Sequence[GrantRequest]) -> None:
        """Send the planned requests; their answers are applied when they arrive.

        Parameters
        ----------
        purse : Purse
        requests : sequence of GrantRequest
        """
        for request in requests:
            fut = self._directory.borrow(request)
            fut.add_done_callback(partial(self._on_answer, purse, request))

    def _on_answer(
        self, purse: Purse, request: GrantRequest, fut: Future[Grant]
    ) -> None:
        grant = Grant(GrantStatus.NO_ANSWER)
        if not fut.cancelled() and fut.exception() is None:
            grant = fut.result()
        now_s = self._clock.now_s()
        purse.complete(request, grant, now_s)
        if grant.granted < request.wanted:
            # The other lenders are asked for what this one did not lend.
            self.send(purse, purse.plan(now_s))
