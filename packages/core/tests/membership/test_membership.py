from __future__ import annotations

import unittest
from dataclasses import replace

import immutables
from simulated_fleet import SimulatedFleet
from simulated_fleet import SimulatedHost

from cardamomquay.config_sync import exchange_reply
from cardamomquay.config_sync import exchange_request
from cardamomquay.host_lookup import LookupRequest
from cardamomquay.host_lookup import rank_hosts
from cardamomquay.membership import SEQUENCE_UNITS_PER_S
from cardamomquay.membership import SUSPECT_AFTER_S
from cardamomquay.membership import ExchangeAnswered
from cardamomquay.membership import ExchangeReceived
from cardamomquay.membership import HostsListed
from cardamomquay.membership import KnownRecord
from cardamomquay.membership import LeaveRequested
from cardamomquay.membership import MembershipState
from cardamomquay.membership import MemberState
from cardamomquay.membership import PeerTarget
from cardamomquay.membership import ReadHostList
from cardamomquay.membership import SentRecord
from cardamomquay.membership._exchange_targets import choose_exchange_targets
from cardamomquay.reducer import Tick

NAMES = ("a", "b", "c", "d")


def four_hosts(**clock_offsets_s: float) -> SimulatedFleet:
    # Different clocks reveal code that mistakes an age for a time.
    offsets = {"a": 0.0, "b": 500.0, "c": 1000.0, "d": 2000.0, **clock_offsets_s}
    return SimulatedFleet(
        *(SimulatedHost(name, offset_s=offsets[name]) for name in NAMES)
    )


def states(fleet: SimulatedFleet, viewer: str) -> dict[str, MemberState]:
    host = fleet.hosts[viewer]
    return {name: host.state_of(name, fleet.time_s) for name in NAMES}


def offered(fleet: SimulatedFleet, viewer: str) -> set[str]:
    host = fleet.hosts[viewer]
    members = host.core.state_of(MembershipState)
    now_s = fleet.time_s + host.offset_s
    return {h.host for h in rank_hosts(members, LookupRequest(), now_s).hosts}


def pause_d(fleet: SimulatedFleet) -> None:
    fleet.hosts["d"].paused = True


