"""Compares rules of admission on load patterns of the load model.

Run by ``python -m cardamomquay_dev.lab.admission [SEEDS [FACTOR]]``. With a factor,
there are that many times as many hosts, and each sees less of the load.

Three routes of priority 0, 1 and 2 share one service with 0.3, 0.3 and 0.4 of the
requests. Twelve upstreams and eight hosts are in three regions.
"""

from __future__ import annotations

import math
import random
import sys
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.placement import AdmissionControl
from cardamomquay.placement import AdmissionDecision
from cardamomquay.placement import AdmissionRule
from cardamomquay.placement import OverloadControl
from cardamomquay.placement import ValueAdmission
from cardamomquay_dev.lab.load_model import OBJECTIVE_S
from cardamomquay_dev.lab.load_model import SLOTS
from cardamomquay_dev.lab.load_model import LoadModel
from cardamomquay_dev.lab.load_model import PlacementPolicy
from cardamomquay_dev.lab.load_model import Server
from cardamomquay_dev.lab.load_model import make_upstream

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomquay.placement import AdmissionRequest
    from cardamomquay.placement._value_admission import ClassState
    from cardamomquay.placement._value_admission import PoolState

HOST_ZONES = ["a", "a", "a", "b", "b", "b", "c", "c"]
UPSTREAM_ZONES = ["a"] * 4 + ["b"] * 4 + ["c"] * 4
# Requests a second that fill all slots if each takes 0.89 s (cold) or 0.3 s (warm).
COLD_CAPACITY_PER_S = len(UPSTREAM_ZONES) * SLOTS / 0.89
WARM_CAPACITY_PER_S = len(UPSTREAM_ZONES) * SLOTS / 0.30
OBJECTS_PER_ZONE = 24
# With so many objects, almost every request is for a cold one.
COLD_OBJECTS_PER_ZONE = 400
ROUTE_SHARES = {0: 0.3, 1: 0.3, 2: 0.4}
# Value of an answer within the objective, by priority.
VALUES = {0: 4.0, 1: 2.0, 2: 1.0}


def offer(
    model: LoadModel,
    from_s: float,
    to_s: float,
    per_s: float,
    objects: int = OBJECTS_PER_ZONE,
    zones: tuple[str, ...] = (),
) -> None:
    """Schedule requests of all routes."""
    for priority, share in ROUTE_SHARES.items():
        route = f"r{priority}"
        model.offer(from_s, to_s, per_s * share, objects, route, priority, zones)


def waves(model: LoadModel) -> None:
    """Waves of plus and minus 0.55 that pass through the regions 12 s apart."""
    for second in range(36):
        for number, zone in enumerate("abc"):
            wave = 1.0 + 0.55 * math.sin(2 * math.pi * (second - 12 * number) / 36)
            per_s = WARM_CAPACITY_PER_S * wave / 3
            offer(model, second, second + 1, per_s, zones=(zone,))


def route_burst(model: LoadModel) -> None:
    """A burst of the least urgent route to 1.7 times the whole load for 3 s."""
    per_s = 0.9 * WARM_CAPACITY_PER_S
    offer(model, 0.0, 16.0, per_s)
    model.offer(6.0, 9.0, 0.7 * per_s, OBJECTS_PER_ZONE, "r2", 2)


def retry_storm(model: LoadModel) -> None:
    """Twice the load for 3 s; callers repeat six times, most of them at once."""
    model.retries_max = 6
    model.impatient_share = 0.7
    offer(model, 0.0, 16.0, 0.8 * WARM_CAPACITY_PER_S)
    offer(model, 4.0, 7.0, 0.8 * WARM_CAPACITY_PER_S)


def cold_demand(factor: float) -> Callable[[LoadModel], None]:
    """Return a load of `factor` times the capacity with almost all objects cold."""

    def pattern(model: LoadModel) -> None:
        per_s = factor * COLD_CAPACITY_PER_S
        offer(model, 0.0, 20.0, per_s, COLD_OBJECTS_PER_ZONE)

    return pattern


def spreading_burst(factor: float) -> Callable[[LoadModel], None]:
    """Return a load that fits with warm objects, with a burst that spreads them.

    The load is `factor` times the capacity for cold objects, 1.7 times that for 3 s.
    """

    def pattern(model: LoadModel) -> None:
        per_s = factor * COLD_CAPACITY_PER_S
        offer(model, 0.0, 20.0, per_s)
        offer(model, 8.0, 11.0, 0.7 * per_s)

    return pattern


PATTERNS: dict[str, Callable[[LoadModel], None]] = {
    "waves": waves,
    "route burst": route_burst,
    "retry storm": retry_storm,
    "cold 1.04": cold_demand(1.04),
    "cold 1.25": cold_demand(1.25),
    "spreading 1.04": spreading_burst(1.04),
    "spreading 1.25": spreading_burst(1.25),
}


class StrictPriority(ValueAdmission):
    """Classes in order of priority after a reserve; by chance within a class."""

    def _rank(self, own: ClassState, score: float, work_s: float) -> float:
        return self._rng.random()


class WeightedFairQueueing(ValueAdmission):
    """Classes share the capacity by their weights and their work."""

    def _class_share(
        self, request: AdmissionRequest, pool: PoolState, share: float
    ) -> float:
        demand_s = {k: c.demand_s for k, c in pool.classes.items()}
        left_s, shares = share * sum(demand_s.values()), dict.fromkeys(demand_s, 0.0)
        weights = {key: VALUES[key[1]] * demand_s[key] for key in demand_s}
        while left_s > 1e-6 and weights:
            level = left_s / sum(weights.values())
            full = {k for k in weights if level * weights[k] >= demand_s[k] - 1e-9}
            for key in full or set(weights):
                shares[key] = 1.0 if full else level * weights[key] / demand_s[key]
                left_s -= shares[key] * demand_s[key]
                del weights[key]
        return shares[request.claim.priority]

    def _rank(self, own: ClassState, score: float, work_s: float) -> float:
        return self._rng.random()


