"""Measures transactions and latency of claims with and without batches.

A discrete-event simulation that uses the product's batcher and commit of batches, and
models the hosts, the network and the latency of the store.
"""

from __future__ import annotations

import heapq
import itertools
import json
import sys
from typing import TYPE_CHECKING
from typing import Any

import numpy as np

from cardamomquay.idempotency import CONCURRENT_COMMITS_MAX
from cardamomquay.idempotency import AnswerChange
from cardamomquay.idempotency import Claim
from cardamomquay.idempotency import ClaimBatcher
from cardamomquay.idempotency import ClaimChange
from cardamomquay.idempotency import RecordedAnswer
from cardamomquay.idempotency import commit_batch
from cardamomquay.platform import MemoryTableService

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomquay.idempotency import ClaimRowChange

HOSTS = 12
RATES_PER_S = (100, 300, 1000)
DURATION_S = 10.0
# Round trips to the table service from its own region and from two other regions, with
# 35 ms one way between regions.
ROUND_TRIPS_S = (0.001, 0.070, 0.070)
UPSTREAM_LATENCY_S = 0.020
# Rate of a store that commits transactions one at a time; None for a store that is
# never the bottleneck.
STORE_CAPACITIES_PER_S = (None, 500)
COMMIT_LATENCY_S = 0.002


class _Model:
    """Twelve hosts that claim non-repeatable requests and record their answers.

    Parameters
    ----------
    rate_per_s : int
        Total rate of requests over all hosts.
    capacity_per_s : int or None
        Transactions that the store commits per second, None for no limit.
    batched : bool
        Whether hosts commit claims and answers in batches.
    seed : int
    """

    def __init__(
        self, rate_per_s: int, capacity_per_s: int | None, batched: bool, seed: int
    ) -> None:
        self._tables = MemoryTableService()
        self._store_service_s = 0.0 if capacity_per_s is None else 1.0 / capacity_per_s
        self._store_free_at_s = 0.0
        self._batched = batched
        self._now_s = 0.0
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._batchers = [ClaimBatcher() for _ in range(HOSTS)]
        self._open_commits = [0] * HOSTS
        self.transactions = 0
        self.refused = 0
        self.latencies_s: dict[int, float] = {}
        generator = np.random.default_rng(seed)
        times = generator.uniform(0.0, DURATION_S, int(rate_per_s * DURATION_S))
        hosts = generator.integers(0, HOSTS, len(times))
        for number, (at_s, host) in enumerate(zip(np.sort(times), hosts, strict=True)):
            self._schedule(float(at_s), self._request_starter(number, int(host)))

    def run(self) -> None:
        while self._events:
            self._now_s, _, action = heapq.heappop(self._events)
            action()

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def _request_starter(self, number: int, host: int) -> Callable[[], None]:
        def start() -> None:
            started_s = self._now_s
            claim = Claim(str(number), "org", str(number), "", str(host), "1", 0.0)
            change = ClaimChange(claim)

            def on_claimed() -> None:
                self.latencies_s[number] = self._now_s - started_s
                answer = RecordedAnswer(200, (), b"done")
                answer_change = AnswerChange(claim, answer, change.version)
                self._schedule(
                    self._now_s + UPSTREAM_LATENCY_S,
                    lambda: self._submit(host, answer_change),
                )

            change.future.add_done_callback(lambda _: on_claimed())
            self._submit(host, change)

        return start

    def _submit(self, host: int, change: ClaimRowChange[Any]) -> None:
        if not self._batched:
            self._commit(host, [change])
        elif self._batchers[host].offer(change, self._now_s):
            self._poll(host)
        else:
            self.refused += 1

    def _poll(self, host: int) -> None:
        """Commit the host's batch if it is due and the limit of commits allows it."""
        due_s = self._batchers[host].due_s(HOSTS)
        if due_s is None or self._open_commits[host] >= CONCURRENT_COMMITS_MAX:
            return
        if due_s > self._now_s:
            self._schedule(due_s, lambda: self._poll(host))
            return
        self._open_commits[host] += 1
        self._commit(host, self._batchers[host].take_batch(self._now_s))

    def _commit(self, host: int, batch: list[ClaimRowChange[Any]]) -> None:
        started_s = self._now_s
        half_trip_s = ROUND_TRIPS_S[host % len(ROUND_TRIPS_S)] / 2

        def arrive() -> None:
            self.transactions += 1
            begin_s = max(self._now_s, self._store_free_at_s)
            self._store_free_at_s = begin_s + self._store_service_s
            commit_batch(self._tables, batch)
            replied_s = (
                begin_s + max(COMMIT_LATENCY_S, self._store_service_s) + half_trip_s
            )
            self._schedule(replied_s, handle_reply)

        def handle_reply() -> None:
            self._open_commits[host] -= 1 if self._batched else 0
            self._batchers[host].record_latency(self._now_s - started_s)
            for change in batch:
                change.future.set_result(change.outcome)
            self._poll(host)

        self._schedule(started_s + half_trip_s, arrive)


def _percentiles_ms(values_s: np.ndarray[Any, Any]) -> dict[str, float]:
    p50, p99 = np.percentile(values_s, (50, 99))
    return {"p50_ms": round(float(p50) * 1e3, 1), "p99_ms": round(float(p99) * 1e3, 1)}


def _measure_case(
    rate_per_s: int, capacity_per_s: int | None, seed: int
) -> dict[str, Any]:
    case: dict[str, Any] = {
        "requests_per_s": rate_per_s,
        "store_capacity_per_s": capacity_per_s,
    }
    latencies = []
    for name, batched in (("ungrouped", False), ("grouped", True)):
        model = _Model(rate_per_s, capacity_per_s, batched, seed)
        model.run()
        numbers = sorted(model.latencies_s)
        latencies.append(np.array([model.latencies_s[n] for n in numbers]))
        case[name] = {
            "transactions_per_s": round(model.transactions / DURATION_S, 1),
            "refused": model.refused,
            "claim": _percentiles_ms(latencies[-1]),
        }
    if len(latencies[0]) == len(latencies[1]):
        case["added_per_request"] = _percentiles_ms(latencies[1] - latencies[0])
    return case


def measure_claims(seed: int) -> dict[str, Any]:
    """Measure transactions saved and latency added by batches.

    Parameters
    ----------
    seed : int
        Seed of the arrivals, which are the same with and without batches.

    Returns
    -------
    dict
        For each rate and store: number of transactions divided by the duration of the
        arrivals, including transactions that an overloaded store commits afterwards;
        number of refused claims and answers; percentiles of the latency of claims, and
        of the latency that batches add to the same request, in ms.
    """
    return {
        "seed": seed,
        "hosts": HOSTS,
        "duration_s": DURATION_S,
        "cases": [
            _measure_case(rate_per_s, capacity_per_s, seed)
            for capacity_per_s in STORE_CAPACITIES_PER_S
            for rate_per_s in RATES_PER_S
        ],
    }


if __name__ == "__main__":
    json.dump(measure_claims(1), sys.stdout, indent=2)
