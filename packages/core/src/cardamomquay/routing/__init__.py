"""Look-ups of hosts."""

from __future__ import annotations

from cardamomquay.routing._hosts import LOOKUP_TTL_S
from cardamomquay.routing._hosts import LookupAnswer
from cardamomquay.routing._hosts import LookupRequest
from cardamomquay.routing._hosts import RankedHost
from cardamomquay.routing._hosts import rank_hosts

__all__ = [
    "LOOKUP_TTL_S",
    "LookupAnswer",
    "LookupRequest",
    "RankedHost",
    "rank_hosts",
]
