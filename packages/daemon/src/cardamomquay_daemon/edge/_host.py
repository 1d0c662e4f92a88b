"""Runs an edge host: listeners, feeds, reports, and a graceful stop."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import socket
from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING

from cardamomquay.caller_memory import CallerBudget
from cardamomquay.caller_memory import RunningRequests
from cardamomquay.clock import SystemClock
from cardamomquay.fleet import FleetView
from cardamomquay.fleet import HostPhase
from cardamomquay.fleet import HostRecord
from cardamomquay.placement import Placement
from cardamomquay.placement import ZoneLatencies
from cardamomquay.traffic import RequestLimits
from cardamomquay_daemon.edge._allocator import return_freed_memory
from cardamomquay_daemon.edge._attempts import AttemptSender
from cardamomquay_daemon.edge._caller_conn import CallerConnection
from cardamomquay_daemon.edge._caller_conn import ReadLimits
from cardamomquay_daemon.edge._caller_memory import CallerMemory
from cardamomquay_daemon.edge._eligibility import Eligibility
from cardamomquay_daemon.edge._endpoints import Endpoints
from cardamomquay_daemon.edge._events import RELOADED
from cardamomquay_daemon.edge._events import SETTINGS_REJECTED
from cardamomquay_daemon.edge._events import STARTED
from cardamomquay_daemon.edge._events import STOPPED
from cardamomquay_daemon.edge._events import STOPPING
from cardamomquay_daemon.edge._feeds import FeedListener
from cardamomquay_daemon.edge._feeds import StoreFeeds
from cardamomquay_daemon.edge._http_client import ANSWER_BUFFERS
from cardamomquay_daemon.edge._listener import Listener
from cardamomquay_daemon.edge._peers import PeerProtocol
from cardamomquay_daemon.edge._poison_guard import PoisonGuard
from cardamomquay_daemon.edge._relay import Relay
from cardamomquay_daemon.edge._restart_watch import RestartWatch
from cardamomquay_daemon.edge._rollout_control import RolloutControl
from cardamomquay_daemon.edge._state import HostState
from cardamomquay_daemon.edge._upstream_connections import UpstreamConnections
from cardamomquay_daemon.edge._usage_reports import UsageReports
from cardamomquay_daemon.edge._warm_objects import WarmObjectReports

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from collections.abc import Callable
    from collections.abc import Coroutine
    from typing import Any

    from cardamomquay.rollouts import RolloutOrder
    from cardamomquay.traffic import Upstream
    from cardamomquay_daemon.edge._caller_conn import RequestHandler
    from cardamomquay_daemon.edge._caller_protocol import CallerProtocol
    from cardamomquay_daemon.edge._platform_store import PlatformStore
    from cardamomquay_daemon.edge._settings import EdgeSettings
    from cardamomquay_daemon.edge._telemetry import EdgeTelemetry

# Period of updating the host's phase, flushing the log and reporting warm objects.
HOUSEKEEPING_PERIOD_S = 0.1
# Share of the grace time in which a stopping host still accepts callers, who may use a
# cached look-up answer; the rest is for requests in progress.
ACCEPT_GRACE_SHARE = 0.5
# Share of the grace time after which the process ends even if requests still run.
FINISH_GRACE_SHARE = 0.98
STOP_POLL_S = 0.05
# Time for the last answers to be written before the process ends.
ANSWER_WRITE_TIME_S = 0.1
# Connections that wait in the kernel, and how many of them are accepted in an iteration
# of the event loop on each listener.
LISTEN_BACKLOG = 512
ACCEPTS_PER_ITERATION = 16
# Share of the process's memory for all that callers make it hold. Two bodies of 64 MiB
# fit into a host of 300 MB; the rest is for the program (30 MB), its state, and what
# the allocator loses.
CALLER_MEMORY_SHARE = 0.5
# Share of that for answers of upstreams and of the store that are being read.
ANSWER_MEMORY_SHARE = 0.3
# Descriptors for files, listeners, the store and what libraries open.
RESERVED_DESCRIPTORS = 200
# Share of the descriptors for connections to upstreams, and so of the requests that run
# at once. It also is the most that is reserved for files.
UPSTREAM_DESCRIPTOR_SHARE = 0.25


class EdgeHost(FeedListener):
    """Builds and runs the components of one host.

    Parameters
    ----------
    settings : EdgeSettings
    caller_protocol : CallerProtocol
    platform : PlatformStore
    telemetry : EdgeTelemetry
    reload : callable
        Reads the settings again; raises OSError or ValueError if they are invalid. Of
        the new settings, a running host applies only `Bounds.grace_s`.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        caller_protocol: CallerProtocol,
        platform: PlatformStore,
        telemetry: EdgeTelemetry,
        reload: Callable[[], EdgeSettings],
    ) -> None:
        self._settings = settings
        self._caller_protocol = caller_protocol
        self._reload = reload
        self._telemetry = telemetry
        self._clock = SystemClock()
        self._state = HostState()
        self._fleet = FleetView(_own_record(settings))
        zone_latencies = ZoneLatencies(settings.zone, settings.region_of)
        self._placement = Placement(zone_latencies)
        upstream_descriptors = _upstream_descriptors(settings)
        self._upstream_connections = UpstreamConnections(upstream_descriptors)
        running = RunningRequests(upstream_descriptors)
        self._feeds = StoreFeeds(
            platform,
            self._state,
            self._clock,
            telemetry,
            settings.heartbeat_s,
            settings.bounds,
            self,
            lambda: self._fleet.is_reader(self._clock.now_s()),
        )
        self._eligibility = Eligibility(
            self._state,
            self._placement,
            self._fleet,
            settings.bounds,
            self._clock.now_s(),
            self._telemetry.count,
        )
        self._warm_objects = WarmObjectReports(self._placement, self._clock)
        self._rollouts = RolloutControl(
            self._state,
            self._fleet,
            platform,
            self._clock,
            telemetry,
            settings.bounds,
            self._report_urgently,
        )
        poison_guard = PoisonGuard(
            self._clock, telemetry, self._eligibility.observations
        )
        self._peers = PeerProtocol(
            self._fleet,
            self._state,
            platform,
            self._clock,
            telemetry,
            self._eligibility,
            self._rollouts,
            self._warm_objects,
            self._feeds,
            poison_guard,
            int.from_bytes(os.urandom(4), "big"),
        )
        self._usage_reports: UsageReports | None = None
        if settings.usage is not None:
            self._usage_reports = UsageReports(
                settings.usage,
                self._fleet,
                self._state,
                platform,
                self._clock,
                telemetry,
                int.from_bytes(os.urandom(8), "big") >> 1,
                self._peers.send_usage_message,
            )
            self._peers.usage_reports = self._usage_reports
        restart_watch = RestartWatch(
            self._state,
            self._upstream_connections,
            self._eligibility,
            self._clock,
            telemetry,
            self._peers.report_news,
        )
        self._upstream_connections.listener = restart_watch
        self._peers.restart_watch = restart_watch
        self._restart_watch = restart_watch
        attempt_sender = AttemptSender(
            self._upstream_connections,
            self._placement,
            zone_latencies,
            caller_protocol.headers,
            self._clock,
            self._eligibility,
            self._state,
            self._warm_objects,
            telemetry,
            self._peers.report_urgently,
            restart_watch,
            self._usage_reports,
        )
        self._relay = Relay(
            self._state,
            settings.bounds,
            caller_protocol.headers,
            self._clock,
            attempt_sender,
            self._eligibility,
            poison_guard,
            telemetry,
            self._peers.report_if_due,
            self._peers.report_news,
            running,
        )
        self._connections: set[CallerConnection] = set()
        self._caller_memory = CallerMemory(_caller_budget(settings), running)
        ANSWER_BUFFERS.may_hold = self._caller_memory.hold_answers
        ANSWER_BUFFERS.record_held = partial(
            self._caller_memory.hold_answers, is_needed=True
        )
        ANSWER_BUFFERS.total_bytes = min(
            ANSWER_BUFFERS.total_bytes,
            int(ANSWER_MEMORY_SHARE * self._caller_memory.budget.limit_bytes),
        )
        self._caller_listener: Listener | None = None
        self._auxiliary_connections: set[CallerConnection] = set()
        self._stop = asyncio.Event()
        self._has_failed = False

    def _report_urgently(self) -> None:
        self._peers.report_urgently()

    async def run(self) -> bool:
        """Serve until a signal to stop, then stop gracefully.

        Returns
        -------
        bool
            False if the host stopped because one of its tasks had ended.
        """
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop)
        loop.add_signal_handler(signal.SIGINT, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        endpoints = Endpoints(
            self._caller_protocol,
            self._fleet,
            self._clock,
            self._telemetry,
            self._settings.bounds.directory_ttl_s,
        )
        listeners = self._settings.listeners
        async with (
            self._listen(
                "callers", listeners.callers, self._relay.handle, self._connections
            ) as self._caller_listener,
            self._listen("directory", listeners.directory, endpoints.look_up),
            self._listen("readiness", listeners.readiness, endpoints.readiness),
            self._listen("metrics", listeners.metrics, endpoints.metrics),
            self._exchange_reports(),
            self._background("operator feed", self._feeds.follow_operator()),
            self._background("upstream feed", self._feeds.follow_upstreams()),
            self._background("roll-outs", self._rollouts.run()),
            self._background("housekeeping", self._run_housekeeping()),
            self._report_usage(),
        ):
            self._telemetry.log(STARTED, zone=self._settings.zone, pid=os.getpid())
            await self._stop.wait()
            await self._stop_gracefully()
        self._upstream_connections.close()
        self._telemetry.log(STOPPED, has_failed=self._has_failed)
        self._telemetry.flush()
        return not self._has_failed

    def stop(self) -> None:
        """Begin a graceful stop."""
        self._stop.set()

    async def _stop_gracefully(self) -> None:
        loop = asyncio.get_running_loop()
        self._state.is_stopping = True
        self._fleet.own_phase = HostPhase.LEAVING
        try:
            self._peers.report()
        except Exception as exc:
            # A fault that ended the task of the reports must not cut off the callers.
            self._telemetry.record_task_failure("last report", exc)
        busy = sum(conn.is_busy for conn in self._connections)
        self._telemetry.log(STOPPING, connections=len(self._connections), busy=busy)
        grace_s = self._settings.bounds.grace_s
        began_s = loop.time()
        self._state.answers_due_s = (
            began_s + FINISH_GRACE_SHARE * grace_s - ANSWER_WRITE_TIME_S
        )
        while loop.time() < began_s + ACCEPT_GRACE_SHARE * grace_s:
            await asyncio.sleep(STOP_POLL_S)
        if self._caller_listener is not None:
            self._caller_listener.close()
        while loop.time() < began_s + FINISH_GRACE_SHARE * grace_s:
            for conn in tuple(self._connections):
                conn.close_if_idle()
            if not self._connections:
                break
            await asyncio.sleep(STOP_POLL_S)

    @asynccontextmanager
    async def _listen(
        self,
        name: str,
        address: tuple[str, int] | None,
        handle: RequestHandler,
        connections: set[CallerConnection] | None = None,
    ) -> AsyncGenerator[Listener | None]:
        if address is None:
            yield None
            return
        if connections is None:
            connections = self._auxiliary_connections
        make_connection = partial(
            CallerConnection,
            handle,
            self._read_limits,
            lambda: self._state.is_stopping,
            connections,
            self._caller_memory,
        )

        async def bind() -> asyncio.Server:
            sock = socket.create_server(address, backlog=LISTEN_BACKLOG)
            try:
                server = await asyncio.get_running_loop().create_server(
                    make_connection, sock=sock, backlog=ACCEPTS_PER_ITERATION
                )
            except BaseException:
                sock.close()
                raise
            # The event loop has set the kernel's queue to what it accepts at once.
            sock.listen(LISTEN_BACKLOG)
            return server

        async with self._open(Listener(name, address, bind, self._telemetry)) as opened:
            yield opened

    @asynccontextmanager
    async def _exchange_reports(self) -> AsyncGenerator[None]:
        address = self._settings.listeners.peers

        async def bind() -> asyncio.DatagramTransport:
            transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: self._peers, local_addr=address
            )
            return transport

        async with (
            self._open(Listener("peers", address, bind, self._telemetry)),
            self._background("peers", self._peers.run()),
            self._background("gateway", self._peers.gateway.run()),
        ):
            yield

    @asynccontextmanager
    async def _report_usage(self) -> AsyncGenerator[None]:
        if self._usage_reports is None:
            yield
            return
        async with (
            self._background("usage messages", self._usage_reports.exchange()),
            self._background("usage reports", self._usage_reports.report()),
        ):
            yield

    @asynccontextmanager
    async def _open(self, listener: Listener) -> AsyncGenerator[Listener]:
        task: asyncio.Task[None] | None = None
        if not await listener.try_open():
            # The others serve meanwhile.
            task = asyncio.create_task(listener.open())
        try:
            yield listener
        finally:
            if task is not None:
                task.cancel()
            listener.close()

    @asynccontextmanager
    async def _background(
        self, name: str, work: Coroutine[Any, Any, None]
    ) -> AsyncGenerator[None]:
        task = asyncio.create_task(work, name=name)
        task.add_done_callback(self._on_task_end)
        try:
            yield
        finally:
            task.cancel()

    def _on_task_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None:
            self._telemetry.record_task_failure(task.get_name(), exc)
        # Without one of its tasks a host would serve from outdated state, so it stops;
        # a new process starts with current state.
        self._has_failed = True
        self._stop.set()

    async def _run_housekeeping(self) -> None:
        # Excludes the objects created so far, which live as long as the process, from
        # later garbage collections.
        gc.collect()
        gc.freeze()
        while True:
            if self._state.is_stopping:
                self._fleet.own_phase = HostPhase.LEAVING
            elif self._can_serve():
                self._fleet.own_phase = HostPhase.READY
            else:
                # Such a host must not be listed in look-up answers.
                self._fleet.own_phase = HostPhase.STARTING
            now_s = asyncio.get_running_loop().time()
            self._caller_memory.end_stalled(now_s)
            ANSWER_BUFFERS.review(now_s)
            self._caller_memory.report(self._telemetry, now_s)
            self._telemetry.flush()
            self._peers.report_warm_objects()
            self._peers.report_due_news()
            self._peers.regional.record_telemetry()
            await asyncio.sleep(HOUSEKEEPING_PERIOD_S)

    def _can_serve(self) -> bool:
        """Whether callers reach this host, and it accepts their keys."""
        listener = self._caller_listener
        is_reachable = listener is None or listener.is_open
        return is_reachable and self._state.is_loaded and self._relay.accepts_keys()

    def _reload_settings(self) -> None:
        try:
            settings = self._reload()
        except (OSError, ValueError) as exc:
            self._telemetry.log(SETTINGS_REJECTED, error=str(exc))
            return
        self._settings = settings
        self._telemetry.log(RELOADED)

    def _read_limits(self) -> ReadLimits:
        config = self._state.config
        limits = config.limits if config else RequestLimits()
        return ReadLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        )

    def on_config(self) -> None:
        self._eligibility.apply_config(self._clock.now_s())

    def on_evacuation_end(self, zone: str) -> None:
        self._eligibility.apply_evacuation_end(zone, self._clock.now_s())

    def on_rollout(self, service: str, order: RolloutOrder | None) -> None:
        self._rollouts.apply_order(service, order)

    def on_upstream(self, before: Upstream | None, after: Upstream | None) -> None:
        self._eligibility.apply_upstream_change(before, after, self._clock.now_s())
        if before is None:
            if after is not None:
                self._restart_watch.apply_known(after)
            return
        if after is None or after.address != before.address:
            self._upstream_connections.drop(before.instance)
        if after is None:
            self._placement.clear_record(before.instance)
        elif after.started_at_ms != before.started_at_ms:
            self._placement.record_of(after).clear_objects()


