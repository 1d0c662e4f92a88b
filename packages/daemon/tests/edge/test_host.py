from __future__ import annotations

import asyncio
import socket
import unittest
from contextlib import ExitStack
from contextlib import asynccontextmanager
from itertools import pairwise
from typing import TYPE_CHECKING
from typing import Any
from unittest import mock

from edge.support import LOOPBACK
from edge.support import NAMES
from edge.support import FakeTelemetry
from edge.support import ScriptedServer
from edge.support import answer
from edge.support import config
from edge.support import route
from edge.support import scripted_server
from edge.support import upstream
from edge.test_feeds import FakePlatform

from cardamomquay.traffic import RouteKind
from cardamomquay.traffic import TrafficConfig
from cardamomquay_daemon.edge import Bounds
from cardamomquay_daemon.edge import CallerProtocol
from cardamomquay_daemon.edge import EdgeHost
from cardamomquay_daemon.edge import EdgeSettings
from cardamomquay_daemon.edge import HeaderNames
from cardamomquay_daemon.edge import Listeners
from cardamomquay_daemon.edge import LookupRequest
from cardamomquay_daemon.edge import OperatorChanges
from cardamomquay_daemon.edge import UpstreamChanges
from cardamomquay_daemon.edge._host import ACCEPTS_PER_ITERATION

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

GRACE_S = 1.0
SLOW_ANSWER_S = 0.3


class PlainCallerProtocol(CallerProtocol):
    """Caller protocol with the header names and paths of these tests."""

    @property
    def headers(self) -> HeaderNames:
        return NAMES

    def is_readiness_path(self, path: str) -> bool:
        return path == "/ready"

    def parse_lookup(self, target: str) -> LookupRequest | None:
        return LookupRequest("shop.example", "a", "A") if target == "/hosts" else None

    def encode_lookup(self, addresses: list[str], ttl_s: float) -> bytes:
        return ",".join(addresses).encode()


