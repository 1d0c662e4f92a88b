from __future__ import annotations

import unittest

from cardamomquay.fleet import FleetView
from cardamomquay.fleet import HostPhase
from cardamomquay.fleet import HostRecord

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}


def record(name: str, zone: str) -> HostRecord:
    return HostRecord(name, f"{name}:80", name, 7000, zone, REGIONS[zone])


class CallerAddressesTest(unittest.TestCase):
    """Guards against callers sent to dead hosts or to another region."""

    def setUp(self) -> None:
        self.view = FleetView(record("h0", "a1"))
        self.view.own_phase = HostPhase.READY
        for name, zone in (("h1", "a1"), ("h2", "a2"), ("h3", "b1")):
            peer = self.view.update_host(record(name, zone))
            assert peer is not None
            peer.phase = HostPhase.READY
            peer.last_report_s = 0.0

    def test_zone_before_region(self) -> None:
        self.assertEqual(self.view.addresses_for("a1", "a", 1.0), ["h0:80", "h1:80"])
        self.assertEqual(
            self.view.addresses_for("a2", "a", 1.0), ["h0:80", "h1:80", "h2:80"]
        )
        self.assertEqual(self.view.addresses_for("b1", "b", 1.0), ["h3:80"])

    def test_hosts_without_recent_reports_are_left_out(self) -> None:
        self.assertEqual(self.view.addresses_for("a2", "a", 4.0), ["h0:80"])
        self.assertEqual(self.view.addresses_for("b1", "b", 4.0), ["h0:80"])

    def test_leaving_hosts_are_left_out(self) -> None:
        self.view.peers["h1"].phase = HostPhase.LEAVING
        self.view.own_phase = HostPhase.LEAVING
        self.assertEqual(self.view.addresses_for("a1", "a", 1.0), ["h2:80"])

    def test_a_replaced_host_is_not_live_before_its_first_report(self) -> None:
        moved = HostRecord("h1", "new:80", "new", 7000, "a1", "a")
        peer = self.view.update_host(moved)
        assert peer is not None
        self.assertFalse(peer.is_live(0.1))
        self.assertIsNone(self.view.update_host(self.view.own))

    def test_hosts_without_recent_reports_count_when_limits_are_divided(self) -> None:
        self.assertEqual(self.view.live(4.0), [])
        self.assertEqual(self.view.host_count(4.0), 4)
        self.assertEqual(self.view.host_count(30.0), 1)


class ReadersTest(unittest.TestCase):
    """Guards against eighty hosts that each read the same changes from the store."""

    ZONES = tuple(f"z{index}" for index in range(8))
    NAMES = tuple((f"h{number}", f"z{number % 8}") for number in range(80))

    def view_of(self, name: str, zone: str, now_s: float) -> FleetView:
        own = HostRecord(name, f"{name}:80", name, 7000, zone, "a")
        view = FleetView(own)
        view.own_phase = HostPhase.READY
        for other, other_zone in self.NAMES:
            record = HostRecord(other, f"{other}:80", other, 7000, other_zone, "a")
            peer = view.update_host(record)
            if peer is not None:
                peer.phase = HostPhase.READY
                peer.last_report_s = peer.orders_confirmed_s = now_s
        return view

    def readers(self, views: dict[str, FleetView], now_s: float) -> dict[str, str]:
        found = {}
        for name, view in views.items():
            if view.is_reader(now_s):
                self.assertNotIn(view.own.zone, found)
                found[view.own.zone] = name
        return found

    def setUp(self) -> None:
        self.views = {name: self.view_of(name, zone, 10.0) for name, zone in self.NAMES}

    def test_one_host_per_zone_reads_the_store(self) -> None:
        self.assertEqual(set(self.readers(self.views, 10.0)), set(self.ZONES))

    def test_a_reader_without_reports_or_without_the_store_is_replaced(self) -> None:
        first = self.readers(self.views, 10.0)
        silent, cut_off = first["z1"], first["z2"]
        self.views = {
            name: view
            for name, view in self.views.items()
            if name not in (silent, cut_off)
        }
        for view in self.views.values():
            for peer in view.peers.values():
                is_silent = peer.record.name == silent
                peer.last_report_s = 10.0 if is_silent else 15.0
                is_cut_off = peer.record.name == cut_off
                peer.orders_confirmed_s = 10.0 if is_cut_off else 15.0
        second = self.readers(self.views, 15.0)
        self.assertEqual(set(second), set(self.ZONES))
        self.assertNotIn(second["z1"], (silent, cut_off))
        self.assertNotIn(second["z2"], (silent, cut_off))

    def test_hosts_that_start_together_have_one_reader_per_zone(self) -> None:
        # Without a ready host, all of them read the store until the first
        # configuration arrived.
        for view in self.views.values():
            view.own_phase = HostPhase.STARTING
            for peer in view.peers.values():
                peer.phase = HostPhase.STARTING
        starting = self.readers(self.views, 10.0)
        self.assertEqual(set(starting), set(self.ZONES))

    def test_a_ready_host_reads_rather_than_a_starting_or_leaving_one(self) -> None:
        for phase in (HostPhase.STARTING, HostPhase.LEAVING):
            with self.subTest(phase):
                self.setUp()
                reader = self.readers(self.views, 10.0)["z1"]
                for name, view in self.views.items():
                    if name == reader:
                        view.own_phase = phase
                    else:
                        view.peers[reader].phase = phase
                self.assertNotEqual(self.readers(self.views, 10.0)["z1"], reader)

    def test_all_hosts_of_a_small_fleet_read_the_store(self) -> None:
        for view in self.views.values():
            for name in tuple(view.peers)[12:]:
                del view.peers[name]
            self.assertTrue(view.is_reader(10.0))
