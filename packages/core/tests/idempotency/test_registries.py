from __future__ import annotations

import threading
import unittest
from concurrent.futures import ThreadPoolExecutor

from idempotency.contract import OnceRegistryContract
from idempotency.contract import told
from idempotency.support import ManualExecutor
from idempotency.support import SteppingClock
from idempotency.support import answer
from idempotency.support import claim
from table_service.faulty import FaultyTables

from cardamomquay.clock import ManualClock
from cardamomquay.idempotency import ClaimBatcher
from cardamomquay.idempotency import ClaimChange
from cardamomquay.idempotency import GroupedOnceRegistry
from cardamomquay.idempotency import Proceed
from cardamomquay.idempotency import TableOnceRegistry
from cardamomquay.outcomes import RefusalReason


class TableOnceRegistryTest(OnceRegistryContract, unittest.TestCase):
    def make(self, tables: FaultyTables) -> TableOnceRegistry:
        return TableOnceRegistry(tables)


class GroupedOnceRegistryContractTest(OnceRegistryContract, unittest.TestCase):
    def make(self, tables: FaultyTables) -> GroupedOnceRegistry:
        executor = ManualExecutor(at_once=True)
        return GroupedOnceRegistry(tables, SteppingClock(), executor, lambda: 12)


class ClaimBatcherTest(unittest.TestCase):
    def test_interval(self) -> None:
        """Guards against a load that the store cannot bear, and needless waits."""
        cases = {  # live hosts, latency of the store in s, interval in s
            "one host": (1, 0.0, 0.005),
            "twelve hosts": (12, 0.0, 0.06),
            "slow store": (1, 0.08, 0.08),
            "upper bound": (520, 2.0, 0.1),
        }
        for name, (hosts, latency_s, expected_s) in cases.items():
            with self.subTest(name):
                batcher = ClaimBatcher()
                for _ in range(100):
                    batcher.observe_latency(latency_s)
                self.assertAlmostEqual(batcher.interval_s(hosts), expected_s)

    def test_due(self) -> None:
        """Guards against a quiet host that waits for a whole interval."""
        batcher = ClaimBatcher()
        self.assertIsNone(batcher.due_s(12))
        batcher.offer(ClaimChange(claim("1")), 10.0)
        self.assertAlmostEqual(batcher.due_s(12), 10.005)
        batcher.take(10.005)
        batcher.offer(ClaimChange(claim("2")), 10.006)
        self.assertAlmostEqual(batcher.due_s(12), 10.065)


class GroupedOnceRegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tables = FaultyTables()
        self.clock = SteppingClock()
        self.executor = ManualExecutor()
        self.registry = self.make()

    def make(self, queue_max: int = 100) -> GroupedOnceRegistry:
        return GroupedOnceRegistry(
            self.tables, self.clock, self.executor, lambda: 12, queue_max
        )

    def test_claims_and_answers_share_a_transaction(self) -> None:
        """Guards against a transaction for each request."""
        first = [claim(str(n), key=str(n)) for n in range(20)]
        claimed = [self.registry.begin_soon(c) for c in first]
        self.executor.run()
        self.assertEqual({f.result() for f in claimed}, {Proceed()})
        self.assertEqual(self.tables.transactions, 1)
        recorded = [self.registry.record_soon(c, answer()) for c in first]
        claimed = [self.registry.begin_soon(claim(f"n{c.claim_id}")) for c in first[:1]]
        self.executor.run()
        self.assertTrue(all(f.result() for f in recorded))
        self.assertEqual((self.tables.transactions, self.tables.reads), (2, 0))

    def test_one_conflict_does_not_fail_the_group(self) -> None:
        """Guards against refusals of claims that only share a group."""
        TableOnceRegistry(self.tables).begin(claim("x", key="1"))
        futures = [self.registry.begin_soon(claim(str(n), str(n))) for n in range(3)]
        self.executor.run()
        expected = [Proceed(), RefusalReason.OUTCOME_UNKNOWN, Proceed()]
        self.assertEqual([told(f.result()) for f in futures], expected)

    def test_the_same_key_twice_in_a_group(self) -> None:
        """Guards against two claims of one row in one transaction."""
        futures = [self.registry.begin_soon(claim(n)) for n in "12"]
        self.executor.run()
        expected = [Proceed(), RefusalReason.OUTCOME_UNKNOWN]
        self.assertEqual([told(f.result()) for f in futures], expected)

    def test_lost_answer_of_a_group(self) -> None:
        """Guards against a lost answer that refuses, or reads, each claim alone."""
        self.tables.fates = ["lost"]
        futures = [self.registry.begin_soon(claim(n, n)) for n in "123"]
        self.executor.run()
        self.assertEqual({f.result() for f in futures}, {Proceed()})
        self.assertEqual((self.tables.transactions, self.tables.reads), (1, 1))

    def test_full_queue(self) -> None:
        """Guards against a queue that grows while the store is slow."""
        registry = self.make(queue_max=2)
        futures = [registry.begin_soon(claim(n, n)) for n in "123"]
        self.assertEqual(told(futures[2].result(0)), RefusalReason.STORE_UNAVAILABLE)
        self.executor.run()
        self.assertEqual(told(futures[1].result(0)), Proceed())

    def test_large_answers_are_split(self) -> None:
        """Guards against a transaction of many times 64 KiB."""
        claims = [claim(str(n), str(n)) for n in range(40)]
        for each in claims:
            self.registry.begin_soon(each)
        self.executor.run()
        futures = [self.registry.record_soon(c, answer("x" * 65_536)) for c in claims]
        self.executor.run()
        self.assertTrue(all(f.result(0) for f in futures))
        self.assertEqual(self.tables.transactions, 1 + 4)

    def test_close(self) -> None:
        """Guards against a planned stop that leaves callers waiting."""
        future = self.registry.begin_soon(claim("1"))
        self.registry.close()
        self.assertEqual(future.result(0), Proceed())
        self.executor.run()
        refused = self.registry.begin_soon(claim("2")).result(0)
        self.assertEqual(told(refused), RefusalReason.STOPPING)

    def test_a_cancelled_claim_is_not_written(self) -> None:
        """Guards against a claim that nobody waits for."""
        self.registry.begin_soon(claim("1")).cancel()
        self.executor.run()
        self.assertEqual(self.registry.begin_soon(claim("2")).cancelled(), False)
        self.executor.run()
        self.assertIsNotNone(self.tables.inner._row(claim("2").row_key).value)

    def test_a_client_that_raises(self) -> None:
        """Guards against waiting for ever, and a claim left behind by a fault."""
        transact = self.tables.transact

        def broken(transaction: object) -> None:
            transact(transaction)
            raise ValueError("not JSON")

        self.tables.transact = broken
        future = self.registry.begin_soon(claim("1"))
        self.executor.run()
        self.assertIsInstance(future.exception(0), ValueError)
        self.tables.transact = transact
        self.assertEqual(self.registry.release_pending(), 0)
        self.assertIsNone(self.tables.inner._row(claim("1").row_key).value)

    def test_threads(self) -> None:
        """Guards against lost wake-ups between request threads and the committer."""
        clock = ManualClock()
        with ThreadPoolExecutor(1) as committer, ThreadPoolExecutor(8) as callers:
            registry = GroupedOnceRegistry(self.tables, clock, committer, lambda: 12)
            claims = [claim(str(n), str(n % 24)) for n in range(48)]
            futures = [callers.submit(registry.begin, each) for each in claims]
            pause = threading.Event()
            while not all(f.done() for f in futures):
                clock.advance(0.01)
                pause.wait(0.001)
            registry.close()
            outcomes = [told(f.result()) for f in futures]
        self.assertEqual(outcomes.count(Proceed()), 24)
        self.assertEqual(outcomes.count(RefusalReason.OUTCOME_UNKNOWN), 24)
        self.assertLess(self.tables.transactions, 48)


if __name__ == "__main__":
    unittest.main()
