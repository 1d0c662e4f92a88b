"""Load pattern: upstreams end while many hosts report to each other with delays.

Hosts pass on what they learn of crashes and answers. A copy that counted as newer at
each host would be passed on again by each of them, without end.
"""

from __future__ import annotations

import heapq
import unittest
from collections import Counter
from itertools import count
from typing import Any

import msgspec
from edge.test_gateways import Fleet
from edge.test_peers import Host
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cardamomquay.clock import ManualClock
from cardamomquay.fleet import HostPhase
from cardamomquay.fleet_limits import CRASHED
from cardamomquay_daemon.edge._attempts import Attempt
from cardamomquay_daemon.edge._attempts import AttemptOutcome
from cardamomquay_daemon.edge._attempts import AttemptResult
from cardamomquay_daemon.edge._caller_conn import CallerRequest
from cardamomquay_daemon.edge._relay import RequestContext
from cardamomquay_daemon.edge._reports import Report

DEADLY = 0xDEADC0DE12345678
DELAY_MIN_S = 0.001
DELAY_MAX_S = 0.3
LOSS = 0.05
DUPLICATES = 0.1
# Reports reach all hosts within this time, also when some are lost.
KNOWN_EVERYWHERE_S = 4.0
LOG_EVENTS = ("request_suspected", "request_cleared")


class EarlierReports:
    """Crashes and answers as the version before wrote and read them in reports."""

    FIELDS = Report.__struct_fields__.index("echo_held_ms")
    CRASHES = Report.__struct_fields__.index("crashes")
    REPEAT_S = 2.2
    SAME_CRASH_S = 1.0

    def __init__(self) -> None:
        self.crashes: dict[int, list[tuple[int, float]]] = {}
        self.cleared_s: dict[int, float] = {}
        self.recent: list[tuple[float, int, int, float]] = []

    def apply(self, request: int, upstream: int, at_s: float, now_s: float) -> None:
        if at_s <= self.cleared_s.get(request, 0.0):
            return
        crashes = self.crashes.setdefault(request, [])
        if upstream == -1:
            crashes[:] = [crash for crash in crashes if crash[1] > at_s]
            self.cleared_s[request] = at_s
        elif any(
            known == upstream and abs(known_s - at_s) < self.SAME_CRASH_S
            for known, known_s in crashes
        ):
            return
        else:
            crashes.append((upstream, at_s))
        self.recent.append((now_s, request, upstream, at_s))

    def receive(self, data: bytes, now_s: float) -> bytes:
        """Apply the entries of a datagram; return what else is in it."""
        fields = msgspec.msgpack.decode(data)
        entries, fields[self.CRASHES] = fields[self.CRASHES], []
        for start in range(0, len(entries), 3):
            request, upstream, age_ms = entries[start : start + 3]
            self.apply(request, upstream, now_s - age_ms / 1000.0, now_s)
        return msgspec.msgpack.encode(fields[: self.FIELDS])

    def replace(self, data: bytes, now_s: float) -> bytes:
        """Return a datagram as the version before would have sent it."""
        fields = msgspec.msgpack.decode(data)
        self.recent = [i for i in self.recent if now_s - i[0] <= self.REPEAT_S]
        entries: list[int] = []
        for _, request, upstream, at_s in reversed(self.recent[-40:]):
            entries += (request, upstream, int((now_s - at_s) * 1000.0))
        fields[self.CRASHES] = entries
        return msgspec.msgpack.encode(fields[: self.FIELDS])


