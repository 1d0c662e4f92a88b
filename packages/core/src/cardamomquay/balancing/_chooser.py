"""Interface for choosing the upstream of a request, and two baselines."""

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
    """A slot of an upstream, reserved until `UpstreamChooser.release`.

    Parameters
    ----------
    pool : str
    upstream : Upstream
    valid_until_s : float
        Time on the host's clock before which the request must be sent.
    """

    pool: str
    upstream: Upstream
    valid_until_s: float = float("inf")


class ObservedResult(StrEnum):
    """Result of a request, as far as it shows the health of the upstream."""

    ANSWERED = "answered"
    # Includes answers with a server error.
    FAILED = "failed"
    # The upstream refused the request because of its load.
    SHED = "shed"
    TIMED_OUT = "timed_out"
    # The upstream received nothing, for example because it refused the connection.
    UNREACHABLE = "unreachable"
    # The host did not send the request; this says nothing about the upstream.
    NOT_SENT = "not_sent"


@dataclass(frozen=True, slots=True)
class Observation:
    """Result and latency of one request at an upstream."""

    result: ObservedResult
    latency_s: float


class UpstreamChooser(ABC):
    """Chooses an upstream for each request and reserves one of its slots."""

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
            Organisation of the caller, for fair queueing; empty on open routes.
        excluded : collection of str
            Names of upstreams that must not be chosen, such as one at which an
            earlier attempt of this request failed.
        deadline_s : float
            Time on the host's clock until which `reserve` may wait for a slot.

        Returns
        -------
        Reservation or Refusal
        """

    @abstractmethod
    def release(self, reservation: Reservation, observation: Observation) -> None:
        """Release a slot and record the result of its request."""


class _CountingChooser(UpstreamChooser):
    """Limits this host's requests to the slots of each upstream.

    The requests of other hosts are not counted, so all hosts together can exceed them.
    """

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
    """Picks a random upstream; baseline for measurements."""

    def __init__(self, random: Random) -> None:
        super().__init__()
        self._random = random

    def _pick(self, candidates: list[Upstream]) -> Upstream:
        return self._random.choice(candidates)


class RoundRobinChooser(_CountingChooser):
    """Picks the upstreams in turn; baseline for measurements."""

    def __init__(self) -> None:
        super().__init__()
        self._pick_count = 0

    def _pick(self, candidates: list[Upstream]) -> Upstream:
        self._pick_count += 1
        return candidates[self._pick_count % len(candidates)]
