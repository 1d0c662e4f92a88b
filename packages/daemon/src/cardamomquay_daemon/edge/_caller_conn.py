"""HTTP/1.1 server connection of a caller, with pipelining."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from contextlib import contextmanager
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Protocol

import h11

from cardamomquay_daemon.edge._byte_stream import ByteStream
from cardamomquay_daemon.edge._http_client import EVENTS_PER_TURN
from cardamomquay_daemon.edge._request_bodies import BodyMemoryError
from cardamomquay_daemon.edge._request_bodies import RequestBodies
from cardamomquay_daemon.edge._request_bodies import RequestBody

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Generator

    from cardamomquay_daemon.edge._http_client import Headers

# Number of requests of one connection that are handled concurrently.
PIPELINED_REQUESTS_MAX = 16
# Statuses of answers without a body and without Content-Length (RFC 9110, section 8.6).
BODILESS_STATUSES = frozenset((204, 304))
# Methods that change no state (RFC 9110, section 9.2.1).
SAFE_METHODS = frozenset((b"GET", b"HEAD", b"OPTIONS"))
# Retry delays of requests for whose bodies there is no memory, spread so that their
# callers do not return together.
BODY_RETRY_AFTER_S = (0.5, 1.5)
# After a rejection, bytes of the request are read and dropped for this long: closing
# the connection at once would reset it, and the caller might not receive the answer.
REJECTION_LINGER_S = 1.0


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


@contextmanager
def _rejecting_without_memory() -> Generator[None]:
    """Reject the request if there is no memory for its body."""
    try:
        yield
    except BodyMemoryError as exc:
        retry_after_s = random.uniform(*BODY_RETRY_AFTER_S)
        reason = "no memory for the request body"
        raise _RequestError(503, reason, retry_after_s) from exc


def _content_length(head: h11.Request) -> int:
    """Return the stated length of a body, which h11 has checked; 0 without one."""
    return next(
        (int(value) for name, value in head.headers if name == b"content-length"), 0
    )


@dataclass(slots=True)
class _PendingRequest:
    parser: h11.Connection
    request: CallerRequest
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
    bodies : RequestBodies, optional
        Memory for the bodies of all connections.
    """

    def __init__(
        self,
        handle: RequestHandler,
        limits: Callable[[], ReadLimits],
        is_stopping: Callable[[], bool],
        connections: set[CallerConnection],
        bodies: RequestBodies | None = None,
    ) -> None:
        super().__init__()
        self._bodies = bodies or RequestBodies()
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
        self._connections.add(self)
        loop = asyncio.get_running_loop()
        self._read_task = loop.create_task(self._read_requests())

    @property
    def is_busy(self) -> bool:
        """Whether a request has been read and not yet answered."""
        return bool(self._pending)

    async def _read_requests(self) -> None:
        parser = self._new_parser()
        try:
            while not self._closing:
                if await self._read_and_dispatch(parser):
                    break
                parser = self._next_parser(parser)
            while self._pending and not self._has_caller_disconnected():
                # No further request is read. Reading only detects that the caller
                # disconnects, and ignores any bytes.
                if not await self.read():
                    break
        except _RequestError as exc:
            await self._reject(parser, exc)
        except OSError:
            # The caller has reset the connection; `finally` cancels its requests.
            self._ended = True
        finally:
            if self._has_caller_disconnected() or not self._pending:
                self._cancel_and_close()

    async def _read_and_dispatch(self, parser: h11.Connection) -> bool:
        """Read a request and start handling it; return whether it is the last one."""
        body = RequestBody(self._bodies)
        request: CallerRequest | None = None
        try:
            request = await self._read_request(parser, body)
        finally:
            if request is None:
                body.release()
        return request is None or await self._dispatch(parser, request, body)

    def _has_caller_disconnected(self) -> bool:
        """Whether no more bytes can arrive from the caller."""
        return self._ended

    async def _read_request(
        self, parser: h11.Connection, body: RequestBody
    ) -> CallerRequest | None:
        """Read a request; return None if the connection ends or idles too long."""
        limits = self._limits()
        head: h11.Request | None = None
        timeout_s = limits.idle_timeout_s
        event_count = 0
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as exc:
                raise _RequestError(exc.error_status_hint, str(exc)) from exc
            event_count += 1
            if event_count % EVENTS_PER_TURN == 0:
                await asyncio.sleep(0)
            if event is h11.NEED_DATA:
                if parser.they_are_waiting_for_100_continue and not self._pending:
                    informational = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    self.write(parser.send(informational) or b"")
                request_has_started = head is not None or bool(parser.trailing_data[0])
                data = await self._read_with_timeout(
                    request_has_started, timeout_s, limits
                )
                if not data:
                    return None
                parser.receive_data(data)
            elif isinstance(event, h11.Request):
                if event.method == b"CONNECT":
                    raise _RequestError(501, "tunnels are not supported")
                head = event
                with _rejecting_without_memory():
                    body.reserve(min(_content_length(event), limits.max_body_bytes))
            elif isinstance(event, h11.Data):
                if len(body.received) + len(event.data) > limits.max_body_bytes:
                    raise _RequestError(413, "request body exceeds the limit")
                with _rejecting_without_memory():
                    body.append(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return CallerRequest(
                    head.method,
                    head.target,
                    list(head.headers),
                    body.received,
                    asyncio.get_running_loop().time(),
                )
            else:
                return None

    async def _read_with_timeout(
        self, request_has_started: bool, idle_timeout_s: float, limits: ReadLimits
    ) -> bytes:
        """Read bytes; return b"" at the end of the stream or after the idle timeout.

        The idle timeout does not apply while earlier requests are being handled.
        """
        timeout_s = limits.header_timeout_s if request_has_started else idle_timeout_s
        while True:
            try:
                async with asyncio.timeout(timeout_s):
                    return await self.read()
            except TimeoutError as exc:
                if request_has_started:
                    raise _RequestError(
                        408, "request was not received in time"
                    ) from exc
                if not self._pending:
                    return b""

    async def _dispatch(
        self, parser: h11.Connection, request: CallerRequest, body: RequestBody
    ) -> bool:
        """Start handling a request; return whether it is the connection's last."""
        while self._pending and (
            len(self._pending) >= PIPELINED_REQUESTS_MAX
            # A request with an unsafe method waits for all earlier answers: one of them
            # may close the connection, and the request could run without being
            # answered. In a stop the last of them does.
            or request.method not in SAFE_METHODS
            or self._is_stopping()
        ):
            self._pending_reduced.clear()
            await self._pending_reduced.wait()
            if self._closing or self._has_caller_disconnected():
                body.release()
                return True
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._handle(request))
        task.add_done_callback(lambda _: body.release())
        self._pending.append(_PendingRequest(parser, request, task))
        if self._write_task is None:
            self._write_task = loop.create_task(self._write_answers())
        return parser.their_state is not h11.DONE

    async def _write_answers(self) -> None:
        try:
            await self._write_pending_answers()
        except Exception:
            # Without the answer, the caller would wait on a connection that looks fine.
            self._closing = True
            raise
        finally:
            self._write_task = None
            if self._closing or self._has_caller_disconnected():
                self._cancel_and_close()

    async def _write_pending_answers(self) -> None:
        while self._pending:
            pending = self._pending[0]
            try:
                answer = await pending.task
            except asyncio.CancelledError:
                break
            self._write_answer(pending.parser, pending.request, answer)
            await self.drain()
            if not self._pending:
                # The caller disconnected while the answer was sent.
                break
            self._pending.popleft()
            self._pending_reduced.set()
            if pending.parser.our_state is not h11.DONE:
                self._closing = True
                break

    def _write_answer(
        self, parser: h11.Connection, request: CallerRequest, answer: CallerAnswer
    ) -> None:
        headers = list(answer.headers)
        if answer.status not in BODILESS_STATUSES:
            headers.append((b"content-length", b"%d" % len(answer.body)))
        # The answers to requests that were started before the stop follow.
        if self._is_stopping() and len(self._pending) == 1:
            headers.append((b"connection", b"close"))
        data = parser.send(h11.Response(status_code=answer.status, headers=headers))
        data = data or b""
        if answer.body and request.method != b"HEAD":
            data += parser.send(h11.Data(data=answer.body)) or b""
        data += parser.send(h11.EndOfMessage()) or b""
        self.write(data)

    async def _reject(self, parser: h11.Connection, exc: _RequestError) -> None:
        while self._pending and not self._has_caller_disconnected():
            self._pending_reduced.clear()
            await self._pending_reduced.wait()
        if self._closing or self._has_caller_disconnected():
            return
        if parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"content-length", b"0"), (b"connection", b"close")]
            if exc.retry_after_s is not None:
                headers.append((b"retry-after", f"{exc.retry_after_s:.2f}".encode()))
            data = parser.send(h11.Response(status_code=exc.status, headers=headers))
            self.write((data or b"") + (parser.send(h11.EndOfMessage()) or b""))
            await self._drop_rest()
        self._closing = True

    async def _drop_rest(self) -> None:
        """Read and drop what the caller still sends of a rejected request."""
        self.transport.write_eof()
        with suppress(TimeoutError, OSError):
            async with asyncio.timeout(REJECTION_LINGER_S):
                while await self.read():
                    pass

    def _new_parser(self) -> h11.Connection:
        size = self._limits().max_header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=size)

    def _next_parser(self, parser: h11.Connection) -> h11.Connection:
        """Return a parser for the request after that of the given parser.

        Each request needs its own, since an h11 connection reads the next request only
        after the answer to the previous one has been sent.
        """
        rest, has_ended = parser.trailing_data
        next_parser = self._new_parser()
        if rest:
            next_parser.receive_data(rest)
        if has_ended:
            next_parser.receive_data(b"")
        return next_parser

    def _cancel_and_close(self) -> None:
        for pending in self._pending:
            pending.task.cancel()
        self._pending.clear()
        self._pending_reduced.set()
        self._connections.discard(self)
        self.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being handled."""
        if not self._pending:
            self._closing = True
            self._cancel_and_close()
