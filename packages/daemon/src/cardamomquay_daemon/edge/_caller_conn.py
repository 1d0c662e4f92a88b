"""One HTTP/1.1 connection of a caller, with pipelined requests."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Protocol

import h11

from cardamomquay_daemon.edge._byte_stream import ByteStream

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from cardamomquay_daemon.edge._http_client import Headers

# Requests of one connection that are worked on at the same time.
PIPELINE_MAX = 16
# Answers that never have a body, nor a length (RFC 9110, section 8.6).
BODILESS_STATUSES = frozenset((204, 304))
IDEMPOTENT_METHODS = frozenset((b"GET", b"HEAD", b"OPTIONS"))


@dataclass(slots=True)
class CallerRequest:
    """A request that was read whole.

    Parameters
    ----------
    method : bytes
    target : bytes
    headers : list of tuple of bytes
        Names in lower case.
    body : bytes
    received_s : float
        Time of the event loop at which its last byte was read.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_s: float

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if there is none."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@dataclass(slots=True)
class CallerAnswer:
    """What the caller gets.

    Parameters
    ----------
    status : int
    headers : list of tuple of bytes
        Without those that concern only one connection.
    body : bytes
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class ReadLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class RequestHandler(Protocol):
    """Answers a request; never raises, and may be cancelled."""

    def __call__(
        self, request: CallerRequest
    ) -> Coroutine[None, None, CallerAnswer]: ...


class _BadRequest(Exception):
    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class _Pending:
    parser: h11.Connection
    request: CallerRequest
    task: asyncio.Task[CallerAnswer]


class CallerConnection(ByteStream):
    """Reads requests, lets them be handled at the same time, answers in order.

    Parameters
    ----------
    handle : RequestHandler
        Answers one request; cancelled when the caller leaves.
    limits : callable
        Returns the `ReadLimits` in force.
    is_stopping : callable
        Whether answers shall ask the caller to leave.
    registry : set of CallerConnection
        Holds the connection while it is open.
    """

    def __init__(
        self,
        handle: RequestHandler,
        limits: Callable[[], ReadLimits],
        is_stopping: Callable[[], bool],
        registry: set[CallerConnection],
    ) -> None:
        super().__init__()
        self._handle = handle
        self._limits = limits
        self._is_stopping = is_stopping
        self._registry = registry
        self._pending: deque[_Pending] = deque()
        self._has_room = asyncio.Event()
        self._writer: asyncio.Task[None] | None = None
        self._reader: asyncio.Task[None] | None = None
        self._closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._registry.add(self)
        loop = asyncio.get_running_loop()
        self._reader = loop.create_task(self._read_requests())

    @property
    def is_busy(self) -> bool:
        """Whether a request was read and is not answered yet."""
        return bool(self._pending)

    async def _read_requests(self) -> None:
        parser = self._new_parser()
        try:
            while not self._closing:
                request = await self._read_request(parser)
                if request is None:
                    break
                if await self._dispatch(parser, request):
                    break
                parser = self._parser_after(parser)
            while self._pending and not self._is_gone():
                # Nothing more is expected; only the caller's leaving is awaited.
                if not await self.read():
                    break
        except _BadRequest as exc:
            await self._reject(parser, exc)
        except OSError:
            # A caller that reset its connection has left; `finally` ends its work.
            self._ended = True
        finally:
            if self._is_gone() or not self._pending:
                self._end()

    def _is_gone(self) -> bool:
        return self._ended

    async def _read_request(self, parser: h11.Connection) -> CallerRequest | None:
        limits = self._limits()
        head: h11.Request | None = None
        chunks: list[bytes] = []
        size = 0
        timeout_s = limits.idle_timeout_s
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as exc:
                raise _BadRequest(exc.error_status_hint, str(exc)) from exc
            if event is h11.NEED_DATA:
                if parser.they_are_waiting_for_100_continue and not self._pending:
                    informational = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    self.write(parser.send(informational) or b"")
                is_begun = head is not None or bool(parser.trailing_data[0])
                data = await self._read_in_time(is_begun, timeout_s, limits)
                if not data:
                    return None
                parser.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
                size += len(event.data)
                if size > limits.max_body_bytes:
                    raise _BadRequest(413, "body too large")
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return CallerRequest(
                    head.method,
                    head.target,
                    list(head.headers),
                    b"".join(chunks),
                    asyncio.get_running_loop().time(),
                )
            else:
                return None

    async def _read_in_time(
        self, is_begun: bool, idle_s: float, limits: ReadLimits
    ) -> bytes:
        timeout_s = limits.header_timeout_s if is_begun else idle_s
        while True:
            try:
                async with asyncio.timeout(timeout_s):
                    return await self.read()
            except TimeoutError as exc:
                if is_begun:
                    raise _BadRequest(408, "request not sent in time") from exc
                if not self._pending:
                    return b""

    async def _dispatch(self, parser: h11.Connection, request: CallerRequest) -> bool:
        """Start work on a request; return whether it is the connection's last."""
        while len(self._pending) >= PIPELINE_MAX or (
            # What may run once waits until no answer before it can end the connection.
            self._pending and request.method not in IDEMPOTENT_METHODS
        ):
            self._has_room.clear()
            await self._has_room.wait()
            if self._closing or self._is_gone():
                return True
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._handle(request))
        self._pending.append(_Pending(parser, request, task))
        if self._writer is None:
            self._writer = loop.create_task(self._write_answers())
        return parser.their_state is not h11.DONE

    async def _write_answers(self) -> None:
        while self._pending:
            pending = self._pending[0]
            try:
                answer = await pending.task
            except asyncio.CancelledError:
                break
            self._write_answer(pending.parser, pending.request, answer)
            await self.drain()
            if not self._pending:
                # The caller left while the answer was being sent.
                break
            self._pending.popleft()
            self._has_room.set()
            if pending.parser.our_state is not h11.DONE:
                self._closing = True
                break
        self._writer = None
        if self._closing or self._is_gone():
            self._end()

    def _write_answer(
        self, parser: h11.Connection, request: CallerRequest, answer: CallerAnswer
    ) -> None:
        headers = list(answer.headers)
        if answer.status not in BODILESS_STATUSES:
            headers.append((b"content-length", b"%d" % len(answer.body)))
        if self._is_stopping():
            headers.append((b"connection", b"close"))
        data = parser.send(h11.Response(status_code=answer.status, headers=headers))
        data = data or b""
        if answer.body and request.method != b"HEAD":
            data += parser.send(h11.Data(data=answer.body)) or b""
        data += parser.send(h11.EndOfMessage()) or b""
        self.write(data)

    async def _reject(self, parser: h11.Connection, exc: _BadRequest) -> None:
        while self._pending and not self._is_gone():
            self._has_room.clear()
            await self._has_room.wait()
        if self._closing or self._is_gone():
            return
        if parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"content-length", b"0"), (b"connection", b"close")]
            data = parser.send(h11.Response(status_code=exc.status, headers=headers))
            self.write((data or b"") + (parser.send(h11.EndOfMessage()) or b""))
        self._closing = True

    def _new_parser(self) -> h11.Connection:
        size = self._limits().max_header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=size)

    def _parser_after(self, parser: h11.Connection) -> h11.Connection:
        rest, has_ended = parser.trailing_data
        successor = self._new_parser()
        if rest:
            successor.receive_data(rest)
        if has_ended:
            successor.receive_data(b"")
        return successor

    def _end(self) -> None:
        for pending in self._pending:
            pending.task.cancel()
        self._pending.clear()
        self._has_room.set()
        self._registry.discard(self)
        self.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request on it is being worked on."""
        if not self._pending:
            self._closing = True
            self._end()
