"""Load pattern: the upstreams of a zone come back together, empty and slow."""

from __future__ import annotations

import unittest
from collections import Counter

from cardamomquay.allowances import WarmUpPace
from cardamomquay.allowances import WarmUpRate

RATE = WarmUpRate(per_s=2.9, overage=1.5, slack=5.0)
ALLOWED = RATE.per_s * RATE.overage + RATE.slack


class ZoneReturnsColdTest(unittest.TestCase):
    """Guards against hosts that send their waiting requests in the same second."""

    def test_sum_over_hosts_in_any_second(self) -> None:
        names = [f"host-{index}" for index in range(12)]
        paces = {name: WarmUpPace(name) for name in names}
        sent: list[float] = []
        for step in range(400):
            now_s = step * 0.01
            for name in names:
                others = [other for other in names if other != name]
                if paces[name].may_send("i-1", others, now_s):
                    paces[name].note_sent("i-1", RATE, now_s)
                    sent.append(now_s)
        for start in range(300):
            second = [at_s for at_s in sent if start / 100 <= at_s < start / 100 + 1]
            self.assertLessEqual(len(second), ALLOWED)
        self.assertGreater(len(sent), 10)

    def test_each_cold_upstream_has_hosts_of_its_own(self) -> None:
        names = [f"host-{index}" for index in range(12)]
        users: Counter[str] = Counter()
        for number in range(24):
            for name in names:
                others = [other for other in names if other != name]
                if WarmUpPace(name).may_send(f"i-{number}", others, 0.0):
                    users[name] += 1
        self.assertEqual(sum(users.values()), 3 * 24)
        self.assertGreaterEqual(len(users), 10)
