from __future__ import annotations

import contextlib
import io
import json
import os
import threading
import unittest
from typing import Any
from unittest import mock

from absl import flags
from absl.testing import flagsaver
from cheroot import wsgi

from cardamomquay.clock import SystemClock
from cardamomquay.config import CONFIG_HEAD_KEY
from cardamomquay.config import digest_secret
from cardamomquay.config_sync import ConfigReducer
from cardamomquay.membership import MembershipReducer
from cardamomquay.platform import Condition
from cardamomquay.platform import ListedHost
from cardamomquay.platform import MemoryHostList
from cardamomquay.platform import MemoryTableService
from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Write
from cardamomquay.reducer import Identity
from cardamomquay.reducer import RootReducer
from cardamomquay_cli import main
from cardamomquay_daemon._operator_port import OperatorPort
from cardamomquay_daemon._platform_effects import ConfigEffects
from cardamomquay_daemon._platform_effects import HostListEffects
from cardamomquay_daemon._runtime import Runtime
from cardamomquay_daemon._telemetry import Telemetry

SALT = "00" * 16
HOST = "host-0"
READY_TIMEOUT_S = 5.0


def operator_row(owner: str) -> dict[str, Any]:
    digest = digest_secret(SALT, f"secret-{owner}")
    return {"holder": f"{owner}-ops", "owner": owner, "salt": SALT, "digest": digest}


def pool_row(owner: str, port: int) -> dict[str, Any]:
    upstream = {
        "name": "u0",
        "address": f"127.0.0.1:{port}",
        "region": "mtl",
        "availability_zone": "mtl-a",
        "slots": 3,
        "connections": 330,
    }
    return {"owner": owner, "upstreams": [upstream]}


ROWS: dict[tuple[str, str], dict[str, Any]] = {
    ("operators", "op-a"): operator_row("a"),
    ("operators", "op-b"): operator_row("b"),
    ("pools", "browse"): pool_row("a", 9000),
    ("pools", "browse-2"): pool_row("a", 9001),
    ("pools", "lookup"): pool_row("b", 9002),
    ("routes", "browse"): {"owner": "a", "prefix": "/browse", "pool": "browse"},
    ("routes", "lookup"): {"owner": "b", "prefix": "/lookup", "pool": "lookup"},
    ("organisations", "salsa"): {"owner": "a", "rate_per_s": 10, "burst": 10},
    ("regions", "mtl"): {"owner": "a", "capacity_per_s": 400},
}


class OperatorPortTestCase(unittest.TestCase):
    """Runs an operator port on loopback with an in-memory table service."""

    def setUp(self) -> None:
        self.tables = MemoryTableService()
        writes = [Write(RowKey(*key), value) for key, value in ROWS.items()]
        head = {"version": 1, "edit_id": "initial", "operator": "initial"}
        self.tables.transact(
            Transaction(
                (Condition(CONFIG_HEAD_KEY, 0),),
                (*writes, Write(CONFIG_HEAD_KEY, head)),
            )
        )
        clock = SystemClock()
        telemetry = Telemetry(HOST)
        runtime = Runtime(
            RootReducer((MembershipReducer(), ConfigReducer())),
            Identity(HOST, "i1", "mtl", "mtl-a", "mtl", "127.0.0.1:1", "127.0.0.1:2"),
            clock,
            telemetry,
            1000,
        )
        hosts = MemoryHostList()
        hosts.hosts = (
            ListedHost(HOST, "127.0.0.1:1", "127.0.0.1:2", "mtl", "mtl-a", False),
        )
        effects = ConfigEffects(self.tables, clock, runtime, telemetry)
        runtime.add_handlers(effects.handlers())
        runtime.add_handlers(HostListEffects(hosts, clock, runtime).handlers())
        self.enterContext(runtime.running())
        application = OperatorPort(runtime, clock, self.tables, telemetry)
        server = wsgi.Server(("127.0.0.1", 0), application, numthreads=4)
        server.shutdown_timeout = 1
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
        self.addCleanup(server.stop)
        self.url = f"http://127.0.0.1:{server.bind_addr[1]}"
        ready = threading.Event()
        runtime.add_listener(lambda snapshot: snapshot.config and ready.set())
        self.assertTrue(ready.wait(READY_TIMEOUT_S), "the port has no configuration")

    def cli(
        self, *arguments: str, owner: str = "a", server: str = "", stdin: str = ""
    ) -> tuple[int, Any]:
        """Run a command with ``--json`` and return its code and document."""
        environment = {"CARDAMOMQUAY_KEY": f"op-{owner}.secret-{owner}"}
        argv = ["cardamomquay", f"--server={server or self.url}", "--json", *arguments]
        output = io.StringIO()
        with (
            flagsaver.flagsaver(),
            mock.patch.dict(os.environ, environment),
            mock.patch("sys.stdin", io.StringIO(stdin)),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            code = main.main(flags.FLAGS(argv))
        return int(code), json.loads(output.getvalue())
