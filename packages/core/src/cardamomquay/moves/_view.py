"""What the hot path reads: shares, and the choice of a request's version."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import immutables

from cardamomquay.moves._rows import SENDING
from cardamomquay.moves._rows import MoveState

if TYPE_CHECKING:
    from cardamomquay.moves._rows import Move

# Rows are read every 0.5 s; three failed reads end a view. A take-back reaches a
# host, or its view ends, within this time of the commit.
VIEW_VALID_S = 1.5


@dataclass(frozen=True, slots=True)
class RouteShare:
    """Share of one route's move on this host.

    Parameters
    ----------
    move : Move
        The newest known row; it is the move that the configuration asks for.
    cap_percent : float
        Cap before proof, of the configuration in force on this host.
    stopped : bool
        Whether this host stopped the move by itself.
    """

    move: Move
    cap_percent: float
    stopped: bool = False


@dataclass(frozen=True, slots=True)
class MoveView:
    """Immutable shares of all moves.

    Parameters
    ----------
    shares : immutables.Map
        By route.
    valid_until_s : float
        Until when the rows count as fresh, on this host's clock.
    """

    shares: immutables.Map[str, RouteShare] = field(default_factory=immutables.Map)
    valid_until_s: float = float("-inf")

    def share_for(self, route: str, now_s: float) -> float:
        """Return the share of a route's requests for the new version.

        Without fresh rows a host cannot know of a take-back, so it sends to the
        old version, which stands until the move is completed.

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
        if share is None or share.stopped or share.move.state not in SENDING:
            return 0.0
        if share.move.state is MoveState.COMPLETED:
            return 100.0
        if now_s > self.valid_until_s:
            return 0.0
        if share.move.proved:
            return share.move.share_percent
        return min(share.move.share_percent, share.cap_percent)


class VersionPicker:
    """Chooses the version of each request by a counter; thread-safe.

    A counter of a route starts at zero and gains the share with each request, and a
    request goes to the new version when a whole one has accrued. After `n` requests
    the new version has got at most ``n * share`` of them. This sums over hosts: the
    fleet's share is at most the cap over any prefix, and in any other window each
    host adds at most one request.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._accrued: dict[str, float] = {}

    def pick_new(self, route: str, share_percent: float) -> bool:
        """Whether the next request of a route goes to the new version.

        Call it once per request; a retry keeps the version of its request.

        Parameters
        ----------
        route : str
        share_percent : float
            As `MoveView.share_for` gave it just now.

        Returns
        -------
        bool
        """
        if share_percent <= 0.0:
            return False
        with self._lock:
            accrued = self._accrued.get(route, 0.0) + share_percent / 100.0
            # Sums of binary fractions may miss a whole number by rounding.
            chosen = accrued >= 1.0 - 1e-9
            self._accrued[route] = accrued - 1.0 if chosen else accrued
        return chosen

    def retain(self, routes: set[str]) -> None:
        """Forget the routes that are not in `routes`."""
        with self._lock:
            for route in self._accrued.keys() - routes:
                del self._accrued[route]
