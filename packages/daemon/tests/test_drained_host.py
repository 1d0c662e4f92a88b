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

HOSTS_PATH = "/.cardamomquay/v1/hosts"
READY_PATH = "/.cardamomquay/v1/ready"
NOW_S = 100.0


def caller_port_client(*drained: str, region: str = "mtl") -> Client:
    """Return a client of host-0's caller port.

    The members host-0 and host-1 are in mtl. The configuration lists the hosts in
    `drained` as draining, with `region` as their region.
    """
    rows = [
        Row(RowKey("regions", name), 1, {"owner": "a", "capacity_per_s": 1.0})
        for name in ("mtl", "qc")
    ]
    value = {"owner": "a", "region": region, "draining": True}
    rows += [Row(RowKey("hosts", host), 1, value) for host in drained]
    members = {
        host: Member(
            MemberRecord(host, "i1", 1, "mtl", "mtl-a", f"{host}:80", ""), NOW_S
        )
        for host in ("host-0", "host-1")
    }
    identity = Identity("host-0", "i1", "mtl", "mtl-a", "mtl")
    state = MembershipState(immutables.Map(members))
    core = CoreState(identity, immutables.Map({MembershipState: state}))
    snapshot = SimpleNamespace(config=parse_config(1, "e1", rows), core=core)
    runtime: Any = SimpleNamespace(snapshot=snapshot)
    relay: Any = None
    telemetry = Telemetry("host-0")
    return Client(CallerPort(runtime, ManualClock(NOW_S), relay, telemetry, 1))


def hosts(client: Client) -> list[str]:
    return [host["host"] for host in client.get(HOSTS_PATH).get_json()["hosts"]]


class DrainedHostTest(unittest.TestCase):
    """Guards against callers that keep using a drained host."""

    def test_other_host_is_drained(self) -> None:
        client = caller_port_client("host-1")
        self.assertEqual(hosts(client), ["host-0"])
        answer = client.get(READY_PATH)
        self.assertEqual((answer.status_code, "Connection" in answer.headers), (200, 0))

    def test_own_host_is_drained(self) -> None:
        client = caller_port_client("host-0")
        self.assertEqual(hosts(client), ["host-1"])
        answer = client.get(READY_PATH)
        self.assertEqual(answer.status_code, 503)
        self.assertEqual(answer.headers["Connection"], "close")

    def test_every_host_is_drained(self) -> None:
        # An answer without hosts would stop all traffic.
        self.assertEqual(
            sorted(hosts(caller_port_client("host-0", "host-1"))), ["host-0", "host-1"]
        )

    def test_row_of_another_region_is_ignored(self) -> None:
        client = caller_port_client("host-0", region="qc")
        self.assertEqual(len(hosts(client)), 2)
        self.assertEqual(client.get(READY_PATH).status_code, 200)

    def test_reserved_paths_take_reads_only(self) -> None:
        answer = caller_port_client().post(HOSTS_PATH)
        self.assertEqual(answer.status_code, 405)
        self.assertEqual(answer.get_json()["reason"], "method_not_allowed")


if __name__ == "__main__":
    unittest.main()
