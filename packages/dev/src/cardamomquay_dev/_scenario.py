"""Faults, edits and moves of the demo, at fixed times."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass
from datetime import datetime
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay_dev._checks import read_runs
from cardamomquay_dev._fleet import KURVEHAENG
from cardamomquay_dev._fleet import PARTENAIRES
from cardamomquay_dev._fleet import REGIONS
from cardamomquay_dev._http import HttpAnswer
from cardamomquay_dev._http import call
from cardamomquay_dev._http import get_json
from cardamomquay_dev._http import post_json
from cardamomquay_dev._move_watch import MoveWatch
from cardamomquay_dev._move_watch import WatchedMove
from cardamomquay_dev._processes import wait_ready

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from cardamomquay_dev._callers import RequestRecord
    from cardamomquay_dev._checks import RunRecord
    from cardamomquay_dev._fleet import Fleet
    from cardamomquay_dev._processes import Processes

# Using the key once per interval at each of four hosts stays within the rate of its
# organisation.
POLL_S = 0.4
DRAINED_POOL = "schedule"
# The upstream with most runs in this time is drained, so that a drain without effect
# would be noticed.
BUSY_WINDOW_S = 3.0
KILLED_HOST_INDEX = 2
STOPPED_HOST_INDEX = 3
EXTRA_SECRET = "canary-0123456789abcdef"
EXTRA_KEY = f"key-extra.{EXTRA_SECRET}"

# Time after the start of traffic until which the states of the moves are polled.
MOVES_END_S = 32.0
MOVES = (
    WatchedMove(PARTENAIRES, "browse", "browse-v2", 50.0, 50.0, 30.0),
    WatchedMove(KURVEHAENG, "lookup", "lookup-v2", 5.0, 25.0, 60.0),
)


@dataclass(frozen=True, slots=True)
class Step:
    """An action and its time after the start of traffic."""

    at_s: float
    action: Callable[[], None]


class Scenario:
    """Runs the steps and keeps their measurements.

    Parameters
    ----------
    fleet : Fleet
    processes : Processes
    """

    def __init__(self, fleet: Fleet, processes: Processes) -> None:
        self._fleet = fleet
        self._processes = processes
        self._times_until_in_force_s: list[float] = []
        self._key_withdrawn_s = -1.0
        self._drained_upstream = ""
        self._drained_at_s = 0.0
        self._stop_duration_s = -1.0
        self._stop_started_s = float("inf")
        self._reverted_count = 0
        self._hosts_down: set[str] = set()
        self._finished = threading.Event()
        self.failures: list[str] = []
        self.moves = MoveWatch(
            MOVES, self._operator_urls, fleet.operator_keys[PARTENAIRES]
        )

    def run(self) -> None:
        """Run all steps in order."""
        version_watcher = threading.Thread(target=self._watch_versions)
        version_watcher.start()
        move_watcher = threading.Thread(target=self.moves.run)
        move_watcher.start()
        steps = [
            Step(0.5, self._start_moves),
            Step(2.0, self._grant_and_withdraw_key),
            Step(7.0, self._kill_daemon),
            Step(9.0, self._drain_upstream),
            Step(13.0, self._edit_with_lost_answer),
            Step(15.0, self._store_outage),
            Step(18.5, self._restart_daemon),
            Step(20.0, self._planned_stop),
        ]
        started = time.monotonic()
        for step in steps:
            time.sleep(max(0.0, started + step.at_s - time.monotonic()))
            try:
                step.action()
            except Exception as exc:  # The report names the step that failed.
                self.failures.append(f"{step.action.__name__}: {exc!r}")
        while time.monotonic() - started < MOVES_END_S:
            time.sleep(POLL_S)
        self.moves.stop()
        self._finished.set()
        version_watcher.join()
        move_watcher.join()

    def results(
        self, requests: Sequence[RequestRecord], runs: Sequence[RunRecord]
    ) -> dict[str, Any]:
        """Return the measurements, completed from callers' and upstreams' records."""
        since_drain_s = [
            run.started_s - self._drained_at_s
            for run in runs
            if run.pool == DRAINED_POOL and run.upstream == self._drained_upstream
        ]
        return {
            "key_withdrawn_s": self._key_withdrawn_s,
            "config_in_force_s": round(
                max(self._times_until_in_force_s, default=-1.0), 3
            ),
            "config_reverted": self._reverted_count,
            "drain": {
                "upstream": self._drained_upstream,
                "runs_before": sum(time_s <= 0 for time_s in since_drain_s),
                "new_work_after_s": round(max(since_drain_s, default=0.0), 3),
                "requests_cut": self._requests_cut(requests),
                "planned_stop_s": round(self._stop_duration_s, 2),
            },
            "version_moves": self.moves.results(runs),
            "scenario_failures": self.failures,
        }

    def _requests_cut(self, requests: Sequence[RequestRecord]) -> int:
        """Count attempts that the planned stop ended without an answer."""
        stopped = self._fleet.hosts[STOPPED_HOST_INDEX].listen
        return sum(
            attempt.reason == "no_answer"
            and attempt.host == stopped
            and attempt.ended_s >= self._stop_started_s
            for request in requests
            for attempt in request.attempts
        )

    def _grant_and_withdraw_key(self) -> None:
        """Withdraw a key while it is in use on kept-alive connections."""
        version = self._run_edit(
            PARTENAIRES, "grant", "key-extra", "salsa-mtl", "-", stdin=EXTRA_SECRET
        )
        self._wait_in_force(version)
        last_accepted = 0.0
        withdrawn = threading.Event()
        lock = threading.Lock()

        def use_key(address: str) -> None:
            nonlocal last_accepted
            # The key is used until 3.5 s after its withdrawal, which exceeds the bound
            # of 3 s, but for 6 s at most.
            end = time.monotonic() + 6.0
            while time.monotonic() < end and not (
                withdrawn.is_set() and time.time() - withdrawn_at > 3.5
            ):
                started = time.time()
                answer = call(
                    "GET",
                    f"http://{address}/browse/key-check",
                    (f"X-Api-Key: {EXTRA_KEY}", "X-Request-Id: key-check.0"),
                )
                if isinstance(answer, HttpAnswer) and answer.status == 200:
                    with lock:
                        last_accepted = max(last_accepted, started)
                time.sleep(POLL_S)

        withdrawn_at = float("inf")
        threads = [
            threading.Thread(target=use_key, args=(plan.listen,))
            for plan in self._fleet.hosts
            if plan.region in REGIONS[PARTENAIRES]
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        self._run_edit(PARTENAIRES, "delete", "keys", "key-extra")
        withdrawn_at = time.time()
        withdrawn.set()
        for thread in threads:
            thread.join()
        # The time to measure counts from the acceptance of the withdrawal, which is
        # earlier than the end of the command.
        withdrawn_at = self._accepted_at_s(PARTENAIRES)
        self._key_withdrawn_s = round(max(0.0, last_accepted - withdrawn_at), 3)

    def _start_moves(self) -> None:
        for move in MOVES:
            self._run_cli(
                move.owner,
                f"--cap_percent={move.cap_percent}",
                f"--step_cap_percent={move.step_cap_percent}",
                f"--finish_within_s={move.finish_within_s}",
                "move",
                move.route,
                move.to_pool,
            )
            self.moves.record_start(move.route)

    def _operator_urls(self) -> list[str]:
        return [
            f"http://{plan.operator_listen}"
            for plan in self._fleet.hosts
            if plan.host not in self._hosts_down
        ]

    def _kill_daemon(self) -> None:
        victim = self._fleet.hosts[KILLED_HOST_INDEX]
        self._hosts_down.add(victim.host)
        self._processes.kill(victim.host)

    def _restart_daemon(self) -> None:
        victim = self._fleet.hosts[KILLED_HOST_INDEX]
        self._processes.start_daemon(victim)
        wait_ready(victim.listen)
        self._hosts_down.discard(victim.host)

    def _drain_upstream(self) -> None:
        shown = self._show(PARTENAIRES, "pools", DRAINED_POOL)
        self._drained_upstream = self._busiest_upstream(DRAINED_POOL)
        for upstream in shown["upstreams"]:
            if upstream["name"] == self._drained_upstream:
                upstream["draining"] = True
        version = self._run_edit(
            PARTENAIRES, "set", "pools", DRAINED_POOL, json.dumps(shown)
        )
        self._drained_at_s = self._accepted_at_s(PARTENAIRES)
        self._wait_in_force(version)

    def _busiest_upstream(self, pool: str) -> str:
        """Return the upstream that ran most of a pool's recent requests."""
        url = f"http://{self._fleet.upstream_control_address}/control/runs"
        since_s = time.time() - BUSY_WINDOW_S
        counts = Counter(
            run.upstream
            for run in read_runs(get_json(url))
            if run.pool == pool and run.started_s >= since_s
        )
        return counts.most_common(1)[0][0]

    def _accepted_at_s(self, owner: str) -> float:
        """Return the Unix time of the newest edit, which is taken before its commit."""
        history = json.loads(self._run_cli(owner, "history").stdout)
        accepted = datetime.fromisoformat(history["edits"][0]["accepted_at"])
        return accepted.timestamp()

    def _edit_with_lost_answer(self) -> None:
        route = self._show(KURVEHAENG, "routes", "lookup")
        route["timeout_s"] = 4.0
        post_json(
            f"http://{self._fleet.platform_address}/control/faults", {"lose_answers": 1}
        )
        self._run_edit(KURVEHAENG, "set", "routes", "lookup", json.dumps(route))

    def _store_outage(self) -> None:
        url = f"http://{self._fleet.platform_address}/control/faults"
        post_json(url, {"down": True})
        time.sleep(3.0)
        post_json(url, {"down": False})

    def _planned_stop(self) -> None:
        victim = self._fleet.hosts[STOPPED_HOST_INDEX]
        self._hosts_down.add(victim.host)
        self._stop_started_s = time.time()
        self._stop_duration_s = self._processes.stop(victim.host)

    def _wait_in_force(self, version: int) -> None:
        started = time.monotonic()
        for plan in self._fleet.hosts:
            if plan.host in self._hosts_down:
                continue
            while self._config_version(plan.listen) < version:
                if time.monotonic() - started > 10.0:
                    raise TimeoutError(
                        f"version {version} is not in force on {plan.host} after 10 s"
                    )
                time.sleep(0.01)
        self._times_until_in_force_s.append(time.monotonic() - started)

    def _config_version(self, address: str) -> int:
        document = get_json(f"http://{address}/.cardamomquay/v1/hosts")
        return int(document["config_version"]) if document else 0

    def _watch_versions(self) -> None:
        """Count how often a host showed an older version than before."""
        highest: dict[str, int] = {}
        while not self._finished.wait(0.1):
            for plan in self._fleet.hosts:
                version = self._config_version(plan.listen)
                if 0 < version < highest.get(plan.host, 0):
                    self._reverted_count += 1
                highest[plan.host] = max(version, highest.get(plan.host, 0))

    def _show(self, owner: str, *arguments: str) -> Any:
        return json.loads(self._run_cli(owner, "show", *arguments).stdout)

    def _run_edit(self, owner: str, *arguments: str, stdin: str = "") -> int:
        """Make an edit with the command line and return the version that it created."""
        result = self._run_cli(owner, *arguments, stdin=stdin)
        if result.returncode != 0:
            raise RuntimeError(
                f"command {arguments} failed: {result.stderr or result.stdout}"
            )
        return int(json.loads(result.stdout)["version"])

    def _run_cli(
        self, owner: str, *arguments: str, stdin: str = ""
    ) -> subprocess.CompletedProcess[str]:
        operator_urls = self._operator_urls()
        environment = {
            **os.environ,
            "CARDAMOMQUAY_KEY": self._fleet.operator_keys[owner],
            "CARDAMOMQUAY_SERVER": ",".join(operator_urls),
        }
        return subprocess.run(
            [sys.executable, "-m", "cardamomquay_cli.main", "--json", *arguments],
            env=environment,
            input=stdin,
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
