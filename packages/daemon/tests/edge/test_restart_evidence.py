"""Load pattern: hosts see parts of upstreams' restarts, or what only looks like one."""

from __future__ import annotations

import asyncio
import errno
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from unittest import mock

from edge.support import RelayFixture
from edge.support import answer
from edge.support import config
from edge.support import crashing_server
from edge.support import route
from edge.support import scripted_server
from edge.support import upstream
from edge.test_peers import Host
from edge.test_short_restart import ServingHost

from cardamomquay.clock import ManualClock
from cardamomquay.clock import SystemClock
from cardamomquay.fleet_limits import Suspicion
from cardamomquay.fleet_limits._upstream_restarts import REACHED
from cardamomquay.placement import short_id
from cardamomquay_daemon.edge import _http_client
from cardamomquay_daemon.edge._http_client import ExchangeError
from cardamomquay_daemon.edge._restart_watch import RestartWatch
from cardamomquay_daemon.edge._upstream_connections import UpstreamConnections

if TYPE_CHECKING:
    from cardamomquay.traffic import Upstream

ENTRY = upstream("127.0.0.1:9", started_at_ms=1_000)
OBSERVED_S = 3.0


class WatchingHost(Host):
    """A host that detects restarts, without connections."""

    def __init__(self, name: str, clock: Any, network: dict[str, Any]) -> None:
        super().__init__(name, clock, network)
        telemetry: Any = self.telemetry
        self.watch = RestartWatch(
            self.state,
            UpstreamConnections(),
            self.eligibility,
            clock,
            telemetry,
            self.peers.report_news,
        )
        self.peers.restart_watch = self.watch

    def put(self, entry: Upstream) -> None:
        before = self.state.upstreams.put(entry)
        self.eligibility.apply_upstream_change(before, entry, self.clock.now_s())
        if before is None:
            self.watch.apply_known(entry)

    def suspicion(self, instance: str = "i-1") -> Suspicion:
        return self.eligibility.restarts.suspicion_of(instance)

    def is_cold(self, entry: Upstream = ENTRY) -> bool:
        return self.eligibility.is_cold(entry, self.clock.now_s())


def fleet(clock: Any, *names: str) -> list[WatchingHost]:
    network: dict[str, Any] = {}
    hosts = [WatchingHost(name, clock, network) for name in names]
    for host in hosts:
        for other in hosts:
            if other is not host:
                host.peers._update_host(other.fleet.own)
    return hosts


def exchange(*hosts: WatchingHost) -> None:
    for _ in range(2):
        for host in hosts:
            host.peers.report()
            host.deliver()


