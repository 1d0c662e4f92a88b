"""Load pattern: one host only has connections to an upstream that starts again."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from edge import test_short_restart
from edge.support import config
from edge.test_short_restart import DOWN_S
from edge.test_short_restart import OBSERVED_S
from edge.test_short_restart import REPORT_PERIOD_S
from edge.test_short_restart import RestartingServer
from edge.test_short_restart import ServingHost

from cardamomquay_daemon.edge import Bounds

HOSTS = 8


class LoneWitnessTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a flood by hosts that had no connection to the upstream.

    The only host with connections sees them end, while the upstream refuses new ones.
    """

    async def test_all_hosts_together_keep_to_the_limit_of_a_cold_upstream(
        self,
    ) -> None:
        service = config().services["browse"]
        bounds = Bounds()
        allowed = (
            service.warm_up_rate_per_s * bounds.warm_up_overage + bounds.warm_up_slack
        )
        server = RestartingServer()
        await server.start()
        network: dict[str, Any] = {}
        hosts = [ServingHost(f"h{n}", network, server.address) for n in range(HOSTS)]
        for host in hosts:
            for other in hosts:
                host.peers._update_host(other.fleet.own)
        tasks = [
            asyncio.create_task(
                test_short_restart.ShortRestartTest.exchange_reports(hosts)
            ),
            asyncio.create_task(hosts[0].send_requests()),
        ]
        await asyncio.sleep(1.5 * REPORT_PERIOD_S)
        # Just after an answer, so that no request falls into the interruption.
        seen = len(server.arrivals_s)
        while len(server.arrivals_s) == seen:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)
        server.crash()
        await asyncio.sleep(DOWN_S)
        await server.start()
        started_s = asyncio.get_running_loop().time()
        tasks += [asyncio.create_task(host.send_requests()) for host in hosts[1:]]
        await asyncio.sleep(OBSERVED_S)
        server.crash()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for host in hosts:
            host.connections.close()
        after = [at_s for at_s in server.arrivals_s if at_s >= started_s]
        busiest = max(
            sum(1 for other in after if at_s <= other < at_s + 1.0) for at_s in after
        )
        self.assertLessEqual(busiest, allowed)


if __name__ == "__main__":
    unittest.main()
