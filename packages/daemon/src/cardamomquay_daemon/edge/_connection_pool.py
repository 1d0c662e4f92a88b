"""Pool of HTTP connections to one address."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from cardamomquay_daemon.edge._http_client import ExchangeError
from cardamomquay_daemon.edge._http_client import HttpConnection

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

# A process that ends closes its sockets one after the other, so that a connection may
# still be accepted just before the listening socket is closed.
SETTLE_TIME_S = 0.02


class ConnectionPool:
    """Provides connections, and keeps reusable ones open.

    Parameters
    ----------
    address : tuple of str and int
    connect_timeout_s : float
        Longest time to open a connection.
    idle_max : int
        Largest number of idle connections to keep.
    """

    def __init__(
        self, address: tuple[str, int], connect_timeout_s: float, idle_max: int
    ) -> None:
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._idle_max = idle_max
        self._idle: list[HttpConnection] = []

    async def is_listening(self) -> bool:
        """Return whether the server accepts a connection and keeps it open."""
        try:
            conn = await HttpConnection.open(self._address, self._connect_timeout_s)
        except ExchangeError:
            return False
        await asyncio.sleep(SETTLE_TIME_S)
        is_open = conn.is_reusable
        conn.close()
        return is_open

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
        if conn is None:
            conn = await HttpConnection.open(self._address, self._connect_timeout_s)
        conn.idle_limit_s = 0.0
        try:
            yield conn
        finally:
            if conn.idle_limit_s > 0.0 and len(self._idle) < self._idle_max:
                conn.idle_since_s = asyncio.get_running_loop().time()
                self._idle.append(conn)
            else:
                conn.close()

    def close(self) -> None:
        """Close the idle connections; those in use are closed on release."""
        self._idle_max = 0
        while self._idle:
            self._idle.pop().close()

    def _take_idle(self) -> HttpConnection | None:
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            conn = self._idle.pop()
            if conn.is_reusable and now_s - conn.idle_since_s < conn.idle_limit_s:
                return conn
            conn.close()
        return None