class ReportedRestartTest(unittest.TestCase):
    """Guards against observations that a host needs and does not apply."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.one, self.two, self.three = fleet(self.clock, "h1", "h2", "h3")

    def test_a_host_that_reads_the_entries_later_knows_of_the_restart(self) -> None:
        self.one.put(ENTRY)
        exchange(self.one, self.two)
        self.one.eligibility.restarts.record_refused(
            ENTRY, self.clock.now_s(), earliest_s=self.clock.now_s()
        )
        self.one.peers.report()
        self.one.deliver()
        self.clock.advance(0.2)
        # The entry is the one from before the restart.
        self.two.put(ENTRY)
        for _ in range(6):
            self.clock.advance(0.5)
            exchange(self.one, self.two)
        self.assertTrue(self.two.is_cold())

    def test_an_old_first_report_does_not_refute_a_restart(self) -> None:
        two, three = fleet(self.clock, "h2", "h3")
        one = WatchingHost("h1", self.clock, two.network)
        one.peers._update_host(two.fleet.own)
        for host in (one, two, three):
            host.put(ENTRY)
        exchange(two, three)
        now_s = self.clock.now_s()
        # The first report of a host, which waits while the receiver is suspended.
        one.eligibility.observations.record(
            REACHED, short_id("i-1"), 50_000, now_s, now_s - 0.1, now_s - 0.1
        )
        one.peers.report()
        self.clock.advance(1.0)
        three.eligibility.restarts.record_refused(
            ENTRY, self.clock.now_s(), earliest_s=self.clock.now_s()
        )
        self.clock.advance(1.8)
        three.peers.report()
        three.deliver()
        self.assertIs(two.suspicion(), Suspicion.SHARED)
        one.deliver()
        self.assertIs(two.suspicion(), Suspicion.SHARED)

    def test_later_heartbeats_of_the_same_start_end_a_suspicion(self) -> None:
        for host in (self.one, self.two, self.three):
            host.put(ENTRY)
        exchange(self.one, self.two, self.three)
        # A fault on the way to the hosts, not at the upstream.
        for host in (self.one, self.two):
            host.eligibility.restarts.record_lost(
                ENTRY, self.clock.now_s(), earliest_s=self.clock.now_s()
            )
        exchange(self.one, self.two, self.three)
        self.assertIs(self.three.suspicion(), Suspicion.SHARED)
        for sequence in range(20):
            self.clock.advance(0.5)
            self.three.put(replace(ENTRY, sequence=sequence + 1))
        self.assertFalse(self.three.is_cold())

    def test_the_rest_of_many_refusals_follows_without_delay(self) -> None:
        entries = [replace(ENTRY, instance=f"i-{n}") for n in range(83)]
        for host in (self.one, self.two):
            for entry in entries:
                host.put(entry)
        exchange(self.one, self.two)
        self.clock.advance(0.5)
        for entry in entries:
            self.one.eligibility.restarts.record_refused(
                entry, self.clock.now_s(), earliest_s=self.clock.now_s()
            )
        self.one.peers.report_news()
        self.one.deliver()
        for _ in range(5):
            self.clock.advance(0.1)
            self.one.peers.gateway.forward()
            self.one.peers.report_due_news()
            self.one.deliver()
        known = sum(
            self.two.suspicion(entry.instance) is Suspicion.SHARED for entry in entries
        )
        self.assertEqual(known, len(entries))

    def test_hosts_that_do_not_hear_each_other_learn_from_others(self) -> None:
        for host in (self.one, self.two, self.three):
            host.put(ENTRY)
        exchange(self.one, self.two, self.three)
        self.one.eligibility.restarts.record_refused(
            ENTRY, self.clock.now_s(), earliest_s=self.clock.now_s()
        )
        for _ in range(8):
            for host in (self.one, self.two, self.three):
                host.peers.report()
                # The link between the first and the third host is cut.
                cut = {"h1": "h3", "h3": "h1"}.get(host.address[0])
                host.sent = [item for item in host.sent if item[1] != cut]
                host.deliver()
            self.clock.advance(0.25)
        self.assertIs(self.two.suspicion(), Suspicion.SHARED)
        self.assertIs(self.three.suspicion(), Suspicion.SHARED)


class UrgentReportTest(unittest.IsolatedAsyncioTestCase):
    """Guards against news that wait for the period because of an earlier report."""

    async def test_news_just_after_an_urgent_report_are_sent_soon(self) -> None:
        one, two = fleet(SystemClock(), "h1", "h2")
        for host in (one, two):
            host.put(ENTRY)
        exchange(one, two)
        one.peers.report_urgently()
        await asyncio.sleep(0.05)
        one.eligibility.restarts.record_refused(
            ENTRY, one.clock.now_s(), earliest_s=one.clock.now_s()
        )
        one.peers.report_news()
        await asyncio.sleep(0.2)
        one.peers.report_due_news()
        one.deliver()
        self.assertIs(two.suspicion(), Suspicion.SHARED)


class LocalEvidenceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against wrong conclusions from this host's own connections."""

    async def test_a_lack_of_file_descriptors_is_no_refusal(self) -> None:
        fixture = RelayFixture(ManualClock(100.0), config(route(is_public=True)), ENTRY)
        fault = OSError(errno.EMFILE, "Too many open files")
        with mock.patch.object(_http_client, "connect", side_effect=fault):
            await fixture.ask()
        await asyncio.sleep(0.05)
        suspicion = fixture.eligibility.restarts.suspicion_of("i-1")
        self.assertIsNot(suspicion, Suspicion.SHARED)

    async def test_an_unreachable_network_is_no_refusal(self) -> None:
        fixture = RelayFixture(ManualClock(100.0), config(route(is_public=True)), ENTRY)
        fault = OSError(errno.ENETUNREACH, "Network is unreachable")
        with mock.patch.object(_http_client, "connect", side_effect=fault):
            await fixture.ask()
        await asyncio.sleep(0.05)
        suspicion = fixture.eligibility.restarts.suspicion_of("i-1")
        self.assertIsNot(suspicion, Suspicion.SHARED)

    async def test_a_connection_reset_when_it_is_accepted_is_no_refusal(self) -> None:
        # An upstream with as many connections as it allows resets further ones, which
        # may be noticed only when the connection would be used.
        fixture = RelayFixture(ManualClock(100.0), config(route(is_public=True)), ENTRY)
        fault = ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
        with mock.patch.object(_http_client, "connect", side_effect=fault):
            await fixture.ask()
        await asyncio.sleep(0.05)
        suspicion = fixture.eligibility.restarts.suspicion_of("i-1")
        self.assertIsNot(suspicion, Suspicion.SHARED)

    async def test_a_refused_check_after_a_broken_answer_is_evidence(self) -> None:
        begun = b"HTTP/1.1 200 X\r\nrequest-id: id-1\r\ncontent-length: 9\r\n\r\nabc"
        async with crashing_server(begun, is_reset=True) as server:
            entry = upstream(server.address, started_at_ms=1_000)
            fixture = RelayFixture(
                ManualClock(100.0), config(route(is_public=True, max_attempts=1)), entry
            )
            await fixture.ask()
            await asyncio.sleep(0.1)
        with self.assertRaises(ExchangeError):
            await _http_client.HttpConnection.open(
                (server.address.split(":")[0], int(server.address.split(":")[1])), 0.5
            )
        suspicion = fixture.eligibility.restarts.suspicion_of("i-1")
        self.assertIs(suspicion, Suspicion.SHARED)

    async def test_an_answer_of_another_instance_does_not_show_that_it_runs(
        self,
    ) -> None:
        async with scripted_server(answer(status=421, headers=b"")) as server:
            entry = upstream(server.address, started_at_ms=1_000)
            fixture = RelayFixture(
                ManualClock(100.0), config(route(is_public=True)), entry
            )
            restarts = fixture.eligibility.restarts
            restarts.record_refused(entry, 99.0, earliest_s=99.0)
            await fixture.ask()
        self.assertEqual(len(server.requests), 1)
        sent = fixture.eligibility.observations.take("h1", lambda _: True, 101.0, 40)
        self.assertNotIn(REACHED.code, [item.kind for item in sent])

    async def test_an_answer_that_arrives_after_a_pause_says_nothing_of_later(
        self,
    ) -> None:
        fixture = RelayFixture(ManualClock(100.0), config(route(is_public=True)), ENTRY)
        restarts = fixture.eligibility.restarts
        restarts.record_refused(ENTRY, 99.8, earliest_s=99.8)
        # The request was sent at 99.5, before the evidence.
        opened_s = asyncio.get_running_loop().time()
        fixture.restart_watch.record_answered(ENTRY, opened_s, 99.5)
        self.assertIs(restarts.suspicion_of("i-1"), Suspicion.SHARED)


