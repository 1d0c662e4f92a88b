"""Load pattern: an upstream ends and is back under its name a moment later, cold.

Each of a dozen hosts sends it a request or two a second, more than it tolerates then.
"""

from __future__ import annotations

import unittest
from functools import partial
from random import Random

from gossip.support import report_entries

from cardamomquay.fleet_limits import RESTART_KINDS
from cardamomquay.fleet_limits import Suspicion
from cardamomquay.fleet_limits import UpstreamRestarts
from cardamomquay.fleet_limits import WarmUpLimit
from cardamomquay.fleet_limits import WarmUpLimiter
from cardamomquay.fleet_limits._upstream_restarts import SUSPICION_TIMEOUT_S
from cardamomquay.gossip import ObservationLog
from cardamomquay.traffic import Upstream
from cardamomquay.traffic import UpstreamState

WARM_UP_S = 3.0
LIMIT = WarmUpLimit(per_s=2.7, tolerated_factor=1.5, slack=5.0)
ALLOWED = LIMIT.per_s * LIMIT.tolerated_factor + LIMIT.slack
STEP_S = 0.01
REPORT_PERIOD_S = 0.1
# One way between hosts, and between hosts and the upstream.
TRANSIT_RANGE_S = (0.001, 0.06)
REQUESTS_PER_S = 1.5
CRASH_S = 2.0


UPSTREAM = Upstream(
    "i-1", "browse", "a:1", "a", "v1", 3, UpstreamState.READY, started_at_ms=10_000
)


class ModelHost:
    """A host with connections to one upstream."""

    def __init__(self, number: int, rng: Random) -> None:
        self.name = f"host-{number}"
        self.log = ObservationLog(number + 1, RESTART_KINDS)
        self.restarts = UpstreamRestarts(self.log)
        self.limiter = WarmUpLimiter(self.name)
        self.distance_s = rng.uniform(*TRANSIT_RANGE_S)
        # Time of opening of its connection to the upstream.
        self.opened_s: float | None = 0.0 if rng.random() < 0.7 else None

    def may_send(self, others: list[str], now_s: float) -> bool:
        if not self.restarts.is_cold(UPSTREAM, WARM_UP_S, now_s):
            return True
        if not self.limiter.may_send("i-1", LIMIT, partial(list, others), now_s):
            return False
        self.limiter.record_sent("i-1", LIMIT, now_s)
        return True


