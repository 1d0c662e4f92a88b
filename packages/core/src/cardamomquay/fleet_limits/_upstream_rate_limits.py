"""Rate limits that upstreams name in their answers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RateLimitObservation:
    """What the latest known answer of an upstream says about its rate limit.

    Parameters
    ----------
    per_s : float or None
        Requests a second from all hosts together; None if the answer names no limit.
    observed_s : float
        Time of the answer.
    """

    per_s: float | None
    observed_s: float


class UpstreamRateLimits:
    """Rate limits of upstreams as known to one host."""

    def __init__(self) -> None:
        self._observations: dict[str, RateLimitObservation] = {}

    def limit_per_s(self, instance: str) -> float | None:
        """Return an upstream's rate limit in requests a second; None without one."""
        observation = self._observations.get(instance)
        return observation.per_s if observation else None

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
        before = self._observations.get(instance)
        if before is None and per_s is None:
            return False
        self._observations[instance] = RateLimitObservation(per_s, now_s)
        return before is None or before.per_s != per_s

    def clear_upstream(self, instance: str) -> None:
        """Remove an upstream that no longer exists or has restarted."""
        self._observations.pop(instance, None)
