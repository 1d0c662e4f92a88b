"""Decides who reports usage, which bodies are agreed, and when a host may send."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING

from cardamomquay.platform import Committed
from cardamomquay.platform import Unavailable
from cardamomquay.platform import revision_era
from cardamomquay.usage._row import UsageRow
from cardamomquay.usage._row import encode_body
from cardamomquay.usage._row import token_of

if TYPE_CHECKING:
    from cardamomquay.platform import Conflicted
    from cardamomquay.platform import Row
    from cardamomquay.usage._window_counts import WindowCounts

# From the end of a window until its body is agreed: two reports of counts between hosts
# in a small fleet and one in a large one, and the answers of requests that upstreams
# reject.
SETTLE_S = 1.5
# A host may send for this long after the beginning of the call to the store that showed
# that it is the holder. Longer would lengthen the pause after a change of the holder;
# shorter would abandon calls that a slow platform still answers.
RIGHT_S = 2.0
# A send is not begun with less time left; the platform answers in some milliseconds.
SEND_TIME_MIN_S = 0.3
# Time for the last call of an earlier holder to arrive, 35 ms between regions.
ARRIVAL_S = 0.2
# A body is agreed without the counts of a host that is not heard, from this time after
# the end of the window on. A host that was killed is not heard either.
PARTIAL_S = 4.5
# Another host looks at the row if a window is not reported so long after it was due.
# The holder needs two calls, and reports between hosts take up to 1 s.
TAKEOVER_S = 2.2
# Added while the holder is heard, since it may wait until `PARTIAL_S`.
HOLDER_HEARD_TAKEOVER_S = 2.0
# The holder reports to the others at least once a second.
HOLDER_SILENT_S = 2.5
# Candidates look one after the other, so that the first one's news reaches the others.
RANK_DELAY_S = 1.0
# A new holder gets this time, beside the pause before it sends, until it is replaced.
TERM_MIN_S = 4.0
# A host that has just started first learns the counts of the others.
JOIN_S = 3.0
# Windows that may be agreed and not sent at the same time; a body of 87 organisations
# has about 1.4 KB.
BODIES_MAX = 8
# Agreed bodies that a host remembers, to write them again after the store was restored.
REMEMBERED_MAX = 24
# In a restored store, windows that were due before this point may have been agreed by a
# host whose time of day is ahead by less.
TIME_OFF_MAX_S = 1.0
# A host that recovers the row waits for so long for what the others have agreed; they
# send messages each second, and those of the next second count.
RECOVERY_WAIT_S = 3.0
RECOVERY_POLL_S = 0.5
# Delay before a call to the store or to the platform is repeated, doubled up to the
# second value.
RETRY_DELAY_MIN_S = 0.25
RETRY_DELAY_MAX_S = 2.0
# A body that the platform refuses with another status than 429 is given up after this
# many calls; it would hold up the windows after it.
REFUSALS_MAX = 5
# Share of the platform's rate limit that one holder uses, since two may send during a
# change.
DUTY_SHARE = 0.4
HTTP_OK = 200
HTTP_TOO_MANY = 429
SERVER_ERROR_STATUS_MIN = 500


@dataclass(frozen=True, slots=True)
class UsageBounds:
    """Bounds of usage reports.

    Parameters
    ----------
    window_s : float
        Length of a window in seconds.
    late_s : float
        Time after the end of a window within which it has to be reported, in seconds.
    lease_s : float
        Time in which holders must not follow each other in the order A, B, A, in
        seconds.
    require_fencing : bool
        Whether the platform rejects calls with a lower token than an earlier one.
    duty_per_s : float
        Calls that the platform accepts from all hosts together, per second.
    """

    window_s: float = 5.0
    late_s: float = 10.0
    lease_s: float = 3.0
    require_fencing: bool = False
    duty_per_s: float = 50.0

    @property
    def pause_s(self) -> float:
        """Time from the beginning of a term until its first call to the platform.

        An earlier holder may send until `RIGHT_S` after the change. For holders A, B, A
        the last call of the first term and the first call of the third are apart by at
        least twice the difference of the pause and `RIGHT_S`.
        """
        if self.require_fencing:
            return 0.0
        return RIGHT_S + self.lease_s / 2.0 + ARRIVAL_S


class ReporterEventKind(Enum):
    """Kind of a `ReporterEvent`."""

    HOLDER_CHANGED = "holder_changed"
    REPORTED = "reported"
    REFUSED = "refused"
    MISSED = "missed"


@dataclass(frozen=True, slots=True)
class ReporterEvent:
    """Something to log and to count.

    Parameters
    ----------
    kind : ReporterEventKind
    window, number : int
        First window concerned, and number of windows.
    token : int
    cause : str
    late_s : float
        For a report, the time since the end of its window, in seconds.
    """

    kind: ReporterEventKind
    window: int
    number: int = 1
    token: int = 0
    cause: str = ""
    late_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the row."""


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Write the row if it still has the given version; 0 if it must not exist."""

    expected_version: int
    row: UsageRow


@dataclass(frozen=True, slots=True)
class Send:
    """Send the report of a window; the call must end by `until_s`."""

    window: int
    body: str
    token: int
    until_s: float


Step = ReadRow | WriteRow | Send


@dataclass(frozen=True, slots=True)
class Statement:
    """What a host says of its own writes, for a host that recovers the row.

    Parameters
    ----------
    era : int
        Latest era of the store that it knows; it trusts no response of an earlier one.
    true_s : float
        When it said so, in its estimate of true time.
    written_through : int
        Last window in any row that it has tried to write, -1 without any.
    first_window : int
        Window in which it started.
    """

    era: int
    true_s: float
    written_through: int
    first_window: int


class UsageReporter:
    """Takes part in the election, and reports windows while this host is the holder.

    The caller asks for the next step, carries it out and returns the result. Time is
    that of the host's steady clock, which also runs while the machine is suspended.
    True time is the time of day that most hosts agree on.

    Parameters
    ----------
    host : str
    start : int
        Identifier of this start of the host, which no other process has.
    counts : WindowCounts
    bounds : UsageBounds
    now_s : float
    """

    def __init__(
        self,
        host: str,
        start: int,
        counts: WindowCounts,
        bounds: UsageBounds,
        now_s: float,
    ) -> None:
        self._host = host
        self._start = start
        self._counts = counts
        self._bounds = bounds
        self._started_s = now_s
        self._events: list[ReporterEvent] = []
        # The row as it was last read or written, its revision, and whether its content
        # is from the present era.
        self._row: UsageRow | None = None
        self._revision = 0
        self._is_trusted = False
        self._era = 0
        self._must_read = False
        self._token = 0
        self._right_until_s = -math.inf
        self._send_from_s = math.inf
        # Windows up to this one are reported or given up; -1 if that is not known.
        self._sent_through = -1
        self._sent: set[int] = set()
        self._agreed: dict[int, str] = {}
        self._refusals = 0
        self._store_call_s = -math.inf
        self._store_delay_s = RETRY_DELAY_MIN_S
        self._send_call_s = -math.inf
        self._send_delay_s = RETRY_DELAY_MIN_S
        self._statements: dict[str, Statement] = {}
        self._written_through = -1
        # True time at which an untrusted row was first read.
        self._recovery_s: float | None = None
        self._heard_holder = ""
        self._holder_heard_s = -math.inf
        self._progress_s = -math.inf

    @property
    def is_holder(self) -> bool:
        """Whether this host was the holder when it last called the store."""
        row = self._row
        return self._is_trusted and row is not None and row.start == self._start

    @property
    def token(self) -> int:
        """Token of this host's term, 0 if it is not the holder."""
        return self._token

    def can_report(self, now_s: float) -> bool:
        """Whether this host is the holder, and store and platform answer it.

        The others need not wait for a holder that cannot report.
        """
        confirmed_s = self._right_until_s - RIGHT_S
        # One call to the platform may be lost; the next one follows at once.
        has_failed = (
            self._store_delay_s > RETRY_DELAY_MIN_S
            or self._send_delay_s > 2.0 * RETRY_DELAY_MIN_S
        )
        is_recent = now_s - confirmed_s < self._bounds.window_s + PARTIAL_S
        return self.is_holder and is_recent and not has_failed

    @property
    def sent_through(self) -> int:
        """Last window up to which all are reported or given up; -1 if unknown."""
        return self._sent_through

    def take_events(self) -> list[ReporterEvent]:
        """Return what happened since the last call."""
        events, self._events = self._events, []
        return events

    def due_window(self, true_s: float) -> int:
        """Return the last window whose body may be agreed."""
        return math.floor((true_s - SETTLE_S) / self._bounds.window_s) - 1

    def statement(self, true_s: float) -> Statement:
        """Return what this host says to hosts that recover the row."""
        first_window = self._counts.own_first_window
        return Statement(self._era, true_s, self._written_through, first_window)

    def record_statement(self, host: str, statement: Statement) -> None:
        """Record the statement of another host."""
        before = self._statements.get(host)
        if before is None or before.true_s <= statement.true_s:
            self._statements[host] = statement
        self.apply_era(statement.era)

    def record_holder(self, host: str, can_report: bool, now_s: float) -> None:
        """Record whether another host has said that it is the holder and can report."""
        if can_report:
            self._heard_holder = host
            self._holder_heard_s = now_s
        elif host == self._heard_holder:
            self._holder_heard_s = -math.inf

    def apply_news(self, sent_through: int, now_s: float) -> None:
        """Apply what another host knows to be reported or given up."""
        if sent_through > self._sent_through:
            self._sent_through = sent_through
            self._progress_s = now_s
            self._counts.drop_before(sent_through + 1)

    def apply_era(self, era: int) -> None:
        """Apply the era of the store that this host has seen elsewhere.

        The holder at once replaces a row that was lost. Windows that become due later
        are then reported; those that were due before may have been agreed by a host
        whose write was lost.
        """
        if era > self._era:
            self._era = era
            if self.is_holder:
                self._must_read = True
                self._store_call_s = -math.inf

    def next_step(self, now_s: float, true_s: float, rank: int | None) -> Step | None:
        """Return what to do now; None to ask again a little later.

        Parameters
        ----------
        now_s : float
        true_s : float
        rank : int or None
            Number of hosts that take over before this one; None if it must neither
            take over nor agree bodies, such as a host that hears few others.

        Returns
        -------
        ReadRow, WriteRow, Send or None
        """
        if self._must_read:
            return ReadRow() if now_s >= self._store_call_s else None
        if self.is_holder:
            return self._holder_step(now_s, true_s, may_agree=rank is not None)
        has_joined = now_s - self._started_s >= JOIN_S
        if rank is None or not has_joined or self._counts.complete_from is None:
            return None
        if now_s < self._store_call_s or not self._is_overdue(now_s, true_s, rank):
            return None
        return ReadRow()

    @property
    def _complete_from(self) -> int:
        return self._counts.complete_from or 0

    def _is_overdue(self, now_s: float, true_s: float, rank: int) -> bool:
        first = self._sent_through + 1 if self._sent_through >= 0 else 0
        window = max(first, self._complete_from)
        due_s = (window + 1) * self._bounds.window_s + SETTLE_S
        delay_s = TAKEOVER_S + rank * RANK_DELAY_S
        if now_s - self._holder_heard_s < HOLDER_SILENT_S:
            delay_s += HOLDER_HEARD_TAKEOVER_S
        # A holder that catches up reports windows that have been due for longer.
        return true_s >= due_s + delay_s and now_s - self._progress_s >= TAKEOVER_S

    def _holder_step(
        self, now_s: float, true_s: float, *, may_agree: bool
    ) -> Step | None:
        row = self._row
        assert row is not None
        unsent = self._unsent(row)
        if unsent and now_s >= max(self._send_from_s, self._send_call_s):
            if self._right_until_s - now_s >= SEND_TIME_MIN_S:
                window = unsent[0]
                body = row.bodies[window]
                return Send(window, body, self._token, self._right_until_s)
            return ReadRow() if now_s >= self._store_call_s else None
        if now_s < self._store_call_s or not may_agree:
            return None
        agreed = self._with_due_bodies(row, now_s, true_s)
        if agreed.through == row.through:
            return None
        self._written_through = max(self._written_through, agreed.through)
        return WriteRow(self._revision, replace(agreed, token=self._token))

    def _unsent(self, row: UsageRow) -> list[int]:
        return sorted(
            window
            for window in row.bodies
            if window > self._sent_through and window not in self._sent
        )

    def _with_due_bodies(self, row: UsageRow, now_s: float, true_s: float) -> UsageRow:
        """Return a row without reported bodies and with those that are due."""
        bodies = {window: row.bodies[window] for window in self._unsent(row)}
        through = max(row.through, self._sent_through)
        first = max(through + 1, self._complete_from, self._counts.first_window)
        last = min(self.due_window(true_s), first + BODIES_MAX - len(bodies) - 1)
        for window in range(first, last + 1):
            age_s = true_s - (window + 1) * self._bounds.window_s
            if age_s < PARTIAL_S and not self._counts.is_complete(window, now_s):
                break
            bodies[window] = encode_body(window, self._counts.totals(window))
            # Windows before the first one are given up with it.
            through = window
        return replace(row, through=through, bodies=bodies)

    def on_read(
        self,
        revision: int,
        row: Row | None,
        began_s: float,
        now_s: float,
        true_s: float,
        rank: int | None,
        host_count: int,
    ) -> WriteRow | None:
        """Apply the row as read; return a write that begins a term, if that is due.

        Parameters
        ----------
        revision : int
            Revision of the store that was read.
        row : Row or None
        began_s : float
            Time before the call was made.
        now_s, true_s : float
        rank : int or None
            As for `next_step`.
        host_count : int
            Number of all known hosts, this one and those that have ended included.
        """
        self._must_read = False
        self._record_store_success()
        era = revision_era(revision)
        self._era = max(self._era, era)
        content = UsageRow.from_value(row.value) if row is not None else None
        version = row.version if row is not None else 0
        was_holder = self.is_holder
        self._adopt(content, version, era, began_s, now_s)
        if self.is_holder:
            return None
        if rank is None and not was_holder:
            return None
        if self._is_trusted or (version == 0 and self._sent_through < 0):
            self._recovery_s = None
            row_of_term = self._take_over(content, era, now_s, true_s, rank)
        else:
            through = self._possibly_agreed(host_count, true_s)
            if through is None:
                self._must_read = True
                self._store_call_s = now_s + RECOVERY_POLL_S
                return None
            row_of_term = self._recover(content, era, now_s, true_s, through)
        if row_of_term is not None:
            self._written_through = max(self._written_through, row_of_term.through)
        return WriteRow(version, row_of_term) if row_of_term is not None else None

    def _take_over(
        self,
        content: UsageRow | None,
        era: int,
        now_s: float,
        true_s: float,
        rank: int | None,
    ) -> UsageRow | None:
        if content is not None:
            is_due = rank is not None and self._is_overdue(now_s, true_s, rank)
            patience_s = self._bounds.pause_s + TERM_MIN_S + (rank or 0) * RANK_DELAY_S
            left_s = content.taken_s + patience_s - true_s
            if not is_due or 0.0 < left_s <= patience_s + TIME_OFF_MAX_S:
                # The holder has reported, or has just begun its term.
                self._store_call_s = now_s + min(
                    max(RETRY_DELAY_MAX_S, left_s), patience_s
                )
                return None
        through = content.through if content else self._complete_from - 1
        bodies = content.bodies if content else {}
        row = UsageRow(era, self._host, self._start, 0, true_s, through, bodies)
        return self._with_due_bodies(row, now_s, true_s)

    def _possibly_agreed(self, host_count: int, true_s: float) -> int | None:
        """Return the last window of which another host may have agreed a body.

        None while statements that were made after this host had found the row are
        awaited. Later writes cannot succeed under the condition of an earlier row.
        """
        if self._recovery_s is None or true_s < self._recovery_s:
            self._recovery_s = true_s
        since_s = self._recovery_s + TIME_OFF_MAX_S
        made = [
            statement
            for statement in self._statements.values()
            if statement.era >= self._era and statement.true_s >= since_s
        ]
        if len(made) + 1 < host_count:
            if true_s - self._recovery_s < RECOVERY_WAIT_S:
                return None
            # One that is not heard may have agreed what was due.
            return self.due_window(true_s + TIME_OFF_MAX_S)
        made.append(self.statement(true_s))
        # Hosts that have started since do not know what was agreed before.
        started = max(statement.first_window for statement in made) - 1
        return max(started, *(s.written_through for s in made[:-1]), -1)

    def _recover(
        self,
        content: UsageRow | None,
        era: int,
        now_s: float,
        true_s: float,
        possibly_agreed: int,
    ) -> UsageRow:
        """Begin a term in a restored store.

        The row says nothing about windows that were agreed since the copy was made.
        Those that may have been are given up, except for bodies that this host has
        seen agreed.
        """
        bodies = {
            window: body
            for window, body in self._agreed.items()
            if window > self._sent_through and window not in self._sent
        }
        through = max(
            possibly_agreed,
            self._sent_through,
            content.through if content else -1,
            *self._agreed,
        )
        self._recovery_s = None
        row = UsageRow(era, self._host, self._start, 0, true_s, through, bodies)
        return self._with_due_bodies(row, now_s, true_s)

    def on_written(
        self,
        write: WriteRow,
        result: Committed | Conflicted | Unavailable,
        began_s: float,
        now_s: float,
    ) -> None:
        """Apply the result of a write."""
        if isinstance(result, Unavailable):
            self.on_store_failure(now_s)
            return
        if not isinstance(result, Committed):
            # Another host has written the row, or an earlier call of this one whose
            # response was lost.
            self._must_read = True
            self._store_call_s = now_s
            return
        era = revision_era(result.revision)
        self._era = max(self._era, era)
        if era != write.row.era:
            self._must_read = True
            self._store_call_s = now_s
            return
        self._record_store_success()
        missed = self._missed_windows(write.row)
        self._adopt(write.row, result.revision, era, began_s, now_s)
        if missed:
            self._events.append(
                ReporterEvent(
                    ReporterEventKind.MISSED, missed[0], len(missed), self._token
                )
            )

    def on_store_failure(self, now_s: float) -> None:
        """Record a call to the store without a usable response."""
        self._must_read = self._must_read or self.is_holder
        self._store_call_s = now_s + self._store_delay_s
        self._store_delay_s = min(2.0 * self._store_delay_s, RETRY_DELAY_MAX_S)

    def _record_store_success(self) -> None:
        self._store_call_s = -math.inf
        self._store_delay_s = RETRY_DELAY_MIN_S

    def _adopt(
        self,
        content: UsageRow | None,
        version: int,
        era: int,
        began_s: float,
        now_s: float,
    ) -> None:
        before = self._row
        self._row, self._revision = content, version
        self._is_trusted = (
            content is not None and content.era == era and era >= self._era
        )
        if not self._is_trusted or content is None:
            self._token = 0
            self._right_until_s = -math.inf
            return
        self._remember(content)
        # A row names all bodies that may not have been sent.
        self.apply_news(min(content.bodies, default=content.through + 1) - 1, now_s)
        token = content.token or token_of(version)
        if content.start != self._start:
            self._token = 0
            self._right_until_s = -math.inf
            return
        if token != self._token:
            self._token = token
            self._send_from_s = now_s + self._bounds.pause_s
            self._send_call_s = -math.inf
            earlier = before.holder if before is not None else ""
            self._events.append(
                ReporterEvent(
                    ReporterEventKind.HOLDER_CHANGED,
                    content.through,
                    token=token,
                    cause=f"after {earlier}" if earlier else "first holder",
                )
            )
        self._right_until_s = began_s + RIGHT_S

    def _remember(self, content: UsageRow) -> None:
        self._agreed.update(content.bodies)
        for window in sorted(self._agreed)[:-REMEMBERED_MAX]:
            del self._agreed[window]

    def _missed_windows(self, row: UsageRow) -> list[int]:
        """Return the windows that a row gives up."""
        before = self._row.through if self._row is not None else -1
        before = max(before, self._sent_through)
        if before < 0:
            return []
        given_up = range(before + 1, row.through + 1)
        return [window for window in given_up if window not in row.bodies]

    def may_send(self, send: Send, now_s: float) -> bool:
        """Whether this host may still send; asked immediately before the bytes."""
        return (
            self.is_holder
            and send.token == self._token
            and now_s >= self._send_from_s
            and send.until_s - now_s >= SEND_TIME_MIN_S
        )

    def may_send_until_s(self, send: Send) -> float:
        """Return until when a call that was begun may last; minus infinity if it ends.

        The store may have confirmed the term again since the call was begun.
        """
        if not self.is_holder or send.token != self._token:
            return -math.inf
        return self._right_until_s

    def on_sent(
        self, send: Send, status: int | None, now_s: float, true_s: float
    ) -> None:
        """Apply the platform's response; None if there was none.

        Parameters
        ----------
        send : Send
        status : int or None
        now_s, true_s : float
        """
        late_s = true_s - (send.window + 1) * self._bounds.window_s
        if status == HTTP_OK:
            kind = ReporterEventKind.REPORTED
            self._refusals = 0
            self._send_delay_s = RETRY_DELAY_MIN_S
            spacing_s = 1.0 / (DUTY_SHARE * self._bounds.duty_per_s)
            self._send_call_s = now_s + spacing_s
            self._record_done(send.window, now_s)
        else:
            kind = ReporterEventKind.REFUSED
            self._send_call_s = now_s + self._send_delay_s
            self._send_delay_s = min(2.0 * self._send_delay_s, RETRY_DELAY_MAX_S)
            is_temporary = (
                status is None
                or status == HTTP_TOO_MANY
                or status >= SERVER_ERROR_STATUS_MIN
            )
            if not is_temporary:
                self._refusals += 1
                # The platform may have seen a higher token.
                self._must_read = True
        cause = str(status) if status is not None else "no response"
        self._events.append(
            ReporterEvent(
                kind, send.window, token=send.token, cause=cause, late_s=late_s
            )
        )
        if self._refusals >= REFUSALS_MAX:
            self._refusals = 0
            self._record_done(send.window, now_s)
            self._events.append(
                ReporterEvent(ReporterEventKind.MISSED, send.window, token=send.token)
            )

    def _record_done(self, window: int, now_s: float) -> None:
        self._sent.add(window)
        row = self._row
        if row is not None:
            unsent = self._unsent(row)
            self.apply_news(unsent[0] - 1 if unsent else row.through, now_s)
            self._sent = {w for w in self._sent if w > self._sent_through}