class StatesTest(unittest.TestCase):
    """Guards against offering callers lost hosts, and against dropping healthy ones."""

    def test_fault_table(self) -> None:
        live, suspect, dead = MemberState.LIVE, MemberState.SUSPECT, MemberState.DEAD
        others = set(NAMES[:3])
        cases = {
            "no fault": (lambda f: None, 10.0, "a", live),
            "killed, at once": (pause_d, 1.0, "a", live),
            "killed, suspect": (pause_d, 2.2, "a", suspect),
            "killed, dead": (pause_d, 5.7, "a", dead),
            # The platform's list contains the host throughout.
            "killed, still listed": (pause_d, 30.0, "a", dead),
            "one-way cut to it": (lambda f: f.cut.add(("a", "d")), 10.0, "a", live),
            "one-way cut from it": (lambda f: f.cut.add(("d", "a")), 10.0, "a", live),
            "cut off alone": (lambda f: f.cut_between({"d"}, others), 10.0, "a", dead),
            "half cut off, other half": (
                lambda f: f.cut_between({"a", "b"}, {"c", "d"}),
                10.0,
                "a",
                dead,
            ),
            "half cut off, own half": (
                lambda f: f.cut_between({"a", "b"}, {"c", "d"}),
                10.0,
                "c",
                live,
            ),
        }
        for name, (fault, seconds, viewer, expected) in cases.items():
            with self.subTest(name):
                fleet = four_hosts()
                fleet.run(3.0)
                fault(fleet)
                fleet.run(seconds)
                self.assertIs(states(fleet, viewer)["d"], expected)

    def test_dead_host_does_not_become_suspect_again(self) -> None:
        """Two hosts may differ in `sent_after_s` for a killed host's last record."""
        fleet = four_hosts()
        fleet.run(3.0)
        fleet.hosts["d"].paused = True
        viewer, peer = fleet.hosts["a"], fleet.hosts["b"]
        peer_member = peer.core.state_of(MembershipState).members["d"]
        viewer_member = viewer.core.state_of(MembershipState).members["d"]
        sent_record = SentRecord(peer_member.record, 0.0, 0.0)
        target = PeerTarget("c", "peer-c")
        now_s = viewer_member.sent_after_s
        viewer.apply(ExchangeAnswered(now_s, now_s, target, "c", (sent_record,)))
        later_s = peer_member.sent_after_s + 0.2
        event = ExchangeAnswered(later_s, later_s, target, "c", (sent_record,))
        peer.apply(event)
        now_s += 5.05
        self.assertIs(viewer.state_of("d", now_s), MemberState.DEAD)
        known = exchange_request(viewer.core, now_s).known_records
        sent = exchange_reply(peer.core, now_s + 500.0, known).records
        self.assertNotIn("d", [entry.record.host for entry in sent])

    def test_host_that_cannot_be_called_but_calls_others(self) -> None:
        """A host that no other host can reach stays live while it calls others."""
        fleet = four_hosts()
        fleet.run(3.0)
        fleet.cut |= {(name, "d") for name in "abc"}
        fleet.run(10.0)
        self.assertIs(states(fleet, "a")["d"], MemberState.LIVE)

    def test_paused_host_that_returns(self) -> None:
        fleet = four_hosts()
        fleet.run(3.0)
        fleet.hosts["d"].paused = True
        fleet.run(20.0)
        fleet.hosts["d"].paused = False
        self.assertEqual(
            {states(fleet, "d")[name] for name in "abc"}, {MemberState.DEAD}
        )
        fleet.run(1.1)
        self.assertIs(states(fleet, "a")["d"], MemberState.LIVE)
        self.assertEqual(offered(fleet, "d"), set(NAMES))

    def test_half_of_the_fleet_returns(self) -> None:
        fleet = four_hosts()
        fleet.run(3.0)
        fleet.cut_between({"a", "b"}, {"c", "d"})
        fleet.run(30.0)
        fleet.cut.clear()
        fleet.run(1.1)
        for viewer in NAMES:
            self.assertEqual(offered(fleet, viewer), set(NAMES))

    def test_listed_host_that_never_answers_is_not_offered(self) -> None:
        fleet = four_hosts()
        fleet.hosts["d"].paused = True
        fleet.run(0.5)
        self.assertIn("d", offered(fleet, "a"))
        fleet.run(1.5)
        self.assertNotIn("d", offered(fleet, "a"))

    def test_leaving_host_is_not_offered(self) -> None:
        fleet = four_hosts()
        fleet.run(3.0)
        fleet.hosts["d"].apply(LeaveRequested(fleet.time_s))
        fleet.run(0.6)
        self.assertEqual(offered(fleet, "a"), {"a", "b", "c"})
        self.assertIs(states(fleet, "a")["d"], MemberState.LEAVING)

    def test_list_does_not_override_a_fresh_record(self) -> None:
        fleet = four_hosts()
        fleet.host_list = tuple(
            replace(h, leaving=h.host == "d") for h in fleet.host_list
        )
        fleet.run(3.0)
        self.assertIn("d", offered(fleet, "a"))
        # The list has an address that is out of date.
        fleet.host_list = tuple(replace(h, peer_address="old") for h in fleet.host_list)
        fleet.run(3.0)
        self.assertEqual(offered(fleet, "a"), set(NAMES))
        fleet.host_list = ()
        fleet.run(10.0)
        self.assertEqual(offered(fleet, "a"), set(NAMES))


