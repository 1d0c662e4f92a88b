"""The part that decides, follows and stops version moves."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

import immutables

from cardamomquay.config import Config
from cardamomquay.config import Route
from cardamomquay.currency import ConfigLoaded
from cardamomquay.currency import ConfigState
from cardamomquay.currency import currency_view
from cardamomquay.currency import is_outage_confirmed
from cardamomquay.leases import LeaseState
from cardamomquay.leases import is_lease_valid
from cardamomquay.membership import ExchangeAnswered
from cardamomquay.membership import ExchangeReceived
from cardamomquay.membership import MembershipState
from cardamomquay.membership import MemberState
from cardamomquay.moves._events import ControllerChanged
from cardamomquay.moves._events import MoveChanged
from cardamomquay.moves._events import MovesRead
from cardamomquay.moves._events import MovesReadFailed
from cardamomquay.moves._events import MoveStepDone
from cardamomquay.moves._events import MoveStopped
from cardamomquay.moves._events import ReadMoves
from cardamomquay.moves._events import ReportHeard
from cardamomquay.moves._events import WriteMoveStep
from cardamomquay.moves._judge import Judgement
from cardamomquay.moves._judge import Verdict
from cardamomquay.moves._judge import is_plainly_bad
from cardamomquay.moves._judge import judge
from cardamomquay.moves._reports import reports_of
from cardamomquay.moves._rows import CONTROLLER_ROW
from cardamomquay.moves._rows import ENDED
from cardamomquay.moves._rows import Move
from cardamomquay.moves._rows import MoveState
from cardamomquay.moves._rows import move_row_key
from cardamomquay.moves._rows import move_value
from cardamomquay.moves._rows import parse_move
from cardamomquay.moves._rows import step_transaction
from cardamomquay.moves._steps import Situation
from cardamomquay.moves._steps import next_step
from cardamomquay.moves._track import REPORT_FRESH_S
from cardamomquay.moves._track import HeardReport
from cardamomquay.moves._track import Track
from cardamomquay.moves._track import begin_track
from cardamomquay.moves._track import figures_of
from cardamomquay.moves._track import identity_of
from cardamomquay.moves._view import VIEW_VALID_S
from cardamomquay.moves._view import MoveView
from cardamomquay.moves._view import RouteShare
from cardamomquay.moves._windows import HostReport
from cardamomquay.platform import Committed
from cardamomquay.platform import Conflicted
from cardamomquay.platform import RowKey
from cardamomquay.reducer import CoreState
from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event
from cardamomquay.reducer import Identity
from cardamomquay.reducer import Part
from cardamomquay.reducer import Tick

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from cardamomquay.moves._evidence import Evidence
    from cardamomquay.moves._windows import Totals

READ_INTERVAL_S = 0.5
READ_TIMEOUT_S = 1.0
# A step whose outcome the shell never reports is settled by reading, like one whose
# answer was lost.
WRITE_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class KnownRow:
    """The newest known row of a move, and when this host saw it first."""

    version: int
    move: Move | None
    seen_at_s: float


@dataclass(frozen=True, slots=True)
class Pending:
    """A step on its way; `answered_at_s` is None until its outcome is reported."""

    move: Move
    sent_at_s: float
    answered_at_s: float | None = None


@dataclass(frozen=True, slots=True)
class MovesState:
    """State of the part.

    Parameters
    ----------
    view : MoveView
        For the hot path.
    rows, tracks, pending : immutables.Map
        By route.
    reports : immutables.Map
        `HeardReport` by host.
    stopped : frozenset of (str, str)
        Route and move id of moves that this host stopped.
    stopped_elsewhere : immutables.Map
        Name of a host that stopped a move, by route and move id.
    controller : ControllerChanged or None
        While this host is the controller.
    read_started_s, read_due_s : float
    """

    view: MoveView = field(default_factory=MoveView)
    rows: immutables.Map[str, KnownRow] = field(default_factory=immutables.Map)
    tracks: immutables.Map[str, Track] = field(default_factory=immutables.Map)
    pending: immutables.Map[str, Pending] = field(default_factory=immutables.Map)
    reports: immutables.Map[str, HeardReport] = field(default_factory=immutables.Map)
    stopped: frozenset[tuple[str, str]] = frozenset()
    stopped_elsewhere: immutables.Map[tuple[str, str], str] = field(
        default_factory=immutables.Map
    )
    controller: ControllerChanged | None = None
    read_started_s: float = float("-inf")
    read_due_s: float = float("-inf")

    def report(self, totals: Mapping[tuple[str, str], Totals]) -> HostReport:
        """Return this host's report for its record.

        Parameters
        ----------
        totals : mapping
            `VersionWindows.totals` of this host.

        Returns
        -------
        HostReport
        """
        rows = {
            route: (known.version, move_value(known.move))
            for route, known in self.rows.items()
            if known.move is not None and route in self.view.shares
        }
        return HostReport(totals, tuple(sorted(self.stopped)), rows)


@dataclass(frozen=True, slots=True)
class MoveRules:
    """The rules of the verdicts; measurements put a baseline in their place."""

    judge: Callable[[Evidence], Judgement] = judge
    stop: Callable[[Evidence, Evidence, int], Judgement | None] = is_plainly_bad


class MovePart(Part[MovesState]):
    """Follows the rows of moves on every host, and writes them on the controller.

    It needs the states of `ConfigPart`, `MembershipPart` and the lease before it.

    Parameters
    ----------
    rules : MoveRules, optional
    """

    state_type = MovesState

    def __init__(self, rules: MoveRules | None = None) -> None:
        self._rules = MoveRules() if rules is None else rules

    def initial(self, identity: Identity) -> MovesState:
        return MovesState()

    def reduce(
        self, own: MovesState, event: Event, core: CoreState
    ) -> tuple[MovesState, tuple[Effect, ...]]:
        match event:
            case Tick():
                return _tick(own, event.now_s, core, self._rules)
            case MovesRead():
                return _rows_read(own, event, core)
            case MovesReadFailed():
                return replace(own, read_due_s=event.now_s + READ_INTERVAL_S), ()
            case MoveStepDone():
                return _step_done(own, event, core)
            case ReportHeard():
                return _report_heard(own, event, core, self._rules)
            case ExchangeAnswered() | ExchangeReceived():
                effects: tuple[Effect, ...] = ()
                for heard in reports_of(event, core.identity.host):
                    own, more = _report_heard(own, heard, core, self._rules)
                    effects += more
                return own, effects
            case ControllerChanged():
                return replace(own, controller=event if event.held else None), ()
            case ConfigLoaded():
                # An operator's edit is in force without waiting for a tick.
                config = core.part(ConfigState).config
                if config is None:
                    return own, ()
                return _follow(own, event.now_s, config), ()
            case _:
                return own, ()


def _tick(
    own: MovesState, now_s: float, core: CoreState, rules: MoveRules
) -> tuple[MovesState, tuple[Effect, ...]]:
    config = core.part(ConfigState).config
    if config is None:
        return own, ()
    own = _follow(own, now_s, config)
    # Nothing can be written while the store is down, so the rows stay fresh.
    if own.view.valid_until_s >= now_s and is_outage_confirmed(
        currency_view(core, now_s), now_s
    ):
        own = _fresh_until(own, now_s + READ_INTERVAL_S)
    effects: list[Effect] = []
    if now_s >= own.read_due_s:
        keys = _wanted_keys(own, config)
        if keys:
            own = replace(own, read_due_s=now_s + READ_TIMEOUT_S)
            effects.append(ReadMoves(keys))
    if own.controller is not None and is_lease_valid(core.part(LeaseState), now_s):
        own, steps = _control(own, now_s, core, config, rules)
        effects.extend(steps)
    return own, tuple(effects)


def _wanted_keys(own: MovesState, config: Config) -> tuple[RowKey, ...]:
    # The controller also finds rows whose move was removed from the configuration.
    routes = {
        name
        for name, route in config.routes.items()
        if route.move is not None or own.controller is not None
    }
    routes.update(
        name
        for name, known in own.rows.items()
        if known.move is not None and known.move.state not in ENDED
    )
    return tuple(move_row_key(name) for name in sorted(routes))


def _fresh_until(own: MovesState, until_s: float) -> MovesState:
    valid_until_s = max(own.view.valid_until_s, until_s)
    return replace(own, view=replace(own.view, valid_until_s=valid_until_s))


def _rows_read(
    own: MovesState, event: MovesRead, core: CoreState
) -> tuple[MovesState, tuple[Effect, ...]]:
    own = replace(
        own,
        read_due_s=event.started_s + READ_INTERVAL_S,
        read_started_s=max(own.read_started_s, event.started_s),
    )
    effects: list[Effect] = []
    for row in event.rows:
        own, changed = _adopt(
            own, row.key.key, row.version, parse_move(row.value), event.now_s
        )
        effects.extend(changed)
        pending = own.pending.get(row.key.key)
        if (
            pending is not None
            and pending.answered_at_s is not None
            and event.started_s >= pending.answered_at_s
        ):
            own = replace(own, pending=own.pending.delete(row.key.key))
    own = _fresh_until(own, event.started_s + VIEW_VALID_S)
    config = core.part(ConfigState).config
    if config is not None:
        own = _follow(own, event.now_s, config)
    return own, tuple(effects)


def _adopt(
    own: MovesState, route: str, version: int, move: Move | None, now_s: float
) -> tuple[MovesState, tuple[Effect, ...]]:
    known = own.rows.get(route)
    if known is not None and version <= known.version:
        return own, ()
    rows = own.rows.set(route, KnownRow(version, move, now_s))
    return replace(own, rows=rows), () if move is None else (MoveChanged(move),)


def _step_done(
    own: MovesState, event: MoveStepDone, core: CoreState
) -> tuple[MovesState, tuple[Effect, ...]]:
    pending = own.pending.get(event.route)
    if pending is None:
        return own, ()
    if isinstance(event.outcome, Committed):
        own = replace(own, pending=own.pending.delete(event.route))
        own, effects = _adopt(
            own, event.route, event.outcome.revision, pending.move, event.now_s
        )
        config = core.part(ConfigState).config
        if config is not None:
            own = _follow(own, event.now_s, config)
        return own, effects
    if isinstance(event.outcome, Conflicted) and any(
        row.key == CONTROLLER_ROW for row in event.outcome.rows
    ):
        # Another host is the controller; trying again would only load the store.
        own = replace(own, controller=None)
    # Whether the step took effect shows in a read that begins after the answer.
    answered = replace(pending, answered_at_s=event.now_s)
    pendings = own.pending.set(event.route, answered)
    return replace(own, pending=pendings, read_due_s=event.now_s), ()


def _report_heard(
    own: MovesState, event: ReportHeard, core: CoreState, rules: MoveRules
) -> tuple[MovesState, tuple[Effect, ...]]:
    before = own.reports.get(event.host)
    after = HeardReport(event.incarnation, event.taken_at_s, event.report)
    if before is not None and after.taken_at_s <= before.taken_at_s:
        return own, ()
    own = replace(own, reports=own.reports.set(event.host, after))
    is_own = event.host == core.identity.host
    effects: list[Effect] = []
    for route, (version, value) in event.report.rows.items():
        known = own.rows.get(route)
        if is_own or (known is not None and version <= known.version):
            continue
        move = parse_move(value)
        if move is not None:
            own, changed = _adopt(own, route, version, move, event.now_s)
            effects.extend(changed)
    if not is_own:
        elsewhere = own.stopped_elsewhere
        for stop in event.report.stopped:
            elsewhere = elsewhere.set(stop, event.host)
        own = replace(own, stopped_elsewhere=elsewhere)
    config = core.part(ConfigState).config
    if config is None:
        return own, tuple(effects)
    own = _follow(own, event.now_s, config)
    # The first report of an incarnation is the base of later differences.
    if before is None or before.incarnation != after.incarnation:
        return own, tuple(effects)
    hosts = len(_expected_hosts(core, event.now_s))
    for route, track in own.tracks.items():
        added = track.add(route, before, after, is_own)
        if added is track:
            continue
        own = replace(own, tracks=own.tracks.set(route, added))
        stop = (route, track.identity[0])
        if stop in own.stopped:
            continue
        found = rules.stop(added.own, added.fleet, hosts)
        if found is not None:
            own = replace(own, stopped=own.stopped | {stop})
            effects.append(MoveStopped(*stop, found.reason))
    return _follow(own, event.now_s, config), tuple(effects)


def _follow(own: MovesState, now_s: float, config: Config) -> MovesState:
    """Bring tracks and view in line with the rows and the configuration."""
    tracks, shares = own.tracks, own.view.shares
    for name in {*tracks, *shares, *(n for n, r in config.routes.items() if r.move)}:
        route = config.routes.get(name)
        known = own.rows.get(name)
        move = None if known is None else known.move
        if (
            route is None
            or route.move is None
            or move is None
            or not move.is_for(route)
            or move.state is MoveState.TAKEN_BACK
        ):
            tracks = tracks.delete(name) if name in tracks else tracks
            shares = shares.delete(name) if name in shares else shares
            continue
        track = tracks.get(name)
        if track is None or track.identity != identity_of(move):
            tracks = tracks.set(name, begin_track(move, now_s))
        elif track.share_percent != move.share_percent:
            tracks = tracks.set(name, track.with_share(move.share_percent, now_s))
        is_stopped = (name, move.move_id) in own.stopped
        share = RouteShare(move, route.move.cap_percent, is_stopped)
        if shares.get(name) != share:
            shares = shares.set(name, share)
    if tracks is own.tracks and shares is own.view.shares:
        return own
    return replace(own, tracks=tracks, view=replace(own.view, shares=shares))


def _expected_hosts(core: CoreState, now_s: float) -> set[str]:
    members = core.part(MembershipState)
    live = {
        name
        for name in members.members
        if members.state_of(name, now_s) is MemberState.LIVE
    }
    return live | {core.identity.host}


def _control(
    own: MovesState, now_s: float, core: CoreState, config: Config, rules: MoveRules
) -> tuple[MovesState, tuple[Effect, ...]]:
    controller = own.controller
    # Rows from before this host became the controller may lack a step of another.
    if controller is None or own.read_started_s < controller.now_s:
        return own, ()
    expected = _expected_hosts(core, now_s)
    fresh = [
        name
        for name in expected
        if name in own.reports
        and now_s - own.reports[name].taken_at_s <= REPORT_FRESH_S
    ]
    measured = 2 * len(fresh) > len(expected)
    effects: list[Effect] = []
    for name, known in own.rows.items():
        pending = own.pending.get(name)
        if pending is not None:
            late = now_s - pending.sent_at_s >= WRITE_TIMEOUT_S
            if pending.answered_at_s is None and late:
                answered = replace(pending, answered_at_s=now_s)
                own = replace(own, pending=own.pending.set(name, answered))
            continue
        judgement, track = _judged(own, name, known, rules)
        step = next_step(
            known.move,
            _route_of(name, known, config),
            Situation(
                judgement,
                measured,
                now_s - known.seen_at_s,
                controller.fence,
            ),
        )
        if step is None:
            continue
        step = replace(step, figures=figures_of(track, judgement))
        own = replace(own, pending=own.pending.set(name, Pending(step, now_s)))
        transaction = step_transaction(step, known.version, controller.row_version)
        effects.append(WriteMoveStep(name, transaction))
    return own, tuple(effects)


def _judged(
    own: MovesState, name: str, known: KnownRow, rules: MoveRules
) -> tuple[Judgement, Track | None]:
    track = own.tracks.get(name)
    if track is None or known.move is None:
        return Judgement(Verdict.UNPROVEN), None
    stop = (name, known.move.move_id)
    judgement = rules.judge(track.fleet)
    if judgement.verdict is not Verdict.BAD:
        if stop in own.stopped:
            return Judgement(Verdict.BAD, "stopped_by_controller"), track
        if stop in own.stopped_elsewhere:
            reason = f"stopped_by_{own.stopped_elsewhere[stop]}"
            return Judgement(Verdict.BAD, reason), track
    return judgement, track


def _route_of(name: str, known: KnownRow, config: Config) -> Route:
    route = config.routes.get(name)
    if route is not None:
        return route
    # A route that was deleted in the middle of a move has no move any more.
    pool = "" if known.move is None else known.move.from_pool
    return Route(name, "", "/", pool)
