"""Time of day that most hosts agree on."""

from __future__ import annotations

import math
from dataclasses import dataclass
from statistics import median_low

# Of the samples of a host in this time, the one that was on the way for the shortest
# time counts. A clock that jumps back is believed after it.
SAMPLE_PERIOD_S = 3.0
# Samples that are older are not used, as of a host that no longer runs.
SAMPLE_AGE_MAX_S = 6.0
# With less than this share of the clocks of the present estimate, the estimate is kept:
# a host that hears few others may hear just those whose clock is wrong.
KEPT_CLOCKS_SHARE = 0.5
# After this time fewer clocks are believed, since the fleet may have become smaller.
# The steady clock drifts by less than 0.01 s in it (100 ppm).
KEPT_ESTIMATE_S = 90.0


@dataclass(slots=True)
class _Sample:
    """Offset of a clock from this host's steady clock, and time of the sample."""

    offset_s: float
    at_s: float
    clock_count: int = 1


class FleetTime:
    """Derives the time of day from the clocks of all hosts.

    Clocks of up to a third of the hosts may be wrong by seconds. The median is right
    within the time that a report is on the way. It is kept as the offset from the
    host's steady clock, so that a jump of the host's own time of day changes nothing.

    A host that hears all others, such as one that collects usage, uses the median of
    their clocks. A host that hears only some uses the median of the estimates of those
    that hear the most.

    Parameters
    ----------
    own_source : int
    """

    def __init__(self, own_source: int) -> None:
        self._own_source = own_source
        self._clocks: dict[int, _Sample] = {}
        self._estimates: dict[int, _Sample] = {}
        self._offset_s: float | None = None
        self._clock_count = 0
        self._estimated_s = -math.inf

    @property
    def clock_count(self) -> int:
        """Number of clocks from which the latest estimate was derived."""
        return self._clock_count

    @property
    def is_known(self) -> bool:
        """Whether there is an estimate."""
        return self._offset_s is not None

    def record_clock(self, source: int, clock_s: float, now_s: float) -> None:
        """Record the time of day that a host has reported, or that of this host."""
        offset_s = clock_s - now_s
        sample = self._clocks.get(source)
        is_own = source == self._own_source
        if (
            sample is None
            or is_own
            or offset_s >= sample.offset_s
            or now_s - sample.at_s >= SAMPLE_PERIOD_S
        ):
            self._clocks[source] = _Sample(offset_s, now_s)

    def record_estimate(
        self, source: int, true_s: float, clock_count: int, now_s: float
    ) -> None:
        """Record another host's estimate, and the number of clocks that it heard."""
        self._estimates[source] = _Sample(true_s - now_s, now_s, clock_count)

    def update(self, now_s: float) -> None:
        """Derive the estimate from the recent samples."""
        for samples in (self._clocks, self._estimates):
            for source in [
                s for s, x in samples.items() if now_s - x.at_s > SAMPLE_AGE_MAX_S
            ]:
                del samples[source]
        heard = len(self._clocks)
        most = max((x.clock_count for x in self._estimates.values()), default=0)
        if heard >= most:
            offsets, count = [x.offset_s for x in self._clocks.values()], heard
        else:
            offsets = [
                x.offset_s for x in self._estimates.values() if x.clock_count == most
            ]
            count = most
        if not offsets:
            return
        is_kept = (
            count < KEPT_CLOCKS_SHARE * self._clock_count
            and now_s - self._estimated_s < KEPT_ESTIMATE_S
        )
        if not is_kept:
            self._offset_s = median_low(offsets)
            self._clock_count = count
            self._estimated_s = now_s

    def heard_clocks(self) -> int:
        """Return the number of hosts whose clocks were heard recently."""
        return len(self._clocks)

    def true_s(self, now_s: float) -> float:
        """Return the time of day in seconds since the start of 1970.

        Parameters
        ----------
        now_s : float
            Time on the host's steady clock.
        """
        return now_s + (self._offset_s or 0.0)
