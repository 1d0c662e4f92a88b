"""Load pattern: one organisation sends several times its quota through the fleet."""

from __future__ import annotations

import unittest

from cardamomquay.allowances import FleetQuota
from cardamomquay.allowances import QuotaBounds

BOUNDS = QuotaBounds(window_s=5.0, overage=0.1, slack=20.0)
RATE_PER_S = 53.0
BURST = 53.0
HOSTS = 8
STEP_S = 0.01
REPORT_S = 1.0
URGENT_S = 0.1
DELAY_S = 0.06


class Fleet:
    """Hosts that report running totals with a delay, in paused time."""

    def __init__(self, groups: tuple[tuple[int, ...], ...] | None = None) -> None:
        rate_per_s, size = BOUNDS.bucket(RATE_PER_S, BURST)
        self.now_s = 0.0
        self.quotas = [FleetQuota(rate_per_s, size, 0.0) for _ in range(HOSTS)]
        self.last_report_s = [0.0] * HOSTS
        self.under_way: list[tuple[float, int, int, int]] = []
        self.runs: list[float] = []
        self.group_of = {
            host: index for index, group in enumerate(groups or ()) for host in group
        }
        for host in range(HOSTS):
            for other in range(HOSTS):
                if host != other:
                    self.quotas[host].note_peer(str(other), 0, 0.0)

    def step(self, offered: list[int]) -> int:
        """Offer requests to each host and return how many were refused."""
        self.now_s += STEP_S
        refused = 0
        for at_s, sender, receiver, total in list(self.under_way):
            if at_s <= self.now_s:
                self.under_way.remove((at_s, sender, receiver, total))
                self.quotas[receiver].note_peer(str(sender), total, self.now_s)
        for host, count in enumerate(offered):
            for _ in range(count):
                if self.quotas[host].admit(self.now_s, HOSTS):
                    self.runs.append(self.now_s)
                else:
                    refused += 1
            self._report(host)
        return refused

    def _report(self, host: int) -> None:
        quota = self.quotas[host]
        silent_s = self.now_s - self.last_report_s[host]
        if silent_s < (URGENT_S if quota.is_report_due else REPORT_S):
            return
        self.last_report_s[host] = self.now_s
        quota.note_reported()
        for other in range(HOSTS):
            if other != host and self.group_of.get(other) == self.group_of.get(host):
                message = (self.now_s + DELAY_S, host, other, quota.admitted)
                self.under_way.append(message)

    def most_in_window(self) -> int:
        most = start = 0
        for end, at_s in enumerate(self.runs):
            while self.runs[start] <= at_s - BOUNDS.window_s:
                start += 1
            most = max(most, end - start + 1)
        return most


ALLOWED = (RATE_PER_S * BOUNDS.window_s + BURST) * (1 + BOUNDS.overage) + BOUNDS.slack


class HotOrganisationTest(unittest.TestCase):
    """Guards against a quota that each host grants for itself."""

    def play(self, fleet: Fleet, seconds: float, per_s: float, hosts: int) -> int:
        refused = 0
        due = 0.0
        turn = 0
        for _ in range(int(seconds / STEP_S)):
            due += per_s * STEP_S
            offered = [0] * HOSTS
            while due >= 1.0:
                due -= 1.0
                offered[turn % hosts] += 1
                turn += 1
            refused += fleet.step(offered)
        return refused

    def test_seven_times_the_usual_through_all_hosts(self) -> None:
        fleet = Fleet()
        self.play(fleet, 6.0, 33.0, HOSTS)
        self.play(fleet, 8.0, 250.0, HOSTS)
        self.assertLessEqual(fleet.most_in_window(), ALLOWED)

    def test_seven_times_the_usual_through_one_host(self) -> None:
        fleet = Fleet()
        self.play(fleet, 6.0, 33.0, HOSTS)
        self.play(fleet, 8.0, 250.0, 1)
        self.assertLessEqual(fleet.most_in_window(), ALLOWED)

    def test_the_usual_is_not_refused(self) -> None:
        fleet = Fleet()
        self.play(fleet, 3.0, 0.0, HOSTS)
        self.assertEqual(self.play(fleet, 20.0, 33.0, HOSTS), 0)
        self.assertEqual(self.play(fleet, 10.0, 50.0, 1), 0)

    def test_two_halves_that_do_not_hear_each_other(self) -> None:
        fleet = Fleet()
        self.play(fleet, 6.0, 33.0, HOSTS)
        fleet.group_of = {host: host % 2 for host in range(HOSTS)}
        self.play(fleet, 12.0, 250.0, HOSTS)
        runs_late = [at_s for at_s in fleet.runs if at_s > fleet.now_s - 5.0]
        self.assertLessEqual(len(runs_late), ALLOWED)

    def test_all_hosts_restart_with_empty_buckets(self) -> None:
        fleet = Fleet()
        self.play(fleet, 10.0, 250.0, HOSTS)
        rate_per_s, size = BOUNDS.bucket(RATE_PER_S, BURST)
        fleet.quotas = [FleetQuota(rate_per_s, size, fleet.now_s) for _ in range(HOSTS)]
        for host in range(HOSTS):
            for other in range(HOSTS):
                if host != other:
                    fleet.quotas[host].note_peer(str(other), 0, fleet.now_s)
        fleet.under_way.clear()
        self.play(fleet, 8.0, 250.0, HOSTS)
        self.assertLessEqual(fleet.most_in_window(), ALLOWED)


class LimitChangeTest(unittest.TestCase):
    """Guards against a burst that survives the change that took it away."""

    def test_a_lower_burst_holds_at_once(self) -> None:
        quota = FleetQuota(100.0, 100.0, 0.0)
        self.assertTrue(quota.admit(10.0, 1))
        quota.set_limit(1.0, 2.0, 10.0)
        admitted = sum(quota.admit(10.0, 1) for _ in range(50))
        self.assertEqual(admitted, 2)
        self.assertGreater(quota.retry_after_s(), 0.0)

    def test_a_restarted_peer_counts_from_nothing(self) -> None:
        quota = FleetQuota(10.0, 10.0, 0.0)
        quota.note_peer("h1", 100, 1.0)
        quota.note_peer("h1", 4, 1.0)
        admitted = 0
        for _ in range(20):
            admitted += quota.admit(1.0, 2)
            quota.note_reported()
        self.assertEqual(admitted, 6)
