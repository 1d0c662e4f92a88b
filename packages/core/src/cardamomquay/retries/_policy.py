"""Retries and hedges of one pool, inside one budget."""

from __future__ import annotations

import threading
from bisect import insort
from collections import Counter
from collections import deque
from typing import TYPE_CHECKING

from cardamomquay.outcomes import RetryReason
from cardamomquay.retries._retries import MIN_REMAINING_S
from cardamomquay.retries._retries import RetryBudget
from cardamomquay.retries._retries import may_retry
from cardamomquay.retries._shedding import ShedDetector

if TYPE_CHECKING:
    from cardamomquay.retries._retries import FailedAttempt

HEDGE_QUANTILE = 0.95
HEDGE_SAMPLES = 128
HEDGE_SAMPLES_MIN = 20
HEDGE_DELAY_MIN_S = 0.005
# Hedges leave the last tokens to retries of requests that have failed.
HEDGE_RESERVE = 3.0


class RetryPolicy:
    """Decides on second attempts at a pool; safe for threads.

    Parameters
    ----------
    budget : RetryBudget, optional
    """

    def __init__(self, budget: RetryBudget | None = None) -> None:
        self.budget = RetryBudget() if budget is None else budget
        self.shedding = ShedDetector()
        self._lock = threading.Lock()
        self._counts: Counter[RetryReason] = Counter()
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def fresh(self) -> None:
        """Count a request that is sent for the first time."""
        self.budget.earn()

    def answered(
        self, upstream: str, shed: bool, latency_s: float, now_s: float
    ) -> None:
        """Learn from an answer.

        Parameters
        ----------
        upstream : str
        shed : bool
        latency_s : float
        now_s : float
        """
        self.shedding.observe(upstream, shed, now_s)
        if shed:
            return
        with self._lock:
            self._recent.append(latency_s)
            insort(self._sorted, latency_s)
            if len(self._recent) > HEDGE_SAMPLES:
                self._sorted.remove(self._recent.popleft())

    def retry(self, attempt: FailedAttempt, now_s: float) -> bool:
        """Decide on a retry, and take it from the budget.

        Parameters
        ----------
        attempt : FailedAttempt
        now_s : float

        Returns
        -------
        bool
        """
        if not may_retry(attempt) or self.shedding.sheds(now_s):
            return False
        if not self.budget.spend():
            return False
        self._count(attempt.reason)
        return True

    def hedge_delay_s(self, repeatable_read: bool) -> float | None:
        """Return when a request without an answer may be hedged.

        Parameters
        ----------
        repeatable_read : bool
            Whether the request is a read that may run more than once.

        Returns
        -------
        float or None
            Seconds from sending, the 95th percentile of recent latencies; None for
            no hedge.
        """
        if not repeatable_read:
            return None
        with self._lock:
            if len(self._sorted) < HEDGE_SAMPLES_MIN:
                return None
            index = int(HEDGE_QUANTILE * (len(self._sorted) - 1))
            return max(HEDGE_DELAY_MIN_S, self._sorted[index])

    def hedge(self, repeatable_read: bool, remaining_s: float, now_s: float) -> bool:
        """Decide on a hedge whose delay has passed, and take it from the budget.

        Parameters
        ----------
        repeatable_read : bool
        remaining_s : float
        now_s : float

        Returns
        -------
        bool
        """
        if not repeatable_read or remaining_s < MIN_REMAINING_S:
            return False
        if self.shedding.sheds(now_s) or not self.budget.spend(HEDGE_RESERVE):
            return False
        self._count(RetryReason.HEDGE)
        return True

    def counts(self) -> dict[RetryReason, int]:
        """Return the number of second attempts by reason."""
        with self._lock:
            return dict(self._counts)

    def _count(self, reason: RetryReason) -> None:
        with self._lock:
            self._counts[reason] += 1
