"""Header parsing, and headers of forwarded requests and answers."""

from __future__ import annotations

import re
from hashlib import blake2b
from typing import TYPE_CHECKING

from cardamomquay.placement import LoadReport

if TYPE_CHECKING:
    from cardamomquay_daemon.edge._caller_conn import CallerRequest
    from cardamomquay_daemon.edge._header_names import HeaderNames
    from cardamomquay_daemon.edge._http_client import Headers

# Hop-by-hop headers (RFC 9110, section 7.6.1), Expect, since a request is forwarded
# only after its body has arrived, and Content-Length, which is set again for the
# forwarded message.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
BEARER_PREFIX = b"bearer "
RETRY_AFTER = b"retry-after"
UNAVAILABLE_STATUS = 503
# Running and waiting requests, slots, and with some upstreams the time factor.
LOAD_FIELD_COUNT = 3
PERCENT = 100.0
# Longer keys of objects are replaced by their hash: callers choose them, and caches of
# rankings and identifiers keep thousands.
OBJECT_KEY_CHARACTERS_MAX = 64
OBJECT_KEY_HASH_BYTES = 16
DECIMAL_NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?")
# Longer numbers are invalid: Python does not parse integers of any length, and floats
# and reports between hosts do not hold them.
INTEGER_DIGITS_MAX = 9


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers to forward, without Content-Length."""
    connection_options = {
        name.strip().lower()
        for key, value in headers
        if key == b"connection"
        for name in value.split(b",")
    }
    dropped = HOP_BY_HOP | connection_options
    return [(key, value) for key, value in headers if key not in dropped]


def caller_answer_headers(status: int, headers: Headers, names: HeaderNames) -> Headers:
    """Return an upstream's headers for the caller, without those for the host alone."""
    for_host = {names.load, names.rate_limit, names.leaving}
    if status == UNAVAILABLE_STATUS:
        for_host.add(RETRY_AFTER)
    return [
        (key, value)
        for key, value in end_to_end_headers(headers)
        if key not in for_host
    ]


def bearer_key(request: CallerRequest) -> str | None:
    """Return the API key of a request; None without one."""
    value = request.header(b"authorization")
    if value is None or value[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return None
    return value[len(BEARER_PREFIX) :].strip().decode("latin-1")


def object_key(request: CallerRequest, cookie_name: str) -> str:
    """Return the key of the object that a request concerns; empty without one.

    A key of more than `OBJECT_KEY_CHARACTERS_MAX` characters is replaced by its hash.
    """
    for key, value in request.headers:
        if key != b"cookie":
            continue
        for item in value.decode("latin-1").split(";"):
            name, _, text = item.strip().partition("=")
            if name == cookie_name:
                return _shortened(text)
    return ""


def _shortened(key: str) -> str:
    if len(key) <= OBJECT_KEY_CHARACTERS_MAX:
        return key
    return blake2b(key.encode(), digest_size=OBJECT_KEY_HASH_BYTES).hexdigest()


def parse_caller_timeout_s(request: CallerRequest, names: HeaderNames) -> float | None:
    """Return the seconds for which the caller waits; None without a valid number."""
    timeout_ms = _parse_integer(request.header(names.deadline_ms) or b"")
    return None if timeout_ms is None else timeout_ms / 1000.0


def parse_load_report(value: bytes | None) -> LoadReport | None:
    """Parse the load that an upstream reports; return None without a valid one.

    Fields after the slots are optional: the fourth is the time factor in percent, and
    others are ignored.
    """
    fields = [_parse_integer(field) for field in (value or b"").split(b",")]
    numbers = [field for field in fields[:LOAD_FIELD_COUNT] if field is not None]
    if len(numbers) != LOAD_FIELD_COUNT:
        return None
    percent = fields[LOAD_FIELD_COUNT] if len(fields) > LOAD_FIELD_COUNT else None
    running, waiting, slots = numbers
    return LoadReport(running, waiting, slots, percent / PERCENT if percent else None)


def parse_rate_limit(value: bytes | None) -> float | None:
    """Parse a rate limit in requests a second; return None without a valid one."""
    return _parse_decimal(value or b"")


def parse_retry_after_s(value: bytes) -> float | None:
    """Parse a delay in seconds, whole or with a fraction; return None for others.

    The form with a date (RFC 9110, section 10.2.3) is not read, since the clocks of
    hosts and upstreams may differ.
    """
    return _parse_decimal(value)


def _parse_integer(value: bytes) -> int | None:
    digits = value.strip()
    if not digits.isdigit() or len(digits) > INTEGER_DIGITS_MAX:
        return None
    return int(digits)


def _parse_decimal(value: bytes) -> float | None:
    text = value.strip().decode("latin-1")
    if DECIMAL_NUMBER.fullmatch(text) is None:
        return None
    return float(text)


def upstream_request_headers(
    request: CallerRequest,
    names: HeaderNames,
    instance: str,
    organisation: str | None,
    left_s: float,
) -> Headers:
    """Return the headers of a request as sent to an upstream.

    Parameters
    ----------
    request : CallerRequest
    names : HeaderNames
    instance : str
        The upstream; another instance at the same address rejects the request.
    organisation : str or None
    left_s : float
        Remaining time for the answer, in seconds.

    Returns
    -------
    list of tuple of bytes
    """
    # Authorization holds the caller's API key. The others are set by the host.
    replaced = {
        b"authorization",
        names.deadline_ms,
        names.organisation,
        names.expected_instance,
    }
    headers = [
        (key, value)
        for key, value in end_to_end_headers(request.headers)
        if key not in replaced
    ]
    left_ms = max(1, int(left_s * 1000.0))
    headers.append((names.deadline_ms, b"%d" % left_ms))
    headers.append((names.expected_instance, instance.encode()))
    if organisation is not None:
        headers.append((names.organisation, organisation.encode()))
    if request.body or request.header(b"content-length") is not None:
        headers.append((b"content-length", b"%d" % len(request.body)))
    elif request.header(b"transfer-encoding") is not None:
        headers.append((b"content-length", b"0"))
    return headers
