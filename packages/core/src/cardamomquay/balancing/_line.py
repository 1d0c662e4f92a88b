"""What a host knows of one lender: its grants and the calls to it."""

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
class LenderLine:
    """Calls to one lender, and what its newest grant allows."""

    sequence: int = 0
    called_at_s: float = float("-inf")
    outstanding: bool = False
    # A lender that did not answer gets no share of the demand until it does.
    answers: bool = True
    told_demand: int = 0
    told_wanted: int = 0
    keep: int = 0
    valid_until_s: float = float("-inf")
    stopped: frozenset[str] = frozenset()
    contended: bool = False
    spare_connections: int = 0
    reports: dict[str, UpstreamReport] = field(default_factory=dict)

    def start_call(self, demand: int, wanted: int, now_s: float) -> None:
        """Note a call to the lender."""
        self.sequence += 1
        self.reports.clear()
        self.called_at_s = now_s
        self.told_demand = demand
        self.told_wanted = wanted
        self.outstanding = True

    def apply(self, grant: SlotGrant) -> None:
        """Apply all of a grant but its slots."""
        self.keep = grant.keep
        self.stopped = frozenset(grant.stopped)
        self.contended = grant.contended
        self.spare_connections = grant.spare_connections
        # Dated from the start of the call: the lender dates it from a later time.
        self.valid_until_s = self.called_at_s + grant.valid_s

    def report(self, name: str, observation: Observation) -> None:
        """Add an observation to the next call."""
        result = observation.result
        old = self.reports.get(name, UpstreamReport(name))
        if result is ObservedResult.ANSWERED:
            old = replace(
                old,
                answered=old.answered + 1,
                latency_sum_s=old.latency_sum_s + observation.latency_s,
            )
        elif result is ObservedResult.SHED:
            old = replace(old, shed=old.shed + 1)
        elif result in FAILED_RESULTS:
            old = replace(old, failed=old.failed + 1)
        self.reports[name] = old
