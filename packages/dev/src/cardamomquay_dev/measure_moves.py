"""Measures version moves in simulated time: several hosts, late reports, one store.

A run is one move to a new version. It is either good, with cold caches, or bad in one
of the ways of `FAULT_KINDS`. The same seed gives the same figures.
"""

from __future__ import annotations

import json
import random
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.config import Config
from cardamomquay.config import MovePlan
from cardamomquay.config import Route
from cardamomquay.config_sync import ConfigLoaded
from cardamomquay.config_sync import ConfigReducer
from cardamomquay.leases import LeaseState
from cardamomquay.membership import HostsListed
from cardamomquay.membership import MembershipReducer
from cardamomquay.moves import Evidence
from cardamomquay.moves import HostReportReceived
from cardamomquay.moves import Judgement
from cardamomquay.moves import Move
from cardamomquay.moves import MoveControllerChanged
from cardamomquay.moves import MovesRead
from cardamomquay.moves import MovesReadFailed
from cardamomquay.moves import MovesReducer
from cardamomquay.moves import MovesState
from cardamomquay.moves import MoveState
from cardamomquay.moves import MoveStepWriteFinished
from cardamomquay.moves import PoolRequestCounters
from cardamomquay.moves import ReadMoves
from cardamomquay.moves import RequestTotals
from cardamomquay.moves import Verdict
from cardamomquay.moves import VerdictRules
from cardamomquay.moves import VersionPicker
from cardamomquay.moves import WriteMoveStep
from cardamomquay.moves import decode_report
from cardamomquay.moves import encode_report
from cardamomquay.moves import judge
from cardamomquay.moves import move_row_key
from cardamomquay.moves import parse_move
from cardamomquay.platform import Committed
from cardamomquay.platform import ListedHost
from cardamomquay.platform import MemoryTableService
from cardamomquay.platform import RowKey
from cardamomquay.platform import RowsRead
from cardamomquay.platform import Transaction
from cardamomquay.platform import Write
from cardamomquay.reducer import CoreState
from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event
from cardamomquay.reducer import Identity
from cardamomquay.reducer import RootReducer
from cardamomquay.reducer import SliceReducer
from cardamomquay.reducer import Tick

if TYPE_CHECKING:
    from collections.abc import Iterable

# Runs are independent, so the number of worker processes changes no figure.
WORKERS = 5
HOST_COUNT = 4
TICK_S = 0.25
REPORT_INTERVAL_S = 0.5
# Mean rate of each route at each host.
RATE_PER_S = 32.0
REPORT_DELAY_RANGE_S = (0.05, 0.6)
LOST_REPORT_SHARE = 0.05
MOVE_PLAN = MovePlan("m1", "new", finish_within_s=180.0)
# A run goes on after the end of its move, for late requests and late faults.
AFTER_MOVE_S = 6.0
# A run whose move has completed lasts until this long after the start of the fault.
LATE_FAULT_AFTER_S = 40.0
MEAN_LATENCY_S = 0.02
FAULT_KINDS = (
    "fails_at_once",
    "slow_at_once",
    "fails_later",
    "slow_later",
    "fails_under_load",
    "slow_under_load",
    "fails_on_one_route",
    "slow_on_one_route",
)


@dataclass(frozen=True, slots=True)
class NewVersion:
    """How the new version behaves.

    Its fault occurs from the time `fault_from_s` on, while it receives at least
    `fault_from_share_percent` of the requests, and only on `route` unless that is
    empty. Meanwhile, the share `error_rate` of its requests fails and its latency is
    multiplied by `slowdown`. A good version has no fault. `base_error_rate` is the
    share of requests to either version that fail for other reasons. The first request
    takes ``1 + cold_factor`` times as long; this excess halves with every
    `cold_requests` requests.
    """

    kind: str
    error_rate: float
    slowdown: float
    fault_from_s: float
    fault_from_share_percent: float
    route: str
    base_error_rate: float
    cold_factor: float
    cold_requests: float


