from __future__ import annotations

import time
import unittest

from caller_port_fixture import IDLE_TIMEOUT_S
from caller_port_fixture import LIMITS
from caller_port_fixture import CallerPortTestCase
from caller_port_fixture import read_answer

HOST = b"Host: a\r\n"
POST = b"POST /p HTTP/1.1\r\nHost: a\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
# A complete, valid request. In the body of another request, or after a request whose
# end is uncertain, it must not be relayed.
VALID_REQUEST = b"GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
GET = b"GET /p HTTP/1.1\r\nHost: a\r\n"
# The last header and the end of the header section.
HOST_AND_END = HOST + b"\r\n"
MALFORMED = {
    "both lengths": POST
    + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "length repeated": POST + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
    "two lengths in a list": POST + b"Content-Length: 1, 1\r\n\r\nx",
    "length with a sign": POST + b"Content-Length: +1\r\n\r\nx",
    "length with an underscore": POST + b"Content-Length: 1_0\r\n\r\n0123456789",
    "length below 0": POST + b"Content-Length: -1\r\n\r\n",
    "length empty": POST + b"Content-Length:\r\n\r\n",
    "coding repeated": POST
    + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n",
    "coding in a list": POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
    "coding with HTTP/1.0": b"POST /p HTTP/1.0\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "chunk size not hexadecimal": CHUNKED + b"x\r\n",
    "chunk size with a sign": CHUNKED + b"+1\r\nx\r\n0\r\n\r\n",
    "chunk size with 0x": CHUNKED + b"0x1\r\nx\r\n0\r\n\r\n",
    "chunk size ends with LF": CHUNKED + b"1\nx\r\n0\r\n\r\n",
    "chunk longer than its size": CHUNKED + b"1\r\nxy\r\n0\r\n\r\n",
    "last chunk missing": CHUNKED + b"1\r\nx\r\n",
    "trailers not ended": CHUNKED + b"0\r\nA: b\r\n",
    "body shorter than its length": POST + b"Content-Length: 5\r\n\r\nxy",
    "folded header": GET + b"A: b\r\n c\r\n\r\n",
    "space before the colon": GET + b"Content-Length : 1\r\n\r\nx",
    "bare LF": GET + b"A: b\n\r\n",
    "bare CR": GET + b"A: b\rC: d\r\n\r\n",
    "NUL": GET + b"A: \x00\r\n\r\n",
    "no colon": GET + b"A\r\n\r\n",
    "no name": GET + b": b\r\n\r\n",
    "name with an underscore": GET + b"X_Api_Key: k.s\r\n\r\n",
    "key repeated": GET + b"X-Api-Key: k.s\r\nX-Api-Key: k.t\r\n\r\n",
    "host repeated": GET + HOST_AND_END,
    "host missing": b"GET /p HTTP/1.1\r\n\r\n",
    "headers not ended": GET,
    "bare LF in the request line": b"GET /p HTTP/1.1\n" + HOST_AND_END,
    "bare CR in the target": b"GET /p\r/q HTTP/1.1\r\n" + HOST_AND_END,
    "byte above ASCII in the target": b"GET /\xe9 HTTP/1.1\r\n" + HOST_AND_END,
    "two spaces": b"GET  /p HTTP/1.1\r\n" + HOST_AND_END,
    "no version": b"GET /p\r\n" + HOST_AND_END,
    "version with a sign": b"GET /p HTTP/1.+1\r\n" + HOST_AND_END,
    "method in lower case": b"get /p HTTP/1.1\r\n" + HOST_AND_END,
    "absolute target": b"GET http://b/p HTTP/1.1\r\n" + HOST_AND_END,
    "fragment": b"GET /p#f HTTP/1.1\r\n" + HOST_AND_END,
    "dot segment": b"GET /p/../q HTTP/1.1\r\n" + HOST_AND_END,
    "encoded dot segment": b"GET /p/%2e%2e/q HTTP/1.1\r\n" + HOST_AND_END,
    "encoded slash": b"GET /p%2fq HTTP/1.1\r\n" + HOST_AND_END,
    "empty segment": b"GET /p//q HTTP/1.1\r\n" + HOST_AND_END,
    "malformed escape": b"GET /p%zz HTTP/1.1\r\n" + HOST_AND_END,
    "escape that is not UTF-8": b"GET /p%ff HTTP/1.1\r\n" + HOST_AND_END,
    "time-out with many digits": GET
    + b"Request-Timeout-Ms: "
    + b"1" * 1500
    + b"\r\n\r\n",
    "idempotency key with a space": GET + b"Idempotency-Key: a b\r\n\r\n",
}
OTHER_REFUSALS = {
    "unknown coding": (
        POST + b"Transfer-Encoding: xchunked\r\n\r\n",
        501,
        "not_implemented",
    ),
    "HTTP/2": (b"GET /p HTTP/2.0\r\n" + HOST_AND_END, 505, "version_not_supported"),
    "unknown method": (
        b"BREW /p HTTP/1.1\r\n" + HOST_AND_END,
        405,
        "method_not_allowed",
    ),
    "CONNECT": (b"CONNECT a:1 HTTP/1.1\r\n" + HOST_AND_END, 405, "method_not_allowed"),
    "target too long": (
        b"GET /" + b"p" * LIMITS.header_bytes + b" HTTP/1.1\r\n\r\n",
        414,
        "target_too_long",
    ),
    "headers too large": (
        GET + b"A: " + b"b" * LIMITS.header_bytes + b"\r\n\r\n",
        431,
        "headers_too_large",
    ),
    "body too large": (
        POST + b"Content-Length: 4097\r\n\r\n" + b"x" * 4097,
        413,
        "body_too_large",
    ),
    "chunks too large": (
        CHUNKED + b"800\r\n" + b"x" * 2048 + b"\r\n801\r\n" + b"x" * 2049,
        413,
        "body_too_large",
    ),
    "trailers too large": (
        CHUNKED + b"0\r\nA: " + b"x" * LIMITS.header_bytes + b"\r\n\r\n",
        413,
        "body_too_large",
    ),
}
# Cases in which the sender ends the connection in the middle of the request.
TRUNCATED = frozenset(
    {"last chunk missing", "trailers not ended", "headers not ended"}
    | {"body shorter than its length"}
)


