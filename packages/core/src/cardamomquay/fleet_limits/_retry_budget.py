"""Retry budget of a service, divided among all hosts.

When many upstreams of a service refuse requests or fail together, each host would send
nearly every request twice. The budget is divided among the hosts without communication:
each host may retry a share of its own requests, plus an equal share of a fixed number.
"""

from __future__ import annotations

from collections import deque

# Share of the budget that is used, since hosts may briefly count the fleet differently.
USED_SHARE = 0.85


class FleetRetryBudget:
    """Counts requests and retries of one host in a sliding window.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    fixed_retries : float
        Fixed number of further retries in a window, for all hosts together.
    window_s : float
    now_s : float
        Start time of the host. The fixed number grows from 0 over the first window,
        since the host may have spent it just before a restart.
    """

    def __init__(
        self, ratio: float, fixed_retries: float, window_s: float, now_s: float
    ) -> None:
        self._ratio = ratio
        self._fixed_retries = fixed_retries
        self._window_s = window_s
        self._started_s = now_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Count a first attempt for a caller's request."""
        self._requests.append(now_s)
        self._drop_expired(now_s)

    def try_take(self, now_s: float, hosts: int) -> bool:
        """Take a retry from the budget if one is available.

        Parameters
        ----------
        now_s : float
        hosts : int
            Number of hosts that share the fixed number of retries.

        Returns
        -------
        bool
        """
        self._drop_expired(now_s)
        grown = min(1.0, (now_s - self._started_s) / self._window_s)
        allowed = self._ratio * len(self._requests)
        allowed += self._fixed_retries * grown / max(1, hosts)
        if len(self._retries) + 1 > USED_SHARE * allowed:
            return False
        self._retries.append(now_s)
        return True

    def _drop_expired(self, now_s: float) -> None:
        for times_s in (self._requests, self._retries):
            while times_s and times_s[0] <= now_s - self._window_s:
                times_s.popleft()
