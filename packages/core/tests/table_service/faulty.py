"""A table service whose calls go wrong as a test says."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomquay.platform import MemoryTableService
from cardamomquay.platform import TableService
from cardamomquay.platform import Unavailable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomquay.platform import Committed
    from cardamomquay.platform import Conflicted
    from cardamomquay.platform import RowKey
    from cardamomquay.platform import RowsRead
    from cardamomquay.platform import Transaction

NO_ANSWER = Unavailable("no answer", may_have_committed=True)


class FaultyTables(TableService):
    """Gives each transaction the next fate of `fates`.

    ``lost`` takes effect without an answer, ``late`` takes effect only on
    `deliver_late`, ``dropped`` never does; all three end without an answer.
    `unreadable` counts reads that will fail.
    """

    def __init__(self) -> None:
        self.inner = MemoryTableService()
        self.fates: list[str] = []
        self.late: list[Transaction] = []
        self.unreadable = 0
        self.transactions = 0
        self.reads = 0

    def read(self, keys: Sequence[RowKey]) -> RowsRead | Unavailable:
        self.reads += 1
        if self.unreadable:
            self.unreadable -= 1
            return Unavailable("no answer")
        return self.inner.read(keys)

    def scan(self, table: str) -> RowsRead | Unavailable:
        return self.inner.scan(table)

    def transact(
        self, transaction: Transaction
    ) -> Committed | Conflicted | Unavailable:
        self.transactions += 1
        fate = self.fates.pop(0) if self.fates else "ok"
        if fate == "ok":
            return self.inner.transact(transaction)
        if fate == "lost":
            self.inner.transact(transaction)
        elif fate == "late":
            self.late.append(transaction)
        return NO_ANSWER

    def deliver_late(self) -> None:
        while self.late:
            self.inner.transact(self.late.pop(0))
