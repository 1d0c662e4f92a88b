"""Dataclasses of the configuration."""

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
        Number of requests that it runs concurrently.
    connections : int
        Number of open connections that it accepts.
    draining : bool
        Whether it gets no new requests.
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
    """A requested move of a route's traffic to another pool.

    Parameters
    ----------
    move_id : str
    to_pool : str
    finish_within_s : float
        Time after its start within which the move must complete, in seconds.
    cap_percent : float
        Maximum share of the route's traffic that goes to `to_pool` until the version
        of that pool is proved good.
    step_cap_percent : float
        Maximum change of this share in one step, in percentage points.
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
        Organisations that may use a route that is not open to all; if empty, those
        of the route's owner.
    repeatable : bool
        Whether a request may run more than once.
    timeout_s : float
        Maximum duration of a request, in seconds.
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
    """A tenant and its request rate limit over the whole fleet.

    Parameters
    ----------
    name, owner : str
    rate_per_s : float
        Requests per second.
    burst : int
        Requests in one burst.
    """

    name: str
    owner: str
    rate_per_s: float
    burst: int


@dataclass(frozen=True, slots=True)
class StoredKey:
    """A key of an organisation or operator, stored as a salted digest.

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
        """Whether a presented secret matches, compared in constant time."""
        return hmac.compare_digest(digest_secret(self.salt, secret), self.digest)


@dataclass(frozen=True, slots=True)
class RegionCapacity:
    """The requests per second that a region's upstreams can serve."""

    name: str
    owner: str
    capacity_per_s: float


@dataclass(frozen=True, slots=True)
class Link:
    """A directed link between two regions and its limit in bytes per second."""

    name: str
    owner: str
    from_region: str
    to_region: str
    cap_bytes_per_s: float


@dataclass(frozen=True, slots=True)
class HostConfig:
    """The settings that operators make for one host.

    Parameters
    ----------
    name, owner : str
    region : str
        Region of the host. Hosts of other regions ignore the row, so that an owner
        can drain only hosts in its own regions.
    draining : bool
        Whether callers are directed to other hosts.
    """

    name: str
    owner: str
    region: str
    draining: bool = False


@dataclass(frozen=True)
class Config:
    """One immutable version of the whole configuration.

    Every row has an owner, one of the parties that share the fleet. An edit changes
    only rows of one owner.
    """

    version: int
    edit_id: str = ""
    routes: Mapping[str, Route] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)
    organisations: Mapping[str, Organisation] = field(default_factory=dict)
    keys: Mapping[str, StoredKey] = field(default_factory=dict)
    operators: Mapping[str, StoredKey] = field(default_factory=dict)
    regions: Mapping[str, RegionCapacity] = field(default_factory=dict)
    links: Mapping[str, Link] = field(default_factory=dict)
    hosts: Mapping[str, HostConfig] = field(default_factory=dict)

    @cached_property
    def _routes_by_descending_length(self) -> tuple[Route, ...]:
        return tuple(sorted(self.routes.values(), key=lambda r: -len(r.prefix)))

    def route_for(self, path: str) -> Route | None:
        """Return the route with the longest matching prefix of a normalised path.

        Parameters
        ----------
        path : str

        Returns
        -------
        Route or None
        """
        for route in self._routes_by_descending_length:
            prefix = route.prefix.rstrip("/")
            if path == prefix or path.startswith(prefix + "/"):
                return route
        return None

    def is_draining(self, host: str, region: str) -> bool:
        """Whether operators have set a host to drain.

        Parameters
        ----------
        host, region : str
            Name and region of the host.

        Returns
        -------
        bool
        """
        host_config = self.hosts.get(host)
        return (
            host_config is not None
            and host_config.draining
            and host_config.region == region
        )

    def reachable_regions(self, region: str) -> tuple[str, ...]:
        """Return the regions whose upstreams a host of `region` may use.

        Parameters
        ----------
        region : str

        Returns
        -------
        tuple of str
            The region itself, then the regions that have a link to it, because the
            link carries their answers. Links with a higher limit come first.
        """
        links = [link for link in self.links.values() if link.to_region == region]
        links.sort(key=lambda link: (-link.cap_bytes_per_s, link.from_region))
        return (region, *(link.from_region for link in links))

    def find_key(self, presented: str) -> StoredKey | None:
        """Return the stored key of a presented ``<id>.<secret>``, or None."""
        return _find_matching_key(self.keys, presented)

    def find_operator(self, presented: str) -> StoredKey | None:
        """Return the stored operator key of a presented ``<id>.<secret>``, or None."""
        return _find_matching_key(self.operators, presented)


def digest_secret(salt: str, secret: str) -> str:
    """Return the hexadecimal SHA-256 digest of a salted secret."""
    return hashlib.sha256(bytes.fromhex(salt) + secret.encode()).hexdigest()


def _find_matching_key(
    stored: Mapping[str, StoredKey], presented: str
) -> StoredKey | None:
    key_id, separator, secret = presented.partition(".")
    if not separator:
        return None
    key = stored.get(key_id)
    return key if key is not None and key.matches(secret) else None
