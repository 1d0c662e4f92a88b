from __future__ import annotations

import unittest

from cardamomquay.balancing import Observation
from cardamomquay.balancing import ObservedResult
from cardamomquay.balancing import PoolHealth

GOOD = Observation(ObservedResult.ANSWERED, 0.02)
SLOW = Observation(ObservedResult.ANSWERED, 0.2)
FAILED = Observation(ObservedResult.FAILED, 0.02)
SHED = Observation(ObservedResult.SHED, 0.001)
NAMES = [f"u{i}" for i in range(12)]


def new_health(failing: int = 0, observation: Observation = FAILED) -> PoolHealth:
    health = PoolHealth()
    health.set_upstreams(NAMES, (), 0.0)
    for name in NAMES[:failing]:
        for _ in range(3):
            health.record_observation(name, observation, 0.0)
    return health


class PoolHealthTest(unittest.TestCase):
    def test_results_that_eject(self) -> None:
        """Guards against using a failing upstream, and against needless ejection."""
        cases = {
            "one failure": ([FAILED], 1.0),
            "three failures": ([FAILED] * 3, 0.0),
            "a failure in four": ([GOOD, GOOD, GOOD, FAILED], 1.0),
            "half fail": ([GOOD, GOOD, FAILED, FAILED], 0.0),
            "load shedding": ([SHED] * 20, 1.0),
            "slow": ([SLOW] * 20, 1.0),
            "not sent": ([Observation(ObservedResult.NOT_SENT, 0.0)] * 9, 1.0),
            "no connection": ([Observation(ObservedResult.UNREACHABLE, 0.0)] * 3, 0.0),
        }
        for name, (observations, share) in cases.items():
            with self.subTest(name):
                health = new_health()
                for observation in observations:
                    health.record_observation("u0", observation, 0.0)
                self.assertEqual(health.usable_share("u0", 0.0), share)

    def test_old_failures_decay(self) -> None:
        """Guards against ejection because of single failures far apart in time."""
        health = new_health()
        for i in range(6):
            health.record_observation("u0", FAILED, i * 4.0)
        self.assertEqual(health.usable_share("u0", 20.0), 1.0)

    def test_most_of_the_pool_fails(self) -> None:
        """Guards against a measurement fault that ejects the whole pool."""
        for failing, share in ((6, 0.0), (7, 1.0), (12, 1.0)):
            with self.subTest(failing=failing):
                health = new_health(failing)
                self.assertEqual(health.usable_share("u0", 0.5), share)
                self.assertEqual(health.is_ignored(), failing > 6)

    def test_removed_upstreams_are_not_counted(self) -> None:
        """Guards against health that stays ignored because of removed upstreams."""
        health = new_health(7)
        health.set_upstreams(NAMES[3:], (), 0.0)
        self.assertFalse(health.is_ignored())
        self.assertEqual(health.usable_share("u3", 0.5), 0.0)
        health.record_probe("u3", True, 1.0)
        health.set_upstreams(NAMES[4:7], (), 1.0)
        self.assertTrue(health.is_ignored())

    def test_readmitted_upstreams_are_not_counted(self) -> None:
        """Guards against health that is ignored because of readmitted upstreams."""
        health = new_health(6)
        health.record_probe("u0", True, 1.0)
        for _ in range(3):
            health.record_observation("u6", FAILED, 1.0)
        self.assertFalse(health.is_ignored())
        self.assertEqual(health.usable_share("u6", 1.0), 0.0)

    def test_successes_end_the_ignoring(self) -> None:
        """Guards against health that stays ignored after the fault has ended."""
        health = new_health(7)
        for _ in range(5):
            health.record_observation("u0", GOOD, 1.0)
        self.assertFalse(health.is_ignored())
        self.assertEqual(health.usable_share("u0", 1.0), 1.0)
        self.assertEqual(health.usable_share("u1", 1.0), 0.0)

    def test_ramp(self) -> None:
        """Guards against full load on an upstream that has just become usable."""

        def readmitted(health: PoolHealth) -> None:
            health.record_probe("u0", True, 1.0)

        def added(health: PoolHealth) -> None:
            health.set_upstreams(NAMES[1:], (), 0.0)
            health.set_upstreams(NAMES, (), 1.0)

        def undrained(health: PoolHealth) -> None:
            health.set_upstreams(NAMES, ["u0"], 0.0)
            health.set_upstreams(NAMES, (), 1.0)

        for start in (readmitted, added, undrained):
            with self.subTest(start.__name__):
                health = new_health(1 if start is readmitted else 0)
                start(health)
                shares = [health.usable_share("u0", 1.0 + s) for s in range(6)]
                self.assertEqual(shares, [0.1, 0.2, 0.4, 0.8, 1.0, 1.0])

    def test_no_ramp_at_start(self) -> None:
        """Guards against a restarted daemon that uses only a tenth of every pool."""
        self.assertEqual(new_health().usable_share("u0", 0.0), 1.0)

    def test_draining(self) -> None:
        """Guards against new requests to a draining upstream."""
        health = new_health()
        health.set_upstreams(NAMES, ["u0"], 1.0)
        self.assertEqual(health.usable_share("u0", 1.0), 0.0)
        self.assertNotIn("u0", health.probes_due(99.0))

    def test_probes_only_without_traffic(self) -> None:
        """Guards against probes of upstreams whose health is known from requests."""
        health = new_health(1)
        for name in NAMES[1:11]:
            health.record_observation(name, GOOD, 9.0)
        self.assertEqual(health.probes_due(10.0), ("u0", "u11"))
        health.record_probe("u0", False, 10.0)
        self.assertEqual(health.probes_due(10.5), ("u11",))

    def test_wrong_health_endpoint(self) -> None:
        """Guards against a health endpoint that reports wrong values.

        A successful probe must not shorten an ejection, and failing probes must not
        prolong it for ever.
        """
        health = new_health(1)
        health.record_probe("u0", True, 0.5)
        self.assertEqual(
            health.usable_share("u0", 0.5), 0.0, "the ejection is not over"
        )
        now_s = 0.0
        for wait_s in (1.0, 2.0, 4.0):
            now_s += wait_s
            health.record_probe("u0", True, now_s)
            self.assertEqual(health.usable_share("u0", now_s), 0.1)
            for _ in range(3):
                health.record_observation("u0", FAILED, now_s)
        health.record_probe("u0", True, now_s + 7.9)
        self.assertEqual(health.usable_share("u0", now_s + 7.9), 0.0)
        for second in range(16):
            health.record_probe("u0", False, now_s + second)
        self.assertEqual(health.usable_share("u0", now_s + 16.0), 0.1)

    def test_failed_probe_does_not_outweigh_requests(self) -> None:
        """Guards against ejection by failing probes while requests succeed."""
        health = new_health()
        for second in range(20):
            health.record_observation("u0", GOOD, float(second))
            health.record_probe("u0", False, float(second))
        self.assertEqual(health.usable_share("u0", 20.0), 1.0)

    def test_idle_upstream_is_ejected_by_probes(self) -> None:
        """Guards against a dead idle upstream that only failing requests reveal."""
        health = new_health()
        for second in range(3, 8):
            health.record_probe("u0", False, float(second))
        self.assertEqual(health.usable_share("u0", 7.0), 0.0)

    def test_order_by_cost(self) -> None:
        """Guards against preferring slow, failing or shedding upstreams."""
        health = new_health()
        for _ in range(10):
            for name, observation in zip(NAMES, (GOOD, SLOW, GOOD, GOOD), strict=False):
                health.record_observation(name, observation, 0.0)
        health.record_observation("u2", FAILED, 0.0)
        for _ in range(9):
            health.record_observation("u3", SHED, 0.0)
        ordered = sorted(NAMES[:4], key=lambda name: health.cost_s(name, 0.0))
        self.assertEqual(ordered, ["u0", "u2", "u3", "u1"])


if __name__ == "__main__":
    unittest.main()
