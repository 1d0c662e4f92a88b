"""Load pattern: a service is scarce in one region of a small or large fleet.

Hosts exchange summaries, directly or through the gateways of their zones.
"""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from unittest import mock

import msgspec
from edge.support import config
from edge.support import upstream
from edge.test_gateways import Fleet

from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.placement import PlacementRequest
from cardamomquay.placement import RequestTiming
from cardamomquay.regional_capacity import Count
from cardamomquay.regional_capacity import RegionScarcity
from cardamomquay.traffic import Organisation
from cardamomquay_daemon.edge import Bounds
from cardamomquay_daemon.edge._regional_reports import SUMMARIES_MAX
from cardamomquay_daemon.edge._reports import Report
from cardamomquay_daemon.edge._reports import ScarcityReport

if TYPE_CHECKING:
    from edge.test_peers import Host

BOUND = Organisation("bound", allowed_regions=frozenset({"A"}))
SERVICE = "browse"
TIMING = RequestTiming(5.0, 5.0, 5.0)


def request(allowed: str) -> PlacementRequest:
    return PlacementRequest("r", SERVICE, "7", 1.0, frozenset(allowed))


class RegionalHosts(Fleet):
    """Fleet whose configuration binds an organisation to region A."""

    def __init__(self, **arguments: Any) -> None:
        with mock.patch("edge.test_peers.Bounds", lambda: Bounds(max_shift=0.15)):
            super().__init__(**arguments)
        organisations = {"bound": BOUND, **config().organisations}
        for host in self.hosts():
            host.state.config = replace(config(), organisations=organisations)
            host.eligibility.apply_config(self.clock.now_s())
            for zone in "abc":
                entry = upstream("127.0.0.1:1", f"{zone}-up", zone=zone)
                host.state.upstreams.put(entry)
                host.eligibility.apply_upstream_change(None, entry, 0.0)

    def shed_in_a(self, hosts: list[Host], count: int = 10) -> None:
        """Let upstreams of region A shed requests of some hosts."""
        now_s = self.clock.now_s()
        for host in hosts:
            for _ in range(count):
                host.eligibility.regions.record_shed(SERVICE, "A", now_s)

    def scarcities(self) -> list[RegionScarcity | None]:
        for host in self.hosts():
            host.peers.regional.record_telemetry()
        return [
            host.eligibility.regions.scarcity(SERVICE, "A") for host in self.hosts()
        ]


class SummariesTest(unittest.TestCase):
    """Guards against hosts that do not learn of the scarcity of a region."""

    def test_all_hosts_sum_the_same_counts(self) -> None:
        for hosts_per_zone in (4, 9):
            with self.subTest(hosts_per_zone=hosts_per_zone):
                fleet = RegionalHosts(hosts_per_zone=hosts_per_zone)
                fleet.run(3.0)
                fleet.shed_in_a(fleet.hosts()[:2])
                fleet.run(1.5)
                for scarcity in fleet.scarcities():
                    assert scarcity is not None
                    self.assertTrue(scarcity.is_scarce)
                    self.assertEqual(scarcity.counts[Count.SHED], 20)

    def test_they_learn_of_it_though_reports_are_lost(self) -> None:
        fleet = RegionalHosts(loss_share=0.2)
        fleet.run(5.0)
        for _ in range(6):
            fleet.shed_in_a(fleet.hosts()[:6])
            fleet.run(0.5)
            fleet.scarcities()
        self.assertTrue(all(s is not None and s.is_scarce for s in fleet.scarcities()))

    def test_old_summaries_are_not_used(self) -> None:
        fleet = RegionalHosts(hosts_per_zone=4)
        fleet.run(3.0)
        fleet.shed_in_a(3 * [fleet.network["a0"]])
        fleet.run(1.5)
        for shed in (30, 0):
            for scarcity in fleet.scarcities():
                assert scarcity is not None
                self.assertEqual(scarcity.counts[Count.SHED], shed)
            fleet.loss_share = 1.0
            fleet.run(2.1)

    def test_a_zone_that_is_cut_off_decides_alone(self) -> None:
        fleet = RegionalHosts()
        fleet.run(3.0)
        fleet.cut_zone = "c"
        for _ in range(6):
            fleet.shed_in_a([fleet.network["a0"], fleet.network["a1"]])
            fleet.run(0.5)
        knows = {
            host.fleet.own.zone: scarcity is not None
            for host, scarcity in zip(fleet.hosts(), fleet.scarcities(), strict=True)
        }
        self.assertEqual(knows, {"a": True, "b": True, "c": False})


