"""Load pattern: queues filled by a fault, followed by a load just within capacity.

Twelve upstreams in three regions of unequal size; those of one region are lost in the
first seconds, while nearly all objects are still cold. With warm objects the load
occupies 65 to 99% of the remaining slots.
"""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

from cardamomquay.placement import CallerTimeouts
from cardamomquay.placement import Candidate
from cardamomquay.placement import OverloadControl
from cardamomquay.placement import RequestTiming
from cardamomquay_dev.lab.load_model import LoadModel
from cardamomquay_dev.lab.load_model import PlacementPolicy
from cardamomquay_dev.lab.load_model import make_upstream
from cardamomquay_dev.lab.load_model import uneven_regions

if TYPE_CHECKING:
    from cardamomquay.traffic import Upstream

HOST_ZONES = ["a", "a", "a", "b", "b", "b", "c", "c"]
OBJECTS_PER_ZONE = 24
# Value of a late answer, and cost of a request that was refused and never answered,
# compared with 1 for an answer within the objective.
LATE_ANSWER_VALUE = 0.2
REFUSED_UNANSWERED_COST = 0.3


class FirstComeFirstServed(OverloadControl):
    """The baseline: refuses only requests that would time out."""

    def retry_delay_s(
        self, candidate: Candidate, timing: RequestTiming
    ) -> float | None:
        if candidate.min_latency_s <= timing.remaining_s:
            return None
        late_s = candidate.min_latency_s - timing.remaining_s
        return max(0.2, candidate.object_load_wait_s, late_s)


def mean_value(model: LoadModel) -> float:
    """Return the mean value of a request: 1 within the objective (0.6 s), else less."""
    total = 0.0
    for outcome in model.outcomes:
        if outcome.answered_s is None:
            total -= REFUSED_UNANSWERED_COST if outcome.refused else 0.0
        else:
            is_in_time = outcome.answered_s - outcome.asked_s <= 0.6
            total += 1.0 if is_in_time else LATE_ANSWER_VALUE
    return total / len(model.outcomes)


class LateQueueTest(unittest.TestCase):
    """Guards against queues in which every request misses its objective."""

    def simulate(
        self, overload_control: type[OverloadControl], per_s: float, seed: int
    ) -> LoadModel:
        model = LoadModel(
            PlacementPolicy(HOST_ZONES),
            HOST_ZONES,
            uneven_regions(),
            seed,
            overload_control(random.Random(seed)),
        )
        model.offer(0.0, 20.0, per_s, OBJECTS_PER_ZONE)
        model.lose_zone(1.3, "b")
        model.run()
        return model

    def test_mean_value_of_requests_is_higher_than_with_first_come_first_served(
        self,
    ) -> None:
        for per_s in (60.0, 74.0, 90.0):
            with self.subTest(per_s=per_s):
                controlled = baseline = 0.0
                for seed in range(3):
                    controlled += mean_value(
                        self.simulate(OverloadControl, per_s, seed)
                    )
                    baseline += mean_value(
                        self.simulate(FirstComeFirstServed, per_s, seed)
                    )
                self.assertGreater(controlled, baseline)

    def test_no_fewer_requests_are_answered(self) -> None:
        controlled = self.simulate(OverloadControl, 74.0, 1).share_answered(0.0, 20.0)
        baseline = self.simulate(FirstComeFirstServed, 74.0, 1).share_answered(
            0.0, 20.0
        )
        self.assertGreaterEqual(controlled, baseline)


def fill_recent_choices(overload_control: OverloadControl) -> None:
    """Record `RECENT_CHOICES` choices that all meet a queue."""
    busy = Candidate(make_upstream(1, "a"), 0.9, 0.9, 0.9, True, 0.0, queue_wait_s=0.5)
    for _ in range(16):
        overload_control.retry_delay_s(busy, RequestTiming(1.2, 0.6, 4.0))


