"""Checks a key whose withdrawal lost its answer right before a store outage.

Starts daemons on loopback, uses the key at each of them, withdraws it, and takes the
store down as soon as the withdrawal is committed. The key has to stop working
within 3 s on every host, during the outage as well as after it.
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

HOSTS = 5
ORGANISATION = "salsa-mtl"
BASE_PORT = 25_600
KEY_BOUND_S = 3.0
OUTAGE_S = 9.0
BEFORE_S = 4.0
AFTER_S = 4.0
POLL_S = 0.1


class _KeyUse:
    """Uses a key at one host until it is stopped, and keeps when it worked."""

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
    """Run the check.

    Parameters
    ----------
    base_port : int
        First of about 200 ports.

    Returns
    -------
    dict
        `last_accepted_s` is the time from the edit to the key's last use, by host.
    """
    with tempfile.TemporaryDirectory(prefix="cardamomquay-") as directory:
        fleet = plan_fleet(Path(directory), base_port, HOSTS)
        late = fleet.hosts[-1]
        early = replace(fleet, hosts=fleet.hosts[:-1])
        key = fleet.caller_keys[ORGANISATION]
        with running_fleet(early) as processes:
            uses = {plan.host: _KeyUse(plan.listen, key) for plan in early.hosts}
            try:
                time.sleep(BEFORE_S)
                used = sum(bool(use.accepted_at) for use in uses.values())
                sent_at = time.monotonic()
                status = _withdraw_and_take_store_down(early, key)
                write_settings(fleet, late)
                processes.start_daemon(late)
                wait_ready(late.listen)
                uses[late.host] = _KeyUse(late.listen, key)
                time.sleep(max(0.0, sent_at + OUTAGE_S - time.monotonic()))
                _set_faults(fleet, down=False)
                time.sleep(AFTER_S)
            finally:
                for use in uses.values():
                    use.stop()
    last = {
        host: round(max(use.accepted_at, default=sent_at) - sent_at, 2)
        for host, use in uses.items()
    }
    return {
        "edit_status": status,
        "hosts_that_accepted_before": used,
        "last_accepted_s": last,
        "reasons": {host: sorted(use.reasons) for host, use in uses.items()},
        "ok": status == 504 and used > 1 and max(last.values()) <= KEY_BOUND_S,
    }


def _withdraw_and_take_store_down(fleet: Fleet, key: str) -> int:
    """Withdraw the key, and return the status of the edit's answer."""
    _set_faults(fleet, lose_answers=1)
    watcher = threading.Thread(target=_down_after_commit, args=(fleet,))
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


def _down_after_commit(fleet: Fleet) -> None:
    tables = HttpTableService(PlatformConnection(f"http://{fleet.platform}"))
    end = time.monotonic() + OUTAGE_S
    while time.monotonic() < end:
        found = tables.read((CONFIG_HEAD_KEY,))
        if not isinstance(found, Unavailable) and parse_head(found.rows[0])[0] > 1:
            break
        time.sleep(0.002)
    _set_faults(fleet, down=True)


def _set_faults(fleet: Fleet, **faults: Any) -> None:
    post_json(f"http://{fleet.platform}/control/faults", faults)


def main() -> int:
    """Print the result; 1 if the key worked for too long."""
    report = check_lost_answer(BASE_PORT)
    print(json.dumps(report, indent=2))
    return 0 if report["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
