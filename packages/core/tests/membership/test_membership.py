from __future__ import annotations

import unittest
from dataclasses import replace

from exchange_fake import Host
from exchange_fake import Hosts

from cardamomquay.currency import exchange_statement
from cardamomquay.membership import SEQUENCES_PER_S
from cardamomquay.membership import ExchangeAnswered
from cardamomquay.membership import ExchangeReceived
from cardamomquay.membership import HostsListed
from cardamomquay.membership import LeaveRequested
from cardamomquay.membership import MembershipState
from cardamomquay.membership import MemberState
from cardamomquay.membership import PeerRecord
from cardamomquay.membership import PeerTarget
from cardamomquay.reducer import Tick
from cardamomquay.routing import LookupRequest
from cardamomquay.routing import rank_hosts

NAMES = ("a", "b", "c", "d")


def hosts(**changes: float) -> Hosts:
    # Clocks that differ show where an age is mistaken for a time.
    offsets = {"a": 0.0, "b": 500.0, "c": 1000.0, "d": 2000.0, **changes}
    return Hosts(*(Host(name, offset_s=offsets[name]) for name in NAMES))


def states(fleet: Hosts, viewer: str) -> dict[str, MemberState]:
    host = fleet.hosts[viewer]
    return {name: host.state_of(name, fleet.time_s) for name in NAMES}


def offered(fleet: Hosts, viewer: str) -> set[str]:
    host = fleet.hosts[viewer]
    members = host.core.part(MembershipState)
    now_s = fleet.time_s + host.offset_s
    return {h.host for h in rank_hosts(members, LookupRequest(), now_s).hosts}


def pause_d(fleet: Hosts) -> None:
    fleet.hosts["d"].paused = True


