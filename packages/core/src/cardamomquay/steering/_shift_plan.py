"""Plans which share of each region's traffic other regions serve.

The shares change in steps of limited size.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING

from cardamomquay.outcomes import RefusalReason
from cardamomquay.steering._fairness import divide_fairly

if TYPE_CHECKING:
    from collections.abc import Mapping

SHIFT_CAP_SHARE_PER_S = 0.10
# A controller that was paused makes up for at most this time in one step.
STEP_MAX_S = 1.0
# Stands for a region in `RegionShares`: the traffic that is refused. No region has
# this name.
REFUSED = ""
# Share of traffic by region of the callers and serving region.
RegionShares = dict[str, dict[str, float]]


class RegionState(StrEnum):
    """Whether a region's upstreams take traffic."""

    OPEN = "open"
    DRAINING = "draining"
    LOST = "lost"


@dataclass(frozen=True)
class ShiftInputs:
    """Measurements and configuration from which a step is planned.

    Parameters
    ----------
    demand : mapping of str to mapping of str to float
        Requests per second by region of the callers and organisation; the last known
        figures while no new ones arrive.
    weights : mapping of str to float
        Entitled rate of each organisation.
    capacity : mapping of str to float
        Requests per second that each region can serve; 0 for regions not listed.
    states : mapping of str to RegionState
        `RegionState.LOST` for regions not listed.
    nearest_regions : mapping of str to tuple of str
        The other regions by delay, nearest first.
    link_capacity : mapping of tuple of str to float
        Requests per second whose answers fit on the links between the callers' region
        and the serving region; 0 for pairs not listed.
    """

    demand: Mapping[str, Mapping[str, float]]
    weights: Mapping[str, float]
    capacity: Mapping[str, float]
    states: Mapping[str, RegionState]
    nearest_regions: Mapping[str, tuple[str, ...]]
    link_capacity: Mapping[tuple[str, str], float]

    def total_demand(self, region: str) -> float:
        """Return the requests per second of all callers in a region."""
        return sum(self.demand.get(region, {}).values())

    def state_of(self, region: str) -> RegionState:
        """Return the state of a region."""
        return self.states.get(region, RegionState.LOST)


@dataclass(frozen=True)
class ShiftPlan:
    """Which regions serve the traffic of each region.

    Parameters
    ----------
    shares : dict of str to dict of str to float
        By region of the callers and serving region; each region's shares sum to 1.
        The share under `REFUSED` is refused before it reaches an upstream.
    admitted : dict of str to dict of str to float
        Share of requests that is admitted, by region of the callers and organisation.
    reasons : dict of str to RefusalReason
        Why traffic is refused, for each region with refused traffic.
    """

    shares: RegionShares
    admitted: dict[str, dict[str, float]] = field(default_factory=dict)
    reasons: dict[str, RefusalReason] = field(default_factory=dict)


def plan_shift(
    inputs: ShiftInputs,
    current: Mapping[str, Mapping[str, float]],
    elapsed_s: float,
    cap_per_s: float = SHIFT_CAP_SHARE_PER_S,
) -> ShiftPlan:
    """Plan the next step towards the target shares.

    The share that moves to another region is capped. Traffic is refused at once, and
    without a cap, if the region that serves it is lost or a region or link is full.

    Parameters
    ----------
    inputs : ShiftInputs
    current : mapping
        `ShiftPlan.shares` of the previous step; by default each region serves its own
        traffic.
    elapsed_s : float
        Time since the previous step.
    cap_per_s : float, default=0.1
        Share of each region's traffic that may move per second.

    Returns
    -------
    ShiftPlan
    """
    step = cap_per_s * min(STEP_MAX_S, max(0.0, elapsed_s))
    regions = sorted(inputs.demand.keys() | current.keys())
    start = {r: _starting_shares(inputs, r, current.get(r)) for r in regions}
    target, link_limited = _target_shares(inputs, regions)
    shares = {r: _step_towards(start[r], target[r], step) for r in regions}
    _refuse_above_capacity(inputs, shares)
    admitted = {}
    reasons = {}
    for region in regions:
        refused = shares[region].get(REFUSED, 0.0)
        demand = inputs.demand.get(region, {})
        given = divide_fairly(
            demand, inputs.weights, (1 - refused) * inputs.total_demand(region)
        )
        admitted[region] = {
            name: given[name] / rate if rate > 0 else 1.0
            for name, rate in demand.items()
        }
        if refused > 0:
            is_link_limited = region in link_limited
            reasons[region] = (
                RefusalReason.LINK_FULL
                if is_link_limited
                else RefusalReason.REGION_FULL
            )
    return ShiftPlan(shares, admitted, reasons)


def _starting_shares(
    inputs: ShiftInputs, region: str, shares: Mapping[str, float] | None
) -> dict[str, float]:
    """Return the shares of the previous step, with those of lost regions refused."""
    start = dict(shares) if shares else {region: 1.0}
    for dest in [d for d in start if d != REFUSED]:
        if inputs.state_of(dest) is RegionState.LOST:
            start[REFUSED] = start.get(REFUSED, 0.0) + start.pop(dest)
    return start


