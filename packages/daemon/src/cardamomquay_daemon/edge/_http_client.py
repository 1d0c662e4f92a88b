"""HTTP/1.1 client connection to an upstream or to the store."""

from __future__ import annotations

import asyncio
import re
from contextlib import asynccontextmanager
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import cast

import h11

from cardamomquay_daemon.edge._answer_limits import SMALL_ANSWER_BYTES
from cardamomquay_daemon.edge._answer_limits import UNSTATED_ANSWER_BYTES
from cardamomquay_daemon.edge._answer_limits import UNSTATED_SMALL_BYTES
from cardamomquay_daemon.edge._answer_limits import AnswerBuffer
from cardamomquay_daemon.edge._answer_limits import AnswerBuffers
from cardamomquay_daemon.edge._answer_limits import AnswerLimits
from cardamomquay_daemon.edge._answer_limits import AnswerTooLargeError
from cardamomquay_daemon.edge._byte_stream import ByteStream
from cardamomquay_daemon.edge._byte_stream import connect
from cardamomquay_daemon.edge._turns import ANSWER_TURNS_PER_ITERATION
from cardamomquay_daemon.edge._turns import EVENTS_PER_TURN
from cardamomquay_daemon.edge._turns import Turns

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Generator

Headers = list[tuple[bytes, bytes]]

# Answers have a status from 200 to 599 (RFC 9110, section 15); callers take another one
# for whatever they like.
STATUS_MAX = 599
NO_CONTENT_STATUS = 204
# Statuses of answers without a body and without Content-Length (RFC 9110, section 8.6).
BODILESS_STATUSES = frozenset((NO_CONTENT_STATUS, 304))
MAJOR_VERSION = b"1."
ANSWER_START = b"HTTP/1."
CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}")
BODY_PART_BYTES = 65_536
# Reason of an `ExchangeError` if nothing listens at the address.
CONNECT_REFUSED = "connect_refused"
# Limits for the answers of upstreams and of the store, and the bytes buffered of them
# in this process.
ANSWER_LIMITS = AnswerLimits()
ANSWER_BUFFERS = AnswerBuffers()
ANSWER_TURNS = Turns(ANSWER_TURNS_PER_ITERATION)


