"""Gradual roll-outs of a new version that runs beside the old one."""

from __future__ import annotations

from cardamomquay.rollouts._answer_counts import AnswerCounts
from cardamomquay.rollouts._answer_counts import PendingAnswer
from cardamomquay.rollouts._orders import RolloutOrder
from cardamomquay.rollouts._orders import RolloutOutcome
from cardamomquay.rollouts._rollout import Rollout
from cardamomquay.rollouts._rollout import RolloutSnapshot
from cardamomquay.rollouts._tally import Tally
from cardamomquay.rollouts._tally import VersionTallies

__all__ = [
    "AnswerCounts",
    "PendingAnswer",
    "Rollout",
    "RolloutOrder",
    "RolloutOutcome",
    "RolloutSnapshot",
    "Tally",
    "VersionTallies",
]
