from __future__ import annotations

import unittest

from table_service.contract import TableServiceContract
from table_service.faulty import FaultyTables

from cardamomquay.platform import MemoryTableService


class MemoryTableServiceTest(TableServiceContract, unittest.TestCase):
    def setUp(self) -> None:
        self.tables = MemoryTableService()

    def set_faults(self, **faults: object) -> None:
        for name, value in faults.items():
            setattr(self.tables.faults, name, value)


class FaultyTablesTest(MemoryTableServiceTest):
    """Guards against a test double that behaves unlike the service."""

    def setUp(self) -> None:
        self.tables = FaultyTables()

    def set_faults(self, **faults: object) -> None:
        for name, value in faults.items():
            setattr(self.tables.inner.faults, name, value)


if __name__ == "__main__":
    unittest.main()
