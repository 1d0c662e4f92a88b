"""Tagged outcomes: refusals, retry reasons and findings."""

from __future__ import annotations

from cardamomquay.outcomes._findings import Finding
from cardamomquay.outcomes._findings import format_findings
from cardamomquay.outcomes._refusals import REFUSAL_FACTS
from cardamomquay.outcomes._refusals import Refusal
from cardamomquay.outcomes._refusals import RefusalFacts
from cardamomquay.outcomes._refusals import RefusalReason
from cardamomquay.outcomes._refusals import RetryReason

__all__ = [
    "REFUSAL_FACTS",
    "Finding",
    "Refusal",
    "RefusalFacts",
    "RefusalReason",
    "RetryReason",
    "format_findings",
]
