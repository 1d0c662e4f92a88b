from __future__ import annotations

import asyncio
import socket
import struct
import unittest
from unittest import mock

import h11
from edge.support import answer
from edge.support import scripted_server

from cardamomquay_daemon.edge import ExchangeError
from cardamomquay_daemon.edge import HttpAnswer
from cardamomquay_daemon.edge import HttpConnection
from cardamomquay_daemon.edge._addresses import parse_address
from cardamomquay_daemon.edge._byte_stream import ByteStream

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


# Answers whose head has no meaning, with what is wrong about it.
HEAD_REST = b"\r\nrequest-id: id-1\r\nsignature: s\r\n"
OK_REST = HEAD_REST + b"content-length: 2\r\n\r\nok"
MEANINGLESS_ANSWERS = {
    "status 000": b"HTTP/1.1 000 X" + OK_REST,
    "status 099": b"HTTP/1.1 099 X" + OK_REST,
    "status 600": b"HTTP/1.1 600 X" + OK_REST,
    "status 999": b"HTTP/1.1 999 X" + OK_REST,
    "four digits": b"HTTP/1.1 2000 X" + OK_REST,
    "unsolicited 101": b"HTTP/1.1 101 X" + HEAD_REST + b"upgrade: x\r\n\r\nok",
    "1xx without end": (b"HTTP/1.1 100 X" + HEAD_REST + b"\r\n") * 100,
    "204 with a body": b"HTTP/1.1 204 X" + OK_REST,
    "204 with chunks": (
        b"HTTP/1.1 204 X"
        + HEAD_REST
        + b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
    ),
    "204 with extra bytes": b"HTTP/1.1 204 X" + HEAD_REST + b"\r\nok",
    "304 with a body": b"HTTP/1.1 304 X" + OK_REST,
    "control byte in the reason": b"HTTP/1.1 200 O\x01K" + OK_REST,
    "delete in the reason": b"HTTP/1.1 200 O\x7fK" + OK_REST,
    "control byte before the version": b"\x00HTTP/1.1 200 X" + OK_REST,
    "control byte in an interim answer": (
        b"HTTP/1.1 103 \x1bX\r\n\r\nHTTP/1.1 200 X" + OK_REST
    ),
    "version 0.9": b"HTTP/0.9 200 X" + OK_REST,
    "version 2.0": b"HTTP/2.0 200 X" + OK_REST,
}


class MeaninglessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against passing on answers whose head says nothing that callers know.

    An upstream with a fault sent the status 000, and a caller received it.
    """

    async def test_they_are_no_answers(self) -> None:
        for name, raw in MEANINGLESS_ANSWERS.items():
            with self.subTest(name):
                async with scripted_server(raw) as server:
                    with self.assertRaises(ExchangeError) as caught:
                        await exchange(server.address)
                self.assertTrue(caught.exception.request_may_have_arrived)
                self.assertIn(
                    caught.exception.reason, ("answer_malformed", "answer_too_large")
                )

    async def test_answers_without_a_body(self) -> None:
        # A 304 may state the length of what it does not send (RFC 9110, section 8.6).
        for name, raw in (
            ("204", b"HTTP/1.1 204 X" + HEAD_REST + b"\r\n"),
            ("304", b"HTTP/1.1 304 X" + HEAD_REST + b"content-length: 2\r\n\r\n"),
            ("599", b"HTTP/1.1 599 X" + HEAD_REST + b"content-length: 0\r\n\r\n"),
            ("no reason", b"HTTP/1.0 200" + HEAD_REST + b"content-length: 0\r\n\r\n"),
        ):
            with self.subTest(name):
                async with scripted_server(raw) as server:
                    got = await exchange(server.address)
                self.assertEqual(got.body, b"")


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

    async def test_an_early_answer_is_read_although_the_connection_is_reset(
        self,
    ) -> None:
        # A server that answers early and closes the connection with unread bytes resets
        # it. The next part of the body can then not be sent, before the answer has been
        # read.
        for part in (2, 3, 8):
            with self.subTest(part=part):
                got, warnings = await self.exchange_with_reset(part)
                self.assertEqual((got.status, got.ends_connection), (413, True))
                # One line for each part that is left would flood a host's log.
                self.assertEqual(warnings, 0)

    async def exchange_with_reset(self, part: int) -> tuple[HttpAnswer, int]:
        """Let the server answer and close just before a part of the body is sent.

        Returns
        -------
        answer : HttpAnswer
        warning_count : int
            Warnings of the event loop about writes to a lost connection.
        """
        write, write_count = ByteStream.write, 0

        def answer_before_write(stream: ByteStream, data: bytes) -> None:
            nonlocal write_count
            write_count += 1
            # The first write is the head.
            if write_count == 1 + part:
                conn, _ = server.accept()
                conn.recv(100)
                conn.sendall(answer(status=413))
                conn.close()
            write(stream, data)

        with (
            socket.create_server(("127.0.0.1", 0)) as server,
            mock.patch.object(ByteStream, "write", answer_before_write),
            mock.patch("asyncio.selector_events.logger.warning") as warning,
        ):
            host, port = server.getsockname()
            got = await exchange(f"{host}:{port}", b"x" * 1_000_000)
        return got, warning.call_count

    async def test_a_long_body_is_not_copied_into_the_transport(self) -> None:
        # The server reads nothing, and answers nothing.
        async def stall(_: asyncio.StreamReader, __: asyncio.StreamWriter) -> None:
            await asyncio.Event().wait()

        body = b"x" * 20_000_000
        async with scripted_server(stall) as server:
            conn = await HttpConnection.open(parse_address(server.address), 1.0)
            headers = [*HEADERS, (b"content-length", b"%d" % len(body))]
            request = h11.Request(method=b"POST", target=b"/", headers=headers)
            sending = asyncio.create_task(conn.exchange(request, body, ID_HEADER))
            await asyncio.sleep(0.2)
            self.assertLess(conn._stream.unsent_bytes, 1_000_000)
            sending.cancel()
            await asyncio.wait([sending])
            conn.close()

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


class UnidentifiedAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an earlier refusal that is taken for the answer to a request.

    A faulty server writes a refusal once more on a kept connection, without an id. The
    request may run at the server, so it must not be called not run, nor sent again.
    """

    async def test_an_answer_without_an_id_is_no_answer(self) -> None:
        refusal = b"HTTP/1.1 503 X\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n"
        unsigned = b"HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\nok"
        for name, raw in (
            ("refusal", refusal),
            ("refusal before the answer", refusal + answer()),
            (
                "refusal after that of another request",
                answer(request_id=b"0") + refusal,
            ),
            ("success", unsigned),
        ):
            with self.subTest(name):
                async with scripted_server(raw) as server:
                    with self.assertRaises(ExchangeError) as caught:
                        await exchange(server.address)
                self.assertTrue(caught.exception.request_may_have_arrived)
                self.assertTrue(caught.exception.answer_began)


class CutHeadTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an answer with a cut head that is framed as a whole one.

    A server stops in the middle of the head and closes the connection. What follows the
    cut, such as the length of the body, is then unknown.
    """

    HEAD = (
        b"HTTP/1.1 200 OK\r\nrequest-id: id-1\r\nsignature: s\r\n"
        b"content-length: 6\r\n\r\n"
    )

    async def test_a_head_that_ends_at_any_byte_is_no_answer(self) -> None:
        for size in range(len(self.HEAD)):
            # Some implementations end a head at a bare line feed.
            for raw in (self.HEAD[:size], self.HEAD[:size].replace(b"\r\n", b"\n")):
                with self.subTest(size=size, raw=raw):

                    async def reply(
                        _: asyncio.StreamReader,
                        writer: asyncio.StreamWriter,
                        raw: bytes = raw,
                    ) -> None:
                        writer.write(raw)

                    async with scripted_server(reply) as server:
                        with self.assertRaises(ExchangeError) as caught:
                            await exchange(server.address)
                    self.assertEqual(caught.exception.answer_began, size > 0)


class LateCopyTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a second copy of an answer that is taken for the next answer.

    The copy arrives late, on a kept connection that is in use again.
    """

    async def exchange_after_copy(
        self, parts: tuple[bytes, ...], *, checks_id: bool = True
    ) -> HttpAnswer:
        """Send two requests; `parts` arrive one by one before the second answer."""

        async def reply(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(answer(b"first", request_id=b"id-1"))
            await reader.readuntil(b"\r\n\r\n")
            for part in (*parts, answer(b"second", request_id=b"id-2")):
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.02)

        async with scripted_server(reply) as server:
            conn = await HttpConnection.open(parse_address(server.address), 1.0)
            try:
                for request_id in (b"id-1", b"id-2"):
                    header = (b"request-id", request_id)
                    request = h11.Request(
                        method=b"GET", target=b"/", headers=[HEADERS[0], header]
                    )
                    async with asyncio.timeout(2.0):
                        got = await conn.exchange(
                            request, b"", header if checks_id else None
                        )
            finally:
                conn.close()
        return got

    async def test_a_whole_copy_is_skipped(self) -> None:
        copy = answer(b"first", request_id=b"id-1")
        for name, parts in (
            ("at once", (copy,)),
            ("in parts", (copy[:30], copy[30:-2], copy[-2:])),
            ("twice", (copy, copy)),
        ):
            with self.subTest(name):
                got = await self.exchange_after_copy(parts)
                self.assertEqual(got.body, b"second")

    async def test_part_of_a_copy_is_no_answer(self) -> None:
        copy = answer(b"first", request_id=b"id-1")
        for name, part in (("a head", copy[:30]), ("a body", copy[:-2])):
            with self.subTest(name), self.assertRaises(ExchangeError) as caught:
                await self.exchange_after_copy((part,))
            self.assertTrue(caught.exception.request_may_have_arrived)

    async def test_a_copy_cut_within_its_head_does_not_join_the_answer(self) -> None:
        # The status line of the answer would be the rest of a header of the copy, and
        # its other headers would follow.
        for status, own_header in ((503, b"not-executed: 1"), (200, b"signature: s")):
            head = (
                b"HTTP/1.1 %d Some reason\r\ndate: now\r\n%s\r\nload: 3,9,3\r\n"
                b"request-id: id-1\r\ncontent-length: 0\r\n\r\n"
            ) % (status, own_header)
            for size in range(1, len(head)):
                with self.subTest(status, head=head[:size]):
                    with self.assertRaises(ExchangeError) as caught:
                        await self.exchange_after_copy((head[:size],))
                    self.assertTrue(caught.exception.request_may_have_arrived)

    async def test_without_the_check_the_copy_would_be_the_answer(self) -> None:
        copy = answer(b"first", request_id=b"id-1")
        got = await self.exchange_after_copy((copy,), checks_id=False)
        self.assertEqual(got.body, b"first")

    async def test_a_connection_is_not_used_again_after_a_copy(self) -> None:
        copy = answer(b"first", request_id=b"id-1")
        for name, sent in (("a copy", copy), ("part of a copy", copy[:30])):
            with self.subTest(name):
                async with scripted_server(copy + sent) as server:
                    got = await exchange(server.address)
                self.assertEqual((got.body, got.ends_connection), (b"first", True))
