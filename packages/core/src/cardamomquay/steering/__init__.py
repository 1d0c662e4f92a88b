"""Capacity budgets of regions and links, and traffic shifts between regions."""

from __future__ import annotations

from cardamomquay.steering._account import HeadroomAccount
from cardamomquay.steering._account import HeadroomReservation
from cardamomquay.steering._budget_limits import BUDGET_PREFIXES
from cardamomquay.steering._budget_limits import BURST_S
from cardamomquay.steering._budget_limits import Budget
from cardamomquay.steering._budget_limits import budgets_of
from cardamomquay.steering._budgets import BudgetReservation
from cardamomquay.steering._budgets import TrafficBudgets
from cardamomquay.steering._fairness import divide_fairly
from cardamomquay.steering._shift_limit import ShiftLimit
from cardamomquay.steering._shift_plan import RegionState
from cardamomquay.steering._shift_plan import ShiftInputs
from cardamomquay.steering._shift_plan import ShiftPlan
from cardamomquay.steering._shift_plan import plan_shift

__all__ = [
    "BUDGET_PREFIXES",
    "BURST_S",
    "Budget",
    "BudgetReservation",
    "HeadroomAccount",
    "HeadroomReservation",
    "RegionState",
    "ShiftInputs",
    "ShiftLimit",
    "ShiftPlan",
    "TrafficBudgets",
    "budgets_of",
    "divide_fairly",
    "plan_shift",
]
