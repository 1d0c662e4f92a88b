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
from cardamomquay.placement._admission import AdmissionRule
from cardamomquay.placement._admission import UnknownScarcity

if TYPE_CHECKING:
    import random

    from cardamomquay.placement._admission import AdmissionRequest
    from cardamomquay.placement._admission import FleetScarcity
    from cardamomquay.placement._placement import Candidate

# Mean queue wait at which the share neither grows nor falls, as a part of the
# objective, and its limits in seconds. With 0.5, fewer requests of the load model were
# answered within the objective, since they wait in addition to their own work.
TARGET_WAIT_OBJECTIVES = 0.25
TARGET_WAIT_RANGE_S = (0.1, 1.0)
# Time constant over which queue waits are averaged. A single estimate is based on a
# report that is up to a second old.
PRESSURE_EWMA_S = 0.2
# Rates at which the logarithm of the share changes in a second: falling at the largest
# error, growing with free slots. A queue turns over within about a second.
SHARE_FALL_PER_S = 3.0
SHARE_GROWTH_PER_S = 1.5
# Part by which the share is reduced at once for each target wait above the target; it
# damps the oscillation that the delay of load reports causes.
PROPORTIONAL_PART = 0.3
# Longest time between two choices that counts in the averages; a host without choices
# has learnt nothing about the queues.
STEP_MAX_S = 0.25
# Shortest time that a choice counts for in the mean pressure, so that several choices
# in the same instant are averaged too.
STEP_MIN_S = 0.01
# Smallest share: in a retry storm, callers repeat each request several times, and with
# a larger one the repetitions alone would keep the queues full.
SHARE_MIN = 0.03
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
# A request is refused if the probability that it ends within its timeout is lower: with
# too little room, and while there is enough. Then the slot may stay idle otherwise, and
# estimates of single queues are often too high.
TIMELY_PROBABILITY_MIN = 0.8
TIMELY_PROBABILITY_FREE_MIN = 0.3
# Longest retry delay as a part of the caller's remaining time. Callers accept a delay
# of up to a third of it.
RETRY_DELAY_PART = 0.32
# Retry delays are multiplied by a random factor between these.
RETRY_SPREAD = (0.6, 1.0)
RETRY_DELAY_MIN_S = 0.1
# Value of an answer to a returning caller, compared with 1 for a new one in time.
RETURN_VALUE = 1.05
# A request whose queue is not expected to last longer is sent whatever its value: the
# slot would be idle otherwise. Hosts see too little of the load to fill slots exactly.
IDLE_QUEUE_MAX_S = 0.05
# Shortest time until the objective is missed in which a return is worthwhile.
RETURN_SLACK_MIN_S = 0.1
# Shortest work with which the value of a request is divided.
WORK_MIN_S = 0.001
# Part of the caller's remaining time that is added to the retry delay of a request that
# could not end within its timeout: its return needs the queue to be shorter for good.
LATE_RETURN_PART = 0.1
# A route is not sent a larger share than a more urgent one by more than the margin, if
# both have had this many requests lately. Chance explains smaller differences.
ROUTE_SHARE_MARGIN = 0.03
ROUTE_REQUESTS_MIN = 10.0


@dataclass(slots=True)
class ClassState:
    """Requests of one priority."""

    demand_s: float = 0.0
    scores: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=RECENT_SCORES)
    )


@dataclass(slots=True)
class _RouteShare:
    """Recent requests of a route of one priority, and how many of them were sent."""

    priority: int
    asked: float = 0.0
    sent: float = 0.0


