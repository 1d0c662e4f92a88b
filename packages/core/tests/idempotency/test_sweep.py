from __future__ import annotations

import unittest

from idempotency.support import answer
from idempotency.support import claim
from table_service.faulty import FaultyTables

from cardamomquay.idempotency import SweepDone
from cardamomquay.idempotency import SweepFenced
from cardamomquay.idempotency import SweepInterrupted
from cardamomquay.idempotency import TableOnceRegistry
from cardamomquay.idempotency import sweep_claims
from cardamomquay.platform import Condition
from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Write

CONTROLLER = RowKey("lenders", "moves")
HOUR_S = 3600.0


class SweepTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tables = FaultyTables()
        self.version = self.take_control()
        registry = TableOnceRegistry(self.tables)
        ages_h = {"old": 0.0, "at the limit": 1.0, "young": 1.1, "undated": None}
        for key, hours in ages_h.items():
            at_s = None if hours is None else hours * HOUR_S
            registry.begin(claim(key, key, at_s=at_s))
        registry.record(claim("old", "old", at_s=0.0), answer())

    def take_control(self) -> int:
        write = Write(CONTROLLER, {"host": "a"})
        return self.tables.inner.transact(Transaction((), (write,))).revision

    def left(self) -> int:
        return len(self.tables.inner.scan("claims").rows)

    def test_cases(self) -> None:
        """Guards against early expiry, and deletions by a former controller."""
        cases = {  # fates, lost control, batch, outcome, rows left
            "whole": ([], False, 100, SweepDone(2, 1), 2),
            "batches": ([], False, 1, SweepDone(2, 1), 2),
            "fenced": ([], True, 100, SweepFenced(0), 4),
            "answer lost": (["lost"], False, 100, SweepInterrupted(0), 2),
            "second dropped": (["ok", "dropped"], False, 1, SweepInterrupted(1), 3),
        }
        for name, (fates, taken_over, batch, expected, left) in cases.items():
            with self.subTest(name):
                self.setUp()
                if taken_over:
                    self.take_control()
                self.tables.fates = list(fates)
                fence = Condition(CONTROLLER, self.version)
                result = sweep_claims(self.tables, 73 * HOUR_S, fence, batch)
                self.assertEqual((result, self.left()), (expected, left))

    def test_a_row_that_changes_meanwhile_stays(self) -> None:
        """Guards against deleting what an older snapshot shows."""
        old = self.tables.inner.scan("claims")
        TableOnceRegistry(self.tables).abandon(claim("at the limit", "at the limit"))
        TableOnceRegistry(self.tables).begin(
            claim("new", "at the limit", at_s=72 * HOUR_S)
        )
        self.tables.scan = lambda table: old
        fence = Condition(CONTROLLER, self.version)
        result = sweep_claims(self.tables, 73 * HOUR_S, fence)
        self.assertEqual((result, self.left()), (SweepDone(1, 1), 3))


if __name__ == "__main__":
    unittest.main()
