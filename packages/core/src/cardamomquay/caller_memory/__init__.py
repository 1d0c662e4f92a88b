"""Memory, connections and requests of callers, and who ends when they are used up."""

from __future__ import annotations

from cardamomquay.caller_memory._budget import SMALL_BYTES
from cardamomquay.caller_memory._budget import CallerBudget
from cardamomquay.caller_memory._budget import Decision
from cardamomquay.caller_memory._budget import Holding
from cardamomquay.caller_memory._running import RunningRequests

__all__ = ["SMALL_BYTES", "CallerBudget", "Decision", "Holding", "RunningRequests"]
