"""State that a borrower of slots keeps for each lender."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from cardamomquay.balancing._chooser import ObservedResult
from cardamomquay.balancing._health import FAILED_RESULTS
from cardamomquay.balancing._health import UpstreamReport

if TYPE_CHECKING:
    from cardamomquay.balancing._chooser import Observation
    from cardamomquay.balancing._messages import SlotGrant


@dataclass(slots=True, eq=False)
class LenderSession:
    """The calls to one lender, and the terms of its newest grant."""

    sequence: int = 0
    called_at_s: float = float("-inf")
    awaits_reply: bool = False
    # Demand is divided only among the lenders that answered their last call.
    is_responding: bool = True
    reported_demand: int = 0
    reported_wanted: int = 0
    keep: int = 0
    valid_until_s: float = float("-inf")
    stopped: frozenset[str] = frozenset()
    contended: bool = False
    spare_connections: int = 0
    reports: dict[str, UpstreamReport] = field(default_factory=dict)

    def start_call(self, demand: int, wanted: int, now_s: float) -> None:
        """Record that a call to the lender starts."""
        self.sequence += 1
        self.reports.clear()
        self.called_at_s = now_s
        self.reported_demand = demand
        self.reported_wanted = wanted
        self.awaits_reply = True

    def apply_grant(self, grant: SlotGrant) -> None:
        """Apply a grant except for its slots, which the caller applies."""
        self.keep = grant.keep
        self.stopped = frozenset(grant.stopped)
        self.contended = grant.contended
        self.spare_connections = grant.spare_connections
        # Counted from the start of the call. The lender counts from the later time at
        # which it received the request, so the grant ends here first.
        self.valid_until_s = self.called_at_s + grant.valid_s

    def record_observation(self, name: str, observation: Observation) -> None:
        """Add an observation to the reports of the next call."""
        result = observation.result
        report = self.reports.get(name, UpstreamReport(name))
        if result is ObservedResult.ANSWERED:
            report = replace(
                report,
                answered=report.answered + 1,
                latency_sum_s=report.latency_sum_s + observation.latency_s,
            )
        elif result is ObservedResult.SHED:
            report = replace(report, shed=report.shed + 1)
        elif result in FAILED_RESULTS:
            report = replace(report, failed=report.failed + 1)
        self.reports[name] = report
