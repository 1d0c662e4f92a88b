"""Detection of pools that shed load as a whole."""

from __future__ import annotations

import threading
from dataclasses import dataclass

# The weight of a counted answer halves every `WINDOW_S` / 2.
WINDOW_S = 2.0
# With a smaller weight of answers, a pool does not count as shedding.
RECENT_ANSWERS_MIN = 5.0
# With a smaller share of shed answers, retries multiply the load by at most 1.1.
SHED_SHARE_MIN = 0.1
# Share of the upstreams with recent answers that must shed.
SHEDDING_UPSTREAMS_SHARE = 0.5


@dataclass(slots=True)
class _DecayingCount:
    """Weighted counts of answers and of shed ones, as of `at_s`."""

    answers: float = 0.0
    shed: float = 0.0
    at_s: float = 0.0

    def add(self, shed: bool, now_s: float) -> None:
        self.decay(now_s)
        self.answers += 1.0
        self.shed += float(shed)

    def decay(self, now_s: float) -> None:
        factor = 0.5 ** (max(0.0, now_s - self.at_s) / (WINDOW_S / 2))
        self.answers *= factor
        self.shed *= factor
        self.at_s = max(now_s, self.at_s)


class ShedDetector:
    """Detects that a pool sheds load as a whole; thread-safe.

    A retry helps if one upstream sheds load and others have capacity. If most upstreams
    shed, each retry adds load to a full pool. A pool sheds as a whole if at least half
    of the upstreams with recent answers shed, and at least 10% of all recent answers
    are shed.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._total = _DecayingCount()
        self._counts: dict[str, _DecayingCount] = {}

    def record_answer(self, upstream: str, shed: bool, now_s: float) -> None:
        """Count one answer.

        Parameters
        ----------
        upstream : str
        shed : bool
            Whether the upstream refused the request because of its load.
        now_s : float
        """
        with self._lock:
            self._total.add(shed, now_s)
            self._counts.setdefault(upstream, _DecayingCount(at_s=now_s)).add(
                shed, now_s
            )

    def is_shedding(self, now_s: float) -> bool:
        """Return whether the pool sheds load as a whole.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        bool
            False without enough recent answers.
        """
        with self._lock:
            self._total.decay(now_s)
            total = self._total
            if total.answers < RECENT_ANSWERS_MIN:
                return False
            if total.shed < SHED_SHARE_MIN * total.answers:
                return False
            for name, count in tuple(self._counts.items()):
                count.decay(now_s)
                # Removes upstreams without an answer for several seconds.
                if count.answers < 0.01:
                    del self._counts[name]
            # A single answer counts as recent until its weight has halved.
            recent = [c for c in self._counts.values() if c.answers >= 0.5]
            shedding_upstreams = sum(
                c.shed >= SHED_SHARE_MIN * c.answers for c in recent
            )
            return shedding_upstreams >= SHEDDING_UPSTREAMS_SHARE * len(recent)
