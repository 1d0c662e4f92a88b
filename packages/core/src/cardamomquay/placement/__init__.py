"""Selection of an upstream by expected latency and cached objects."""

from __future__ import annotations

from cardamomquay.placement._distances import Distances
from cardamomquay.placement._observations import LoadReport
from cardamomquay.placement._observations import UpstreamRecord
from cardamomquay.placement._overload import CallerDeadlines
from cardamomquay.placement._overload import OverloadGate
from cardamomquay.placement._overload import RequestTiming
from cardamomquay.placement._placement import Candidate
from cardamomquay.placement._placement import Placement
from cardamomquay.placement._placement import PlacementRequest
from cardamomquay.placement._ranking import rank_of
from cardamomquay.placement._ranking import token_of
from cardamomquay.placement._work_times import WorkTimes

__all__ = [
    "CallerDeadlines",
    "Candidate",
    "Distances",
    "LoadReport",
    "OverloadGate",
    "Placement",
    "PlacementRequest",
    "RequestTiming",
    "UpstreamRecord",
    "WorkTimes",
    "rank_of",
    "token_of",
]
