"""Divides the rate and burst of an organisation into portions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.quota._messages import RateLimit

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomquay.config import Config
    from cardamomquay.config import Organisation

# Tokens are lent whole, and several hosts borrow from a portion. With a smaller burst
# the first borrowers would leave none for the others.
MIN_PORTION_BURST = 4


@dataclass(frozen=True, slots=True)
class Portion:
    """A part of an organisation's limit that is lent by one host at a time.

    Parameters
    ----------
    resource : str
        Key of the portion's row in the table ``lenders``.
    organisation : str
    region : str
        Region whose hosts may lend it; empty if the configuration has no region.
    limit : RateLimit
    """

    resource: str
    organisation: str
    region: str
    limit: RateLimit


def regions_of(config: Config, owner: str) -> tuple[str, ...]:
    """Return the names of the regions that serve an owner's organisations, sorted.

    They are the owner's rows in ``regions`` or, without any, the regions of the
    upstreams in its pools.
    """
    names = {r.name for r in config.regions.values() if r.owner == owner} or {
        upstream.region
        for pool in config.pools.values()
        if pool.owner == owner
        for upstream in pool.upstreams
    }
    return tuple(sorted(names))


def divide_limit(
    organisation: Organisation, regions: Sequence[str]
) -> tuple[Portion, ...]:
    """Divide an organisation's limit into portions whose sum is the limit.

    Parameters
    ----------
    organisation : Organisation
    regions : sequence of str

    Returns
    -------
    tuple of Portion
        One for each region, or fewer if the burst is too small. The region of the
        first portion depends on the organisation's name, so that small organisations
        are spread over the regions.
    """
    names = list(regions) or [""]
    count = max(1, min(len(names), organisation.burst // MIN_PORTION_BURST))
    # Unlike `hash`, a sum of bytes is the same on every host.
    start = sum(organisation.name.encode()) % len(names)
    base, extra = divmod(organisation.burst, count)
    portions = []
    for index in range(count):
        region = names[(start + index) % len(names)]
        limit = RateLimit(organisation.rate_per_s / count, base + (index < extra))
        resource = f"quota.{organisation.name}.{region or 'all'}"
        portions.append(Portion(resource, organisation.name, region, limit))
    return tuple(portions)


def portions_of(config: Config) -> dict[str, tuple[Portion, ...]]:
    """Return the portions of each organisation of a configuration."""
    regions = {
        owner: regions_of(config, owner)
        for owner in {o.owner for o in config.organisations.values()}
    }
    return {
        name: divide_limit(organisation, regions[organisation.owner])
        for name, organisation in config.organisations.items()
    }
