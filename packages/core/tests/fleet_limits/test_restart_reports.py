"""Load pattern: upstreams start again, and hosts tell each other what they saw."""

from __future__ import annotations

import unittest
from dataclasses import replace

from gossip.support import report_entries

from cardamomquay.fleet_limits import RESTART_KINDS
from cardamomquay.fleet_limits import Suspicion
from cardamomquay.fleet_limits import UpstreamRestarts
from cardamomquay.gossip import ObservationLog
from cardamomquay.traffic import Upstream
from cardamomquay.traffic import UpstreamState

ENTRY = Upstream(
    "i-1", "browse", "u:80", "a", "v1", 3, UpstreamState.READY, started_at_ms=1_000
)
OTHER_ENTRY = replace(ENTRY, instance="i-2", address="v:80")
WARM_UP_S = 3.0
TRANSIT_S = 0.02
COUNT_MAX = 40


class FakeHost:
    """One host with its own log, on a clock that all hosts share."""

    def __init__(self, origin: int, entry: Upstream = ENTRY) -> None:
        self.name = f"h{origin}"
        self.entry = entry
        self.log = ObservationLog(origin, RESTART_KINDS)
        self.restarts = UpstreamRestarts(self.log)

    def report_to(
        self, *others: FakeHost, now_s: float, forwards: bool = False
    ) -> None:
        """Send a report that arrives after `TRANSIT_S`."""
        for other in others:
            entries = report_entries(
                self.log,
                other.name,
                lambda source: source is None or forwards,
                now_s,
                COUNT_MAX,
            )
            arrival_s = now_s + TRANSIT_S
            for observation in other.log.apply_entries(
                entries, self.name, 2 * TRANSIT_S, arrival_s
            ):
                other.restarts.apply(observation, other.entry)

    def is_cold(self, now_s: float) -> bool:
        return self.restarts.is_cold(self.entry, WARM_UP_S, now_s)


class RepeatedRestartTest(unittest.TestCase):
    """Guards against a second start that other hosts do not hear of."""

    def setUp(self) -> None:
        self.one, self.two, self.three = (FakeHost(n) for n in (1, 2, 3))

    def restart_seen_by_first(self, down_s: float, up_s: float) -> None:
        self.one.restarts.record_refused(self.one.entry, down_s, earliest_s=down_s)
        self.one.report_to(self.two, now_s=down_s)
        self.one.restarts.record_reached(self.one.entry, up_s, up_s, up_s)
        self.one.report_to(self.two, now_s=up_s)

    def test_a_refusal_shortly_after_an_earlier_one_is_sent(self) -> None:
        self.restart_seen_by_first(100.0, 100.35)
        self.assertIs(self.two.restarts.suspicion_of("i-1"), Suspicion.NONE)
        self.one.restarts.record_refused(self.one.entry, 101.5, earliest_s=101.5)
        for at_s in (101.5, 102.0, 102.5, 103.0, 103.5):
            self.one.report_to(self.two, now_s=at_s)
        self.assertIs(self.two.restarts.suspicion_of("i-1"), Suspicion.SHARED)

    def test_losses_shortly_after_earlier_ones_are_sent(self) -> None:
        for down_s in (100.0, 101.5):
            for host in (self.one, self.two):
                host.restarts.record_lost(host.entry, down_s, earliest_s=down_s)
            # The reports cross.
            self.one.report_to(self.two, self.three, now_s=down_s + 0.01)
            self.two.report_to(self.one, self.three, now_s=down_s + 0.01)
            self.assertIs(
                self.three.restarts.suspicion_of("i-1"), Suspicion.SHARED, down_s
            )
            up_s = down_s + 0.35
            for host in (self.one, self.two):
                host.restarts.record_reached(host.entry, up_s, up_s, up_s)
            self.one.report_to(self.two, self.three, now_s=up_s)
            self.two.report_to(self.one, self.three, now_s=up_s)
            self.assertIs(self.three.restarts.suspicion_of("i-1"), Suspicion.NONE)

    def test_the_end_of_a_second_suspicion_is_sent(self) -> None:
        self.restart_seen_by_first(100.0, 100.35)
        # A third host has seen the second interruption, and the first one reaches the
        # upstream after it.
        self.three.restarts.record_refused(self.three.entry, 101.0, earliest_s=101.0)
        self.three.report_to(self.one, self.two, now_s=101.0)
        self.one.restarts.record_reached(self.one.entry, 101.35, 101.35, 101.35)
        for at_s in (101.35, 101.8, 102.3, 102.8):
            self.one.report_to(self.two, now_s=at_s)
        self.assertIs(self.two.restarts.suspicion_of("i-1"), Suspicion.NONE)

    def test_an_old_loss_does_not_displace_one_that_confirms_another(self) -> None:
        gateway, far = FakeHost(8), FakeHost(9)
        self.one.restarts.record_lost(self.one.entry, 100.0, earliest_s=100.0)
        self.one.report_to(gateway, now_s=100.0)
        gateway.report_to(far, now_s=100.02, forwards=True)
        for host in (self.two, self.three):
            host.restarts.record_lost(host.entry, 101.5, earliest_s=101.5)
            host.report_to(gateway, now_s=101.5)
        self.assertIs(gateway.restarts.suspicion_of("i-1"), Suspicion.SHARED)
        for at_s in (101.6, 102.1, 102.6, 103.1, 103.6):
            gateway.report_to(far, now_s=at_s, forwards=True)
        self.assertIs(far.restarts.suspicion_of("i-1"), Suspicion.SHARED)


