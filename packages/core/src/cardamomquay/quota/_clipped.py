"""Accrual that a lender's bucket had no room for."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Older spending has expired at the lender before it can be reported.
REMEMBERED_S = 2.0


class ClippedAccrual:
    """Times during which tokens accrued without room for them.

    A lender hears late that a token is spent. Had it known at once, a token could
    have accrued in its place. Each clipped instant can be recovered once, and only
    for a token that was spent before it, so the result is that of a bucket that knew
    of the spending in time.
    """

    def __init__(self) -> None:
        self._spans: deque[tuple[float, float]] = deque()

    def add(self, from_s: float, to_s: float) -> None:
        """Note that everything that accrued in a span was clipped."""
        self._spans.append((from_s, to_s))
        while self._spans[0][1] < to_s - REMEMBERED_S:
            self._spans.popleft()

    def clear(self) -> None:
        """Forget all spans, because the rate changes."""
        self._spans.clear()

    def recover(self, spent_at_s: Iterable[float], rate_per_s: float) -> float:
        """Take out what could have accrued in the place of spent tokens.

        Parameters
        ----------
        spent_at_s : iterable of float
            Latest time at which each token can have been spent.
        rate_per_s : float

        Returns
        -------
        float
            Tokens, at most as many as were spent.
        """
        recovered_s = 0.0
        for at_s in sorted(spent_at_s):
            recovered_s += self._take(at_s, 1.0 / rate_per_s)
        return recovered_s * rate_per_s

    def _take(self, after_s: float, seconds: float) -> float:
        """Remove up to `seconds` of the spans after a time, the earliest first."""
        kept: deque[tuple[float, float]] = deque()
        taken_s = 0.0
        for from_s, to_s in self._spans:
            start_s = max(from_s, after_s)
            end_s = min(to_s, start_s + seconds - taken_s)
            if end_s <= start_s:
                kept.append((from_s, to_s))
                continue
            taken_s += end_s - start_s
            if from_s < start_s:
                kept.append((from_s, start_s))
            if end_s < to_s:
                kept.append((end_s, to_s))
        self._spans = kept
        return taken_s
