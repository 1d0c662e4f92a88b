"""Checks the records that callers and upstreams kept of concurrent requests."""

from __future__ import annotations

from cardamomquay.history._checks import check_answer_integrity
from cardamomquay.history._checks import check_at_most_once
from cardamomquay.history._checks import check_not_run_answers
from cardamomquay.history._checks import check_rate_bound
from cardamomquay.history._records import AnswerMisdelivered
from cardamomquay.history._records import AnswerUnmatched
from cardamomquay.history._records import AnswerWithoutRun
from cardamomquay.history._records import RanDespiteNotRun
from cardamomquay.history._records import RanTwice
from cardamomquay.history._records import RateExceeded
from cardamomquay.history._records import RunRecord
from cardamomquay.history._records import SendRecord
from cardamomquay.history._records import Violation

__all__ = [
    "AnswerMisdelivered",
    "AnswerUnmatched",
    "AnswerWithoutRun",
    "RanDespiteNotRun",
    "RanTwice",
    "RateExceeded",
    "RunRecord",
    "SendRecord",
    "Violation",
    "check_answer_integrity",
    "check_at_most_once",
    "check_not_run_answers",
    "check_rate_bound",
]
