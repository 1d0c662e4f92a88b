"""Load pattern: many hosts share few upstreams, so load reports are out of date.

Sixteen hosts share twelve upstreams, and the load doubles for eight seconds. A host
gets a report of an upstream's queue less than once a second, in which time the upstream
finishes several requests in each slot.
"""

from __future__ import annotations

import random
import unittest
from statistics import fmean

from cardamomquay.placement import LoadReport
from cardamomquay.placement import OverloadControl
from cardamomquay.placement import UpstreamRecord
from cardamomquay_dev.lab.load_model import OBJECTIVE_S
from cardamomquay_dev.lab.load_model import LoadModel
from cardamomquay_dev.lab.load_model import PlacementPolicy
from cardamomquay_dev.lab.load_model import Server
from cardamomquay_dev.lab.load_model import ServerRequest
from cardamomquay_dev.lab.load_model import uneven_regions

HOST_ZONES = 2 * ["a", "a", "a", "b", "b", "b", "c", "c"]
OBJECTS_PER_ZONE = 24


class WarmLatencyModel(LoadModel):
    """Records the latency of answers for objects that were warm."""

    took_s: list[float]

    def _end(
        self, server: Server, request: ServerRequest, answered_s: float | None
    ) -> None:
        candidate = request.candidate
        if answered_s is not None and candidate is not None and candidate.is_warm:
            self.took_s.append(answered_s - request.sent_s)
        super()._end(server, request, answered_s)


class StaleLoadTest(unittest.TestCase):
    """Guards against requests sent to queues that an old report shows as short."""

    def test_warm_answers_meet_the_objective_on_average(self) -> None:
        for seed in range(2):
            with self.subTest(seed=seed):
                overload_control = OverloadControl(random.Random(seed))
                model = WarmLatencyModel(
                    PlacementPolicy(HOST_ZONES),
                    HOST_ZONES,
                    uneven_regions(),
                    seed,
                    overload_control,
                )
                model.took_s = []
                model.offer(0.0, 24.0, 74.0, OBJECTS_PER_ZONE)
                model.offer(10.0, 18.0, 74.0, OBJECTS_PER_ZONE)
                model.run()
                self.assertLess(fmean(model.took_s), OBJECTIVE_S)


class ReportedLoadTest(unittest.TestCase):
    """Guards against old reports by which upstreams count as idle or full."""

    def setUp(self) -> None:
        self.busy = UpstreamRecord(slots=3)
        self.quiet = UpstreamRecord(slots=3, service_load=self.busy.service_load)

    def test_an_old_report_decays_to_the_load_of_the_service(self) -> None:
        for number in range(40):
            self.busy.record_load_report(LoadReport(3, 3, 3), number * 0.05)
        self.quiet.record_load_report(LoadReport(0, 0, 3), 2.0)
        self.assertLess(self.quiet.estimated_load(2.01), 0.5)
        self.assertGreater(self.quiet.estimated_load(3.0), 3.0)
        self.assertLess(self.quiet.estimated_load(3.0), self.busy.estimated_load(3.0))

    def test_without_reports_the_service_counts_as_idle(self) -> None:
        self.assertEqual(self.quiet.estimated_load(1.0), 0.0)
        self.busy.record_load_report(LoadReport(3, 9, 3), 1.0)
        self.assertAlmostEqual(self.quiet.estimated_load(20.0), 0.0, delta=0.1)

    def test_one_report_says_little_about_other_upstreams(self) -> None:
        self.busy.record_load_report(LoadReport(3, 9, 3), 1.0)
        self.assertLessEqual(self.quiet.estimated_load(1.0), 3.0)
