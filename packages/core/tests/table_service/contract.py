"""Tests that every `TableService` must pass, including clients in other packages."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from cardamomquay.platform import Committed
from cardamomquay.platform import Condition
from cardamomquay.platform import Conflicted
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Unavailable
from cardamomquay.platform import Write

if TYPE_CHECKING:
    import unittest

    from cardamomquay.platform import TableService

    Base = unittest.TestCase
else:
    Base = object

A, B, C = (RowKey("t", key) for key in "abc")
OTHER = RowKey("u", "a")
COUNTER = RowKey("t", "counter")


class TableServiceContract(Base):
    """Mix-in for a `TestCase` that sets `tables` to an empty service in `setUp`.

    `set_faults` takes fields of `cardamomquay.platform.Faults`.
    """

    tables: TableService

    def set_faults(self, **faults: object) -> None:
        raise NotImplementedError

    def commit(self, *writes: Write, conditions: tuple[Condition, ...] = ()) -> int:
        result = self.tables.transact(Transaction(conditions, writes))
        self.assertIsInstance(result, Committed)
        return result.revision

    def rows(self, *keys: RowKey) -> tuple[Row, ...]:
        return self.tables.read(keys).rows

    def test_read_and_scan(self) -> None:
        """Guards against reads with missing, misordered or stale rows."""
        first = self.commit(Write(C, {"n": 1}), Write(A, {"n": 2}), Write(OTHER, {}))
        second = self.commit(Write(A, {"n": 3}))
        self.assertGreater(second, first)
        expected = (Row(C, first, {"n": 1}), Row(B, 0, None), Row(A, second, {"n": 3}))
        self.assertEqual(self.rows(C, B, A), expected)
        self.assertEqual(self.tables.read([A]).revision, second)
        scanned = self.tables.scan("t")
        self.assertLessEqual(scanned.revision, second)
        self.assertEqual([row.key for row in scanned.rows], [A, C])
        self.assertEqual(self.tables.scan("none").rows, ())
        self.commit(Write(A, None))
        self.assertEqual(self.rows(A), (Row(A, 0, None),))

    def test_values(self) -> None:
        """Guards against values changed in transit, or shared with the writer."""
        value = {"text": 'ø "\n', "list": [1, 2.5, None, True], "map": {"": []}}
        sent = json.loads(json.dumps(value))
        self.commit(Write(A, sent))
        sent["list"].append(1)
        self.assertEqual(self.rows(A)[0].value, value)

    def test_conditions(self) -> None:
        """Guards against transactions applied partly or despite a failed condition."""
        version = self.commit(Write(A, {"n": 1}))
        cases = {  # conditions, keys of the rows in the conflict
            "none": ((), ()),
            "present": ((Condition(A, version),), ()),
            "absent": ((Condition(B, 0),), ()),
            "older": ((Condition(A, version - 1),), (A,)),
            "not absent": ((Condition(A, 0),), (A,)),
            "not present": ((Condition(B, version),), (B,)),
            "one of two": ((Condition(A, version), Condition(B, 1)), (B,)),
            "both": ((Condition(B, 1), Condition(A, 0)), (A, B)),
        }
        for name, (conditions, failed) in cases.items():
            with self.subTest(name):
                write = Write(C, {"case": name})
                result = self.tables.transact(Transaction(conditions, (write,)))
                if not failed:
                    self.assertIsInstance(result, Committed)
                    self.assertEqual(self.rows(C)[0].value, write.value)
                    continue
                self.assertIsInstance(result, Conflicted)
                found = sorted(result.rows, key=lambda row: row.key)
                self.assertEqual(tuple(found), self.rows(*failed))
                self.assertNotEqual(self.rows(C)[0].value, write.value)

    def test_faults(self) -> None:
        """Guards against failures whose `refused` or `may_have_committed` is wrong."""
        cases = {  # faults, refused, may_have_committed, stored value
            "down": ({"down": True}, True, False, None),
            "unreachable": ({"unreachable": True}, False, True, None),
            "answer lost": ({"lose_answers": 1}, False, True, {"n": 1}),
        }
        for name, (faults, refused, may_have_committed, stored) in cases.items():
            with self.subTest(name):
                self.commit(Write(A, None))
                self.set_faults(**faults)
                result = self.tables.transact(Transaction((), (Write(A, {"n": 1}),)))
                self.assertIsInstance(result, Unavailable)
                self.assertIs(result.refused, refused)
                self.assertIs(result.may_have_committed, may_have_committed)
                if stored is None:
                    for result in (self.tables.read([A]), self.tables.scan("t")):
                        self.assertIsInstance(result, Unavailable)
                        self.assertIs(result.refused, refused)
                self.set_faults(down=False, unreachable=False, lose_answers=0)
                self.assertEqual(self.rows(A)[0].value, stored)

    def test_concurrent_transactions(self) -> None:
        """Guards against lost updates by concurrent transactions."""

        def count_up(_: int) -> None:
            while True:
                row = self.rows(COUNTER)[0]
                write = Write(COUNTER, {"n": row.value["n"] + 1 if row.value else 1})
                condition = Condition(COUNTER, row.version)
                result = self.tables.transact(Transaction((condition,), (write,)))
                if isinstance(result, Committed):
                    return

        with ThreadPoolExecutor(4) as executor:
            list(executor.map(count_up, range(40)))
        self.assertEqual(self.rows(COUNTER)[0].value, {"n": 40})
