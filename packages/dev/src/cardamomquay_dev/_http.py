"""A small HTTP client for the load tool, the demo and the benchmarks."""

from __future__ import annotations

import io
import json
import threading
from dataclasses import dataclass
from typing import Any

import pycurl

_thread_state = threading.local()
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Status, lower-case headers and body of an answer."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The failure of a call that got no complete answer.

    Parameters
    ----------
    code : int
        Error code of libcurl.
    refused : bool
        Whether the connection was refused, so nothing was sent.
    """

    code: int
    refused: bool


def call(
    method: str,
    url: str,
    headers: tuple[str, ...] = (),
    body: bytes | None = None,
    timeout_ms: int = 6000,
) -> HttpAnswer | NoAnswer:
    """Send a request, on a connection that is kept per thread."""
    curl = getattr(_thread_state, "curl", None)
    if curl is None:
        curl = _thread_state.curl = pycurl.Curl()
    curl.reset()
    buffer = io.BytesIO()
    header_lines: list[bytes] = []
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.CUSTOMREQUEST, method)
    curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, 1000)
    curl.setopt(pycurl.HTTPHEADER, [*headers, "Expect:"])
    curl.setopt(pycurl.WRITEDATA, buffer)
    curl.setopt(pycurl.HEADERFUNCTION, header_lines.append)
    if body is not None:
        curl.setopt(pycurl.POSTFIELDS, body)
    try:
        curl.perform()
    except pycurl.error as exc:
        # libcurl repeats a request whose reused connection was closed. If the second
        # connection is refused, the first one may still have carried the request, so
        # only an empty request size proves that nothing was sent.
        unsent = int(curl.getinfo(pycurl.REQUEST_SIZE)) == 0
        _thread_state.curl = None
        curl.close()
        refused = unsent and exc.args[0] == pycurl.E_COULDNT_CONNECT
        return NoAnswer(int(exc.args[0]), refused)
    answer_headers = {}
    for header_line in header_lines:
        name, separator, value = header_line.decode("latin-1").partition(":")
        if separator:
            answer_headers[name.strip().lower()] = value.strip()
    status = int(curl.getinfo(pycurl.RESPONSE_CODE))
    return HttpAnswer(status, answer_headers, buffer.getvalue())


def get_json(url: str, headers: tuple[str, ...] = ()) -> Any:
    """Return the JSON document (or other text) of a 200 answer, otherwise None."""
    answer = call("GET", url, headers, timeout_ms=2000)
    if isinstance(answer, NoAnswer) or answer.status != HTTP_OK:
        return None
    try:
        return json.loads(answer.body)
    except ValueError:
        return answer.body.decode()


def post_json(url: str, document: Any, headers: tuple[str, ...] = ()) -> Any:
    """Post a JSON document and return that of the answer, None without an answer."""
    answer = call("POST", url, headers, json.dumps(document).encode())
    return None if isinstance(answer, NoAnswer) else json.loads(answer.body)
