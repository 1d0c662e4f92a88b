"""Usage of organisations by window, and its agreed reports to the platform."""

from __future__ import annotations

from cardamomquay.usage._fleet_time import FleetTime
from cardamomquay.usage._reporter import ReadRow
from cardamomquay.usage._reporter import ReporterEvent
from cardamomquay.usage._reporter import ReporterEventKind
from cardamomquay.usage._reporter import Send
from cardamomquay.usage._reporter import Statement
from cardamomquay.usage._reporter import Step
from cardamomquay.usage._reporter import UsageBounds
from cardamomquay.usage._reporter import UsageReporter
from cardamomquay.usage._reporter import WriteRow
from cardamomquay.usage._row import UsageRow
from cardamomquay.usage._row import token_of
from cardamomquay.usage._window_counts import SourceChanges
from cardamomquay.usage._window_counts import WindowCounts
from cardamomquay.usage._window_counts import WindowEntry

__all__ = [
    "FleetTime",
    "ReadRow",
    "ReporterEvent",
    "ReporterEventKind",
    "Send",
    "SourceChanges",
    "Statement",
    "Step",
    "UsageBounds",
    "UsageReporter",
    "UsageRow",
    "WindowCounts",
    "WindowEntry",
    "WriteRow",
    "token_of",
]
