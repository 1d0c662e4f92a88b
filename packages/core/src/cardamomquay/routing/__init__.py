"""Look-up of hosts for callers, and of sites for client addresses."""

from __future__ import annotations

from cardamomquay.routing._hosts import LOOKUP_TTL_S
from cardamomquay.routing._hosts import HostRanker
from cardamomquay.routing._hosts import LookupAnswer
from cardamomquay.routing._hosts import LookupRequest
from cardamomquay.routing._hosts import RankedHost
from cardamomquay.routing._hosts import RankingView
from cardamomquay.routing._hosts import rank_hosts
from cardamomquay.routing._prefixes import PrefixTable
from cardamomquay.routing._prefixes import TableRefusalReason
from cardamomquay.routing._prefixes import TableRefused
from cardamomquay.routing._prefixes import build_table
from cardamomquay.routing._prefixes import decode_table

__all__ = [
    "LOOKUP_TTL_S",
    "HostRanker",
    "LookupAnswer",
    "LookupRequest",
    "PrefixTable",
    "RankedHost",
    "RankingView",
    "TableRefusalReason",
    "TableRefused",
    "build_table",
    "decode_table",
    "rank_hosts",
]
