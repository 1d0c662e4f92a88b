"""HTTP/1.1 server connection of a caller, with pipelining."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import TYPE_CHECKING
from typing import Protocol

import h11

from cardamomquay.caller_memory import SMALL_BYTES
from cardamomquay.caller_memory import Holding
from cardamomquay_daemon.edge._byte_stream import READ_BYTES
from cardamomquay_daemon.edge._byte_stream import ByteStream
from cardamomquay_daemon.edge._caller_memory import CallerMemory
from cardamomquay_daemon.edge._http_client import BODILESS_STATUSES
from cardamomquay_daemon.edge._turns import EVENTS_BEFORE_TURNS
from cardamomquay_daemon.edge._turns import EVENTS_PER_TURN
from cardamomquay_daemon.edge._turns import HEADERS_PER_TURN

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from cardamomquay_daemon.edge._http_client import Headers

# Number of requests of one connection that are handled concurrently.
PIPELINED_REQUESTS_MAX = 16
# Methods that change no state (RFC 9110, section 9.2.1).
SAFE_METHODS = frozenset((b"GET", b"HEAD", b"OPTIONS"))
# Retry delays of requests for which there is no memory, spread so that their callers do
# not return together.
MEMORY_RETRY_AFTER_S = (0.5, 1.5)
# After a rejection, bytes of the request are read and dropped for this long: closing
# the connection at once would reset it, and the caller might not receive the answer.
REJECTION_LINGER_S = 1.0
# The same after an answer that closes the connection, since the caller may have sent
# another request before it could read that. The answer may have to pass a slow link.
LAST_ANSWER_LINGER_S = 3.0
# Bytes that a caller has sent and that are not parsed yet; more stay in the kernel. It
# is less outside of bodies, since there they are requests that have to wait: a socket
# that is not read takes no processor time.
UNREAD_BYTES_MAX = 65_536
UNREAD_HEAD_BYTES_MAX = 8192
# A request makes progress when it grows by this much. A caller that sends a byte now
# and then would otherwise seem to make progress all the time.
PROGRESS_BYTES = 1024
# A parser gets the bytes of heads and chunks in parts of this size. It is kept until
# its request is answered, with those bytes of its last part that follow the request.
PARSED_PART_BYTES = 2048
# A body of a stated length is read in parts of this size, and nothing that follows it.
BODY_PART_BYTES = 65_536
# Memory of a connection without a request: measured as 8 to 11 KB.
CONNECTION_BYTES = 10_240
# Memory of a header beside its bytes, as tuples and objects of the parser.
HEADER_BYTES = 320
# Memory of a request beside its bytes until it is answered: parser and answer.
REQUEST_BYTES = 4096
# Memory of a request while it is handled: tasks, and the connection to an upstream.
HANDLER_BYTES = 16_384
# A body is counted in steps of this size, since a chunk may have a single byte.
BODY_STEP_BYTES = 8192
# An answer is written in parts of this size, since the transport copies what it cannot
# send at once.
ANSWER_PART_BYTES = 65_536


@dataclass(slots=True)
class CallerRequest:
    """A complete request.

    Parameters
    ----------
    method : bytes
    target : bytes
    headers : list of tuple of bytes
        Names in lower case.
    body : bytes or bytearray
    received_s : float
        Time at which its last byte was read, on the clock of the event loop.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray
    received_s: float

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if there is none."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@dataclass(slots=True)
class CallerAnswer:
    """Answer to a caller.

    Parameters
    ----------
    status : int
    headers : list of tuple of bytes
        Without hop-by-hop headers.
    body : bytes
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class ReadLimits:
    """Size limits and timeouts for the requests of a caller.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
    header_timeout_s : float
        Longest time without received bytes within a request, its body included.
    idle_timeout_s : float
        Longest time without received bytes while no request is being read or handled.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class RequestHandler(Protocol):
    """Answers a request; raises no exceptions, and may be cancelled."""

    def __call__(
        self, request: CallerRequest
    ) -> Coroutine[None, None, CallerAnswer]: ...


