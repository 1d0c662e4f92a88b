"""In-process fakes of the platform's services, with switchable faults."""

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


class Fate(StrEnum):
    """What becomes of a transaction. All but `OK` end without an answer."""

    OK = "ok"
    LOST = "lost"
    """It takes effect."""
    LATE = "late"
    """It takes effect on `MemoryTableService.deliver_late`, if it still can."""
    DROPPED = "dropped"
    """It has no effect."""


@dataclass(slots=True)
class Faults:
    """Faults that a test or an operator of the stand-in switches on.

    Parameters
    ----------
    down : bool
        The service refuses every call.
    unreachable : bool
        Calls end without an answer and without effect.
    lose_answers : int
        So many of the next commits take effect while their answer is lost.
    fates : list of Fate
        Fates of the next transactions; those after them are `Fate.OK`.
    fail_reads : int
        So many of the next reads end without an answer.
    """

    down: bool = False
    unreachable: bool = False
    lose_answers: int = 0
    fates: list[Fate] = field(default_factory=list)
    fail_reads: int = 0

    def before_call(self) -> Unavailable | None:
        """Return the outcome of a call that must not reach the data, or None."""
        if self.unreachable:
            return Unavailable("no answer", may_have_committed=True)
        if self.down:
            return Unavailable("service is down", refused=True)
        return None

    def after_commit(self) -> Unavailable | None:
        """Return the outcome that hides a commit's answer, or None."""
        if self.lose_answers <= 0:
            return None
        self.lose_answers -= 1
        return Unavailable("answer lost", may_have_committed=True)


class MemoryTableService(TableService):
    """A table service in memory, linearizable by one lock.

    Attributes
    ----------
    faults : Faults
    reads, transactions : int
        Calls so far.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.reads = 0
        self.transactions = 0
        self._late: list[Transaction] = []
        self._lock = threading.Lock()
        self._revision = 0
        self._rows: dict[RowKey, Row] = {}

    def read(self, keys: Sequence[RowKey]) -> RowsRead | Unavailable:
        with self._lock:
            self.reads += 1
            if (fault := self.faults.before_call()) is not None:
                return fault
            if self.faults.fail_reads > 0:
                self.faults.fail_reads -= 1
                return Unavailable("no answer")
            return RowsRead(self._revision, tuple(self._row(key) for key in keys))

    def scan(self, table: str) -> RowsRead | Unavailable:
        with self._lock:
            if (fault := self.faults.before_call()) is not None:
                return fault
            keys = sorted(key for key in self._rows if key.table == table)
            return RowsRead(self._revision, tuple(self._rows[key] for key in keys))

    def transact(
        self, transaction: Transaction
    ) -> Committed | Conflicted | Unavailable:
        with self._lock:
            self.transactions += 1
            if (fault := self.faults.before_call()) is not None:
                return fault
            fates = self.faults.fates
            fate = Fate(fates.pop(0)) if fates else Fate.OK
            if fate is Fate.LATE:
                self._late.append(transaction)
            if fate in (Fate.LATE, Fate.DROPPED):
                return Unavailable("no answer", may_have_committed=True)
            result = self._commit(transaction)
            if fate is Fate.LOST:
                return Unavailable("answer lost", may_have_committed=True)
            lost = self.faults.after_commit() if isinstance(result, Committed) else None
            return result if lost is None else lost

    def deliver_late(self) -> None:
        """Try the transactions whose fate was `Fate.LATE`, past every fault."""
        with self._lock:
            while self._late:
                self._commit(self._late.pop(0))

    def stored(self, key: RowKey) -> Row:
        """Return a row as stored, past every fault."""
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
        # A copy through JSON keeps later changes of the caller's object out.
        self._rows[key] = Row(key, self._revision, json.loads(json.dumps(value)))


class MemoryObjectStore(ObjectStore):
    """An object store in memory."""

    def __init__(self) -> None:
        self.faults = Faults()
        self._objects: dict[str, bytes] = {}

    def get(self, name: str) -> bytes | Unavailable | None:
        fault = self.faults.before_call()
        return self._objects.get(name) if fault is None else fault

    def put(self, name: str, data: bytes) -> Unavailable | None:
        fault = self.faults.before_call()
        if fault is not None:
            return fault
        self._objects[name] = data
        return self.faults.after_commit()


class MemoryHostList(HostList):
    """A host list that a test sets."""

    def __init__(self, hosts: tuple[ListedHost, ...] = ()) -> None:
        self.faults = Faults()
        self.hosts = hosts

    def listed(self) -> tuple[ListedHost, ...] | Unavailable:
        fault = self.faults.before_call()
        return self.hosts if fault is None else fault
