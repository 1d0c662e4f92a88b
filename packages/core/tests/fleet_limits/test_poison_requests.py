"""Load pattern: a request that ends each upstream, and a dozen others run there."""

from __future__ import annotations

import itertools
import random
import unittest

from cardamomquay.fleet_limits import CLEARED
from cardamomquay.fleet_limits import CRASHED
from cardamomquay.fleet_limits import PoisonRequests
from cardamomquay.fleet_limits import crashed_upstream
from cardamomquay.gossip import Observation
from cardamomquay.gossip import ObservationLog
from cardamomquay.gossip import encode_observations

DEADLY = 1
REPORT_DELAY_S = 0.15
CRASHES_ALLOWED = 3


def host(origin: int) -> tuple[ObservationLog, PoisonRequests]:
    log = ObservationLog(origin, (CRASHED, CLEARED))
    return log, PoisonRequests(log)


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
        self.logs, self.hosts = zip(*map(host, range(1, hosts + 1)), strict=True)
        self.up_from_s = [0.0] * upstreams
        self.reports: list[tuple[float, int, list[int], int]] = []
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
                    self._report(host, now_s)
                continue
            self.crashes_s.append(now_s)
            self.up_from_s[upstream] = now_s + self.RESTART_S
            for item in [item for item in self.running if item[2] == upstream]:
                self.running.remove(item)
                ran_s = now_s - (item[0] - self.RUN_S)
                if self.hosts[item[1]].record_crash(item[3], upstream, ran_s, now_s):
                    self._report(item[1], now_s)

    def _report(self, host: int, now_s: float) -> None:
        for other in range(len(self.hosts)):
            if other != host:
                chosen = self.logs[host].take(
                    str(other), lambda source: source is None, now_s, 40
                )
                entries = encode_observations(chosen, now_s)
                self.reports.append((now_s + REPORT_DELAY_S, other, entries, host))

    def _deliver_reports(self, now_s: float) -> None:
        due = [item for item in self.reports if item[0] <= now_s]
        self.reports = [item for item in self.reports if item[0] > now_s]
        for _, host, entries, source in due:
            for observation in self.logs[host].apply_entries(
                entries, str(source), 2 * REPORT_DELAY_S, now_s
            ):
                self.hosts[host].apply(observation, now_s)


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
        self.log, self.requests = host(1)
        self.next_number = 1

    def crash(self, upstream: int, now_s: float, ran_s: float = 0.1) -> bool:
        return self.requests.record_crash(DEADLY, upstream, ran_s, now_s)

    def reported_crash(
        self,
        upstream: int,
        ended_s: float,
        ran_s: float = 0.1,
        width_s: float = 0.0,
        origin: int = 2,
    ) -> Observation:
        """Return a crash that another host observed at about a time."""
        self.next_number += 1
        value = (upstream << 4 | 1) << 24 | int(ran_s * 1000.0)
        return Observation(
            origin,
            self.next_number,
            CRASHED.code,
            DEADLY,
            value,
            ended_s - width_s,
            ended_s,
        )

    def test_a_crash_that_several_hosts_observe_counts_once(self) -> None:
        self.assertTrue(self.crash(7, 10.0, ran_s=1.0))
        # Known to have run there at the same time.
        self.assertFalse(self.crash(7, 10.4, ran_s=0.9))
        for origin, ended_s, ran_s, width_s in (
            (2, 9.7, 0.5, 0.0),
            (3, 10.2, 0.7, 0.0),
            # May have run at the same time.
            (4, 11.0, 0.5, 0.9),
            (5, 9.6, 0.05, 0.3),
        ):
            crash = self.reported_crash(7, ended_s, ran_s, width_s, origin)
            self.requests.apply(crash, 11.0)
            self.assertEqual(self.requests.crash_count(DEADLY), 1, origin)
        # The upstream has started again under its name.
        self.assertTrue(self.crash(7, 14.0))
        self.assertEqual(self.requests.crash_count(DEADLY), 2)

    def test_two_crashes_of_one_upstream_within_a_second_count_twice(self) -> None:
        self.crash(7, 10.0)
        self.assertTrue(self.crash(7, 10.5))
        self.assertEqual(self.requests.crash_count(DEADLY), 2)
        later = self.reported_crash(7, 10.9, ran_s=0.2, width_s=0.1)
        self.requests.apply(later, 11.0)
        self.assertEqual(self.requests.crash_count(DEADLY), 3)

    def test_a_host_that_knows_of_an_earlier_crash_tells_the_others(self) -> None:
        # For hosts far away the two may have been one.
        first = self.reported_crash(7, 10.1, width_s=0.3)
        self.requests.apply(first, 10.2)
        self.crash(7, 10.6)
        (second,) = self.log.take("3", lambda _: True, 10.6, 40)
        _, far = host(9)
        for crash in (first, second):
            far.apply(
                Observation(
                    crash.origin,
                    crash.number,
                    crash.kind,
                    crash.subject,
                    crash.value,
                    crash.earliest_s - 1.0,
                    crash.latest_s + 1.0,
                ),
                12.0,
            )
        self.assertEqual(far.crash_count(DEADLY), 2)

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
        first = self.reported_crash(1, 11.0)
        self.requests.apply(first, 11.1)
        self.crash(2, 12.0)
        self.assertTrue(self.requests.record_answer(DEADLY, 13.0))
        self.assertFalse(self.requests.record_answer(DEADLY, 13.1))
        # Copies arrive late, and so does an earlier crash of the same host.
        earlier = self.reported_crash(3, 10.0, origin=first.origin)
        self.assertFalse(self.requests.apply(first, 13.2))
        self.assertFalse(
            self.requests.apply(
                Observation(
                    first.origin, 1, CRASHED.code, DEADLY, earlier.value, 10.0, 10.0
                ),
                13.2,
            )
        )
        self.assertEqual(self.requests.crash_count(DEADLY), 0)
        self.assertTrue(self.crash(4, 14.0))
        self.assertEqual(self.requests.crash_count(DEADLY), 1)

    def test_all_hosts_agree_in_whatever_order_they_learn(self) -> None:
        other_log, other = host(2)
        crashes = [self.reported_crash(upstream, 10.0) for upstream in (1, 2, 3)]
        for crash in crashes[:2]:
            other.apply(crash, 10.1)
        other.record_answer(DEADLY, 10.2)
        answers = other_log.take("3", lambda _: True, 10.2, 40)
        for order in itertools.permutations([*crashes, *answers, crashes[0]]):
            _, requests = host(3)
            for observation in order:
                requests.apply(observation, 10.5)
            self.assertEqual(requests.crash_count(DEADLY), 1)
            self.assertTrue(requests.has_crashed(DEADLY, 3))

    def test_observations_are_reported_for_some_time_only(self) -> None:
        self.crash(1, 10.0)
        self.crash(2, 11.0)
        reported = self.log.take("2", lambda _: True, 11.1, 40)
        self.assertEqual([crashed_upstream(item) for item in reported], [1, 2])
        self.assertEqual(self.log.take("2", lambda _: True, 14.0, 40), [])

    def test_a_cleared_crash_is_no_longer_reported(self) -> None:
        self.crash(1, 10.0)
        self.requests.record_answer(DEADLY, 10.1)
        reported = self.log.take("2", lambda _: True, 10.2, 40)
        self.assertEqual([item.kind for item in reported], [CLEARED.code])

    def test_a_host_that_starts_is_sent_all_crashes_of_quarantined_requests(
        self,
    ) -> None:
        for upstream in (1, 2, 3):
            self.crash(upstream, 10.0)
        self.requests.record_crash(5, 1, 0.1, 10.0)
        _, started = host(2)
        for crash in self.requests.crashes_of_quarantined(30.0):
            started.apply(crash, 30.0)
        self.assertEqual(started.quarantine_left_s(DEADLY, 30.0), 40.0)
        self.assertEqual(started.crash_count(5), 0)

    def test_reports_of_an_earlier_version_count_once_for_each_upstream(self) -> None:
        for now_s in range(10, 20):
            # The same crashes, each time with a later date.
            for upstream in (1, 2):
                self.requests.apply_unidentified(DEADLY, upstream, now_s, now_s)
        self.assertEqual(self.requests.crash_count(DEADLY), 2)
        self.crash(2, 20.0)
        self.assertEqual(self.requests.crash_count(DEADLY), 2)
        self.requests.apply_unidentified(DEADLY, 3, 20.0, 20.0)
        self.assertGreater(self.requests.quarantine_left_s(DEADLY, 20.0), 0.0)
        # Nothing of it is passed on.
        reported = self.log.take("2", lambda _: True, 20.0, 40)
        self.assertEqual([item.origin for item in reported], [1])

    def test_an_answer_of_an_earlier_version_does_not_clear_crashes_of_others(
        self,
    ) -> None:
        for upstream in (1, 2, 3):
            self.crash(upstream, 10.0)
        self.requests.apply_unidentified(DEADLY, 4, 10.0, 10.0)
        self.requests.apply_unidentified(DEADLY, None, 11.0, 11.0)
        self.assertEqual(self.requests.crash_count(DEADLY), 3)
        self.requests.apply_unidentified(DEADLY, 4, 10.5, 11.0)
        self.assertEqual(self.requests.crash_count(DEADLY), 3)

    def test_an_answer_clears_what_an_earlier_version_reported(self) -> None:
        self.requests.apply_unidentified(DEADLY, 4, 10.0, 10.0)
        other_log, other = host(2)
        other.apply_unidentified(DEADLY, 4, 10.0, 10.0)
        self.assertTrue(other.record_answer(DEADLY, 11.0))
        self.assertEqual(other.crash_count(DEADLY), 0)
        for answer in other_log.take("1", lambda _: True, 11.0, 40):
            self.requests.apply(answer, 11.1)
        self.assertEqual(self.requests.crash_count(DEADLY), 0)

    def test_memory_is_bounded(self) -> None:
        for request in range(10_000):
            self.requests.record_crash(request, 1, 0.1, 10.0)
            if request % 2:
                self.requests.record_answer(request, 10.0)
        self.assertLessEqual(len(self.requests), 4096)
        self.assertLessEqual(len(self.requests._cleared), 4096)
        self.requests.record_crash(0, 2, 0.1, 5_000.0)
        self.assertEqual(len(self.requests), 1)
        self.assertEqual(len(self.requests._cleared), 0)


class ManyCrashesTest(unittest.TestCase):
    """Guards against a quarantine whose length exceeds the range of floats."""

    def test_a_request_that_crashes_thousands_of_upstreams_stays_quarantined(
        self,
    ) -> None:
        _, requests = host(1)
        for upstream in range(3000):
            requests.record_crash(DEADLY, upstream, 0.1, 1.0)
        self.assertEqual(requests.quarantine_left_s(DEADLY, 1.0), 3600.0)


if __name__ == "__main__":
    unittest.main()
