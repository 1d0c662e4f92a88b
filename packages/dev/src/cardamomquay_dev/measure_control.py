"""Measures cost and delays of the exchange between daemons that serve no traffic."""

from __future__ import annotations

import json
import os
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay_dev._fleet import PARTENAIRES
from cardamomquay_dev._fleet import plan_fleet
from cardamomquay_dev._http import get_json
from cardamomquay_dev._http import post_json
from cardamomquay_dev._processes import running_fleet

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cardamomquay_dev._fleet import Fleet
    from cardamomquay_dev._processes import Processes

# Time that the daemons get to reach a steady state after a start, edit or pause.
SETTLE_S = 4.0
EDIT_COUNT = 8
# Not a multiple of the daemons' intervals, so that edits fall on all phases of them.
EDIT_INTERVAL_S = 0.83
# Time that the other hosts get to notice a killed host.
NOTICE_WAIT_S = 9.0
HOST_PAUSE_S = 7.0
DAEMON_COUNTS = (4, 8, 12)
BASE_PORT = 24_000
PORTS_PER_RUN = 200


def measure_control(hosts: int, seconds: float, base_port: int) -> dict[str, Any]:
    """Run daemons on loopback and measure what they exchange and how soon they react.

    Parameters
    ----------
    hosts : int
    seconds : float
        Time without edits and faults, over which bytes and processor time are taken.
    base_port : int
        First of about 200 ports.

    Returns
    -------
    dict
        Times in seconds, and mean and maximum over the daemons of: bytes and calls per
        second, processor share of one core, and resident memory in MiB.
    """
    with tempfile.TemporaryDirectory(prefix="cardamomquay-") as directory:
        fleet = plan_fleet(Path(directory), base_port, hosts)
        with running_fleet(fleet) as processes:
            time.sleep(SETTLE_S)
            started_s = time.time()
            idle = _measure_idle(fleet, processes, seconds)
            _make_edits(fleet)
            in_force = _measure_times_until_in_force(fleet)
            suspected = _state_changes(fleet, started_s, time.time(), "suspect")
            killed = _measure_kill(fleet, processes)
            paused = _measure_pause(fleet, processes)
    return {
        "hosts": hosts,
        "seconds": seconds,
        **idle,
        "config_in_force_s": {
            "median": round(statistics.median(in_force), 3),
            "max": round(max(in_force), 3),
            "edits": len(in_force),
        },
        "false_suspicions": len(suspected),
        "killed_host": killed,
        "paused_host": paused,
    }


def _measure_idle(fleet: Fleet, processes: Processes, seconds: float) -> dict[str, Any]:
    pids = [processes.pid(plan.host) for plan in fleet.hosts]
    counters = [_counters(fleet, number) for number in range(len(pids))]
    processor_times_s = [_processor_time_s(pid) for pid in pids]
    started = time.monotonic()
    time.sleep(seconds)
    passed_s = time.monotonic() - started
    used = [
        _processor_time_s(pid) - before
        for pid, before in zip(pids, processor_times_s, strict=True)
    ]
    counters_after = [_counters(fleet, number) for number in range(len(pids))]
    rates: dict[str, list[float]] = {}
    for name in (
        "peers.bytes_sent",
        "peers.bytes_received",
        "platform.bytes",
        "platform.calls",
    ):
        rates[name] = [
            (after.get(name, 0) - before.get(name, 0)) / passed_s
            for before, after in zip(counters, counters_after, strict=True)
        ]
    peers = [
        sent + received
        for sent, received in zip(
            rates["peers.bytes_sent"], rates["peers.bytes_received"], strict=True
        )
    ]
    return {
        "peer_bytes_per_s": _mean_and_max(peers, 0),
        "platform_bytes_per_s": _mean_and_max(rates["platform.bytes"], 0),
        "platform_calls_per_s": _mean_and_max(rates["platform.calls"], 2),
        "processor_share": _mean_and_max([used_s / passed_s for used_s in used], 4),
        "resident_mb": _mean_and_max([_resident_mb(pid) for pid in pids], 1),
    }


