"""Load pattern: an upstream's machine starts again without closing its connections."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from edge import test_short_restart
from edge.support import answer
from edge.support import config
from edge.test_short_restart import REPORT_PERIOD_S
from edge.test_short_restart import ServingHost

from cardamomquay_daemon.edge import Bounds

HOSTS = 8
# Connections that each host keeps open, all but one of them idle.
CONNECTIONS_PER_HOST = 6
ANSWER_DELAY_S = 0.02
OBSERVED_S = 4.0


class SilentServer:
    """Upstream whose connections from before a restart end at the next request only."""

    def __init__(self) -> None:
        self.arrivals_s: list[float] = []
        self.start_count = 1
        self.address = ""

    async def start(self) -> asyncio.Server:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return server

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        start = self.start_count
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if start != self.start_count:
                    writer.transport.abort()
                    return
                self.arrivals_s.append(asyncio.get_running_loop().time())
                await asyncio.sleep(ANSWER_DELAY_S)
                request_id = head.lower().partition(b"request-id: ")[2].split(b"\r")[0]
                writer.write(
                    answer(
                        request_id=request_id,
                        headers=b"signature: s\r\nkeep-alive: timeout=10\r\n",
                    )
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class SilentRestartTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a restart that idle connections hide.

    Each of them ends only when it is used, and until then counts as open.
    """

    async def test_all_hosts_together_keep_to_the_limit_of_a_cold_upstream(
        self,
    ) -> None:
        service = config().services["browse"]
        bounds = Bounds()
        allowed = (
            service.warm_up_rate_per_s * bounds.warm_up_overage + bounds.warm_up_slack
        )
        server = SilentServer()
        listening = await server.start()
        network: dict[str, Any] = {}
        hosts = [ServingHost(f"h{n}", network, server.address) for n in range(HOSTS)]
        for host in hosts:
            for other in hosts:
                host.peers._update_host(other.fleet.own)
        for host in hosts:
            entry = host.state.upstreams.by_instance["i-1"]
            pool = host.connections._pool_of(entry)
            opened = [pool.connection() for _ in range(CONNECTIONS_PER_HOST)]
            for context in opened:
                conn = await context.__aenter__()
                conn.idle_limit_s = 6.0
            for context in opened:
                await context.__aexit__(None, None, None)
        tasks = [
            asyncio.create_task(
                test_short_restart.ShortRestartTest.exchange_reports(hosts)
            )
        ]
        tasks += [asyncio.create_task(host.send_requests()) for host in hosts]
        await asyncio.sleep(1.5 * REPORT_PERIOD_S)
        server.start_count += 1
        started_s = asyncio.get_running_loop().time()
        await asyncio.sleep(OBSERVED_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for host in hosts:
            host.connections.close()
        listening.close()
        after = [at_s for at_s in server.arrivals_s if at_s >= started_s]
        busiest = max(
            sum(1 for other in after if at_s <= other < at_s + 1.0) for at_s in after
        )
        self.assertLessEqual(busiest, allowed)


if __name__ == "__main__":
    unittest.main()
