"""Guards against callers that send requests without waiting for their answers."""

from __future__ import annotations

import asyncio

from edge.test_caller_conn import CallerConnTest

from cardamomquay_daemon.edge._caller_conn import CONNECTION_BYTES
from cardamomquay_daemon.edge._caller_conn import HANDLER_BYTES
from cardamomquay_daemon.edge._caller_conn import PARSED_PART_BYTES
from cardamomquay_daemon.edge._caller_conn import PIPELINED_REQUESTS_MAX
from cardamomquay_daemon.edge._caller_conn import REQUEST_BYTES
from cardamomquay_daemon.edge._caller_conn import UNREAD_HEAD_BYTES_MAX

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
    """Guards against work for callers that have gone."""

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
