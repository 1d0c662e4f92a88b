"""Load pattern: one organisation sends several times its quota."""

from __future__ import annotations

import heapq
import math
import unittest
from random import Random

from cardamomquay.fleet_limits import FleetQuota
from cardamomquay.fleet_limits import QuotaBounds

BOUNDS = QuotaBounds(window_s=5.0, overage=0.1, slack=20.0)
RATE_PER_S = 53.0
BURST = 53.0
HOSTS = 8
TICK_S = 0.01
REPORT_PERIOD_S = 1.0
URGENT_REPORT_PERIOD_S = 0.1
NETWORK_DELAY_S = 0.06


def make_quota(
    now_s: float, seed: int, rate_per_s: float = RATE_PER_S, burst: float = BURST
) -> FleetQuota:
    rate_per_s, size = BOUNDS.bucket(rate_per_s, burst)
    return FleetQuota(rate_per_s, size, now_s, margin=BOUNDS.margin, rng=Random(seed))


class SimulatedFleet:
    """Hosts that report running totals with a delay, in simulated time."""

    def __init__(self, partitions: tuple[tuple[int, ...], ...] | None = None) -> None:
        self.now_s = 0.0
        self.quotas = [make_quota(0.0, host) for host in range(HOSTS)]
        self.last_report_s = [0.0] * HOSTS
        self.in_transit: list[tuple[float, int, int, int]] = []
        self.admitted_at_s: list[float] = []
        self.partition_of = {
            host: index
            for index, partition in enumerate(partitions or ())
            for host in partition
        }
        for host in range(HOSTS):
            for other in range(HOSTS):
                if host != other:
                    self.quotas[host].apply_peer_total(str(other), 0, 0.0)

    def step(self, offered: list[int]) -> int:
        """Offer requests to each host; return the number refused."""
        self.now_s += TICK_S
        refused = 0
        for at_s, sender, receiver, total in list(self.in_transit):
            if at_s <= self.now_s:
                self.in_transit.remove((at_s, sender, receiver, total))
                self.quotas[receiver].apply_peer_total(str(sender), total, self.now_s)
        for host, count in enumerate(offered):
            for _ in range(count):
                if self.quotas[host].admit(self.now_s, HOSTS):
                    self.admitted_at_s.append(self.now_s)
                else:
                    refused += 1
            self._report(host)
        return refused

    def _report(self, host: int) -> None:
        quota = self.quotas[host]
        silent_s = self.now_s - self.last_report_s[host]
        if silent_s < (
            URGENT_REPORT_PERIOD_S if quota.is_report_due else REPORT_PERIOD_S
        ):
            return
        self.last_report_s[host] = self.now_s
        quota.record_own_report()
        for other in range(HOSTS):
            if other != host and self.partition_of.get(other) == self.partition_of.get(
                host
            ):
                message = (self.now_s + NETWORK_DELAY_S, host, other, quota.admitted)
                self.in_transit.append(message)

    def max_in_window(self) -> int:
        most = start = 0
        for end, at_s in enumerate(self.admitted_at_s):
            while self.admitted_at_s[start] <= at_s - BOUNDS.window_s:
                start += 1
            most = max(most, end - start + 1)
        return most


# Requests that may be admitted in any window.
ALLOWED = (RATE_PER_S * BOUNDS.window_s + BURST) * (1 + BOUNDS.overage) + BOUNDS.slack


