from __future__ import annotations

import unittest
from contextlib import ExitStack

from cardamomquay.caller_memory import RunningRequests


class RunningRequestsTest(unittest.TestCase):
    """Guards against requests that take all connections to upstreams.

    Load pattern: the upstreams of one service hold all requests that a crowd sends.
    """

    def setUp(self) -> None:
        self.running = RunningRequests(8)
        self.stack = self.enterContext(ExitStack())

    def begin(self, service: str, count: int) -> list[bool]:
        return [
            self.stack.enter_context(self.running.run(service)) for _ in range(count)
        ]

    def test_one_service_leaves_room_for_others(self) -> None:
        self.assertEqual(self.begin("held", 7), [True] * 6 + [False])
        self.assertEqual(self.begin("other", 3), [True, True, False])

    def test_requests_of_one_connection_run_together_while_there_is_room(self) -> None:
        self.assertTrue(self.running.has_room_for_pipelined)
        self.begin("a", 2)
        self.assertFalse(self.running.has_room_for_pipelined)

    def test_room_returns_when_requests_end(self) -> None:
        self.begin("a", 7)
        self.stack.close()
        self.assertEqual(len(self.running), 0)
        self.assertEqual(self.begin("a", 6), [True] * 6)
