"""Plots the results of an experiment."""

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
MARKER_LINE_STYLE = {"color": "grey", "linestyle": "--", "linewidth": 1.0}


def save_plot(experiment: Experiment, results: list[PolicyResult], path: Path) -> None:
    """Plot the results in four panels.

    Parameters
    ----------
    experiment : Experiment
    results : list of PolicyResult
    path : Path
        File to write; its suffix determines the format.
    """
    figure = Figure(figsize=SIZE_INCHES, layout="constrained")
    over_time, latency, by_zone, whole_run = figure.subplots(2, 2).flat
    for result in results:
        over_time.plot(result.in_time_by_second, label=result.policy)
        latencies = result.latencies_s
        shares = np.arange(1, latencies.size + 1) / max(1, latencies.size)
        latency.plot(latencies, shares * result.answered_share)
    for fault in experiment.faults:
        over_time.axvline(fault.at_s, **MARKER_LINE_STYLE)
        over_time.text(fault.at_s, 0.02, f" {fault.label}", color="grey")
    over_time.set(title="Answered in time", xlabel="asked, s", ylim=(0.0, 1.0))
    over_time.legend()
    latency.axvline(OBJECTIVE_S, **MARKER_LINE_STYLE)
    latency.set(title="Share answered within a latency", xlabel="s", ylim=(0.0, 1.0))
    _plot_bars(
        by_zone,
        "Worth by zone",
        {
            f"zone {zone}": [r.value_by_zone[zone] for r in results]
            for zone in experiment.hosts
        },
        results,
    )
    shares_by_name = {
        "refused": [result.refused_share for result in results],
        "slots used": [result.slot_utilisation for result in results],
        "worst 2 s": [result.worst_window_value for result in results],
    }
    _plot_bars(
        whole_run,
        "Refusals, use of slots, worth of the worst window",
        shares_by_name,
        results,
    )
    figure.suptitle(experiment.name)
    figure.savefig(path, metadata={"Date": None})


def _plot_bars(
    axes: Axes,
    title: str,
    groups: dict[str, list[float]],
    results: list[PolicyResult],
) -> None:
    width = 0.8 / len(results)
    for number, result in enumerate(results):
        positions = np.arange(len(groups)) + (number + 0.5) * width - 0.4
        heights = [values[number] for values in groups.values()]
        axes.bar(positions, heights, width, label=result.policy)
    axes.set(title=title, ylim=(0.0, 1.0))
    axes.set_xticks(np.arange(len(groups)), list(groups))
