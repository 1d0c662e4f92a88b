from __future__ import annotations

import unittest

from idempotency.support import answer
from idempotency.support import claim

from cardamomquay.idempotency import SweepDone
from cardamomquay.idempotency import SweepFenced
from cardamomquay.idempotency import SweepInterrupted
from cardamomquay.idempotency import UnbatchedIdempotencyRegistry
from cardamomquay.idempotency import sweep_claims
from cardamomquay.platform import Condition
from cardamomquay.platform import MemoryTableService
from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Write

CONTROLLER_KEY = RowKey("lenders", "moves")
HOUR_S = 3600.0


class SweepTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tables = MemoryTableService()
        self.version = self.take_control()
        registry = UnbatchedIdempotencyRegistry(self.tables)
        claimed_at_h = {"old": 0.0, "at the limit": 1.0, "young": 1.1, "undated": None}
        for key, hours in claimed_at_h.items():
            claimed_at_s = None if hours is None else hours * HOUR_S
            registry.try_claim(claim(key, key, claimed_at_s=claimed_at_s))
        registry.record_answer(claim("old", "old", claimed_at_s=0.0), answer())

    def take_control(self) -> int:
        write = Write(CONTROLLER_KEY, {"host": "a"})
        return self.tables.transact(Transaction((), (write,))).revision

    def remaining_rows(self) -> int:
        return len(self.tables.scan("claims").rows)

    def test_sweep_deletes_expired_rows(self) -> None:
        """Guards against early expiry, and deletions by a former controller."""
        cases = {  # transaction faults, lost control, batch size, outcome, rows left
            "whole": ([], False, 100, SweepDone(2, 1), 2),
            "batches": ([], False, 1, SweepDone(2, 1), 2),
            "fenced": ([], True, 100, SweepFenced(0), 4),
            "answer lost": (["lost"], False, 100, SweepInterrupted(0), 2),
            "second dropped": (["ok", "dropped"], False, 1, SweepInterrupted(1), 3),
        }
        for name, (fates, taken_over, batch, expected, remaining_rows) in cases.items():
            with self.subTest(name):
                self.setUp()
                if taken_over:
                    self.take_control()
                self.tables.faults.fates = list(fates)
                fence = Condition(CONTROLLER_KEY, self.version)
                result = sweep_claims(self.tables, 73 * HOUR_S, fence, batch)
                self.assertEqual(
                    (result, self.remaining_rows()), (expected, remaining_rows)
                )

    def test_row_changed_since_the_scan_is_kept(self) -> None:
        """Guards against deleting a row that changed after the scan."""
        old = self.tables.scan("claims")
        UnbatchedIdempotencyRegistry(self.tables).release(
            claim("at the limit", "at the limit")
        )
        UnbatchedIdempotencyRegistry(self.tables).try_claim(
            claim("new", "at the limit", claimed_at_s=72 * HOUR_S)
        )
        self.tables.scan = lambda table: old
        fence = Condition(CONTROLLER_KEY, self.version)
        result = sweep_claims(self.tables, 73 * HOUR_S, fence)
        del self.tables.scan
        self.assertEqual((result, self.remaining_rows()), (SweepDone(1, 1), 3))


if __name__ == "__main__":
    unittest.main()
