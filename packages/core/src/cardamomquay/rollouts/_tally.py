"""Answers of the old and the new version since an order."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field

# Fewer failures than this may be chance.
ERRORS_MIN = 4
# A bad version fails at least this much more often than the old one, and more often
# than faults that hit both would explain: a two-proportion z-test, whose limit a good
# version passes in one of 200 looks.
ERROR_RATE_MARGIN = 0.08
ERROR_Z = 2.6
# Objects that are new to a version make about a tenth of its answers slow.
SLOW_MIN = 6
SLOW_RATE_MIN = 0.4


@dataclass
class Tally:
    """Answers of one version.

    Parameters
    ----------
    answers : int
        Requests that the version ran, whatever came of them.
    errors : int
        Failed or broken answers.
    slow : int
        Answers that came several times later than expected, or not in time.
    """

    answers: int = 0
    errors: int = 0
    slow: int = 0

    def add(self, other: Tally) -> None:
        """Add the figures of another host."""
        self.answers += other.answers
        self.errors += other.errors
        self.slow += other.slow

    @property
    def error_rate(self) -> float:
        """Share of failed answers, 0 without any."""
        return self.errors / self.answers if self.answers else 0.0

    @property
    def slow_rate(self) -> float:
        """Share of slow answers, 0 without any."""
        return self.slow / self.answers if self.answers else 0.0


@dataclass
class VersionTallies:
    """Both versions side by side, in the same time."""

    new: Tally = field(default_factory=Tally)
    old: Tally = field(default_factory=Tally)

    def add(self, other: VersionTallies) -> None:
        """Add the figures of another host."""
        self.new.add(other.new)
        self.old.add(other.old)

    @property
    def is_bad(self) -> bool:
        """Whether the new version is plainly worse than the old one."""
        new, old = self.new, self.old
        if new.errors >= ERRORS_MIN and self._fails_more():
            return True
        slow_limit = SLOW_RATE_MIN + old.slow_rate
        return new.slow >= SLOW_MIN and new.slow_rate >= slow_limit

    def _fails_more(self) -> bool:
        new, old = self.new, self.old
        margin = new.error_rate - old.error_rate
        if margin < ERROR_RATE_MARGIN:
            return False
        total = new.answers + old.answers
        pooled = (new.errors + old.errors) / total
        variance = pooled * (1.0 - pooled) / new.answers
        if old.answers:
            variance += pooled * (1.0 - pooled) / old.answers
        return margin >= ERROR_Z * math.sqrt(variance)
