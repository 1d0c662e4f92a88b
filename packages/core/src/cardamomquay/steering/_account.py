"""Accounts for the free capacity of regions and links on one host."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Mapping

# A full bucket holds what its rate adds in this time.
BUCKET_BURST_S = 0.25
# Share of a region's burst that is reserved for requests from inside the region.
LOCAL_RESERVED_SHARE = 0.25
# Assumed size of a route's answers before the first one.
INITIAL_ANSWER_BYTES = 64 * 1024.0
# Lowest weight of a new answer in the mean and deviation of the sizes.
SAMPLE_WEIGHT_MIN = 0.05
# Standard deviations added to the mean, since the mean alone would be too low for about
# half of the answers.
ESTIMATE_DEVIATIONS = 2.0


@dataclass(frozen=True, slots=True)
class HeadroomReservation:
    """Capacity reserved for one request until its answer has arrived.

    Parameters
    ----------
    route, origin, region : str
        The request goes from region `origin` to upstreams in `region`.
    request_bytes : float
        Bytes reserved on the link from `origin`; 0 inside a region.
    answer_bytes : float
        Estimated bytes reserved on the link back to `origin`; 0 inside a region.
    """

    route: str
    origin: str
    region: str
    request_bytes: float
    answer_bytes: float


class _OverdraftBucket:
    """A token bucket whose level later corrections can make negative."""

    def __init__(self, rate_per_s: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.level = rate_per_s * BUCKET_BURST_S
        self._filled_at_s = now_s

    @property
    def burst(self) -> float:
        return self.rate_per_s * BUCKET_BURST_S

    def refill(self, now_s: float) -> None:
        added = max(0.0, now_s - self._filled_at_s) * self.rate_per_s
        self._filled_at_s = max(now_s, self._filled_at_s)
        self.level = min(self.burst, self.level + added)

    def change_limit(self, rate_per_s: float, now_s: float) -> None:
        self.refill(now_s)
        self.rate_per_s = rate_per_s
        self.refill(now_s)


class _SizeEstimate:
    """Estimates answer sizes by an exponentially weighted mean and deviation."""

    def __init__(self) -> None:
        self._mean = 0.0
        self._mean_square = 0.0
        self._samples = 0

    def record_size(self, size: float) -> None:
        self._samples += 1
        weight = max(SAMPLE_WEIGHT_MIN, 1.0 / self._samples)
        self._mean += weight * (size - self._mean)
        self._mean_square += weight * (size * size - self._mean_square)

    def value(self) -> float:
        if not self._samples:
            return INITIAL_ANSWER_BYTES
        variance = max(0.0, self._mean_square - self._mean * self._mean)
        return float(self._mean + ESTIMATE_DEVIATIONS * variance**0.5)


class HeadroomAccount:
    """Reserves the capacity of regions and links for requests; thread-safe.

    Failover, drain and version moves must use the same account, so that two of them
    cannot reserve the same capacity. It counts the requests of this host only. The
    daemon uses `TrafficBudgets` instead, which share the capacity among hosts.

    Parameters
    ----------
    region_rates : mapping of str to float
        Requests per second that each region can serve.
    link_rates : mapping of tuple of str to float
        Bytes per second that each link can carry, by origin and destination region.
    now_s : float
    """

    def __init__(
        self,
        region_rates: Mapping[str, float],
        link_rates: Mapping[tuple[str, str], float],
        now_s: float,
    ) -> None:
        self._lock = threading.Lock()
        self._regions: dict[str, _OverdraftBucket] = {}
        self._links: dict[tuple[str, str], _OverdraftBucket] = {}
        self._sizes: dict[str, _SizeEstimate] = {}
        self.apply(region_rates, link_rates, now_s)

    def apply(
        self,
        region_rates: Mapping[str, float],
        link_rates: Mapping[tuple[str, str], float],
        now_s: float,
    ) -> None:
        """Apply the rates of a configuration; a lower rate takes effect at once."""
        with self._lock:
            _apply_rates(self._regions, region_rates, now_s)
            _apply_rates(self._links, link_rates, now_s)

    def reserve(
        self, route: str, origin: str, region: str, request_bytes: float, now_s: float
    ) -> HeadroomReservation | Refusal:
        """Reserve capacity for one request to a region and for its bytes on the links.

        Parameters
        ----------
        route : str
            Answer sizes are estimated per route.
        origin, region : str
        request_bytes : float
        now_s : float

        Returns
        -------
        HeadroomReservation or Refusal
            Requests inside a region are counted but never refused here, since the
            upstreams' slots limit them.
        """
        with self._lock:
            bucket = self._regions.get(region)
            if bucket is not None:
                bucket.refill(now_s)
            if origin == region:
                if bucket is not None:
                    bucket.level = max(-bucket.burst, bucket.level - 1.0)
                return HeadroomReservation(route, origin, region, 0.0, 0.0)
            # A region or link without a configured capacity gets no traffic.
            if (
                bucket is None
                or bucket.level - LOCAL_RESERVED_SHARE * bucket.burst < 1.0
            ):
                return Refusal(RefusalReason.REGION_FULL, f"region {region}")
            estimate = self._size_estimate(route).value()
            for key, size in (
                ((origin, region), request_bytes),
                ((region, origin), estimate),
            ):
                link = self._links.get(key)
                if link is not None:
                    link.refill(now_s)
                # A size above the burst needs a full bucket and overdraws it.
                if (
                    link is None
                    or link.level <= 0
                    or link.level < min(size, link.burst)
                ):
                    return Refusal(
                        RefusalReason.LINK_FULL,
                        f"link {key[0]}-{key[1]}",
                    )
            bucket.level -= 1.0
            self._links[origin, region].level -= request_bytes
            self._links[region, origin].level -= estimate
            return HeadroomReservation(route, origin, region, request_bytes, estimate)

    def settle(
        self, reservation: HeadroomReservation, answer_bytes: float, now_s: float
    ) -> None:
        """Replace the estimated size of the answer by the real one.

        Parameters
        ----------
        reservation : HeadroomReservation
        answer_bytes : float
            Bytes that arrived, also if the answer is incomplete.
        now_s : float
        """
        with self._lock:
            self._size_estimate(reservation.route).record_size(answer_bytes)
            link = self._links.get((reservation.region, reservation.origin))
            if link is not None and reservation.origin != reservation.region:
                link.refill(now_s)
                saved = reservation.answer_bytes - answer_bytes
                link.level = min(link.burst, link.level + saved)

    def cancel(self, reservation: HeadroomReservation, now_s: float) -> None:
        """Release the whole reservation of a request that was not sent."""
        with self._lock:
            reserved = [(self._regions.get(reservation.region), 1.0)]
            if reservation.origin != reservation.region:
                outbound = (reservation.origin, reservation.region)
                reserved.append((self._links.get(outbound), reservation.request_bytes))
                reserved.append(
                    (self._links.get(outbound[::-1]), reservation.answer_bytes)
                )
            for bucket, size in reserved:
                if bucket is not None:
                    bucket.refill(now_s)
                    bucket.level = min(bucket.burst, bucket.level + size)

    def headroom(self, region: str, now_s: float) -> float:
        """Return the free share of a region's burst, from 0 to 1."""
        with self._lock:
            bucket = self._regions.get(region)
            if bucket is None or bucket.burst <= 0:
                return 0.0
            bucket.refill(now_s)
            return max(0.0, bucket.level / bucket.burst)

    def _size_estimate(self, route: str) -> _SizeEstimate:
        return self._sizes.setdefault(route, _SizeEstimate())


def _apply_rates(
    typed_buckets: dict[str, _OverdraftBucket]
    | dict[tuple[str, str], _OverdraftBucket],
    rates: Mapping[str, float] | Mapping[tuple[str, str], float],
    now_s: float,
) -> None:
    buckets: dict[object, _OverdraftBucket] = typed_buckets  # type: ignore[assignment]
    for key in buckets.keys() - set(rates):
        del buckets[key]
    for name, rate_per_s in rates.items():
        if name in buckets:
            buckets[name].change_limit(rate_per_s, now_s)
        else:
            buckets[name] = _OverdraftBucket(rate_per_s, now_s)
