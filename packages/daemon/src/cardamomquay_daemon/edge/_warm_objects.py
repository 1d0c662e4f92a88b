"""Reports of the objects that upstreams have cached, for the hosts of a region."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from cardamomquay.placement import short_id

if TYPE_CHECKING:
    from cardamomquay.clock import Clock
    from cardamomquay.placement import Placement
    from cardamomquay.placement import UpstreamRecord

# Maximum of each of the two lists in a report, which has to fit into one datagram.
# Further entries wait for the next report.
ENTRIES_MAX = 60
# Maximum of each list while it waits: ten reports, which take a second. Callers choose
# the keys of objects, and may name a new one in each request. Without its entry, other
# hosts take an object for cold.
WAITING_ENTRIES_MAX = 600


class WarmEntryQueue:
    """Entries on warm objects that wait to be reported; new ones replace the oldest."""

    def __init__(self) -> None:
        self._now_warm: deque[tuple[int, int]] = deque(maxlen=WAITING_ENTRIES_MAX)
        self._warming: deque[tuple[int, int, float]] = deque(maxlen=WAITING_ENTRIES_MAX)

    def __len__(self) -> int:
        return len(self._now_warm) + len(self._warming)

    @property
    def has_warming(self) -> bool:
        """Whether there are entries on first requests for objects."""
        return bool(self._warming)

    def add_now_warm(self, upstream_id: int, object_id: int) -> None:
        """Add an entry on an object that an upstream now has cached."""
        self._now_warm.append((upstream_id, object_id))

    def add_warming(self, upstream_id: int, object_id: int, due_s: float) -> None:
        """Add an entry on a first request whose answer is expected at `due_s`."""
        self._warming.append((upstream_id, object_id, due_s))

    def add(self, now_warm: list[int], warming: list[int], now_s: float) -> None:
        """Add entries as they were reported; see `take`."""
        self._now_warm.extend(zip(now_warm[::2], now_warm[1::2], strict=False))
        for upstream_id, object_id, left_ms in zip(
            warming[::3], warming[1::3], warming[2::3], strict=False
        ):
            self.add_warming(upstream_id, object_id, now_s + left_ms / 1000.0)

    def take(self, now_s: float) -> tuple[list[int], list[int]]:
        """Return and remove the entries for one report.

        Returns
        -------
        now_warm : list of int
            For each entry: upstream and object.
        warming : list of int
            For each entry: upstream, object, and milliseconds until the answer is
            expected.
        """
        now_warm: list[int] = []
        for _ in range(min(ENTRIES_MAX, len(self._now_warm))):
            now_warm += self._now_warm.popleft()
        warming: list[int] = []
        for _ in range(min(ENTRIES_MAX, len(self._warming))):
            upstream_id, object_id, due_s = self._warming.popleft()
            warming += (upstream_id, object_id, max(0, int((due_s - now_s) * 1000.0)))
        return now_warm, warming


class WarmObjectReports:
    """Collects entries on warm objects for reports, and applies those of other hosts.

    An entry identifies its upstream and its object by 32 bits each. An object is warm
    at an upstream that has handled a request for it, and warming while the first
    request for it is in flight.

    Parameters
    ----------
    placement : Placement
    clock : Clock
    """

    def __init__(self, placement: Placement, clock: Clock) -> None:
        self._placement = placement
        self._clock = clock
        self._queue = WarmEntryQueue()

    @property
    def is_report_due(self) -> bool:
        """Whether a first request for an object was sent since the last report."""
        return self._queue.has_warming

    def record_warming(
        self,
        record: UpstreamRecord,
        instance: str,
        object_id: int,
        expected_latency_s: float,
    ) -> None:
        """Record that a first request for an object is sent now."""
        due_s = self._clock.now_s() + expected_latency_s
        record.record_warming(object_id, due_s)
        self._queue.add_warming(short_id(instance), object_id, due_s)

    def record_warm(
        self, record: UpstreamRecord, instance: str, object_id: int
    ) -> None:
        """Record that an upstream has handled a request for an object."""
        if record.record_warm(object_id):
            self._queue.add_now_warm(short_id(instance), object_id)

    def take(self) -> tuple[list[int], list[int]]:
        """Return and remove the entries for one report; see `WarmEntryQueue.take`."""
        return self._queue.take(self._clock.now_s())

    def apply_report(self, now_warm: list[int], warming: list[int]) -> None:
        """Apply the entries that another host reported."""
        now_s = self._clock.now_s()
        for upstream_id, object_id, left_ms in zip(
            warming[::3], warming[1::3], warming[2::3], strict=False
        ):
            record = self._placement.record_by_short_id(upstream_id)
            if record is not None and not record.is_warm(object_id):
                record.apply_peer_warming(object_id, now_s + left_ms / 1000.0)
        for upstream_id, object_id in zip(now_warm[::2], now_warm[1::2], strict=False):
            record = self._placement.record_by_short_id(upstream_id)
            if record is not None:
                record.record_warm(object_id)
