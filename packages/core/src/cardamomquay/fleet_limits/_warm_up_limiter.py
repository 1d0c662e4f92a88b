"""Rate limit for requests to cold upstreams.

After a fault, upstreams may return together with empty caches, and every host would
send them its waiting requests within the same second. Only a few hosts, chosen by
rendezvous hashing for each upstream, may use a cold upstream, and each of them at a low
rate. This keeps the total within the limit without communication.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.placement import rendezvous_hash

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

# Largest number of hosts that may use one cold upstream.
HOSTS_MAX = 8
# Time in which a host sends its requests of a second, since some of them take less time
# on the way than others.
SPACED_SECOND_S = 1.05
# Share of the tolerated rate that is used: hosts notice membership changes at different
# times, and one more host may then send requests.
USED_SHARE = 0.6
# Time for which the choice of the hosts of an upstream is reused. Ranking hundreds of
# hosts for each cold upstream and request would take longer than the rest of a choice.
CHOICE_PERIOD_S = 0.5


@dataclass(frozen=True, slots=True)
class WarmUpLimit:
    """Rate limit of a cold upstream for all hosts together.

    Parameters
    ----------
    per_s : float
    tolerated_factor : float
        Tolerated rate as a multiple of `per_s`: 1.5 tolerates 50% more.
    slack : float
        Requests tolerated in any second in addition to that rate.
    """

    per_s: float
    tolerated_factor: float
    slack: float

    @property
    def _used_per_s(self) -> float:
        return USED_SHARE * (self.per_s * self.tolerated_factor + self.slack)

    @property
    def hosts(self) -> int:
        """Number of hosts that may use the upstream, as many as get a request each."""
        return min(HOSTS_MAX, max(1, math.floor(self._used_per_s)))

    @property
    def interval_s(self) -> float:
        """Time between two requests of one host, in seconds."""
        return SPACED_SECOND_S / max(1, math.floor(self._used_per_s / self.hosts))


class WarmUpLimiter:
    """Limits the requests of one host to cold upstreams.

    Parameters
    ----------
    host : str
        Name of this host.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._next_send_s: dict[str, float] = {}
        # Whether this host may use the upstream, and when that was determined.
        self._is_chosen: dict[str, tuple[bool, float]] = {}

    def may_send(
        self,
        instance: str,
        limit: WarmUpLimit,
        live_peers: Callable[[], Collection[str]],
        now_s: float,
    ) -> bool:
        """Return whether this host may send a request to a cold upstream now.

        Parameters
        ----------
        instance : str
        limit : WarmUpLimit
        live_peers : callable
            Returns the names of the other live hosts.
        now_s : float

        Returns
        -------
        bool
        """
        if now_s < self._next_send_s.get(instance, 0.0):
            return False
        is_chosen, chosen_s = self._is_chosen.get(instance, (False, -math.inf))
        if not chosen_s <= now_s < chosen_s + CHOICE_PERIOD_S:
            is_chosen = self._ranks_among_first(instance, limit.hosts, live_peers())
            self._is_chosen[instance] = (is_chosen, now_s)
        return is_chosen

    def _ranks_among_first(
        self, instance: str, count: int, live_peers: Collection[str]
    ) -> bool:
        own = rendezvous_hash(instance, self._host)
        higher_ranked = 0
        for host in live_peers:
            higher_ranked += rendezvous_hash(instance, host) > own
            if higher_ranked == count:
                return False
        return True

    def record_sent(self, instance: str, limit: WarmUpLimit, now_s: float) -> None:
        """Record a request to a cold upstream."""
        self._next_send_s[instance] = now_s + limit.interval_s

    def clear_upstream(self, instance: str) -> None:
        """Remove an upstream that no longer exists."""
        self._next_send_s.pop(instance, None)
        self._is_chosen.pop(instance, None)
