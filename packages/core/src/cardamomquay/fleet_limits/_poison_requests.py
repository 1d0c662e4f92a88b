"""Requests that crash the upstreams that run them, remembered by all hosts together.

Load pattern: the same request comes again and again, at any host, and each upstream
that begins to run it ends, together with a dozen other requests that it was running.
Without a memory of it, such a request takes one upstream after another, and each retry
is another crash.

Each request that was running on an upstream that ended is a suspect, so most suspects
are innocent. They are told apart by repetition: a complete answer to the same request
clears it, and a request is quarantined only after several crashes without an answer.

Hosts pass on crashes and answers as observations. An answer clears the crashes that its
host knew, which it names, so that all hosts agree on what is cleared in whatever order
they learn of it, and whatever their clocks show.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cardamomquay.gossip import ObservationKind

if TYPE_CHECKING:
    from collections.abc import Collection

    from cardamomquay.gossip import Observation
    from cardamomquay.gossip import ObservationLog

# Number of crashes after which a request is quarantined. An innocent request that is
# sent again after a crash may meet a second one.
CRASHES_MAX = 3
# Duration of the first quarantine after the latest crash; each further crash doubles
# it.
QUARANTINE_S = 60.0
QUARANTINE_MAX_S = 3600.0
QUARANTINE_DOUBLINGS_MAX = math.log2(QUARANTINE_MAX_S / QUARANTINE_S)
# A suspect without another crash for this long is forgotten.
SUSPECT_TIMEOUT_S = 600.0
# Number of requests that are remembered; the ones that were suspected longest ago are
# forgotten first.
SUSPECTS_MAX = 4096
# Number of crashes of one request that are remembered, the latest ones. They last for
# the longest quarantine.
CRASHES_KEPT_MAX = 64
# Number of hosts whose cleared crashes are remembered for one request.
CLEARED_ORIGINS_MAX = 256

# A request was running on an upstream that ended. The subject is the request's
# fingerprint; for the value, see `_Crash`. A quarantine needs three crashes, of which
# two hosts may each report one.
CRASHED = ObservationKind(
    4,
    reserved_places=12,
    per_subject_max=2 * CRASHES_MAX,
    accepted_age_max_s=QUARANTINE_MAX_S,
)
# A request got a complete answer. The value is the identity of the latest crash of one
# origin that it clears; earlier crashes of that origin are cleared as well.
CLEARED = ObservationKind(5, reserved_places=4)

RAN_MS_BITS = 24
RAN_MS_MAX = 2**RAN_MS_BITS - 1
ORDINAL_BITS = 4
ORDINAL_MAX = 2**ORDINAL_BITS - 1
UPSTREAM_SHIFT = RAN_MS_BITS + ORDINAL_BITS
NUMBER_BITS = 32
# Stands for all crashes that hosts of an earlier version reported without an identity.
UNIDENTIFIED_ORIGIN = 0


def crashed_upstream(observation: Observation) -> int:
    """Return the short identifier of the upstream of a `CRASHED` observation."""
    return observation.value >> UPSTREAM_SHIFT


@dataclass(frozen=True, slots=True)
class _Crash:
    """A request that was running on an upstream that ended.

    Parameters
    ----------
    origin : int
    number : int
    upstream : int
    ordinal : int
        Number of crashes of the upstream by this request that had certainly happened,
        as known to the host that observed this one, including this one. It knows
        better than others which crashes came before.
    ran_s : float
        Lower bound of the time for which the request had been running.
    earliest_s, latest_s : float
        Bounds of the time at which it ended.
    observation : Observation or None
        None before the crash is recorded.
    """

    origin: int
    number: int
    upstream: int
    ordinal: int
    ran_s: float
    earliest_s: float
    latest_s: float
    observation: Observation | None = None

    @classmethod
    def from_observation(cls, observation: Observation) -> _Crash:
        return cls(
            observation.origin,
            observation.number,
            crashed_upstream(observation),
            (observation.value >> RAN_MS_BITS) & ORDINAL_MAX,
            (observation.value & RAN_MS_MAX) / 1000.0,
            observation.earliest_s,
            observation.latest_s,
            observation,
        )

    @property
    def identity(self) -> tuple[int, int]:
        return self.origin, self.number

    @property
    def began_earliest_s(self) -> float:
        # The duration was rounded down to milliseconds.
        return self.earliest_s - self.ran_s - 0.001

    @property
    def began_latest_s(self) -> float:
        return self.latest_s - self.ran_s

    def is_same(self, other: _Crash) -> bool:
        """Whether both requests certainly ran at one moment, so ended together."""
        return self.upstream == other.upstream and max(
            self.began_latest_s, other.began_latest_s
        ) < min(self.earliest_s, other.earliest_s)


@dataclass(slots=True)
class _Suspect:
    """Crashes of one request that no answer has cleared.

    Parameters
    ----------
    crashes : dict
        By identity of the observation.
    reported_s : dict of int to float
        Time of the latest crash that hosts of an earlier version reported, by upstream.
    reports_cleared_s : float
        Time of the latest answer that clears these.
    count : int
        Number of crashes.
    latest_s : float
    """

    crashes: dict[tuple[int, int], _Crash] = field(default_factory=dict)
    reported_s: dict[int, float] = field(default_factory=dict)
    reports_cleared_s: float = -math.inf
    count: int = 0
    latest_s: float = -math.inf

    @property
    def quarantined_until_s(self) -> float:
        extra = self.count - CRASHES_MAX
        if extra < 0:
            return -math.inf
        quarantine_s: float = QUARANTINE_S * 2.0 ** min(extra, QUARANTINE_DOUBLINGS_MAX)
        return self.latest_s + min(QUARANTINE_MAX_S, quarantine_s)

    def update(self) -> None:
        """Count the crashes again after a change."""
        by_upstream: dict[int, list[_Crash]] = {}
        for crash in self.crashes.values():
            by_upstream.setdefault(crash.upstream, []).append(crash)
        reported = {
            upstream: at_s
            for upstream, at_s in self.reported_s.items()
            if at_s > self.reports_cleared_s
        }
        self.reported_s = reported
        self.count = sum(map(_distinct_count, by_upstream.values()))
        self.count += len(reported.keys() - by_upstream.keys())
        times_s = [crash.latest_s for crash in self.crashes.values()]
        self.latest_s = max((*times_s, *reported.values()), default=-math.inf)


class PoisonRequests:
    """Requests under suspicion of crashing upstreams, as known to one host.

    Parameters
    ----------
    observations : ObservationLog
        Passes crashes and answers on to the other hosts.
    """

    def __init__(self, observations: ObservationLog) -> None:
        self._observations = observations
        self._suspects: OrderedDict[int, _Suspect] = OrderedDict()
        # Number of the latest cleared crash by origin, and when this host learned of
        # it, by request.
        self._cleared: OrderedDict[int, tuple[float, dict[int, int]]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspects)

    def crash_count(self, request: int) -> int:
        """Return the number of crashes since the latest answer to a request."""
        suspect = self._suspects.get(request)
        return suspect.count if suspect else 0

    def has_crashed(self, request: int, upstream: int) -> bool:
        """Return whether the request has crashed the upstream since its last answer."""
        suspect = self._suspects.get(request)
        return suspect is not None and (
            upstream in suspect.reported_s
            or any(crash.upstream == upstream for crash in suspect.crashes.values())
        )

    def quarantine_left_s(self, request: int, now_s: float) -> float:
        """Return for how long a request must not be sent, in seconds; 0 if it may."""
        suspect = self._suspects.get(request)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.quarantined_until_s - now_s)

    def record_crash(
        self, request: int, upstream: int, ran_s: float, now_s: float
    ) -> bool:
        """Record that an upstream ended while this host had a request there.

        Parameters
        ----------
        request : int
            Fingerprint of the request.
        upstream : int
            Short identifier of the upstream.
        ran_s : float
            Time since the request was sent.
        now_s : float

        Returns
        -------
        bool
            Whether other hosts need to know. They do not if one of them has observed
            the same crash.
        """
        self._drop_expired(now_s)
        ran_ms = min(RAN_MS_MAX, max(0, math.floor(ran_s * 1000.0)))
        crash = _Crash(
            self._observations.origin, 0, upstream, 1, ran_ms / 1000.0, now_s, now_s
        )
        suspect = self._suspects.get(request)
        known = suspect.crashes.values() if suspect else ()
        if any(crash.is_same(other) for other in known):
            return False
        earlier = [
            other
            for other in known
            if other.upstream == upstream and other.latest_s < crash.began_earliest_s
        ]
        ordinal = min(ORDINAL_MAX, 1 + _distinct_count(earlier))
        value = (upstream << ORDINAL_BITS | ordinal) << RAN_MS_BITS | ran_ms
        observation = self._observations.record(CRASHED, request, value, now_s)
        self._add_crash(observation)
        return True

    def record_answer(self, request: int, now_s: float) -> bool:
        """Clear a request that got a complete answer; return whether it was a suspect.

        Parameters
        ----------
        request : int
        now_s : float

        Returns
        -------
        bool
        """
        suspect = self._suspects.get(request)
        if suspect is None:
            return False
        latest_numbers: dict[int, int] = {}
        for origin, number in suspect.crashes:
            latest_numbers[origin] = max(number, latest_numbers.get(origin, 0))
        if suspect.reported_s:
            latest_numbers[UNIDENTIFIED_ORIGIN] = 0
        for origin, number in latest_numbers.items():
            value = origin << NUMBER_BITS | number
            observation = self._observations.record(CLEARED, request, value, now_s)
            self._clear(observation, now_s)
        return True

    def apply(self, observation: Observation, now_s: float) -> bool:
        """Apply an observation of another host; return whether others may need it.

        Parameters
        ----------
        observation : Observation
            Of the kind `CRASHED` or `CLEARED`.
        now_s : float

        Returns
        -------
        bool
        """
        self._drop_expired(now_s)
        if observation.kind == CLEARED.code:
            is_news = self._clear(observation, now_s)
        else:
            is_news = self._add_crash(observation)
        if not is_news:
            self._observations.stop_sending(observation.identity)
        return is_news

    def apply_unidentified(
        self, request: int, upstream: int | None, observed_s: float, now_s: float
    ) -> None:
        """Apply what a host of an earlier version reported; it is not passed on.

        Parameters
        ----------
        request : int
        upstream : int or None
            None for a complete answer. It clears only what such hosts reported.
        observed_s : float
            Such hosts report it again and again, each time with a later time.
        now_s : float
        """
        self._drop_expired(now_s)
        suspect = self._suspects.get(request)
        if now_s - observed_s >= QUARANTINE_MAX_S:
            return
        if upstream is None:
            if suspect is not None:
                self._clear_unidentified(request, suspect, observed_s)
            return
        if suspect is None:
            suspect = self._suspects[request] = _Suspect()
        known_s = suspect.reported_s.get(upstream, -math.inf)
        if len(suspect.reported_s) < CRASHES_KEPT_MAX or upstream in suspect.reported_s:
            suspect.reported_s[upstream] = max(known_s, observed_s)
        suspect.update()
        self._touch(request, suspect)

    def crashes_of_quarantined(self, now_s: float) -> list[Observation]:
        """Return the crashes for which requests are quarantined, for a new host."""
        return [
            crash.observation
            for suspect in self._suspects.values()
            if suspect.quarantined_until_s > now_s
            for crash in suspect.crashes.values()
            if crash.observation is not None
        ]

    def _add_crash(self, observation: Observation) -> bool:
        request, identity = observation.subject, observation.identity
        _, cleared = self._cleared.get(request, (0.0, {}))
        if observation.number <= cleared.get(observation.origin, 0):
            return False
        suspect = self._suspects.get(request)
        if suspect is None:
            suspect = self._suspects[request] = _Suspect()
        if identity in suspect.crashes:
            return False
        crash = _Crash.from_observation(observation)
        for other in suspect.crashes.values():
            if crash.is_same(other):
                # All hosts choose the same one of the two to pass on.
                redundant = max(crash.identity, other.identity)
                self._observations.stop_sending(redundant)
        suspect.crashes[identity] = crash
        if len(suspect.crashes) > CRASHES_KEPT_MAX:
            del suspect.crashes[
                min(suspect.crashes, key=lambda key: suspect.crashes[key].latest_s)
            ]
        suspect.update()
        self._touch(request, suspect)
        return True

    def _clear(self, observation: Observation, now_s: float) -> bool:
        request = observation.subject
        origin = observation.value >> NUMBER_BITS
        number = observation.value % 2**NUMBER_BITS
        suspect = self._suspects.get(request)
        if origin == UNIDENTIFIED_ORIGIN:
            if suspect is not None:
                self._clear_unidentified(request, suspect, observation.latest_s)
            # Other hosts may have heard of crashes that this one has not.
            return True
        _, cleared = self._cleared.get(request, (0.0, {}))
        if number <= cleared.get(origin, 0):
            return False
        cleared.pop(origin, None)
        cleared[origin] = number
        if len(cleared) > CLEARED_ORIGINS_MAX:
            del cleared[next(iter(cleared))]
        self._cleared[request] = (now_s, cleared)
        self._cleared.move_to_end(request)
        if suspect is None:
            return True
        for identity in list(suspect.crashes):
            if identity[0] == origin and identity[1] <= number:
                del suspect.crashes[identity]
                # Whoever learns of the answer has no use for the crash.
                self._observations.stop_sending(identity)
        suspect.update()
        self._touch(request, suspect)
        return True

    def _clear_unidentified(
        self, request: int, suspect: _Suspect, observed_s: float
    ) -> None:
        suspect.reports_cleared_s = max(suspect.reports_cleared_s, observed_s)
        suspect.update()
        self._touch(request, suspect)

    def _touch(self, request: int, suspect: _Suspect) -> None:
        """Move a request behind those that were suspected longer ago, or drop it."""
        if suspect.count:
            self._suspects.move_to_end(request)
        else:
            del self._suspects[request]

    def _drop_expired(self, now_s: float) -> None:
        while self._suspects:
            request, suspect = next(iter(self._suspects.items()))
            expires_s = max(
                suspect.latest_s + SUSPECT_TIMEOUT_S, suspect.quarantined_until_s
            )
            if len(self._suspects) < SUSPECTS_MAX and now_s < expires_s:
                break
            del self._suspects[request]
        while self._cleared:
            request, (learned_s, _) = next(iter(self._cleared.items()))
            is_recent = now_s - learned_s < QUARANTINE_MAX_S
            if len(self._cleared) < SUSPECTS_MAX and is_recent:
                break
            del self._cleared[request]


def _distinct_count(crashes: Collection[_Crash]) -> int:
    """Return how many crashes of one upstream there were at least.

    Several hosts observe the same crash. Two of them are two crashes if one request was
    sent after the other had ended.
    """
    ended_s = -math.inf
    count = 0
    for crash in sorted(crashes, key=lambda item: item.latest_s):
        if crash.began_earliest_s > ended_s:
            count += 1
            ended_s = crash.latest_s
    ordinal = max((crash.ordinal for crash in crashes), default=0)
    return max(count, min(ordinal, len(crashes)))
