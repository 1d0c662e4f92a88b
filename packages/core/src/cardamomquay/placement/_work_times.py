"""Processing times of requests for warm and for cold objects."""

from __future__ import annotations

from dataclasses import dataclass

# Initial estimates as multiples of the latency objective: a cold object takes longer
# than the objective, a warm one much less. An objective may also exceed both times.
COLD_TO_OBJECTIVE_RATIO = 1.4
WARM_TO_OBJECTIVE_RATIO = 0.45
# Estimate for warm objects as a share of that for cold ones, while only those have been
# measured.
WARM_TO_COLD_RATIO = 0.32
WORK_TIME_EWMA_WEIGHT = 0.05
# With fewer samples a time is too uncertain to refuse a request.
SAMPLES_MIN = 10
# Samples that differ from the mean by more than this factor are ignored: they reflect
# the state of the upstream, not the processing time of the route.
OUTLIER_FACTOR = 3.0


@dataclass
class WorkTimes:
    """Mean processing times of one route for warm and cold objects, in seconds.

    Parameters
    ----------
    warm_s, cold_s : float
    warm_samples, cold_samples : int
        Numbers of measurements in the means.
    """

    warm_s: float
    cold_s: float
    warm_samples: int = 0
    cold_samples: int = 0

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

    def record_work_time(self, was_expected_warm: bool, work_s: float) -> bool:
        """Update a mean from a request that did not wait for a slot.

        Parameters
        ----------
        was_expected_warm : bool
            Whether the upstream was assumed to have the object cached. The measured
            time decides instead once both means are known. Before that they follow
            from the objective, and a route whose objective is generous would take all
            its samples for warm ones.
        work_s : float

        Returns
        -------
        bool
            Whether the request was taken for one with a warm object.
        """
        is_settled = self.is_measured(True) and self.is_measured(False)
        is_warm = self.looks_warm(work_s) if is_settled else was_expected_warm
        expected = self.expected_s(is_warm)
        if not expected / OUTLIER_FACTOR <= work_s <= expected * OUTLIER_FACTOR:
            return is_warm
        if is_warm:
            self.warm_samples += 1
            weight = max(WORK_TIME_EWMA_WEIGHT, 1.0 / (1 + self.warm_samples))
            self.warm_s += weight * (work_s - expected)
        else:
            self.cold_samples += 1
            weight = max(WORK_TIME_EWMA_WEIGHT, 1.0 / (1 + self.cold_samples))
            self.cold_s += weight * (work_s - expected)
            if self.warm_samples == 0:
                self.warm_s = WARM_TO_COLD_RATIO * self.cold_s
        return is_warm

    def is_measured(self, is_warm: bool) -> bool:
        """Return whether there are enough samples of one kind to rely on."""
        return (self.warm_samples if is_warm else self.cold_samples) >= SAMPLES_MIN

    def looks_warm(self, work_s: float) -> bool:
        """Return whether a processing time is closer to the warm mean."""
        return work_s < (self.warm_s + self.cold_s) / 2
