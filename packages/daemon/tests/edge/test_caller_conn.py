from __future__ import annotations

import asyncio
import gc
import socket
import struct
import unittest
from contextlib import asynccontextmanager
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from edge.support import LOOPBACK
from edge.support import FakeTelemetry

from cardamomquay.caller_memory import CallerBudget
from cardamomquay_daemon.edge._caller_conn import CONNECTION_BYTES
from cardamomquay_daemon.edge._caller_conn import CallerAnswer
from cardamomquay_daemon.edge._caller_conn import CallerConnection
from cardamomquay_daemon.edge._caller_conn import CallerRequest
from cardamomquay_daemon.edge._caller_conn import ReadLimits
from cardamomquay_daemon.edge._caller_memory import CallerMemory
from cardamomquay_daemon.edge._turns import TURNS_PER_ITERATION
from cardamomquay_daemon.edge._turns import Turns

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

LIMITS = ReadLimits(
    max_header_bytes=4096,
    max_body_bytes=1000,
    header_timeout_s=0.2,
    idle_timeout_s=0.4,
)


class CallerConnTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.started: list[bytes] = []
        self.cancelled: list[bytes] = []
        self.release_events: dict[bytes, asyncio.Event] = {}
        self.connections: set[CallerConnection] = set()
        self.is_stopping = False
        self.limits = LIMITS
        self.memory = CallerMemory()
        self.answer_body = b""

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        self.started.append(request.target)
        try:
            if request.target in self.release_events:
                await self.release_events[request.target].wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise
        body = self.answer_body if request.target == b"/large" else request.body
        return CallerAnswer(200, [], request.target + body)

    @asynccontextmanager
    async def caller(
        self,
    ) -> AsyncGenerator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
        server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(
                self.handle,
                lambda: self.limits,
                lambda: self.is_stopping,
                self.connections,
                self.memory,
            ),
            LOOPBACK,
            0,
        )
        reader, writer = await asyncio.open_connection(
            *server.sockets[0].getsockname()[:2]
        )
        try:
            async with asyncio.timeout(3.0):
                yield reader, writer
        finally:
            writer.close()
            server.close()

    @staticmethod
    def get(target: bytes, method: bytes = b"GET") -> bytes:
        return method + b" " + target + b" HTTP/1.1\r\nhost: h\r\n\r\n"

    @staticmethod
    def _post(header: bytes) -> bytes:
        return b"POST / HTTP/1.1\r\nhost: h\r\n" + header + b"\r\n\r\n"

    async def wait_for_started(self, count: int) -> None:
        while len(self.started) < count:
            await asyncio.sleep(0)


class PipelineTest(CallerConnTest):
    """Guards against answers out of order and requests that run too early."""

    async def test_requests_run_concurrently_and_are_answered_in_order(self) -> None:
        self.release_events = {b"/1": asyncio.Event()}
        async with self.caller() as (reader, writer):
            writer.write(self.get(b"/1") + self.get(b"/2") + self.get(b"/3"))
            await self.wait_for_started(3)
            self.release_events[b"/1"].set()
            data = b""
            while data.count(b"HTTP/1.1 200") < 3:
                data += await reader.read(65536)
        positions = [data.index(b"\r\n\r\n/%d" % n) for n in (1, 2, 3)]
        self.assertEqual(positions, sorted(positions))

    async def test_a_request_with_an_unsafe_method_waits_for_earlier_answers(
        self,
    ) -> None:
        self.release_events = {b"/1": asyncio.Event()}
        async with self.caller() as (reader, writer):
            writer.write(self.get(b"/1") + self.get(b"/2", b"POST"))
            await self.wait_for_started(1)
            for _ in range(20):
                await asyncio.sleep(0)
            self.assertEqual(self.started, [b"/1"])
            self.release_events[b"/1"].set()
            await self.wait_for_started(2)
            await reader.read(65536)

    async def test_nothing_runs_after_an_answer_that_closes_the_connection(
        self,
    ) -> None:
        self.is_stopping = True
        self.release_events = {b"/1": asyncio.Event()}
        async with self.caller() as (reader, writer):
            writer.write(self.get(b"/1") + self.get(b"/2", b"POST"))
            await self.wait_for_started(1)
            self.release_events[b"/1"].set()
            data = await reader.read()
        self.assertEqual(self.started, [b"/1"])
        self.assertEqual(data.count(b"HTTP/1.1"), 1)
        self.assertIn(b"connection: close", data.lower())


