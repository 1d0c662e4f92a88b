"""Load pattern: a fleet in several zones, whose hosts share quotas of organisations.

Without gateways each host reports to all others, and most of the bytes between zones
are reports.
"""

from __future__ import annotations

import unittest
from random import Random
from typing import Any
from unittest import mock

from edge.support import config
from edge.support import upstream
from edge.test_peers import REGION_OF
from edge.test_peers import Host

from cardamomquay.clock import ManualClock
from cardamomquay.fleet import HostPhase
from cardamomquay_daemon.edge._host_digests import FORWARD_PERIOD_S
from cardamomquay_daemon.edge._peers import REPORT_PERIOD_S
from cardamomquay_daemon.edge._peers import ZONE_REPORT_LEAD_S

ZONES = ("a", "b", "c")
HOSTS_PER_ZONE = 9
STEP_S = 0.05


class Fleet:
    """Hosts of three zones with a manual clock and datagrams that may be lost."""

    def __init__(
        self, loss_share: float = 0.0, hosts_per_zone: int = HOSTS_PER_ZONE
    ) -> None:
        self.clock = ManualClock(100.0)
        self.network: dict[str, Any] = {}
        self.rng = Random(7)
        self.loss_share = loss_share
        self.cross_zone_datagrams = 0
        # Zone that gets no datagrams from the others, nor they from it.
        self.cut_zone = ""
        # Next times of `report`, `report_to_zone` and `forward`, by host.
        self.due: dict[str, list[float]] = {}
        for zone in ZONES:
            for number in range(hosts_per_zone):
                host = Host(f"{zone}{number}", self.clock, self.network, zone)
                self.start(host)
        for host in self.hosts():
            for other in self.hosts():
                host.peers._update_host(other.fleet.own)

    def hosts(self) -> list[Host]:
        return list(self.network.values())

    def start(self, host: Host) -> None:
        state = host.state
        state.orders_revision = state.upstreams_revision = 5
        name = host.fleet.own.name
        first_s = self.clock.now_s() + self.rng.uniform(0.0, 1.0)
        self.due[name] = [first_s, first_s + ZONE_REPORT_LEAD_S, first_s]

    def run(self, seconds: float) -> None:
        until_s = self.clock.now_s() + seconds
        while self.clock.now_s() < until_s:
            self.clock.advance(STEP_S)
            now_s = self.clock.now_s()
            for host in self.hosts():
                self.confirm(host, now_s)
                due = self.due[host.fleet.own.name]
                calls = (
                    (host.peers.report, REPORT_PERIOD_S),
                    (host.peers.report_to_zone, REPORT_PERIOD_S),
                    (host.peers.gateway.forward, FORWARD_PERIOD_S),
                )
                for index, (call, period_s) in enumerate(calls):
                    if now_s >= due[index]:
                        due[index] += period_s
                        call()
            for host in self.hosts():
                self.deliver(host)

    def confirm(self, host: Host, now_s: float) -> None:
        """Let a host read the store without finding a change."""
        host.state.config_confirmed_s = host.state.orders_confirmed_s = now_s
        host.state.upstreams_confirmed_s = now_s

    def deliver(self, host: Host) -> None:
        kept = []
        for data, name in host.sent:
            if name not in self.network:
                continue
            zones = {name[0], host.fleet.own.zone}
            self.cross_zone_datagrams += len(zones) > 1
            if len(zones) > 1 and self.cut_zone in zones:
                continue
            if self.rng.random() >= self.loss_share:
                kept.append((data, name))
        host.sent = kept
        host.deliver()

    def admit(self, name: str, count: int) -> None:
        host = self.network[name]
        organisation = config().organisations["salsa"]
        quota = host.eligibility.quotas["salsa"]
        for _ in range(count):
            quota.fill()
            host.eligibility.admit(organisation, self.clock.now_s())

    def counted(self, at: str, of: str) -> int:
        """Return how many requests of host `of` the host `at` has counted."""
        usage = self.network[at].eligibility.quotas["salsa"]._peers.get(of)
        return usage.total if usage else 0


