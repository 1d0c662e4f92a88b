"""Load pattern: a host's requests to a scarce region, and the end of its others."""

from __future__ import annotations

import unittest
from random import Random

from cardamomquay.regional_capacity import ShiftLimit

MAX_SHIFT = 0.15
WEST = 1
EAST = 2
# Distribution of the requests of all callers of the region.
RUNS = {WEST: 40, EAST: 160}
STEP_S = 0.01


class ShiftLimitTest(unittest.TestCase):
    """Guards against a limit that stops a host's usual requests, or none."""

    def setUp(self) -> None:
        self.now_s = 100.0
        self.rng = Random(3)
        self.limit = ShiftLimit(MAX_SHIFT, self.now_s)

    def run_load(
        self, seconds: float, here_per_s: float, elsewhere_per_s: float
    ) -> tuple[int, int]:
        """Return the numbers of bound requests that were sent and offered."""
        sent = offered = 0
        for _ in range(int(seconds / STEP_S)):
            self.now_s += STEP_S
            self.limit.update_reference(WEST, RUNS, self.now_s)
            if self.rng.random() < elsewhere_per_s * STEP_S:
                self.limit.record_elsewhere(self.now_s)
            if self.rng.random() < here_per_s * STEP_S:
                offered += 1
                self.limit.record_offered(1.0, self.now_s)
                if self.limit.permits(self.now_s):
                    sent += 1
                    self.limit.record_here()
        return sent, offered

    def test_the_usual_share_is_sent(self) -> None:
        sent, offered = self.run_load(30.0, 4.0, 16.0)
        self.assertGreater(sent, 0.9 * offered)

    def test_almost_nothing_is_sent_after_the_end_of_other_requests(self) -> None:
        self.run_load(10.0, 4.0, 16.0)
        self.run_load(0.5, 0.0, 0.0)
        sent, offered = self.run_load(3.0, 10.0, 0.0)
        self.assertGreater(offered, 20)
        self.assertLessEqual(sent, 1)

    def test_a_host_whose_callers_are_mostly_bound_ones_goes_on(self) -> None:
        for elsewhere_per_s in (0.0, 1.0, 2.0):
            with self.subTest(elsewhere_per_s=elsewhere_per_s):
                self.setUp()
                sent, offered = self.run_load(20.0, 5.0, elsewhere_per_s)
                # Single requests elsewhere arrive irregularly.
                self.assertGreater(sent, 0.6 * offered)

    def test_the_limit_ends_without_a_distribution(self) -> None:
        self.run_load(10.0, 4.0, 16.0)
        self.now_s += 6.1
        self.assertEqual(self.limit.share_max(self.now_s), 1.0)


if __name__ == "__main__":
    unittest.main()
