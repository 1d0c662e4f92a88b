"""Distributes a route's requests over its services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomquay.traffic._config import Route
    from cardamomquay.traffic._config import WeightedService


class WeightedRoundRobin:
    """Smooth weighted round robin over the services of one route.

    In the few hundred requests of a short window, random choice deviates from the
    weights by several percent, and round robin by one request per host.
    """

    def __init__(self) -> None:
        self._weighted_services: tuple[WeightedService, ...] = ()
        self._credits: dict[str, float] = {}

    def choose(self, route: Route) -> str:
        """Return the name of the service for the next request.

        Parameters
        ----------
        route : Route

        Returns
        -------
        str
        """
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        if route.weighted_services != self._weighted_services:
            self._weighted_services = route.weighted_services
            self._credits = {
                weighted.service: 0.0 for weighted in route.weighted_services
            }
        total = sum(weighted.weight for weighted in route.weighted_services)
        for weighted in route.weighted_services:
            self._credits[weighted.service] += weighted.weight
        chosen = max(self._credits, key=lambda name: self._credits[name])
        self._credits[chosen] -= total
        return chosen
