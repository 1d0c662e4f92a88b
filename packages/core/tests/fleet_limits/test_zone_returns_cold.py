"""Load pattern: the upstreams of a zone return together with empty caches."""

from __future__ import annotations

import unittest
from collections import Counter
from functools import partial

from cardamomquay.fleet_limits import WarmUpLimit
from cardamomquay.fleet_limits import WarmUpLimiter
from cardamomquay.fleet_limits._warm_up_limiter import CHOICE_PERIOD_S

LIMIT = WarmUpLimit(per_s=2.9, tolerated_factor=1.5, slack=5.0)
ALLOWED = LIMIT.per_s * LIMIT.tolerated_factor + LIMIT.slack


class ZoneReturnsColdTest(unittest.TestCase):
    """Guards against hosts that send all waiting requests at once."""

    def test_the_total_of_all_hosts_stays_within_the_limit(self) -> None:
        hosts = [f"host-{index}" for index in range(12)]
        limiters = {host: WarmUpLimiter(host) for host in hosts}
        sent: list[float] = []
        for step in range(400):
            now_s = step * 0.01
            for host in hosts:
                others = [other for other in hosts if other != host]
                if limiters[host].may_send("i-1", LIMIT, partial(list, others), now_s):
                    limiters[host].record_sent("i-1", LIMIT, now_s)
                    sent.append(now_s)
        for start in range(300):
            second = [at_s for at_s in sent if start / 100 <= at_s < start / 100 + 1]
            self.assertLessEqual(len(second), ALLOWED)
        self.assertGreater(len(sent), 10)

    def test_cold_upstreams_are_spread_over_the_hosts(self) -> None:
        hosts = [f"host-{index}" for index in range(12)]
        upstreams_of_host: Counter[str] = Counter()
        for number in range(24):
            for host in hosts:
                others = [other for other in hosts if other != host]
                if WarmUpLimiter(host).may_send(
                    f"i-{number}", LIMIT, partial(list, others), 0.0
                ):
                    upstreams_of_host[host] += 1
        self.assertEqual(sum(upstreams_of_host.values()), LIMIT.hosts * 24)
        self.assertGreaterEqual(len(upstreams_of_host), 10)

    def test_the_hosts_of_an_upstream_are_ranked_seldom(self) -> None:
        # With 300 hosts, ranking them takes longer than the rest of a choice.
        ranked_s: list[float] = []
        limiter = WarmUpLimiter("host-0")
        for step in range(200):
            now_s = step * 0.01

            def live_peers(now_s: float = now_s) -> list[str]:
                ranked_s.append(now_s)
                return [f"host-{index}" for index in range(1, 300)]

            limiter.may_send("i-1", LIMIT, live_peers, now_s)
        self.assertLessEqual(len(ranked_s), 2.0 / CHOICE_PERIOD_S + 1)

    def test_a_lost_host_is_replaced_within_a_period(self) -> None:
        hosts = [f"host-{index}" for index in range(12)]
        limiters = {host: WarmUpLimiter(host) for host in hosts}

        def chosen(live: list[str], now_s: float) -> set[str]:
            return {
                host
                for host in live
                if limiters[host].may_send(
                    "i-1", LIMIT, partial(list, [h for h in live if h != host]), now_s
                )
            }

        lost = min(chosen(hosts, 0.0))
        live = [host for host in hosts if host != lost]
        self.assertEqual(len(chosen(live, CHOICE_PERIOD_S)), LIMIT.hosts)
