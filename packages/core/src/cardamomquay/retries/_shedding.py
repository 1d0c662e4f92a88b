"""Whether a pool as a whole sheds load."""

from __future__ import annotations

import threading
from dataclasses import dataclass

WINDOW_S = 2.0
ANSWERS_MIN = 5.0
# A pool that sheds less than this cannot be amplified above 1.1 by retries.
SHED_SHARE = 0.1
UPSTREAM_SHARE = 0.5


@dataclass(slots=True)
class _Count:
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
    """Detects that a pool sheds as a whole; safe for threads.

    A retry helps when one upstream sheds and others have room. When most upstreams
    shed, each retry adds load to a pool that is full. A pool sheds as a whole when
    at least half of the upstreams with recent answers shed, and with them at least
    10% of all recent answers.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._total = _Count()
        self._counts: dict[str, _Count] = {}

    def observe(self, upstream: str, shed: bool, now_s: float) -> None:
        """Count one answer.

        Parameters
        ----------
        upstream : str
        shed : bool
            Whether the upstream refused it for its load.
        now_s : float
        """
        with self._lock:
            self._total.add(shed, now_s)
            self._counts.setdefault(upstream, _Count(at_s=now_s)).add(shed, now_s)

    def sheds(self, now_s: float) -> bool:
        """Whether the pool sheds as a whole.

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
            if total.answers < ANSWERS_MIN:
                return False
            if total.shed < SHED_SHARE * total.answers:
                return False
            for name, count in tuple(self._counts.items()):
                count.decay(now_s)
                if count.answers < 0.01:
                    del self._counts[name]
            recent = [c for c in self._counts.values() if c.answers >= 0.5]
            shedding = sum(c.shed >= SHED_SHARE * c.answers for c in recent)
            return shedding >= UPSTREAM_SHARE * len(recent)
