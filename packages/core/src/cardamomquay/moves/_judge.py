"""The verdict on a new version."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomquay.moves._evidence import Evidence

# Chance that a version no worse than the old one is ever judged bad in a move by
# the controller, shared by the three tests.
FALSE_ALARM = 0.01
# The same chance for all the hosts' own stops together.
FALSE_STOP = 0.005
# Chance that a version worse by a margin is ever judged good in one step.
FALSE_PROOF = 0.05


class Verdict(StrEnum):
    """What the evidence shows."""

    GOOD = "good"
    BAD = "bad"
    UNPROVEN = "unproven"


@dataclass(frozen=True, slots=True)
class Judgement:
    """A verdict with its reason and its confidence.

    Parameters
    ----------
    verdict : Verdict
    reason : str
        ``errors``, ``latency`` or ``latency_in_warm_up`` for a bad version.
    confidence : float
        Lower bound that holds over all looks; 0 for an unproven version.
    """

    verdict: Verdict
    reason: str = ""
    confidence: float = 0.0


def judge(evidence: Evidence, false_alarm: float = FALSE_ALARM) -> Judgement:
    """Judge a new version against the old one.

    Parameters
    ----------
    evidence : Evidence
    false_alarm : float
        Chance, over all looks, that a version no worse than the old one is judged
        bad.

    Returns
    -------
    Judgement
        Few requests give ``unproven``.
    """
    by_reason = {
        "errors": evidence.errors.log_value,
        "latency": evidence.slow.log_value,
        "latency_in_warm_up": evidence.cold.log_value,
    }
    # Bonferroni over the tests.
    bad_from = math.log(len(by_reason) / false_alarm)
    reason, highest = max(by_reason.items(), key=lambda item: item[1])
    if highest >= bad_from:
        return Judgement(Verdict.BAD, reason, 1.0 - len(by_reason) * math.exp(-highest))
    # Both margins have to be excluded, so neither needs a share of the chance.
    lowest = min(evidence.good_errors.log_value, evidence.good_slow.log_value)
    if lowest >= math.log(1.0 / FALSE_PROOF):
        return Judgement(Verdict.GOOD, "", 1.0 - math.exp(-lowest))
    return Judgement(Verdict.UNPROVEN)


def is_plainly_bad(own: Evidence, fleet: Evidence, hosts: int) -> Judgement | None:
    """Apply the rule by which a host stops on its own.

    Parameters
    ----------
    own, fleet : Evidence
        What this host saw, and what it heard from all hosts.
    hosts : int
        Hosts that apply the rule; they share `FALSE_STOP`.

    Returns
    -------
    Judgement or None
        None if the host goes on.
    """
    false_alarm = FALSE_STOP / (2 * max(1, hosts))
    for evidence in (own, fleet):
        judgement = judge(evidence, false_alarm)
        if judgement.verdict is Verdict.BAD:
            return judgement
    return None
