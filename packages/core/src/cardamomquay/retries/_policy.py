"""Retries and hedged requests of one pool, within one budget."""

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

# A request is hedged after this quantile of the recent latencies: the last
# `HEDGE_SAMPLES` of the pool, of which there must be at least `HEDGE_SAMPLES_MIN`.
HEDGE_QUANTILE = 0.95
HEDGE_SAMPLES = 128
HEDGE_SAMPLES_MIN = 20
HEDGE_DELAY_MIN_S = 0.005
# Number of retries that hedges leave in the budget for failed requests.
HEDGE_RESERVE = 3.0


class RetryPolicy:
    """Decides on retries and hedges at one pool (`config.Pool`); thread-safe.

    Parameters
    ----------
    budget : RetryBudget, optional
    """

    def __init__(self, budget: RetryBudget | None = None) -> None:
        self.budget = RetryBudget() if budget is None else budget
        self.shed_detector = ShedDetector()
        self._lock = threading.Lock()
        self._counts: Counter[RetryReason] = Counter()
        self._recent_latencies_s: deque[float] = deque()
        self._sorted_latencies_s: list[float] = []

    def record_first_attempt(self) -> None:
        """Count a first attempt, which adds to the budget."""
        self.budget.deposit()

    def record_answer(
        self, upstream: str, shed: bool, latency_s: float, now_s: float
    ) -> None:
        """Record an answer.

        Parameters
        ----------
        upstream : str
        shed : bool
            Whether the upstream refused the request because of its load.
        latency_s : float
        now_s : float
        """
        self.shed_detector.record_answer(upstream, shed, now_s)
        if shed:
            return
        with self._lock:
            self._recent_latencies_s.append(latency_s)
            insort(self._sorted_latencies_s, latency_s)
            if len(self._recent_latencies_s) > HEDGE_SAMPLES:
                self._sorted_latencies_s.remove(self._recent_latencies_s.popleft())

    def allow_retry(self, attempt: FailedAttempt, now_s: float) -> bool:
        """Decide whether to retry, and take the retry from the budget.

        Parameters
        ----------
        attempt : FailedAttempt
        now_s : float

        Returns
        -------
        bool
        """
        if not may_retry(attempt) or self.shed_detector.is_shedding(now_s):
            return False
        if not self.budget.try_withdraw():
            return False
        self._count_retry(attempt.reason)
        return True

    def hedge_delay_s(self, repeatable_read: bool) -> float | None:
        """Return the time after which a request without an answer may be hedged.

        Parameters
        ----------
        repeatable_read : bool
            Whether the request is a read that may be run more than once.

        Returns
        -------
        float or None
            In seconds from sending: the 95th percentile of recent latencies; None if
            the request must not be hedged.
        """
        if not repeatable_read:
            return None
        with self._lock:
            if len(self._sorted_latencies_s) < HEDGE_SAMPLES_MIN:
                return None
            index = int(HEDGE_QUANTILE * (len(self._sorted_latencies_s) - 1))
            return max(HEDGE_DELAY_MIN_S, self._sorted_latencies_s[index])

    def allow_hedge(
        self, repeatable_read: bool, remaining_s: float, now_s: float
    ) -> bool:
        """Decide whether to hedge after the delay, and take the hedge from the budget.

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
        if self.shed_detector.is_shedding(now_s) or not self.budget.try_withdraw(
            HEDGE_RESERVE
        ):
            return False
        self._count_retry(RetryReason.HEDGE)
        return True

    def counts(self) -> dict[RetryReason, int]:
        """Return the number of retries and hedges by reason."""
        with self._lock:
            return dict(self._counts)

    def _count_retry(self, reason: RetryReason) -> None:
        with self._lock:
            self._counts[reason] += 1