class HotOrganisationTest(unittest.TestCase):
    """Guards against hosts that each grant the whole quota."""

    def simulate(
        self, fleet: SimulatedFleet, seconds: float, per_s: float, hosts: int
    ) -> int:
        refused = 0
        due = 0.0
        turn = 0
        for _ in range(int(seconds / TICK_S)):
            due += per_s * TICK_S
            offered = [0] * HOSTS
            while due >= 1.0:
                due -= 1.0
                offered[turn % hosts] += 1
                turn += 1
            refused += fleet.step(offered)
        return refused

    def test_seven_times_the_usual_rate_through_all_hosts(self) -> None:
        fleet = SimulatedFleet()
        self.simulate(fleet, 6.0, 33.0, HOSTS)
        self.simulate(fleet, 8.0, 250.0, HOSTS)
        self.assertLessEqual(fleet.max_in_window(), ALLOWED)

    def test_seven_times_the_usual_rate_through_one_host(self) -> None:
        fleet = SimulatedFleet()
        self.simulate(fleet, 6.0, 33.0, HOSTS)
        self.simulate(fleet, 8.0, 250.0, 1)
        self.assertLessEqual(fleet.max_in_window(), ALLOWED)

    def test_the_usual_rate_is_not_refused(self) -> None:
        fleet = SimulatedFleet()
        self.simulate(fleet, 3.0, 0.0, HOSTS)
        self.assertEqual(self.simulate(fleet, 20.0, 33.0, HOSTS), 0)
        self.assertEqual(self.simulate(fleet, 10.0, 50.0, 1), 0)

    def test_a_network_partition(self) -> None:
        fleet = SimulatedFleet()
        self.simulate(fleet, 6.0, 33.0, HOSTS)
        fleet.partition_of = {host: host % 2 for host in range(HOSTS)}
        self.simulate(fleet, 12.0, 250.0, HOSTS)
        recent = [at_s for at_s in fleet.admitted_at_s if at_s > fleet.now_s - 5.0]
        self.assertLessEqual(len(recent), ALLOWED)

    def test_a_restart_of_all_hosts(self) -> None:
        fleet = SimulatedFleet()
        self.simulate(fleet, 10.0, 250.0, HOSTS)
        fleet.quotas = [make_quota(fleet.now_s, host) for host in range(HOSTS)]
        for host in range(HOSTS):
            for other in range(HOSTS):
                if host != other:
                    fleet.quotas[host].apply_peer_total(str(other), 0, fleet.now_s)
        fleet.in_transit.clear()
        self.simulate(fleet, 8.0, 250.0, HOSTS)
        self.assertLessEqual(fleet.max_in_window(), ALLOWED)


class LimitChangeTest(unittest.TestCase):
    """Guards against old bursts after a lower limit, or wrong totals after restarts."""

    def test_a_lower_burst_takes_effect_at_once(self) -> None:
        quota = FleetQuota(100.0, 100.0, 0.0)
        self.assertTrue(quota.admit(10.0, 1))
        quota.set_limit(1.0, 2.0, 10.0)
        admitted = sum(quota.admit(10.0, 1) for _ in range(50))
        self.assertEqual(admitted, 2)
        self.assertGreater(quota.retry_after_s(), 0.0)

    def test_totals_of_a_restarted_peer_count_from_0(self) -> None:
        quota = FleetQuota(10.0, 10.0, 0.0, margin=5.0)
        quota.apply_peer_total("h1", 100, 1.0)
        quota.apply_peer_total("h1", 4, 1.0)
        admitted = 0
        for _ in range(20):
            admitted += quota.admit(1.0, 2)
            quota.record_own_report()
        self.assertEqual(admitted, 6)


