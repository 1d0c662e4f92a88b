"""Host leases with fencing tokens."""

from __future__ import annotations

from cardamomquay.leases._calls import LeaseAcquired
from cardamomquay.leases._calls import LeaseLost
from cardamomquay.leases._calls import LeaseReleased
from cardamomquay.leases._calls import LeaseRowsRead
from cardamomquay.leases._calls import LeaseRowsWritten
from cardamomquay.leases._calls import LeasesReclaimed
from cardamomquay.leases._calls import LeasesScanned
from cardamomquay.leases._calls import ReadLeaseRows
from cardamomquay.leases._calls import ReleaseLeaseRequested
from cardamomquay.leases._calls import ScanLeases
from cardamomquay.leases._calls import WriteLeaseRows
from cardamomquay.leases._part import LeasePart
from cardamomquay.leases._rows import LEASES_TABLE
from cardamomquay.leases._rows import LeaseRow
from cardamomquay.leases._rows import lease_row_key
from cardamomquay.leases._rows import read_lease_row
from cardamomquay.leases._state import LEASE_RENEWAL_S
from cardamomquay.leases._state import LEASE_SAFETY_S
from cardamomquay.leases._state import LEASE_TTL_S
from cardamomquay.leases._state import LeaseState
from cardamomquay.leases._state import is_lease_valid

__all__ = [
    "LEASES_TABLE",
    "LEASE_RENEWAL_S",
    "LEASE_SAFETY_S",
    "LEASE_TTL_S",
    "LeaseAcquired",
    "LeaseLost",
    "LeasePart",
    "LeaseReleased",
    "LeaseRow",
    "LeaseRowsRead",
    "LeaseRowsWritten",
    "LeaseState",
    "LeasesReclaimed",
    "LeasesScanned",
    "ReadLeaseRows",
    "ReleaseLeaseRequested",
    "ScanLeases",
    "WriteLeaseRows",
    "is_lease_valid",
    "lease_row_key",
    "read_lease_row",
]
