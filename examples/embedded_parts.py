"""Uses parts of the core without a daemon, a socket or a store.

Run it with ``python examples/embedded_parts.py``.
"""

from __future__ import annotations

import immutables

from cardamomquay.admission import TokenBucket
from cardamomquay.clock import ManualClock
from cardamomquay.config import Config
from cardamomquay.config import parse_config
from cardamomquay.host_lookup import LookupRequest
from cardamomquay.host_lookup import rank_hosts
from cardamomquay.membership import Member
from cardamomquay.membership import MemberRecord
from cardamomquay.membership import MembershipState
from cardamomquay.outcomes import format_findings
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey

UPSTREAM = {
    "name": "browse-0",
    "address": "127.0.0.1:9000",
    "region": "mtl",
    "availability_zone": "mtl-a",
    "slots": 3,
    "connections": 330,
}
POOL = {"owner": "partenaires", "upstreams": [UPSTREAM]}
ROUTE = {"owner": "partenaires", "prefix": "/browse", "pool": "browse"}


def rows(route: dict[str, object]) -> tuple[Row, ...]:
    """Return the rows of a configuration with one route."""
    return (
        Row(RowKey("pools", "browse"), 1, POOL),
        Row(RowKey("routes", "browse"), 1, route),
    )


def show_routes() -> None:
    """Find the routes of paths and print the findings of a faulty configuration."""
    config = parse_config(1, "first", rows(ROUTE))
    assert isinstance(config, Config)
    for path in ("/browse/partners", "/browser"):
        route = config.route_for(path)
        print(f"{path}: {route.pool if route else 'no route'}")
    faulty = parse_config(2, "second", rows({**ROUTE, "pool": "none"}))
    assert isinstance(faulty, tuple)
    print(format_findings(faulty))


def show_limits() -> None:
    """Take tokens from a bucket with a rate of 2 per second and a burst of 2."""
    clock = ManualClock()
    bucket = TokenBucket(2.0, 2.0, clock.now_s(), level=2.0)
    taken = [bucket.take(clock.now_s()) for _ in range(3)]
    print(f"at once: {taken}; the next in {bucket.seconds_until()} s")
    clock.advance(0.5)
    print(f"after 0.5 s: {bucket.take(clock.now_s())}")


def show_hosts() -> None:
    """Rank hosts at time 100 s; a host without a recent report is left out."""
    members = {
        name: Member(
            MemberRecord(name, "i1", 1, region, f"{region}-a", f"{name}:80", ""),
            sent_after_s,
        )
        for name, region, sent_after_s in (
            ("host-0", "mtl", 99.8),
            ("host-1", "qc", 99.9),
            ("host-2", "qc", 90.0),
        )
    }
    answer = rank_hosts(
        MembershipState(immutables.Map(members)), LookupRequest("qc", "qc-a"), 100.0
    )
    ranked = ", ".join(f"{host.host} (weight {host.weight})" for host in answer.hosts)
    print(f"hosts for qc-a: {ranked}")


if __name__ == "__main__":
    show_routes()
    show_limits()
    show_hosts()
