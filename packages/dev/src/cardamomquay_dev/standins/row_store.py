"""Stand-in for the store of the users' platform, which `cardamomquay_platform` calls.

It speaks the same HTTP protocol as the store.
"""

from __future__ import annotations

import asyncio
import copy
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import msgspec

from cardamomquay_daemon.edge import CallerAnswer
from cardamomquay_daemon.edge import CallerConnection
from cardamomquay_daemon.edge import CallerRequest
from cardamomquay_daemon.edge import ReadLimits

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

# Rows of a page unless the caller sets a limit.
PAGE_ROWS = 500
# Header and body sizes in bytes; longest silences within and between requests in s.
READ_LIMITS = ReadLimits(16384, 2_000_000, 5.0, 30.0)
# Table, part and key.
RowId = tuple[str, str, str]


@dataclass
class StoredRow:
    """A row, or the tombstone of a removed one."""

    value: str
    version: int
    is_removed: bool = False


@dataclass(frozen=True)
class StoreCopy:
    """Rows of a store at one version, from which it can be restored."""

    version: int
    rows: dict[RowId, StoredRow]


@dataclass
class RowStore:
    """Rows with transactions and a feed of changes.

    Parameters
    ----------
    next_statuses : list of int
        Error statuses of the next calls, one each.
    unanswered_writes_left : int
        Number of the next transactions that are committed without an answer.
    oldest_feed_version : int
        Feed reads after an older version get 410.
    calls : list of str
        Paths of all calls so far.
    era : int
        Sent with each answer; rises by one with each `restore`.
    """

    version: int = 0
    rows: dict[RowId, StoredRow] = field(default_factory=dict)
    next_statuses: list[int] = field(default_factory=list)
    unanswered_writes_left: int = 0
    oldest_feed_version: int = 0
    calls: list[str] = field(default_factory=list)
    era: int = 1
    address: tuple[str, int] = ("", 0)
    _change_event: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, table: str, key: str, value: str) -> int:
        """Write a row as an operator or an upstream does and return its version.

        `value` is Base64.
        """
        self.version += 1
        self.rows[(table, "", key)] = StoredRow(value, self.version)
        self._wake_feeds()
        return self.version

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self.version += 1
        self.rows[(table, "", key)] = StoredRow("", self.version, is_removed=True)
        self._wake_feeds()

    def make_copy(self) -> StoreCopy:
        """Return a copy for `restore`."""
        return StoreCopy(self.version, copy.deepcopy(self.rows))

    def restore(self, source: StoreCopy) -> None:
        """Return to the state of a copy; what was written since is lost.

        The versions since then are given out again.
        """
        self.version = source.version
        self.rows = copy.deepcopy(source.rows)
        self.era += 1
        self._wake_feeds()

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answer one call."""
        answer = await self._handle(request)
        era_header = (b"store-era", b"%d" % self.era)
        return replace(answer, headers=[*answer.headers, era_header])

    async def _handle(self, request: CallerRequest) -> CallerAnswer:
        parts = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        self.calls.append(parts.path)
        if self.next_statuses:
            return CallerAnswer(self.next_statuses.pop(0))
        if parts.path == "/v1/rows-get":
            return self._get(query)
        if parts.path == "/v1/rows-feed":
            return await self._feed(query)
        if parts.path == "/v1/rows-tx":
            return await self._transact(msgspec.json.decode(request.body))
        return CallerAnswer(404)

    def _get(self, query: dict[str, str]) -> CallerAnswer:
        table_part = (query["table"], query.get("part", ""))
        keys = sorted(
            key
            for (table, part, key), row in self.rows.items()
            if (table, part) == table_part
            and not row.is_removed
            and key >= query.get("from", "")
        )
        limit = int(query.get("limit", PAGE_ROWS))
        shown = [self._row_fields((*table_part, key)) for key in keys[:limit]]
        return self._answer({"rows": shown, "hasMore": len(keys) > limit})

    async def _feed(self, query: dict[str, str]) -> CallerAnswer:
        after = int(query["after"])
        if after < self.oldest_feed_version or after > self.version:
            return CallerAnswer(410)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + int(query.get("waitMs", 0)) / 1000.0
        while True:
            changed = sorted(
                (row.version, row_id)
                for row_id, row in self.rows.items()
                if row_id[0] == query["table"] and row.version > after
            )
            if changed or loop.time() >= deadline_s:
                return self._answer(
                    {"rows": [self._row_fields(row_id) for _, row_id in changed]}
                )
            try:
                async with asyncio.timeout_at(deadline_s):
                    await self._change_event.wait()
            except TimeoutError:
                continue

    async def _transact(self, body: dict[str, Any]) -> CallerAnswer:
        for item in body["expect"]:
            row = self.rows.get(_parse_row_id(item))
            version = 0 if row is None or row.is_removed else row.version
            if version != item["ver"]:
                shown = [
                    self._row_fields(_parse_row_id(item)) for item in body["expect"]
                ]
                return self._answer({"rows": shown}, 412)
        self.version += 1
        for item in body["writes"]:
            self.rows[_parse_row_id(item)] = StoredRow(item["value"], self.version)
        for item in body["remove"]:
            self.rows[_parse_row_id(item)] = StoredRow(
                "", self.version, is_removed=True
            )
        self._wake_feeds()
        if self.unanswered_writes_left:
            self.unanswered_writes_left -= 1
            await asyncio.Event().wait()
        return self._answer({})

    def _row_fields(self, row_id: RowId) -> dict[str, Any]:
        table, part, key = row_id
        shown: dict[str, Any] = {"table": table, "part": part, "key": key}
        row = self.rows.get(row_id)
        if row is None or row.is_removed:
            return {**shown, "ver": row.version if row else 0, "removed": True}
        return {**shown, "value": row.value, "ver": row.version}

    def _answer(self, fields: dict[str, Any], status: int = 200) -> CallerAnswer:
        body = msgspec.json.encode({**fields, "ver": self.version, "nowS": 1.0})
        return CallerAnswer(status, [(b"content-type", b"application/json")], body)

    def _wake_feeds(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()


def _parse_row_id(item: dict[str, Any]) -> RowId:
    return item["table"], item.get("part", ""), item["key"]


@asynccontextmanager
async def serve_row_store(store: RowStore) -> AsyncGenerator[RowStore]:
    """Serve a store on a free loopback port.

    Parameters
    ----------
    store : RowStore

    Yields
    ------
    RowStore
        The same store, with its `address` set.
    """
    connections: set[CallerConnection] = set()
    server = await asyncio.get_running_loop().create_server(
        lambda: CallerConnection(
            store.handle, lambda: READ_LIMITS, lambda: False, connections
        ),
        "127.0.0.1",
        0,
    )
    store.address = server.sockets[0].getsockname()[:2]
    try:
        yield store
    finally:
        server.close()
        for conn in tuple(connections):
            conn.abort()
