"""Reserves what a request needs of upstreams, regions and links."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.balancing import Observation
from cardamomquay.balancing import ObservedResult
from cardamomquay.balancing import Reservation
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.steering import ShiftLimit

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cardamomquay.balancing import UpstreamChooser
    from cardamomquay.clock import Clock
    from cardamomquay.config import Pool
    from cardamomquay.steering import BudgetReservation
    from cardamomquay.steering import TrafficBudgets

# A request that may not go abroad waits this long for a slot at home.
HOME_WAIT_S = 0.5
CAP_DETAIL = "the share sent to other regions is at its cap"
NOT_SENT = Observation(ObservedResult.NOT_SENT, 0.0)


@dataclass(frozen=True, slots=True)
class Wanted:
    """What a request asks for.

    Parameters
    ----------
    pool : Pool
    route, organisation : str
    request_bytes : int
    deadline_s : float
    """

    pool: Pool
    route: str
    organisation: str
    request_bytes: int
    deadline_s: float


class Reserver:
    """Reserves a slot and budgets, at home or in the next region in reach.

    Parameters
    ----------
    clock : Clock
    region : str
        Of this host.
    chooser : UpstreamChooser
    budgets : TrafficBudgets
    """

    def __init__(
        self,
        clock: Clock,
        region: str,
        chooser: UpstreamChooser,
        budgets: TrafficBudgets,
    ) -> None:
        self._clock = clock
        self._region = region
        self._chooser = chooser
        self._budgets = budgets
        self._limits: defaultdict[str, ShiftLimit] = defaultdict(ShiftLimit)
        self._weights: Mapping[str, float] = {}

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set each organisation's weight, its entitled rate."""
        self._weights = weights

    def reserve(
        self, wanted: Wanted, excluded: set[str]
    ) -> tuple[Reservation, BudgetReservation] | Refusal:
        """Reserve a slot, and what the request needs of its region and links.

        A region whose budgets are empty is left out, and the next in reach is tried.
        The share that goes to other regions grows in capped steps.

        Parameters
        ----------
        wanted : Wanted
        excluded : set of str
            Upstreams that are not chosen; those of full regions are added.

        Returns
        -------
        tuple of (Reservation, BudgetReservation), or Refusal
        """
        pool, home = wanted.pool, self._region
        limit = self._limits[pool.name]
        # A pool without upstreams at home is served abroad from the start.
        at_home = any(u.region == home for u in pool.upstreams)
        limit.set_weights(self._weights)
        limit.note_request(self._clock.now_s())
        until_s = wanted.deadline_s
        full: Refusal | None = None
        while True:
            slot = self._chooser.reserve(pool, wanted.organisation, excluded, until_s)
            if isinstance(slot, Refusal):
                return full or slot
            region = slot.upstream.region
            shifted = at_home and region != home
            now_s = self._clock.now_s()
            if shifted and not limit.allow(wanted.organisation, now_s):
                self._chooser.release(slot, NOT_SENT)
                if full is not None:
                    return full
                excluded.update(u.name for u in pool.upstreams if u.region != home)
                full = Refusal(RefusalReason.REGION_FULL, CAP_DETAIL)
                until_s = min(wanted.deadline_s, now_s + HOME_WAIT_S)
                continue
            budget = self._budgets.reserve(
                wanted.route, region, wanted.request_bytes, wanted.deadline_s
            )
            if not isinstance(budget, Refusal):
                return slot, budget
            if shifted:
                limit.cancel(wanted.organisation)
            self._chooser.release(slot, NOT_SENT)
            full = full or budget
            excluded.update(u.name for u in pool.upstreams if u.region == region)
