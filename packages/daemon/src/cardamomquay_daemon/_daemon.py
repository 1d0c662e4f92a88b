"""Puts the parts of a daemon together."""

from __future__ import annotations

import random
import threading
import time
import uuid
from contextlib import ExitStack
from contextlib import contextmanager
from typing import TYPE_CHECKING

from cardamomquay.admission import StaticSplitAdmission
from cardamomquay.balancing import RandomChooser
from cardamomquay.clock import SystemClock
from cardamomquay.currency import ConfigPart
from cardamomquay.currency import UnsettledPart
from cardamomquay.idempotency import TableOnceRegistry
from cardamomquay.membership import LeaveRequested
from cardamomquay.membership import MembershipPart
from cardamomquay.membership import MembershipState
from cardamomquay.reducer import Identity
from cardamomquay.reducer import Reducer
from cardamomquay_daemon._caller_port import CallerPort
from cardamomquay_daemon._effects import ConfigEffects
from cardamomquay_daemon._effects import HostListEffects
from cardamomquay_daemon._member_watch import MemberWatch
from cardamomquay_daemon._operator_port import OperatorPort
from cardamomquay_daemon._peer import PeerNode
from cardamomquay_daemon._platform_client import HttpHostList
from cardamomquay_daemon._platform_client import HttpTableService
from cardamomquay_daemon._platform_client import PlatformConnection
from cardamomquay_daemon._relay import Relay
from cardamomquay_daemon._runtime import Runtime
from cardamomquay_daemon._runtime import Snapshot
from cardamomquay_daemon._server import make_server
from cardamomquay_daemon._server import serving
from cardamomquay_daemon._telemetry import STARTED
from cardamomquay_daemon._telemetry import STOPPED
from cardamomquay_daemon._telemetry import STOPPING
from cardamomquay_daemon._telemetry import Telemetry
from cardamomquay_daemon._upstream_client import UpstreamClient

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cardamomquay_daemon._settings import Settings


class Daemon:
    """One host of the system.

    Parameters
    ----------
    settings : Settings
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._clock = SystemClock()
        self._telemetry = Telemetry(settings.host, settings.statsd)
        self.identity = Identity(
            host=settings.host,
            incarnation=new_incarnation(),
            region=settings.region,
            availability_zone=settings.availability_zone,
            store_region=settings.store_region,
            address=settings.listen,
            peer_address=settings.peer_listen,
        )
        connection = PlatformConnection(settings.platform, self._telemetry)
        tables = HttpTableService(connection)
        reducer = Reducer((MembershipPart(), ConfigPart(), UnsettledPart()))
        self._runtime = Runtime(
            reducer,
            self.identity,
            self._clock,
            self._telemetry,
            settings.limits.event_queue,
        )
        config_effects = ConfigEffects(
            tables, self._clock, self._runtime, self._telemetry
        )
        self._runtime.handle(config_effects.handlers())
        host_list = HostListEffects(
            HttpHostList(connection), self._clock, self._runtime
        )
        self._runtime.handle(host_list.handlers())
        self.peers = PeerNode(
            self._runtime,
            self._clock,
            self.identity,
            self._telemetry,
            settings.peer_tls,
        )
        self._runtime.handle(self.peers.handlers())
        self._admission = StaticSplitAdmission(self._clock)
        self._runtime.listen(self._apply_quota)
        self._runtime.listen(MemberWatch(self._clock, self._telemetry))
        relay = Relay(
            self._runtime,
            self._clock,
            self.identity,
            self._admission,
            RandomChooser(random.Random()),
            TableOnceRegistry(tables),
            UpstreamClient(settings.limits.answer_bytes),
            self._telemetry,
        )
        self._caller_port = CallerPort(
            self._runtime,
            self._clock,
            relay,
            self._telemetry,
            settings.limits.body_bytes,
        )
        self._operator_port = OperatorPort(
            self._runtime, self._clock, tables, self._telemetry
        )
        self._applied: tuple[int, int] = (0, 0)

    @contextmanager
    def running(self) -> Iterator[None]:
        """Listen and serve for the time of a ``with`` block."""
        settings = self._settings
        callers = make_server(
            settings.listen, self._caller_port, settings.limits, settings.tls
        )
        operators = make_server(
            settings.operator_listen,
            self._operator_port,
            settings.limits,
            settings.operator_tls,
        )
        with ExitStack() as stack:
            stack.enter_context(self._runtime.running())
            stack.enter_context(self.peers.running())
            stack.enter_context(serving(operators, "operators"))
            stack.enter_context(serving(callers, "callers"))
            self._telemetry.log(STARTED, listen=settings.listen)
            yield
            self._leave()
        self._telemetry.log(STOPPED)

    def _leave(self) -> None:
        """Leave look-up answers and wait until callers' caches have expired."""
        self._telemetry.log(STOPPING)
        self._caller_port.leaving = True
        self._runtime.post(LeaveRequested(self._clock.now_s()))
        condition = threading.Condition()
        with condition:
            self._clock.wait(condition, self._settings.limits.stop_wait_s)

    def _apply_quota(self, snapshot: Snapshot) -> None:
        config = snapshot.config
        if config is None:
            return
        hosts = max(1, len(snapshot.core.part(MembershipState).members))
        if self._applied != (config.version, hosts):
            self._applied = (config.version, hosts)
            self._admission.apply(config.organisations, hosts)


def new_incarnation() -> str:
    """Return an incarnation that sorts after those of earlier runs."""
    # Short, since each exchange carries it for each host.
    return f"{time.time_ns() // 1_000_000:012x}{uuid.uuid4().hex[:6]}"
