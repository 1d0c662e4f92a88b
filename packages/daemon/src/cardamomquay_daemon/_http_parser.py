"""Strict parser of HTTP/1.1 requests for cheroot.

cheroot accepts some malformed or ambiguous requests that other HTTP implementations
interpret differently, such as a repeated Content-Length, line folding and spaces
before the colon. If two implementations disagree on where a request ends, part of one
caller's body can be taken for another caller's request (request smuggling), so this
parser refuses them.
"""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

from cheroot.errors import MaxSizeExceeded
from cheroot.server import HTTPRequest
from cheroot.server import KnownLengthRFile
from cheroot.server import SizeCheckWrapper

from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay_daemon._refusal_format import refusal_body
from cardamomquay_daemon._refusal_format import refusal_headers

if TYPE_CHECKING:
    from collections.abc import Callable

CRLF = b"\r\n"
CHUNK_LINE_MAX_BYTES = 256
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
TARGET = re.compile(rb"[\x21-\x7e]+")
VERSION = re.compile(rb"HTTP/1\.[01]")
LENGTH = re.compile(rb"[0-9]{1,18}")
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?\r\n")
CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
# Headers that may occur only once. If one is repeated, the daemon and another HTTP
# implementation may use different values.
SINGLE_VALUE_HEADERS = frozenset(
    {
        b"content-length",
        b"content-type",
        b"host",
        b"idempotency-key",
        b"request-timeout-ms",
        b"transfer-encoding",
        b"x-api-key",
        b"x-operator-key",
    }
)
REASON_BY_STATUS = {
    405: RefusalReason.METHOD_NOT_ALLOWED,
    408: RefusalReason.REQUEST_TIMEOUT,
    413: RefusalReason.BODY_TOO_LARGE,
    414: RefusalReason.TARGET_TOO_LONG,
    431: RefusalReason.HEADERS_TOO_LARGE,
    500: RefusalReason.INTERNAL_ERROR,
    501: RefusalReason.NOT_IMPLEMENTED,
    505: RefusalReason.VERSION_NOT_SUPPORTED,
}


class MalformedRequestError(ValueError):
    """A request that is not valid HTTP/1.1."""


class _LineReader:
    """Reads lines, and refuses those without CRLF or with a control character.

    Tab is the only control character allowed.
    """

    def __init__(self, source: Any) -> None:
        self._source = source

    def readline(self, size: int | None = None) -> bytes:
        line: bytes = self._source.readline(size)
        if not line:
            return line
        if not line.endswith(CRLF):
            raise MalformedRequestError("a line does not end with CR LF")
        if CONTROL_CHARACTER.search(line, 0, len(line) - 2):
            raise MalformedRequestError("a line has a control character")
        return line


class ChunkedBody:
    """Reader of a chunked request body and its trailer section.

    Parameters
    ----------
    source : binary file
        Buffered input of the connection.
    max_bytes : int
        Maximum size of the body.
    trailer_max_bytes : int
        Maximum size of the trailer section, which is read and dropped.

    Attributes
    ----------
    ended : bool
        Whether the whole body has been read.
    """

    def __init__(self, source: Any, max_bytes: int, trailer_max_bytes: int) -> None:
        self._source = source
        self._max_bytes = max_bytes
        self._trailer_max_bytes = trailer_max_bytes
        self._chunk_left = 0
        self._body_size = 0
        self.ended = False

    def read(self, size: int | None = None) -> bytes:
        """Read `size` bytes of the body, or fewer at its end.

        Raises
        ------
        MalformedRequestError
            If the chunked encoding is malformed.
        MaxSizeExceeded
            If the body or the trailer section is too large.
        """
        parts: list[bytes] = []
        wanted = self._max_bytes + 1 if size is None or size < 0 else size
        while wanted > 0 and not self.ended:
            if self._chunk_left == 0:
                self._next_chunk()
                continue
            part: bytes = self._source.read(min(wanted, self._chunk_left))
            if not part:
                raise MalformedRequestError("the body ends inside a chunk")
            parts.append(part)
            wanted -= len(part)
            self._chunk_left -= len(part)
            if self._chunk_left == 0 and self._source.read(2) != CRLF:
                raise MalformedRequestError("a chunk does not end with CR LF")
        return b"".join(parts)

    def _next_chunk(self) -> None:
        line: bytes = self._source.readline(CHUNK_LINE_MAX_BYTES)
        match = CHUNK_SIZE.fullmatch(line)
        if match is None:
            raise MalformedRequestError("a chunk size is malformed")
        self._chunk_left = int(match[1], 16)
        self._body_size += self._chunk_left
        if self._body_size > self._max_bytes:
            raise MaxSizeExceeded
        if self._chunk_left == 0:
            self._read_trailers()
            self.ended = True

    def _read_trailers(self) -> None:
        lines = _LineReader(SizeCheckWrapper(self._source, self._trailer_max_bytes))
        while (line := lines.readline()) != CRLF:
            if not line:
                raise MalformedRequestError("the trailer section does not end")


