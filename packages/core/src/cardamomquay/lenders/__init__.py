"""Assigns each resource to the host that lends it."""

from __future__ import annotations

from cardamomquay.lenders._part import LenderRowsWritten
from cardamomquay.lenders._part import LendersPart
from cardamomquay.lenders._part import LendersScanned
from cardamomquay.lenders._part import LendersState
from cardamomquay.lenders._part import LendingStarted
from cardamomquay.lenders._part import LendingStopped
from cardamomquay.lenders._part import ScanLenders
from cardamomquay.lenders._part import WriteLenderRows
from cardamomquay.lenders._rows import LENDERS_TABLE
from cardamomquay.lenders._rows import LenderRow
from cardamomquay.lenders._rows import lender_row_key
from cardamomquay.lenders._rows import preferred_host

__all__ = [
    "LENDERS_TABLE",
    "LenderRow",
    "LenderRowsWritten",
    "LendersPart",
    "LendersScanned",
    "LendersState",
    "LendingStarted",
    "LendingStopped",
    "ScanLenders",
    "WriteLenderRows",
    "lender_row_key",
    "preferred_host",
]
