"""One token bucket for an organisation, simulated by every host.

Load pattern: an organisation sends several times its quota through all hosts at once,
or through one. Each host takes its own requests from its copy of the bucket at once,
and those of other hosts when they report them, so all copies agree up to what is not
reported yet. A host that is not heard is assumed to spend its equal part of the rate,
so that two halves of a divided fleet together stay within it.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# Part of the slack that is left for requests that other hosts have not reported yet.
RESERVED_SLACK_SHARE = 0.5
# Part of a window's requests that may come at once; the rest is spread over it.
BURST_SHARE = 0.15
# Reports are due every second; a host that is silent for longer is charged its part.
REPORT_DUE_S = 1.3
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
    heard_s: float
    charged_s: float


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
    """

    rate_per_s: float
    burst: float
    now_s: float
    admitted: int = 0
    _level: float = 0.0
    _reported: int = 0
    _peers: dict[str, _PeerUse] = field(default_factory=dict)

    def set_limit(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change the limit; a lower burst takes effect at once."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = min(self._level, burst)

    def admit(self, now_s: float, hosts: int) -> bool:
        """Take a request from the bucket if there is room.

        Parameters
        ----------
        now_s : float
        hosts : int
            Hosts that share the limit, this one included.

        Returns
        -------
        bool
        """
        self._refill(now_s)
        self._charge_silent(now_s, hosts)
        # Hosts under the same load have as many requests unreported as this one, and
        # each of them sees the tokens that are refilled meanwhile.
        unreported = (hosts - 1) * (self.admitted - self._reported)
        if self._level - unreported < 1.0:
            return False
        self._level -= 1.0
        self.admitted += 1
        return True

    def retry_after_s(self) -> float:
        """Return after how long there is room again, in seconds."""
        return max(0.0, 1.0 - self._level) / max(self.rate_per_s, 1e-9)

    def note_peer(self, host: str, total: int, now_s: float) -> None:
        """Take requests that another host has reported, as a running total."""
        self._refill(now_s)
        use = self._peers.get(host)
        if use is None:
            # Nothing tells how much of the first total is recent.
            self._peers[host] = _PeerUse(total, now_s, now_s)
            return
        # A total that went down is that of a host that has restarted.
        self._level -= total - use.total if total >= use.total else total
        use.total = total
        use.heard_s = now_s
        use.charged_s = now_s

    def forget_peer(self, host: str) -> None:
        """Stop charging a host that is gone for good."""
        self._peers.pop(host, None)

    @property
    def is_report_due(self) -> bool:
        """Whether other hosts should hear of the latest requests at once."""
        limit = max(REPORT_MIN, REPORT_SHARE_OF_BURST * self.burst)
        return self.admitted - self._reported >= limit

    def note_reported(self) -> None:
        """Remember that the running total was reported."""
        self._reported = self.admitted

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.now_s)
        self.now_s = max(self.now_s, now_s)
        self._level = min(self.burst, self._level + elapsed_s * self.rate_per_s)

    def _charge_silent(self, now_s: float, hosts: int) -> None:
        part_per_s = self.rate_per_s / max(1, hosts)
        for use in self._peers.values():
            since_s = max(use.charged_s, use.heard_s + REPORT_DUE_S)
            if now_s > since_s:
                self._level -= (now_s - since_s) * part_per_s
                use.charged_s = now_s
