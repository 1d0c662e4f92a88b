"""Connections with deadlines for reading, writing and the TLS handshake."""

from __future__ import annotations

import io
import socket
import ssl
import time
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any

from cheroot.server import HTTPConnection
from cheroot.ssl.builtin import BuiltinSSLAdapter

from cardamomquay_daemon._http_parser import StrictRequest

if TYPE_CHECKING:
    from cardamomquay_daemon._settings import TlsFiles

# A sender that delivers single bytes never lets a socket time-out pass. The time
# for a request therefore grows with the bytes received, at this rate.
MIN_RATE_BYTES_PER_S = 16_384
# Share of the idle time by which a wait may be longer than the time that is left.
TIMEOUT_TOLERANCE = 0.05
# Closing a socket with unread data resets the connection, and the reset can
# overtake the answer. What still arrives is read and dropped for this long.
DRAIN_S = 0.5
DRAIN_BYTES = 262_144


class _DeadlineSocket(socket.SocketIO):
    """Reads or writes until a deadline that grows with the bytes moved."""

    def __init__(self, sock: Any, mode: Any, idle_timeout_s: float) -> None:
        super().__init__(sock, mode)
        self._socket = sock
        self._idle_timeout_s = idle_timeout_s
        self._tolerance_s = TIMEOUT_TOLERANCE * idle_timeout_s
        self.probing = False
        self.restart()

    def restart(self) -> None:
        """Begin the time of the next request."""
        self._deadline_s = time.monotonic() + self._idle_timeout_s

    def readinto(self, buffer: Any) -> int | None:
        if self.probing:
            return None
        self._limit_wait()
        count = super().readinto(buffer)
        self._deadline_s += (count or 0) / MIN_RATE_BYTES_PER_S
        return count

    def write(self, data: Any) -> int | None:
        self._limit_wait()
        count = super().write(data)
        self._deadline_s += (count or 0) / MIN_RATE_BYTES_PER_S
        return count

    def _limit_wait(self) -> None:
        left_s = self._deadline_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("timed out")
        wait_s = min(left_s, self._idle_timeout_s)
        # Setting a time-out is a system call, and it rarely changes by much.
        set_s = self._socket.gettimeout()
        if set_s is None or abs(set_s - wait_s) > self._tolerance_s:
            self._socket.settimeout(wait_s)


class _Reader(io.BufferedReader):
    """Buffered input; cheroot's own reader is a slower one in Python."""

    bytes_read = 0

    def __init__(self, raw: _DeadlineSocket, size: int, sock: Any) -> None:
        super().__init__(raw, size)
        self._input = raw
        self._socket = sock

    def has_data(self) -> bool:
        """Whether data waits that does not wake the selector."""
        if isinstance(self._socket, ssl.SSLSocket) and self._socket.pending() > 0:
            return True
        self._input.probing = True
        try:
            return bool(self.peek(1))
        finally:
            self._input.probing = False


class _Writer:
    """Unbuffered output."""

    bytes_written = 0

    def __init__(self, raw: _DeadlineSocket) -> None:
        self._output = raw

    def write(self, data: bytes) -> int:
        """Send all data."""
        left = memoryview(data)
        while left:
            left = left[self._output.write(left) or 0 :]
        return len(data)


class DeadlineConnection(HTTPConnection):
    """A connection on which no sender or reader holds a thread for long."""

    RequestHandlerClass = StrictRequest
    drain_on_close = False
    dispatched = False

    def __init__(self, server: Any, sock: Any, makefile: Any = None) -> None:
        super().__init__(server, sock)
        timeout_s = server.idle_timeout_s
        self._input = _DeadlineSocket(sock, "rb", timeout_s)
        self._output = _DeadlineSocket(sock, "wb", timeout_s)
        self.rfile = _Reader(self._input, self.rbufsize, sock)
        self.wfile = _Writer(self._output)

    def communicate(self) -> bool:
        self._input.restart()
        self._output.restart()
        if isinstance(self.socket, ssl.SSLSocket) and not self.ssl_env:
            if not self._shake_hands():
                return False
            self._input.restart()
        return bool(super().communicate())  # type: ignore[no-untyped-call]

    def restart_output(self) -> None:
        """Begin the time for writing an answer."""
        self._output.restart()

    def _shake_hands(self) -> bool:
        self.socket.settimeout(self.server.idle_timeout_s)
        try:
            self.socket.do_handshake()
        except (OSError, ValueError):
            return False
        self.ssl_env = self.server.ssl_adapter.get_environ(self.socket)
        return True

    def close(self) -> None:
        if self.drain_on_close:
            self._drain()
        super().close()

    def _drain(self) -> None:
        end_s = time.monotonic() + DRAIN_S
        left = DRAIN_BYTES
        with suppress(OSError, ValueError):
            self.socket.shutdown(socket.SHUT_WR)
            while left > 0 and (left_s := end_s - time.monotonic()) > 0:
                self.socket.settimeout(left_s)
                data = self.socket.recv(16_384)
                if not data:
                    return
                left -= len(data)


class TlsAdapter(BuiltinSSLAdapter):
    """TLS whose handshake runs in a request thread, not in the accepting one.

    Parameters
    ----------
    files : TlsFiles
        With `client_authority`, a client must show a certificate of that authority.
    """

    def __init__(self, files: TlsFiles) -> None:
        super().__init__(files.certificate, files.private_key)
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.load_cert_chain(files.certificate, files.private_key)
        if files.client_authority is not None:
            context.load_verify_locations(files.client_authority)
            context.verify_mode = ssl.CERT_REQUIRED
        self.context = context

    def wrap(self, sock: Any) -> tuple[Any, dict[str, Any]]:
        # A client that connects and stays silent must not stop other connections
        # from being accepted.
        wrapped = self.context.wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False
        )
        return wrapped, {}
