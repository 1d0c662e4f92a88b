"""The configuration as dataclasses."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from dataclasses import field
from functools import cached_property
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

TABLES = (
    "routes",
    "pools",
    "organisations",
    "keys",
    "operators",
    "regions",
    "links",
    "hosts",
)


@dataclass(frozen=True, slots=True)
class Upstream:
    """A server that runs requests.

    Parameters
    ----------
    name : str
        Unique in its pool.
    address : str
        ``ip:port``.
    region, availability_zone : str
    slots : int
        Requests that it runs at the same time.
    connections : int
        Open connections that it accepts.
    draining : bool
        Whether it gets no new work.
    """

    name: str
    address: str
    region: str
    availability_zone: str
    slots: int
    connections: int
    draining: bool = False


@dataclass(frozen=True, slots=True)
class Pool:
    """Upstreams that run one version of a service."""

    name: str
    owner: str
    upstreams: tuple[Upstream, ...]


@dataclass(frozen=True, slots=True)
class MovePlan:
    """A wanted move of a route's traffic to another pool.

    Parameters
    ----------
    move_id : str
    to_pool : str
    finish_within_s : float
        Seconds after its start in which the move has to be completed.
    cap_percent : float
        Largest share of the route's traffic before the new version is proved good.
    step_cap_percent : float
        Largest change of the share in one step.
    """

    move_id: str
    to_pool: str
    finish_within_s: float
    cap_percent: float = 5.0
    step_cap_percent: float = 25.0


@dataclass(frozen=True, slots=True)
class Route:
    """A path prefix and the pool that serves it.

    Parameters
    ----------
    name, owner : str
    prefix : str
        Normalised path prefix; matches whole path segments.
    pool : str
    methods : tuple of str
    open_to_all : bool
        Whether a request needs no key.
    organisations : tuple of str
        Organisations that may use a closed route; empty allows the owner's own.
    repeatable : bool
        Whether a request may run more than once.
    timeout_s : float
        Longest time for a request, in seconds.
    move : MovePlan or None
    """

    name: str
    owner: str
    prefix: str
    pool: str
    methods: tuple[str, ...] = ("GET",)
    open_to_all: bool = False
    organisations: tuple[str, ...] = ()
    repeatable: bool = True
    timeout_s: float = 5.0
    move: MovePlan | None = None


@dataclass(frozen=True, slots=True)
class Organisation:
    """A tenant, and what it is entitled to over the whole fleet.

    Parameters
    ----------
    name, owner : str
    rate_per_s : float
        Requests a second.
    burst : int
        Requests at once.
    """

    name: str
    owner: str
    rate_per_s: float
    burst: int


@dataclass(frozen=True, slots=True)
class StoredKey:
    """A salted digest of a secret, of an organisation or an operator.

    Parameters
    ----------
    key_id : str
    holder : str
        Name of the organisation or operator.
    owner : str
    salt, digest : str
        Hexadecimal.
    """

    key_id: str
    holder: str
    owner: str
    salt: str
    digest: str

    def matches(self, secret: str) -> bool:
        """Compare a presented secret in constant time."""
        return hmac.compare_digest(digest_secret(self.salt, secret), self.digest)


@dataclass(frozen=True, slots=True)
class RegionCapacity:
    """Requests a second that a region's upstreams carry."""

    name: str
    owner: str
    capacity_per_s: float


@dataclass(frozen=True, slots=True)
class Link:
    """A directed link between two regions and its cap in bytes a second."""

    name: str
    owner: str
    from_region: str
    to_region: str
    cap_bytes_per_s: float


@dataclass(frozen=True, slots=True)
class HostWish:
    """What operators want of a host.

    Parameters
    ----------
    name, owner : str
    region : str
        Region of the host. A daemon of another region ignores the row, so that an
        owner can drain only hosts of its own regions.
    draining : bool
        Whether callers are sent to other hosts.
    """

    name: str
    owner: str
    region: str
    draining: bool = False


@dataclass(frozen=True)
class Config:
    """One version of the whole configuration; immutable."""

    version: int
    edit_id: str = ""
    routes: Mapping[str, Route] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)
    organisations: Mapping[str, Organisation] = field(default_factory=dict)
    keys: Mapping[str, StoredKey] = field(default_factory=dict)
    operators: Mapping[str, StoredKey] = field(default_factory=dict)
    regions: Mapping[str, RegionCapacity] = field(default_factory=dict)
    links: Mapping[str, Link] = field(default_factory=dict)
    hosts: Mapping[str, HostWish] = field(default_factory=dict)

    @cached_property
    def _routes_by_length(self) -> tuple[Route, ...]:
        return tuple(sorted(self.routes.values(), key=lambda r: -len(r.prefix)))

    def route_for(self, path: str) -> Route | None:
        """Find the route with the longest prefix of a normalised path.

        Parameters
        ----------
        path : str

        Returns
        -------
        Route or None
        """
        for route in self._routes_by_length:
            prefix = route.prefix.rstrip("/")
            if path == prefix or path.startswith(prefix + "/"):
                return route
        return None

    def is_draining(self, host: str, region: str) -> bool:
        """Whether operators want callers to leave a host.

        Parameters
        ----------
        host, region : str
            Name of the host, and the region that it is in.

        Returns
        -------
        bool
        """
        wish = self.hosts.get(host)
        return wish is not None and wish.draining and wish.region == region

    def regions_in_reach(self, region: str) -> tuple[str, ...]:
        """Return the regions whose upstreams a host of `region` may use.

        Parameters
        ----------
        region : str

        Returns
        -------
        tuple of str
            The region itself, then those with a link that carries their answers to
            it, the larger links first.
        """
        links = [link for link in self.links.values() if link.to_region == region]
        links.sort(key=lambda link: (-link.cap_bytes_per_s, link.from_region))
        return (region, *(link.from_region for link in links))

    def find_key(self, presented: str) -> StoredKey | None:
        """Return the stored key of a presented ``<id>.<secret>``, or None."""
        return _find(self.keys, presented)

    def find_operator(self, presented: str) -> StoredKey | None:
        """Return the operator of a presented ``<id>.<secret>``, or None."""
        return _find(self.operators, presented)


def digest_secret(salt: str, secret: str) -> str:
    """Return the hexadecimal SHA-256 digest of a salted secret."""
    return hashlib.sha256(bytes.fromhex(salt) + secret.encode()).hexdigest()


def _find(stored: Mapping[str, StoredKey], presented: str) -> StoredKey | None:
    key_id, separator, secret = presented.partition(".")
    if not separator:
        return None
    found = stored.get(key_id)
    return found if found is not None and found.matches(secret) else None
