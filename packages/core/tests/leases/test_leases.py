from __future__ import annotations

import unittest

from leases.lease_hosts import STORE_REGION
from leases.lease_hosts import SimulatedLeaseHost
from leases.lease_hosts import run
from leases.lease_hosts import stored_lease

from cardamomquay.clock import ManualClock
from cardamomquay.config_sync import HeadReadFailed
from cardamomquay.leases import LeaseAcquired
from cardamomquay.leases import LeaseLost
from cardamomquay.leases import LeaseReleased
from cardamomquay.leases import LeaseReleaseRequested
from cardamomquay.leases import LeasesReclaimed
from cardamomquay.leases import LeaseState
from cardamomquay.leases import is_lease_valid
from cardamomquay.platform import MemoryTableService
from cardamomquay.reducer import Tick


class LeaseTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.tables = MemoryTableService()

    def host(
        self, name: str, region: str = "qc", incarnation: str = "1"
    ) -> SimulatedLeaseHost:
        return SimulatedLeaseHost(name, incarnation, region, self.clock, self.tables)


class IsLeaseValidTest(unittest.TestCase):
    def test_cases(self) -> None:
        """Guards against use of a lease that was never acquired or has expired."""
        cases = {
            "no lease": (LeaseState(0, 10.0), 9.0, False),
            "held": (LeaseState(1, 10.0), 9.9, True),
            "expired": (LeaseState(1, 10.0), 10.0, False),
        }
        for name, (state, now_s, expected) in cases.items():
            with self.subTest(name):
                self.assertIs(is_lease_valid(state, now_s), expected)


class OwnLeaseTest(LeaseTestCase):
    def test_renews_every_two_seconds(self) -> None:
        """Guards against a lease that expires between renewals, and needless writes."""
        host = self.host("a")
        for _ in range(41):
            host.tick()
            self.assertTrue(host.valid)
            self.clock.advance(0.5)
        self.assertEqual(self.tables.transactions, 11)
        self.assertEqual(len(host.notifications_of(LeaseAcquired)), 1)

    def test_validity_counts_from_the_start_of_the_call(self) -> None:
        """Guards against a slow answer that extends a lease beyond its reclaim time."""
        host = self.host("a")
        host.tick()
        self.clock.advance(2.0)
        host.apply(Tick(self.clock.now_s()))
        self.clock.advance(1.25)
        host.run_pending()
        self.assertEqual(host.lease.valid_until_s, 102.0 + 5.5)

    def test_lost_dropped_and_late_writes(self) -> None:
        """Guards against a lost answer that ends a lease, or extends it too far."""
        cases = {  # outcomes of renewals from 102.0 on, lowest valid_until_s at 104.5
            "lost": (["lost"], 104.5 + 3.0),
            "dropped": (["dropped"], 104.5 + 3.0),
            "late": (["late"], 104.5 + 3.0),
            "all dropped": (["dropped"] * 99, 105.5),
        }
        for name, (fates, expected) in cases.items():
            with self.subTest(name):
                self.setUp()
                host = self.host("a")
                host.tick()
                self.tables.faults.fates = list(fates)
                run([host], 2.0)
                self.tables.commit_delayed()
                run([host], 2.5)
                self.assertGreaterEqual(host.lease.valid_until_s, expected)
                self.assertEqual(host.lease.fence, 1)
                self.assertLessEqual(host.lease.valid_until_s, 104.5 + 5.5)

    def test_an_older_write_that_commits_late_does_not_extend_the_lease(self) -> None:
        """Guards against counting a late commit from the start of a later write."""
        host = self.host("a")
        host.tick()
        self.tables.faults.fates = ["late"]
        self.clock.advance(2.0)
        host.apply(Tick(self.clock.now_s()))
        host.run_pending()  # The row is still that of the acquisition.
        host.apply(Tick(self.clock.now_s()))
        host.run_pending()
        self.tables.faults.fates = ["dropped"]
        self.clock.advance(2.0)
        # Issues a second renewal, which is dropped after the first one commits late.
        host.apply(Tick(self.clock.now_s()))
        self.tables.commit_delayed()
        until_s = host.lease.valid_until_s
        host.run_pending()
        host.apply(Tick(self.clock.now_s()))
        while host.pending_effects and host.lease.must_read_row:
            host.execute()
            host.deliver()
        self.assertEqual(host.lease.valid_until_s, until_s)

    def test_planned_stop(self) -> None:
        """Guards against a stop that leaves the lease row, and use after release."""
        for fates in ([], ["lost"], ["dropped"]):
            with self.subTest(fates):
                self.setUp()
                host, successor = self.host("a"), self.host("a", incarnation="2")
                host.tick()
                successor.tick()
                self.assertEqual(successor.lease.fence, 0)
                self.tables.faults.fates = fates
                host.apply(LeaseReleaseRequested(self.clock.now_s()))
                self.assertFalse(host.valid)
                run([host], 2.0)
                self.assertEqual(len(host.notifications_of(LeaseReleased)), 1)
                self.assertIsNone(stored_lease(self.tables, "a"))
                run([host, successor], 1.0)
                self.assertEqual(successor.lease.fence, 2)
                self.assertTrue(successor.valid)

    def test_pause_at_any_step(self) -> None:
        """Guards against a replaced host that resumes with a valid lease."""
        for paused_at in range(12):
            with self.subTest(paused_at):
                self.setUp()
                host, reclaimer = self.host("a"), self.host("r", STORE_REGION)
                for _ in range(paused_at):
                    host.step()
                successor = self.host("a", incarnation="2")
                run([reclaimer, successor], 20.0)
                for _ in range(12):
                    self.assertFalse(host.valid and successor.valid)
                    host.tick()
                self.assertFalse(host.valid and successor.valid)