@dataclass(slots=True)
class PoolState:
    """What one service has free in one set of regions, as this host sees it.

    `share` is the part of the offered work that is sent, and `pressure` the mean of
    the queue waits, each divided by its target.
    """

    updated_s: float
    share: float = 1.0
    pressure: float = 0.0
    routes: dict[str, _RouteShare] = field(default_factory=dict)
    classes: dict[tuple[int, int], ClassState] = field(default_factory=dict)
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
        self._pools: dict[tuple[str, frozenset[str]], PoolState] = {}

    def admitted_share(self, service: str, regions: frozenset[str]) -> float:
        """Return the share of the offered work for which this host sees capacity."""
        pool = self._pools.get((service, regions))
        return pool.share if pool else 1.0

    def decide(self, request: AdmissionRequest, now_s: float) -> AdmissionDecision:
        """Decide about a request by its value and the capacity.

        The rule of the decision is ``sent``, ``idle`` (sent since a slot is free),
        ``floor`` (sent since its route or organisation would starve), ``hopeless``
        (refused, since it is not expected to end within its timeout) or ``value``
        (refused, since others go before it).
        """
        pool = self._pool(request, now_s)
        timely, in_objective = _probabilities(request)
        claim = request.claim
        share = self._effective_share(request, pool, now_s)
        least = TIMELY_PROBABILITY_MIN if share < 1.0 else TIMELY_PROBABILITY_FREE_MIN
        is_hopeless = timely < least and _is_late_by_waiting(request)
        if claim.is_admitted:
            if not is_hopeless:
                return AdmissionDecision(AdmissionRule.SENT)
            return self._refused(
                AdmissionRule.HOPELESS, request, pool, timely, 1.0, 1.0
            )
        route = pool.routes.setdefault(claim.route, _RouteShare(claim.priority[1]))
        route.priority = claim.priority[1]
        route.asked += 1.0
        class_share = self._class_share(request, pool, share)
        if is_hopeless:
            return self._refused(
                AdmissionRule.HOPELESS, request, pool, timely, 1.0, class_share
            )
        work_s = max(request.candidate.work_s, WORK_MIN_S)
        value = in_objective + LATE_ANSWER_VALUE * (timely - in_objective)
        if claim.is_return:
            # Its caller has waited as it was told: it goes before new requests with as
            # much work, also if it is late by now.
            value = RETURN_VALUE * timely
        rank = self._rank(pool.classes[claim.priority], value / work_s, work_s)
        has_credit = self._add_credits(request, pool, share)
        is_ahead = share < 1.0 and _is_ahead(route, pool)
        if rank < class_share and not is_ahead:
            rule = AdmissionRule.SENT
        elif request.candidate.queue_wait_s <= IDLE_QUEUE_MAX_S and not is_ahead:
            rule = AdmissionRule.IDLE
        elif has_credit:
            rule = AdmissionRule.FLOOR
        else:
            return self._refused(
                AdmissionRule.VALUE, request, pool, timely, rank, class_share
            )
        route.sent += 1.0
        for group in _groups(request):
            pool.credits[group] = max(0.0, pool.credits[group] - 1.0)
        return AdmissionDecision(rule)

    def _pool(self, request: AdmissionRequest, now_s: float) -> PoolState:
        """Return the pool of a request, with the request's choice included."""
        key = (request.service, request.allowed_regions)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = PoolState(now_s)
        low_s, high_s = TARGET_WAIT_RANGE_S
        target_s = TARGET_WAIT_OBJECTIVES * request.objective_s
        pressure = request.candidate.queue_wait_s / min(high_s, max(low_s, target_s))
        step_s = min(STEP_MAX_S, max(0.0, now_s - pool.updated_s))
        pool.updated_s = now_s
        weight = 1.0 - math.exp(-max(step_s, STEP_MIN_S) / PRESSURE_EWMA_S)
        pool.pressure += weight * (pressure - pool.pressure)
        error = max(-1.0, min(1.0, pool.pressure - 1.0))
        rate = SHARE_FALL_PER_S if error > 0.0 else SHARE_GROWTH_PER_S
        pool.share *= math.exp(-rate * error * step_s)
        pool.share = min(1.0, max(SHARE_MIN, pool.share))
        decay = math.exp(-step_s / DEMAND_EWMA_S)
        for other in pool.classes.values():
            other.demand_s *= decay
        for route in pool.routes.values():
            route.asked *= decay
            route.sent *= decay
        if not request.claim.is_admitted:
            own = pool.classes.setdefault(request.claim.priority, ClassState())
            own.demand_s += request.candidate.work_s
        return pool

    def _effective_share(
        self, request: AdmissionRequest, pool: PoolState, now_s: float
    ) -> float:
        excess = max(0.0, pool.pressure - 1.0)
        share = pool.share * max(0.0, 1.0 - PROPORTIONAL_PART * excess)
        known = self._scarcity.admitted_share(
            request.service, request.allowed_regions, now_s
        )
        if known is not None:
            # The own estimate is newer, that of all hosts is less noisy.
            share = math.sqrt(max(share, SHARE_MIN) * max(known, SHARE_MIN))
        return min(1.0, max(SHARE_MIN, share))

    def _class_share(
        self, request: AdmissionRequest, pool: PoolState, share: float
    ) -> float:
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

    def _rank(self, own: ClassState, score: float, work_s: float) -> float:
        """Return the part of the recent work of a class that goes before a request."""
        before_s = sum(work for other, work in own.scores if other > score)
        equal_s = work_s + sum(work for other, work in own.scores if other == score)
        total_s = work_s + sum(work for _, work in own.scores)
        own.scores.append((score, work_s))
        return (before_s + self._rng.random() * equal_s) / total_s

    @staticmethod
    def _add_credits(request: AdmissionRequest, pool: PoolState, share: float) -> bool:
        """Add to the credits of the request's groups; return whether one has enough."""
        is_due = False
        for group in _groups(request):
            credit = pool.credits.get(group, 0.0) + FLOOR_PART * share
            pool.credits[group] = min(FLOOR_CREDIT_MAX, credit)
            is_due = is_due or credit >= 1.0
        return is_due

    def _refused(
        self,
        rule: AdmissionRule,
        request: AdmissionRequest,
        pool: PoolState,
        timely: float,
        rank: float,
        class_share: float,
    ) -> AdmissionDecision:
        timing, candidate, claim = request.timing, request.candidate, request.claim
        # Once the queues are short, the share grows at a known rate. That gives the
        # time until it reaches the rank of the request; urgent classes come earlier.
        growth = max(1.0, rank / max(class_share, SHARE_MIN))
        room_s = math.log(growth) / SHARE_GROWTH_PER_S
        if rule == AdmissionRule.HOPELESS:
            # The queue has to become shorter by the time that the request lacks.
            room_s += max(0.0, candidate.expected_latency_s - timing.remaining_s)
            room_s += LATE_RETURN_PART * timing.caller_left_s
        delay_s = min(room_s, timing.caller_left_s * RETRY_DELAY_PART)
        without_wait_s = candidate.expected_latency_s - _wait_s(candidate)
        slack_s = timing.objective_left_s - without_wait_s
        if slack_s > RETURN_SLACK_MIN_S:
            # A return can still be in time, and goes before new requests.
            delay_s = min(delay_s, slack_s)
        delay_s *= self._rng.uniform(*RETRY_SPREAD)
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
                "pressure": round(pool.pressure, 3),
                "load_age": round(candidate.load_age_s, 2),
            },
        )


