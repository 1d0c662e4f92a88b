"""Results of an experiment as a table."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomquay_dev.lab._measure import PolicyResult

HEAD = (
    "| policy | worth | worst zone | worst 2 s | answered | refused | median, s "
    "| p99, s | slots used |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
)


def to_table(results: list[PolicyResult]) -> str:
    """Return the results as a Markdown table, a line for each policy."""
    lines = [
        f"| {result.policy} | {result.worth:.3f} "
        f"| {min(result.worth_by_zone.values()):.3f} | {result.worst_window:.3f} "
        f"| {result.answered:.3f} | {result.refused:.3f} "
        f"| {result.latency_s(0.5):.2f} | {result.latency_s(0.99):.2f} "
        f"| {result.use:.2f} |\n"
        for result in results
    ]
    return HEAD + "".join(lines)
