"""Runs both owners' traffic over a small fleet with faults and lists broken rules."""

from __future__ import annotations

import json
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay_dev import _checks
from cardamomquay_dev._callers import OrganisationCallers
from cardamomquay_dev._fleet import ORGANISATIONS
from cardamomquay_dev._fleet import REGION_CAPACITY_PER_S
from cardamomquay_dev._fleet import REGIONS
from cardamomquay_dev._fleet import Fleet
from cardamomquay_dev._fleet import link_caps
from cardamomquay_dev._fleet import plan_fleet
from cardamomquay_dev._fleet import upstream_entries
from cardamomquay_dev._http import get_json
from cardamomquay_dev._processes import running_fleet
from cardamomquay_dev._scenario import Scenario

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomquay_dev._callers import RequestRecord

SEED = 20261204
BASE_PORT = 21000
TRAFFIC_S = 33.0
BUILD_DIR = Path("build")
# Longest times until a withdrawn key stops working, until a new configuration is in
# force on every host, until a drained upstream gets no new work, and, after its faults
# showed, until a bad version gets no more requests.
KEY_BOUND_S = 3.0
CONFIG_BOUND_S = 4.0
DRAIN_BOUND_S = 3.0
MOVE_BOUND_S = 3.0
UNNEEDED_REFUSAL_SHARE_MAX = 0.01


def run_demo() -> dict[str, Any]:
    """Run the fleet and return the report."""
    with tempfile.TemporaryDirectory(prefix="cardamomquay-") as directory:
        fleet = plan_fleet(Path(directory), BASE_PORT)
        with running_fleet(fleet) as processes:
            started = time.monotonic()
            scenario = Scenario(fleet, processes)
            requests = _run_traffic(fleet, scenario)
            duration_s = time.monotonic() - started
            document = get_json(f"http://{fleet.upstream_control_address}/control/runs")
            runs = _checks.read_runs(document)
            report = _report(requests, runs, scenario, duration_s)
            report |= _summarise_capacity(fleet, requests, runs)
            report["processes"] = processes.started_count
            report["shed_by_upstreams"] = document["shed"]
            report["key_in_logs"] = _count_logs_with_keys(fleet)
    report["broken"] = _broken_rules(report)
    report["ok"] = not report["broken"]
    return report


def _run_traffic(fleet: Fleet, scenario: Scenario) -> list[RequestRecord]:
    all_callers = [
        OrganisationCallers(
            fleet, organisation, REGIONS[organisation.owner][number % 3], SEED
        )
        for number, organisation in enumerate(ORGANISATIONS)
    ]
    threads = [
        threading.Thread(target=callers.run, args=(TRAFFIC_S,))
        for callers in all_callers
    ]
    threads.append(threading.Thread(target=scenario.run))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return [request for callers in all_callers for request in callers.requests]


def _report(
    requests: Sequence[RequestRecord],
    runs: Sequence[_checks.RunRecord],
    scenario: Scenario,
    duration_s: float,
) -> dict[str, Any]:
    return {
        "duration_s": round(duration_s, 2),
        "requests": _checks.summarise_requests(requests),
        "non_repeatable": _checks.summarise_non_repeatable(requests, runs),
        "limits": _checks.summarise_limits(requests, runs, duration_s),
        "key_seen_by_upstream": sum(run.key_seen for run in runs),
        **scenario.results(requests, runs),
    }


def _summarise_capacity(
    fleet: Fleet, requests: Sequence[RequestRecord], runs: Sequence[_checks.RunRecord]
) -> dict[str, Any]:
    regions = {entry["name"]: entry["region"] for entry in upstream_entries(fleet)}
    host_regions = {plan.listen: plan.region for plan in fleet.hosts}
    return {
        "regions": _checks.summarise_regions(runs, regions, REGION_CAPACITY_PER_S),
        "links": _checks.summarise_links(
            requests, runs, regions, host_regions, link_caps()
        ),
    }


