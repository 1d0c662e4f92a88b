"""Counts requests by route and pool, and encodes the reports with these counts."""

from __future__ import annotations

import json
import threading
from bisect import bisect_left
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

BUCKET_COUNT = 20
# Edges grow by a factor of 1.6 from 1 ms to 4.7 s, so a doubled latency falls one or
# two buckets higher.
BUCKET_EDGES_S = tuple(0.001 * 1.6**index for index in range(BUCKET_COUNT - 1))
# A pair of route and pool takes `BUCKET_COUNT` + 2 = 22 integers, so 256 pairs take far
# less than 1 MB.
MAX_ROUTE_POOL_PAIRS = 256


@dataclass(frozen=True, slots=True)
class RequestTotals:
    """Counts of one route's requests to one pool.

    Parameters
    ----------
    count, errors : int
        Finished requests, and those among them that failed or timed out.
    buckets : tuple of int
        Successful requests by latency. Bucket ``i`` ends at ``BUCKET_EDGES_S[i]``; the
        last one has no upper edge.
    """

    count: int = 0
    errors: int = 0
    buckets: tuple[int, ...] = (0,) * BUCKET_COUNT

    def plus(self, other: RequestTotals) -> RequestTotals:
        """Return the sum of two totals."""
        buckets = tuple(a + b for a, b in zip(self.buckets, other.buckets, strict=True))
        return RequestTotals(
            self.count + other.count, self.errors + other.errors, buckets
        )

    def since(self, earlier: RequestTotals) -> RequestTotals:
        """Return what was added after `earlier`; no count is below zero."""
        if self.count == earlier.count:
            return NO_REQUESTS
        buckets = tuple(
            max(0, a - b) for a, b in zip(self.buckets, earlier.buckets, strict=True)
        )
        count = max(0, self.count - earlier.count)
        return RequestTotals(count, max(0, self.errors - earlier.errors), buckets)


NO_REQUESTS = RequestTotals()


class PoolRequestCounters:
    """Cumulative counts of one daemon by route and pool; thread-safe.

    The counts only grow and receivers use the differences between reports of one
    incarnation, so lost or repeated reports do no harm.

    Parameters
    ----------
    max_pairs : int
        Largest number of pairs of route and pool. Requests of further pairs are only
        counted in `dropped`.
    """

    def __init__(self, max_pairs: int = MAX_ROUTE_POOL_PAIRS) -> None:
        self._lock = threading.Lock()
        self._max_pairs = max_pairs
        # By route and pool: requests, failed requests, then the latency buckets.
        self._counts: dict[tuple[str, str], list[int]] = {}
        self.dropped = 0

    def record(self, route: str, pool: str, failed: bool, latency_s: float) -> None:
        """Count a finished request.

        Parameters
        ----------
        route, pool : str
        failed : bool
            Whether the upstream failed or timed out. Requests that were not sent and
            answers by which the upstream shed load must not be recorded.
        latency_s : float
        """
        with self._lock:
            counts = self._counts.get((route, pool))
            if counts is None:
                if len(self._counts) >= self._max_pairs:
                    self.dropped += 1
                    return
                counts = self._counts[route, pool] = [0] * (BUCKET_COUNT + 2)
            counts[0] += 1
            if failed:
                counts[1] += 1
            else:
                counts[2 + bisect_left(BUCKET_EDGES_S, latency_s)] += 1

    def retain(self, routes: Collection[str]) -> None:
        """Forget the routes that are not in `routes`."""
        with self._lock:
            for pair in [p for p in self._counts if p[0] not in routes]:
                del self._counts[pair]

    def totals(self) -> dict[tuple[str, str], RequestTotals]:
        """Return the current counts by route and pool."""
        with self._lock:
            return {
                pair: RequestTotals(counts[0], counts[1], tuple(counts[2:]))
                for pair, counts in self._counts.items()
            }


@dataclass(frozen=True, slots=True)
class HostReport:
    """A host's information about moves, sent to its peers.

    Parameters
    ----------
    totals : mapping
        Cumulative counts by route and pool.
    stopped : tuple of (str, str)
        Route and move id of each move that the host stopped without the controller.
    rows : mapping
        Version and value of the newest row that the host knows, by route.
    """

    totals: Mapping[tuple[str, str], RequestTotals] = field(default_factory=dict)
    stopped: tuple[tuple[str, str], ...] = ()
    rows: Mapping[str, tuple[int, Mapping[str, Any]]] = field(default_factory=dict)


def encode_report(report: HostReport) -> str:
    """Encode a report as JSON for the `extra` field of a member record."""
    totals = [
        [route, pool, t.count, t.errors, list(t.buckets)]
        for (route, pool), t in sorted(report.totals.items())
    ]
    rows = [[route, v, dict(value)] for route, (v, value) in report.rows.items()]
    document = {"totals": totals, "stopped": list(report.stopped), "rows": rows}
    return json.dumps(document, separators=(",", ":"))


def decode_report(text: str) -> HostReport | None:
    """Decode a report encoded by `encode_report`.

    Parameters
    ----------
    text : str

    Returns
    -------
    HostReport or None
        None if the text is malformed; the sender then counts as not reporting.
    """
    try:
        document = json.loads(text)
        totals = {
            (str(route), str(pool)): _parse_totals(count, errors, buckets)
            for route, pool, count, errors, buckets in document["totals"]
        }
        stopped = tuple((str(r), str(m)) for r, m in document["stopped"])
        rows = {str(r): (int(v), dict(value)) for r, v, value in document["rows"]}
    except (ValueError, TypeError, KeyError, AttributeError):
        return None
    return HostReport(totals, stopped, rows)


def _parse_totals(count: Any, errors: Any, buckets: Any) -> RequestTotals:
    totals = RequestTotals(int(count), int(errors), tuple(int(b) for b in buckets))
    if len(totals.buckets) != BUCKET_COUNT or min(totals.buckets) < 0:
        raise ValueError(
            "latency histogram has a wrong number of buckets or a negative one"
        )
    if not 0 <= totals.errors <= totals.count:
        raise ValueError("error count is negative or above the request count")
    return totals
