"""Load pattern: a new version beside the old one, good, failing, slow or late."""

from __future__ import annotations

import random
import unittest

from cardamomquay.rollouts import Rollout
from cardamomquay.rollouts import RolloutOrder
from cardamomquay.rollouts import RolloutOutcome
from cardamomquay.rollouts import Tally
from cardamomquay.rollouts import VersionTallies

DURATION_S = 15.0
DRAIN_S = 1.7
PER_S = 59
CANARY_SHARE = 0.1
CANARY_SLACK = 50.0
HOSTS = 3


class Play:
    """Three hosts that hear each other every 0.2 s, in paused time."""

    def __init__(
        self, error_rate: float, from_s: float, seed: int, from_step: int = 0
    ) -> None:
        self.random = random.Random(seed)
        self.error_rate = error_rate
        self.from_s = from_s
        self.from_step = from_step
        order = RolloutOrder("browse", "v2", DURATION_S, 7)
        self.hosts = [Rollout(order, 0.0, DRAIN_S) for _ in range(HOSTS)]
        for host in self.hosts:
            host.is_known = True
        self.exposed = 0
        self.asked = 0
        self.ended_s: float | None = None

    def run(self) -> RolloutOutcome:
        for tick in range(int(DURATION_S * 5)):
            now_s = tick * 0.2
            for _ in range(PER_S // 5):
                self._request(now_s)
            for index, host in enumerate(self.hosts):
                outcome = host.next_outcome(now_s, is_controller=index == 0)
                if outcome is not RolloutOutcome.RUNNING and self.ended_s is None:
                    host.outcome = outcome
                    self.ended_s = now_s
            views = [host.view() for host in self.hosts]
            for index, host in enumerate(self.hosts):
                for other, view in enumerate(views):
                    if other != index:
                        host.note_peer(str(other), view, now_s)
        return self.hosts[0].outcome

    def _request(self, now_s: float) -> None:
        host = self.random.choice(self.hosts)
        self.asked += 1
        is_new = host.gets_new(str(self.random.randrange(72)))
        tally = host.own.new if is_new else host.own.old
        self.exposed += is_new
        tally.answers += 1
        fails = is_new and now_s >= self.from_s and host.step >= self.from_step
        rate = self.error_rate if fails else 0.005
        tally.errors += self.random.random() < rate


class RolloutTest(unittest.TestCase):
    """Guards against a bad version that gets more than its share, or is completed."""

    def test_good_versions_are_completed_in_time(self) -> None:
        for seed in range(30):
            with self.subTest(seed=seed):
                play = Play(0.005, 0.0, seed)
                self.assertIs(play.run(), RolloutOutcome.COMPLETED)

    def test_bad_versions_are_taken_back_within_their_share(self) -> None:
        for seed in range(30):
            for from_s in (0.0, 3.0):
                with self.subTest(seed=seed, from_s=from_s):
                    play = Play(0.5, from_s, seed)
                    self.assertIs(play.run(), RolloutOutcome.ROLLED_BACK)
                    allowed = CANARY_SHARE * play.asked + CANARY_SLACK
                    self.assertLessEqual(play.exposed, allowed)

    def test_versions_that_fail_under_load_are_taken_back_within_their_share(
        self,
    ) -> None:
        for seed in range(30):
            with self.subTest(seed=seed):
                play = Play(0.5, 0.0, seed, from_step=1)
                self.assertIs(play.run(), RolloutOutcome.ROLLED_BACK)
                allowed = CANARY_SHARE * play.asked + CANARY_SLACK
                self.assertLessEqual(play.exposed, allowed)

    def test_an_order_that_is_not_known_to_run_moves_nothing(self) -> None:
        rollout = Rollout(RolloutOrder("browse", "v2", 15.0, 7), 0.0, DRAIN_S)
        rollout.step = 2
        self.assertFalse(any(rollout.gets_new(str(n)) for n in range(100)))

    def test_a_version_without_answers_is_taken_back_before_the_deadline(self) -> None:
        rollout = Rollout(RolloutOrder("browse", "v2", 15.0, 7), 0.0, DRAIN_S)
        self.assertIs(rollout.next_outcome(14.0, True), RolloutOutcome.RUNNING)
        self.assertIs(rollout.next_outcome(14.4, True), RolloutOutcome.ROLLED_BACK)

    def test_an_outcome_never_changes(self) -> None:
        rollout = Rollout(RolloutOrder("browse", "v2", 15.0, 7), 0.0, DRAIN_S)
        rollout.outcome = RolloutOutcome.ROLLED_BACK
        view = Rollout(RolloutOrder("browse", "v2", 15.0, 7), 0.0, DRAIN_S).view()
        rollout.note_peer("h1", view, 1.0)
        self.assertIs(rollout.outcome, RolloutOutcome.ROLLED_BACK)
        self.assertIs(rollout.next_outcome(2.0, True), RolloutOutcome.ROLLED_BACK)

    def test_views_of_an_earlier_order_are_ignored(self) -> None:
        rollout = Rollout(RolloutOrder("browse", "v3", 15.0, 9), 0.0, DRAIN_S)
        earlier = Rollout(RolloutOrder("browse", "v2", 15.0, 7), 0.0, DRAIN_S)
        earlier.outcome = RolloutOutcome.COMPLETED
        rollout.note_peer("h1", earlier.view(), 1.0)
        self.assertIs(rollout.outcome, RolloutOutcome.RUNNING)


class TallyTest(unittest.TestCase):
    """Guards against a verdict from faults that hit both versions."""

    def test_verdicts(self) -> None:
        for name, new, old, is_bad in (
            ("fails half", Tally(9, 5, 0), Tally(200, 3, 10), True),
            ("few answers", Tally(3, 3, 0), Tally(200, 3, 10), False),
            ("both lose answers", Tally(40, 8, 0), Tally(200, 40, 0), False),
            ("fails beside lost answers", Tally(30, 15, 0), Tally(200, 40, 0), True),
            ("slow", Tally(10, 0, 8), Tally(200, 0, 20), True),
            ("new objects", Tally(30, 0, 7), Tally(200, 0, 20), False),
        ):
            with self.subTest(name):
                self.assertEqual(VersionTallies(new, old).is_bad, is_bad)