class JoinQueueTest(unittest.TestCase):
    """Guards against queueing of requests that must be late, and refusal of others."""

    FIRST = RequestTiming(remaining_s=1.2, objective_left_s=0.6, caller_left_s=4.0)
    RETRY = RequestTiming(remaining_s=1.2, objective_left_s=-0.5, caller_left_s=2.9)

    def is_admitted(
        self, timing: RequestTiming, expected_latency_s: float, **estimates: float
    ) -> bool:
        member: Upstream = make_upstream(1, "a")
        candidate = Candidate(
            member,
            expected_latency_s,
            estimates.get("min_latency_s", expected_latency_s),
            expected_latency_s,
            is_warm=True,
            object_load_wait_s=estimates.get("object_load_wait_s", 0.0),
            queue_wait_s=estimates.get("queue_wait_s", 0.0),
        )
        overload_control = OverloadControl(random.Random(1))
        fill_recent_choices(overload_control)
        delay_s = overload_control.retry_delay_s(candidate, timing)
        if delay_s is not None:
            self.assertGreaterEqual(delay_s, estimates.get("object_load_wait_s", 0.0))
        return delay_s is None

    def test_which_requests_may_join_a_queue(self) -> None:
        for name, timing, expected_latency_s, estimates, joins in (
            ("within the objective", self.FIRST, 0.5, {"queue_wait_s": 0.2}, True),
            ("late behind a queue", self.FIRST, 0.9, {"queue_wait_s": 0.5}, False),
            ("cold at a free slot", self.FIRST, 0.9, {}, True),
            (
                "late, object in warm-up",
                self.FIRST,
                0.9,
                {"object_load_wait_s": 0.5},
                True,
            ),
            ("retry at a free slot", self.RETRY, 0.4, {}, True),
            ("retry at a queue", self.RETRY, 0.6, {"queue_wait_s": 0.4}, False),
            (
                "retry, object in warm-up",
                self.RETRY,
                0.9,
                {"object_load_wait_s": 0.5},
                True,
            ),
            ("later than the timeout", self.RETRY, 1.4, {}, False),
        ):
            with self.subTest(name):
                self.assertEqual(
                    self.is_admitted(timing, expected_latency_s, **estimates), joins
                )

    def test_a_single_queue_causes_no_refusals(self) -> None:
        overload_control = OverloadControl(random.Random(1))
        late = Candidate(
            make_upstream(1, "a"), 0.9, 0.9, 0.9, True, 0.0, queue_wait_s=0.5
        )
        free = Candidate(
            make_upstream(2, "a"), 0.3, 0.3, 0.3, True, 0.0, queue_wait_s=0.0
        )
        for _ in range(30):
            self.assertIsNone(overload_control.retry_delay_s(free, self.FIRST))
            self.assertIsNone(overload_control.retry_delay_s(late, self.FIRST))

    def test_retry_delays_are_spread(self) -> None:
        overload_control = OverloadControl(random.Random(1))
        late = Candidate(make_upstream(1, "a"), 2.0, 2.0, 2.0, True, 0.0, 1.0)
        delays = [overload_control.retry_delay_s(late, self.FIRST) for _ in range(200)]
        known = [delay_s for delay_s in delays if delay_s is not None]
        self.assertEqual(len(known), 200)
        self.assertLess(min(known), 1.0)
        self.assertGreater(max(known), 1.2)
        # Callers accept a delay of up to a third of their remaining time.
        self.assertLess(max(known), 4.0 / 3)

    def test_time_spent_on_earlier_attempts(self) -> None:
        timeouts = CallerTimeouts()
        self.assertEqual(timeouts.spent_s("r", 4.0), 0.0)
        self.assertAlmostEqual(timeouts.spent_s("r", 2.9), 1.1)
        self.assertEqual(timeouts.spent_s("r", 3.98), 0.0)
        self.assertEqual(timeouts.spent_s("other", 2.0), 0.0)
