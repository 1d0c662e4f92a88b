"""Simulates an experiment with each policy."""

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
from cardamomquay_dev.lab.load_model import make_upstream

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cardamomquay_dev.lab._experiment import Experiment

# Value of a late answer relative to one in time, as the users rate it.
LATE_ANSWER_VALUE = 0.2
POLICIES: dict[str, Callable[[list[str], int], Policy]] = {
    "random": lambda zones, seed: RandomPolicy(seed),
    "least loaded in region": lambda zones, seed: LeastLoadedPolicy(zones),
    "one fixed upstream": lambda zones, seed: FixedPolicy(),
    "placement": lambda zones, seed: PlacementPolicy(zones),
}


@dataclass(frozen=True, slots=True)
class PolicyResult:
    """Figures of one policy over all seeds of an experiment.

    Parameters
    ----------
    policy : str
    mean_value : float
        Mean over requests: 1 if answered in time, `LATE_ANSWER_VALUE` if late, 0
        without an answer.
    value_by_zone : dict of str to float
    worst_window_value : float
        Least mean value in any two seconds, averaged over the seeds.
    answered_share, refused_share : float
        Shares of the requests; refused counts those refused at least once.
    latencies_s : ndarray of shape (n_answered,)
        Of all answers, sorted.
    in_time_by_second : ndarray of shape (n_seconds,)
        Share of the requests sent in each second that were answered in time.
    slot_utilisation : float
        Share of the time of all slots that was spent on requests.
    """

    policy: str
    mean_value: float
    value_by_zone: dict[str, float]
    worst_window_value: float
    answered_share: float
    refused_share: float
    latencies_s: np.ndarray
    in_time_by_second: np.ndarray
    slot_utilisation: float

    def latency_quantile_s(self, share: float) -> float:
        """Return a quantile of the latencies, NaN without answers."""
        if not self.latencies_s.size:
            return float("nan")
        return float(np.quantile(self.latencies_s, share))


def run_experiment(experiment: Experiment) -> list[PolicyResult]:
    """Simulate an experiment with every policy.

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
    models = [_simulate(experiment, name, seed) for seed in experiment.seeds]
    outcomes = [outcome for model in models for outcome in model.outcomes]
    latencies_s = [
        outcome.answered_s - outcome.asked_s
        for outcome in outcomes
        if outcome.answered_s is not None
    ]
    windows = [
        _worst_window_value(model.outcomes, experiment.seconds) for model in models
    ]
    seconds = range(int(experiment.seconds))
    slots = sum(experiment.upstreams.values()) * SLOTS
    return PolicyResult(
        name,
        _mean_value(outcomes),
        {
            zone: _mean_value([o for o in outcomes if o.zone == zone])
            for zone in experiment.hosts
        },
        float(np.mean(windows)),
        len(latencies_s) / len(outcomes),
        sum(o.refused for o in outcomes) / len(outcomes),
        np.sort(np.array(latencies_s)),
        np.array([_in_time_share(_asked_between(outcomes, s, s + 1)) for s in seconds]),
        sum(model.busy_s for model in models)
        / (slots * experiment.seconds * len(models)),
    )


def _simulate(experiment: Experiment, name: str, seed: int) -> LoadModel:
    zones: list[str] = []
    for zone, count in experiment.hosts.items():
        zones += [zone] * count
    upstream_zones = [
        zone for zone, n in experiment.upstreams.items() for _ in range(n)
    ]
    servers = [Server(make_upstream(n, zone)) for n, zone in enumerate(upstream_zones)]
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
            model.lose_zone(fault.at_s, fault.zone)
        else:
            extra_per_s = (fault.factor - 1.0) * per_s
            end_s = fault.at_s + fault.lasts_s
            model.offer(fault.at_s, end_s, extra_per_s, experiment.objects)
    model.run()
    return model


def _asked_between(
    outcomes: Iterable[Outcome], from_s: float, to_s: float
) -> list[Outcome]:
    return [outcome for outcome in outcomes if from_s <= outcome.asked_s < to_s]


def _is_in_time(outcome: Outcome) -> bool:
    answered_s = outcome.answered_s
    return answered_s is not None and answered_s - outcome.asked_s <= OBJECTIVE_S


def _in_time_share(outcomes: list[Outcome]) -> float:
    return sum(map(_is_in_time, outcomes)) / max(1, len(outcomes))


def _mean_value(outcomes: list[Outcome]) -> float:
    in_time = sum(map(_is_in_time, outcomes))
    late = sum(outcome.answered_s is not None for outcome in outcomes) - in_time
    return (in_time + LATE_ANSWER_VALUE * late) / max(1, len(outcomes))


def _worst_window_value(outcomes: list[Outcome], seconds: float) -> float:
    return min(
        _mean_value(_asked_between(outcomes, s, s + 2)) for s in range(int(seconds) - 1)
    )