class Telemetry(FakeTelemetry):
    """Fake telemetry with the further methods that a host calls."""

    def flush(self) -> None:
        pass

    def as_text(self) -> bytes:
        return b"metrics"


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((LOOPBACK, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


class HostCase(unittest.IsolatedAsyncioTestCase):
    grace_s = GRACE_S

    @asynccontextmanager
    async def running(self, served: ScriptedServer) -> AsyncGenerator[EdgeHost]:
        self.ports = free_ports(5)
        callers, ready, directory, peers, metrics = (
            (LOOPBACK, port) for port in self.ports
        )
        settings = EdgeSettings(
            name="h0",
            ip=LOOPBACK,
            zone="a",
            region="A",
            region_of={"a": "A"},
            listeners=Listeners(callers, ready, directory, peers, metrics),
            store_address=(LOOPBACK, 1),
            heartbeat_s=1.5,
            bounds=Bounds(grace_s=self.grace_s),
        )
        public_config = config(route(is_public=True, timeout_s=2.0))
        platform = FakePlatform(
            operator=[OperatorChanges(1, True, public_config, {}, {})],
            upstreams=[UpstreamChanges(1, True, (upstream(served.address),), ())],
        )
        telemetry: Any = Telemetry()
        self.host = EdgeHost(
            settings, PlainCallerProtocol(), platform, telemetry, lambda: settings
        )
        self.task = asyncio.create_task(self.host.run())
        try:
            async with asyncio.timeout(5.0):
                while await self.get(1, b"/ready") != 200:
                    await asyncio.sleep(0.05)
                yield self.host
        finally:
            self.host.stop()
            await self.task

    async def get(self, port_index: int, target: bytes, method: bytes = b"GET") -> int:
        """Return the status of the answer, 0 without an answer.

        The index counts callers, readiness, directory, peers and metrics from 0.
        """
        try:
            reader, writer = await asyncio.open_connection(
                LOOPBACK, self.ports[port_index]
            )
        except OSError:
            return 0
        head = b" HTTP/1.1\r\nhost: shop.example\r\nrequest-id: id-1\r\n\r\n"
        writer.write(method + b" " + target + head)
        try:
            line = await reader.readline()
        except OSError:
            line = b""
        writer.close()
        return int(line.split()[1]) if line else 0


async def slow_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(SLOW_ANSWER_S)
    writer.write(answer())


async def never_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.read()


class GracefulStopTest(HostCase):
    """Guards against requests that are cut off or accepted too late in a stop."""

    async def test_accepted_requests_are_answered(self) -> None:
        async with (
            scripted_server(slow_answer, answer(), slow_answer) as served,
            self.running(served) as host,
        ):
            self.assertEqual(await self.get(2, b"/hosts"), 200)
            running = asyncio.create_task(self.get(0, b"/a/1"))
            while not served.requests:
                await asyncio.sleep(0.01)
            host.stop()
            await asyncio.sleep(0.1)
            # The host is at once not ready and not in look-up answers, but callers with
            # a cached look-up answer are still served.
            self.assertEqual(await self.get(1, b"/ready"), 503)
            self.assertEqual(await self.get(2, b"/hosts"), 503)
            self.assertEqual(await self.get(0, b"/a/2"), 200)
            self.assertEqual(await running, 200)
            while await self.get(0, b"/none") == 404:
                await asyncio.sleep(0.05)
            # No request is accepted for which the rest of the grace time may be
            # too short.
            self.assertEqual(await self.get(0, b"/a/3"), 0)
            async with asyncio.timeout(GRACE_S):
                await self.task
        self.assertEqual(len(served.requests), 2)

    async def test_a_request_at_the_end_of_the_grace_is_still_answered(self) -> None:
        async with (
            scripted_server(slow_answer) as served,
            self.running(served) as host,
        ):
            host.stop()
            await asyncio.sleep(0.4 * GRACE_S)
            self.assertEqual(await self.get(0, b"/a/1"), 200)


class LateInGraceTest(HostCase):
    """Guards against requests that the end of the grace time cuts without an answer.

    The route's timeout is longer than the grace time that is left.
    """

    async def ask_late(self, served: ScriptedServer, method: bytes) -> int:
        """Return the status of a request late in the time in which some are taken."""
        async with self.running(served) as host:
            kind = RouteKind.IDEMPOTENT if method == b"GET" else RouteKind.AT_MOST_ONCE
            late = config(route(kind, is_public=True, timeout_s=2.0), version=2)
            host._feeds._apply_config(late)
            host.stop()
            await asyncio.sleep(0.4 * GRACE_S)
            request = asyncio.create_task(self.get(0, b"/a/1", method))
            # In production the process ends with this task, and cuts what is left.
            await self.task
            return request.result() if request.done() else 0

    async def test_a_request_that_may_not_be_repeated_is_refused_as_not_run(
        self,
    ) -> None:
        async with scripted_server(never_answer) as served:
            self.assertEqual(await self.ask_late(served, b"POST"), 503)
        self.assertEqual(served.requests, [])

    async def test_another_request_is_answered_before_the_end(self) -> None:
        async with scripted_server(never_answer) as served:
            self.assertEqual(await self.ask_late(served, b"GET"), 504)
        self.assertEqual(len(served.requests), 1)


class StopUnderLoadTest(HostCase):
    """Guards against connections that a planned stop ends without an answer.

    Load pattern: at the moment of the stop, requests of many callers are running, half
    read, or accepted by the kernel and not read yet.
    """

    CALLERS = 60
    # The users' grace time. Callers, upstreams and the host share one process here and
    # take 0.7 s of processor time, which a busy machine may not give within a second.
    grace_s = 6.0
    HEAD = b"GET /a/1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: id-1\r\n"

    async def status_of(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> int:
        """Return the status of a complete answer, 0 without one."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length:")[1].split()[0])
            await reader.readexactly(length)
        except (OSError, EOFError):
            return 0
        finally:
            writer.close()
        return int(head.split()[1])

    async def connect(self, sent: bytes) -> Any:
        reader, writer = await asyncio.open_connection(LOOPBACK, self.ports[0])
        writer.write(sent)
        return reader, writer

    async def test_every_accepted_request_gets_a_whole_answer(self) -> None:
        async with (
            scripted_server(*[slow_answer] * (3 * self.CALLERS)) as served,
            self.running(served) as host,
        ):
            running = [await self.connect(self.HEAD + b"\r\n") for _ in range(3)]
            while len(served.requests) < 3:
                await asyncio.sleep(0.01)
            half_read = [
                await self.connect(self.HEAD[: 20 + number % 40])
                for number in range(self.CALLERS)
            ]
            await asyncio.sleep(0.05)
            # The event loop of the host runs in this task, so it has not read these.
            unread = []
            for _ in range(self.CALLERS):
                sock = socket.create_connection((LOOPBACK, self.ports[0]))
                sock.sendall(self.HEAD + b"\r\n")
                unread.append(sock)
            host.stop()
            host.stop()
            for number, (_, writer) in enumerate(half_read):
                writer.write(self.HEAD[20 + number % 40 :] + b"\r\n")
            accepted = [await asyncio.open_connection(sock=sock) for sock in unread]
            statuses = await asyncio.gather(
                *(self.status_of(*pair) for pair in (*running, *half_read, *accepted))
            )
        self.assertEqual(statuses[:3], [200] * 3)
        self.assertNotIn(0, statuses)

    async def test_a_change_of_the_configuration_during_the_stop(self) -> None:
        async with (
            scripted_server(slow_answer, slow_answer) as served,
            self.running(served) as host,
        ):
            running = await self.connect(self.HEAD + b"\r\n")
            while not served.requests:
                await asyncio.sleep(0.01)
            host.stop()
            # The version that comes during the stop has no routes.
            host._feeds._apply_config(TrafficConfig(2))
            late = await self.connect(self.HEAD + b"\r\n")
            statuses = [await self.status_of(*pair) for pair in (running, late)]
        self.assertEqual(statuses, [200, 404])


class StaleHostTest(HostCase):
    """Guards against callers that are directed to a host which refuses their keys."""

    async def test_a_host_without_evidence_leaves_the_directory(self) -> None:
        async with scripted_server() as served, self.running(served) as host:
            self.assertEqual(await self.get(2, b"/hosts"), 200)
            # Keys are refused from an age of 4.5 s, `Bounds.revoke_s` less
            # `REVOKE_MARGIN_S`.
            host._state.config_confirmed_s -= 4.6
            while await self.get(1, b"/ready") != 503:
                await asyncio.sleep(0.02)
            self.assertEqual(await self.get(2, b"/hosts"), 503)
            host._state.config_confirmed_s += 4.6
            while await self.get(1, b"/ready") != 200:
                await asyncio.sleep(0.02)


class EndpointTest(HostCase):
    """Guards against endpoints that are not served."""

    async def test_metrics_are_served_and_unknown_paths_are_not(self) -> None:
        async with scripted_server() as served, self.running(served):
            self.assertEqual(await self.get(4, b"/"), 200)
            self.assertEqual(await self.get(1, b"/other"), 404)
            self.assertEqual(await self.get(2, b"/other"), 404)


class AcceptTest(HostCase):
    """Guards against crowds that connect and leave, and so take all processor time."""

    async def test_few_connections_are_accepted_in_one_iteration(self) -> None:
        async with scripted_server() as served, self.running(served) as host:
            with ExitStack() as stack:
                for _ in range(8 * ACCEPTS_PER_ITERATION):
                    sock = stack.enter_context(socket.socket())
                    sock.connect((LOOPBACK, self.ports[0]))
                counts = [len(host._connections)]
                while counts[-1] < 8 * ACCEPTS_PER_ITERATION:
                    await asyncio.sleep(0)
                    counts.append(len(host._connections))
            growth = [after - before for before, after in pairwise(counts)]
            self.assertLessEqual(max(growth), ACCEPTS_PER_ITERATION)


class FailedTaskTest(HostCase):
    """Guards against a failed task that passes for a planned stop, or cuts callers."""

    async def test_requests_are_answered_and_the_failure_is_returned(self) -> None:
        async with (
            scripted_server(slow_answer) as served,
            self.running(served) as host,
        ):
            running = asyncio.create_task(self.get(0, b"/a/1"))
            while not served.requests:
                await asyncio.sleep(0.01)
            failure = RuntimeError("a fault of the program")
            host._telemetry.record_task_failure = mock.Mock()  # type: ignore[method-assign]
            with mock.patch.object(host._peers, "report", side_effect=failure):
                async with asyncio.timeout(2.0 + GRACE_S):
                    self.assertFalse(await self.task)
            self.assertEqual(await running, 200)
            failures = host._telemetry.record_task_failure.call_args_list
            self.assertEqual([c.args[0] for c in failures], ["peers", "last report"])


class ReloadTest(HostCase):
    """Guards against a reload that fails without a word in the log."""

    async def test_settings_that_cannot_be_read_are_rejected(self) -> None:
        async with scripted_server() as served, self.running(served) as host:
            telemetry: Any = host._telemetry
            for error in (OSError("no such file"), ValueError("bounds: drainS")):
                telemetry.events.clear()
                host._reload = mock.Mock(side_effect=error)
                host._reload_settings()
                names = [name for name, _ in telemetry.events]
                self.assertIn("settings_rejected", names)
