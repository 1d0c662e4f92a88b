"""Weighted max-min fairness."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Mapping

K = TypeVar("K")
WEIGHT_MIN = 1e-9


def divide_fairly(
    demands: Mapping[K, float], weights: Mapping[K, float], total: float
) -> dict[K, float]:
    """Divide a capacity by weighted max-min fairness.

    Nobody gets more than its demand, and nobody whose demand is not met has less
    for its weight than another.

    Parameters
    ----------
    demands : mapping
    weights : mapping
        1 where not given.
    total : float

    Returns
    -------
    dict
        Sums to the smaller of `total` and all demands.
    """
    given: dict[K, float] = {}
    left = max(0.0, total)
    weight = {key: max(WEIGHT_MIN, weights.get(key, 1.0)) for key in demands}
    weight_left = sum(weight.values())
    # The smallest demand for its weight is met first; the rest share what is left.
    for key in sorted(demands, key=lambda k: demands[k] / weight[k]):
        share = left * weight[key] / weight_left if weight_left > 0 else 0.0
        given[key] = min(max(0.0, demands[key]), share)
        left = max(0.0, left - given[key])
        weight_left -= weight[key]
    return given
