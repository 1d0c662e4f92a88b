"""Limits shared by all hosts, of which each host enforces its share."""

from __future__ import annotations

from cardamomquay.allowances._fleet_quota import FleetQuota
from cardamomquay.allowances._fleet_quota import HeardHosts
from cardamomquay.allowances._fleet_quota import QuotaBounds
from cardamomquay.allowances._retry_allowance import RetryAllowance
from cardamomquay.allowances._warm_up_pace import WarmUpPace
from cardamomquay.allowances._warm_up_pace import WarmUpRate

__all__ = [
    "FleetQuota",
    "HeardHosts",
    "QuotaBounds",
    "RetryAllowance",
    "WarmUpPace",
    "WarmUpRate",
]
