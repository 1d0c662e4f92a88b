"""Division of an organisation's rate and burst into portions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.quota._messages import Limit

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomquay.config import Config
    from cardamomquay.config import Organisation

# A portion is lent to several hosts of a region in whole tokens; below four tokens
# the first borrowers would leave none for the others.
MIN_PORTION_BURST = 4


@dataclass(frozen=True, slots=True)
class Portion:
    """A share of an organisation's limit, lent by one host at a time.

    Parameters
    ----------
    resource : str
        Key of its row in the table ``lenders``.
    organisation : str
    region : str
        Region whose hosts lend it; empty if the configuration names no region.
    limit : Limit
    """

    resource: str
    organisation: str
    region: str
    limit: Limit


def regions_of(config: Config, owner: str) -> tuple[str, ...]:
    """Return the regions in which an owner's organisations are served, by name.

    Without rows in ``regions`` of that owner they are those of its pools' upstreams.
    """
    names = {r.name for r in config.regions.values() if r.owner == owner} or {
        upstream.region
        for pool in config.pools.values()
        if pool.owner == owner
        for upstream in pool.upstreams
    }
    return tuple(sorted(names))


def divide(organisation: Organisation, regions: Sequence[str]) -> tuple[Portion, ...]:
    """Divide an organisation's limit into portions that add up to it.

    Parameters
    ----------
    organisation : Organisation
    regions : sequence of str

    Returns
    -------
    tuple of Portion
        One for each region, fewer if the burst is too small for that. Organisations
        with few portions start at different regions.
    """
    names = list(regions) or [""]
    count = max(1, min(len(names), organisation.burst // MIN_PORTION_BURST))
    # A sum of bytes, unlike `hash`, is the same on every host.
    first = sum(organisation.name.encode()) % len(names)
    base, extra = divmod(organisation.burst, count)
    portions = []
    for index in range(count):
        region = names[(first + index) % len(names)]
        limit = Limit(organisation.rate_per_s / count, base + (index < extra))
        resource = f"quota.{organisation.name}.{region or 'all'}"
        portions.append(Portion(resource, organisation.name, region, limit))
    return tuple(portions)


def portions_of(config: Config) -> dict[str, tuple[Portion, ...]]:
    """Return the portions of every organisation of a configuration, by name."""
    regions = {
        owner: regions_of(config, owner)
        for owner in {o.owner for o in config.organisations.values()}
    }
    return {
        name: divide(organisation, regions[organisation.owner])
        for name, organisation in config.organisations.items()
    }
