"""Evidence for and against a new version, collected look by look.

The tests are e-processes: nonnegative processes whose expectation is at most 1
while the null hypothesis holds. By Ville's inequality the chance that one ever
reaches ``1 / alpha`` is at most ``alpha``, however often it is looked at.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import replace
from functools import lru_cache

from cardamomquay.moves._windows import BUCKET_COUNT
from cardamomquay.moves._windows import Totals

# Odds ratios up to the first figure count as "no worse"; the test bets on the others.
ERROR_ODDS = (1.5, 4.0, 15.0, 100.0)
# Latency has more room: a block of requests that ends a warm-up by luck may still
# have a quarter of slow ones, which is an odds ratio of 3 to a tenth.
SLOW_ODDS = (3.0, 8.0, 20.0, 60.0)
# The old version's 90th percentile parts fast from slow, so about a tenth of its
# requests are slow.
SLOW_QUANTILE = 0.9
# A cold cache explains latencies of up to 1.6**3, about 4 times, the old ones.
WARM_UP_BUCKETS = 3
WARM_UP_BLOCK = 50
WARM_UP_NEAR = 0.05
WARM_UP_PROGRESS = 0.05
WARM_UP_FLAT_BLOCKS = 3
# Weight that the old version's figures keep at each further report; with two
# reports a second from 12 hosts, figures older than about 10 s fade out.
OLD_DECAY = 0.99
OLD_MIN_COUNT = 100.0
# Normal quantile of 99.9% for the upper bound of the old version's rates.
REFERENCE_Z = 3.09
# A new version is proved good when its rates are proved to be less than the old
# ones plus these margins.
ERROR_MARGIN = 0.03
SLOW_MARGIN = 0.15
RATE_FLOOR = 0.002
RATE_CEILING = 0.95


@dataclass(frozen=True, slots=True)
class EProcess:
    """A mixture over alternatives and over the look at which a fault begins.

    The look `k` has prior weight ``1 / (k (k + 1))``. Evidence from before a fault
    therefore costs at most a factor of about `k` squared, and cannot hide the fault.
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
        """Natural logarithm of the process, 0 at the start."""
        mean = -math.log(len(self.log_sums))
        value = -math.log(self.looks + 1)
        for log_sum in self.log_sums:
            value = _log_add(value, log_sum + mean)
        return value


@dataclass(frozen=True, slots=True)
class Recent:
    """The old version's figures with older ones fading out."""

    count: float = 0.0
    errors: float = 0.0
    buckets: tuple[float, ...] = (0.0,) * BUCKET_COUNT

    def add(self, totals: Totals) -> Recent:
        """Add totals; without requests nothing fades."""
        if totals.count == 0:
            return self
        buckets = tuple(
            a * OLD_DECAY + b for a, b in zip(self.buckets, totals.buckets, strict=True)
        )
        count = self.count * OLD_DECAY + totals.count
        return Recent(count, self.errors * OLD_DECAY + totals.errors, buckets)

    @property
    def error_rate(self) -> float:
        """Share of failed requests."""
        return self.errors / self.count if self.count else 0.0

    def slow_bucket(self) -> int | None:
        """Return the last bucket that counts as fast, None with few figures."""
        answered = sum(self.buckets)
        if answered < OLD_MIN_COUNT:
            return None
        running = 0.0
        for index, bucket in enumerate(self.buckets):
            running += bucket
            if running >= SLOW_QUANTILE * answered:
                return index
        return None

    def slow_rate(self, bucket: int) -> float:
        """Share of the successful requests above a bucket."""
        return sum(self.buckets[bucket + 1 :]) / max(1e-9, sum(self.buckets))