class ExchangeTargetsTest(unittest.TestCase):
    """Guards against healthy hosts being suspected because each is called rarely."""

    def test_records_stay_recent_with_few_calls(self) -> None:
        count = 20
        fleet = SimulatedFleet(
            *(SimulatedHost(f"h{n}", offset_s=9.0 * n) for n in range(count))
        )
        fleet.run(3.0)
        before = fleet.exchanges
        for _ in range(50):
            fleet.run(0.1)
            for host in fleet.hosts.values():
                members = host.core.state_of(MembershipState)
                now_s = fleet.time_s + host.offset_s
                ages = [
                    now_s - member.sent_after_s
                    for name, member in members.members.items()
                    if name != host.name
                ]
                self.assertLess(max(ages), SUSPECT_AFTER_S - 0.25)
        # Calling every host in each round would make 38 calls per second.
        self.assertLess((fleet.exchanges - before) / 5.0 / count, 12.0)

    def test_lost_call_is_repeated_before_the_host_is_suspected(self) -> None:
        fleet = four_hosts()
        fleet.cut_between({"a"}, {"b", "c"})
        fleet.run(3.0)
        host = fleet.hosts["a"]
        calls = 0
        fleet.cut.add(("a", "d"))
        fleet.cut.add(("d", "a"))
        since_s = host.core.state_of(MembershipState).members["d"].sent_after_s
        while fleet.time_s + 0.1 - since_s < SUSPECT_AFTER_S:
            before = host.core.state_of(MembershipState).called_at_s["d"]
            fleet.run(0.1)
            calls += host.core.state_of(MembershipState).called_at_s["d"] > before
        self.assertGreaterEqual(calls, 2)

    def test_dead_hosts_do_not_delay_calls_to_the_others(self) -> None:
        fleet = SimulatedFleet(*(SimulatedHost(f"h{n}") for n in range(16)))
        fleet.run(3.0)
        for number in range(4, 16):
            fleet.hosts[f"h{number}"].paused = True
        fleet.run(8.0)
        for _ in range(30):
            fleet.run(0.1)
            for viewer in range(4):
                seen_states = {
                    fleet.hosts[f"h{viewer}"].state_of(f"h{n}", fleet.time_s)
                    for n in range(4)
                }
                self.assertEqual(seen_states, {MemberState.LIVE})

    def test_choice_of_targets(self) -> None:
        """Per round: the two hosts with the oldest contact, and one dead host."""
        fleet = four_hosts()
        fleet.run(3.0)
        state = fleet.hosts["a"].core.state_of(MembershipState)
        now_s = 100.0
        cases = {
            "oldest records": ({"b": 99.9, "c": 99.2, "d": 99.4}, {}, "cd"),
            "called meanwhile": ({"b": 99.9, "c": 99.2, "d": 99.4}, {"c": 99.95}, "bd"),
            "one of two dead": ({"b": 99.9, "c": 20.0, "d": 30.0}, {}, "bc"),
            "the other of two dead": (
                {"b": 99.9, "c": 20.0, "d": 30.0},
                {"b": 99.5, "c": 99.5},
                "bd",
            ),
        }
        for name, (sent_after_s_by_host, called, expected) in cases.items():
            with self.subTest(name):
                members = state.members
                for host, sent_after_s in sent_after_s_by_host.items():
                    member = replace(members[host], sent_after_s=sent_after_s)
                    members = members.set(host, member)
                changed = replace(
                    state, members=members, called_at_s=immutables.Map(called)
                )
                chosen = choose_exchange_targets(changed, now_s)
                self.assertEqual({t.host for t in chosen}, set(expected))

    def test_hosts_that_start_together_call_different_ones(self) -> None:
        fleet = SimulatedFleet(*(SimulatedHost(f"h{n}") for n in range(12)))
        first: set[str] = set()
        for host in fleet.hosts.values():
            host.apply(HostsListed(0.0, fleet.host_list))
            state = host.core.state_of(MembershipState)
            first |= {target.host for target in choose_exchange_targets(state, 0.0)}
        self.assertGreater(len(first), 6)

    def test_answer_has_only_what_is_newer(self) -> None:
        fleet = four_hosts()
        fleet.run(3.0)
        core = fleet.hosts["b"].core
        now_s = fleet.time_s + 500.0
        known = exchange_request(core, now_s).known_records
        own = KnownRecord("b", "1", 0)
        cases = {
            "nothing known": ((), 4, 0),
            "all known": ((own, *known), 1, 1),
            "older records known": (
                (own, *(replace(entry, sequence=0) for entry in known)),
                4,
                4,
            ),
            "another incarnation known": (
                (own, *(replace(entry, incarnation="0") for entry in known)),
                4,
                1,
            ),
        }
        for name, (entries, records, without_static) in cases.items():
            with self.subTest(name):
                sent = exchange_reply(core, now_s, entries).records
                self.assertEqual(len(sent), records)
                self.assertEqual(
                    sum(not r.record.address for r in sent), without_static
                )

    def test_record_without_static_fields_needs_a_known_incarnation(self) -> None:
        fleet = four_hosts()
        fleet.run(3.0)
        record = exchange_reply(fleet.hosts["d"].core, fleet.time_s + 2000.0).records[0]
        unknown = replace(record, record=replace(record.record, incarnation="9"))
        target = PeerTarget("b", "peer-b")
        event = ExchangeAnswered(
            9.0, 9.0, target, "b", (unknown.without_static_fields(),)
        )
        fleet.hosts["a"].apply(event)
        member = fleet.hosts["a"].core.state_of(MembershipState).members["d"]
        self.assertEqual(member.record.incarnation, "1")
        self.assertEqual(member.record.peer_address, "peer-d")


