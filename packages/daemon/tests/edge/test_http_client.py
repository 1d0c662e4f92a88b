from __future__ import annotations

import asyncio
import socket
import struct
import unittest

import h11
from edge.support import answer
from edge.support import scripted_server

from cardamomquay_daemon.edge import ExchangeError
from cardamomquay_daemon.edge import HttpAnswer
from cardamomquay_daemon.edge import HttpConnection
from cardamomquay_daemon.edge._upstream_connections import parse_address

ID_HEADER = (b"request-id", b"id-1")
HEADERS = [(b"host", b"h"), ID_HEADER]


async def exchange(address: str, body: bytes = b"") -> HttpAnswer:
    conn = await HttpConnection.open(parse_address(address), 1.0)
    try:
        headers = [*HEADERS, (b"content-length", b"%d" % len(body))]
        request = h11.Request(method=b"POST", target=b"/", headers=headers)
        async with asyncio.timeout(2.0):
            return await conn.exchange(request, body, ID_HEADER)
    finally:
        conn.close()


class WholeAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against answers that are cut off, malformed or of another request."""

    async def test_whole_answers(self) -> None:
        chunked = (
            b"HTTP/1.1 200 X\r\nrequest-id: id-1\r\ntransfer-encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\n\r\n"
        )
        early = b"HTTP/1.1 103 X\r\n\r\n"
        for name, raw, ends in (
            ("with a length", answer(), False),
            ("in chunks", chunked, False),
            (
                "after that of another request",
                answer(b"no", request_id=b"id-0") + answer(),
                False,
            ),
            ("with extra bytes after it", answer() + answer(b"no"), True),
            ("after an early hint", early + answer(), False),
        ):
            with self.subTest(name):
                async with scripted_server(raw) as server:
                    got = await exchange(server.address)
                self.assertEqual((got.status, got.body), (200, b"ok"))
                self.assertEqual(got.ends_connection, ends)

    async def test_an_answer_without_length_ends_with_its_connection(self) -> None:
        async def unframed(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(b"HTTP/1.1 200 X\r\nrequest-id: id-1\r\n\r\nok")

        async with scripted_server(unframed) as server:
            got = await exchange(server.address)
        self.assertEqual((got.body, got.ends_connection), (b"ok", True))

    async def test_an_early_answer_to_a_long_body_ends_the_connection(self) -> None:
        async with scripted_server(answer(status=413)) as server:
            got = await exchange(server.address, b"x" * 20_000_000)
        self.assertEqual((got.status, got.ends_connection), (413, True))

    async def test_broken_answers(self) -> None:
        async def reset(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(b"HTTP/1.1 200 X\r\nrequest-id: id-1\r\n\r\no")
            await writer.drain()
            # With a linger time of 0, closing resets the connection.
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        for name, reply in (
            ("closed before the answer", None),
            ("not HTTP", b"\x00\x01 nonsense\r\n\r\n"),
            ("reset without a length", reset),
            ("cut off", answer(b"longer")[:-2] + b""),
        ):
            with self.subTest(name):
                # After raw bytes the server keeps the connection open; the exchange of
                # the cut-off answer ends with the timeout.
                script = [reply, None] if isinstance(reply, bytes) else [reply]
                async with scripted_server(*script) as server:
                    with self.assertRaises((ExchangeError, TimeoutError)) as caught:
                        await exchange(server.address)
                if isinstance(caught.exception, ExchangeError):
                    self.assertTrue(caught.exception.request_may_have_arrived)

    async def test_a_refused_connection_sent_nothing(self) -> None:
        async with scripted_server() as server:
            address = server.address
        with self.assertRaises(ExchangeError) as caught:
            await exchange(address)
        self.assertFalse(caught.exception.request_may_have_arrived)
