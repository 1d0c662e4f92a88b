"""Roll-out orders from the operator."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RolloutOutcome(StrEnum):
    """State of a roll-out, as reported to the operator."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Order to move a service's traffic to a version within a given time.

    Parameters
    ----------
    service : str
    to_version : str
    duration_s : float
        From the order to its deadline.
    revision : int
        Store revision at which the order was written.
    """

    service: str
    to_version: str
    duration_s: float
    revision: int
