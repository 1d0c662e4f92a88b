"""Load pattern: callers ask for more large answers at once than a host can hold."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import h11
from edge.support import answer
from edge.support import scripted_server

from cardamomquay_daemon.edge import ExchangeError
from cardamomquay_daemon.edge import HttpConnection
from cardamomquay_daemon.edge import _byte_stream
from cardamomquay_daemon.edge._addresses import parse_address
from cardamomquay_daemon.edge._answer_limits import MEBIBYTE
from cardamomquay_daemon.edge._answer_limits import AnswerBuffers
from cardamomquay_daemon.edge._byte_stream import READ_BYTES
from cardamomquay_daemon.edge._byte_stream import ByteStream
from cardamomquay_daemon.edge._byte_stream import ClientStream

ANSWER_BYTES = 540_000
ANSWER_COUNT = 60
# Bytes of large answers that may be read in an iteration of the event loop.
ITERATION_BYTES_MAX = 2 * MEBIBYTE
TEST_TIMEOUT_S = 20.0
ID_HEADER = (b"request-id", b"id-1")


class LargeAnswersCase(unittest.IsolatedAsyncioTestCase):
    async def ask(self, address: str, buffers: AnswerBuffers) -> int | str:
        """Return the size of the answer's body, or the reason why there is none."""
        conn = await HttpConnection.open(parse_address(address), 5.0)
        conn._buffers = buffers
        conn.is_for_callers = True
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
