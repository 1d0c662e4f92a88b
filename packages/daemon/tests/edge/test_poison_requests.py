"""Load pattern: a request that ends each upstream comes at another host each time."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import msgspec
from edge.test_gateways import Fleet
from edge.test_peers import Host

from cardamomquay_daemon.edge._reports import Report

if TYPE_CHECKING:
    from cardamomquay.fleet_limits import PoisonRequests

DEADLY = 0xDEADC0DE12345678
POPULAR = 77
# Hosts of all zones have to stop sending a request this long after its third crash.
KNOWN_EVERYWHERE_S = 4.0
LOSS = 0.05


def requests_of(host: Host) -> PoisonRequests:
    return host.poison_guard.requests


class PoisonReportsTest(unittest.TestCase):
    """Guards against hosts that do not know what has crashed upstreams elsewhere."""

    def record_crash(self, host: Host, upstream: int, request: int = DEADLY) -> None:
        requests_of(host).record_crash(request, upstream, 0.1, host.clock.now_s())
        host.peers.report_urgently()

    def crash_at_three_hosts(self, fleet: Fleet) -> None:
        """Let the request crash an upstream at hosts of three zones."""
        first_of_zone = {host.fleet.own.zone: host for host in fleet.hosts()}
        for upstream, host in enumerate(first_of_zone.values()):
            self.record_crash(host, upstream)
            fleet.run(0.5)

    def test_three_crashes_at_different_hosts_quarantine_a_request_on_all(
        self,
    ) -> None:
        for hosts_per_zone in (4, 9):
            with self.subTest(hosts_per_zone=hosts_per_zone):
                fleet = Fleet(LOSS, hosts_per_zone)
                fleet.run(3.0)
                self.crash_at_three_hosts(fleet)
                fleet.run(KNOWN_EVERYWHERE_S - 0.5)
                for host in fleet.hosts():
                    left_s = requests_of(host).quarantine_left_s(
                        DEADLY, fleet.clock.now_s()
                    )
                    self.assertGreater(left_s, 50.0, host.address)

    def test_an_answer_at_one_host_clears_the_request_on_all(self) -> None:
        for hosts_per_zone in (4, 9):
            with self.subTest(hosts_per_zone=hosts_per_zone):
                fleet = Fleet(LOSS, hosts_per_zone)
                fleet.run(3.0)
                for upstream in (1, 2):
                    self.record_crash(fleet.hosts()[upstream], upstream, POPULAR)
                    fleet.run(2.0)
                last = fleet.hosts()[-1]
                self.assertEqual(requests_of(last).crash_count(POPULAR), 2)
                requests_of(last).record_answer(POPULAR, fleet.clock.now_s())
                last.peers.report_urgently()
                fleet.run(KNOWN_EVERYWHERE_S)
                for host in fleet.hosts():
                    count = requests_of(host).crash_count(POPULAR)
                    self.assertEqual(count, 0, host.address)

    def test_a_host_that_starts_learns_of_the_quarantine(self) -> None:
        for hosts_per_zone in (4, 9):
            with self.subTest(hosts_per_zone=hosts_per_zone):
                fleet = Fleet(hosts_per_zone=hosts_per_zone)
                fleet.run(3.0)
                self.crash_at_three_hosts(fleet)
                # Long after the crashes are no longer reported.
                fleet.run(10.0)
                former = fleet.hosts()[1]
                after = Host(
                    former.address[0],
                    fleet.clock,
                    fleet.network,
                    former.fleet.own.zone,
                )
                after.peers._incarnation += 1
                after.state.orders_confirmed_s = fleet.clock.now_s()
                fleet.start(after)
                for host in fleet.hosts():
                    after.peers._update_host(host.fleet.own)
                after.peers.report()
                fleet.run(1.5)
                left_s = requests_of(after).quarantine_left_s(
                    DEADLY, fleet.clock.now_s()
                )
                self.assertGreater(left_s, 40.0)

    def test_reports_of_an_earlier_version_are_understood(self) -> None:
        fleet = Fleet(hosts_per_zone=4)
        fleet.run(1.0)
        host = fleet.hosts()[0]
        self.record_crash(host, 1)
        data, name = host.sent[0]
        before = Report.__struct_fields__.index("crashes")
        shorter = msgspec.msgpack.encode(msgspec.msgpack.decode(data)[:before])
        receiver = fleet.network[name]
        receiver.peers.datagram_received(shorter, host.address)
        self.assertNotIn("peers.malformed", receiver.telemetry.counters)
        self.assertEqual(requests_of(receiver).crash_count(DEADLY), 0)

    def test_an_age_that_is_no_age_is_harmless(self) -> None:
        fleet = Fleet(hosts_per_zone=4)
        guard = fleet.hosts()[0].poison_guard
        guard.apply_unidentified_entries([DEADLY, 1, -5_000, DEADLY, 2, 2**60, 9])
        self.assertLessEqual(guard.requests.crash_count(DEADLY), 1)
        now_s = fleet.clock.now_s()
        self.assertEqual(guard.requests.quarantine_left_s(DEADLY, now_s), 0.0)


if __name__ == "__main__":
    unittest.main()
