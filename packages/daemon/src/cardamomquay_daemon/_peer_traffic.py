"""Channels and servers of the peer protocol that count their bytes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from grpclib.client import Channel
from grpclib.protocol import H2Protocol
from grpclib.server import Server

if TYPE_CHECKING:
    from asyncio import BaseTransport


class ByteCount:
    """Bytes of all peer connections, without TCP and TLS; for one thread."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0

    def take(self) -> tuple[int, int]:
        """Return bytes sent and received since the call before."""
        taken = (self.sent, self.received)
        self.sent = self.received = 0
        return taken


class _CountedTransport:
    """Passes everything on and counts what is written."""

    def __init__(self, transport: Any, count: ByteCount) -> None:
        self._transport = transport
        self._count = count

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        self._count.sent += len(data)
        self._transport.write(data)


class _CountedProtocol(H2Protocol):
    def __init__(self, plain: H2Protocol, count: ByteCount) -> None:
        super().__init__(plain.handler, plain.config, plain.h2_config)
        self._count = count

    def connection_made(self, transport: BaseTransport) -> None:
        counted = _CountedTransport(transport, self._count)
        super().connection_made(cast("BaseTransport", counted))

    def data_received(self, data: bytes) -> None:
        self._count.received += len(data)
        super().data_received(data)


class CountedChannel(Channel):
    """A channel whose bytes count."""

    def __init__(self, host: str, port: int, *, ssl: Any, count: ByteCount) -> None:
        super().__init__(host, port, ssl=ssl)
        self._count = count

    def _protocol_factory(self) -> H2Protocol:
        return _CountedProtocol(super()._protocol_factory(), self._count)


class CountedServer(Server):
    """A server whose bytes count."""

    def __init__(self, handlers: Any, *, count: ByteCount) -> None:
        super().__init__(handlers)
        self._count = count

    def _protocol_factory(self) -> H2Protocol:
        return _CountedProtocol(super()._protocol_factory(), self._count)