def draw_version(rng: random.Random, kind: str) -> NewVersion:
    """Draw a version of a kind; ``good`` has cold caches only."""
    fails, slow = kind.startswith("fails"), kind.startswith("slow")
    return NewVersion(
        kind=kind,
        error_rate=rng.uniform(0.1, 0.6) if fails else 0.0,
        slowdown=rng.uniform(3.0, 6.0) if slow else 1.0,
        fault_from_s=rng.uniform(5.0, 70.0) if kind.endswith("later") else 0.0,
        fault_from_share_percent=rng.uniform(10.0, 60.0)
        if kind.endswith("load")
        else 0.0,
        route="a" if kind.endswith("route") else "",
        base_error_rate=rng.uniform(0.0, 0.01),
        cold_factor=rng.uniform(0.0, 2.0),
        cold_requests=rng.uniform(20.0, 100.0),
    )


@dataclass(slots=True)
class RunResult:
    """What one run showed; times in seconds.

    Parameters
    ----------
    kind : str
        ``good`` or one of `FAULT_KINDS`.
    final_states : dict of MoveState
        State of the move of each route at the end.
    elapsed_s : float
        Time until all moves had ended, 0 if they had not when the run ended.
    share_before_proof : float
        Largest share of the new version among the requests of route a so far, taken
        after each tick before it was proved, in percent.
    excess_in_a_tick : float
        Largest number of requests above the cap in one tick before then.
    shown_to_last_s : float, optional
        Time to the last request of the new version from the time at which the fault was
        shown, by a bad verdict or by a host that stopped the move by itself.
    replayed_to_last_s : float, optional
        The same from the time at which a replay of the reports without delay and loss
        shows the fault.
    failed, slowed : int
        Requests that the fault made fail or slowed down.
    """

    kind: str
    final_states: dict[str, MoveState] = field(default_factory=dict)
    elapsed_s: float = 0.0
    share_before_proof: float = 0.0
    excess_in_a_tick: float = 0.0
    shown_to_last_s: float | None = None
    replayed_to_last_s: float | None = None
    failed: int = 0
    slowed: int = 0


@dataclass(frozen=True, slots=True)
class _LeaseSet(Event):
    lease: LeaseState


class _LeaseReducer(SliceReducer[LeaseState]):
    """Takes the lease from events, without the calls to the store of a real one."""

    state_type = LeaseState

    def initial(self, identity: Identity) -> LeaseState:
        return LeaseState()

    def reduce(
        self, state: LeaseState, event: Event, core: CoreState
    ) -> tuple[LeaseState, tuple[Effect, ...]]:
        return (event.lease if isinstance(event, _LeaseSet) else state), ()


class _Host:
    """One daemon: its reducer, its choice of versions and its calls to the store."""

    def __init__(
        self, name: str, tables: MemoryTableService, rules: VerdictRules
    ) -> None:
        self.name = name
        self._tables = tables
        reducers = (
            ConfigReducer(),
            MembershipReducer(),
            _LeaseReducer(),
            MovesReducer(rules),
        )
        self._reducer = RootReducer(reducers)
        self._core = self._reducer.initial(Identity(name, name, "x", "x1", "x"))
        self.counters = PoolRequestCounters()
        self.picker = VersionPicker()

    @property
    def moves(self) -> MovesState:
        return self._core.state_of(MovesState)

    def handle_event(self, event: Event) -> None:
        """Reduce an event and carry out its effects."""
        self._core, effects = self._reducer.reduce(self._core, event)
        for effect in effects:
            match effect:
                case ReadMoves():
                    read = self._tables.read(effect.keys)
                    if isinstance(read, RowsRead):
                        self.handle_event(
                            MovesRead(event.now_s, event.now_s, read.rows)
                        )
                    else:
                        self.handle_event(MovesReadFailed(event.now_s))
                case WriteMoveStep():
                    outcome = self._tables.transact(effect.transaction)
                    self.handle_event(
                        MoveStepWriteFinished(event.now_s, effect.route, outcome)
                    )


