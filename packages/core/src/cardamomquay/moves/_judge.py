"""Decides whether a new version is good or bad compared with the old one."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomquay.moves._evidence import Evidence

# Probability that, in one move, the controller ever judges a version bad that is no
# worse than the old one. The three tests share it.
FALSE_ALARM_PROBABILITY = 0.01
# The same probability for the stops that hosts decide by themselves, over all hosts.
LOCAL_STOP_FALSE_ALARM_PROBABILITY = 0.005
# Probability that, in one step, a version that is worse by a margin is ever judged
# good.
FALSE_PROOF_PROBABILITY = 0.05


class Verdict(StrEnum):
    """Result of comparing a new version with the old one."""

    GOOD = "good"
    BAD = "bad"
    UNPROVEN = "unproven"


@dataclass(frozen=True, slots=True)
class Judgement:
    """A verdict with its reason and confidence.

    Parameters
    ----------
    verdict : Verdict
    reason : str
        Why the version is bad: ``errors``, ``latency`` or ``latency_in_warm_up``. If a
        host stopped the move, ``stopped_by_`` and the name of that peer, or
        ``stopped_by_controller`` if it was the controller's host itself. Empty for
        other verdicts.
    confidence : float
        One minus an upper bound of the probability of a wrong verdict by chance. The
        bound holds however often the evidence is looked at. 0 for an unproven version.
    """

    verdict: Verdict
    reason: str = ""
    confidence: float = 0.0


def judge(
    evidence: Evidence, false_alarm_probability: float = FALSE_ALARM_PROBABILITY
) -> Judgement:
    """Judge a new version against the old one.

    Parameters
    ----------
    evidence : Evidence
    false_alarm_probability : float
        Probability that a version no worse than the old one is ever judged bad in
        one move, however often this is called.

    Returns
    -------
    Judgement
        ``unproven`` if there are too few requests.
    """
    by_reason = {
        "errors": evidence.errors.log_value,
        "latency": evidence.slow.log_value,
        "latency_in_warm_up": evidence.slow_in_warm_up.log_value,
    }
    # Bonferroni correction: each test gets an equal part of the probability.
    bad_threshold = math.log(len(by_reason) / false_alarm_probability)
    reason, highest = max(by_reason.items(), key=lambda item: item[1])
    if highest >= bad_threshold:
        return Judgement(Verdict.BAD, reason, 1.0 - len(by_reason) * math.exp(-highest))
    # The version is good only if both tests say so, so the probability need not be
    # divided between them.
    lowest = min(
        evidence.proof_by_errors.log_value, evidence.proof_by_latency.log_value
    )
    if lowest >= math.log(1.0 / FALSE_PROOF_PROBABILITY):
        return Judgement(Verdict.GOOD, "", 1.0 - math.exp(-lowest))
    return Judgement(Verdict.UNPROVEN)


def find_local_stop(local: Evidence, fleet: Evidence, hosts: int) -> Judgement | None:
    """Decide whether this host stops a move without waiting for the controller.

    Parameters
    ----------
    local, fleet : Evidence
        From this host's requests, and from the reports of all hosts.
    hosts : int
        Number of live hosts. Each decides for itself, and all together share
        `LOCAL_STOP_FALSE_ALARM_PROBABILITY`.

    Returns
    -------
    Judgement or None
        Why the host stops the move; None if it does not.
    """
    # Each host judges two sets of evidence.
    false_alarm_probability = LOCAL_STOP_FALSE_ALARM_PROBABILITY / (2 * max(1, hosts))
    for evidence in (local, fleet):
        judgement = judge(evidence, false_alarm_probability)
        if judgement.verdict is Verdict.BAD:
            return judgement
    return None
