"""Requests that crash the upstreams that run them, remembered by all hosts together.

Load pattern: the same request comes again and again, at any host, and each upstream
that begins to run it ends, together with a dozen other requests that it was running.
Without a memory of it, such a request takes one upstream after another, and each retry
is another crash.

Each request that was running on an upstream that ended is a suspect, so most suspects
are innocent. They are told apart by repetition: a complete answer to the same request
clears it, and a request is quarantined only after several crashes without an answer.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field

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
# Crashes of one upstream that are observed within this time are the same crash. Hosts
# notice it together, and estimate the age of each other's observations.
SAME_CRASH_S = 1.0
# Observations are reported for this long, so that two lost reports do no harm.
REPORT_REPEAT_S = 2.2


@dataclass(frozen=True, slots=True)
class CrashObservation:
    """A crash of an upstream that was running a request, or an answer to the request.

    Parameters
    ----------
    request : int
        Fingerprint of the request.
    upstream : int or None
        Short identifier of the upstream that ended; None for a complete answer, which
        clears the request.
    observed_s : float
    """

    request: int
    upstream: int | None
    observed_s: float


@dataclass(slots=True)
class _Suspect:
    """What is known of one request.

    Parameters
    ----------
    crashes : list of CrashObservation
        Crashes since the latest answer.
    cleared_s : float
        Time of the latest answer.
    """

    crashes: list[CrashObservation] = field(default_factory=list)
    cleared_s: float = -math.inf

    @property
    def latest_s(self) -> float:
        return max((crash.observed_s for crash in self.crashes), default=self.cleared_s)

    @property
    def quarantined_until_s(self) -> float:
        extra = len(self.crashes) - CRASHES_MAX
        if extra < 0:
            return -math.inf
        quarantine_s: float = QUARANTINE_S * 2.0 ** min(extra, QUARANTINE_DOUBLINGS_MAX)
        return self.latest_s + min(QUARANTINE_MAX_S, quarantine_s)


class PoisonRequests:
    """Requests under suspicion of crashing upstreams, as known to one host."""

    def __init__(self) -> None:
        self._suspects: OrderedDict[int, _Suspect] = OrderedDict()
        # Observations that are still reported, and when this host learned of them.
        self._recent: list[tuple[float, CrashObservation]] = []

    def __len__(self) -> int:
        return len(self._suspects)

    def crash_count(self, request: int) -> int:
        """Return the number of crashes since the latest answer to a request."""
        suspect = self._suspects.get(request)
        return len(suspect.crashes) if suspect else 0

    def has_crashed(self, observation: CrashObservation) -> bool:
        """Return whether the request has crashed the upstream since its last answer."""
        suspect = self._suspects.get(observation.request)
        return suspect is not None and any(
            crash.upstream == observation.upstream for crash in suspect.crashes
        )

    def quarantine_left_s(self, request: int, now_s: float) -> float:
        """Return for how long a request must not be sent, in seconds; 0 if it may."""
        suspect = self._suspects.get(request)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.quarantined_until_s - now_s)

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
        if not self.crash_count(request):
            return False
        return self.apply(CrashObservation(request, None, now_s), now_s)

    def apply(self, observation: CrashObservation, now_s: float) -> bool:
        """Apply an observation of this or another host; return whether it is new.

        Parameters
        ----------
        observation : CrashObservation
        now_s : float

        Returns
        -------
        bool
        """
        self._drop_expired(now_s)
        if now_s - observation.observed_s >= QUARANTINE_MAX_S:
            return False
        suspect = self._suspects.get(observation.request)
        if suspect is None:
            if observation.upstream is None:
                return False
            suspect = self._suspects[observation.request] = _Suspect()
        if observation.observed_s <= suspect.cleared_s:
            return False
        if observation.upstream is None:
            suspect.crashes = [
                crash
                for crash in suspect.crashes
                if crash.observed_s > observation.observed_s
            ]
            suspect.cleared_s = observation.observed_s
        elif any(
            crash.upstream == observation.upstream
            and abs(crash.observed_s - observation.observed_s) < SAME_CRASH_S
            for crash in suspect.crashes
        ):
            return False
        else:
            suspect.crashes.append(observation)
        self._suspects.move_to_end(observation.request)
        self._recent.append((now_s, observation))
        return True

    def due_for_report(self, now_s: float) -> list[CrashObservation]:
        """Return the observations that other hosts should be sent now, latest first."""
        self._recent = [
            (learned_s, observation)
            for learned_s, observation in self._recent
            if now_s - learned_s <= REPORT_REPEAT_S
        ]
        return [observation for _, observation in reversed(self._recent)]

    def crashes_of_quarantined(self, now_s: float) -> list[CrashObservation]:
        """Return the crashes for which requests are quarantined, for a new host."""
        return [
            crash
            for suspect in self._suspects.values()
            if suspect.quarantined_until_s > now_s
            for crash in suspect.crashes
        ]

    def _drop_expired(self, now_s: float) -> None:
        while self._suspects:
            request, suspect = next(iter(self._suspects.items()))
            expires_s = max(
                suspect.latest_s + SUSPECT_TIMEOUT_S, suspect.quarantined_until_s
            )
            if len(self._suspects) < SUSPECTS_MAX and now_s < expires_s:
                return
            del self._suspects[request]
