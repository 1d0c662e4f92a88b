"""Load pattern: callers ask for more large answers at once than a host can hold."""

from __future__ import annotations

import asyncio
import unittest
from functools import partial
from unittest import mock

import h11
from edge.support import answer
from edge.support import scripted_server
from edge.test_caller_conn import CallerConnTest

from cardamomquay.caller_memory import CallerBudget
from cardamomquay.caller_memory import RunningRequests
from cardamomquay_daemon.edge import ExchangeError
from cardamomquay_daemon.edge import HttpConnection
from cardamomquay_daemon.edge import _byte_stream
from cardamomquay_daemon.edge._addresses import parse_address
from cardamomquay_daemon.edge._answer_limits import MEBIBYTE
from cardamomquay_daemon.edge._answer_limits import AnswerBuffers
from cardamomquay_daemon.edge._byte_stream import READ_BYTES
from cardamomquay_daemon.edge._byte_stream import ByteStream
from cardamomquay_daemon.edge._byte_stream import ClientStream
from cardamomquay_daemon.edge._caller_memory import CallerMemory

ANSWER_BYTES = 540_000
ANSWER_COUNT = 60
# Bytes of large answers that may be read in an iteration of the event loop.
ITERATION_BYTES_MAX = 2 * MEBIBYTE
TEST_TIMEOUT_S = 20.0
ID_HEADER = (b"request-id", b"id-1")
CHUNKED_HEAD = (
    b"HTTP/1.1 200 X\r\nrequest-id: id-1\r\nsignature: s\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
LARGE_CHUNKED = (
    CHUNKED_HEAD + (b"2710\r\n" + b"x" * 10_000 + b"\r\n") * 54 + b"0\r\n\r\n"
)


class LargeAnswersCase(unittest.IsolatedAsyncioTestCase):
    async def ask(
        self, address: str, buffers: AnswerBuffers, service: str = "browse"
    ) -> int | str:
        """Return the size of the answer's body, or the reason why there is none."""
        conn = await HttpConnection.open(parse_address(address), 5.0)
        conn._buffers = buffers
        conn.service = service
        headers = [(b"host", b"h"), ID_HEADER]
        request = h11.Request(method=b"GET", target=b"/", headers=headers)
        try:
            return len((await conn.exchange(request, b"", ID_HEADER)).body)
        except ExchangeError as exc:
            return exc.reason
        finally:
            conn.close()

    async def ask_many(self, reply: bytes, buffers: AnswerBuffers) -> list[int | str]:
        async with scripted_server(*[reply] * ANSWER_COUNT) as server:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                return await asyncio.gather(
                    *(self.ask(server.address, buffers) for _ in range(ANSWER_COUNT))
                )


class ReadingTest(LargeAnswersCase):
    """Guards against answers whose parts delay all that waits for the event loop."""

    async def test_the_bytes_of_an_iteration_are_bounded(self) -> None:
        most = read_bytes = 0
        is_counting = False
        receive = ByteStream.data_received

        def begin_iteration() -> None:
            nonlocal is_counting, read_bytes
            is_counting, read_bytes = False, 0

        def count(stream: ByteStream, data: bytes | memoryview) -> None:
            nonlocal is_counting, most, read_bytes
            if isinstance(stream, ClientStream):
                if not is_counting:
                    is_counting = True
                    asyncio.get_running_loop().call_soon(begin_iteration)
                read_bytes += len(data)
                most = max(most, read_bytes)
            receive(stream, data)

        with (
            mock.patch.object(_byte_stream, "READ_PER_TURN_BYTES", 64 * MEBIBYTE),
            mock.patch.object(ByteStream, "data_received", count),
        ):
            got = await self.ask_many(answer(b"x" * ANSWER_BYTES), AnswerBuffers())
        self.assertEqual(got, [ANSWER_BYTES] * ANSWER_COUNT)
        self.assertGreater(most, READ_BYTES)
        self.assertLess(most, ITERATION_BYTES_MAX)


class RoomTest(LargeAnswersCase):
    """Guards against answers that all end each other, so that none is complete."""

    async def test_answers_that_do_not_fit_wait_for_the_others(self) -> None:
        buffers = AnswerBuffers(total_bytes=2 * MEBIBYTE)
        got = await self.ask_many(answer(b"x" * ANSWER_BYTES), buffers)
        self.assertEqual(got, [ANSWER_BYTES] * ANSWER_COUNT)
        self.assertEqual(buffers.used_bytes, 0)

    async def test_answers_without_a_stated_length_wait_too(self) -> None:
        buffers = AnswerBuffers(total_bytes=2 * MEBIBYTE)
        got = await self.ask_many(LARGE_CHUNKED, buffers)
        self.assertEqual(got, [ANSWER_BYTES] * ANSWER_COUNT)
        self.assertEqual(buffers.used_bytes, 0)

    async def test_one_that_has_stopped_does_not_keep_the_others_waiting(self) -> None:
        buffers = AnswerBuffers(total_bytes=MEBIBYTE)
        whole = answer(b"x" * (MEBIBYTE - 1000))

        async def send_half(
            _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(whole[: MEBIBYTE // 2])
            await asyncio.sleep(TEST_TIMEOUT_S)

        async with (
            scripted_server(partial(send_half)) as stopped,
            scripted_server(whole) as sound,
            asyncio.timeout(TEST_TIMEOUT_S),
        ):
            first = asyncio.create_task(self.ask(stopped.address, buffers))
            while buffers.used_bytes < MEBIBYTE // 2:
                await asyncio.sleep(0)
            second = asyncio.create_task(self.ask(sound.address, buffers))
            while not buffers.waiting_count:
                await asyncio.sleep(0)
            now_s = asyncio.get_running_loop().time()
            buffers.review(now_s + 1.0)
            self.assertFalse(first.done())
            buffers.review(now_s + 10.0)
            self.assertEqual(await first, "answer_too_large")
            self.assertEqual(await second, MEBIBYTE - 1000)

    async def test_a_crowd_at_one_service_does_not_keep_out_another(self) -> None:
        buffers = AnswerBuffers(total_bytes=2 * MEBIBYTE)
        async with (
            scripted_server(*[answer(b"x" * ANSWER_BYTES)] * ANSWER_COUNT) as server,
            asyncio.timeout(TEST_TIMEOUT_S),
        ):
            crowd = [
                asyncio.create_task(self.ask(server.address, buffers))
                for _ in range(ANSWER_COUNT - 1)
            ]
            while buffers.waiting_count < ANSWER_COUNT // 2:
                await asyncio.sleep(0)
            got = await self.ask(server.address, buffers, service="other")
            self.assertEqual(got, ANSWER_BYTES)
            self.assertGreater(buffers.waiting_count, ANSWER_COUNT // 4)
            await asyncio.gather(*crowd)

    async def test_one_for_which_nothing_will_make_room_ends(self) -> None:
        buffers = AnswerBuffers()
        buffers.may_hold = lambda size_bytes: size_bytes < MEBIBYTE // 2
        async with (
            scripted_server(answer(b"x" * MEBIBYTE)) as server,
            asyncio.timeout(TEST_TIMEOUT_S),
        ):
            waiting = asyncio.create_task(self.ask(server.address, buffers))
            while not buffers.waiting_count:
                await asyncio.sleep(0)
            buffers.review(asyncio.get_running_loop().time() + 10.0)
            self.assertEqual(await waiting, "answer_too_large")
        self.assertEqual((buffers.used_bytes, buffers.waiting_count), (0, 0))


class UnreadAnswersTest(CallerConnTest):
    """Guards against requests behind answers that the caller does not read.

    A connection does not end while a request runs, so that one that always has another
    would keep its answers.
    """

    async def test_further_requests_wait_until_the_caller_reads(self) -> None:
        self.answer_body = b"x" * (8 * MEBIBYTE)
        self.memory = CallerMemory(CallerBudget(12 * MEBIBYTE, 10), RunningRequests(1))
        async with self.caller() as (reader, writer):
            writer.write(self.get(b"/large"))
            await self.wait_for_started(1)
            while not self.memory.budget.is_short:
                await asyncio.sleep(0)
            writer.write(self.get(b"/2"))
            await asyncio.sleep(0.1)
            self.assertEqual(self.started, [b"/large"])
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(b"/large" + self.answer_body))
            await self.wait_for_started(2)
