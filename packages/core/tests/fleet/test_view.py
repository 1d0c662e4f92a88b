from __future__ import annotations

import unittest

from cardamomquay.fleet import FleetView
from cardamomquay.fleet import HostPhase
from cardamomquay.fleet import HostRecord

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}


def record(name: str, zone: str) -> HostRecord:
    return HostRecord(name, f"{name}:80", name, 7000, zone, REGIONS[zone])


class DirectoryTest(unittest.TestCase):
    """Guards against callers that are sent to dead hosts or out of their region."""

    def setUp(self) -> None:
        self.view = FleetView(record("h0", "a1"))
        self.view.own_phase = HostPhase.READY
        for name, zone in (("h1", "a1"), ("h2", "a2"), ("h3", "b1")):
            peer = self.view.learn(record(name, zone))
            assert peer is not None
            peer.phase = HostPhase.READY
            peer.heard_s = 0.0

    def test_zone_first_then_region(self) -> None:
        self.assertEqual(self.view.addresses_for("a1", "a", 1.0), ["h0:80", "h1:80"])
        self.assertEqual(
            self.view.addresses_for("a2", "a", 1.0), ["h0:80", "h1:80", "h2:80"]
        )
        self.assertEqual(self.view.addresses_for("b1", "b", 1.0), ["h3:80"])

    def test_silent_hosts_are_left_out(self) -> None:
        self.assertEqual(self.view.addresses_for("a2", "a", 4.0), ["h0:80"])
        self.assertEqual(self.view.addresses_for("b1", "b", 4.0), ["h0:80"])

    def test_leaving_hosts_are_left_out(self) -> None:
        self.view.peers["h1"].phase = HostPhase.LEAVING
        self.view.own_phase = HostPhase.LEAVING
        self.assertEqual(self.view.addresses_for("a1", "a", 1.0), ["h2:80"])

    def test_a_replaced_host_starts_unheard(self) -> None:
        moved = HostRecord("h1", "new:80", "new", 7000, "a1", "a")
        peer = self.view.learn(moved)
        assert peer is not None
        self.assertFalse(peer.is_live(0.1))
        self.assertIsNone(self.view.learn(self.view.own))

    def test_silent_hosts_still_count_in_divisions(self) -> None:
        self.assertEqual(self.view.live(4.0), [])
        self.assertEqual(self.view.counted(4.0), 4)
        self.assertEqual(self.view.counted(30.0), 1)
