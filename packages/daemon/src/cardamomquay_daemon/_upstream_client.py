"""Sends requests to upstreams over pooled connections."""

from __future__ import annotations

import io
import threading
import time
from collections import defaultdict
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pycurl

from cardamomquay.outcomes import RetryReason

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cardamomquay.config import Upstream

CONNECT_TIMEOUT_MS = 1000
IDLE_CONNECTIONS_PER_UPSTREAM_MAX = 8
# An upstream sheds a request with this status and the header `NOT_RUN_HEADER: true`.
# Without the header, an answer with this status is relayed to the caller.
SHED_STATUS = 503
NOT_RUN_HEADER = "x-not-run"
# A higher status has no meaning to callers (RFC 9110, section 15); libcurl refuses
# those below 100.
STATUS_MAX = 599
# Hop-by-hop headers, and Content-Length, which is set again for the forwarded message.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request to an upstream; it does not contain the caller's API key."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float
    repeatable: bool


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """A complete answer of an upstream."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    latency_s: float


@dataclass(frozen=True, slots=True)
class UpstreamFailure:
    """A failed or shed request.

    Parameters
    ----------
    reason : RetryReason
        Also shows whether the upstream may have run the request.
    cut : bool
        Whether part of an answer was received.
    latency_s : float
    """

    reason: RetryReason
    cut: bool
    latency_s: float


@dataclass(slots=True)
class _Connection:
    curl: pycurl.Curl
    reusable: bool = False


class UpstreamClient:
    """Sends requests and keeps idle connections per upstream; thread-safe.

    Parameters
    ----------
    answer_max_bytes : int
        Maximum size of an answer.
    """

    def __init__(self, answer_max_bytes: int) -> None:
        self._answer_max_bytes = answer_max_bytes
        self._lock = threading.Lock()
        self._idle: defaultdict[str, list[pycurl.Curl]] = defaultdict(list)

    def send(
        self, upstream: Upstream, request: UpstreamRequest
    ) -> UpstreamAnswer | UpstreamFailure:
        """Send a request and wait for the complete answer.

        Parameters
        ----------
        upstream : Upstream
        request : UpstreamRequest

        Returns
        -------
        UpstreamAnswer or UpstreamFailure
        """
        started = time.perf_counter()
        body = io.BytesIO()
        header_lines: list[bytes] = []
        with self._connection(upstream.address) as conn:
            curl = conn.curl
            self._prepare(curl, upstream, request, body, header_lines)
            try:
                curl.perform()
            except pycurl.error as exc:
                latency_s = time.perf_counter() - started
                return _failure_of(curl, int(exc.args[0]), header_lines, latency_s)
            status = int(curl.getinfo(pycurl.RESPONSE_CODE))
            conn.reusable = status <= STATUS_MAX
        latency_s = time.perf_counter() - started
        if status > STATUS_MAX:
            return UpstreamFailure(RetryReason.FAILURE_AFTER_SENDING, True, latency_s)
        headers = _parse_headers(header_lines)
        if status == SHED_STATUS and (NOT_RUN_HEADER, "true") in (
            (name.lower(), value.lower()) for name, value in headers
        ):
            return UpstreamFailure(RetryReason.SHED_NOT_RUN, False, latency_s)
        return UpstreamAnswer(status, headers, body.getvalue(), latency_s)

    @contextmanager
    def _connection(self, address: str) -> Iterator[_Connection]:
        with self._lock:
            idle = self._idle[address]
            curl = idle.pop() if idle else pycurl.Curl()
        conn = _Connection(curl)
        try:
            yield conn
        finally:
            if conn.reusable:
                self._keep_idle(address, curl)
            else:
                # A late answer on this connection would be returned as the answer to
                # the next request.
                curl.close()

    def _keep_idle(self, address: str, curl: pycurl.Curl) -> None:
        with self._lock:
            idle = self._idle[address]
            if len(idle) < IDLE_CONNECTIONS_PER_UPSTREAM_MAX:
                idle.append(curl)
                return
        curl.close()

    def _prepare(
        self,
        curl: pycurl.Curl,
        upstream: Upstream,
        request: UpstreamRequest,
        body: io.BytesIO,
        header_lines: list[bytes],
    ) -> None:
        curl.reset()
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.URL, f"http://{upstream.address}{request.target}")
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.TIMEOUT_MS, max(1, int(request.timeout_s * 1000)))
        curl.setopt(pycurl.MAXFILESIZE, self._answer_max_bytes)
        curl.setopt(pycurl.WRITEDATA, body)
        curl.setopt(pycurl.HEADERFUNCTION, header_lines.append)
        if not request.repeatable:
            # If a reused connection turns out to be closed, libcurl sends the request
            # again. Non-repeatable requests therefore use a new connection.
            curl.setopt(pycurl.FRESH_CONNECT, 1)
        headers = [f"{name}: {value}" for name, value in request.headers]
        curl.setopt(pycurl.HTTPHEADER, [*headers, "Expect:"])
        if request.method == "HEAD":
            curl.setopt(pycurl.NOBODY, 1)
        else:
            curl.setopt(pycurl.CUSTOMREQUEST, request.method)
        if request.body or request.method in {"POST", "PUT", "PATCH"}:
            curl.setopt(pycurl.POSTFIELDS, request.body)


def _failure_of(
    curl: pycurl.Curl,
    code: int,
    header_lines: list[bytes],
    latency_s: float,
) -> UpstreamFailure:
    sent_bytes = int(curl.getinfo(pycurl.REQUEST_SIZE))
    # If a reused connection closes without an answer, libcurl connects and sends the
    # request again. The new connection may be refused although the request sent on the
    # first one has run, so "not run" is certain only if no byte was sent in the whole
    # transfer.
    if sent_bytes == 0 and code == pycurl.E_COULDNT_CONNECT:
        reason = RetryReason.CONNECTION_REFUSED
    elif sent_bytes == 0:
        reason = RetryReason.NOTHING_SENT
    elif code == pycurl.E_OPERATION_TIMEDOUT:
        reason = RetryReason.TIMEOUT_AFTER_SENDING
    else:
        reason = RetryReason.FAILURE_AFTER_SENDING
    return UpstreamFailure(reason, bool(header_lines), latency_s)


def _parse_headers(lines: list[bytes]) -> tuple[tuple[str, str], ...]:
    headers: list[tuple[str, str]] = []
    for line in lines:
        if line.startswith(b"HTTP/"):
            # Headers so far belong to an interim (1xx) answer.
            headers.clear()
            continue
        name, separator, value = line.decode("latin-1").partition(":")
        if separator and name.strip().lower() not in HOP_BY_HOP:
            headers.append((name.strip(), value.strip()))
    return tuple(headers)