class StrictRequest(HTTPRequest):
    """An HTTP request that is refused if its syntax is malformed or ambiguous."""

    def parse_request(self) -> None:
        self.rfile = _LineReader(
            SizeCheckWrapper(self.conn.rfile, self.server.max_request_header_size)
        )
        status_if_too_large = 414
        try:
            if not self.read_request_line():  # type: ignore[no-untyped-call]
                return
            self._check_request_line()
            status_if_too_large = 431
            self._read_headers()
        except MalformedRequestError as exc:
            self.simple_response(400, str(exc))
            return
        except MaxSizeExceeded:
            self.simple_response(status_if_too_large)
            return
        if self.read_request_headers():  # type: ignore[no-untyped-call]
            options = self.inheaders.get(b"Connection", b"").lower().split(b",")
            if b"close" in (option.strip() for option in options):
                self.close_connection = True
            self.ready = True

    def _check_request_line(self) -> None:
        if not TARGET.fullmatch(self.uri):
            raise MalformedRequestError("the target has a character that is not ASCII")
        if not TOKEN.fullmatch(self.method):
            raise MalformedRequestError("the method is not a token")
        if not VERSION.fullmatch(self.request_protocol):
            raise MalformedRequestError("the version is malformed")

    def _read_headers(self) -> None:
        headers = self.inheaders
        while (line := self.rfile.readline()) != CRLF:
            if not line:
                raise MalformedRequestError("the header section does not end")
            name, value = _parse_header(line)
            key = name.title()
            if key not in headers:
                headers[key] = value
            elif name.lower() in SINGLE_VALUE_HEADERS:
                text = name.decode("ascii")
                raise MalformedRequestError(f"header {text} is repeated")
            else:
                headers[key] = headers[key] + b", " + value
        self._check_framing_and_host()

    def _check_framing_and_host(self) -> None:
        headers = self.inheaders
        length = headers.get(b"Content-Length")
        coding = headers.get(b"Transfer-Encoding")
        if length is not None and coding is not None:
            raise MalformedRequestError("both Transfer-Encoding and Content-Length")
        if length is not None and not LENGTH.fullmatch(length):
            raise MalformedRequestError("Content-Length is not a number")
        if coding is not None and self.request_protocol != b"HTTP/1.1":
            raise MalformedRequestError("Transfer-Encoding needs HTTP/1.1")
        if coding is not None and not TOKEN.fullmatch(coding):
            raise MalformedRequestError("Transfer-Encoding is not a single coding")
        if b"Host" not in headers and self.request_protocol == b"HTTP/1.1":
            raise MalformedRequestError("header Host is missing")

    def header_reader(self, rfile: Any, headers: dict[bytes, bytes]) -> None:
        """Do nothing, because `parse_request` has read the headers."""

    def respond(self) -> None:
        max_bytes = self.server.max_request_body_size
        if self.chunked_read:
            header_limit = self.server.max_request_header_size
            self.rfile = ChunkedBody(self.conn.rfile, max_bytes, header_limit)
        else:
            length = int(self.inheaders.get(b"Content-Length", 0))
            self.rfile = KnownLengthRFile(self.conn.rfile, length)
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")

    def send_headers(self) -> None:
        # With an unread body the connection is closed: the rest of the body would be
        # parsed as the next request, and reading it to the end would let a slow sender
        # occupy the thread.
        is_unread = isinstance(self.rfile, ChunkedBody) and not self.rfile.ended
        is_unread = is_unread or getattr(self.rfile, "remaining", 0) > 0
        close_requested = any(
            name.lower() == b"connection" and value.lower() == b"close"
            for name, value in self.outheaders
        )
        if is_unread or close_requested:
            self.close_connection = True
        self.conn.discard_input_on_close = is_unread
        self.conn.restart_output_deadline()
        super().send_headers()

    def simple_response(self, status: int | str, msg: str = "") -> None:
        """Refuse a request whose answer has not begun, and close the connection.

        cheroot calls this method too, with a `status` like ``408 Request Timeout``.
        """
        code = int(str(status)[:3])
        reason = REASON_BY_STATUS.get(code, RefusalReason.BAD_REQUEST)
        refusal = Refusal(reason, msg)
        self.close_connection = True
        on_refusal: Callable[[RefusalReason], None] | None
        on_refusal = getattr(self.server, "on_refusal", None)
        if on_refusal is not None:
            on_refusal(reason)
        body = refusal_body(refusal)
        headers = {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            "Connection": "close",
            **refusal_headers(refusal),
        }
        lines = [f"HTTP/1.1 {refusal.status} {HTTPStatus(refusal.status).phrase}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        if getattr(self, "method", b"") == b"HEAD":
            body = b""
        self.conn.discard_input_on_close = True
        self.conn.restart_output_deadline()
        self.conn.wfile.write(head + body)


def _parse_header(line: bytes) -> tuple[bytes, bytes]:
    name, separator, value = line[:-2].partition(b":")
    if line[:1] in b" \t":
        raise MalformedRequestError("a header line is folded")
    if not separator:
        raise MalformedRequestError("a header line has no colon")
    if not TOKEN.fullmatch(name):
        raise MalformedRequestError("a header name is not a token")
    if b"_" in name:
        # In the WSGI environ, X_Api_Key and X-Api-Key are both HTTP_X_API_KEY.
        raise MalformedRequestError("a header name has an underscore")
    return name, value.strip(b" \t")
