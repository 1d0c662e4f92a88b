"""Load pattern: upstreams in trouble name limits of a few requests a second.

Every host of the fleet has requests for them, none of which by itself exceeds a limit.
"""

from __future__ import annotations

import unittest
from collections import deque
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from edge.support import upstream
from edge.test_gateways import STEP_S
from edge.test_gateways import Fleet

from cardamomquay.outcomes import Refusal
from cardamomquay.placement import PlacementRequest
from cardamomquay.placement import RequestTiming

if TYPE_CHECKING:
    from edge.test_peers import Host

    from cardamomquay.traffic import Upstream

UPSTREAMS = 16
OBJECTS = 60
REQUESTS_PER_S = 90.0
ANSWER_S = 0.2
# What an upstream tolerates, from `GRACE_S` after it first named its limit: in any
# window, one and a half times the limit and a few requests more. Requests of a host
# count from `TOLD_S` after it has passed on an answer that names the limit.
WINDOW_S = 4.0
GRACE_S = 4.0
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5
TOLD_S = 0.5
ROUNDING_S = 1e-6


@dataclass(frozen=True)
class Sent:
    """A request that a host has sent to an upstream."""

    at_s: float
    host: str
    instance: str


class LimitedLoad:
    """Callers' requests to a fleet, some of whose upstreams name a limit.

    `limits` may change during a run; an upstream names its current limit in each
    answer.
    """

    def __init__(self, fleet: Fleet, requests_per_s: float = REQUESTS_PER_S) -> None:
        self.fleet = fleet
        self.rng = Random(11)
        self.requests_per_s = requests_per_s
        self.limits: dict[str, float] = {}
        self.named_s: dict[str, float] = {}
        self.told_s: dict[tuple[str, str], float] = {}
        self.sent: list[Sent] = []
        self.refused = 0
        self.upstreams = [
            upstream("u:80", f"i-{number}", zone="abc"[number % 3])
            for number in range(UPSTREAMS)
        ]
        self._answers: deque[tuple[float, Host, Upstream]] = deque()
        # Hosts that neither handle requests nor send or receive reports.
        self.paused: set[str] = set()
        for host in fleet.hosts():
            self.add_upstreams(host)

    def add_upstreams(self, host: Host) -> None:
        for entry in self.upstreams:
            host.state.upstreams.put(entry)
            host.eligibility.apply_upstream_change(
                None, entry, self.fleet.clock.now_s()
            )

    def run(self, seconds: float) -> None:
        until_s = self.fleet.clock.now_s() + seconds
        while self.fleet.clock.now_s() < until_s - ROUNDING_S:
            self.fleet.run(STEP_S)
            self._deliver_answers()
            hosts = [h for h in self.fleet.hosts() if h.address[0] not in self.paused]
            mean = self.requests_per_s * STEP_S
            for _ in range(int(mean + self.rng.random())):
                self._request(self.rng.choice(hosts))

    def _request(self, host: Host) -> None:
        now_s = self.fleet.clock.now_s()
        # A few objects make up most of the requests.
        object_key = f"o{int(OBJECTS * self.rng.random() ** 2)}"
        request = PlacementRequest("r", "browse", object_key, 0.5, frozenset())
        timing = RequestTiming(3.0, 0.5, 3.0)
        candidate = host.eligibility.choose(request, (), timing, now_s)
        if isinstance(candidate, Refusal):
            self.refused += 1
            return
        entry = candidate.upstream
        host.eligibility.record_sent(entry, now_s)
        host.placement.record_of(entry).in_flight += 1
        self.sent.append(Sent(now_s, host.address[0], entry.instance))
        self._answers.append((now_s + ANSWER_S, host, entry))

    def _deliver_answers(self) -> None:
        now_s = self.fleet.clock.now_s()
        while self._answers and self._answers[0][0] <= now_s:
            _, host, entry = self._answers.popleft()
            host.placement.record_of(entry).in_flight -= 1
            per_s = self.limits.get(entry.instance)
            if per_s is not None:
                self.named_s.setdefault(entry.instance, now_s)
                self.told_s.setdefault((host.address[0], entry.instance), now_s)
            if host.eligibility.rate_limits.record_answer(entry.instance, per_s, now_s):
                host.peers.report_urgently()

    def count(self, instance: str, from_s: float, until_s: float) -> int:
        """Return the number of requests that an upstream got in a time."""
        return sum(
            sent.instance == instance and from_s <= sent.at_s < until_s
            for sent in self.sent
        )

    def worst_window(self, instance: str) -> int:
        """Return the most requests from hosts that knew the limit in any window."""
        begin_s = self.named_s[instance] + GRACE_S
        times_s = [
            sent.at_s
            for sent in self.sent
            if sent.instance == instance
            and sent.at_s
            >= self.told_s.get((sent.host, instance), float("inf")) + TOLD_S
        ]
        worst = 0
        for end_s in times_s:
            if end_s >= begin_s:
                worst = max(
                    worst, sum(end_s - WINDOW_S < at_s <= end_s for at_s in times_s)
                )
        return worst


def tolerated(per_s: float) -> int:
    """Return the requests that an upstream tolerates in a window."""
    return int(TOLERATED_FACTOR * per_s * WINDOW_S + TOLERATED_REQUESTS)


class UpstreamRateLimitTest(unittest.TestCase):
    """Guards against more requests to an upstream than the limit that it has named."""

    def assert_within_limits(self, load: LimitedLoad) -> None:
        for instance, per_s in load.limits.items():
            self.assertLessEqual(
                load.worst_window(instance), tolerated(per_s), (instance, per_s)
            )

    def test_a_small_fleet_keeps_to_the_limit(self) -> None:
        load = LimitedLoad(Fleet(hosts_per_zone=4))
        load.run(3.0)
        load.limits = {"i-3": 1.8, "i-7": 2.4}
        load.run(15.0)
        self.assert_within_limits(load)

    def test_a_large_fleet_keeps_to_the_limit(self) -> None:
        load = LimitedLoad(Fleet(hosts_per_zone=9))
        load.run(3.0)
        load.limits = {"i-3": 1.8, "i-7": 2.4}
        load.run(15.0)
        self.assert_within_limits(load)
