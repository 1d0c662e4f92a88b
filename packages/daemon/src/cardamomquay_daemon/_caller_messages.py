"""A caller's request as the port read it, and the answer that goes back."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as the caller port read it.

    Parameters
    ----------
    method : str
    path : str
        Decoded and normalised.
    target : str
        Path and query as they go to the upstream.
    headers : tuple of (str, str)
        Without hop-by-hop headers and without the key.
    body : bytes
    key : str
        The presented key; empty if there is none.
    idempotency_key : str
    timeout_s : float or None
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
    """The answer that goes back to the caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    replayed: bool = False
