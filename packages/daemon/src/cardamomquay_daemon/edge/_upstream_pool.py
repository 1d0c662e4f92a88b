"""Kept connections to upstreams."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from cardamomquay_daemon.edge._http_client import HttpConnection

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from cardamomquay.traffic import Upstream
    from cardamomquay_daemon.edge._http_client import HttpAnswer

# Longest wait for an upstream to accept. A lost opening packet is sent again after
# 1 s; another upstream is the better choice by then.
CONNECT_TIMEOUT_S = 0.5
# Idle limit of an upstream that does not state one.
IDLE_LIMIT_S = 4.0
# Part of the idle limit for which a connection is reused; an upstream that closes
# while a request is on its way leaves it unknown whether the request ran.
IDLE_REUSE_SHARE = 0.6
IDLE_PER_UPSTREAM_MAX = 16


class UpstreamPool:
    """Idle connections by upstream instance."""

    def __init__(self) -> None:
        self._idle: dict[str, list[HttpConnection]] = {}
        self.opened = 0

    @asynccontextmanager
    async def connection(self, upstream: Upstream) -> AsyncGenerator[HttpConnection]:
        """Lend a connection for one exchange; it is closed unless `keep` is called.

        Parameters
        ----------
        upstream : Upstream

        Raises
        ------
        ExchangeError
            If no connection can be opened.
        """
        conn = self._take_idle(upstream)
        if conn is None:
            conn = await HttpConnection.open(
                parse_address(upstream.address), CONNECT_TIMEOUT_S
            )
            self.opened += 1
        conn.idle_limit_s = 0.0
        try:
            yield conn
        finally:
            if conn.idle_limit_s > 0.0:
                self._keep(upstream, conn)
            else:
                conn.close()

    def keep(self, conn: HttpConnection, answer: HttpAnswer) -> None:
        """Mark a lent connection as reusable after a complete answer."""
        if not answer.ends_connection:
            conn.idle_limit_s = _idle_limit_s(answer) * IDLE_REUSE_SHARE

    def drop(self, instance: str) -> None:
        """Close the idle connections to an upstream."""
        for conn in self._idle.pop(instance, ()):
            conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for instance in tuple(self._idle):
            self.drop(instance)

    def _take_idle(self, upstream: Upstream) -> HttpConnection | None:
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get(upstream.instance, [])
        while idle:
            conn = idle.pop()
            if conn.is_reusable and now_s - conn.idle_since_s < conn.idle_limit_s:
                return conn
            conn.close()
        return None

    def _keep(self, upstream: Upstream, conn: HttpConnection) -> None:
        idle = self._idle.setdefault(upstream.instance, [])
        if len(idle) >= IDLE_PER_UPSTREAM_MAX:
            conn.close()
            return
        conn.idle_since_s = asyncio.get_running_loop().time()
        idle.append(conn)


def parse_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``.

    Raises
    ------
    ValueError
        If there is no port.
    """
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def _idle_limit_s(answer: HttpAnswer) -> float:
    value = answer.header(b"keep-alive") or b""
    for item in value.split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return float(seconds)
    return IDLE_LIMIT_S
