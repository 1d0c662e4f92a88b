"""Processing times of requests for warm and for cold objects."""

from __future__ import annotations

from dataclasses import dataclass

# Initial estimates as multiples of the latency objective: a cold object takes longer
# than the objective, a warm one much less.
COLD_TO_OBJECTIVE_RATIO = 1.4
WARM_TO_OBJECTIVE_RATIO = 0.45
WORK_TIME_EWMA_WEIGHT = 0.05
# With fewer samples the times are too uncertain to refuse a request.
SAMPLES_MIN = 10
# Samples that differ from the mean by more than this factor are ignored: they reflect
# the state of the upstream, not the processing time of the route.
OUTLIER_FACTOR = 3.0


@dataclass
class WorkTimes:
    """Mean processing times of one route for warm and cold objects, in seconds."""

    warm_s: float
    cold_s: float
    samples: int = 0

    @classmethod
    def from_objective(cls, objective_s: float) -> WorkTimes:
        """Return the times assumed before the first measurement."""
        return cls(
            WARM_TO_OBJECTIVE_RATIO * objective_s, COLD_TO_OBJECTIVE_RATIO * objective_s
        )

    def expected_s(self, is_warm: bool) -> float:
        """Return the expected processing time of a request."""
        return self.warm_s if is_warm else self.cold_s

    @property
    def mean_s(self) -> float:
        """Mean of the warm and the cold processing time."""
        return (self.warm_s + self.cold_s) / 2

    def record_work_time(self, is_warm: bool, work_s: float) -> None:
        """Update the mean from a request that did not wait for a slot."""
        expected = self.expected_s(is_warm)
        if not expected / OUTLIER_FACTOR <= work_s <= expected * OUTLIER_FACTOR:
            return
        self.samples += 1
        step = WORK_TIME_EWMA_WEIGHT * (work_s - expected)
        if is_warm:
            self.warm_s += step
        else:
            self.cold_s += step

    @property
    def is_measured(self) -> bool:
        """Whether there are enough samples to rely on."""
        return self.samples >= SAMPLES_MIN

    def looks_warm(self, work_s: float) -> bool:
        """Return whether a processing time is closer to the warm mean."""
        return work_s < (self.warm_s + self.cold_s) / 2