class OwnFaultTest(unittest.IsolatedAsyncioTestCase):
    """Guards against faults of hosts' own links taken for restarts of upstreams."""

    async def test_connections_that_are_reset_one_after_the_other(self) -> None:
        hosts = fleet(SystemClock(), "h1", "h2")
        entries = [replace(ENTRY, instance=f"i-{n}") for n in range(16)]
        for host in hosts:
            for entry in entries:
                host.put(entry)
        exchange(*hosts)
        names = {entry.instance for entry in entries}
        open_to = {host.address: set(names) for host in hosts}
        for host in hosts:
            remaining = open_to[host.address]
            connections: Any = host.watch._connections
            connections.has_connection_from_before = lambda name, _, r=remaining: (
                name in r
            )
            connections.connected_count = lambda _, r=remaining: len(r)
        # All connections of both hosts are reset, within a tenth of a second.
        for entry in entries:
            for host in hosts:
                open_to[host.address].discard(entry.instance)
                host.watch.on_lost(entry.instance, 0.1)
            await asyncio.sleep(0.006)
        await asyncio.sleep(0.15)
        exchange(*hosts)
        shared = [
            entry.instance
            for entry in entries
            if hosts[0].suspicion(entry.instance) is Suspicion.SHARED
        ]
        self.assertEqual(shared, [])


