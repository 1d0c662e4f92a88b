"""Round-trip times to availability zones, learned from answers."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# Before anything is measured: typical round trips inside a zone, between zones of a
# region, and between regions, in seconds.
SAME_ZONE_S = 0.0005
SAME_REGION_S = 0.002
OTHER_REGION_S = 0.09
# Weight of a new measurement of a connection's set-up.
LEARNING_RATE = 0.2


@dataclass
class Distances:
    """What a request to an availability zone costs beside the upstream's work.

    Parameters
    ----------
    zone : str
        The host's own availability zone.
    region_of : dict of str to str
        Region by availability zone.
    crossing_penalty_s : float
        Latency that is worth as much as the bytes of one request between zones.
    """

    zone: str
    region_of: dict[str, str]
    crossing_penalty_s: float = 0.0
    _measured_s: dict[str, float] = field(default_factory=dict)

    @property
    def region(self) -> str:
        """The host's own region."""
        return self.region_of.get(self.zone, "")

    def observe(self, zone: str, round_trip_s: float) -> None:
        """Learn from the set-up time of a connection."""
        before = self._measured_s.get(zone, round_trip_s)
        self._measured_s[zone] = before + LEARNING_RATE * (round_trip_s - before)

    def round_trip_s(self, zone: str) -> float:
        """Return the round-trip time to a zone in seconds."""
        measured = self._measured_s.get(zone)
        if measured is not None:
            return measured
        if zone == self.zone:
            return SAME_ZONE_S
        if self.region_of.get(zone) == self.region:
            return SAME_REGION_S
        return OTHER_REGION_S

    def cost_s(self, zone: str) -> float:
        """Return the round trip plus what crossing zones is worth, in seconds."""
        penalty = 0.0 if zone == self.zone else self.crossing_penalty_s
        return self.round_trip_s(zone) + penalty