@dataclass(frozen=True, slots=True)
class WarmUp:
    """Whether a cold cache still explains slow requests of the new version.

    A warm-up ends when a block of requests is about as fast as the old version, or
    when blocks stop getting faster. What is slow then is not explained by it.
    """

    over: bool = False
    count: int = 0
    slow: int = 0
    best_rate: float = 1.0
    flat: int = 0

    def add(self, count: int, slow: int, old_rate: float) -> WarmUp:
        """Add requests of the new version."""
        now = replace(self, count=self.count + count, slow=self.slow + slow)
        if now.count < WARM_UP_BLOCK:
            return now
        rate = now.slow / now.count
        improved = self.best_rate - rate >= WARM_UP_PROGRESS
        flat = 0 if improved else self.flat + 1
        over = rate <= old_rate + WARM_UP_NEAR or flat >= WARM_UP_FLAT_BLOCKS
        return WarmUp(over, 0, 0, min(rate, self.best_rate), flat)


@dataclass(frozen=True, slots=True)
class Evidence:
    """All that is known about one move.

    Parameters
    ----------
    errors, slow : EProcess
        Against "the new version is no worse", by errors and by latency.
    cold : EProcess
        Against "a warm-up explains the latencies", until the warm-up is over.
    good_errors, good_slow : EProcess
        Against "the new version is worse by the margin"; since the last step.
    old : Recent
    new : Totals
        Requests of the new version since the move began.
    warm_up : WarmUp
    """

    errors: EProcess = EProcess()
    slow: EProcess = EProcess()
    cold: EProcess = EProcess()
    good_errors: EProcess = EProcess((-math.inf,))
    good_slow: EProcess = EProcess((-math.inf,))
    old: Recent = Recent()
    new: Totals = Totals()
    warm_up: WarmUp = WarmUp()

    def add(self, new: Totals, old: Totals, proves_good: bool = True) -> Evidence:
        """Add what one host saw between two of its reports.

        Hosts are strata of their own: each contributes the likelihood ratio given
        its own number of errors, so hosts may differ in rates, shares and lag.

        Parameters
        ----------
        new, old : Totals
            Requests of both versions in the same window of one host.
        proves_good : bool
            False for requests from before the last step.

        Returns
        -------
        Evidence
        """
        before = self.old
        errors, good_errors = self.errors, self.good_errors
        slow, cold, good_slow = self.slow, self.cold, self.good_slow
        warm_up = self.warm_up
        if new.count > 0:
            errors, good_errors = self._errors_after(new, old, proves_good)
            # The threshold comes from earlier windows, so the window does not choose
            # it.
            bucket = before.slow_bucket()
            if bucket is not None:
                slow, cold, good_slow, warm_up = self._slow_after(
                    new, old, bucket, proves_good
                )
        return Evidence(
            errors,
            slow,
            cold,
            good_errors,
            good_slow,
            before.add(old),
            self.new.plus(new) if new.count else self.new,
            warm_up,
        )

    def restarted(self) -> Evidence:
        """Return the evidence after a step: good has to be proved again."""
        start = EProcess((-math.inf,))
        return replace(self, good_errors=start, good_slow=start)

    def _errors_after(
        self, new: Totals, old: Totals, proves_good: bool
    ) -> tuple[EProcess, EProcess]:
        before, errors, good = self.old, self.errors, self.good_errors
        sample = (new.errors, new.count, old.errors, old.count)
        ratios = _log_ratios(sample, before.errors, before.count, ERROR_ODDS)
        if ratios is not None:
            errors = errors.add(ratios)
        if proves_good and before.count >= OLD_MIN_COUNT:
            good = good.add(
                _log_good(new.errors, new.count, before.error_rate, ERROR_MARGIN)
            )
        return errors, good

    def _slow_after(
        self, new: Totals, old: Totals, bucket: int, proves_good: bool
    ) -> tuple[EProcess, EProcess, EProcess, WarmUp]:
        before, process, cold = self.old, self.slow, self.cold
        is_warm, good = self.warm_up.over, self.good_slow
        old_rate = before.slow_rate(bucket)
        answered = new.count - new.errors
        slow = sum(new.buckets[bucket + 1 :])
        warm_up = self.warm_up
        if not is_warm:
            warm_up = warm_up.add(answered, slow, old_rate)
        # Until the caches are warm, the null hypothesis is that the new version's
        # latencies are those of the old one times what a warm-up explains.
        shift = 0 if is_warm else WARM_UP_BUCKETS
        unexplained = sum(new.buckets[bucket + shift + 1 :])
        old_slow = sum(old.buckets[bucket + 1 :])
        sample = (unexplained, answered, old_slow, old.count - old.errors)
        known = (sum(before.buckets[bucket + 1 :]), sum(before.buckets))
        ratios = _log_ratios(sample, *known, SLOW_ODDS)
        if ratios is not None and is_warm:
            process = process.add(ratios)
        elif ratios is not None:
            cold = cold.add(ratios)
        if proves_good and is_warm:
            good = good.add(_log_good(slow, answered, old_rate, SLOW_MARGIN))
        return process, cold, good, warm_up


