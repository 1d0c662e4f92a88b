"""Host leases with fencing tokens.

A host lends resources and controls version moves only while its lease is valid.
"""

from __future__ import annotations

from cardamomquay.leases._effects import LeaseAcquired
from cardamomquay.leases._effects import LeaseLost
from cardamomquay.leases._effects import LeaseReleased
from cardamomquay.leases._effects import LeaseReleaseRequested
from cardamomquay.leases._effects import LeaseRowsRead
from cardamomquay.leases._effects import LeaseRowsWritten
from cardamomquay.leases._effects import LeasesReclaimed
from cardamomquay.leases._effects import LeasesScanned
from cardamomquay.leases._effects import ReadLeaseRows
from cardamomquay.leases._effects import ScanLeases
from cardamomquay.leases._effects import WriteLeaseRows
from cardamomquay.leases._effects import run_lease_effect
from cardamomquay.leases._reducer import LeaseReducer
from cardamomquay.leases._rows import LEASES_TABLE
from cardamomquay.leases._rows import LeaseRow
from cardamomquay.leases._rows import lease_row_key
from cardamomquay.leases._rows import parse_lease_row
from cardamomquay.leases._state import LEASE_RENEWAL_INTERVAL_S
from cardamomquay.leases._state import LEASE_SAFETY_MARGIN_S
from cardamomquay.leases._state import LEASE_TTL_S
from cardamomquay.leases._state import LeaseState
from cardamomquay.leases._state import is_lease_valid

__all__ = [
    "LEASES_TABLE",
    "LEASE_RENEWAL_INTERVAL_S",
    "LEASE_SAFETY_MARGIN_S",
    "LEASE_TTL_S",
    "LeaseAcquired",
    "LeaseLost",
    "LeaseReducer",
    "LeaseReleased",
    "LeaseRow",
    "LeaseRowsRead",
    "LeaseRowsWritten",
    "LeaseState",
    "LeasesReclaimed",
    "LeasesScanned",
    "ReadLeaseRows",
    "LeaseReleaseRequested",
    "ScanLeases",
    "WriteLeaseRows",
    "run_lease_effect",
    "is_lease_valid",
    "lease_row_key",
    "parse_lease_row",
]
