"""Load pattern: the work on cold objects alone exceeds all slots.

Twelve upstreams in uneven regions serve 72 objects. Warm, the requests take half of
the slots; cold, nearly twice as many as there are.
"""

from __future__ import annotations

import unittest

from cardamomquay_dev.lab.load_model import LoadModel
from cardamomquay_dev.lab.load_model import PlacementPolicy
from cardamomquay_dev.lab.load_model import RandomPolicy
from cardamomquay_dev.lab.load_model import uneven_regions

ZONES = ["a", "a", "a", "b", "b", "b", "c", "c"]
PER_S = 70.0
OBJECTS = 24
# Targets: nearly all requests in their objective when warm, and again within 8 s of a
# start or of the loss of half of the upstreams.
WARM_TARGET = 0.9
RECOVERY_S = 8.0


class ColdStormTest(unittest.TestCase):
    """Guards against slots that stay taken by cold work which ends at its timeout."""

    def test_a_cold_start_is_over_within_seconds(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                model = LoadModel(PlacementPolicy(ZONES), ZONES, uneven_regions(), seed)
                model.offer(0.0, 20.0, PER_S, OBJECTS)
                model.run()
                share = model.in_objective(RECOVERY_S, 20.0)
                self.assertGreaterEqual(share, WARM_TARGET)

    def test_the_loss_of_a_region_is_over_within_seconds(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                model = LoadModel(PlacementPolicy(ZONES), ZONES, uneven_regions(), seed)
                model.offer(0.0, 30.0, 0.8 * PER_S, OBJECTS)
                model.lose(12.0, "b")
                model.run()
                share = model.in_objective(12.0 + RECOVERY_S, 30.0)
                self.assertGreaterEqual(share, WARM_TARGET)

    def test_random_choice_does_worse(self) -> None:
        shares = []
        for policy in (RandomPolicy(1), PlacementPolicy(ZONES)):
            model = LoadModel(policy, ZONES, uneven_regions(), 1)
            model.offer(0.0, 20.0, PER_S, OBJECTS)
            model.run()
            shares.append(model.in_objective(0.0, 20.0))
        self.assertLess(shares[0], shares[1])
