"""Admission by value: refuses the requests whose refusal costs callers least.

For each service and set of allowed regions, a host estimates the share of the offered
work for which there is capacity, from the queues that its own choices meet. The share
falls while they are longer than a target and grows while they are shorter. That much
work is sent. The classes of priority get it in order of urgency, after a reserve for
each, so that no class is sent a smaller share than a less urgent one. Within a class,
callers that come back after a refusal go first, then the requests with the highest
expected value per second of slot time. Routes and organisations that would get less
than a floor are sent a request from time to time whatever its value. A request that is
not expected to end within its timeout is never sent.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cardamomquay.placement._admission import AdmissionControl
from cardamomquay.placement._admission import AdmissionDecision
from cardamomquay.placement._admission import UnknownScarcity

if TYPE_CHECKING:
    import random

    from cardamomquay.placement._admission import AdmissionRequest
    from cardamomquay.placement._admission import FleetScarcity

# Queue wait at which the share neither grows nor falls, as a part of the objective,
# and its limits in seconds. Waits of 0.2 s are expected even with two thirds of the
# slots taken, since load reports are delayed.
TARGET_WAIT_OBJECTIVES = 0.5
TARGET_WAIT_RANGE_S = (0.2, 1.0)
# Time constant over which queue waits are averaged. A single estimate is based on a
# report that is up to a second old.
WAIT_EWMA_S = 0.3
# Rates at which the logarithm of the share changes in a second: falling at the largest
# error, growing with free slots. A queue turns over within about a second.
SHARE_FALL_PER_S = 1.0
SHARE_GROWTH_PER_S = 0.7
# Part by which the share is reduced at once for each target wait above the target; it
# damps the oscillation that the delay of load reports causes.
PROPORTIONAL_PART = 0.3
# Longest time between two choices that counts in the averages; a host without choices
# has learnt nothing about the queues.
STEP_MAX_S = 0.25
# A service loses at most this much of its capacity to demand: with a smaller share,
# a host would send too few requests to notice that the queues are gone.
SHARE_MIN = 0.1
# Part of the share that is reserved for each class, route and organisation. The bound
# is a quarter of the mean; the rest allows for chance in small numbers.
FLOOR_PART = 0.35
# Most admissions by the floor that one group can save up.
FLOOR_CREDIT_MAX = 1.0
# Time constant with which the offered work of each class is averaged.
DEMAND_EWMA_S = 3.0
# Number of recent requests of a class with which the value of a request is compared.
RECENT_SCORES = 48
# Value of an answer after the objective, compared with 1 for one within it.
LATE_ANSWER_VALUE = 0.2
# Standard deviations of the estimates: of processing times, as a part of them, and of
# the wait for a slot, as a part of it and in seconds.
WORK_DEVIATION = 0.15
WAIT_DEVIATION = 0.4
WAIT_DEVIATION_MIN_S = 0.03
# A request is refused if the probability that it ends within its timeout is lower.
TIMELY_PROBABILITY_MIN = 0.25
# Range of the retry delay as a part of the caller's remaining time. Callers accept a
# delay of up to a third of it.
RETRY_DELAY_PARTS = (0.1, 0.32)
# Retry delays are multiplied by a random factor between these.
RETRY_SPREAD = (0.85, 1.0)
RETRY_DELAY_MIN_S = 0.1


@dataclass(slots=True)
class _Class:
    """Requests of one priority."""

    demand_s: float = 0.0
    scores: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=RECENT_SCORES)
    )


@dataclass(slots=True)
class _Pool:
    """What one service has free in one set of regions, as this host sees it."""

    updated_s: float
    share: float = 1.0
    wait_s: float = 0.0
    target_s: float = TARGET_WAIT_RANGE_S[0]
    classes: dict[tuple[int, int], _Class] = field(default_factory=dict)
    credits: dict[str, float] = field(default_factory=dict)


class ValueAdmission(AdmissionControl):
    """Sends the requests with the highest value for which there is capacity.

    Parameters
    ----------
    rng : random.Random
        Spreads retry delays, and decides between requests of equal value.
    scarcity : FleetScarcity, optional
        What the other hosts know; by default, the host decides alone.
    """

    def __init__(
        self, rng: random.Random, scarcity: FleetScarcity | None = None
    ) -> None:
        self._rng = rng
        self._scarcity = scarcity or UnknownScarcity()
        self._pools: dict[tuple[str, frozenset[str]], _Pool] = {}

    def admitted_share(self, service: str, regions: frozenset[str]) -> float:
        """Return the share of the offered work for which this host sees capacity."""
        pool = self._pools.get((service, regions))
        return pool.share if pool else 1.0

    def decide(self, request: AdmissionRequest, now_s: float) -> AdmissionDecision:
        """Decide about a request by its value and the capacity.

        The rule of the decision is ``sent``, ``floor`` (sent since its route or
        organisation would starve), ``hopeless`` (not expected to end within its
        timeout) or ``value``.
        """
        pool = self._pool(request, now_s)
        timely, in_objective = _probabilities(request)
        claim = request.claim
        if timely < TIMELY_PROBABILITY_MIN:
            return self._refused("hopeless", request, pool, timely, 0.0, 0.0)
        if claim.is_admitted:
            return AdmissionDecision("sent")
        work_s = max(request.candidate.work_s, 1e-3)
        value = in_objective + LATE_ANSWER_VALUE * (timely - in_objective)
        score = value / work_s
        if claim.is_return:
            # Its caller has waited as it was told, so it goes before all new requests.
            score = 1e3 + timely / work_s
        share = self._effective_share(request, pool, now_s)
        class_share = self._class_share(request, pool, share)
        rank = self._rank(pool.classes[claim.priority], score, work_s)
        has_credit = self._add_credits(request, pool, share)
        if rank < class_share:
            rule = "sent"
        elif has_credit:
            rule = "floor"
        else:
            return self._refused("value", request, pool, timely, rank, class_share)
        for group in _groups(request):
            pool.credits[group] = max(0.0, pool.credits[group] - 1.0)
        return AdmissionDecision(rule)

    def _pool(self, request: AdmissionRequest, now_s: float) -> _Pool:
        """Return the pool of a request, with the request's choice included."""
        key = (request.service, request.allowed_regions)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = _Pool(now_s)
        low_s, high_s = TARGET_WAIT_RANGE_S
        target_s = TARGET_WAIT_OBJECTIVES * request.objective_s
        pool.target_s = min(high_s, max(low_s, target_s))
        step_s = min(STEP_MAX_S, max(0.0, now_s - pool.updated_s))
        pool.updated_s = now_s
        weight = 1.0 - math.exp(-max(step_s, 0.01) / WAIT_EWMA_S)
        pool.wait_s += weight * (request.candidate.queue_wait_s - pool.wait_s)
        error = max(-1.0, min(1.0, pool.wait_s / pool.target_s - 1.0))
        rate = SHARE_FALL_PER_S if error > 0.0 else SHARE_GROWTH_PER_S
        pool.share *= math.exp(-rate * error * step_s)
        pool.share = min(1.0, max(SHARE_MIN, pool.share))
        decay = math.exp(-step_s / DEMAND_EWMA_S)
        for other in pool.classes.values():
            other.demand_s *= decay
        if not request.claim.is_admitted:
            own = pool.classes.setdefault(request.claim.priority, _Class())
            own.demand_s += request.candidate.work_s
        return pool

    def _effective_share(
        self, request: AdmissionRequest, pool: _Pool, now_s: float
    ) -> float:
        excess = max(0.0, pool.wait_s / pool.target_s - 1.0)
        share = pool.share * max(0.0, 1.0 - PROPORTIONAL_PART * excess)
        known = self._scarcity.admitted_share(
            request.service, request.allowed_regions, now_s
        )
        if known is not None:
            # The own estimate is newer, that of all hosts is less noisy.
            share = math.sqrt(max(share, SHARE_MIN) * max(known, SHARE_MIN))
        return min(1.0, max(SHARE_MIN, share))

    @staticmethod
    def _class_share(request: AdmissionRequest, pool: _Pool, share: float) -> float:
        """Return the share of the work of the request's class that is sent.

        Each class gets `FLOOR_PART` of the mean share; the rest goes to the classes in
        order of priority.
        """
        priority = request.claim.priority
        reserved = FLOOR_PART * share
        total_s = sum(each.demand_s for each in pool.classes.values())
        ahead_s = sum(
            each.demand_s for key, each in pool.classes.items() if key < priority
        )
        own_s = max(pool.classes[priority].demand_s, 1e-6)
        left_s = (share - reserved) * total_s - (1.0 - reserved) * ahead_s
        return min(1.0, reserved + max(0.0, left_s) / own_s)

    def _rank(self, own: _Class, score: float, work_s: float) -> float:
        """Return the part of the recent work of a class that goes before a request."""
        before_s = sum(work for other, work in own.scores if other > score)
        equal_s = work_s + sum(work for other, work in own.scores if other == score)
        total_s = work_s + sum(work for _, work in own.scores)
        own.scores.append((score, work_s))
        return (before_s + self._rng.random() * equal_s) / total_s

    @staticmethod
    def _add_credits(request: AdmissionRequest, pool: _Pool, share: float) -> bool:
        """Add to the credits of the request's groups; return whether one has enough."""
        is_due = False
        for group in _groups(request):
            credit = pool.credits.get(group, 0.0) + FLOOR_PART * share
            pool.credits[group] = min(FLOOR_CREDIT_MAX, credit)
            is_due = is_due or credit >= 1.0
        return is_due

    def _refused(
        self,
        rule: str,
        request: AdmissionRequest,
        pool: _Pool,
        timely: float,
        rank: float,
        class_share: float,
    ) -> AdmissionDecision:
        timing, candidate, claim = request.timing, request.candidate, request.claim
        low, high = RETRY_DELAY_PARTS
        # More urgent classes have room again earlier; the others wait as long as they
        # accept.
        part = high if rule == "hopeless" else high - (high - low) * class_share
        delay_s = timing.caller_left_s * part * self._rng.uniform(*RETRY_SPREAD)
        delay_s = max(RETRY_DELAY_MIN_S, candidate.object_load_wait_s, delay_s)
        return AdmissionDecision(
            rule,
            delay_s,
            {
                "priority": claim.priority,
                "return": claim.is_return,
                "share": round(pool.share, 3),
                "class_share": round(class_share, 3),
                "rank": round(rank, 3),
                "timely": round(timely, 3),
                "work": round(candidate.work_s, 3),
                "mean_queue": round(pool.wait_s, 3),
            },
        )


def _groups(request: AdmissionRequest) -> tuple[str, str]:
    """Return the groups that may not starve: the route and the organisation."""
    return (f"r:{request.claim.route}", f"o:{request.claim.organisation}")


def _probabilities(request: AdmissionRequest) -> tuple[float, float]:
    """Return the probabilities to end within the timeout and the objective."""
    candidate, timing = request.candidate, request.timing
    wait_s = max(candidate.queue_wait_s, candidate.object_load_wait_s)
    deviation_s = math.hypot(
        WORK_DEVIATION * candidate.work_s,
        WAIT_DEVIATION * wait_s,
        WAIT_DEVIATION_MIN_S,
    )
    expected_s = candidate.expected_latency_s
    timely = _normal_cdf((timing.remaining_s - expected_s) / deviation_s)
    in_objective = _normal_cdf((timing.objective_left_s - expected_s) / deviation_s)
    return timely, min(timely, in_objective)


def _normal_cdf(deviations: float) -> float:
    return 0.5 * (1.0 + math.erf(deviations / math.sqrt(2.0)))
