"""Retries under a budget."""

from __future__ import annotations

from cardamomquay.retries._retries import FailedAttempt
from cardamomquay.retries._retries import RetryBudget
from cardamomquay.retries._retries import may_retry

__all__ = ["FailedAttempt", "RetryBudget", "may_retry"]
