"""Measures one daemon's relay and look-ups against baselines in the same run."""

from __future__ import annotations

import json
import statistics
import tempfile
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.config import CONFIG_HEAD_KEY
from cardamomquay.platform import Condition
from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Write
from cardamomquay_daemon._platform_client import HttpTableService
from cardamomquay_daemon._platform_client import PlatformConnection
from cardamomquay_dev import _fleet
from cardamomquay_dev._http import get_json
from cardamomquay_dev._http import post_json
from cardamomquay_dev._load_generator import LoadResult
from cardamomquay_dev._load_generator import run_load
from cardamomquay_dev._processes import Processes
from cardamomquay_dev._processes import processor_time_s
from cardamomquay_dev._processes import resident_mb
from cardamomquay_dev._processes import wait_ready
from cardamomquay_dev._processes import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

# Offsets from this port: 2 for the bare relay, from 20 on for the upstreams, and from
# 40 on for the upstreams' control ports.
BASE_PORT = 22000
UPSTREAMS = 4
UPSTREAM_SLOTS = 64
MEAN_SERVICE_TIME_S = 0.0001
CALLER_CONNECTIONS = 8
ROUNDS = 5
API_KEY = "key-bench.canary-bench"


def measure_relay(seconds: float = 1.5) -> dict[str, Any]:
    """Measure relayed requests and look-ups of a daemon, and their baselines.

    The baselines of relayed requests are direct calls to the upstreams and a bare
    relay, which uses the same HTTP libraries and makes no decisions. The baseline of
    look-ups is a constant answer of the bare relay.

    Parameters
    ----------
    seconds : float
        Duration of each measurement. Each is made five times, alternating with the
        others, and the one with the median throughput is reported, since other load
        on the machine varies.

    Returns
    -------
    dict
        By kind of request: rate, latencies and failures, and for some kinds the ratio
        of the rate to that of the baseline, the processor time per request in
        microseconds, and the resident memory of the daemon in MiB.
    """
    with tempfile.TemporaryDirectory(prefix="cardamomquay-") as directory:
        fleet = _fleet.plan_fleet(Path(directory), BASE_PORT, hosts=1)
        with _running_fleet(fleet) as processes:
            daemon = f"http://{fleet.hosts[0].listen}"
            bare = f"http://{_address(2)}"
            direct = [f"http://{_address(20 + n)}/bench" for n in range(UPSTREAMS)]
            key_headers = [f"X-Api-Key: {API_KEY}"]
            lookup_url = f"{daemon}/.cardamomquay/v1/hosts?region=mtl"
            loads = {
                "relay": ([f"{daemon}/bench"], key_headers),
                "bare_relay": ([f"{bare}/bench"], []),
                "direct": (direct, []),
                "lookup": ([lookup_url], []),
                "constant_answer": ([f"{bare}/constant"], []),
            }
            results: dict[str, list[LoadResult]] = {name: [] for name in loads}
            process_names = {"relay": fleet.hosts[0].host, "bare_relay": "bare"}
            processor_used_s = dict.fromkeys(process_names, 0.0)
            for _ in range(ROUNDS):
                for name, (urls, headers) in loads.items():
                    pid = processes.pid(process_names.get(name, "platform"))
                    before_s = processor_time_s(pid)
                    results[name].append(
                        run_load(urls, headers, seconds, CALLER_CONNECTIONS)
                    )
                    if name in processor_used_s:
                        processor_used_s[name] += processor_time_s(pid) - before_s
            memory_mb = resident_mb(processes.pid(fleet.hosts[0].host))
    report: dict[str, Any] = {
        name: _median_round(rounds).as_dict() for name, rounds in results.items()
    }
    # On a shared machine, processor time per request varies less than throughput.
    for name, used_s in processor_used_s.items():
        served = sum(r.requests_per_s for r in results[name]) * seconds
        report[name]["processor_us"] = round(used_s / served * 1e6, 1)
    relay, bare_relay = report["relay"], report["bare_relay"]
    report["relay"]["of_bare_relay"] = round(
        relay["requests_per_s"] / bare_relay["requests_per_s"], 3
    )
    report["lookup"]["of_constant_answer"] = round(
        report["lookup"]["requests_per_s"]
        / report["constant_answer"]["requests_per_s"],
        3,
    )
    report["relay"]["resident_mb"] = memory_mb
    return report


