"""Load pattern: an organisation may run only in a region with a tenth of the upstreams.

33 hosts of three regions. Requests that may run anywhere need 0.38 of all upstreams.
From second 6 on, the organisation sends four times what its region can run. Callers
retry once, 0.25 to 0.6 s after a rejection. All traffic ends in second 30.
"""

from __future__ import annotations

import unittest

from regional_capacity.regional_fleet import RATE_PER_UPSTREAM
from regional_capacity.regional_fleet import REGIONS
from regional_capacity.regional_fleet import SERVICE
from regional_capacity.regional_fleet import UPSTREAMS
from regional_capacity.regional_fleet import WINDOW_S
from regional_capacity.regional_fleet import RegionalFleet

# Of the bound region, in requests per second.
CAPACITY_PER_S = UPSTREAMS["west"] * RATE_PER_UPSTREAM
FLEXIBLE_PER_S = 150.0
BEGIN_S = 6.0
END_S = 30.0
# Windows between the time when hosts know of the scarcity and the end of the traffic,
# and those before the end in which it has settled.
SCARCE_WINDOWS = range(4, 15)
SETTLED_WINDOWS = range(9, 15)
MAX_SHIFT = 0.15


def flexible_per_s(elapsed_s: float) -> float:
    return FLEXIBLE_PER_S if elapsed_s < END_S else 0.0


def bound_per_s(elapsed_s: float) -> float:
    if elapsed_s >= END_S:
        return 0.0
    return (4.0 if elapsed_s >= BEGIN_S else 0.25) * CAPACITY_PER_S


def run_fleet(
    *, max_shift: float = MAX_SHIFT, loss_share: float = 0.0, seed: int = 1
) -> RegionalFleet:
    # With four times the rates and upstreams, the shares of two windows with the same
    # traffic differ by 0.03 to 0.06.
    fleet = RegionalFleet(
        flexible_per_s, bound_per_s, loss_share, max_shift, seed, scale=4
    )
    fleet.run(END_S + 6.0)
    return fleet


def ran_in_west(fleet: RegionalFleet, window: int) -> int:
    return sum(
        fleet.total("ran west", kind, window, window) for kind in ("bound", "flexible")
    )


class FourTimesTheCapacityTest(unittest.TestCase):
    """Guards against requests that are sent to a full region to be shed."""

    fleet: RegionalFleet
    undecided: RegionalFleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = run_fleet()
        # With `max_shift` 0 hosts decide nothing by region.
        cls.undecided = run_fleet(max_shift=0.0)

    def shed_share(self, fleet: RegionalFleet) -> float:
        shed = fleet.total("shed", "bound", 9, 14)
        return shed / (shed + fleet.total("ran west", "bound", 9, 14))

    def test_few_requests_are_sent_to_be_shed(self) -> None:
        self.assertGreater(self.shed_share(self.undecided), 0.8)
        self.assertLess(self.shed_share(self.fleet), 0.02)

    def test_the_slots_stay_busy(self) -> None:
        capacity = self.fleet.scale * CAPACITY_PER_S * WINDOW_S
        ran = [ran_in_west(self.fleet, window) for window in SCARCE_WINDOWS]
        self.assertGreater(sum(ran) / len(ran), 0.94 * capacity)
        self.assertGreater(min(ran), 0.85 * capacity)

    def test_other_requests_leave_the_region(self) -> None:
        before = self.fleet.total("ran west", "flexible", 0, 2) / 3.0
        after = self.fleet.total("ran west", "flexible", 12, 14) / 3.0
        self.assertLess(after, 0.05 * before)

    def test_no_other_request_is_rejected(self) -> None:
        self.assertEqual(self.fleet.total("full", "flexible"), 0)
        self.assertEqual(self.fleet.total("shift_rejected", "flexible"), 0)

    def test_the_distribution_changes_slowly(self) -> None:
        for window in range(1, 15):
            for region in REGIONS:
                with self.subTest(window=window, region=region):
                    self.assertLess(self.fleet.shift(region, window), MAX_SHIFT)

    def test_hosts_reject_in_the_same_proportion(self) -> None:
        shares = [
            scarcity.admitted_share
            for host in self.fleet.hosts
            for scarcity in [host.capacity.scarcity(SERVICE, "west")]
            if scarcity is not None
        ]
        self.assertEqual(len(shares), len(self.fleet.hosts))
        self.assertLess(max(shares) - min(shares), 0.1)