class HostListTest(unittest.TestCase):
    """Guards against reading the host list too often, or not at all."""

    def _reads(self, host: SimulatedHost, start_s: float, seconds: int) -> int:
        effects = [
            effect
            for number in range(10 * seconds)
            for effect in host.apply(Tick(start_s + number / 10))
        ]
        return sum(isinstance(effect, ReadHostList) for effect in effects)

    def test_interval(self) -> None:
        host, peer = SimulatedHost("a"), SimulatedHost("b")
        self.assertEqual(self._reads(host, 0.0, 4), 4)
        host.apply(HostsListed(4.0, (peer.listed_host(),)))
        self.assertEqual(self._reads(host, 4.0, 4), 4)
        target = PeerTarget("b", peer.peer_address)
        reads = 0
        for second in range(8, 28):
            records = exchange_reply(peer.core, float(second)).records
            now_s = float(second)
            host.apply(ExchangeAnswered(now_s, now_s, target, "b", records))
            reads += self._reads(host, now_s, 1)
        self.assertEqual(reads, 4)
        # All peers are lost, and the list may contain hosts that are not known yet.
        self.assertGreater(self._reads(host, 28.0, 14), 6)


class ReplacedHostTest(unittest.TestCase):
    """Guards against records of a replaced host that override its successor's."""

    def test_restarted_under_the_same_name(self) -> None:
        fleet = four_hosts()
        fleet.run(3.0)
        old = fleet.hosts["d"]
        new = SimulatedHost("d", incarnation="2", peer_address=old.peer_address)
        fleet.hosts["d"] = new
        fleet.run(0.6)
        # Another host still passes on the last record of the predecessor.
        late = exchange_reply(old.core, fleet.time_s + old.offset_s).records
        self._answer(fleet, "b", late)
        member = fleet.hosts["a"].core.state_of(MembershipState).members["d"]
        self.assertEqual(member.record.incarnation, "2")
        self.assertIs(states(fleet, "a")["d"], MemberState.LIVE)

    def test_successor_with_a_clock_that_is_behind(self) -> None:
        fleet = four_hosts()
        fleet.run(3.0)
        address = fleet.hosts["d"].peer_address
        fleet.hosts["d"] = SimulatedHost("d", incarnation="0", peer_address=address)
        fleet.run(6.0)
        self.assertIs(states(fleet, "a")["d"], MemberState.LIVE)

    def test_replaced_at_the_same_address(self) -> None:
        fleet = four_hosts()
        fleet.run(3.0)
        old = fleet.hosts.pop("d")
        fleet.hosts["e"] = SimulatedHost("e", peer_address=old.peer_address)
        fleet.run(SUSPECT_AFTER_S - 0.1)
        for viewer in "abc":
            self.assertNotIn("d", offered(fleet, viewer))
            self.assertIn("e", offered(fleet, viewer))
        # The list still contains the predecessor.
        fleet.run(30.0)
        self.assertNotIn("d", offered(fleet, "a"))
        self.assertIn("e", offered(fleet, "a"))

    def test_replaced_at_the_same_address_reported_by_others(self) -> None:
        fleet = four_hosts()
        fleet.run(3.0)
        old = fleet.hosts["d"]
        new = SimulatedHost("e", peer_address=old.peer_address)
        records = exchange_reply(new.core, 5.0).records
        self._answer(fleet, "b", records)
        self.assertEqual(offered(fleet, "a"), {"a", "b", "c", "e"})
        late = exchange_reply(old.core, 3.0 + old.offset_s).records[0]
        self._answer(fleet, "c", (replace(late, heard_age_s=1.0),))
        self.assertEqual(offered(fleet, "a"), {"a", "b", "c", "e"})

    def _answer(
        self, fleet: SimulatedFleet, sender: str, records: tuple[SentRecord, ...]
    ) -> None:
        now_s = fleet.time_s
        target = PeerTarget(sender, fleet.hosts[sender].peer_address)
        event = ExchangeAnswered(now_s, now_s, target, sender, records)
        fleet.hosts["a"].apply(event)