class _RequestError(Exception):
    """Raised if a request is malformed, too large or too slow to arrive."""

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.retry_after_s = retry_after_s


def _memory_error() -> _RequestError:
    """Return the rejection of a request for which there is no memory."""
    retry_after_s = random.uniform(*MEMORY_RETRY_AFTER_S)
    return _RequestError(503, "no memory for the request", retry_after_s)


def _head_bytes(head: h11.Request) -> int:
    """Return the memory that a head takes, which many short headers multiply."""
    size = len(head.target) + HEADER_BYTES * len(head.headers)
    return size + sum(len(name) + len(value) for name, value in head.headers)


def _answer_bytes(answer: CallerAnswer) -> int:
    """Return the memory that an answer takes."""
    size = len(answer.body) + HEADER_BYTES * len(answer.headers)
    return size + sum(len(name) + len(value) for name, value in answer.headers)


def _content_length(head: h11.Request) -> int:
    """Return the stated length of a body, which h11 has checked; 0 without one."""
    return next(
        (int(value) for name, value in head.headers if name == b"content-length"), 0
    )


@dataclass(slots=True)
class _PendingRequest:
    """A request that is being handled, or whose answer is being written.

    Parameters
    ----------
    parser : h11.Connection
    is_head : bool
        Whether the answer has no body.
    kept_bytes : int
        Memory that is needed until the answer is written, beside the answer.
    size_bytes : int
        Memory of the request, and of its answer once there is one, with `kept_bytes`.
    task : asyncio.Task of CallerAnswer
    """

    parser: h11.Connection
    is_head: bool
    kept_bytes: int
    size_bytes: int
    task: asyncio.Task[CallerAnswer]


