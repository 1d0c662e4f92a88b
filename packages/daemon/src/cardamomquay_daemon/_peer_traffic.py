"""gRPC channels and servers that count the bytes of the peer protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from grpclib.client import Channel
from grpclib.protocol import H2Protocol
from grpclib.server import Server

if TYPE_CHECKING:
    from asyncio import BaseTransport


class ByteCounter:
    """Counts the HTTP/2 bytes of all peer connections; not thread-safe.

    The overhead of TCP and TLS is not included.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0

    def read_and_reset(self) -> tuple[int, int]:
        """Return the bytes sent and received since the previous call."""
        counts = (self.sent, self.received)
        self.sent = self.received = 0
        return counts


class _CountingTransport:
    """Forwards everything to a transport and counts the bytes written."""

    def __init__(self, transport: Any, counter: ByteCounter) -> None:
        self._transport = transport
        self._counter = counter

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        self._counter.sent += len(data)
        self._transport.write(data)


class _CountingProtocol(H2Protocol):
    def __init__(self, protocol: H2Protocol, counter: ByteCounter) -> None:
        super().__init__(protocol.handler, protocol.config, protocol.h2_config)
        self._counter = counter

    def connection_made(self, transport: BaseTransport) -> None:
        counted = _CountingTransport(transport, self._counter)
        super().connection_made(cast("BaseTransport", counted))

    def data_received(self, data: bytes) -> None:
        self._counter.received += len(data)
        super().data_received(data)


class CountingChannel(Channel):
    """A channel that adds its bytes to a counter."""

    def __init__(self, host: str, port: int, *, ssl: Any, counter: ByteCounter) -> None:
        super().__init__(host, port, ssl=ssl)
        self._counter = counter

    def _protocol_factory(self) -> H2Protocol:
        return _CountingProtocol(super()._protocol_factory(), self._counter)


class CountingServer(Server):
    """A server that adds its bytes to a counter."""

    def __init__(self, handlers: Any, *, counter: ByteCounter) -> None:
        super().__init__(handlers)
        self._counter = counter

    def _protocol_factory(self) -> H2Protocol:
        return _CountingProtocol(super()._protocol_factory(), self._counter)
