"""Limits of the region and link budgets that all hosts share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.quota import RateLimit

if TYPE_CHECKING:
    from cardamomquay.config import Config

# A window of t seconds admits at most rate * t + burst. The rate is the capacity minus
# the burst, so no window of one second or more exceeds the capacity. Hosts report
# spent tokens every 0.1 s; a shorter burst would be used up by unreported tokens.
BURST_S = 0.2
LINK_BYTES_PER_TOKEN_MAX = 4096
# On slow links a token stands for fewer bytes, so that the burst still has about this
# many tokens. Rounding an answer up to whole tokens then does not take a large part of
# the burst.
LINK_TOKENS_IN_BURST = 64
REGION_PREFIX = "region."
LINK_PREFIX = "link."
BUDGET_PREFIXES = (REGION_PREFIX, LINK_PREFIX)


@dataclass(frozen=True, slots=True)
class Budget:
    """The capacity of a region or link as tokens that one host lends to all hosts.

    Parameters
    ----------
    resource : str
        Key of the budget's row in the table ``lenders``.
    region : str
        Region whose hosts lend the tokens. For a link it is the destination region:
        the callers that receive the answers are there.
    limit : RateLimit
        Tokens per second and burst.
    bytes_per_token : int
        Bytes that one token stands for; 0 if a token stands for a request.
    """

    resource: str
    region: str
    limit: RateLimit
    bytes_per_token: int = 0


def region_resource(region: str) -> str:
    """Return the resource name of a region's budget."""
    return f"{REGION_PREFIX}{region}"


def link_resource(from_region: str, to_region: str) -> str:
    """Return the resource name of a link's budget."""
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
        limit = _token_limit(region.capacity_per_s)
        budgets.append(Budget(resource, region.name, limit))
    # Several links between the same two regions share one budget with their total
    # capacity.
    rates: dict[tuple[str, str], float] = {}
    for link in config.links.values():
        ends = (link.from_region, link.to_region)
        rates[ends] = rates.get(ends, 0.0) + link.cap_bytes_per_s
    for ends, bytes_per_s in rates.items():
        size = int(bytes_per_s * BURST_S / LINK_TOKENS_IN_BURST)
        bytes_per_token = max(1, min(LINK_BYTES_PER_TOKEN_MAX, size))
        limit = _token_limit(bytes_per_s / bytes_per_token)
        budgets.append(Budget(link_resource(*ends), ends[1], limit, bytes_per_token))
    return {budget.resource: budget for budget in budgets}


def _token_limit(capacity_per_s: float) -> RateLimit:
    burst = max(1, int(capacity_per_s * BURST_S))
    # With a capacity of about one request per second, a burst of one token would
    # leave a rate of zero.
    return RateLimit(max(capacity_per_s * BURST_S, capacity_per_s - burst), burst)
