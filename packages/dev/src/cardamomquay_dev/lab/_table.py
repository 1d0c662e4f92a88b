"""Formats the results of an experiment as a table."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomquay_dev.lab._measure import PolicyResult

TABLE_HEAD = (
    "| policy | worth | worst zone | worst 2 s | answered | refused | median, s "
    "| p99, s | slots used |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
)


def to_table(results: list[PolicyResult]) -> str:
    """Return the results as a Markdown table with a row for each policy."""
    lines = [
        f"| {result.policy} | {result.mean_value:.3f} "
        f"| {min(result.value_by_zone.values()):.3f} | {result.worst_window_value:.3f} "
        f"| {result.answered_share:.3f} | {result.refused_share:.3f} "
        f"| {result.latency_quantile_s(0.5):.2f} "
        f"| {result.latency_quantile_s(0.99):.2f} "
        f"| {result.slot_utilisation:.2f} |\n"
        for result in results
    ]
    return TABLE_HEAD + "".join(lines)
