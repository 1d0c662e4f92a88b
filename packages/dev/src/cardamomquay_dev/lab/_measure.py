"""Plays an experiment with each way to choose."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

from cardamomquay.placement import OverloadControl
from cardamomquay_dev.lab.load_model import OBJECTIVE_S
from cardamomquay_dev.lab.load_model import SLOTS
from cardamomquay_dev.lab.load_model import FixedPolicy
from cardamomquay_dev.lab.load_model import LeastLoadedPolicy
from cardamomquay_dev.lab.load_model import LoadModel
from cardamomquay_dev.lab.load_model import Outcome
from cardamomquay_dev.lab.load_model import PlacementPolicy
from cardamomquay_dev.lab.load_model import Policy
from cardamomquay_dev.lab.load_model import RandomPolicy
from cardamomquay_dev.lab.load_model import Server
from cardamomquay_dev.lab.load_model import upstream

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cardamomquay_dev.lab._experiment import Experiment

# What a late answer is worth beside one in time, as on the users' sheets.
LATE_WORTH = 0.2
POLICIES: dict[str, Callable[[list[str], int], Policy]] = {
    "random": lambda zones, seed: RandomPolicy(seed),
    "least loaded in region": lambda zones, seed: LeastLoadedPolicy(zones),
    "one fixed upstream": lambda zones, seed: FixedPolicy(),
    "placement": lambda zones, seed: PlacementPolicy(zones),
}


@dataclass(frozen=True, slots=True)
class PolicyResult:
    """Figures of one way to choose, over all seeds of an experiment.

    Parameters
    ----------
    policy : str
    worth : float
        Mean over requests: 1 in time, `LATE_WORTH` if late, 0 without an answer.
    worth_by_zone : dict of str to float
    worst_window : float
        Least worth of any two seconds, mean over the seeds.
    answered, refused : float
        Shares of the requests.
    latencies_s : ndarray of shape (n_answered,)
        In seconds, sorted.
    in_time_by_second : ndarray of shape (n_seconds,)
        Share of the requests asked in each second.
    use : float
        Share of all slots' time that was spent on requests.
    """

    policy: str
    worth: float
    worth_by_zone: dict[str, float]
    worst_window: float
    answered: float
    refused: float
    latencies_s: np.ndarray
    in_time_by_second: np.ndarray
    use: float

    def latency_s(self, share: float) -> float:
        """Return the latency that a share of the answers kept; NaN without any."""
        if not self.latencies_s.size:
            return float("nan")
        return float(np.quantile(self.latencies_s, share))


def run_experiment(experiment: Experiment) -> list[PolicyResult]:
    """Play an experiment with every policy.

    Parameters
    ----------
    experiment : Experiment

    Returns
    -------
    list of PolicyResult
        In the order of `POLICIES`.
    """
    return [_run_policy(experiment, name) for name in POLICIES]


def _run_policy(experiment: Experiment, name: str) -> PolicyResult:
    models = [_play(experiment, name, seed) for seed in experiment.seeds]
    outcomes = [outcome for model in models for outcome in model.outcomes]
    answers = [
        outcome.answered_s - outcome.asked_s
        for outcome in outcomes
        if outcome.answered_s is not None
    ]
    windows = [_worst_window(model.outcomes, experiment.seconds) for model in models]
    seconds = range(int(experiment.seconds))
    slots = sum(experiment.upstreams.values()) * SLOTS
    return PolicyResult(
        name,
        _worth(outcomes),
        {
            zone: _worth([o for o in outcomes if o.zone == zone])
            for zone in experiment.hosts
        },
        float(np.mean(windows)),
        len(answers) / len(outcomes),
        sum(o.refused for o in outcomes) / len(outcomes),
        np.sort(np.array(answers)),
        np.array([_in_time(_asked(outcomes, s, s + 1)) for s in seconds]),
        sum(model.busy_s for model in models)
        / (slots * experiment.seconds * len(models)),
    )


def _play(experiment: Experiment, name: str, seed: int) -> LoadModel:
    zones: list[str] = []
    for zone, count in experiment.hosts.items():
        zones += [zone] * count
    placed = [zone for zone, n in experiment.upstreams.items() for _ in range(n)]
    servers = [Server(upstream(n, zone)) for n, zone in enumerate(placed)]
    model = LoadModel(
        POLICIES[name](zones, seed),
        zones,
        servers,
        seed,
        OverloadControl(random.Random(seed)),
    )
    per_s = experiment.requests_per_s
    model.offer(0.0, experiment.seconds, per_s, experiment.objects)
    for fault in experiment.faults:
        if fault.kind == "zone_loss":
            model.lose(fault.at_s, fault.zone)
        else:
            more_per_s = (fault.factor - 1.0) * per_s
            end_s = fault.at_s + fault.lasts_s
            model.offer(fault.at_s, end_s, more_per_s, experiment.objects)
    model.run()
    return model


def _asked(outcomes: Iterable[Outcome], from_s: float, to_s: float) -> list[Outcome]:
    return [outcome for outcome in outcomes if from_s <= outcome.asked_s < to_s]


def _is_in_time(outcome: Outcome) -> bool:
    answered_s = outcome.answered_s
    return answered_s is not None and answered_s - outcome.asked_s <= OBJECTIVE_S


def _in_time(outcomes: list[Outcome]) -> float:
    return sum(map(_is_in_time, outcomes)) / max(1, len(outcomes))


def _worth(outcomes: list[Outcome]) -> float:
    in_time = sum(map(_is_in_time, outcomes))
    late = sum(outcome.answered_s is not None for outcome in outcomes) - in_time
    return (in_time + LATE_WORTH * late) / max(1, len(outcomes))


def _worst_window(outcomes: list[Outcome], seconds: float) -> float:
    return min(_worth(_asked(outcomes, s, s + 2)) for s in range(int(seconds) - 1))
