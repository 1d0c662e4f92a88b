from __future__ import annotations

import unittest

from simulated_fleet import API_KEY_ROW_KEY
from simulated_fleet import STORE_REGION
from simulated_fleet import SimulatedFleet
from simulated_fleet import SimulatedHost

from cardamomquay.config import Config
from cardamomquay.config import RowChange
from cardamomquay.config_sync import CONFIG_EVIDENCE_MAX_AGE_S
from cardamomquay.config_sync import ConfigInForce
from cardamomquay.config_sync import ConfigLoaded
from cardamomquay.config_sync import ConfigLoadFailed
from cardamomquay.config_sync import FetchConfigFromPeer
from cardamomquay.config_sync import HeadRead
from cardamomquay.config_sync import exchange_request
from cardamomquay.membership import SEQUENCE_UNITS_PER_S
from cardamomquay.membership import ExchangeAnswered
from cardamomquay.membership import ExchangeReceived
from cardamomquay.membership import KnownRecord
from cardamomquay.membership import PeerTarget
from cardamomquay.platform import Conflicted

TARGET = PeerTarget("b", "peer-b")


def fleet_of(*regions: str) -> SimulatedFleet:
    names = "abcdef"[: len(regions)]
    return SimulatedFleet(
        *(
            SimulatedHost(name, region, offset_s=100.0 * number)
            for number, (name, region) in enumerate(zip(names, regions, strict=True))
        )
    )


def current_hosts(fleet: SimulatedFleet) -> str:
    return "".join(n for n, h in fleet.hosts.items() if h.is_current(fleet.time_s))


def answer(started_s: float, version: int, age_s: float | None) -> ExchangeAnswered:
    return ExchangeAnswered(started_s + 3.0, started_s, TARGET, "b", (), version, age_s)


class NeverOlderTest(unittest.TestCase):
    """Guards against a return to an older configuration, from any source."""

    def test_sources(self) -> None:
        cases = {
            "older from the store": ConfigLoaded(20.0, Config(2, "old"), 20.0),
            "older from a peer": ConfigLoaded(20.0, Config(2, "old"), 20.0, True),
            "equal from a peer": ConfigLoaded(20.0, Config(3, "other"), 20.0, True),
            "older head": HeadRead(20.0, 20.0, 2),
            "peer with an older version": answer(20.0, 2, 0.0),
        }
        for name, event in cases.items():
            with self.subTest(name):
                host = SimulatedHost("a")
                host.apply(ConfigLoaded(1.0, Config(3, "new"), 1.0))
                effects = host.apply(event)
                self.assertEqual(host.config.config, Config(3, "new"))
                self.assertNotIn(ConfigInForce, map(type, effects))
                if "equal" not in name:
                    self.assertEqual(host.config.confirmed_at_s, 1.0)

    def test_store_that_lags_behind_a_peer(self) -> None:
        host = SimulatedHost("a")
        host.apply(ConfigLoaded(1.0, Config(3), 1.0, from_peer=True))
        host.apply(answer(2.0, 5, 0.1))
        host.apply(HeadRead(9.0, 9.0, 3))
        # Version 5 is known to exist, so a head row at version 3 is outdated and no
        # evidence.
        self.assertEqual(host.config.confirmed_at_s, 1.0)


class EvidenceTest(unittest.TestCase):
    """Guards against evidence that counts as fresher than it is."""

    def setUp(self) -> None:
        self.host = SimulatedHost("a")
        self.host.apply(ConfigLoaded(1.0, Config(3), 1.0))

    def test_answers(self) -> None:
        cases = {
            "dated from the start of the call": (answer(20.0, 3, 0.5), 19.5),
            "a negative age counts as none": (answer(20.0, 3, -9.0), 20.0),
            "peer without evidence": (answer(20.0, 3, None), 1.0),
            "evidence for a newer version": (answer(20.0, 4, 0.0), 1.0),
            "older than the own evidence": (answer(20.0, 3, 19.5), 1.0),
        }
        for name, (event, expected_s) in cases.items():
            with self.subTest(name):
                self.setUp()
                self.host.apply(event)
                self.assertEqual(self.host.config.confirmed_at_s, expected_s)

    def test_request_is_no_evidence(self) -> None:
        request = exchange_request(SimulatedHost("b").core, 20.0)
        known = (KnownRecord("a", "1", 20 * SEQUENCE_UNITS_PER_S),)
        self.host.apply(ExchangeReceived(20.0, request.sender_record, known, 3))
        self.assertEqual(self.host.config.confirmed_at_s, 1.0)

    def test_newer_version_is_fetched_once_at_a_time(self) -> None:
        wanted = FetchConfigFromPeer(4, "peer-b")
        self.assertIn(wanted, self.host.apply(answer(20.0, 4, 0.0)))
        self.assertEqual(self.host.apply(answer(20.1, 4, 0.0)), ())
        self.host.apply(ConfigLoadFailed(20.2))
        self.assertIn(wanted, self.host.apply(answer(20.3, 4, 0.0)))

    def test_partitions(self) -> None:
        store = STORE_REGION
        cases = {
            "one host cannot reach the store": ({"c"}, (), "abcd"),
            "no host but one can": ({"a", "b", "c"}, (), "abcd"),
            "one cannot reach anything": ({"c"}, ({"c"}, {"a", "b", "d"}), "abd"),
            "half is cut off": ({"c", "d"}, ({"c", "d"}, {"a", "b"}), "ab"),
            "nobody reaches a store that is up": (set("abcd"), (), ""),
        }
        for name, (no_store, cut, expected) in cases.items():
            with self.subTest(name):
                fleet = fleet_of(store, store, "qc", "sag")
                fleet.run(3.0)
                fleet.no_store |= no_store
                if cut:
                    fleet.cut_between(*cut)
                fleet.run(5.0)
                self.assertEqual(current_hosts(fleet), expected)

    def test_paused_host_that_returns(self) -> None:
        fleet = fleet_of(STORE_REGION, "qc", "sag")
        fleet.run(3.0)
        fleet.hosts["c"].paused = True
        fleet.run(10.0)
        self.assertEqual(current_hosts(fleet), "ab")
        fleet.hosts["c"].paused = False
        fleet.run(0.2)
        self.assertEqual(current_hosts(fleet), "abc")


