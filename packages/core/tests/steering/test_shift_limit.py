"""G1 is the number of a guarantee on the design page."""

from __future__ import annotations

import unittest

from cardamomquay.steering import ShiftLimit

CAP = 0.1
# Requests per host that the limit allows above the cap: `CREDIT_MAX_REQUESTS` + 1.
EXTRA_REQUESTS = 5


def run(
    hosts: list[ShiftLimit],
    wanted: list[bool],
    rate: int = 200,
    organisations: tuple[str, ...] = ("o",),
) -> tuple[list[int], dict[str, int]]:
    """Send `rate` requests/s to the hosts in turn.

    `wanted` says for each second whether all requests ask for another region. Returns
    the requests that went to another region, by second and by organisation.
    """
    by_second = []
    by_organisation = dict.fromkeys(organisations, 0)
    for second, wants in enumerate(wanted):
        sent = 0
        for step in range(rate):
            now_s = 100.0 + second + step / rate
            host = hosts[step % len(hosts)]
            name = organisations[step // len(hosts) % len(organisations)]
            host.record_request(now_s)
            if wants and host.allow(name, now_s):
                sent += 1
                by_organisation[name] += 1
        by_second.append(sent)
    return by_second, by_organisation


class ShiftLimitTest(unittest.TestCase):
    def assert_steps(self, sent: list[int], rate: int, hosts: int) -> None:
        for before, after in zip([0, *sent], sent, strict=False):
            self.assertLessEqual(after - before, CAP * rate + EXTRA_REQUESTS * hosts)

    def test_steps_of_several_hosts(self) -> None:
        """Guards against shifts above the cap, by one host or by all together (G1)."""
        # The region is lost; lost, regained and lost again; or flaps every second.
        cases = (
            [True] * 14,
            [True] * 5 + [False] * 2 + [True] * 5,
            [True, False] * 6,
        )
        for hosts in (1, 4):
            for wanted in cases:
                with self.subTest(hosts=hosts, wanted=wanted):
                    limits = [ShiftLimit(CAP) for _ in range(hosts)]
                    sent, _ = run(limits, wanted)
                    self.assert_steps(sent, 200, hosts)

    def test_no_credit_is_saved_up(self) -> None:
        """Guards against a larger first step after idle time (G1)."""
        sent, _ = run([ShiftLimit(CAP)], [False] * 3 + [True] * 2, 20)
        self.assertLessEqual(sent[3], CAP * 20 + 1)

    def test_all_traffic_moves_in_the_end(self) -> None:
        """Guards against a limit that never lets all traffic move."""
        for hosts, rate in ((1, 200), (4, 200), (1, 20)):
            with self.subTest(hosts=hosts, rate=rate):
                limits = [ShiftLimit(CAP) for _ in range(hosts)]
                sent, _ = run(limits, [True] * 14, rate)
                self.assertGreaterEqual(sent[-1], 0.97 * rate)

    def test_small_organisation_is_served_first(self) -> None:
        """Guards against one organisation that uses the whole limit."""
        names = ("large",) * 9 + ("small",)
        sent, by_organisation = run([ShiftLimit(CAP)], [True] * 4, 200, names)
        self.assertLessEqual(by_organisation["large"], sum(sent))
        # Its 80 requests are less than half of those that move after the first second.
        self.assertGreaterEqual(by_organisation["small"], 60)

    def test_cancelled_requests_are_not_counted(self) -> None:
        """Guards against requests refused by an empty budget that use up the limit."""
        limit = ShiftLimit(CAP)
        run([limit], [True] * 3)
        while not limit.allow("o", 103.0):
            limit.record_request(103.0)
        for _ in range(100):
            limit.cancel("o")
            self.assertTrue(limit.allow("o", 103.0))
