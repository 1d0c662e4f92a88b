"""Runs roll-outs: decides on their steps and commits their outcomes to the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from cardamomquay.fleet import HostPhase
from cardamomquay.platform import Committed
from cardamomquay.platform import RowKey
from cardamomquay.platform import Unavailable
from cardamomquay.platform import Write
from cardamomquay.platform import revision_version
from cardamomquay.rollouts import Rollout
from cardamomquay.rollouts import RolloutOutcome
from cardamomquay_daemon.edge._events import ROLLOUT_CHANGED
from cardamomquay_daemon.edge._events import ROW_REJECTED

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomquay.clock import Clock
    from cardamomquay.fleet import FleetView
    from cardamomquay.rollouts import RolloutOrder
    from cardamomquay.rollouts import RolloutSnapshot
    from cardamomquay_daemon.edge._platform_store import PlatformStore
    from cardamomquay_daemon.edge._settings import Bounds
    from cardamomquay_daemon.edge._state import HostState
    from cardamomquay_daemon.edge._telemetry import EdgeTelemetry

ROLLOUTS_TABLE = "rollouts"
DECISION_PERIOD_S = 0.2
# Reports of other hosts contain an outcome at once; the rows are for hosts that get no
# reports, and for those that have just started.
ROWS_READ_PERIOD_S = 2.0
# A host that does not read the store for its zone gets each outcome in reports.
NON_READER_ROWS_READ_PERIOD_S = 6.0
# Requests to the old version end by their route's timeout; the margin covers hosts that
# got the last step late.
OLD_VERSION_TIMEOUT_MARGIN_S = 0.5
# Used instead of a route's timeout if no route leads to the service.
DEFAULT_ROUTE_TIMEOUT_S = 3.0


class RolloutRow(msgspec.Struct):
    """A row of the table of roll-outs; `revision` is the store's version of the order.

    Without the era: a restored store has the rows of its orders at the same versions.
    """

    revision: int
    outcome: RolloutOutcome


class RolloutControl:
    """Runs the roll-outs that the operator has ordered.

    Parameters
    ----------
    state : HostState
    fleet : FleetView
    platform : PlatformStore
    clock : Clock
    telemetry : EdgeTelemetry
    bounds : Bounds
    report_urgently : callable
        Reports to the other hosts ahead of the period.
    """

    def __init__(
        self,
        state: HostState,
        fleet: FleetView,
        platform: PlatformStore,
        clock: Clock,
        telemetry: EdgeTelemetry,
        bounds: Bounds,
        report_urgently: Callable[[], None],
    ) -> None:
        self._report_urgently = report_urgently
        self._bounds = bounds
        self._state = state
        self._fleet = fleet
        self._platform = platform
        self._clock = clock
        self._telemetry = telemetry
        self._has_running_rollouts = asyncio.Event()
        self._rows_read_s = float("-inf")

    def apply_order(self, service: str, order: RolloutOrder | None) -> None:
        """Start a roll-out for a new order, or drop it if the order was removed."""
        if order is None:
            self._state.rollouts.pop(service, None)
            return
        known = self._state.rollouts.get(service)
        if known is not None and known.order.revision >= order.revision:
            return
        if known is not None and known.is_continued_by(order):
            known.continue_as(order)
            self._log(known, "restored")
            self._rows_read_s = float("-inf")
            self._has_running_rollouts.set()
            return
        self._state.rollouts[service] = Rollout(
            order,
            self._clock.now_s(),
            self._old_version_timeout_s(service),
            self._bounds.canary_share,
            self._bounds.canary_slack,
        )
        self._log(self._state.rollouts[service], "ordered")
        self._rows_read_s = float("-inf")
        self._has_running_rollouts.set()

    def apply_peer_snapshot(self, host: str, snapshot: RolloutSnapshot) -> None:
        """Apply the state of a roll-out that another host reported."""
        rollout = self._state.rollouts.get(snapshot.service)
        if rollout is None:
            return
        before = (rollout.step, rollout.outcome)
        rollout.apply_peer_state(host, snapshot, self._clock.now_s())
        if (rollout.step, rollout.outcome) != before:
            self._log(rollout, f"reported by {host}")

    async def run(self) -> None:
        """Decide on steps and outcomes until cancelled."""
        while True:
            await self._has_running_rollouts.wait()
            if not self._unfinished_rollouts():
                self._has_running_rollouts.clear()
                continue
            now_s = self._clock.now_s()
            is_reader = self._fleet.is_reader(now_s)
            period_s = (
                ROWS_READ_PERIOD_S if is_reader else NON_READER_ROWS_READ_PERIOD_S
            )
            if now_s - self._rows_read_s >= period_s:
                await self._read_rows()
            for rollout in self._unfinished_rollouts():
                if rollout.own_counts.count_due(self._clock.now_s()):
                    # Other hosts need this tally to detect a bad version.
                    self._report_urgently()
                await self._advance(rollout)
            await asyncio.sleep(DECISION_PERIOD_S)

    def _unfinished_rollouts(self) -> list[Rollout]:
        """Return the roll-outs that run, or whose outcome is not in the store."""
        return [
            rollout
            for rollout in self._state.rollouts.values()
            if rollout.outcome is RolloutOutcome.RUNNING or not rollout.is_recorded
        ]

    async def _advance(self, rollout: Rollout) -> None:
        if not rollout.is_row_read:
            return
        is_controller = self._is_controller()
        if is_controller and not rollout.is_recorded:
            await self._commit(rollout, rollout.outcome)
        if rollout.outcome is not RolloutOutcome.RUNNING:
            return
        step = rollout.step
        outcome = rollout.next_outcome(self._clock.now_s(), is_controller)
        if rollout.step != step:
            self._log(rollout, "step")
        if outcome is RolloutOutcome.ROLLED_BACK:
            # Send nothing more to a bad version while the outcome is being committed.
            rollout.is_suspended = True
        if outcome is not RolloutOutcome.RUNNING:
            await self._commit(rollout, outcome)

    async def _commit(self, rollout: Rollout, outcome: RolloutOutcome) -> None:
        row = RolloutRow(revision_version(rollout.order.revision), outcome)
        key = RowKey(ROLLOUTS_TABLE, rollout.order.service)
        written = await self._platform.commit_rollout(
            rollout.order.service,
            rollout.order.to_version,
            outcome,
            Write(key, msgspec.to_builtins(row)),
            rollout.row_version,
        )
        if isinstance(written, Committed):
            rollout.row_version = written.revision
            rollout.is_recorded = True
            rollout.outcome = outcome
            self._log(rollout, "committed")
            return
        # Another host committed first, or the answer was lost; the row shows which.
        await self._read_rows()

    async def _read_rows(self) -> None:
        result = await self._platform.scan(ROLLOUTS_TABLE)
        if isinstance(result, Unavailable):
            return
        self._rows_read_s = self._clock.now_s()
        rows = {row.key.key: row for row in result.rows}
        for service, rollout in self._state.rollouts.items():
            rollout.is_row_read = True
            row = rows.get(service)
            if row is None:
                rollout.row_version = 0
                continue
            rollout.row_version = row.version
            try:
                stored = msgspec.convert(row.value, RolloutRow)
            except msgspec.ValidationError as exc:
                self._telemetry.count("rows.rejected")
                self._telemetry.log(ROW_REJECTED, source=str(row.key), error=str(exc))
                continue
            if stored.revision != revision_version(rollout.order.revision):
                continue
            if (
                stored.outcome is RolloutOutcome.RUNNING
                and rollout.outcome is not RolloutOutcome.RUNNING
            ):
                # The row is from a copy of the store made before the outcome.
                rollout.is_recorded = False
                continue
            rollout.is_recorded = True
            if stored.outcome is not rollout.outcome:
                rollout.outcome = stored.outcome
                self._log(rollout, "stored")

    def _is_controller(self) -> bool:
        """Whether this host advances the steps.

        Of the ready hosts, the one whose name sorts first does so.
        """
        now_s = self._clock.now_s()
        own = self._fleet.own.name
        return self._fleet.own_phase is HostPhase.READY and not any(
            peer.record.name < own and peer.phase is HostPhase.READY
            for peer in self._fleet.live(now_s)
        )

    def _old_version_timeout_s(self, service: str) -> float:
        config = self._state.config
        timeouts = [
            route.timeout_s
            for route in (config.routes if config else ())
            if any(weighted.service == service for weighted in route.weighted_services)
        ]
        return (
            max(timeouts, default=DEFAULT_ROUTE_TIMEOUT_S)
            + OLD_VERSION_TIMEOUT_MARGIN_S
        )

    def _log(self, rollout: Rollout, cause: str) -> None:
        totals = rollout.totals()
        self._telemetry.log(
            ROLLOUT_CHANGED,
            service=rollout.order.service,
            to_version=rollout.order.to_version,
            revision=rollout.order.revision,
            cause=cause,
            step=rollout.step,
            outcome=str(rollout.outcome),
            new=msgspec.to_builtins(totals.new),
            old=msgspec.to_builtins(totals.old),
        )
