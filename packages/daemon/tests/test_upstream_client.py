from __future__ import annotations

import socket
import threading
import unittest
from contextlib import contextmanager
from contextlib import suppress
from typing import TYPE_CHECKING

from cardamomquay.config import Upstream
from cardamomquay.outcomes import RetryReason
from cardamomquay_daemon._upstream_client import UpstreamAnswer
from cardamomquay_daemon._upstream_client import UpstreamClient
from cardamomquay_daemon._upstream_client import UpstreamFailure
from cardamomquay_daemon._upstream_client import UpstreamRequest

if TYPE_CHECKING:
    from collections.abc import Iterator

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CLOSE = b""


class ScriptedServer:
    """Answers each request, on any connection, with the next entry of a script.

    After an entry that does not end with ``ok``, the connection is closed. The entry
    `CLOSE` closes it without an answer. None leaves the request unanswered and the
    connection open until the test ends. After the last entry, each answer is `OK`.
    """

    def __init__(self, script: list[bytes | None]) -> None:
        self._script = script
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._port = self._socket.getsockname()[1]
        self._ended = threading.Event()
        self.requests: list[bytes] = []
        self.connections = 0

    @property
    def upstream(self) -> Upstream:
        return Upstream("u", f"127.0.0.1:{self._port}", "mtl", "mtl-a", 1, 1)

    @contextmanager
    def serving(self) -> Iterator[ScriptedServer]:
        threading.Thread(target=self._accept, daemon=True).start()
        try:
            yield self
        finally:
            self._ended.set()
            self.stop_listening()

    def stop_listening(self) -> None:
        """Refuse new connections; open ones are still served."""
        with suppress(OSError):
            # Ends the blocking accept(), which would keep the socket open.
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._socket.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        with conn:
            while request := self._read(conn):
                self.requests.append(request)
                answer = self._script.pop(0) if self._script else OK
                if answer is None:
                    self._ended.wait()
                    return
                if answer == CLOSE:
                    return
                conn.sendall(answer)
                if not answer.endswith(b"ok"):
                    return

    @staticmethod
    def _read(conn: socket.socket) -> bytes:
        data = b""
        while b"\r\n\r\n" not in data:
            try:
                part = conn.recv(4096)
            except OSError:
                return b""
            if not part:
                return b""
            data += part
        return data


def request(repeatable: bool = True, timeout_s: float = 5.0) -> UpstreamRequest:
    return UpstreamRequest("GET", "/x", (), b"", timeout_s, repeatable)


class StatusTest(unittest.TestCase):
    """Guards against passing on a status that callers do not know."""

    def test_a_status_out_of_range_is_no_answer(self) -> None:
        for status in (b"000", b"099", b"600", b"999"):
            with self.subTest(status):
                raw = b"HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\nok" % status
                server = ScriptedServer([raw])
                with server.serving():
                    client = UpstreamClient(1000)
                    request = UpstreamRequest("GET", "/", (), b"", 2.0, False)
                    result = client.send(server.upstream, request)
                self.assertIsInstance(result, UpstreamFailure)
                assert isinstance(result, UpstreamFailure)
                self.assertIs(result.reason, RetryReason.FAILURE_AFTER_SENDING)


class UpstreamClientTest(unittest.TestCase):
    """Guards against truncated, late or mixed-up answers, and against repeated runs."""

    def test_connection_is_reused_after_a_whole_answer(self) -> None:
        with ScriptedServer([]).serving() as server:
            client = UpstreamClient(1000)
            for _ in range(3):
                result = client.send(server.upstream, request())
                self.assertIsInstance(result, UpstreamAnswer)
            self.assertEqual(server.connections, 1)

    def test_connection_of_a_timed_out_request_is_not_reused(self) -> None:
        with ScriptedServer([None, OK]).serving() as server:
            client = UpstreamClient(1000)
            first = client.send(server.upstream, request(timeout_s=0.05))
            self.assertIsInstance(first, UpstreamFailure)
            self.assertIs(first.reason, RetryReason.TIMEOUT_AFTER_SENDING)
            second = client.send(server.upstream, request())
            self.assertIsInstance(second, UpstreamAnswer)
            self.assertEqual(server.connections, 2)

    def test_cut_answer_is_a_failure(self) -> None:
        cut = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart"
        with ScriptedServer([cut]).serving() as server:
            result = UpstreamClient(1000).send(server.upstream, request())
            self.assertIsInstance(result, UpstreamFailure)
            self.assertTrue(result.cut)
            self.assertIs(result.reason, RetryReason.FAILURE_AFTER_SENDING)

    def test_non_repeatable_request_is_sent_once_over_a_closed_connection(self) -> None:
        with ScriptedServer([OK, CLOSE]).serving() as server:
            client = UpstreamClient(1000)
            client.send(server.upstream, request())
            result = client.send(server.upstream, request(repeatable=False))
            self.assertIsInstance(result, UpstreamFailure)
            self.assertIs(result.reason, RetryReason.FAILURE_AFTER_SENDING)
            self.assertEqual(len(server.requests), 2)

    def test_refused_connection_proves_not_run(self) -> None:
        with ScriptedServer([]).serving() as server:
            upstream = server.upstream
        result = UpstreamClient(1000).send(upstream, request())
        self.assertIsInstance(result, UpstreamFailure)
        self.assertIs(result.reason, RetryReason.CONNECTION_REFUSED)

    def test_refused_connection_after_a_sent_request_proves_nothing(self) -> None:
        with ScriptedServer([OK, CLOSE]).serving() as server:
            client = UpstreamClient(1000)
            client.send(server.upstream, request())
            # The second request is sent on the open connection; when libcurl sends it
            # again by itself, the port is closed.
            server.stop_listening()
            result = client.send(server.upstream, request())
            self.assertIsInstance(result, UpstreamFailure)
            self.assertEqual(len(server.requests), 2)
            self.assertIs(result.reason, RetryReason.FAILURE_AFTER_SENDING)

    def test_shed_answer_proves_not_run(self) -> None:
        shed = b"HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nContent-Length: 2\r\n\r\nok"
        with ScriptedServer([shed]).serving() as server:
            result = UpstreamClient(1000).send(server.upstream, request())
            self.assertIsInstance(result, UpstreamFailure)
            self.assertIs(result.reason, RetryReason.SHED_NOT_RUN)

    def test_answer_above_the_limit_is_a_failure(self) -> None:
        large = b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5000
        with ScriptedServer([large]).serving() as server:
            result = UpstreamClient(1000).send(server.upstream, request())
            self.assertIsInstance(result, UpstreamFailure)


if __name__ == "__main__":
    unittest.main()
