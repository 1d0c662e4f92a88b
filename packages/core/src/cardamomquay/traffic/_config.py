"""Routes, services and organisations in one version of the configuration."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum


class RouteKind(StrEnum):
    """Whether requests of a route may be run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service with its share of a route's traffic."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A rule that routes requests for a host name and path prefix to services.

    Parameters
    ----------
    name : str
    hostname, prefix : str
    kind : RouteKind
    timeout_s : float
        Longest time until a request is answered.
    objective_s : float
        Latency objective of answers.
    priority : int
        0 is the highest; see `TrafficConfig.has_competing_priorities`.
    weighted_services : tuple of WeightedService
    max_attempts : int
        Largest number of upstreams to which one request of a caller may be sent.
    is_public : bool
        Whether requests need no API key.
    has_affinity : bool
        Whether an upstream handles an object faster if it has handled it recently. Edge
        hosts do not use it: they evaluate the affinity cookie on every route.
    allowed_regions : frozenset of str
        Regions that may serve the route; empty for all.
    """

    name: str
    hostname: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    priority: int
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int
    is_public: bool
    has_affinity: bool
    allowed_regions: frozenset[str]


@dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that run the same software.

    Parameters
    ----------
    name : str
    health_path : str
        Path for health checks. Edge hosts do not use it: they send no health checks.
    max_connections : int
        Connections that one upstream accepts from all hosts together. Edge hosts do not
        use it.
    warm_up_s : float
        Time for which an upstream is cold after its start.
    warm_up_rate_per_s : float
        Rate of requests that a cold upstream tolerates.
    """

    name: str
    health_path: str
    max_connections: int
    warm_up_s: float
    warm_up_rate_per_s: float


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation whose callers authenticate with API keys.

    Parameters
    ----------
    name : str
    priority : int
        Takes precedence over the priority of the route; 0 is the highest.
    rate_per_s, burst : float
        Quota for all hosts together; a rate of 0 means no limit.
    allowed_regions : frozenset of str
        Regions that may serve it; empty for all.
    """

    name: str
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Size and time limits of callers' requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class TrafficConfig:
    """One version of the complete configuration.

    Parameters
    ----------
    version : int
    routes : tuple of Route
    services : dict of str to Service
    organisations : dict of str to Organisation
    keys : dict of str to str
        Name of the organisation by API key.
    limits : RequestLimits
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    organisations: dict[str, Organisation] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict, repr=False)
    limits: RequestLimits = RequestLimits()
    _organisation_names: tuple[str, ...] = field(init=False, repr=False, default=())
    _routes_by_hostname: dict[str, tuple[Route, ...]] = field(
        init=False, repr=False, default_factory=dict
    )
    _prioritised_services: frozenset[str] = field(
        init=False, repr=False, default=frozenset()
    )
    _public_priority: int = field(init=False, repr=False, default=0)

    def __post_init__(self) -> None:
        names = tuple(sorted(self.organisations))
        object.__setattr__(self, "_organisation_names", names)
        grouped: dict[str, list[Route]] = {}
        for route in self.routes:
            grouped.setdefault(route.hostname.lower(), []).append(route)
        for hostname, routes in grouped.items():
            routes.sort(key=lambda route: -len(route.prefix))
            self._routes_by_hostname[hostname] = tuple(routes)
        ranks = sorted(org.priority for org in self.organisations.values())
        if ranks:
            object.__setattr__(self, "_public_priority", ranks[len(ranks) // 2])
        priorities: dict[str, set[int]] = {}
        for route in self.routes:
            for weighted in route.weighted_services:
                if weighted.weight > 0.0:
                    known = priorities.setdefault(weighted.service, set())
                    known.add(route.priority)
        prioritised = frozenset(name for name, p in priorities.items() if len(p) > 1)
        object.__setattr__(self, "_prioritised_services", prioritised)

    @property
    def organisation_names(self) -> tuple[str, ...]:
        """Sorted names of the organisations; reports between hosts use the indices."""
        return self._organisation_names

    def has_competing_priorities(self, service: str) -> bool:
        """Return whether routes of a service have different priorities.

        Organisations of different priority alone do not count: their requests need the
        same work, and refusing some of them early serves fewer in all.
        """
        return service in self._prioritised_services

    def priority_of(
        self, route: Route, organisation: Organisation | None
    ) -> tuple[int, int]:
        """Return the priorities of organisation and route, in order of precedence.

        A request without an organisation has the median of the organisations.
        """
        if organisation is None:
            return (self._public_priority, route.priority)
        return (organisation.priority, route.priority)

    def match(self, hostname: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path.

        Parameters
        ----------
        hostname : str
            Without a port.
        path : str
            Without a query.

        Returns
        -------
        Route or None
        """
        for route in self._routes_by_hostname.get(hostname.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