class _MoveRun:
    """One move, or one on each of two routes."""

    def __init__(
        self,
        seed: int,
        version: NewVersion,
        rules: VerdictRules,
        fault_shown_s: float | None = None,
    ) -> None:
        # A run with the baseline's rules gets the time at which the fault was shown
        # from the run of the same version with the full rules, and replays no reports.
        self._is_baseline = rules is BASELINE
        self._rng = random.Random(seed)
        self._version = version
        self._tables = MemoryTableService()
        self._hosts = [_Host(f"h{n}", self._tables, rules) for n in range(HOST_COUNT)]
        self._routes = ("a", "b") if version.route else ("a",)
        self._host_list = tuple(
            ListedHost(h.name, "", "", "x", "x1") for h in self._hosts
        )
        self._now_s = 0.0
        self._new_version_requests = 0
        self._reports_in_flight: list[tuple[float, _Host, HostReportReceived]] = []
        self._replayed_evidence = dict.fromkeys(self._routes, Evidence())
        self._replayed_totals: dict[tuple[str, str, str], RequestTotals] = {}
        self._fault_occurred = False
        self.fault_shown_s = fault_shown_s
        self._replayed_shown_s: float | None = None
        self._last_new_version_request_s = 0.0
        # Requests to the new version, and to both versions.
        self._requests_before_proof = [0, 0]
        self.result = RunResult(version.kind)

    def run(self) -> RunResult:
        """Run the move to its end."""
        self._start()
        end_s = MOVE_PLAN.finish_within_s + AFTER_MOVE_S
        while self._now_s < end_s:
            self._step()
            moves = self._moves()
            if all(m is not None and m.state in _END_STATES for m in moves.values()):
                end_s = min(end_s, self._end_s(moves))
        self._finish()
        return self.result

    def _record_states(self, moves: dict[str, Move | None]) -> None:
        self.result.final_states = {
            r: m.state for r, m in moves.items() if m is not None
        }

    def _end_s(self, moves: dict[str, Move | None]) -> float:
        if not self.result.final_states:
            self.result.elapsed_s = self._now_s
        self._record_states(moves)
        completed = MoveState.COMPLETED in self.result.final_states.values()
        # A run of the last two kinds does not wait for a late fault: only route a is
        # faulty, so the move of route b completes.
        if completed and self._version.kind not in ("good", *FAULT_KINDS[-2:]):
            return max(
                self._now_s + AFTER_MOVE_S,
                self._version.fault_from_s + LATE_FAULT_AFTER_S,
            )
        return self.result.elapsed_s + AFTER_MOVE_S

    def _start(self) -> None:
        routes = {
            name: Route(name, "o", f"/{name}", "old", move=_make_plan(name))
            for name in self._routes
        }
        config = Config(1, routes=routes)
        # h0 controls the moves.
        claim = Write(RowKey("lenders", "moves"), {"host": "h0"})
        claimed = self._tables.transact(Transaction((), (claim,)))
        assert isinstance(claimed, Committed)
        for host in self._hosts:
            host.handle_event(ConfigLoaded(0.0, config, 0.0))
        controller = self._hosts[0]
        controller.handle_event(_LeaseSet(0.0, LeaseState(1, float("inf"))))
        controller.handle_event(MoveControllerChanged(0.0, True, 1, claimed.revision))

    def _step(self) -> None:
        self._now_s += TICK_S
        self._serve_requests()
        due = [entry for entry in self._reports_in_flight if entry[0] <= self._now_s]
        self._reports_in_flight = [
            e for e in self._reports_in_flight if e[0] > self._now_s
        ]
        for _, host, received in due:
            host.handle_event(replace(received, now_s=self._now_s))
        self._record_fault_shown()
        for host in self._hosts:
            if self._now_s % 1.0 == 0:
                host.handle_event(HostsListed(self._now_s, self._host_list))
            host.handle_event(Tick(self._now_s))
        if self._now_s % REPORT_INTERVAL_S == 0:
            self._send_reports()

    def _record_fault_shown(self) -> None:
        """Record when the fault is first shown.

        Either the evidence at the controller gives a bad verdict, or any host stops the
        move by itself.
        """
        if (
            self._is_baseline
            or self.fault_shown_s is not None
            or not self._fault_occurred
        ):
            return
        observed = self._hosts[0].moves.observations.get("a")
        is_bad = observed is not None and judge(observed.fleet).verdict is Verdict.BAD
        stopped = (host.moves.stopped for host in self._hosts)
        if is_bad or any(stop[0] == "a" for stops in stopped for stop in stops):
            self.fault_shown_s = self._now_s

    def _serve_requests(self) -> None:
        rng, version = self._rng, self._version
        for route in self._routes:
            # Requests to the old and to the new version.
            sent = [0, 0]
            for host in self._hosts:
                share = host.moves.view.share_for(route, self._now_s)
                count = int(RATE_PER_S * TICK_S * 2 * rng.random() + 0.5)
                for _ in range(count):
                    is_new = host.picker.pick_new(route, share)
                    sent[is_new] += 1
                    failed = rng.random() < version.base_error_rate
                    seconds = rng.expovariate(1 / MEAN_LATENCY_S)
                    if is_new:
                        is_faulty = self._is_faulty(route, share)
                        fails = is_faulty and rng.random() < version.error_rate
                        slowdown = version.slowdown if is_faulty else 1.0
                        self._fault_occurred = self._fault_occurred or is_faulty
                        self.result.failed += fails
                        self.result.slowed += slowdown > 1.0
                        failed = failed or fails
                        seconds *= slowdown * self._cold_start_factor()
                        self._new_version_requests += 1
                        if route == "a":
                            self._last_new_version_request_s = self._now_s
                    pool = "new" if is_new else "old"
                    host.counters.record(route, pool, failed, seconds)
            self._record_share_before_proof(route, sent)

    def _is_faulty(self, route: str, share: float) -> bool:
        version = self._version
        return (
            version.kind != "good"
            and self._now_s >= version.fault_from_s
            and share >= version.fault_from_share_percent
            and version.route in ("", route)
        )

    def _cold_start_factor(self) -> float:
        warmed = self._new_version_requests / self._version.cold_requests
        return 1.0 + self._version.cold_factor * 2**-warmed

    def _record_share_before_proof(self, route: str, sent: list[int]) -> None:
        move = self._moves()[route]
        if route != "a" or move is None or move.proved:
            return
        if move.state not in (MoveState.RAMPING, MoveState.HOLDING):
            return
        self._requests_before_proof[0] += sent[1]
        self._requests_before_proof[1] += sum(sent)
        share = (
            100.0
            * self._requests_before_proof[0]
            / max(1, self._requests_before_proof[1])
        )
        self.result.share_before_proof = max(self.result.share_before_proof, share)
        excess = sent[1] - sum(sent) * MOVE_PLAN.cap_percent / 100.0
        self.result.excess_in_a_tick = max(self.result.excess_in_a_tick, excess)

    def _send_reports(self) -> None:
        for sender in self._hosts:
            totals = sender.counters.totals()
            if not self._is_baseline:
                self._judge_replayed_reports(sender.name, totals)
            text = encode_report(sender.moves.report(totals))
            report = decode_report(text)
            assert report is not None
            received = HostReportReceived(
                self._now_s, sender.name, sender.name, self._now_s, report
            )
            sender.handle_event(received)
            for host in self._hosts:
                if host is sender or self._rng.random() < LOST_REPORT_SHARE:
                    continue
                due_s = self._now_s + self._rng.uniform(*REPORT_DELAY_RANGE_S)
                self._reports_in_flight.append((due_s, host, received))

    def _judge_replayed_reports(
        self, host: str, totals: dict[tuple[str, str], RequestTotals]
    ) -> None:
        """Replay the reports without delay and loss, and judge the new version.

        The controller gets the counts of a lost report together with those of the
        next one, and may judge differently near the threshold.
        """
        for route in self._routes:
            added = {}
            for pool in ("new", "old"):
                now = totals.get((route, pool), RequestTotals())
                before = self._replayed_totals.get((host, route, pool), RequestTotals())
                added[pool] = now.since(before)
                self._replayed_totals[host, route, pool] = now
            evidence = self._replayed_evidence[route].add(added["new"], added["old"])
            self._replayed_evidence[route] = evidence
            # A bad verdict before the first faulty request does not show the fault.
            may_show_fault = (
                route == "a" and self._replayed_shown_s is None and self._fault_occurred
            )
            if may_show_fault and judge(evidence).verdict is Verdict.BAD:
                self._replayed_shown_s = self._now_s

    def _moves(self) -> dict[str, Move | None]:
        read = self._tables.read([move_row_key(route) for route in self._routes])
        assert isinstance(read, RowsRead)
        return {row.key.key: parse_move(row.value) for row in read.rows}

    def _finish(self) -> None:
        if self._replayed_shown_s is not None:
            replayed_s = max(
                0.0, self._last_new_version_request_s - self._replayed_shown_s
            )
            self.result.replayed_to_last_s = replayed_s
        if self.fault_shown_s is not None:
            self.result.shown_to_last_s = max(
                0.0, self._last_new_version_request_s - self.fault_shown_s
            )
        self._record_states(self._moves())


