"""Load pattern: reports that take 1 to 300 ms, or half a second, between hosts.

For each kind of state in the reports: what one host has found out does not grow younger
on its way over other hosts, and is no longer sent some time later.
"""

from __future__ import annotations

import unittest
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
from edge.support import upstream
from edge.test_circulating_observations import DelayingFleet

from cardamomquay.fleet import HostPhase
from cardamomquay_daemon.edge._reports import Report

if TYPE_CHECKING:
    from edge.test_peers import Host

HOSTS_PER_ZONE = (4, 9)
DELAYS_S = ((0.001, 0.3), (0.3, 0.6))
LIMIT_PER_S = 2.0
LIMIT_TIMEOUT_S = 15.0


class CountingFleet(DelayingFleet):
    """Fleet that counts what its reports contain, by field."""

    def __init__(self, hosts_per_zone: int, delays_s: tuple[float, float]) -> None:
        super().__init__(hosts_per_zone, delays_s=delays_s)
        self.counts: Counter[str] = Counter()

    def deliver(self, host: Host) -> None:
        for data, _ in host.sent:
            fields = dict(
                zip(
                    Report.__struct_fields__, msgspec.msgpack.decode(data), strict=False
                )
            )
            for name in ("now_warm", "warming", "rate_limits", "leaving"):
                self.counts[name] += len(fields[name])
        super().deliver(host)


class SilentStoreFleet(DelayingFleet):
    """Fleet in which one host alone reads the store, until a given time."""

    reader = "a0"
    read_until_s = float("inf")

    def confirm(self, host: Host, now_s: float) -> None:
        is_reading = host.address[0] == self.reader and now_s <= self.read_until_s
        if is_reading or host.state.orders_confirmed_s == float("-inf"):
            super().confirm(host, now_s)