class RecordAgeTest(unittest.TestCase):
    """Guards against records that count as more recent than they are."""

    def setUp(self) -> None:
        self.viewer = SimulatedHost("a")
        self.peer = SimulatedHost("b", offset_s=700.0)
        self.viewer.apply(HostsListed(0.0, (self.peer.listed_host(),)))
        self.viewer.apply(Tick(0.0))
        self.peer.apply(Tick(700.0))

    def _sent_after_s(self) -> float:
        return self.viewer.core.state_of(MembershipState).members["b"].sent_after_s

    def test_list_after_an_answer_changes_nothing(self) -> None:
        records = exchange_reply(self.peer.core, 710.0).records
        target = PeerTarget("b", self.peer.peer_address)
        self.viewer.apply(ExchangeAnswered(10.1, 10.0, target, "b", records))
        old = replace(self.peer.listed_host(), leaving=True, peer_address="old")
        self.viewer.apply(HostsListed(10.2, (old,)))
        self.assertIs(self.viewer.state_of("b", 10.3), MemberState.LIVE)

    def test_answer_is_dated_from_the_start_of_the_call(self) -> None:
        records = exchange_reply(self.peer.core, 710.0).records
        target = PeerTarget("b", self.peer.peer_address)
        event = ExchangeAnswered(18.0, 10.0, target, "b", records)
        self.viewer.apply(event)
        self.assertEqual(self._sent_after_s(), 10.0)

    def test_request_is_dated_by_the_sequence_number_that_it_returns(self) -> None:
        """A request may wait in a socket buffer while the receiver is paused."""
        record = exchange_reply(self.viewer.core, 10.0).records[0].record
        self.assertEqual(record.sequence, 10.0 * SEQUENCE_UNITS_PER_S)
        request = exchange_request(self.peer.core, 710.2)
        known = (KnownRecord("a", record.incarnation, record.sequence),)
        self.viewer.apply(ExchangeReceived(30.0, request.sender_record, known))
        self.assertEqual(self._sent_after_s(), 10.0)

    def test_request_without_a_sequence_number_of_this_host_is_undated(self) -> None:
        unknown_host = SimulatedHost("e")
        unknown_host.apply(Tick(5.0))
        request = exchange_request(unknown_host.core, 5.0)
        self.viewer.apply(
            ExchangeReceived(1.0, request.sender_record, request.known_records)
        )
        member = self.viewer.core.state_of(MembershipState).members["e"]
        self.assertFalse(member.has_dated_record)
        self.assertIs(self.viewer.state_of("e", 1.0), MemberState.SUSPECT)

    def test_older_record_of_the_same_incarnation_is_ignored(self) -> None:
        newer = exchange_reply(self.peer.core, 712.0).records
        self.peer.apply(LeaveRequested(711.0))
        older = exchange_reply(self.peer.core, 711.0).records
        target = PeerTarget("b", self.peer.peer_address)
        for records in (newer, older):
            self.viewer.apply(ExchangeAnswered(13.0, 12.5, target, "b", records))
        self.assertIs(self.viewer.state_of("b", 13.0), MemberState.LIVE)


if __name__ == "__main__":
    unittest.main()
