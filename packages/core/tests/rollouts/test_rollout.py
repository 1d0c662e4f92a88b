"""Load pattern: a new version that is good, failing, slow or failing late."""

from __future__ import annotations

import random
import unittest

from cardamomquay.rollouts import Rollout
from cardamomquay.rollouts import RolloutOrder
from cardamomquay.rollouts import RolloutOutcome
from cardamomquay.rollouts import Tally
from cardamomquay.rollouts import VersionTallies

DURATION_S = 15.0
OLD_VERSION_TIMEOUT_S = 1.7
REQUESTS_PER_S = 59
CANARY_SHARE = 0.1
# Requests that the new version may get in addition to its canary share.
CANARY_SLACK = 50.0
HOSTS = 3


class RolloutSimulation:
    """Three hosts that exchange their state every 0.2 s, in simulated time."""

    def __init__(
        self,
        error_rate: float,
        faulty_from_s: float,
        seed: int,
        faulty_from_step: int = 0,
    ) -> None:
        self.random = random.Random(seed)
        self.error_rate = error_rate
        self.faulty_from_s = faulty_from_s
        self.faulty_from_step = faulty_from_step
        order = RolloutOrder("browse", "v2", DURATION_S, 7)
        self.hosts = [Rollout(order, 0.0, OLD_VERSION_TIMEOUT_S) for _ in range(HOSTS)]
        for host in self.hosts:
            host.is_row_read = True
        self.new_requests = 0
        self.requests = 0
        self.decided_s: float | None = None

    def run(self) -> RolloutOutcome:
        for tick in range(int(DURATION_S * 5)):
            now_s = tick * 0.2
            for _ in range(REQUESTS_PER_S // 5):
                self._request(now_s)
            for index, host in enumerate(self.hosts):
                outcome = host.next_outcome(now_s, is_controller=index == 0)
                if outcome is not RolloutOutcome.RUNNING and self.decided_s is None:
                    host.outcome = outcome
                    self.decided_s = now_s
            snapshots = [host.snapshot() for host in self.hosts]
            for index, host in enumerate(self.hosts):
                for other, snapshot in enumerate(snapshots):
                    if other != index:
                        host.apply_peer_state(str(other), snapshot, now_s)
        return self.hosts[0].outcome

    def _request(self, now_s: float) -> None:
        host = self.random.choice(self.hosts)
        self.requests += 1
        is_new = host.uses_new_version(str(self.random.randrange(72)))
        tally = host.own_tallies.new if is_new else host.own_tallies.old
        self.new_requests += is_new
        tally.answers += 1
        fails = (
            is_new
            and now_s >= self.faulty_from_s
            and host.step >= self.faulty_from_step
        )
        rate = self.error_rate if fails else 0.005
        tally.errors += self.random.random() < rate


class RolloutTest(unittest.TestCase):
    """Guards against a bad version that exceeds its canary share, or is completed."""

    def test_good_versions_are_completed_in_time(self) -> None:
        for seed in range(30):
            with self.subTest(seed=seed):
                simulation = RolloutSimulation(0.005, 0.0, seed)
                self.assertIs(simulation.run(), RolloutOutcome.COMPLETED)

    def test_bad_versions_are_rolled_back_within_the_canary_share(self) -> None:
        for seed in range(30):
            for faulty_from_s in (0.0, 3.0):
                with self.subTest(seed=seed, faulty_from_s=faulty_from_s):
                    simulation = RolloutSimulation(0.5, faulty_from_s, seed)
                    self.assertIs(simulation.run(), RolloutOutcome.ROLLED_BACK)
                    allowed = CANARY_SHARE * simulation.requests + CANARY_SLACK
                    self.assertLessEqual(simulation.new_requests, allowed)

    def test_versions_failing_later_are_rolled_back_within_the_canary_share(
        self,
    ) -> None:
        for seed in range(30):
            with self.subTest(seed=seed):
                simulation = RolloutSimulation(0.5, 0.0, seed, faulty_from_step=1)
                self.assertIs(simulation.run(), RolloutOutcome.ROLLED_BACK)
                allowed = CANARY_SHARE * simulation.requests + CANARY_SLACK
                self.assertLessEqual(simulation.new_requests, allowed)

    def test_no_traffic_moves_before_the_row_was_read(self) -> None:
        rollout = Rollout(
            RolloutOrder("browse", "v2", 15.0, 7), 0.0, OLD_VERSION_TIMEOUT_S
        )
        rollout.step = 2
        self.assertFalse(any(rollout.uses_new_version(str(n)) for n in range(100)))

    def test_a_version_without_answers_is_rolled_back_before_the_deadline(self) -> None:
        rollout = Rollout(
            RolloutOrder("browse", "v2", 15.0, 7), 0.0, OLD_VERSION_TIMEOUT_S
        )
        self.assertIs(rollout.next_outcome(14.0, True), RolloutOutcome.RUNNING)
        self.assertIs(rollout.next_outcome(14.4, True), RolloutOutcome.ROLLED_BACK)

    def test_an_outcome_never_changes(self) -> None:
        rollout = Rollout(
            RolloutOrder("browse", "v2", 15.0, 7), 0.0, OLD_VERSION_TIMEOUT_S
        )
        rollout.outcome = RolloutOutcome.ROLLED_BACK
        snapshot = Rollout(
            RolloutOrder("browse", "v2", 15.0, 7), 0.0, OLD_VERSION_TIMEOUT_S
        ).snapshot()
        rollout.apply_peer_state("h1", snapshot, 1.0)
        self.assertIs(rollout.outcome, RolloutOutcome.ROLLED_BACK)
        self.assertIs(rollout.next_outcome(2.0, True), RolloutOutcome.ROLLED_BACK)

    def test_reports_on_an_earlier_order_are_ignored(self) -> None:
        rollout = Rollout(
            RolloutOrder("browse", "v3", 15.0, 9), 0.0, OLD_VERSION_TIMEOUT_S
        )
        earlier = Rollout(
            RolloutOrder("browse", "v2", 15.0, 7), 0.0, OLD_VERSION_TIMEOUT_S
        )
        earlier.outcome = RolloutOutcome.COMPLETED
        rollout.apply_peer_state("h1", earlier.snapshot(), 1.0)
        self.assertIs(rollout.outcome, RolloutOutcome.RUNNING)


class TallyTest(unittest.TestCase):
    """Guards against a roll-back because of faults that affect both versions."""

    def test_is_new_worse(self) -> None:
        for name, new, old, is_new_worse in (
            ("fails half", Tally(9, 5, 0), Tally(200, 3, 10), True),
            ("few answers", Tally(3, 3, 0), Tally(200, 3, 10), False),
            ("both fail", Tally(40, 8, 0), Tally(200, 40, 0), False),
            ("fails more than the old one", Tally(30, 15, 0), Tally(200, 40, 0), True),
            ("slow", Tally(10, 0, 8), Tally(200, 0, 20), True),
            ("cold objects", Tally(30, 0, 7), Tally(200, 0, 20), False),
        ):
            with self.subTest(name):
                self.assertEqual(VersionTallies(new, old).is_new_worse, is_new_worse)