class OutageTest(unittest.TestCase):
    """Guards against refusals during an outage, and a partition mistaken for one."""

    def test_fault_table(self) -> None:
        store = STORE_REGION

        def kill(fleet: SimulatedFleet, name: str) -> None:
            fleet.hosts[name].paused = True

        def cut_other_regions(fleet: SimulatedFleet) -> None:
            fleet.cut_between({"a", "b"}, {"c", "d"})

        def cut_reporter_from_store(fleet: SimulatedFleet) -> None:
            fleet.no_store.add("b")

        cases = {
            "outage": (lambda f: None, 5.0, "abcd"),
            "a reporter is killed": (lambda f: kill(f, "b"), 5.0, "acd"),
            "both reporters are killed": (
                lambda f: (
                    f.cut_between({"a", "b"}, {"c"}) or kill(f, "a") or kill(f, "b")
                ),
                5.0,
                "",
            ),
            "the other regions are cut off": (cut_other_regions, 5.0, "ab"),
            "a reporter gets no answer": (cut_reporter_from_store, 5.0, ""),
        }
        for name, (fault, seconds, expected) in cases.items():
            with self.subTest(name):
                fleet = fleet_of(store, store, "qc", "sag")
                fleet.run(3.0)
                fleet.tables.faults.down = True
                fault(fleet)
                fleet.run(seconds)
                self.assertEqual(current_hosts(fleet), expected)

    def test_no_gap_while_an_outage_begins_and_ends(self) -> None:
        fleet = fleet_of(STORE_REGION, STORE_REGION, "qc", "sag")
        fleet.run(3.0)
        for down in (True, False, True, False):
            fleet.tables.faults.down = down
            for _ in range(30):
                fleet.run(0.1)
                self.assertEqual(current_hosts(fleet), "abcd")

    def test_first_report_that_the_store_is_back(self) -> None:
        """Guards against lost evidence after the first report that the store is up."""
        fleet = fleet_of(STORE_REGION, "qc")
        fleet.run(3.0)
        fleet.tables.faults.down = True
        fleet.run(5.0)
        reporter, host = fleet.hosts["a"], fleet.hosts["b"]
        reporter.apply(HeadRead(fleet.time_s, fleet.time_s, 1))
        request = exchange_request(reporter.core, fleet.time_s)
        now_s = fleet.time_s + host.offset_s
        known = (KnownRecord("b", "1", int(now_s * SEQUENCE_UNITS_PER_S)),)
        host.apply(ExchangeReceived(now_s, request.sender_record, known, 1))
        self.assertTrue(host.is_current(fleet.time_s))
        self.assertFalse(host.is_current(fleet.time_s + CONFIG_EVIDENCE_MAX_AGE_S))

    def test_reporter_killed_right_before_an_outage(self) -> None:
        """Guards against waiting for a dead host's report on the store."""
        fleet = fleet_of(STORE_REGION, STORE_REGION, "qc")
        fleet.run(3.0)
        fleet.hosts["b"].paused = True
        fleet.tables.faults.down = True
        for _ in range(60):
            fleet.run(0.1)
            self.assertEqual(current_hosts(fleet).replace("b", ""), "ac")


class StartTest(unittest.TestCase):
    """Guards against a start without a configuration, or with an outdated one."""

    def test_start_during_an_outage(self) -> None:
        fleet = fleet_of(STORE_REGION, STORE_REGION, "qc")
        fleet.run(3.0)
        fleet.tables.faults.down = True
        fleet.run(10.0)
        fleet.hosts["c"] = SimulatedHost("c", "qc", incarnation="2")
        fleet.run(2.0)
        self.assertEqual(fleet.hosts["c"].config.version, 1)
        self.assertEqual(current_hosts(fleet), "abc")

    def test_peer_without_fresh_evidence_gives_nothing(self) -> None:
        fleet = fleet_of(STORE_REGION, "qc", "qc")
        fleet.run(3.0)
        fleet.no_store = {"b", "c"}
        fleet.cut_between({"a"}, {"b", "c"})
        fleet.run(5.0)
        fleet.hosts["c"] = SimulatedHost("c", "qc", incarnation="2")
        fleet.run(5.0)
        self.assertEqual(fleet.hosts["c"].config.version, 0)

    def test_racing_edits(self) -> None:
        fleet = fleet_of(STORE_REGION, "qc", "sag")
        fleet.run(3.0)
        change = RowChange(API_KEY_ROW_KEY, None)
        one = fleet.plan("one", 1, change)
        other = fleet.plan("other", 1, change)
        fleet.tables.transact(one.transaction)
        second = fleet.tables.transact(other.transaction)
        self.assertIsInstance(second, Conflicted)
        fleet.run(1.0)
        for host in fleet.hosts.values():
            self.assertEqual(host.config.config, one.config)


if __name__ == "__main__":
    unittest.main()
