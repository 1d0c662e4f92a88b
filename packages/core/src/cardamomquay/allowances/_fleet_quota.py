"""One token bucket for an organisation, simulated by every host.

Load pattern: an organisation sends several times its quota through all hosts at once,
or through one. Each host takes its own requests from its copy of the bucket at once,
and those of other hosts when they report them, so all copies agree up to what is not
reported yet. That part is estimated from the rate of the reports. Where the requests
that all hosts together will be asked to admit before the next reports exceed what is
left, each host admits only the share that fits, by chance; otherwise all of them would
spend the same tokens. A host that is not heard is assumed to spend its equal part of
the rate, so that two halves of a divided fleet together stay within it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from random import Random

# Part of the slack that is left for requests that other hosts have not reported yet.
RESERVED_SLACK_SHARE = 0.5
# Part of that which hosts may spend together before they know of each other.
MARGIN_SHARE = 0.5
# Part of a window's requests that may come at once; the rest is spread over it.
BURST_SHARE = 0.15
# Reports are due every second; a host that is silent for longer is charged its part.
REPORT_DUE_S = 1.3
# Requests wait this long for the next periodic report on average.
REPORT_WAIT_S = 0.5
# Time that a report takes where the caller does not say: the datagram's way and the
# spacing of reports.
REPORT_DELAY_S = 0.1
# Time over which rates are averaged.
RATE_MEMORY_S = 2.0
# Requests that are taken as admitted before the first one; a single refusal tells
# little of how many requests other hosts are asked for.
PRIOR = 2.0
# Unreported requests of one host after which it should report at once.
REPORT_SHARE_OF_BURST = 0.04
REPORT_MIN = 2.0


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """By how much the requests of any window may exceed the quota.

    Parameters
    ----------
    window_s : float
    overage : float
        Share of the quota's requests in a window.
    slack : float
        Requests beyond that.
    """

    window_s: float
    overage: float
    slack: float

    @property
    def margin(self) -> float:
        """Requests by which the hosts together may exceed the bucket for a moment."""
        return MARGIN_SHARE * RESERVED_SLACK_SHARE * self.slack

    def bucket(self, rate_per_s: float, burst: float) -> tuple[float, float]:
        """Return rate and size of the bucket that uses what the bounds allow.

        A quota is a promise to the organisation, and the bounds are the promise to
        its rivals; a request between the two is better served than refused.
        """
        allowed = (rate_per_s * self.window_s + burst) * (1.0 + self.overage)
        allowed += (1.0 - RESERVED_SLACK_SHARE) * self.slack
        size = max(burst, BURST_SHARE * allowed)
        return max(rate_per_s, (allowed - size) / self.window_s), size


@dataclass
class _PeerUse:
    total: int
    charged_s: float


class _Rate:
    """Requests a second, averaged over `RATE_MEMORY_S`."""

    def __init__(self) -> None:
        self._count = 0.0
        self._at_s = 0.0

    def add(self, count: float, now_s: float) -> None:
        self._count = self.count(now_s) + count
        self._at_s = max(self._at_s, now_s)

    def count(self, now_s: float) -> float:
        elapsed_s = max(0.0, now_s - self._at_s)
        return self._count * math.exp(-elapsed_s / RATE_MEMORY_S)

    def per_s(self, now_s: float) -> float:
        return self.count(now_s) / RATE_MEMORY_S


class HeardHosts:
    """When each other host last reported; shared by all quotas of one host."""

    def __init__(self) -> None:
        self._heard_s: dict[str, float] = {}
        self._complete: set[str] = set()

    def __contains__(self, host: str) -> bool:
        return host in self._heard_s

    def is_complete(self, host: str) -> bool:
        """Whether a host has told all of its totals since it was first heard."""
        return host in self._complete

    def note(self, host: str, now_s: float, *, is_complete: bool = True) -> None:
        """Remember that a host has reported, with all of its totals or some."""
        self._heard_s[host] = now_s
        if is_complete:
            self._complete.add(host)

    def forget(self, host: str) -> None:
        """Forget a host; its totals start anew when it is heard again."""
        self._heard_s.pop(host, None)
        self._complete.discard(host)

    def heard_s(self, host: str) -> float:
        """Return when a host last reported; minus infinity if it never did."""
        return self._heard_s.get(host, -math.inf)


@dataclass
class FleetQuota:
    """Requests that one organisation may run.

    Parameters
    ----------
    rate_per_s, burst : float
        Over all hosts.
    now_s : float
        The bucket starts empty, since other hosts, or this one before a restart, may
        have spent the burst a moment ago.
    margin : float
        See `QuotaBounds`.
    heard : HeardHosts
    chance : Random
    """

    rate_per_s: float
    burst: float
    now_s: float
    margin: float = 0.0
    heard: HeardHosts = field(default_factory=HeardHosts)
    chance: Random = field(default_factory=Random)
    admitted: int = 0
    _level: float = 0.0
    _reported: int = 0
    _peers: dict[str, _PeerUse] = field(default_factory=dict)
    _asked: _Rate = field(default_factory=_Rate)
    _own: _Rate = field(default_factory=_Rate)
    _others: _Rate = field(default_factory=_Rate)

    def fill(self) -> None:
        """Start with the whole burst: nobody can have spent any of it yet."""
        self._level = self.burst

    def set_limit(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change the limit; a lower burst takes effect at once."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = min(self._level, burst)

    def admit(
        self, now_s: float, hosts: int, report_delay_s: float = REPORT_DELAY_S
    ) -> bool:
        """Take a request from the bucket if there is room.

        Parameters
        ----------
        now_s : float
        hosts : int
            Hosts that share the limit, this one included.
        report_delay_s : float
            Time that the reports of other hosts take.

        Returns
        -------
        bool
        """
        self._refill(now_s)
        self._charge_silent(now_s, hosts)
        self._asked.add(1.0, now_s)
        if self._level < 1.0 or self.chance.random() >= self._part(
            now_s, hosts, report_delay_s
        ):
            return False
        self._level -= 1.0
        self.admitted += 1
        self._own.add(1.0, now_s)
        return True

    def _part(self, now_s: float, hosts: int, delay_s: float) -> float:
        """Return which part of the requests fits; above 1 if there is room for all."""
        others_per_s = self._others.per_s(now_s)
        spent = self._unreported(others_per_s, hosts, delay_s)
        left = self._level - spent + self.margin
        # Other hosts are asked for as many requests for each admitted one as this one.
        asked, own = self._asked.count(now_s), self._own.count(now_s)
        pressure = max(1.0, (asked + PRIOR) / (own + PRIOR))
        wanted = self._unreported(others_per_s * pressure, hosts, delay_s)
        return left / wanted if wanted > 0.0 else math.inf

    def _unreported(self, per_s: float, hosts: int, delay_s: float) -> float:
        """Return the requests of other hosts that their reports do not include yet."""
        at_most = (hosts - 1) * self._report_limit / 2
        return per_s * delay_s + min(per_s * REPORT_WAIT_S, at_most)

    def retry_after_s(self) -> float:
        """Return after how long there is room again, in seconds."""
        return max(0.0, 1.0 - self._level) / max(self.rate_per_s, 1e-9)

    def note_peer(self, host: str, total: int, now_s: float) -> None:
        """Take requests that another host has reported, as a running total.

        A host that has told all of its totals before, and not this one, had none.
        """
        is_known = self.heard.is_complete(host)
        self.heard.note(host, now_s, is_complete=is_known)
        use = self._peers.get(host)
        if use is not None and use.total == total:
            # Totals are told again while they are the latest.
            use.charged_s = now_s
            return
        self._refill(now_s)
        if use is None:
            # Nothing tells how much of the first total of a new host is recent.
            before = 0 if is_known else total
            use = self._peers[host] = _PeerUse(before, now_s)
        # A total that went down is that of a host that has restarted.
        spent = total - use.total if total >= use.total else total
        self._level -= spent
        self._others.add(spent, now_s)
        use.total = total
        use.charged_s = now_s

    def note_peer_restart(self, host: str) -> None:
        """Count the totals of a host from nothing again."""
        use = self._peers.get(host)
        if use is not None:
            use.total = 0

    def forget_peer(self, host: str) -> None:
        """Stop charging a host that is gone for good."""
        self._peers.pop(host, None)

    @property
    def is_report_due(self) -> bool:
        """Whether other hosts should hear of the latest requests at once."""
        return self.admitted - self._reported >= self._report_limit

    @property
    def _report_limit(self) -> float:
        return max(REPORT_MIN, REPORT_SHARE_OF_BURST * self.burst)

    def note_reported(self) -> None:
        """Remember that the running total was reported."""
        self._reported = self.admitted

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.now_s)
        self.now_s = max(self.now_s, now_s)
        self._level = min(self.burst, self._level + elapsed_s * self.rate_per_s)

    def _charge_silent(self, now_s: float, hosts: int) -> None:
        part_per_s = self.rate_per_s / max(1, hosts)
        for host, use in self._peers.items():
            heard_s = self.heard.heard_s(host)
            since_s = max(use.charged_s, heard_s + REPORT_DUE_S)
            if now_s > since_s:
                self._level -= (now_s - since_s) * part_per_s
                use.charged_s = now_s
