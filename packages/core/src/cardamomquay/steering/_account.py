"""Requests and bytes that regions and links can still carry."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Mapping

BURST_S = 0.25
# Requests of other regions leave this share of the burst to the region's own.
OWN_SHARE = 0.25
FIRST_ESTIMATE_BYTES = 64 * 1024.0
ESTIMATE_WEIGHT = 0.05
# A mean alone is too low for half of the answers.
ESTIMATE_DEVIATIONS = 2.0


@dataclass(frozen=True, slots=True)
class HeadroomReservation:
    """What one request took, until its answer is known.

    Parameters
    ----------
    route, origin, region : str
        The request goes from `origin` to upstreams in `region`.
    answer_bytes : float
        Estimate that was taken from the link back; 0 inside a region.
    """

    route: str
    origin: str
    region: str
    request_bytes: float
    answer_bytes: float


class _Budget:
    """A refilling budget that corrections can overdraw."""

    def __init__(self, rate_per_s: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.level = rate_per_s * BURST_S
        self._filled_at_s = now_s

    @property
    def burst(self) -> float:
        return self.rate_per_s * BURST_S

    def refill(self, now_s: float) -> None:
        added = max(0.0, now_s - self._filled_at_s) * self.rate_per_s
        self._filled_at_s = max(now_s, self._filled_at_s)
        self.level = min(self.burst, self.level + added)

    def change(self, rate_per_s: float, now_s: float) -> None:
        self.refill(now_s)
        self.rate_per_s = rate_per_s
        self.refill(now_s)


class _SizeEstimate:
    def __init__(self) -> None:
        self._mean = 0.0
        self._square = 0.0
        self._seen = 0

    def learn(self, size: float) -> None:
        self._seen += 1
        weight = max(ESTIMATE_WEIGHT, 1.0 / self._seen)
        self._mean += weight * (size - self._mean)
        self._square += weight * (size * size - self._square)

    def value(self) -> float:
        if not self._seen:
            return FIRST_ESTIMATE_BYTES
        variance = max(0.0, self._square - self._mean * self._mean)
        return float(self._mean + ESTIMATE_DEVIATIONS * variance**0.5)


class HeadroomAccount:
    """One account of regions and links for failover, drain and moves.

    All decisions draw on the same budgets, so that two of them cannot use the same
    headroom. Safe for threads.

    Parameters
    ----------
    region_rates : mapping of str to float
        Requests a second of each region.
    link_rates : mapping of tuple of str to float
        Bytes a second of each link, by origin and destination.
    now_s : float
    """

    def __init__(
        self,
        region_rates: Mapping[str, float],
        link_rates: Mapping[tuple[str, str], float],
        now_s: float,
    ) -> None:
        self._lock = threading.Lock()
        self._regions: dict[str, _Budget] = {}
        self._links: dict[tuple[str, str], _Budget] = {}
        self._sizes: dict[str, _SizeEstimate] = {}
        self.apply(region_rates, link_rates, now_s)

    def apply(
        self,
        region_rates: Mapping[str, float],
        link_rates: Mapping[tuple[str, str], float],
        now_s: float,
    ) -> None:
        """Apply a configuration; a lower rate takes effect at once."""
        with self._lock:
            _apply(self._regions, region_rates, now_s)
            _apply(self._links, link_rates, now_s)

    def reserve(
        self, route: str, origin: str, region: str, request_bytes: float, now_s: float
    ) -> HeadroomReservation | Refusal:
        """Take one request of a region, and the bytes of the links to and from it.

        Parameters
        ----------
        route : str
            Requests of one route have similar answers.
        origin, region : str
        request_bytes : float
        now_s : float

        Returns
        -------
        HeadroomReservation or Refusal
            Requests inside a region are counted but never refused here: the slots
            of the upstreams bound them.
        """
        with self._lock:
            budget = self._regions.get(region)
            if budget is not None:
                budget.refill(now_s)
            if origin == region:
                if budget is not None:
                    budget.level = max(-budget.burst, budget.level - 1.0)
                return HeadroomReservation(route, origin, region, 0.0, 0.0)
            # A region or link without a known capacity carries nothing.
            if budget is None or budget.level - OWN_SHARE * budget.burst < 1.0:
                return Refusal(RefusalReason.REGION_FULL, f"region {region}")
            estimate = self._size(route).value()
            for key, size in (
                ((origin, region), request_bytes),
                ((region, origin), estimate),
            ):
                link = self._links.get(key)
                if link is not None:
                    link.refill(now_s)
                # A size above the burst needs a full budget and overdraws it.
                if (
                    link is None
                    or link.level <= 0
                    or link.level < min(size, link.burst)
                ):
                    return Refusal(RefusalReason.LINK_FULL, f"link {key[0]}-{key[1]}")
            budget.level -= 1.0
            self._links[origin, region].level -= request_bytes
            self._links[region, origin].level -= estimate
            return HeadroomReservation(route, origin, region, request_bytes, estimate)

    def settle(
        self, reservation: HeadroomReservation, answer_bytes: float, now_s: float
    ) -> None:
        """Correct the estimate by the real size of the answer.

        Parameters
        ----------
        reservation : HeadroomReservation
        answer_bytes : float
            Bytes that arrived, also of an answer that was cut.
        now_s : float
        """
        with self._lock:
            self._size(reservation.route).learn(answer_bytes)
            link = self._links.get((reservation.region, reservation.origin))
            if link is not None and reservation.origin != reservation.region:
                link.refill(now_s)
                saved = reservation.answer_bytes - answer_bytes
                link.level = min(link.burst, link.level + saved)

    def cancel(self, reservation: HeadroomReservation, now_s: float) -> None:
        """Give everything back for a request that was certainly not sent."""
        with self._lock:
            parts = [(self._regions.get(reservation.region), 1.0)]
            if reservation.origin != reservation.region:
                there = (reservation.origin, reservation.region)
                parts.append((self._links.get(there), reservation.request_bytes))
                parts.append((self._links.get(there[::-1]), reservation.answer_bytes))
            for budget, size in parts:
                if budget is not None:
                    budget.refill(now_s)
                    budget.level = min(budget.burst, budget.level + size)

    def headroom(self, region: str, now_s: float) -> float:
        """Return the free share of a region's burst, 0 to 1, for look-ups."""
        with self._lock:
            budget = self._regions.get(region)
            if budget is None or budget.burst <= 0:
                return 0.0
            budget.refill(now_s)
            return max(0.0, budget.level / budget.burst)

    def _size(self, route: str) -> _SizeEstimate:
        return self._sizes.setdefault(route, _SizeEstimate())


def _apply(
    budgets: dict[str, _Budget] | dict[tuple[str, str], _Budget],
    rates: Mapping[str, float] | Mapping[tuple[str, str], float],
    now_s: float,
) -> None:
    known: dict[object, _Budget] = budgets  # type: ignore[assignment]
    for key in known.keys() - set(rates):
        del known[key]
    for name, rate_per_s in rates.items():
        if name in known:
            known[name].change(rate_per_s, now_s)
        else:
            known[name] = _Budget(rate_per_s, now_s)
