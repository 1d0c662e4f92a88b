"""In-memory fakes of the platform's services, with fault injection."""

from __future__ import annotations

import json
import threading
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING

from cardamomquay.platform._interfaces import Committed
from cardamomquay.platform._interfaces import Conflicted
from cardamomquay.platform._interfaces import HostList
from cardamomquay.platform._interfaces import ListedHost
from cardamomquay.platform._interfaces import ObjectStore
from cardamomquay.platform._interfaces import Row
from cardamomquay.platform._interfaces import RowKey
from cardamomquay.platform._interfaces import RowsRead
from cardamomquay.platform._interfaces import TableService
from cardamomquay.platform._interfaces import Transaction
from cardamomquay.platform._interfaces import Unavailable

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomquay.platform._interfaces import JsonValue


class TransactionFault(StrEnum):
    """Fault injected into a transaction. All but `NONE` return no answer."""

    NONE = "ok"
    ANSWER_LOST = "lost"
    """The transaction is applied, but its answer is lost."""
    DELAYED = "late"
    """The transaction is not applied before `MemoryTableService.commit_delayed`."""
    DROPPED = "dropped"
    """The transaction is not applied."""


@dataclass(slots=True)
class Faults:
    """Faults that a test, or the control port of the stand-in, injects.

    Parameters
    ----------
    down : bool
        The service refuses every call.
    unreachable : bool
        Calls return no answer and have no effect.
    lose_answers : int
        Number of the next commits that are applied but whose answer is lost.
    fates : list of TransactionFault
        Faults of the next transactions, in order; later ones have none.
    fail_reads : int
        Number of the next reads that return no answer.
    """

    down: bool = False
    unreachable: bool = False
    lose_answers: int = 0
    fates: list[TransactionFault] = field(default_factory=list)
    fail_reads: int = 0

    def call_fault(self) -> Unavailable | None:
        """Return the failure of a call that is not carried out, or None."""
        if self.unreachable:
            return Unavailable("no answer", may_have_committed=True)
        if self.down:
            return Unavailable("service is down", refused=True)
        return None

    def commit_fault(self) -> Unavailable | None:
        """Return the failure that replaces the answer of a commit, or None."""
        if self.lose_answers <= 0:
            return None
        self.lose_answers -= 1
        return Unavailable("answer lost", may_have_committed=True)


class MemoryTableService(TableService):
    """An in-memory table service, linearizable because one lock guards all calls.

    Attributes
    ----------
    faults : Faults
    reads, transactions : int
        Number of calls so far.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.reads = 0
        self.transactions = 0
        self._delayed: list[Transaction] = []
        self._lock = threading.Lock()
        self._revision = 0
        self._rows: dict[RowKey, Row] = {}

    def read(self, keys: Sequence[RowKey]) -> RowsRead | Unavailable:
        with self._lock:
            self.reads += 1
            if (fault := self.faults.call_fault()) is not None:
                return fault
            if self.faults.fail_reads > 0:
                self.faults.fail_reads -= 1
                return Unavailable("no answer")
            return RowsRead(self._revision, tuple(self._row(key) for key in keys))

    def scan(self, table: str) -> RowsRead | Unavailable:
        with self._lock:
            if (fault := self.faults.call_fault()) is not None:
                return fault
            keys = sorted(key for key in self._rows if key.table == table)
            return RowsRead(self._revision, tuple(self._rows[key] for key in keys))

    def transact(
        self, transaction: Transaction
    ) -> Committed | Conflicted | Unavailable:
        with self._lock:
            self.transactions += 1
            if (fault := self.faults.call_fault()) is not None:
                return fault
            fates = self.faults.fates
            injected = (
                TransactionFault(fates.pop(0)) if fates else TransactionFault.NONE
            )
            if injected is TransactionFault.DELAYED:
                self._delayed.append(transaction)
            if injected in (TransactionFault.DELAYED, TransactionFault.DROPPED):
                return Unavailable("no answer", may_have_committed=True)
            result = self._commit(transaction)
            if injected is TransactionFault.ANSWER_LOST:
                return Unavailable("answer lost", may_have_committed=True)
            lost = self.faults.commit_fault() if isinstance(result, Committed) else None
            return result if lost is None else lost

    def commit_delayed(self) -> None:
        """Commit the transactions that `TransactionFault.DELAYED` held back.

        Their conditions are checked now; injected faults are ignored.
        """
        with self._lock:
            while self._delayed:
                self._commit(self._delayed.pop(0))

    def stored_row(self, key: RowKey) -> Row:
        """Return a row as stored, ignoring injected faults."""
        with self._lock:
            return self._row(key)

    def _commit(self, transaction: Transaction) -> Committed | Conflicted:
        failed = tuple(
            self._row(condition.key)
            for condition in transaction.conditions
            if self._row(condition.key).version != condition.version
        )
        if failed:
            return Conflicted(failed)
        self._revision += 1
        for write in transaction.writes:
            self._apply(write.key, write.value)
        return Committed(self._revision)

    def _row(self, key: RowKey) -> Row:
        return self._rows.get(key, Row(key, 0, None))

    def _apply(self, key: RowKey, value: Mapping[str, JsonValue] | None) -> None:
        if value is None:
            self._rows.pop(key, None)
            return
        # The JSON round trip copies the value, so the caller may change its own.
        self._rows[key] = Row(key, self._revision, json.loads(json.dumps(value)))


class MemoryObjectStore(ObjectStore):
    """An in-memory object store."""

    def __init__(self) -> None:
        self.faults = Faults()
        self._objects: dict[str, bytes] = {}

    def get(self, name: str) -> bytes | Unavailable | None:
        fault = self.faults.call_fault()
        return self._objects.get(name) if fault is None else fault

    def put(self, name: str, data: bytes) -> Unavailable | None:
        fault = self.faults.call_fault()
        if fault is not None:
            return fault
        self._objects[name] = data
        return self.faults.commit_fault()


class MemoryHostList(HostList):
    """A host list with hosts set by a test."""

    def __init__(self, hosts: tuple[ListedHost, ...] = ()) -> None:
        self.faults = Faults()
        self.hosts = hosts

    def list_hosts(self) -> tuple[ListedHost, ...] | Unavailable:
        fault = self.faults.call_fault()
        return self.hosts if fault is None else fault
