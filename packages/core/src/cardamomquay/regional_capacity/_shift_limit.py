"""Limits the share of requests in a scarce region when other traffic ends or drops.

Waves of requests end at different times. If only requests bound to a region are left,
nearly all requests of the callers' region would run there within one window.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cardamomquay.regional_capacity._counts import WINDOW_S

if TYPE_CHECKING:
    from collections.abc import Mapping

# Share of `maxShift` that bound requests may add to the share of their region. The rest
# covers the random variation of the counts and of the window's position.
SHIFT_MARGIN = 0.6
# Requests of the callers' region in a window from which a distribution is used.
REFERENCE_RUNS_MIN = 20
# Time for which the last distribution is kept. Clients return within a third of their
# time, so requests that were told to return have returned by then.
REFERENCE_KEEP_S = 6.0
# Time constants of the rates of requests that run in other regions. The fast one spans
# about four requests, so that the end of the traffic is noticed after as many.
FAST_RATE_REQUESTS = 4.0
FAST_RATE_MIN_S = 0.25
FAST_RATE_MAX_S = 1.0
SLOW_RATE_S = 3.0
# Other traffic counts as ending while its fast rate is below this share of the slow.
DROP_SHARE = 0.4
# Number of requests by which a host may exceed the share while traffic goes on, and the
# largest number that it may save up.
BURST = 3.0
SAVED_MAX = 1.0


class ShiftLimit:
    """Decides whether one more bound request may run in a region.

    Each request that runs in another region permits a part of a request in this one.

    Parameters
    ----------
    max_shift : float
    now_s : float
    """

    def __init__(self, max_shift: float, now_s: float) -> None:
        self._max_shift = max_shift
        self._reference: tuple[float, float] | None = None
        self._saved = 0.0
        self._updated_s = now_s
        self._fast = self._slow = 0.0

    def update_reference(
        self, region: int, runs: Mapping[int, int], now_s: float
    ) -> None:
        """Apply the distribution of the callers' region over the last window.

        Parameters
        ----------
        region : int
            Short identifier of the region that this limit is for.
        runs : mapping of int to int
            Requests that ran, by short identifier of the region.
        now_s : float
        """
        total = sum(runs.values())
        if total >= REFERENCE_RUNS_MIN:
            self._reference = (runs.get(region, 0) / total, now_s)

    def share_max(self, now_s: float) -> float:
        """Return the largest share of the requests that may run in the region."""
        if self._reference is None or now_s - self._reference[1] > REFERENCE_KEEP_S:
            return 1.0
        return min(1.0, self._reference[0] + SHIFT_MARGIN * self._max_shift)

    def record_elsewhere(self, now_s: float) -> None:
        """Record that a request is sent to another region."""
        self._decay(now_s)
        self._fast += 1.0
        self._slow += 1.0
        share = self.share_max(now_s)
        if share < 1.0:
            self._saved = min(SAVED_MAX, self._saved + share / (1.0 - share))
        else:
            self._saved = SAVED_MAX

    def record_here(self) -> None:
        """Record that a request is sent to the region."""
        self._saved = max(-BURST, self._saved - 1.0)

    def permits(self, now_s: float) -> bool:
        """Return whether one more bound request may be sent to the region."""
        if self.share_max(now_s) >= 1.0:
            return True
        self._decay(now_s)
        if self._is_ending():
            return self._saved > 0.0
        return self._saved > 1.0 - BURST

    def _is_ending(self) -> bool:
        return self._fast / self._fast_time_s() < DROP_SHARE * self._slow / SLOW_RATE_S

    def _fast_time_s(self) -> float:
        slow_per_s = self._slow / SLOW_RATE_S
        return min(
            FAST_RATE_MAX_S,
            max(FAST_RATE_MIN_S, FAST_RATE_REQUESTS / max(0.1, slow_per_s)),
        )

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        fast = math.exp(-elapsed_s / self._fast_time_s())
        self._fast *= fast
        if self._saved > 0.0:
            # What was saved is meant for the next requests, not for those after the
            # end of the traffic.
            self._saved *= math.exp(-elapsed_s / WINDOW_S)
        self._slow *= math.exp(-elapsed_s / SLOW_RATE_S)
