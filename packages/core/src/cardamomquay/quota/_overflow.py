"""Tokens that overflowed a lender's bucket and may be recovered."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Age at which overflow is dropped. Tokens spent earlier than that have expired at the
# lender before they are reported.
RETENTION_S = 2.0


class OverflowSpans:
    """Spans of time during which a full bucket could not accrue tokens.

    A lender learns late that a token was spent. Until then it counts the token as
    outstanding, and the bucket overflows although a token could have accrued in its
    place. Each instant of overflow can be recovered once, and only for a token that
    was spent before it, so the result is that of a bucket that learns of spent tokens
    at once.
    """

    def __init__(self) -> None:
        self._spans: list[tuple[float, float]] = []

    def add(self, from_s: float, to_s: float) -> None:
        """Add a span in which all accrued tokens overflowed."""
        spans = self._spans
        if spans and spans[-1][1] >= from_s:
            # Merges adjacent spans. A bucket that stays full adds one after the other,
            # and hundreds of them made the processing of a report slow.
            from_s, _ = spans.pop()
        spans.append((from_s, to_s))
        oldest_s = to_s - RETENTION_S
        while spans[0][1] < oldest_s:
            spans.pop(0)
        spans[0] = (max(spans[0][0], oldest_s), spans[0][1])

    def clear(self) -> None:
        """Remove all spans, because the rate changes."""
        self._spans.clear()

    def recover(self, spent_at_s: Iterable[float], rate_per_s: float) -> float:
        """Recover the tokens that could have accrued in the place of spent ones.

        Parameters
        ----------
        spent_at_s : iterable of float
            For each token, the latest time at which it can have been spent.
        rate_per_s : float

        Returns
        -------
        float
            Number of recovered tokens, at most one for each spent token.
        """
        recovered_s = 0.0
        for at_s in sorted(spent_at_s):
            recovered_s += self._take(at_s, 1.0 / rate_per_s)
        return recovered_s * rate_per_s

    def _take(self, after_s: float, seconds: float) -> float:
        """Remove up to `seconds` of overflow after a time, the earliest first.

        Returns the seconds removed.
        """
        taken_s = 0.0
        spans = self._spans
        # Replaces only the affected spans: there can be hundreds.
        index = bisect_right(spans, after_s, key=_span_end)
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


def _span_end(span: tuple[float, float]) -> float:
    return span[1]
