"""Which headers pass the relay, and what it reads from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomquay.placement import LoadReport

if TYPE_CHECKING:
    from cardamomquay_daemon.edge._caller_conn import CallerRequest
    from cardamomquay_daemon.edge._http_client import Headers
    from cardamomquay_daemon.edge._names import HeaderNames

# Headers that concern one connection (RFC 9110, section 7.6.1), and the length,
# which is set anew.
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
BEARER = b"bearer "
LOAD_FIELDS = 3


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that are not limited to one connection."""
    named = {
        name.strip().lower()
        for key, value in headers
        if key == b"connection"
        for name in value.split(b",")
    }
    dropped = HOP_BY_HOP | named
    return [(key, value) for key, value in headers if key not in dropped]


def bearer_key(request: CallerRequest) -> str | None:
    """Return the key that a caller presents, None without one."""
    value = request.header(b"authorization")
    if value is None or value[: len(BEARER)].lower() != BEARER:
        return None
    return value[len(BEARER) :].strip().decode("latin-1")


def object_key(request: CallerRequest, cookie_name: str) -> str:
    """Return the object that a request concerns, empty without one."""
    for key, value in request.headers:
        if key != b"cookie":
            continue
        for item in value.decode("latin-1").split(";"):
            name, _, text = item.strip().partition("=")
            if name == cookie_name:
                return text
    return ""


def deadline_s(request: CallerRequest, names: HeaderNames) -> float | None:
    """Return how long the caller waits in seconds, None if it does not say."""
    value = request.header(names.deadline_ms)
    if value is None or not value.strip().isdigit():
        return None
    return int(value) / 1000.0


def load_report(value: bytes | None) -> LoadReport | None:
    """Read the load that an upstream states, None if it states none."""
    fields = (value or b"").split(b",")
    if len(fields) != LOAD_FIELDS or not all(f.strip().isdigit() for f in fields):
        return None
    running, waiting, slots = (int(field) for field in fields)
    return LoadReport(running, waiting, slots)


def request_headers(
    request: CallerRequest,
    names: HeaderNames,
    instance: str,
    organisation: str | None,
    left_s: float,
) -> Headers:
    """Return the headers of a request as the upstream gets it.

    Parameters
    ----------
    request : CallerRequest
    names : HeaderNames
    instance : str
        The upstream that alone may run it.
    organisation : str or None
    left_s : float
        Time that is left for the answer, in seconds.

    Returns
    -------
    list of tuple of bytes
    """
    own = {
        b"authorization",
        names.deadline_ms,
        names.organisation,
        names.expected_instance,
    }
    headers = [
        (key, value) for key, value in end_to_end(request.headers) if key not in own
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
