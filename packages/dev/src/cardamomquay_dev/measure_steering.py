"""Measures failover between regions with shared budgets in a simulation."""

from __future__ import annotations

import json
import sys
from collections import defaultdict
from concurrent.futures import Future
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.admission import TokenBucket
from cardamomquay.config import Config
from cardamomquay.config import Link
from cardamomquay.config import RegionCapacity
from cardamomquay.leases import LeaseState
from cardamomquay.outcomes import Refusal
from cardamomquay.quota import TokenGrant
from cardamomquay.quota import TokenLender
from cardamomquay.quota import TokenRequest
from cardamomquay.quota import TokenTransport
from cardamomquay.reducer import Identity
from cardamomquay.steering import ShiftLimit
from cardamomquay.steering import TrafficBudgets
from cardamomquay.steering import budgets_of
from cardamomquay_dev.simulated_time import EventLoop

if TYPE_CHECKING:
    from cardamomquay.steering import BudgetReservation

REGIONS = ("a", "b", "c")
HOSTS_PER_REGION = 3
CAPACITY_PER_S = 100.0
# Links of 4 Gbit/s and 280 Mbit/s at a scale of 1:1000.
WIDE_BYTES_PER_S = 500_000.0
NARROW_BYTES_PER_S = 35_000.0
REQUEST_BYTES = 200
ANSWER_BYTES_RANGE = (400, 1600)
ANSWER_LATENCY_S = 0.1
LOCAL_DELAY_S = 0.0005
REMOTE_DELAY_S = 0.035
LOOKUP_TTL_S = 2.0
HOST_LIST_LIFETIME_S = 3 * LOOKUP_TTL_S
START_S = 5.0
DRAIN_AT_S = 10.0
LOSS_AT_S = 15.0
# Start and end of the outage.
STORE_OUTAGE_S = (13.0, 30.0)
# Time from the end of the outage until another host becomes the lender of the lost
# budgets. A new lender lends no tokens for `NEW_LENDER_DELAY_S` (1.25 s) after that.
TAKEOVER_S = 8.0
END_S = 40.0
LOAD_BIN_S = 0.1
# Requests per second in each region.
ORGANISATIONS = {"small": 6.0, "middle": 18.0, "large": 36.0}
WEIGHTS = {"small": 10.0, "middle": 20.0, "large": 30.0}
# In all but the last design, the hosts that lend the budgets of region b are lost.
DESIGNS = ("shared", "no_budgets", "static_split", "shared_lenders_kept")


def make_config() -> Config:
    """Return three regions, with a wide link between the first two only."""
    links = {}
    for one in REGIONS:
        for two in REGIONS:
            if one != two:
                wide = {one, two} == {"a", "b"}
                rate = WIDE_BYTES_PER_S if wide else NARROW_BYTES_PER_S
                links[f"{one}-{two}"] = Link(f"{one}-{two}", "x", one, two, rate)
    regions = {name: RegionCapacity(name, "x", CAPACITY_PER_S) for name in REGIONS}
    return Config(1, regions=regions, links=links)


@dataclass
class _Host:
    name: str
    region: str
    budgets: TrafficBudgets
    shift_limit: ShiftLimit
    buckets: dict[str, TokenBucket]


class _Transport(TokenTransport):
    def __init__(self, fleet: _Fleet, region: str) -> None:
        self._fleet = fleet
        self._region = region

    def borrow(self, request: TokenRequest) -> Future[TokenGrant]:
        return self._fleet.call_lender(self._region, request)


