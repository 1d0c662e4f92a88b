"""Small HTTP calls for load, demo and benchmarks."""

from __future__ import annotations

import io
import json
import threading
from dataclasses import dataclass
from typing import Any

import pycurl

_local = threading.local()
OK = 200


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Status, lower-case headers and body of an answer."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """A call without a whole answer.

    Parameters
    ----------
    code : int
        libcurl's error code.
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
    """Make a call on this thread's connection."""
    curl = getattr(_local, "curl", None)
    if curl is None:
        curl = _local.curl = pycurl.Curl()
    curl.reset()
    buffer = io.BytesIO()
    lines: list[bytes] = []
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.CUSTOMREQUEST, method)
    curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, 1000)
    curl.setopt(pycurl.HTTPHEADER, [*headers, "Expect:"])
    curl.setopt(pycurl.WRITEDATA, buffer)
    curl.setopt(pycurl.HEADERFUNCTION, lines.append)
    if body is not None:
        curl.setopt(pycurl.POSTFIELDS, body)
    try:
        curl.perform()
    except pycurl.error as exc:
        # After a request on a reused connection that closed, libcurl tries again, and
        # a refused connection then proves nothing.
        unsent = int(curl.getinfo(pycurl.REQUEST_SIZE)) == 0
        _local.curl = None
        curl.close()
        refused = unsent and exc.args[0] == pycurl.E_COULDNT_CONNECT
        return NoAnswer(int(exc.args[0]), refused)
    answer_headers = {}
    for line in lines:
        name, separator, value = line.decode("latin-1").partition(":")
        if separator:
            answer_headers[name.strip().lower()] = value.strip()
    status = int(curl.getinfo(pycurl.RESPONSE_CODE))
    return HttpAnswer(status, answer_headers, buffer.getvalue())


def get_json(url: str, headers: tuple[str, ...] = ()) -> Any:
    """Return a JSON document (or the text of another body), None on a failure."""
    answer = call("GET", url, headers, timeout_ms=2000)
    if isinstance(answer, NoAnswer) or answer.status != OK:
        return None
    try:
        return json.loads(answer.body)
    except ValueError:
        return answer.body.decode()


def post_json(url: str, document: Any, headers: tuple[str, ...] = ()) -> Any:
    """Post a JSON document and return the answer's, None on a failure."""
    answer = call("POST", url, headers, json.dumps(document).encode())
    return None if isinstance(answer, NoAnswer) else json.loads(answer.body)
