"""Capped steps of the shares of traffic between regions."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING

from cardamomquay.outcomes import RefusalReason
from cardamomquay.steering._fairness import divide_fairly

if TYPE_CHECKING:
    from collections.abc import Mapping

CAP_PER_S = 0.10
# A controller that was paused makes one step, not all that it missed.
STEP_MAX_S = 1.0
# Share of a region's traffic that is refused; never the name of a region.
REFUSED = ""
Shares = dict[str, dict[str, float]]


class RegionState(StrEnum):
    """Whether a region's upstreams take traffic."""

    OPEN = "open"
    DRAINING = "draining"
    LOST = "lost"


@dataclass(frozen=True)
class ShiftView:
    """What is known when a step is planned.

    Parameters
    ----------
    demand : mapping of str to mapping of str to float
        Requests a second by region of the callers and organisation. While no
        measurement arrives, the last known one.
    weights : mapping of str to float
        Entitled rate of each organisation.
    capacity : mapping of str to float
        Requests a second of each region; 0 where not given.
    states : mapping of str to RegionState
        `RegionState.LOST` where not given.
    order : mapping of str to tuple of str
        Other regions by delay, the nearest first.
    link_capacity : mapping of tuple of str to float
        Requests a second whose answers fit on the links between callers' region and
        serving region; 0 where not given.
    """

    demand: Mapping[str, Mapping[str, float]]
    weights: Mapping[str, float]
    capacity: Mapping[str, float]
    states: Mapping[str, RegionState]
    order: Mapping[str, tuple[str, ...]]
    link_capacity: Mapping[tuple[str, str], float]

    def total(self, region: str) -> float:
        """Return all requests a second from a region's callers."""
        return sum(self.demand.get(region, {}).values())

    def state(self, region: str) -> RegionState:
        """Return the state of a region."""
        return self.states.get(region, RegionState.LOST)


@dataclass(frozen=True)
class ShiftPlan:
    """Where the traffic of each region goes.

    Parameters
    ----------
    shares : dict of str to dict of str to float
        By region of the callers and serving region; each region's shares sum to 1.
        The share of `REFUSED` is refused early.
    admitted : dict of str to dict of str to float
        Share of each organisation's requests that is admitted, by region of callers.
    reasons : dict of str to RefusalReason
        For each region with refused traffic.
    """

    shares: Shares
    admitted: dict[str, dict[str, float]] = field(default_factory=dict)
    reasons: dict[str, RefusalReason] = field(default_factory=dict)


def plan_shift(
    view: ShiftView,
    current: Mapping[str, Mapping[str, float]],
    elapsed_s: float,
    cap_per_s: float = CAP_PER_S,
) -> ShiftPlan:
    """Plan the next step towards the wanted shares.

    Traffic that is served in another place changes by at most the cap. Traffic is
    refused at once where its region is lost, or where a region or link is full.

    Parameters
    ----------
    view : ShiftView
    current : mapping
        `ShiftPlan.shares` of the step before; all traffic stays at home by default.
    elapsed_s : float
        Time since the step before.
    cap_per_s : float, default=0.1
        Share of each region's traffic that may move in a second.

    Returns
    -------
    ShiftPlan
    """
    step = cap_per_s * min(STEP_MAX_S, max(0.0, elapsed_s))
    regions = sorted(view.demand.keys() | current.keys())
    start = {r: _start(view, r, current.get(r)) for r in regions}
    goal, full_links = _goal(view, regions)
    shares = {r: _moved(start[r], goal[r], step) for r in regions}
    _limit(view, shares)
    admitted = {}
    reasons = {}
    for region in regions:
        refused = shares[region].get(REFUSED, 0.0)
        demand = view.demand.get(region, {})
        given = divide_fairly(demand, view.weights, (1 - refused) * view.total(region))
        admitted[region] = {
            name: given[name] / rate if rate > 0 else 1.0
            for name, rate in demand.items()
        }
        if refused > 0:
            link = region in full_links
            reasons[region] = (
                RefusalReason.LINK_FULL if link else RefusalReason.REGION_FULL
            )
    return ShiftPlan(shares, admitted, reasons)


def _start(
    view: ShiftView, region: str, shares: Mapping[str, float] | None
) -> dict[str, float]:
    """Shares of the step before, without those of lost regions."""
    start = dict(shares) if shares else {region: 1.0}
    for place in [p for p in start if p != REFUSED]:
        if view.state(place) is RegionState.LOST:
            start[REFUSED] = start.get(REFUSED, 0.0) + start.pop(place)
    return start


