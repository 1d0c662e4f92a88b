"""Load pattern: queues filled by a fault, and a load that would just fit without them.

Twelve upstreams in uneven regions; those of one region are lost in the first seconds,
while nearly all objects are still cold. Warm, the load takes 65 to 99 in 100 of the
slots that are left.
"""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

from cardamomquay.placement import CallerDeadlines
from cardamomquay.placement import Candidate
from cardamomquay.placement import OverloadGate
from cardamomquay.placement import RequestTiming
from cardamomquay_dev.lab.load_model import LoadModel
from cardamomquay_dev.lab.load_model import PlacementPolicy
from cardamomquay_dev.lab.load_model import uneven_regions
from cardamomquay_dev.lab.load_model import upstream

if TYPE_CHECKING:
    from cardamomquay.traffic import Upstream

ZONES = ["a", "a", "a", "b", "b", "b", "c", "c"]
OBJECTS = 24
LATE_WORTH = 0.2
REFUSED_TWICE_COST = 0.3


class FirstComeFirstServed(OverloadGate):
    """The baseline: refuses only what cannot be answered in time at all."""

    def come_back_s(self, candidate: Candidate, timing: RequestTiming) -> float | None:
        if candidate.least_s <= timing.left_s:
            return None
        late_s = candidate.least_s - timing.left_s
        return max(0.2, candidate.wait_s, late_s)


def worth(model: LoadModel) -> float:
    """Return the mean worth of a request: 1 in time, less if late."""
    total = 0.0
    for outcome in model.outcomes:
        if outcome.answered_s is None:
            total -= REFUSED_TWICE_COST if outcome.refused else 0.0
        else:
            is_in_time = outcome.answered_s - outcome.asked_s <= 0.6
            total += 1.0 if is_in_time else LATE_WORTH
    return total / len(model.outcomes)


class LateQueueTest(unittest.TestCase):
    """Guards against queues in which every request waits until it is late."""

    def play(self, gate: type[OverloadGate], per_s: float, seed: int) -> LoadModel:
        model = LoadModel(
            PlacementPolicy(ZONES),
            ZONES,
            uneven_regions(),
            seed,
            gate(random.Random(seed)),
        )
        model.offer(0.0, 20.0, per_s, OBJECTS)
        model.lose(1.3, "b")
        model.run()
        return model

    def test_more_requests_are_in_time_than_first_come_first_served(self) -> None:
        for per_s in (60.0, 74.0, 90.0):
            with self.subTest(per_s=per_s):
                gated = plain = 0.0
                for seed in range(3):
                    gated += worth(self.play(OverloadGate, per_s, seed))
                    plain += worth(self.play(FirstComeFirstServed, per_s, seed))
                self.assertGreater(gated, plain)

    def test_no_fewer_requests_are_answered(self) -> None:
        gated = self.play(OverloadGate, 74.0, 1).answered(0.0, 20.0)
        plain = self.play(FirstComeFirstServed, 74.0, 1).answered(0.0, 20.0)
        self.assertGreaterEqual(gated, plain)


def overload(gate: OverloadGate) -> None:
    """Let most of the latest choices meet a queue."""
    busy = Candidate(upstream(1, "a"), 0.9, 0.9, 0.9, True, 0.0, queue_s=0.5)
    for _ in range(16):
        gate.come_back_s(busy, RequestTiming(1.2, 0.6, 4.0))


class GateTest(unittest.TestCase):
    """Guards against requests that wait although they must be late, and the reverse."""

    FRESH = RequestTiming(left_s=1.2, objective_left_s=0.6, caller_left_s=4.0)
    BACK = RequestTiming(left_s=1.2, objective_left_s=-0.5, caller_left_s=2.9)

    def ask(self, timing: RequestTiming, finish_s: float, **parts: float) -> bool:
        member: Upstream = upstream(1, "a")
        candidate = Candidate(
            member,
            finish_s,
            parts.get("least_s", finish_s),
            finish_s,
            is_warm=True,
            wait_s=parts.get("wait_s", 0.0),
            queue_s=parts.get("queue_s", 0.0),
        )
        gate = OverloadGate(random.Random(1))
        overload(gate)
        pause_s = gate.come_back_s(candidate, timing)
        if pause_s is not None:
            self.assertGreaterEqual(pause_s, parts.get("wait_s", 0.0))
        return pause_s is None

    def test_who_joins_a_queue(self) -> None:
        for name, timing, finish_s, parts, joins in (
            ("in time", self.FRESH, 0.5, {"queue_s": 0.2}, True),
            ("late behind a queue", self.FRESH, 0.9, {"queue_s": 0.5}, False),
            ("cold at a free slot", self.FRESH, 0.9, {}, True),
            ("late for its object", self.FRESH, 0.9, {"wait_s": 0.5}, True),
            ("back at a free slot", self.BACK, 0.4, {}, True),
            ("back at a queue", self.BACK, 0.6, {"queue_s": 0.4}, False),
            ("back for its object", self.BACK, 0.9, {"wait_s": 0.5}, True),
            ("never in time", self.BACK, 1.4, {}, False),
        ):
            with self.subTest(name):
                self.assertEqual(self.ask(timing, finish_s, **parts), joins)

    def test_a_single_queue_turns_nobody_away(self) -> None:
        gate = OverloadGate(random.Random(1))
        late = Candidate(upstream(1, "a"), 0.9, 0.9, 0.9, True, 0.0, queue_s=0.5)
        free = Candidate(upstream(2, "a"), 0.3, 0.3, 0.3, True, 0.0, queue_s=0.0)
        for _ in range(30):
            self.assertIsNone(gate.come_back_s(free, self.FRESH))
            self.assertIsNone(gate.come_back_s(late, self.FRESH))

    def test_returns_are_spread(self) -> None:
        gate = OverloadGate(random.Random(1))
        late = Candidate(upstream(1, "a"), 2.0, 2.0, 2.0, True, 0.0, 1.0)
        pauses = [gate.come_back_s(late, self.FRESH) for _ in range(200)]
        known = [pause_s for pause_s in pauses if pause_s is not None]
        self.assertEqual(len(known), 200)
        self.assertLess(min(known), 1.0)
        self.assertGreater(max(known), 1.2)
        # Callers do not wait for more than a third of their time.
        self.assertLess(max(known), 4.0 / 3)

    def test_time_spent_on_earlier_attempts(self) -> None:
        deadlines = CallerDeadlines()
        self.assertEqual(deadlines.spent_s("r", 4.0), 0.0)
        self.assertAlmostEqual(deadlines.spent_s("r", 2.9), 1.1)
        self.assertEqual(deadlines.spent_s("r", 3.98), 0.0)
        self.assertEqual(deadlines.spent_s("other", 2.0), 0.0)
