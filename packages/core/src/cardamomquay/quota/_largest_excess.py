"""Checks recorded runs of requests against a rate and burst."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cardamomquay.quota._messages import RateLimit


def largest_excess(run_times_s: Iterable[float], limit: RateLimit) -> float:
    """Return the most runs by which a window of time exceeds ``rate * t + burst``.

    Parameters
    ----------
    run_times_s : iterable of float
        Times of the runs in seconds, on one clock and in any order.
    limit : RateLimit

    Returns
    -------
    float
        Excess in the worst window; negative or 0 if the limit holds.
    """
    worst = -float(limit.burst)
    lowest = float("inf")
    for index, at_s in enumerate(sorted(run_times_s)):
        # Of the windows that end at this run, the worst starts at the run with the
        # lowest number of earlier runs less the tokens accrued until then.
        lowest = min(lowest, index - limit.rate_per_s * at_s)
        runs_less_rate = index + 1 - limit.rate_per_s * at_s - lowest
        worst = max(worst, runs_less_rate - limit.burst)
    return worst
