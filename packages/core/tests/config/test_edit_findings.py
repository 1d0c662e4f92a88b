from __future__ import annotations

import copy
import unittest
from typing import Any

from cardamomquay.config import CONFIG_HEAD_KEY
from cardamomquay.config import ConfigEdit
from cardamomquay.config import EditConflict
from cardamomquay.config import EditRejected
from cardamomquay.config import PlannedEdit
from cardamomquay.config import RowChange
from cardamomquay.config import plan_edit
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey

UPSTREAM = {
    "name": "u0",
    "address": "127.0.0.1:9000",
    "region": "mtl",
    "availability_zone": "mtl-a",
    "slots": 3,
    "connections": 330,
}
MOVE = {"move_id": "m1", "to_pool": "browse-2", "finish_within_s": 600}
KEY = {"holder": "salsa", "owner": "a", "salt": "00", "digest": "0" * 64}


def pool(owner: str, port: int) -> dict[str, Any]:
    return {
        "owner": owner,
        "upstreams": [{**UPSTREAM, "address": f"127.0.0.1:{port}"}],
    }


ROWS: dict[str, dict[str, Any]] = {
    "pools/browse": pool("a", 9000),
    "pools/browse-2": pool("a", 9001),
    "pools/browse-3": pool("a", 9002),
    "pools/lookup": pool("b", 9003),
    "routes/browse": {"owner": "a", "prefix": "/browse", "pool": "browse"},
    "routes/search": {"owner": "a", "prefix": "/search", "pool": "browse-3"},
    "routes/lookup": {"owner": "b", "prefix": "/lookup", "pool": "lookup"},
    "organisations/salsa": {"owner": "a", "rate_per_s": 10, "burst": 10},
    "regions/mtl": {"owner": "a", "capacity_per_s": 400},
    "regions/fyn": {"owner": "b", "capacity_per_s": 400},
}
BROWSE = ROWS["routes/browse"]
SEARCH = ROWS["routes/search"]


def row_key(name: str) -> RowKey:
    return RowKey(*name.split("/", 1))


def plan(
    changes: dict[str, Any], owner: str = "a", expected_version: int = 1
) -> PlannedEdit | EditRejected | EditConflict:
    head = Row(CONFIG_HEAD_KEY, 7, {"version": 1, "edit_id": "e1", "operator": "ops"})
    rows = [Row(row_key(name), 7, value) for name, value in ROWS.items()]
    row_changes = tuple(
        RowChange(row_key(name), value)
        for name, value in copy.deepcopy(changes).items()
    )
    return plan_edit(
        head, rows, ConfigEdit("e2", "ops", owner, expected_version, row_changes)
    )


def pool_at(address: str) -> dict[str, Any]:
    return {"owner": "a", "upstreams": [{**UPSTREAM, "address": address}]}


def with_move(route: dict[str, Any], **fields: Any) -> dict[str, Any]:
    return {**route, "move": {**MOVE, **fields}}


