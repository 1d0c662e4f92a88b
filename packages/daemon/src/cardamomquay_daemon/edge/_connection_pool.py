"""Pool of HTTP connections to one address."""

from __future__ import annotations

import asyncio
from abc import ABC
from abc import abstractmethod
from collections import OrderedDict
from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING

from cardamomquay_daemon.edge._http_client import CONNECT_REFUSED
from cardamomquay_daemon.edge._http_client import ExchangeError
from cardamomquay_daemon.edge._http_client import HttpConnection

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

# A process that ends closes its sockets one after the other, so that a connection may
# still be accepted just before the listening socket is closed.
SETTLE_TIME_S = 0.02


class PoolListener(ABC):
    """Gets what a pool's connections show of the server."""

    @abstractmethod
    def on_lost(self, alive_ago_s: float) -> None:
        """Handle the end, by the server, of a connection that it had to keep.

        Either a request was in progress, or the connection was idle for less time than
        the server has stated. New connections do not count.

        Parameters
        ----------
        alive_ago_s : float
            Time since the last bytes were received on it.
        """

    @abstractmethod
    def on_refused(self, began_ago_s: float) -> None:
        """Handle a refused connection.

        Parameters
        ----------
        began_ago_s : float
            Time since the attempt to open it began.
        """


class ConnectionCount:
    """Counts the connections of several pools, and closes idle ones for new ones.

    Parameters
    ----------
    connections_max : int or None, default=None
        None for no bound. Connections in use may exceed it.
    """

    def __init__(self, connections_max: int | None = None) -> None:
        self._connections_max = connections_max
        self._open_count = 0
        # The one that has been idle for the longest time first.
        self._pool_by_idle: OrderedDict[HttpConnection, ConnectionPool] = OrderedDict()

    def __len__(self) -> int:
        return self._open_count

    def begin_open(self) -> None:
        """Count a connection that is about to be opened."""
        self._open_count += 1
        if self._connections_max is None:
            return
        while self._open_count > self._connections_max and self._pool_by_idle:
            conn, pool = next(iter(self._pool_by_idle.items()))
            pool.close_idle(conn)

    def end(self) -> None:
        """Count the end of a connection, or that it was not opened."""
        self._open_count -= 1

    def add_idle(self, conn: HttpConnection, pool: ConnectionPool) -> None:
        """Add a connection that may be closed for others."""
        self._pool_by_idle[conn] = pool

    def remove_idle(self, conn: HttpConnection) -> None:
        """Remove a connection that is used again, or closed."""
        del self._pool_by_idle[conn]


class ConnectionPool:
    """Provides connections, and keeps reusable ones open.

    Parameters
    ----------
    address : tuple of str and int
    connect_timeout_s : float
        Longest time to open a connection.
    idle_max : int
        Largest number of idle connections to keep.
    listener : PoolListener or None, default=None
    count : ConnectionCount or None, default=None
        Shared with other pools.
    service : str, default=""
        Service whose answers are for callers; see `HttpConnection`.
    """

    def __init__(
        self,
        address: tuple[str, int],
        connect_timeout_s: float,
        idle_max: int,
        listener: PoolListener | None = None,
        count: ConnectionCount | None = None,
        *,
        service: str = "",
    ) -> None:
        self._service = service
        # An object without connections is false.
        self._count = ConnectionCount() if count is None else count
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._idle_max = idle_max
        self._listener = listener
        self._idle: list[HttpConnection] = []
        self._in_use: set[HttpConnection] = set()

    def has_connection_from_before(self, before_s: float) -> bool:
        """Return whether a connection opened before a time is still open.

        Parameters
        ----------
        before_s : float
            On the clock of the event loop.

        Returns
        -------
        bool
        """
        return any(
            conn.opened_s < before_s and not conn.was_ended_by_peer
            for conn in (*self._idle, *self._in_use)
        )

    async def is_listening(self) -> bool:
        """Return whether the server accepts a connection and keeps it open."""
        try:
            conn = await self._open()
        except ExchangeError:
            return False
        try:
            await asyncio.sleep(SETTLE_TIME_S)
            return conn.is_reusable
        finally:
            self._close(conn)

    @asynccontextmanager
    async def connection(self) -> AsyncGenerator[HttpConnection]:
        """Acquire a connection for one request.

        On release it is kept for reuse if its `idle_limit_s` has been set during the
        request and fewer than `idle_max` connections are idle; otherwise it is closed.

        Raises
        ------
        ExchangeError
            If no connection can be opened.
        """
        conn = self._take_idle()
        is_reused = conn is not None
        if conn is None:
            conn = await self._open()
        conn.idle_limit_s = 0.0
        self._in_use.add(conn)
        try:
            yield conn
        except ExchangeError:
            # A server may reset new connections because it has too many.
            if conn.was_ended_by_peer and is_reused:
                self._report_lost(conn)
            raise
        finally:
            self._in_use.discard(conn)
            if conn.idle_limit_s > 0.0 and len(self._idle) < self._idle_max:
                conn.idle_since_s = asyncio.get_running_loop().time()
                conn.call_at_end_by_peer(partial(self._on_idle_end, conn))
                self._idle.append(conn)
                self._count.add_idle(conn, self)
            else:
                self._close(conn)

    def close(self) -> None:
        """Close the idle connections; those in use are closed on release."""
        self._idle_max = 0
        while self._idle:
            self.close_idle(self._idle[-1])

    def close_idle(self, conn: HttpConnection) -> None:
        """Close an idle connection."""
        self._remove_idle(conn)
        self._close(conn)

    def _on_idle_end(self, conn: HttpConnection) -> None:
        if conn not in self._idle:
            return
        self.close_idle(conn)
        idle_s = asyncio.get_running_loop().time() - conn.idle_since_s
        if conn.is_idle_limit_stated and idle_s < conn.idle_limit_s:
            self._report_lost(conn)

    def _report_lost(self, conn: HttpConnection) -> None:
        if self._listener is not None:
            now_s = asyncio.get_running_loop().time()
            self._listener.on_lost(now_s - conn.last_received_s)

    async def _open(self) -> HttpConnection:
        began_s = asyncio.get_running_loop().time()
        self._count.begin_open()
        conn: HttpConnection | None = None
        try:
            conn = await HttpConnection.open(self._address, self._connect_timeout_s)
        except ExchangeError as exc:
            if exc.reason == CONNECT_REFUSED and self._listener is not None:
                now_s = asyncio.get_running_loop().time()
                self._listener.on_refused(now_s - began_s)
            raise
        finally:
            if conn is None:
                self._count.end()
        conn.service = self._service
        return conn

    def _close(self, conn: HttpConnection) -> None:
        conn.close()
        self._count.end()

    def _remove_idle(self, conn: HttpConnection) -> None:
        conn.call_at_end_by_peer(None)
        self._idle.remove(conn)
        self._count.remove_idle(conn)

    def _take_idle(self) -> HttpConnection | None:
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            conn = self._idle[-1]
            if conn.is_reusable and now_s - conn.idle_since_s < conn.idle_limit_s:
                self._remove_idle(conn)
                return conn
            self.close_idle(conn)
        return None