class LateEntryTest(unittest.TestCase):
    """Guards against an entry that hides a later start than its own."""

    def test_an_entry_of_an_earlier_start_does_not_end_a_suspicion(self) -> None:
        later = replace(ENTRY, started_at_ms=60_000)
        # The first host has read the entry of the second start, and sees its end; the
        # other one reads that entry after the report.
        one, two = FakeHost(1, later), FakeHost(2, ENTRY)
        one.restarts.record_refused(later, 100.0, earliest_s=100.0)
        one.report_to(two, now_s=100.0)
        self.assertTrue(two.is_cold(100.1))
        two.entry = later
        # The entry says that the upstream has been warm for long.
        two.restarts.record_start("i-1", 97.0)
        for at_s in (100.5, 101.0):
            one.report_to(two, now_s=at_s)
        self.assertTrue(two.is_cold(101.1))

    def test_a_host_with_an_older_entry_reports_the_end_of_the_later_start(
        self,
    ) -> None:
        later = replace(ENTRY, started_at_ms=60_000)
        # The second host has read the entry of the second start at 100.0. The first one
        # has not when it sees that start's end.
        one, two = FakeHost(1, ENTRY), FakeHost(2, later)
        two.restarts.record_start("i-1", 100.0)
        one.restarts.record_refused(ENTRY, 101.5, earliest_s=101.5)
        one.report_to(two, now_s=101.5)
        self.assertIs(two.restarts.suspicion_of("i-1"), Suspicion.SHARED)


class OrderTest(unittest.TestCase):
    """Guards against reports whose order changes the result."""

    def test_a_late_report_of_an_older_loss_does_not_displace_newer_ones(self) -> None:
        one, two, three, far = (FakeHost(n) for n in (1, 2, 3, 4))
        three.restarts.record_lost(ENTRY, 98.0, earliest_s=98.0)
        one.restarts.record_lost(ENTRY, 100.0, earliest_s=100.0)
        two.restarts.record_lost(ENTRY, 100.1, earliest_s=100.1)
        one.report_to(far, now_s=100.1)
        three.report_to(far, now_s=100.15)
        two.report_to(far, now_s=100.2)
        self.assertIs(far.restarts.suspicion_of("i-1"), Suspicion.SHARED)

    def test_a_refusal_that_crosses_the_news_of_the_end_does_not_last(self) -> None:
        one, two, three = (FakeHost(n) for n in (1, 2, 3))
        # One interruption, from 100.0 to 100.145.
        one.restarts.record_refused(ENTRY, 100.0, earliest_s=100.0)
        one.report_to(two, now_s=100.0)  # The copy to the third host is lost.
        three.restarts.record_refused(ENTRY, 100.14, earliest_s=100.14)
        three.report_to(two, now_s=100.14)
        one.restarts.record_reached(ENTRY, 100.15, 100.15, 100.15)
        one.report_to(two, now_s=100.15)
        three.report_to(one, now_s=100.15)
        for at_s in (100.5, 101.0, 101.5, 102.0):
            one.restarts.record_reached(ENTRY, 100.15, at_s - 0.05, at_s)
            one.report_to(two, now_s=at_s)
        self.assertIs(one.restarts.suspicion_of("i-1"), Suspicion.NONE)
        self.assertIs(two.restarts.suspicion_of("i-1"), Suspicion.NONE)


class BoundsTest(unittest.TestCase):
    """Guards against conclusions from times that are not known so exactly."""

    def test_a_loss_noticed_late_is_not_refuted_by_the_upstreams_next_start(
        self,
    ) -> None:
        one, two = FakeHost(1), FakeHost(2)
        # The upstream was down from 100.0 to 100.15. The first host's process was
        # suspended meanwhile and finds the connection refused, as it was, at 100.3.
        one.restarts.record_refused(ENTRY, 100.3, earliest_s=100.05)
        one.report_to(two, now_s=100.3)
        # The other host has a connection to the later start since 100.2.
        two.restarts.record_reached(ENTRY, 100.2, 100.4, 100.45)
        self.assertTrue(two.is_cold(100.5))

    def test_an_answer_just_before_the_report_refutes_it(self) -> None:
        one, two, three = (FakeHost(n) for n in (1, 2, 3))
        for host in (one, two):
            host.restarts.record_lost(ENTRY, 100.0, earliest_s=100.0)
        # The third host got an answer on its old connection after these losses.
        three.restarts.record_reached(ENTRY, 90.0, 100.1, 100.15)
        one.report_to(three, now_s=100.18)
        two.report_to(three, now_s=100.18)
        self.assertFalse(three.is_cold(100.3))


class StateTest(unittest.TestCase):
    """Guards against suspicions that outlast their reason."""

    def test_suspicions_of_upstreams_that_are_not_used_are_dropped(self) -> None:
        one, two = FakeHost(1), FakeHost(2)
        one.restarts.record_refused(ENTRY, 100.0, earliest_s=100.0)
        one.report_to(two, now_s=100.0)
        self.assertEqual(len(two.restarts), 1)
        two.restarts.record_unreachable(OTHER_ENTRY, WARM_UP_S, 4000.0)
        self.assertFalse(two.restarts.is_cold(OTHER_ENTRY, WARM_UP_S, 4020.0))
        self.assertEqual(len(two.restarts), 0)

    def test_an_upstream_without_warm_up_is_never_cold(self) -> None:
        one, two = FakeHost(1), FakeHost(2)
        one.restarts.record_refused(ENTRY, 100.0, earliest_s=100.0)
        one.report_to(two, now_s=100.0)
        self.assertFalse(two.restarts.is_cold(ENTRY, 0.0, 100.1))


if __name__ == "__main__":
    unittest.main()
