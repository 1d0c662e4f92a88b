"""Distributed token bucket of an organisation, with a copy on every host.

An organisation may send several times its quota through all hosts at once, or through
one. Each host takes its own requests from its copy of the bucket immediately, and those
of other hosts when they report them, so all copies agree except for unreported
requests. These are estimated from the rate of the reports. If the requests expected at
all hosts before the next reports exceed the remaining tokens, each host admits only the
share that fits, chosen at random; otherwise all hosts would spend the same tokens. A
host that sends no reports is assumed to spend an equal share of the rate, so that both
sides of a network partition together stay within the quota.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from random import Random

# Share of `QuotaBounds.slack` that is reserved for requests not yet reported by other
# hosts.
RESERVED_SLACK_SHARE = 0.5
# Share of the reserved slack that all hosts together may spend beyond the bucket before
# they have received each other's reports.
MARGIN_SHARE = 0.5
# Share of a window's requests that may arrive in one burst; the rest is spread over the
# window.
BURST_WINDOW_SHARE = 0.15
# Reports are due every second. A host that sends none for this long is charged an equal
# share of the rate.
REPORT_OVERDUE_S = 1.3
# Mean time between a request and the next periodic report.
MEAN_REPORT_WAIT_S = 0.5
# Default delay of reports: transmission of the datagram and spacing between reports.
DEFAULT_REPORT_DELAY_S = 0.1
# Time constant of exponentially decaying rates.
RATE_DECAY_S = 2.0
# Number of requests, all of them admitted, that are assumed in addition to the counted
# ones, since a single refusal says little about the demand at other hosts.
PRIOR_REQUESTS = 2.0
# Number of unreported requests after which a host should report at once, as a share of
# the burst and as a minimum.
UNREPORTED_BURST_SHARE = 0.04
UNREPORTED_MIN = 2.0


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """Tolerance by which the requests of any window may exceed the quota.

    Parameters
    ----------
    window_s : float
    overage : float
        Tolerated excess as a share of the quota's requests in a window.
    slack : float
        Further tolerated requests in a window.
    """

    window_s: float
    overage: float
    slack: float

    @property
    def margin(self) -> float:
        """Requests by which all hosts together may briefly exceed the bucket."""
        return MARGIN_SHARE * RESERVED_SLACK_SHARE * self.slack

    def bucket(self, rate_per_s: float, burst: float) -> tuple[float, float]:
        """Return rate and size of the largest bucket within the bounds.

        The quota is guaranteed to the organisation, and the bounds protect other
        organisations; a request between the two is served rather than refused.
        """
        allowed = (rate_per_s * self.window_s + burst) * (1.0 + self.overage)
        allowed += (1.0 - RESERVED_SLACK_SHARE) * self.slack
        size = max(burst, BURST_WINDOW_SHARE * allowed)
        return max(rate_per_s, (allowed - size) / self.window_s), size


@dataclass
class _PeerUsage:
    """Running total of another host, and the time up to which it was charged."""

    total: int
    charged_until_s: float


class _DecayingRate:
    """Request count with exponential decay over `RATE_DECAY_S`."""

    def __init__(self) -> None:
        self._count = 0.0
        self._updated_s = 0.0

    def add(self, count: float, now_s: float) -> None:
        self._count = self.count(now_s) + count
        self._updated_s = max(self._updated_s, now_s)

    def count(self, now_s: float) -> float:
        elapsed_s = max(0.0, now_s - self._updated_s)
        return self._count * math.exp(-elapsed_s / RATE_DECAY_S)

    def per_s(self, now_s: float) -> float:
        return self.count(now_s) / RATE_DECAY_S


class HostReportTimes:
    """Times of the latest reports from other hosts; shared by all quotas of a host."""

    def __init__(self) -> None:
        self._last_report_s: dict[str, float] = {}
        self._sent_all_totals: set[str] = set()

    def __contains__(self, host: str) -> bool:
        return host in self._last_report_s

    def has_all_totals(self, host: str) -> bool:
        """Whether a full list of a host's totals has arrived since it became known."""
        return host in self._sent_all_totals

    def apply_report(
        self, host: str, now_s: float, *, has_all_totals: bool = True
    ) -> None:
        """Record the time of a host's report, and whether it had all of its totals."""
        self._last_report_s[host] = now_s
        if has_all_totals:
            self._sent_all_totals.add(host)

    def clear_host(self, host: str) -> None:
        """Remove a host; its totals start again with its next report."""
        self._last_report_s.pop(host, None)
        self._sent_all_totals.discard(host)

    def last_report_s(self, host: str) -> float:
        """Return the time of a host's latest report; minus infinity without one."""
        return self._last_report_s.get(host, -math.inf)