def _target_shares(
    inputs: ShiftInputs, regions: list[str]
) -> tuple[RegionShares, set[str]]:
    """Return the target shares, and the regions whose traffic a link limits."""
    target: RegionShares = {}
    unplaced: dict[str, dict[str, float]] = {}
    spare = {
        dest: inputs.capacity.get(dest, 0.0) - inputs.total_demand(dest)
        for dest, state in inputs.states.items()
        if state is RegionState.OPEN
    }
    for region in regions:
        target[region] = {}
        if inputs.state_of(region) is RegionState.OPEN:
            target[region][region] = 1.0
        elif inputs.total_demand(region) <= 0:
            lost = inputs.state_of(region) is RegionState.LOST
            target[region][REFUSED if lost else region] = 1.0
        else:
            unplaced[region] = dict(inputs.demand[region])
    link_limited = set()
    # Fill the nearest region of every region before any second nearest one.
    for rank in range(
        max((len(o) for o in inputs.nearest_regions.values()), default=0)
    ):
        wanted_by_dest: dict[str, dict[tuple[str, str], float]] = {}
        for region, rates in unplaced.items():
            order = inputs.nearest_regions.get(region, ())
            if rank >= len(order) or order[rank] not in spare:
                continue
            dest = order[rank]
            limit = inputs.link_capacity.get((region, dest), 0.0)
            if limit < sum(rates.values()):
                link_limited.add(region)
            fits = divide_fairly(rates, inputs.weights, limit)
            for name, rate in fits.items():
                wanted_by_dest.setdefault(dest, {})[region, name] = rate
        for dest, wanted in wanted_by_dest.items():
            weights = {key: inputs.weights.get(key[1], 1.0) for key in wanted}
            given = divide_fairly(wanted, weights, spare[dest])
            for (region, name), rate in given.items():
                unplaced[region][name] -= rate
                spare[dest] -= rate
                share = rate / inputs.total_demand(region)
                target[region][dest] = target[region].get(dest, 0.0) + share
    for region, rates in unplaced.items():
        unserved = sum(rates.values()) / inputs.total_demand(region)
        target[region][REFUSED] = max(0.0, unserved)
    limited = {r for r in link_limited if target[r][REFUSED] > 0}
    return target, limited


def _step_towards(
    start: Mapping[str, float], target: Mapping[str, float], step: float
) -> dict[str, float]:
    """Move shares towards the target by at most `step` in total.

    The shares of regions grow before the refused share, and the refused share falls
    before those of regions, so that no more than necessary is refused meanwhile.
    """
    change = {
        dest: target.get(dest, 0.0) - start.get(dest, 0.0)
        for dest in sorted(start.keys() | target.keys())
    }
    moved = dict(start)
    for sign in (1.0, -1.0):
        remaining = step
        amounts = {d: sign * delta for d, delta in change.items() if sign * delta > 0}
        refused = amounts.pop(REFUSED, 0.0)
        served = sum(amounts.values())
        if sign < 0:
            remaining -= _change_shares(
                moved, {REFUSED: refused}, refused, sign, remaining
            )
        remaining -= _change_shares(moved, amounts, served, sign, remaining)
        if sign > 0:
            _change_shares(moved, {REFUSED: refused}, refused, sign, remaining)
    return {dest: share for dest, share in moved.items() if share > 1e-12}


def _change_shares(
    moved: dict[str, float],
    wanted: Mapping[str, float],
    total: float,
    sign: float,
    max_total: float,
) -> float:
    """Add `sign` times the wanted shares, scaled down to `max_total` in total.

    Returns
    -------
    float
        Total that was added, without the sign.
    """
    if total <= 0 or max_total <= 0:
        return 0.0
    fraction = min(1.0, max_total / total)
    for dest, share in wanted.items():
        moved[dest] = moved.get(dest, 0.0) + sign * fraction * share
    return fraction * total


def _refuse_above_capacity(inputs: ShiftInputs, shares: RegionShares) -> None:
    """Refuse traffic from other regions above the capacity of a region or link."""
    for region, dests in shares.items():
        total = inputs.total_demand(region)
        for dest in [d for d in dests if d not in {REFUSED, region}]:
            limit = inputs.link_capacity.get((region, dest), 0.0)
            if dests[dest] * total > limit:
                _refuse_share(dests, dest, dests[dest] - limit / total)
    for dest in {d for dests in shares.values() for d in dests} - {REFUSED}:
        own = shares.get(dest, {}).get(dest, 0.0) * inputs.total_demand(dest)
        spare = max(0.0, inputs.capacity.get(dest, 0.0) - own)
        foreign = {
            region: dests[dest] * inputs.total_demand(region)
            for region, dests in shares.items()
            if region != dest and dest in dests
        }
        load = sum(foreign.values())
        if load <= spare:
            continue
        for region in foreign:
            _refuse_share(
                shares[region], dest, shares[region][dest] * (1 - spare / load)
            )


def _refuse_share(dests: dict[str, float], dest: str, share: float) -> None:
    dests[dest] -= share
    dests[REFUSED] = dests.get(REFUSED, 0.0) + share
