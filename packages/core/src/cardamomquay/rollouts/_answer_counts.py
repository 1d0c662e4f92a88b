"""Counts answers of both versions at the same age.

Load pattern: a version that answers half of the requests at once and the others late.
If answers counted when they end, its good ones would count first, and the version would
look good for as long as its slow requests run. So an answer counts when it would be
slow, however early it ended; only a failure counts at once.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from dataclasses import field
from itertools import count

from cardamomquay.rollouts._tally import Tally
from cardamomquay.rollouts._tally import VersionTallies


@dataclass(slots=True)
class PendingAnswer:
    """An attempt whose answer is not counted yet.

    Parameters
    ----------
    tally : Tally
        Tally of the version to which the request was sent.
    is_new : bool
        Whether that is the new version.
    ended_in_time : bool
        Whether it ended with a good answer before it would have been slow.
    is_settled : bool
        Whether it was counted, or will not be counted.
    """

    tally: Tally
    is_new: bool
    ended_in_time: bool = False
    is_settled: bool = False

    def record_failure(self) -> None:
        """Count a failed or malformed answer."""
        self.is_settled = True
        self.tally.answers += 1
        self.tally.errors += 1


@dataclass
class AnswerCounts:
    """Answers that one host has seen during a roll-out.

    Parameters
    ----------
    tallies : VersionTallies
        Answers counted so far.
    """

    tallies: VersionTallies = field(default_factory=VersionTallies)
    _pending: list[tuple[float, int, PendingAnswer]] = field(default_factory=list)
    _sequence: count[int] = field(default_factory=count)

    def begin(self, *, is_new: bool, slow_at_s: float) -> PendingAnswer:
        """Record an attempt that begins.

        Parameters
        ----------
        is_new : bool
        slow_at_s : float
            Time from which its answer is slow.

        Returns
        -------
        PendingAnswer
        """
        tally = self.tallies.new if is_new else self.tallies.old
        pending = PendingAnswer(tally, is_new)
        heapq.heappush(self._pending, (slow_at_s, next(self._sequence), pending))
        return pending

    def count_due(self, now_s: float) -> int:
        """Count the attempts that are slow by now, or would be.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        int
            Number of slow answers of the new version among them.
        """
        new_slow = 0
        while self._pending and self._pending[0][0] <= now_s:
            _, _, pending = heapq.heappop(self._pending)
            if pending.is_settled:
                continue
            pending.is_settled = True
            pending.tally.answers += 1
            if not pending.ended_in_time:
                pending.tally.slow += 1
                new_slow += pending.is_new
        return new_slow
