"""The configuration in force, and how a host knows that it is the newest version."""

from __future__ import annotations

from cardamomquay.config_sync._evidence import CONFIG_EVIDENCE_MAX_AGE_S
from cardamomquay.config_sync._evidence import ConfigEvidence
from cardamomquay.config_sync._evidence import StoreRegionReport
from cardamomquay.config_sync._evidence import is_config_current
from cardamomquay.config_sync._evidence import is_outage_confirmed
from cardamomquay.config_sync._exchange import ExchangeReply
from cardamomquay.config_sync._exchange import ExchangeRequest
from cardamomquay.config_sync._exchange import exchange_reply
from cardamomquay.config_sync._exchange import exchange_request
from cardamomquay.config_sync._exchange import own_record
from cardamomquay.config_sync._reducer import ConfigInForce
from cardamomquay.config_sync._reducer import ConfigLoaded
from cardamomquay.config_sync._reducer import ConfigLoadFailed
from cardamomquay.config_sync._reducer import ConfigReducer
from cardamomquay.config_sync._reducer import ConfigState
from cardamomquay.config_sync._reducer import FetchConfigFromPeer
from cardamomquay.config_sync._reducer import HeadRead
from cardamomquay.config_sync._reducer import HeadReadFailed
from cardamomquay.config_sync._reducer import LoadConfig
from cardamomquay.config_sync._reducer import OlderConfigIgnored
from cardamomquay.config_sync._reducer import ReadHead
from cardamomquay.config_sync._reducer import UnverifiedConfigIgnored
from cardamomquay.config_sync._reducer import config_evidence
from cardamomquay.config_sync._unsettled import EditOutcomeUnknown
from cardamomquay.config_sync._unsettled import SettleEdits
from cardamomquay.config_sync._unsettled import SettlementAttempted
from cardamomquay.config_sync._unsettled import UnsettledEdit
from cardamomquay.config_sync._unsettled import UnsettledEditsReducer
from cardamomquay.config_sync._unsettled import UnsettledEditsState
from cardamomquay.config_sync._unsettled import refused_keys
from cardamomquay.config_sync._unsettled import settlement_transaction
from cardamomquay.config_sync._unsettled import withdrawn_keys

__all__ = [
    "CONFIG_EVIDENCE_MAX_AGE_S",
    "ConfigInForce",
    "ConfigLoadFailed",
    "ConfigLoaded",
    "ConfigReducer",
    "ConfigState",
    "UnverifiedConfigIgnored",
    "EditOutcomeUnknown",
    "SettleEdits",
    "SettlementAttempted",
    "UnsettledEdit",
    "UnsettledEditsReducer",
    "UnsettledEditsState",
    "settlement_transaction",
    "refused_keys",
    "withdrawn_keys",
    "ConfigEvidence",
    "FetchConfigFromPeer",
    "HeadRead",
    "HeadReadFailed",
    "LoadConfig",
    "OlderConfigIgnored",
    "ReadHead",
    "StoreRegionReport",
    "ExchangeReply",
    "config_evidence",
    "ExchangeRequest",
    "exchange_reply",
    "exchange_request",
    "is_config_current",
    "is_outage_confirmed",
    "own_record",
]
