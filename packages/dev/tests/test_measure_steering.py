from __future__ import annotations

import unittest

from cardamomquay_dev.measure_steering import measure_steering


class MeasureSteeringTest(unittest.TestCase):
    def test_only_shared_budgets_keep_to_the_capacity(self) -> None:
        """Guards guarantee G2: no overload when a region is lost during a drain."""
        results = measure_steering(1)
        for design in ("shared", "shared_lenders_kept"):
            with self.subTest(design):
                self.assertLessEqual(results[design]["worst_region"], 1.0)
                self.assertLessEqual(results[design]["worst_link"], 1.0)
                static = results["static_split"]["served"]
                self.assertGreater(results[design]["served"], 1.5 * static)
                # The share may grow by 0.1 per second, but hosts count whole requests,
                # about 60 per second.
                self.assertLessEqual(results[design]["largest_step"], 0.2)
        # Without budgets the same faults overload a region and a link.
        self.assertGreater(results["no_budgets"]["worst_region"], 1.0)
        self.assertGreater(results["no_budgets"]["worst_link"], 1.0)
        self.assertEqual(results, measure_steering(1))
