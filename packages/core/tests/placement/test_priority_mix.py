"""Load pattern: a service with one route, and a few requests of further routes."""

from __future__ import annotations

import unittest

from cardamomquay.placement import PriorityMix


class PriorityMixTest(unittest.TestCase):
    """Guards against early refusals where priorities do not compete."""

    def mix(self, every: int) -> bool:
        mix = PriorityMix()
        for number in range(300):
            mix.record("s", 0 if number % every == 0 else 2)
        mix.record("other", 1)
        self.assertFalse(mix.is_competing("other"))
        return mix.is_competing("s")

    def test_few_requests_of_another_priority_do_not_compete(self) -> None:
        self.assertFalse(self.mix(30))

    def test_frequent_requests_of_two_priorities_compete(self) -> None:
        self.assertTrue(self.mix(3))

    def test_a_service_without_requests_has_no_competition(self) -> None:
        self.assertFalse(PriorityMix().is_competing("s"))
