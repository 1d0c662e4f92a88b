"""Summaries that hosts send each other, and their sums."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.regional_capacity._counts import Count

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cardamomquay.regional_capacity._counts import Pair

# Summaries older than this are not used.
FRESH_S = 2.0
# A gateway includes the summary of a host of its zone up to this age, so that the sum
# is still fresh when it arrives in other zones.
AGGREGATED_AGE_MAX_S = 1.2
# Number of pairs of a service and a region in one summary, those with the most shed
# and rejected requests. With 6 zones this is below 600 bytes in a gateway's report.
PAIRS_MAX = 4
# Number of regions in one summary's distribution of requests.
RUN_REGIONS_MAX = 8

PairCounts = dict["Pair", tuple[int, ...]]


@dataclass(frozen=True, slots=True)
class Summary:
    """Counts of one host, or of the hosts of one availability zone.

    Parameters
    ----------
    counted_s : float
        Time of the oldest counts that it includes, on the receiver's clock.
    pairs : dict of tuple to tuple of int
        Values in the order of `Count`, by service and region.
    runs : dict of int to int
        Requests of callers that upstreams ran, by short identifier of the region.
    """

    counted_s: float
    pairs: PairCounts
    runs: dict[int, int]

    def is_fresh(self, now_s: float) -> bool:
        """Whether the summary may be used."""
        return 0.0 <= now_s - self.counted_s < FRESH_S


def sum_summaries(summaries: Iterable[Summary]) -> Summary | None:
    """Return the sum of some summaries; None without one that has pairs."""
    pairs: dict[Pair, list[int]] = {}
    runs: dict[int, int] = {}
    ages: list[float] = []
    for summary in summaries:
        ages.append(summary.counted_s)
        for pair, counts in summary.pairs.items():
            total = pairs.setdefault(pair, [0] * len(Count))
            for index, count in enumerate(counts):
                total[index] += count
        for region, count in summary.runs.items():
            runs[region] = runs.get(region, 0) + count
    if not pairs:
        return None
    kept = sorted(pairs, key=lambda p: -lacking(pairs[p]))[:PAIRS_MAX]
    return Summary(min(ages), {p: tuple(pairs[p]) for p in kept}, runs)


def lacking(counts: Iterable[int]) -> int:
    """Return how many requests or attempts found no room."""
    values = tuple(counts)
    return values[Count.SHED] + values[Count.REFUSED] + values[Count.REJECTED]


def pressure(counts: Iterable[int]) -> float:
    """Return the share of requests and attempts that found no room."""
    values = tuple(counts)
    without_room = lacking(values)
    return without_room / max(1, without_room + values[Count.ANSWERED])