class StopTest(CallerConnTest):
    """Guards against requests that run but lose their answers in a planned stop.

    Load pattern: a caller sends several requests on a connection before the first is
    answered, and the host stops while they run.
    """

    async def test_all_running_requests_of_a_connection_are_answered(self) -> None:
        self.release_events = {b"/1": asyncio.Event(), b"/3": asyncio.Event()}
        async with self.caller() as (reader, writer):
            writer.write(self.get(b"/1") + self.get(b"/2") + self.get(b"/3"))
            await self.wait_for_started(3)
            self.is_stopping = True
            self.release_events[b"/1"].set()
            await asyncio.sleep(0.05)
            self.release_events[b"/3"].set()
            data = await reader.read()
        self.assertEqual(data.count(b"HTTP/1.1 200"), 3)
        # Only the last answer closes the connection, since requests behind a closing
        # one count as not read.
        self.assertEqual(data.lower().count(b"connection: close"), 1)
        self.assertIn(b"connection: close", data.lower().split(b"http/1.1")[-1])

    async def test_the_last_answer_arrives_although_another_request_was_sent(
        self,
    ) -> None:
        self.release_events = {b"/large": asyncio.Event()}
        self.answer_body = b"x" * 3_000_000
        async with self.caller() as (reader, writer):
            writer.write(self.get(b"/large"))
            await self.wait_for_started(1)
            self.is_stopping = True
            self.release_events[b"/large"].set()
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b"connection: close", head.lower())
            # The caller cannot know yet that the connection closes.
            writer.write(self.get(b"/2"))
            await asyncio.sleep(0.1)
            for conn in tuple(self.connections):
                conn.close_if_idle()
            body = await reader.readexactly(len(b"/large" + self.answer_body))
            self.assertTrue(body.endswith(self.answer_body))
        self.assertEqual(self.started, [b"/large"])

    async def test_no_request_behind_a_running_one_is_started(self) -> None:
        self.release_events = {b"/1": asyncio.Event()}
        async with self.caller() as (reader, writer):
            writer.write(self.get(b"/1"))
            await self.wait_for_started(1)
            self.is_stopping = True
            writer.write(self.get(b"/2") + self.get(b"/3"))
            await asyncio.sleep(0.05)
            self.release_events[b"/1"].set()
            data = await reader.read()
        self.assertEqual(self.started, [b"/1"])
        self.assertEqual(data.count(b"HTTP/1.1 200"), 1)
        self.assertIn(b"connection: close", data.lower())


class DisconnectTest(CallerConnTest):
    """Guards against requests that keep running after their caller disconnects."""

    async def test_running_requests_are_cancelled(self) -> None:
        self.release_events = {b"/1": asyncio.Event(), b"/2": asyncio.Event()}
        async with self.caller() as (_, writer):
            writer.write(self.get(b"/1") + self.get(b"/2"))
            await self.wait_for_started(2)
            writer.close()
            while len(self.cancelled) < 2:
                await asyncio.sleep(0.01)
        self.assertEqual(self.connections, set())


class ResetTest(CallerConnTest):
    """Guards against requests that start although their caller has gone."""

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        self.started.append(request.target)
        # The caller sends another request and resets the connection before the answer
        # is written, which then fails. The request has arrived, but was not read.
        self.sock.sendall(self.get(b"/2"))
        linger = struct.pack("ii", 1, 0)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.sock.close()
        return CallerAnswer(200, [], b"")

    async def test_nothing_is_read_after_a_failed_write(self) -> None:
        async with self.caller() as (_, writer):
            address = writer.get_extra_info("peername")[:2]
            self.sock = socket.create_connection(address)
            self.sock.sendall(self.get(b"/1"))
            await self.wait_for_started(1)
            await asyncio.sleep(0.1)
        self.assertEqual(self.started, [b"/1"])