class LargeFleetTest(unittest.TestCase):
    """Guards against eighty hosts that spend the same tokens, or refuse too much.

    Load pattern: requests arrive at random hosts, first at the usual rate of five
    eighths of the quota, then at seven and a half times that.
    """

    HOSTS = 80
    REPORT_DELAY_S = 0.1

    def deliveries(self, now_s: float, sender: int) -> list[tuple[float, list[int]]]:
        """Return the times at which a report arrives, each with the receiving hosts."""
        others = [host for host in range(self.HOSTS) if host != sender]
        return [(now_s + NETWORK_DELAY_S, others)]

    def simulate(
        self, rate_per_s: float, burst: float, seed: int
    ) -> tuple[float, list[float]]:
        """Return the refused share at the usual rate, and the times of admissions."""
        rng = Random(seed)
        quotas = [
            make_quota(0.0, seed + host, rate_per_s, burst)
            for host in range(self.HOSTS)
        ]
        reported_s = [2.0 + rng.random() for _ in quotas]
        for index, quota in enumerate(quotas):
            for other in range(self.HOSTS):
                if other != index:
                    quota.report_times.apply_report(str(other), 0.0)
        in_transit: list[tuple[float, int, int, list[int]]] = []
        usual_per_s = rate_per_s / 1.6
        admitted_at_s: list[float] = []
        offered_count = refused = 0
        now_s = next_s = 3.0
        while now_s < 20.0:
            now_s += TICK_S
            while in_transit and in_transit[0][0] <= now_s:
                _, sender, total, receivers = heapq.heappop(in_transit)
                for index in receivers:
                    quotas[index].apply_peer_total(str(sender), total, now_s)
            while next_s <= now_s:
                per_s = usual_per_s if now_s < 13.0 else 7.5 * usual_per_s
                next_s += rng.expovariate(per_s)
                quota = quotas[rng.randrange(self.HOSTS)]
                admits = quota.admit(now_s, self.HOSTS, self.REPORT_DELAY_S)
                admitted_at_s += [now_s] * admits
                offered_count += now_s < 13.0
                refused += now_s < 13.0 and not admits
            for index, quota in enumerate(quotas):
                silent_s = now_s - reported_s[index]
                if silent_s >= (
                    URGENT_REPORT_PERIOD_S if quota.is_report_due else REPORT_PERIOD_S
                ):
                    reported_s[index] = now_s
                    quota.record_own_report()
                    for at_s, receivers in self.deliveries(now_s, index):
                        message = (at_s, index, quota.admitted, receivers)
                        heapq.heappush(in_transit, message)
        return refused / offered_count, admitted_at_s

    def test_the_quota_holds_and_the_usual_rate_is_served(self) -> None:
        for rate_per_s, burst in ((16.0, 4.0), (60.0, 60.0)):
            allowed = (rate_per_s * BOUNDS.window_s + burst) * (1 + BOUNDS.overage)
            allowed += BOUNDS.slack
            for seed in (2, 6):
                with self.subTest(rate_per_s=rate_per_s, seed=seed):
                    refused, admitted_at_s = self.simulate(rate_per_s, burst, seed)
                    most = max(
                        sum(
                            at_s < other_s <= at_s + BOUNDS.window_s
                            for other_s in admitted_at_s
                        )
                        for at_s in admitted_at_s
                    )
                    self.assertLessEqual(most, allowed)
                    self.assertLess(refused, 0.02)


class GatewaysTest(LargeFleetTest):
    """Guards against quotas that hold only if every host reports to all others.

    Load pattern: as above, with hosts in nine zones whose gateways forward reports
    every 0.15 s.
    """

    ZONES = 9
    FORWARDING_PERIOD_S = 0.15
    REPORT_DELAY_S = 0.15

    def next_forwarding_s(self, now_s: float, zone: int) -> float:
        offset_s = zone * self.FORWARDING_PERIOD_S / self.ZONES
        rounds = math.ceil((now_s - offset_s) / self.FORWARDING_PERIOD_S)
        return offset_s + rounds * self.FORWARDING_PERIOD_S

    def deliveries(self, now_s: float, sender: int) -> list[tuple[float, list[int]]]:
        by_zone: list[list[int]] = [[] for _ in range(self.ZONES)]
        for host in range(self.HOSTS):
            if host != sender:
                by_zone[host % self.ZONES].append(host)
        own = sender % self.ZONES
        deliveries = [(now_s, by_zone[own])]
        sent_s = self.next_forwarding_s(now_s, own)
        for zone in range(self.ZONES):
            if zone != own:
                forwarded_s = self.next_forwarding_s(sent_s + NETWORK_DELAY_S, zone)
                deliveries.append((forwarded_s, by_zone[zone]))
        return deliveries