def _groups(request: AdmissionRequest) -> tuple[str, str]:
    """Return the groups that may not starve: the route and the organisation."""
    return (f"r:{request.claim.route}", f"o:{request.claim.organisation}")


def _is_ahead(own: _RouteShare, pool: PoolState) -> bool:
    """Return whether a route is sent a larger share than a more urgent one."""
    own_share = own.sent / own.asked
    return own.asked >= ROUTE_REQUESTS_MIN and any(
        other.priority < own.priority
        and other.asked >= ROUTE_REQUESTS_MIN
        and own_share > other.sent / other.asked + ROUTE_SHARE_MARGIN
        for other in pool.routes.values()
    )


def _is_late_by_waiting(request: AdmissionRequest) -> bool:
    """Return whether a request would be in time if it did not have to wait.

    If it is late even at a free slot, the estimate of its work may be wrong, and only
    sending such requests corrects it. They also load their objects.
    """
    candidate, timing = request.candidate, request.timing
    wait_s = _wait_s(candidate)
    if wait_s <= IDLE_QUEUE_MAX_S and candidate.min_latency_s <= timing.remaining_s:
        return False
    without_wait_s = candidate.expected_latency_s - wait_s
    return (
        candidate.min_latency_s > timing.remaining_s
        or without_wait_s <= timing.remaining_s
    )


def _probabilities(request: AdmissionRequest) -> tuple[float, float]:
    """Return the probabilities to end within the timeout and the objective."""
    candidate, timing = request.candidate, request.timing
    wait_s = _wait_s(candidate)
    deviation_s = math.hypot(
        WORK_DEVIATION * candidate.work_s,
        WAIT_DEVIATION * wait_s,
        WAIT_DEVIATION_MIN_S,
    )
    expected_s = candidate.expected_latency_s
    timely = _normal_cdf((timing.remaining_s - expected_s) / deviation_s)
    in_objective = _normal_cdf((timing.objective_left_s - expected_s) / deviation_s)
    return timely, min(timely, in_objective)


def _wait_s(candidate: Candidate) -> float:
    """Return the expected time until the upstream begins to run a request."""
    return max(candidate.queue_wait_s, candidate.object_load_wait_s)


def _normal_cdf(deviations: float) -> float:
    return 0.5 * (1.0 + math.erf(deviations / math.sqrt(2.0)))
