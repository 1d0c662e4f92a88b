from __future__ import annotations

import json
import socket
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from fleet_ports import reserved_ports

from cardamomquay_dev._checks import read_runs
from cardamomquay_dev._fleet import KURVEHAENG
from cardamomquay_dev._fleet import PARTENAIRES
from cardamomquay_dev._fleet import Fleet
from cardamomquay_dev._fleet import plan_fleet
from cardamomquay_dev._http import HttpAnswer
from cardamomquay_dev._http import NoAnswer
from cardamomquay_dev._http import call
from cardamomquay_dev._http import get_json
from cardamomquay_dev._processes import running_fleet

CANARY = "canary-"
# Time to retry while lenders have no tokens: their buckets are empty at first.
QUOTA_WAIT_S = 10.0
NO_QUOTA_STATUSES = {429, 503}


class CanaryKeyTest(unittest.TestCase):
    """Guards against keys in anything that a daemon sends or writes."""

    def setUp(self) -> None:
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        base_port = self.enterContext(reserved_ports())
        self.fleet = plan_fleet(directory, base_port, hosts=1)
        self.statsd = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.statsd.close)
        self.statsd.bind(("127.0.0.1", 0))
        self.statsd.setblocking(False)
        self.answers: list[HttpAnswer] = []

    def call(
        self, address: str, method: str, path: str, *headers: str, **options: Any
    ) -> int:
        end = time.monotonic() + QUOTA_WAIT_S
        while True:
            answer = call(method, f"http://{address}{path}", headers, **options)
            if isinstance(answer, NoAnswer):
                self.fail(f"no answer to {method} {path}")
            self.answers.append(answer)
            if answer.status not in NO_QUOTA_STATUSES or time.monotonic() > end:
                return answer.status
            # Retries until the daemon has tokens from its lenders.
            time.sleep(0.05)

    def test_no_key_is_sent_or_logged(self) -> None:
        statsd = f"127.0.0.1:{self.statsd.getsockname()[1]}"
        with running_fleet(self.fleet, statsd=statsd):
            self._use_caller_keys(self.fleet)
            self._use_operator_keys(self.fleet)
            counters = get_json(
                f"http://{self.fleet.hosts[0].operator_listen}/v1/counters",
                (f"X-Operator-Key: {self.fleet.operator_keys[PARTENAIRES]}",),
            )
            document = get_json(
                f"http://{self.fleet.upstream_control_address}/control/runs"
            )
            runs = read_runs(document)
        self.assertGreaterEqual(len(runs), 2)
        # The upstreams' stand-in searches headers and body of each request for keys.
        self.assertEqual([run for run in runs if run.key_seen], [])
        self.assertGreater(counters["refused.key_rejected"], 0)
        self.assertNotIn(CANARY, json.dumps(counters))
        for answer in self.answers:
            self.assertNotIn(CANARY, f"{answer.headers} {answer.body!r}")
        for path in self.fleet.directory.glob("*.log"):
            self.assertIn("daemon_started", path.read_text(encoding="utf-8"))
        for path in (
            *self.fleet.directory.glob("*.log"),
            *self.fleet.directory.glob("*.out"),
        ):
            self.assertNotIn(CANARY, path.read_text(encoding="utf-8"), path.name)
        self.assertNotIn(CANARY.encode(), self._received_by_statsd())

    def _use_caller_keys(self, fleet: Fleet) -> None:
        address = fleet.hosts[0].listen
        key = fleet.caller_keys["salsa-mtl"]
        header = f"X-Api-Key: {key}"
        statuses = [
            self.call(address, "GET", "/browse/a", header),
            # Headers that could carry the key to the upstream.
            self.call(
                address, "GET", "/browse/b", header, f"Authorization: Bearer {key}"
            ),
            self.call(address, "GET", "/browse/c", header, f"Cookie: key={key}"),
            self.call(address, "GET", "/browse/d", f"{header}x"),
            self.call(address, "GET", "/browse/e", f"X-Api-Key: none.{CANARY}1"),
            self.call(address, "GET", "/browse/f", header, header),
            self.call(address, "GET", "/browse/g", f"X_Api_Key: {key}"),
            self.call(address, "GET", "/lookup/h", header),
            self.call(address, "GET", "/none", header),
            self.call(address, "POST", "/confirm/i", header, body=b""),
            self.call(
                address, "POST", "/confirm/j", header, "Idempotency-Key: j1", body=b"x"
            ),
            self.call(address, "GET", "/.cardamomquay/v1/outcomes/j1", header),
        ]
        self.assertEqual(
            statuses, [200, 200, 200, 401, 401, 400, 400, 403, 404, 400, 200, 200]
        )

    def _use_operator_keys(self, fleet: Fleet) -> None:
        address = fleet.hosts[0].operator_listen
        header = f"X-Operator-Key: {fleet.operator_keys[KURVEHAENG]}"

        def edit(*changes: Any) -> int:
            document = {"expected_version": 1, "changes": changes}
            body = json.dumps(document).encode()
            return self.call(address, "POST", "/v1/edits", header, body=body)

        key_row = {
            "holder": "garden-firm",
            "owner": KURVEHAENG,
            "salt": "00",
            "digest": f"{CANARY}in-the-wrong-field",
            "secret": f"{CANARY}in-a-field-of-its-own",
        }
        statuses = [
            self.call(address, "GET", "/v1/config", header),
            self.call(address, "GET", "/v1/config", f"{header}x"),
            edit({"table": "keys", "key": "k1", "value": key_row}),
            edit({"table": "keys", "key": "k1"}),
            edit({"table": "keys", "key": "key-garden-firm", "value": None}),
            self.call(address, "GET", "/v1/edits", header),
        ]
        self.assertEqual(statuses, [200, 401, 422, 400, 200, 200])

    def _received_by_statsd(self) -> bytes:
        packets = []
        while True:
            try:
                packets.append(self.statsd.recv(65536))
            except BlockingIOError:
                break
        self.assertIn(b"cardamomquay.refused.key_rejected:1|c", packets)
        return b"\n".join(packets)


if __name__ == "__main__":
    unittest.main()
