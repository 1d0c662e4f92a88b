"""Overload control: refuses requests early while most upstreams have queues.

If a fault, cold objects or a burst have filled the queues, a load just within capacity
does not empty them. With first come, first served, every request is then answered late:
it waits behind requests that are late already, and refused callers retry into the same
queue. While most recent choices have met a queue, a request joins a queue only if it
can meet its latency objective. A request that cannot, because it is a retry or its
object is cold, is sent only to an upstream with almost no queue, and is otherwise
refused with a randomised retry delay. While only single upstreams have long queues,
requests in them are not refused: they are late themselves, but delay no others.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.placement._admission import AdmissionControl
from cardamomquay.placement._admission import AdmissionDecision
from cardamomquay.placement._admission import AdmissionRule

if TYPE_CHECKING:
    import random

    from cardamomquay.placement._admission import AdmissionRequest
    from cardamomquay.placement._placement import Candidate

# Requests expected to exceed the objective by up to this factor still often meet it,
# since the estimate assumes the mean load from other hosts.
OBJECTIVE_TOLERANCE = 1.2
# A choice with a longer expected wait for a slot counts as one that met a queue. Waits
# of 0.2 s are expected even with two thirds of the slots taken, since load reports are
# delayed.
OVERLOADED_QUEUE_S = 0.3
# Longest queue that a request which misses its objective may join under overload. In a
# longer queue it would delay requests that can still meet theirs.
LATE_REQUEST_QUEUE_MAX_S = 0.1
# Number of recent choices kept for each service, and how many of them must meet a queue
# for the service to count as overloaded.
RECENT_CHOICES = 16
OVERLOADED_CHOICES_MIN = 12
# Range of the retry delay as a share of the caller's remaining time. Callers accept a
# delay of up to a third of it.
RETRY_DELAY_SHARE = (0.22, 0.32)
# Callers of a route start with the same timeout; one whose timeout is shorter by more
# than this has spent the difference on an earlier attempt.
DEADLINE_TOLERANCE_S = 0.05


@dataclass(frozen=True, slots=True)
class RequestTiming:
    """Remaining time of a request.

    Parameters
    ----------
    remaining_s : float
        Until the request times out.
    objective_left_s : float
        Until the latency objective is missed; negative for a retry that is already
        late.
    caller_left_s : float
        Until the caller gives up, retries included.
    """

    remaining_s: float
    objective_left_s: float
    caller_left_s: float


class CallerTimeouts:
    """Estimates how much of a caller's time was spent on earlier attempts."""

    def __init__(self) -> None:
        self._longest_timeout_s: dict[str, float] = {}

    def spent_s(self, route: str, timeout_s: float) -> float:
        """Return the time spent before this attempt, in seconds.

        Compares the timeout with the longest one seen on the route.

        Parameters
        ----------
        route : str
        timeout_s : float
            Time for which the caller waits, as stated in the request.

        Returns
        -------
        float
        """
        longest_s = max(self._longest_timeout_s.get(route, 0.0), timeout_s)
        self._longest_timeout_s[route] = longest_s
        spent_s = longest_s - timeout_s
        return spent_s if spent_s > DEADLINE_TOLERANCE_S else 0.0


class OverloadControl(AdmissionControl):
    """Decides whether a request may join a queue, whatever its priority.

    Parameters
    ----------
    rng : random.Random
        Randomises retry delays, so that refused callers do not retry together.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._recent_queued: dict[str, deque[bool]] = {}

    def decide(self, request: AdmissionRequest, now_s: float) -> AdmissionDecision:
        """Decide by `retry_delay_s`."""
        delay_s = self.retry_delay_s(request.candidate, request.timing)
        rule = AdmissionRule.SENT if delay_s is None else AdmissionRule.QUEUE
        return AdmissionDecision(rule, delay_s)

    def retry_delay_s(
        self, candidate: Candidate, timing: RequestTiming
    ) -> float | None:
        """Return the delay after which a refused request should be retried.

        Also records whether the choice met a queue. A request that cannot be answered
        within its remaining time is refused without overload as well.

        Parameters
        ----------
        candidate : Candidate
        timing : RequestTiming

        Returns
        -------
        float or None
            In seconds; None if the request may be sent.
        """
        is_overloaded = self._record_choice(candidate)
        if candidate.min_latency_s <= timing.remaining_s:
            if not is_overloaded:
                return None
            if (
                candidate.expected_latency_s
                <= OBJECTIVE_TOLERANCE * timing.objective_left_s
            ):
                return None
            if candidate.queue_wait_s <= LATE_REQUEST_QUEUE_MAX_S:
                return None
        delay_s = timing.caller_left_s * self._rng.uniform(*RETRY_DELAY_SHARE)
        return max(candidate.object_load_wait_s, delay_s)

    def _record_choice(self, candidate: Candidate) -> bool:
        """Record whether a choice met a queue; return whether most recent ones did."""
        service = candidate.upstream.service
        recent = self._recent_queued.setdefault(service, deque(maxlen=RECENT_CHOICES))
        recent.append(candidate.queue_wait_s > OVERLOADED_QUEUE_S)
        return sum(recent) >= OVERLOADED_CHOICES_MIN
