"""Generates closed-loop load on loopback from several processes."""

from __future__ import annotations

import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context

import pycurl
from hdrh.histogram import HdrHistogram

HISTOGRAM_MIN_US = 1
HISTOGRAM_MAX_US = 60_000_000
HISTOGRAM_SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Measurements of one load run.

    Parameters
    ----------
    requests_per_s : float
        Failed requests included.
    p50_ms, p99_ms : float
        Percentiles of the latency of all requests, failed ones included.
    failed : int
        Requests that got no answer or one with a status other than 200.
    """

    requests_per_s: float
    p50_ms: float
    p99_ms: float
    failed: int

    def as_dict(self) -> dict[str, float]:
        """Return the rounded figures for a report."""
        return {
            "requests_per_s": round(self.requests_per_s, 1),
            "p50_ms": round(self.p50_ms, 3),
            "p99_ms": round(self.p99_ms, 3),
            "failed": self.failed,
        }


def run_load(
    urls: list[str], headers: list[str], seconds: float, connections: int
) -> LoadResult:
    """Send requests on several connections, one at a time on each.

    Parameters
    ----------
    urls : list of str
        URLs that are assigned to the connections in turn.
    headers : list of str
    seconds : float
        Duration of the run.
    connections : int
        Number of connections; each has its own process.

    Returns
    -------
    LoadResult
    """
    context = get_context("spawn")
    with ProcessPoolExecutor(connections, mp_context=context) as executor:
        # One sleep per process keeps each of them busy, so that all are started and
        # have imported their modules before the measurement.
        list(executor.map(time.sleep, [0.2] * connections))
        futures = [
            executor.submit(_send_requests, urls[n % len(urls)], headers, seconds)
            for n in range(connections)
        ]
        worker_results = [future.result() for future in futures]
    histogram = HdrHistogram(
        HISTOGRAM_MIN_US, HISTOGRAM_MAX_US, HISTOGRAM_SIGNIFICANT_DIGITS
    )
    failed = 0
    requests_per_s = 0.0
    for encoded, worker_failed, worker_rate in worker_results:
        histogram.decode_and_add(encoded)
        failed += worker_failed
        requests_per_s += worker_rate
    return LoadResult(
        requests_per_s,
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        failed,
    )


def _send_requests(
    url: str, headers: list[str], seconds: float
) -> tuple[bytes, int, float]:
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.HTTPHEADER, headers)
    curl.setopt(pycurl.WRITEFUNCTION, len)
    curl.setopt(pycurl.TIMEOUT_MS, 10_000)
    histogram = HdrHistogram(
        HISTOGRAM_MIN_US, HISTOGRAM_MAX_US, HISTOGRAM_SIGNIFICANT_DIGITS
    )
    failed = completed = 0
    started = time.perf_counter()
    end = started + seconds
    while (request_started := time.perf_counter()) < end:
        try:
            curl.perform()
            failed += curl.getinfo(pycurl.RESPONSE_CODE) != 200
        except pycurl.error:
            failed += 1
        histogram.record_value(
            max(1, int((time.perf_counter() - request_started) * 1e6))
        )
        completed += 1
    requests_per_s = completed / (time.perf_counter() - started)
    curl.close()
    return histogram.encode(), failed, requests_per_s
