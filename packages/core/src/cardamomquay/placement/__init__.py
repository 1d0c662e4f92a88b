"""Selection of an upstream by expected latency and cached objects."""

from __future__ import annotations

from cardamomquay.placement._admission import AdmissionClaim
from cardamomquay.placement._admission import AdmissionControl
from cardamomquay.placement._admission import AdmissionDecision
from cardamomquay.placement._admission import AdmissionRequest
from cardamomquay.placement._admission import AdmissionRule
from cardamomquay.placement._admission import FleetScarcity
from cardamomquay.placement._admission import UnknownScarcity
from cardamomquay.placement._observations import LoadReport
from cardamomquay.placement._observations import UpstreamRecord
from cardamomquay.placement._overload import CallerTimeouts
from cardamomquay.placement._overload import OverloadControl
from cardamomquay.placement._overload import RequestTiming
from cardamomquay.placement._placement import Candidate
from cardamomquay.placement._placement import Placement
from cardamomquay.placement._placement import PlacementRequest
from cardamomquay.placement._priority_mix import PriorityMix
from cardamomquay.placement._ranking import rendezvous_hash
from cardamomquay.placement._ranking import short_id
from cardamomquay.placement._value_admission import ValueAdmission
from cardamomquay.placement._work_times import WorkTimes
from cardamomquay.placement._zone_latencies import ZoneLatencies

__all__ = [
    "AdmissionClaim",
    "AdmissionControl",
    "AdmissionDecision",
    "AdmissionRequest",
    "AdmissionRule",
    "CallerTimeouts",
    "Candidate",
    "FleetScarcity",
    "LoadReport",
    "OverloadControl",
    "Placement",
    "PlacementRequest",
    "PriorityMix",
    "RequestTiming",
    "UnknownScarcity",
    "UpstreamRecord",
    "ValueAdmission",
    "WorkTimes",
    "ZoneLatencies",
    "rendezvous_hash",
    "short_id",
]
