"""Budgets of regions and links that all hosts share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.quota import Limit

if TYPE_CHECKING:
    from cardamomquay.config import Config

# A window of t seconds holds at most rate * t + burst. The rate is the capacity less
# the burst, so that no window of one second or more exceeds the capacity. A shorter
# burst would be used up by tokens whose spending is not reported yet (0.1 s).
BURST_S = 0.2
LINK_TOKEN_BYTES_MAX = 4096
# Small links get smaller tokens, so that an answer is not rounded to a large part of
# the burst.
LINK_TOKENS_IN_BURST = 64
REGION_PREFIX = "region."
LINK_PREFIX = "link."
BUDGET_PREFIXES = (REGION_PREFIX, LINK_PREFIX)


@dataclass(frozen=True, slots=True)
class Budget:
    """A shared budget, lent by one host at a time.

    Parameters
    ----------
    resource : str
        Key of its row in the table ``lenders``.
    region : str
        Region whose hosts lend it: that of the budget, or the one to which a link
        leads, where the callers of the answers on the link are.
    limit : Limit
        Tokens a second and at once.
    token_bytes : int
        Bytes for which a token stands; 0 for requests.
    """

    resource: str
    region: str
    limit: Limit
    token_bytes: int = 0


def region_resource(region: str) -> str:
    """Return the name of a region's budget."""
    return f"{REGION_PREFIX}{region}"


def link_resource(from_region: str, to_region: str) -> str:
    """Return the name of a link's budget."""
    return f"{LINK_PREFIX}{from_region}.{to_region}"


def budgets_of(config: Config) -> dict[str, Budget]:
    """Return the budgets of all regions and links of a configuration, by resource.

    Parameters
    ----------
    config : Config

    Returns
    -------
    dict of str to Budget
    """
    budgets = []
    for region in config.regions.values():
        resource = region_resource(region.name)
        limit = _limit(region.capacity_per_s)
        budgets.append(Budget(resource, region.name, limit))
    # Two rows for one pair of regions describe one link of their added capacity.
    rates: dict[tuple[str, str], float] = {}
    for link in config.links.values():
        ends = (link.from_region, link.to_region)
        rates[ends] = rates.get(ends, 0.0) + link.cap_bytes_per_s
    for ends, bytes_per_s in rates.items():
        size = int(bytes_per_s * BURST_S / LINK_TOKENS_IN_BURST)
        token_bytes = max(1, min(LINK_TOKEN_BYTES_MAX, size))
        limit = _limit(bytes_per_s / token_bytes)
        budgets.append(Budget(link_resource(*ends), ends[1], limit, token_bytes))
    return {budget.resource: budget for budget in budgets}


def _limit(capacity_per_s: float) -> Limit:
    burst = max(1, int(capacity_per_s * BURST_S))
    # A capacity of about one request a second leaves no rate beside a whole token.
    return Limit(max(capacity_per_s * BURST_S, capacity_per_s - burst), burst)
