from __future__ import annotations

import unittest

from cardamomquay_dev import measure_balancing as measure


class MeasureBalancingTest(unittest.TestCase):
    def test_slot_lending_does_not_exceed_the_slots(self) -> None:
        """Guards against exceeded slots or connections when hosts join and are lost."""
        result = measure.run_policy("slot_lending", seed=3, load=0.6)
        self.assertEqual(result["requests_above_slots"], 0)
        self.assertLessEqual(result["peak_connections"], 330)
        self.assertLess(result["shed_by_host"], 0.01 * result["requests"])

    def test_same_seed_same_figures(self) -> None:
        """Guards against results that depend on hash order or the wall clock."""
        first, second = (
            measure.run_policy("rotating_subsets", seed=4, load=0.4, duration_s=3.0)
            for _ in range(2)
        )
        self.assertEqual(first, second)


if __name__ == "__main__":
    unittest.main()
