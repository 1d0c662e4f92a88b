"""Load pattern: most upstreams of a service refuse requests at the same time."""

from __future__ import annotations

import unittest

from cardamomquay.fleet_limits import FleetRetryBudget

RATIO = 0.2
FIXED_RETRIES = 56.0
WINDOW_S = 10.0
HOSTS = 8


class SheddingServiceTest(unittest.TestCase):
    """Guards against retries beyond the budget of all hosts together."""

    def test_sum_over_hosts_stays_within_the_budget(self) -> None:
        hosts = [
            FleetRetryBudget(RATIO, FIXED_RETRIES, WINDOW_S, 0.0) for _ in range(HOSTS)
        ]
        requests: list[float] = []
        retries: list[float] = []
        for step in range(3000):
            now_s = step * 0.01
            host = hosts[step % HOSTS]
            host.record_request(now_s)
            requests.append(now_s)
            if host.try_take(now_s, HOSTS):
                retries.append(now_s)
        for end_s in range(10, 31):
            within = [r for r in retries if end_s - WINDOW_S < r <= end_s]
            offered = [r for r in requests if end_s - WINDOW_S < r <= end_s]
            self.assertLessEqual(len(within), RATIO * len(offered) + FIXED_RETRIES)
        self.assertGreater(len(retries), 0)

    def test_a_restart_does_not_renew_the_fixed_number(self) -> None:
        host = FleetRetryBudget(RATIO, FIXED_RETRIES, WINDOW_S, 100.0)
        self.assertFalse(host.try_take(100.1, 1))
        self.assertTrue(host.try_take(105.0, 1))
