"""Accrual that a lender's bucket had no room for."""

from __future__ import annotations

from bisect import bisect_right
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
        self._spans: list[tuple[float, float]] = []

    def add(self, from_s: float, to_s: float) -> None:
        """Note that everything that accrued in a span was clipped."""
        spans = self._spans
        if spans and spans[-1][1] >= from_s:
            # A bucket that stays full adds one span after the other; kept apart, they
            # made the settling of a report slow.
            from_s, _ = spans.pop()
        spans.append((from_s, to_s))
        forget_before_s = to_s - REMEMBERED_S
        while spans[0][1] < forget_before_s:
            spans.pop(0)
        spans[0] = (max(spans[0][0], forget_before_s), spans[0][1])

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
        taken_s = 0.0
        spans = self._spans
        # Only the spans that are touched are replaced: there can be hundreds.
        index = bisect_right(spans, after_s, key=_end)
        while index < len(spans) and taken_s < seconds:
            from_s, to_s = spans[index]
            start_s = max(from_s, after_s)
            end_s = min(to_s, start_s + seconds - taken_s)
            if end_s <= start_s:
                break
            taken_s += end_s - start_s
            kept = [(a, b) for a, b in ((from_s, start_s), (end_s, to_s)) if a < b]
            spans[index : index + 1] = kept
            index += int(from_s < start_s)
        return taken_s


def _end(span: tuple[float, float]) -> float:
    return span[1]
