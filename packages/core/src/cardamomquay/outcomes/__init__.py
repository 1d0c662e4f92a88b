"""Refusals of requests, reasons for retries, and validation findings."""

from __future__ import annotations

from cardamomquay.outcomes._findings import Finding
from cardamomquay.outcomes._findings import format_findings
from cardamomquay.outcomes._meanings import REFUSAL_MEANINGS
from cardamomquay.outcomes._meanings import RETRY_MEANINGS
from cardamomquay.outcomes._refusals import REFUSAL_PROPERTIES
from cardamomquay.outcomes._refusals import Refusal
from cardamomquay.outcomes._refusals import RefusalProperties
from cardamomquay.outcomes._refusals import RefusalReason
from cardamomquay.outcomes._refusals import RetryReason

__all__ = [
    "REFUSAL_PROPERTIES",
    "REFUSAL_MEANINGS",
    "RETRY_MEANINGS",
    "Finding",
    "Refusal",
    "RefusalProperties",
    "RefusalReason",
    "RetryReason",
    "format_findings",
]
