"""Load pattern: 27 hosts in three zones with 20 requests a second each.

Each of them has some of forty organisations. Only the hosts that collect get all
counts, and only the holder calls the store and the platform.
"""

from __future__ import annotations

import asyncio
import json
import math
import unittest
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from unittest import mock

import msgspec
from edge.support import SHED_ANSWER
from edge.support import RelayFixture
from edge.support import answer
from edge.support import config
from edge.support import scripted_server
from edge.support import upstream
from edge.test_gateways import Fleet
from edge.test_peers import Host

from cardamomquay.clock import ManualClock
from cardamomquay.platform import Committed
from cardamomquay.platform import Conflicted
from cardamomquay.platform import Row
from cardamomquay.platform import RowsRead
from cardamomquay.platform import make_revision
from cardamomquay.usage import Send
from cardamomquay.usage import UsageBounds
from cardamomquay_daemon.edge import UsageSettings
from cardamomquay_daemon.edge._addresses import parse_address
from cardamomquay_daemon.edge._reports import Report
from cardamomquay_daemon.edge._usage_reports import LARGE_FLEET_PERIOD_S
from cardamomquay_daemon.edge._usage_reports import UsageReports

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from cardamomquay.platform import Transaction

BOUNDS = UsageBounds()
SETTINGS = UsageSettings(
    ("127.0.0.1", 1), b"/usage", b"x-lease-holder", b"x-fencing-token", BOUNDS
)
ORGANISATIONS = [f"organisation-{number}" for number in range(40)]
# Time of day at the start of the clock.
DAY_S = 1_700_000_000.0
REQUESTS_PER_STEP = 1


class RowPlatform:
    """The row of the usage reports, and the calls that were made."""

    def __init__(self) -> None:
        self.version = 10
        self.row: Row | None = None
        self.reads = 0
        self.writes = 0

    async def scan(self, table: str) -> RowsRead:
        self.reads += 1
        return RowsRead(make_revision(1, self.version), (self.row,) if self.row else ())

    async def transact(self, transaction: Transaction) -> Committed | Conflicted:
        self.writes += 1
        (condition,), (write,) = transaction.conditions, transaction.writes
        if condition.version != (self.row.version if self.row else 0):
            return Conflicted(())
        self.version += 1
        revision = make_revision(1, self.version)
        self.row = Row(write.key, revision, write.value)
        return Committed(revision)


class RecordingReports(UsageReports):
    """Records reports instead of sending them."""

    reported: dict[int, dict[str, int]]
    holders: list[str]

    async def _report(self, send: Send) -> None:
        now_s = self._clock.now_s()
        assert self._reporter.may_send(send, now_s)
        self.holders.append(self._fleet.own.name)
        counts = json.loads(send.body)["counts"]
        assert self.reported.setdefault(send.window, counts) == counts
        self._reporter.on_sent(send, 200, now_s, self._time.true_s(now_s))


