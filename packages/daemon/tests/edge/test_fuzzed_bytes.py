"""Guards against bytes of callers and upstreams that raise unexpected exceptions.

The bytes are valid messages that are cut, repeated, joined and mixed with others, in
parts of any size. A longer run: ``FUZZ_EXAMPLES=20000 python -m unittest
edge.test_fuzzed_bytes``.
"""

from __future__ import annotations

import asyncio
import gc
import os
import unittest
from typing import Any

import h11
from edge.support import SHED_ANSWER
from edge.support import answer
from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cardamomquay_daemon.edge import ExchangeError
from cardamomquay_daemon.edge import HttpConnection
from cardamomquay_daemon.edge._byte_stream import ByteStream
from cardamomquay_daemon.edge._caller_conn import CallerAnswer
from cardamomquay_daemon.edge._caller_conn import CallerConnection
from cardamomquay_daemon.edge._caller_conn import CallerRequest
from cardamomquay_daemon.edge._caller_conn import ReadLimits

EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "400"))
FUZZ = settings(
    max_examples=EXAMPLES,
    derandomize=EXAMPLES <= 400,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
CHUNKED_BODY = b"5;x=1\r\nwhole\r\n0\r\nx-trailer: 1\r\n\r\n"
ANSWERS = (
    answer(),
    answer(request_id=b"id-0"),
    SHED_ANSWER,
    b"HTTP/1.1 103 X\r\nlink: a\r\n\r\n",
    b"HTTP/1.1 200 X\r\nrequest-id: id-1\r\ntransfer-encoding: chunked\r\n\r\n"
    + CHUNKED_BODY,
    b"HTTP/1.1 204 X\r\nrequest-id: id-1\r\n\r\n",
    b"HTTP/1.0 200 X\r\nrequest-id: id-1\r\n\r\nuntil the end",
    b"HTTP/1.1 101 X\r\nupgrade: y\r\nconnection: upgrade\r\n\r\n",
)
REQUESTS = (
    b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n",
    b"POST /b HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nwhole",
    b"POST /c HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n" + CHUNKED_BODY,
    b"POST /d HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n"
    b"ok",
    b"HEAD /e HTTP/1.0\r\nconnection: close\r\n\r\n",
    b"CONNECT h:80 HTTP/1.1\r\nhost: h\r\n\r\n",
    b"GET /f HTTP/1.1\r\nhost: h\r\nupgrade: y\r\nconnection: upgrade\r\n\r\n",
)
ODD_BYTES = (
    b"\r\n",
    b"\r",
    b"\n",
    b"\0",
    b" ",
    b":",
    b"\xff\xfe",
    b"content-length: 3\r\n",
    b"content-length: -1\r\n",
    b"content-length: " + b"9" * 30 + b"\r\n",
    b"transfer-encoding: chunked\r\n",
    b"transfer-encoding: gzip\r\n",
    b"ffffffffffffffff\r\n",
    b"HTTP/1.1 ",
    b"x" * 5000,
)


def mixed(messages: tuple[bytes, ...]) -> st.SearchStrategy[list[bytes]]:
    """Return a strategy for the parts in which mixed messages arrive."""
    message = st.sampled_from(messages)
    cut = st.builds(lambda m, n: m[: n % (len(m) + 1)], message, st.integers(0, 500))
    inserted = st.builds(
        lambda m, n, odd: m[: n % (len(m) + 1)] + odd + m[n % (len(m) + 1) :],
        message,
        st.integers(0, 500),
        st.sampled_from(ODD_BYTES),
    )
    piece = st.one_of(message, cut, inserted, st.sampled_from(ODD_BYTES))
    return st.builds(
        split,
        st.lists(piece, min_size=1, max_size=5).map(b"".join),
        st.lists(st.integers(1, 200), max_size=6),
    )


def split(data: bytes, sizes: list[int]) -> list[bytes]:
    """Split bytes into parts of the given sizes, and a last one with the rest."""
    parts = []
    for size in sizes:
        parts.append(data[:size])
        data = data[size:]
    return [part for part in (*parts, data) if part]


class FakeTransport(asyncio.Transport):
    """Keeps what is written; the connection is lost when it is closed."""

    def __init__(self, protocol: Any) -> None:
        super().__init__()
        self.protocol = protocol
        self.written = b""
        self.is_closed = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += data

    def write_eof(self) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.is_closed

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def close(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.protocol.connection_lost(None)

    def abort(self) -> None:
        self.close()


async def feed(stream: ByteStream, parts: list[bytes]) -> None:
    for part in parts:
        stream.data_received(part)
        for _ in range(3):
            await asyncio.sleep(0)
    stream.eof_received()


class UpstreamBytesTest(unittest.TestCase):
    @FUZZ
    @given(mixed(ANSWERS))
    def test_an_exchange_ends_with_an_answer_or_an_exchange_error(
        self, parts: list[bytes]
    ) -> None:
        asyncio.run(self.exchange(parts))

    async def exchange(self, parts: list[bytes]) -> None:
        stream = ByteStream()
        stream.connection_made(FakeTransport(stream))
        conn = HttpConnection(stream, 0.0)
        headers = [(b"host", b"h"), (b"request-id", b"id-1")]
        request = h11.Request(method=b"GET", target=b"/", headers=headers)
        feeding = asyncio.create_task(feed(stream, parts))
        try:
            async with asyncio.timeout(5.0):
                got = await conn.exchange(request, b"", (b"request-id", b"id-1"))
        except ExchangeError as exc:
            self.assertTrue(exc.request_may_have_arrived)
        else:
            self.assertEqual(got.header(b"request-id"), b"id-1")
            self.assertIn(got.status, range(200, 600))
        await feeding
        conn.close()


class CallerBytesTest(unittest.TestCase):
    @FUZZ
    @given(mixed(REQUESTS))
    def test_a_connection_ends_and_its_answers_are_valid(
        self, parts: list[bytes]
    ) -> None:
        asyncio.run(self.serve(parts))

    async def serve(self, parts: list[bytes]) -> None:
        failures: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: failures.append(context)
        )
        handled: list[CallerRequest] = []

        async def handle(request: CallerRequest) -> CallerAnswer:
            handled.append(request)
            return CallerAnswer(200, [], b"got " + request.body)

        limits = ReadLimits(4096, 1000, 0.2, 0.2)
        connections: set[CallerConnection] = set()
        conn = CallerConnection(handle, lambda: limits, lambda: False, connections)
        transport = FakeTransport(conn)
        conn.connection_made(transport)
        await feed(conn, parts)
        async with asyncio.timeout(5.0):
            while connections:
                await asyncio.sleep(0)
        del conn, transport.protocol
        gc.collect()
        self.assertEqual(failures, [])
        # Pipelined answers follow each other, the last one may close the connection.
        rest = transport.written
        for request in handled:
            if not rest:
                break
            parser = h11.Connection(h11.CLIENT)
            parser.send(h11.Request(method=request.method, target="/", headers=HOST))
            parser.send(h11.EndOfMessage())
            parser.receive_data(rest)
            event = parser.next_event()
            while not isinstance(event, h11.EndOfMessage):
                self.assertNotIn(event, (h11.NEED_DATA, h11.PAUSED), rest)
                event = parser.next_event()
            rest = parser.trailing_data[0]


HOST = [(b"host", b"h")]
