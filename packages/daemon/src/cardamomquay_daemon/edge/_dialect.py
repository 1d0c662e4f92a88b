"""How callers ask for readiness and for hosts."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomquay_daemon.edge._names import HeaderNames


@dataclass(frozen=True, slots=True)
class LookupRequest:
    """A caller's question which hosts to use."""

    hostname: str
    zone: str
    region: str


class Dialect(ABC):
    """Names and formats of a deployment's own calls."""

    @property
    @abstractmethod
    def headers(self) -> HeaderNames:
        """Names of the headers."""

    @abstractmethod
    def is_readiness(self, path: str) -> bool:
        """Whether a path asks whether the host is ready."""

    @abstractmethod
    def parse_lookup(self, target: str) -> LookupRequest | None:
        """Read a look-up; None if the target is none."""

    @abstractmethod
    def encode_lookup(self, addresses: list[str], ttl_s: float) -> bytes:
        """Return the body of a look-up's answer."""
