"""Limits how fast a host sends a pool's traffic to other regions."""

from __future__ import annotations

import threading
from collections import deque
from typing import TYPE_CHECKING

from cardamomquay.steering._shift_plan import SHIFT_CAP_SHARE_PER_S

if TYPE_CHECKING:
    from collections.abc import Mapping

WINDOW_S = 1.0
# Requests that may exceed the share at once. While at least half of the credit is
# left, every organisation may use it.
CREDIT_MAX_REQUESTS = 4.0
# Credit is dropped if no request has asked to go to another region for this time.
CREDIT_IDLE_S = 0.2
# Avoids division by zero for organisations without a weight above zero.
WEIGHT_MIN = 1e-6


class ShiftLimit:
    """Limits the share of one pool's requests that go to other regions; thread-safe.

    From one second to the next the share grows by at most the cap, plus
    `CREDIT_MAX_REQUESTS` + 1 requests. Each host applies the limit alone. The share
    over all hosts is the mean of their shares, weighted by their requests, so it also
    grows by at most the cap as long as each host's part of the traffic stays the same.
    Callers that switch to a host with a higher share raise the mean at once.

    Within the limit, organisations are served by weighted fairness.

    Parameters
    ----------
    cap_per_s : float, default=SHIFT_CAP_SHARE_PER_S
        Largest growth of the share per second.
    """

    def __init__(self, cap_per_s: float = SHIFT_CAP_SHARE_PER_S) -> None:
        self._cap_per_s = cap_per_s
        self._lock = threading.Lock()
        self._share = 0.0
        self._updated_at_s = float("-inf")
        self._credit = 0.0
        self._last_asked_at_s = float("-inf")
        self._weights: Mapping[str, float] = {}
        # Times of all requests, and of those sent to other regions, in the window.
        self._requests_at_s: deque[float] = deque()
        self._remote_at_s: deque[float] = deque()
        # Requests sent to other regions divided by the organisation's weight (virtual
        # time of fair queueing), and when the organisation last asked.
        self._virtual_times: dict[str, float] = {}
        self._asked_at_s: dict[str, float] = {}

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the weight (entitled rate) of each organisation; 1 by default."""
        self._weights = weights

    def record_request(self, now_s: float) -> None:
        """Count a request, whichever region serves it."""
        with self._lock:
            self._update(now_s)
            self._requests_at_s.append(now_s)
            # Credit saved up while no request has to move would exceed the cap later.
            in_use = now_s - self._last_asked_at_s <= CREDIT_IDLE_S
            self._credit = (
                min(CREDIT_MAX_REQUESTS, self._credit + self._share) if in_use else 0.0
            )

    def allow(self, organisation: str, now_s: float) -> bool:
        """Return whether a request may go to another region; if so, count it.

        Parameters
        ----------
        organisation : str
        now_s : float

        Returns
        -------
        bool
        """
        with self._lock:
            self._last_asked_at_s = now_s
            lowest = self._lowest_virtual_time(organisation, now_s)
            virtual_time = max(self._virtual_times.get(organisation, lowest), lowest)
            self._virtual_times[organisation] = virtual_time
            if self._credit < 1.0:
                return False
            # An organisation ahead of another one leaves it half of the credit.
            if virtual_time > lowest and self._credit < CREDIT_MAX_REQUESTS / 2:
                return False
            self._credit -= 1.0
            self._remote_at_s.append(now_s)
            self._virtual_times[organisation] = virtual_time + self._cost(organisation)
            return True

    def cancel(self, organisation: str) -> None:
        """Undo `allow` for a request that was not sent."""
        with self._lock:
            self._credit = min(CREDIT_MAX_REQUESTS, self._credit + 1.0)
            if self._remote_at_s:
                self._remote_at_s.pop()
            if organisation in self._virtual_times:
                self._virtual_times[organisation] -= self._cost(organisation)

    def share(self, now_s: float) -> float:
        """Return the share of requests that may go to other regions now."""
        with self._lock:
            self._update(now_s)
            return self._share

    def _update(self, now_s: float) -> None:
        for times_s in (self._requests_at_s, self._remote_at_s):
            while times_s and times_s[0] <= now_s - WINDOW_S:
                times_s.popleft()
        # Counts the next request that the credit allows as sent, since with few
        # requests per second one request changes the mean noticeably.
        sent = len(self._remote_at_s) + min(1.0, self._credit)
        mean_share = sent / len(self._requests_at_s) if self._requests_at_s else 0.0
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        self._updated_at_s = now_s
        # If the share grows evenly during a window, its value at the end is the mean of
        # the window plus half of the growth. This bound keeps the mean of a window at
        # most the cap above the mean of the window before.
        max_share = mean_share + self._cap_per_s * WINDOW_S / 2
        self._share = min(1.0, max_share, self._share + self._cap_per_s * elapsed_s)

    def _lowest_virtual_time(self, organisation: str, now_s: float) -> float:
        """Return the lowest virtual time of the organisations that asked in the window.

        Also records that the given organisation asks now, and forgets organisations
        that did not ask in the window.
        """
        self._asked_at_s[organisation] = now_s
        for name in [n for n, at in self._asked_at_s.items() if at < now_s - WINDOW_S]:
            del self._asked_at_s[name]
            self._virtual_times.pop(name, None)
        return min(
            (
                self._virtual_times[n]
                for n in self._asked_at_s
                if n in self._virtual_times
            ),
            default=0,
        )

    def _cost(self, organisation: str) -> float:
        return 1.0 / max(WEIGHT_MIN, self._weights.get(organisation, 1.0))