@dataclass(slots=True)
class HttpAnswer:
    """A complete HTTP answer.

    Parameters
    ----------
    status : int
    headers : list of tuple of bytes
        Names in lower case.
    body : bytes
    ends_connection : bool
        Whether the connection cannot carry another exchange.
    is_ended_by_close : bool
        Whether only the end of the connection shows where the body ends. Such an answer
        may be incomplete.
    """

    status: int
    headers: Headers
    body: bytes = b""
    ends_connection: bool = False
    is_ended_by_close: bool = False
    _by_name: dict[bytes, bytes] = field(default_factory=dict)

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if there is none."""
        if not self._by_name:
            self._by_name = dict(reversed(self.headers))
        return self._by_name.get(name)


class ExchangeError(Exception):
    """Raised if no connection can be opened or a request gets no complete answer.

    Parameters
    ----------
    reason : str
        Short identifier of the cause, such as `connect_timeout`.
    request_may_have_arrived : bool
        Whether any byte of the request may have reached the server.
    answer_began : bool, default=False
        Whether any byte was received after the request was sent.
    server_ended : bool, default=False
        Whether the server ended or reset the connection.
    """

    def __init__(
        self,
        reason: str,
        request_may_have_arrived: bool,
        answer_began: bool = False,
        server_ended: bool = False,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.request_may_have_arrived = request_may_have_arrived
        self.answer_began = answer_began
        self.server_ended = server_ended


class HttpConnection:
    """A connection for one request at a time.

    Parameters
    ----------
    stream : ByteStream
    connect_duration_s : float
        Time that it took to open the connection, about one round trip.
    limits : AnswerLimits
    buffers : AnswerBuffers
    service : str, default=""
        Service whose answers are for callers. Without one, as for the store, answers
        are read first.

    Attributes
    ----------
    opened_s : float
        Time at which the connection was accepted, on the clock of the event loop.
    exchange_count : int
        Number of requests sent so far.
    idle_since_s : float
        Time of the last release to a pool, on the clock of the event loop.
    idle_limit_s : float
        Time for which the connection may stay idle and be reused; 0 to close it after
        the current request.
    is_idle_limit_stated : bool
        Whether the server has stated for how long it keeps idle connections.
    """

    def __init__(
        self,
        stream: ByteStream,
        connect_duration_s: float,
        limits: AnswerLimits = ANSWER_LIMITS,
        buffers: AnswerBuffers = ANSWER_BUFFERS,
        service: str = "",
    ) -> None:
        self.service = service
        self._stream = stream
        self._limits = limits
        self._buffers = buffers
        self.connect_duration_s = connect_duration_s
        self._answer_began = False
        self.opened_s = asyncio.get_running_loop().time()
        self.exchange_count = 0
        self.idle_since_s = 0.0
        self.idle_limit_s = 0.0
        self.is_idle_limit_stated = False

    @classmethod
    async def open(cls, address: tuple[str, int], timeout_s: float) -> HttpConnection:
        """Open a connection.

        Parameters
        ----------
        address : tuple of str and int
        timeout_s : float

        Returns
        -------
        HttpConnection

        Raises
        ------
        ExchangeError
            If the connection is refused, or not accepted in time.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        try:
            stream = await connect(address, timeout_s)
        except TimeoutError as exc:
            raise ExchangeError(
                "connect_timeout", request_may_have_arrived=False
            ) from exc
        except ConnectionRefusedError as exc:
            raise ExchangeError(
                CONNECT_REFUSED, request_may_have_arrived=False
            ) from exc
        except OSError as exc:
            raise ExchangeError(
                "connect_failed", request_may_have_arrived=False
            ) from exc
        return cls(stream, loop.time() - began_s)

    @property
    def last_received_s(self) -> float:
        """Time of the last bytes received, or of opening, on the loop's clock."""
        return self._stream.last_received_s

    @property
    def was_ended_by_peer(self) -> bool:
        """Whether the server has ended or reset the connection."""
        return self._stream.was_ended_by_peer

    def call_at_end_by_peer(self, callback: Callable[[], None] | None) -> None:
        """Set what is called when the server ends or resets the connection."""
        self._stream.on_end_by_peer = callback

    @property
    def is_reusable(self) -> bool:
        """Whether the idle connection is open and has no unexpected bytes."""
        return self._stream.is_idle

    async def exchange(
        self,
        request: h11.Request,
        body: bytes | bytearray = b"",
        request_id: tuple[bytes, bytes] | None = None,
    ) -> HttpAnswer:
        """Send a request and return its complete answer.

        Parameters
        ----------
        request : h11.Request
        body : bytes or bytearray
        request_id : tuple of bytes, optional
            Name and value of the header that identifies the answer. An answer with
            another value belongs to an earlier request and is discarded. One without
            the header may do so too, and ends the exchange.

        Returns
        -------
        HttpAnswer

        Raises
        ------
        ExchangeError
            If the connection ends, or the server violates the protocol, sends more than
            the limits allow or an answer that cannot be attributed, before the answer
            is complete.
        """
        parser, head = self._start_request(request, body)
        self.exchange_count += 1
        self._answer_began = False
        try:
            async with self._sending(head, body) as is_sent:
                for _ in range(1 + self._limits.foreign_answers):
                    answer = await self._read_answer(parser)
                    if request_id is None:
                        break
                    answer_id = answer.header(request_id[0])
                    if answer_id == request_id[1]:
                        break
                    if answer_id is None:
                        raise self._exchange_error("answer_unidentified")
                    parser = self._restart_parser(parser, request, body)
                else:
                    raise AnswerTooLargeError
                has_sent_body = is_sent()
        except AnswerTooLargeError as exc:
            raise self._exchange_error("answer_too_large") from exc
        except h11.RemoteProtocolError as exc:
            reason = "answer_malformed" if self._answer_began else "connection_closed"
            raise self._exchange_error(reason) from exc
        except OSError as exc:
            raise self._exchange_error("connection_reset") from exc
        rest, has_ended = parser.trailing_data
        answer.ends_connection = (
            parser.their_state is not h11.DONE
            or has_ended
            or bool(rest)
            or not has_sent_body
            or self._stream.unsent_bytes > 0
            or self._stream.has_ended
        )
        answer.is_ended_by_close = (
            has_ended
            and answer.header(b"content-length") is None
            and answer.header(b"transfer-encoding") is None
        )
        return answer

    def _exchange_error(self, reason: str) -> ExchangeError:
        return ExchangeError(reason, True, self._answer_began, self._stream.has_ended)

    def close(self) -> None:
        """Close the connection at once."""
        self._stream.abort()

    async def _read_answer(self, parser: h11.Connection) -> HttpAnswer:
        answer: HttpAnswer | None = None
        event_count = interim_count = 0
        with (
            self._buffers.buffer(self._limits.body_bytes, self._stream.wake) as buffer,
            self._reading_in_turns() as take_turn,
        ):
            while True:
                event = parser.next_event()
                event_count += 1
                if event_count % EVENTS_PER_TURN == 0:
                    await take_turn()
                if event is h11.NEED_DATA:
                    expected_bytes = _expected_bytes(answer, buffer) if answer else 0
                    if expected_bytes > SMALL_ANSWER_BYTES:
                        # Nothing is read meanwhile.
                        self._stream.set_reads_on_demand(True)
                        if self.service:
                            await buffer.wait_for_room(expected_bytes, self.service)
                        await take_turn()
                        buffer.check()
                    data = await self._stream.read()
                    buffer.check()
                    buffer.record_received(len(data), self._stream.last_received_s)
                    self._answer_began = self._answer_began or bool(data)
                    parser.receive_data(data)
                elif isinstance(event, h11.Response):
                    _check_head(event)
                    answer = HttpAnswer(event.status_code, list(event.headers))
                elif isinstance(event, h11.Data):
                    buffer.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage) and answer is not None:
                    if answer.status in BODILESS_STATUSES:
                        _check_no_body(answer, parser)
                    answer.body = buffer.body()
                    return answer
                elif isinstance(event, h11.InformationalResponse):
                    _check_status_line(event)
                    interim_count += 1
                    if interim_count > self._limits.interim_answers:
                        raise AnswerTooLargeError
                else:
                    raise h11.RemoteProtocolError(
                        "connection ended before the answer was complete"
                    )

    @contextmanager
    def _reading_in_turns(self) -> Generator[Callable[[], Awaitable[None]]]:
        """Yield what waits for processor time for more of an answer.

        From the first turn on, the socket is read only when an answer has its turn.
        """

        async def take_turn() -> None:
            self._stream.set_reads_on_demand(True)
            turn = ANSWER_TURNS.request(is_ahead=bool(self.service))
            if turn is not None:
                await turn

        try:
            yield take_turn
        finally:
            self._stream.set_reads_on_demand(False)

    @asynccontextmanager
    async def _sending(
        self, head: bytes, body: bytes | bytearray
    ) -> AsyncGenerator[Callable[[], bool]]:
        """Send a request within the context; yield whether its body has been sent.

        A long body is sent in parts, since the transport copies what it cannot send at
        once. The server may answer before it has received all of it.
        """
        if len(body) <= BODY_PART_BYTES:
            self._stream.write(head + body)
            yield lambda: True
            return
        self._stream.write(head)
        task = asyncio.create_task(self._send_body(body))
        try:
            yield task.done
        finally:
            task.cancel()

    async def _send_body(self, body: bytes | bytearray) -> None:
        with memoryview(body) as view:
            for start in range(0, len(view), BODY_PART_BYTES):
                self._stream.write(view[start : start + BODY_PART_BYTES])
                await self._stream.drain()

    def _start_request(
        self, request: h11.Request, body: bytes | bytearray
    ) -> tuple[h11.Connection, bytes]:
        """Return a parser for the answer, and the head of the request."""
        parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=self._limits.head_bytes
        )
        head = parser.send(request) or b""
        if body:
            # The parser only checks the length, and returns the body as it is.
            parser.send_with_data_passthrough(h11.Data(data=cast("bytes", body)))
        parser.send(h11.EndOfMessage())
        return parser, head

    def _restart_parser(
        self, parser: h11.Connection, request: h11.Request, body: bytes | bytearray
    ) -> h11.Connection:
        """Return a parser for the next answer; the request is not sent again."""
        if parser.their_state is not h11.DONE:
            raise h11.RemoteProtocolError(
                "connection ended before the answer was complete"
            )
        rest, has_ended = parser.trailing_data
        next_parser, _ = self._start_request(request, body)
        if rest:
            next_parser.receive_data(rest)
        if has_ended:
            next_parser.receive_data(b"")
        return next_parser