def _goal(view: ShiftView, regions: list[str]) -> tuple[Shares, set[str]]:
    """Wanted shares, and the regions whose traffic a link limits."""
    goal: Shares = {}
    unplaced: dict[str, dict[str, float]] = {}
    spare = {
        place: view.capacity.get(place, 0.0) - view.total(place)
        for place, state in view.states.items()
        if state is RegionState.OPEN
    }
    for region in regions:
        goal[region] = {}
        if view.state(region) is RegionState.OPEN:
            goal[region][region] = 1.0
        elif view.total(region) <= 0:
            lost = view.state(region) is RegionState.LOST
            goal[region][REFUSED if lost else region] = 1.0
        else:
            unplaced[region] = dict(view.demand[region])
    full_links = set()
    # All nearest regions are filled before any second nearest one.
    for rank in range(max((len(o) for o in view.order.values()), default=0)):
        claims: dict[str, dict[tuple[str, str], float]] = {}
        for region, rates in unplaced.items():
            order = view.order.get(region, ())
            if rank >= len(order) or order[rank] not in spare:
                continue
            place = order[rank]
            limit = view.link_capacity.get((region, place), 0.0)
            if limit < sum(rates.values()):
                full_links.add(region)
            fits = divide_fairly(rates, view.weights, limit)
            for name, rate in fits.items():
                claims.setdefault(place, {})[region, name] = rate
        for place, wanted in claims.items():
            weights = {key: view.weights.get(key[1], 1.0) for key in wanted}
            given = divide_fairly(wanted, weights, spare[place])
            for (region, name), rate in given.items():
                unplaced[region][name] -= rate
                spare[place] -= rate
                share = rate / view.total(region)
                goal[region][place] = goal[region].get(place, 0.0) + share
    for region, rates in unplaced.items():
        left = sum(rates.values()) / view.total(region)
        goal[region][REFUSED] = max(0.0, left)
    limited = {r for r in full_links if goal[r][REFUSED] > 0}
    return goal, limited


def _moved(
    start: Mapping[str, float], goal: Mapping[str, float], step: float
) -> dict[str, float]:
    """Move shares towards the goal by at most `step` in total.

    What another region can serve moves first, so that no more is refused on the way
    than has to be.
    """
    change = {
        place: goal.get(place, 0.0) - start.get(place, 0.0)
        for place in sorted(start.keys() | goal.keys())
    }
    moved = dict(start)
    for sign in (1.0, -1.0):
        left = step
        signed = {p: sign * delta for p, delta in change.items() if sign * delta > 0}
        refused = signed.pop(REFUSED, 0.0)
        served = sum(signed.values())
        if sign < 0:
            left -= _shift_by(moved, {REFUSED: refused}, refused, sign, left)
        left -= _shift_by(moved, signed, served, sign, left)
        if sign > 0:
            _shift_by(moved, {REFUSED: refused}, refused, sign, left)
    return {place: share for place, share in moved.items() if share > 1e-12}


def _shift_by(
    moved: dict[str, float],
    wanted: Mapping[str, float],
    total: float,
    sign: float,
    most: float,
) -> float:
    if total <= 0 or most <= 0:
        return 0.0
    part = min(1.0, most / total)
    for place, share in wanted.items():
        moved[place] = moved.get(place, 0.0) + sign * part * share
    return part * total


def _limit(view: ShiftView, shares: Shares) -> None:
    """Refuse traffic from other regions that a region or link cannot carry now."""
    for region, places in shares.items():
        total = view.total(region)
        for place in [p for p in places if p not in {REFUSED, region}]:
            limit = view.link_capacity.get((region, place), 0.0)
            if places[place] * total > limit:
                _refuse(places, place, places[place] - limit / total)
    for place in {p for places in shares.values() for p in places} - {REFUSED}:
        own = shares.get(place, {}).get(place, 0.0) * view.total(place)
        room = max(0.0, view.capacity.get(place, 0.0) - own)
        foreign = {
            region: places[place] * view.total(region)
            for region, places in shares.items()
            if region != place and place in places
        }
        load = sum(foreign.values())
        if load <= room:
            continue
        for region in foreign:
            _refuse(shares[region], place, shares[region][place] * (1 - room / load))


def _refuse(places: dict[str, float], place: str, share: float) -> None:
    places[place] -= share
    places[REFUSED] = places.get(REFUSED, 0.0) + share
