from __future__ import annotations

import unittest

from table_service.contract import A
from table_service.contract import TableServiceContract

from cardamomquay.platform import MemoryTableService
from cardamomquay.platform import Transaction
from cardamomquay.platform import Unavailable
from cardamomquay.platform import Write


class MemoryTableServiceTest(TableServiceContract, unittest.TestCase):
    def setUp(self) -> None:
        self.tables = MemoryTableService()

    def set_faults(self, **faults: object) -> None:
        for name, value in faults.items():
            setattr(self.tables.faults, name, value)

    def test_transaction_faults(self) -> None:
        """Guards against tests that pass because the injected fault has no effect."""
        # Fault, and the stored value before and after `commit_delayed`.
        for fault, values in (
            ("ok", [{}, {}]),
            ("lost", [{}, {}]),
            ("late", [None, {}]),
            ("dropped", [None, None]),
        ):
            with self.subTest(fault):
                self.setUp()
                self.tables.faults.fates = [fault]
                result = self.tables.transact(Transaction((), (Write(A, {}),)))
                self.assertIs(isinstance(result, Unavailable), fault != "ok")
                found = [self.tables.stored_row(A).value]
                self.tables.commit_delayed()
                self.assertEqual([*found, self.tables.stored_row(A).value], values)


if __name__ == "__main__":
    unittest.main()
