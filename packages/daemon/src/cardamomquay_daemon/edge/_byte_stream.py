"""TCP connection with buffered reads and a check for unread bytes."""

from __future__ import annotations

import asyncio
import os
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Unread bytes of an answer; more delay the reading of other answers.
HIGH_WATER_BYTES = 262_144
# Bytes read from a socket at once, and once `READ_PER_TURN_BYTES` have been read from
# all sockets in one iteration of the event loop. Nothing is parsed within it, so that a
# thousand sockets would hold 64 MiB otherwise.
READ_BYTES = 65_536
READ_BYTES_LATER = 2048
READ_PER_TURN_BYTES = 2_097_152
# Bytes of an answer that are read at once before its size is known. A large one may
# have to wait with them.
FIRST_READ_BYTES = 16_384
# All connections read into the same buffer, since its bytes are taken over before the
# event loop reads from another socket. Buffers of their own, which `asyncio.Protocol`
# allocates for 256 KiB and shrinks, leave holes in the heap.
_READ_BUFFER = memoryview(bytearray(READ_BYTES))
# A connection to a server ends with an error if sent bytes stay unacknowledged for this
# long (TCP_USER_TIMEOUT). A server that has become unreachable causes no other error.
# The timeout must exceed a round trip between regions, which takes about 0.1 s.
UNACKNOWLEDGED_TIMEOUT_MS = 1000


class _ReadTurn:
    """Counts the bytes that were read in one iteration of the event loop."""

    def __init__(self) -> None:
        self.read_bytes = 0
        self._loop: asyncio.AbstractEventLoop | None = None

    def add(self, size_bytes: int) -> None:
        """Count bytes until the next iteration."""
        loop = asyncio.get_running_loop()
        if self._loop is not loop:
            self._loop = loop
            self.read_bytes = 0
            loop.call_soon(self._reset)
        self.read_bytes += size_bytes

    def _reset(self) -> None:
        self._loop = None
        self.read_bytes = 0


_READ_TURN = _ReadTurn()


