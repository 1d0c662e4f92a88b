"""Limits shared by all hosts, of which each host enforces its share."""

from __future__ import annotations

from cardamomquay.fleet_limits._fleet_quota import FleetQuota
from cardamomquay.fleet_limits._fleet_quota import HostReportTimes
from cardamomquay.fleet_limits._fleet_quota import QuotaBounds
from cardamomquay.fleet_limits._poison_requests import CLEARED
from cardamomquay.fleet_limits._poison_requests import CRASHED
from cardamomquay.fleet_limits._poison_requests import PoisonRequests
from cardamomquay.fleet_limits._poison_requests import crashed_upstream
from cardamomquay.fleet_limits._retry_budget import FleetRetryBudget
from cardamomquay.fleet_limits._upstream_notices import PAUSE_MAX_S
from cardamomquay.fleet_limits._upstream_notices import UpstreamNotices
from cardamomquay.fleet_limits._upstream_notices import life_id
from cardamomquay.fleet_limits._upstream_rate_limits import RateLimitObservation
from cardamomquay.fleet_limits._upstream_rate_limits import SharingHost
from cardamomquay.fleet_limits._upstream_rate_limits import UpstreamRateLimits
from cardamomquay.fleet_limits._upstream_restarts import RESTART_KINDS
from cardamomquay.fleet_limits._upstream_restarts import Suspicion
from cardamomquay.fleet_limits._upstream_restarts import UpstreamRestarts
from cardamomquay.fleet_limits._warm_up_limiter import WarmUpLimit
from cardamomquay.fleet_limits._warm_up_limiter import WarmUpLimiter

__all__ = [
    "CLEARED",
    "CRASHED",
    "PAUSE_MAX_S",
    "RESTART_KINDS",
    "FleetQuota",
    "FleetRetryBudget",
    "HostReportTimes",
    "QuotaBounds",
    "PoisonRequests",
    "RateLimitObservation",
    "SharingHost",
    "Suspicion",
    "UpstreamNotices",
    "UpstreamRateLimits",
    "UpstreamRestarts",
    "WarmUpLimit",
    "WarmUpLimiter",
    "crashed_upstream",
    "life_id",
]