class StatesTest(unittest.TestCase):
    """Guards against callers being sent to lost hosts, and away from sound ones."""

    def test_fault_table(self) -> None:
        live, suspect, dead = MemberState.LIVE, MemberState.SUSPECT, MemberState.DEAD
        others = set(NAMES[:3])
        cases = {
            "no fault": (lambda f: None, 10.0, "a", live),
            "killed, at once": (pause_d, 1.0, "a", live),
            "killed, suspect": (pause_d, 2.2, "a", suspect),
            "killed, dead": (pause_d, 5.7, "a", dead),
            # The platform's list names the host all the time.
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
                fleet = hosts()
                fleet.run(3.0)
                fault(fleet)
                fleet.run(seconds)
                self.assertIs(states(fleet, viewer)["d"], expected)

    def test_only_path_is_a_call_of_the_other(self) -> None:
        """A host that can be heard, but not called, by anyone stays live."""
        fleet = hosts()
        fleet.run(3.0)
        fleet.cut |= {(name, "d") for name in "abc"}
        fleet.run(10.0)
        self.assertIs(states(fleet, "a")["d"], MemberState.LIVE)

    def test_paused_host_that_returns(self) -> None:
        fleet = hosts()
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

    def test_half_returns(self) -> None:
        fleet = hosts()
        fleet.run(3.0)
        fleet.cut_between({"a", "b"}, {"c", "d"})
        fleet.run(30.0)
        fleet.cut.clear()
        fleet.run(1.1)
        for viewer in NAMES:
            self.assertEqual(offered(fleet, viewer), set(NAMES))

    def test_listed_host_that_never_answers_is_not_offered(self) -> None:
        fleet = hosts()
        fleet.hosts["d"].paused = True
        fleet.run(0.5)
        self.assertIn("d", offered(fleet, "a"))
        fleet.run(1.5)
        self.assertNotIn("d", offered(fleet, "a"))

    def test_leaving_host_is_not_offered(self) -> None:
        fleet = hosts()
        fleet.run(3.0)
        fleet.hosts["d"].apply(LeaveRequested(fleet.time_s))
        fleet.run(0.6)
        self.assertEqual(offered(fleet, "a"), {"a", "b", "c"})
        self.assertIs(states(fleet, "a")["d"], MemberState.LEAVING)

    def test_list_does_not_override_a_fresh_record(self) -> None:
        fleet = hosts()
        fleet.listed = tuple(replace(h, leaving=h.host == "d") for h in fleet.listed)
        fleet.run(3.0)
        self.assertIn("d", offered(fleet, "a"))
        # The address that the host had before it was replaced.
        fleet.listed = tuple(replace(h, peer_address="old") for h in fleet.listed)
        fleet.run(3.0)
        self.assertEqual(offered(fleet, "a"), set(NAMES))
        fleet.listed = ()
        fleet.run(10.0)
        self.assertEqual(offered(fleet, "a"), set(NAMES))


class ReplacedHostTest(unittest.TestCase):
    """Guards against a replaced host's records in place of its successor's."""

    def test_restarted_under_the_same_name(self) -> None:
        fleet = hosts()
        fleet.run(3.0)
        old = fleet.hosts["d"]
        new = Host("d", incarnation="2", peer_address=old.peer_address)
        fleet.hosts["d"] = new
        fleet.run(0.6)
        # Another host still passes on what the predecessor stated last.
        late = exchange_statement(old.core, fleet.time_s + old.offset_s).records
        self._answer(fleet, "b", late)
        member = fleet.hosts["a"].core.part(MembershipState).members["d"]
        self.assertEqual(member.record.incarnation, "2")
        self.assertIs(states(fleet, "a")["d"], MemberState.LIVE)

    def test_successor_with_a_clock_that_is_behind(self) -> None:
        fleet = hosts()
        fleet.run(3.0)
        address = fleet.hosts["d"].peer_address
        fleet.hosts["d"] = Host("d", incarnation="0", peer_address=address)
        fleet.run(6.0)
        self.assertIs(states(fleet, "a")["d"], MemberState.LIVE)

    def test_replaced_at_the_same_address(self) -> None:
        fleet = hosts()
        fleet.run(3.0)
        old = fleet.hosts.pop("d")
        fleet.hosts["e"] = Host("e", peer_address=old.peer_address)
        fleet.run(0.6)
        for viewer in "abc":
            self.assertNotIn("d", offered(fleet, viewer))
            self.assertIn("e", offered(fleet, viewer))
        # The list still names the predecessor.
        fleet.run(30.0)
        self.assertNotIn("d", offered(fleet, "a"))
        self.assertIn("e", offered(fleet, "a"))

    def test_replaced_at_the_same_address_as_others_tell(self) -> None:
        fleet = hosts()
        fleet.run(3.0)
        old = fleet.hosts["d"]
        new = Host("e", peer_address=old.peer_address)
        stated = exchange_statement(new.core, 5.0).records
        self._answer(fleet, "b", stated)
        self.assertEqual(offered(fleet, "a"), {"a", "b", "c", "e"})
        late = exchange_statement(old.core, 3.0 + old.offset_s).records[0]
        self._answer(fleet, "c", (replace(late, heard_age_s=1.0),))
        self.assertEqual(offered(fleet, "a"), {"a", "b", "c", "e"})

    def _answer(
        self, fleet: Hosts, sender: str, records: tuple[PeerRecord, ...]
    ) -> None:
        now_s = fleet.time_s
        target = PeerTarget(sender, fleet.hosts[sender].peer_address)
        event = ExchangeAnswered(now_s, now_s, target, sender, records)
        fleet.hosts["a"].apply(event)


class DatingTest(unittest.TestCase):
    """Guards against records that count as fresher than they are."""

    def setUp(self) -> None:
        self.viewer = Host("a")
        self.peer = Host("b", offset_s=700.0)
        self.viewer.apply(HostsListed(0.0, (self.peer.listed(),)))
        self.viewer.apply(Tick(0.0))
        self.peer.apply(Tick(700.0))

    def _heard_at_s(self) -> float:
        return self.viewer.core.part(MembershipState).members["b"].heard_at_s

    def test_list_after_an_answer_changes_nothing(self) -> None:
        records = exchange_statement(self.peer.core, 710.0).records
        target = PeerTarget("b", self.peer.peer_address)
        self.viewer.apply(ExchangeAnswered(10.1, 10.0, target, "b", records))
        old = replace(self.peer.listed(), leaving=True, peer_address="old")
        self.viewer.apply(HostsListed(10.2, (old,)))
        self.assertIs(self.viewer.state_of("b", 10.3), MemberState.LIVE)

    def test_answer_is_dated_from_the_start_of_the_call(self) -> None:
        records = exchange_statement(self.peer.core, 710.0).records
        target = PeerTarget("b", self.peer.peer_address)
        event = ExchangeAnswered(18.0, 10.0, target, "b", records)
        self.viewer.apply(event)
        self.assertEqual(self._heard_at_s(), 10.0)

    def test_request_is_dated_by_the_number_that_it_sends_back(self) -> None:
        """The request lay in the socket while the receiver was paused."""
        own = exchange_statement(self.viewer.core, 10.0).records
        self.assertEqual(own[0].record.sequence, 10.0 * SEQUENCES_PER_S)
        records = exchange_statement(self.peer.core, 710.2).records
        self.viewer.apply(ExchangeReceived(30.0, "b", (*records, *own)))
        self.assertEqual(self._heard_at_s(), 10.0)

    def test_request_that_nothing_dates_is_not_heard(self) -> None:
        stranger = Host("e")
        stranger.apply(Tick(5.0))
        records = exchange_statement(stranger.core, 5.0).records
        self.viewer.apply(ExchangeReceived(1.0, "e", records))
        member = self.viewer.core.part(MembershipState).members["e"]
        self.assertFalse(member.heard)
        self.assertIs(self.viewer.state_of("e", 1.0), MemberState.SUSPECT)

    def test_older_statement_of_the_same_run_is_ignored(self) -> None:
        newer = exchange_statement(self.peer.core, 712.0).records
        self.peer.apply(LeaveRequested(711.0))
        older = exchange_statement(self.peer.core, 711.0).records
        target = PeerTarget("b", self.peer.peer_address)
        for records in (newer, older):
            self.viewer.apply(ExchangeAnswered(13.0, 12.5, target, "b", records))
        self.assertIs(self.viewer.state_of("b", 13.0), MemberState.LIVE)


if __name__ == "__main__":
    unittest.main()
