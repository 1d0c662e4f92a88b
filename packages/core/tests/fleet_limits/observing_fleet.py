"""Hosts that pass on observations over a simulated network."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from random import Random
from typing import Any

from cardamomquay.fleet_limits import CLEARED
from cardamomquay.fleet_limits import CRASHED
from cardamomquay.fleet_limits import PoisonRequests
from cardamomquay.gossip import Observation
from cardamomquay.gossip import ObservationLog
from cardamomquay.gossip import encode_observations

DELAY_MIN_S = 0.001
DELAY_MAX_S = 0.3
REPORT_PERIOD_S = 1.0
# Gateways forward what they have learned this often.
FORWARD_PERIOD_S = 0.1
OBSERVATIONS_MAX = 40


class ObservingHost:
    """One host, whose clock has any origin."""

    def __init__(self, name: int, zone: int, origin: int, clock_offset_s: float):
        self.name = name
        self.zone = zone
        self.clock_offset_s = clock_offset_s
        self.log = ObservationLog(origin, (CRASHED, CLEARED))
        self.requests = PoisonRequests(self.log)
        # How often each observation was taken as new.
        self.learned: Counter[tuple[int, int]] = Counter()
        # True times.
        self.learned_s: dict[tuple[int, int], float] = {}
        self.sent_until_s: dict[tuple[int, int], float] = {}
        self.has_stepped = False

    def clock_s(self, now_s: float) -> float:
        return now_s + self.clock_offset_s


class ObservingFleet:
    """Hosts in zones, which report each second and at once after an observation.

    Hosts of a zone report to each other, and the first hosts of the zones, which act as
    gateways, to each other. Reports are delayed, lost or delivered twice.
    """

    def __init__(
        self,
        host_count: int,
        zone_count: int = 1,
        seed: int = 1,
        loss_share: float = 0.02,
        duplicate_share: float = 0.1,
    ) -> None:
        self.rng = Random(seed)
        self.loss_share = loss_share
        self.duplicate_share = duplicate_share
        self.now_s = 0.0
        self.entries_sent = 0
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Any]] = []
        self._next_origin = 1
        self._zone_count = zone_count
        self.hosts = [self._new_host(i, i % zone_count) for i in range(host_count)]
        for host in self.hosts:
            self._schedule_reports(host)

    def _new_host(self, name: int, zone: int) -> ObservingHost:
        self._next_origin += 1
        offset_s = self.rng.uniform(0.0, 1e6)
        return ObservingHost(name, zone, self._next_origin, offset_s)

    def _schedule_reports(self, host: ObservingHost) -> None:
        self._at(self.now_s + self.rng.uniform(0.0, REPORT_PERIOD_S), host, "report")
        if self._is_gateway(host):
            self._at(self.now_s + FORWARD_PERIOD_S, host, "forward")

    def _at(self, at_s: float, host: ObservingHost, what: Any) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), (host, what)))

    def _is_gateway(self, host: ObservingHost) -> bool:
        return host.name < self._zone_count > 1

    def run(self, seconds: float) -> None:
        until_s = self.now_s + seconds
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, (host, what) = heapq.heappop(self._events)
            if self.hosts[host.name] is not host:
                continue
            if what == "report":
                self.report(host)
                self._at(self.now_s + REPORT_PERIOD_S, host, what)
            elif what == "forward":
                self.report(host)
                self._at(self.now_s + FORWARD_PERIOD_S, host, what)
            else:
                self._receive(host, *what)
        self.now_s = until_s

    def report(self, host: ObservingHost) -> None:
        clock_s = host.clock_s(self.now_s)
        if not host.log._sent:
            return
        others = [other for other in self.hosts if other.zone == host.zone]
        if self._is_gateway(host):
            others += [o for o in self.hosts[: self._zone_count] if o is not host]
        for other in others:
            if other is host:
                continue
            chosen = host.log.take(
                str(other.name),
                lambda source, other=other: self._passes_on(host, other, source),
                clock_s,
                OBSERVATIONS_MAX,
            )
            if chosen:
                self._send(host, other, chosen)

    def _passes_on(
        self, host: ObservingHost, receiver: ObservingHost, source: str | None
    ) -> bool:
        if source is None:
            return True
        sender = self.hosts[int(source)]
        return (sender.zone != host.zone) != (receiver.zone != host.zone)

    def _send(
        self, host: ObservingHost, receiver: ObservingHost, chosen: list[Observation]
    ) -> None:
        for observation in chosen:
            host.sent_until_s[observation.identity] = self.now_s
        self.entries_sent += len(chosen)
        entries = encode_observations(chosen, host.clock_s(self.now_s))
        for _ in range(1 + (self.rng.random() < self.duplicate_share)):
            if self.rng.random() < self.loss_share:
                continue
            delay_s = self.rng.uniform(DELAY_MIN_S, DELAY_MAX_S)
            # The bound comes from the time to the sender and back.
            transit_max_s = delay_s + self.rng.uniform(DELAY_MIN_S, DELAY_MAX_S)
            what = (entries, host.name, transit_max_s)
            self._at(self.now_s + delay_s, receiver, what)

    def _receive(
        self,
        host: ObservingHost,
        entries: list[int],
        source: int,
        transit_max_s: float,
    ) -> None:
        clock_s = host.clock_s(self.now_s)
        for observation in host.log.apply_entries(
            entries, str(source), transit_max_s, clock_s
        ):
            host.learned[observation.identity] += 1
            host.learned_s[observation.identity] = self.now_s
            host.requests.apply(observation, clock_s)

    def crash(
        self, host: ObservingHost, request: int, upstream: int, ran_s: float = 0.05
    ) -> None:
        """Let an upstream end while a host has a request there."""
        if host.requests.record_crash(
            request, upstream, ran_s, host.clock_s(self.now_s)
        ):
            self.report(host)

    def answer(self, host: ObservingHost, request: int) -> None:
        if host.requests.record_answer(request, host.clock_s(self.now_s)):
            self.report(host)

    def restart(self, index: int) -> ObservingHost:
        """Let a host start anew; the others send it what is quarantined."""
        former = self.hosts[index]
        host = self.hosts[index] = self._new_host(former.name, former.zone)
        self._schedule_reports(host)
        for other in self.hosts:
            clock_s = other.clock_s(self.now_s)
            chosen = other.requests.crashes_of_quarantined(clock_s)
            chosen += other.log.latest(clock_s, OBSERVATIONS_MAX)
            if other is not host and other.zone == host.zone and chosen:
                # Not counted as sent on; it goes to one host, once.
                entries = encode_observations(dict.fromkeys(chosen), clock_s)
                delay_s = self.rng.uniform(DELAY_MIN_S, DELAY_MAX_S)
                self._at(self.now_s + delay_s, host, (entries, other.name, 2 * delay_s))
        return host

    def step_clock(self, host: ObservingHost, step_s: float) -> None:
        host.clock_offset_s += step_s
        host.has_stepped = True