def _expected_bytes(answer: HttpAnswer, buffer: AnswerBuffer) -> int:
    """Return the size of an answer when it is complete, as far as it is known."""
    stated = answer.header(b"content-length")
    if stated is not None:
        return int(stated)
    is_small = buffer.size_bytes <= UNSTATED_SMALL_BYTES
    return buffer.size_bytes if is_small else UNSTATED_ANSWER_BYTES


def _check_status_line(head: h11.Response | h11.InformationalResponse) -> None:
    """Refuse a status line that has no meaning to callers; h11 refuses 000 to 099.

    Raises
    ------
    h11.RemoteProtocolError
    """
    if head.status_code > STATUS_MAX:
        raise h11.RemoteProtocolError("status out of range")
    if not head.http_version.startswith(MAJOR_VERSION):
        raise h11.RemoteProtocolError("unknown version")
    if CONTROL_BYTE.search(head.reason):
        raise h11.RemoteProtocolError("control byte in the status line")


def _check_head(head: h11.Response) -> None:
    """Refuse a head without a meaning, or that belongs to two answers.

    Raises
    ------
    h11.RemoteProtocolError
    """
    _check_status_line(head)
    if _holds_status_line(head):
        raise h11.RemoteProtocolError("head holds a second answer")


def _check_no_body(answer: HttpAnswer, parser: h11.Connection) -> None:
    """Refuse an answer with a body to which its status allows none.

    Raises
    ------
    h11.RemoteProtocolError
    """
    rest, _ = parser.trailing_data
    # A 304 may state the length of the body that it leaves out (RFC 9110, section 8.6).
    states_body = answer.status == NO_CONTENT_STATUS and (
        answer.header(b"transfer-encoding") is not None
        or answer.header(b"content-length") not in (None, b"0")
    )
    # The next answer of the connection may follow, to an earlier request.
    if states_body or (rest and not rest.startswith(ANSWER_START)):
        raise h11.RemoteProtocolError("body of an answer that has none")


def _holds_status_line(head: h11.Response) -> bool:
    """Return whether a head was cut short and continues with that of another answer.

    Its status and headers then belong to two answers.
    """
    return any(
        STATUS_LINE.search(text)
        for text in (head.reason, *(value for _, value in head.headers))
    )
