"""Simulates hosts with `MovesReducer` that share a table service, in simulated time."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import replace

from cardamomquay.config import Config
from cardamomquay.config import MovePlan
from cardamomquay.config import Route
from cardamomquay.config_sync import ConfigLoaded
from cardamomquay.config_sync import ConfigReducer
from cardamomquay.config_sync import HeadRead
from cardamomquay.config_sync import HeadReadFailed
from cardamomquay.config_sync import ReadHead
from cardamomquay.leases import LeaseState
from cardamomquay.membership import ExchangeAnswered
from cardamomquay.membership import HostsListed
from cardamomquay.membership import MemberRecord
from cardamomquay.membership import MembershipReducer
from cardamomquay.membership import PeerTarget
from cardamomquay.membership import SentRecord
from cardamomquay.moves import HostReportReceived
from cardamomquay.moves import Move
from cardamomquay.moves import MoveControllerChanged
from cardamomquay.moves import MovesRead
from cardamomquay.moves import MovesReadFailed
from cardamomquay.moves import MovesReducer
from cardamomquay.moves import MovesState
from cardamomquay.moves import MoveStepWriteFinished
from cardamomquay.moves import PoolRequestCounters
from cardamomquay.moves import ReadMoves
from cardamomquay.moves import VersionPicker
from cardamomquay.moves import WriteMoveStep
from cardamomquay.moves import decode_report
from cardamomquay.moves import encode_report
from cardamomquay.moves import move_row_key
from cardamomquay.moves import parse_move
from cardamomquay.platform import Committed
from cardamomquay.platform import Conflicted
from cardamomquay.platform import Faults
from cardamomquay.platform import ListedHost
from cardamomquay.platform import MemoryTableService
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey
from cardamomquay.platform import RowsRead
from cardamomquay.platform import Transaction
from cardamomquay.platform import Unavailable
from cardamomquay.platform import Write
from cardamomquay.reducer import Event
from cardamomquay.reducer import Identity
from cardamomquay.reducer import RootReducer
from cardamomquay.reducer import SliceReducer
from cardamomquay.reducer import Tick

CONTROLLER_ROW_KEY = RowKey("lenders", "moves")
ROUTE = "r"
PLAN = MovePlan("m1", "new", finish_within_s=240.0)


@dataclass(frozen=True, slots=True)
class LeaseSet(Event):
    lease: LeaseState


class LeaseReducer(SliceReducer[LeaseState]):
    state_type = LeaseState

    def initial(self, identity):
        return LeaseState()

    def reduce(self, state, event, core):
        return (event.lease if isinstance(event, LeaseSet) else state), ()


class RecordingTables(MemoryTableService):
    """Keeps all committed values of the rows of moves."""

    def __init__(self) -> None:
        super().__init__()
        self.history: list[Move] = []
        self.conflicts = 0

    def transact(self, transaction):
        outcome = super().transact(transaction)
        self.conflicts += isinstance(outcome, Conflicted)
        return outcome

    def _apply(self, key, value) -> None:
        super()._apply(key, value)
        if key.table == "moves":
            self.history.append(parse_move(value))


class Host:
    def __init__(self, fleet: Fleet, name: str, offset_s: float) -> None:
        self.fleet, self.name, self.offset_s = fleet, name, offset_s
        self.reducer = RootReducer(
            (ConfigReducer(), MembershipReducer(), LeaseReducer(), MovesReducer())
        )
        self.core = self.reducer.initial(Identity(name, name, "x", "x1", "x"))
        self.counters, self.picker = PoolRequestCounters(), VersionPicker()
        self.paused = False
        # Delays writes until `release`, like a thread that is paused before its call.
        self.hold_writes = False
        self.delayed_writes: list[WriteMoveStep] = []
        self.reports_lag_s = 0.0
        # A mute host publishes no reports of its requests.
        self.mute = False

    @property
    def moves(self) -> MovesState:
        return self.core.state_of(MovesState)

    def now_s(self) -> float:
        return self.fleet.now_s + self.offset_s

    def send(self, event: Event) -> None:
        self.core, effects = self.reducer.reduce(self.core, event)
        for effect in effects:
            self.perform(effect)

    def perform(self, effect) -> None:
        now_s, tables = self.now_s(), self.fleet.tables
        if isinstance(effect, ReadMoves):
            read = tables.read(effect.keys)
            if isinstance(read, RowsRead):
                self.send(MovesRead(now_s, now_s, read.rows))
            else:
                self.send(MovesReadFailed(now_s))
        elif isinstance(effect, WriteMoveStep) and self.hold_writes:
            self.delayed_writes.append(effect)
        elif isinstance(effect, WriteMoveStep):
            outcome = tables.transact(effect.transaction)
            self.send(MoveStepWriteFinished(now_s, effect.route, outcome))
        elif isinstance(effect, ReadHead):
            # Reports the outage at once, so that the next read need not time out.
            if tables.faults.down:
                self.send(HeadReadFailed(now_s, now_s, refused=True))
            elif not tables.faults.unreachable:
                self.send(HeadRead(now_s, now_s, self.fleet.version))

    def release(self) -> None:
        delayed, self.delayed_writes, self.hold_writes = self.delayed_writes, [], False
        for effect in delayed:
            self.perform(effect)

    def share(self) -> float:
        return self.moves.view.share_for(ROUTE, self.now_s())

    def grant_lease(self, fence: int, seconds: float) -> None:
        lease = LeaseState(fence, self.now_s() + seconds)
        self.send(LeaseSet(self.now_s(), lease))


class Fleet:
    """Several hosts; `serve` sends requests and `run` advances the time."""

    def __init__(self, hosts: int = 3, plan: MovePlan | None = PLAN) -> None:
        self.now_s = 0.0
        self.rng = random.Random(7)
        self.tables = RecordingTables()
        # Each host's clock has its own origin.
        self.hosts = [Host(self, f"h{n}", 1000.0 * n) for n in range(hosts)]
        self.error_rate = {"old": 0.0, "new": 0.0}
        self.latency_s = {"old": 0.02, "new": 0.02}
        # Time and host of each request to the new version.
        self.sent_new: list[tuple[float, str]] = []
        self.requests = 0
        self.fence = 0
        self.version = 0
        # Requests to each host.
        self.requests_per_step = 10
        self.edit(plan)

    def edit(self, plan: MovePlan | None, pool: str = "old") -> None:
        """Put a new configuration in force on every host."""
        self.version += 1
        route = Route(ROUTE, "o", "/r", pool, move=plan)
        config = Config(self.version, routes={ROUTE: route})
        for host in self.hosts:
            host.send(ConfigLoaded(host.now_s(), config, host.now_s()))

    def elect(self, index: int, seconds: float = 1e9) -> Host:
        """Make a host the controller, as if it had claimed the controller's row."""
        self.fence += 1
        host = self.hosts[index]
        transaction = Transaction(
            (), (Write(CONTROLLER_ROW_KEY, {"host": host.name, "fence": self.fence}),)
        )
        # The claim itself is not under test, so no fault applies to it.
        faults, self.tables.faults = self.tables.faults, Faults()
        committed = self.tables.transact(transaction)
        self.tables.faults = faults
        assert isinstance(committed, Committed)
        host.grant_lease(self.fence, seconds)
        election = MoveControllerChanged(
            host.now_s(), True, self.fence, committed.revision
        )
        host.send(election)
        return host

    def row(self) -> Row:
        read = self.tables.read((move_row_key(ROUTE),))
        assert not isinstance(read, Unavailable)
        return read.rows[0]

    def move(self) -> Move | None:
        return parse_move(self.row().value)

    def serve(self) -> None:
        for host in self.hosts:
            for _ in range(0 if host.paused else self.requests_per_step):
                new = host.picker.pick_new(ROUTE, host.share())
                pool = "new" if new else "old"
                self.requests += 1
                if new:
                    self.sent_new.append((self.now_s, host.name))
                failed = self.rng.random() < self.error_rate[pool]
                seconds = self.rng.uniform(0.5, 1.5) * self.latency_s[pool]
                host.counters.record(ROUTE, pool, failed, seconds)

    def receive_from_peers(self, host: Host) -> None:
        """Let a host receive the records of its running peers.

        A peer whose records stop arriving becomes suspect.
        """
        now_s = host.now_s()
        for peer in self.hosts:
            if peer is host or peer.paused:
                continue
            record = MemberRecord(
                peer.name, peer.name, int(self.now_s * 4), "y", "y1", "a", "a"
            )
            target = PeerTarget(peer.name, "")
            records = (SentRecord(record, 0.0, 1e9),)
            host.send(ExchangeAnswered(now_s, now_s, target, peer.name, records))

    def step(self) -> None:
        """Advance by 0.25 s."""
        self.now_s = round(self.now_s + 0.25, 6)
        # Peers are listed in another region than the store's, so each host confirms an
        # outage by its own report alone.
        listed = tuple(
            ListedHost(h.name, "", "", "y", "y1") for h in self.hosts if not h.paused
        )
        self.serve()
        for host in self.hosts:
            if not host.paused:
                host.send(HostsListed(host.now_s(), listed))
                self.receive_from_peers(host)
                host.send(Tick(host.now_s()))
        for host in self.hosts:
            if not host.paused and not host.mute and self.now_s % 0.5 == 0:
                self.publish(host)

    def publish(self, sender: Host) -> None:
        text = encode_report(sender.moves.report(sender.counters.totals()))
        report = decode_report(text)
        assert report is not None
        for host in self.hosts:
            if not host.paused:
                at_s = host.now_s() - sender.reports_lag_s
                event = HostReportReceived(
                    host.now_s(), sender.name, sender.name, at_s, report
                )
                host.send(event)

    def run(self, seconds: float, until=lambda: False) -> bool:
        """Advance the time; return whether `until` became true."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.step()
            if until():
                return True
        return False

    def run_to(self, state, seconds: float = 300.0) -> bool:
        return self.run(seconds, lambda: self.is_in(state))

    def is_in(self, state) -> bool:
        move = self.move()
        return move is not None and move.state is state


def with_plan(**changes) -> MovePlan:
    return replace(PLAN, **changes)
