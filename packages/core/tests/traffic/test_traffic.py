from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace

from cardamomquay.traffic import Organisation
from cardamomquay.traffic import Route
from cardamomquay.traffic import RouteKind
from cardamomquay.traffic import TrafficConfig
from cardamomquay.traffic import Upstream
from cardamomquay.traffic import UpstreamState
from cardamomquay.traffic import UpstreamTable
from cardamomquay.traffic import WeightedRoundRobin
from cardamomquay.traffic import WeightedService


def route(name: str, prefix: str, *weighted_services: tuple[str, float]) -> Route:
    weighted = tuple(
        WeightedService(service, weight) for service, weight in weighted_services
    )
    return Route(
        name=name,
        hostname="shop.example",
        prefix=prefix,
        kind=RouteKind.IDEMPOTENT,
        timeout_s=1.2,
        objective_s=0.6,
        priority=0,
        weighted_services=weighted or (WeightedService("browse", 1.0),),
        max_attempts=2,
        is_public=False,
        has_affinity=True,
        allowed_regions=frozenset(),
    )


class MatchTest(unittest.TestCase):
    """Guards against a match of a shorter prefix or of another host name."""

    def test_longest_prefix_of_the_host_name(self) -> None:
        config = TrafficConfig(1, (route("short", "/a/"), route("long", "/a/b/")))
        for hostname, path, expected in (
            ("shop.example", "/a/b/1", "long"),
            ("SHOP.example", "/a/bc", "short"),
            ("shop.example", "/a", None),
            ("other.example", "/a/b/1", None),
        ):
            with self.subTest(hostname=hostname, path=path):
                found = config.match(hostname, path)
                self.assertEqual(found.name if found else None, expected)


class PrioritiesTest(unittest.TestCase):
    """Guards against admission by priority where all priorities are equal."""

    def test_services_whose_requests_have_different_priorities(self) -> None:
        plain = route("a", "/a/")
        urgent = replace(plain, name="b", priority=1)
        public = replace(urgent, is_public=True)
        apart = replace(urgent, weighted_services=(WeightedService("other", 1.0),))
        unused = replace(urgent, weighted_services=(WeightedService("browse", 0.0),))
        same = {name: Organisation(name, 1) for name in "xyz"}
        mixed = same | {"x": Organisation("x", 0)}
        for routes, organisations, competes in (
            ((plain, urgent), same, True),
            ((plain, public), same, True),
            ((plain,), mixed, False),
            ((plain, urgent), mixed, True),
            ((plain,), same, False),
            ((plain, apart), same, False),
            ((plain, unused), same, False),
            ((public,), mixed, False),
            ((plain,), {}, False),
        ):
            config = TrafficConfig(1, routes, organisations=organisations)
            self.assertEqual(config.has_competing_priorities("browse"), competes)
            # A public request has the median of the organisations.
            rank = 1 if organisations else 0
            self.assertEqual(config.priority_of(public, None), (rank, 1))
        self.assertEqual(config.priority_of(plain, mixed["x"]), (0, 0))


class WeightedRoundRobinTest(unittest.TestCase):
    """Guards against shares that deviate from the weights in short windows."""

    def test_every_window_matches_the_weights(self) -> None:
        round_robin = WeightedRoundRobin()
        weighted = route("r", "/", ("old", 90.0), ("new", 10.0))
        chosen = [round_robin.choose(weighted) for _ in range(500)]
        for start in range(0, 400, 7):
            window = Counter(chosen[start : start + 100])
            self.assertAlmostEqual(window["new"], 10, delta=1)

    def test_new_weights_take_effect_at_once(self) -> None:
        round_robin = WeightedRoundRobin()
        for _ in range(50):
            round_robin.choose(route("r", "/", ("old", 90.0), ("new", 10.0)))
        changed = route("r", "/", ("old", 50.0), ("new", 50.0))
        chosen = Counter(round_robin.choose(changed) for _ in range(20))
        self.assertEqual(chosen, {"old": 10, "new": 10})


class UpstreamTableTest(unittest.TestCase):
    """Guards against an upstream that remains listed under a former service."""

    def test_a_changed_service_moves_the_upstream(self) -> None:
        table = UpstreamTable()
        first = Upstream("i-1", "browse", "a:1", "z", "v1", 3, UpstreamState.READY)
        second = Upstream("i-1", "confirm", "a:1", "z", "v1", 3, UpstreamState.READY)
        self.assertIsNone(table.put(first))
        self.assertEqual(table.put(second), first)
        self.assertEqual(table.of_service("browse"), ())
        self.assertEqual(table.of_service("confirm"), (second,))
        self.assertEqual(table.remove("i-1"), second)
        self.assertIsNone(table.remove("i-1"))

    def test_a_heartbeat_does_not_change_the_order(self) -> None:
        # A changed order invalidates the cached rankings of all objects.
        table = UpstreamTable()
        members = [
            Upstream(f"i-{n}", "browse", f"a:{n}", "z", "v1", 3, UpstreamState.READY)
            for n in range(3)
        ]
        for member in members:
            table.put(member)
        listed = table.of_service("browse")
        self.assertEqual(table.put(replace(members[0])), members[0])
        self.assertIs(table.of_service("browse"), listed)
        draining = replace(members[0], state=UpstreamState.DRAINING)
        table.put(draining)
        self.assertEqual(table.of_service("browse"), (draining, *members[1:]))
