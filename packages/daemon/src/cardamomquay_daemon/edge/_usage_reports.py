"""Counts attempts by window, shares the counts with other hosts and reports them.

This is the duty `metering` of the platform. The totals of requests that hosts compare
with quotas are in `_usage_totals`.

Load pattern: each host sends its counts to the hosts that collect them once or twice a
second. In a small fleet all hosts collect; in a large one the first live host of each
availability zone does. A collector answers with the version up to which it has the
sender's counts, and collectors send each other what the other one lacks.
"""

from __future__ import annotations

import asyncio
import math
import time
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any

import h11
import msgspec

from cardamomquay.fleet import HostPhase
from cardamomquay.placement import rendezvous_hash
from cardamomquay.platform import Condition
from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Unavailable
from cardamomquay.platform import Write
from cardamomquay.platform import revision_era
from cardamomquay.usage import FleetTime
from cardamomquay.usage import ReadRow
from cardamomquay.usage import ReporterEventKind
from cardamomquay.usage import Send
from cardamomquay.usage import SourceChanges
from cardamomquay.usage import Statement
from cardamomquay.usage import UsageReporter
from cardamomquay.usage import WindowCounts
from cardamomquay.usage import WindowEntry
from cardamomquay_daemon.edge._events import USAGE_HOLDER_CHANGED
from cardamomquay_daemon.edge._events import USAGE_MISSED
from cardamomquay_daemon.edge._events import USAGE_REFUSED
from cardamomquay_daemon.edge._events import USAGE_REPORTED
from cardamomquay_daemon.edge._http_client import ExchangeError
from cardamomquay_daemon.edge._http_client import HttpConnection

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from cardamomquay.clock import Clock
    from cardamomquay.fleet import FleetView
    from cardamomquay.fleet import Peer
    from cardamomquay.usage import Step
    from cardamomquay.usage import WriteRow
    from cardamomquay_daemon.edge._http_client import HttpAnswer
    from cardamomquay_daemon.edge._platform_store import PlatformStore
    from cardamomquay_daemon.edge._settings import UsageSettings
    from cardamomquay_daemon.edge._state import HostState
    from cardamomquay_daemon.edge._telemetry import EdgeTelemetry

USAGE_TABLE = "usage"
USAGE_KEY = "report"
# Period of sending counts. Those since the last message are lost if a host is killed.
SMALL_FLEET_PERIOD_S = 0.5
LARGE_FLEET_PERIOD_S = 1.0
# Hosts of a large fleet that do not collect themselves send to collectors of other
# regions only this often, since bytes between regions are dear. The collectors of their
# own region forward what they have sent there last, should they be killed.
OTHER_REGION_PERIOD_S = 2.0
# Time from a report to the platform until the others are told.
NEWS_SPACING_S = 0.2
# Period of asking for the next step.
STEP_PERIOD_S = 0.1
# The holder stays a collector until it has not been heard for this time.
HOLDER_HEARD_S = 3.0
# Counts in one datagram, of about 10 bytes each; more go into further datagrams.
COUNTS_PER_MESSAGE = 100
# Datagrams to one host in a period. The rest follows in the next ones.
MESSAGES_MAX = 4
# Counts of other hosts are sent on only if the receiver still lacks them after this
# time, since it gets them from the hosts themselves.
FORWARD_AFTER_S = 2.5
# A host that begins to collect has the counts of the others after this time: two
# periods and `FORWARD_AFTER_S`.
COLLECT_S = 5.0
# Windows whose counts are kept while nothing can be reported: ten minutes of 5 s.
KEPT_WINDOWS_MAX = 120
# Hosts that reported in this time and do not leave are counted when a host judges
# whether it hears most of the others. It is longer than most partitions.
KNOWN_HOST_S = 60.0
CONNECT_TIMEOUT_S = 0.6
# From the end of a window, requests are moved out of it for this time. It is agreed
# half a second later, when the change has reached the collectors of a small fleet.
MOVE_TIME_S = 1.0
# A call is abandoned without a response after this time, before others take over.
RESPONSE_TIME_MAX_S = 3.0
# The right to send is renewed so long before its end; the store answers in 0.5 s when
# it is slow.
RENEWAL_LEAD_S = 0.8
RESPONSE_POLL_S = 0.1


