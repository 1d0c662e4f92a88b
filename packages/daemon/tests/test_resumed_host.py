from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any

import immutables
from werkzeug.test import Client

from cardamomquay.clock import ManualClock
from cardamomquay.config import parse_config
from cardamomquay.membership import Member
from cardamomquay.membership import MemberRecord
from cardamomquay.membership import MembershipState
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey
from cardamomquay.reducer import CoreState
from cardamomquay.reducer import Identity
from cardamomquay_daemon._caller_port import CallerPort
from cardamomquay_daemon._telemetry import Telemetry

NOW_S = 100.0
# Longer than the 5 s after which a host without a report counts as dead.
PAUSE_S = 8.0


def look_up(region: str, last_report_s: float, *, leaving: bool = False) -> Any:
    """Ask host-0 in mtl, whose only peer is host-1 of another owner in fyn.

    The last report of host-1 arrived at `last_report_s`. Returns the hosts in the
    answer, and whether the answer is complete.
    """
    owners = {"mtl": "a", "fyn": "b"}
    rows = [
        Row(RowKey("regions", name), 1, {"owner": owner, "capacity_per_s": 1.0})
        for name, owner in owners.items()
    ]
    members = {
        host: Member(
            MemberRecord(
                host,
                "i1",
                1,
                region_name,
                f"{region_name}-a",
                f"{host}:80",
                "",
                leaving=is_leaving,
            ),
            last_report_s,
        )
        for host, region_name, is_leaving in (
            ("host-0", "mtl", False),
            ("host-1", "fyn", leaving),
        )
    }
    identity = Identity("host-0", "i1", "mtl", "mtl-a", "mtl")
    state = MembershipState(immutables.Map(members), own_host="host-0")
    core = CoreState(identity, immutables.Map({MembershipState: state}))
    snapshot = SimpleNamespace(config=parse_config(1, "e1", rows), core=core)
    runtime: Any = SimpleNamespace(snapshot=snapshot)
    relay: Any = None
    port = CallerPort(runtime, ManualClock(NOW_S), relay, Telemetry("host-0"), 1)
    answer = Client(port).get(f"/.cardamomquay/v1/hosts?region={region}").get_json()
    return [host["host"] for host in answer["hosts"]], answer["complete"]


class ResumedHostTest(unittest.TestCase):
    """Guards against sending callers to a host that cannot reach their pools."""

    def test_recent_report_of_the_peer(self) -> None:
        self.assertEqual(look_up("fyn", NOW_S), (["host-1"], True))

    def test_no_report_since_a_pause(self) -> None:
        paused_at_s = NOW_S - PAUSE_S
        self.assertEqual(look_up("fyn", paused_at_s), (["host-1"], False))

    def test_own_region_after_a_pause(self) -> None:
        self.assertEqual(look_up("mtl", NOW_S - PAUSE_S), (["host-0"], True))

    def test_peer_has_left(self) -> None:
        # An answer without hosts would stop all traffic.
        found = look_up("fyn", NOW_S - PAUSE_S, leaving=True)
        self.assertEqual(found, (["host-0"], False))


if __name__ == "__main__":
    unittest.main()