class ValueDensity(ValueAdmission):
    """One order of all requests by value per second of work, without classes."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._all: ClassState | None = None
        self._weight = 1.0

    def decide(self, request: AdmissionRequest, now_s: float) -> AdmissionDecision:
        self._weight = VALUES[request.claim.priority[1]]
        return super().decide(request, now_s)

    def _class_share(
        self, request: AdmissionRequest, pool: PoolState, share: float
    ) -> float:
        return share

    def _rank(self, own: ClassState, score: float, work_s: float) -> float:
        self._all = self._all or own
        return super()._rank(self._all, self._weight * score, work_s)


class DelayBound(OverloadControl):
    """CoDel: refuses ever more often while the queue stays above 0.18 s for 0.3 s."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._short_s = 0.0
        self._next_s = 0.0
        self._refused = 0

    def decide(self, request: AdmissionRequest, now_s: float) -> AdmissionDecision:
        candidate, timing = request.candidate, request.timing
        if candidate.queue_wait_s < 0.18:
            self._short_s, self._refused = now_s, 0
        is_due = now_s >= max(self._short_s + 0.3, self._next_s)
        if candidate.min_latency_s <= timing.remaining_s and not is_due:
            return AdmissionDecision(AdmissionRule.SENT)
        if is_due:
            self._refused += 1
            self._next_s = now_s + 0.3 / math.sqrt(self._refused)
        delay_s = timing.caller_left_s * self._rng.uniform(0.22, 0.32)
        return AdmissionDecision(
            AdmissionRule.QUEUE, max(candidate.object_load_wait_s, delay_s)
        )


RULES: dict[str, Callable[[random.Random], AdmissionControl]] = {
    "present rule": OverloadControl,
    "strict priority": StrictPriority,
    "weighted fair": WeightedFairQueueing,
    "value density": ValueDensity,
    "delay bound": DelayBound,
    "value by class": ValueAdmission,
}


@dataclass(frozen=True)
class Result:
    """What callers got under one rule.

    Parameters
    ----------
    value : float
        Share of the value of all requests that was answered within the objective.
    in_time, answered : dict of int to float
        Shares of the requests of each priority.
    answered_by_zone : dict of str to float
        Shares of the requests of the callers of each zone.
    discarded : float
        Share of the used slot time that went to requests without an answer.
    busy : float
        Used slot time, in seconds.
    """

    value: float
    in_time: dict[int, float]
    answered: dict[int, float]
    answered_by_zone: dict[str, float]
    discarded: float
    busy: float


def simulate(
    pattern: Callable[[LoadModel], None],
    rule: Callable[[random.Random], AdmissionControl],
    seeds: range,
    host_factor: int = 1,
) -> Result:
    """Return the result of a rule on a load pattern, over all seeds.

    There are `host_factor` times as many hosts as in `HOST_ZONES`.
    """
    zones = HOST_ZONES * host_factor
    asked: Counter[int] = Counter()
    zone_asked: Counter[str] = Counter()
    zone_answered: Counter[str] = Counter()
    in_time: Counter[int] = Counter()
    answered: Counter[int] = Counter()
    busy_s = discarded_s = 0.0
    for seed in seeds:
        rng = random.Random(seed)
        servers = [
            Server(make_upstream(n, zone)) for n, zone in enumerate(UPSTREAM_ZONES)
        ]
        model = LoadModel(
            PlacementPolicy(zones),
            zones,
            servers,
            seed,
            admission=lambda rng=rng: rule(rng),  # type: ignore[misc]
        )
        pattern(model)
        model.run()
        busy_s += model.busy_s
        discarded_s += model.discarded_s
        for outcome in model.outcomes:
            asked[outcome.priority] += 1
            zone_asked[outcome.zone] += 1
            if outcome.answered_s is not None:
                answered[outcome.priority] += 1
                zone_answered[outcome.zone] += 1
                took_s = outcome.answered_s - outcome.asked_s
                in_time[outcome.priority] += took_s <= OBJECTIVE_S
    value = sum(VALUES[p] * n for p, n in in_time.items())
    return Result(
        value / sum(VALUES[p] * n for p, n in asked.items()),
        {p: in_time[p] / n for p, n in sorted(asked.items())},
        {p: answered[p] / n for p, n in sorted(asked.items())},
        {zone: zone_answered[zone] / n for zone, n in sorted(zone_asked.items())},
        discarded_s / busy_s,
        busy_s,
    )


def main() -> None:
    """Print a table of all rules on all patterns."""
    arguments = [int(argument) for argument in sys.argv[1:]]
    seeds = range(arguments[0] if arguments else 3)
    host_factor = arguments[1] if len(arguments) > 1 else 1
    print("| pattern | rule | value in time | in time | answered | discarded |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name, pattern in PATTERNS.items():
        for rule_name, rule in RULES.items():
            result = simulate(pattern, rule, seeds, host_factor)
            in_time = " ".join(f"{share:.2f}" for share in result.in_time.values())
            answered = " ".join(f"{share:.2f}" for share in result.answered.values())
            print(
                f"| {name} | {rule_name} | {result.value:.3f} | {in_time} "
                f"| {answered} | {result.discarded:.3f} |"
            )


if __name__ == "__main__":
    main()
