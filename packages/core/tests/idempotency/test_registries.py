from __future__ import annotations

import threading
import unittest
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import wait

from idempotency.contract import IdempotencyRegistryContract
from idempotency.contract import reason_or_outcome
from idempotency.support import ManualExecutor
from idempotency.support import SteppingClock
from idempotency.support import answer
from idempotency.support import claim

from cardamomquay.clock import ManualClock
from cardamomquay.idempotency import CONCURRENT_COMMITS_MAX
from cardamomquay.idempotency import BatchedIdempotencyRegistry
from cardamomquay.idempotency import ClaimBatcher
from cardamomquay.idempotency import ClaimChange
from cardamomquay.idempotency import Proceed
from cardamomquay.idempotency import UnbatchedIdempotencyRegistry
from cardamomquay.outcomes import RefusalReason
from cardamomquay.platform import MemoryTableService


class UnbatchedIdempotencyRegistryTest(IdempotencyRegistryContract, unittest.TestCase):
    def make_registry(self, tables: MemoryTableService) -> UnbatchedIdempotencyRegistry:
        return UnbatchedIdempotencyRegistry(tables)


class BatchedIdempotencyRegistryContractTest(
    IdempotencyRegistryContract, unittest.TestCase
):
    def make_registry(self, tables: MemoryTableService) -> BatchedIdempotencyRegistry:
        executor = ManualExecutor(immediate=True)
        return BatchedIdempotencyRegistry(tables, SteppingClock(), executor, lambda: 12)


class ClaimBatcherTest(unittest.TestCase):
    def test_interval(self) -> None:
        """Guards against overloading the store, and against needless waits."""
        cases = {  # live hosts, first and later latency of the store, interval in s
            "one host": (1, 0.0, 0.0, 0.005),
            "twelve hosts": (12, 0.0, 0.0, 0.06),
            "distant store": (1, 0.07, 0.07, 0.005),
            "slow store": (1, 0.01, 0.09, 0.08),
            "distant and slow store": (1, 0.07, 0.1, 0.03),
            "upper bound": (520, 0.01, 2.0, 0.1),
        }
        for name, (hosts, first_s, later_s, expected_s) in cases.items():
            with self.subTest(name):
                batcher = ClaimBatcher()
                batcher.record_latency(first_s)
                for _ in range(100):
                    batcher.record_latency(later_s)
                self.assertAlmostEqual(batcher.interval_s(hosts), expected_s)

    def test_due(self) -> None:
        """Guards against an idle host that waits for a whole interval."""
        batcher = ClaimBatcher()
        self.assertIsNone(batcher.due_s(12))
        batcher.offer(ClaimChange(claim("1")), 10.0)
        self.assertAlmostEqual(batcher.due_s(12), 10.005)
        batcher.take_batch(10.005)
        batcher.offer(ClaimChange(claim("2")), 10.006)
        self.assertAlmostEqual(batcher.due_s(12), 10.065)


class BatchedIdempotencyRegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tables = MemoryTableService()
        self.clock = SteppingClock()
        self.executor = ManualExecutor()
        self.registry = self.make_registry()

    def make_registry(self, queue_max: int = 100) -> BatchedIdempotencyRegistry:
        return BatchedIdempotencyRegistry(
            self.tables, self.clock, self.executor, lambda: 12, queue_max
        )

    def test_claims_and_answers_share_a_transaction(self) -> None:
        """Guards against a transaction for each request."""
        claims = [claim(str(n), key=str(n)) for n in range(20)]
        claimed = [self.registry.submit_claim(c) for c in claims]
        self.executor.run()
        self.assertEqual({f.result() for f in claimed}, {Proceed()})
        self.assertEqual(self.tables.transactions, 1)
        recorded = [self.registry.submit_answer(c, answer()) for c in claims]
        claimed = [
            self.registry.submit_claim(claim(f"n{c.claim_id}")) for c in claims[:1]
        ]
        self.executor.run()
        self.assertTrue(all(f.result() for f in recorded))
        self.assertEqual((self.tables.transactions, self.tables.reads), (2, 0))

    def test_one_conflict_does_not_fail_the_batch(self) -> None:
        """Guards against refusing claims that only share a batch with a conflict."""
        UnbatchedIdempotencyRegistry(self.tables).try_claim(claim("x", key="1"))
        futures = [self.registry.submit_claim(claim(str(n), str(n))) for n in range(3)]
        self.executor.run()
        expected = [Proceed(), RefusalReason.OUTCOME_UNKNOWN, Proceed()]
        self.assertEqual([reason_or_outcome(f.result()) for f in futures], expected)

    def test_same_key_twice_in_a_batch(self) -> None:
        """Guards against writing a row twice in one transaction."""
        futures = [self.registry.submit_claim(claim(n)) for n in "12"]
        self.executor.run()
        expected = [Proceed(), RefusalReason.OUTCOME_UNKNOWN]
        self.assertEqual([reason_or_outcome(f.result()) for f in futures], expected)

    def test_lost_answer_of_a_batch(self) -> None:
        """Guards against refused claims, or a read for each, after a lost answer."""
        self.tables.faults.fates = ["lost"]
        futures = [self.registry.submit_claim(claim(n, n)) for n in "123"]
        self.executor.run()
        self.assertEqual({f.result() for f in futures}, {Proceed()})
        self.assertEqual((self.tables.transactions, self.tables.reads), (1, 1))

    def test_full_queue(self) -> None:
        """Guards against an unbounded queue while the store is slow."""
        registry = self.make_registry(queue_max=2)
        futures = [registry.submit_claim(claim(n, n)) for n in "123"]
        self.assertEqual(
            reason_or_outcome(futures[2].result(0)), RefusalReason.STORE_UNAVAILABLE
        )
        self.executor.run()
        self.assertEqual(reason_or_outcome(futures[1].result(0)), Proceed())

    def test_batches_of_large_answers_are_split(self) -> None:
        """Guards against a transaction with many answers of 64 KiB."""
        claims = [claim(str(n), str(n)) for n in range(40)]
        for each in claims:
            self.registry.submit_claim(each)
        self.executor.run()
        futures = [self.registry.submit_answer(c, answer("x" * 65_536)) for c in claims]
        self.executor.run()
        self.assertTrue(all(f.result(0) for f in futures))
        # 11 such answers, in base64, fit into the 1 MiB of a batch.
        self.assertEqual(self.tables.transactions, 1 + 4)

    def test_close(self) -> None:
        """Guards against a planned stop that leaves callers waiting."""
        future = self.registry.submit_claim(claim("1"))
        self.registry.close()
        self.assertEqual(future.result(0), Proceed())
        self.executor.run()
        refused = self.registry.submit_claim(claim("2")).result(0)
        self.assertEqual(reason_or_outcome(refused), RefusalReason.STOPPING)

    def test_executor_shut_down_first(self) -> None:
        """Guards against callers that wait for an executor that was shut down."""
        executor = ThreadPoolExecutor(1)
        executor.shutdown()
        registry = BatchedIdempotencyRegistry(
            self.tables, self.clock, executor, lambda: 12
        )
        self.assertEqual(registry.submit_claim(claim("1")).result(0), Proceed())
        refused = registry.submit_claim(claim("2")).result(0)
        self.assertEqual(reason_or_outcome(refused), RefusalReason.STOPPING)

    def test_a_cancelled_claim_is_not_written(self) -> None:
        """Guards against a claim for which no caller waits."""
        self.registry.submit_claim(claim("1")).cancel()
        self.executor.run()
        self.assertEqual(self.registry.submit_claim(claim("2")).cancelled(), False)
        self.executor.run()
        self.assertIsNotNone(self.tables.stored_row(claim("2").row_key).value)

    def test_a_client_that_raises(self) -> None:
        """Guards against waiting forever, and a claim that is never released."""
        transact = self.tables.transact

        def broken(transaction: object) -> None:
            transact(transaction)
            raise ValueError("not JSON")

        self.tables.transact = broken
        future = self.registry.submit_claim(claim("1"))
        self.executor.run()
        self.assertIsInstance(future.exception(0), ValueError)
        self.tables.transact = transact
        self.assertEqual(self.registry.release_pending(), 0)
        self.assertIsNone(self.tables.stored_row(claim("1").row_key).value)

    def test_commits_in_flight_are_bounded(self) -> None:
        """Guards against a slow store that occupies all workers of the executor."""
        transact, depths = self.tables.transact, [0]

        # Queues a claim and runs its commit before the first commit ends.
        def nested(transaction: object) -> object:
            depths.append(depths[-1] + 1)
            if len(depths) < 20:
                name = str(len(depths))
                self.registry.submit_claim(claim(name, name))
                self.executor.run()
            depths.append(depths[-1] - 1)
            return transact(transaction)

        self.tables.transact = nested
        self.registry.submit_claim(claim("1", "1"))
        self.executor.run()
        self.assertEqual(max(depths), CONCURRENT_COMMITS_MAX)

    def test_a_slow_commit_does_not_hold_up_the_next(self) -> None:
        """Guards against claims that wait for the round trip of earlier ones."""
        clock, transact = ManualClock(), self.tables.transact
        started, proceed = threading.Event(), threading.Event()

        def slow(transaction: object) -> object:
            self.tables.transact = transact
            started.set()
            proceed.wait(10.0)
            return transact(transaction)

        self.tables.transact = slow
        with ThreadPoolExecutor(2) as committer, ThreadPoolExecutor(1) as stopper:
            registry = BatchedIdempotencyRegistry(
                self.tables, clock, committer, lambda: 1
            )
            first = registry.submit_claim(claim("1", "1"))
            while not started.wait(0.001):
                clock.advance(0.01)
            second = registry.submit_claim(claim("2", "2"))
            while not wait([second], 0.001).done and clock.now_s() < 60.0:
                clock.advance(0.01)
            second_done_first = second.done() and not first.done()
            closed = stopper.submit(registry.close)
            closed_early = wait([closed], 0.05).done
            proceed.set()
        self.assertTrue(second_done_first)
        self.assertFalse(closed_early, "closed with a commit in flight")
        self.assertIsNone(closed.result())
        self.assertEqual((first.result(0), second.result(0)), (Proceed(), Proceed()))

    def test_threads(self) -> None:
        """Guards against lost wake-ups between request threads and the committer."""
        clock = ManualClock()
        with ThreadPoolExecutor(1) as committer, ThreadPoolExecutor(8) as callers:
            registry = BatchedIdempotencyRegistry(
                self.tables, clock, committer, lambda: 12
            )
            claims = [claim(str(n), str(n % 24)) for n in range(48)]
            futures = [callers.submit(registry.try_claim, each) for each in claims]
            pause = threading.Event()
            while not all(f.done() for f in futures):
                clock.advance(0.01)
                pause.wait(0.001)
            registry.close()
            outcomes = [reason_or_outcome(f.result()) for f in futures]
        self.assertEqual(outcomes.count(Proceed()), 24)
        self.assertEqual(outcomes.count(RefusalReason.OUTCOME_UNKNOWN), 24)
        self.assertLess(self.tables.transactions, 48)


if __name__ == "__main__":
    unittest.main()
