"""Tells whether requests of different priority compete for a service now."""

from __future__ import annotations

# Weight that earlier requests keep with each further one: about the last hundred count.
REQUEST_DECAY = 0.99
# Requests of other priorities than the most frequent one compete if they are at least
# this share. Few requests gain nothing from a refusal of many others.
COMPETING_SHARE_MIN = 0.1


class PriorityMix:
    """Counts the recent requests of each service by the priority of their routes."""

    def __init__(self) -> None:
        self._counts: dict[str, dict[int, float]] = {}

    def record(self, service: str, priority: int) -> None:
        """Count a request.

        Parameters
        ----------
        service : str
        priority : int
            Of its route.
        """
        counts = self._counts.setdefault(service, {})
        for known in counts:
            counts[known] *= REQUEST_DECAY
        counts[priority] = counts.get(priority, 0.0) + 1.0

    def is_competing(self, service: str) -> bool:
        """Return whether requests of more than one priority are frequent."""
        counts = self._counts.get(service, {})
        total = sum(counts.values())
        return total - max(counts.values(), default=0.0) > COMPETING_SHARE_MIN * total
