"""Load pattern: other work on the upstreams' machines slows them for half a second.

Upstreams report a time factor that changes many times a second.
"""

from __future__ import annotations

import unittest

from cardamomquay.placement import LoadReport
from cardamomquay.placement import UpstreamRecord


class TimeFactorTest(unittest.TestCase):
    """Guards against requests sent to machines that were slowed a moment ago."""

    def setUp(self) -> None:
        self.slow = UpstreamRecord(slots=3)
        self.unknown = UpstreamRecord(slots=3, service_load=self.slow.service_load)

    def report(self, time_factor: float | None, now_s: float) -> None:
        self.slow.record_load_report(LoadReport(1, 0, 3, time_factor), now_s)

    def test_a_report_counts_at_once_and_loses_weight(self) -> None:
        self.report(2.5, 0.0)
        self.assertAlmostEqual(self.slow.work_factor(0.0), 2.5)
        self.assertLess(self.slow.work_factor(0.5), 2.0)
        self.assertLess(self.slow.work_factor(3.0), 1.1)

    def test_without_a_recent_report_the_mean_of_the_service_counts(self) -> None:
        for number in range(600):
            self.report(2.5 if number % 6 == 0 else 1.0, number * 0.1)
        self.assertAlmostEqual(self.unknown.work_factor(60.0), 1.25, delta=0.1)

    def test_upstreams_that_report_none_keep_their_times(self) -> None:
        self.report(None, 0.0)
        self.assertEqual(self.slow.work_factor(0.0), 1.0)

    def test_a_wrong_report_is_bounded(self) -> None:
        self.report(9_999_999.0, 0.0)
        self.assertLessEqual(self.slow.work_factor(0.0), 20.0)
