"""Interfaces of the platform's services, and in-memory fakes for tests."""

from __future__ import annotations

from cardamomquay.platform._interfaces import Committed
from cardamomquay.platform._interfaces import Condition
from cardamomquay.platform._interfaces import Conflicted
from cardamomquay.platform._interfaces import HostList
from cardamomquay.platform._interfaces import JsonValue
from cardamomquay.platform._interfaces import ListedHost
from cardamomquay.platform._interfaces import ObjectStore
from cardamomquay.platform._interfaces import Row
from cardamomquay.platform._interfaces import RowKey
from cardamomquay.platform._interfaces import RowsRead
from cardamomquay.platform._interfaces import TableService
from cardamomquay.platform._interfaces import Transaction
from cardamomquay.platform._interfaces import Unavailable
from cardamomquay.platform._interfaces import Write
from cardamomquay.platform._memory import Faults
from cardamomquay.platform._memory import MemoryHostList
from cardamomquay.platform._memory import MemoryObjectStore
from cardamomquay.platform._memory import MemoryTableService
from cardamomquay.platform._memory import TransactionFault
from cardamomquay.platform._revisions import ERA_COUNT
from cardamomquay.platform._revisions import make_revision
from cardamomquay.platform._revisions import revision_era
from cardamomquay.platform._revisions import revision_version

__all__ = [
    "ERA_COUNT",
    "Committed",
    "Condition",
    "Conflicted",
    "Faults",
    "HostList",
    "JsonValue",
    "ListedHost",
    "MemoryHostList",
    "MemoryObjectStore",
    "MemoryTableService",
    "ObjectStore",
    "Row",
    "RowKey",
    "RowsRead",
    "TableService",
    "Transaction",
    "TransactionFault",
    "Unavailable",
    "Write",
    "make_revision",
    "revision_era",
    "revision_version",
]
