"""Load pattern: reports that are cut off, forged, or from another program."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cardamomquay.gossip import REPORTS_MAX
from cardamomquay.gossip import Observation
from cardamomquay.gossip import ObservationKind
from cardamomquay.gossip import ObservationLog
from cardamomquay.gossip import encode_observations

GRAVE = ObservationKind(1, reserved_places=2)
SLIGHT = ObservationKind(2, reserved_places=1, per_subject_max=1)
LASTING = ObservationKind(3, reserved_places=1, accepted_age_max_s=600.0)
KINDS = (GRAVE, SLIGHT, LASTING)
NOW_S = 1000.0
ENTRY = [7, 1, GRAVE.code, 5, 6, 100, 50]

# Whatever MessagePack can carry in a list.
values = st.one_of(
    st.integers(-(2**63), 2**64 - 1),
    st.sampled_from([0, 1, 2, 3, 7, 2**31, 2**32, 2**64 - 1, -1]),
    st.floats(),
    st.none(),
    st.booleans(),
    st.text(max_size=3),
    st.binary(max_size=3),
    st.lists(st.integers(0, 9), max_size=3),
)


def log(origin: int = 1) -> ObservationLog:
    return ObservationLog(origin, KINDS)


class WrongEntriesTest(unittest.TestCase):
    """Guards against entries of another program, or of a faulty host."""

    def test_wrong_entries_are_counted_and_the_others_applied(self) -> None:
        for name, wrong in (
            ("text", ["x", *ENTRY[1:]]),
            ("truth value", [True, *ENTRY[1:]]),
            ("fraction", [*ENTRY[:6], 0.5]),
            ("nested", [[7], *ENTRY[1:]]),
            ("unknown kind", [7, 2, 99, 5, 6, 100, 50]),
            ("negative age", [7, 2, 1, 5, 6, -1, 50]),
            ("negative width", [7, 2, 1, 5, 6, 100, -50]),
            ("age of weeks", [7, 2, 1, 5, 6, 2**30, 2**30]),
            ("negative subject", [7, 2, 1, -5, 6, 100, 50]),
            ("negative value", [7, 2, 1, 5, -6, 100, 50]),
            ("huge origin", [2**32, 2, 1, 5, 6, 100, 50]),
            ("huge number", [7, 2**32, 1, 5, 6, 100, 50]),
            ("number of none", [7, 0, 1, 5, 6, 100, 50]),
            ("own one that was never made", [1, 4, 1, 5, 6, 100, 50]),
        ):
            with self.subTest(name):
                receiver = log()
                learned = receiver.apply_entries(wrong + ENTRY, "h1", 0.1, NOW_S)
                self.assertEqual([item.identity for item in learned], [(7, 1)])
                self.assertEqual(receiver.rejected_count, 1)

    def test_an_entry_that_is_cut_off_is_counted(self) -> None:
        for length in range(1, len(ENTRY)):
            receiver = log()
            cut = ENTRY + [7, 2, *ENTRY[2:]][:length]
            learned = receiver.apply_entries(cut, "h1", 0.1, NOW_S)
            self.assertEqual(len(learned), 1)
            self.assertEqual(receiver.rejected_count, 1)

    def test_what_is_no_list_is_counted(self) -> None:
        for entries in (None, 5, "abc", {}, b"x"):
            receiver = log()
            self.assertEqual(receiver.apply_entries(entries, "h1", 0.1, NOW_S), [])
            self.assertEqual(receiver.rejected_count, 1)

    def test_an_identity_with_other_content_is_rejected(self) -> None:
        receiver = log()
        receiver.apply_entries(ENTRY, "h1", 0.1, NOW_S)
        for index in (2, 3, 4):
            other = list(ENTRY)
            other[index] += 1
            self.assertEqual(receiver.apply_entries(other, "h1", 0.1, NOW_S), [])
        self.assertEqual(receiver.rejected_count, 3)
        # A copy that took longer.
        later = [*ENTRY[:5], 300, 90]
        self.assertEqual(receiver.apply_entries(later, "h1", 0.1, NOW_S), [])
        self.assertEqual(receiver.rejected_count, 3)

    def test_a_flood_of_entries_is_cut_off(self) -> None:
        receiver = log()
        entries = [
            item for number in range(1, 2001) for item in (7, number, 1, 5, 6, 0, 0)
        ]
        learned = receiver.apply_entries(entries, "h1", 0.1, NOW_S)
        self.assertEqual(len(learned) + receiver.rejected_count, 2000)
        self.assertLess(len(learned), 200)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.lists(values, max_size=40))
    def test_any_list_is_applied_or_counted(self, entries: list[object]) -> None:
        receiver = log()
        learned = receiver.apply_entries(entries, "h1", 0.1, NOW_S)
        count = -(-len(entries) // 7)
        self.assertLessEqual(len(learned) + receiver.rejected_count, count)
        for item in learned:
            self.assertLessEqual(item.earliest_s, item.latest_s)
            self.assertLessEqual(item.latest_s, NOW_S)
        sent = receiver.take("h2", lambda _: True, NOW_S, 40)
        again = log(2).apply_entries(encode_observations(sent, NOW_S), "h1", 0.1, NOW_S)
        self.assertEqual(
            sorted(item.identity for item in again),
            sorted(item.identity for item in sent if item.origin != 2),
        )


class BoundsTest(unittest.TestCase):
    """Guards against bounds that do not contain the time of an observation."""

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.floats(0.0, 2.0),
                st.floats(0.0, 0.3),
                st.floats(0.0, 0.3),
                st.floats(0.0, 1e6),
            ),
            min_size=1,
            max_size=4,
        )
    )
    def test_the_time_lies_within_the_bounds_on_each_host(
        self, ways: list[tuple[float, float, float, float]]
    ) -> None:
        """Pass an observation on; each host holds it, and a report takes its time."""
        true_s = NOW_S
        observation = Observation(7, 1, GRAVE.code, 5, 6, true_s, true_s)
        now_s, offset_s = true_s, 0.0
        for held_s, transit_s, slack_s, next_offset_s in ways:
            now_s += held_s
            entries = encode_observations([observation], now_s + offset_s)
            now_s += transit_s
            offset_s = next_offset_s
            (observation,) = log().apply_entries(
                entries, "h1", transit_s + slack_s, now_s + offset_s
            )
            # Floats of large clock values are exact to a microsecond or better.
            self.assertLessEqual(observation.earliest_s, true_s + offset_s + 1e-6)
            self.assertGreaterEqual(observation.latest_s, true_s + offset_s - 1e-6)


class PlacesTest(unittest.TestCase):
    """Guards against kinds that starve each other of the room in a report."""

    def take(self, sender: ObservationLog, now_s: float, count: int) -> list[int]:
        chosen = sender.take("h1", lambda _: True, now_s, count)
        return [item.kind for item in chosen]

    def test_each_kind_has_its_places(self) -> None:
        sender = log()
        for subject in range(50):
            sender.record(GRAVE, subject, 0, NOW_S)
        for subject in range(5):
            sender.record(SLIGHT, subject, 0, NOW_S)
            sender.record(LASTING, subject, 0, NOW_S)
        kinds = self.take(sender, NOW_S, 6)
        self.assertEqual(sorted(kinds), [1, 1, 1, 1, 2, 3])

    def test_a_subject_with_several_observations_comes_first(self) -> None:
        sender = log()
        for subject in range(20):
            sender.record(GRAVE, subject, 0, NOW_S)
        sender.record(GRAVE, 19, 1, NOW_S)
        for now_s in (NOW_S, NOW_S + 0.6):
            chosen = sender.take("h1", lambda _: True, now_s, 4)
            self.assertEqual([item.subject for item in chosen][:2], [19, 19])

    def test_the_same_is_not_sent_to_a_host_at_short_intervals(self) -> None:
        sender = log()
        sender.record(GRAVE, 1, 0, NOW_S)
        counts = [len(self.take(sender, NOW_S + step / 10, 4)) for step in range(40)]
        self.assertEqual(sum(counts), REPORTS_MAX)
        self.assertEqual(counts[23:], [0] * 17)

    def test_more_of_one_subject_are_applied_and_not_sent(self) -> None:
        receiver = log()
        entries = [
            item for number in (1, 2, 3) for item in (7, number, 2, 5, number, 0, 0)
        ]
        self.assertEqual(len(receiver.apply_entries(entries, "h1", 0.1, NOW_S)), 3)
        self.assertEqual(len(receiver.take("h2", lambda _: True, NOW_S, 40)), 1)

    def test_what_is_old_is_applied_if_its_kind_lasts_and_is_never_sent(self) -> None:
        receiver = log()
        entries = [7, 1, GRAVE.code, 5, 6, 30_000, 0, 7, 2, LASTING.code, 5, 6]
        entries += [30_000, 0]
        learned = receiver.apply_entries(entries, "h1", 0.1, NOW_S)
        self.assertEqual([item.number for item in learned], [2])
        self.assertEqual(receiver.take("h2", lambda _: True, NOW_S, 40), [])


if __name__ == "__main__":
    unittest.main()
