"""Observations that hosts pass on to each other in their reports.

The host that makes an observation gives it an identity, which never changes on the
way. Each host takes an observation as new once, by that identity, and sends it a few
times after that, so copies of it do not circulate. Hosts that report to each other
directly send their own observations at once; others are passed on by the hosts between
them.

The time of an observation is known to other hosts only within bounds, since clocks of
hosts are independent and reports take time on the way. Each copy states these bounds,
which widen with each host on the way.
"""

from __future__ import annotations

import math
from collections import Counter
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

# Observations are sent for this long, and this often to one host, so that lost reports
# do no harm. The time between two of these reports doubles each time.
REPORT_REPEAT_S = 2.2
REPORTS_MAX = 4
REPORT_SPACING_S = 0.15
# Where hosts report to each other directly, observations of others are passed on once,
# this long after they were learned, for hosts that cannot reach each other.
LATE_PASS_S = 0.5
# Older observations are not passed on, and not accepted unless their kind says so.
ACCEPTED_AGE_MAX_S = 20.0
# Identities are remembered for longer than any copy is accepted, so that a late copy
# is not taken as new.
IDENTITY_TIMEOUT_S = 60.0
# Number of identities that are remembered one by one, the latest ones, and of hosts for
# which the highest forgotten number is remembered.
IDENTITIES_MAX = 8192
ORIGINS_MAX = 4096
# This many are remembered whatever their age, since the clock of a host that was
# suspended is ahead of the copies that still arrive.
IDENTITIES_MIN = 1024
# Number of integers of an observation in a report.
ENTRY_SIZE = 7
# Hosts of this system send no more observations in one report.
ENTRIES_MAX = 160
# Values from here on do not come from a host of this system.
AGE_MS_MAX = 2**31
ORIGINS = 2**32
NUMBERS = 2**32

Identity = tuple[int, int]


@dataclass(frozen=True, slots=True)
class ObservationKind:
    """Kind of observations and how they are passed on.

    Parameters
    ----------
    code : int
        Identifies the kind in reports.
    reserved_places : int
        Places in each report that other kinds do not take.
    per_subject_max : int or None
        Number of other hosts' observations of one subject that are passed on at a time,
        the latest ones. None for no limit.
    accepted_age_max_s : float
        Older observations are not accepted. Whoever applies observations that are
        older than `ACCEPTED_AGE_MAX_S` has to recognise copies of them.
    """

    code: int
    reserved_places: int
    per_subject_max: int | None = None
    accepted_age_max_s: float = ACCEPTED_AGE_MAX_S


@dataclass(frozen=True, slots=True)
class Observation:
    """Something that one host has observed.

    Parameters
    ----------
    origin : int
        Identifies the host that made the observation, and its start.
    number : int
        Running number of the observation at that host.
    kind : int
        Code of its `ObservationKind`.
    subject : int
        What was observed, such as the identifier of an upstream.
    value : int
        Meaning depends on the kind.
    earliest_s, latest_s : float
        Bounds of the time of the observation on this host's clock.
    """

    origin: int
    number: int
    kind: int
    subject: int
    value: int
    earliest_s: float
    latest_s: float

    @property
    def identity(self) -> Identity:
        """What distinguishes the observation from all others."""
        return self.origin, self.number


@dataclass(slots=True)
class _Sent:
    """An observation that is still sent to other hosts.

    Parameters
    ----------
    observation : Observation
    source : str or None
        Host from which this one has learned it; None for its own.
    learned_s : float
    reports : dict of str to tuple of int and float
        Number and latest time of the reports with it, by receiver.
    """

    observation: Observation
    source: str | None
    learned_s: float
    reports: dict[str, tuple[int, float]] = field(default_factory=dict)

    def is_due(self, receiver: str, now_s: float) -> bool:
        """Return whether a report to a host has to contain it now."""
        count, sent_s = self.reports.get(receiver, (0, -math.inf))
        if count >= REPORTS_MAX or receiver == self.source:
            return False
        return now_s - sent_s >= REPORT_SPACING_S * 2.0 ** (count - 1)

    def is_due_late(self, receiver: str, now_s: float) -> bool:
        """Return whether it is passed on to a host that should have it already."""
        return (
            receiver not in self.reports
            and receiver != self.source
            and now_s - self.learned_s >= LATE_PASS_S
        )

    def count_report(self, receiver: str, now_s: float) -> None:
        """Count a report to a host."""
        count, _ = self.reports.get(receiver, (0, -math.inf))
        self.reports[receiver] = (count + 1, now_s)


