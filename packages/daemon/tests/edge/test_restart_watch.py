"""Load pattern: connections to upstreams end, for reasons other than a restart."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING
from typing import Any

from edge.support import FakeTelemetry
from edge.support import config
from edge.support import upstream
from edge.test_peers import Host

from cardamomquay.clock import ManualClock
from cardamomquay.fleet_limits import Suspicion
from cardamomquay.traffic import UpstreamState
from cardamomquay_daemon.edge._connection_pool import SETTLE_TIME_S
from cardamomquay_daemon.edge._restart_watch import LOSS_REPORT_DELAY_S
from cardamomquay_daemon.edge._restart_watch import RestartWatch

if TYPE_CHECKING:
    from cardamomquay.traffic import Upstream

UPSTREAMS = 12
# Until losses have been judged and reported.
SETTLED_S = 2 * SETTLE_TIME_S + 1.5 * LOSS_REPORT_DELAY_S


class FakeConnections:
    """Connections to upstreams of which only some are open."""

    def __init__(self) -> None:
        self.open: set[str] = set()
        self.checked: list[str] = []
        self.refuses = False
        self.listener: RestartWatch | None = None

    def has_connection_from_before(self, instance: str, before_s: float) -> bool:
        return instance in self.open

    async def is_listening(self, upstream: Upstream) -> bool:
        self.checked.append(upstream.instance)
        if self.refuses and self.listener is not None:
            self.listener.on_refused(upstream.instance, 0.0)
        return not self.refuses

    def connected_count(self, before_s: float) -> int:
        return len(self.open)


class RestartWatchTest(unittest.IsolatedAsyncioTestCase):
    """Guards against healthy upstreams that are taken for restarted ones."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.host = Host("h1", self.clock, {})
        self.host.state.config = config()
        self.names = [f"i-{number}" for number in range(UPSTREAMS)]
        for name in self.names:
            entry = upstream("127.0.0.1:1", name, started_at_ms=1_000)
            self.host.state.upstreams.put(entry)
            self.host.eligibility.apply_upstream_change(None, entry, 100.0)
        self.connections = FakeConnections()
        self.connections.open = set(self.names)
        self.telemetry = FakeTelemetry()
        self.urgent_reports = 0
        connections: Any = self.connections
        telemetry: Any = self.telemetry
        self.watch = RestartWatch(
            self.host.state,
            connections,
            self.host.eligibility,
            self.clock,
            telemetry,
            self.count_report,
        )
        self.connections.listener = self.watch

    def count_report(self) -> None:
        self.urgent_reports += 1

    def suspicion(self, name: str) -> Suspicion:
        return self.host.eligibility.restarts.suspicion_of(name)

    async def lose(self, *names: str) -> None:
        self.connections.open -= set(names)
        for name in names:
            self.watch.on_lost(name, 1.0)
        await asyncio.sleep(SETTLED_S)

    async def test_the_end_of_all_connections_is_reported(self) -> None:
        await self.lose("i-1")
        self.assertEqual(self.suspicion("i-1"), Suspicion.OWN)
        self.assertEqual(self.urgent_reports, 1)
        self.assertEqual(self.connections.checked, ["i-1"])

    async def test_a_refused_check_is_logged_and_reported(self) -> None:
        self.connections.refuses = True
        await self.lose("i-1")
        self.assertEqual(self.suspicion("i-1"), Suspicion.SHARED)
        self.assertIn(
            "upstream_restart_suspected", [name for name, _ in self.telemetry.events]
        )

    async def test_a_cut_answer_beside_an_open_connection_is_no_evidence(self) -> None:
        self.watch.on_lost("i-1", 1.0)
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(self.suspicion("i-1"), Suspicion.NONE)
        self.assertEqual(self.urgent_reports, 0)

    async def test_a_fault_of_the_hosts_own_link_is_no_evidence(self) -> None:
        await self.lose(*self.names[:5])
        for name in self.names:
            self.assertEqual(self.suspicion(name), Suspicion.NONE)
        self.assertEqual(self.urgent_reports, 0)
        self.assertEqual(
            [name for name, _ in self.telemetry.events], ["connections_lost"]
        )

    async def test_a_refused_connection_is_evidence_beside_such_a_fault(self) -> None:
        self.connections.open.discard("i-0")
        self.watch.on_refused("i-0", 0.01)
        await self.lose(*self.names[:5])
        self.assertEqual(self.suspicion("i-0"), Suspicion.SHARED)
        self.assertEqual(self.suspicion("i-1"), Suspicion.NONE)

    async def test_a_connect_timeout_concerns_this_host_only(self) -> None:
        entry = self.host.state.upstreams.by_instance["i-0"]
        self.host.eligibility.record_unreachable(entry, self.clock.now_s())
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(self.suspicion("i-0"), Suspicion.OWN)
        self.assertEqual(self.urgent_reports, 0)

    async def test_the_planned_end_of_an_upstream_is_no_evidence(self) -> None:
        entry = upstream(
            "127.0.0.1:1", "i-2", started_at_ms=1_000, state=UpstreamState.DRAINING
        )
        self.host.state.upstreams.put(entry)
        await self.lose("i-2")
        self.assertEqual(self.suspicion("i-2"), Suspicion.NONE)

    async def test_repeated_ends_are_logged_once(self) -> None:
        self.connections.refuses = True
        for _ in range(5):
            await self.lose("i-1")
            self.clock.advance(1.1)
        self.assertEqual(len(self.connections.checked), 5)
        self.assertEqual(len(self.telemetry.events), 1)


if __name__ == "__main__":
    unittest.main()
