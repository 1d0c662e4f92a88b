"""Scripted upstreams on loopback, and a relay with fake telemetry."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.fleet import FleetView
from cardamomquay.fleet import HostRecord
from cardamomquay.placement import Placement
from cardamomquay.placement import ZoneLatencies
from cardamomquay.traffic import Organisation
from cardamomquay.traffic import Route
from cardamomquay.traffic import RouteKind
from cardamomquay.traffic import Service
from cardamomquay.traffic import TrafficConfig
from cardamomquay.traffic import Upstream
from cardamomquay.traffic import UpstreamState
from cardamomquay.traffic import WeightedService
from cardamomquay_daemon.edge import Bounds
from cardamomquay_daemon.edge import HeaderNames
from cardamomquay_daemon.edge._attempts import AttemptSender
from cardamomquay_daemon.edge._caller_conn import CallerAnswer
from cardamomquay_daemon.edge._caller_conn import CallerRequest
from cardamomquay_daemon.edge._eligibility import Eligibility
from cardamomquay_daemon.edge._poison_guard import PoisonGuard
from cardamomquay_daemon.edge._relay import Relay
from cardamomquay_daemon.edge._restart_watch import RestartWatch
from cardamomquay_daemon.edge._state import HostState
from cardamomquay_daemon.edge._upstream_connections import UpstreamConnections
from cardamomquay_daemon.edge._warm_objects import WarmObjectReports

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from cardamomquay.clock import ManualClock

LOOPBACK = "127.0.0.1"
NAMES = HeaderNames(
    request_id=b"request-id",
    deadline_ms=b"deadline-ms",
    affinity_cookie="object",
    signature=b"signature",
    organisation=b"organisation",
    expected_instance=b"expected-instance",
    load=b"load",
    not_executed=b"not-executed",
    rate_limit=b"rate-limit",
    leaving=b"leaving",
)


@dataclass
class ScriptedServer:
    """Server that answers each request with the next reply of a script.

    A reply is raw bytes, None to close the connection, or a callable that gets the
    reader and the writer.
    """

    script: list[Any]
    requests: list[bytes] = field(default_factory=list)
    connection_count: int = 0
    connection_ended: asyncio.Event = field(default_factory=asyncio.Event)
    address: str = ""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                reply = self.script.pop(0)
                if reply is None:
                    break
                if callable(reply):
                    await reply(reader, writer)
                    break
                writer.write(reply)
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ConnectionError,
            # At the end of a test; asyncio would log a cancelled handler as an error.
            asyncio.CancelledError,
        ):
            pass
        finally:
            self.connection_ended.set()
            writer.close()


@asynccontextmanager
async def scripted_server(*script: Any) -> AsyncGenerator[ScriptedServer]:
    """Run a scripted server on loopback."""
    scripted = ScriptedServer(list(script))
    server = await asyncio.start_server(scripted.serve, LOOPBACK, 0)
    scripted.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
    try:
        yield scripted
    finally:
        server.close()


def answer(
    body: bytes = b"ok",
    status: int = 200,
    request_id: bytes = b"id-1",
    headers: bytes = b"signature: s\r\n",
) -> bytes:
    """Return a complete answer of an upstream."""
    return b"HTTP/1.1 %d X\r\nrequest-id: %s\r\n%scontent-length: %d\r\n\r\n%s" % (
        status,
        request_id,
        headers,
        len(body),
        body,
    )


@asynccontextmanager
async def crashing_server(
    begun_answer: bytes, *, is_reset: bool
) -> AsyncGenerator[ScriptedServer]:
    """Run a server that ends while it answers its first request.

    Parameters
    ----------
    begun_answer : bytes
        What it sends before.
    is_reset : bool
        Whether its connections end with a reset.
    """

    async def crash(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(begun_answer)
        await writer.drain()
        # Lets the bytes arrive first: a reset discards unread ones.
        await asyncio.sleep(0.02)
        server.close()
        if is_reset:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    scripted = ScriptedServer([crash])
    server = await asyncio.start_server(scripted.serve, LOOPBACK, 0)
    scripted.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
    try:
        yield scripted
    finally:
        server.close()


SHED_ANSWER = (
    b"HTTP/1.1 503 X\r\nrequest-id: id-1\r\nnot-executed: 1\r\nload: 3,9,3\r\n"
    b"content-length: 0\r\n\r\n"
)


@dataclass
class FakeTelemetry:
    """Records log events and counters."""

    events: list[tuple[str, dict[str, Any]]] = field(default_factory=list)
    counters: dict[str, int] = field(default_factory=dict)

    def log(self, event: Any, **fields: Any) -> None:
        self.events.append((event.name, fields))

    def count(self, name: str, value: int = 1) -> None:
        self.counters[name] = self.counters.get(name, 0) + value

    def observe(self, name: str, seconds: float) -> None:
        pass

    def record_task_failure(self, task: str, exc: BaseException) -> None:
        raise exc


def route(kind: RouteKind = RouteKind.IDEMPOTENT, **changes: Any) -> Route:
    """Return a route of the service ``browse``."""
    values: dict[str, Any] = {
        "name": "r",
        "hostname": "shop.example",
        "prefix": "/a/",
        "kind": kind,
        "timeout_s": 1.0,
        "objective_s": 0.5,
        "priority": 0,
        "weighted_services": (WeightedService("browse", 1.0),),
        "max_attempts": 2,
        "is_public": False,
        "has_affinity": True,
        "allowed_regions": frozenset(),
    }
    values.update(changes)
    return Route(**values)


def config(*routes: Route, version: int = 1) -> TrafficConfig:
    """Return a configuration with one organisation, whose key is ``k``."""
    return TrafficConfig(
        version,
        routes or (route(),),
        {"browse": Service("browse", "/health", 100, 3.0, 2.9)},
        {"salsa": Organisation("salsa", 0, 1000.0, 1000.0)},
        {"k": "salsa"},
    )


def upstream(address: str, instance: str = "i-1", **changes: Any) -> Upstream:
    """Return an upstream of ``browse`` in zone ``a``."""
    values: dict[str, Any] = {
        "instance": instance,
        "service": "browse",
        "address": address,
        "zone": "a",
        "version": "v1",
        "capacity": 3,
        "state": UpstreamState.READY,
    }
    values.update(changes)
    return Upstream(**values)


class RelayFixture:
    """A relay to upstreams on loopback.

    A manual clock determines the age of evidence and the state of limits. Timeouts use
    the clock of the event loop.
    """

    def __init__(
        self, clock: ManualClock, traffic_config: TrafficConfig, *upstreams: Upstream
    ) -> None:
        self.clock = clock
        self.state = HostState(has_read_hosts=True)
        self.telemetry = FakeTelemetry()
        own = HostRecord("h0", "h0:80", LOOPBACK, 7000, "a", "A")
        self.fleet = FleetView(own)
        zone_latencies = ZoneLatencies("a", {"a": "A", "b": "B"})
        self.placement = Placement(zone_latencies)
        # The host started 20 s ago, so the retry budgets have reached their full size.
        self.eligibility = Eligibility(
            self.state,
            self.placement,
            self.fleet,
            Bounds(),
            clock.now_s() - 20.0,
            self.telemetry.count,
        )
        self.state.config = traffic_config
        self.state.config_confirmed_s = clock.now_s()
        for entry in upstreams:
            self.state.upstreams.put(entry)
            self.eligibility.apply_upstream_change(None, entry, clock.now_s())
        self.state.upstreams_confirmed_s = clock.now_s()
        # The quotas, which start empty, have been filling for 10 s.
        self.eligibility.apply_config(clock.now_s() - 10.0)
        self.connections = UpstreamConnections()
        self.new_version_faults: list[float] = []
        # The attempt sender reports faults and notices of upstreams.
        self.urgent_notices = self.new_version_faults
        self.restart_watch = RestartWatch(
            self.state,
            self.connections,
            self.eligibility,
            clock,
            self.telemetry,  # type: ignore[arg-type]
            lambda: None,
        )
        self.connections.listener = self.restart_watch
        attempt_sender = self.attempt_sender = AttemptSender(
            self.connections,
            self.placement,
            zone_latencies,
            NAMES,
            clock,
            self.eligibility,
            self.state,
            WarmObjectReports(self.placement, clock),
            self.telemetry,  # type: ignore[arg-type]
            lambda: self.new_version_faults.append(clock.now_s()),
            self.restart_watch,
        )
        self.admitted: list[str] = []
        self.poison_guard = PoisonGuard(
            clock,
            self.telemetry,  # type: ignore[arg-type]
            self.eligibility.observations,
        )
        self.urgent_reports: list[float] = []
        self.relay = Relay(
            self.state,
            Bounds(),
            NAMES,
            clock,
            attempt_sender,
            self.eligibility,
            self.poison_guard,
            self.telemetry,  # type: ignore[arg-type]
            self.admitted.append,
            lambda: self.urgent_reports.append(clock.now_s()),
        )

    async def ask(
        self,
        method: bytes = b"GET",
        target: bytes = b"/a/1?x=2",
        key: bytes | None = b"k",
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> CallerAnswer:
        """Send a request through the relay."""
        sent = [(b"host", b"shop.example"), (b"request-id", b"id-1"), *headers]
        if key is not None:
            sent.append((b"authorization", b"Bearer " + key))
        now_s = asyncio.get_running_loop().time()
        return await self.relay.handle(CallerRequest(method, target, sent, body, now_s))