class RefusedSyntaxTest(CallerPortTestCase):
    """Guards against requests that other HTTP implementations interpret differently."""

    def test_cases(self) -> None:
        cases = {name: (data, 400, "bad_request") for name, data in MALFORMED.items()}
        for name, (data, status, reason) in {**cases, **OTHER_REFUSALS}.items():
            with self.subTest(name):
                self.relay.requests.clear()
                count_before = self.refusal_counts()[reason]
                answers = self.exchange(
                    data if name in TRUNCATED else data + VALID_REQUEST
                )
                self.assertEqual([a.status for a in answers[:1]], [status])
                first = answers[0]
                self.assertEqual(first.document["reason"], reason)
                self.assertEqual(first.document["not_run"], True)
                self.assertEqual(first.headers["x-cardamomquay-reason"], reason)
                self.assertEqual(first.headers["x-cardamomquay-not-run"], "true")
                self.assertNotIn(b"Traceback", first.body)
                self.assertEqual(self.refusal_counts()[reason], count_before + 1)
                # After a complete request the connection may be used for the next one.
                if len(answers) > 1:
                    self.assertNotIn("connection", first.headers)
                    self.relay.requests.pop()
                self.assertEqual(self.relay.requests, [])

    def test_body_and_trailers_are_not_read_as_requests(self) -> None:
        bodies = {
            "trailer that looks like a request": CHUNKED
            + b"1\r\nx\r\n0\r\nGET /smuggled HTTP/1.1: x\r\n\r\n",
            "refused before its chunks are read": b"POST /p/../q HTTP/1.1\r\n"
            b"Host: a\r\nTransfer-Encoding: chunked\r\n\r\n" + VALID_REQUEST,
            "refused before its body is read": b"POST /p/../q HTTP/1.1\r\n"
            b"Host: a\r\nContent-Length: %d\r\n\r\n"
            % len(VALID_REQUEST)
            + VALID_REQUEST,
        }
        for name, data in bodies.items():
            with self.subTest(name):
                self.relay.requests.clear()
                self.exchange(data)
                paths = [req.path for req in self.relay.requests]
                self.assertNotIn("/smuggled", paths)