class EndOfTrafficTest(unittest.TestCase):
    """Guards against a region's requests that are all bound ones after the end."""

    def test_returning_requests_are_not_sent(self) -> None:
        fleet = run_fleet()
        returned = fleet.total("retry", "bound", 15)
        rejected = fleet.total("full", "bound", 15)
        rejected += fleet.total("shift_rejected", "bound", 15)
        self.assertGreater(returned, 200)
        self.assertLess(returned - rejected, 0.15 * returned)

    def test_few_requests_run_after_the_end(self) -> None:
        ran = ran_in_west(run_fleet(), 15)
        undecided = ran_in_west(run_fleet(max_shift=0.0), 15)
        self.assertLess(ran, 0.5 * undecided)

    def test_most_returning_requests_come_before_the_end(self) -> None:
        fleet = run_fleet()
        retries = fleet.total("retry", "bound", 14, 14)
        self.assertGreater(retries, 3.0 * fleet.total("retry", "bound", 15))


class OtherTrafficEndsTest(unittest.TestCase):
    """Guards against a jump of the shares when other requests end before bound ones."""

    def test_bound_requests_do_not_fill_the_window(self) -> None:
        fleet = RegionalFleet(
            lambda t: 150.0 if t < 20.0 else 0.0, lambda _: 40.0, scale=4
        )
        fleet.run(30.0)
        before = fleet.total("ran west", "bound", 9, 9)
        # At most about one request of each host, and those in queues.
        self.assertLess(fleet.total("ran west", "bound", 10, 10), 0.5 * before)
        # The limit ends, or the organisation would never be served alone.
        fleet.run(10.0)
        self.assertGreater(fleet.total("ran west", "bound", 18, 18), 0.8 * before)


class LostReportsTest(unittest.TestCase):
    """Guards against decisions that need each report."""

    def test_a_third_of_the_reports_is_lost(self) -> None:
        fleet = run_fleet(loss_share=0.33)
        capacity = fleet.scale * CAPACITY_PER_S * WINDOW_S
        shed = fleet.total("shed", "bound", 9, 14)
        self.assertLess(shed, 0.03 * fleet.total("ran west", "bound", 9, 14))
        for window in SETTLED_WINDOWS:
            self.assertGreater(ran_in_west(fleet, window), 0.85 * capacity)


class HostCutOffTest(unittest.TestCase):
    """Guards against a host without reports that floods the region or sends nothing."""

    def test_it_decides_alone_and_does_no_harm(self) -> None:
        fleet = RegionalFleet(flexible_per_s, bound_per_s, scale=4)
        cut_off = fleet.hosts[0]
        fleet.run(12.0)
        cut_off.is_cut_off = True
        fleet.run(18.0)
        alone = cut_off.capacity.scarcity(SERVICE, "west")
        other = fleet.hosts[1].capacity.scarcity(SERVICE, "west")
        assert alone is not None
        assert other is not None
        self.assertTrue(alone.is_scarce)
        self.assertLess(alone.admitted_share, 0.4)
        self.assertGreater(alone.admitted_share, 0.3 * other.admitted_share)
        shed = fleet.total("shed", "bound", 9, 14)
        self.assertLess(shed, 0.03 * fleet.total("ran west", "bound", 9, 14))


class EndOfScarcityTest(unittest.TestCase):
    """Guards against decisions that outlast the scarcity."""

    def test_requests_are_admitted_again_and_come_back(self) -> None:
        fleet = RegionalFleet(
            flexible_per_s=lambda _: 150.0,
            bound_per_s=lambda t: 160.0 if BEGIN_S <= t < 20.0 else 10.0,
        )
        fleet.run(40.0)
        self.assertEqual(fleet.total("full", "bound", 17, 19), 0)
        fleet.run(30.0)
        ran = fleet.total("ran west", "flexible", 33, 34) / 2.0
        self.assertGreater(ran, 0.6 * fleet.total("ran west", "flexible", 0, 2) / 3.0)


class AllRegionsOverloadedTest(unittest.TestCase):
    """Guards against rejecting bound requests to the benefit of all others."""

    def test_bound_requests_get_their_part_of_the_region(self) -> None:
        served = []
        for max_shift in (0.0, MAX_SHIFT):
            fleet = RegionalFleet(
                lambda _: 380.0, lambda _: 60.0, max_shift=max_shift, scale=4
            )
            fleet.run(30.0)
            served.append(fleet.total("ran west", "bound", 5, 14))
        self.assertGreater(served[1], 0.8 * served[0])


class CalmTest(unittest.TestCase):
    """Guards against bytes and decisions while there is room everywhere."""

    def test_nothing_is_sent_or_rejected(self) -> None:
        fleet = RegionalFleet(lambda _: 150.0, lambda _: 12.0)
        fleet.run(30.0)
        self.assertEqual(fleet.summaries_sent, 0)
        self.assertEqual(fleet.total("full", "bound"), 0)
        self.assertEqual(fleet.total("shift_rejected", "bound"), 0)


if __name__ == "__main__":
    unittest.main()