class UsageMessage(msgspec.Struct, array_like=True):
    """What hosts tell each other about usage, in a datagram of its own.

    Parameters
    ----------
    source : int
        Identifier of the sender's start.
    first_window, present_window : int
        Windows in which the sender started, and in which it is now.
    version : int
        Version of the sender's latest own entry.
    clock_ms : int
        The sender's own time of day, in milliseconds since the start of 1970.
    true_ms, clock_count : int
        Its estimate of the true time, and the number of clocks behind it.
    sent_through : int
        Last window that is known to be reported or given up, -1 if none is.
    is_holder : bool
        Whether the sender is the holder and can report.
    era, written_through : int
        See `cardamomquay.usage.Statement`.
    known : list of int
        Alternating source and version up to which the sender has its entries.
    changes : list
        Entries by source: source, version after which and up to which they are
        complete, and for each entry window, version and counts by organisation.
    """

    source: int
    first_window: int
    present_window: int
    version: int
    clock_ms: int
    true_ms: int
    clock_count: Annotated[int, msgspec.Meta(ge=0)]
    sent_through: int
    is_holder: bool
    era: int
    written_through: int
    known: list[int]
    changes: list[tuple[int, int, int, list[tuple[int, int, dict[str, int]]]]] = []


@dataclass
class _Heard:
    """What is known of a host that sends usage messages.

    Parameters
    ----------
    source : int
    heard_s : float
    known : dict of int to int
        Versions up to which the host has the entries of each source.
    answered_s : float
        Time of the last answer to its messages.
    """

    source: int
    heard_s: float
    known: dict[int, int]
    answered_s: float = -math.inf


