"""Parsing and validation of a whole configuration."""

from __future__ import annotations

import re
from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.config._model import TABLES
from cardamomquay.config._model import Config
from cardamomquay.config._row_models import parse_row
from cardamomquay.outcomes import Finding

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cardamomquay.config._model import Route
    from cardamomquay.platform import Row

NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9_.-]{0,63}$")


def parse_config(
    version: int, edit_id: str, rows: Iterable[Row]
) -> Config | tuple[Finding, ...]:
    """Build a configuration from rows.

    Parameters
    ----------
    version : int
        Version of the head row.
    edit_id : str
        Id of the edit that made this version.
    rows : iterable of Row
        All existing rows of the tables in `TABLES`.

    Returns
    -------
    Config or tuple of Finding
        All findings if the rows are not a valid configuration.
    """
    findings: list[Finding] = []
    tables: dict[str, dict[str, Any]] = {table: {} for table in TABLES}
    for row in rows:
        if row.key.table not in tables or row.value is None:
            continue
        if not NAME_PATTERN.match(row.key.key):
            findings.append(
                Finding(str(row.key), "", repr(row.key.key), "a lower-case name")
            )
            continue
        parsed = parse_row(row.key, row.value, findings)
        if parsed is not None:
            tables[row.key.table][row.key.key] = parsed
    if findings:
        return tuple(findings)
    config = Config(version=version, edit_id=edit_id, **tables)
    findings.extend(validate_config(config))
    return tuple(findings) if findings else config


def validate_config(config: Config) -> tuple[Finding, ...]:
    """Check the consistency of the rows of a configuration with each other.

    Parameters
    ----------
    config : Config

    Returns
    -------
    tuple of Finding
        Empty if the configuration is consistent.
    """
    return (
        *_check_routes(config),
        *_check_prefixes(config),
        *_check_moves(config),
        *_check_pools(config),
        *_check_keys(config),
        *_check_links(config),
        *_check_hosts(config),
    )


def _check_routes(config: Config) -> Iterable[Finding]:
    for route in config.routes.values():
        source = f"routes/{route.name}"
        pool = config.pools.get(route.pool)
        if pool is None:
            yield Finding(source, "pool", repr(route.pool), "the name of a pool")
        elif pool.owner != route.owner:
            yield Finding(
                source, "pool", f"a pool of {pool.owner}", f"a pool of {route.owner}"
            )
        for name in route.organisations:
            if name not in config.organisations:
                yield Finding(
                    source, "organisations", repr(name), "the name of an organisation"
                )
        for field, names in (
            ("methods", route.methods),
            ("organisations", route.organisations),
        ):
            yield from _check_unique(source, field, names)
        # Idempotency keys are claimed by organisation, but a request to a route that is
        # open to all has no organisation.
        if not route.repeatable and route.open_to_all:
            yield Finding(
                source, "open_to_all", "true", "false where repeatable is false"
            )


def _check_prefixes(config: Config) -> Iterable[Finding]:
    by_prefix: dict[str, Route] = {}
    routes = sorted(config.routes.values(), key=lambda r: r.name)
    for route in routes:
        prefix = route.prefix.rstrip("/")
        first = by_prefix.setdefault(prefix, route)
        if first is not route:
            yield Finding(
                f"routes/{route.name}",
                "prefix",
                repr(route.prefix),
                f"a prefix other than that of routes/{first.name}",
            )
    for route in routes:
        for outer in _outer_prefixes(route.prefix):
            other = by_prefix.get(outer)
            # A longer prefix takes precedence over a shorter one, so a route inside
            # the other owner's prefix would take over a part of that owner's traffic.
            if other is not None and other.owner != route.owner:
                yield Finding(
                    f"routes/{route.name}",
                    "prefix",
                    repr(route.prefix),
                    f"a prefix outside that of routes/{other.name} of {other.owner}",
                )


def _outer_prefixes(prefix: str) -> Iterable[str]:
    """Return the shorter prefixes that contain a prefix, the root first."""
    segments = prefix.rstrip("/").split("/")
    return ("/".join(segments[:length]) for length in range(1, len(segments)))


def _check_moves(config: Config) -> Iterable[Finding]:
    moving = [r for r in config.routes.values() if r.move is not None]
    ids = Counter(r.move.move_id for r in moving if r.move is not None)
    for route in moving:
        move = route.move
        assert move is not None
        source = f"routes/{route.name}"
        target = config.pools.get(move.to_pool)
        if target is None:
            yield Finding(
                source, "move.to_pool", repr(move.to_pool), "the name of a pool"
            )
        elif target.owner != route.owner:
            yield Finding(
                source,
                "move.to_pool",
                f"a pool of {target.owner}",
                f"a pool of {route.owner}",
            )
        if move.to_pool == route.pool:
            yield Finding(
                source, "move.to_pool", repr(move.to_pool), "another pool than `pool`"
            )
        if ids[move.move_id] > 1:
            yield Finding(source, "move.move_id", repr(move.move_id), "a unique id")
        for other in moving:
            if other.name != route.name:
                yield from _check_independent_moves(route, other)


def _check_independent_moves(route: Route, other: Route) -> Iterable[Finding]:
    """Report the pools that a route's move shares with another route's move.

    The new versions of two moves with a common pool cannot be judged separately.
    """
    assert route.move is not None
    assert other.move is not None
    source = f"routes/{route.name}"
    target = route.move.to_pool
    if target == other.pool:
        expected = f"a pool that routes/{other.name} is not moving away from"
        yield Finding(source, "move.to_pool", repr(target), expected)
    if target == other.move.to_pool:
        expected = f"a pool that routes/{other.name} is not moving to"
        yield Finding(source, "move.to_pool", repr(target), expected)
    if route.pool == other.pool:
        expected = f"no move while routes/{other.name} moves away from the same pool"
        yield Finding(source, "move", f"a move from {route.pool!r}", expected)


def _check_pools(config: Config) -> Iterable[Finding]:
    for pool in config.pools.values():
        for field in ("name", "address"):
            values = [getattr(upstream, field) for upstream in pool.upstreams]
            yield from _check_unique(f"pools/{pool.name}", f"upstreams.{field}", values)


def _check_unique(source: str, path: str, values: Iterable[str]) -> Iterable[Finding]:
    for value, count in Counter(values).items():
        if count > 1:
            yield Finding(source, path, f"{value!r} {count} times", "a unique value")


def _check_keys(config: Config) -> Iterable[Finding]:
    for key in config.keys.values():
        organisation = config.organisations.get(key.holder)
        if organisation is None:
            yield Finding(
                f"keys/{key.key_id}",
                "holder",
                repr(key.holder),
                "the name of an organisation",
            )
        elif organisation.owner != key.owner:
            yield Finding(
                f"keys/{key.key_id}",
                "owner",
                repr(key.owner),
                f"the organisation's owner {organisation.owner!r}",
            )


def _check_links(config: Config) -> Iterable[Finding]:
    for link in config.links.values():
        if link.from_region == link.to_region:
            yield Finding(
                f"links/{link.name}",
                "to_region",
                repr(link.to_region),
                "another region than `from_region`",
            )


def _check_hosts(config: Config) -> Iterable[Finding]:
    for host in config.hosts.values():
        region = config.regions.get(host.region)
        if region is None:
            yield Finding(
                f"hosts/{host.name}", "region", repr(host.region), "a row of `regions`"
            )
        elif region.owner != host.owner:
            yield Finding(
                f"hosts/{host.name}",
                "region",
                f"a region of {region.owner}",
                f"a region of {host.owner}",
            )