def _run(coroutine: Coroutine[Any, Any, bool]) -> bool:
    """Run a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as exc:
        return bool(exc.value)
    raise AssertionError("the coroutine waits")


class MeteredFleet(Fleet):
    """A fleet that reports usage."""

    def __init__(self, loss_share: float = 0.0, hosts_per_zone: int = 9) -> None:
        self.platform = RowPlatform()
        self.usage: dict[str, RecordingReports] = {}
        self.reported: dict[int, dict[str, int]] = {}
        self.holders: list[str] = []
        self.true: dict[int, Counter[str]] = {}
        self.usage_bytes = 0
        self.clock_errors_s: dict[str, float] = {}
        super().__init__(loss_share, hosts_per_zone)

    def start(self, host: Host) -> None:
        super().start(host)
        name = host.fleet.own.name
        platform: Any = self.platform
        telemetry: Any = host.telemetry
        usage = RecordingReports(
            SETTINGS,
            host.fleet,
            host.state,
            platform,
            self.clock,
            telemetry,
            len(self.usage) + 1,
            host.peers.send_usage_message,
            lambda: DAY_S + self.clock.now_s() + self.clock_errors_s.get(name, 0.0),
        )
        usage.reported, usage.holders = self.reported, self.holders
        host.peers.usage_reports = self.usage[name] = usage
        self.due[name].append(self.due[name][0])

    def confirm(self, host: Host, now_s: float) -> None:
        super().confirm(host, now_s)
        name = host.fleet.own.name
        if now_s >= self.due[name][3]:
            self.due[name][3] += LARGE_FLEET_PERIOD_S
            before = len(host.sent)
            self.usage[name].send_messages()
            self.usage_bytes += sum(len(data) for data, _ in host.sent[before:])
        for _ in range(REQUESTS_PER_STEP):
            organisation = self.rng.choice(ORGANISATIONS)
            self.usage[name].count_begun(organisation, now_s)
            window = int((DAY_S + now_s) // BOUNDS.window_s)
            self.true.setdefault(window, Counter())[organisation] += 1
        while _run(self.usage[name].take_step()):
            pass

    def kill(self, name: str) -> None:
        del self.network[name]
        del self.usage[name]

    def off_shares(self, first: int, last: int) -> list[float]:
        """Return by how much the reported sums of windows differ from the true ones."""
        return [
            abs(sum(self.reported[window].values()) - self.true[window].total())
            / self.true[window].total()
            for window in range(first, last + 1)
        ]


class MeteredFleetTest(unittest.TestCase):
    """Guards against lost counts, and against calls by each host of a large fleet."""

    def test_all_counts_of_a_large_fleet_are_reported(self) -> None:
        fleet = MeteredFleet(loss_share=0.1)
        fleet.run(10.0)
        reads, writes = fleet.platform.reads, fleet.platform.writes
        fleet.usage_bytes = 0
        fleet.run(40.0)
        last = max(fleet.reported)
        window_s = BOUNDS.window_s
        self.assertGreaterEqual(last, (DAY_S + fleet.clock.now_s() - 10.0) // window_s)
        # The first window began before the hosts knew each other.
        self.assertEqual(fleet.off_shares(last - 6, last), [0.0] * 7)
        self.assertLessEqual(fleet.platform.writes - writes, 9)
        self.assertLessEqual(fleet.platform.reads - reads, 2)
        # Well below the slowest link, of 5 Mbit/s.
        self.assertLess(fleet.usage_bytes / len(fleet.usage) / 40.0, 6000.0)

    def test_wrong_clocks_of_a_third_of_the_hosts_move_nothing(self) -> None:
        fleet = MeteredFleet()
        fleet.run(10.0)
        for name in fleet.usage:
            if name.startswith("b"):
                fleet.clock_errors_s[name] = 2.0
        fleet.run(30.0)
        last = max(fleet.reported)
        for off in fleet.off_shares(last - 4, last):
            self.assertLess(off, 0.01)

    def test_counts_of_a_killed_host_are_reported(self) -> None:
        fleet = MeteredFleet()
        fleet.run(15.0)
        holder = fleet.holders[-1]
        killed_window = int((DAY_S + fleet.clock.now_s()) // BOUNDS.window_s)
        fleet.kill(holder)
        fleet.run(30.0)
        self.assertNotEqual(fleet.holders[-1], holder)
        # One host of 27 loses the counts of at most one period.
        for off in fleet.off_shares(killed_window - 1, max(fleet.reported)):
            self.assertLess(off, 0.01)

    def test_without_the_duty_nothing_is_sent(self) -> None:
        fleet = Fleet()
        fleet.run(3.0)
        host = fleet.hosts()[0]
        host.peers.report()
        for data, _ in host.sent:
            decoded = msgspec.msgpack.decode(data)
            self.assertEqual(len(decoded), len(msgspec.structs.fields(Report)))


class EarlierVersionTest(unittest.TestCase):
    """Guards against messages that change the state of hosts of the version before."""

    def test_a_message_is_an_outdated_report(self) -> None:
        clock = ManualClock(100.0)
        network: dict[str, Any] = {}
        one, two = Host("h1", clock, network), Host("h2", clock, network)
        one.peers._update_host(two.fleet.own)
        two.peers._update_host(one.fleet.own)
        for host in (one, two, one, two):
            host.peers.report()
            host.deliver()
        # As a host of the version before decodes it.
        two.peers._decoder = msgspec.msgpack.Decoder(Report)
        before = replace(two.fleet.peers["h1"])
        clock.advance(0.5)
        peer = one.fleet.peers["h2"]
        message: Any = [1, 2, 3]
        one.peers.send_usage_message(peer, message)
        ((data, _),) = one.sent
        report = msgspec.msgpack.decode(data, type=Report)
        with mock.patch.object(two.peers, "_apply_state") as apply_state:
            two.peers._apply_report(two.fleet.peers["h1"], report)
        apply_state.assert_not_called()
        self.assertEqual(two.fleet.peers["h1"], before)
        self.assertNotIn("h1", two.peers._without_observations)

    def test_a_malformed_message_is_counted(self) -> None:
        fleet = MeteredFleet(hosts_per_zone=1)
        usage = fleet.usage["a0"]
        for payload in (3, [], ["x"] * 10, {"a": 1}):
            usage.apply(None, payload)
        self.assertEqual(fleet.hosts()[0].telemetry.counters["usage.malformed"], 4)


class CountedAttemptsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against counts of requests that no upstream ran, and lost ones."""

    async def count(self, *upstreams: Any, method: bytes = b"GET") -> tuple[int, int]:
        """Return how many attempts were counted, and taken back."""
        fixture = RelayFixture(ManualClock(100.0), config(), *upstreams)
        self.addCleanup(fixture.connections.close)
        usage = fixture.attempt_sender._usage_reports = mock.Mock()
        usage.count_begun.return_value = 7
        await fixture.ask(method)
        for call in usage.count_begun.call_args_list:
            self.assertEqual(call.args[0], "salsa")
        for call in usage.count_not_run.call_args_list:
            self.assertEqual(call.args, ("salsa", 7))
        return usage.count_begun.call_count, usage.count_not_run.call_count

    async def test_answers(self) -> None:
        for reply, counts in (
            (answer(), (1, 0)),
            (answer(status=500), (1, 0)),
            (answer(status=404), (1, 0)),
            (SHED_ANSWER, (1, 1)),
            (answer(status=421), (1, 1)),
            (answer(headers=b""), (1, 0)),
        ):
            with self.subTest(reply):
                async with scripted_server(reply) as server:
                    got = await self.count(upstream(server.address))
                self.assertEqual(got, counts)

    async def test_a_request_that_waited_counts_when_it_began(self) -> None:
        async def answer_late(reader: Any, writer: Any) -> None:
            clock.advance(2.0)
            writer.write(answer())
            await writer.drain()

        for load, moves in ((1.0, 0), (5.0, 1)):
            with self.subTest(load):
                clock = ManualClock(100.0)
                async with scripted_server(answer_late) as server:
                    entry = upstream(server.address)
                    fixture = RelayFixture(clock, config(), entry)
                    self.addCleanup(fixture.connections.close)
                    usage = fixture.attempt_sender._usage_reports = mock.Mock()
                    usage.count_begun.return_value = 7
                    record = fixture.placement.record_of(entry)
                    with mock.patch.object(
                        type(record), "estimated_load", return_value=load
                    ):
                        await fixture.ask()
                self.assertEqual(usage.move.call_count, moves)
                if moves:
                    organisation, window, begun_s = usage.move.call_args.args
                    self.assertEqual((organisation, window), ("salsa", 7))
                    self.assertGreater(begun_s, 101.0)
                    self.assertLess(begun_s, 102.0)

    async def test_a_moved_request_is_counted_once(self) -> None:
        fleet = MeteredFleet(hosts_per_zone=1)
        usage = fleet.usage["a0"]
        window_s = BOUNDS.window_s
        for late_s, moved in ((0.5, True), (1.2, False)):
            with self.subTest(late_s):
                # In a window without earlier requests.
                left_s = window_s - fleet.clock.now_s() % window_s
                fleet.clock.advance(left_s + 2.0 * window_s - 0.1)
                sent_window = usage.count_begun("x", fleet.clock.now_s())
                fleet.clock.advance(0.1 + late_s)
                usage.move("x", sent_window, fleet.clock.now_s())
                totals = [usage._counts.totals(sent_window + n) for n in (0, 1)]
                expected = [{}, {"x": 1}] if moved else [{"x": 1}, {}]
                self.assertEqual(totals, expected)

    async def test_an_attempt_without_an_answer_counts(self) -> None:
        async with scripted_server(None) as server:
            self.assertEqual(await self.count(upstream(server.address)), (1, 0))

    async def test_an_upstream_that_cannot_be_reached_does_not_count(self) -> None:
        begun, taken_back = await self.count(upstream("127.0.0.1:1"))
        self.assertEqual(begun - taken_back, 0)


