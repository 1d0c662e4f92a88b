"""Carries out the decisions of the budget for what callers make a host hold."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from cardamomquay.caller_memory import CallerBudget
from cardamomquay.caller_memory import Holding
from cardamomquay.caller_memory import RunningRequests
from cardamomquay_daemon.edge._events import CALLERS_ENDED
from cardamomquay_daemon.edge._turns import TURNS_PER_ITERATION
from cardamomquay_daemon.edge._turns import Turns

if TYPE_CHECKING:
    from cardamomquay_daemon.edge._telemetry import EdgeTelemetry

DEFAULT_LIMIT_BYTES = 150_000_000
DEFAULT_CONNECTIONS_MAX = 2000
DEFAULT_REQUESTS_MAX = 1000
# Interval of log lines about refused and closed connections, however many there are.
LOG_INTERVAL_S = 1.0
# While memory is short, an unfinished request has to grow by `PROGRESS_BYTES` of
# `_caller_conn` within this time, the default of `header_timeout_s`.
STALLED_S = 3.0


class EndConnection(Protocol):
    """Ends a connection, or refuses the request that is being read on it."""

    def __call__(self, *, must_close: bool) -> None: ...


@dataclass(slots=True)
class _Tally:
    """What was done since the last log line."""

    requests_refused: int = 0
    connections_ended: int = 0
    connections_refused: int = 0
    oldest_progress_s: float | None = None


class CallerMemory:
    """Memory and connections of all callers of a host.

    Parameters
    ----------
    budget : CallerBudget, optional
    running : RunningRequests, optional

    Attributes
    ----------
    turns : Turns
        Processor time of all connections.
    """

    def __init__(
        self,
        budget: CallerBudget | None = None,
        running: RunningRequests | None = None,
    ) -> None:
        self.budget = budget or CallerBudget(
            DEFAULT_LIMIT_BYTES, DEFAULT_CONNECTIONS_MAX
        )
        # An object without requests is false.
        self.running = (
            RunningRequests(DEFAULT_REQUESTS_MAX) if running is None else running
        )
        self.turns = Turns(TURNS_PER_ITERATION)
        self._end_by_holding: dict[Holding, EndConnection] = {}
        self._tally = _Tally()
        self._logged_s = float("-inf")

    @property
    def used_bytes(self) -> int:
        """Number of bytes that callers make the host hold."""
        return self.budget.used_bytes

    def open(self, holding: Holding, end: EndConnection) -> bool:
        """Add a connection; return whether it may stay open.

        Parameters
        ----------
        holding : Holding
        end : EndConnection
        """
        decision = self.budget.open(holding)
        self._end(decision.ended, must_close=True)
        if not decision.is_granted:
            self._tally.connections_refused += 1
            return False
        self._end_by_holding[holding] = end
        return True

    def close(self, holding: Holding) -> None:
        """Remove a connection, once it has ended."""
        self._end_by_holding.pop(holding, None)
        self.budget.close(holding)

    def resize(
        self, holding: Holding, size_bytes: int, *, is_needed: bool = False
    ) -> bool:
        """Change what a connection holds; see `CallerBudget.resize`."""
        decision = self.budget.resize(holding, size_bytes, is_needed=is_needed)
        if decision.ended:
            self._end(decision.ended, must_close=False)
        return decision.is_granted

    def hold_answers(self, size_bytes: int, *, is_needed: bool = False) -> bool:
        """Change what the answers that are being read hold."""
        self.budget.answers.progress_s = asyncio.get_running_loop().time()
        return self.resize(self.budget.answers, size_bytes, is_needed=is_needed)

    def record_refused(self) -> None:
        """Count a request that was refused because there was no memory for it."""
        self._tally.requests_refused += 1

    def end_stalled(self, now_s: float) -> None:
        """While memory is short, end those without progress."""
        self._end(self.budget.end_stalled(now_s, STALLED_S), must_close=False)

    def report(self, telemetry: EdgeTelemetry, now_s: float) -> None:
        """Count, and log at most once a second, who was refused or closed."""
        tally = self._tally
        if tally == _Tally() or now_s < self._logged_s + LOG_INTERVAL_S:
            return
        self._tally = _Tally()
        self._logged_s = now_s
        telemetry.count("requests.bodies_rejected", tally.requests_refused)
        telemetry.count("callers.ended", tally.connections_ended)
        telemetry.count("callers.connections_refused", tally.connections_refused)
        oldest_s = tally.oldest_progress_s
        telemetry.log(
            CALLERS_ENDED,
            requests_refused=tally.requests_refused,
            connections_ended=tally.connections_ended,
            connections_refused=tally.connections_refused,
            longest_stalled_s=None if oldest_s is None else round(now_s - oldest_s, 2),
            used_bytes=self.budget.used_bytes,
            limit_bytes=self.budget.limit_bytes,
            connections=self.budget.connection_count,
            connections_max=self.budget.connections_max,
        )

    def _end(self, ended: tuple[Holding, ...], *, must_close: bool) -> None:
        for holding in ended:
            self._tally.connections_ended += 1
            oldest_s = self._tally.oldest_progress_s
            if oldest_s is None or holding.progress_s < oldest_s:
                self._tally.oldest_progress_s = holding.progress_s
            # It may be chosen again: first refused, then closed for another connection.
            end = self._end_by_holding.get(holding)
            if end is not None:
                end(must_close=must_close)
