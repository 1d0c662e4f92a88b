"""Whether an organisation may run one more request."""

from __future__ import annotations

import threading
from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cardamomquay.clock import Clock
    from cardamomquay.config import Organisation


@dataclass(frozen=True, slots=True)
class Admitted:
    """A token was taken.

    Parameters
    ----------
    valid_until_s : float
        The request must be sent before, on the host's clock; a host that was
        suspended past this time must not send it.
    """

    valid_until_s: float


class Admission(ABC):
    """Rate and burst of organisations on one host."""

    @abstractmethod
    def admit(self, organisation: str, deadline_s: float) -> Admitted | Refusal:
        """Take one token.

        Parameters
        ----------
        organisation : str
        deadline_s : float
            Latest time until which the call may wait, on the host's clock.

        Returns
        -------
        Admitted or Refusal
        """

    @abstractmethod
    def give_back(self, organisation: str, admitted: Admitted) -> None:
        """Return the token of a request that has certainly not run."""

    def mark_sent(  # noqa: B027 - an admission that does not lend has nothing to do
        self, organisation: str, admitted: Admitted
    ) -> None:
        """Note that the request is about to be sent.

        Admissions that lend report the token as spent from here on. A second
        sending of the same request needs a token of its own.
        """


class TokenBucket:
    """A token bucket; the caller serialises access.

    Parameters
    ----------
    rate_per_s : float
    burst : float
    now_s : float
    level : float
        Tokens at the start; 0 for a bucket that takes over from another.
    """

    def __init__(
        self, rate_per_s: float, burst: float, now_s: float, level: float = 0.0
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(level, burst)
        self._filled_at_s = now_s

    def refill(self, now_s: float, cap: float | None = None) -> float:
        """Add the tokens accrued since the last call.

        Parameters
        ----------
        now_s : float
        cap : float, optional
            Largest level, `burst` by default.

        Returns
        -------
        float
            Accrued tokens for which there was no room.
        """
        limit = self.burst if cap is None else min(cap, self.burst)
        accrued = max(0.0, now_s - self._filled_at_s) * self.rate_per_s
        self._filled_at_s = max(now_s, self._filled_at_s)
        full = self.level + accrued
        self.level = min(max(limit, 0.0), full)
        return min(accrued, full - self.level)

    def take(self, now_s: float, tokens: float = 1.0) -> bool:
        """Take tokens if there are enough."""
        self.refill(now_s)
        if self.level < tokens:
            return False
        self.level -= tokens
        return True

    def change(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Apply a new rate and burst; a lower burst takes effect at once."""
        self.refill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(self.level, burst)

    def seconds_until(self, tokens: float = 1.0) -> float:
        """Seconds until `tokens` are there, from the last refill."""
        missing = tokens - self.level
        return max(0.0, missing / self.rate_per_s) if self.rate_per_s > 0 else 1.0


class StaticSplitAdmission(Admission):
    """Divides each organisation's rate and burst equally among the hosts.

    It never exceeds the sum, but refuses wrongly when callers are skewed onto few
    hosts. It is the baseline that other admissions are measured against.

    Parameters
    ----------
    clock : Clock
    """

    TOKEN_VALID_S = 1.0

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._buckets: dict[str, TokenBucket] = {}

    def apply(self, organisations: Mapping[str, Organisation], hosts: int) -> None:
        """Apply a configuration and a number of hosts."""
        now_s = self._clock.now_s()
        with self._lock:
            for name in self._buckets.keys() - organisations.keys():
                del self._buckets[name]
            for name, organisation in organisations.items():
                rate = organisation.rate_per_s / hosts
                burst = organisation.burst / hosts
                bucket = self._buckets.get(name)
                if bucket is None:
                    self._buckets[name] = TokenBucket(rate, burst, now_s)
                else:
                    bucket.change(rate, burst, now_s)

    def admit(self, organisation: str, deadline_s: float) -> Admitted | Refusal:
        now_s = self._clock.now_s()
        with self._lock:
            bucket = self._buckets.get(organisation)
            if bucket is None:
                return Refusal(RefusalReason.QUOTA_UNAVAILABLE, "no quota known")
            if bucket.take(now_s):
                return Admitted(now_s + self.TOKEN_VALID_S)
            wait_s = bucket.seconds_until()
        return Refusal(RefusalReason.LIMIT_EXCEEDED, retry_after_s=wait_s)

    def give_back(self, organisation: str, admitted: Admitted) -> None:
        with self._lock:
            bucket = self._buckets.get(organisation)
            if bucket is not None:
                bucket.level = min(bucket.burst, bucket.level + 1.0)
