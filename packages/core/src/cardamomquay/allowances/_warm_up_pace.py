"""Pace of requests to upstreams that are cold.

Load pattern: upstreams come back together after a fault, empty and slow, and every
host sends them its waiting requests in the same second. Few hosts, chosen by rank for
each upstream, may use a cold one, and each of them at a low rate, so the sum holds
without any exchange.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.placement import rank_of

if TYPE_CHECKING:
    from collections.abc import Collection

# Hosts that may use one cold upstream.
HOSTS_PER_UPSTREAM = 3
# Part of the tolerated rate that is used; hosts see each other come and go at
# different moments, and then one more host may take part.
USED_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class WarmUpRate:
    """Rate that a cold upstream tolerates from all hosts together.

    Parameters
    ----------
    per_s : float
    overage : float
        Factor by which `per_s` may be exceeded.
    slack : float
        Requests beyond that in any second.
    """

    per_s: float
    overage: float
    slack: float

    def of_host(self) -> float:
        """Return one host's requests a second beside the first one."""
        total = self.per_s * self.overage + self.slack
        return max(0.0, USED_SHARE * total / HOSTS_PER_UPSTREAM - 1.0)


class WarmUpPace:
    """Requests of one host to cold upstreams.

    Parameters
    ----------
    host : str
        Name of this host.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._next_s: dict[str, float] = {}

    def may_send(
        self, instance: str, live_hosts: Collection[str], now_s: float
    ) -> bool:
        """Tell whether this host may send a request to a cold upstream now.

        Parameters
        ----------
        instance : str
        live_hosts : collection of str
            Names of the other hosts that are heard.
        now_s : float

        Returns
        -------
        bool
        """
        if now_s < self._next_s.get(instance, 0.0):
            return False
        own = rank_of(instance, self._host)
        before = 0
        for host in live_hosts:
            before += rank_of(instance, host) > own
            if before == HOSTS_PER_UPSTREAM:
                return False
        return True

    def note_sent(self, instance: str, rate: WarmUpRate, now_s: float) -> None:
        """Count a request to a cold upstream."""
        per_s = rate.of_host()
        self._next_s[instance] = now_s + (1.0 / per_s if per_s > 0.0 else 1.0)

    def forget(self, instance: str) -> None:
        """Forget an upstream that is gone."""
        self._next_s.pop(instance, None)
