"""Answers of the old and the new version since an order."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# Fewer failures than this may be chance.
ERRORS_MIN = 4
# A bad version fails at least this often, beyond three times what the old one does,
# since faults that hit both versions hit them by chance unequally.
ERROR_RATE_MIN = 0.08
ERROR_RATE_FACTOR = 3.0
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
        error_limit = ERROR_RATE_MIN + ERROR_RATE_FACTOR * old.error_rate
        fails = new.errors >= ERRORS_MIN and new.error_rate >= error_limit
        slow_limit = SLOW_RATE_MIN + old.slow_rate
        return fails or (new.slow >= SLOW_MIN and new.slow_rate >= slow_limit)
