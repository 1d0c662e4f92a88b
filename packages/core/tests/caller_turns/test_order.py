from __future__ import annotations

import unittest

from cardamomquay.caller_turns import TurnOrder

UNITS = 8


class OrderTest(unittest.TestCase):
    """Guards against callers whose work keeps out that of all others.

    Load pattern: hundreds of connections always have another request or another part of
    a body, beside callers that send one request.
    """

    def setUp(self) -> None:
        self.order: TurnOrder[str] = TurnOrder(UNITS)

    def play_round(self) -> list[str]:
        """Return those whose turn it is in the next round."""
        self.order.begin_round()
        turns = []
        while (waiter := self.order.pop()) is not None:
            self.order.charge(1)
            turns.append(waiter)
        return turns

    def test_the_work_of_a_round_is_bounded(self) -> None:
        for number in range(3 * UNITS):
            self.order.wait(str(number), is_ahead=number % 2 == 0)
        self.assertEqual([len(self.play_round()) for _ in range(4)], [UNITS] * 3 + [0])
        self.assertTrue(self.order.is_fresh)

    def test_a_caller_that_waits_for_its_answer_goes_before_a_crowd(self) -> None:
        for number in range(400):
            self.order.wait(f"crowd-{number}", is_ahead=True)
        self.order.wait("ordinary", is_ahead=False)
        self.assertIn("ordinary", self.play_round()[:2])

    def test_those_that_have_sent_ahead_keep_a_share_and_their_order(self) -> None:
        served: list[str] = []
        self.order.wait("a", is_ahead=True)
        self.order.wait("b", is_ahead=True)
        for number in range(100):
            for _ in range(UNITS):
                self.order.wait(f"other-{number}", is_ahead=False)
            for turn in self.play_round():
                if turn in {"a", "b"}:
                    served.append(turn)
                    self.order.wait(turn, is_ahead=True)
        self.assertEqual(served[:6], ["a", "b"] * 3)
        self.assertAlmostEqual(len(served) / (100 * UNITS), 0.25, delta=0.02)

    def test_a_turn_is_taken_at_once_only_while_nobody_waits(self) -> None:
        self.order.begin_round()
        self.assertEqual([self.order.take_now() for _ in range(UNITS)], [True] * UNITS)
        self.assertFalse(self.order.take_now())
        self.order.wait("first", is_ahead=False)
        self.order.begin_round()
        self.assertFalse(self.order.take_now())

    def test_work_beyond_a_round_is_taken_off_the_next_ones(self) -> None:
        self.order.begin_round()
        self.order.charge(3 * UNITS)
        self.order.wait("next", is_ahead=False)
        self.assertEqual([self.play_round() for _ in range(3)], [[], [], ["next"]])


if __name__ == "__main__":
    unittest.main()
