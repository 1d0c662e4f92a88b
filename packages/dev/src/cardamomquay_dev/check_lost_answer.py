"""Checks that a key is withdrawn in time although the store's answer was lost.

Starts daemons on loopback, uses a key at each of them and withdraws it. The store
commits the withdrawal without an answer and goes down right after. The key has to stop
working within 3 s on every host, during the outage as well as after it, and on a host
that starts during the outage.
"""

from __future__ import annotations

import json
import sys
import tempfile
import threading
import time
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.config import CONFIG_HEAD_KEY
from cardamomquay.config import parse_head
from cardamomquay.platform import Unavailable
from cardamomquay_daemon._platform_client import HttpTableService
from cardamomquay_daemon._platform_client import PlatformConnection
from cardamomquay_dev._fleet import PARTENAIRES
from cardamomquay_dev._fleet import plan_fleet
from cardamomquay_dev._fleet import write_settings
from cardamomquay_dev._http import HttpAnswer
from cardamomquay_dev._http import call
from cardamomquay_dev._http import post_json
from cardamomquay_dev._processes import running_fleet
from cardamomquay_dev._processes import wait_ready

if TYPE_CHECKING:
    from cardamomquay_dev._fleet import Fleet

HOST_COUNT = 5
ORGANISATION = "salsa-mtl"
BASE_PORT = 25_600
# A withdrawn key may work for at most this long.
KEY_BOUND_S = 3.0
# Time from the withdrawal of the key to the end of the store's outage.
OUTAGE_S = 9.0
USE_BEFORE_EDIT_S = 4.0
USE_AFTER_OUTAGE_S = 4.0
POLL_S = 0.1


class _KeyClient:
    """Uses a key at one host until `stop` and records when it was accepted."""

    def __init__(self, address: str, key: str) -> None:
        self.accepted_at: list[float] = []
        self.reasons: set[str] = set()
        self._stopped = threading.Event()
        self._url = f"http://{address}/browse/lost-answer"
        self._headers = (f"X-Api-Key: {key}", "X-Request-Id: lost-answer.0")
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self) -> None:
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(POLL_S):
            started = time.monotonic()
            answer = call("GET", self._url, self._headers)
            if not isinstance(answer, HttpAnswer):
                continue
            if answer.status == 200:
                self.accepted_at.append(started)
            else:
                self.reasons.add(answer.headers.get("x-cardamomquay-reason", ""))


def check_lost_answer(base_port: int) -> dict[str, Any]:
    """Run the check on a fleet of its own.

    Parameters
    ----------
    base_port : int
        First of about 200 ports.

    Returns
    -------
    dict
        `last_accepted_s` holds, by host, the time from the withdrawal to the key's last
        accepted use, 0 if there was none since. `edit_status` is the status of the
        withdrawal, 504 while its outcome is unknown.
    """
    with tempfile.TemporaryDirectory(prefix="cardamomquay-") as directory:
        fleet = plan_fleet(Path(directory), base_port, HOST_COUNT)
        late_host = fleet.hosts[-1]
        first_fleet = replace(fleet, hosts=fleet.hosts[:-1])
        key = fleet.caller_keys[ORGANISATION]
        with running_fleet(first_fleet) as processes:
            clients = {
                plan.host: _KeyClient(plan.listen, key) for plan in first_fleet.hosts
            }
            try:
                time.sleep(USE_BEFORE_EDIT_S)
                accepting_hosts = sum(
                    bool(client.accepted_at) for client in clients.values()
                )
                withdrawn_at = time.monotonic()
                status = _withdraw_and_take_store_down(first_fleet, key)
                write_settings(fleet, late_host)
                processes.start_daemon(late_host)
                wait_ready(late_host.listen)
                clients[late_host.host] = _KeyClient(late_host.listen, key)
                time.sleep(max(0.0, withdrawn_at + OUTAGE_S - time.monotonic()))
                _set_faults(fleet, down=False)
                time.sleep(USE_AFTER_OUTAGE_S)
            finally:
                for client in clients.values():
                    client.stop()
    last = {
        host: round(max(client.accepted_at, default=withdrawn_at) - withdrawn_at, 2)
        for host, client in clients.items()
    }
    return {
        "edit_status": status,
        "hosts_that_accepted_before": accepting_hosts,
        "last_accepted_s": last,
        "reasons": {host: sorted(client.reasons) for host, client in clients.items()},
        "ok": status == 504
        and accepting_hosts > 1
        and max(last.values()) <= KEY_BOUND_S,
    }


def _withdraw_and_take_store_down(fleet: Fleet, key: str) -> int:
    """Withdraw the key and return the status of the edit's answer, 0 without one."""
    _set_faults(fleet, lose_answers=1)
    watcher = threading.Thread(target=_take_store_down_after_commit, args=(fleet,))
    watcher.start()
    key_id = key.partition(".")[0]
    edit = {
        "edit_id": "lost-answer",
        "expected_version": 1,
        "changes": [{"table": "keys", "key": key_id, "value": None}],
    }
    answer = call(
        "POST",
        f"http://{fleet.hosts[1].operator_listen}/v1/edits",
        (f"X-Operator-Key: {fleet.operator_keys[PARTENAIRES]}",),
        json.dumps(edit).encode(),
        timeout_ms=10_000,
    )
    watcher.join()
    return answer.status if isinstance(answer, HttpAnswer) else 0


def _take_store_down_after_commit(fleet: Fleet) -> None:
    tables = HttpTableService(PlatformConnection(f"http://{fleet.platform_address}"))
    end = time.monotonic() + OUTAGE_S
    while time.monotonic() < end:
        head = tables.read((CONFIG_HEAD_KEY,))
        if not isinstance(head, Unavailable) and parse_head(head.rows[0])[0] > 1:
            break
        time.sleep(0.002)
    _set_faults(fleet, down=True)


def _set_faults(fleet: Fleet, **faults: Any) -> None:
    post_json(f"http://{fleet.platform_address}/control/faults", faults)


def main() -> int:
    """Print the result and return 1 if the check failed."""
    report = check_lost_answer(BASE_PORT)
    print(json.dumps(report, indent=2))
    return 0 if report["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
