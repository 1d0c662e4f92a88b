"""Guards against callers that send requests without waiting for their answers."""

from __future__ import annotations

import asyncio
import socket

from edge.support import LOOPBACK
from edge.support import answer
from edge.support import config
from edge.support import scripted_server
from edge.support import upstream
from edge.test_caller_conn import CallerConnTest
from edge.test_relay import RelayTestCase

from cardamomquay.caller_memory import RunningRequests
from cardamomquay_daemon.edge._caller_conn import CONNECTION_BYTES
from cardamomquay_daemon.edge._caller_conn import HANDLER_BYTES
from cardamomquay_daemon.edge._caller_conn import PARSED_PART_BYTES
from cardamomquay_daemon.edge._caller_conn import PIPELINED_REQUESTS_MAX
from cardamomquay_daemon.edge._caller_conn import REQUEST_BYTES
from cardamomquay_daemon.edge._caller_conn import UNREAD_HEAD_BYTES_MAX
from cardamomquay_daemon.edge._caller_memory import CallerMemory
from cardamomquay_daemon.edge._connection_pool import ConnectionCount
from cardamomquay_daemon.edge._connection_pool import ConnectionPool

# Work that keeps all connections waiting for the rest of a test.
ENDLESS_TURNS = 1_000_000


class CountedMemoryTest(CallerConnTest):
    """Guards against memory of pipelined requests that no budget counts."""

    async def test_nothing_is_counted_twice_or_left_out_after_the_answers(self) -> None:
        async with self.caller() as (reader, writer):
            writer.write(self.get(b"/") * 200)
            for _ in range(200):
                await reader.readuntil(b"\r\n\r\n/")
            while any(conn.is_busy for conn in self.connections):
                await asyncio.sleep(0)
            left_bytes = self.memory.used_bytes - CONNECTION_BYTES
            # What the connection's buffer keeps when it is empty.
            self.assertIn(left_bytes, range(64))

    async def test_what_follows_a_request_is_kept_once(self) -> None:
        self.release_events = {b"/": asyncio.Event()}
        async with self.caller() as (_, writer):
            writer.write(self.get(b"/") * 2000)
            await self.wait_for_started(PIPELINED_REQUESTS_MAX)
            requests_bytes = PIPELINED_REQUESTS_MAX * (REQUEST_BYTES + HANDLER_BYTES)
            counted = self.memory.used_bytes - CONNECTION_BYTES
            self.assertGreater(counted, requests_bytes)
            parts_bytes = (PIPELINED_REQUESTS_MAX + 1) * PARSED_PART_BYTES
            # A buffer may be twice as long as its content.
            rest_bytes = parts_bytes + 4 * UNREAD_HEAD_BYTES_MAX
            self.assertLess(counted, requests_bytes + rest_bytes)
            conn = next(iter(self.connections))
            kept = sum(len(item.parser.trailing_data[0]) for item in conn._pending)
            self.assertLessEqual(kept, PIPELINED_REQUESTS_MAX * PARSED_PART_BYTES)


class WaitingTest(CallerConnTest):
    """Guards against work for callers that have gone, and against too much at once."""

    async def test_a_request_whose_caller_leaves_before_its_turn_never_runs(
        self,
    ) -> None:
        self.memory.turns.charge(ENDLESS_TURNS)
        async with self.caller() as (_, writer):
            writer.write(self.get(b"/1"))
            while not len(self.memory.turns):
                await asyncio.sleep(0)
            writer.close()
            while self.memory.used_bytes:
                await asyncio.sleep(0)
        self.assertEqual(self.connections, set())
        self.assertEqual(self.started, [])

    async def test_bytes_behind_the_last_request_are_read_in_turns(self) -> None:
        self.release_events = {b"/": asyncio.Event()}
        async with self.caller() as (_, writer):
            writer.write(b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")
            await self.wait_for_started(1)
            self.memory.turns.charge(ENDLESS_TURNS)
            writer.write(b"x" * 1_000_000)
            conn = next(iter(self.connections))
            for _ in range(200):
                await asyncio.sleep(0)
            self.assertFalse(conn.transport.is_reading())

    async def test_requests_run_one_by_one_while_many_others_run(self) -> None:
        running = RunningRequests(4)
        self.memory = CallerMemory(running=running)
        self.release_events = {b"/": asyncio.Event()}
        with running.run("other"):
            async with self.caller() as (reader, writer):
                writer.write(self.get(b"/") * 3)
                await self.wait_for_started(1)
                for _ in range(50):
                    await asyncio.sleep(0)
                self.assertEqual(len(self.started), 1)
                self.release_events[b"/"].set()
                await self.wait_for_started(3)
                await reader.readuntil(b"\r\n\r\n/")


class UpstreamConnectionsTest(RelayTestCase):
    """Guards against requests that open more connections than the host may have."""

    async def test_a_request_beyond_the_bound_is_rejected_at_once(self) -> None:
        async with scripted_server(answer(b"whole")) as server:
            target = upstream(server.address)
            fixture = self.fixture(config(), target)
            fixture.relay._running = RunningRequests(1)
            with fixture.relay._running.run(target.service):
                got = await fixture.ask()
            self.assertEqual(got.status, 503)
            self.assertIn(b'"not_run":true', got.body)
            self.assertIn(b"retry-after", dict(got.headers))
            # It says nothing about the upstream.
            self.assertEqual((await fixture.ask()).status, 200)
        self.assertEqual(len(server.requests), 1)

    async def test_idle_connections_make_room_for_new_ones(self) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, LOOPBACK, 0)
        self.addCleanup(server.close)
        address = server.sockets[0].getsockname()[:2]
        count = ConnectionCount(2)
        pools = [ConnectionPool(address, 1.0, 4, count=count) for _ in range(3)]
        for pool in pools:
            self.addCleanup(pool.close)
            async with pool.connection() as conn:
                conn.idle_limit_s = 60.0
        self.assertEqual([len(pool._idle) for pool in pools], [0, 1, 1])
        self.assertEqual(len(count), 2)
        for pool in pools:
            pool.close()
        self.assertEqual(len(count), 0)

    async def test_a_connection_that_cannot_be_opened_is_not_counted(self) -> None:
        with socket.socket() as sock:
            sock.bind((LOOPBACK, 0))
            count = ConnectionCount(2)
            pool = ConnectionPool(sock.getsockname(), 1.0, 4, count=count)
            self.assertFalse(await pool.is_listening())
        self.assertEqual(len(count), 0)
