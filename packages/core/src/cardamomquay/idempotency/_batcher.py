"""When changes of claim rows are committed, and which go together."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.idempotency._changes import ClaimChange

if TYPE_CHECKING:
    from cardamomquay.idempotency._changes import Change

GROUP_MIN_S = 0.005
GROUP_MAX_S = 0.1
# Commits of claim groups that all hosts together make when each of them is busy.
# The store bears several hundred writes a second, and edits and leases need some.
STORE_COMMITS_PER_S = 200.0
LATENCY_WEIGHT = 0.2
QUEUE_MAX = 1024
GROUP_MAX_CHANGES = 128
GROUP_MAX_BYTES = 1_048_576


class ClaimBatcher:
    """Collects changes of claim rows into groups.

    A group is due 5 ms after its first change, but no earlier than an interval of
    5 to 100 ms after the start of the last commit. So a quiet host answers fast,
    and a busy one keeps to its share of the store. Not safe for threads.

    Parameters
    ----------
    queue_max : int, default=QUEUE_MAX
        Changes that wait at most. Answers and releases may use as many places
        again, since each belongs to a claim that was let in.
    """

    def __init__(self, queue_max: int = QUEUE_MAX) -> None:
        self._queue_max = queue_max
        self._queue: deque[tuple[float, Change[Any]]] = deque()
        self._latency_s = 0.0
        self._last_commit_s = float("-inf")

    def __len__(self) -> int:
        return len(self._queue)

    def offer(self, change: Change[Any], now_s: float) -> bool:
        """Queue a change.

        Returns
        -------
        bool
            False if the queue is full.
        """
        places = self._queue_max
        if not isinstance(change, ClaimChange):
            places *= 2
        if len(self._queue) >= places:
            return False
        self._queue.append((now_s, change))
        return True

    def interval_s(self, live_hosts: int) -> float:
        """Return the least time between the starts of two commits, in seconds."""
        share_s = live_hosts / STORE_COMMITS_PER_S
        return min(GROUP_MAX_S, max(GROUP_MIN_S, share_s, self._latency_s))

    def due_s(self, live_hosts: int) -> float | None:
        """Return when the next group is due; None with nothing queued."""
        if not self._queue:
            return None
        return max(
            self._queue[0][0] + GROUP_MIN_S,
            self._last_commit_s + self.interval_s(live_hosts),
        )

    def take(self, now_s: float) -> list[Change[Any]]:
        """Take the next group, in the order of arrival.

        Changes of a row that the group already changes stay queued, since a
        transaction writes a row once.
        """
        group: list[Change[Any]] = []
        size_bytes = 0
        rows = set()
        left: deque[tuple[float, Change[Any]]] = deque()
        for offered_s, change in self._queue:
            key = change.claim.row_key
            total_bytes = size_bytes + change.size_bytes
            full = len(group) >= GROUP_MAX_CHANGES or total_bytes > GROUP_MAX_BYTES
            if key in rows or (full and group):
                left.append((offered_s, change))
            else:
                group.append(change)
                size_bytes = total_bytes
            rows.add(key)
        self._queue = left
        self._last_commit_s = now_s
        return group

    def observe_latency(self, latency_s: float) -> None:
        """Take the duration of a commit into the moving average."""
        self._latency_s += LATENCY_WEIGHT * (latency_s - self._latency_s)
