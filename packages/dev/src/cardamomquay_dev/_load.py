"""Closed-loop load from several processes on loopback."""

from __future__ import annotations

import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context

import pycurl
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 3


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What a load measured.

    Parameters
    ----------
    requests_per_s : float
    p50_ms, p99_ms : float
    failed : int
        Requests without an answer of status 200.
    """

    requests_per_s: float
    p50_ms: float
    p99_ms: float
    failed: int

    def as_dict(self) -> dict[str, float]:
        """Return rounded figures for a report."""
        return {
            "requests_per_s": round(self.requests_per_s, 1),
            "p50_ms": round(self.p50_ms, 3),
            "p99_ms": round(self.p99_ms, 3),
            "failed": self.failed,
        }


def run_load(
    urls: list[str], headers: list[str], seconds: float, connections: int
) -> LoadResult:
    """Send requests one after the other on each of several connections.

    Parameters
    ----------
    urls : list of str
        Connections use them in turn.
    headers : list of str
    seconds : float
    connections : int
        One process each.

    Returns
    -------
    LoadResult
    """
    context = get_context("spawn")
    with ProcessPoolExecutor(connections, mp_context=context) as executor:
        # The processes import their modules before the time that is measured.
        list(executor.map(time.sleep, [0.2] * connections))
        futures = [
            executor.submit(_worker, urls[n % len(urls)], headers, seconds)
            for n in range(connections)
        ]
        parts = [future.result() for future in futures]
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    failed = 0
    rate = 0.0
    for encoded, part_failed, part_rate in parts:
        histogram.decode_and_add(encoded)
        failed += part_failed
        rate += part_rate
    return LoadResult(
        rate,
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        failed,
    )


def _worker(url: str, headers: list[str], seconds: float) -> tuple[bytes, int, float]:
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.HTTPHEADER, headers)
    curl.setopt(pycurl.WRITEFUNCTION, len)
    curl.setopt(pycurl.TIMEOUT_MS, 10_000)
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    failed = done = 0
    started = time.perf_counter()
    end = started + seconds
    while (before := time.perf_counter()) < end:
        try:
            curl.perform()
            failed += curl.getinfo(pycurl.RESPONSE_CODE) != 200
        except pycurl.error:
            failed += 1
        histogram.record_value(max(1, int((time.perf_counter() - before) * 1e6)))
        done += 1
    rate = done / (time.perf_counter() - started)
    curl.close()
    return histogram.encode(), failed, rate