class ByteStream(asyncio.BufferedProtocol):
    """Reads from and writes to one connection.

    Parameters
    ----------
    unacknowledged_timeout_ms : int, default=0
        The connection ends with an error if sent bytes stay unacknowledged for this
        long; 0 for the default of the operating system.
    """

    # With this many unread bytes, reading from the socket is paused.
    high_water_bytes = HIGH_WATER_BYTES
    # Bytes read from the socket at once, at most `READ_BYTES`.
    read_bytes = READ_BYTES

    def __init__(self, unacknowledged_timeout_ms: int = 0) -> None:
        self._unacknowledged_timeout_ms = unacknowledged_timeout_ms
        self._received = bytearray()
        self._ended = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._paused = False
        self._reads_on_demand = False
        # Time of the last bytes received, or of opening, on the loop's clock.
        self.last_received_s = 0.0
        # Whether the other side has ended or reset the connection. A connection may
        # also be lost because its packets do not arrive.
        self.was_ended_by_peer = False
        self.on_end_by_peer: Callable[[], None] | None = None
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.last_received_s = asyncio.get_running_loop().time()
        if self._unacknowledged_timeout_ms:
            sock = transport.get_extra_info("socket")
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                self._unacknowledged_timeout_ms,
            )

    def get_buffer(self, sizehint: int) -> memoryview:
        is_first = _READ_TURN.read_bytes < READ_PER_TURN_BYTES
        return _READ_BUFFER[: self.read_bytes if is_first else READ_BYTES_LATER]

    def buffer_updated(self, nbytes: int) -> None:
        _READ_TURN.add(nbytes)
        self.data_received(_READ_BUFFER[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Take over bytes that were read from the socket."""
        self._received += data
        self.last_received_s = asyncio.get_running_loop().time()
        if self._reads_on_demand or len(self._received) >= self.high_water_bytes:
            self._pause_reading()
        self.wake()

    def set_reads_on_demand(self, is_on_demand: bool) -> None:
        """Read from the socket only while `read` waits, or also ahead of it."""
        self._reads_on_demand = is_on_demand
        if is_on_demand:
            self._pause_reading()
        elif len(self._received) <= self.high_water_bytes // 2:
            self._resume_reading()

    def _pause_reading(self) -> None:
        if not self._paused:
            self._paused = True
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._paused:
            self._paused = False
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        self._ended = True
        self._record_end_by_peer()
        self.wake()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._ended = True
        self._error = exc
        if isinstance(exc, ConnectionResetError | BrokenPipeError):
            self._record_end_by_peer()
        self._can_write.set()
        self.wake()

    def _record_end_by_peer(self) -> None:
        if not self.was_ended_by_peer:
            self.was_ended_by_peer = True
            if self.on_end_by_peer is not None:
                self.on_end_by_peer()

    def pause_writing(self) -> None:
        self._can_write.clear()

    def resume_writing(self) -> None:
        self._can_write.set()

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and has no unread bytes."""
        return not (self._received or self._ended or self.transport.is_closing())

    @property
    def has_ended(self) -> bool:
        """Whether the other side has ended or reset the connection."""
        return self._ended

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes that the kernel has not accepted yet."""
        return self.transport.get_write_buffer_size()

    async def read(self, max_bytes: int | None = None) -> bytes:
        """Return received bytes, or no bytes at the end of the stream.

        Parameters
        ----------
        max_bytes : int, optional
            More bytes stay in the buffer; None for all of them.

        Returns
        -------
        bytes

        Raises
        ------
        OSError
            If the connection was lost with an error.
        """
        if not self._received and not self._ended:
            if self._reads_on_demand:
                self._resume_reading()
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        if self._received:
            with memoryview(self._received) as view:
                data = bytes(view[:max_bytes])
            del self._received[: len(data)]
            is_low = len(self._received) <= self.high_water_bytes // 2
            if is_low and not self._reads_on_demand:
                self._resume_reading()
            return data
        if self._error is not None:
            raise OSError(str(self._error)) from self._error
        return b""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Queue bytes to be sent; does nothing once the connection is closing.

        The event loop logs writes to a connection that an earlier write has found lost.
        """
        if not self.transport.is_closing():
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait while the transport's write buffer is above its limit."""
        await self._can_write.wait()

    def close(self) -> None:
        """Close the connection after the queued bytes have been sent."""
        self.transport.close()

    def abort(self) -> None:
        """Close the connection at once; queued bytes are lost."""
        self.transport.abort()

    def wake(self) -> None:
        """End a `read` that waits; it returns no bytes."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class ClientStream(ByteStream):
    """A connection to a server, whose answer is also read after a failed write."""

    read_bytes = FIRST_READ_BYTES

    def set_reads_on_demand(self, is_on_demand: bool) -> None:
        self.read_bytes = READ_BYTES if is_on_demand else FIRST_READ_BYTES
        super().set_reads_on_demand(is_on_demand)

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is not None:
            self._read_rest()
        super().connection_lost(exc)

    def _read_rest(self) -> None:
        """Read what arrived before a failed write closed the connection.

        A server that answers early and closes the connection with unread bytes resets
        it. The event loop does not read from the socket after a failed write, which
        would lose the answer.
        """
        fd = self.transport.get_extra_info("socket").fileno()
        with suppress(OSError):
            while len(self._received) <= HIGH_WATER_BYTES and (
                data := os.read(fd, READ_BYTES)
            ):
                self._received += data
                self.last_received_s = asyncio.get_running_loop().time()


async def connect(address: tuple[str, int], timeout_s: float) -> ByteStream:
    """Open a TCP connection.

    Parameters
    ----------
    address : tuple of str and int
        IP address and port.
    timeout_s : float

    Returns
    -------
    ByteStream

    Raises
    ------
    OSError
        If the connection is refused or the address is unreachable; TimeoutError if it
        is not accepted in time.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, stream = await loop.create_connection(
            lambda: ClientStream(UNACKNOWLEDGED_TIMEOUT_MS), *address
        )
    return stream