class PlatformCallTest(unittest.IsolatedAsyncioTestCase):
    """Guards against calls that are sent without the right, or that last too long."""

    def setUp(self) -> None:
        self.fleet = MeteredFleet(hosts_per_zone=1)

    async def call(self, address: str, until_s: float = 1.0) -> mock.Mock:
        usage = self.fleet.usage["a0"]
        usage._settings = replace(SETTINGS, address=parse_address(address))
        usage._reporter = mock.Mock()
        usage._reporter.may_send.return_value = True
        usage._reporter.on_read.return_value = None
        usage._reporter.may_send_until_s.return_value = -math.inf
        now_s = self.fleet.clock.now_s()
        send = Send(7, '{"window":7,"counts":{}}', 42, now_s + until_s)
        await UsageReports._report(usage, send)
        return usage._reporter

    async def test_headers_and_body(self) -> None:
        async with scripted_server(answer()) as server:
            reporter = await self.call(server.address)
        self.assertEqual(reporter.on_sent.call_args.args[1], 200)
        head = server.requests[0].lower()
        self.assertTrue(head.startswith(b"post /usage http/1.1\r\n"), head)
        self.assertIn(b"x-lease-holder: a0\r\n", head)
        self.assertIn(b"x-fencing-token: 42\r\n", head)

    async def test_a_call_that_takes_too_long_is_abandoned(self) -> None:
        async def be_silent(reader: Any, writer: Any) -> None:
            await reader.read()

        async with scripted_server(be_silent) as server:
            reporter = await self.call(server.address, until_s=0.1)
            self.assertIsNone(reporter.on_sent.call_args.args[1])
            async with asyncio.timeout(1.0):
                await server.connection_ended.wait()

    async def test_a_slow_call_goes_on_while_the_store_confirms_the_term(self) -> None:
        async def answer_late(reader: Any, writer: Any) -> None:
            await asyncio.sleep(0.3)
            writer.write(answer())
            await writer.drain()

        for is_confirmed in (True, False):
            with self.subTest(is_confirmed):
                usage = self.fleet.usage["a0"]
                usage._reporter = mock.Mock()
                usage._reporter.may_send.return_value = True
                usage._reporter.on_read.return_value = None
                usage._reporter.may_send_until_s.return_value = (
                    self.fleet.clock.now_s() + 2.0 if is_confirmed else -math.inf
                )
                send = Send(7, "{}", 42, self.fleet.clock.now_s() + 0.5)
                async with scripted_server(answer_late) as server:
                    usage._settings = replace(
                        SETTINGS, address=parse_address(server.address)
                    )
                    await UsageReports._report(usage, send)
                status = usage._reporter.on_sent.call_args.args[1]
                self.assertEqual(status, 200 if is_confirmed else None)

    async def test_a_host_that_lost_the_right_while_it_connected_sends_nothing(
        self,
    ) -> None:
        async with scripted_server(answer()) as server:
            usage = self.fleet.usage["a0"]
            usage._settings = replace(SETTINGS, address=parse_address(server.address))
            usage._reporter = mock.Mock()
            usage._reporter.may_send.return_value = False
            await UsageReports._report(usage, Send(7, "{}", 42, 200.0))
            usage._reporter.on_sent.assert_not_called()
        self.assertEqual(server.requests, [])

    async def test_a_refused_connection_is_no_response(self) -> None:
        reporter = await self.call("127.0.0.1:1")
        self.assertIsNone(reporter.on_sent.call_args.args[1])
