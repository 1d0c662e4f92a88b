"""Hosts of three regions, callers and upstreams in one process, with simulated time."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from cardamomquay.regional_capacity import RegionalCapacity

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = "s"
REGIONS = ("west", "east", "north")
HOSTS_PER_REGION = 11
# A tenth of the upstreams is in the first region.
UPSTREAMS = {"west": 4, "east": 18, "north": 18}
SLOTS = 3
QUEUE = 9
WORK_S = 0.3
# What the upstreams of a region can run in a second, per upstream.
RATE_PER_UPSTREAM = SLOTS / WORK_S
OWN_REGION_WEIGHT = 3.0
LATENCY_S = 0.035
REPORT_PERIOD_S = 1.0
CALLER_TIMEOUT_S = 4.0
WINDOW_S = 2.0
MAX_SHIFT = 0.15


@dataclass
class Upstream:
    region: str
    running: int = 0
    waiting: deque[Request] = field(default_factory=deque)
    slot_s: float = 0.0


@dataclass
class Request:
    host: Host
    allowed: frozenset[str]
    is_retry: bool = False


@dataclass
class Host:
    name: str
    region: str
    capacity: RegionalCapacity
    is_cut_off: bool = False


class RegionalFleet:
    """Simulation of a service that one organisation may use in one region only.

    Parameters
    ----------
    flexible_per_s, bound_per_s : callable
        Rates of new requests at a time, over all hosts.
    loss_share : float
        Share of the reports that are lost.
    max_shift : float
        0 for hosts that decide nothing by region.
    seed : int
    scale : int
        Factor of the rates and the numbers of upstreams; the counts of a window vary
        less with a larger one.
    """

    def __init__(
        self,
        flexible_per_s: Callable[[float], float],
        bound_per_s: Callable[[float], float],
        loss_share: float = 0.0,
        max_shift: float = MAX_SHIFT,
        seed: int = 1,
        scale: int = 1,
    ) -> None:
        self.scale = scale
        self.rng = Random(seed)
        self.rates = (flexible_per_s, bound_per_s)
        self.loss_share = loss_share
        self.now_s = 100.0
        self.started_s = self.now_s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.upstreams = {
            region: [Upstream(region) for _ in range(scale * count)]
            for region, count in UPSTREAMS.items()
        }
        self.hosts = [
            Host(
                f"{region}-{number}",
                region,
                RegionalCapacity(region, max_shift, Random(self.rng.random())),
            )
            for region in REGIONS
            for number in range(HOSTS_PER_REGION)
        ]
        for host in self.hosts:
            host.capacity.apply_config(has_bound_requests=True)
            self.after(self.rng.uniform(0.0, 1.0), partial(self.report, host))
        # Requests that upstreams began to run, by window, callers' region and region.
        self.runs: dict[int, dict[str, Counter[str]]] = {}
        # Events by their name, the kind of request and its region, and the window.
        self.counts: Counter[tuple[str, str, int]] = Counter()
        self.summaries_sent = 0

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._numbers), call))

    @property
    def window(self) -> int:
        return int((self.now_s - self.started_s) / WINDOW_S)

    def run(self, seconds: float, step_s: float = 0.01) -> None:
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += step_s
            while self._events and self._events[0][0] <= self.now_s:
                heapq.heappop(self._events)[2]()
            elapsed_s = self.now_s - self.started_s
            for kind, rate in enumerate(self.rates):
                expected = self.scale * rate(elapsed_s) * step_s
                count = int(expected) + (self.rng.random() < expected % 1.0)
                for _ in range(count):
                    allowed = frozenset(("west",) if kind else ())
                    self.handle(Request(self.rng.choice(self.hosts), allowed))

    def report(self, host: Host) -> None:
        self.after(REPORT_PERIOD_S, lambda: self.report(host))
        summary = host.capacity.own_summary(self.now_s)
        if summary is None:
            return
        for other in self.hosts:
            if other is host:
                continue
            self.summaries_sent += 1
            is_lost = self.rng.random() < self.loss_share
            if is_lost or host.is_cut_off or other.is_cut_off:
                continue
            apply = other.capacity.apply_summary
            self.after(LATENCY_S, partial(apply, host.name, host.region, summary))

    def note(self, event: str, request: Request) -> None:
        kind = "bound" if request.allowed else "flexible"
        self.counts[event, kind, self.window] += 1

    def total(self, event: str, kind: str, first: int = 0, last: int = 999) -> int:
        return sum(
            count
            for (name, of, window), count in self.counts.items()
            if name == event and of == kind and first <= window <= last
        )

    def handle(self, request: Request) -> None:
        self.note("retry" if request.is_retry else "new", request)
        host, now_s = request.host, self.now_s
        choice = host.capacity.begin()
        regions = set(request.allowed or REGIONS)
        avoided: set[str] = set()
        if host.capacity.is_active:
            avoided = host.capacity.avoided_regions(SERVICE, regions, choice, now_s)
        region = self.choose_region(host, regions - avoided or regions)
        if host.capacity.is_active:
            host.capacity.record_choice(SERVICE, regions, avoided, region, choice)
            if request.allowed:
                rejection = host.capacity.admit(SERVICE, region, choice, now_s)
                if rejection is not None:
                    is_for_shift = "shift" in rejection.detail
                    self.note("shift_rejected" if is_for_shift else "full", request)
                    self.come_back(request, rejection.retry_delay_s)
                    return
            host.capacity.record_sent(SERVICE, region, choice, now_s)
        # Hosts know the load of upstreams roughly, from the load reports in answers.
        upstream = min(
            self.rng.sample(self.upstreams[region], 2),
            key=lambda u: u.running + len(u.waiting),
        )
        self.after(LATENCY_S, lambda: self.arrive(request, upstream))

    def choose_region(self, host: Host, regions: set[str]) -> str:
        names = sorted(regions)
        weights = [
            UPSTREAMS[name] * (OWN_REGION_WEIGHT if name == host.region else 1.0)
            for name in names
        ]
        return self.rng.choices(names, weights)[0]

    def arrive(self, request: Request, upstream: Upstream) -> None:
        if upstream.running < SLOTS:
            self.begin(request, upstream)
        elif len(upstream.waiting) < QUEUE:
            upstream.waiting.append(request)
        else:
            self.note("shed", request)
            self.result(request, upstream, is_shed=True)
            self.come_back(request, 0.3)

    def begin(self, request: Request, upstream: Upstream) -> None:
        upstream.running += 1
        self.note(f"ran {upstream.region}", request)
        by_region = self.runs.setdefault(self.window, {})
        by_region.setdefault(request.host.region, Counter())[upstream.region] += 1
        work_s = WORK_S * self.rng.uniform(0.7, 1.3)
        upstream.slot_s += work_s
        self.after(work_s, lambda: self.end(request, upstream))

    def end(self, request: Request, upstream: Upstream) -> None:
        upstream.running -= 1
        self.result(request, upstream, is_shed=False)
        if upstream.waiting:
            self.begin(upstream.waiting.popleft(), upstream)

    def result(self, request: Request, upstream: Upstream, *, is_shed: bool) -> None:
        capacity = request.host.capacity
        is_queued = 2 * len(upstream.waiting) > SLOTS

        def record() -> None:
            if is_shed:
                capacity.record_shed(SERVICE, upstream.region, self.now_s)
            else:
                capacity.record_answered(
                    SERVICE, upstream.region, self.now_s, is_queued=is_queued
                )

        if capacity.is_active:
            self.after(LATENCY_S, record)

    def come_back(self, request: Request, delay_s: float) -> None:
        """Let a caller retry once, after a delay of up to a third of its time."""
        if not request.is_retry:
            again = Request(request.host, request.allowed, is_retry=True)
            delay_s = min(delay_s, CALLER_TIMEOUT_S / 3.0)
            self.after(2.0 * LATENCY_S + delay_s, lambda: self.handle(again))

    def shift(self, region: str, window: int) -> float:
        """Return the share of a region's requests that changed their region."""
        shares = []
        for number in (window - 1, window):
            runs = self.runs.get(number, {}).get(region, Counter())
            total = sum(runs.values())
            if not total:
                return 0.0
            shares.append({name: runs[name] / total for name in REGIONS})
        return sum(max(0.0, shares[1][name] - shares[0][name]) for name in REGIONS)
