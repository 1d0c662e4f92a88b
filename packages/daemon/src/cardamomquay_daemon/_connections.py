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

# A socket time-out starts anew with each byte, so a client that transfers single bytes
# never reaches it. Reading a request and writing an answer therefore have a deadline as
# well; each transferred byte extends it by 1 / MIN_RATE_BYTES_PER_S seconds.
MIN_RATE_BYTES_PER_S = 16_384
# Largest difference between a socket's time-out and the wanted one at which the socket
# keeps it, as a fraction of the idle time-out.
TIMEOUT_TOLERANCE = 0.05
# Closing a socket with unread data resets the connection, and the client may receive
# the reset before it has read the answer. Further input is therefore read and dropped
# before closing, up to this time and number of bytes.
DISCARD_INPUT_S = 0.5
DISCARD_INPUT_MAX_BYTES = 262_144


class _DeadlineSocket(socket.SocketIO):
    """Raw socket stream with a deadline that transferred bytes extend.

    While `peeking` is set, reads return None instead of waiting for data.
    """

    def __init__(self, sock: Any, mode: Any, idle_timeout_s: float) -> None:
        super().__init__(sock, mode)
        self._socket = sock
        self._idle_timeout_s = idle_timeout_s
        self._tolerance_s = TIMEOUT_TOLERANCE * idle_timeout_s
        self.peeking = False
        self.restart_deadline()

    def restart_deadline(self) -> None:
        """Start the idle time-out anew for the next request or answer."""
        self._deadline_s = time.monotonic() + self._idle_timeout_s

    def readinto(self, buffer: Any) -> int | None:
        if self.peeking:
            return None
        self._set_socket_timeout()
        count = super().readinto(buffer)
        self._deadline_s += (count or 0) / MIN_RATE_BYTES_PER_S
        return count

    def write(self, data: Any) -> int | None:
        self._set_socket_timeout()
        count = super().write(data)
        self._deadline_s += (count or 0) / MIN_RATE_BYTES_PER_S
        return count

    def _set_socket_timeout(self) -> None:
        left_s = self._deadline_s - time.monotonic()
        if left_s <= 0:
            # cheroot recognises time-outs by this text.
            raise TimeoutError("timed out")
        wait_s = min(left_s, self._idle_timeout_s)
        # Setting the time-out is a system call, so small differences are ignored.
        current_s = self._socket.gettimeout()
        if current_s is None or abs(current_s - wait_s) > self._tolerance_s:
            self._socket.settimeout(wait_s)


class _Reader(io.BufferedReader):
    """Buffered input; cheroot's own reader is slower, being written in Python."""

    bytes_read = 0  # Required by cheroot's statistics, which are not used.

    def __init__(self, raw: _DeadlineSocket, size: int, sock: Any) -> None:
        super().__init__(raw, size)
        self._input = raw
        self._socket = sock

    def has_data(self) -> bool:
        """Whether there is buffered data, for which the selector reports no event."""
        if isinstance(self._socket, ssl.SSLSocket) and self._socket.pending() > 0:
            return True
        self._input.peeking = True
        try:
            return bool(self.peek(1))
        finally:
            self._input.peeking = False


class _Writer:
    """Unbuffered output."""

    bytes_written = 0  # Required by cheroot's statistics, which are not used.

    def __init__(self, raw: _DeadlineSocket) -> None:
        self._output = raw

    def write(self, data: bytes) -> int:
        """Write all data and return its length."""
        left = memoryview(data)
        while left:
            left = left[self._output.write(left) or 0 :]
        return len(data)


class DeadlineConnection(HTTPConnection):
    """A connection whose deadlines limit how long a slow client occupies a thread.

    Attributes
    ----------
    discard_input_on_close : bool
        Whether `close` first reads and drops input, because input that the server has
        not read may still arrive.
    is_registered : bool
        Whether the server has handed the new connection to its selector.
    """

    RequestHandlerClass = StrictRequest
    discard_input_on_close = False
    is_registered = False

    def __init__(self, server: Any, sock: Any, makefile: Any = None) -> None:
        super().__init__(server, sock)
        timeout_s = server.idle_timeout_s
        self._input = _DeadlineSocket(sock, "rb", timeout_s)
        self._output = _DeadlineSocket(sock, "wb", timeout_s)
        self.rfile = _Reader(self._input, self.rbufsize, sock)
        self.wfile = _Writer(self._output)

    def communicate(self) -> bool:
        self._input.restart_deadline()
        self._output.restart_deadline()
        # `ssl_env` is empty until the handshake is complete.
        if isinstance(self.socket, ssl.SSLSocket) and not self.ssl_env:
            if not self._complete_handshake():
                return False
            self._input.restart_deadline()
        return bool(super().communicate())  # type: ignore[no-untyped-call]

    def restart_output_deadline(self) -> None:
        """Start the idle time-out anew for writing an answer."""
        self._output.restart_deadline()

    def _complete_handshake(self) -> bool:
        self.socket.settimeout(self.server.idle_timeout_s)
        try:
            self.socket.do_handshake()
        except (OSError, ValueError):
            return False
        self.ssl_env = self.server.ssl_adapter.get_environ(self.socket)
        return True

    def close(self) -> None:
        if self.discard_input_on_close:
            self._discard_input()
        super().close()

    def _discard_input(self) -> None:
        end_s = time.monotonic() + DISCARD_INPUT_S
        left_bytes = DISCARD_INPUT_MAX_BYTES
        with suppress(OSError, ValueError):
            self.socket.shutdown(socket.SHUT_WR)
            while left_bytes > 0 and (left_s := end_s - time.monotonic()) > 0:
                self.socket.settimeout(left_s)
                data = self.socket.recv(16_384)
                if not data:
                    return
                left_bytes -= len(data)


class TlsAdapter(BuiltinSSLAdapter):
    """TLS adapter whose handshakes run in request threads, not in the accepting thread.

    Parameters
    ----------
    files : TlsFiles
        If `client_authority` is set, clients must present a certificate issued by that
        authority.
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
        # A client that connects and sends nothing must not block the acceptance of
        # other connections.
        wrapped = self.context.wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False
        )
        return wrapped, {}
