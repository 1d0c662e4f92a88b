"""Rate limiting of requests by organisation."""

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
    """An admitted request, for which one token has been taken.

    Parameters
    ----------
    valid_until_s : float
        Time on the host's clock before which the request must be sent. A host that
        was suspended past this time must not send it.
    """

    valid_until_s: float


class Admission(ABC):
    """Enforces the rate and burst limits of organisations on one host."""

    @abstractmethod
    def admit(self, organisation: str, deadline_s: float) -> Admitted | Refusal:
        """Take one token of an organisation.

        Parameters
        ----------
        organisation : str
        deadline_s : float
            Time on the host's clock until which the call may wait.

        Returns
        -------
        Admitted or Refusal
        """

    @abstractmethod
    def return_token(self, organisation: str, admitted: Admitted) -> None:
        """Return the token of a request that is known not to have run."""

    def mark_sent(  # noqa: B027 - only subclasses that borrow tokens override this
        self, organisation: str, admitted: Admitted
    ) -> None:
        """Record that the request is about to be sent.

        Subclasses that borrow tokens from other hosts report the token as spent from
        this call on. Each retry of a request needs its own token.
        """


class TokenBucket:
    """A token bucket; not thread-safe, so callers must serialise access.

    Parameters
    ----------
    rate_per_s : float
        Tokens added per second.
    burst : float
        Maximum number of tokens.
    now_s : float
    level : float
        Initial number of tokens; 0 for a bucket that replaces another one, whose
        tokens may have been spent.
    """

    def __init__(
        self, rate_per_s: float, burst: float, now_s: float, level: float = 0.0
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(level, burst)
        self._refilled_at_s = now_s

    def refill(self, now_s: float, cap: float | None = None) -> float:
        """Add the tokens accrued since the last refill.

        Parameters
        ----------
        now_s : float
        cap : float, optional
            Maximum level after the refill, if below `burst`.

        Returns
        -------
        float
            Accrued tokens that were discarded because the bucket was full.
        """
        max_level = self.burst if cap is None else min(cap, self.burst)
        accrued = max(0.0, now_s - self._refilled_at_s) * self.rate_per_s
        self._refilled_at_s = max(now_s, self._refilled_at_s)
        uncapped = self.level + accrued
        self.level = min(max(max_level, 0.0), uncapped)
        return min(accrued, uncapped - self.level)

    def take(self, now_s: float, tokens: float = 1.0) -> bool:
        """Take `tokens` and return True, or return False if there are too few."""
        self.refill(now_s)
        if self.level < tokens:
            return False
        self.level -= tokens
        return True

    def change_limit(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Set a new rate and burst; the level is cut to a lower burst at once."""
        self.refill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(self.level, burst)

    def seconds_until(self, tokens: float = 1.0) -> float:
        """Return the seconds from the last refill until `tokens` are available.

        A bucket that is never refilled because its rate is 0 gives 1 s.
        """
        shortfall = tokens - self.level
        return max(0.0, shortfall / self.rate_per_s) if self.rate_per_s > 0 else 1.0


class StaticSplitAdmission(Admission):
    """Divides each organisation's rate and burst equally among the hosts.

    The fleet-wide limit is never exceeded, but requests are refused although quota
    is left when callers use only some of the hosts. It is the baseline for
    comparisons with other subclasses of `Admission`.

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
        """Set the organisations and the number of hosts that share their limits."""
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
                    bucket.change_limit(rate, burst, now_s)

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

    def return_token(self, organisation: str, admitted: Admitted) -> None:
        with self._lock:
            bucket = self._buckets.get(organisation)
            if bucket is not None:
                bucket.level = min(bucket.burst, bucket.level + 1.0)
