"""When a request may be sent to a second upstream."""

from __future__ import annotations

import threading
from dataclasses import dataclass

from cardamomquay.outcomes import RetryReason

RETRY_SHARE = 0.1
BUDGET_MAX = 10.0
MIN_REMAINING_S = 0.02
NOT_RUN_REASONS = frozenset(
    {
        RetryReason.CONNECTION_REFUSED,
        RetryReason.NOTHING_SENT,
        RetryReason.SHED_NOT_RUN,
    }
)


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt that gave no usable answer.

    Parameters
    ----------
    reason : RetryReason
    repeatable : bool
        Whether the request may run more than once.
    attempts : int
        Attempts made so far, this one included.
    remaining_s : float
        What is left of the deadline, in seconds.
    pool_sheds : bool
        Whether the pool as a whole sheds load.
    """

    reason: RetryReason
    repeatable: bool
    attempts: int
    remaining_s: float
    pool_sheds: bool


class RetryBudget:
    """Bounds retries to a share of fresh requests; safe for threads.

    Parameters
    ----------
    share : float, default=0.1
        Retries earned by each fresh request.
    maximum : float, default=10
        Retries that can be saved up.
    """

    def __init__(self, share: float = RETRY_SHARE, maximum: float = BUDGET_MAX) -> None:
        self._share = share
        self._maximum = maximum
        self._level = maximum
        self._lock = threading.Lock()

    def earn(self) -> None:
        """Count one fresh request."""
        with self._lock:
            self._level = min(self._maximum, self._level + self._share)

    def spend(self, reserve: float = 0.0) -> bool:
        """Take one retry if the budget has it.

        Parameters
        ----------
        reserve : float, default=0
            What has to be left in the budget.

        Returns
        -------
        bool
        """
        with self._lock:
            # Ten times 0.1 is a little less than 1 in floating point.
            if self._level - reserve < 1.0 - 1e-9:
                return False
            self._level -= 1.0
            return True


def may_retry(attempt: FailedAttempt, max_attempts: int = 3) -> bool:
    """Whether a failed attempt allows another one, budget aside.

    Parameters
    ----------
    attempt : FailedAttempt
    max_attempts : int, default=3

    Returns
    -------
    bool
    """
    if attempt.attempts >= max_attempts or attempt.pool_sheds:
        return False
    if attempt.remaining_s < MIN_REMAINING_S:
        return False
    return attempt.repeatable or attempt.reason in NOT_RUN_REASONS
