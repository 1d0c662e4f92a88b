"""Conditions for retries, and the retry budget."""

from __future__ import annotations

import threading
from dataclasses import dataclass

from cardamomquay.outcomes import RetryReason

# Retries that each first attempt adds to the budget, and the largest number stored.
RETRY_SHARE = 0.1
BUDGET_MAX = 10.0
# With less time until the deadline, a request is neither retried nor hedged.
MIN_REMAINING_S = 0.02
# Failures in which the upstream cannot have run the request, so that a retry is safe
# even if the request must not run twice.
NOT_RUN_REASONS = frozenset(
    {
        RetryReason.CONNECTION_REFUSED,
        RetryReason.NOTHING_SENT,
        RetryReason.SHED_NOT_RUN,
    }
)


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt without a usable answer.

    Parameters
    ----------
    reason : RetryReason
    repeatable : bool
        Whether the request may be run more than once.
    attempts : int
        Number of attempts so far, this one included.
    remaining_s : float
        Time until the deadline, in seconds.
    is_pool_shedding : bool
        Whether the pool as a whole sheds load. `RetryPolicy.allow_retry` also checks
        this itself, so its callers may pass False.
    """

    reason: RetryReason
    repeatable: bool
    attempts: int
    remaining_s: float
    is_pool_shedding: bool


class RetryBudget:
    """Limits retries to a share of first attempts; thread-safe.

    Parameters
    ----------
    share : float, default=0.1
        Retries added to the budget by each first attempt.
    maximum : float, default=10
        Largest number of retries that the budget stores.
    """

    def __init__(self, share: float = RETRY_SHARE, maximum: float = BUDGET_MAX) -> None:
        self._share = share
        self._maximum = maximum
        self._balance = maximum
        self._lock = threading.Lock()

    def deposit(self) -> None:
        """Add the share of one first attempt."""
        with self._lock:
            self._balance = min(self._maximum, self._balance + self._share)

    def try_withdraw(self, reserve: float = 0.0) -> bool:
        """Take one retry if the budget allows it.

        Parameters
        ----------
        reserve : float, default=0
            Number of retries that must remain in the budget.

        Returns
        -------
        bool
        """
        with self._lock:
            # Ten times 0.1 is a little less than 1 in floating point.
            if self._balance - reserve < 1.0 - 1e-9:
                return False
            self._balance -= 1.0
            return True


def may_retry(attempt: FailedAttempt, max_attempts: int = 3) -> bool:
    """Return whether a failed attempt may be retried, regardless of the budget.

    Parameters
    ----------
    attempt : FailedAttempt
    max_attempts : int, default=3

    Returns
    -------
    bool
    """
    if attempt.attempts >= max_attempts or attempt.is_pool_shedding:
        return False
    if attempt.remaining_s < MIN_REMAINING_S:
        return False
    return attempt.repeatable or attempt.reason in NOT_RUN_REASONS
