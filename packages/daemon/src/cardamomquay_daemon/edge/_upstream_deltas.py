"""Changes of upstreams that a reader of the store reports to its zone."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from cardamomquay.traffic import Upstream
from cardamomquay.traffic import UpstreamState

if TYPE_CHECKING:
    from cardamomquay.clock import Clock

# Changes are repeated for this long; readers report to their zone twice a second, so
# several reports in a row may be lost.
UPSTREAM_CHANGE_REPEAT_S = 4.0
# An entry takes about 120 bytes, and a report has to fit into one datagram.
CHANGES_MAX = 60


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
    sequence: int = 0

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
            upstream.sequence,
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
            self.sequence,
        )


class UpstreamChange(msgspec.Struct, array_like=True):
    """A change of one upstream; `entry` is None if it is gone.

    Parameters
    ----------
    sequence : int
        Number of the change in the log of the reporting host.
    revision : int
        Revision of the store that includes it.
    instance : str
    entry : UpstreamEntry or None
    last_sequence : int, default=0
        If it is gone: number of its last report that the reporting host knows. Changes
        contain no reports that repeat the state. 0 if unknown; hosts of an earlier
        version send none.
    """

    sequence: int
    revision: int
    instance: str
    entry: UpstreamEntry | None
    last_sequence: int = 0


class UpstreamDelta(msgspec.Struct, array_like=True):
    """All changes between two revisions of the store.

    Parameters
    ----------
    since_sequence, since_revision : int
        The changes after these are included.
    sequence, revision : int
        The changes up to these are included.
    read_age_ms : int
        Time since the reporting host last knew all changes, in milliseconds.
    changes : list of UpstreamChange
    """

    since_sequence: int
    since_revision: int
    sequence: int
    revision: int
    read_age_ms: int
    changes: list[UpstreamChange]


@dataclass(frozen=True, slots=True)
class _LoggedChange:
    """A change and the time at which it was recorded."""

    change: UpstreamChange
    at_s: float


class UpstreamChangeLog:
    """Log of the recent changes of upstreams that this host has applied.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._logged: deque[_LoggedChange] = deque()
        self._sequence = 0
        # Sequence and revision after which the log contains all changes.
        self._since = (0, 0)

    def record_snapshot(self, revision: int) -> None:
        """Restart the log; hosts with an older state have to read the store."""
        self._sequence += 1
        self._since = (self._sequence, revision)
        self._logged.clear()

    def record_change(
        self,
        instance: str,
        upstream: Upstream | None,
        revision: int,
        last_sequence: int = 0,
    ) -> None:
        """Record a change; see `UpstreamChange`.

        Parameters
        ----------
        instance : str
        upstream : Upstream or None
            None if it was removed.
        revision : int
        last_sequence : int, default=0
        """
        self._sequence += 1
        entry = UpstreamEntry.from_upstream(upstream) if upstream else None
        change = UpstreamChange(
            self._sequence, revision, instance, entry, last_sequence
        )
        self._logged.append(_LoggedChange(change, self._clock.now_s()))

    def delta(self, revision: int, confirmed_s: float) -> UpstreamDelta:
        """Return the delta for one report.

        Parameters
        ----------
        revision : int
            Revision up to which this host knows all changes.
        confirmed_s : float
            Latest time at which this host knew all changes.

        Returns
        -------
        UpstreamDelta
        """
        now_s = self._clock.now_s()
        logged = self._logged
        while logged and (
            len(logged) > CHANGES_MAX
            or now_s - logged[0].at_s > UPSTREAM_CHANGE_REPEAT_S
        ):
            oldest = logged.popleft().change
            self._since = (oldest.sequence, oldest.revision)
        changes = [item.change for item in logged]
        read_age_ms = int((now_s - confirmed_s) * 1000.0)
        return UpstreamDelta(
            *self._since, self._sequence, revision, read_age_ms, changes
        )
