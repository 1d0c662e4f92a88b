"""Keeps queues short enough for requests that can still be in time.

Load pattern: after a fault, cold objects or a burst have filled the queues, and the
load that follows would just fit. First come, first served then answers every request
late: each waits behind others that are late already, and callers that were refused
come back into the same queue. While most choices meet a queue, a request joins one if
it can meet its objective. One that cannot, since it came back or its object is cold,
is served where slots are free, and is otherwise refused at once with a time to come
back that spreads the returns. Single queues are left alone: a request behind one is
late, but nobody else is.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from cardamomquay.placement._placement import Candidate

# An expected finish this much beyond the objective still often meets it; expectations
# assume the mean of what others have queued.
OBJECTIVE_TOLERANCE = 1.2
# A choice with a longer queue counts as overloaded. Expected queues of 0.2 s are usual
# at two thirds of the slots taken, since hosts know the load of others late.
OVERLOADED_QUEUE_S = 0.3
# While most choices meet a queue, a request that is late in any case may wait for this
# long: each one that joins a longer queue makes others late that could be in time.
LATE_QUEUE_S = 0.1
# Latest choices for a service, and how many of them have to meet a queue for the
# service to count as overloaded.
RECENT_CHOICES = 16
OVERLOADED_CHOICES = 12
# Part of the caller's remaining time after which it is asked to come back. Callers
# wait for up to a third of it.
COME_BACK_SHARE = (0.22, 0.32)
# Callers of a route wait equally long at first; one that waits this much less has
# spent the difference on an earlier attempt.
SPENT_TOLERANCE_S = 0.05


@dataclass(frozen=True, slots=True)
class RequestTiming:
    """How much time a request has.

    Parameters
    ----------
    left_s : float
        Until the answer is due.
    objective_left_s : float
        Until the answer loses most of its worth; negative if it has come back late.
    caller_left_s : float
        For which the caller waits and may come back.
    """

    left_s: float
    objective_left_s: float
    caller_left_s: float


class CallerDeadlines:
    """Tells how much of a caller's time was spent on earlier attempts."""

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def spent_s(self, route: str, deadline_s: float) -> float:
        """Return the time spent before this attempt, in seconds.

        Parameters
        ----------
        route : str
        deadline_s : float
            For which the caller says that it waits.

        Returns
        -------
        float
        """
        longest_s = max(self._longest_s.get(route, 0.0), deadline_s)
        self._longest_s[route] = longest_s
        spent_s = longest_s - deadline_s
        return spent_s if spent_s > SPENT_TOLERANCE_S else 0.0


class OverloadGate:
    """Decides who joins a queue.

    Parameters
    ----------
    rng : random.Random
        Spreads the returns of refused callers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._recent: dict[str, deque[bool]] = {}

    def come_back_s(self, candidate: Candidate, timing: RequestTiming) -> float | None:
        """Return when a request should come back, None if it may go.

        Parameters
        ----------
        candidate : Candidate
        timing : RequestTiming

        Returns
        -------
        float or None
            Seconds.
        """
        is_overloaded = self._note_choice(candidate)
        if candidate.least_s <= timing.left_s:
            if not is_overloaded:
                return None
            if candidate.finish_s <= OBJECTIVE_TOLERANCE * timing.objective_left_s:
                return None
            if candidate.queue_s <= LATE_QUEUE_S:
                return None
        pause_s = timing.caller_left_s * self._rng.uniform(*COME_BACK_SHARE)
        return max(candidate.wait_s, pause_s)

    def _note_choice(self, candidate: Candidate) -> bool:
        """Remember whether a choice met a queue, and tell whether most did."""
        service = candidate.upstream.service
        recent = self._recent.setdefault(service, deque(maxlen=RECENT_CHOICES))
        recent.append(candidate.queue_s > OVERLOADED_QUEUE_S)
        return sum(recent) >= OVERLOADED_CHOICES
