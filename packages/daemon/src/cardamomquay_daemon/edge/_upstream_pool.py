"""Kept connections to upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomquay_daemon.edge._kept_connections import KeptConnections

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from cardamomquay.traffic import Upstream
    from cardamomquay_daemon.edge._http_client import HttpAnswer
    from cardamomquay_daemon.edge._http_client import HttpConnection

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
        self._kept: dict[str, KeptConnections] = {}

    def connection(
        self, upstream: Upstream
    ) -> AbstractAsyncContextManager[HttpConnection]:
        """Lend a connection for one exchange; it is closed unless `keep` is called.

        Parameters
        ----------
        upstream : Upstream

        Raises
        ------
        ExchangeError
            If no connection can be opened.
        """
        kept = self._kept.get(upstream.instance)
        if kept is None:
            kept = self._kept[upstream.instance] = KeptConnections(
                parse_address(upstream.address),
                CONNECT_TIMEOUT_S,
                IDLE_PER_UPSTREAM_MAX,
            )
        return kept.connection()

    @staticmethod
    def keep(conn: HttpConnection, answer: HttpAnswer) -> None:
        """Mark a lent connection as reusable after a complete answer."""
        if not answer.ends_connection:
            conn.idle_limit_s = _idle_limit_s(answer) * IDLE_REUSE_SHARE

    def drop(self, instance: str) -> None:
        """Close the idle connections to an upstream."""
        kept = self._kept.pop(instance, None)
        if kept is not None:
            kept.close()

    def close(self) -> None:
        """Close all idle connections."""
        for instance in tuple(self._kept):
            self.drop(instance)


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
