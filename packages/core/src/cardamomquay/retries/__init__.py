"""Retries and hedged requests within a budget."""

from __future__ import annotations

from cardamomquay.retries._policy import RetryPolicy
from cardamomquay.retries._retries import NOT_RUN_REASONS
from cardamomquay.retries._retries import FailedAttempt
from cardamomquay.retries._retries import RetryBudget
from cardamomquay.retries._retries import may_retry
from cardamomquay.retries._shedding import ShedDetector

__all__ = [
    "NOT_RUN_REASONS",
    "FailedAttempt",
    "RetryBudget",
    "RetryPolicy",
    "ShedDetector",
    "may_retry",
]
