"""Which upstream of a pool gets a request."""

from __future__ import annotations

import threading
from abc import ABC
from abc import abstractmethod
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from cardamomquay.config import Pool
    from cardamomquay.config import Upstream


@dataclass(frozen=True, slots=True)
class Reservation:
    """A slot of an upstream, held until `UpstreamChooser.release`.

    Parameters
    ----------
    pool : str
    upstream : Upstream
    valid_until_s : float
        The request must be sent before, on the host's clock.
    """

    pool: str
    upstream: Upstream
    valid_until_s: float = float("inf")


class ObservedResult(StrEnum):
    """What a request showed about its upstream."""

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    TIMED_OUT = "timed_out"
    UNREACHABLE = "unreachable"
    NOT_SENT = "not_sent"


@dataclass(frozen=True, slots=True)
class Observation:
    """Result and latency of one request at an upstream."""

    result: ObservedResult
    latency_s: float


class UpstreamChooser(ABC):
    """Reserves slots of upstreams."""

    @abstractmethod
    def reserve(
        self,
        pool: Pool,
        organisation: str,
        excluded: Collection[str],
        deadline_s: float,
    ) -> Reservation | Refusal:
        """Reserve a slot.

        Parameters
        ----------
        pool : Pool
        organisation : str
            For fair queueing; empty on open routes.
        excluded : collection of str
            Names of upstreams that may not be chosen, such as one that has failed
            this request before.
        deadline_s : float
            Latest time until which the call may wait, on the host's clock.

        Returns
        -------
        Reservation or Refusal
        """

    @abstractmethod
    def release(self, reservation: Reservation, observation: Observation) -> None:
        """Return a slot and learn from the request."""


class _CountingChooser(UpstreamChooser):
    """Counts this host's own requests and keeps them under each slot count."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._in_use: Counter[tuple[str, str]] = Counter()

    def reserve(
        self,
        pool: Pool,
        organisation: str,
        excluded: Collection[str],
        deadline_s: float,
    ) -> Reservation | Refusal:
        with self._lock:
            candidates = [
                upstream
                for upstream in pool.upstreams
                if not upstream.draining
                and upstream.name not in excluded
                and self._in_use[pool.name, upstream.name] < upstream.slots
            ]
            if not candidates:
                return Refusal(RefusalReason.POOL_BUSY)
            upstream = self._pick(candidates)
            self._in_use[pool.name, upstream.name] += 1
            return Reservation(pool.name, upstream)

    def release(self, reservation: Reservation, observation: Observation) -> None:
        with self._lock:
            self._in_use[reservation.pool, reservation.upstream.name] -= 1

    @abstractmethod
    def _pick(self, candidates: list[Upstream]) -> Upstream: ...


class RandomChooser(_CountingChooser):
    """Picks at random; a baseline."""

    def __init__(self, random: Random) -> None:
        super().__init__()
        self._random = random

    def _pick(self, candidates: list[Upstream]) -> Upstream:
        return self._random.choice(candidates)


class RoundRobinChooser(_CountingChooser):
    """Picks in turn; a baseline."""

    def __init__(self) -> None:
        super().__init__()
        self._turn = 0

    def _pick(self, candidates: list[Upstream]) -> Upstream:
        self._turn += 1
        return candidates[self._turn % len(candidates)]
