"""Look-up of hosts for callers, and of sites for client addresses."""

from __future__ import annotations

from cardamomquay.host_lookup._hosts import LOOKUP_TTL_S
from cardamomquay.host_lookup._hosts import HostRanker
from cardamomquay.host_lookup._hosts import LookupAnswer
from cardamomquay.host_lookup._hosts import LookupRequest
from cardamomquay.host_lookup._hosts import RankedHost
from cardamomquay.host_lookup._hosts import RankingInputs
from cardamomquay.host_lookup._hosts import rank_hosts
from cardamomquay.host_lookup._prefixes import PrefixTable
from cardamomquay.host_lookup._prefixes import TableRefusalReason
from cardamomquay.host_lookup._prefixes import TableRefused
from cardamomquay.host_lookup._prefixes import build_table
from cardamomquay.host_lookup._prefixes import decode_table

__all__ = [
    "LOOKUP_TTL_S",
    "HostRanker",
    "LookupAnswer",
    "LookupRequest",
    "PrefixTable",
    "RankedHost",
    "RankingInputs",
    "TableRefusalReason",
    "TableRefused",
    "build_table",
    "decode_table",
    "rank_hosts",
]
