"""Membership of hosts."""

from __future__ import annotations

from cardamomquay.membership._part import DEAD_AFTER_S
from cardamomquay.membership._part import EXCHANGE_INTERVAL_S
from cardamomquay.membership._part import FORGET_AFTER_S
from cardamomquay.membership._part import SEQUENCES_PER_S
from cardamomquay.membership._part import SUSPECT_AFTER_S
from cardamomquay.membership._part import ExchangeAnswered
from cardamomquay.membership._part import ExchangeReceived
from cardamomquay.membership._part import ExchangeWithPeers
from cardamomquay.membership._part import ExtraPublished
from cardamomquay.membership._part import HostsListed
from cardamomquay.membership._part import LeaveRequested
from cardamomquay.membership._part import Member
from cardamomquay.membership._part import MembershipPart
from cardamomquay.membership._part import MembershipState
from cardamomquay.membership._part import PeerTarget
from cardamomquay.membership._part import ReadHostList
from cardamomquay.membership._records import MemberRecord
from cardamomquay.membership._records import MemberState
from cardamomquay.membership._records import PeerRecord
from cardamomquay.membership._records import StoreReport

__all__ = [
    "DEAD_AFTER_S",
    "EXCHANGE_INTERVAL_S",
    "FORGET_AFTER_S",
    "SEQUENCES_PER_S",
    "SUSPECT_AFTER_S",
    "ExchangeAnswered",
    "ExchangeReceived",
    "ExchangeWithPeers",
    "ExtraPublished",
    "HostsListed",
    "LeaveRequested",
    "Member",
    "MemberRecord",
    "MemberState",
    "MembershipPart",
    "MembershipState",
    "PeerRecord",
    "PeerTarget",
    "ReadHostList",
    "StoreReport",
]