class TimeOnTheWayTest(unittest.TestCase):
    """Guards against state that counts as newer at each host and never ends."""

    def fleets(self) -> list[CountingFleet]:
        fleets = []
        for hosts_per_zone in HOSTS_PER_ZONE:
            for delays_s in DELAYS_S:
                fleet = CountingFleet(hosts_per_zone, delays_s)
                entry = upstream("u:80", "i-1")
                for host in fleet.hosts():
                    host.state.upstreams.put(entry)
                    host.placement.record_of(entry)
                    host.eligibility.apply_upstream_change(
                        None, entry, fleet.clock.now_s()
                    )
                fleet.run(4.0)
                fleet.counts.clear()
                fleets.append(fleet)
        return fleets

    def assert_no_longer_sent(self, fleet: CountingFleet, name: str) -> None:
        self.assertGreater(fleet.counts[name], 0)
        fleet.counts.clear()
        fleet.run(5.0)
        self.assertEqual(fleet.counts[name], 0)

    def test_a_rate_limit_ends_everywhere_without_another_answer(self) -> None:
        for fleet in self.fleets():
            with self.subTest(hosts=len(fleet.hosts()), delays_s=fleet.delays_s):
                first = fleet.hosts()[0]
                first.eligibility.rate_limits.record_answer(
                    "i-1", LIMIT_PER_S, fleet.clock.now_s()
                )
                first.peers.report_urgently()
                fleet.run(3.0)
                for host in fleet.hosts():
                    limits = host.eligibility.rate_limits
                    self.assertEqual(limits.limit_per_s("i-1"), LIMIT_PER_S)
                fleet.run(LIMIT_TIMEOUT_S - 3.0)
                for host in fleet.hosts():
                    known = host.eligibility.rate_limits._known["i-1"]
                    age_s = fleet.clock.now_s() - known.latest.observed_s
                    self.assertGreaterEqual(age_s, LIMIT_TIMEOUT_S - 0.01)
                self.assert_no_longer_sent(fleet, "rate_limits")

    def test_a_leaving_upstream_is_reported_once_by_each_host(self) -> None:
        for fleet in self.fleets():
            with self.subTest(hosts=len(fleet.hosts()), delays_s=fleet.delays_s):
                first = fleet.hosts()[0]
                first.eligibility.notices.record_leaving(7, fleet.clock.now_s())
                first.peers.report_urgently()
                fleet.run(7.0)
                for host in fleet.hosts():
                    self.assertIn(7, host.eligibility.notices._leaving_s)
                    lines = [
                        name
                        for name, _ in host.telemetry.events
                        if name == "upstream_leaving"
                    ]
                    self.assertLessEqual(len(lines), 1)
                self.assert_no_longer_sent(fleet, "leaving")

    def test_a_first_request_for_an_object_is_reported_once(self) -> None:
        for fleet in self.fleets():
            with self.subTest(hosts=len(fleet.hosts()), delays_s=fleet.delays_s):
                first = fleet.hosts()[0]
                record = first.placement.record_of(upstream("u:80", "i-1"))
                first.warm_objects.record_warming(record, "i-1", 5, 2.0)
                first.peers.report_warm_objects()
                fleet.run(2.0)
                first.warm_objects.record_warm(record, "i-1", 5)
                fleet.run(3.0)
                # Not more than once to each host, and twice by way of a gateway.
                most = 2 * len(fleet.hosts())
                self.assertLessEqual(fleet.counts["warming"], 3 * most)
                self.assertLessEqual(fleet.counts["now_warm"], 2 * most)
                self.assert_no_longer_sent(fleet, "warming")

    def test_requests_are_counted_once(self) -> None:
        for fleet in self.fleets():
            with self.subTest(hosts=len(fleet.hosts()), delays_s=fleet.delays_s):
                for name in ("a1", "b2", "c3"):
                    fleet.admit(name, 5)
                    fleet.network[name].peers.report_urgently()
                fleet.run(5.0)
                for host in fleet.hosts():
                    for name in ("a1", "b2", "c3"):
                        if host.address[0] != name:
                            counted = fleet.counted(host.address[0], name)
                            self.assertEqual(counted, 5)

    def test_a_host_that_ended_is_not_kept_alive(self) -> None:
        for fleet in self.fleets():
            with self.subTest(hosts=len(fleet.hosts()), delays_s=fleet.delays_s):
                del fleet.network["b2"]
                fleet.run(5.5)
                for host in fleet.hosts():
                    peer = host.fleet.peers["b2"]
                    self.assertFalse(peer.is_live(fleet.clock.now_s()))

    def test_a_phase_reaches_all_hosts_and_is_not_undone(self) -> None:
        for fleet in self.fleets():
            with self.subTest(hosts=len(fleet.hosts()), delays_s=fleet.delays_s):
                fleet.network["b2"].fleet.own_phase = HostPhase.LEAVING
                fleet.run(5.0)
                for _ in range(20):
                    fleet.run(0.1)
                    for host in fleet.hosts():
                        if host.address[0] != "b2":
                            peer = host.fleet.peers["b2"]
                            self.assertIs(peer.phase, HostPhase.LEAVING)

    def test_evidence_from_the_store_grows_no_younger(self) -> None:
        for hosts_per_zone in HOSTS_PER_ZONE:
            for delays_s in DELAYS_S:
                with self.subTest(hosts_per_zone=hosts_per_zone, delays_s=delays_s):
                    fleet = SilentStoreFleet(hosts_per_zone, delays_s=delays_s)
                    fleet.run(5.0)
                    read_s = fleet.read_until_s = fleet.clock.now_s()
                    confirmed = [h.state.config_confirmed_s for h in fleet.hosts()]
                    # Some others have evidence from this one.
                    self.assertGreater(sorted(confirmed)[-2], read_s - 3.0)
                    for _ in range(20):
                        fleet.run(0.5)
                        for host in fleet.hosts():
                            state = host.state
                            for confirmed_s in (
                                state.config_confirmed_s,
                                state.orders_confirmed_s,
                                state.upstreams_confirmed_s,
                            ):
                                self.assertLessEqual(confirmed_s, read_s + 1e-6)


if __name__ == "__main__":
    unittest.main()