class LivingServer:
    """Upstream that never ends, but closes some connections."""

    def __init__(self, idle_timeout_s: float, conn_max: int) -> None:
        self._idle_timeout_s = idle_timeout_s
        self._conn_max = conn_max
        self._conn_count = 0
        self.closed_count = 0
        self.address = ""

    async def start(self) -> asyncio.Server:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return server

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._conn_count += 1
        try:
            if self._conn_count > self._conn_max:
                await reader.readuntil(b"\r\n\r\n")
                writer.transport.abort()
                self.closed_count += 1
                return
            while True:
                async with asyncio.timeout(self._idle_timeout_s):
                    head = await reader.readuntil(b"\r\n\r\n")
                request_id = head.lower().partition(b"request-id: ")[2].split(b"\r")[0]
                writer.write(answer(request_id=request_id))
                await writer.drain()
        except TimeoutError:
            self.closed_count += 1
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._conn_count -= 1
            writer.close()


class LivingUpstreamTest(unittest.IsolatedAsyncioTestCase):
    """Guards against upstreams that run and are taken for restarted."""

    async def suspected_share(self, server: LivingServer) -> tuple[float, int]:
        """Return in which share of a time the hosts took the upstream for cold."""
        listening = await server.start()
        network: dict[str, Any] = {}
        hosts = [ServingHost(f"h{n}", network, server.address) for n in range(4)]
        for host in hosts:
            for other in hosts:
                host.peers._update_host(other.fleet.own)
        tasks = [asyncio.create_task(host.send_requests()) for host in hosts]
        loop = asyncio.get_running_loop()
        end_s = loop.time() + OBSERVED_S
        report_s = loop.time()
        samples: list[bool] = []
        while loop.time() < end_s:
            for host in hosts:
                if loop.time() >= report_s:
                    host.peers.report()
                host.deliver()
                entry = host.state.upstreams.by_instance["i-1"]
                samples.append(host.eligibility.is_cold(entry, host.clock.now_s()))
            if loop.time() >= report_s:
                report_s += 0.5
            await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for host in hosts:
            host.connections.close()
        listening.close()
        return sum(samples) / len(samples), server.closed_count

    async def test_idle_timeouts_that_the_upstream_does_not_state(self) -> None:
        # Requests of a host follow each other after 0.3 s.
        share, closed = await self.suspected_share(LivingServer(0.2, 100))
        self.assertGreater(closed, 2)
        self.assertEqual(share, 0.0)

    async def test_connections_beyond_the_upstreams_limit(self) -> None:
        share, closed = await self.suspected_share(LivingServer(10.0, 2))
        self.assertGreater(closed, 1)
        self.assertEqual(share, 0.0)


if __name__ == "__main__":
    unittest.main()
