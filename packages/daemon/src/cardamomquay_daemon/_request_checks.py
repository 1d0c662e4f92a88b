"""Validates callers' requests before they are relayed."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from urllib.parse import quote

from cheroot.errors import MaxSizeExceeded

from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay_daemon._caller_messages import CallerRequest
from cardamomquay_daemon._http_parser import MalformedRequestError
from cardamomquay_daemon._upstream_client import HOP_BY_HOP

if TYPE_CHECKING:
    from werkzeug import Request

KEY_HEADER = "X-Api-Key"
KEY_ENVIRON_NAME = "HTTP_X_API_KEY"
# Headers with a caller's credentials; they are never sent to an upstream.
CREDENTIAL_HEADERS = frozenset({"x-api-key", "authorization", "cookie"})
# Further headers whose values from a caller are not forwarded. The daemon or libcurl
# sets Host, Request-Timeout-Ms and X-Organisation for the upstream. Expect and
# Proxy-Connection apply to the caller's connection only.
OTHER_DROPPED_HEADERS = frozenset(
    {"host", "request-timeout-ms", "x-organisation", "expect", "proxy-connection"}
)
NOT_FORWARDED = HOP_BY_HOP | CREDENTIAL_HEADERS | OTHER_DROPPED_HEADERS
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})
FORBIDDEN_IN_PATH = re.compile(r"[\x00-\x1f\x7f\\]")
FORBIDDEN_ESCAPE = re.compile(r"%(2f|5c|00)", re.IGNORECASE)
MALFORMED_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,255}")
MILLISECONDS = re.compile(r"[0-9]{1,7}")
TIMEOUT_MAX_MS = 3_600_000


def read_request(request: Request, body_max_bytes: int) -> CallerRequest | Refusal:
    """Validate a request and convert it to a `CallerRequest`.

    Parameters
    ----------
    request : werkzeug.Request
    body_max_bytes : int
        Maximum size of the body.

    Returns
    -------
    CallerRequest or Refusal
    """
    if request.method not in METHODS:
        return Refusal(RefusalReason.METHOD_NOT_ALLOWED, "unknown method")
    raw_target = str(request.environ.get("REQUEST_URI", request.path))
    path_error = _path_error(raw_target.partition("?")[0], request.path)
    if path_error:
        return Refusal(RefusalReason.BAD_REQUEST, path_error)
    timeout_s = _timeout_s(request)
    if isinstance(timeout_s, Refusal):
        return timeout_s
    idempotency_key = request.environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if idempotency_key and not IDEMPOTENCY_KEY.fullmatch(idempotency_key):
        return Refusal(
            RefusalReason.BAD_REQUEST,
            "Idempotency-Key is not 1 to 255 visible ASCII characters",
        )
    body = _read_body(request, body_max_bytes)
    if isinstance(body, Refusal):
        return body
    query = request.query_string.decode("latin-1")
    target = quote(request.path, safe="/:@!$&'()*+,;=~-._")
    return CallerRequest(
        method=request.method,
        path=request.path,
        target=f"{target}?{query}" if query else target,
        headers=_forwarded_headers(request),
        body=body,
        key=request.environ.get(KEY_ENVIRON_NAME, ""),
        idempotency_key=idempotency_key,
        timeout_s=timeout_s,
    )


def _read_body(request: Request, max_bytes: int) -> bytes | Refusal:
    length = request.content_length
    if (length or 0) > max_bytes:
        return Refusal(RefusalReason.BODY_TOO_LARGE)
    if not length and "Transfer-Encoding" not in request.headers:
        return b""
    try:
        body: bytes = request.environ["wsgi.input"].read(max_bytes + 1)
    except TimeoutError:
        return Refusal(RefusalReason.REQUEST_TIMEOUT, "the body stalled")
    except MaxSizeExceeded:
        return Refusal(RefusalReason.BODY_TOO_LARGE)
    except MalformedRequestError as exc:
        return Refusal(RefusalReason.BAD_REQUEST, str(exc))
    except OSError:
        return Refusal(RefusalReason.BAD_REQUEST, "the connection broke in the body")
    if len(body) > max_bytes:
        return Refusal(RefusalReason.BODY_TOO_LARGE)
    if length is not None and len(body) < length:
        return Refusal(RefusalReason.BAD_REQUEST, "body shorter than Content-Length")
    return body


def _path_error(raw_path: str, path: str) -> str:
    if not path.startswith("/"):
        return "path must start with /"
    if FORBIDDEN_IN_PATH.search(path) or FORBIDDEN_ESCAPE.search(raw_path):
        return "path has a control character or an encoded separator"
    # werkzeug decodes bytes that are not UTF-8 to U+FFFD.
    if MALFORMED_ESCAPE.search(raw_path) or "\ufffd" in path:
        return "path has a malformed percent escape"
    segments = path.split("/")[1:]
    if any(segment in {".", ".."} for segment in segments):
        return "path has a dot segment"
    if "" in segments[:-1]:
        return "path has an empty segment"
    return ""


def _timeout_s(request: Request) -> float | Refusal | None:
    text = request.environ.get("HTTP_REQUEST_TIMEOUT_MS")
    if text is None:
        return None
    if not MILLISECONDS.fullmatch(text) or not 0 < int(text) <= TIMEOUT_MAX_MS:
        return Refusal(RefusalReason.BAD_REQUEST, "Request-Timeout-Ms is not a number")
    return int(text) / 1000


def _forwarded_headers(request: Request) -> tuple[tuple[str, str], ...]:
    connection = request.environ.get("HTTP_CONNECTION", "")
    # Headers listed in Connection are hop-by-hop headers.
    connection_headers = {
        name.strip().lower() for name in connection.split(",") if name.strip()
    }
    dropped = (
        NOT_FORWARDED | connection_headers if connection_headers else NOT_FORWARDED
    )
    return tuple(
        (name, value) for name, value in request.headers if name.lower() not in dropped
    )
