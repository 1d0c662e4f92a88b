"""Configuration of routes, services and organisations, and the upstream table."""

from __future__ import annotations

from cardamomquay.traffic._config import Organisation
from cardamomquay.traffic._config import RequestLimits
from cardamomquay.traffic._config import Route
from cardamomquay.traffic._config import RouteKind
from cardamomquay.traffic._config import Service
from cardamomquay.traffic._config import TrafficConfig
from cardamomquay.traffic._config import WeightedService
from cardamomquay.traffic._upstreams import Upstream
from cardamomquay.traffic._upstreams import UpstreamState
from cardamomquay.traffic._upstreams import UpstreamTable
from cardamomquay.traffic._weighted_round_robin import WeightedRoundRobin

__all__ = [
    "Organisation",
    "RequestLimits",
    "Route",
    "RouteKind",
    "Service",
    "TrafficConfig",
    "Upstream",
    "UpstreamState",
    "UpstreamTable",
    "WeightedRoundRobin",
    "WeightedService",
]
