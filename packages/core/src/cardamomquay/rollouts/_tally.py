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
# The new version is also worse with this many slow answers, if their share exceeds that
# of the old one by this margin. Cold objects make about a tenth of a version's answers
# slow.
SLOW_ANSWERS_MIN = 6
SLOW_RATE_MARGIN = 0.4


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
    def slow_rate(self) -> float:
        """Share of slow answers; 0 without answers."""
        return self.slow / self.answers if self.answers else 0.0


@dataclass
class VersionTallies:
    """Answer counts of both versions over the same period."""

    new: Tally = field(default_factory=Tally)
    old: Tally = field(default_factory=Tally)

    def add(self, other: VersionTallies) -> None:
        """Add other counts to these."""
        self.new.add(other.new)
        self.old.add(other.old)

    @property
    def is_new_worse(self) -> bool:
        """Whether the new version is clearly worse than the old one."""
        new, old = self.new, self.old
        if new.errors >= ERRORS_MIN and self._has_more_errors():
            return True
        slow_limit = SLOW_RATE_MARGIN + old.slow_rate
        return new.slow >= SLOW_ANSWERS_MIN and new.slow_rate >= slow_limit

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
