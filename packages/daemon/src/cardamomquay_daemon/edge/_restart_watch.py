"""Detects starts of upstreams from this host's connections and from reports."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.fleet_limits import RESTART_KINDS
from cardamomquay.fleet_limits import Suspicion
from cardamomquay.traffic import UpstreamState
from cardamomquay_daemon.edge._connection_pool import SETTLE_TIME_S
from cardamomquay_daemon.edge._events import CONNECTIONS_LOST
from cardamomquay_daemon.edge._events import UPSTREAM_REACHED
from cardamomquay_daemon.edge._events import UPSTREAM_SUSPECTED
from cardamomquay_daemon.edge._upstream_connections import ConnectionListener

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomquay.clock import Clock
    from cardamomquay.gossip import Observation
    from cardamomquay.traffic import Upstream
    from cardamomquay_daemon.edge._eligibility import Eligibility
    from cardamomquay_daemon.edge._state import HostState
    from cardamomquay_daemon.edge._telemetry import EdgeTelemetry
    from cardamomquay_daemon.edge._upstream_connections import UpstreamConnections

RESTART_KIND_CODES = frozenset(kind.code for kind in RESTART_KINDS)
# Losses within this time count together. If they concern more than this share of the
# upstreams with connections, and at least this many, the fault is at this host's link.
OWN_FAULT_WINDOW_S = 0.3
OWN_FAULT_SHARE = 1 / 3
OWN_FAULT_UPSTREAMS_MIN = 3
# Losses are reported this long after the first, since a fault of the own link may end
# the connections one after the other.
LOSS_REPORT_DELAY_S = 0.1
# An upstream that has ended its connections is checked for whether it still listens, at
# most once in this time.
CHECK_PERIOD_S = 1.0


@dataclass(slots=True)
class _Loss:
    """Connections that an upstream ended.

    Parameters
    ----------
    alive_s, lost_s : float
        When the upstream was last known to run, and when its connections ended.
    """

    alive_s: float
    lost_s: float


class RestartWatch(ConnectionListener):
    """Records evidence that upstreams may have started again, and its end.

    Parameters
    ----------
    state : HostState
    connections : UpstreamConnections
    eligibility : Eligibility
    clock : Clock
    telemetry : EdgeTelemetry
    report_news : callable
        Reports to the other hosts ahead of the period, as soon as it may.
    """

    def __init__(
        self,
        state: HostState,
        connections: UpstreamConnections,
        eligibility: Eligibility,
        clock: Clock,
        telemetry: EdgeTelemetry,
        report_news: Callable[[], None],
    ) -> None:
        self._state = state
        self._connections = connections
        self._eligibility = eligibility
        self._clock = clock
        self._telemetry = telemetry
        self._report_news = report_news
        # Losses by upstream: those whose upstream may have other connections that end
        # in the next moment, and those that are about to be reported.
        self._unsettled: dict[str, _Loss] = {}
        self._unreported: dict[str, _Loss] = {}
        # Time of the latest loss, by upstream.
        self._lost_s: OrderedDict[str, float] = OrderedDict()
        self._checked_s: dict[str, float] = {}
        self._checks: set[asyncio.Task[bool]] = set()

    def on_lost(self, instance: str, alive_ago_s: float) -> None:
        now_s = self._clock.now_s()
        if not self._unsettled:
            asyncio.get_running_loop().call_later(SETTLE_TIME_S, self._settle)
        loss = self._unsettled.setdefault(instance, _Loss(now_s, now_s))
        loss.alive_s = min(loss.alive_s, now_s - alive_ago_s)

    def on_refused(self, instance: str, began_ago_s: float) -> None:
        upstream = self._may_restart(instance)
        if upstream is None or self._has_connection(instance, began_ago_s):
            return
        restarts = self._eligibility.restarts
        now_s = self._clock.now_s()
        before = restarts.suspicion_of(instance)
        is_news = restarts.record_refused(
            upstream, now_s, earliest_s=now_s - began_ago_s
        )
        self._log_change(upstream, now_s, before, "refused")
        if is_news:
            self._report_news()

    def record_answered(
        self, upstream: Upstream, opened_loop_s: float, sent_s: float
    ) -> None:
        """Record that an upstream has answered a request.

        Parameters
        ----------
        upstream : Upstream
            The one that answered, not another one at its former address.
        opened_loop_s : float
            Time at which its connection was opened, on the clock of the event loop.
        sent_s : float
            Time at which the request was sent, on the host's clock.
        """
        restarts = self._eligibility.restarts
        before = restarts.suspicion_of(upstream.instance)
        now_s = self._clock.now_s()
        opened_s = now_s - (asyncio.get_running_loop().time() - opened_loop_s)
        is_news = restarts.record_reached(upstream, opened_s, sent_s, now_s)
        self._log_change(upstream, sent_s, before, "answer")
        if is_news:
            self._report_news()

    def apply(self, observations: list[Observation], source: str) -> None:
        """Apply the observations of another host that are new to this one.

        Parameters
        ----------
        observations : list of Observation
        source : str
            Name of that host.
        """
        for observation in observations:
            upstream = self._eligibility.upstream_of(observation.subject)
            if upstream is not None:
                self._apply_one(observation, upstream, source)

    def apply_known(self, upstream: Upstream) -> None:
        """Apply what other hosts reported of an upstream before this host knew it."""
        known = self._eligibility.observations_of(upstream, self._clock.now_s())
        for observation in known:
            self._apply_one(observation, upstream, "reported earlier")

    def _apply_one(
        self, observation: Observation, upstream: Upstream, source: str
    ) -> None:
        if (
            observation.kind not in RESTART_KIND_CODES
            or self._eligibility.warm_up_s(upstream) <= 0.0
        ):
            return
        restarts = self._eligibility.restarts
        before = restarts.suspicion_of(upstream.instance)
        if restarts.apply(observation, upstream):
            self._log_change(upstream, observation.latest_s, before, source)

    def _has_connection(self, instance: str, ago_s: float) -> bool:
        loop_s = asyncio.get_running_loop().time()
        return self._connections.has_connection_from_before(instance, loop_s - ago_s)

    def _settle(self) -> None:
        """Judge losses when other connections to an ended upstream are lost, too."""
        unsettled, self._unsettled = self._unsettled, {}
        now_s = self._clock.now_s()
        for instance, loss in unsettled.items():
            if self._has_connection(instance, SETTLE_TIME_S):
                continue
            self._lost_s[instance] = loss.lost_s
            self._lost_s.move_to_end(instance)
            self._telemetry.count("upstreams.connections_lost")
            upstream = self._may_restart(instance)
            if upstream is None:
                continue
            self._eligibility.restarts.record_lost_here(
                upstream, loss.lost_s, earliest_s=loss.alive_s
            )
            self._check(upstream, now_s)
            if not self._unreported:
                asyncio.get_running_loop().call_later(
                    LOSS_REPORT_DELAY_S, self._report_losses
                )
            self._unreported[instance] = loss

    def _check(self, upstream: Upstream, now_s: float) -> None:
        """Check whether an upstream listens; `on_refused` is called if it does not."""
        instance = upstream.instance
        if now_s - self._checked_s.get(instance, float("-inf")) < CHECK_PERIOD_S:
            return
        for other, checked_s in tuple(self._checked_s.items()):
            if now_s - checked_s >= CHECK_PERIOD_S:
                del self._checked_s[other]
        self._checked_s[instance] = now_s
        task = asyncio.create_task(self._connections.is_listening(upstream))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    def _report_losses(self) -> None:
        unreported, self._unreported = self._unreported, {}
        now_s = self._clock.now_s()
        while self._lost_s and (
            now_s - next(iter(self._lost_s.values()))
            > OWN_FAULT_WINDOW_S + LOSS_REPORT_DELAY_S
        ):
            self._lost_s.popitem(last=False)
        loop_s = asyncio.get_running_loop().time()
        lost_count = len(self._lost_s)
        kept_count = self._connections.connected_count(loop_s - LOSS_REPORT_DELAY_S)
        restarts = self._eligibility.restarts
        if lost_count >= OWN_FAULT_UPSTREAMS_MIN and lost_count > OWN_FAULT_SHARE * (
            lost_count + kept_count
        ):
            self._telemetry.log(CONNECTIONS_LOST, lost=lost_count, kept=kept_count)
            for instance in unreported:
                restarts.withdraw(instance, now_s)
            return
        is_news = False
        for instance, loss in unreported.items():
            upstream = self._may_restart(instance)
            if upstream is None:
                continue
            before = restarts.suspicion_of(instance)
            is_news |= restarts.record_lost(
                upstream, loss.lost_s, earliest_s=loss.alive_s
            )
            self._log_change(upstream, loss.lost_s, before, "lost")
        if is_news:
            self._report_news()

    def _may_restart(self, instance: str) -> Upstream | None:
        """Return an upstream that has a warm-up and whose end is not planned."""
        upstream = self._state.upstreams.by_instance.get(instance)
        if (
            upstream is None
            or upstream.state is not UpstreamState.READY
            or self._eligibility.notices.is_leaving(upstream, self._clock.now_s())
            or self._eligibility.warm_up_s(upstream) <= 0.0
        ):
            return None
        return upstream

    def _log_change(
        self, upstream: Upstream, observed_s: float, before: Suspicion, source: str
    ) -> None:
        restarts = self._eligibility.restarts
        now_s = self._clock.now_s()
        after = restarts.suspicion_of(upstream.instance)
        is_new = after is Suspicion.SHARED and before is not Suspicion.SHARED
        has_ended = after is Suspicion.NONE and before is Suspicion.SHARED
        if not (is_new or has_ended):
            return
        fields = {
            "instance": upstream.instance,
            "service": upstream.service,
            "source": source,
            "age_s": round(now_s - observed_s, 3),
        }
        if is_new:
            self._telemetry.count("upstreams.suspected")
            self._telemetry.log(UPSTREAM_SUSPECTED, **fields)
            return
        warm_up_s = self._eligibility.warm_up_s(upstream)
        cold_left_s = restarts.cold_left_s(upstream.instance, warm_up_s, now_s)
        self._telemetry.log(
            UPSTREAM_REACHED, **fields, cold_left_s=round(cold_left_s, 2)
        )