def _log_add(a: float, b: float) -> float:
    if a < b:
        a, b = b, a
    return a if b == -math.inf else a + math.log1p(math.exp(b - a))


def _log_ratios(
    sample: tuple[int, int, int, int],
    known_events: float,
    known_count: float,
    odds: tuple[float, ...],
) -> tuple[float, ...] | None:
    """Return the log likelihood ratio of each alternative, None without information.

    Parameters
    ----------
    sample : tuple of int
        Events and requests of the new version, then of the old one.
    known_events, known_count : float
        Earlier figures of the old version, used when it gets no requests now.
    odds : tuple of float
        Odds ratio of the null hypothesis, then those of the alternatives.
    """
    new_events, new_count, old_events, old_count = sample
    if old_count > 0:
        if new_events + old_events == 0:
            return None
        return _conditional(new_events, new_count, old_events, old_count, odds)
    if new_count == 0 or known_count < OLD_MIN_COUNT:
        return None
    null = _odds(_upper_bound(known_events, known_count)) * odds[0]
    rate = null / (1 + null)
    ratios = []
    for ratio in odds[1:]:
        other = null * ratio / odds[0]
        other_rate = other / (1 + other)
        ratios.append(
            new_events * math.log(other_rate / rate)
            + (new_count - new_events) * math.log((1 - other_rate) / (1 - rate))
        )
    return tuple(ratios)


@lru_cache(maxsize=4096)
def _conditional(
    new_events: int,
    new_count: int,
    old_events: int,
    old_count: int,
    odds: tuple[float, ...],
) -> tuple[float, ...]:
    # Given the sum of events, those of the new version follow Fisher's noncentral
    # hypergeometric distribution, which does not depend on the common rate.
    events = new_events + old_events
    low, high = max(0, events - old_count), min(events, new_count)
    logs = [
        _log_choose(new_count, j) + _log_choose(old_count, events - j)
        for j in range(low, high + 1)
    ]

    def log_likelihood(ratio: float) -> float:
        step = math.log(ratio)
        terms = [value + j * step for j, value in enumerate(logs, low)]
        top = max(terms)
        total = top + math.log(sum(math.exp(t - top) for t in terms))
        return new_events * step - total

    null = log_likelihood(odds[0])
    return tuple(log_likelihood(ratio) - null for ratio in odds[1:])


def _log_choose(n: int, k: int) -> float:
    return math.lgamma(n + 1) - math.lgamma(k + 1) - math.lgamma(n - k + 1)


def _odds(rate: float) -> float:
    return rate / (1 - rate)


def _upper_bound(events: float, count: float) -> float:
    """Return Wilson's upper bound of a rate."""
    z2 = REFERENCE_Z**2
    rate = events / count
    centre = rate + z2 / (2 * count)
    spread = math.sqrt(rate * (1 - rate) / count + z2 / (4 * count**2))
    return min(RATE_CEILING, (centre + REFERENCE_Z * spread) / (1 + z2 / count))


def _log_good(
    events: int, count: int, old_rate: float, margin: float
) -> tuple[float, ...]:
    good = min(max(old_rate, RATE_FLOOR), RATE_CEILING - margin)
    bad = good + margin
    ratio = events * math.log(good / bad)
    return (ratio + (count - events) * math.log((1 - good) / (1 - bad)),)
