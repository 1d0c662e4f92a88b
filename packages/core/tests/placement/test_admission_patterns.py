"""Load patterns: waves through regions, a burst of one route, a retry storm, cold load.

They are defined and described in `cardamomquay_dev.lab.admission`.
"""

from __future__ import annotations

import unittest

from cardamomquay.placement import OverloadControl
from cardamomquay.placement import ValueAdmission
from cardamomquay_dev.lab.admission import PATTERNS
from cardamomquay_dev.lab.admission import simulate

# Load patterns in which more requests are asked for than can be answered in time, with
# the factor by which the value of answers in time must exceed that of the present rule.
# Half of the gain that was measured is required, since results differ with the seed.
OVERLOADS = {"waves": 1.25, "route burst": 1.25, "retry storm": 1.25}


class AdmissionPatternsTest(unittest.TestCase):
    """Guards against admission that serves callers worse than the present rule."""

    def test_more_value_in_time_and_less_slot_time_thrown_away(self) -> None:
        for name, gain in OVERLOADS.items():
            with self.subTest(name):
                before = simulate(PATTERNS[name], OverloadControl, range(2))
                after = simulate(PATTERNS[name], ValueAdmission, range(2))
                self.assertGreater(after.value, gain * before.value)
                self.assertLess(after.discarded, before.discarded)

    def test_no_route_starves_or_is_served_more_than_a_more_urgent_one(self) -> None:
        for name, pattern in PATTERNS.items():
            with self.subTest(name):
                result = simulate(pattern, ValueAdmission, range(2))
                served = result.answered
                for urgent, other in ((0, 1), (1, 2), (0, 2)):
                    self.assertGreaterEqual(served[urgent], served[other] - 0.05)
                    self.assertGreaterEqual(
                        result.in_time[urgent], result.in_time[other] - 0.15
                    )
                mean = sum(served.values()) / len(served)
                self.assertGreater(min(served.values()), mean / 4)

    def test_no_loss_while_a_burst_spreads_objects_or_all_are_cold(self) -> None:
        for name in ("cold 1.04", "cold 1.25", "spreading 1.04", "spreading 1.25"):
            with self.subTest(name):
                before = simulate(PATTERNS[name], OverloadControl, range(2))
                after = simulate(PATTERNS[name], ValueAdmission, range(2))
                self.assertGreater(after.value, before.value - 0.02)
                self.assertLess(after.discarded, before.discarded + 0.01)
