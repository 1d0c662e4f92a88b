"""Load pattern: an upstream ends and is back under its name a moment later, cold."""

from __future__ import annotations

import asyncio
import unittest
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any

from edge.support import NAMES
from edge.support import config
from edge.support import route
from edge.support import upstream
from edge.test_peers import Host

from cardamomquay.clock import SystemClock
from cardamomquay.placement import ZoneLatencies
from cardamomquay_daemon.edge import Bounds
from cardamomquay_daemon.edge._attempts import AttemptSender
from cardamomquay_daemon.edge._caller_conn import CallerRequest
from cardamomquay_daemon.edge._relay import Relay
from cardamomquay_daemon.edge._restart_watch import RestartWatch
from cardamomquay_daemon.edge._upstream_connections import UpstreamConnections

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

HOSTS = 8
# Time between two requests of one host; all hosts together send more than a cold
# upstream tolerates.
REQUEST_INTERVAL_S = 0.3
DOWN_S = 0.15
DELIVERY_PERIOD_S = 0.01
REPORT_PERIOD_S = 1.0
OBSERVED_S = 2.0
ANSWER_DELAY_S = 0.02


class RestartingServer:
    """Upstream on loopback that can end and start again at the same address."""

    def __init__(self) -> None:
        self.arrivals_s: list[float] = []
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, reuse_address=True
        )
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def crash(self) -> None:
        assert self._server is not None
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.arrivals_s.append(asyncio.get_running_loop().time())
                await asyncio.sleep(ANSWER_DELAY_S)
                request_id = head.lower().partition(b"request-id: ")[2].split(b"\r")[0]
                writer.write(
                    b"HTTP/1.1 200 X\r\nrequest-id: %s\r\nsignature: s\r\n"
                    b"keep-alive: timeout=10\r\ncontent-length: 2\r\n\r\nok"
                    % request_id
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class ServingHost(Host):
    """A host that also forwards requests to upstreams on loopback."""

    def __init__(self, name: str, network: dict[str, Any], address: str) -> None:
        clock: Any = SystemClock()
        super().__init__(name, clock, network)
        telemetry: Any = self.telemetry
        entry = upstream(address, started_at_ms=1_000)
        self.state.upstreams.put(entry)
        self.eligibility.apply_upstream_change(None, entry, clock.now_s())
        self.state.upstreams_confirmed_s = clock.now_s()
        self.state.config = config(route(is_public=True))
        self.connections = UpstreamConnections()
        restart_watch = RestartWatch(
            self.state,
            self.connections,
            self.eligibility,
            clock,
            telemetry,
            self.peers.report_news,
        )
        self.connections.listener = restart_watch
        self.peers.restart_watch = restart_watch
        sender = AttemptSender(
            self.connections,
            self.placement,
            ZoneLatencies("a", {"a": "A"}),
            NAMES,
            clock,
            self.eligibility,
            self.state,
            self.warm_objects,
            telemetry,
            self.peers.report_urgently,
            restart_watch,
        )
        self.relay = Relay(
            self.state,
            Bounds(),
            NAMES,
            clock,
            sender,
            self.eligibility,
            self.poison_guard,
            telemetry,
            lambda _: None,
            self.peers.report_urgently,
        )

    async def send_requests(self) -> None:
        number = 0
        while True:
            number += 1
            self.state.config_confirmed_s = self.clock.now_s()
            headers = [
                (b"host", b"shop.example"),
                (b"request-id", b"%s-%d" % (self.address[0].encode(), number)),
            ]
            now_s = asyncio.get_running_loop().time()
            request = CallerRequest(b"GET", b"/a/1", headers, b"", now_s)
            await self.relay.handle(request)
            await asyncio.sleep(REQUEST_INTERVAL_S)


class ShortRestartTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a flood of requests to an upstream that starts again at once."""

    @asynccontextmanager
    async def fleet(
        self, server: RestartingServer
    ) -> AsyncGenerator[list[ServingHost]]:
        network: dict[str, Any] = {}
        hosts = [ServingHost(f"h{n}", network, server.address) for n in range(HOSTS)]
        for host in hosts:
            for other in hosts:
                host.peers._update_host(other.fleet.own)
        tasks = [asyncio.create_task(host.send_requests()) for host in hosts]
        tasks.append(asyncio.create_task(self.exchange_reports(hosts)))
        try:
            yield hosts
        finally:
            for task in tasks:
                task.cancel()
            for task in tasks:
                with suppress(asyncio.CancelledError):
                    await task
            for host in hosts:
                host.connections.close()

    @staticmethod
    async def exchange_reports(hosts: list[ServingHost]) -> None:
        loop = asyncio.get_running_loop()
        due_s = [loop.time()] * len(hosts)
        while True:
            for index, host in enumerate(hosts):
                if loop.time() >= due_s[index]:
                    due_s[index] += REPORT_PERIOD_S
                    host.peers.report()
                host.peers.report_due_news()
                host.deliver()
            await asyncio.sleep(DELIVERY_PERIOD_S)

    async def test_all_hosts_together_keep_to_the_limit_of_a_cold_upstream(
        self,
    ) -> None:
        service = config().services["browse"]
        bounds = Bounds()
        allowed = (
            service.warm_up_rate_per_s * bounds.warm_up_overage + bounds.warm_up_slack
        )
        server = RestartingServer()
        async with AsyncExitStack() as stack:
            await server.start()
            hosts = await stack.enter_async_context(self.fleet(server))
            await asyncio.sleep(1.5)
            before = len(server.arrivals_s)
            server.crash()
            await asyncio.sleep(DOWN_S)
            await server.start()
            started_s = asyncio.get_running_loop().time()
            await asyncio.sleep(OBSERVED_S)
            server.crash()
        self.assertGreater(before, HOSTS)
        after = [at_s for at_s in server.arrivals_s if at_s >= started_s]
        busiest = max(
            sum(1 for other in after if at_s <= other < at_s + 1.0) for at_s in after
        )
        self.assertLessEqual(busiest, allowed, len(hosts))
        self.assertGreater(len(after), 0)


if __name__ == "__main__":
    unittest.main()
