"""A host's part in version moves: effects, reports, and the choice of pools.

A version move sends a growing share of a route's requests to another pool.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.lenders import LendersState
from cardamomquay.membership import ExtraChanged
from cardamomquay.moves import MOVES_EXTRA_KEY
from cardamomquay.moves import HostReportReceived
from cardamomquay.moves import MoveChanged
from cardamomquay.moves import MoveControllerChanged
from cardamomquay.moves import MovesRead
from cardamomquay.moves import MovesReadFailed
from cardamomquay.moves import MovesState
from cardamomquay.moves import MoveStepWriteFinished
from cardamomquay.moves import MoveStopped
from cardamomquay.moves import PoolRequestCounters
from cardamomquay.moves import ReadMoves
from cardamomquay.moves import VersionPicker
from cardamomquay.moves import WriteMoveStep
from cardamomquay.moves import encode_report
from cardamomquay.platform import Unavailable
from cardamomquay_daemon._telemetry import MOVE_CHANGED
from cardamomquay_daemon._telemetry import MOVE_STOPPED

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from cardamomquay.clock import Clock
    from cardamomquay.config import Config
    from cardamomquay.config import Pool
    from cardamomquay.config import Route
    from cardamomquay.lenders import StartLending
    from cardamomquay.lenders import StopLending
    from cardamomquay.platform import TableService
    from cardamomquay.reducer import Effect
    from cardamomquay.reducer import Identity
    from cardamomquay_daemon._runtime import Runtime
    from cardamomquay_daemon._telemetry import Telemetry

# The host that lends this resource is the controller of all moves.
MOVE_CONTROLLER_RESOURCE = "moves"
REPORT_INTERVAL_S = 0.5


class VersionMoves:
    """Counts and reports requests of routes with a move, and chooses their pools.

    Also runs the effects of moves, and starts and stops this host's controller.

    Parameters
    ----------
    tables : TableService
    clock : Clock
    runtime : Runtime
    identity : Identity
    telemetry : Telemetry
    """

    def __init__(
        self,
        tables: TableService,
        clock: Clock,
        runtime: Runtime,
        identity: Identity,
        telemetry: Telemetry,
    ) -> None:
        self._tables = tables
        self._clock = clock
        self._runtime = runtime
        self._identity = identity
        self._telemetry = telemetry
        self._counters = PoolRequestCounters()
        self._picker = VersionPicker()
        self._is_report_published = False

    def handlers(self) -> Mapping[type[Effect], Callable[[Any], None]]:
        """Return the handler of each effect type."""
        return {
            ReadMoves: self._read_rows,
            WriteMoveStep: self._write_step,
            MoveChanged: self._log_change,
            MoveStopped: self._log_stop,
        }

    def start(self, effect: StartLending) -> None:
        """Start to act as the controller.

        Does nothing if the lender row has another fencing token than the effect.
        """
        lenders = self._runtime.snapshot.core.state_of(LendersState)
        row = lenders.lender_of(effect.resource)
        if row is not None and row.fence == effect.fence:
            now_s = self._clock.now_s()
            self._runtime.post(
                MoveControllerChanged(now_s, True, row.fence, row.version)
            )

    def stop(self, effect: StopLending) -> None:
        """Stop acting as the controller."""
        self._runtime.post(MoveControllerChanged(self._clock.now_s(), False))

    def apply(self, config: Config) -> None:
        """Discard the counters and the picker's state of routes without a move."""
        routes_with_move = {name for name, route in config.routes.items() if route.move}
        self._counters.retain(routes_with_move)
        self._picker.retain(routes_with_move)

    def choose_pool(self, config: Config, route: Route) -> Pool:
        """Return the pool for a new request of a route.

        Parameters
        ----------
        config : Config
        route : Route

        Returns
        -------
        Pool
        """
        if route.move is None:
            return config.pools[route.pool]
        view = self._runtime.snapshot.core.state_of(MovesState).view
        share_percent = view.share_for(route.name, self._clock.now_s())
        goes_to_new_version = self._picker.pick_new(route.name, share_percent)
        return config.pools[route.move.to_pool if goes_to_new_version else route.pool]

    def record_result(
        self, route: Route, pool: str, failed: bool, latency_s: float
    ) -> None:
        """Count the result of an attempt, if its route has a move.

        Not called for attempts that an upstream shed or that this host refused before
        it called the upstream. Called if the upstream was unreachable.
        """
        if route.move is not None:
            self._counters.record(route.name, pool, failed, latency_s)

    def publish(self) -> None:
        """Publish this host's counters in its member record, or remove them.

        Called every 0.5 s. Counters are published while `MoveView.shares` has an entry
        for any route.
        """
        state = self._runtime.snapshot.core.state_of(MovesState)
        now_s = self._clock.now_s()
        if not state.view.shares:
            if self._is_report_published:
                self._is_report_published = False
                self._runtime.post(ExtraChanged(now_s, MOVES_EXTRA_KEY, None))
            return
        report = state.report(self._counters.totals())
        identity = self._identity
        self._runtime.post(
            HostReportReceived(
                now_s, identity.host, identity.incarnation, now_s, report
            )
        )
        self._is_report_published = True
        self._runtime.post(ExtraChanged(now_s, MOVES_EXTRA_KEY, encode_report(report)))

    def _read_rows(self, effect: ReadMoves) -> None:
        started_s = self._clock.now_s()
        found = self._tables.read(effect.keys)
        now_s = self._clock.now_s()
        if isinstance(found, Unavailable):
            self._runtime.post(MovesReadFailed(now_s))
        else:
            self._runtime.post(MovesRead(now_s, started_s, found.rows))

    def _write_step(self, effect: WriteMoveStep) -> None:
        outcome = self._tables.transact(effect.transaction)
        self._runtime.post(
            MoveStepWriteFinished(self._clock.now_s(), effect.route, outcome)
        )

    def _log_change(self, effect: MoveChanged) -> None:
        move = effect.move
        self._telemetry.log(
            MOVE_CHANGED,
            route=move.route,
            move_id=move.move_id,
            state=str(move.state),
            step=move.step,
            share_percent=move.share_percent,
            reason=move.reason,
        )

    def _log_stop(self, effect: MoveStopped) -> None:
        self._telemetry.log(
            MOVE_STOPPED,
            route=effect.route,
            move_id=effect.move_id,
            reason=effect.reason,
        )
