"""The asyncio relay for hosts with little memory and no disk.

It uses the platform's store.
"""

from __future__ import annotations

from cardamomquay_daemon.edge._addresses import check_header_value
from cardamomquay_daemon.edge._addresses import parse_address
from cardamomquay_daemon.edge._caller_conn import CallerAnswer
from cardamomquay_daemon.edge._caller_conn import CallerConnection
from cardamomquay_daemon.edge._caller_conn import CallerRequest
from cardamomquay_daemon.edge._caller_conn import ReadLimits
from cardamomquay_daemon.edge._caller_protocol import CallerProtocol
from cardamomquay_daemon.edge._caller_protocol import LookupRequest
from cardamomquay_daemon.edge._connection_pool import ConnectionPool
from cardamomquay_daemon.edge._decoding import decode_json
from cardamomquay_daemon.edge._events import ROW_REJECTED
from cardamomquay_daemon.edge._header_names import HeaderNames
from cardamomquay_daemon.edge._host import EdgeHost
from cardamomquay_daemon.edge._host import run_edge
from cardamomquay_daemon.edge._http_client import ExchangeError
from cardamomquay_daemon.edge._http_client import HttpAnswer
from cardamomquay_daemon.edge._http_client import HttpConnection
from cardamomquay_daemon.edge._platform_store import OperatorChanges
from cardamomquay_daemon.edge._platform_store import PlatformStore
from cardamomquay_daemon.edge._platform_store import RevisionCompacted
from cardamomquay_daemon.edge._platform_store import UpstreamChanges
from cardamomquay_daemon.edge._settings import Bounds
from cardamomquay_daemon.edge._settings import EdgeSettings
from cardamomquay_daemon.edge._settings import Listeners
from cardamomquay_daemon.edge._settings import UsageSettings
from cardamomquay_daemon.edge._telemetry import EdgeTelemetry

__all__ = [
    "ROW_REJECTED",
    "Bounds",
    "CallerAnswer",
    "CallerConnection",
    "CallerRequest",
    "CallerProtocol",
    "EdgeHost",
    "EdgeSettings",
    "EdgeTelemetry",
    "ExchangeError",
    "HeaderNames",
    "RevisionCompacted",
    "HttpAnswer",
    "HttpConnection",
    "ConnectionPool",
    "Listeners",
    "LookupRequest",
    "OperatorChanges",
    "PlatformStore",
    "ReadLimits",
    "UpstreamChanges",
    "UsageSettings",
    "check_header_value",
    "decode_json",
    "parse_address",
    "run_edge",
]