class DelayingFleet(Fleet):
    """Fleet whose datagrams arrive late, in any order, twice or not at all."""

    def __init__(
        self,
        hosts_per_zone: int,
        loss: float = LOSS,
        delays_s: tuple[float, float] = (DELAY_MIN_S, DELAY_MAX_S),
    ) -> None:
        super().__init__(loss, hosts_per_zone)
        self.delays_s = delays_s
        self.under_way: list[tuple[float, int, bytes, str, tuple[str, int]]] = []
        self.numbers = count()
        # Hosts of the version before observations had an identity.
        self.earlier: dict[str, EarlierReports] = {}

    def deliver(self, host: Host) -> None:
        now_s = self.clock.now_s()
        sent, host.sent = host.sent, []
        reports = self.earlier.get(host.address[0])
        if reports is not None:
            sent = [(reports.replace(data, now_s), name) for data, name in sent]
        for data, name in sent:
            for _ in range(1 + (self.rng.random() < DUPLICATES)):
                if self.rng.random() >= self.loss_share:
                    due_s = now_s + self.rng.uniform(*self.delays_s)
                    item = (due_s, next(self.numbers), data, name, host.address)
                    heapq.heappush(self.under_way, item)
        while self.under_way and self.under_way[0][0] <= now_s:
            _, _, data, name, address = heapq.heappop(self.under_way)
            if name in self.earlier:
                data = self.earlier[name].receive(data, now_s)
            if name in self.network:
                self.network[name].peers.datagram_received(data, address)

    @classmethod
    def crash(
        cls, host: Host, upstream: int, request: int = DEADLY, took_s: float = 0.05
    ) -> None:
        """Let an upstream end while the host has a request there."""
        attempt = Attempt(f"i-{upstream}", "a", False, 0.1, 0.0, 0.0, True, True)
        attempt.took_s = took_s
        cls.record(host, request, attempt, AttemptOutcome.BROKEN)

    def answer(self, host: Host, request: int = DEADLY) -> None:
        """Let a request get a complete answer at the host."""
        attempt = Attempt("i-0", "a", False, 0.1, 0.0, 0.0, True)
        self.record(host, request, attempt, AttemptOutcome.ANSWERED)

    @staticmethod
    def record(
        host: Host, request: int, attempt: Attempt, outcome: AttemptOutcome
    ) -> None:
        context = RequestContext(
            CallerRequest(b"GET", b"/", [], b"", 0.0), "id-1", fingerprint=request
        )
        result = AttemptResult(outcome)
        if host.poison_guard.record_result(context, attempt, result):
            host.peers.report_urgently()

    def log_lines(self) -> Counter[str]:
        """Return the number of lines of all hosts on suspects, by event."""
        return Counter(
            name
            for host in self.hosts()
            for name, _ in host.telemetry.events
            if name in LOG_EVENTS
        )

    def quarantined_count(self, request: int = DEADLY) -> int:
        """Return the number of hosts that refuse a request."""
        now_s = self.clock.now_s()
        return sum(
            host.poison_guard.requests.quarantine_left_s(request, now_s) > 0.0
            for host in self.hosts()
        )


class CirculatingObservationsTest(unittest.TestCase):
    """Guards against observations that count as new again at each host."""

    def test_a_crash_and_an_answer_are_logged_a_few_times_only(self) -> None:
        for hosts_per_zone in (4, 9, 14):
            with self.subTest(hosts_per_zone=hosts_per_zone):
                fleet = DelayingFleet(hosts_per_zone)
                fleet.run(3.0)
                first, second = fleet.hosts()[0], fleet.hosts()[-1]
                fleet.crash(first, 1)
                fleet.run(1.5)
                fleet.answer(second)
                fleet.run(KNOWN_EVERYWHERE_S)
                before = fleet.log_lines()
                for event in LOG_EVENTS:
                    self.assertLessEqual(before[event], len(fleet.hosts()), event)
                fleet.run(10.0)
                self.assertEqual(fleet.log_lines() - before, Counter())

    def test_crashes_after_an_answer_quarantine_the_request_on_all_hosts(self) -> None:
        for hosts_per_zone in (4, 9):
            with self.subTest(hosts_per_zone=hosts_per_zone):
                fleet = DelayingFleet(hosts_per_zone)
                fleet.run(3.0)
                host = fleet.hosts()[0]
                fleet.crash(host, 1)
                fleet.run(1.0)
                fleet.answer(host)
                fleet.run(15.0)
                for upstream in (2, 3, 4):
                    fleet.crash(host, upstream)
                    fleet.run(0.5)
                fleet.run(KNOWN_EVERYWHERE_S)
                self.assertEqual(fleet.quarantined_count(), len(fleet.hosts()))
                fleet.run(15.0)
                self.assertEqual(fleet.quarantined_count(), len(fleet.hosts()))

    def test_a_crash_in_a_report_that_another_one_overtakes_is_known(self) -> None:
        # It would be sent again after half a second at the earliest.
        clock = ManualClock(100.0)
        network: dict[str, Any] = {}
        one, two = Host("h1", clock, network), Host("h2", clock, network)
        one.peers._update_host(two.fleet.own)
        two.peers._update_host(one.fleet.own)
        for host in (one, two, one, two):
            host.peers.report()
            host.deliver()
        clock.advance(1.0)
        DelayingFleet.crash(one, 1)
        clock.advance(0.02)
        one.peers.report()
        late, later = [data for data, _ in one.sent]
        two.peers.datagram_received(later, one.address)
        self.assertEqual(two.poison_guard.requests.crash_count(DEADLY), 0)
        two.peers.datagram_received(late, one.address)
        self.assertEqual(two.poison_guard.requests.crash_count(DEADLY), 1)
        # Nothing else of it counts.
        self.assertEqual(two.fleet.peers["h1"].report_clock_ms, 101_020)