class ReclaimTest(LeaseTestCase):
    def reclaimed_after_s(self, region: str = STORE_REGION) -> float | None:
        reclaimer = self.host("r", region)
        for step in range(60):
            reclaimer.tick()
            if reclaimer.notifications_of(LeasesReclaimed):
                return step * 0.5
            self.clock.advance(0.5)
        return None

    def test_who_reclaims_and_when(self) -> None:
        """Guards against reclaims before expiry, or outside the store's region."""
        self.host("a").tick()
        self.assertIsNone(self.reclaimed_after_s("qc"))
        self.assertEqual(self.reclaimed_after_s(), 6.5)

    def test_a_failed_read_starts_the_wait_again(self) -> None:
        """Guards against a reclaim of a lease that was extended during an outage."""
        for kind in ("read", "head read", "no read for 2.5 s"):
            with self.subTest(kind):
                self.setUp()
                self.host("a").tick()
                reclaimer = self.host("r", STORE_REGION)
                run([reclaimer], 4.0)
                if kind == "read":
                    self.tables.faults.fail_reads = 1
                    run([reclaimer], 1.0)
                elif kind == "head read":
                    now_s = self.clock.now_s()
                    reclaimer.apply(HeadReadFailed(now_s, now_s, refused=True))
                else:
                    self.clock.advance(2.5)
                run([reclaimer], 5.5)
                self.assertFalse(reclaimer.notifications_of(LeasesReclaimed))
                run([reclaimer], 3.0)
                self.assertTrue(reclaimer.notifications_of(LeasesReclaimed))

    def test_several_expired_leases_are_reclaimed_together(self) -> None:
        """Guards against one transaction per host when many hosts are dead."""
        for name in "abc":
            self.host(name).tick()
        before = self.tables.transactions
        reclaimer = self.host("r", STORE_REGION)
        run([reclaimer], 8.0)
        (reclaimed,) = reclaimer.notifications_of(LeasesReclaimed)
        self.assertEqual(reclaimed.hosts, ("a", "b", "c"))
        own_writes = reclaimer.lease.last_write_number
        self.assertEqual(self.tables.transactions, before + own_writes + 1)

    def test_a_renewed_lease_does_not_block_other_reclaims(self) -> None:
        """Guards against a renewed lease that blocks other reclaims or is reclaimed."""
        dead, alive = self.host("a"), self.host("b")
        dead.tick()
        alive.tick()
        reclaimer = self.host("r", STORE_REGION)
        while not reclaimer.lease.pending_reclaim:
            reclaimer.step()
        alive.tick()
        reclaimer.run_pending()
        run([reclaimer, alive], 1.5)
        self.assertIsNone(stored_lease(self.tables, "a"))
        self.assertTrue(alive.valid)
        self.assertIsNotNone(stored_lease(self.tables, "b"))

    def test_a_holder_that_lost_its_lease_gets_a_higher_fence(self) -> None:
        """Guards against a new lease that makes grants of the lost one valid again."""
        host = self.host("a")
        host.tick()
        run([self.host("r", STORE_REGION)], 8.0)
        self.assertIsNone(stored_lease(self.tables, "a"))
        run([host], 1.0)
        self.assertEqual([lost.fence for lost in host.notifications_of(LeaseLost)], [1])
        self.assertEqual(host.lease.fence, 2)


class OutageTest(LeaseTestCase):
    def test_confirmed_outage_extends_leases(self) -> None:
        """Guards against all leases expiring while the store is down."""
        hosts = [self.host("a"), self.host("m1", "mtl"), self.host("m2", "mtl")]
        run(hosts, 4.0)
        self.tables.faults.down = True
        for _ in range(60):
            run(hosts, 0.5)
            self.assertTrue(all(host.valid for host in hosts))
        self.tables.faults.down = False
        for _ in range(40):
            run(hosts, 0.5)
            self.assertTrue(all(host.valid for host in hosts))

    def test_unconfirmed_outage_does_not_extend_leases(self) -> None:
        """Guards against a partitioned host that keeps a lease which was reclaimed."""
        hosts = [self.host("a"), self.host("m1", "mtl"), self.host("m2", "mtl")]
        run(hosts, 4.0)
        self.tables.faults.unreachable = True
        run(hosts, 6.0)
        self.assertFalse(any(host.valid for host in hosts))

    def test_start_during_an_outage(self) -> None:
        """Guards against late reclaims by a host that started during an outage."""
        self.host("a").tick()
        self.tables.faults.down = True
        reclaimer = self.host("r", STORE_REGION)
        run([reclaimer], 4.0)
        self.tables.faults.down = False
        run([reclaimer], 6.0)
        self.assertFalse(reclaimer.notifications_of(LeasesReclaimed))
        run([reclaimer], 2.5)
        self.assertTrue(reclaimer.notifications_of(LeasesReclaimed))

    def test_an_expired_lease_is_not_extended(self) -> None:
        """Guards against an outage that extends a lease after it was reclaimed."""
        hosts = [self.host("m1", "mtl"), self.host("m2", "mtl")]
        paused = self.host("a")
        run([paused, *hosts], 4.0)
        run(hosts, 8.0)
        self.tables.faults.down = True
        run([paused, *hosts], 2.0)
        self.assertFalse(paused.valid)


if __name__ == "__main__":
    unittest.main()
