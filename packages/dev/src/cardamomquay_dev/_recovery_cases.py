"""Faults and edits of the recovery measurements, at fixed times."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay_dev._fleet import KURVEHAENG
from cardamomquay_dev._fleet import PARTENAIRES
from cardamomquay_dev._http import get_json
from cardamomquay_dev._http import post_json
from cardamomquay_dev._processes import wait_ready

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomquay_dev._fleet import Fleet
    from cardamomquay_dev._processes import Processes

# Both are longer than the life of a host lease (6 s).
PAUSE_S = 8.0
LONG_OUTAGE_S = 12.0
# Time from the restart of the daemons to the end of the store's outage.
OUTAGE_AFTER_START_S = 4.0
FAULT_AT_S = 4.0
# Time from the end of the fault to the end of the case.
AFTER_FAULT_S = 10.0
# Index of the host that faults hit. It is in the store's region, where hosts confirm
# outages and can reclaim leases, so its loss is the harder case.
VICTIM_INDEX = 6
WATCH_INTERVAL_S = 0.2
EDITS_PER_RACER = 6
# Owner of each racing operator, and index of the host that it uses: two operators of
# each owner, the last of whom uses the host that is killed.
RACERS = (
    (PARTENAIRES, 0),
    (KURVEHAENG, 2),
    (PARTENAIRES, 4),
    (KURVEHAENG, VICTIM_INDEX),
)
KILL_AFTER_RACE_START_S = 1.0
# Exit codes of the command line.
EXIT_ACCEPTED = 0
EXIT_CONFLICT = 5
EXIT_UNSETTLED = 6
EDITED_ROUTES = {PARTENAIRES: "browse", KURVEHAENG: "lookup"}


@dataclass(frozen=True, slots=True)
class Edit:
    """An edit as its operator saw it.

    `version` is 0 unless the edit was accepted, and `timeout_s` is the time limit that
    the edit set for the route.
    """

    owner: str
    exit_code: int
    version: int
    timeout_s: float
    ended_s: float


@dataclass(frozen=True, slots=True)
class ObservedVersion:
    """A configuration version that a host showed; `asked_s` is when it was asked."""

    host: str
    asked_s: float
    version: int


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A planned stop of a host."""

    address: str
    started_s: float
    ended_s: float


@dataclass(slots=True)
class Timeline:
    """What a case did, what its operators saw and which versions the hosts showed.

    All times are Unix times.

    Parameters
    ----------
    fault_s : float
        Start of the fault.
    restored_s : float
        When the store was up again and all hosts had been resumed or restarted.
    outages : list of (float, float)
        Start and end of each outage of the store.
    failures : list of str
        Errors that ended the case early.
    final_timeouts_s : dict of float
        Time limit of each owner's edited route at the end of the case.
    """

    fault_s: float = 0.0
    restored_s: float = 0.0
    outages: list[tuple[float, float]] = field(default_factory=list)
    planned_stops: list[PlannedStop] = field(default_factory=list)
    edits: list[Edit] = field(default_factory=list)
    observed_versions: list[ObservedVersion] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    final_timeouts_s: dict[str, float] = field(default_factory=dict)