class WireTest(unittest.TestCase):
    """Guards against reports that other versions misread, and against wrong ones."""

    def setUp(self) -> None:
        self.fleet = RegionalHosts(hosts_per_zone=2)
        self.fleet.run(3.0)

    def sent(self) -> list[bytes]:
        host = self.fleet.network["a0"]
        host.peers.report()
        sent, host.sent = host.sent, []
        return [data for data, _ in sent]

    def test_reports_without_scarcity_have_no_further_field(self) -> None:
        fields = len(msgspec.msgpack.decode(self.sent()[0]))
        self.assertEqual(fields, len(Report.__struct_fields__))

    def test_hosts_of_an_earlier_version_read_the_report(self) -> None:
        self.fleet.shed_in_a([self.fleet.network["a0"]])
        decoder = msgspec.msgpack.Decoder(Report)
        for data in self.sent():
            report = msgspec.msgpack.decode(data, type=ScarcityReport)
            self.assertIsNotNone(report.regional)
            self.assertGreater(decoder.decode(data).report_clock_ms, 0)

    def test_wrong_summaries_are_dropped_and_counted(self) -> None:
        self.fleet.shed_in_a([self.fleet.network["a0"]])
        sent = msgspec.msgpack.decode(self.sent()[0], type=ScarcityReport)
        receiver = self.fleet.network["b0"]
        entry = [0, 0, [1, 2, 3, 4, 5, 6, 7, 8, 9], []]
        for wrong in (
            7,
            "text",
            [[0]],
            [[0, -1, [], []]],
            [[0, 0, ["x"], []]],
            [[0, 0, [2**40], []]],
            [[0, 0, [1] * 1000, []]],
            [entry] * (SUMMARIES_MAX + 1),
        ):
            with self.subTest(wrong=str(wrong)[:40]):
                counters = receiver.telemetry.counters
                counted = counters.get("peers.regional_rejected", 0)
                sent.regional = wrong
                sent.report_clock_ms += 1
                data = msgspec.msgpack.encode(sent)
                receiver.peers.datagram_received(data, ("a0", 7000))
                self.assertEqual(counters["peers.regional_rejected"], counted + 1)

    def test_the_field_is_bounded(self) -> None:
        fleet = RegionalHosts()
        fleet.run(3.0)
        for host in fleet.hosts():
            regions = host.eligibility.regions
            for number in range(40):
                for _ in range(5):
                    now_s = fleet.clock.now_s()
                    regions.record_shed(f"s{number}", "A", now_s)
                    regions.record_answered("t", f"R{number}", now_s, is_queued=True)
        fleet.run(1.5)
        largest = 0
        for host in fleet.hosts():
            for peer in host.fleet.peers.values():
                host.peers.regional._sent_s.clear()
                entries = host.peers.regional.entries(peer, fleet.clock.now_s())
                largest = max(largest, len(msgspec.msgpack.encode(entries)))
        self.assertGreater(largest, 0)
        self.assertLess(largest, 600)


class ChoiceTest(unittest.TestCase):
    """Guards against requests that are sent to a region without room."""

    def setUp(self) -> None:
        self.fleet = RegionalHosts(hosts_per_zone=2)
        self.fleet.run(3.0)
        self.host = self.fleet.network["a0"]

    def overload_region_a(self, seconds: float) -> None:
        for _ in range(int(seconds / 0.1)):
            for _ in range(5):
                self.choose("A")
                now_s = self.fleet.clock.now_s()
                self.host.eligibility.regions.record_shed(SERVICE, "A", now_s)
            self.host.eligibility.regions.record_answered(
                SERVICE, "A", self.fleet.clock.now_s(), is_queued=True
            )
            self.fleet.run(0.1)

    def choose(self, allowed: str) -> Any:
        now_s = self.fleet.clock.now_s()
        choice = self.host.eligibility.regions.begin()
        return self.host.eligibility.choose(
            request(allowed), (), TIMING, now_s, region_choice=choice
        )

    def test_bound_requests_beyond_the_room_are_rejected_at_once(self) -> None:
        self.assertNotIsInstance(self.choose("A"), Refusal)
        self.overload_region_a(6.0)
        outcomes = [self.choose("A") for _ in range(100)]
        refusals = [result for result in outcomes if isinstance(result, Refusal)]
        self.assertGreater(len(refusals), 60)
        self.assertEqual(refusals[0].reason, RefusalReason.REGION_FULL)
        self.assertEqual(refusals[0].status, 503)
        self.assertTrue(refusals[0].not_run)
        self.assertGreater(refusals[0].effective_retry_after_s, 0.2)
        self.assertIn("region A", refusals[0].detail)

    def test_a_request_that_waits_for_its_object_is_decided_once(self) -> None:
        self.overload_region_a(6.0)
        now_s = self.fleet.clock.now_s()
        eligibility = self.host.eligibility
        while True:
            choice = eligibility.regions.begin()
            args = (request("A"), (), TIMING, now_s, None, choice)
            if not isinstance(eligibility.choose(*args), Refusal):
                break
        for _ in range(50):
            self.assertNotIsInstance(eligibility.choose(*args), Refusal)

    def test_other_requests_leave_the_region(self) -> None:
        before = [self.choose("").upstream.zone for _ in range(50)]
        self.overload_region_a(30.0)
        after = [self.choose("").upstream.zone for _ in range(50)]
        self.assertIn("a", before)
        self.assertNotIn("a", after)

    def test_nothing_is_decided_without_the_bound_in_the_settings(self) -> None:
        fleet = Fleet(hosts_per_zone=2)
        regions = fleet.network["a0"].eligibility.regions
        regions.apply_config(has_bound_requests=True)
        self.assertFalse(regions.is_active)

    def test_nothing_is_decided_without_bound_requests(self) -> None:
        self.host.state.config = config()
        self.host.eligibility.apply_config(self.fleet.clock.now_s())
        self.assertFalse(self.host.eligibility.regions.is_active)

    def test_a_change_is_logged(self) -> None:
        self.overload_region_a(3.0)
        self.host.peers.regional.record_telemetry()
        events = [
            fields
            for event, fields in self.host.telemetry.events
            if event == "region_scarcity"
        ]
        self.assertEqual(len(events), 1)
        self.assertTrue(events[0]["is_scarce"])
        self.assertEqual((events[0]["service"], events[0]["region"]), (SERVICE, "A"))


if __name__ == "__main__":
    unittest.main()