class LimitTest(CallerConnTest):
    """Guards against malformed, oversized and slow requests."""

    async def test_statuses(self) -> None:
        long_header = b"GET / HTTP/1.1\r\nhost: h\r\nx: " + b"y" * 9000
        for name, sent, status in (
            ("nonsense", b"\x00\x01\x02\r\n\r\n", 400),
            ("two lengths", self._post(b"content-length: 3\r\ncontent-length: 4"), 400),
            ("a long header", long_header, 431),
            ("a long body", self._post(b"content-length: 5000") + b"x" * 5000, 413),
            ("a slow header", b"GET / HTTP/1.1\r\nho", 408),
        ):
            with self.subTest(name):
                async with self.caller() as (reader, writer):
                    writer.write(sent)
                    data = await reader.read()
                self.assertIn(b"HTTP/1.1 %d" % status, data)
        self.assertEqual(self.started, [])

    async def test_a_tunnel_is_refused(self) -> None:
        async with self.caller() as (reader, writer):
            writer.write(b"CONNECT h:80 HTTP/1.1\r\nhost: h\r\n\r\n")
            self.assertIn(b"HTTP/1.1 501", await reader.read())
        self.assertEqual(self.started, [])

    async def test_an_idle_connection_is_closed_without_a_further_answer(self) -> None:
        async with self.caller() as (reader, writer):
            writer.write(self.get(b"/1"))
            data = await reader.read()
        self.assertEqual(data.count(b"HTTP/1.1"), 1)

    async def test_a_body_in_chunks_arrives_whole(self) -> None:
        async with self.caller() as (reader, writer):
            writer.write(
                self._post(b"transfer-encoding: chunked") + b"2\r\nab\r\n0\r\n\r\n"
            )
            data = await reader.read(65536)
        self.assertIn(b"/ab", data)


