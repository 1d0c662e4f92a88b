"""Scarcity of services in regions, and what requests bound to regions may use."""

from __future__ import annotations

from cardamomquay.regional_capacity._capacity import RegionalCapacity
from cardamomquay.regional_capacity._capacity import RegionChoice
from cardamomquay.regional_capacity._capacity import RegionRejection
from cardamomquay.regional_capacity._capacity import ScarcityChange
from cardamomquay.regional_capacity._counts import Count
from cardamomquay.regional_capacity._counts import Pair
from cardamomquay.regional_capacity._scarcity import RegionScarcity
from cardamomquay.regional_capacity._shift_limit import ShiftLimit
from cardamomquay.regional_capacity._summaries import PAIRS_MAX
from cardamomquay.regional_capacity._summaries import RUN_REGIONS_MAX
from cardamomquay.regional_capacity._summaries import Summary

__all__ = [
    "PAIRS_MAX",
    "RUN_REGIONS_MAX",
    "Count",
    "Pair",
    "RegionChoice",
    "RegionRejection",
    "RegionScarcity",
    "RegionalCapacity",
    "ScarcityChange",
    "ShiftLimit",
    "Summary",
]