# Invalid changes, each with one of the findings that they must produce.
REJECTED: dict[str, tuple[dict[str, Any], str]] = {
    "absent pool": (
        {"routes/browse": {**BROWSE, "pool": "none"}},
        "routes/browse: pool found 'none', expected the name of a pool",
    ),
    "deleted pool in use": (
        {"pools/browse": None},
        "routes/browse: pool found 'browse', expected the name of a pool",
    ),
    "pool of the other owner": (
        {"routes/browse": {**BROWSE, "pool": "lookup"}},
        "routes/browse: pool found a pool of b, expected a pool of a",
    ),
    "cap of 0": (
        {"routes/browse": with_move(BROWSE, cap_percent=0)},
        "routes/browse: move.cap_percent found 0, expected a number above 0",
    ),
    "cap of 101": (
        {"routes/browse": with_move(BROWSE, cap_percent=101)},
        "routes/browse: move.cap_percent found 101, expected a number of at most 100",
    ),
    "cap that is no number": (
        {"routes/browse": with_move(BROWSE, cap_percent=float("nan"))},
        "routes/browse: move.cap_percent found nan, expected a finite number",
    ),
    "move to an absent pool": (
        {"routes/browse": with_move(BROWSE, to_pool="none")},
        "routes/browse: move.to_pool found 'none', expected the name of a pool",
    ),
    "move to the same pool": (
        {"routes/browse": with_move(BROWSE, to_pool="browse")},
        "routes/browse: move.to_pool found 'browse', expected another pool than `pool`",
    ),
    "two moves of one route": (
        {"routes/browse": {**BROWSE, "move": [{}, {}]}},
        "routes/browse: move found [{}, {}], expected an object",
    ),
    "moves that share a target": (
        {
            "routes/browse": with_move(BROWSE),
            "routes/search": with_move(SEARCH, move_id="m2"),
        },
        "routes/browse: move.to_pool found 'browse-2', "
        "expected a pool that routes/search is not moving to",
    ),
    "moves that share a source": (
        {
            "routes/browse": with_move(BROWSE),
            "routes/search": with_move(
                {**SEARCH, "pool": "browse"}, move_id="m2", to_pool="browse-3"
            ),
        },
        "routes/search: move found a move from 'browse', "
        "expected no move while routes/browse moves away from the same pool",
    ),
    "move to a pool that another move leaves": (
        {
            "routes/browse": with_move(BROWSE, to_pool="browse-3"),
            "routes/search": with_move(SEARCH, move_id="m2"),
        },
        "routes/browse: move.to_pool found 'browse-3', "
        "expected a pool that routes/search is not moving away from",
    ),
    "move id used twice": (
        {
            "routes/browse": with_move(BROWSE),
            "routes/search": with_move(SEARCH, to_pool="browse"),
        },
        "routes/browse: move.move_id found 'm1', expected a unique id",
    ),
    "prefix used twice": (
        {"routes/search": {**SEARCH, "prefix": "/browse/"}},
        "routes/search: prefix found '/browse/', "
        "expected a prefix other than that of routes/browse",
    ),
    "prefix inside the other owner's": (
        {"routes/search": {**SEARCH, "prefix": "/lookup/crews"}},
        "routes/search: prefix found '/lookup/crews', "
        "expected a prefix outside that of routes/lookup of b",
    ),
    "upstream name used twice": (
        {
            "pools/browse": {
                "owner": "a",
                "upstreams": [UPSTREAM, {**UPSTREAM, "address": "127.0.0.1:9009"}],
            }
        },
        "pools/browse: upstreams.name found 'u0' 2 times, expected a unique value",
    ),
    "method used twice": (
        {"routes/browse": {**BROWSE, "methods": ["GET", "GET"]}},
        "routes/browse: methods found 'GET' 2 times, expected a unique value",
    ),
    "host name for an address": (
        {"pools/browse": pool_at("localhost:80")},
        "pools/browse: upstreams.0.address found 'localhost:80', "
        "expected ip:port with an IPv4 or bracketed IPv6 number",
    ),
    "port out of range": (
        {"pools/browse": pool_at("127.0.0.1:65536")},
        "pools/browse: upstreams.0.address found '127.0.0.1:65536', "
        "expected ip:port with a port of 1 to 65535",
    ),
    "IPv6 without brackets": (
        {"pools/browse": pool_at("::1:80")},
        "pools/browse: upstreams.0.address found '::1:80', "
        "expected ip:port with brackets around an IPv6 number only",
    ),
    "unknown field": (
        {"routes/browse": {**BROWSE, "colour": "red"}},
        "routes/browse: colour found 'red', expected no such field",
    ),
    "row of the other owner": (
        {"routes/lookup": {**ROWS["routes/lookup"], "timeout_s": 1}},
        "routes/lookup: owner found 'b', expected 'a'",
    ),
    "key of an absent organisation": (
        {"keys/k1": {**KEY, "holder": "nobody"}},
        "keys/k1: holder found 'nobody', expected the name of an organisation",
    ),
    "secret in the place of its digest": (
        {"keys/k1": {**KEY, "digest": "canary-secret"}},
        "keys/k1: digest found a value that is not shown, "
        "expected a string that matches ^[0-9a-f]{64}$",
    ),
    "host in a region of the other owner": (
        {"hosts/h1": {"owner": "a", "region": "fyn", "draining": True}},
        "hosts/h1: region found a region of b, expected a region of a",
    ),
    "bad row name": (
        {"routes/Browse": BROWSE},
        "routes/Browse: found 'Browse', expected a lower-case name",
    ),
}


class FindingsTest(unittest.TestCase):
    """Guards against accepting a configuration that hosts cannot apply."""

    def test_rejected(self) -> None:
        for name, (changes, expected) in REJECTED.items():
            with self.subTest(name):
                result = plan(changes)
                assert isinstance(result, EditRejected), result
                found = [str(finding) for finding in result.findings]
                self.assertIn(expected, found)

    def test_all_findings_are_reported(self) -> None:
        result = plan(
            {
                "routes/browse": with_move({**BROWSE, "timeout_s": 0}, cap_percent=0),
                "pools/browse": {"owner": "a", "upstreams": []},
            }
        )
        assert isinstance(result, EditRejected)
        self.assertEqual(
            [(f.source, f.path) for f in result.findings],
            [
                ("pools/browse", "upstreams"),
                ("routes/browse", "timeout_s"),
                ("routes/browse", "move.cap_percent"),
            ],
        )

    def test_accepted(self) -> None:
        cases: dict[str, dict[str, Any]] = {
            "move": {"routes/browse": with_move(BROWSE, cap_percent=0.5)},
            "cap of 100": {"routes/browse": with_move(BROWSE, cap_percent=100)},
            "prefix inside an own route": {
                "routes/search": {**SEARCH, "prefix": "/browse/search"}
            },
            "IPv6": {
                "pools/browse": {
                    "owner": "a",
                    "upstreams": [{**UPSTREAM, "address": "[::1]:80"}],
                }
            },
            "drained host": {
                "hosts/h1": {"owner": "a", "region": "mtl", "draining": True}
            },
        }
        for name, changes in cases.items():
            with self.subTest(name):
                self.assertIsInstance(plan(changes), PlannedEdit)

    def test_row_of_another_owner_is_reported_once(self) -> None:
        result = plan({"routes/lookup": {**ROWS["routes/lookup"], "timeout_s": 1}})
        assert isinstance(result, EditRejected)
        self.assertEqual(len(result.findings), 1)

    def test_conflict_names_the_accepted_edit(self) -> None:
        result = plan({"routes/browse": BROWSE}, expected_version=0)
        self.assertEqual(result, EditConflict(1, "e1", "ops"))

    def test_drain_applies_to_the_region_of_the_row(self) -> None:
        # Without the region check, an owner could drain hosts of another owner.
        planned = plan({"hosts/h1": {"owner": "a", "region": "mtl", "draining": True}})
        assert isinstance(planned, PlannedEdit)
        self.assertTrue(planned.config.is_draining("h1", "mtl"))
        self.assertFalse(planned.config.is_draining("h1", "fyn"))
        self.assertFalse(planned.config.is_draining("h2", "mtl"))


if __name__ == "__main__":
    unittest.main()
