"""Measures every figure beside its baseline and writes ``build/bench.json``."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay_dev._bench_reducer import measure_reducer
from cardamomquay_dev._bench_relay import measure_relay

if TYPE_CHECKING:
    from collections.abc import Callable

SEED = 20261204
BUILD = Path("build")


def sections() -> dict[str, Callable[[], dict[str, Any]]]:
    """Return the measurements by the key under which they are reported."""
    return {
        "relay": measure_relay,
        "reducer": measure_reducer,
    }


def main(arguments: list[str]) -> int:
    """Run all sections, or those named, and write the report."""
    report: dict[str, Any] = {"seed": SEED}
    for name, measure in sections().items():
        if arguments and name not in arguments:
            continue
        started = time.monotonic()
        result = measure()
        if name == "relay":
            report.update(result)
        else:
            _put(report, name, result)
        print(f"{name}: {time.monotonic() - started:.1f} s")
    BUILD.mkdir(exist_ok=True)
    path = BUILD / "bench.json"
    if arguments and path.exists():
        report = {**json.loads(path.read_text(encoding="utf-8")), **report}
    path.write_text(json.dumps(report, indent=2), encoding="utf-8")
    print(json.dumps(report, indent=2))
    return 0


def _put(report: dict[str, Any], name: str, result: dict[str, Any]) -> None:
    """Put a result under a dotted key."""
    *parents, last = name.split(".")
    for parent in parents:
        report = report.setdefault(parent, {})
    report[last] = result


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
