"""Checks of a caller's request at the border."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from urllib.parse import quote

from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay_daemon._relay import CallerRequest
from cardamomquay_daemon._upstream_client import HOP_BY_HOP

if TYPE_CHECKING:
    from werkzeug import Request

KEY_HEADER = "X-Api-Key"
# Headers that carry a caller's credentials never go to an upstream.
CREDENTIAL_HEADERS = frozenset({"x-api-key", "authorization", "cookie"})
# The daemon sets these itself, so a caller's own are dropped.
OWN_HEADERS = frozenset({"host", "request-timeout-ms", "x-organisation", "expect"})
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})
BAD_PATH = re.compile(r"[\x00-\x1f\x7f\\]")
ENCODED_SEPARATOR = re.compile(r"%(2f|5c|00)", re.IGNORECASE)
TIMEOUT_MAX_MS = 3_600_000


def read_request(request: Request, body_limit: int) -> CallerRequest | Refusal:
    """Check a request and bring it into the form that the relay takes.

    Parameters
    ----------
    request : werkzeug.Request
    body_limit : int
        Largest body in bytes.

    Returns
    -------
    CallerRequest or Refusal
    """
    if request.method not in METHODS:
        return Refusal(RefusalReason.METHOD_NOT_ALLOWED, "unknown method")
    raw_target = str(request.environ.get("REQUEST_URI", request.path))
    fault = _path_fault(raw_target.partition("?")[0], request.path)
    if fault:
        return Refusal(RefusalReason.BAD_REQUEST, fault)
    if "Transfer-Encoding" in request.headers and "Content-Length" in request.headers:
        return Refusal(
            RefusalReason.BAD_REQUEST, "both Transfer-Encoding and Content-Length"
        )
    if (request.content_length or 0) > body_limit:
        return Refusal(RefusalReason.BODY_TOO_LARGE)
    body = (
        request.environ["wsgi.input"].read(body_limit + 1)
        if _has_body(request)
        else b""
    )
    if len(body) > body_limit:
        return Refusal(RefusalReason.BODY_TOO_LARGE)
    if request.content_length is not None and len(body) < request.content_length:
        return Refusal(RefusalReason.BAD_REQUEST, "body shorter than Content-Length")
    timeout_s = _timeout_s(request)
    if isinstance(timeout_s, Refusal):
        return timeout_s
    query = request.query_string.decode("latin-1")
    target = quote(request.path, safe="/:@!$&'()*+,;=~-._")
    return CallerRequest(
        method=request.method,
        path=request.path,
        target=f"{target}?{query}" if query else target,
        headers=_forwarded_headers(request),
        body=body,
        key=request.headers.get(KEY_HEADER, ""),
        idempotency_key=request.headers.get("Idempotency-Key", ""),
        timeout_s=timeout_s,
    )


def _has_body(request: Request) -> bool:
    return bool(request.content_length) or "Transfer-Encoding" in request.headers


def _path_fault(raw_path: str, path: str) -> str:
    if not path.startswith("/"):
        return "path must start with /"
    if BAD_PATH.search(path) or ENCODED_SEPARATOR.search(raw_path):
        return "path has a control character or an encoded separator"
    segments = path.split("/")[1:]
    if any(segment in {".", ".."} for segment in segments):
        return "path has a dot segment"
    if "" in segments[:-1]:
        return "path has an empty segment"
    return ""


def _timeout_s(request: Request) -> float | Refusal | None:
    text = request.headers.get("Request-Timeout-Ms")
    if text is None:
        return None
    if not text.isdecimal() or not 0 < int(text) <= TIMEOUT_MAX_MS:
        return Refusal(RefusalReason.BAD_REQUEST, "Request-Timeout-Ms is not a number")
    return int(text) / 1000


def _forwarded_headers(request: Request) -> tuple[tuple[str, str], ...]:
    named = {
        name.strip().lower()
        for name in request.headers.get("Connection", "").split(",")
        if name.strip()
    }
    dropped = HOP_BY_HOP | CREDENTIAL_HEADERS | OWN_HEADERS | named
    return tuple(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in dropped
    )