def _upstream_descriptors(settings: EdgeSettings) -> int:
    return max(1, int(UPSTREAM_DESCRIPTOR_SHARE * settings.descriptors_max))


def _caller_budget(settings: EdgeSettings) -> CallerBudget:
    descriptors = settings.descriptors_max
    upstream_descriptors = _upstream_descriptors(settings)
    reserved = min(RESERVED_DESCRIPTORS, upstream_descriptors)
    return CallerBudget(
        int(CALLER_MEMORY_SHARE * settings.memory_bytes),
        max(1, descriptors - upstream_descriptors - reserved),
    )


def _own_record(settings: EdgeSettings) -> HostRecord:
    callers = settings.listeners.callers
    return HostRecord(
        settings.name,
        f"{callers[0]}:{callers[1]}" if callers else "",
        settings.ip,
        settings.listeners.peers[1],
        settings.zone,
        settings.region,
    )


def run_edge(
    settings: EdgeSettings,
    caller_protocol: CallerProtocol,
    platform: PlatformStore,
    telemetry: EdgeTelemetry,
    reload: Callable[[], EdgeSettings],
) -> bool:
    """Run a host until a signal to stop; the parameters are those of `EdgeHost`.

    Returns
    -------
    bool
        As for `EdgeHost.run`.
    """

    async def main() -> bool:
        host = EdgeHost(settings, caller_protocol, platform, telemetry, reload)
        return await host.run()

    return_freed_memory()
    return asyncio.run(main())
