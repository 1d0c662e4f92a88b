"""Second attempts that one host may send to a service.

Load pattern: many upstreams of a service turn requests away or fail at once, and each
host would send nearly every request twice. The budget of the service is divided among
the hosts without any exchange: a share of each host's own requests, and an equal part
of the fixed number.
"""

from __future__ import annotations

from collections import deque

# Part of the budget that is used; hosts count the fleet differently for a moment.
USED_SHARE = 0.85


class RetryAllowance:
    """Counts requests and second attempts over a sliding window.

    Parameters
    ----------
    ratio : float
        Second attempts for each request.
    minimum : float
        Second attempts of all hosts together beside that.
    window_s : float
    now_s : float
        Start of the host. The fixed part grows over the first window, since the host
        may have spent it just before a restart.
    """

    def __init__(
        self, ratio: float, minimum: float, window_s: float, now_s: float
    ) -> None:
        self._ratio = ratio
        self._minimum = minimum
        self._window_s = window_s
        self._started_s = now_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def note_request(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now_s)
        self._forget(now_s)

    def take(self, now_s: float, hosts: int) -> bool:
        """Take a second attempt if the budget allows it.

        Parameters
        ----------
        now_s : float
        hosts : int
            Hosts that share the fixed part.

        Returns
        -------
        bool
        """
        self._forget(now_s)
        grown = min(1.0, (now_s - self._started_s) / self._window_s)
        allowed = self._ratio * len(self._requests)
        allowed += self._minimum * grown / max(1, hosts)
        if len(self._retries) + 1 > USED_SHARE * allowed:
            return False
        self._retries.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        for times_s in (self._requests, self._retries):
            while times_s and times_s[0] <= now_s - self._window_s:
                times_s.popleft()