def _make_edits(fleet: Fleet) -> None:
    """Change a route several times, each time through the next daemon."""
    headers = (f"X-Operator-Key: {fleet.operator_keys[PARTENAIRES]}",)
    for number in range(EDIT_COUNT):
        url = f"http://{fleet.hosts[number % len(fleet.hosts)].operator_listen}"
        shown = get_json(f"{url}/v1/config", headers)
        route = {**shown["tables"]["routes"]["browse"], "timeout_s": 4.0 + number % 2}
        edit = {
            "edit_id": f"measure-{number}",
            "expected_version": shown["head"]["version"],
            "changes": [{"table": "routes", "key": "browse", "value": route}],
        }
        post_json(f"{url}/v1/edits", edit, headers)
        time.sleep(EDIT_INTERVAL_S)


def _measure_times_until_in_force(fleet: Fleet) -> list[float]:
    """Return, for each edit, the time until its version is in force on all hosts."""
    time.sleep(SETTLE_S)
    accepted: dict[int, float] = {}
    in_force: dict[int, list[float]] = {}
    for event in _read_events(fleet):
        if event["message_type"] == "edit_accepted":
            accepted[event["version"]] = event["timestamp"]
        elif event["message_type"] == "config_in_force":
            in_force.setdefault(event["version"], []).append(event["timestamp"])
    times = []
    for version, accepted_at in accepted.items():
        # A host may skip a version that a newer version replaces at once. The skipped
        # version is then never in force on every host.
        if len(in_force[version]) < len(fleet.hosts):
            raise RuntimeError(
                f"version {version} did not come into force on every host"
            )
        times.append(max(0.0, max(in_force[version]) - accepted_at))
    return times


def _measure_kill(fleet: Fleet, processes: Processes) -> dict[str, Any]:
    """Kill the last host and return when the others saw it suspect and dead."""
    victim = fleet.hosts[-1].host
    killed_at = time.time()
    processes.kill(victim)
    time.sleep(NOTICE_WAIT_S)
    noticed: dict[str, Any] = {}
    for state in ("suspect", "dead"):
        events = _state_changes(fleet, killed_at, time.time(), state, victim)
        times = [event["timestamp"] - killed_at for event in events]
        noticed[f"{state}_after_s"] = _mean_and_max(times, 2)
        noticed[f"hosts_that_saw_{state}"] = len(times)
    return noticed


def _measure_pause(fleet: Fleet, processes: Processes) -> dict[str, Any]:
    """Pause the first host and return when the last member was seen live again.

    The time counts from the end of the pause.
    """
    name = fleet.hosts[0].host
    processes.send_signal(name, signal.SIGSTOP)
    time.sleep(HOST_PAUSE_S)
    processes.send_signal(name, signal.SIGCONT)
    continued_at = time.time()
    time.sleep(SETTLE_S)
    events = _state_changes(fleet, continued_at, time.time(), "live")
    times = [event["timestamp"] - continued_at for event in events]
    return {"live_again_after_s": round(max(times, default=-1.0), 2)}


def _read_events(fleet: Fleet) -> Iterable[dict[str, Any]]:
    for plan in fleet.hosts:
        text = (fleet.directory / f"{plan.host}.log").read_text(encoding="utf-8")
        for line in text.splitlines():
            yield json.loads(line)


def _state_changes(
    fleet: Fleet, start: float, end: float, state: str, member: str = ""
) -> list[dict[str, Any]]:
    return [
        event
        for event in _read_events(fleet)
        if event["message_type"] == "member_state"
        and event["state"] == state
        and start <= event["timestamp"] <= end
        and member in {"", event["member"]}
    ]


def _counters(fleet: Fleet, number: int) -> dict[str, int]:
    headers = (f"X-Operator-Key: {fleet.operator_keys[PARTENAIRES]}",)
    url = f"http://{fleet.hosts[number].operator_listen}/v1/counters"
    counters: dict[str, int] = get_json(url, headers)
    return counters


def _processor_time_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def _mean_and_max(values: list[float], digits: int) -> dict[str, float]:
    if not values:
        return {"mean": -1.0, "max": -1.0}
    return {
        "mean": round(statistics.fmean(values), digits),
        "max": round(max(values), digits),
    }


def main() -> int:
    """Print the figures of 4, 8 and 12 daemons."""
    for number, hosts in enumerate(DAEMON_COUNTS):
        report = measure_control(hosts, 15.0, BASE_PORT + number * PORTS_PER_RUN)
        print(json.dumps(report), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
