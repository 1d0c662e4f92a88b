"""Weighted max-min fairness."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Mapping

K = TypeVar("K")
# Avoids division by zero for keys without a weight above zero.
WEIGHT_MIN = 1e-9


def divide_fairly(
    demands: Mapping[K, float], weights: Mapping[K, float], total: float
) -> dict[K, float]:
    """Divide a capacity by weighted max-min fairness.

    No key gets more than its demand. A key whose demand is not met gets at least as
    much per weight as every other key.

    Parameters
    ----------
    demands : mapping
    weights : mapping
        1 for keys without an entry.
    total : float
        The capacity.

    Returns
    -------
    dict
        Granted amount by key. They add up to `total` or to the sum of the demands,
        whichever is smaller.
    """
    granted: dict[K, float] = {}
    remaining = max(0.0, total)
    weight = {key: max(WEIGHT_MIN, weights.get(key, 1.0)) for key in demands}
    remaining_weight = sum(weight.values())
    # Keys with the smallest demand per weight come first; the others share the rest.
    for key in sorted(demands, key=lambda k: demands[k] / weight[k]):
        share = (
            remaining * weight[key] / remaining_weight if remaining_weight > 0 else 0.0
        )
        granted[key] = min(max(0.0, demands[key]), share)
        remaining = max(0.0, remaining - granted[key])
        remaining_weight -= weight[key]
    return granted