class SmallChunksTest(CallerConnTest):
    """Guards against bodies in small chunks that keep all other tasks waiting.

    Load pattern: a program writes a body field by field without a buffer, so that one
    read brings tens of thousands of chunks.
    """

    CHUNKS = 20_000

    def setUp(self) -> None:
        super().setUp()
        self.limits = replace(LIMITS, max_body_bytes=self.CHUNKS)

    async def test_other_tasks_run_between_the_chunks(self) -> None:
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        async with self.caller() as (reader, writer):
            counting = asyncio.create_task(count_turns())
            writer.write(self._post(b"transfer-encoding: chunked"))
            writer.write(b"1\r\nx\r\n" * self.CHUNKS + b"0\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            counting.cancel()
        self.assertGreater(turns, self.CHUNKS / 100)


class LargeBodiesTest(CallerConnTest):
    """Guards against bodies that take a host over its memory.

    Load pattern: several callers upload bodies of the largest size at once, beside
    usual requests.
    """

    LARGE = 400_000

    def setUp(self) -> None:
        super().setUp()
        self.limits = replace(LIMITS, max_body_bytes=self.LARGE)
        # Room for two of them, their connections and unread bytes, and not for a third.
        self.memory = CallerMemory(CallerBudget(3 * self.LARGE, 100))
        self.release_events = {b"/": asyncio.Event()}

    def held_bytes(self) -> int:
        """Return what callers hold beside their connections."""
        budget = self.memory.budget
        return budget.used_bytes - CONNECTION_BYTES * budget.connection_count

    async def wait_until_free(self) -> None:
        while self.held_bytes():
            await asyncio.sleep(0.01)

    def upload(self, size: int, *, is_chunked: bool) -> bytes:
        if is_chunked:
            chunk = b"%x\r\n%b\r\n" % (1000, b"x" * 1000)
            head = self._post(b"transfer-encoding: chunked")
            return head + chunk * (size // 1000) + b"0\r\n\r\n"
        return self._post(b"content-length: %d" % size) + b"x" * size

    async def test_a_body_without_memory_is_rejected_and_others_are_served(
        self,
    ) -> None:
        for is_chunked in (False, True):
            with self.subTest(is_chunked=is_chunked):
                self.release_events[b"/"].clear()
                self.started.clear()
                large = self.upload(self.LARGE, is_chunked=is_chunked)
                small = self.upload(1000, is_chunked=is_chunked)
                async with (
                    self.caller() as (reader_1, writer_1),
                    self.caller() as (reader_2, writer_2),
                    self.caller() as (reader_3, writer_3),
                    self.caller() as (reader_4, writer_4),
                ):
                    writer_1.write(large)
                    writer_2.write(large)
                    await self.wait_for_started(2)
                    writer_3.write(large)
                    rejection = await reader_3.read()
                    self.assertIn(b"HTTP/1.1 503", rejection)
                    self.assertIn(b"retry-after", rejection)
                    writer_4.write(small)
                    await self.wait_for_started(3)
                    self.release_events[b"/"].set()
                    for reader in (reader_1, reader_2, reader_4):
                        answered = await reader.readuntil(b"\r\n\r\n")
                        self.assertIn(b"HTTP/1.1 200", answered)
                    await self.wait_until_free()
                self.assertEqual(self.started, [b"/"] * 3)
        telemetry = FakeTelemetry()
        self.memory.report(telemetry, 0.0)  # type: ignore[arg-type]
        self.assertEqual(telemetry.counters["requests.bodies_rejected"], 2)
        self.assertEqual([name for name, _ in telemetry.events], ["callers_ended"])

    async def test_memory_is_released_when_callers_disconnect(self) -> None:
        large = self.upload(self.LARGE, is_chunked=False)
        for name, sent in (("half sent", large[: self.LARGE // 2]), ("sent", large)):
            with self.subTest(name):
                async with self.caller() as (_, writer):
                    writer.write(sent)
                    while not self.held_bytes():
                        await asyncio.sleep(0.01)
                await self.wait_until_free()

    async def test_an_idle_connection_holds_no_body(self) -> None:
        self.release_events[b"/"].set()
        async with self.caller() as (reader, writer):
            writer.write(self.upload(self.LARGE, is_chunked=False))
            await reader.readuntil(b"\r\n\r\n")
            await self.wait_until_free()
            gc.collect()
            held = [b for b in gc.get_objects() if isinstance(b, CallerRequest)]
            self.assertEqual(held, [])


class MemoryTest(CallerConnTest):
    """Guards against callers that take the memory or the descriptors of others.

    Load pattern: callers that stop within a request, or keep idle connections, beside
    requests at upstreams.
    """

    BODY = 200_000

    def setUp(self) -> None:
        super().setUp()
        self.limits = ReadLimits(16_384, self.BODY, 2.0, 2.0)

    def half(self) -> bytes:
        head = self._post(b"content-length: %d" % self.BODY)
        return head + b"x" * (self.BODY - 1)

    async def wait_for_held(self, size_bytes: int) -> None:
        while self.memory.used_bytes < size_bytes:
            await asyncio.sleep(0.01)

    async def test_a_stalled_request_is_refused_for_one_that_makes_progress(
        self,
    ) -> None:
        self.memory = CallerMemory(CallerBudget(2 * self.BODY, 100))
        async with (
            self.caller() as (reader_1, writer_1),
            self.caller() as (
                reader_2,
                writer_2,
            ),
        ):
            writer_1.write(self.half())
            await self.wait_for_held(self.BODY)
            writer_2.write(self.half() + b"x")
            self.assertIn(b" 200 ", await reader_2.readline())
            self.assertIn(b" 503 ", await reader_1.readline())
            self.assertIn(b"retry-after", await reader_1.read())
        self.assertEqual(self.started, [b"/"])

    async def test_a_request_that_runs_is_not_ended(self) -> None:
        self.memory = CallerMemory(CallerBudget(2 * self.BODY, 100))
        self.release_events = {b"/": asyncio.Event()}
        async with (
            self.caller() as (reader_1, writer_1),
            self.caller() as (
                reader_2,
                writer_2,
            ),
        ):
            writer_1.write(self.half() + b"x")
            await self.wait_for_started(1)
            writer_2.write(self.half())
            self.assertIn(b" 503 ", await reader_2.readline())
            self.release_events[b"/"].set()
            self.assertIn(b" 200 ", await reader_1.readline())
        self.assertEqual(self.cancelled, [])

    async def test_connections_without_a_request_make_room(self) -> None:
        self.memory = CallerMemory(CallerBudget(10**6, 2))
        self.release_events = {b"/1": asyncio.Event()}
        async with self.caller() as (reader_1, writer_1):
            writer_1.write(self.get(b"/1"))
            await self.wait_for_started(1)
            async with (
                self.caller() as (reader_2, _),
                self.caller() as (reader_3, writer_3),
            ):
                writer_3.write(self.get(b"/3"))
                # Without an answer, which could be taken for that of a later request.
                with suppress(ConnectionResetError):
                    self.assertEqual(await reader_2.read(), b"")
                self.assertIn(b" 200 ", await reader_3.readline())
            self.release_events[b"/1"].set()
            self.assertIn(b" 200 ", await reader_1.readline())

    async def test_unread_answers_make_room(self) -> None:
        self.memory = CallerMemory(CallerBudget(10**8, 100))
        self.answer_body = b"x" * 30_000_000
        async with self.caller() as (_, writer), self.caller() as (reader_2, writer_2):
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(self.get(b"/large"))
            await self.wait_for_held(20_000_000)
            self.memory.budget.limit_bytes = 20_000_000
            writer_2.write(self.half() + b"x")
            self.assertIn(b" 200 ", await reader_2.readline())
            self.assertLess(self.memory.used_bytes, 1_000_000)

    async def test_a_slow_request_is_served_in_calm(self) -> None:
        self.limits = ReadLimits(4096, 1000, 0.3, 0.3)
        async with self.caller() as (reader, writer):
            for byte in self._post(b"content-length: 3") + b"abc":
                writer.write(bytes((byte,)))
                await asyncio.sleep(0.02)
                self.memory.end_stalled(1e9)
            self.assertIn(b" 200 ", await reader.readline())

    async def test_tiny_chunks_of_many_callers_take_turns(self) -> None:
        turns = Turns(TURNS_PER_ITERATION)
        passed = 0

        async def parse() -> None:
            nonlocal passed
            turn = turns.request(is_ahead=True)
            if turn is not None:
                await turn
            passed += 1

        tasks = [asyncio.create_task(parse()) for _ in range(50)]
        # One is cancelled while it waits.
        await asyncio.sleep(0)
        tasks[0].cancel()
        most = 0
        while passed < 49:
            before = passed
            await asyncio.sleep(0)
            most = max(most, passed - before)
        self.assertLessEqual(most, TURNS_PER_ITERATION)


class UnsendableAnswerTest(CallerConnTest):
    """Guards against a connection that stays open without the answer it owes."""

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        if request.target == b"/fails":
            raise RuntimeError("a fault of the program")
        return CallerAnswer(200, [(b"x-broken", b"a\r\nb")])

    async def test_the_connection_is_closed(self) -> None:
        failures: list[dict[str, Any]] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: failures.append(context))
        for target in (b"/1", b"/fails"):
            with self.subTest(target):
                failures.clear()
                async with self.caller() as (reader, writer):
                    writer.write(self.get(target))
                    self.assertEqual(await reader.read(), b"")
                while self.connections:
                    await asyncio.sleep(0)
                gc.collect()
                self.assertEqual(len(failures), 1)


class DisconnectDuringAnswerTest(CallerConnTest):
    """Guards against an exception when a caller disconnects during an answer.

    The caller ends its side of the connection while a long answer is being written.
    """

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        self.started.append(request.target)
        return CallerAnswer(200, [], b"x" * 16_000_000)

    async def test_a_caller_disconnects_during_a_long_answer(self) -> None:
        failures: list[dict[str, Any]] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: failures.append(context))
        async with self.caller() as (reader, writer):
            writer.write(self.get(b"/long"))
            await reader.read(1000)
            writer.write_eof()
            while self.connections:
                await asyncio.sleep(0.01)
            while await reader.read(1_000_000):
                pass
        gc.collect()
        self.assertEqual(failures, [])