def _count_logs_with_keys(fleet: Fleet) -> int:
    """Count the log files that contain a key's secret."""
    secrets = [
        key.partition(".")[2].encode()
        for key in (*fleet.caller_keys.values(), *fleet.operator_keys.values())
    ]
    return sum(
        any(secret in path.read_bytes() for secret in secrets)
        for path in (*fleet.directory.glob("*.log"), *fleet.directory.glob("*.out"))
    )


def _broken_rules(report: dict[str, Any]) -> list[str]:
    requests = report["requests"]
    non_repeatable = report["non_repeatable"]
    rules = {
        "requests were refused without need": requests["refused_without_need"]
        > UNNEEDED_REFUSAL_SHARE_MAX * requests["sent"],
        "a request was lost": requests["lost"] > 0,
        "an answer was mismatched": requests["mismatched"] > 0,
        "a non-repeatable request ran twice": non_repeatable["ran_twice"] > 0,
        "a refusal said not run, but the request ran": non_repeatable["refused_but_ran"]
        > 0,
        "an upstream saw a key": report["key_seen_by_upstream"] > 0,
        "a key stands in a log": report["key_in_logs"] > 0,
        "an organisation exceeded its limit": any(
            row["largest_excess"] > 0 for row in report["limits"]
        ),
        "a region was overloaded": any(
            row["peak"] > row["capacity"] for row in report["regions"]
        ),
        "a link was overloaded": any(
            row["peak_bytes_per_s"] > row["cap_bytes_per_s"] for row in report["links"]
        ),
        "a new version exceeded its cap before proof": any(
            move["largest_share"] > move["cap"]
            for move in report["version_moves"].values()
            if move["state"] != "completed"
        ),
        "a good version was not completed in time": not report["version_moves"][
            "browse-v2"
        ]["finished_in_time"],
        "a bad version was not taken back": report["version_moves"]["lookup-v2"][
            "taken_back_s"
        ]
        is None,
        "a bad version got requests after its faults showed": report["version_moves"][
            "lookup-v2"
        ]["last_run_after_shown_s"]
        > MOVE_BOUND_S,
        "a step of the scenario failed": bool(report["scenario_failures"]),
        "a withdrawn key worked too long": report["key_withdrawn_s"] > KEY_BOUND_S,
        "a configuration was late": report["config_in_force_s"] > CONFIG_BOUND_S,
        "a configuration reverted": report["config_reverted"] > 0,
        "a drained upstream got new work": report["drain"]["new_work_after_s"]
        > DRAIN_BOUND_S,
        "the drained upstream had no work before": report["drain"]["runs_before"] == 0,
        "a planned stop cut requests": report["drain"]["requests_cut"] > 0,
    }
    return [rule for rule, broken in rules.items() if broken]


def _print_table(report: dict[str, Any]) -> None:
    requests = report["requests"]
    non_repeatable = report["non_repeatable"]
    rows = [
        ("processes", report["processes"]),
        ("duration", f"{report['duration_s']} s"),
        ("requests", f"{requests['sent']} sent, {requests['answered']} answered"),
        ("refused", requests["refused"]),
        ("lost / mismatched", f"{requests['lost']} / {requests['mismatched']}"),
        ("non-repeatable", non_repeatable),
        ("key withdrawn after", f"{report['key_withdrawn_s']} s"),
        ("configuration in force after", f"{report['config_in_force_s']} s"),
        ("configuration reverted", report["config_reverted"]),
        ("drain", report["drain"]),
        *(
            (f"move to {pool}", f"{move['state']} ({move['reason']})")
            for pool, move in report["version_moves"].items()
        ),
        ("wrongly refused", sum(row["wrongly_refused"] for row in report["limits"])),
        ("largest excess", max(row["largest_excess"] for row in report["limits"])),
        ("broken rules", ", ".join(report["broken"]) or "none"),
    ]
    for name, value in rows:
        print(f"{name:<30} {value}")


def main() -> int:
    """Run the demo, print a summary and write ``build/demo.json``."""
    report = run_demo()
    BUILD_DIR.mkdir(exist_ok=True)
    path = BUILD_DIR / "demo.json"
    path.write_text(json.dumps(report, indent=2), encoding="utf-8")
    _print_table(report)
    print(f"ok: {str(report['ok']).lower()} ({path})")
    return 0 if report["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
