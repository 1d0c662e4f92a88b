"""Produces the figures of ``docs/CAPACITY.md``."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

from absl import app
from absl import flags

from cardamomquay_dev._slopes import block_costs
from cardamomquay_dev._slopes import config_costs
from cardamomquay_dev._slopes import host_costs
from cardamomquay_dev.measure_control import BASE_PORT
from cardamomquay_dev.measure_control import PORTS_A_RUN
from cardamomquay_dev.measure_control import SIZES
from cardamomquay_dev.measure_control import measure_control

PROCESSES = flags.DEFINE_bool(
    "processes", True, "Measure real daemons too; takes about three minutes."
)
HOST_SIZES = (12, 120, 520)
SITE_SIZES = (10, 50, 150)
BLOCK_SIZES = (10_000, 100_000, 360_000)
IDLE_S = 15.0
BUILD = Path("build")


def measure(processes: bool) -> dict[str, Any]:
    """Return all figures.

    Parameters
    ----------
    processes : bool
        Whether to run daemons as well.

    Returns
    -------
    dict
    """
    report: dict[str, Any] = {
        "hosts": [asdict(host_costs(size)) for size in HOST_SIZES],
        "configuration": [asdict(config_costs(size)) for size in SITE_SIZES],
        "blocks": [asdict(block_costs(size)) for size in BLOCK_SIZES],
    }
    if processes:
        report["processes"] = [
            measure_control(size, IDLE_S, BASE_PORT + number * PORTS_A_RUN)
            for number, size in enumerate(SIZES)
        ]
    return report


def main(argv: list[str]) -> int:
    """Print the figures and write ``build/capacity.json``."""
    report = measure(PROCESSES.value)
    BUILD.mkdir(exist_ok=True)
    path = BUILD / "capacity.json"
    path.write_text(json.dumps(report, indent=2), encoding="utf-8")
    for name, rows in report.items():
        print(name)
        for row in rows:
            print(f"  {json.dumps(row)}")
    return 0


if __name__ == "__main__":
    sys.exit(app.run(main))
