"""Rate limits that upstreams name in their answers, kept by all hosts together.

Load pattern: an upstream in trouble names a limit of a few requests a second, and
dozens of hosts each have some requests for it. An equal share of such a limit is too
small to be of use, so only a few hosts, chosen by rendezvous hashing for each upstream,
use the upstream, and each of them at an equal part of the limit. Hosts report the
limits to each other, since most hosts get no answers from the upstream any more.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from cardamomquay.placement import rendezvous_hash

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

# Each host that uses an upstream may send one request at once if it has sent none for a
# while, so their number bounds a burst of all hosts: a few requests and those of this
# time at the limit.
BURST_REQUESTS = 4
BURST_S = 2.0
# Part of its share that a host uses while it stands in for one that is silent, which
# may still be sending requests at its own share.
STAND_IN_SHARE = 0.5
# Lower limits count as this much: without answers no host would notice their end.
LIMIT_MIN_PER_S = 0.2
# A limit that no answer has confirmed for this long is dropped.
LIMIT_TIMEOUT_S = 15.0
# Changes are reported for this long, so that two lost reports do no harm. Limits that
# last are reported again in this period.
REPORT_REPEAT_S = 2.2
REPORT_RENEWAL_PERIOD_S = 4.0
# A report is often this old when it arrives. Observations in reports count as at least
# that much older, so that they do not replace later ones of this host, and do not grow
# younger when hosts pass them on.
REPORT_DELAY_MAX_S = 0.3
# Time for which the division of a limit is reused. Ranking hundreds of hosts for each
# upstream and request would take longer than the rest of a choice.
SHARE_PERIOD_S = 0.5


@dataclass(frozen=True, slots=True)
class RateLimitObservation:
    """What an answer of an upstream says about its rate limit.

    Parameters
    ----------
    instance : str
    per_s : float or None
        Requests a second from all hosts together; None if the answer names no limit.
    observed_s : float
        Time of the answer.
    """

    instance: str
    per_s: float | None
    observed_s: float


@dataclass(frozen=True, slots=True)
class SharingHost:
    """A host that may use a part of an upstream's limit.

    Parameters
    ----------
    name : str
    region : str
        Hosts in the upstream's region use the upstream first.
    is_live : bool
        Whether it has reported recently.
    """

    name: str
    region: str
    is_live: bool


@dataclass(slots=True)
class _LimitedUpstream:
    """State of one upstream that names a limit, or did so recently.

    Parameters
    ----------
    latest : RateLimitObservation
    changed_s : float
        Time at which the limit changed.
    renewed_s : float
        Time from which the limit was last reported to other hosts.
    tokens : float
        Requests that this host may send now; at most 1.
    refilled_s : float
    share_per_s : float
        Part of the limit that this host may use.
    shared_s : float
        Time at which `share_per_s` was determined.
    """

    latest: RateLimitObservation
    changed_s: float
    renewed_s: float
    tokens: float
    refilled_s: float
    share_per_s: float = 0.0
    shared_s: float = -math.inf


class UpstreamRateLimits:
    """Rate limits of upstreams as known to one host, and its use of them.

    Parameters
    ----------
    host : str
        Name of this host.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._known: dict[str, _LimitedUpstream] = {}

    def __contains__(self, instance: str) -> bool:
        """Whether an upstream names a limit, or did so recently."""
        return instance in self._known

    def __len__(self) -> int:
        return len(self._known)

    def limit_per_s(self, instance: str) -> float | None:
        """Return an upstream's rate limit in requests a second; None without one."""
        known = self._known.get(instance)
        return known.latest.per_s if known else None

    def record_answer(self, instance: str, per_s: float | None, now_s: float) -> bool:
        """Record the limit of an answer, and return whether it differs from before.

        Parameters
        ----------
        instance : str
        per_s : float or None
            None if the answer names no limit.
        now_s : float

        Returns
        -------
        bool
        """
        if per_s is None and instance not in self._known:
            return False
        return self._apply(RateLimitObservation(instance, per_s, now_s), now_s)

    def apply_report(
        self,
        reported: RateLimitObservation,
        now_s: float,
        delay_max_s: float = REPORT_DELAY_MAX_S,
    ) -> bool:
        """Apply what another host has reported, and return whether it is a change.

        Parameters
        ----------
        reported : RateLimitObservation
            With the time of the answer as estimated without the delay of the report.
        now_s : float
        delay_max_s : float
            Upper bound of that delay, if it is known to be longer than usual.

        Returns
        -------
        bool
        """
        delay_s = max(REPORT_DELAY_MAX_S, delay_max_s)
        observed_s = min(reported.observed_s, now_s) - delay_s
        known = self._known.get(reported.instance)
        if known is None and reported.per_s is None:
            return False
        if known is not None and observed_s <= known.latest.observed_s:
            return False
        if now_s - observed_s >= LIMIT_TIMEOUT_S:
            return False
        return self._apply(replace(reported, observed_s=observed_s), now_s)

    def _apply(self, observation: RateLimitObservation, now_s: float) -> bool:
        known = self._known.get(observation.instance)
        if known is None:
            self._known[observation.instance] = _LimitedUpstream(
                observation, now_s, now_s, 0.0, now_s
            )
            return True
        has_changed = known.latest.per_s != observation.per_s
        if has_changed:
            if known.latest.per_s is None:
                known.tokens, known.refilled_s = 0.0, now_s
            known.changed_s = now_s
            known.shared_s = -math.inf
        elif now_s - known.renewed_s >= REPORT_RENEWAL_PERIOD_S:
            known.renewed_s = now_s
        known.latest = observation
        return has_changed

    def wait_s(
        self,
        instance: str,
        region: str | None,
        hosts: Callable[[], Sequence[SharingHost]],
        now_s: float,
    ) -> float:
        """Return the time until this host may send a request to an upstream.

        Parameters
        ----------
        instance : str
        region : str or None
            Region of the upstream.
        hosts : callable
            Returns the hosts among which the limit is divided. A limit is left to the
            others if this host is not one of them.
        now_s : float

        Returns
        -------
        float
            In seconds; infinity while the limit is left to other hosts.
        """
        known = self._known.get(instance)
        if known is None:
            return 0.0
        if now_s - known.latest.observed_s >= LIMIT_TIMEOUT_S:
            del self._known[instance]
            return 0.0
        if known.latest.per_s is None:
            return 0.0
        if not known.shared_s <= now_s < known.shared_s + SHARE_PERIOD_S:
            limit_per_s = max(LIMIT_MIN_PER_S, known.latest.per_s)
            known.share_per_s = self._share_per_s(
                instance, region, limit_per_s, hosts()
            )
            known.shared_s = now_s
        elapsed_s = max(0.0, now_s - known.refilled_s)
        known.tokens = min(1.0, known.tokens + elapsed_s * known.share_per_s)
        known.refilled_s = now_s
        if known.tokens >= 1.0:
            return 0.0
        if known.share_per_s <= 0.0:
            return math.inf
        return (1.0 - known.tokens) / known.share_per_s

    def _share_per_s(
        self,
        instance: str,
        region: str | None,
        limit_per_s: float,
        hosts: Sequence[SharingHost],
    ) -> float:
        """Return the part of a limit that this host may use."""

        def rank(host: SharingHost) -> tuple[bool, int]:
            return host.region == region, rendezvous_hash(instance, host.name)

        own = next((host for host in hosts if host.name == self._host), None)
        if own is None:
            return 0.0
        users = min(len(hosts), int(BURST_REQUESTS + BURST_S * limit_per_s))
        own_rank = rank(own)
        higher = live_higher = 0
        for host in hosts:
            if rank(host) > own_rank:
                higher += 1
                live_higher += host.is_live
                if live_higher == users:
                    return 0.0
        share_per_s = limit_per_s / users
        return share_per_s if higher < users else STAND_IN_SHARE * share_per_s

    def record_sent(self, instance: str) -> None:
        """Record that this host sends a request to an upstream."""
        known = self._known.get(instance)
        if known is not None:
            known.tokens -= 1.0

    def due_for_report(self, now_s: float) -> list[RateLimitObservation]:
        """Return the observations that other hosts should be sent now."""
        return [
            known.latest
            for known in self._known.values()
            if now_s - max(known.changed_s, known.renewed_s) <= REPORT_REPEAT_S
        ]

    def clear_upstream(self, instance: str) -> None:
        """Remove an upstream that no longer exists or has restarted."""
        self._known.pop(instance, None)
