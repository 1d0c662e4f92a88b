"""Chooses the version of each request by the share of its route's move."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import immutables

from cardamomquay.moves._rows import SENDING_STATES
from cardamomquay.moves._rows import MoveState

if TYPE_CHECKING:
    from cardamomquay.moves._rows import Move

# Rows are read every 0.5 s, so a view expires after three failed reads. Within this
# time after the commit of a take-back, each host has seen it or its view has expired.
# The share of a completed move does not expire.
VIEW_VALID_S = 1.5


@dataclass(frozen=True, slots=True)
class RouteShare:
    """What determines the share of one route's move on this host.

    Parameters
    ----------
    move : Move
        The newest known row of the move that the configuration asks for.
    cap_percent : float
        Largest share before the new version is proved good, from the configuration in
        force on this host.
    stopped : bool
        Whether this host stopped the move without the controller.
    """

    move: Move
    cap_percent: float
    stopped: bool = False


@dataclass(frozen=True, slots=True)
class MoveView:
    """Shares of all moves, as an immutable snapshot.

    Parameters
    ----------
    shares : immutables.Map
        By route.
    valid_until_s : float
        Time until which the rows are fresh enough, on this host's clock.
    """

    shares: immutables.Map[str, RouteShare] = field(default_factory=immutables.Map)
    valid_until_s: float = float("-inf")

    def share_for(self, route: str, now_s: float) -> float:
        """Return the share of a route's requests that go to the new version.

        Without fresh rows a host may have missed a take-back, so it sends all requests
        to the old version, which keeps running until the move is completed.

        Parameters
        ----------
        route : str
        now_s : float

        Returns
        -------
        float
            Percent, 0 to 100.
        """
        share = self.shares.get(route)
        if share is None or share.stopped or share.move.state not in SENDING_STATES:
            return 0.0
        if share.move.state is MoveState.COMPLETED:
            return 100.0
        if now_s > self.valid_until_s:
            return 0.0
        if share.move.proved:
            return share.move.share_percent
        return min(share.move.share_percent, share.cap_percent)


class VersionPicker:
    """Chooses the version of each request by an accumulator per route; thread-safe.

    The accumulator starts at zero and grows by the share with each request. When it
    reaches one, the request goes to the new version and one is subtracted. After `n`
    requests at most ``n * share`` have gone to the new version, on each host and so
    over all hosts. In a window that starts later, each host may exceed this bound by at
    most one request.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._accrued: dict[str, float] = {}

    def pick_new(self, route: str, share_percent: float) -> bool:
        """Return whether the next request of a route goes to the new version.

        Call it once per request; retries keep the version of the first attempt.

        Parameters
        ----------
        route : str
        share_percent : float
            Current result of `MoveView.share_for`.

        Returns
        -------
        bool
        """
        if share_percent <= 0.0:
            return False
        with self._lock:
            accrued = self._accrued.get(route, 0.0) + share_percent / 100.0
            # Tolerates rounding errors in the sum of shares.
            chosen = accrued >= 1.0 - 1e-9
            self._accrued[route] = accrued - 1.0 if chosen else accrued
        return chosen

    def retain(self, routes: set[str]) -> None:
        """Forget the routes that are not in `routes`."""
        with self._lock:
            for route in self._accrued.keys() - routes:
                del self._accrued[route]