class AcceptedSyntaxTest(CallerPortTestCase):
    """Guards against refusing valid requests."""

    def test_chunks_and_reuse(self) -> None:
        data = CHUNKED + b"3;ext=1\r\nabc\r\n2\r\nde\r\n0\r\nA: b\r\n\r\n"
        answers = self.exchange(data + data + VALID_REQUEST)
        self.assertEqual([a.status for a in answers], [200, 200, 200])
        self.assertEqual(answers[0].body, b"abcde")

    def test_connection_that_is_used_longer_than_the_idle_time(self) -> None:
        conn = self.connect()
        stream = conn.makefile("rb")
        for _ in range(3):
            # Longer than the time-out of one request, shorter than the 1 s after which
            # the server closes idle connections.
            time.sleep(IDLE_TIMEOUT_S * 1.3)
            conn.sendall(POST + b"Content-Length: 1\r\nExpect: 100-continue\r\n\r\n")
            self.assertEqual(stream.readline(), b"HTTP/1.1 100 Continue\r\n")
            stream.readline()
            conn.sendall(b"x")
            answer = read_answer(stream)
            assert answer is not None
            self.assertEqual((answer.status, answer.body), (200, b"x"))

    def test_hop_by_hop_headers_and_keys_are_not_forwarded(self) -> None:
        self.exchange(
            b"GET /p%20q HTTP/1.1\r\nHost: a\r\nConnection: X-Private, close\r\n"
            b"X-Private: 1\r\nKeep-Alive: 1\r\nTE: x\r\nUpgrade: x\r\n"
            b"Proxy-Connection: x\r\nProxy-Authorization: x\r\nX-Api-Key: k.s\r\n"
            b"Authorization: x\r\nCookie: x\r\nX-Organisation: forged\r\n"
            b"Accept: a\r\nAccept: b\r\n\r\n"
        )
        (req,) = self.relay.requests
        self.assertEqual(req.headers, (("Accept", "a, b"),))
        self.assertEqual((req.key, req.path, req.target), ("k.s", "/p q", "/p%20q"))

    def test_fault_in_the_application(self) -> None:
        self.relay.error = RuntimeError("canary-in-exception")
        (answer,) = self.exchange(VALID_REQUEST)
        self.assertEqual(answer.status, 500)
        self.assertEqual(answer.document["reason"], "internal_error")
        # The request may have reached an upstream.
        self.assertIs(answer.document["not_run"], False)
        self.assertNotIn(b"canary", answer.body)


class SlowSenderTest(CallerPortTestCase):
    """Guards against slow clients that occupy all request threads."""

    def test_stalled_requests_are_ended(self) -> None:
        cases = {
            "in the request line": b"GET /p",
            "in the headers": b"GET /p HTTP/1.1\r\nHost: a\r\n",
            "in the body": POST + b"Content-Length: 10\r\n\r\nabc",
            "in a chunk": CHUNKED + b"5\r\nab",
        }
        for name, data in cases.items():
            with self.subTest(name):
                conn = self.connect()
                conn.sendall(data)
                started = time.monotonic()
                answer = read_answer(conn.makefile("rb"))
                took_s = time.monotonic() - started
                assert answer is not None
                self.assertEqual(answer.status, 408)
                self.assertEqual(answer.document["reason"], "request_timeout")
                self.assertLess(took_s, IDLE_TIMEOUT_S + 0.7)
        self.assertEqual(self.relay.requests, [])

    def test_single_bytes_do_not_prevent_the_time_out(self) -> None:
        conn = self.connect()
        started = time.monotonic()
        conn.settimeout(IDLE_TIMEOUT_S / 10)
        answer = b""
        while time.monotonic() - started < 10 * IDLE_TIMEOUT_S and not answer:
            try:
                conn.sendall(b"G")
                answer = conn.recv(100)
            except TimeoutError:
                continue
        self.assertIn(b"408", answer)
        self.assertLess(time.monotonic() - started, IDLE_TIMEOUT_S + 0.7)

    def test_late_byte_does_not_restart_the_time_out(self) -> None:
        conn = self.connect()
        conn.sendall(b"G")
        started = time.monotonic()
        # The deadline depends on time-outs of a real socket, so the test has to sleep.
        time.sleep(IDLE_TIMEOUT_S * 0.8)
        conn.sendall(b"E")
        self.assertIn(b"408", conn.recv(100))
        self.assertLess(time.monotonic() - started, IDLE_TIMEOUT_S * 1.5)

    def test_silent_connections_take_no_thread(self) -> None:
        silent = [self.connect() for _ in range(3 * LIMITS.request_threads)]
        started = time.monotonic()
        (answer,) = self.exchange(VALID_REQUEST)
        self.assertEqual(answer.status, 200)
        self.assertLess(time.monotonic() - started, IDLE_TIMEOUT_S / 2)
        self.assertEqual(len(silent), 12)

    def test_reader_that_stalls_is_ended(self) -> None:
        self.port._body_max_bytes = 1 << 30
        self.relay.relay = lambda req: _large_answer()  # type: ignore[method-assign]
        stalled = [self.connect() for _ in range(LIMITS.request_threads)]
        for conn in stalled:
            conn.sendall(VALID_REQUEST)
        # Time for the request threads to start on the stalled connections.
        time.sleep(0.1)
        started = time.monotonic()
        conn = self.connect()
        conn.sendall(b"GET /.cardamomquay/v1/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        answer = read_answer(conn.makefile("rb"))
        assert answer is not None
        self.assertEqual(answer.status, 200)
        self.assertLess(time.monotonic() - started, IDLE_TIMEOUT_S + 1.0)


def _large_answer() -> object:
    from cardamomquay_daemon._caller_messages import RelayedAnswer

    return RelayedAnswer(200, (), b"x" * 32_000_000)


if __name__ == "__main__":
    unittest.main()