_END_STATES = (MoveState.COMPLETED, MoveState.TAKEN_BACK)


def _make_plan(route: str) -> MovePlan:
    return MovePlan(f"m-{route}", MOVE_PLAN.to_pool, MOVE_PLAN.finish_within_s)


def _judge_good_only(evidence: Evidence) -> Judgement:
    judgement = judge(evidence)
    if judgement.verdict is Verdict.BAD:
        return Judgement(Verdict.UNPROVEN)
    return judgement


# The baseline ignores bad verdicts, and so takes a version back at its deadline only.
BASELINE = VerdictRules(
    judge=_judge_good_only, local_stop=lambda own, fleet, hosts: None
)


def _summary(results: list[RunResult]) -> dict[str, Any]:
    bad = [r for r in results if r.kind != "good"]
    good = [r for r in results if r.kind == "good"]
    elapsed = [r.elapsed_s for r in good]
    times = [r.shown_to_last_s for r in bad if r.shown_to_last_s is not None]
    replayed = [r.replayed_to_last_s for r in bad if r.replayed_to_last_s is not None]
    return {
        "bad_taken_back_share": _share(
            r.final_states.get("a") is MoveState.TAKEN_BACK for r in bad
        ),
        "other_route_completed_share": _share(
            r.final_states["b"] is MoveState.COMPLETED
            for r in bad
            if "b" in r.final_states
        ),
        "good_completed_in_time_share": _share(
            set(r.final_states.values()) == {MoveState.COMPLETED}
            and r.elapsed_s <= MOVE_PLAN.finish_within_s
            for r in good
        ),
        "good_elapsed_s_median": statistics.median(elapsed) if elapsed else None,
        "largest_share_before_proof_percent": round(
            max((r.share_before_proof for r in bad), default=0.0), 3
        ),
        "largest_excess_in_a_tick": max((r.excess_in_a_tick for r in bad), default=0),
        "shown_to_last_request_s_max": max(times, default=None),
        "shown_to_last_request_s_median": statistics.median(times) if times else None,
        "shown_to_last_request_within_3_s_share": _share(t <= 3.0 for t in times),
        "faults_shown": len(times),
        "replayed_to_last_request_s_max": max(replayed, default=None),
        "replayed_to_last_request_within_3_s_share": _share(t <= 3.0 for t in replayed),
        "failed_requests": sum(r.failed for r in bad),
        "slowed_requests": sum(r.slowed for r in bad),
    }


