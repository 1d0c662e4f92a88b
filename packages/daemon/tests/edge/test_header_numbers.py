"""Guards against numbers in headers that are too large to compute with.

Callers and upstreams may send any digits. A request that fails on them is answered with
status 500; a load that a report between hosts cannot hold would end the host.
"""

from __future__ import annotations

import unittest

from edge.support import RelayFixture
from edge.support import answer
from edge.support import config
from edge.support import scripted_server
from edge.support import upstream

from cardamomquay.clock import ManualClock

# Too long for a float, and too long for an integer that Python parses.
DIGIT_COUNTS = (30, 400, 5000)


class HeaderNumberTest(unittest.IsolatedAsyncioTestCase):
    async def test_deadlines_of_callers(self) -> None:
        for digits in DIGIT_COUNTS:
            with self.subTest(digits):
                async with scripted_server(answer()) as server:
                    fixture = RelayFixture(
                        ManualClock(100.0), config(), upstream(server.address)
                    )
                    headers = ((b"deadline-ms", b"9" * digits),)
                    got = await fixture.ask(headers=headers)
                self.assertEqual(got.status, 200)

    async def test_loads_that_upstreams_report(self) -> None:
        for digits in DIGIT_COUNTS:
            for load in (b"%s,0,3", b"0,%s,3", b"0,0,%s"):
                with self.subTest(load, digits=digits):
                    huge = load % (b"9" * digits)
                    headers = b"signature: s\r\nload: %s\r\n" % huge
                    async with scripted_server(
                        answer(headers=headers), answer()
                    ) as server:
                        fixture = RelayFixture(
                            ManualClock(100.0), config(), upstream(server.address)
                        )
                        statuses = [(await fixture.ask()).status for _ in range(2)]
                    self.assertEqual(statuses, [200, 200])

    async def test_lengths_of_answers(self) -> None:
        for digits in DIGIT_COUNTS:
            with self.subTest(digits):
                whole = answer()
                endless = whole.replace(
                    b"content-length: 2", b"content-length: " + b"9" * digits
                )
                self.assertNotEqual(endless, whole)
                async with scripted_server(endless) as server:
                    fixture = RelayFixture(
                        ManualClock(100.0), config(), upstream(server.address)
                    )
                    got = await fixture.ask()
                self.assertIn(got.status, (502, 504))
