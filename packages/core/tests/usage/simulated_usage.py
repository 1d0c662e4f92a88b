"""Hosts, store and platform in simulated time, with faults at each step.

Calls take time: a write can have its effect before, after or without its response. A
host can be killed or frozen between any two steps.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from random import Random

from cardamomquay.platform import Committed
from cardamomquay.platform import Conflicted
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey
from cardamomquay.platform import Unavailable
from cardamomquay.platform import make_revision
from cardamomquay.platform import revision_version
from cardamomquay.usage import FleetTime
from cardamomquay.usage import ReadRow
from cardamomquay.usage import ReporterEvent
from cardamomquay.usage import Send
from cardamomquay.usage import Step
from cardamomquay.usage import UsageBounds
from cardamomquay.usage import UsageReporter
from cardamomquay.usage import WindowCounts
from cardamomquay.usage import WriteRow

STEP_S = 0.05
MESSAGE_PERIOD_S = 0.5
EXCHANGE_LOSS = 0.1
STORE_TIMEOUT_S = 1.6
GONE_S = 15.0
THAW_S = 0.3
# Time from the last check of the right to send until the call arrives.
ARRIVAL_S = 0.15
KEY = RowKey("usage", "report")
BOUNDS = UsageBounds(window_s=2.0, late_s=10.0, lease_s=3.0)
START_S = 1_000_000.0


@dataclass(frozen=True)
class Call:
    """A call that arrived at the platform."""

    at_s: float
    host: str
    token: int
    window: int
    body: str
    is_exempt: bool


@dataclass
class Operation:
    """A call under way.

    Parameters
    ----------
    host, start : str and int
    step : ReadRow, WriteRow or Send
    began_s, effect_s, response_s : float
        The effect may come after the response, and the response may say that there was
        none.
    has_effect : bool
        False if the call does not arrive.
    is_answered : bool
    """

    host: str
    start: int
    step: Step
    began_s: float
    effect_s: float
    response_s: float
    has_effect: bool = True
    is_answered: bool = True
    is_done: bool = False
    result: object = None


@dataclass
class Store:
    """One row with version and era; other tables raise the version too."""

    era: int = 1
    version: int = 100
    row_version: int = 0
    value: dict[str, object] | None = None
    copies: list[tuple[int, int, dict[str, object] | None]] = field(
        default_factory=list
    )

    def read(self) -> tuple[int, Row]:
        row = Row(KEY, make_revision(self.era, self.row_version), self.value)
        return make_revision(self.era, self.version), row

    def write(self, write: WriteRow) -> Committed | Conflicted:
        # As the store's client does, the era of the version is not compared here: a
        # call that is under way when the store is restored meets reused versions.
        if revision_version(write.expected_version) != self.row_version:
            return Conflicted(())
        self.version += 1
        self.row_version = self.version
        self.value = write.row.to_value()
        return Committed(make_revision(self.era, self.version))

    def copy(self) -> None:
        self.copies.append((self.version, self.row_version, self.value))
        del self.copies[:-3]

    def restore(self, index: int) -> None:
        if self.copies:
            copy = self.copies[index % len(self.copies)]
            self.version, self.row_version, self.value = copy
            self.copies = []
            self.era += 1


class Host:
    """One start of a host."""

    def __init__(self, name: str, start: int, simulation: Simulation) -> None:
        self.name, self.start = name, start
        self.simulation = simulation
        # The steady clock has another origin on each host.
        self.origin_s = simulation.rng.uniform(0.0, 1000.0)
        self.clock_error_s = 0.0
        now_s = self.now_s()
        self.time = FleetTime(start)
        self.counts = WindowCounts(start)
        self.reporter = UsageReporter(name, start, self.counts, BOUNDS, now_s)
        self.is_frozen = False
        self.thawed_s = float("-inf")
        self.reaches_store = True
        self.reaches_platform = True
        self.reaches_hosts = True
        self.operation: Operation | None = None
        self.heard: dict[str, float] = {}
        self.known: dict[str, dict[int, int]] = {}
        self.first_window: int | None = None
        self.events: list[ReporterEvent] = []

    def now_s(self) -> float:
        return self.simulation.now_s - START_S + self.origin_s

    def true_s(self) -> float:
        return self.time.true_s(self.now_s())

    def window(self) -> int:
        return int(self.true_s() // BOUNDS.window_s)

    def rank(self) -> int | None:
        now_s = self.now_s()
        recent = [n for n, at in self.heard.items() if now_s - at < 6.0]
        known = [n for n, at in self.heard.items() if now_s - at < GONE_S]
        if 2 * (len(recent) + 1) <= len(known) + 1:
            return None
        live = [n for n, at in self.heard.items() if now_s - at < 3.0]
        return sorted([*live, self.name]).index(self.name)

    def host_count(self) -> int:
        """Return the number of hosts in the table of hosts, ended ones included."""
        return len(self.simulation.names)

    def update_time(self) -> None:
        now_s = self.now_s()
        wall_s = self.simulation.now_s + self.clock_error_s
        self.time.record_clock(self.start, wall_s, now_s)
        self.time.update(now_s)
        if self.first_window is None:
            self.first_window = self.window()
            self.counts.record_start(self.first_window)
            self.counts.own_first_window = self.first_window

    def hear(self, other: Host) -> None:
        """Apply a message of another host, as `UsageReports.apply` does."""
        now_s = self.now_s()
        self.time.record_clock(
            other.start, self.simulation.now_s + other.clock_error_s, now_s
        )
        known = other.known.get(self.name, {})
        for source in other.counts.known_versions():
            changes = other.counts.changes(source, known.get(source, 0), 50)
            if changes is not None:
                self.counts.apply(changes)
        assert other.first_window is not None
        self.counts.record_start(other.first_window)
        self.counts.record_heard(
            other.start,
            other.window(),
            other.counts.known_version(other.start),
            now_s,
        )
        self.reporter.apply_news(other.reporter.sent_through, now_s)
        self.reporter.record_statement(
            other.name, other.reporter.statement(other.true_s())
        )
        can_report = other.reporter.can_report(other.now_s())
        self.reporter.record_holder(other.name, can_report, now_s)
        for source, version in other.counts.known_versions().items():
            self.counts.record_known_elsewhere(source, version, now_s)
        self.heard[other.name] = now_s
        self.known[other.name] = other.counts.known_versions()


class Simulation:
    """Runs hosts against the store and the platform.

    Parameters
    ----------
    host_count : int
    seed : int
        For latencies, losses and counts.
    """

    def __init__(self, host_count: int, seed: int) -> None:
        self.rng = Random(seed)
        self.now_s = START_S + self.rng.uniform(0.0, 5.0)
        self.store = Store()
        self.calls: list[Call] = []
        self.operations: list[Operation] = []
        self.hosts: dict[str, Host] = {}
        self.names: set[str] = set()
        self.last_start = 0
        self.messages_due_s = self.now_s
        # Faults of the next calls, at any host.
        self.lost_responses = 0
        self.lost_calls = 0
        self.delayed_writes: list[float] = []
        # Share of calls with a fault each, and of messages that are lost.
        self.trouble = 0.0
        self.is_store_down = False
        self.is_platform_down = False
        for number in range(host_count):
            self.start(f"h{number}")

    def start(self, name: str) -> None:
        self.last_start += 1
        self.names.add(name)
        self.hosts[name] = Host(name, self.last_start, self)
        self.hosts[name].update_time()

    def kill(self, name: str) -> None:
        self.hosts.pop(name, None)

    def freeze(self, name: str) -> None:
        if name in self.hosts:
            self.hosts[name].is_frozen = True

    def thaw(self, name: str) -> None:
        host = self.hosts.get(name)
        if host is not None and host.is_frozen:
            host.is_frozen = False
            host.thawed_s = self.now_s

    def run(self, seconds: float) -> None:
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += STEP_S
            if self.now_s >= self.messages_due_s:
                self.messages_due_s += MESSAGE_PERIOD_S
                self._exchange()
            self._advance_operations()
            for host in sorted(self.hosts.values(), key=lambda host: host.name):
                if not host.is_frozen:
                    self._step(host)

    def holder(self) -> str | None:
        """Return the holder, if there is one.

        An earlier one that does not reach the store believes to be the holder too.
        """
        holders = [h for h in self.hosts.values() if h.reporter.is_holder]
        latest = max(holders, key=lambda host: host.reporter.token, default=None)
        return latest.name if latest is not None else None

    def _exchange(self) -> None:
        for host in self.hosts.values():
            if not host.is_frozen:
                host.update_time()
        for sender in self.hosts.values():
            for receiver in self.hosts.values():
                if (
                    sender is not receiver
                    and not sender.is_frozen
                    and not receiver.is_frozen
                    and sender.reaches_hosts
                    and receiver.reaches_hosts
                    and self.rng.random() >= EXCHANGE_LOSS + self.trouble
                ):
                    receiver.hear(sender)

    def _step(self, host: Host) -> None:
        if self.rng.random() < 0.3:
            host.counts.add(host.window(), "salsa")
        if host.operation is not None:
            return
        host.reporter.apply_era(self.store.era if host.reaches_store else 0)
        step = host.reporter.next_step(host.now_s(), host.true_s(), host.rank())
        if step is not None:
            self._begin(host, step)
        host.events += host.reporter.take_events()

    def _begin(self, host: Host, step: Step) -> None:
        effect_s = self.now_s + self.rng.uniform(0.0, 0.15)
        response_s = effect_s + self.rng.uniform(0.0, 0.15)
        operation = Operation(
            host.name, host.start, step, self.now_s, effect_s, response_s
        )
        is_send = isinstance(step, Send)
        reaches = host.reaches_platform if is_send else host.reaches_store
        is_down = self.is_platform_down if is_send else self.is_store_down
        if not reaches or is_down:
            operation.has_effect = operation.is_answered = False
        elif self.lost_calls:
            self.lost_calls -= 1
            operation.has_effect = operation.is_answered = False
        elif self.lost_responses:
            self.lost_responses -= 1
            operation.is_answered = False
        elif isinstance(step, WriteRow) and self.delayed_writes:
            operation.effect_s = self.now_s + self.delayed_writes.pop()
            operation.is_answered = False
        elif self.rng.random() < self.trouble:
            operation.is_answered = False
            operation.has_effect = self.rng.random() < 0.7
            if isinstance(step, WriteRow) and self.rng.random() < 0.5:
                operation.effect_s += self.rng.uniform(0.5, 8.0)
        if not operation.is_answered:
            operation.response_s = self.now_s + STORE_TIMEOUT_S
            if isinstance(step, Send):
                operation.response_s = self.now_s + step.until_s - host.now_s()
        host.operation = operation
        self.operations.append(operation)

    def _advance_operations(self) -> None:
        for operation in tuple(self.operations):
            host = self.hosts.get(operation.host)
            if host is not None and host.start != operation.start:
                host = None
            if not operation.is_done and self.now_s >= operation.effect_s:
                self._apply_effect(operation, host)
            if self.now_s < operation.response_s:
                continue
            if host is None:
                # A delayed write takes effect after its host has ended.
                if operation.is_done or isinstance(operation.step, Send):
                    self.operations.remove(operation)
                continue
            if host.is_frozen:
                continue
            if host.operation is operation:
                host.operation = None
                self._respond(operation, host)
            if operation.is_done or isinstance(operation.step, Send):
                self.operations.remove(operation)

    def _apply_effect(self, operation: Operation, host: Host | None) -> None:
        step = operation.step
        if isinstance(step, Send):
            self._send(operation, step, host)
            return
        operation.is_done = True
        if not operation.has_effect:
            return
        if isinstance(step, WriteRow):
            operation.result = self.store.write(step)
        else:
            operation.result = self.store.read()

    def _send(self, operation: Operation, step: Send, host: Host | None) -> None:
        """Check the right to send when the connection is open, and send.

        A host that is frozen between the two sends when it is thawed, within `THAW_S`.
        """
        if host is None:
            operation.is_done = True
            return
        if operation.result is None:
            if host.is_frozen:
                return
            if not host.reporter.may_send(step, host.now_s()):
                operation.is_done = True
                operation.result = "abandoned"
                operation.response_s = self.now_s
                return
            operation.result = "checked"
            operation.effect_s = self.now_s + self.rng.uniform(0.0, ARRIVAL_S)
            operation.response_s = max(operation.response_s, operation.effect_s)
            return
        # The bytes may have left just before, or leave at the thaw.
        if host.is_frozen and self.rng.random() < 0.9:
            return
        operation.is_done = True
        if operation.has_effect:
            is_exempt = self.now_s - host.thawed_s <= THAW_S
            self.calls.append(
                Call(
                    self.now_s,
                    host.name,
                    step.token,
                    step.window,
                    step.body,
                    is_exempt,
                )
            )

    def _respond(self, operation: Operation, host: Host) -> None:
        step, reporter = operation.step, host.reporter
        now_s, true_s = host.now_s(), host.true_s()
        began_s = now_s - (self.now_s - operation.began_s)
        if isinstance(step, Send):
            if operation.result == "abandoned":
                return
            status = 200 if operation.is_answered and operation.is_done else None
            reporter.on_sent(step, status, now_s, true_s)
            return
        if not operation.is_answered or operation.result is None:
            if isinstance(step, ReadRow):
                reporter.on_store_failure(now_s)
            else:
                reporter.on_written(
                    step,
                    Unavailable("no_answer", may_have_committed=True),
                    began_s,
                    now_s,
                )
            return
        if isinstance(step, ReadRow):
            assert isinstance(operation.result, tuple)
            revision, row = operation.result
            found = row if revision_version(row.version) else None
            write = reporter.on_read(
                revision,
                found,
                began_s,
                now_s,
                true_s,
                host.rank(),
                host.host_count(),
            )
            if write is not None:
                self._begin(host, write)
            return
        assert isinstance(operation.result, (Committed, Conflicted))
        reporter.on_written(step, operation.result, began_s, now_s)

    def violations(self) -> list[str]:
        """Return violations of the rules that hold in spite of faults."""
        found = []
        bodies: dict[int, str] = {}
        hosts: dict[int, str] = {}
        highest = 0
        for call in self.calls:
            if bodies.setdefault(call.window, call.body) != call.body:
                found.append(f"two bodies of window {call.window}")
            if hosts.setdefault(call.token, call.host) != call.host:
                found.append(f"token {call.token} used by two hosts")
            if call.token < highest and not call.is_exempt:
                found.append(f"token {call.token} after {highest}")
            highest = max(highest, call.token)
        counted = [call for call in self.calls if not call.is_exempt]
        last_s: dict[str, float] = {}
        for before, call in zip([None, *counted], counted, strict=False):
            if before is not None and before.host != call.host:
                gap_s = call.at_s - last_s.get(call.host, float("-inf"))
                if gap_s < BOUNDS.lease_s:
                    found.append(f"{call.host} again after {gap_s:.2f} s")
            last_s[call.host] = call.at_s
        return found

    def unreported(self, begin_s: float, end_s: float) -> list[str]:
        """Return windows between two times that were not reported in time."""
        first: dict[int, float] = {}
        for call in self.calls:
            first.setdefault(call.window, call.at_s)
        found = []
        window = int(begin_s // BOUNDS.window_s) + 1
        while (window + 1) * BOUNDS.window_s + BOUNDS.late_s <= end_s:
            due_s = (window + 1) * BOUNDS.window_s + BOUNDS.late_s
            at_s = first.get(window)
            if at_s is None or at_s > due_s:
                found.append(f"window {window} due at {due_s:.1f}, reported {at_s}")
            window += 1
        return found

    def heal(self) -> None:
        """End all faults and start all hosts."""
        self.is_store_down = self.is_platform_down = False
        self.lost_responses = self.lost_calls = 0
        self.trouble = 0.0
        self.delayed_writes.clear()
        for host in self.hosts.values():
            host.reaches_store = host.reaches_platform = host.reaches_hosts = True
            self.thaw(host.name)