class Model:
    """Hosts that send requests to one upstream and report to each other."""

    def __init__(self, seed: int, hosts: int, *, has_reports: bool = True) -> None:
        self.rng = Random(seed)
        self.hosts = [ModelHost(number, self.rng) for number in range(hosts)]
        self.names = [host.name for host in self.hosts]
        self.has_reports = has_reports
        self.arrivals_s: list[float] = []
        # Reports on the way: arrival, receiver, entries and sender.
        self.reports: list[tuple[float, ModelHost, list[int], str]] = []
        self.report_due_s = 0.0
        self.now_s = 0.0

    def run(self, down_s: float, until_s: float) -> None:
        up_s = CRASH_S + down_s
        lost: set[str] = set()
        while self.now_s < until_s:
            self.now_s += STEP_S
            for host in self.hosts:
                heard_s = self.now_s - host.distance_s
                if heard_s >= CRASH_S and host.name not in lost:
                    lost.add(host.name)
                    if host.opened_s is not None and host.opened_s < CRASH_S:
                        host.opened_s = None
                        host.restarts.record_lost(
                            UPSTREAM, self.now_s, earliest_s=self.now_s
                        )
                self._send_request(host, up_s)
            self._exchange_reports()

    def _send_request(self, host: ModelHost, up_s: float) -> None:
        if self.rng.random() > REQUESTS_PER_S * STEP_S:
            return
        others = [name for name in self.names if name != host.name]
        if not host.may_send(others, self.now_s):
            return
        arrival_s = self.now_s + host.distance_s
        if CRASH_S <= arrival_s < up_s:
            if host.restarts.record_refused(
                UPSTREAM, self.now_s, earliest_s=self.now_s
            ):
                host.opened_s = None
            return
        if arrival_s >= up_s and host.opened_s is not None and host.opened_s < CRASH_S:
            # The connection is reset; the request does not arrive.
            host.opened_s = None
            return
        if host.opened_s is None:
            host.opened_s = self.now_s
        host.restarts.record_reached(UPSTREAM, host.opened_s, self.now_s, self.now_s)
        self.arrivals_s.append(arrival_s)

    def _exchange_reports(self) -> None:
        if not self.has_reports:
            return
        if self.now_s >= self.report_due_s:
            self.report_due_s += REPORT_PERIOD_S
            for host in self.hosts:
                self._send_reports(host)
        due = [report for report in self.reports if report[0] <= self.now_s]
        self.reports = [report for report in self.reports if report[0] > self.now_s]
        for _, receiver, entries, sender in due:
            for observation in receiver.log.apply_entries(
                entries, sender, 2 * TRANSIT_RANGE_S[1], self.now_s
            ):
                receiver.restarts.apply(observation, UPSTREAM)

    def _send_reports(self, host: ModelHost) -> None:
        for other in self.hosts:
            if other is host:
                continue
            entries = report_entries(
                host.log, other.name, lambda source: source is None, self.now_s, 40
            )
            if entries and self.rng.random() < 0.95:
                arrival_s = self.now_s + self.rng.uniform(*TRANSIT_RANGE_S)
                self.reports.append((arrival_s, other, entries, host.name))

    def busiest_second(self, from_s: float) -> int:
        """Return the most arrivals within a second of the cold upstream."""
        cold = [s for s in self.arrivals_s if from_s <= s < from_s + WARM_UP_S]
        return max((sum(s <= t < s + 1.0 for t in cold) for s in cold), default=0)


class ShortRestartTest(unittest.TestCase):
    """Guards against hosts that do not know of a start that another one has seen."""

    def busiest(self, hosts: int, *, has_reports: bool) -> list[int]:
        counts = []
        for seed in range(12):
            down_s = (0.05, 0.15, 0.3, 0.6, 1.2, 4.0)[seed % 6]
            model = Model(seed, hosts, has_reports=has_reports)
            model.run(down_s, CRASH_S + down_s + 2.5)
            counts.append(model.busiest_second(CRASH_S + down_s))
        return counts

    def test_all_hosts_keep_to_the_limit_together(self) -> None:
        for hosts in (12, 24):
            with self.subTest(hosts=hosts):
                self.assertLessEqual(
                    max(self.busiest(hosts, has_reports=True)), ALLOWED
                )

    def test_without_reports_they_do_not(self) -> None:
        self.assertGreater(max(self.busiest(24, has_reports=False)), ALLOWED)

    def test_the_upstream_gets_its_requests_again_after_the_warm_up(self) -> None:
        for seed in range(6):
            model = Model(seed, 12)
            model.run(0.2, CRASH_S + 0.2 + WARM_UP_S + 3.0)
            after = [s for s in model.arrivals_s if s > CRASH_S + 0.2 + WARM_UP_S + 1.0]
            self.assertGreater(len(after), 0.7 * 2.0 * 12 * REQUESTS_PER_S)


