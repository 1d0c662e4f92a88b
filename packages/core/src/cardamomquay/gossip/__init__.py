"""Observations that hosts pass on to each other."""

from __future__ import annotations

from cardamomquay.gossip._observation_log import ACCEPTED_AGE_MAX_S
from cardamomquay.gossip._observation_log import REPORT_REPEAT_S
from cardamomquay.gossip._observation_log import REPORTS_MAX
from cardamomquay.gossip._observation_log import Observation
from cardamomquay.gossip._observation_log import ObservationKind
from cardamomquay.gossip._observation_log import ObservationLog
from cardamomquay.gossip._observation_log import encode_observations

__all__ = [
    "ACCEPTED_AGE_MAX_S",
    "REPORTS_MAX",
    "REPORT_REPEAT_S",
    "Observation",
    "ObservationKind",
    "ObservationLog",
    "encode_observations",
]
