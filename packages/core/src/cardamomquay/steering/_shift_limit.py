"""Limits how fast a host sends a pool's traffic to other regions."""

from __future__ import annotations

import threading
from collections import deque
from typing import TYPE_CHECKING

from cardamomquay.steering._shift import CAP_PER_S

if TYPE_CHECKING:
    from collections.abc import Mapping

WINDOW_S = 1.0
# Requests that may go at once beyond the share; above half of them anyone may go.
CREDIT_MAX = 4.0
IDLE_S = 0.2
WEIGHT_MIN = 1e-6


class ShiftLimit:
    """The share of one pool's requests that a host sends abroad; thread-safe.

    The share of a second exceeds that of the second before by at most the cap, apart
    from `CREDIT_MAX` requests and one. Each host applies the rule alone. The share of
    all hosts is the mean of theirs, weighted by their requests, so it also grows by
    at most the cap while the hosts' parts of the traffic stay the same. Callers that
    change to a host that already sends more abroad add to it at once.

    Requests beyond the share are refused by weighted fairness between organisations.

    Parameters
    ----------
    cap_per_s : float, default=CAP_PER_S
        Growth of the share in a second.
    """

    def __init__(self, cap_per_s: float = CAP_PER_S) -> None:
        self._cap_per_s = cap_per_s
        self._lock = threading.Lock()
        self._share = 0.0
        self._updated_s = float("-inf")
        self._credit = 0.0
        self._wanted_s = float("-inf")
        self._weights: Mapping[str, float] = {}
        # Requests and those sent abroad, in the window.
        self._seen: deque[float] = deque()
        self._abroad: deque[float] = deque()
        # Sent abroad by each organisation for its weight, and when it last asked.
        self._tags: dict[str, float] = {}
        self._asked_s: dict[str, float] = {}

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set each organisation's weight, its entitled rate; 1 by default."""
        self._weights = weights

    def note_request(self, now_s: float) -> None:
        """Count a request, wherever it goes."""
        with self._lock:
            self._update(now_s)
            self._seen.append(now_s)
            # Credit saved up while nothing is to move would come on top of the cap.
            wanted = now_s - self._wanted_s <= IDLE_S
            self._credit = (
                min(CREDIT_MAX, self._credit + self._share) if wanted else 0.0
            )

    def allow(self, organisation: str, now_s: float) -> bool:
        """Decide whether a request may go abroad, and count it if it may.

        Parameters
        ----------
        organisation : str
        now_s : float

        Returns
        -------
        bool
        """
        with self._lock:
            self._wanted_s = now_s
            lowest = self._lowest_tag(organisation, now_s)
            tag = max(self._tags.get(organisation, lowest), lowest)
            self._tags[organisation] = tag
            if self._credit < 1.0:
                return False
            # An organisation ahead of another leaves it half of the credit.
            if tag > lowest and self._credit < CREDIT_MAX / 2:
                return False
            self._credit -= 1.0
            self._abroad.append(now_s)
            self._tags[organisation] = tag + self._cost(organisation)
            return True

    def cancel(self, organisation: str) -> None:
        """Undo `allow` for a request that was not sent."""
        with self._lock:
            self._credit = min(CREDIT_MAX, self._credit + 1.0)
            if self._abroad:
                self._abroad.pop()
            if organisation in self._tags:
                self._tags[organisation] -= self._cost(organisation)

    def share(self, now_s: float) -> float:
        """Return the share of requests that may go abroad now."""
        with self._lock:
            self._update(now_s)
            return self._share

    def _update(self, now_s: float) -> None:
        for times_s in (self._seen, self._abroad):
            while times_s and times_s[0] <= now_s - WINDOW_S:
                times_s.popleft()
        # With few requests a second, one that is due next makes a difference.
        sent = len(self._abroad) + min(1.0, self._credit)
        used = sent / len(self._seen) if self._seen else 0.0
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        # A share that grows evenly is half a window's growth above the window's mean.
        # With the growth in a window, that is the cap above the window before.
        most = used + self._cap_per_s * WINDOW_S / 2
        self._share = min(1.0, most, self._share + self._cap_per_s * elapsed_s)

    def _lowest_tag(self, organisation: str, now_s: float) -> float:
        self._asked_s[organisation] = now_s
        for name in [n for n, at in self._asked_s.items() if at < now_s - WINDOW_S]:
            del self._asked_s[name]
            self._tags.pop(name, None)
        return min((self._tags[n] for n in self._asked_s if n in self._tags), default=0)

    def _cost(self, organisation: str) -> float:
        return 1.0 / max(WEIGHT_MIN, self._weights.get(organisation, 1.0))
