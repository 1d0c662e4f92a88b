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

    def test_fates(self) -> None:
        """Guards against fault tests whose faults do not happen."""
        for fate, values in (
            ("ok", [{}, {}]),
            ("lost", [{}, {}]),
            ("late", [None, {}]),
            ("dropped", [None, None]),
        ):
            with self.subTest(fate):
                self.setUp()
                self.tables.faults.fates = [fate]
                result = self.tables.transact(Transaction((), (Write(A, {}),)))
                self.assertIs(isinstance(result, Unavailable), fate != "ok")
                found = [self.tables.stored(A).value]
                self.tables.deliver_late()
                self.assertEqual([*found, self.tables.stored(A).value], values)


if __name__ == "__main__":
    unittest.main()
