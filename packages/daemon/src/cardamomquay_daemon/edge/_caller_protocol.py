"""Interface for header names and for the formats of readiness checks and look-ups."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomquay_daemon.edge._header_names import HeaderNames


@dataclass(frozen=True, slots=True)
class LookupRequest:
    """Request of a caller for the addresses of hosts.

    Parameters
    ----------
    hostname : str
        Host name that the caller wants to reach.
    zone, region : str
        Location of the caller; empty if not stated.
    """

    hostname: str
    zone: str
    region: str


class CallerProtocol(ABC):
    """Header names of a deployment, and formats of the calls that hosts answer.

    The calls are readiness checks and look-ups; they are not sent to upstreams.
    """

    @property
    @abstractmethod
    def headers(self) -> HeaderNames:
        """Header names."""

    @abstractmethod
    def is_readiness_path(self, path: str) -> bool:
        """Whether a path is that of the readiness check."""

    @abstractmethod
    def parse_lookup(self, target: str) -> LookupRequest | None:
        """Parse a look-up; return None if the target is not one."""

    @abstractmethod
    def encode_lookup(self, addresses: list[str], ttl_s: float) -> bytes:
        """Return the answer body of a look-up; callers may cache it for `ttl_s`."""
