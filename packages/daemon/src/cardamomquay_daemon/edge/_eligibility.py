"""Which upstreams may get a request now, and whether a request may run at all."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.traffic import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Collection

    from cardamomquay.placement import Candidate
    from cardamomquay.placement import Placement
    from cardamomquay.placement import PlacementRequest
    from cardamomquay.traffic import Organisation
    from cardamomquay.traffic import Upstream
    from cardamomquay_daemon.edge._state import HostState

# Least and most time after which callers that found no room are asked to come back.
RETRY_ROOM_MIN_S = 0.2
RETRY_ROOM_MAX_S = 2.0


class Eligibility:
    """Applies limits and orders to the choice of an upstream.

    Parameters
    ----------
    state : HostState
    placement : Placement
    """

    def __init__(self, state: HostState, placement: Placement) -> None:
        self._state = state
        self._placement = placement

    def admit(self, organisation: Organisation | None, now_s: float) -> Refusal | None:
        """Count a request against its organisation's quota.

        Returns
        -------
        Refusal or None
            None if the request may run.
        """
        return None

    def take_retry(self, service: str, now_s: float) -> bool:
        """Take a second attempt at a service from the budget."""
        return True

    def choose(
        self,
        wanted: PlacementRequest,
        tried: Collection[str],
        left_s: float,
        now_s: float,
    ) -> Candidate | Refusal:
        """Choose an upstream that can answer in time.

        Parameters
        ----------
        wanted : PlacementRequest
        tried : collection of str
            Instances that were tried before.
        left_s : float
            Seconds until the answer is due.
        now_s : float

        Returns
        -------
        Candidate or Refusal
        """
        upstreams = [
            upstream
            for upstream in self._state.upstreams.of_service(wanted.service)
            if self._may_get_work(upstream)
        ]
        candidate = self._placement.choose(wanted, upstreams, tried, now_s)
        if candidate is None:
            return Refusal(RefusalReason.POOL_EMPTY, retry_after_s=RETRY_ROOM_MAX_S)
        if candidate.least_s > left_s:
            late_s = candidate.least_s - left_s
            hint_s = min(RETRY_ROOM_MAX_S, max(RETRY_ROOM_MIN_S, late_s))
            return Refusal(RefusalReason.POOL_BUSY, retry_after_s=hint_s)
        return candidate

    def _may_get_work(self, upstream: Upstream) -> bool:
        return (
            upstream.state is UpstreamState.READY
            and upstream.zone not in self._state.evacuated_zones
        )
