"""Limits the share of requests in a scarce region when other traffic ends or drops.

Waves of requests end at different times. If only requests bound to a region are left,
nearly all requests of the callers' region would run there within one window.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

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
# Weight of the region's distribution in that of the host's own requests, in requests.
REFERENCE_WEIGHT = 3.0
# Smallest number of requests in other regions, decayed with `SLOW_RATE_S`, whose end is
# noticed. With fewer, the fast rate is often 0 by chance.
ELSEWHERE_MIN = 4.0
# Number of requests by which a host may exceed the share while traffic goes on, and the
# number that it may save up unless one request elsewhere permits more.
BURST = 3.0
SAVED_MAX = 1.0
# Smallest share of requests elsewhere with which the permitted number is computed.
PERMITTED_SHARE_MIN = 0.01


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
        self._was_ending = False
        self._updated_s = now_s
        # Requests sent to other regions, and bound ones that the region has room for,
        # that decay.
        self._fast = self._slow = self._slow_here = 0.0
        self._elsewhere_s = -math.inf

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
        """Return the largest share of the requests that may run in the region.

        A host whose own callers send more requests to the region than those of the
        other hosts may go on to do so.
        """
        if self._reference is None or now_s - self._reference[1] > REFERENCE_KEEP_S:
            return 1.0
        share = self._reference[0]
        own = self._slow + self._slow_here + REFERENCE_WEIGHT
        own_share = (self._slow_here + REFERENCE_WEIGHT * share) / own
        return min(1.0, max(share, own_share) + SHIFT_MARGIN * self._max_shift)

    def record_elsewhere(self, now_s: float) -> None:
        """Record that a request is sent to another region."""
        self._decay(now_s)
        self._elsewhere_s = now_s
        self._fast += 1.0
        self._slow += 1.0
        share = self.share_max(now_s)
        permitted = share / max(1.0 - share, PERMITTED_SHARE_MIN)
        self._saved = min(max(SAVED_MAX, permitted), self._saved + permitted)

    def record_offered(self, admitted_share: float, now_s: float) -> None:
        """Record a bound request.

        Parameters
        ----------
        admitted_share : float
            Share of the bound requests that the region has room for.
        now_s : float
        """
        self._decay(now_s)
        self._slow_here += admitted_share

    def record_here(self) -> None:
        """Record that a request is sent to the region."""
        self._saved = max(-BURST, self._saved - 1.0)

    def permits(self, now_s: float) -> bool:
        """Return whether one more bound request may be sent to the region."""
        if self.share_max(now_s) >= 1.0 or now_s - self._elsewhere_s > REFERENCE_KEEP_S:
            return True
        self._decay(now_s)
        if self._is_ending():
            # Only requests sent elsewhere from now on permit further ones.
            self._saved = min(self._saved, 0.0) if not self._was_ending else self._saved
            self._was_ending = True
            return self._saved > 0.0
        self._was_ending = False
        return self._saved > 1.0 - BURST

    def _is_ending(self) -> bool:
        if self._slow < ELSEWHERE_MIN:
            return False
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
        slow = math.exp(-elapsed_s / SLOW_RATE_S)
        self._slow *= slow
        self._slow_here *= slow
