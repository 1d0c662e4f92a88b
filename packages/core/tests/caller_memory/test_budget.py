from __future__ import annotations

import unittest
from collections import OrderedDict
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cardamomquay.caller_memory import CallerBudget
from cardamomquay.caller_memory import Holding
from cardamomquay.caller_memory._budget import SMALL_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterator

LARGE = 2 * SMALL_BYTES
LIMIT = 20 * LARGE


class BudgetCase(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = CallerBudget(LIMIT, 1000)

    def held(
        self, size: int, progress_s: float = 0.0, *, is_protected: bool = False
    ) -> Holding:
        holding = Holding(progress_s)
        self.assertTrue(self.budget.open(holding).is_granted)
        self.assertTrue(self.budget.resize(holding, size).is_granted)
        if is_protected:
            self.budget.set_protected(holding, progress_s, is_protected=True)
        return holding


class WhoEndsTest(BudgetCase):
    """Guards against ending requests that run, or those that make progress."""

    def test_the_longest_without_progress_ends_first(self) -> None:
        crowd = [self.held(LARGE, n) for n in range(18)]
        self.budget.record_progress(crowd[0], 100.0)
        newcomer = self.held(0, 101.0)
        decision = self.budget.resize(newcomer, LARGE)
        self.assertTrue(decision.is_granted)
        self.assertEqual(decision.ended[0], crowd[1])
        self.assertNotIn(crowd[0], decision.ended)

    def test_one_without_progress_is_refused_itself(self) -> None:
        stalled = self.held(LARGE)
        for _ in range(17):
            self.held(LARGE, 1.0)
        decision = self.budget.resize(stalled, 2 * LARGE)
        self.assertFalse(decision.is_granted)
        self.assertEqual(decision.ended, ())
        self.assertEqual(self.budget.used_bytes, 18 * LARGE)

    def test_a_request_at_an_upstream_never_ends(self) -> None:
        for n in range(18):
            self.held(LARGE, n, is_protected=True)
        newcomer = self.held(0, 100.0)
        decision = self.budget.resize(newcomer, LARGE)
        self.assertFalse(decision.is_granted)
        self.assertEqual(decision.ended, ())

    def test_a_large_request_ends_no_answer_that_is_being_delivered(self) -> None:
        answered = [self.held(LARGE, n) for n in range(17)]
        for holding in answered:
            holding.is_answering = True
        upload = self.held(0, 100.0)
        decision = self.budget.resize(upload, 2 * LARGE)
        self.assertFalse(decision.is_granted)
        self.assertEqual(decision.ended, ())
        # Other answers use most of the rest, and then end the oldest one.
        decision = self.budget.resize(upload, 2 * LARGE, is_needed=True)
        self.assertEqual(decision.ended, ())
        self.budget.answers.progress_s = 100.0
        decision = self.budget.resize(self.budget.answers, LARGE)
        self.assertEqual(decision.ended[0], answered[0])

    def test_unread_answers_leave_room_for_a_small_request(self) -> None:
        for n in range(20):
            unread = self.held(0, n)
            unread.is_answering = True
            self.budget.resize(unread, LARGE, is_needed=True)
        decision = self.budget.resize(self.held(0, 100.0), SMALL_BYTES)
        self.assertTrue(decision.is_granted)
        self.assertEqual(decision.ended, ())

    def test_nobody_ends_if_that_makes_no_room(self) -> None:
        for n in range(17):
            self.held(LARGE, n, is_protected=True)
        self.held(LARGE, 50.0)
        newcomer = self.held(0, 100.0)
        decision = self.budget.resize(newcomer, 3 * LARGE)
        self.assertFalse(decision.is_granted)
        self.assertEqual(decision.ended, ())

    def test_a_small_request_has_room_beside_large_ones_that_run(self) -> None:
        for n in range(18):
            self.held(LARGE, n, is_protected=True)
        self.assertTrue(self.budget.resize(self.held(0, 1.0), SMALL_BYTES).is_granted)

    def test_small_ones_end_only_for_small_ones(self) -> None:
        crowd = [self.held(SMALL_BYTES, n) for n in range(40)]
        large = self.held(0, 100.0)
        self.assertFalse(self.budget.resize(large, LARGE).is_granted)
        decision = self.budget.resize(large, SMALL_BYTES)
        self.assertTrue(decision.is_granted)
        self.assertEqual(decision.ended[0], crowd[0])

    def test_what_is_held_already_counts_in_any_case(self) -> None:
        for n in range(18):
            self.held(LARGE, n, is_protected=True)
        answered = self.held(0, 100.0)
        self.budget.resize(answered, 5 * LARGE, is_needed=True)
        self.assertEqual(self.budget.used_bytes, 23 * LARGE)


class SearchTest(BudgetCase):
    """Guards against a pass over all connections for each part of an answer.

    Load pattern: the running requests of a crowd take the budget, and its other
    connections are small, so that no search for a large one finds any.
    """

    def test_nobody_is_looked_for_who_cannot_be_there(self) -> None:
        budget = CallerBudget(LIMIT, 5000)
        budget._order = order = _CountingOrder()
        for _ in range(3000):
            budget.open(Holding(0.0))
        running = Holding(0.0)
        budget.open(running)
        budget.set_protected(running, 0.0, is_protected=True)
        budget.resize(running, LIMIT, is_needed=True)
        for _ in range(100):
            self.assertFalse(budget.resize(budget.answers, LARGE).is_granted)
        self.assertEqual(order.visited_count, 0)


class _CountingOrder(OrderedDict[Holding, None]):
    """Counts the holdings that are looked at."""

    visited_count = 0

    def __iter__(self) -> Iterator[Holding]:
        for holding in super().__iter__():
            self.visited_count += 1
            yield holding


class ConnectionsTest(BudgetCase):
    """Guards against more connections than descriptors."""

    def setUp(self) -> None:
        self.budget = CallerBudget(LIMIT, 3)

    def test_the_longest_without_progress_makes_room(self) -> None:
        first, second, _ = (self.held(1, n) for n in range(3))
        self.budget.set_protected(first, 3.0, is_protected=True)
        self.assertEqual(self.budget.open(Holding(4.0)).ended, (second,))
        self.assertEqual(self.budget.connection_count, 3)

    def test_those_that_are_finished_or_ended_give_way_first(self) -> None:
        waiting, finished, ended = (self.held(n * LARGE, n) for n in range(3))
        self.budget.finish(finished)
        self.budget.limit_bytes = LARGE
        self.assertEqual(self.budget.end_stalled(10.0, 3.0), (ended,))
        for expected in (finished, ended, waiting):
            self.assertEqual(self.budget.open(Holding(4.0)).ended, (expected,))

    def test_a_connection_is_refused_while_upstreams_work_for_all(self) -> None:
        for n in range(3):
            self.held(1, n, is_protected=True)
        self.assertFalse(self.budget.open(Holding(4.0)).is_granted)
        self.assertEqual(self.budget.connection_count, 3)


class StalledTest(BudgetCase):
    """Guards against unfinished requests that hold memory for ever, or end in calm."""

    def test_calm(self) -> None:
        for _ in range(10):
            self.held(LARGE)
        self.assertEqual(self.budget.end_stalled(1e6, 3.0), ())

    def test_one_request_of_the_largest_size(self) -> None:
        self.held(15 * LARGE)
        self.held(SMALL_BYTES, 10.0)
        self.assertEqual(self.budget.end_stalled(1e6, 3.0), ())

    def test_pressure(self) -> None:
        running = self.held(LARGE, is_protected=True)
        crowd = [self.held(LARGE) for _ in range(12)]
        fresh = self.held(LARGE, 99.0)
        self.assertEqual(self.budget.end_stalled(100.0, 3.0), tuple(crowd[:3]))
        self.assertEqual(self.budget.used_bytes, 11 * LARGE)
        self.assertFalse(running.has_to_end or fresh.has_to_end)

    def test_requests_behind_unread_answers_end_too(self) -> None:
        stalled, reading = (self.held(7 * LARGE, is_protected=True) for _ in range(2))
        for holding in (stalled, reading):
            holding.is_answering = holding.is_unread = True
        self.budget.record_progress(reading, 99.0)
        # Its answers wait for one that an upstream has not given yet.
        waiting = self.held(4 * LARGE, is_protected=True)
        waiting.is_answering = True
        self.assertEqual(self.budget.end_stalled(100.0, 3.0), (stalled,))

    def test_reading_answers_ends_nobody_who_has_just_read(self) -> None:
        unread, reading = (
            self.held(8 * LARGE, progress_s) for progress_s in (8.0, 9.5)
        )
        self.budget.answers.progress_s = 10.0
        decision = self.budget.resize(self.budget.answers, 2 * LARGE)
        self.assertTrue(decision.is_granted)
        self.assertEqual(decision.ended, (unread,))
        decision = self.budget.resize(self.budget.answers, 10 * LARGE)
        self.assertFalse(decision.is_granted)
        self.assertFalse(reading.has_to_end)

    def test_small_answers_count_beyond_the_room_for_large_ones(self) -> None:
        self.held(17 * LARGE, is_protected=True)
        self.assertFalse(self.budget.resize(self.budget.answers, LARGE).is_granted)
        self.budget.resize(self.budget.answers, LARGE, is_needed=True)
        self.assertEqual(self.budget.used_bytes, 18 * LARGE)

    def test_answers_are_read_as_long_as_running_requests_have_room(self) -> None:
        for n in range(16):
            self.held(LARGE, n, is_protected=True)
        self.assertTrue(self.budget.resize(self.budget.answers, LARGE).is_granted)
        self.assertFalse(self.budget.resize(self.budget.answers, 2 * LARGE).is_granted)
        self.assertTrue(self.budget.resize(self.held(0), SMALL_BYTES).is_granted)


class InvariantsTest(unittest.TestCase):
    """Guards against sums that drift, whatever the order of the calls."""

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 7),
                st.sampled_from(("open", "close", "grow", "shrink", "run", "end")),
                st.integers(1, LIMIT),
            ),
            max_size=60,
        )
    )
    def test_sums(self, steps: list[tuple[int, str, int]]) -> None:
        budget = CallerBudget(LIMIT, 5)
        holdings: dict[int, Holding] = {}
        for now_s, (key, action, size) in enumerate(steps):
            holding = holdings.setdefault(key, Holding(0.0))
            running = {h for h in holdings.values() if h.is_protected}
            ended: tuple[Holding, ...] = ()
            if action == "open":
                holding = holdings[key] = (
                    Holding(now_s) if holding.has_to_end else (holding)
                )
                if holding.size_bytes == 0 and not holding.is_protected:
                    budget.close(holding)
                    ended = budget.open(holding).ended
            elif action == "close":
                budget.close(holding)
                holdings[key] = Holding(now_s)
            elif action in ("grow", "shrink"):
                ended = budget.resize(holding, size).ended
            else:
                budget.set_protected(holding, now_s, is_protected=action == "run")
            self.assertFalse(running & set(ended))
            large = sum(
                h.size_bytes for h in budget._order if h.size_bytes > SMALL_BYTES
            )
            self.assertEqual(budget._large_bytes, large)
            sizes = sum(h.size_bytes for h in holdings.values())
            self.assertEqual(budget.used_bytes, sizes)
            self.assertLessEqual(budget.used_bytes, LIMIT)
            self.assertLessEqual(budget.connection_count, 5)
