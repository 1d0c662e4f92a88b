"""Load pattern: a request that ends each upstream, and a dozen others run there."""

from __future__ import annotations

import random
import unittest

from cardamomquay.fleet_limits import CrashObservation
from cardamomquay.fleet_limits import PoisonRequests

DEADLY = 1
REPORT_DELAY_S = 0.15
CRASHES_ALLOWED = 3


class PoisonFleet:
    """Hosts that report crashes to each other, in simulated time.

    Parameters
    ----------
    hosts, upstreams : int
    seed : int
    """

    RESTART_S = 3.0
    RUN_S = 0.2

    def __init__(self, hosts: int, upstreams: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.hosts = [PoisonRequests() for _ in range(hosts)]
        self.up_from_s = [0.0] * upstreams
        self.reports: list[tuple[float, int, CrashObservation]] = []
        # End, host, upstream and request of each attempt that runs.
        self.running: list[tuple[float, int, int, int]] = []
        self.deadly_sent_s: list[float] = []
        self.crashes_s: list[float] = []
        self.refused: dict[int, int] = {}
        self.next_request = 2

    def run(self, duration_s: float, deadly_per_s: float, requests_per_s: int) -> None:
        """Send deadly requests, popular ones and ones that come once."""
        for tick in range(int(duration_s * 100)):
            now_s = tick / 100
            self._deliver_reports(now_s)
            self._end_attempts(now_s)
            if self.random.random() < deadly_per_s / 100:
                self._send(DEADLY, now_s)
            for _ in range(requests_per_s // 100):
                self.next_request += 1
                is_popular = self.random.random() < 0.5
                popular = -self.random.randrange(10)
                self._send(popular if is_popular else self.next_request, now_s)

    def _send(self, request: int, now_s: float) -> None:
        host = self.random.randrange(len(self.hosts))
        if self.hosts[host].quarantine_left_s(request, now_s) > 0.0:
            self.refused[request] = self.refused.get(request, 0) + 1
            return
        up = [i for i, from_s in enumerate(self.up_from_s) if from_s <= now_s]
        upstream = self.random.choice(up)
        if request == DEADLY:
            self.deadly_sent_s.append(now_s)
        self.running.append((now_s + self.RUN_S, host, upstream, request))

    def _end_attempts(self, now_s: float) -> None:
        for ended in [item for item in self.running if item[0] <= now_s]:
            if ended not in self.running:
                continue
            _, host, upstream, request = ended
            if request != DEADLY:
                self.running.remove(ended)
                if self.hosts[host].record_answer(request, now_s):
                    self._report(host, CrashObservation(request, None, now_s), now_s)
                continue
            self.crashes_s.append(now_s)
            self.up_from_s[upstream] = now_s + self.RESTART_S
            for item in [item for item in self.running if item[2] == upstream]:
                self.running.remove(item)
                crash = CrashObservation(item[3], upstream, now_s)
                if self.hosts[item[1]].apply(crash, now_s):
                    self._report(item[1], crash, now_s)

    def _report(self, host: int, crash: CrashObservation, now_s: float) -> None:
        for other in range(len(self.hosts)):
            if other != host:
                self.reports.append((now_s + REPORT_DELAY_S, other, crash))

    def _deliver_reports(self, now_s: float) -> None:
        due = [item for item in self.reports if item[0] <= now_s]
        self.reports = [item for item in self.reports if item[0] > now_s]
        for _, host, crash in due:
            self.hosts[host].apply(crash, now_s)


class PoisonFleetTest(unittest.TestCase):
    """Guards against a request that takes one upstream after another, at any host."""

    def test_a_deadly_request_is_sent_a_few_times_only(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                fleet = PoisonFleet(12, 16, seed)
                fleet.run(20.0, deadly_per_s=2.5, requests_per_s=100)
                third_s = fleet.crashes_s[CRASHES_ALLOWED - 1]
                late = [
                    sent_s
                    for sent_s in fleet.deadly_sent_s
                    if sent_s > third_s + 2 * REPORT_DELAY_S
                ]
                self.assertEqual(late, [])
                self.assertGreater(fleet.refused[DEADLY], 10)

    def test_requests_that_run_beside_a_deadly_one_are_not_refused(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                fleet = PoisonFleet(12, 16, seed)
                fleet.run(20.0, deadly_per_s=2.5, requests_per_s=100)
                self.assertEqual(set(fleet.refused), {DEADLY})


class PoisonRequestsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.requests = PoisonRequests()

    def crash(self, upstream: int, now_s: float, at_s: float | None = None) -> bool:
        observed_s = now_s if at_s is None else at_s
        return self.requests.apply(
            CrashObservation(DEADLY, upstream, observed_s), now_s
        )

    def test_a_crash_that_several_hosts_observe_counts_once(self) -> None:
        self.assertTrue(self.crash(7, 10.0))
        self.assertFalse(self.crash(7, 10.4, at_s=9.7))
        self.assertFalse(self.crash(7, 10.6, at_s=10.2))
        self.assertEqual(self.requests.crash_count(DEADLY), 1)
        # The upstream has started again under its name.
        self.assertTrue(self.crash(7, 14.0))

    def test_each_crash_after_a_quarantine_doubles_it(self) -> None:
        now_s = 0.0
        for upstream, expected_s in ((1, 0.0), (2, 0.0), (3, 60.0), (4, 120.0)):
            with self.subTest(upstream=upstream):
                self.crash(upstream, now_s)
                left_s = self.requests.quarantine_left_s(DEADLY, now_s)
                self.assertEqual(left_s, expected_s)
                now_s += max(2.0, left_s)
                self.assertEqual(self.requests.quarantine_left_s(DEADLY, now_s), 0.0)

    def test_an_answer_clears_earlier_crashes_only(self) -> None:
        for upstream in (1, 2):
            self.crash(upstream, 10.0 + upstream)
        self.assertTrue(self.requests.record_answer(DEADLY, 13.0))
        self.assertFalse(self.requests.record_answer(DEADLY, 13.1))
        # A report of a crash before the answer arrives late.
        self.assertFalse(self.crash(3, 13.2, at_s=12.5))
        self.assertTrue(self.crash(4, 14.0))
        self.assertEqual(self.requests.crash_count(DEADLY), 1)

    def test_observations_are_reported_for_some_time_only(self) -> None:
        self.crash(1, 10.0)
        self.crash(2, 11.0)
        reported = [item.upstream for item in self.requests.due_for_report(11.1)]
        self.assertEqual(reported, [2, 1])
        self.assertEqual(self.requests.due_for_report(14.0), [])

    def test_a_host_that_starts_is_sent_all_crashes_of_quarantined_requests(
        self,
    ) -> None:
        for upstream in (1, 2, 3):
            self.crash(upstream, 10.0)
        self.requests.apply(CrashObservation(5, 1, 10.0), 10.0)
        started = PoisonRequests()
        for crash in self.requests.crashes_of_quarantined(30.0):
            started.apply(crash, 30.0)
        self.assertEqual(started.quarantine_left_s(DEADLY, 30.0), 40.0)
        self.assertEqual(started.crash_count(5), 0)

    def test_memory_is_bounded(self) -> None:
        for request in range(10_000):
            self.requests.apply(CrashObservation(request, 1, 10.0), 10.0)
        self.assertLessEqual(len(self.requests), 4096)
        self.requests.apply(CrashObservation(1, 2, 5_000.0), 5_000.0)
        self.assertEqual(len(self.requests), 1)


if __name__ == "__main__":
    unittest.main()


class ManyCrashesTest(unittest.TestCase):
    """Guards against a quarantine whose length exceeds the range of floats."""

    def test_a_request_that_crashes_thousands_of_upstreams_stays_quarantined(
        self,
    ) -> None:
        requests = PoisonRequests()
        for upstream in range(3000):
            requests.apply(CrashObservation(DEADLY, upstream, 1.0), 1.0)
        self.assertEqual(requests.quarantine_left_s(DEADLY, 1.0), 3600.0)
