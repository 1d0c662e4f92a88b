"""Requests from callers and the answers returned to them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request read by the caller port.

    Parameters
    ----------
    method : str
    path : str
        Percent-decoded, without dot segments. Only the last segment may be empty.
    target : str
        Path and query as sent to the upstream.
    headers : tuple of (str, str)
        Headers forwarded to the upstream: without hop-by-hop headers and credentials.
    body : bytes
    key : str
        The caller's API key; empty if the request has none.
    idempotency_key : str
        Empty if the request has none.
    timeout_s : float or None
        Time that the caller allows for the answer; None if the request states none.
    """

    method: str
    path: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str = field(default="", repr=False)
    idempotency_key: str = ""
    timeout_s: float | None = None


@dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """The answer returned to the caller.

    `replayed` is true if it is the recorded answer of an earlier request with the same
    idempotency key.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    replayed: bool = False