class ManyCrashesTest(unittest.TestCase):
    """Guards against a log that grows with the number of hosts and reports.

    Load pattern: half of the upstreams end while 1,000 requests are in progress on all
    of them, 900 different ones and ten popular ones, and each is answered elsewhere.
    """

    UPSTREAMS = 16
    REQUESTS = 1000
    POPULAR = 10

    def test_each_crash_and_answer_is_logged_by_the_host_that_saw_it(self) -> None:
        for hosts_per_zone in (4, 9):
            with self.subTest(hosts_per_zone=hosts_per_zone):
                fleet = DelayingFleet(hosts_per_zone)
                fleet.run(3.0)
                crashed = []
                for number in range(self.REQUESTS):
                    request = number if number < 900 else number % self.POPULAR
                    if fleet.rng.randrange(self.UPSTREAMS) < self.UPSTREAMS // 2:
                        crashed.append((fleet.rng.choice(fleet.hosts()), request))
                for host, request in crashed:
                    upstream = fleet.rng.randrange(self.UPSTREAMS // 2)
                    took_s = fleet.rng.uniform(0.01, 0.3)
                    fleet.crash(host, upstream, request, took_s)
                fleet.run(0.3)
                for host, request in crashed:
                    fleet.answer(host, request)
                fleet.run(KNOWN_EVERYWHERE_S + 6.0)
                # Those in quarantine meanwhile are also logged by the other hosts.
                most = len(crashed) + self.POPULAR * len(fleet.hosts())
                lines = fleet.log_lines()
                self.assertLessEqual(lines["request_suspected"], most)
                self.assertLessEqual(lines["request_cleared"], most)
                before = lines
                fleet.run(10.0)
                self.assertEqual(fleet.log_lines() - before, Counter())

    def test_a_deadly_request_is_known_everywhere_beside_them(self) -> None:
        for hosts_per_zone in (4, 9):
            with self.subTest(hosts_per_zone=hosts_per_zone):
                fleet = DelayingFleet(hosts_per_zone)
                fleet.run(3.0)
                for request in range(500):
                    upstream = fleet.rng.randrange(8)
                    fleet.crash(fleet.rng.choice(fleet.hosts()), upstream, request)
                for upstream in range(3):
                    fleet.crash(fleet.rng.choice(fleet.hosts()), upstream)
                for request in range(500, 1000):
                    upstream = fleet.rng.randrange(8)
                    fleet.crash(fleet.rng.choice(fleet.hosts()), upstream, request)
                fleet.run(KNOWN_EVERYWHERE_S)
                self.assertEqual(fleet.quarantined_count(), len(fleet.hosts()))


class WrongEntriesTest(unittest.TestCase):
    """Guards against an entry that makes a host ignore the rest of a report."""

    wrong = st.one_of(
        st.none(),
        st.integers(-(2**63), 2**64 - 1),
        st.text(max_size=5),
        st.dictionaries(st.text(max_size=2), st.integers(0, 9), max_size=2),
        st.lists(
            st.one_of(
                st.integers(-(2**63), 2**64 - 1),
                st.floats(),
                st.none(),
                st.text(max_size=2),
                st.lists(st.integers(0, 9), max_size=2),
            ),
            max_size=30,
        ),
    )

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(wrong)
    def test_the_rest_of_the_report_is_applied(self, wrong: object) -> None:
        clock = ManualClock(100.0)
        network: dict[str, Any] = {}
        one, two = Host("h1", clock, network), Host("h2", clock, network)
        one.peers._update_host(two.fleet.own)
        two.peers._update_host(one.fleet.own)
        one.fleet.own_phase = HostPhase.LEAVING
        one.eligibility.notices.record_leaving(4711, clock.now_s())
        # The report then echoes the receiver's clock.
        two.peers.report()
        two.deliver()
        one.sent.clear()
        one.peers.report()
        fields = msgspec.msgpack.decode(one.sent[0][0])
        entry = [7, 1, CRASHED.code, DEADLY, (5 << 4 | 1) << 24 | 100, 5, 5]
        is_list = isinstance(wrong, list)
        fields[Report.__struct_fields__.index("observations")] = (
            entry + wrong if is_list else wrong
        )
        two.peers.datagram_received(msgspec.msgpack.encode(fields), one.address)
        self.assertNotIn("peers.malformed", two.telemetry.counters)
        self.assertIs(two.fleet.peers["h1"].phase, HostPhase.LEAVING)
        self.assertEqual(
            two.eligibility.notices.leaving_for_report(clock.now_s()), [4711]
        )
        if is_list:
            count = two.poison_guard.requests.crash_count(DEADLY)
            self.assertEqual(count, 1)
        elif wrong is not None:
            rejected = two.telemetry.counters["peers.observations_rejected"]
            self.assertEqual(rejected, 1)


class VersionsSideBySideTest(unittest.TestCase):
    """Guards against hosts that do not understand each other during an upgrade.

    Hosts of the version before, every second one here, pass observations on without
    end, each time with a later date. A gateway of that version passes on nothing else.
    """

    def fleet(self, hosts_per_zone: int = 4) -> DelayingFleet:
        fleet = DelayingFleet(hosts_per_zone)
        fleet.run(3.0)
        now_s = fleet.clock.now_s()
        for host in fleet.hosts():
            if int(host.address[0][1:]) % 2 == 0 or host.fleet.is_gateway(now_s):
                continue
            fleet.earlier[host.address[0]] = EarlierReports()
        fleet.run(3.0)
        return fleet

    def later(self, fleet: DelayingFleet) -> list[Host]:
        return [h for h in fleet.hosts() if h.address[0] not in fleet.earlier]

    def counts(self, fleet: DelayingFleet) -> list[int]:
        return [
            host.poison_guard.requests.crash_count(DEADLY) for host in self.later(fleet)
        ]

    def test_crashes_at_later_hosts_are_known_to_all(self) -> None:
        fleet = self.fleet()
        for upstream, host in enumerate(self.later(fleet)[:3]):
            fleet.crash(host, upstream)
            fleet.run(0.5)
        fleet.run(KNOWN_EVERYWHERE_S)
        self.assertEqual(self.counts(fleet), [3] * 6)
        for reports in fleet.earlier.values():
            upstreams = {upstream for upstream, _ in reports.crashes[DEADLY]}
            self.assertEqual(len(upstreams), 3)

    def test_crashes_at_earlier_hosts_are_known_to_all_and_not_passed_on(self) -> None:
        fleet = self.fleet()
        for upstream, reports in zip((1, 2, 3), fleet.earlier.values(), strict=False):
            now_s = fleet.clock.now_s()
            reports.apply(DEADLY, upstream, now_s, now_s)
            fleet.run(0.5)
        fleet.run(KNOWN_EVERYWHERE_S)
        self.assertEqual(self.counts(fleet), [3] * 6)
        fleet.run(10.0)
        self.assertEqual(self.counts(fleet), [3] * 6)
        for host in self.later(fleet):
            self.assertEqual(host.eligibility.observations.learned_count, 0)

    def test_an_answer_at_a_later_host_clears_the_request_on_all(self) -> None:
        fleet = self.fleet()
        host = self.later(fleet)[0]
        fleet.crash(host, 1)
        fleet.run(2.0)
        fleet.answer(host)
        fleet.run(KNOWN_EVERYWHERE_S)
        self.assertEqual(self.counts(fleet), [0] * 6)
        for reports in fleet.earlier.values():
            self.assertEqual(reports.crashes.get(DEADLY, []), [])

    def test_echoes_of_an_answer_do_not_clear_crashes_at_later_hosts(self) -> None:
        for hosts_per_zone in (4, 9):
            with self.subTest(hosts_per_zone=hosts_per_zone):
                fleet = self.fleet(hosts_per_zone)
                hosts = self.later(fleet)
                fleet.crash(hosts[0], 1)
                fleet.run(2.0)
                fleet.answer(hosts[0])
                fleet.run(10.0)
                before = fleet.log_lines()
                for upstream in (2, 3, 4):
                    fleet.crash(hosts[1], upstream)
                    fleet.run(0.5)
                fleet.run(15.0)
                self.assertEqual(self.counts(fleet), [3] * len(hosts))
                lines = fleet.log_lines() - before
                self.assertLessEqual(lines["request_suspected"], len(hosts) + 3)
                self.assertEqual(lines["request_cleared"], 0)

    def test_the_echoes_end_with_the_last_earlier_host(self) -> None:
        fleet = self.fleet()
        fleet.crash(self.later(fleet)[0], 1)
        fleet.run(2.0)
        fleet.answer(self.later(fleet)[0])
        fleet.run(2.0)
        fleet.earlier.clear()
        fleet.run(KNOWN_EVERYWHERE_S)
        self.assertEqual(self.counts(fleet), [0] * 12)
        for host in fleet.hosts():
            host.sent.clear()
            host.peers.report()
            for data, _ in host.sent:
                fields = msgspec.msgpack.decode(data)
                self.assertEqual(fields[EarlierReports.CRASHES], [])


if __name__ == "__main__":
    unittest.main()
