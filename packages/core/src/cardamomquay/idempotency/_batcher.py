"""Batching of changes to claim rows: when they are committed, and which together."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.idempotency._changes import ClaimChange

if TYPE_CHECKING:
    from cardamomquay.idempotency._changes import ClaimRowChange

COMMIT_INTERVAL_MIN_S = 0.005
COMMIT_INTERVAL_MAX_S = 0.1
# Commits of all hosts together when all are busy. The store sustains several hundred
# writes per second, some of which edits and leases need.
STORE_COMMITS_PER_S = 200.0
LATENCY_EWMA_WEIGHT = 0.2
QUEUE_MAX = 1024
BATCH_CHANGES_MAX = 128
# Concurrent commits of a host, so that a host far from the store need not wait for a
# round trip between commits. Their order does not matter, since each change is
# conditional on the version of its row.
CONCURRENT_COMMITS_MAX = 4
BATCH_BYTES_MAX = 1_048_576


class ClaimBatcher:
    """Collects changes to claim rows into batches; not thread-safe.

    A batch is due 5 ms after its first change, but no earlier than an interval of
    5 to 100 ms after the start of the last commit. An idle host thus commits with
    little delay, and a busy one does not exceed its share of the store.

    Parameters
    ----------
    queue_max : int, default=QUEUE_MAX
        Number of queued changes at which further claims are refused. Answers and
        releases are refused only at twice this number, since each belongs to a claim
        that was accepted.
    """

    def __init__(self, queue_max: int = QUEUE_MAX) -> None:
        self._queue_max = queue_max
        # Time of arrival in seconds, and the change.
        self._queue: deque[tuple[float, ClaimRowChange[Any]]] = deque()
        self._latency_s = 0.0
        self._min_latency_s = float("inf")
        self._last_commit_s = float("-inf")

    def __len__(self) -> int:
        return len(self._queue)

    def offer(self, change: ClaimRowChange[Any], now_s: float) -> bool:
        """Queue a change if there is room.

        Returns
        -------
        bool
            False if the queue is full.
        """
        capacity = self._queue_max
        if not isinstance(change, ClaimChange):
            capacity *= 2
        if len(self._queue) >= capacity:
            return False
        self._queue.append((now_s, change))
        return True

    def interval_s(self, live_hosts: int) -> float:
        """Return the minimum time between the starts of two commits, in seconds.

        The longer of two times, limited to 5 to 100 ms: the interval that keeps
        the host within its share of `STORE_COMMITS_PER_S`, and the part of the average
        commit latency that is due to load on the store. The lowest latency seen counts
        as that of the network and is subtracted.
        """
        share_s = live_hosts / STORE_COMMITS_PER_S
        excess_s = max(0.0, self._latency_s - self._min_latency_s)
        return min(COMMIT_INTERVAL_MAX_S, max(COMMIT_INTERVAL_MIN_S, share_s, excess_s))

    def due_s(self, live_hosts: int) -> float | None:
        """Return the time at which the next batch is due; None if nothing is queued."""
        if not self._queue:
            return None
        return max(
            self._queue[0][0] + COMMIT_INTERVAL_MIN_S,
            self._last_commit_s + self.interval_s(live_hosts),
        )

    def take_batch(self, now_s: float) -> list[ClaimRowChange[Any]]:
        """Remove and return the next batch, in the order of arrival.

        A second change to a row of the batch stays queued, because a transaction
        can write a row only once.
        """
        batch: list[ClaimRowChange[Any]] = []
        size_bytes = 0
        row_keys = set()
        remaining: deque[tuple[float, ClaimRowChange[Any]]] = deque()
        for queued_at_s, change in self._queue:
            key = change.claim.row_key
            total_bytes = size_bytes + change.size_bytes
            is_full = len(batch) >= BATCH_CHANGES_MAX or total_bytes > BATCH_BYTES_MAX
            if key in row_keys or (is_full and batch):
                remaining.append((queued_at_s, change))
            else:
                batch.append(change)
                size_bytes = total_bytes
            row_keys.add(key)
        self._queue = remaining
        self._last_commit_s = now_s
        return batch

    def record_latency(self, latency_s: float) -> None:
        """Add the duration of a commit to the moving average."""
        if self._min_latency_s == float("inf"):
            self._latency_s = latency_s
        self._min_latency_s = min(self._min_latency_s, latency_s)
        self._latency_s += LATENCY_EWMA_WEIGHT * (latency_s - self._latency_s)
