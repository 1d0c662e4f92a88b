"""Membership of hosts."""

from __future__ import annotations

from cardamomquay.membership._part import HostsListed
from cardamomquay.membership._part import LeaveRequested
from cardamomquay.membership._part import Member
from cardamomquay.membership._part import MembershipPart
from cardamomquay.membership._part import MembershipState
from cardamomquay.membership._part import ReadHostList
from cardamomquay.membership._records import MemberRecord
from cardamomquay.membership._records import MemberState
from cardamomquay.membership._records import StoreReport

__all__ = [
    "HostsListed",
    "LeaveRequested",
    "Member",
    "MemberRecord",
    "MemberState",
    "MembershipPart",
    "MembershipState",
    "ReadHostList",
    "StoreReport",
]
