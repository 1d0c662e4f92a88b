from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import dataclass
from dataclasses import field

import immutables

from cardamomquay.config import Config
from cardamomquay.config import Organisation
from cardamomquay.config import RegionCapacity
from cardamomquay.currency import ConfigState
from cardamomquay.leases import LeaseState
from cardamomquay.membership import LeaveRequested
from cardamomquay.membership import Member
from cardamomquay.membership import MemberRecord
from cardamomquay.membership import MembershipState
from cardamomquay.platform import MemoryTableService
from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Unavailable
from cardamomquay.platform import Write
from cardamomquay.quota import LendersRead
from cardamomquay.quota import LendersReadFailed
from cardamomquay.quota import LenderWritten
from cardamomquay.quota import QuotaPart
from cardamomquay.quota import QuotaState
from cardamomquay.quota import ReadLenders
from cardamomquay.quota import StartLender
from cardamomquay.quota import StopLender
from cardamomquay.quota import WriteLender
from cardamomquay.quota import choose_host
from cardamomquay.reducer import CoreState
from cardamomquay.reducer import Event
from cardamomquay.reducer import Identity
from cardamomquay.reducer import Tick

HOSTS = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}
CONFIG = Config(
    1,
    organisations={n: Organisation(n, "x", 30.0, 30) for n in ("o", "p", "q")},
    regions={name: RegionCapacity(name, "x", 100.0) for name in ("a", "b")},
)


@dataclass
class Daemon:
    """One host's part, with a shell that carries out its effects at once."""

    name: str
    table: MemoryTableService
    lease: LeaseState = field(default_factory=lambda: LeaseState(1, float("inf")))
    config: Config = CONFIG
    leaving: bool = False
    live: tuple[str, ...] = tuple(HOSTS)
    lenders: dict[str, StartLender] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.part = QuotaPart()
        region = HOSTS[self.name]
        self.identity = Identity(self.name, f"{self.name}-1", region, "z", "a")
        self.state = self.part.initial(self.identity)
        self.write_lease()

    def write_lease(self, present: bool = True) -> None:
        value = {"incarnation": f"{self.name}-1", "fence": 1} if present else None
        write = Write(RowKey("host_leases", self.name), value)
        self.table.transact(Transaction((), (write,)))

    def step(self, now_s: float, event: Event | None = None) -> None:
        records = {
            name: Member(
                MemberRecord(name, f"{name}-1", 1, HOSTS[name], "z", "", ""), now_s
            )
            for name in self.live
        }
        states = {
            LeaseState: self.lease,
            ConfigState: ConfigState(self.config),
            MembershipState: MembershipState(immutables.Map(records), self.leaving),
            QuotaState: self.state,
        }
        core = CoreState(self.identity, immutables.Map(states))
        self.state, effects = self.part.reduce(self.state, event or Tick(now_s), core)
        for effect in effects:
            match effect:
                case ReadLenders():
                    rows = [self.table.scan(t) for t in ("lenders", "host_leases")]
                    if any(isinstance(read, Unavailable) for read in rows):
                        self.step(now_s, LendersReadFailed(now_s))
                    else:
                        lenders, leases = rows
                        self.step(now_s, LendersRead(now_s, lenders.rows, leases.rows))
                case WriteLender():
                    outcome = self.table.transact(effect.transaction)
                    written = LenderWritten(
                        now_s, effect.resource, effect.fence, outcome
                    )
                    self.step(now_s, written)
                case StartLender():
                    self.lenders[effect.resource] = effect
                case StopLender():
                    self.lenders.pop(effect.resource, None)


class QuotaPartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = MemoryTableService()
        self.daemons = {name: Daemon(name, self.table) for name in HOSTS}
        self.now_s = 0.0

    def rounds(self, count: int = 3, without: str = "") -> None:
        for _ in range(count):
            self.now_s += 2.0
            for name, daemon in self.daemons.items():
                if name != without:
                    daemon.step(self.now_s)

    def holders(self) -> dict[str, str]:
        """Map each lent resource to its host; fail if one has two lenders."""
        held = [(r, d.name) for d in self.daemons.values() for r in d.lenders]
        counts = Counter(resource for resource, _ in held)
        self.assertEqual([r for r, n in counts.items() if n > 1], [])
        return dict(held)

    def test_every_portion_gets_one_lender_of_its_region(self) -> None:
        self.rounds()
        holders = self.holders()
        self.assertEqual(len(holders), 6)
        for resource, host in holders.items():
            self.assertEqual(HOSTS[host], resource.rpartition(".")[2])
        again = dict(holders)
        self.rounds()
        self.assertEqual(self.holders(), again)

    def test_takeover_only_when_the_lease_row_is_gone(self) -> None:
        """Guards against two lenders when a host is only slow to be heard."""
        self.rounds()
        resource, lost = next(iter(self.holders().items()))
        fence = self.daemons[lost].lenders[resource].fence
        for daemon in self.daemons.values():
            daemon.live = tuple(name for name in HOSTS if name != lost)
        self.rounds(without=lost)
        self.assertEqual(self.holders()[resource], lost)
        self.daemons[lost].write_lease(present=False)
        self.daemons[lost].lenders.clear()
        self.rounds(without=lost)
        new = self.holders()[resource]
        self.assertNotEqual(new, lost)
        self.assertEqual(self.daemons[new].lenders[resource].fence, fence + 1)

    def test_lease_row_that_returns_before_the_commit_wins(self) -> None:
        """Guards against a takeover decided on an old scan of the leases."""
        self.rounds()
        resource, lost = next(iter(self.holders().items()))
        rows = self.table.scan("lenders").rows
        others = [name for name in HOSTS if name != lost]
        same_region = [n for n in others if HOSTS[n] == HOSTS[lost]]
        claimer = self.daemons[choose_host(resource, same_region)]
        claimer.live = tuple(others)
        claimer.step(self.now_s, LendersRead(self.now_s, rows, ()))
        self.assertEqual(self.holders()[resource], lost)

    def test_planned_stop_stops_before_it_releases(self) -> None:
        self.rounds()
        resource, leaving = next(iter(self.holders().items()))
        stopping = self.daemons[leaving]
        for daemon in self.daemons.values():
            daemon.live = tuple(name for name in HOSTS if name != leaving)
        stopping.leaving = True
        stopping.step(self.now_s, LeaveRequested(self.now_s))
        self.assertEqual(stopping.lenders, {})
        self.rounds()
        self.assertNotEqual(self.holders()[resource], leaving)
        self.assertEqual(len(self.holders()), 6)

    def test_lost_answer_of_a_claim(self) -> None:
        """Guards against a portion that nobody lends since its row names a host."""
        alone = self.daemons["a1"]
        alone.live = ("a1",)
        self.table.faults.lose_answers = 3
        alone.step(1.0)
        alone.live = tuple(HOSTS)
        self.rounds()
        self.assertEqual(len(self.holders()), 6)

    def test_new_lease_needs_new_claims(self) -> None:
        """Guards against lending on with rows that others may have taken over."""
        self.rounds()
        resource, host = next(iter(self.holders().items()))
        fence = self.daemons[host].lenders[resource].fence
        self.daemons[host].lease = LeaseState(2, float("inf"))
        self.rounds()
        start = self.daemons[host].lenders[resource]
        self.assertEqual((start.fence, start.lease_fence), (fence + 1, 2))

    def test_store_outage_changes_nothing(self) -> None:
        self.rounds()
        before = self.holders()
        self.table.faults.down = True
        self.rounds()
        self.assertEqual(self.holders(), before)

    def test_removed_organisation_is_released(self) -> None:
        self.rounds()
        smaller = Config(
            2, organisations={"o": CONFIG.organisations["o"]}, regions=CONFIG.regions
        )
        for daemon in self.daemons.values():
            daemon.config = smaller
        self.rounds()
        self.assertEqual(len(self.holders()), 2)
        rows = self.table.scan("lenders").rows
        self.assertEqual(sum(row.value["host"] == "" for row in rows), 4)


class ChooseHostTest(unittest.TestCase):
    def test_loss_of_a_host_moves_only_its_portions(self) -> None:
        resources = [f"quota.{i}.a" for i in range(200)]
        before = {r: choose_host(r, ["a1", "a2", "a3"]) for r in resources}
        after = {r: choose_host(r, ["a3", "a1"]) for r in resources}
        moved = [r for r in resources if before[r] != after[r]]
        self.assertTrue(all(before[r] == "a2" for r in moved))
        self.assertTrue(40 <= len(moved) <= 95, len(moved))


if __name__ == "__main__":
    unittest.main()
