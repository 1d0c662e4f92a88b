"""Plots of an experiment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy as np
from matplotlib.figure import Figure

from cardamomquay_dev.lab.load_model import OBJECTIVE_S

if TYPE_CHECKING:
    from pathlib import Path

    from matplotlib.axes import Axes

    from cardamomquay_dev.lab._experiment import Experiment
    from cardamomquay_dev.lab._measure import PolicyResult

SIZE_INCHES = (10.0, 7.0)
FAULT_STYLE = {"color": "grey", "linestyle": "--", "linewidth": 1.0}


def save_plot(experiment: Experiment, results: list[PolicyResult], path: Path) -> None:
    """Draw the results as four panels.

    Parameters
    ----------
    experiment : Experiment
    results : list of PolicyResult
    path : Path
        Its suffix decides the format.
    """
    figure = Figure(figsize=SIZE_INCHES, layout="constrained")
    over_time, latency, zones, counts = figure.subplots(2, 2).flat
    for result in results:
        over_time.plot(result.in_time_by_second, label=result.policy)
        latencies = result.latencies_s
        shares = np.arange(1, latencies.size + 1) / max(1, latencies.size)
        latency.plot(latencies, shares * result.answered)
    for fault in experiment.faults:
        over_time.axvline(fault.at_s, **FAULT_STYLE)
        over_time.text(fault.at_s, 0.02, f" {fault.label}", color="grey")
    over_time.set(title="Answered in time", xlabel="asked, s", ylim=(0.0, 1.0))
    over_time.legend()
    latency.axvline(OBJECTIVE_S, **FAULT_STYLE)
    latency.set(title="Share answered within a latency", xlabel="s", ylim=(0.0, 1.0))
    _bars(
        zones,
        "Worth by zone",
        {
            f"zone {zone}": [r.worth_by_zone[zone] for r in results]
            for zone in experiment.hosts
        },
        results,
    )
    shares_of = {
        "refused": [result.refused for result in results],
        "slots used": [result.use for result in results],
        "worst 2 s": [result.worst_window for result in results],
    }
    _bars(
        counts, "Refusals, use of slots, worth of the worst window", shares_of, results
    )
    figure.suptitle(experiment.name)
    figure.savefig(path, metadata={"Date": None})


def _bars(
    axes: Axes,
    title: str,
    groups: dict[str, list[float]],
    results: list[PolicyResult],
) -> None:
    width = 0.8 / len(results)
    for number, result in enumerate(results):
        at = np.arange(len(groups)) + (number + 0.5) * width - 0.4
        heights = [values[number] for values in groups.values()]
        axes.bar(at, heights, width, label=result.policy)
    axes.set(title=title, ylim=(0.0, 1.0))
    axes.set_xticks(np.arange(len(groups)), list(groups))
