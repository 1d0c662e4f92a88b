"""News of warm objects that hosts tell each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomquay.placement import short_id

if TYPE_CHECKING:
    from cardamomquay.clock import Clock
    from cardamomquay.placement import Placement
    from cardamomquay.placement import UpstreamRecord

# News beyond this wait for the next report; a report has to fit one datagram.
NEWS_MAX = 60


class WarmthNews:
    """Collects what this host learns, and applies what others tell.

    A piece of news names upstream and object by 32 bits each.

    Parameters
    ----------
    placement : Placement
    clock : Clock
    """

    def __init__(self, placement: Placement, clock: Clock) -> None:
        self._placement = placement
        self._clock = clock
        self._handled: list[tuple[int, int]] = []
        self._warming: list[tuple[int, int, float]] = []

    @property
    def is_due(self) -> bool:
        """Whether a first request for an object was sent since the last report."""
        return bool(self._warming)

    def note_warming(
        self,
        record: UpstreamRecord,
        instance: str,
        object_id: int,
        expected_latency_s: float,
    ) -> None:
        """Remember a first request for an object that is sent now."""
        due_s = self._clock.now_s() + expected_latency_s
        record.record_warming(object_id, due_s)
        self._warming.append((short_id(instance), object_id, due_s))

    def note_handled(
        self, record: UpstreamRecord, instance: str, object_id: int
    ) -> None:
        """Remember that an upstream handled an object."""
        if record.record_warm(object_id):
            self._handled.append((short_id(instance), object_id))

    def take(self) -> tuple[list[int], list[int]]:
        """Return news for one report.

        Returns
        -------
        handled : list of int
            Upstream and object in turn.
        warming : list of int
            Upstream, object and milliseconds until the answer is expected, in turn.
        """
        now_s = self._clock.now_s()
        handled = [part for pair in self._handled[:NEWS_MAX] for part in pair]
        warming: list[int] = []
        for upstream, object_id, due_s in self._warming[:NEWS_MAX]:
            warming += (upstream, object_id, max(0, int((due_s - now_s) * 1000.0)))
        del self._handled[:NEWS_MAX]
        del self._warming[:NEWS_MAX]
        return handled, warming

    def apply(self, handled: list[int], warming: list[int]) -> None:
        """Take over what another host tells."""
        now_s = self._clock.now_s()
        for upstream, object_id, left_ms in zip(
            warming[::3], warming[1::3], warming[2::3], strict=False
        ):
            record = self._placement.record_by_short_id(upstream)
            if record is not None and not record.is_warm(object_id):
                record.apply_peer_warming(object_id, now_s + left_ms / 1000.0)
        for upstream, object_id in zip(handled[::2], handled[1::2], strict=False):
            record = self._placement.record_by_short_id(upstream)
            if record is not None:
                record.record_warm(object_id)
