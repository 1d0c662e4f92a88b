"""In-process fakes of the platform's services, with switchable faults."""

from __future__ import annotations

import json
import threading
from dataclasses import dataclass
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
    """

    down: bool = False
    unreachable: bool = False
    lose_answers: int = 0

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
    """A table service in memory, linearizable by one lock."""

    def __init__(self) -> None:
        self.faults = Faults()
        self._lock = threading.Lock()
        self._revision = 0
        self._rows: dict[RowKey, Row] = {}

    def read(self, keys: Sequence[RowKey]) -> RowsRead | Unavailable:
        with self._lock:
            if (fault := self.faults.before_call()) is not None:
                return fault
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
            if (fault := self.faults.before_call()) is not None:
                return fault
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
            lost = self.faults.after_commit()
            return Committed(self._revision) if lost is None else lost

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
