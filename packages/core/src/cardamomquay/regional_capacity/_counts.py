"""Counts of what happened in the last seconds."""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from typing import Generic
from typing import TypeVar

# Length of the windows in which shifts between regions are compared, and of the counts
# that hosts report.
WINDOW_S = 2.0
# Counts leave the window in steps of this length.
BUCKET_S = 0.25

# Short identifiers of a service and a region.
Pair = tuple[int, int]

KeyT = TypeVar("KeyT")


class Count(IntEnum):
    """What a host counts for each service and region.

    `ADMITTED` counts bound requests for which the region had room and `REJECTED` those
    that the host rejected for its lack of room; `FLEXIBLE` counts attempts of other
    requests. `ANSWERED` and `SHED` count attempts of both. `REFUSED` counts
    requests of both kinds that the host's own admission refused before.
    """

    ADMITTED = 0
    REJECTED = 1
    FLEXIBLE = 2
    ANSWERED = 3
    SHED = 4
    REFUSED = 5
    QUEUED = 6


class SlidingCounts(Generic[KeyT]):
    """Numbers of events by key in the last `WINDOW_S` seconds."""

    def __init__(self) -> None:
        self._buckets: deque[tuple[int, dict[KeyT, int]]] = deque()

    def add(self, key: KeyT, now_s: float) -> None:
        """Count an event."""
        number = int(now_s / BUCKET_S)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append((number, {}))
            self._expire(number)
        counts = self._buckets[-1][1]
        counts[key] = counts.get(key, 0) + 1

    def totals(self, now_s: float) -> dict[KeyT, int]:
        """Return the counts of the window that ends now."""
        self._expire(int(now_s / BUCKET_S))
        totals: dict[KeyT, int] = {}
        for _, counts in self._buckets:
            for key, count in counts.items():
                totals[key] = totals.get(key, 0) + count
        return totals

    def _expire(self, number: int) -> None:
        oldest = number - int(WINDOW_S / BUCKET_S)
        while self._buckets and self._buckets[0][0] <= oldest:
            self._buckets.popleft()
