"""Capacity of regions and links, and shifts of traffic between regions."""

from __future__ import annotations

from cardamomquay.steering._account import HeadroomAccount
from cardamomquay.steering._account import HeadroomReservation
from cardamomquay.steering._fairness import divide_fairly
from cardamomquay.steering._shift import RegionState
from cardamomquay.steering._shift import ShiftPlan
from cardamomquay.steering._shift import ShiftView
from cardamomquay.steering._shift import plan_shift

__all__ = [
    "HeadroomAccount",
    "HeadroomReservation",
    "RegionState",
    "ShiftPlan",
    "ShiftView",
    "divide_fairly",
    "plan_shift",
]