@dataclass
class FleetQuota:
    """Token bucket of one organisation, shared by all hosts.

    Parameters
    ----------
    rate_per_s, burst : float
        Rate and size of the bucket, for all hosts together.
    refilled_s : float
        Time of creation, then of the latest refill. The bucket starts empty, since
        other hosts, or this one before a restart, may have spent the burst just before.
    margin : float
        Requests by which the bucket may be exceeded; see `QuotaBounds`.
    report_times : HostReportTimes
        Times of the latest reports of other hosts.
    rng : Random
        Chooses which requests to admit while only a share of them fits.
    admitted : int
        Running total of the requests that this host has admitted.
    """

    rate_per_s: float
    burst: float
    refilled_s: float
    margin: float = 0.0
    report_times: HostReportTimes = field(default_factory=HostReportTimes)
    rng: Random = field(default_factory=Random)
    admitted: int = 0
    _level: float = 0.0
    _reported_total: int = 0
    _peers: dict[str, _PeerUsage] = field(default_factory=dict)
    _offered_rate: _DecayingRate = field(default_factory=_DecayingRate)
    _admitted_rate: _DecayingRate = field(default_factory=_DecayingRate)
    _peer_rate: _DecayingRate = field(default_factory=_DecayingRate)

    def fill(self) -> None:
        """Fill the bucket of a new organisation, which cannot have spent tokens yet."""
        self._level = self.burst

    def set_limit(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change the limit; a lower burst takes effect at once."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = min(self._level, burst)

    def admit(
        self, now_s: float, hosts: int, report_delay_s: float = DEFAULT_REPORT_DELAY_S
    ) -> bool:
        """Return whether to admit a request, and take a token for it if so.

        Parameters
        ----------
        now_s : float
        hosts : int
            Number of hosts that share the quota, this one included.
        report_delay_s : float
            Delay of the reports of other hosts.

        Returns
        -------
        bool
        """
        self._refill(now_s)
        self._charge_silent_peers(now_s, hosts)
        self._offered_rate.add(1.0, now_s)
        if self._level < 1.0 or self.rng.random() >= self._admitted_share(
            now_s, hosts, report_delay_s
        ):
            return False
        self._level -= 1.0
        self.admitted += 1
        self._admitted_rate.add(1.0, now_s)
        return True

    def _admitted_share(self, now_s: float, hosts: int, delay_s: float) -> float:
        """Return the share of requests to admit; above 1 if all fit."""
        others_per_s = self._peer_rate.per_s(now_s)
        unreported = self._expected_unreported(others_per_s, hosts, delay_s)
        available = self._level - unreported + self.margin
        # Assumes the same ratio of offered to admitted requests at other hosts.
        offered_count, admitted_count = (
            self._offered_rate.count(now_s),
            self._admitted_rate.count(now_s),
        )
        demand_ratio = max(
            1.0, (offered_count + PRIOR_REQUESTS) / (admitted_count + PRIOR_REQUESTS)
        )
        demand = self._expected_unreported(others_per_s * demand_ratio, hosts, delay_s)
        return available / demand if demand > 0.0 else math.inf

    def _expected_unreported(self, per_s: float, hosts: int, delay_s: float) -> float:
        """Return the estimated number of requests not yet reported by other hosts."""
        # A host with `_unreported_max` unreported requests reports at once, so that it
        # has at most half as many on average.
        waiting_max = (hosts - 1) * self._unreported_max / 2
        return per_s * delay_s + min(per_s * MEAN_REPORT_WAIT_S, waiting_max)

    def retry_after_s(self) -> float:
        """Return the time until a token is available, in seconds."""
        return max(0.0, 1.0 - self._level) / max(self.rate_per_s, 1e-9)

    def apply_peer_total(self, host: str, total: int, now_s: float) -> None:
        """Charge the requests that another host has reported as a running total.

        If the host has sent all of its totals before, but not this one, the earlier
        total was 0.
        """
        is_known = self.report_times.has_all_totals(host)
        self.report_times.apply_report(host, now_s, has_all_totals=is_known)
        usage = self._peers.get(host)
        if usage is not None and usage.total == total:
            # Reports repeat recent totals in case a datagram is lost.
            usage.charged_until_s = now_s
            return
        self._refill(now_s)
        if usage is None:
            # It is unknown how much of the first total of a new host is recent, so none
            # of it is charged.
            before = 0 if is_known else total
            usage = self._peers[host] = _PeerUsage(before, now_s)
        # A lower total than before means that the host has restarted.
        spent = total - usage.total if total >= usage.total else total
        self._level -= spent
        self._peer_rate.add(spent, now_s)
        usage.total = total
        usage.charged_until_s = now_s

    def reset_peer_total(self, host: str) -> None:
        """Count the total of a restarted host from 0."""
        usage = self._peers.get(host)
        if usage is not None:
            usage.total = 0

    def clear_peer(self, host: str) -> None:
        """Stop charging a host that was removed."""
        self._peers.pop(host, None)

    @property
    def is_report_due(self) -> bool:
        """Whether the latest requests should be reported at once."""
        return self.admitted - self._reported_total >= self._unreported_max

    @property
    def _unreported_max(self) -> float:
        return max(UNREPORTED_MIN, UNREPORTED_BURST_SHARE * self.burst)

    def record_own_report(self) -> None:
        """Record that the running total was reported."""
        self._reported_total = self.admitted

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.refilled_s)
        self.refilled_s = max(self.refilled_s, now_s)
        self._level = min(self.burst, self._level + elapsed_s * self.rate_per_s)

    def _charge_silent_peers(self, now_s: float, hosts: int) -> None:
        equal_share_per_s = self.rate_per_s / max(1, hosts)
        for host, usage in self._peers.items():
            last_report_s = self.report_times.last_report_s(host)
            since_s = max(usage.charged_until_s, last_report_s + REPORT_OVERDUE_S)
            if now_s > since_s:
                self._level -= (now_s - since_s) * equal_share_per_s
                usage.charged_until_s = now_s
