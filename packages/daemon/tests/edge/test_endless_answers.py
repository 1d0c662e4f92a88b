"""Load pattern: a faulty upstream sends bytes without end, fast or one at a time."""

from __future__ import annotations

import asyncio
import json
import unittest
from functools import partial
from typing import TYPE_CHECKING

from edge.support import RelayFixture
from edge.support import answer
from edge.support import config
from edge.support import route
from edge.support import scripted_server
from edge.support import upstream

from cardamomquay.clock import ManualClock
from cardamomquay_daemon.edge._answer_limits import MEBIBYTE
from cardamomquay_daemon.edge._answer_limits import AnswerBuffers
from cardamomquay_daemon.edge._answer_limits import AnswerTooLargeError
from cardamomquay_daemon.edge._http_client import ANSWER_BUFFERS
from cardamomquay_daemon.edge._http_client import ANSWER_LIMITS

if TYPE_CHECKING:
    from edge.support import ScriptedServer

    from cardamomquay_daemon.edge._caller_conn import CallerAnswer

TIMEOUT_S = 2.0
HEAD = b"HTTP/1.1 200 X\r\nrequest-id: id-1\r\nsignature: s\r\n"
# First bytes of an answer, and those that are repeated without end.
ENDLESS: dict[str, tuple[bytes, bytes]] = {
    "a status line": (b"HTTP/1.1 200 ", b"x" * 4096),
    "headers": (HEAD, b"x-more: y\r\n" * 400),
    "interim answers": (b"", b"HTTP/1.1 103 X\r\n\r\n" * 200),
    "answers to other requests": (
        b"",
        answer(request_id=b"id-0") * 50,
    ),
    "a chunk size": (HEAD + b"transfer-encoding: chunked\r\n\r\n", b"0" * 4096),
    "a chunk extension": (
        HEAD + b"transfer-encoding: chunked\r\n\r\n2;",
        b"x" * 4096,
    ),
    "trailers": (
        HEAD + b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
        b"x-more: y\r\n" * 400,
    ),
    "a body in chunks": (
        HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"4000\r\n" + b"x" * 0x4000 + b"\r\n",
    ),
    "a body until the connection ends": (HEAD + b"\r\n", b"x" * 65536),
    "a body of a stated length": (
        HEAD + b"content-length: 99999999999\r\n\r\n",
        b"x" * 65536,
    ),
}


class EndlessAnswersTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a host that reads until its memory or its time is used up."""

    def setUp(self) -> None:
        self.sent_bytes = 0
        self.most_buffered_bytes = 0

    async def send_endlessly(
        self,
        first: bytes,
        repeated: bytes,
        pause_s: float,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(first)
        while not writer.transport.is_closing():
            writer.write(repeated)
            self.sent_bytes += len(repeated)
            await writer.drain()
            await asyncio.sleep(pause_s)
            self.most_buffered_bytes = max(
                self.most_buffered_bytes, ANSWER_BUFFERS.used_bytes
            )

    async def ask(
        self, faulty: ScriptedServer, sound: ScriptedServer
    ) -> tuple[CallerAnswer, CallerAnswer, float]:
        """Ask the faulty upstream, and a sound one of another relay meanwhile."""
        fixtures = [
            RelayFixture(
                ManualClock(100.0),
                config(route(timeout_s=TIMEOUT_S, max_attempts=1)),
                upstream(server.address),
            )
            for server in (faulty, sound)
        ]
        self.addCleanup(fixtures[0].connections.close)
        self.addCleanup(fixtures[1].connections.close)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        first = asyncio.create_task(fixtures[0].ask())
        await asyncio.sleep(0.05)
        second = await fixtures[1].ask()
        got = await first
        record = fixtures[0].placement.record_of(upstream(faulty.address))
        self.assertGreater(record.current_fault_rate(100.0), 0.0)
        return got, second, loop.time() - began_s

    async def test_bytes_without_end(self) -> None:
        for name, (first, repeated) in ENDLESS.items():
            with self.subTest(name):
                self.sent_bytes = self.most_buffered_bytes = 0
                reply = partial(self.send_endlessly, first, repeated, 0.0)
                async with (
                    scripted_server(reply) as faulty,
                    scripted_server(answer()) as sound,
                ):
                    got, other, took_s = await self.ask(faulty, sound)
                    async with asyncio.timeout(TIMEOUT_S):
                        await faulty.connection_ended.wait()
                self.assertEqual(got.status, 502)
                self.assertFalse(json.loads(got.body)["not_run"])
                self.assertLess(took_s, TIMEOUT_S)
                self.assertEqual((other.status, other.body), (200, b"ok"))
                # The rest waits in the buffers of the two sockets.
                self.assertLess(self.sent_bytes, 4 * ANSWER_LIMITS.body_bytes)
                self.assertLessEqual(self.most_buffered_bytes, ANSWER_LIMITS.body_bytes)
                self.assertEqual(ANSWER_BUFFERS.used_bytes, 0)

    async def test_one_byte_at_a_time(self) -> None:
        chunked = HEAD + b"transfer-encoding: chunked\r\n\r\n"
        for name, first, repeated, pause_s in (
            ("a head", HEAD, b"x", 0.2),
            ("a body", HEAD + b"\r\n", b"x", 0.2),
            ("a chunk size", chunked, b"0", 0.2),
            ("a chunk", chunked, b"1\r\nx\r\n", 0.2),
            ("many chunks", chunked, b"1\r\nx\r\n" * 2000, 0.0),
        ):
            with self.subTest(name):
                reply = partial(self.send_endlessly, first, repeated, pause_s)
                async with (
                    scripted_server(reply) as faulty,
                    scripted_server(answer()) as sound,
                ):
                    got, other, took_s = await self.ask(faulty, sound)
                    async with asyncio.timeout(TIMEOUT_S):
                        await faulty.connection_ended.wait()
                self.assertEqual(got.status, 504)
                self.assertEqual((other.status, other.body), (200, b"ok"))
                self.assertLess(took_s, TIMEOUT_S + 0.5)


class AnswerBuffersTest(unittest.TestCase):
    """Guards against many large answers that together exceed a host's memory."""

    def test_all_answers_together_have_a_limit(self) -> None:
        buffers = AnswerBuffers(total_bytes=3 * MEBIBYTE)
        ended: list[str] = []
        with (
            buffers.buffer(2 * MEBIBYTE, lambda: ended.append("one")) as one,
            buffers.buffer(2 * MEBIBYTE, lambda: ended.append("two")) as two,
            buffers.buffer(4 * MEBIBYTE, lambda: ended.append("three")) as three,
            buffers.buffer(2 * MEBIBYTE) as small,
        ):
            one.append(b"x" * (2 * MEBIBYTE))
            two.append(b"x" * MEBIBYTE)
            # The one that has received nothing for the longest time makes room.
            two.append(b"x")
            self.assertEqual(ended, ["one"])
            with self.assertRaises(AnswerTooLargeError):
                one.append(b"x")
            self.assertEqual(buffers.used_bytes, MEBIBYTE + 1)
            with self.assertRaises(AnswerTooLargeError):
                three.append(b"x" * (3 * MEBIBYTE + 1))
            self.assertLessEqual(buffers.used_bytes, 3 * MEBIBYTE)
            small.append(b"x")
        self.assertEqual(buffers.used_bytes, 0)

    def test_an_answer_that_made_room_at_its_end_is_not_complete(self) -> None:
        buffers = AnswerBuffers(total_bytes=2 * MEBIBYTE)
        with (
            buffers.buffer(2 * MEBIBYTE) as one,
            buffers.buffer(2 * MEBIBYTE) as two,
        ):
            one.append(b"x" * MEBIBYTE)
            two.append(b"x" * MEBIBYTE)
            two.append(b"x")
            with self.assertRaises(AnswerTooLargeError):
                one.body()

    def test_an_answer_of_exactly_the_limit(self) -> None:
        buffers = AnswerBuffers()
        with buffers.buffer(10) as buffer:
            buffer.append(b"x" * 10)
            self.assertEqual(buffer.body(), b"x" * 10)
            with self.assertRaises(AnswerTooLargeError):
                buffer.append(b"x")
