from __future__ import annotations

import unittest
from random import Random

from gossip.support import report_entries

from cardamomquay.gossip import REPORT_REPEAT_S
from cardamomquay.gossip import REPORTS_MAX
from cardamomquay.gossip import ObservationKind
from cardamomquay.gossip import ObservationLog
from cardamomquay.gossip import encode_observations

GRAVE = ObservationKind(1, reserved_places=2)
MINOR = ObservationKind(2, reserved_places=2, per_subject_max=2)
KINDS = (GRAVE, MINOR)
COUNT_MAX = 40


def own_only(source: str | None) -> bool:
    return source is None


class ObservationLogTest(unittest.TestCase):
    """Guards against observations that circulate, get lost or grow younger."""

    def setUp(self) -> None:
        self.one = ObservationLog(1, KINDS)
        self.two = ObservationLog(2, KINDS)

    def send(self, now_s: float, count_max: int = COUNT_MAX) -> list[int]:
        return report_entries(self.one, "two", own_only, now_s, count_max)

    def test_an_observation_is_new_once(self) -> None:
        self.one.record(GRAVE, 7, 5, 10.0)
        entries = self.send(10.0)
        self.assertEqual(len(self.two.apply_entries(entries, "one", 0.1, 10.1)), 1)
        for now_s in (10.1, 10.2, 30.0):
            self.assertEqual(self.two.apply_entries(entries, "one", 0.1, now_s), [])

    def test_it_is_sent_for_a_limited_time(self) -> None:
        self.one.record(GRAVE, 7, 5, 10.0)
        sent = sum(bool(self.send(10.0 + 0.1 * step)) for step in range(100))
        self.assertEqual(sent, REPORTS_MAX)
        self.assertEqual(self.send(10.0 + REPORT_REPEAT_S + 0.1), [])

    def test_only_hosts_between_others_pass_it_on(self) -> None:
        self.one.record(GRAVE, 7, 5, 10.0)
        self.two.apply_entries(self.send(10.0), "one", 0.1, 10.1)
        self.assertEqual(
            report_entries(self.two, "three", own_only, 10.2, COUNT_MAX), []
        )
        passed = report_entries(self.two, "three", lambda _: True, 10.3, COUNT_MAX)
        three = ObservationLog(3, KINDS)
        (observation,) = three.apply_entries(passed, "two", 0.1, 10.4)
        self.assertEqual(observation.identity, (1, 1))

    def test_the_bounds_contain_the_time_after_any_way(self) -> None:
        rng = Random(5)
        for _ in range(200):
            observed_s = rng.uniform(0.0, 5.0)
            # Offsets of the clocks of four hosts on the way.
            offsets = [rng.uniform(-1e4, 1e4) for _ in range(4)]
            logs = [ObservationLog(n, KINDS) for n in range(4)]
            at_s = observed_s
            logs[0].record(GRAVE, 7, 5, at_s + offsets[0])
            for hop in range(1, 4):
                at_s += rng.uniform(0.0, 0.6)
                entries = report_entries(
                    logs[hop - 1],
                    f"h{hop}",
                    lambda _: True,
                    at_s + offsets[hop - 1],
                    COUNT_MAX,
                )
                transit_s = rng.uniform(0.0, 0.3)
                at_s += transit_s
                bound_s = transit_s + rng.uniform(0.0, 0.3)
                (observation,) = logs[hop].apply_entries(
                    entries, "x", bound_s, at_s + offsets[hop]
                )
                actual_s = observed_s + offsets[hop]
                self.assertLessEqual(observation.earliest_s, actual_s + 1e-6)
                self.assertGreaterEqual(observation.latest_s, actual_s - 1e-6)

    def test_an_old_observation_is_not_accepted(self) -> None:
        self.one.record(GRAVE, 7, 5, 10.0)
        entries = self.send(10.0)
        # It was on the way for a long time, as after a pause of the receiver.
        self.assertEqual(self.two.apply_entries(entries, "one", 25.0, 35.0), [])

    def test_kinds_share_the_places_of_a_report(self) -> None:
        for subject in range(50):
            self.one.record(GRAVE, subject, 0, 10.0)
            self.one.record(MINOR, subject, 0, 10.0)
        entries = self.send(10.0, 10)
        codes = [entries[start + 2] for start in range(0, len(entries), 7)]
        self.assertEqual((codes.count(GRAVE.code), codes.count(MINOR.code)), (8, 2))

    def test_all_get_their_turn_if_they_do_not_fit(self) -> None:
        for subject in range(30):
            self.one.record(GRAVE, subject, 0, 10.0)
        subjects: set[int] = set()
        for step in range(3):
            entries = self.send(10.0 + 0.1 * step, 10)
            subjects |= {entries[start + 3] for start in range(0, len(entries), 7)}
        self.assertEqual(len(subjects), 30)

    def test_few_observations_of_one_subject_are_sent(self) -> None:
        for origin in range(10, 20):
            log = ObservationLog(origin, KINDS)
            log.record(MINOR, 7, 0, 10.0)
            entries = report_entries(log, "two", own_only, 10.0, COUNT_MAX)
            self.assertEqual(len(self.two.apply_entries(entries, "x", 0.1, 10.0)), 1)
        passed = report_entries(self.two, "three", lambda _: True, 10.1, COUNT_MAX)
        self.assertEqual(len(passed) // 7, 2)

    def test_a_host_that_starts_gets_recent_observations(self) -> None:
        self.one.record(GRAVE, 7, 5, 10.0)
        self.assertEqual(self.send(18.0), [])
        entries = encode_observations(self.one.latest(18.0, COUNT_MAX), 18.0)
        self.assertEqual(len(self.two.apply_entries(entries, "one", 0.1, 18.0)), 1)

    def test_entries_that_make_no_sense_are_counted(self) -> None:
        bad = [9, 1, 99, 7, 5, 0, 0, 9, 2, 1, 7, 5, -1, 0, 9, 3, 1, 7, 5, 2**60, 0]
        good = [9, 4, 1, 7, 5, 0, 0]
        cut = [9, 5, 1]
        learned = self.two.apply_entries([*bad, *good, *cut], "one", 0.1, 10.0)
        self.assertEqual([item.identity for item in learned], [(9, 4)])
        self.assertEqual(self.two.rejected_count, 4)


if __name__ == "__main__":
    unittest.main()
