"""Host leases with fencing tokens."""

from __future__ import annotations

from cardamomquay.leases._state import LEASE_RENEWAL_S
from cardamomquay.leases._state import LEASE_SAFETY_S
from cardamomquay.leases._state import LEASE_TTL_S
from cardamomquay.leases._state import LeaseState
from cardamomquay.leases._state import is_lease_valid

__all__ = [
    "LEASE_RENEWAL_S",
    "LEASE_SAFETY_S",
    "LEASE_TTL_S",
    "LeaseState",
    "is_lease_valid",
]
