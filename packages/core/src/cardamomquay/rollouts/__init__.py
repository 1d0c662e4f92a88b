"""Moves of a service's traffic to a new version that runs beside the old one."""

from __future__ import annotations

from cardamomquay.rollouts._orders import RolloutOrder
from cardamomquay.rollouts._orders import RolloutOutcome

__all__ = ["RolloutOrder", "RolloutOutcome"]
