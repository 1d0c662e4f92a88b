"""Connections to upstreams."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay_daemon.edge._addresses import parse_address
from cardamomquay_daemon.edge._connection_pool import ConnectionCount
from cardamomquay_daemon.edge._connection_pool import ConnectionPool
from cardamomquay_daemon.edge._connection_pool import PoolListener

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from cardamomquay.traffic import Upstream
    from cardamomquay_daemon.edge._http_client import HttpAnswer
    from cardamomquay_daemon.edge._http_client import HttpConnection

# Longest time to open a connection. A lost SYN packet is sent again only after 1 s, and
# another upstream is the better choice by then.
CONNECT_TIMEOUT_S = 0.5
# Time for which an upstream keeps an idle connection open, unless its Keep-Alive header
# states another.
KEEP_ALIVE_TIMEOUT_S = 4.0
# Share of that time for which a connection is reused. If the upstream closes it while a
# request is in transit, it is unknown whether the request has run.
IDLE_REUSE_SHARE = 0.6
# Number of idle connections kept open for each upstream.
IDLE_PER_UPSTREAM_MAX = 16


class ConnectionListener(ABC):
    """Gets what connections show of upstreams; see `PoolListener`."""

    @abstractmethod
    def on_lost(self, instance: str, alive_ago_s: float) -> None:
        """Handle a connection that an upstream had to keep and ended."""

    @abstractmethod
    def on_refused(self, instance: str, began_ago_s: float) -> None:
        """Handle a refused connection."""


class UpstreamConnections:
    """Connection pools by upstream instance.

    Parameters
    ----------
    connections_max : int or None, default=None
        Number of connections, of all pools, above which idle ones are closed.

    Attributes
    ----------
    listener : ConnectionListener or None
    """

    def __init__(self, connections_max: int | None = None) -> None:
        self._count = ConnectionCount(connections_max)
        self._pools: dict[str, ConnectionPool] = {}
        self.listener: ConnectionListener | None = None

    def connection(
        self, upstream: Upstream
    ) -> AbstractAsyncContextManager[HttpConnection]:
        """Acquire a connection for one request; it is closed unless `keep` is called.

        Parameters
        ----------
        upstream : Upstream

        Raises
        ------
        ExchangeError
            If no connection can be opened.
        """
        return self._pool_of(upstream).connection()

    def has_connection_from_before(self, instance: str, before_s: float) -> bool:
        """Return whether a connection to an upstream is still open.

        Parameters
        ----------
        instance : str
        before_s : float
            Only connections opened before this time on the clock of the event loop
            count.

        Returns
        -------
        bool
        """
        pool = self._pools.get(instance)
        return pool is not None and pool.has_connection_from_before(before_s)

    def connected_count(self, before_s: float) -> int:
        """Return to how many upstreams a connection from before is open."""
        return sum(
            pool.has_connection_from_before(before_s) for pool in self._pools.values()
        )

    async def is_listening(self, upstream: Upstream) -> bool:
        """Return whether an upstream still accepts connections."""
        return await self._pool_of(upstream).is_listening()

    def _pool_of(self, upstream: Upstream) -> ConnectionPool:
        pool = self._pools.get(upstream.instance)
        if pool is None:
            pool = self._pools[upstream.instance] = ConnectionPool(
                parse_address(upstream.address),
                CONNECT_TIMEOUT_S,
                IDLE_PER_UPSTREAM_MAX,
                _InstanceListener(self, upstream.instance),
                self._count,
                service=upstream.service,
            )
        return pool

    @staticmethod
    def keep(conn: HttpConnection, answer: HttpAnswer) -> None:
        """Mark a connection in use as reusable after a complete answer."""
        if not answer.ends_connection:
            stated_s = _stated_keep_alive_timeout_s(answer)
            conn.is_idle_limit_stated = stated_s is not None
            timeout_s = KEEP_ALIVE_TIMEOUT_S if stated_s is None else stated_s
            conn.idle_limit_s = timeout_s * IDLE_REUSE_SHARE

    def drop(self, instance: str) -> None:
        """Close the idle connections to an upstream."""
        pool = self._pools.pop(instance, None)
        if pool is not None:
            pool.close()

    def close(self) -> None:
        """Close all idle connections."""
        for instance in tuple(self._pools):
            self.drop(instance)


@dataclass(frozen=True, slots=True)
class _InstanceListener(PoolListener):
    """Adds the upstream's instance name to what its pool reports."""

    connections: UpstreamConnections
    instance: str

    def on_lost(self, alive_ago_s: float) -> None:
        if self.connections.listener is not None:
            self.connections.listener.on_lost(self.instance, alive_ago_s)

    def on_refused(self, began_ago_s: float) -> None:
        if self.connections.listener is not None:
            self.connections.listener.on_refused(self.instance, began_ago_s)


def _stated_keep_alive_timeout_s(answer: HttpAnswer) -> float | None:
    value = answer.header(b"keep-alive") or b""
    for item in value.split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return float(seconds)
    return None
