"""The configuration in force, and how a host knows that it is the newest version."""

from __future__ import annotations

from cardamomquay.currency._evidence import CURRENCY_BOUND_S
from cardamomquay.currency._evidence import CurrencyView
from cardamomquay.currency._evidence import StoreRegionReport
from cardamomquay.currency._evidence import is_current
from cardamomquay.currency._evidence import is_outage_confirmed
from cardamomquay.currency._exchange import Request
from cardamomquay.currency._exchange import Statement
from cardamomquay.currency._exchange import exchange_reply
from cardamomquay.currency._exchange import exchange_request
from cardamomquay.currency._exchange import own_record
from cardamomquay.currency._part import ConfigInForce
from cardamomquay.currency._part import ConfigLoaded
from cardamomquay.currency._part import ConfigLoadFailed
from cardamomquay.currency._part import ConfigPart
from cardamomquay.currency._part import ConfigState
from cardamomquay.currency._part import ConfigWithoutEvidence
from cardamomquay.currency._part import FetchConfigFromPeer
from cardamomquay.currency._part import HeadRead
from cardamomquay.currency._part import HeadReadFailed
from cardamomquay.currency._part import LoadConfig
from cardamomquay.currency._part import OlderConfigIgnored
from cardamomquay.currency._part import ReadHead
from cardamomquay.currency._part import currency_view
from cardamomquay.currency._unsettled import EditAnswerLost
from cardamomquay.currency._unsettled import SettleEdits
from cardamomquay.currency._unsettled import SettleTried
from cardamomquay.currency._unsettled import UnsettledEdit
from cardamomquay.currency._unsettled import UnsettledEditsState
from cardamomquay.currency._unsettled import UnsettledPart
from cardamomquay.currency._unsettled import plan_settlement
from cardamomquay.currency._unsettled import refused_keys
from cardamomquay.currency._unsettled import withdrawn_keys

__all__ = [
    "CURRENCY_BOUND_S",
    "ConfigInForce",
    "ConfigLoadFailed",
    "ConfigLoaded",
    "ConfigPart",
    "ConfigState",
    "ConfigWithoutEvidence",
    "EditAnswerLost",
    "SettleEdits",
    "SettleTried",
    "UnsettledEdit",
    "UnsettledPart",
    "UnsettledEditsState",
    "plan_settlement",
    "refused_keys",
    "withdrawn_keys",
    "CurrencyView",
    "FetchConfigFromPeer",
    "HeadRead",
    "HeadReadFailed",
    "LoadConfig",
    "OlderConfigIgnored",
    "ReadHead",
    "StoreRegionReport",
    "Statement",
    "currency_view",
    "Request",
    "exchange_reply",
    "exchange_request",
    "is_current",
    "is_outage_confirmed",
    "own_record",
]
