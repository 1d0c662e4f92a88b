"""Per-organisation rate limits and fair queueing of requests."""

from __future__ import annotations

from cardamomquay.admission._admission import Admission
from cardamomquay.admission._admission import Admitted
from cardamomquay.admission._admission import StaticSplitAdmission
from cardamomquay.admission._admission import TokenBucket
from cardamomquay.admission._fair_queue import FairQueue
from cardamomquay.admission._fair_queue import Ticket

__all__ = [
    "Admission",
    "Admitted",
    "FairQueue",
    "StaticSplitAdmission",
    "Ticket",
    "TokenBucket",
]
