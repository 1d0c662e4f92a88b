"""Measures the figures of ``docs/CAPACITY.md``."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

from absl import app
from absl import flags

from cardamomquay_dev._core_costs import block_costs
from cardamomquay_dev._core_costs import config_costs
from cardamomquay_dev._core_costs import host_costs
from cardamomquay_dev.measure_control import BASE_PORT
from cardamomquay_dev.measure_control import DAEMON_COUNTS
from cardamomquay_dev.measure_control import PORTS_PER_RUN
from cardamomquay_dev.measure_control import measure_control

PROCESSES = flags.DEFINE_bool(
    "processes", True, "Also measure daemon processes, which takes about three minutes."
)
HOST_COUNTS = (12, 120, 520)
SITE_COUNTS = (10, 50, 150)
BLOCK_COUNTS = (10_000, 100_000, 360_000)
IDLE_MEASUREMENT_S = 15.0
BUILD_DIR = Path("build")


def measure(processes: bool) -> dict[str, Any]:
    """Return all figures.

    Parameters
    ----------
    processes : bool
        Whether to measure daemon processes as well.

    Returns
    -------
    dict
        By kind of measurement: a list with one entry for each size.
    """
    report: dict[str, Any] = {
        "hosts": [asdict(host_costs(size)) for size in HOST_COUNTS],
        "configuration": [asdict(config_costs(size)) for size in SITE_COUNTS],
        "blocks": [asdict(block_costs(size)) for size in BLOCK_COUNTS],
    }
    if processes:
        report["processes"] = [
            measure_control(
                size, IDLE_MEASUREMENT_S, BASE_PORT + number * PORTS_PER_RUN
            )
            for number, size in enumerate(DAEMON_COUNTS)
        ]
    return report


def main(argv: list[str]) -> int:
    """Print the figures and write ``build/capacity.json``."""
    report = measure(PROCESSES.value)
    BUILD_DIR.mkdir(exist_ok=True)
    path = BUILD_DIR / "capacity.json"
    path.write_text(json.dumps(report, indent=2), encoding="utf-8")
    for name, rows in report.items():
        print(name)
        for row in rows:
            print(f"  {json.dumps(row)}")
    return 0


if __name__ == "__main__":
    sys.exit(app.run(main))
