"""Round-trip times to availability zones, measured on new connections."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# Round-trip times assumed before the first measurement.
SAME_ZONE_RTT_S = 0.0005
SAME_REGION_RTT_S = 0.002
OTHER_REGION_RTT_S = 0.09
# Weight of the latest connection set-up time in the moving average.
ROUND_TRIP_EWMA_WEIGHT = 0.2


@dataclass
class ZoneLatencies:
    """Latency that an availability zone adds to the upstream's processing time.

    Parameters
    ----------
    zone : str
        The host's own availability zone.
    region_of : dict of str to str
        Region by availability zone.
    cross_zone_penalty_s : float
        Latency equivalent of the cost of sending one request to another zone.
    """

    zone: str
    region_of: dict[str, str]
    cross_zone_penalty_s: float = 0.0
    _measured_s: dict[str, float] = field(default_factory=dict)

    @property
    def region(self) -> str:
        """The host's own region."""
        return self.region_of.get(self.zone, "")

    def record_round_trip(self, zone: str, round_trip_s: float) -> None:
        """Update the round-trip time of a zone from a connection set-up time."""
        before = self._measured_s.get(zone, round_trip_s)
        self._measured_s[zone] = before + ROUND_TRIP_EWMA_WEIGHT * (
            round_trip_s - before
        )

    def round_trip_s(self, zone: str) -> float:
        """Return the round-trip time to a zone in seconds."""
        measured = self._measured_s.get(zone)
        if measured is not None:
            return measured
        if zone == self.zone:
            return SAME_ZONE_RTT_S
        if self.region_of.get(zone) == self.region:
            return SAME_REGION_RTT_S
        return OTHER_REGION_RTT_S

    def cost_s(self, zone: str) -> float:
        """Return the round-trip time plus the cross-zone penalty, in seconds."""
        penalty = 0.0 if zone == self.zone else self.cross_zone_penalty_s
        return self.round_trip_s(zone) + penalty
