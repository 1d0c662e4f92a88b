"""Answer counts of the old and the new version during a roll-out."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field

# Fewer errors than this may be random.
ERRORS_MIN = 4
# The new version is worse if its error rate exceeds that of the old one by this margin
# and the difference is significant in a two-proportion z-test, so that faults which
# affect both do not count. A good version exceeds the limit in one of 200 evaluations.
ERROR_RATE_MARGIN = 0.08
ERROR_Z_SCORE = 2.6
# The new version is also worse with this many failed or slow answers, if the counts are
# this much more likely for a bad version than for a good one (natural logarithm).
BAD_ANSWERS_MIN = 4
WORSE_LOG_RATIO = 3.0
# A good version has slightly more slow answers than the old one, since it has to load
# objects. A bad version fails or delays this share of the answers that would be good.
GOOD_RATE_ALLOWANCE = 0.05
BAD_VERSION_SHARE = 0.4
# Good and bad answers that are added to those of the old version, so that its rate is
# neither 0 nor 1.
PRIOR_ANSWERS = 10.0
PRIOR_BAD_ANSWERS = 0.5


@dataclass
class Tally:
    """Answer counts of one version.

    Parameters
    ----------
    answers : int
        Requests that the version has run, with any result.
    errors : int
        Failed or malformed answers.
    slow : int
        Answers that took several times as long as expected, or timed out.
    """

    answers: int = 0
    errors: int = 0
    slow: int = 0

    def add(self, other: Tally) -> None:
        """Add other counts to these."""
        self.answers += other.answers
        self.errors += other.errors
        self.slow += other.slow

    @property
    def error_rate(self) -> float:
        """Share of failed answers; 0 without answers."""
        return self.errors / self.answers if self.answers else 0.0

    @property
    def bad_answers(self) -> int:
        """Number of failed and slow answers."""
        return self.errors + self.slow

    def since(self, earlier: Tally) -> Tally:
        """Return the counts that were added to earlier ones.

        A count is 0 if it fell, as it does when a host that has counted restarts.
        """
        return Tally(
            max(0, self.answers - earlier.answers),
            max(0, self.errors - earlier.errors),
            max(0, self.slow - earlier.slow),
        )


@dataclass
class VersionTallies:
    """Answer counts of both versions over the same period."""

    new: Tally = field(default_factory=Tally)
    old: Tally = field(default_factory=Tally)

    def add(self, other: VersionTallies) -> None:
        """Add other counts to these."""
        self.new.add(other.new)
        self.old.add(other.old)

    def since(self, earlier: VersionTallies) -> VersionTallies:
        """Return the counts that were added to earlier ones."""
        return VersionTallies(self.new.since(earlier.new), self.old.since(earlier.old))

    @property
    def is_new_worse(self) -> bool:
        """Whether the new version is clearly worse than the old one."""
        if self.new.errors >= ERRORS_MIN and self._has_more_errors():
            return True
        return (
            self.new.bad_answers >= BAD_ANSWERS_MIN
            and self.log_likelihood_ratio >= WORSE_LOG_RATIO
        )

    @property
    def log_likelihood_ratio(self) -> float:
        """Evidence that the new version is bad, negative if that it is good.

        The statistic of a sequential probability ratio test (Wald, 1945), which stays
        valid when it is computed after each answer. With few answers it is near 0.
        """
        new, old = self.new, self.old
        old_rate = (old.bad_answers + PRIOR_BAD_ANSWERS) / (old.answers + PRIOR_ANSWERS)
        if_good = min(0.95, old_rate + GOOD_RATE_ALLOWANCE)
        if_bad = if_good + BAD_VERSION_SHARE * (1.0 - if_good)
        good_answers = max(0, new.answers - new.bad_answers)
        return new.bad_answers * math.log(if_bad / if_good) + good_answers * math.log(
            (1.0 - if_bad) / (1.0 - if_good)
        )

    def _has_more_errors(self) -> bool:
        new, old = self.new, self.old
        difference = new.error_rate - old.error_rate
        if difference < ERROR_RATE_MARGIN:
            return False
        total = new.answers + old.answers
        pooled = (new.errors + old.errors) / total
        variance = pooled * (1.0 - pooled) / new.answers
        if old.answers:
            variance += pooled * (1.0 - pooled) / old.answers
        return difference >= ERROR_Z_SCORE * math.sqrt(variance)