class GatewaysTest(unittest.TestCase):
    """Guards against reports between zones that are lost or counted twice."""

    def assert_counted(self, fleet: Fleet, of: str, total: int) -> None:
        for host in fleet.hosts():
            at = host.fleet.own.name
            if at != of:
                self.assertEqual(fleet.counted(at, of), total, at)

    def test_all_hosts_are_known_as_ready_in_all_zones(self) -> None:
        fleet = Fleet()
        fleet.run(4.0)
        for host in fleet.hosts():
            live = host.fleet.live(fleet.clock.now_s())
            self.assertEqual(len(live), len(fleet.hosts()) - 1)
            self.assertTrue(all(peer.phase is HostPhase.READY for peer in live))

    def test_one_host_of_each_zone_is_its_gateway(self) -> None:
        fleet = Fleet()
        fleet.run(4.0)
        now_s = fleet.clock.now_s()
        gateways = {
            h.fleet.own.name for h in fleet.hosts() if h.fleet.is_gateway(now_s)
        }
        self.assertEqual(sorted(name[0] for name in gateways), list(ZONES))
        for name in gateways:
            others = fleet.network[name].fleet.other_gateways(now_s)
            self.assertEqual({p.record.name for p in others}, gateways - {name})

    def test_a_change_of_the_gateway_is_logged(self) -> None:
        fleet = Fleet()
        fleet.run(4.0)
        now_s = fleet.clock.now_s()
        for host in fleet.hosts():
            changes = [
                fields["is_gateway"]
                for name, fields in host.telemetry.events
                if name == "zone_gateway"
            ]
            is_gateway = host.fleet.is_gateway(now_s)
            self.assertEqual(changes[-1] if changes else False, is_gateway)

    def test_few_datagrams_cross_zones(self) -> None:
        fleet = Fleet()
        fleet.run(6.0)
        fleet.cross_zone_datagrams = 0
        fleet.run(10.0)
        # Three gateways report to two others each, in every round.
        rounds = 10.0 / FORWARD_PERIOD_S
        self.assertLessEqual(fleet.cross_zone_datagrams, 1.1 * 6 * rounds)

    def test_requests_are_counted_in_all_zones_within_a_second(self) -> None:
        fleet = Fleet()
        fleet.run(5.0)
        for name in ("a3", "b7", "c1"):
            fleet.admit(name, 6)
            fleet.network[name].peers.report_urgently()
        fleet.run(1.0)
        for name in ("a3", "b7", "c1"):
            self.assert_counted(fleet, name, 6)

    def test_requests_are_counted_though_datagrams_are_lost(self) -> None:
        fleet = Fleet(loss_share=0.1)
        fleet.run(5.0)
        fleet.admit("b2", 4)
        fleet.run(3.0)
        self.assert_counted(fleet, "b2", 4)

    def test_another_host_replaces_a_dead_gateway_within_a_second(self) -> None:
        # Soak seed 604 with 30 hosts: 265 requests ran with a quota of 262, 69 of them
        # in a second in which two hosts of different zones got no reports of each
        # other.
        fleet = Fleet()
        fleet.run(5.0)
        now_s = fleet.clock.now_s()
        dead = [h.fleet.own.name for h in fleet.hosts() if h.fleet.is_gateway(now_s)]
        for name in dead:
            del fleet.network[name]
        fleet.run(0.5)
        name = "a3" if "a3" in fleet.network else "a4"
        fleet.admit(name, 5)
        fleet.run(1.0)
        self.assert_counted(fleet, name, 5)

    def test_a_restarted_host_is_charged_once_and_from_zero(self) -> None:
        fleet = Fleet()
        fleet.run(5.0)
        fleet.admit("b4", 8)
        fleet.run(2.0)
        before = fleet.network["b4"]
        after = Host("b4", fleet.clock, fleet.network, "b")
        after.peers._incarnation = before.peers._incarnation + 1
        fleet.start(after)
        for host in fleet.hosts():
            after.peers._update_host(host.fleet.own)
        fleet.run(1.0)
        fleet.admit("b4", 3)
        fleet.run(2.0)
        self.assert_counted(fleet, "b4", 3)

    def test_reports_before_the_configuration_do_not_stop_the_counting(
        self,
    ) -> None:
        # Soak seed 601 with 30 hosts: 343 requests ran with a quota of 262, 35 a second
        # at each of two hosts. Each ignored the totals of the other, since it had no
        # full list of them.
        fleet = Fleet()
        fleet.run(5.0)
        fleet.admit("b4", 8)
        fleet.run(1.0)
        after = Host("a2", fleet.clock, fleet.network, "a")
        after.peers._incarnation += 1
        loaded, after.state.config = after.state.config, None
        fleet.start(after)
        for host in fleet.hosts():
            after.peers._update_host(host.fleet.own)
        after.state.orders_confirmed_s = fleet.clock.now_s()
        after.peers.report()
        fleet.run(0.5)
        after.state.config = loaded
        fleet.admit("b4", 2)
        fleet.run(1.0)
        before = fleet.counted("a2", "b4")
        fleet.admit("b4", 5)
        fleet.run(1.0)
        self.assertEqual(fleet.counted("a2", "b4") - before, 5)

    def test_a_late_digest_of_the_earlier_start_changes_nothing(self) -> None:
        fleet = Fleet()
        fleet.run(5.0)
        peer = fleet.network["a1"].fleet.peers["b4"]
        late = fleet.network["b5"].peers.gateway.digests.take_due(
            of_own_zone=True, now_s=fleet.clock.now_s() + 2.0
        )
        digest = next(d for d in late if d.incarnation == peer.incarnation)
        peer.former_incarnation, peer.incarnation = peer.incarnation, 77
        digest.report_clock_ms += 5_000
        fleet.network["a1"].peers._apply_digest(
            digest, fleet.clock.now_s(), is_forwarded=True
        )
        self.assertEqual(peer.incarnation, 77)

    def test_a_silent_host_is_not_kept_alive_by_digests(self) -> None:
        fleet = Fleet()
        fleet.run(5.0)
        now_s = fleet.clock.now_s()
        name = next(
            f"c{number}"
            for number in range(HOSTS_PER_ZONE)
            if not fleet.network[f"c{number}"].fleet.is_gateway(now_s)
        )
        del fleet.network[name]
        fleet.run(4.5)
        for host in fleet.hosts():
            self.assertFalse(host.fleet.peers[name].is_live(fleet.clock.now_s()))