def _share(outcomes: Iterable[bool]) -> float | None:
    found = list(outcomes)
    return round(sum(found) / len(found), 4) if found else None


def _measure_run(seed_and_run: tuple[int, int]) -> tuple[RunResult, RunResult | None]:
    seed, run = seed_and_run
    kind = "good" if run % 2 == 0 else FAULT_KINDS[run // 2 % len(FAULT_KINDS)]
    # With this factor, different seeds share no run.
    run_seed = seed * 1_000_003 + run
    version = draw_version(random.Random(run_seed), kind)
    run_with_verdict = _MoveRun(run_seed, version, VerdictRules())
    result = run_with_verdict.run()
    if kind == "good":
        return result, None
    return result, _MoveRun(
        run_seed, version, BASELINE, run_with_verdict.fault_shown_s
    ).run()


def measure_moves(seed: int, runs: int = 200) -> dict[str, Any]:
    """Run moves to good and bad versions and summarise them.

    Parameters
    ----------
    seed : int
    runs : int
        Half of them with a good version, the others with each kind of fault in turn.

    Returns
    -------
    dict
        Figures of the moves, and under ``baseline`` those of the same bad versions
        with a take-back at the deadline only.
    """
    with ProcessPoolExecutor(WORKERS) as pool:
        pairs = list(pool.map(_measure_run, [(seed, run) for run in range(runs)]))
    results = [result for result, _ in pairs]
    baseline = [result for _, result in pairs if result is not None]
    by_kind = {
        kind: _share(
            r.final_states.get("a") is MoveState.TAKEN_BACK
            for r in results
            if r.kind == kind
        )
        for kind in FAULT_KINDS
    }
    return {
        "seed": seed,
        "runs": runs,
        "cap_percent": MOVE_PLAN.cap_percent,
        **_summary(results),
        "taken_back_share_by_kind": by_kind,
        "baseline": _summary(baseline),
    }


if __name__ == "__main__":
    print(json.dumps(measure_moves(*map(int, sys.argv[1:])), indent=2))
