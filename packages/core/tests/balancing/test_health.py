from __future__ import annotations

import unittest

from cardamomquay.balancing import Observation
from cardamomquay.balancing import ObservedResult
from cardamomquay.balancing import PassiveHealth

GOOD = Observation(ObservedResult.ANSWERED, 0.02)
SLOW = Observation(ObservedResult.ANSWERED, 0.2)
FAILED = Observation(ObservedResult.FAILED, 0.02)
SHED = Observation(ObservedResult.SHED, 0.001)
NAMES = [f"u{i}" for i in range(12)]


def pool(bad: int = 0, observation: Observation = FAILED) -> PassiveHealth:
    health = PassiveHealth()
    health.set_upstreams(NAMES, (), 0.0)
    for name in NAMES[:bad]:
        for _ in range(3):
            health.observe(name, observation, 0.0)
    return health


class PassiveHealthTest(unittest.TestCase):
    def test_evidence_that_ejects(self) -> None:
        """Guards against sending to a failing upstream, and against false alarms."""
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
                health = pool()
                for observation in observations:
                    health.observe("u0", observation, 0.0)
                self.assertEqual(health.usable_share("u0", 0.0), share)

    def test_old_failures_fade(self) -> None:
        """Guards against ejection by failures that lie far apart."""
        health = pool()
        for i in range(6):
            health.observe("u0", FAILED, i * 4.0)
        self.assertEqual(health.usable_share("u0", 20.0), 1.0)

    def test_most_of_the_pool_bad(self) -> None:
        """Guards against a measurement fault that takes the whole pool away."""
        for bad, share in ((6, 0.0), (7, 1.0), (12, 1.0)):
            with self.subTest(bad=bad):
                health = pool(bad)
                self.assertEqual(health.usable_share("u0", 0.5), share)
                self.assertEqual(health.is_ignored(), bad > 6)

    def test_good_answers_end_the_ignoring(self) -> None:
        """Guards against health that stays switched off after the fault."""
        health = pool(7)
        for _ in range(5):
            health.observe("u0", GOOD, 1.0)
        self.assertFalse(health.is_ignored())
        self.assertEqual(health.usable_share("u0", 1.0), 1.0)
        self.assertEqual(health.usable_share("u1", 1.0), 0.0)

    def test_ramp(self) -> None:
        """Guards against full load on a cold upstream."""

        def returned(health: PassiveHealth) -> None:
            health.probe_done("u0", True, 1.0)

        def added(health: PassiveHealth) -> None:
            health.set_upstreams(NAMES[1:], (), 0.0)
            health.set_upstreams(NAMES, (), 1.0)

        def undrained(health: PassiveHealth) -> None:
            health.set_upstreams(NAMES, ["u0"], 0.0)
            health.set_upstreams(NAMES, (), 1.0)

        for start in (returned, added, undrained):
            with self.subTest(start.__name__):
                health = pool(1 if start is returned else 0)
                start(health)
                shares = [health.usable_share("u0", 1.0 + s) for s in range(6)]
                self.assertEqual(shares, [0.1, 0.2, 0.4, 0.8, 1.0, 1.0])

    def test_start_is_warm(self) -> None:
        """Guards against a restarted daemon that uses a tenth of every pool."""
        self.assertEqual(pool().usable_share("u0", 0.0), 1.0)

    def test_draining(self) -> None:
        """Guards against new work for a leaving upstream."""
        health = pool()
        health.set_upstreams(NAMES, ["u0"], 1.0)
        self.assertEqual(health.usable_share("u0", 1.0), 0.0)
        self.assertNotIn("u0", health.probes_due(99.0))

    def test_probes_only_without_traffic(self) -> None:
        """Guards against probes of upstreams that real answers judge."""
        health = pool(1)
        for name in NAMES[1:11]:
            health.observe(name, GOOD, 9.0)
        self.assertEqual(health.probes_due(10.0), ("u0", "u11"))
        health.probe_done("u0", False, 10.0)
        self.assertEqual(health.probes_due(10.5), ("u11",))

    def test_health_endpoint_lies(self) -> None:
        """Guards against trust in a health endpoint that reports wrong values."""
        health = pool(1)
        health.probe_done("u0", True, 0.5)
        self.assertEqual(health.usable_share("u0", 0.5), 0.0, "ejected for too short")
        now_s = 0.0
        for wait_s in (1.0, 2.0, 4.0):
            now_s += wait_s
            health.probe_done("u0", True, now_s)
            self.assertEqual(health.usable_share("u0", now_s), 0.1)
            for _ in range(3):
                health.observe("u0", FAILED, now_s)
        health.probe_done("u0", True, now_s + 7.9)
        self.assertEqual(health.usable_share("u0", now_s + 7.9), 0.0)
        for second in range(16):
            health.probe_done("u0", False, now_s + second)
        self.assertEqual(health.usable_share("u0", now_s + 16.0), 0.1)

    def test_bad_probe_never_outvotes_traffic(self) -> None:
        """Guards against ejection by an endpoint that lags behind good answers."""
        health = pool()
        for second in range(20):
            health.observe("u0", GOOD, float(second))
            health.probe_done("u0", False, float(second))
        self.assertEqual(health.usable_share("u0", 20.0), 1.0)

    def test_silent_idle_upstream_is_ejected_by_probes(self) -> None:
        """Guards against a dead upstream that is found by requests only."""
        health = pool()
        for second in range(3, 8):
            health.probe_done("u0", False, float(second))
        self.assertEqual(health.usable_share("u0", 7.0), 0.0)

    def test_order(self) -> None:
        """Guards against a preference for slow, failing or shedding upstreams."""
        health = pool()
        for _ in range(10):
            for name, observation in zip(NAMES, (GOOD, SLOW, GOOD, GOOD), strict=False):
                health.observe(name, observation, 0.0)
        health.observe("u2", FAILED, 0.0)
        for _ in range(9):
            health.observe("u3", SHED, 0.0)
        ordered = sorted(NAMES[:4], key=lambda name: health.cost_s(name, 0.0))
        self.assertEqual(ordered, ["u0", "u2", "u3", "u1"])


if __name__ == "__main__":
    unittest.main()