class RecoveryCase:
    """Runs one case and records its timeline.

    Parameters
    ----------
    name : str
        One of `CASES`.
    fleet : Fleet
    processes : Processes
    """

    def __init__(self, name: str, fleet: Fleet, processes: Processes) -> None:
        self.timeline = Timeline()
        self._cause_fault = CASES[name]
        self._fleet = fleet
        self._processes = processes
        self._finished = threading.Event()

    def run(self) -> None:
        """Edit, cause the fault, wait and edit again, while hosts are polled."""
        watchers = [
            threading.Thread(target=self._watch_versions, args=(plan.host, plan.listen))
            for plan in self._fleet.hosts
        ]
        for watcher in watchers:
            watcher.start()
        try:
            time.sleep(FAULT_AT_S / 2)
            self.edit(PARTENAIRES, 4.5)
            time.sleep(FAULT_AT_S / 2)
            self.timeline.fault_s = time.time()
            self._cause_fault(self)
            self.timeline.restored_s = time.time()
            time.sleep(AFTER_FAULT_S / 2)
            self.edit(KURVEHAENG, 4.5)
            time.sleep(AFTER_FAULT_S / 2)
            for owner, route in EDITED_ROUTES.items():
                shown = self._run_cli(owner, "show", "routes", route).stdout
                self.timeline.final_timeouts_s[owner] = json.loads(shown)["timeout_s"]
        except Exception as exc:  # The report shows the exception.
            self.timeline.failures.append(repr(exc))
        self._finished.set()
        for watcher in watchers:
            watcher.join()

    def pause_host(self) -> None:
        """Pause a daemon for longer than its lease lives, and resume it."""
        victim = self._fleet.hosts[VICTIM_INDEX].host
        self._processes.send_signal(victim, signal.SIGSTOP)
        time.sleep(PAUSE_S)
        self._processes.send_signal(victim, signal.SIGCONT)

    def replace_all(self) -> None:
        """Stop each daemon with SIGTERM and restart it, one after the other."""
        for plan in self._fleet.hosts:
            started = time.time()
            self._processes.stop(plan.host)
            self.timeline.planned_stops.append(
                PlannedStop(plan.listen, started, time.time())
            )
            self._processes.start_daemon(plan)
            wait_ready(plan.listen)

    def kill_all(self) -> None:
        """Kill all daemons at once and restart them."""
        for plan in self._fleet.hosts:
            self._processes.kill(plan.host)
        for plan in self._fleet.hosts:
            self._processes.start_daemon(plan)

    def kill_all_without_store(self) -> None:
        """Kill and restart all daemons while the store is down."""
        restore_store = self._take_store_down()
        self.kill_all()
        time.sleep(OUTAGE_AFTER_START_S)
        restore_store()

    def long_outage(self) -> None:
        """Take the store down for longer than a host lease lives."""
        restore_store = self._take_store_down()
        time.sleep(LONG_OUTAGE_S)
        restore_store()

    def kill_in_outage(self) -> None:
        """Kill a daemon during a store outage and restart it after the outage."""
        restore_store = self._take_store_down()
        time.sleep(2.0)
        self._processes.kill(self._fleet.hosts[VICTIM_INDEX].host)
        time.sleep(4.0)
        restore_store()
        time.sleep(2.0)
        self._processes.start_daemon(self._fleet.hosts[VICTIM_INDEX])

    def race_edits(self) -> None:
        """Make concurrent edits while the daemon that one operator uses is killed."""
        operators = [
            threading.Thread(target=self._run_racing_edits, args=racer)
            for racer in RACERS
        ]
        for operator in operators:
            operator.start()
        time.sleep(KILL_AFTER_RACE_START_S)
        self._processes.kill(self._fleet.hosts[VICTIM_INDEX].host)
        for operator in operators:
            operator.join()
        self._processes.start_daemon(self._fleet.hosts[VICTIM_INDEX])

    def _run_racing_edits(self, owner: str, first_host_index: int) -> None:
        for number in range(EDITS_PER_RACER):
            # Each edit sets another time limit, so that an overwritten edit is noticed.
            self.edit(
                owner, 4.0 + first_host_index / 10 + number / 100, first_host_index
            )

    def _take_store_down(self) -> Callable[[], None]:
        url = f"http://{self._fleet.platform_address}/control/faults"
        post_json(url, {"down": True})
        started = time.time()

        def restore() -> None:
            post_json(url, {"down": False})
            self.timeline.outages.append((started, time.time()))

        return restore

    def edit(self, owner: str, timeout_s: float, first_host_index: int = 0) -> None:
        """Set the time limit of an owner's route.

        The command line tries the hosts in turn, from `first_host_index` on.
        """
        route = EDITED_ROUTES[owner]
        shown = self._run_cli(
            owner, "show", "routes", route, first_host_index=first_host_index
        )
        value = json.dumps({**json.loads(shown.stdout), "timeout_s": timeout_s})
        result = self._run_cli(
            owner, "set", "routes", route, value, first_host_index=first_host_index
        )
        version = 0
        if result.returncode == EXIT_ACCEPTED:
            version = int(json.loads(result.stdout)["version"])
        self.timeline.edits.append(
            Edit(owner, result.returncode, version, timeout_s, time.time())
        )

    def _watch_versions(self, host: str, address: str) -> None:
        while not self._finished.wait(WATCH_INTERVAL_S):
            asked_s = time.time()
            document = get_json(f"http://{address}/.cardamomquay/v1/hosts")
            if document and document["config_version"]:
                version = int(document["config_version"])
                self.timeline.observed_versions.append(
                    ObservedVersion(host, asked_s, version)
                )

    def _run_cli(
        self, owner: str, *arguments: str, first_host_index: int = 0
    ) -> subprocess.CompletedProcess[str]:
        hosts = (
            self._fleet.hosts[first_host_index:] + self._fleet.hosts[:first_host_index]
        )
        servers = [f"http://{plan.operator_listen}" for plan in hosts]
        environment: dict[str, Any] = {
            **os.environ,
            "CARDAMOMQUAY_KEY": self._fleet.operator_keys[owner],
            "CARDAMOMQUAY_SERVER": ",".join(servers),
        }
        return subprocess.run(
            [sys.executable, "-m", "cardamomquay_cli.main", "--json", *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )


CASES: dict[str, Callable[[RecoveryCase], None]] = {
    "pause": RecoveryCase.pause_host,
    "replace": RecoveryCase.replace_all,
    "kill_all": RecoveryCase.kill_all,
    "kill_all_store_down": RecoveryCase.kill_all_without_store,
    "long_outage": RecoveryCase.long_outage,
    "kill_in_outage": RecoveryCase.kill_in_outage,
    "race_edits": RecoveryCase.race_edits,
}
