from __future__ import annotations

import unittest

from usage.simulated_usage import BOUNDS
from usage.simulated_usage import Host
from usage.simulated_usage import Simulation

from cardamomquay.usage import ReadRow
from cardamomquay.usage import ReporterEventKind
from cardamomquay.usage import Send
from cardamomquay.usage import UsageBounds
from cardamomquay.usage import UsageReporter
from cardamomquay.usage import WindowCounts
from cardamomquay.usage import WriteRow

SETTLED_S = 20.0


class FailureTest(unittest.TestCase):
    """Guards against reports that a failure of the design note prevents or doubles."""

    def setUp(self) -> None:
        self.simulation = Simulation(4, seed=3)
        self.begin_s = self.simulation.now_s + 2.0
        self.simulation.run(SETTLED_S)

    def holder(self) -> Host:
        name = self.simulation.holder()
        assert name is not None
        return self.simulation.hosts[name]

    def tearDown(self) -> None:
        self.assertEqual(self.simulation.violations(), [])

    def check_all_in_time(self) -> None:
        unreported = self.simulation.unreported(self.begin_s, self.simulation.now_s)
        self.assertEqual(unreported, [])

    def missed(self) -> int:
        return sum(
            event.number
            for host in self.simulation.hosts.values()
            for event in host.events
            if event.kind is ReporterEventKind.MISSED
        )

    def run_until(self, kind: type[object], seconds: float = 10.0) -> None:
        """Run until the holder has begun a step of a kind."""
        until_s = self.simulation.now_s + seconds
        while self.simulation.now_s < until_s:
            self.simulation.run(0.05)
            operation = self.holder().operation
            if operation is not None and isinstance(operation.step, kind):
                return
        self.fail(f"no step {kind}")

    def test_one_write_for_each_window_without_faults(self) -> None:
        version = self.simulation.store.version
        self.simulation.run(40.0)
        writes = self.simulation.store.version - version
        self.assertEqual(writes, 40.0 / BOUNDS.window_s)
        self.check_all_in_time()

    def test_a_killed_holder_is_replaced_in_time(self) -> None:
        for step in (WriteRow, Send):
            with self.subTest(step):
                self.run_until(step)
                killed = self.holder().name
                self.simulation.kill(killed)
                self.simulation.run(SETTLED_S)
                self.assertNotEqual(self.holder().name, killed)
                self.check_all_in_time()
                self.simulation.start(killed)
                self.simulation.run(SETTLED_S)

    def test_a_frozen_holder_is_replaced_and_sends_nothing_later(self) -> None:
        self.run_until(Send)
        frozen = self.holder().name
        self.simulation.freeze(frozen)
        self.simulation.run(SETTLED_S)
        count = len(self.simulation.calls)
        self.simulation.thaw(frozen)
        self.simulation.run(SETTLED_S)
        later = [call for call in self.simulation.calls[count:] if not call.is_exempt]
        self.assertNotIn(frozen, {call.host for call in later})

    def test_a_lost_response_of_the_store_or_platform(self) -> None:
        for step in (WriteRow, Send):
            with self.subTest(step):
                self.simulation.lost_responses = 1
                self.simulation.run(SETTLED_S)
                self.check_all_in_time()

    def test_a_write_that_is_performed_later(self) -> None:
        self.simulation.delayed_writes.append(6.0)
        self.simulation.run(SETTLED_S)
        self.check_all_in_time()

    def test_windows_of_a_store_outage_are_reported_afterwards_in_order(self) -> None:
        self.simulation.is_store_down = True
        self.simulation.run(2.0 * BOUNDS.window_s)
        count = len(self.simulation.calls)
        self.simulation.run(30.0)
        self.assertEqual(len(self.simulation.calls), count)
        self.simulation.is_store_down = False
        self.simulation.run(30.0)
        windows = [call.window for call in self.simulation.calls[count:]]
        self.assertEqual(sorted(windows), windows)
        first = self.simulation.calls[count - 1].window
        self.assertLessEqual(
            set(range(first + 1, windows[-1])), {*windows, first}, self.missed()
        )

    def test_windows_of_a_platform_outage_are_reported_afterwards(self) -> None:
        last = self.simulation.calls[-1].window
        self.simulation.is_platform_down = True
        self.simulation.run(60.0)
        self.simulation.is_platform_down = False
        self.simulation.run(40.0)
        windows = {call.window for call in self.simulation.calls}
        self.assertLessEqual(set(range(last + 1, max(windows))), windows)
        self.assertEqual(self.missed(), 0)

    def test_a_holder_without_the_store_or_the_platform_is_replaced(self) -> None:
        for link in ("reaches_store", "reaches_platform"):
            with self.subTest(link):
                host = self.holder()
                setattr(host, link, False)
                self.simulation.run(SETTLED_S)
                self.assertNotEqual(self.simulation.calls[-1].host, host.name)
                self.check_all_in_time()
                setattr(host, link, True)
                self.simulation.run(SETTLED_S)

    def test_an_isolated_host_neither_takes_over_nor_agrees(self) -> None:
        host = self.holder()
        host.reaches_hosts = False
        self.simulation.run(12.0)
        self.assertFalse(host.reporter.is_holder)
        others = [h for h in self.simulation.hosts.values() if h is not host]
        self.assertEqual(sum(h.reporter.is_holder for h in others), 1)

    def test_a_restored_store_gives_no_token_out_again(self) -> None:
        tokens = {call.token for call in self.simulation.calls}
        self.simulation.store.copy()
        self.simulation.run(7.0)
        self.simulation.store.restore(0)
        # A write of another row meets the versions that are given out again.
        self.simulation.run(SETTLED_S)
        later = {call.token for call in self.simulation.calls[-3:]}
        self.assertEqual(len(later), 1)
        self.assertGreater(min(later), max(tokens))

    def test_a_killed_holder_and_a_restored_store_give_a_window_up(self) -> None:
        self.simulation.store.copy()
        self.run_until(Send)
        self.simulation.run(0.3)
        self.simulation.store.restore(0)
        self.simulation.kill(self.holder().name)
        self.simulation.run(SETTLED_S)
        self.assertGreater(self.missed(), 0)

    def test_a_row_of_another_program_is_replaced(self) -> None:
        store = self.simulation.store
        for value in (None, {"era": "x"}, {"bodies": 3}):
            with self.subTest(value):
                store.version += 1
                store.row_version, store.value = store.version, value
                self.simulation.run(SETTLED_S)
                self.assertIsNotNone(self.simulation.holder())
                self.assertIsNotNone(store.value)
                self.assertGreater(self.simulation.calls[-1].token, store.version - 20)

    def test_a_platform_that_refuses_a_body_does_not_hold_up_the_next(self) -> None:
        reporter = self.holder().reporter
        self.run_until(Send)
        operation = self.holder().operation
        assert operation is not None and isinstance(operation.step, Send)
        now_s = self.holder().now_s()
        for _ in range(5):
            reporter.on_sent(operation.step, 400, now_s, self.simulation.now_s)
        self.assertGreaterEqual(reporter.sent_through, operation.step.window)

    def test_with_fencing_a_new_holder_sends_at_once(self) -> None:
        self.assertEqual(UsageBounds(require_fencing=True).pause_s, 0.0)


class FirstStepsTest(unittest.TestCase):
    """Guards against a host that reports before it knows the counts of the others."""

    def test_a_host_that_has_just_started_waits(self) -> None:
        counts = WindowCounts(1)
        counts.record_start(0)
        reporter = UsageReporter("h0", 1, counts, BOUNDS, 0.0)
        self.assertIsNone(reporter.next_step(1.0, 1000.0, 0))
        self.assertIsInstance(reporter.next_step(4.0, 1000.0, 0), ReadRow)
        self.assertIsNone(reporter.next_step(4.0, 1000.0, None))
