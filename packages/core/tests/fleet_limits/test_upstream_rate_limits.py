"""Load pattern: hundreds of hosts know of an upstream that names a small limit."""

from __future__ import annotations

import math
import unittest

from cardamomquay.fleet_limits import RateLimitObservation
from cardamomquay.fleet_limits import SharingHost
from cardamomquay.fleet_limits import UpstreamRateLimits

NAMES = tuple(f"h{number}" for number in range(60))
LIMIT_PER_S = 2.0
REGION = "A"


def hosts(
    silent: tuple[str, ...] = (), near: tuple[str, ...] = ()
) -> list[SharingHost]:
    return [
        SharingHost(name, REGION if name in near else "B", name not in silent)
        for name in NAMES
    ]


def rates_per_s(sharing: list[SharingHost], seconds: float = 40.0) -> dict[str, float]:
    """Return the requests a second of hosts that send whenever they may."""
    rates = {}
    for name in NAMES:
        limits = UpstreamRateLimits(name)
        count = 0
        for step in range(int(seconds * 10)):
            now_s = step / 10.0
            if step % 100 == 0:
                limits.record_answer("i", LIMIT_PER_S, now_s)
            if limits.wait_s("i", REGION, lambda: sharing, now_s) <= 0.0:
                limits.record_sent("i")
                count += 1
        rates[name] = count / seconds
    return rates


class SharesTest(unittest.TestCase):
    """Guards against shares that exceed the limit together, or leave it unused."""

    def users(self, rates: dict[str, float]) -> tuple[str, ...]:
        return tuple(name for name, rate in rates.items() if rate > 0.0)

    def test_the_shares_of_all_hosts_are_the_limit(self) -> None:
        total = sum(rates_per_s(hosts()).values())
        self.assertLessEqual(total, LIMIT_PER_S)
        self.assertGreater(total, 0.8 * LIMIT_PER_S)

    def test_hosts_near_the_upstream_use_it_first(self) -> None:
        near = NAMES[20:40]
        users = self.users(rates_per_s(hosts(near=near)))
        self.assertTrue(users)
        self.assertLessEqual(set(users), set(near))

    def test_stand_ins_for_silent_hosts_use_half_of_their_shares(self) -> None:
        before = self.users(rates_per_s(hosts()))
        rates = rates_per_s(hosts(silent=before), 80.0)
        stand_ins = {n: r for n, r in rates.items() if n not in before}
        total = sum(stand_ins.values())
        self.assertGreater(total, 0.4 * LIMIT_PER_S)
        self.assertLessEqual(total, 0.5 * LIMIT_PER_S)

    def test_a_host_that_is_leaving_has_no_share(self) -> None:
        limits = UpstreamRateLimits("leaving")
        limits.record_answer("i", LIMIT_PER_S, 0.0)
        self.assertEqual(limits.wait_s("i", REGION, hosts, 1.0), math.inf)


class ObservationsTest(unittest.TestCase):
    """Guards against older observations that replace newer ones."""

    def setUp(self) -> None:
        self.limits = UpstreamRateLimits("h0")

    def report(self, per_s: float | None, observed_s: float, now_s: float) -> bool:
        observation = RateLimitObservation("i", per_s, observed_s)
        return self.limits.apply_report(observation, now_s)

    def test_an_answer_outranks_earlier_reports(self) -> None:
        self.limits.record_answer("i", 2.0, 10.0)
        self.assertFalse(self.report(None, 9.9, 10.2))
        # A report that seems later than the answer only for its delay.
        self.assertFalse(self.report(None, 10.2, 10.2))
        self.assertEqual(self.limits.limit_per_s("i"), 2.0)

    def test_a_later_report_replaces_an_answer(self) -> None:
        self.limits.record_answer("i", 2.0, 10.0)
        self.assertTrue(self.report(1.0, 11.0, 11.1))
        self.assertTrue(self.report(None, 12.0, 12.1))
        self.assertIsNone(self.limits.limit_per_s("i"))

    def test_a_late_report_does_not_restore_a_limit_that_ended(self) -> None:
        self.limits.record_answer("i", 2.0, 10.0)
        self.limits.record_answer("i", None, 11.0)
        self.assertFalse(self.report(2.0, 10.5, 12.0))
        self.assertIsNone(self.limits.limit_per_s("i"))

    def test_an_observation_beyond_its_time_is_not_applied(self) -> None:
        self.assertFalse(self.report(2.0, 10.0, 40.0))
        self.assertNotIn("i", self.limits)

    def test_an_observation_ahead_of_the_clock_counts_as_of_now(self) -> None:
        self.report(2.0, 99.0, 10.0)
        self.assertTrue(self.limits.record_answer("i", None, 10.1))
        self.assertIsNone(self.limits.limit_per_s("i"))

    def test_a_report_that_was_long_on_the_way_counts_as_older(self) -> None:
        # It left 0.6 s ago, 0.1 s after the answer.
        observation = RateLimitObservation("i", 2.0, 9.9)
        self.limits.apply_report(observation, 10.0, delay_max_s=0.6)
        self.assertTrue(self.report(None, 9.7, 10.0))
        self.assertIsNone(self.limits.limit_per_s("i"))

    def test_the_end_of_an_unknown_limit_is_not_kept(self) -> None:
        self.assertFalse(self.report(None, 10.0, 10.0))
        self.assertFalse(self.limits.record_answer("i", None, 10.0))
        self.assertEqual(len(self.limits), 0)

    def test_a_limit_without_change_is_reported_again(self) -> None:
        reported = 0
        for step in range(100):
            self.limits.record_answer("i", 2.0, step / 10.0)
            reported += bool(self.limits.due_for_report(step / 10.0))
        self.assertGreater(reported, 40)
        self.assertLess(reported, 80)