class _Fleet:
    """Simulated hosts with the product's budgets, and the load that they cause.

    `load` holds requests or bytes by resource (region or link) and interval of
    `LOAD_BIN_S`. `offered` and `served_remotely` count requests by region and second;
    the region is ``a`` for the hosts of region a, and ``caller a`` for its callers.
    """

    def __init__(self, design: str, seed: int) -> None:
        self.design = design
        self.random = Random(seed)
        self.loop = EventLoop()
        self.config = make_config()
        self.budgets = budgets_of(self.config)
        self.lenders = {r: self._make_lender(r, 1) for r in self.budgets}
        self.load: defaultdict[str, defaultdict[int, float]] = defaultdict(
            lambda: defaultdict(float)
        )
        self.offered: defaultdict[tuple[str, int], int] = defaultdict(int)
        self.served_remotely: defaultdict[tuple[str, int], int] = defaultdict(int)
        self.requested: defaultdict[str, int] = defaultdict(int)
        self.served: defaultdict[str, int] = defaultdict(int)
        self.refused: defaultdict[str, int] = defaultdict(int)
        self.hosts = [
            self._make_host(f"{region}{number}", region)
            for region in REGIONS
            for number in range(HOSTS_PER_REGION)
        ]
        for region in REGIONS:
            for organisation, rate_per_s in ORGANISATIONS.items():
                # One caller sends about 3 requests per second.
                for _ in range(round(rate_per_s / 3)):
                    caller = _Caller(self, region, organisation)
                    self.loop.at(START_S + self.random.random(), caller.send)
        self._maintain()

    def _make_lender(self, resource: str, fence: int) -> TokenLender:
        return TokenLender(
            resource,
            fence,
            self.budgets[resource].limit,
            lease=lambda: LeaseState(1, float("inf")),
            lease_fence=1,
            now_s=self.loop.now_s(),
        )

    def _make_host(self, name: str, region: str) -> _Host:
        identity = Identity(name, "run", region, "z", "a")
        transport = _Transport(self, region)
        budgets = TrafficBudgets(self.loop.clock, transport, identity, max_wait_s=0.0)
        budgets.apply(self.budgets)
        hosts = len(REGIONS) * HOSTS_PER_REGION
        buckets = {
            resource: TokenBucket(
                budget.limit.rate_per_s * max(1, budget.bytes_per_token) / hosts,
                max(1.0, budget.limit.burst * max(1, budget.bytes_per_token) / hosts),
                0.0,
            )
            for resource, budget in self.budgets.items()
        }
        shift_limit = ShiftLimit()
        shift_limit.set_weights(WEIGHTS)
        return _Host(name, region, budgets, shift_limit, buckets)

    def lose_lenders(self, region: str) -> None:
        """Lose the lenders of the budgets that belong to a region.

        Another host takes over when the store is available and the lease is reclaimed.
        """
        lost_resources = [r for r, b in self.budgets.items() if b.region == region]
        for resource in lost_resources:
            del self.lenders[resource]

        def take_over() -> None:
            for resource in lost_resources:
                self.lenders[resource] = self._make_lender(resource, 2)

        self.loop.at(STORE_OUTAGE_S[1] + TAKEOVER_S, take_over)

    def call_lender(self, region: str, request: TokenRequest) -> Future[TokenGrant]:
        fut: Future[TokenGrant] = Future()
        local = self.budgets[request.resource].region == region
        delay_s = LOCAL_DELAY_S if local else REMOTE_DELAY_S

        def arrive() -> None:
            lender = self.lenders.get(request.resource)
            if lender is not None:
                grant = lender.lend(request, self.loop.now_s())
                self.loop.after(delay_s, partial(fut.set_result, grant))

        self.loop.after(delay_s, arrive)
        return fut

    def _maintain(self) -> None:
        for host in self.hosts:
            host.budgets.maintain()
        self.loop.after(0.1, self._maintain)

    def request(self, host: _Host, organisation: str, caller_region: str) -> None:
        """Handle a request of a caller at a host."""
        now_s = self.loop.now_s()
        second = int(now_s)
        self.offered[f"caller {caller_region}", second] += 1
        self.requested[organisation] += 1
        self.offered[host.region, second] += 1
        host.shift_limit.record_request(now_s)
        region = self._choose_region(host, organisation, now_s)
        if region is None:
            self.refused[organisation] += 1
            return
        self.served[organisation] += 1
        self.served_remotely[host.region, second] += region != host.region
        self.served_remotely[f"caller {caller_region}", second] += (
            region != caller_region
        )

    def _choose_region(
        self, host: _Host, organisation: str, now_s: float
    ) -> str | None:
        home = host.region
        lost = home == "b" and now_s >= LOSS_AT_S
        draining = home == "a" and now_s >= DRAIN_AT_S
        if not lost and not draining and self._try_region(host, home, now_s):
            return home
        others = [r for r in self.config.reachable_regions(home) if r != home]
        # A draining region takes no requests of other regions, a lost one serves none.
        if now_s >= DRAIN_AT_S:
            others = [r for r in others if r != "a"]
        if now_s >= LOSS_AT_S:
            others = [r for r in others if r != "b"]
        limits_shift = self.design != "no_budgets"
        if not limits_shift or host.shift_limit.allow(organisation, now_s):
            for region in others:
                if self._try_region(host, region, now_s):
                    return region
            if limits_shift:
                host.shift_limit.cancel(organisation)
        # A draining region serves the requests that have not been shifted yet.
        return home if draining and self._try_region(host, home, now_s) else None

    def _try_region(self, host: _Host, region: str, now_s: float) -> bool:
        answer_bytes = self.random.randint(*ANSWER_BYTES_RANGE)
        links = {}
        if region != host.region:
            links[f"link.{host.region}.{region}"] = REQUEST_BYTES
            links[f"link.{region}.{host.region}"] = answer_bytes
        if self.design.startswith("shared"):
            reservation = host.budgets.reserve("r", region, REQUEST_BYTES, now_s + 1.0)
            if isinstance(reservation, Refusal):
                return False
            host.budgets.mark_sent(reservation)
            self.loop.after(
                ANSWER_LATENCY_S, partial(self._settle, host, reservation, answer_bytes)
            )
        elif self.design == "static_split":
            needs = {f"region.{region}": 1, **links}
            buckets = [(host.buckets[name], amount) for name, amount in needs.items()]
            for bucket, _ in buckets:
                bucket.refill(now_s)
            if any(bucket.level < amount for bucket, amount in buckets):
                return False
            for bucket, amount in buckets:
                bucket.level -= amount
        load_bin = int(now_s / LOAD_BIN_S)
        self.load[f"region.{region}"][load_bin] += 1
        for link, amount in links.items():
            carries_answer = link.endswith(f".{host.region}")
            self.load[link][
                load_bin + carries_answer * round(ANSWER_LATENCY_S / LOAD_BIN_S)
            ] += amount
        return True

    @staticmethod
    def _settle(host: _Host, reservation: BudgetReservation, answer_bytes: int) -> None:
        host.budgets.settle(reservation, answer_bytes)

    def result(self) -> dict[str, Any]:
        peaks = {}
        for resource, budget in sorted(self.budgets.items()):
            capacity = CAPACITY_PER_S
            if budget.bytes_per_token:
                link = "-".join(resource.split(".")[1:])
                capacity = self.config.links[link].cap_bytes_per_s
            bins = self.load[resource]
            bins_per_s = round(1.0 / LOAD_BIN_S)
            sums = (sum(bins[n + k] for k in range(bins_per_s)) for n in tuple(bins))
            peaks[resource] = round(max(sums, default=0.0) / capacity, 3)
        share = {
            name: self.served[name] / self.requested[name] for name in self.requested
        }
        return {
            "peak_of_capacity": peaks,
            "worst_region": max(v for k, v in peaks.items() if k[0] == "r"),
            "worst_link": max(v for k, v in peaks.items() if k[0] == "l"),
            "largest_step": max(self._largest_step(region) for region in REGIONS),
            "largest_caller_step": max(
                self._largest_step(f"caller {r}") for r in REGIONS
            ),
            "served_share": {name: round(share[name], 3) for name in sorted(share)},
            "worst_served_share": round(min(share.values()), 3),
            "served": sum(self.served.values()),
            "refused": dict(sorted(self.refused.items())),
        }

    def _largest_step(self, origin: str) -> float:
        """Return the largest growth of the remotely served share in one second.

        It is the difference between the shares of two successive seconds that have at
        least 20 requests each.
        """
        shares = {
            second: self.served_remotely[origin, second] / count
            for (name, second), count in tuple(self.offered.items())
            if name == origin and count >= 20
        }
        steps = [shares[s] - shares.get(s - 1, shares[s]) for s in shares]
        return round(max(steps, default=0.0), 3)


