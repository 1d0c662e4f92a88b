"""Runs the benchmarks with their baselines and writes ``build/bench.json``."""

from __future__ import annotations

import json
import sys
import time
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay_dev._bench_reducer import measure_reducer
from cardamomquay_dev._bench_relay import measure_relay
from cardamomquay_dev.measure_balancing import measure_balancing
from cardamomquay_dev.measure_claims import measure_claims
from cardamomquay_dev.measure_control import measure_control
from cardamomquay_dev.measure_limits import measure_fairness
from cardamomquay_dev.measure_limits import measure_limits
from cardamomquay_dev.measure_lookup import measure_lookup
from cardamomquay_dev.measure_moves import measure_moves
from cardamomquay_dev.measure_recovery import measure_recovery
from cardamomquay_dev.measure_steering import measure_steering

if TYPE_CHECKING:
    from collections.abc import Callable

SEED = 1
BUILD_DIR = Path("build")
CONTROL_HOST_COUNTS = (4, 8, 12)
IDLE_MEASUREMENT_S = 8.0
CONTROL_BASE_PORT = 24_000
# Sections whose results are merged into the top level of the report.
TOP_LEVEL_SECTIONS = frozenset({"relay"})


def sections() -> dict[str, Callable[[], dict[str, Any]]]:
    """Return the measurements by the dotted key of their results in the report."""
    return {
        "relay": measure_relay,
        "reducer": measure_reducer,
        "control": _measure_control,
        "lookup_table": partial(measure_lookup, SEED),
        "policy.limits": partial(measure_limits, SEED),
        "policy.fairness": partial(measure_fairness, SEED),
        "policy.claims": partial(measure_claims, SEED),
        "policy.balancing": partial(measure_balancing, SEED),
        "policy.steering": partial(measure_steering, SEED),
        "policy.moves": partial(measure_moves, SEED),
        "policy.recovery": partial(measure_recovery, SEED),
    }


def main(arguments: list[str]) -> int:
    """Run all sections, or only those given, and write the report.

    Parameters
    ----------
    arguments : list of str
        Keys of `sections`; the other sections of an existing report are kept.

    Returns
    -------
    int
        Exit code.
    """
    unknown = set(arguments) - set(sections())
    if unknown:
        print(f"no such section: {', '.join(sorted(unknown))}", file=sys.stderr)
        return 2
    BUILD_DIR.mkdir(exist_ok=True)
    path = BUILD_DIR / "bench.json"
    report: dict[str, Any] = {}
    if arguments and path.exists():
        report = json.loads(path.read_text(encoding="utf-8"))
    report["seed"] = SEED
    for name, measure in sections().items():
        if arguments and name not in arguments:
            continue
        started = time.monotonic()
        result = measure()
        if name in TOP_LEVEL_SECTIONS:
            report.update(result)
        else:
            _set_section(report, name, result)
        path.write_text(json.dumps(report, indent=2), encoding="utf-8")
        print(f"{name}: {time.monotonic() - started:.1f} s", flush=True)
    return 0


def _measure_control() -> dict[str, Any]:
    return {
        str(hosts): measure_control(hosts, IDLE_MEASUREMENT_S, CONTROL_BASE_PORT)
        for hosts in CONTROL_HOST_COUNTS
    }


def _set_section(report: dict[str, Any], name: str, result: dict[str, Any]) -> None:
    """Set the result of a section with a dotted key."""
    *parents, last = name.split(".")
    for parent in parents:
        report = report.setdefault(parent, {})
    report[last] = result


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
