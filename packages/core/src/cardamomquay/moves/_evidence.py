"""Sequential statistical tests of a new version against the old one.

The tests are e-processes: nonnegative processes whose expectation is at most 1
while the null hypothesis holds. By Ville's inequality the probability that one ever
reaches ``1 / alpha`` is at most ``alpha``, however often it is looked at.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import replace
from functools import lru_cache

from cardamomquay.moves._counters import BUCKET_COUNT
from cardamomquay.moves._counters import RequestTotals

# Odds ratios of failed requests, new version to old. Ratios up to the first one count
# as "no worse"; the others are the alternative hypotheses.
ERROR_ODDS_RATIOS = (1.5, 4.0, 15.0, 100.0)
# The same for slow requests. The first ratio is higher, because a block of requests can
# by chance end a warm-up while a quarter of the new version's requests are still slow.
# A quarter, compared with a tenth in the old version, is an odds ratio of 3.
SLOW_ODDS_RATIOS = (3.0, 8.0, 20.0, 60.0)
# Requests above this quantile of the old version's latency are slow, so about a tenth
# of its own requests are.
SLOW_QUANTILE = 0.9
# Cold caches may explain latencies up to three buckets higher: 1.6**3, about 4 times
# those of the old version.
WARM_UP_SHIFT_BUCKETS = 3
# A warm-up is judged by blocks of at least `WARM_UP_BLOCK_REQUESTS` requests. It ends
# with a block whose share of slow requests exceeds that of the old version by at most
# `WARM_UP_END_RATE_MARGIN`. It also ends after `WARM_UP_FLAT_BLOCKS` blocks in a row of
# which none lowered the lowest share so far by `WARM_UP_MIN_IMPROVEMENT`.
WARM_UP_BLOCK_REQUESTS = 50
WARM_UP_END_RATE_MARGIN = 0.05
WARM_UP_MIN_IMPROVEMENT = 0.05
WARM_UP_FLAT_BLOCKS = 3
# Each report multiplies the weight of the old version's earlier figures by this factor.
# With two reports per second from each of 12 hosts, figures older than about 10 s
# count little.
OLD_WEIGHT_PER_REPORT = 0.99
# Below this many weighted requests, the old version's earlier rates are not used.
OLD_MIN_REQUESTS = 100.0
# 99.9% quantile of the normal distribution, for the upper bound of the old version's
# rates.
UPPER_BOUND_Z = 3.09
# A new version is good when its rates are proved to be below the old version's rates
# plus these margins.
ERROR_MARGIN = 0.03
SLOW_MARGIN = 0.15
# Limits of the assumed rates, which keep odds and logarithms finite.
RATE_FLOOR = 0.002
RATE_CEILING = 0.95


@dataclass(frozen=True, slots=True)
class EProcess:
    """An e-process that averages likelihood ratios over alternatives and fault starts.

    The alternatives have equal weight. A look is one call of `add`. A fault that begins
    at look `k` has the prior weight ``1 / (k (k + 1))``. Evidence from before a fault
    therefore lowers the value at most by a factor of about `k` squared, and cannot hide
    the fault.

    Parameters
    ----------
    log_sums : tuple of float
        For each alternative, the logarithm of the sum over all looks at which the fault
        may have begun: prior weight times likelihood ratio since that look.
    looks : int
        Number of looks.
    """

    log_sums: tuple[float, ...] = (-math.inf,) * 3
    looks: int = 0

    def add(self, log_ratios: tuple[float, ...]) -> EProcess:
        """Multiply by the likelihood ratio of each alternative in a new look."""
        look = self.looks + 1
        log_weight = -math.log(look * (look + 1))
        sums = tuple(
            _log_add(s, log_weight) + r
            for s, r in zip(self.log_sums, log_ratios, strict=True)
        )
        return EProcess(sums, look)

    @property
    def log_value(self) -> float:
        """Natural logarithm of the value of the process; 0 at the start."""
        mean = -math.log(len(self.log_sums))
        # Prior weight of faults that begin after the last look.
        value = -math.log(self.looks + 1)
        for log_sum in self.log_sums:
            value = _log_add(value, log_sum + mean)
        return value


@dataclass(frozen=True, slots=True)
class DecayedTotals:
    """Request counts of the old version, with decreasing weight of older ones."""

    count: float = 0.0
    errors: float = 0.0
    buckets: tuple[float, ...] = (0.0,) * BUCKET_COUNT

    def add(self, totals: RequestTotals) -> DecayedTotals:
        """Add totals; without requests, earlier weights stay unchanged."""
        if totals.count == 0:
            return self
        buckets = tuple(
            a * OLD_WEIGHT_PER_REPORT + b
            for a, b in zip(self.buckets, totals.buckets, strict=True)
        )
        count = self.count * OLD_WEIGHT_PER_REPORT + totals.count
        return DecayedTotals(
            count, self.errors * OLD_WEIGHT_PER_REPORT + totals.errors, buckets
        )

    @property
    def error_rate(self) -> float:
        """Share of failed requests."""
        return self.errors / self.count if self.count else 0.0

    def last_fast_bucket(self) -> int | None:
        """Return the last bucket that counts as fast; None with too few requests."""
        successes = sum(self.buckets)
        if successes < OLD_MIN_REQUESTS:
            return None
        cumulated = 0.0
        for index, bucket in enumerate(self.buckets):
            cumulated += bucket
            if cumulated >= SLOW_QUANTILE * successes:
                return index
        return None

    def slow_rate(self, bucket: int) -> float:
        """Return the share of successful requests above a bucket."""
        return sum(self.buckets[bucket + 1 :]) / max(1e-9, sum(self.buckets))


@dataclass(frozen=True, slots=True)
class WarmUp:
    """Tracks whether cold caches still explain slow requests of the new version.

    The warm-up ends when a block of requests is about as fast as the old version, or
    when blocks have stopped getting faster. Later slow requests count as a fault.

    Parameters
    ----------
    over : bool
        Whether the warm-up has ended.
    count, slow : int
        Requests in the current block, and the slow ones among them.
    best_rate : float
        Lowest share of slow requests in a block.
    flat_blocks : int
        Last blocks in a row without an improvement.
    """

    over: bool = False
    count: int = 0
    slow: int = 0
    best_rate: float = 1.0
    flat_blocks: int = 0

    def add(self, count: int, slow: int, old_rate: float) -> WarmUp:
        """Add requests of the new version."""
        updated = replace(self, count=self.count + count, slow=self.slow + slow)
        if updated.count < WARM_UP_BLOCK_REQUESTS:
            return updated
        rate = updated.slow / updated.count
        improved = self.best_rate - rate >= WARM_UP_MIN_IMPROVEMENT
        flat_blocks = 0 if improved else self.flat_blocks + 1
        over = (
            rate <= old_rate + WARM_UP_END_RATE_MARGIN
            or flat_blocks >= WARM_UP_FLAT_BLOCKS
        )
        return WarmUp(over, 0, 0, min(rate, self.best_rate), flat_blocks)


@dataclass(frozen=True, slots=True)
class Evidence:
    """Requests of both versions in one move, and the tests based on them.

    Parameters
    ----------
    errors, slow : EProcess
        Tests by errors and by latency. Null hypothesis: the new version is no worse.
    slow_in_warm_up : EProcess
        Test by latency until the warm-up is over. Null hypothesis: the warm-up explains
        the latencies.
    proof_by_errors, proof_by_latency : EProcess
        Tests since the last step. Null hypothesis: the new version is worse by the
        margin.
    old : DecayedTotals
    new : RequestTotals
        Requests of the new version since the move began.
    warm_up : WarmUp
    """

    errors: EProcess = EProcess()
    slow: EProcess = EProcess()
    slow_in_warm_up: EProcess = EProcess()
    proof_by_errors: EProcess = EProcess((-math.inf,))
    proof_by_latency: EProcess = EProcess((-math.inf,))
    old: DecayedTotals = DecayedTotals()
    new: RequestTotals = RequestTotals()
    warm_up: WarmUp = WarmUp()

    def add(
        self, new: RequestTotals, old: RequestTotals, counts_for_proof: bool = True
    ) -> Evidence:
        """Add the requests that one host counted between two of its reports.

        Each host is a separate stratum: its likelihood ratio is conditional on its own
        number of errors, so hosts may differ in rates, shares and delay.

        Parameters
        ----------
        new, old : RequestTotals
            Requests of both versions in the same time window on one host.
        counts_for_proof : bool
            Whether the requests count for the proof that the version is good; False
            for requests from before the last step.

        Returns
        -------
        Evidence
        """
        before = self.old
        errors, proof_by_errors = self.errors, self.proof_by_errors
        slow, slow_in_warm_up, proof_by_latency = (
            self.slow,
            self.slow_in_warm_up,
            self.proof_by_latency,
        )
        warm_up = self.warm_up
        if new.count > 0:
            errors, proof_by_errors = self._error_tests_after(
                new, old, counts_for_proof
            )
            # The threshold for slow requests comes from earlier windows, so that it
            # does not depend on the window that it is applied to.
            bucket = before.last_fast_bucket()
            if bucket is not None:
                slow, slow_in_warm_up, proof_by_latency, warm_up = (
                    self._latency_tests_after(new, old, bucket, counts_for_proof)
                )
        return Evidence(
            errors,
            slow,
            slow_in_warm_up,
            proof_by_errors,
            proof_by_latency,
            before.add(old),
            self.new.plus(new) if new.count else self.new,
            warm_up,
        )

    def with_proof_restarted(self) -> Evidence:
        """Return the evidence after a step, with the proof of "good" restarted."""
        start = EProcess((-math.inf,))
        return replace(self, proof_by_errors=start, proof_by_latency=start)

    def _error_tests_after(
        self, new: RequestTotals, old: RequestTotals, counts_for_proof: bool
    ) -> tuple[EProcess, EProcess]:
        before, errors, proof = self.old, self.errors, self.proof_by_errors
        sample = (new.errors, new.count, old.errors, old.count)
        ratios = _log_ratios(sample, before.errors, before.count, ERROR_ODDS_RATIOS)
        if ratios is not None:
            errors = errors.add(ratios)
        if counts_for_proof and before.count >= OLD_MIN_REQUESTS:
            proof = proof.add(
                _log_good_ratio(new.errors, new.count, before.error_rate, ERROR_MARGIN)
            )
        return errors, proof

    def _latency_tests_after(
        self,
        new: RequestTotals,
        old: RequestTotals,
        bucket: int,
        counts_for_proof: bool,
    ) -> tuple[EProcess, EProcess, EProcess, WarmUp]:
        before, slow_process, slow_in_warm_up = (
            self.old,
            self.slow,
            self.slow_in_warm_up,
        )
        is_warm, proof = self.warm_up.over, self.proof_by_latency
        old_rate = before.slow_rate(bucket)
        successes = new.count - new.errors
        new_slow = sum(new.buckets[bucket + 1 :])
        warm_up = self.warm_up
        if not is_warm:
            warm_up = warm_up.add(successes, new_slow, old_rate)
        # Until the caches are warm, the null hypothesis is that the new version's
        # latencies are at most the old ones times the factor that a warm-up explains.
        shift = 0 if is_warm else WARM_UP_SHIFT_BUCKETS
        unexplained = sum(new.buckets[bucket + shift + 1 :])
        old_slow = sum(old.buckets[bucket + 1 :])
        sample = (unexplained, successes, old_slow, old.count - old.errors)
        earlier = (sum(before.buckets[bucket + 1 :]), sum(before.buckets))
        ratios = _log_ratios(sample, *earlier, SLOW_ODDS_RATIOS)
        if ratios is not None and is_warm:
            slow_process = slow_process.add(ratios)
        elif ratios is not None:
            slow_in_warm_up = slow_in_warm_up.add(ratios)
        if counts_for_proof and is_warm:
            proof = proof.add(
                _log_good_ratio(new_slow, successes, old_rate, SLOW_MARGIN)
            )
        return slow_process, slow_in_warm_up, proof, warm_up


def _log_add(a: float, b: float) -> float:
    if a < b:
        a, b = b, a
    return a if b == -math.inf else a + math.log1p(math.exp(b - a))


def _log_ratios(
    sample: tuple[int, int, int, int],
    earlier_events: float,
    earlier_count: float,
    odds_ratios: tuple[float, ...],
) -> tuple[float, ...] | None:
    """Return the log likelihood ratio of each alternative; None without information.

    Parameters
    ----------
    sample : tuple of int
        Events and requests of the new version, then of the old one. Events are failed
        or slow requests.
    earlier_events, earlier_count : float
        Earlier figures of the old version, used if it has no requests in the sample.
    odds_ratios : tuple of float
        Odds ratio of the null hypothesis, then those of the alternatives.
    """
    new_events, new_count, old_events, old_count = sample
    if old_count > 0:
        if new_events + old_events == 0:
            return None
        return _conditional_log_ratios(
            new_events, new_count, old_events, old_count, odds_ratios
        )
    if new_count == 0 or earlier_count < OLD_MIN_REQUESTS:
        return None
    null_odds = _odds(_upper_bound(earlier_events, earlier_count)) * odds_ratios[0]
    null_rate = null_odds / (1 + null_odds)
    ratios = []
    for ratio in odds_ratios[1:]:
        alternative_odds = null_odds * ratio / odds_ratios[0]
        alternative_rate = alternative_odds / (1 + alternative_odds)
        ratios.append(
            new_events * math.log(alternative_rate / null_rate)
            + (new_count - new_events)
            * math.log((1 - alternative_rate) / (1 - null_rate))
        )
    return tuple(ratios)


@lru_cache(maxsize=4096)
def _conditional_log_ratios(
    new_events: int,
    new_count: int,
    old_events: int,
    old_count: int,
    odds_ratios: tuple[float, ...],
) -> tuple[float, ...]:
    # Given the sum of events, the number in the new version has Fisher's noncentral
    # hypergeometric distribution, which does not depend on the common rate.
    events = new_events + old_events
    low, high = max(0, events - old_count), min(events, new_count)
    logs = [
        _log_choose(new_count, j) + _log_choose(old_count, events - j)
        for j in range(low, high + 1)
    ]

    def log_likelihood(ratio: float) -> float:
        log_ratio = math.log(ratio)
        terms = [value + j * log_ratio for j, value in enumerate(logs, low)]
        top = max(terms)
        total = top + math.log(sum(math.exp(t - top) for t in terms))
        return new_events * log_ratio - total

    null_log_likelihood = log_likelihood(odds_ratios[0])
    return tuple(
        log_likelihood(ratio) - null_log_likelihood for ratio in odds_ratios[1:]
    )


def _log_choose(n: int, k: int) -> float:
    return math.lgamma(n + 1) - math.lgamma(k + 1) - math.lgamma(n - k + 1)


def _odds(rate: float) -> float:
    return rate / (1 - rate)


def _upper_bound(events: float, count: float) -> float:
    """Return the upper bound of a rate by Wilson's score interval."""
    z2 = UPPER_BOUND_Z**2
    rate = events / count
    centre = rate + z2 / (2 * count)
    spread = math.sqrt(rate * (1 - rate) / count + z2 / (4 * count**2))
    return min(RATE_CEILING, (centre + UPPER_BOUND_Z * spread) / (1 + z2 / count))


def _log_good_ratio(
    events: int, count: int, old_rate: float, margin: float
) -> tuple[float, ...]:
    """Return the log likelihood ratio of the old rate to the old rate plus margin."""
    good_rate = min(max(old_rate, RATE_FLOOR), RATE_CEILING - margin)
    bad_rate = good_rate + margin
    log_ratio = events * math.log(good_rate / bad_rate)
    return (log_ratio + (count - events) * math.log((1 - good_rate) / (1 - bad_rate)),)
