"""Changes of upstreams that a host which reads the store tells its zone."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from cardamomquay.traffic import Upstream
from cardamomquay.traffic import UpstreamState

if TYPE_CHECKING:
    from cardamomquay.clock import Clock

# Changes are told for this long; reports go to the own zone twice a second, so several
# in a row may be lost.
TOLD_S = 4.0
# An entry takes about 120 bytes, and a report has to fit one datagram.
TOLD_MAX = 60


class UpstreamEntry(msgspec.Struct, array_like=True):
    """An upstream as it is sent; see `Upstream`."""

    service: str
    address: str
    zone: str
    version: str
    capacity: int
    is_ready: bool
    warm_up_left_s: float
    started_at_ms: int

    @classmethod
    def from_upstream(cls, upstream: Upstream) -> UpstreamEntry:
        """Return an upstream as it is sent."""
        return cls(
            upstream.service,
            upstream.address,
            upstream.zone,
            upstream.version,
            upstream.capacity,
            upstream.state is UpstreamState.READY,
            upstream.warm_up_left_s,
            upstream.started_at_ms,
        )

    def to_upstream(self, instance: str) -> Upstream:
        """Return the upstream that was sent."""
        state = UpstreamState.READY if self.is_ready else UpstreamState.DRAINING
        return Upstream(
            instance,
            self.service,
            self.address,
            self.zone,
            self.version,
            self.capacity,
            state,
            self.warm_up_left_s,
            self.started_at_ms,
        )


class UpstreamChange(msgspec.Struct, array_like=True):
    """A change of one upstream; `entry` is None if it is gone.

    Parameters
    ----------
    sequence : int
        Number of the change at the host that tells it.
    revision : int
        Revision of the store that includes it.
    instance : str
    entry : UpstreamEntry or None
    """

    sequence: int
    revision: int
    instance: str
    entry: UpstreamEntry | None


class UpstreamNews(msgspec.Struct, array_like=True):
    """The latest changes, and up to when there were no others.

    Parameters
    ----------
    since_sequence, since_revision : int
        The changes are all that came after these.
    sequence, revision : int
        Up to these.
    seen_ms : int
        Age of the read that showed it, in milliseconds.
    changes : list of UpstreamChange
    """

    since_sequence: int
    since_revision: int
    sequence: int
    revision: int
    seen_ms: int
    changes: list[UpstreamChange]


@dataclass(frozen=True, slots=True)
class _Logged:
    change: UpstreamChange
    at_s: float


class UpstreamLog:
    """The changes of upstreams that this host has applied.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._logged: deque[_Logged] = deque()
        self._sequence = 0
        self._since = (0, 0)

    def note_snapshot(self, revision: int) -> None:
        """Start again; hosts that know less than the snapshot have to read it."""
        self._sequence += 1
        self._since = (self._sequence, revision)
        self._logged.clear()

    def note_change(
        self, instance: str, upstream: Upstream | None, revision: int
    ) -> None:
        """Remember a change; None if the upstream is gone."""
        self._sequence += 1
        entry = UpstreamEntry.from_upstream(upstream) if upstream else None
        change = UpstreamChange(self._sequence, revision, instance, entry)
        self._logged.append(_Logged(change, self._clock.now_s()))

    def news(self, revision: int, seen_s: float) -> UpstreamNews:
        """Return the news for one report.

        Parameters
        ----------
        revision : int
            Revision up to which this host knows all changes.
        seen_s : float
            Time of the read that showed it.

        Returns
        -------
        UpstreamNews
        """
        now_s = self._clock.now_s()
        logged = self._logged
        while logged and (len(logged) > TOLD_MAX or now_s - logged[0].at_s > TOLD_S):
            oldest = logged.popleft().change
            self._since = (oldest.sequence, oldest.revision)
        changes = [item.change for item in logged]
        seen_ms = int((now_s - seen_s) * 1000.0)
        return UpstreamNews(*self._since, self._sequence, revision, seen_ms, changes)