@contextmanager
def _running_fleet(fleet: _fleet.Fleet) -> Iterator[Processes]:
    processes = Processes(fleet)
    try:
        processes.start(
            "platform",
            "cardamomquay_dev.standins.platform",
            f"--platform_listen={fleet.platform_address}",
        )
        for number in range(UPSTREAMS):
            _start_upstream(fleet, processes, number)
        targets = ",".join(_address(20 + n) for n in range(UPSTREAMS))
        processes.start(
            "bare",
            "cardamomquay_dev.standins.bare_relay",
            f"--bare_listen={_address(2)}",
            f"--targets={targets}",
        )
        load_url = f"http://{fleet.platform_address}/control/load"
        wait_until(partial(_is_answered, load_url), load_url)
        constant_url = f"http://{_address(2)}/constant"
        wait_until(partial(_is_answered, constant_url), constant_url)
        for number in range(UPSTREAMS):
            url = f"http://{_address(40 + number)}/control/runs"
            wait_until(partial(_is_answered, url), url)
        post_json(
            f"http://{fleet.platform_address}/control/hosts",
            {"hosts": _fleet.host_list_entries(fleet)},
        )
        _store_config(fleet)
        _fleet.write_settings(fleet, fleet.hosts[0])
        processes.start_daemon(fleet.hosts[0])
        wait_ready(fleet.hosts[0].listen)
        yield processes
    finally:
        processes.kill_all()


def _start_upstream(fleet: _fleet.Fleet, processes: Processes, number: int) -> None:
    plan = fleet.directory / f"bench-{number}.json"
    entry = {
        "name": f"bench-{number}",
        "pool": "bench",
        "address": _address(20 + number),
        "slots": UPSTREAM_SLOTS,
        "behaviour": {"mean_s": MEAN_SERVICE_TIME_S},
    }
    plan.write_text(json.dumps([entry]), encoding="utf-8")
    processes.start(
        f"bench-{number}",
        "cardamomquay_dev.standins.upstreams",
        f"--plan={plan}",
        f"--control={_address(40 + number)}",
    )


def _store_config(fleet: _fleet.Fleet) -> None:
    tables = HttpTableService(PlatformConnection(f"http://{fleet.platform_address}"))
    upstreams = [
        {
            "name": f"bench-{number}",
            "address": _address(20 + number),
            "region": "mtl",
            "availability_zone": "mtl-a",
            "slots": UPSTREAM_SLOTS,
            "connections": 330,
        }
        for number in range(UPSTREAMS)
    ]
    owner = _fleet.PARTENAIRES
    rows: dict[tuple[str, str], dict[str, Any]] = {
        ("pools", "bench"): {"owner": owner, "upstreams": upstreams},
        ("routes", "bench"): {"owner": owner, "prefix": "/bench", "pool": "bench"},
        ("organisations", "bench"): {
            "owner": owner,
            "rate_per_s": 1_000_000.0,
            "burst": 1_000_000,
        },
        ("keys", "key-bench"): _fleet.make_key_row(API_KEY, "bench", owner),
        ("config", "head"): {"version": 1, "edit_id": "bench", "operator": "bench"},
    }
    writes = tuple(Write(RowKey(*key), value) for key, value in rows.items())
    tables.transact(Transaction((Condition(CONFIG_HEAD_KEY, 0),), writes))


def _is_answered(url: str) -> bool:
    return get_json(url) is not None


def _address(offset: int) -> str:
    return f"{_fleet.LOOPBACK_ADDRESS}:{BASE_PORT + offset}"


def _median_round(rounds: list[LoadResult]) -> LoadResult:
    median_rate = statistics.median_low(r.requests_per_s for r in rounds)
    return next(r for r in rounds if r.requests_per_s == median_rate)