class ObservationLog:
    """Observations of one host and those that it has learned from others.

    Parameters
    ----------
    origin : int
        Identifies this host and its start.
    kinds : iterable of ObservationKind
        The gravest first.

    Attributes
    ----------
    learned_count : int
        Number of observations that were new to this host and are sent to others.
    rejected_count : int
        Number of entries of other hosts' reports that made no sense.
    has_more : bool
        Whether observations were left out of the latest report for want of room.
    """

    def __init__(self, origin: int, kinds: Iterable[ObservationKind]) -> None:
        self.origin = origin
        self._kinds = {kind.code: kind for kind in kinds}
        self._next_number = 1
        # Known observations, and when this host learned of them.
        self._known: OrderedDict[Identity, tuple[Observation, float]] = OrderedDict()
        # Highest number of a forgotten observation, by origin.
        self._forgotten: OrderedDict[int, int] = OrderedDict()
        self._sent: OrderedDict[Identity, _Sent] = OrderedDict()
        # Number of observations that are sent, by kind and subject, and the identities
        # of those of other hosts.
        self._subjects: Counter[tuple[int, int]] = Counter()
        self._passed_on: dict[tuple[int, int], list[Identity]] = {}
        self.learned_count = 0
        self.rejected_count = 0
        self.has_more = False

    def record(
        self,
        kind: ObservationKind,
        subject: int,
        value: int,
        now_s: float,
        earliest_s: float | None = None,
        latest_s: float | None = None,
    ) -> Observation:
        """Record an observation of this host, to be sent to the others.

        Parameters
        ----------
        kind : ObservationKind
        subject, value : int
        now_s : float
        earliest_s, latest_s : float, optional
            Bounds of the time of what was observed; now without them.

        Returns
        -------
        Observation
        """
        latest_s = now_s if latest_s is None else latest_s
        earliest_s = latest_s if earliest_s is None else min(earliest_s, latest_s)
        number = self._next_number
        self._next_number += 1
        observation = Observation(
            self.origin, number, kind.code, subject, value, earliest_s, latest_s
        )
        self._drop_expired(now_s)
        self._learn(observation, None, now_s)
        return observation

    def take(
        self,
        receiver: str,
        may_send: Callable[[str | None], bool],
        now_s: float,
        count_max: int,
        *,
        passes_late: bool = False,
    ) -> list[Observation]:
        """Return the observations to include in a report, which count as sent.

        Each kind gets its reserved places, and the gravest kinds get the rest. Of one
        kind, subjects with most observations come first, so that they are repeated even
        if there are more subjects than places, then those that were sent to the
        receiver least often.

        Parameters
        ----------
        receiver : str
            Name of the host that gets the report.
        may_send : callable
            Returns whether the receiver gets observations from this host that were
            learned from the host with the given name; None for this host's own.
        now_s : float
        count_max : int
        passes_late : bool, default=False
            Whether the receiver also gets the others, once and after `LATE_PASS_S`.

        Returns
        -------
        list of Observation
        """
        self._drop_expired(now_s)
        due = [
            item
            for item in self._sent.values()
            if (may_send(item.source) and item.is_due(receiver, now_s))
            or (passes_late and item.is_due_late(receiver, now_s))
        ]
        self.has_more = len(due) > count_max
        chosen = self._choose(due, receiver)[:count_max]
        for item in chosen:
            item.count_report(receiver, now_s)
        return [item.observation for item in chosen]

    def latest(self, now_s: float, count_max: int) -> list[Observation]:
        """Return the latest observations, for a host that has just started."""
        self._drop_expired(now_s)
        latest: list[Observation] = []
        seen: Counter[tuple[int, int]] = Counter()
        for observation, _ in reversed(self._known.values()):
            key = (observation.kind, observation.subject)
            places = self._kinds[observation.kind].per_subject_max
            is_wanted = places is None or seen[key] < places
            if is_wanted and now_s - observation.earliest_s < ACCEPTED_AGE_MAX_S:
                seen[key] += 1
                latest.append(observation)
        return latest[:count_max]

    def known_of(self, subject: int, now_s: float) -> list[Observation]:
        """Return the recent observations of a subject, the earliest learned first."""
        return [
            observation
            for observation, _ in self._known.values()
            if observation.subject == subject
            and now_s - observation.earliest_s < ACCEPTED_AGE_MAX_S
        ]

    def stop_sending(self, identity: Identity) -> None:
        """Stop sending an observation from which other hosts learn nothing."""
        item = self._sent.pop(identity, None)
        if item is None:
            return
        subject = (item.observation.kind, item.observation.subject)
        self._subjects[subject] -= 1
        if not self._subjects[subject]:
            del self._subjects[subject]
        passed_on = self._passed_on.get(subject, [])
        if identity in passed_on:
            passed_on.remove(identity)
            if not passed_on:
                del self._passed_on[subject]

    def apply_entries(
        self, entries: object, source: str, transit_max_s: float, now_s: float
    ) -> list[Observation]:
        """Apply the observations of another host's report.

        Parameters
        ----------
        entries : object
            As returned by `encode_observations`, or anything else that the host sent.
        source : str
            Name of the host that sent the report.
        transit_max_s : float
            Upper bound of the time that the report was on the way.
        now_s : float

        Returns
        -------
        list of Observation
            Those that are new to this host.
        """
        self._drop_expired(now_s)
        if not isinstance(entries, list):
            self.rejected_count += 1
            return []
        learned = []
        for index, start in enumerate(range(0, len(entries), ENTRY_SIZE)):
            observation = self._decode(
                entries[start : start + ENTRY_SIZE], transit_max_s, now_s
            )
            if (
                index >= ENTRIES_MAX
                or observation is None
                or self._contradicts_known(observation)
            ):
                self.rejected_count += 1
                continue
            accepted_age_max_s = self._kinds[observation.kind].accepted_age_max_s
            if (
                self._is_known(observation)
                or now_s - observation.earliest_s >= accepted_age_max_s
            ):
                continue
            self._learn(observation, source, now_s)
            learned.append(observation)
        return learned

    def _decode(
        self, entry: list[object], transit_max_s: float, now_s: float
    ) -> Observation | None:
        integers = [item for item in entry if type(item) is int]
        if len(integers) != len(entry) or len(entry) != ENTRY_SIZE:
            return None
        origin, number, kind, subject, value, age_ms, width_ms = integers
        if (
            kind not in self._kinds
            or not 0 <= origin < ORIGINS
            or not 0 < number < NUMBERS
            or min(subject, value, age_ms, width_ms) < 0
            or age_ms + width_ms >= AGE_MS_MAX
        ):
            return None
        latest_s = now_s - age_ms / 1000.0
        earliest_s = latest_s - width_ms / 1000.0 - max(0.0, transit_max_s)
        return Observation(origin, number, kind, subject, value, earliest_s, latest_s)

    def _is_known(self, observation: Observation) -> bool:
        return (
            observation.origin == self.origin
            or observation.identity in self._known
            or observation.number <= self._forgotten.get(observation.origin, 0)
        )

    def _contradicts_known(self, observation: Observation) -> bool:
        """Whether its identity belongs to another observation, or to none."""
        if observation.origin == self.origin:
            return observation.number >= self._next_number
        known, _ = self._known.get(observation.identity, (None, 0.0))
        return known is not None and (
            (known.kind, known.subject, known.value)
            != (observation.kind, observation.subject, observation.value)
        )

    def _learn(
        self, observation: Observation, source: str | None, now_s: float
    ) -> None:
        identity = observation.identity
        self._known[identity] = (observation, now_s)
        if len(self._known) > IDENTITIES_MAX:
            self._forget(next(iter(self._known)))
        if now_s - observation.earliest_s >= ACCEPTED_AGE_MAX_S:
            return
        subject = (observation.kind, observation.subject)
        self._sent[identity] = _Sent(observation, source, now_s)
        self._subjects[subject] += 1
        self.learned_count += 1
        per_subject_max = self._kinds[observation.kind].per_subject_max
        if source is None or per_subject_max is None:
            return
        passed_on = self._passed_on.setdefault(subject, [])
        passed_on.append(identity)
        if len(passed_on) > per_subject_max:
            passed_on.sort(key=lambda item: self._known[item][0].latest_s)
            self.stop_sending(passed_on[0])

    def _choose(self, due: list[_Sent], receiver: str) -> list[_Sent]:
        by_kind: dict[int, list[_Sent]] = {code: [] for code in self._kinds}
        for item in due:
            by_kind[item.observation.kind].append(item)
        reserved: list[_Sent] = []
        others: list[_Sent] = []
        for code, items in by_kind.items():
            items.sort(
                key=lambda item: (
                    -self._subjects[item.observation.kind, item.observation.subject],
                    item.reports.get(receiver, (0, 0.0))[0],
                )
            )
            places = self._kinds[code].reserved_places
            reserved += items[:places]
            others += items[places:]
        return reserved + others

    def _drop_expired(self, now_s: float) -> None:
        while self._sent:
            identity, item = next(iter(self._sent.items()))
            if 0.0 <= now_s - item.learned_s <= REPORT_REPEAT_S:
                break
            self.stop_sending(identity)
        while len(self._known) > IDENTITIES_MIN:
            identity, (_, learned_s) = next(iter(self._known.items()))
            if now_s - learned_s < IDENTITY_TIMEOUT_S:
                break
            self._forget(identity)

    def _forget(self, identity: Identity) -> None:
        self.stop_sending(identity)
        del self._known[identity]
        origin, number = identity
        self._forgotten[origin] = max(number, self._forgotten.get(origin, 0))
        self._forgotten.move_to_end(origin)
        if len(self._forgotten) > ORIGINS_MAX:
            self._forgotten.popitem(last=False)


def encode_observations(observations: Iterable[Observation], now_s: float) -> list[int]:
    """Return observations as they are sent.

    Parameters
    ----------
    observations : iterable of Observation
    now_s : float

    Returns
    -------
    list of int
        In groups of `ENTRY_SIZE`: origin, number, kind, subject, value, lower bound of
        the age and width of its bounds, both in milliseconds.
    """
    entries: list[int] = []
    for item in observations:
        # Rounded so that the bounds never exclude the actual time.
        age_ms = max(0, math.floor((now_s - item.latest_s) * 1000.0))
        age_max_ms = math.ceil((now_s - item.earliest_s) * 1000.0)
        entries += (
            item.origin,
            item.number,
            item.kind,
            item.subject,
            item.value,
            age_ms,
            max(0, age_max_ms - age_ms),
        )
    return entries
