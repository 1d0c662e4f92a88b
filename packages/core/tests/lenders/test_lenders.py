from __future__ import annotations

import unittest
from dataclasses import replace

import immutables

from cardamomquay.config import Config
from cardamomquay.config_sync import ConfigState
from cardamomquay.leases import LEASES_TABLE
from cardamomquay.leases import LeaseRow
from cardamomquay.leases import LeaseState
from cardamomquay.lenders import LENDERS_TABLE
from cardamomquay.lenders import LenderRowsWritten
from cardamomquay.lenders import LendersReducer
from cardamomquay.lenders import LendersScanned
from cardamomquay.lenders import LendersState
from cardamomquay.lenders import ScanLenders
from cardamomquay.lenders import StartLending
from cardamomquay.lenders import StopLending
from cardamomquay.lenders import WriteLenderRows
from cardamomquay.lenders import preferred_host
from cardamomquay.membership import LeaveRequested
from cardamomquay.membership import Member
from cardamomquay.membership import MemberRecord
from cardamomquay.membership import MembershipState
from cardamomquay.platform import Committed
from cardamomquay.platform import MemoryTableService
from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Unavailable
from cardamomquay.platform import Write
from cardamomquay.reducer import CoreState
from cardamomquay.reducer import Identity
from cardamomquay.reducer import Tick

HOSTS = ("a", "b", "c")
RESOURCES = {f"tokens:{n}": "mtl" for n in range(12)}


class LendingHost:
    """One host: a `LendersReducer`, its lease and a table service, without a clock."""

    def __init__(self, name: str, tables: MemoryTableService) -> None:
        self.name = name
        self.tables = tables
        self.incarnation = f"{name}-1"
        self.reducer = LendersReducer(lambda _: RESOURCES)
        self.state = LendersState()
        self.lease = LeaseState()
        self.live_hosts = HOSTS
        self.lending: set[str] = set()
        self.started = 0

    def acquire_lease(self, now_s: float, fence: int = 1) -> None:
        value = {"incarnation": self.incarnation}
        outcome = self.tables.transact(
            Transaction((), (Write(RowKey(LEASES_TABLE, self.name), value),))
        )
        assert isinstance(outcome, Committed)
        row = LeaseRow(self.name, self.incarnation, 1, fence, outcome.revision)
        self.lease = replace(
            self.lease, fence=fence, valid_until_s=now_s + 1000.0, row=row
        )

    def lose_lease(self) -> None:
        self.tables.transact(
            Transaction((), (Write(RowKey(LEASES_TABLE, self.name), None),))
        )
        self.lease = LeaseState()

    def core(self, now_s: float) -> CoreState:
        members = immutables.Map(
            {
                host: Member(
                    MemberRecord(host, f"{host}-1", 1, "mtl", "mtl-a", "", ""), now_s
                )
                for host in self.live_hosts
            }
        )
        states = immutables.Map(
            {
                MembershipState: MembershipState(members),
                ConfigState: ConfigState(config=Config(1)),
                LeaseState: self.lease,
            }
        )
        identity = Identity(self.name, self.incarnation, "mtl", "mtl-a", "mtl")
        return CoreState(identity, states)

    def step(self, event: object) -> list[object]:
        self.state, effects = self.reducer.reduce(
            self.state, event, self.core(event.now_s)
        )
        for effect in effects:
            if isinstance(effect, StartLending):
                self.lending.add(effect.resource)
                self.started += 1
            elif isinstance(effect, StopLending):
                self.lending.discard(effect.resource)
        return list(effects)

    def scan(self, call_number: int, now_s: float) -> LendersScanned:
        return LendersScanned(
            now_s,
            call_number,
            self.tables.scan(LENDERS_TABLE),
            self.tables.scan(LEASES_TABLE),
        )

    def run(self, now_s: float) -> None:
        """Reduce a `Tick` and carry out every effect at once."""
        pending = self.step(Tick(now_s))
        while pending:
            effect = pending.pop(0)
            if isinstance(effect, ScanLenders):
                pending += self.step(self.scan(effect.call_number, now_s))
            elif isinstance(effect, WriteLenderRows):
                result = self.tables.transact(effect.transaction)
                pending += self.step(
                    LenderRowsWritten(now_s, effect.call_number, result)
                )


