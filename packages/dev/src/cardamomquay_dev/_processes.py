"""Starts and ends the processes of a run, by process id."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

from cardamomquay_daemon._platform_client import HttpTableService
from cardamomquay_daemon._platform_client import PlatformConnection
from cardamomquay_dev import _fleet
from cardamomquay_dev._http import get_json
from cardamomquay_dev._http import post_json

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from cardamomquay_dev._fleet import Fleet
    from cardamomquay_dev._fleet import HostPlan

READY_TIMEOUT_S = 20.0
POLL_S = 0.05
END_TIMEOUT_S = 15.0


class Processes:
    """The processes of one run.

    Parameters
    ----------
    fleet : Fleet
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        self.started = 0

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start a Python module as a process."""
        log = open(self._fleet.directory / f"{name}.out", "ab")  # noqa: SIM115
        self._running[name] = subprocess.Popen(
            [sys.executable, "-m", module, *arguments], stdout=log, stderr=log
        )
        log.close()
        self.started += 1

    def start_daemon(self, plan: HostPlan) -> None:
        """Start one daemon."""
        settings = self._fleet.directory / f"{plan.host}.json"
        self.start(plan.host, "cardamomquay_daemon.main", f"--settings={settings}")

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this run."""
        self._running[name].send_signal(number)

    def kill(self, name: str) -> None:
        """End a process with SIGKILL."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str) -> float:
        """End a process with SIGTERM and return the seconds that it took."""
        process = self._running.pop(name)
        started = time.monotonic()
        process.terminate()
        process.wait(timeout=END_TIMEOUT_S)
        return time.monotonic() - started

    def pid(self, name: str) -> int:
        """Return the process id of a running process."""
        return self._running[name].pid

    def end_all(self) -> None:
        """End every process that still runs."""
        for process in self._running.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._running.values():
            process.wait()
        self._running.clear()


@contextmanager
def running_fleet(fleet: Fleet, **settings: object) -> Iterator[Processes]:
    """Run stand-ins and daemons for the time of a ``with`` block."""
    processes = Processes(fleet)
    try:
        start_standins(fleet, processes)
        for plan in fleet.hosts:
            _fleet.write_settings(fleet, plan, **settings)
            processes.start_daemon(plan)
        for plan in fleet.hosts:
            wait_ready(plan.listen)
        yield processes
    finally:
        processes.end_all()


def start_standins(fleet: Fleet, processes: Processes) -> None:
    """Start the platform and the upstreams and store the configuration."""
    processes.start(
        "platform",
        "cardamomquay_dev.standins.platform",
        f"--platform_listen={fleet.platform}",
    )
    entries = _fleet.upstream_entries(fleet)
    plan = fleet.directory / "upstreams.json"
    plan.write_text(json.dumps(entries), encoding="utf-8")
    processes.start(
        "upstreams",
        "cardamomquay_dev.standins.upstreams",
        f"--plan={plan}",
        f"--control={fleet.upstream_control}",
    )
    wait_until(lambda: get_json(f"http://{fleet.platform}/control/load") is not None)
    wait_until(
        lambda: get_json(f"http://{fleet.upstream_control}/control/runs") is not None
    )
    post_json(
        f"http://{fleet.platform}/control/hosts", {"hosts": _fleet.listed_hosts(fleet)}
    )
    connection = PlatformConnection(f"http://{fleet.platform}")
    _fleet.store_initial_config(fleet, HttpTableService(connection))


def wait_ready(address: str) -> None:
    """Wait until a daemon serves callers.

    Raises
    ------
    TimeoutError
        If it does not within 20 s.
    """
    wait_until(lambda: get_json(f"http://{address}/.cardamomquay/v1/ready") is not None)


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        If it does not within 20 s.
    """
    end = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(POLL_S)
    raise TimeoutError("a process did not become ready")


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return round(int(line.split()[1]) / 1024, 1)
    return -1.0


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    # Fields 14 and 15 of proc(5), user and system time, counted after the name.
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
