"""Reducer that plans, follows and stops version moves."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

import immutables

from cardamomquay.config import Config
from cardamomquay.config import Route
from cardamomquay.config_sync import ConfigLoaded
from cardamomquay.config_sync import ConfigState
from cardamomquay.config_sync import config_evidence
from cardamomquay.config_sync import is_outage_confirmed
from cardamomquay.leases import LeaseState
from cardamomquay.leases import is_lease_valid
from cardamomquay.membership import ExchangeAnswered
from cardamomquay.membership import ExchangeReceived
from cardamomquay.membership import MembershipState
from cardamomquay.membership import MemberState
from cardamomquay.moves._counters import HostReport
from cardamomquay.moves._events import HostReportReceived
from cardamomquay.moves._events import MoveChanged
from cardamomquay.moves._events import MoveControllerChanged
from cardamomquay.moves._events import MovesRead
from cardamomquay.moves._events import MovesReadFailed
from cardamomquay.moves._events import MoveStepWriteFinished
from cardamomquay.moves._events import MoveStopped
from cardamomquay.moves._events import ReadMoves
from cardamomquay.moves._events import WriteMoveStep
from cardamomquay.moves._judge import Judgement
from cardamomquay.moves._judge import Verdict
from cardamomquay.moves._judge import find_local_stop
from cardamomquay.moves._judge import judge
from cardamomquay.moves._observations import REPORT_MAX_AGE_S
from cardamomquay.moves._observations import MoveObservations
from cardamomquay.moves._observations import ReceivedReport
from cardamomquay.moves._observations import begin_observations
from cardamomquay.moves._observations import figures_of
from cardamomquay.moves._observations import move_identity_of
from cardamomquay.moves._reports import reports_of
from cardamomquay.moves._rows import CONTROLLER_ROW_KEY
from cardamomquay.moves._rows import ENDED_STATES
from cardamomquay.moves._rows import Move
from cardamomquay.moves._rows import MoveState
from cardamomquay.moves._rows import move_row_key
from cardamomquay.moves._rows import move_row_value
from cardamomquay.moves._rows import parse_move
from cardamomquay.moves._rows import step_transaction
from cardamomquay.moves._steps import StepInputs
from cardamomquay.moves._steps import next_step
from cardamomquay.moves._view import VIEW_VALID_S
from cardamomquay.moves._view import MoveView
from cardamomquay.moves._view import RouteShare
from cardamomquay.platform import Committed
from cardamomquay.platform import Conflicted
from cardamomquay.platform import RowKey
from cardamomquay.reducer import CoreState
from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event
from cardamomquay.reducer import Identity
from cardamomquay.reducer import SliceReducer
from cardamomquay.reducer import Tick

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from cardamomquay.moves._counters import RequestTotals
    from cardamomquay.moves._evidence import Evidence

READ_INTERVAL_S = 0.5
READ_TIMEOUT_S = 1.0
# A write without an outcome for this time is treated like one whose answer was lost:
# the next read of the row shows whether the step was committed.
WRITE_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class KnownRow:
    """The newest known row of a move, and when this host first saw it."""

    version: int
    move: Move | None
    seen_at_s: float


@dataclass(frozen=True, slots=True)
class PendingStep:
    """A step of which it is not yet known whether it was committed.

    `write_ended_at_s` is when the write failed, conflicted or timed out; None while it
    runs. A read of the row that starts later shows whether the step was committed.
    """

    move: Move
    sent_at_s: float
    write_ended_at_s: float | None = None


@dataclass(frozen=True, slots=True)
class MovesState:
    """State of version moves on one host.

    Parameters
    ----------
    view : MoveView
        What the relay reads for each request.
    rows, observations, pending : immutables.Map
        By route.
    reports : immutables.Map
        `ReceivedReport` by host.
    stopped : frozenset of (str, str)
        Route and move id of each move that this host stopped.
    stopped_by_peers : immutables.Map
        Name of the peer that stopped a move, by route and move id.
    controller : MoveControllerChanged or None
        None unless this host is the controller.
    read_started_s, read_due_s : float
        Start of the last successful read of the rows, and when the next is due.
    """

    view: MoveView = field(default_factory=MoveView)
    rows: immutables.Map[str, KnownRow] = field(default_factory=immutables.Map)
    observations: immutables.Map[str, MoveObservations] = field(
        default_factory=immutables.Map
    )
    pending: immutables.Map[str, PendingStep] = field(default_factory=immutables.Map)
    reports: immutables.Map[str, ReceivedReport] = field(default_factory=immutables.Map)
    stopped: frozenset[tuple[str, str]] = frozenset()
    stopped_by_peers: immutables.Map[tuple[str, str], str] = field(
        default_factory=immutables.Map
    )
    controller: MoveControllerChanged | None = None
    read_started_s: float = float("-inf")
    read_due_s: float = float("-inf")

    def report(self, totals: Mapping[tuple[str, str], RequestTotals]) -> HostReport:
        """Return the report that this host publishes in its member record.

        Parameters
        ----------
        totals : mapping
            `PoolRequestCounters.totals` of this host.

        Returns
        -------
        HostReport
        """
        rows = {
            route: (known.version, move_row_value(known.move))
            for route, known in self.rows.items()
            if known.move is not None and route in self.view.shares
        }
        return HostReport(totals, tuple(sorted(self.stopped)), rows)


@dataclass(frozen=True, slots=True)
class VerdictRules:
    """Functions that judge moves; benchmarks replace them to compare with a baseline.

    Parameters
    ----------
    judge : callable
        Returns the controller's verdict on the evidence of all hosts.
    local_stop : callable
        Returns why a host stops a move by itself, given its own evidence, that of all
        hosts and the number of hosts; None if it does not.
    """

    judge: Callable[[Evidence], Judgement] = judge
    local_stop: Callable[[Evidence, Evidence, int], Judgement | None] = find_local_stop


class MovesReducer(SliceReducer[MovesState]):
    """Reads the rows of moves on every host and writes them on the controller.

    In the list of a `RootReducer`, `ConfigReducer`, `MembershipReducer` and the reducer
    of the lease must come before it.

    Parameters
    ----------
    rules : VerdictRules, optional
    """

    state_type = MovesState

    def __init__(self, rules: VerdictRules | None = None) -> None:
        self._rules = VerdictRules() if rules is None else rules

    def initial(self, identity: Identity) -> MovesState:
        return MovesState()

    def reduce(
        self, state: MovesState, event: Event, core: CoreState
    ) -> tuple[MovesState, tuple[Effect, ...]]:
        match event:
            case Tick():
                return _handle_tick(state, event.now_s, core, self._rules)
            case MovesRead():
                return _handle_rows_read(state, event, core)
            case MovesReadFailed():
                return replace(state, read_due_s=event.now_s + READ_INTERVAL_S), ()
            case MoveStepWriteFinished():
                return _handle_step_write_finished(state, event, core)
            case HostReportReceived():
                return _handle_report(state, event, core, self._rules)
            case ExchangeAnswered() | ExchangeReceived():
                effects: tuple[Effect, ...] = ()
                for received in reports_of(event, core.identity.host):
                    state, more = _handle_report(state, received, core, self._rules)
                    effects += more
                return state, effects
            case MoveControllerChanged():
                return replace(
                    state, controller=event if event.is_controller else None
                ), ()
            case ConfigLoaded():
                # Applies an operator's edit without waiting for the next tick.
                config = core.state_of(ConfigState).config
                if config is None:
                    return state, ()
                return _refresh_view(state, event.now_s, config), ()
            case _:
                return state, ()


def _handle_tick(
    state: MovesState, now_s: float, core: CoreState, rules: VerdictRules
) -> tuple[MovesState, tuple[Effect, ...]]:
    config = core.state_of(ConfigState).config
    if config is None:
        return state, ()
    state = _refresh_view(state, now_s, config)
    # While the store is down nobody can write rows, so the known rows stay valid.
    if state.view.valid_until_s >= now_s and is_outage_confirmed(
        config_evidence(core, now_s), now_s
    ):
        state = _extend_view(state, now_s + READ_INTERVAL_S)
    effects: list[Effect] = []
    if now_s >= state.read_due_s:
        keys = _row_keys_to_read(state, config)
        if keys:
            state = replace(state, read_due_s=now_s + READ_TIMEOUT_S)
            effects.append(ReadMoves(keys))
    if state.controller is not None and is_lease_valid(
        core.state_of(LeaseState), now_s
    ):
        state, steps = _plan_steps(state, now_s, core, config, rules)
        effects.extend(steps)
    return state, tuple(effects)


def _row_keys_to_read(state: MovesState, config: Config) -> tuple[RowKey, ...]:
    # The controller also reads rows whose move was removed from the configuration.
    routes = {
        name
        for name, route in config.routes.items()
        if route.move is not None or state.controller is not None
    }
    routes.update(
        name
        for name, known in state.rows.items()
        if known.move is not None and known.move.state not in ENDED_STATES
    )
    return tuple(move_row_key(name) for name in sorted(routes))


def _extend_view(state: MovesState, until_s: float) -> MovesState:
    valid_until_s = max(state.view.valid_until_s, until_s)
    return replace(state, view=replace(state.view, valid_until_s=valid_until_s))


def _handle_rows_read(
    state: MovesState, event: MovesRead, core: CoreState
) -> tuple[MovesState, tuple[Effect, ...]]:
    state = replace(
        state,
        read_due_s=event.started_s + READ_INTERVAL_S,
        read_started_s=max(state.read_started_s, event.started_s),
    )
    effects: list[Effect] = []
    for row in event.rows:
        state, row_effects = _update_row(
            state, row.key.key, row.version, parse_move(row.value), event.now_s
        )
        effects.extend(row_effects)
        pending = state.pending.get(row.key.key)
        if (
            pending is not None
            and pending.write_ended_at_s is not None
            and event.started_s >= pending.write_ended_at_s
        ):
            state = replace(state, pending=state.pending.delete(row.key.key))
    state = _extend_view(state, event.started_s + VIEW_VALID_S)
    config = core.state_of(ConfigState).config
    if config is not None:
        state = _refresh_view(state, event.now_s, config)
    return state, tuple(effects)


def _update_row(
    state: MovesState, route: str, version: int, move: Move | None, now_s: float
) -> tuple[MovesState, tuple[Effect, ...]]:
    known = state.rows.get(route)
    if known is not None and version <= known.version:
        return state, ()
    rows = state.rows.set(route, KnownRow(version, move, now_s))
    return replace(state, rows=rows), () if move is None else (MoveChanged(move),)


def _handle_step_write_finished(
    state: MovesState, event: MoveStepWriteFinished, core: CoreState
) -> tuple[MovesState, tuple[Effect, ...]]:
    pending = state.pending.get(event.route)
    if pending is None:
        return state, ()
    if isinstance(event.outcome, Committed):
        state = replace(state, pending=state.pending.delete(event.route))
        state, effects = _update_row(
            state, event.route, event.outcome.revision, pending.move, event.now_s
        )
        config = core.state_of(ConfigState).config
        if config is not None:
            state = _refresh_view(state, event.now_s, config)
        return state, effects
    if isinstance(event.outcome, Conflicted) and any(
        row.key == CONTROLLER_ROW_KEY for row in event.outcome.rows
    ):
        # Another host is the controller, so further attempts would only load the store.
        state = replace(state, controller=None)
    # A read that starts after the answer shows whether the step was committed.
    ended = replace(pending, write_ended_at_s=event.now_s)
    pendings = state.pending.set(event.route, ended)
    return replace(state, pending=pendings, read_due_s=event.now_s), ()


def _handle_report(
    state: MovesState, event: HostReportReceived, core: CoreState, rules: VerdictRules
) -> tuple[MovesState, tuple[Effect, ...]]:
    before = state.reports.get(event.host)
    after = ReceivedReport(event.incarnation, event.taken_at_s, event.report)
    if before is not None and after.taken_at_s <= before.taken_at_s:
        return state, ()
    state = replace(state, reports=state.reports.set(event.host, after))
    is_own = event.host == core.identity.host
    effects: list[Effect] = []
    for route, (version, value) in event.report.rows.items():
        known = state.rows.get(route)
        if is_own or (known is not None and version <= known.version):
            continue
        move = parse_move(value)
        if move is not None:
            state, row_effects = _update_row(state, route, version, move, event.now_s)
            effects.extend(row_effects)
    if not is_own:
        by_peers = state.stopped_by_peers
        for stop_key in event.report.stopped:
            by_peers = by_peers.set(stop_key, event.host)
        state = replace(state, stopped_by_peers=by_peers)
    config = core.state_of(ConfigState).config
    if config is None:
        return state, tuple(effects)
    state = _refresh_view(state, event.now_s, config)
    # The first report of an incarnation only serves as the base of later differences.
    if before is None or before.incarnation != after.incarnation:
        return state, tuple(effects)
    hosts = len(_live_hosts(core, event.now_s))
    for route, observed in state.observations.items():
        updated = observed.add(route, before, after, is_own)
        if updated is observed:
            continue
        state = replace(state, observations=state.observations.set(route, updated))
        stop_key = (route, observed.move_identity[0])
        if stop_key in state.stopped:
            continue
        judgement = rules.local_stop(updated.local, updated.fleet, hosts)
        if judgement is not None:
            state = replace(state, stopped=state.stopped | {stop_key})
            effects.append(MoveStopped(*stop_key, judgement.reason))
    return _refresh_view(state, event.now_s, config), tuple(effects)


def _refresh_view(state: MovesState, now_s: float, config: Config) -> MovesState:
    """Update the observations and the view from the rows and the configuration."""
    observations, shares = state.observations, state.view.shares
    for name in {
        *observations,
        *shares,
        *(n for n, r in config.routes.items() if r.move),
    }:
        route = config.routes.get(name)
        known = state.rows.get(name)
        move = None if known is None else known.move
        if (
            route is None
            or route.move is None
            or move is None
            or not move.matches(route)
            or move.state is MoveState.TAKEN_BACK
        ):
            observations = (
                observations.delete(name) if name in observations else observations
            )
            shares = shares.delete(name) if name in shares else shares
            continue
        observed = observations.get(name)
        if observed is None or observed.move_identity != move_identity_of(move):
            observations = observations.set(name, begin_observations(move, now_s))
        elif observed.share_percent != move.share_percent:
            observations = observations.set(
                name, observed.with_share(move.share_percent, now_s)
            )
        is_stopped = (name, move.move_id) in state.stopped
        share = RouteShare(move, route.move.cap_percent, is_stopped)
        if shares.get(name) != share:
            shares = shares.set(name, share)
    if observations is state.observations and shares is state.view.shares:
        return state
    return replace(
        state, observations=observations, view=replace(state.view, shares=shares)
    )


def _live_hosts(core: CoreState, now_s: float) -> set[str]:
    members = core.state_of(MembershipState)
    live = {
        name
        for name in members.members
        if members.state_of(name, now_s) is MemberState.LIVE
    }
    return live | {core.identity.host}


def _plan_steps(
    state: MovesState,
    now_s: float,
    core: CoreState,
    config: Config,
    rules: VerdictRules,
) -> tuple[MovesState, tuple[Effect, ...]]:
    controller = state.controller
    # Rows read before this host became the controller may lack its predecessor's last
    # step.
    if controller is None or state.read_started_s < controller.now_s:
        return state, ()
    live_hosts = _live_hosts(core, now_s)
    reporting = [
        name
        for name in live_hosts
        if name in state.reports
        and now_s - state.reports[name].taken_at_s <= REPORT_MAX_AGE_S
    ]
    has_enough_reports = 2 * len(reporting) > len(live_hosts)
    effects: list[Effect] = []
    for name, known in state.rows.items():
        pending = state.pending.get(name)
        if pending is not None:
            timed_out = now_s - pending.sent_at_s >= WRITE_TIMEOUT_S
            if pending.write_ended_at_s is None and timed_out:
                ended = replace(pending, write_ended_at_s=now_s)
                state = replace(state, pending=state.pending.set(name, ended))
            continue
        judgement, observed = _judge_move(state, name, known, rules)
        step = next_step(
            known.move,
            _configured_route(name, known, config),
            StepInputs(
                judgement,
                has_enough_reports,
                now_s - known.seen_at_s,
                controller.fence,
            ),
        )
        if step is None:
            continue
        step = replace(step, figures=figures_of(observed, judgement))
        state = replace(
            state, pending=state.pending.set(name, PendingStep(step, now_s))
        )
        transaction = step_transaction(step, known.version, controller.row_version)
        effects.append(WriteMoveStep(name, transaction))
    return state, tuple(effects)


def _judge_move(
    state: MovesState, name: str, known: KnownRow, rules: VerdictRules
) -> tuple[Judgement, MoveObservations | None]:
    observed = state.observations.get(name)
    if observed is None or known.move is None:
        return Judgement(Verdict.UNPROVEN), None
    stop_key = (name, known.move.move_id)
    judgement = rules.judge(observed.fleet)
    if judgement.verdict is not Verdict.BAD:
        if stop_key in state.stopped:
            return Judgement(Verdict.BAD, "stopped_by_controller"), observed
        if stop_key in state.stopped_by_peers:
            reason = f"stopped_by_{state.stopped_by_peers[stop_key]}"
            return Judgement(Verdict.BAD, reason), observed
    return judgement, observed


def _configured_route(name: str, known: KnownRow, config: Config) -> Route:
    route = config.routes.get(name)
    if route is not None:
        return route
    # A route that was deleted during its move is replaced by one without a move.
    pool = "" if known.move is None else known.move.from_pool
    return Route(name, "", "/", pool)
