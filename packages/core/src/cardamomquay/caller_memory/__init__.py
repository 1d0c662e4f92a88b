"""Memory and connections of callers: one budget, and who ends when it is used up."""

from __future__ import annotations

from cardamomquay.caller_memory._budget import CallerBudget
from cardamomquay.caller_memory._budget import Decision
from cardamomquay.caller_memory._budget import Holding

__all__ = ["CallerBudget", "Decision", "Holding"]
