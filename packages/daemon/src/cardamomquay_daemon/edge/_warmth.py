"""News of warm objects that hosts tell each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomquay.placement import token_of

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
        self, record: UpstreamRecord, instance: str, token: int, finish_s: float
    ) -> None:
        """Remember a first request for an object that is sent now."""
        due_s = self._clock.now_s() + finish_s
        record.note_warming(token, due_s)
        self._warming.append((token_of(instance), token, due_s))

    def note_handled(self, record: UpstreamRecord, instance: str, token: int) -> None:
        """Remember that an upstream handled an object."""
        if record.note_handled(token):
            self._handled.append((token_of(instance), token))

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
        for upstream, token, due_s in self._warming[:NEWS_MAX]:
            warming += (upstream, token, max(0, int((due_s - now_s) * 1000.0)))
        del self._handled[:NEWS_MAX]
        del self._warming[:NEWS_MAX]
        return handled, warming

    def apply(self, handled: list[int], warming: list[int]) -> None:
        """Take over what another host tells."""
        now_s = self._clock.now_s()
        for upstream, token, left_ms in zip(
            warming[::3], warming[1::3], warming[2::3], strict=False
        ):
            record = self._placement.record_of_token(upstream)
            if record is not None and not record.is_warm(token):
                record.note_warming_elsewhere(token, now_s + left_ms / 1000.0)
        for upstream, token in zip(handled[::2], handled[1::2], strict=False):
            record = self._placement.record_of_token(upstream)
            if record is not None:
                record.note_handled(token)
