"""Membership of hosts, kept by exchanging records between them."""

from __future__ import annotations

from cardamomquay.membership._records import KnownRecord
from cardamomquay.membership._records import MemberRecord
from cardamomquay.membership._records import MemberState
from cardamomquay.membership._records import SentRecord
from cardamomquay.membership._records import StoreReport
from cardamomquay.membership._reducer import EXCHANGE_INTERVAL_S
from cardamomquay.membership._reducer import FORGET_AFTER_S
from cardamomquay.membership._reducer import MembershipReducer
from cardamomquay.membership._state import DEAD_AFTER_S
from cardamomquay.membership._state import SEQUENCE_UNITS_PER_S
from cardamomquay.membership._state import SUSPECT_AFTER_S
from cardamomquay.membership._state import ExchangeAnswered
from cardamomquay.membership._state import ExchangeReceived
from cardamomquay.membership._state import ExchangeWithPeers
from cardamomquay.membership._state import ExtraChanged
from cardamomquay.membership._state import HostsListed
from cardamomquay.membership._state import LeaveRequested
from cardamomquay.membership._state import Member
from cardamomquay.membership._state import MembershipState
from cardamomquay.membership._state import PeerTarget
from cardamomquay.membership._state import ReadHostList

__all__ = [
    "DEAD_AFTER_S",
    "EXCHANGE_INTERVAL_S",
    "FORGET_AFTER_S",
    "SEQUENCE_UNITS_PER_S",
    "SUSPECT_AFTER_S",
    "ExchangeAnswered",
    "ExchangeReceived",
    "ExchangeWithPeers",
    "ExtraChanged",
    "HostsListed",
    "KnownRecord",
    "LeaveRequested",
    "Member",
    "MemberRecord",
    "MemberState",
    "MembershipReducer",
    "MembershipState",
    "SentRecord",
    "PeerTarget",
    "ReadHostList",
    "StoreReport",
]