class LendersTest(unittest.TestCase):
    """Guards against two lenders of one resource, and against none for too long."""

    def setUp(self) -> None:
        self.tables = MemoryTableService()
        self.hosts = {name: LendingHost(name, self.tables) for name in HOSTS}
        for host in self.hosts.values():
            host.acquire_lease(0.0)

    def run_all(self, start_s: float, seconds: int, names: str = "abc") -> None:
        for step in range(seconds * 2):
            for name in names:
                self.hosts[name].run(start_s + step * 0.5)
            self.check_one_lender()

    def check_one_lender(self) -> None:
        lending = [
            resource
            for host in self.hosts.values()
            if host.lease.fence
            for resource in host.lending
        ]
        self.assertEqual(len(lending), len(set(lending)))

    def test_every_resource_gets_the_preferred_lender(self) -> None:
        self.run_all(1.0, 4)
        for resource in RESOURCES:
            preferred = preferred_host(resource, HOSTS)
            self.assertIn(resource, self.hosts[preferred].lending)

    def test_lost_answer_is_resolved_by_the_next_scan(self) -> None:
        self.tables.faults.lose_answers = 3
        self.run_all(1.0, 6)
        self.assertEqual(sum(len(h.lending) for h in self.hosts.values()), 12)

    def test_resources_of_a_lost_host_are_taken_over_with_a_higher_fence(self) -> None:
        self.run_all(1.0, 4)
        lost_host = self.hosts["a"]
        held_resources = set(lost_host.lending)
        self.assertTrue(held_resources)
        for name in "bc":
            self.hosts[name].live_hosts = ("b", "c")
        self.run_all(10.0, 3, "bc")
        self.assertEqual(
            held_resources & (self.hosts["b"].lending | self.hosts["c"].lending), set()
        )
        lost_host.lose_lease()
        self.run_all(20.0, 3, "bc")
        self.assertLessEqual(
            held_resources, self.hosts["b"].lending | self.hosts["c"].lending
        )
        fences = {
            resource: self.hosts["b"].state.lender_of(resource).fence
            for resource in held_resources
        }
        self.assertEqual(set(fences.values()), {2})

    def test_lost_lease_ends_lending_and_an_old_scan_does_not_resume_it(self) -> None:
        self.run_all(1.0, 4)
        host = self.hosts["a"]
        call_number = host.state.last_call_number + 1
        scan_before_loss = host.scan(call_number, 10.0)
        host.step(Tick(10.0))
        host.lose_lease()
        host.step(Tick(10.1))
        self.assertEqual(host.lending, set())
        for name in "bc":
            self.hosts[name].live_hosts = ("b", "c")
        self.run_all(11.0, 3, "bc")
        host.acquire_lease(15.0, fence=2)
        host.step(
            replace(
                scan_before_loss, call_number=host.state.last_call_number, now_s=15.0
            )
        )
        self.check_one_lender()
        self.assertEqual(host.lending, set())

    def test_claim_fails_if_the_old_lender_has_its_lease_again(self) -> None:
        self.run_all(1.0, 4)
        old, new = self.hosts["a"], self.hosts["b"]
        old.lose_lease()
        old.step(Tick(10.0))
        new.live_hosts = ("b",)
        (scan,) = new.step(Tick(10.0))
        (write,) = new.step(new.scan(scan.call_number, 10.0))
        old.acquire_lease(10.1, fence=2)
        old.run(12.5)
        self.assertTrue(old.lending)
        result = new.tables.transact(write.transaction)
        new.step(LenderRowsWritten(12.6, write.call_number, result))
        new.run(12.7)
        self.check_one_lender()

    def test_planned_stop_releases_the_rows(self) -> None:
        self.run_all(1.0, 4)
        host = self.hosts["a"]
        held_resources = set(host.lending)
        for name in "bc":
            self.hosts[name].live_hosts = ("b", "c")
        host.step(LeaveRequested(10.0))
        self.run_all(10.0, 4)
        self.assertEqual(host.lending, set())
        self.assertLessEqual(
            held_resources, self.hosts["b"].lending | self.hosts["c"].lending
        )

    def test_store_outage_changes_no_lender(self) -> None:
        self.run_all(1.0, 4)
        before = {name: set(host.lending) for name, host in self.hosts.items()}
        self.tables.faults.down = True
        self.run_all(10.0, 10)
        after = {name: set(host.lending) for name, host in self.hosts.items()}
        self.assertEqual(before, after)

    def test_scan_without_an_answer_is_repeated(self) -> None:
        host = self.hosts["a"]
        self.assertTrue(host.step(Tick(1.0)))
        self.assertFalse(host.step(Tick(2.0)))
        self.assertTrue(host.step(Tick(3.1)))

    def test_failed_scan_claims_nothing(self) -> None:
        host = self.hosts["a"]
        host.step(Tick(1.0))
        failed = Unavailable("down", refused=True)
        effects = host.step(LendersScanned(1.0, 1, failed, failed))
        self.assertEqual(effects, [])


if __name__ == "__main__":
    unittest.main()