class WarmObjectsTest(unittest.TestCase):
    """Guards against first requests that each host reports to its whole region.

    Load pattern: all upstreams are cold after a start of a large fleet, and each first
    request for an object has to be known in the region before the next one arrives.
    """

    def setUp(self) -> None:
        # Zones `a` and `b` are in one region.
        regions = mock.patch.dict(REGION_OF, {"b": REGION_OF["a"]})
        regions.start()
        self.addCleanup(regions.stop)
        self.fleet = Fleet()
        for host in self.fleet.hosts():
            host.state.upstreams.put(upstream("u:80", "i-1"))
            host.placement.record_of(upstream("u:80", "i-1"))
        self.fleet.run(5.0)

    def warming_at(self) -> set[str]:
        """Return the hosts that know of the first request for object 7."""
        now_s = self.fleet.clock.now_s()
        entry = upstream("u:80", "i-1")
        return {
            host.fleet.own.name
            for host in self.fleet.hosts()
            if host.placement.record_of(entry).warm_at_s(7, now_s) is not None
        }

    def test_a_first_request_is_known_in_the_region_after_two_rounds(self) -> None:
        sender = self.fleet.network["a3"]
        entry = upstream("u:80", "i-1")
        record = sender.placement.record_of(entry)
        sender.warm_objects.record_warming(record, "i-1", 7, 2.0)
        sender.peers.report_warm_objects()
        receivers = {name for _, name in sender.sent}
        self.assertLessEqual(len(receivers), HOSTS_PER_ZONE)
        self.fleet.run(2 * FORWARD_PERIOD_S)
        region = {
            h.fleet.own.name for h in self.fleet.hosts() if h.fleet.own.zone != "c"
        }
        self.assertEqual(self.warming_at(), region)

    def test_only_the_reader_reports_to_the_zone_between_periods(self) -> None:
        now_s = self.fleet.clock.now_s()
        for host in self.fleet.hosts():
            host.sent.clear()
            host.peers.report_to_zone()
            is_reader = host.fleet.is_reader(now_s)
            expected = HOSTS_PER_ZONE - 1 if is_reader else 1
            self.assertEqual(len(host.sent), expected, host.fleet.own.name)

    def test_a_host_that_is_not_the_gateway_forwards_no_entries(self) -> None:
        now_s = self.fleet.clock.now_s()
        for host in self.fleet.hosts():
            if host.fleet.own.zone != "b" or host.fleet.is_gateway(now_s):
                continue
            host.sent.clear()
            host.peers.gateway.forward_warm_objects([1, 2], [], now_s)
            host.peers.gateway.forward()
            self.assertEqual(host.sent, [])
