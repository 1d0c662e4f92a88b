"""Assigns each resource to the host that lends it.

A resource is a portion of an organisation's quota, a region or link budget, or the
slots of a pool in an availability zone. The controller, the one host that runs the
moves and deletes expired idempotency claims, is assigned in the same way.
"""

from __future__ import annotations

from cardamomquay.lenders._reducer import LenderRowsWritten
from cardamomquay.lenders._reducer import LendersReducer
from cardamomquay.lenders._reducer import LendersScanned
from cardamomquay.lenders._reducer import LendersState
from cardamomquay.lenders._reducer import ScanLenders
from cardamomquay.lenders._reducer import StartLending
from cardamomquay.lenders._reducer import StopLending
from cardamomquay.lenders._reducer import WriteLenderRows
from cardamomquay.lenders._rows import LENDERS_TABLE
from cardamomquay.lenders._rows import LenderRow
from cardamomquay.lenders._rows import lender_row_key
from cardamomquay.lenders._rows import preferred_host

__all__ = [
    "LENDERS_TABLE",
    "LenderRow",
    "LenderRowsWritten",
    "LendersReducer",
    "LendersScanned",
    "LendersState",
    "ScanLenders",
    "StartLending",
    "StopLending",
    "WriteLenderRows",
    "lender_row_key",
    "preferred_host",
]
