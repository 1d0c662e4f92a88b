from __future__ import annotations

import unittest
from random import Random

from cardamomquay.usage import FleetTime
from cardamomquay.usage import SourceChanges
from cardamomquay.usage import WindowCounts


class WindowCountsTest(unittest.TestCase):
    """Guards against counts that are lost, or counted twice."""

    def test_lost_repeated_and_reordered_changes(self) -> None:
        rng = Random(5)
        for _ in range(50):
            sender, receiver = WindowCounts(1), WindowCounts(2)
            sent: list[SourceChanges] = []
            for _ in range(30):
                sender.add(rng.randrange(3), rng.choice("abc"))
                # What the receiver has said may have been lost on the way.
                known = rng.choice((0, receiver.known_version(1)))
                changes = sender.changes(1, known, rng.choice((1, 100)))
                if changes is not None:
                    sent.append(changes)
                if rng.random() < 0.7 and sent:
                    receiver.apply(rng.choice(sent))
            while receiver.known_version(1) < sender.known_version(1):
                changes = sender.changes(1, receiver.known_version(1), 2)
                assert changes is not None
                receiver.apply(changes)
            for window in range(3):
                self.assertEqual(receiver.totals(window), sender.totals(window))

    def test_changes_after_a_gap_do_not_count_as_complete(self) -> None:
        sender, receiver = WindowCounts(1), WindowCounts(2)
        sender.add(5, "a")
        sender.add(6, "a")
        late = sender.changes(1, 1, 100)
        assert late is not None
        receiver.apply(late)
        self.assertEqual(receiver.known_version(1), 0)

    def test_a_count_can_be_taken_back(self) -> None:
        counts = WindowCounts(1)
        counts.add(5, "a")
        counts.add(5, "a", -1)
        self.assertEqual(counts.totals(5), {})

    def test_dropped_windows_stay_dropped(self) -> None:
        sender, receiver = WindowCounts(1), WindowCounts(2)
        sender.add(5, "a")
        changes = sender.changes(1, 0, 100)
        assert changes is not None
        receiver.drop_before(6)
        receiver.apply(changes)
        receiver.add(5, "a")
        self.assertEqual(receiver.totals(5), {})
        self.assertIsNone(receiver.oldest_window())

    def test_a_body_waits_for_hosts_that_were_heard(self) -> None:
        counts = WindowCounts(1)
        counts.record_heard(2, 5, 0, 10.0)
        self.assertTrue(counts.is_complete(4, 10.5))
        self.assertFalse(counts.is_complete(5, 10.5))
        counts.record_heard(2, 6, 3, 11.0)
        self.assertFalse(counts.is_complete(5, 11.0))
        counts.apply(SourceChanges(2, 0, 3, ()))
        self.assertTrue(counts.is_complete(5, 11.0))

    def test_a_body_waits_for_what_others_have_of_a_silent_host(self) -> None:
        counts = WindowCounts(1)
        counts.record_known_elsewhere(2, 7, 20.0)
        self.assertFalse(counts.is_complete(5, 20.0))
        self.assertTrue(counts.is_complete(5, 40.0))


class FleetTimeTest(unittest.TestCase):
    """Guards against requests that move to other windows when clocks are wrong."""

    def test_a_third_of_the_clocks_jumps(self) -> None:
        for error_s in (-2.0, 2.0):
            with self.subTest(error_s):
                time = FleetTime(0)
                for step in range(200):
                    now_s = step * 0.5
                    for source in range(9):
                        is_wrong = source < 3 and step > 50
                        error = error_s if is_wrong else 0.0
                        time.record_clock(source, 1000.0 + now_s + error, now_s)
                    time.update(now_s)
                    self.assertAlmostEqual(time.true_s(now_s), 1000.0 + now_s)

    def test_a_host_that_hears_only_wrong_clocks_uses_the_others_estimate(self) -> None:
        time = FleetTime(0)
        for source in range(3):
            time.record_clock(source, 1002.0, 0.0)
        time.record_estimate(7, 1000.0, 30, 0.0)
        time.record_estimate(8, 1002.0, 3, 0.0)
        time.update(0.0)
        self.assertAlmostEqual(time.true_s(0.0), 1000.0)

    def test_an_isolated_host_keeps_the_estimate(self) -> None:
        time = FleetTime(0)
        for source in range(1, 9):
            time.record_clock(source, 1000.0, 0.0)
        time.record_clock(0, 1002.0, 0.0)
        time.update(0.0)
        for step in range(1, 60):
            time.record_clock(0, 1002.0 + step, float(step))
            time.update(float(step))
            self.assertAlmostEqual(time.true_s(float(step)), 1000.0 + step)

    def test_a_delayed_sample_does_not_count(self) -> None:
        time = FleetTime(0)
        time.record_clock(1, 1000.0, 0.0)
        time.record_clock(1, 1000.5, 1.0)
        time.update(1.0)
        self.assertAlmostEqual(time.true_s(1.0), 1001.0)
