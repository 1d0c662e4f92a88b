"""Counts of begun requests by host, start of the host and window.

Each start of a host is a source. Only the source changes its counts, and each changed
entry gets the source's next version. Receivers keep the entry of the highest version,
so that lost, repeated and reordered messages do no harm. A receiver also knows up to
which version it has all entries of a source; others send it what is later (the
reconciliation of Scuttlebutt, van Renesse et al. 2008).
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from dataclasses import field

# A host that was heard in this time may still run and have counts. It has to be longer
# than the time until a body is agreed without them.
HEARD_S = 8.0
# A host that was not heard for this time may have ended; what others have of it counts.
SILENT_S = 2.5


@dataclass(frozen=True, slots=True)
class WindowEntry:
    """Counts of one source in one window.

    Parameters
    ----------
    window : int
    version : int
        Rises with each change of an entry of the source.
    counts : dict of str to int
        Requests that upstreams began to run, by organisation.
    """

    window: int
    version: int
    counts: dict[str, int]


@dataclass(frozen=True, slots=True)
class SourceChanges:
    """Entries of a source, in the order of their versions.

    Parameters
    ----------
    source : int
    after, up_to : int
        The entries are all those with versions above `after` and up to `up_to`; later
        ones may follow.
    entries : tuple of WindowEntry
    """

    source: int
    after: int
    up_to: int
    entries: tuple[WindowEntry, ...]


@dataclass
class _Source:
    """Entries of a source by window; they are complete up to `known_version`."""

    known_version: int = 0
    changed_window: int = 0
    # From its latest message, received directly.
    present_window: int = -1
    heard_s: float = -math.inf
    # Version that the source, or for a silent one another host, was said to have.
    stated_version: int = 0
    stated_s: float = -math.inf
    entries: dict[int, WindowEntry] = field(default_factory=dict)


class WindowCounts:
    """Counts of this host, and those that other hosts have sent.

    Parameters
    ----------
    own_source : int
        Differs between all starts of all hosts.

    Attributes
    ----------
    own_first_window : int
        Window in which this host started.
    """

    def __init__(self, own_source: int) -> None:
        self.own_source = own_source
        self._own = _Source()
        self._sources: dict[int, _Source] = {own_source: self._own}
        self._first_window = 0
        self._complete_from: int | None = None
        self.own_first_window = 0

    @property
    def complete_from(self) -> int | None:
        """The first window of which this host may have all counts, None if unknown.

        It is the one in which the earliest of the hosts that were heard has started.
        """
        return self._complete_from

    def record_start(self, window: int) -> None:
        """Record in which window this host or another one has started."""
        if self._complete_from is None or window < self._complete_from:
            self._complete_from = window

    @property
    def first_window(self) -> int:
        """The first window whose counts are kept."""
        return self._first_window

    def add(self, window: int, organisation: str, number: int = 1) -> None:
        """Add to this host's count of a window; ignored if it is no longer kept."""
        if window < self._first_window:
            return
        own = self._own
        own.known_version += 1
        before = own.entries.get(window)
        # The entry is replaced at once, so that a copy that is being sent stays as it
        # is. An entry has some dozens of organisations.
        counts = dict(before.counts) if before else {}
        counts[organisation] = counts.get(organisation, 0) + number
        own.entries[window] = WindowEntry(window, own.known_version, counts)
        own.changed_window = max(own.changed_window, window)

    def known_versions(self) -> dict[int, int]:
        """Return up to which version the entries of each source are complete.

        Sources without entries are left out.
        """
        return {
            name: source.known_version
            for name, source in self._sources.items()
            if source.entries
        }

    def known_version(self, source: int) -> int:
        """Return up to which version the entries of a source are complete."""
        known = self._sources.get(source)
        return known.known_version if known else 0

    def changes(self, source: int, after: int, count_max: int) -> SourceChanges | None:
        """Return entries that a receiver lacks; None if it has all of them.

        Parameters
        ----------
        source : int
        after : int
            Version up to which the receiver has all entries.
        count_max : int
            Number of counts from which no further entry is added.
        """
        known = self._sources.get(source)
        if known is None or known.known_version <= after:
            return None
        later = sorted(
            (entry for entry in known.entries.values() if entry.version > after),
            key=lambda entry: entry.version,
        )
        taken: list[WindowEntry] = []
        count = 0
        for entry in later:
            if count >= count_max:
                # The next entry is left out, so the changes are complete before it.
                up_to = min(known.known_version, taken[-1].version)
                return SourceChanges(source, after, up_to, tuple(taken))
            taken.append(entry)
            count += len(entry.counts)
        return SourceChanges(source, after, known.known_version, tuple(taken))

    def apply(self, changes: SourceChanges) -> None:
        """Merge entries that another host has sent."""
        if changes.source == self.own_source:
            return
        source = self._sources.setdefault(changes.source, _Source())
        for entry in changes.entries:
            source.changed_window = max(source.changed_window, entry.window)
            before = source.entries.get(entry.window)
            if entry.window >= self._first_window and (
                before is None or before.version < entry.version
            ):
                source.entries[entry.window] = entry
        if changes.after <= source.known_version:
            source.known_version = max(source.known_version, changes.up_to)

    def record_heard(
        self, source: int, present_window: int, version: int, now_s: float
    ) -> None:
        """Record a source's present window, and the version of its latest entry."""
        if source == self.own_source:
            return
        heard = self._sources.setdefault(source, _Source())
        heard.present_window = max(heard.present_window, present_window)
        heard.stated_version = max(heard.stated_version, version)
        heard.heard_s = heard.stated_s = now_s

    def record_known_elsewhere(self, source: int, version: int, now_s: float) -> None:
        """Record up to which version another host has the entries of a source."""
        known = self._sources.setdefault(source, _Source())
        if source != self.own_source and now_s - known.heard_s >= SILENT_S:
            known.stated_version = max(known.stated_version, version)
            known.stated_s = now_s

    def is_complete(self, window: int, now_s: float) -> bool:
        """Whether all counts are there, as far as hosts that were heard recently say.

        These are the counts of hosts that were heard, and of others what other hosts
        have of them.
        """
        return not any(
            (now_s - source.heard_s < HEARD_S and source.present_window <= window)
            or (
                now_s - source.stated_s < HEARD_S
                and source.known_version < source.stated_version
            )
            for source in self._sources.values()
        )

    def totals(self, window: int) -> dict[str, int]:
        """Return the counts of all sources in a window, in the order of the names."""
        totals: Counter[str] = Counter()
        for source in self._sources.values():
            entry = source.entries.get(window)
            if entry is not None:
                totals.update(entry.counts)
        return {name: totals[name] for name in sorted(totals) if totals[name] > 0}

    def oldest_window(self) -> int | None:
        """Return the first window with counts, None without any."""
        windows = [w for source in self._sources.values() for w in source.entries]
        return min(windows, default=None)

    def drop_before(self, window: int) -> None:
        """Drop the entries of earlier windows, and sources that have had none since."""
        if window <= self._first_window:
            return
        self._first_window = window
        for name, source in tuple(self._sources.items()):
            for old in [w for w in source.entries if w < window]:
                del source.entries[old]
            latest = max(source.changed_window, source.present_window)
            if source is not self._own and latest < window:
                del self._sources[name]