class EvidenceTest(unittest.TestCase):
    """Guards against wrong conclusions from what hosts report."""

    def setUp(self) -> None:
        self.logs = [ObservationLog(n + 1, RESTART_KINDS) for n in range(3)]
        self.hosts = [UpstreamRestarts(log) for log in self.logs]

    def deliver(self, sender: int, receiver: int, now_s: float) -> bool:
        entries = report_entries(
            self.logs[sender], f"h{receiver}", lambda source: source is None, now_s, 40
        )
        learned = self.logs[receiver].apply_entries(
            entries, f"h{sender}", 0.06, now_s + 0.03
        )
        return any([self.hosts[receiver].apply(item, UPSTREAM) for item in learned])

    def suspicion(self, host: int) -> Suspicion:
        return self.hosts[host].suspicion_of("i-1")

    def is_cold(self, host: int, now_s: float) -> bool:
        return self.hosts[host].is_cold(UPSTREAM, WARM_UP_S, now_s)

    def test_a_cut_connection_of_one_host_concerns_no_other(self) -> None:
        self.hosts[0].record_lost(UPSTREAM, 10.0, earliest_s=10.0)
        self.deliver(0, 1, 10.0)
        self.assertEqual(self.suspicion(0), Suspicion.OWN)
        self.assertEqual(self.suspicion(1), Suspicion.NONE)

    def test_losses_of_two_hosts_at_about_the_same_time_do(self) -> None:
        self.hosts[0].record_lost(UPSTREAM, 10.0, earliest_s=10.0)
        self.hosts[1].record_lost(UPSTREAM, 10.1, earliest_s=10.1)
        self.deliver(0, 2, 10.1)
        self.deliver(1, 2, 10.1)
        self.assertEqual(self.suspicion(2), Suspicion.SHARED)

    def test_losses_at_different_times_do_not(self) -> None:
        self.hosts[0].record_lost(UPSTREAM, 10.0, earliest_s=10.0)
        self.deliver(0, 2, 10.0)
        self.hosts[1].record_lost(UPSTREAM, 12.0, earliest_s=12.0)
        self.deliver(1, 2, 12.0)
        self.assertEqual(self.suspicion(2), Suspicion.NONE)

    def test_a_refused_connection_of_one_host_concerns_all(self) -> None:
        self.hosts[0].record_refused(UPSTREAM, 10.0, earliest_s=10.0)
        self.assertTrue(self.deliver(0, 1, 10.0))
        self.assertTrue(self.is_cold(1, 11.0))

    def test_the_upstream_stays_cold_until_a_host_reaches_it(self) -> None:
        # The store is away, so no entry arrives, and the upstream is down for long.
        for second in range(60):
            self.hosts[0].record_refused(
                UPSTREAM, 10.0 + second, earliest_s=10.0 + second
            )
            self.deliver(0, 1, 10.0 + second)
        self.assertTrue(self.is_cold(1, 75.0))
        self.hosts[0].record_reached(UPSTREAM, 75.0, 75.0, 75.0)
        self.assertTrue(self.deliver(0, 1, 75.0))
        self.assertTrue(self.is_cold(1, 77.9))
        self.assertFalse(self.is_cold(1, 78.2))

    def test_an_upstream_that_nobody_uses_does_not_stay_cold_for_ever(self) -> None:
        self.hosts[0].record_refused(UPSTREAM, 10.0, earliest_s=10.0)
        self.assertFalse(self.is_cold(0, 10.0 + SUSPICION_TIMEOUT_S + 0.1))

    def test_an_answer_on_an_earlier_connection_refutes_the_suspicion(self) -> None:
        for host in (0, 1):
            self.hosts[host].record_lost(UPSTREAM, 10.0, earliest_s=10.0)
        for receiver in (1, 2):
            self.deliver(0, receiver, 10.0)
        self.deliver(1, 2, 10.0)
        self.hosts[2].record_reached(UPSTREAM, 5.0, 10.4, 10.4)
        self.assertFalse(self.is_cold(2, 10.4))
        self.deliver(2, 1, 10.4)
        self.assertFalse(self.is_cold(1, 10.5))

    def test_an_answer_to_a_request_from_before_refutes_nothing(self) -> None:
        self.hosts[0].record_refused(UPSTREAM, 10.0, earliest_s=10.0)
        self.hosts[0].record_reached(UPSTREAM, 5.0, 9.9, 10.1)
        self.assertTrue(self.is_cold(0, 10.2))

    def test_news_may_arrive_before_the_evidence(self) -> None:
        self.hosts[0].record_refused(UPSTREAM, 10.0, earliest_s=10.0)
        entries = report_entries(self.logs[0], "h1", lambda _: True, 10.0, 40)
        self.hosts[0].record_reached(UPSTREAM, 10.5, 10.5, 10.5)
        self.deliver(0, 2, 10.5)
        self.deliver(0, 1, 10.5)
        for late in self.logs[1].apply_entries(entries, "h0", 1.0, 10.9):
            self.hosts[1].apply(late, UPSTREAM)
        self.assertFalse(self.is_cold(1, 14.0))

    def test_evidence_of_an_earlier_start_is_ignored(self) -> None:
        self.hosts[0].record_refused(UPSTREAM, 10.0, earliest_s=10.0)
        entries = report_entries(self.logs[0], "h1", lambda _: True, 10.0, 40)
        (observation,) = self.logs[1].apply_entries(entries, "h0", 0.1, 10.1)
        self.hosts[1].record_start("i-1", 10.2)
        self.assertFalse(self.hosts[1].apply(observation, UPSTREAM))
        self.assertEqual(self.suspicion(1), Suspicion.NONE)

    def test_a_second_end_counts_after_the_first(self) -> None:
        self.hosts[0].record_refused(UPSTREAM, 10.0, earliest_s=10.0)
        self.hosts[0].record_reached(UPSTREAM, 11.0, 11.0, 11.0)
        self.assertFalse(self.is_cold(0, 14.5))
        self.hosts[0].record_refused(UPSTREAM, 12.0, earliest_s=12.0)
        self.assertEqual(self.suspicion(0), Suspicion.SHARED)
        self.assertTrue(self.is_cold(0, 14.5))

    def test_a_second_end_is_reported_to_the_other_hosts(self) -> None:
        self.hosts[0].record_refused(UPSTREAM, 10.0, earliest_s=10.0)
        self.hosts[0].record_reached(UPSTREAM, 11.0, 11.0, 11.2)
        self.hosts[0].record_unreachable(UPSTREAM, WARM_UP_S, 12.5)
        self.assertTrue(
            self.hosts[0].record_refused(UPSTREAM, 12.6, earliest_s=12.6),
            "the other hosts know of the first end only",
        )

    def test_an_end_after_an_entry_is_reported_to_the_other_hosts(self) -> None:
        # The others take the entry for the start that followed the evidence.
        self.hosts[0].record_refused(UPSTREAM, 10.0, earliest_s=10.0)
        self.hosts[0].record_start("i-1", 10.8)
        self.hosts[0].record_unreachable(UPSTREAM, WARM_UP_S, 12.0)
        self.assertTrue(self.hosts[0].record_refused(UPSTREAM, 12.1, earliest_s=12.1))
        self.hosts[1].record_refused(UPSTREAM, 10.0, earliest_s=10.0)
        self.hosts[1].record_start("i-1", 10.8)
        self.assertTrue(self.hosts[1].record_lost(UPSTREAM, 12.0, earliest_s=12.0))

    def test_late_evidence_does_not_undo_that_the_upstream_was_reached(self) -> None:
        self.hosts[0].record_refused(UPSTREAM, 10.0, earliest_s=10.0)
        self.hosts[1].record_lost(UPSTREAM, 10.05, earliest_s=10.05)
        self.hosts[0].record_reached(UPSTREAM, 10.3, 10.3, 10.3)
        self.deliver(1, 0, 10.4)
        self.assertEqual(self.suspicion(0), Suspicion.NONE)

    def test_reports_of_one_upstream_are_few(self) -> None:
        for step in range(300):
            self.hosts[0].record_refused(
                UPSTREAM, 10.0 + 0.01 * step, earliest_s=10.0 + 0.01 * step
            )
            self.hosts[0].record_lost(
                UPSTREAM, 10.0 + 0.01 * step, earliest_s=10.0 + 0.01 * step
            )
        self.assertLessEqual(self.logs[0].learned_count, 4)


if __name__ == "__main__":
    unittest.main()