class CallerConnection(ByteStream):
    """Reads requests, handles them concurrently and answers them in order.

    Parameters
    ----------
    handle : RequestHandler
        Answers one request; cancelled when the caller disconnects.
    limits : callable
        Returns the `ReadLimits` in force.
    is_stopping : callable
        Returns whether the host is stopping; answers then close the connection.
    connections : set of CallerConnection
        Set that contains the connection while it is open.
    memory : CallerMemory, optional
        Memory and processor time for the requests and answers of all connections.
    """

    high_water_bytes = UNREAD_HEAD_BYTES_MAX
    read_bytes = UNREAD_HEAD_BYTES_MAX

    def __init__(
        self,
        handle: RequestHandler,
        limits: Callable[[], ReadLimits],
        is_stopping: Callable[[], bool],
        connections: set[CallerConnection],
        memory: CallerMemory | None = None,
    ) -> None:
        super().__init__()
        self._memory = memory or CallerMemory()
        self._holding = Holding(0.0)
        # Received bytes since the last progress, bytes that the parser has not used,
        # and memory of the head and the body of the request that is being read.
        self._received_since_progress = 0
        self._parser_bytes = 0
        self._head_bytes = 0
        self._body_bytes = 0
        # Whether bytes were left when the last request was complete, and the turn for
        # which the connection waits.
        self._has_sent_ahead = False
        self._turn: asyncio.Future[None] | None = None
        # Whether an answer that closes the connection has been written.
        self._has_last_answer = False
        # Whether the request that is being read has to be rejected, and whether its
        # remaining bytes are dropped.
        self._must_reject = False
        self._is_dropping = False
        self._handle = handle
        self._limits = limits
        self._is_stopping = is_stopping
        self._connections = connections
        self._pending: deque[_PendingRequest] = deque()
        self._pending_reduced = asyncio.Event()
        self._write_task: asyncio.Task[None] | None = None
        # Keeps a reference to the task, since the event loop holds only a weak one.
        self._read_task: asyncio.Task[None] | None = None
        self._closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self._holding.progress_s = loop.time()
        if not self._memory.open(self._holding, self._end_for_memory):
            self._closing = True
            self.abort()
            return
        self._connections.add(self)
        self._account()
        self._read_task = loop.create_task(self._read_requests())

    def data_received(self, data: bytes | memoryview) -> None:
        if self._is_dropping or self._must_reject:
            # Read on at the next turn, or before the rejection.
            self._pause_reading()
            self.wake()
            return
        super().data_received(data)
        self._received_since_progress += len(data)
        if self._received_since_progress >= PROGRESS_BYTES:
            self._record_progress()
        if not self._account():
            self._reject_for_memory()

    def connection_lost(self, exc: Exception | None) -> None:
        self._memory.close(self._holding)
        super().connection_lost(exc)
        self._leave_turns()

    def resume_writing(self) -> None:
        super().resume_writing()
        self._account(is_needed=True)

    def eof_received(self) -> bool:
        super().eof_received()
        self._leave_turns()
        return True

    async def read(self, max_bytes: int | None = None) -> bytes:
        data = await super().read(max_bytes)
        if self._must_reject:
            raise _memory_error()
        return data

    def _account(self, new_bytes: int = 0, *, is_needed: bool = False) -> bool:
        """Count what the connection holds; return whether there is memory for it.

        Parameters
        ----------
        new_bytes : int, default=0
            Memory that is about to be taken.
        is_needed : bool, default=False
            Whether it is held in any case.

        Returns
        -------
        bool
        """
        size = (
            CONNECTION_BYTES
            # More than its length once bytes were taken from its front.
            + self._received.__alloc__()
            + self._parser_bytes
            + self._head_bytes
            + self._body_bytes
            # Summed up each time: an answer may be written before `_on_handled` runs.
            + sum(pending.size_bytes for pending in self._pending)
            + self.unsent_bytes
            + new_bytes
        )
        self._holding.is_unread = self.unsent_bytes > 0
        self._holding.is_answering = self._holding.is_unread or any(
            pending.task.done() for pending in self._pending
        )
        return self._memory.resize(self._holding, size, is_needed=is_needed)

    def _record_progress(self) -> None:
        self._received_since_progress = 0
        self._memory.budget.record_progress(
            self._holding, asyncio.get_running_loop().time()
        )

    def _reject_for_memory(self) -> None:
        """Reject the request that is being read, once earlier ones are answered."""
        if not self._must_reject:
            self._must_reject = True
            self._memory.record_refused()
            self._received.clear()
            self.wake()
            self._leave_turns()

    async def _take_turn(self, *, is_ahead: bool) -> None:
        """Wait for processor time."""
        turn = self._memory.turns.request(is_ahead=is_ahead)
        if turn is not None:
            self._turn = turn
            try:
                await turn
            finally:
                self._turn = None
        if self._must_reject:
            raise _memory_error()

    def _leave_turns(self) -> None:
        """Stop waiting for processor time."""
        if self._turn is not None and not self._turn.done():
            self._turn.set_result(None)

    def _end_for_memory(self, *, must_close: bool) -> None:
        """Reject the request that is being read, or close the connection at once."""
        has_request = bool(self._head_bytes or self._parser_bytes or self._received)
        is_answering = bool(self._pending) or self.unsent_bytes > 0
        if must_close or is_answering or self._closing or not has_request:
            self._closing = True
            self._cancel_and_close()
            self.abort()
        else:
            self._reject_for_memory()

    @property
    def is_busy(self) -> bool:
        """Whether a request has been read and not yet answered."""
        return bool(self._pending)

    async def _read_requests(self) -> None:
        parser = self._new_parser()
        rejection: _RequestError | None = None
        try:
            while not self._closing:
                if await self._read_and_dispatch(parser):
                    break
                # Each request needs its own, since an h11 connection reads the next
                # request only after the answer to the previous one has been sent.
                parser = self._new_parser()
            while self._pending and not self._has_caller_disconnected():
                # No further request is read. Reading only detects that the caller
                # disconnects, and ignores any bytes.
                if not await self.read():
                    break
                await self._take_turn(is_ahead=True)
        except _RequestError as exc:
            # The traceback refers to the body of the request.
            rejection = exc.with_traceback(None)
            rejection.__context__ = rejection.__cause__ = None
        except OSError:
            # The caller has reset the connection; `finally` cancels its requests.
            self._ended = True
        finally:
            if self._has_last_answer:
                await self._drop_rest(LAST_ANSWER_LINGER_S)
            elif rejection is not None:
                is_sent = await self._reject(parser, rejection)
                # Its buffer may hold bytes of the rejected request.
                del parser
                if is_sent:
                    self._memory.budget.finish(self._holding)
                    await self._drop_rest(REJECTION_LINGER_S)
                self._closing = True
            if self._has_caller_disconnected() or not self._pending:
                self._cancel_and_close()

    async def _read_and_dispatch(self, parser: h11.Connection) -> bool:
        """Read a request and start handling it; return whether it is the last one."""
        try:
            request = await self._read_request(parser)
            return request is None or await self._dispatch(parser, request)
        finally:
            if self._head_bytes or self._body_bytes:
                self._head_bytes = self._body_bytes = 0
                self._account(is_needed=True)

    def _has_caller_disconnected(self) -> bool:
        """Whether no more bytes can arrive from the caller."""
        return self._ended

    async def _read_request(self, parser: h11.Connection) -> CallerRequest | None:
        """Read a request; return None if the connection ends or idles too long."""
        limits = self._limits()
        head: h11.Request | None = None
        # A list of chunks would take several times the memory if they are small.
        body = bytearray()
        received_s = 0.0
        is_long = False
        event_count = EVENTS_PER_TURN - EVENTS_BEFORE_TURNS
        self._expect_head()
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as exc:
                raise _RequestError(exc.error_status_hint, str(exc)) from exc
            event_count += 1
            if event_count % EVENTS_PER_TURN == 0:
                await self._take_turn(is_ahead=True)
            if event is h11.NEED_DATA:
                if not await self._receive(parser, head, len(body), limits):
                    return None
                received_s = asyncio.get_running_loop().time()
                if head is None:
                    # A head that needs another part is a long one.
                    is_ahead = is_long or self._has_sent_ahead or bool(self._pending)
                    await self._take_turn(is_ahead=is_ahead or bool(self._received))
                    is_long = True
                if self._closing or self._has_caller_disconnected():
                    return None
            elif isinstance(event, h11.Request):
                head = event
                await self._accept_head(event, limits)
            elif isinstance(event, h11.Data):
                self._append(body, event.data, limits.max_body_bytes)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return CallerRequest(
                    head.method,
                    head.target,
                    list(head.headers),
                    body,
                    received_s,
                )
            else:
                return None

    def _expect_head(self) -> None:
        self.high_water_bytes = self.read_bytes = UNREAD_HEAD_BYTES_MAX

    async def _accept_head(self, head: h11.Request, limits: ReadLimits) -> None:
        """Reserve memory and processor time for a request."""
        if head.method == b"CONNECT":
            raise _RequestError(501, "tunnels are not supported")
        self._head_bytes = _head_bytes(head)
        self._reserve_body(min(_content_length(head), limits.max_body_bytes))
        self.high_water_bytes = UNREAD_BYTES_MAX
        self.read_bytes = READ_BYTES
        if turns := len(head.headers) // HEADERS_PER_TURN:
            self._memory.turns.charge(turns)
            await self._take_turn(is_ahead=True)

    async def _receive(
        self,
        parser: h11.Connection,
        head: h11.Request | None,
        body_bytes: int,
        limits: ReadLimits,
    ) -> bool:
        """Read bytes for the parser; return False if the connection ends."""
        if parser.they_are_waiting_for_100_continue and not self._pending:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            self.write(parser.send(informational) or b"")
        self._parser_bytes = len(parser.trailing_data[0])
        missing_bytes = _content_length(head) - body_bytes if head else 0
        max_bytes = (
            min(missing_bytes, BODY_PART_BYTES)
            if missing_bytes > 0
            else PARSED_PART_BYTES
        )
        data = await self._read_with_timeout(
            max_bytes, head is not None or self._parser_bytes > 0, limits
        )
        if not data:
            return False
        parser.receive_data(data)
        self._parser_bytes += len(data)
        return True

    def _append(self, body: bytearray, chunk: bytes, max_bytes: int) -> None:
        size_bytes = len(body) + len(chunk)
        if size_bytes > max_bytes:
            raise _RequestError(413, "request body exceeds the limit")
        if size_bytes > self._body_bytes:
            self._reserve_body(size_bytes + BODY_STEP_BYTES)
        body += chunk

    def _reserve_body(self, size_bytes: int) -> None:
        self._body_bytes = size_bytes
        if not self._account():
            self._memory.record_refused()
            raise _memory_error()

    async def _read_with_timeout(
        self, max_bytes: int, request_has_started: bool, limits: ReadLimits
    ) -> bytes:
        """Read bytes; return b"" at the end of the stream or after the idle timeout.

        The idle timeout does not apply while earlier requests are being handled.
        """
        timeout_s = (
            limits.header_timeout_s if request_has_started else limits.idle_timeout_s
        )
        while True:
            try:
                async with asyncio.timeout(timeout_s):
                    return await self.read(max_bytes)
            except TimeoutError as exc:
                if request_has_started:
                    raise _RequestError(
                        408, "request was not received in time"
                    ) from exc
                if not self._pending:
                    return b""

    async def _dispatch(self, parser: h11.Connection, request: CallerRequest) -> bool:
        """Start handling a request; return whether it is the connection's last."""
        while self._pending and (
            len(self._pending) >= PIPELINED_REQUESTS_MAX
            or not self._memory.running.has_room_for_pipelined
            # A request with an unsafe method waits for all earlier answers: one of them
            # may close the connection, and the request could run without being
            # answered. In a stop the last of them does.
            or request.method not in SAFE_METHODS
            or self._is_stopping()
            or (self._memory.budget.is_short and self._holds_answers())
        ):
            self._pending_reduced.clear()
            await self._pending_reduced.wait()
            if self._closing or self._has_caller_disconnected():
                return True
        if self._must_reject:
            raise _memory_error()
        # The parser is kept for the answer, with its copy of what follows the request.
        rest = parser.trailing_data[0]
        self._received[:0] = rest
        self._has_sent_ahead = bool(self._received)
        kept_bytes = REQUEST_BYTES + len(rest)
        size_bytes = kept_bytes + HANDLER_BYTES + self._head_bytes + len(request.body)
        self._head_bytes = self._body_bytes = self._parser_bytes = 0
        if not self._account(size_bytes):
            self._memory.record_refused()
            raise _memory_error()
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._handle(request))
        pending = _PendingRequest(
            parser, request.method == b"HEAD", kept_bytes, size_bytes, task
        )
        self._pending.append(pending)
        self._memory.budget.set_protected(self._holding, loop.time(), is_protected=True)
        task.add_done_callback(partial(self._on_handled, pending))
        if self._write_task is None:
            self._write_task = loop.create_task(self._write_answers())
        return parser.their_state is not h11.DONE

    def _holds_answers(self) -> bool:
        """Whether answers should be delivered before another request begins.

        A connection rarely ends while a request runs, so that one that always has
        another would keep its unread answers.
        """
        return self._holding.is_answering and self._holding.size_bytes > SMALL_BYTES

    def _on_handled(
        self, pending: _PendingRequest, task: asyncio.Task[CallerAnswer]
    ) -> None:
        """Count the answer in place of the request, which is released."""
        size_bytes = pending.kept_bytes
        if not task.cancelled() and task.exception() is None:
            size_bytes += _answer_bytes(task.result())
        pending.size_bytes = size_bytes
        if all(other.task.done() for other in self._pending):
            self._memory.budget.set_protected(
                self._holding, asyncio.get_running_loop().time(), is_protected=False
            )
        self._account(is_needed=True)

    async def _write_answers(self) -> None:
        try:
            await self._write_pending_answers()
        except Exception:
            # Without the answer, the caller would wait on a connection that looks fine.
            self._closing = True
            raise
        finally:
            self._write_task = None
            is_read = self._read_task is not None and not self._read_task.done()
            # After the last answer, the task that reads closes the connection.
            is_open = is_read and (self._has_last_answer or not self._closing)
            if not is_open or self._has_caller_disconnected():
                self._cancel_and_close()

    async def _write_pending_answers(self) -> None:
        while self._pending:
            pending = self._pending[0]
            try:
                answer = await pending.task
            except asyncio.CancelledError:
                break
            await self._write_answer(pending.parser, answer, is_head=pending.is_head)
            if not self._pending:
                # The caller disconnected while the answer was sent.
                break
            self._pending.popleft()
            self._account(is_needed=True)
            self._pending_reduced.set()
            if pending.parser.our_state is not h11.DONE:
                self._closing = self._has_last_answer = True
                self._leave_turns()
                self.wake()
                break

    async def _write_answer(
        self, parser: h11.Connection, answer: CallerAnswer, *, is_head: bool
    ) -> None:
        headers = list(answer.headers)
        if answer.status not in BODILESS_STATUSES:
            headers.append((b"content-length", b"%d" % len(answer.body)))
        # The answers to requests that were started before the stop follow.
        if self._is_stopping() and len(self._pending) == 1:
            headers.append((b"connection", b"close"))
        data = parser.send(h11.Response(status_code=answer.status, headers=headers))
        data = data or b""
        body = b"" if is_head else answer.body
        if body:
            # The parser only checks the length, and returns the body as it is.
            parser.send_with_data_passthrough(h11.Data(data=body))
        parser.send(h11.EndOfMessage())
        self.write(data + body[:ANSWER_PART_BYTES])
        if self.unsent_bytes:
            self._account(is_needed=True)
            await self.drain()
        with memoryview(body) as view:
            for start in range(ANSWER_PART_BYTES, len(view), ANSWER_PART_BYTES):
                if self.has_ended:
                    break
                self._record_progress()
                self.write(view[start : start + ANSWER_PART_BYTES])
                self._account(is_needed=True)
                await self.drain()

    async def _reject(self, parser: h11.Connection, exc: _RequestError) -> bool:
        """Reject a request after earlier answers; return whether that was possible."""
        while self._pending and not self._has_caller_disconnected():
            self._pending_reduced.clear()
            await self._pending_reduced.wait()
        if (
            self._closing
            or self._has_caller_disconnected()
            or parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE)
        ):
            return False
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        if exc.retry_after_s is not None:
            headers.append((b"retry-after", f"{exc.retry_after_s:.2f}".encode()))
        data = parser.send(h11.Response(status_code=exc.status, headers=headers))
        self.write((data or b"") + (parser.send(h11.EndOfMessage()) or b""))
        return True

    async def _drop_rest(self, linger_s: float) -> None:
        """Read and drop what the caller still sends after its last answer."""
        self._must_reject = False
        self._is_dropping = True
        self._received.clear()
        self._parser_bytes = 0
        self._account(is_needed=True)
        self.read_bytes = READ_BYTES
        self.transport.write_eof()
        with suppress(TimeoutError, OSError):
            async with asyncio.timeout(linger_s):
                while not self.has_ended:
                    self._resume_reading()
                    await self.read()
                    await self._take_turn(is_ahead=True)

    def _new_parser(self) -> h11.Connection:
        size = self._limits().max_header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=size)

    def _cancel_and_close(self) -> None:
        for pending in self._pending:
            pending.task.cancel()
        self._pending.clear()
        self._pending_reduced.set()
        self._leave_turns()
        self._connections.discard(self)
        self.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being handled."""
        if not self._pending and not self._has_last_answer:
            self._closing = True
            self._cancel_and_close()
