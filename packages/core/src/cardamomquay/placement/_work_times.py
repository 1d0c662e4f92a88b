"""How long an upstream works on a request, with and without the object at hand."""

from __future__ import annotations

from dataclasses import dataclass

# An objective lies below the work on an object that is new to the upstream, and
# far above the work on one that it handled lately.
COLD_TO_OBJECTIVE = 1.4
WARM_TO_OBJECTIVE = 0.45
LEARNING_RATE = 0.05
# With fewer samples the times are too uncertain to refuse a request for them.
SAMPLES_MIN = 10
# A sample far outside the usual says something of the upstream, not of the work.
OUTLIER = 3.0


@dataclass
class WorkTimes:
    """Mean work on warm and cold objects of one route, in seconds."""

    warm_s: float
    cold_s: float
    samples: int = 0

    @classmethod
    def from_objective(cls, objective_s: float) -> WorkTimes:
        """Return the times assumed before anything is measured."""
        return cls(WARM_TO_OBJECTIVE * objective_s, COLD_TO_OBJECTIVE * objective_s)

    def expected_s(self, is_warm: bool) -> float:
        """Return the expected work on a request."""
        return self.warm_s if is_warm else self.cold_s

    @property
    def mean_s(self) -> float:
        """Mean of warm and cold work, for upstreams that get both."""
        return (self.warm_s + self.cold_s) / 2

    def observe(self, is_warm: bool, work_s: float) -> None:
        """Learn from a request that did not wait for a slot."""
        expected = self.expected_s(is_warm)
        if not expected / OUTLIER <= work_s <= expected * OUTLIER:
            return
        self.samples += 1
        step = LEARNING_RATE * (work_s - expected)
        if is_warm:
            self.warm_s += step
        else:
            self.cold_s += step

    @property
    def is_measured(self) -> bool:
        """Whether there are enough samples to rely on."""
        return self.samples >= SAMPLES_MIN

    def looks_warm(self, work_s: float) -> bool:
        """Tell whether the work fits a warm object better than a cold one."""
        return work_s < (self.warm_s + self.cold_s) / 2
