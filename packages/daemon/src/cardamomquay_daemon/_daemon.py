"""Assembles a daemon from its components and runs it."""

from __future__ import annotations

import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from contextlib import contextmanager
from functools import partial
from typing import TYPE_CHECKING

from cardamomquay.balancing import SlotChooser
from cardamomquay.clock import SystemClock
from cardamomquay.config_sync import ConfigReducer
from cardamomquay.config_sync import UnsettledEditsReducer
from cardamomquay.idempotency import BatchedIdempotencyRegistry
from cardamomquay.leases import LeaseReducer
from cardamomquay.leases import LeaseReleaseRequested
from cardamomquay.lenders import LendersReducer
from cardamomquay.lenders import StartLending
from cardamomquay.lenders import StopLending
from cardamomquay.membership import LeaveRequested
from cardamomquay.membership import MembershipReducer
from cardamomquay.membership import MembershipState
from cardamomquay.moves import MovesReducer
from cardamomquay.quota import BorrowedQuotaAdmission
from cardamomquay.quota import portions_of
from cardamomquay.reducer import Identity
from cardamomquay.reducer import RootReducer
from cardamomquay.steering import TrafficBudgets
from cardamomquay.steering import budgets_of
from cardamomquay_daemon._caller_port import CallerPort
from cardamomquay_daemon._claim_sweep import SWEEP_INTERVAL_S
from cardamomquay_daemon._claim_sweep import ClaimSweep
from cardamomquay_daemon._lease_effects import LeaseEffects
from cardamomquay_daemon._member_watch import MemberWatch
from cardamomquay_daemon._moves import MOVE_CONTROLLER_RESOURCE
from cardamomquay_daemon._moves import REPORT_INTERVAL_S
from cardamomquay_daemon._moves import VersionMoves
from cardamomquay_daemon._operator_port import OperatorPort
from cardamomquay_daemon._peer import PeerNode
from cardamomquay_daemon._periodic import run_periodically
from cardamomquay_daemon._platform_client import HttpHostList
from cardamomquay_daemon._platform_client import HttpTableService
from cardamomquay_daemon._platform_client import PlatformConnection
from cardamomquay_daemon._platform_effects import ConfigEffects
from cardamomquay_daemon._platform_effects import HostListEffects
from cardamomquay_daemon._relay import Relay
from cardamomquay_daemon._runtime import Runtime
from cardamomquay_daemon._runtime import Snapshot
from cardamomquay_daemon._server import make_server
from cardamomquay_daemon._server import serving
from cardamomquay_daemon._slot_lending import SlotLending
from cardamomquay_daemon._slot_lending import is_slot_resource
from cardamomquay_daemon._slot_lending import polling
from cardamomquay_daemon._slot_lending import slot_resources
from cardamomquay_daemon._telemetry import DAEMON_STARTED
from cardamomquay_daemon._telemetry import DAEMON_STOPPED
from cardamomquay_daemon._telemetry import DAEMON_STOPPING
from cardamomquay_daemon._telemetry import Telemetry
from cardamomquay_daemon._token_lending import TokenLending
from cardamomquay_daemon._token_lending import token_resources
from cardamomquay_daemon._upstream_client import UpstreamClient

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from contextlib import AbstractContextManager

    from cardamomquay.config import Config
    from cardamomquay_daemon._settings import Settings


CLAIM_COMMIT_THREADS = 4
LEASE_RELEASE_TIMEOUT_S = 2.0