class _Caller:
    """Sends requests to the first host of a list, kept for three times its TTL."""

    def __init__(self, fleet: _Fleet, region: str, organisation: str) -> None:
        self._fleet = fleet
        self._region = region
        self._organisation = organisation
        self._hosts: list[_Host] = []
        # Spreads the times at which callers look up a new list.
        self._list_expires_s = START_S + fleet.random.uniform(0.0, HOST_LIST_LIFETIME_S)

    def send(self) -> None:
        fleet = self._fleet
        now_s = fleet.loop.now_s()
        if now_s >= self._list_expires_s or not self._hosts:
            # Look-ups return hosts of the next region in place of drained hosts.
            drained = self._region == "a" and now_s >= DRAIN_AT_S
            region = "b" if drained else self._region
            self._hosts = [h for h in fleet.hosts if h.region == region]
            if now_s >= self._list_expires_s:
                self._list_expires_s = now_s + HOST_LIST_LIFETIME_S
            # Skews the first host of a list, so one host gets most of the callers.
            skew = fleet.random.random() ** 2
            self._hosts = self._hosts[int(skew * len(self._hosts)) :]
        fleet.request(self._hosts[0], self._organisation, self._region)
        fleet.loop.after(fleet.random.expovariate(3.0), self.send)


def measure_steering(seed: int) -> dict[str, Any]:
    """Compare shared budgets with no budgets and with an equal static split.

    Region ``a`` is drained at 10 s. The upstreams of region ``b`` and the hosts that
    lend its budgets are lost at 15 s, while the store is unavailable from 13 s to 30 s.

    Parameters
    ----------
    seed : int

    Returns
    -------
    dict
        For each design: largest load of each region and link in any second as a share
        of its capacity, largest growth from one second to the next of the share of
        requests that another region serves (by the region of the hosts and by that of
        the callers), and the share of requests served, by organisation.
    """
    results = {}
    for design in DESIGNS:
        fleet = _Fleet(design, seed)
        if design != "shared_lenders_kept":
            fleet.loop.at(LOSS_AT_S, partial(fleet.lose_lenders, "b"))
        fleet.loop.run_until(END_S)
        results[design] = fleet.result()
    return results


if __name__ == "__main__":
    print(json.dumps(measure_steering(int((sys.argv[1:] or ["1"])[0])), indent=1))
