"""Starts and ends the processes of a run."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from contextlib import contextmanager
from functools import partial
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
STOP_TIMEOUT_S = 15.0
# An error shows this much of the end of each process's output.
SHOWN_OUTPUT_BYTES = 1_000


class Processes:
    """The processes of one run.

    Parameters
    ----------
    fleet : Fleet
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        self.started_count = 0

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start a Python module as a process."""
        log = open(self._fleet.directory / f"{name}.out", "ab")  # noqa: SIM115
        self._running[name] = subprocess.Popen(
            [sys.executable, "-m", module, *arguments], stdout=log, stderr=log
        )
        log.close()
        self.started_count += 1

    def start_daemon(self, plan: HostPlan) -> None:
        """Start one daemon."""
        settings = self._fleet.directory / f"{plan.host}.json"
        self.start(plan.host, "cardamomquay_daemon.main", f"--settings={settings}")

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process of this run."""
        self._running[name].send_signal(signal_number)

    def kill(self, name: str) -> None:
        """End a process with SIGKILL."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str) -> float:
        """Send SIGTERM to a process and return the seconds until it ended."""
        process = self._running.pop(name)
        started = time.monotonic()
        process.terminate()
        process.wait(timeout=STOP_TIMEOUT_S)
        return time.monotonic() - started

    def pid(self, name: str) -> int:
        """Return the process id of a running process."""
        return self._running[name].pid

    def describe(self) -> str:
        """Return the state of each process and the end of its output."""
        lines = []
        for name, process in self._running.items():
            code = process.poll()
            state = "runs" if code is None else f"ended with {code}"
            output = (self._fleet.directory / f"{name}.out").read_bytes()
            shown = output[-SHOWN_OUTPUT_BYTES:].decode(errors="replace")
            lines.append(f"{name} {state}: {shown}")
        return "\n".join(lines)

    def kill_all(self) -> None:
        """End every process that still runs, with SIGKILL."""
        for process in self._running.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._running.values():
            process.wait()
        self._running.clear()


@contextmanager
def running_fleet(fleet: Fleet, **settings: object) -> Iterator[Processes]:
    """Run stand-ins, and daemons with `settings`, within a ``with`` block."""
    processes = Processes(fleet)
    try:
        _start_fleet(fleet, processes, settings)
        yield processes
    finally:
        processes.kill_all()


def _start_fleet(
    fleet: Fleet, processes: Processes, settings: dict[str, object]
) -> None:
    try:
        start_standins(fleet, processes)
        for plan in fleet.hosts:
            _fleet.write_settings(fleet, plan, **settings)
            processes.start_daemon(plan)
        for plan in fleet.hosts:
            wait_ready(plan.listen)
        wait_serving(fleet)
    except TimeoutError as exc:
        exc.add_note(processes.describe())
        raise


def start_standins(fleet: Fleet, processes: Processes) -> None:
    """Start the stand-ins and store the host list and the first configuration."""
    processes.start(
        "platform",
        "cardamomquay_dev.standins.platform",
        f"--platform_listen={fleet.platform_address}",
    )
    entries = _fleet.upstream_entries(fleet)
    plan = fleet.directory / "upstreams.json"
    plan.write_text(json.dumps(entries), encoding="utf-8")
    processes.start(
        "upstreams",
        "cardamomquay_dev.standins.upstreams",
        f"--plan={plan}",
        f"--control={fleet.upstream_control_address}",
    )
    for url in (
        f"http://{fleet.platform_address}/control/load",
        f"http://{fleet.upstream_control_address}/control/runs",
    ):
        wait_until(partial(_is_answered, url), url)
    post_json(
        f"http://{fleet.platform_address}/control/hosts",
        {"hosts": _fleet.host_list_entries(fleet)},
    )
    connection = PlatformConnection(f"http://{fleet.platform_address}")
    _fleet.store_initial_config(fleet, HttpTableService(connection))


def wait_ready(address: str) -> None:
    """Wait until a daemon reports that it is ready for callers.

    Raises
    ------
    TimeoutError
        If it is not within 20 s.
    """
    url = f"http://{address}/.cardamomquay/v1/ready"
    wait_until(partial(_is_answered, url), url)


def wait_serving(fleet: Fleet) -> None:
    """Wait until the hosts of each owner's regions answer its organisations.

    They refuse requests in the first seconds of a new fleet, which has no lenders of
    tokens and slots yet.

    Raises
    ------
    TimeoutError
        If a host takes longer than 20 s to answer an organisation.
    """
    for organisation in _fleet.ORGANISATIONS:
        service = next(
            s for s in _fleet.SERVICES if s.owner == organisation.owner and s.repeatable
        )
        headers = (
            f"X-Api-Key: {fleet.caller_keys[organisation.name]}",
            f"X-Request-Id: start-{organisation.name}.0",
        )
        for plan in fleet.hosts:
            if plan.region in _fleet.REGIONS[organisation.owner]:
                url = f"http://{plan.listen}{service.prefix}/start"
                wait_until(
                    partial(_is_answered, url, headers), f"{organisation.name} at {url}"
                )


def _is_answered(url: str, headers: tuple[str, ...] = ()) -> bool:
    return get_json(url, headers) is not None


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Wait until a URL answers with status 200.

    Parameters
    ----------
    condition : callable
        Whether it does so now.
    description : str
        Names the URL in the error message.

    Raises
    ------
    TimeoutError
        If it does not hold within 20 s.
    """
    end = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(POLL_S)
    raise TimeoutError(
        f"no answer with status 200 within {READY_TIMEOUT_S:g} s: {description}"
    )


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB, -1 if it is unknown."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return round(int(line.split()[1]) / 1024, 1)
    return -1.0


def processor_time_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    # Fields 14 and 15 of proc(5), user and system time, counted after the name.
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
