"""Orders of the operator to move a service to a new version."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RolloutOutcome(StrEnum):
    """State of a roll-out, as the operator is told."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Asks for a service's traffic to be moved to a version by a set time.

    Parameters
    ----------
    service : str
    to_version : str
    duration_s : float
        From the order to its deadline.
    revision : int
        Revision of the store at which the order was written.
    """

    service: str
    to_version: str
    duration_s: float
    revision: int