class Daemon:
    """The daemon of one host.

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
        reducer = RootReducer(
            (
                MembershipReducer(),
                ConfigReducer(),
                UnsettledEditsReducer(),
                LeaseReducer(),
                LendersReducer(partial(_lendable_resources, settings.store_region)),
                MovesReducer(),
            )
        )
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
        self._runtime.add_handlers(config_effects.handlers())
        host_list = HostListEffects(
            HttpHostList(connection), self._clock, self._runtime
        )
        self._runtime.add_handlers(host_list.handlers())
        self.peers = PeerNode(
            self._runtime,
            self._clock,
            self.identity,
            self._telemetry,
            settings.peer_tls,
        )
        self._runtime.add_handlers(self.peers.handlers())
        self._leases = LeaseEffects(tables, self._clock, self._runtime, self._telemetry)
        self._runtime.add_handlers(self._leases.handlers())
        self._slots = SlotLending(self._runtime, self._clock, self.peers, settings.host)
        self.peers.lend_slots = self._slots.answer_borrower
        self._tokens = TokenLending(
            self._runtime, self._clock, self.peers, settings.host
        )
        self.peers.lend_tokens = self._tokens.answer_borrower
        self._runtime.add_ordered_handlers(
            {StartLending: self._start_lending, StopLending: self._stop_lending}
        )
        self._chooser = SlotChooser(
            self._clock,
            self._slots,
            settings.host,
            self.identity.incarnation,
            settings.region,
            by_zone=True,
        )
        self._claims_executor = ThreadPoolExecutor(CLAIM_COMMIT_THREADS, "claims")
        self._registry = BatchedIdempotencyRegistry(
            tables, self._clock, self._claims_executor, self._host_count
        )
        self._admission = BorrowedQuotaAdmission(
            self._clock, self._tokens, self.identity
        )
        self._budgets = TrafficBudgets(self._clock, self._tokens, self.identity)
        self._runtime.add_listener(self._apply_config)
        self._runtime.add_listener(MemberWatch(self._clock, self._telemetry))
        self._moves = VersionMoves(
            tables, self._clock, self._runtime, self.identity, self._telemetry
        )
        self._runtime.add_handlers(self._moves.handlers())
        self._sweep = ClaimSweep(tables, self._runtime, self.identity, self._telemetry)
        relay = Relay(
            self._runtime,
            self._clock,
            self.identity,
            self._admission,
            self._chooser,
            self._registry,
            UpstreamClient(settings.limits.answer_bytes),
            self._moves,
            self._telemetry,
            self._budgets,
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
        self._applied_version_and_host_count: tuple[int, int] = (0, 0)

    @contextmanager
    def running(self) -> Iterator[None]:
        """Listen and serve for the duration of a ``with`` block."""
        settings = self._settings
        caller_server = make_server(
            settings.listen,
            self._caller_port,
            settings.limits,
            settings.tls,
            self._telemetry.record_refusal,
        )
        operator_server = make_server(
            settings.operator_listen,
            self._operator_port,
            settings.limits,
            settings.operator_tls,
        )
        with ExitStack() as stack:
            stack.enter_context(self._runtime.running())
            stack.enter_context(self.peers.running())
            stack.enter_context(polling(self._chooser))
            stack.enter_context(
                self._run_periodically("tokens", 0.1, self._admission.maintain)
            )
            stack.enter_context(
                self._run_periodically("budgets", 0.1, self._budgets.maintain)
            )
            stack.enter_context(
                self._run_periodically("moves", REPORT_INTERVAL_S, self._moves.publish)
            )
            stack.enter_context(
                self._run_periodically("claim sweep", SWEEP_INTERVAL_S, self._sweep.run)
            )
            stack.enter_context(
                self._run_periodically("claims", 1.0, self._registry.release_pending)
            )
            # Runs once the listeners are closed and their requests have ended.
            stack.callback(self._close_registry_and_release_lease)
            stack.enter_context(serving(operator_server, "operators"))
            stack.enter_context(serving(caller_server, "callers"))
            self._telemetry.log(DAEMON_STARTED, listen=settings.listen)
            yield
            self._announce_stop()
        self._telemetry.log(DAEMON_STOPPED)

    def _announce_stop(self) -> None:
        """Announce a planned stop and wait until cached look-up answers expire.

        New look-up answers do not contain this host. Callers may still use answers that
        they cached earlier, so the listeners stay open for `stop_wait_s`.
        """
        self._telemetry.log(DAEMON_STOPPING)
        self._caller_port.leaving = True
        self._runtime.post(LeaveRequested(self._clock.now_s()))
        condition = threading.Condition()
        with condition:
            self._clock.wait(condition, self._settings.limits.stop_wait_s)

    def _run_periodically(
        self, name: str, interval_s: float, task: Callable[[], object]
    ) -> AbstractContextManager[None]:
        return run_periodically(name, interval_s, task, self._telemetry)

    def _start_lending(self, effect: StartLending) -> None:
        self._lending_for(effect.resource).start(effect)

    def _stop_lending(self, effect: StopLending) -> None:
        self._lending_for(effect.resource).stop(effect)

    def _lending_for(self, resource: str) -> SlotLending | TokenLending | VersionMoves:
        if resource == MOVE_CONTROLLER_RESOURCE:
            return self._moves
        return self._slots if is_slot_resource(resource) else self._tokens

    def _close_registry_and_release_lease(self) -> None:
        """Commit the queued changes of idempotency claims and release the host lease.

        Without the lease this host no longer lends any resources.
        """
        self._registry.close()
        self._claims_executor.shutdown()
        self._runtime.post(LeaseReleaseRequested(self._clock.now_s()))
        self._leases.released.wait(LEASE_RELEASE_TIMEOUT_S)

    def _host_count(self) -> int:
        """Return the number of hosts known to this one, including dead ones."""
        members = self._runtime.snapshot.core.state_of(MembershipState)
        return max(1, len(members.members))

    def _apply_config(self, snapshot: Snapshot) -> None:
        config = snapshot.config
        if config is None:
            return
        host_count = max(1, len(snapshot.core.state_of(MembershipState).members))
        if self._applied_version_and_host_count == (config.version, host_count):
            return
        self._applied_version_and_host_count = (config.version, host_count)
        self._tokens.apply(config)
        self._admission.apply(portions_of(config))
        self._budgets.apply(budgets_of(config))
        weights = {o.name: o.rate_per_s for o in config.organisations.values()}
        self._chooser.apply(config.pools, weights)
        self._slots.apply(config)
        self._moves.apply(config)
        reachable = config.reachable_regions(self.identity.region)
        for pool in config.pools.values():
            pool_regions = {upstream.region for upstream in pool.upstreams}
            self._chooser.set_regions(
                pool.name, [r for r in reachable if r in pool_regions]
            )


def _lendable_resources(store_region: str, config: Config) -> dict[str, str]:
    """Return the region of each resource that hosts lend, and of the move controller.

    The lender of a resource, or the controller, is a live host of that region, or any
    live host if the region has none.
    """
    return {
        **slot_resources(config),
        **token_resources(config),
        MOVE_CONTROLLER_RESOURCE: store_region,
    }


def new_incarnation() -> str:
    """Return an identifier of this run that sorts after those of earlier runs.

    It begins with the wall clock's time in milliseconds, so the order is wrong if that
    clock was set back.
    """
    # Kept short: every exchange with a peer carries one for each host.
    return f"{time.time_ns() // 1_000_000:012x}{uuid.uuid4().hex[:6]}"