class UsageReports:
    """Counts attempts, shares the counts, and reports windows as the holder.

    Parameters
    ----------
    settings : UsageSettings
    fleet : FleetView
    state : HostState
    platform : PlatformStore
    clock : Clock
    telemetry : EdgeTelemetry
    start : int
        Random identifier of this start.
    send : callable
        Sends a message to a peer.
    time_of_day : callable
        Returns the host's own time of day in seconds since the start of 1970.
    """

    def __init__(
        self,
        settings: UsageSettings,
        fleet: FleetView,
        state: HostState,
        platform: PlatformStore,
        clock: Clock,
        telemetry: EdgeTelemetry,
        start: int,
        send: Callable[[Peer, Any], None],
        time_of_day: Callable[[], float] = time.time,
    ) -> None:
        self._settings = settings
        self._window_s = settings.bounds.window_s
        self._fleet = fleet
        self._state = state
        self._platform = platform
        self._clock = clock
        self._telemetry = telemetry
        self._start = start
        self._send = send
        self._time_of_day = time_of_day
        self._time = FleetTime(start)
        self._counts = WindowCounts(start)
        self._reporter = UsageReporter(
            fleet.own.name, start, self._counts, settings.bounds, clock.now_s()
        )
        self._heard: dict[str, _Heard] = {}
        # Time of the last message to each collector of another region.
        self._sent_s: dict[str, float] = {}
        # Version of a source that a peer lacked, and since when, by peer and source.
        self._lacked: dict[tuple[str, int], tuple[int, float]] = {}
        self._first_window: int | None = None
        self._collector_since_s = math.inf
        # Name of the host that last said that it is the holder, and when it did.
        self._holder = ("", -math.inf)
        self._news = asyncio.Event()

    def count_begun(self, organisation: str, at_s: float) -> int:
        """Count a request that an upstream begins to run; return its window.

        Parameters
        ----------
        organisation : str
        at_s : float
            Time on the host's clock.
        """
        window = self._window(at_s)
        self._counts.add(window, organisation)
        return window

    def count_not_run(self, organisation: str, window: int) -> None:
        """Take back a request that was counted and did not run."""
        self._counts.add(window, organisation, -1)

    def move(self, organisation: str, window: int, begun_s: float) -> None:
        """Count a request in the window in which it began, if that is a later one.

        Parameters
        ----------
        organisation : str
        window : int
            Window in which it was counted. It stays there if that may be agreed.
        begun_s : float
            Time on the host's clock.
        """
        begun_window = self._window(begun_s)
        ended_s = (window + 1) * self._window_s
        is_open = self._time.true_s(self._clock.now_s()) - ended_s < MOVE_TIME_S
        if begun_window > window and is_open:
            self._counts.add(window, organisation, -1)
            self._counts.add(begun_window, organisation)

    def _window(self, at_s: float) -> int:
        if not self._time.is_known:
            self._time.record_clock(self._start, self._time_of_day(), at_s)
            self._time.update(at_s)
        return int(self._time.true_s(at_s) // self._window_s)

    async def exchange(self) -> None:
        """Send messages to other hosts until cancelled."""
        while True:
            self.send_messages()
            period_s = (
                LARGE_FLEET_PERIOD_S if self._fleet.is_large else SMALL_FLEET_PERIOD_S
            )
            with suppress(TimeoutError):
                async with asyncio.timeout(period_s - NEWS_SPACING_S):
                    await self._news.wait()
            # A host that catches up reports several windows in this time.
            await asyncio.sleep(NEWS_SPACING_S)
            self._news.clear()

    async def report(self) -> None:
        """Take part in the reports to the platform until cancelled."""
        while True:
            if not await self.take_step():
                await asyncio.sleep(STEP_PERIOD_S)

    async def take_step(self) -> bool:
        """Make the next call that is due; return False if there is none."""
        now_s = self._clock.now_s()
        state = self._state
        revision = max(state.orders_revision, state.latest_order_revision)
        self._reporter.apply_era(revision_era(revision))
        true_s = self._time.true_s(now_s)
        step = self._reporter.next_step(now_s, true_s, self._rank(now_s))
        if step is not None:
            await self._carry_out(step)
        self._log_events()
        return step is not None

    def send_messages(self) -> None:
        """Send this host's counts, and what collectors lack."""
        now_s = self._clock.now_s()
        self._time.record_clock(self._start, self._time_of_day(), now_s)
        self._time.update(now_s)
        present = self._window(now_s)
        if self._first_window is None:
            self._first_window = self._counts.own_first_window = present
            self._counts.record_start(present)
        self._counts.drop_before(present - KEPT_WINDOWS_MAX)
        collectors = self._collectors(now_s)
        is_collector = self._fleet.own.name in collectors
        for peer in self._fleet.peers.values():
            name = peer.record.name
            heard = self._heard.get(name)
            if name in collectors:
                if is_collector or self._is_due(peer, now_s):
                    self._send_to(peer, now_s, is_collector=is_collector)
            elif heard is not None and heard.answered_s < heard.heard_s:
                heard.answered_s = now_s
                self._send_answer(peer, now_s)

    def _is_due(self, peer: Peer, now_s: float) -> bool:
        """Return whether a collector gets this host's counts now."""
        is_near = peer.record.region == self._fleet.own.region
        if is_near or not self._fleet.is_large:
            return True
        # Half a period of tolerance, since the period is a multiple of the other one.
        left_s = OTHER_REGION_PERIOD_S - LARGE_FLEET_PERIOD_S / 2.0
        if now_s - self._sent_s.get(peer.record.name, -math.inf) < left_s:
            return False
        self._sent_s[peer.record.name] = now_s
        return True

    def apply(self, peer: Peer | None, payload: Any) -> None:
        """Apply a message of another host."""
        try:
            message = msgspec.convert(payload, UsageMessage)
        except msgspec.ValidationError:
            self._telemetry.count("usage.malformed")
            return
        now_s = self._clock.now_s()
        source = message.source
        if source == self._start:
            return
        self._time.record_clock(source, message.clock_ms / 1000.0, now_s)
        if message.clock_count:
            self._time.record_estimate(
                source, message.true_ms / 1000.0, message.clock_count, now_s
            )
        for changed, after, up_to, entries in message.changes:
            self._counts.apply(
                SourceChanges(
                    changed,
                    after,
                    up_to,
                    tuple(WindowEntry(*entry) for entry in entries),
                )
            )
        self._counts.record_start(message.first_window)
        self._counts.record_heard(
            source, message.present_window, message.version, now_s
        )
        self._reporter.apply_news(message.sent_through, now_s)
        if peer is None:
            return
        statement = Statement(
            message.era,
            message.true_ms / 1000.0,
            message.written_through,
            message.first_window,
        )
        self._reporter.record_statement(peer.record.name, statement)
        self._reporter.record_holder(peer.record.name, message.is_holder, now_s)
        if message.is_holder:
            self._holder = (peer.record.name, now_s)
        known = dict(zip(message.known[::2], message.known[1::2], strict=False))
        heard = self._heard.get(peer.record.name)
        for listed, version in known.items():
            self._counts.record_known_elsewhere(listed, version, now_s)
        if heard is not None and heard.source == source:
            heard.heard_s = now_s
            heard.known.update(known)
        else:
            self._heard[peer.record.name] = _Heard(source, now_s, known)

    def _collectors(self, now_s: float) -> set[str]:
        """Return the names of the hosts that collect all counts."""
        live = self._fleet.live(now_s)
        records = [(peer.phase, peer.record) for peer in live]
        records.append((self._fleet.own_phase, self._fleet.own))
        if not self._fleet.is_large:
            return {record.name for _, record in records}
        best: dict[str, tuple[bool, int, str]] = {}
        for phase, record in records:
            rank = (
                phase is HostPhase.READY,
                rendezvous_hash(record.zone, record.name),
                record.name,
            )
            best[record.zone] = max(rank, best.get(record.zone, rank))
        collectors = {name for _, _, name in best.values()}
        # The holder stays one if a host of a higher rank starts.
        holder, heard_s = self._holder
        if now_s - heard_s < HOLDER_HEARD_S:
            collectors.add(holder)
        if self._reporter.is_holder:
            collectors.add(self._fleet.own.name)
        return collectors

    def _rank(self, now_s: float) -> int | None:
        """Return the number of hosts that take over before this one.

        A host that hears only half of the others or fewer would report part of the
        counts, so it must not.
        """
        own = self._fleet.own.name
        collectors = self._collectors(now_s)
        if own not in collectors:
            self._collector_since_s = math.inf
            return None
        self._collector_since_s = min(self._collector_since_s, now_s)
        has_collected = now_s - self._collector_since_s >= COLLECT_S
        known = 1 + sum(
            peer.phase is not HostPhase.LEAVING
            and now_s - peer.last_report_s < KNOWN_HOST_S
            for peer in self._fleet.peers.values()
        )
        hears_most = 2 * self._time.heard_clocks() > known
        if not has_collected or not hears_most or self._state.is_stopping:
            return None
        return sorted(collectors).index(own)

    def _message(
        self, now_s: float, known: list[int], changes: list[SourceChanges]
    ) -> UsageMessage:
        statement = self._reporter.statement(self._time.true_s(now_s))
        return UsageMessage(
            self._start,
            self._first_window or 0,
            self._window(now_s),
            self._counts.known_version(self._start),
            int(self._time_of_day() * 1000),
            int(self._time.true_s(now_s) * 1000),
            self._time.clock_count,
            self._reporter.sent_through,
            # While it stops, the others need not wait for it.
            self._reporter.can_report(now_s) and not self._state.is_stopping,
            statement.era,
            statement.written_through,
            known,
            [
                (
                    change.source,
                    change.after,
                    change.up_to,
                    [(e.window, e.version, e.counts) for e in change.entries],
                )
                for change in changes
            ],
        )

    def _send_answer(self, peer: Peer, now_s: float) -> None:
        source = self._heard[peer.record.name].source
        known = [source, self._counts.known_version(source)]
        self._send(peer, self._message(now_s, known, []))

    def _send_to(self, peer: Peer, now_s: float, *, is_collector: bool) -> None:
        """Send a collector its share: own counts, and those of others that it lacks."""
        heard = self._heard.get(peer.record.name)
        known = heard.known if heard is not None else {}
        own_known = self._counts.known_versions()
        listed: list[int] = []
        if heard is not None:
            listed += (heard.source, self._counts.known_version(heard.source))
        if is_collector:
            for source, version in own_known.items():
                listed += (source, version)
        after = {self._start: known.get(self._start, 0)}
        if is_collector and heard is not None:
            after |= self._lacking(peer.record.name, heard, own_known, now_s)
        for number in range(MESSAGES_MAX):
            changes: list[SourceChanges] = []
            left = COUNTS_PER_MESSAGE
            for source, version in after.items():
                if left <= 0:
                    break
                change = self._counts.changes(source, version, left)
                if change is not None:
                    changes.append(change)
                    after[source] = change.up_to
                    left -= sum(len(entry.counts) for entry in change.entries)
            if number and not changes:
                break
            self._send(peer, self._message(now_s, listed, changes))
            listed = []

    def _lacking(
        self, name: str, heard: _Heard, own_known: dict[int, int], now_s: float
    ) -> dict[int, int]:
        """Return the sources of which a collector lacks entries for some time."""
        after = {}
        for key in [key for key in self._lacked if key[1] not in own_known]:
            del self._lacked[key]
        for source, version in own_known.items():
            if source in (self._start, heard.source):
                continue
            theirs = heard.known.get(source, 0)
            lacked, since_s = self._lacked.get((name, source), (0, now_s))
            if theirs >= lacked:
                # The version of a host that runs rises all the time.
                self._lacked[(name, source)] = (version, now_s)
            elif now_s - since_s >= FORWARD_AFTER_S:
                after[source] = theirs
        return after

    async def _carry_out(self, step: Step) -> None:
        if isinstance(step, ReadRow):
            await self._read()
        elif isinstance(step, Send):
            await self._report(step)
        else:
            await self._write(step)

    async def _read(self) -> None:
        self._telemetry.count("usage.store_calls")
        began_s = self._clock.now_s()
        result = await self._platform.scan(USAGE_TABLE)
        now_s = self._clock.now_s()
        if isinstance(result, Unavailable):
            self._reporter.on_store_failure(now_s)
            return
        row = next((row for row in result.rows if row.key.key == USAGE_KEY), None)
        write = self._reporter.on_read(
            result.revision,
            row,
            began_s,
            now_s,
            self._time.true_s(now_s),
            self._rank(now_s),
            # Hosts that have ended too: they may have agreed a body before.
            len(self._fleet.peers) + 1,
        )
        if write is not None:
            await self._write(write)

    async def _write(self, write: WriteRow) -> None:
        self._telemetry.count("usage.store_calls")
        key = RowKey(USAGE_TABLE, USAGE_KEY)
        began_s = self._clock.now_s()
        result = await self._platform.transact(
            Transaction(
                (Condition(key, write.expected_version),),
                (Write(key, write.row.to_value()),),
            )
        )
        self._reporter.on_written(write, result, began_s, self._clock.now_s())

    async def _report(self, send: Send) -> None:
        """Send a report on a connection of its own, which is closed in any case."""
        self._telemetry.count("usage.platform_calls")
        status: int | None = None
        address = self._settings.address
        body = send.body.encode()
        request = h11.Request(
            method=b"POST",
            target=self._settings.path,
            headers=[
                (b"host", f"{address[0]}:{address[1]}".encode()),
                (b"content-type", b"application/json"),
                (b"content-length", b"%d" % len(body)),
                (self._settings.holder_header, self._fleet.own.name.encode()),
                (self._settings.token_header, b"%d" % send.token),
            ],
        )
        try:
            conn = await HttpConnection.open(address, CONNECT_TIMEOUT_S)
        except ExchangeError:
            conn = None
        if conn is not None:
            try:
                now_s = self._clock.now_s()
                if not self._reporter.may_send(send, now_s):
                    return
                status = await self._wait_for_status(send, conn.exchange(request, body))
            except ExchangeError:
                # It may have been received; the same bytes are sent again.
                pass
            finally:
                conn.close()
        now_s = self._clock.now_s()
        self._reporter.on_sent(send, status, now_s, self._time.true_s(now_s))
        # Others take over if they do not hear of the report.
        self._news.set()

    async def _wait_for_status(
        self, send: Send, exchange: Coroutine[Any, Any, HttpAnswer]
    ) -> int | None:
        """Return the status of the platform's response, None if it takes too long.

        While the platform is slow, the right to send is renewed by reading the row.
        Without that the call is abandoned.
        """
        task = asyncio.create_task(exchange)
        until_s = send.until_s
        abandoned_s = self._clock.now_s() + RESPONSE_TIME_MAX_S
        try:
            while True:
                # The event loop's clock stops while the machine is frozen, so its
                # timers alone would end the call too late.
                await asyncio.wait({task}, timeout=RESPONSE_POLL_S)
                if task.done():
                    return task.result().status
                now_s = self._clock.now_s()
                if now_s >= abandoned_s:
                    return None
                if until_s - now_s <= RENEWAL_LEAD_S:
                    with suppress(TimeoutError):
                        async with asyncio.timeout(max(0.0, until_s - now_s)):
                            await self._read()
                    until_s = self._reporter.may_send_until_s(send)
                    if until_s - self._clock.now_s() <= RENEWAL_LEAD_S:
                        return task.result().status if task.done() else None
        finally:
            task.cancel()

    def _log_events(self) -> None:
        for event in self._reporter.take_events():
            if event.kind is ReporterEventKind.HOLDER_CHANGED:
                self._telemetry.count("usage.holder_changes")
                self._telemetry.log(
                    USAGE_HOLDER_CHANGED,
                    token=event.token,
                    cause=event.cause,
                    window=event.window,
                    clocks=self._time.clock_count,
                )
            elif event.kind is ReporterEventKind.MISSED:
                self._telemetry.count("usage.windows_missed", event.number)
                self._telemetry.log(
                    USAGE_MISSED,
                    window=event.window,
                    windows=event.number,
                    token=event.token,
                )
            else:
                is_reported = event.kind is ReporterEventKind.REPORTED
                if is_reported:
                    self._telemetry.count("usage.windows_reported")
                    if event.late_s > self._settings.bounds.late_s:
                        self._telemetry.count("usage.windows_late")
                else:
                    self._telemetry.count("usage.platform_failed")
                self._telemetry.log(
                    USAGE_REPORTED if is_reported else USAGE_REFUSED,
                    window=event.window,
                    token=event.token,
                    cause=event.cause,
                    after_end_s=round(event.late_s, 2),
                    clocks=self._time.clock_count,
                )
