"""Sends and applies summaries of the room that services have in regions.

In a small fleet each host sends its own summary to all others. In a large one it sends
it to its zone, and the gateway of the zone sends the sum of the zone's hosts to the
other zones, and the sums of the other zones to its own.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any

import msgspec

from cardamomquay.placement import short_id
from cardamomquay.regional_capacity import PAIRS_MAX
from cardamomquay.regional_capacity import RUN_REGIONS_MAX
from cardamomquay.regional_capacity import Count
from cardamomquay.regional_capacity import Summary
from cardamomquay_daemon.edge._events import REGION_SCARCITY

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cardamomquay.clock import Clock
    from cardamomquay.fleet import FleetView
    from cardamomquay.fleet import Peer
    from cardamomquay.regional_capacity import RegionalCapacity
    from cardamomquay_daemon.edge._telemetry import EdgeTelemetry

# Stands for the sender in `SummaryEntry.zone`.
OWN_SUMMARY = 0
# Shortest time between two summaries to the same host. A gateway sends reports more
# often, but the counts change little in this time.
SUMMARY_SPACING_S = 0.4
# Largest number of summaries in a report: one for each zone of a deployment.
SUMMARIES_MAX = 16
# Values of each pair: service, region and the counts.
PAIR_VALUES = 2 + len(Count)
# A host counts at most this many events in a window; larger figures are wrong.
COUNT_MAX = 10_000_000

Value = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
Number = Annotated[int, msgspec.Meta(ge=0, le=COUNT_MAX)]


class SummaryEntry(msgspec.Struct, array_like=True):
    """Summary as it is sent.

    Parameters
    ----------
    zone : int
        Short identifier of the availability zone whose hosts are summed; `OWN_SUMMARY`
        for the sender alone.
    age_ms : int
        Age of the oldest counts in milliseconds.
    pairs : list of int
        Short identifiers of a service and a region, and the values in the order of
        `Count`, for each pair.
    runs : list of int
        Alternating short identifier of a region and number of requests that ran there.
    """

    zone: Value
    age_ms: Number
    pairs: Annotated[list[Value], msgspec.Meta(max_length=PAIRS_MAX * PAIR_VALUES)]
    runs: Annotated[list[Value], msgspec.Meta(max_length=2 * RUN_REGIONS_MAX)]

    @classmethod
    def from_summary(cls, zone: int, summary: Summary, now_s: float) -> SummaryEntry:
        """Return a summary as it is sent."""
        pairs: list[int] = []
        for pair, counts in summary.pairs.items():
            pairs += (*pair, *counts)
        busiest = sorted(summary.runs.items(), key=lambda item: -item[1])
        runs = [value for item in busiest[:RUN_REGIONS_MAX] for value in item]
        age_ms = max(0, int((now_s - summary.counted_s) * 1000.0))
        return cls(zone, age_ms, pairs, runs)

    def to_summary(self, transit_s: float, now_s: float) -> Summary:
        """Return the summary that was sent."""
        pairs = {}
        for start in range(0, len(self.pairs) - PAIR_VALUES + 1, PAIR_VALUES):
            service, region, *counts = self.pairs[start : start + PAIR_VALUES]
            pairs[service, region] = tuple(counts)
        runs = dict(zip(self.runs[::2], self.runs[1::2], strict=False))
        return Summary(now_s - self.age_ms / 1000.0 - transit_s, pairs, runs)


Entries = Annotated[list[SummaryEntry], msgspec.Meta(max_length=SUMMARIES_MAX)]


class RegionalReports:
    """Exchanges summaries with other hosts.

    Parameters
    ----------
    fleet : FleetView
    capacity : RegionalCapacity
    region_of : mapping of str to str
        Region by availability zone.
    clock : Clock
    telemetry : EdgeTelemetry
    """

    def __init__(
        self,
        fleet: FleetView,
        capacity: RegionalCapacity,
        region_of: Mapping[str, str],
        clock: Clock,
        telemetry: EdgeTelemetry,
    ) -> None:
        self._fleet = fleet
        self._capacity = capacity
        self._region_of = region_of
        self._zones = {short_id(zone): zone for zone in region_of}
        self._clock = clock
        self._telemetry = telemetry
        self._sent_s: dict[str, float] = {}
        # Counts of avoided and rejected requests that the telemetry has.
        self._counted = (0, 0, 0)

    def entries(self, receiver: Peer, now_s: float) -> list[SummaryEntry]:
        """Return the summaries for a report; empty while nothing is scarce."""
        name = receiver.record.name
        if (
            not self._capacity.is_active
            or now_s - self._sent_s.get(name, float("-inf")) < SUMMARY_SPACING_S
        ):
            return []
        summaries = self._summaries(receiver, now_s)
        if summaries:
            self._sent_s[name] = now_s
        return [
            SummaryEntry.from_summary(zone, summary, now_s)
            for zone, summary in summaries.items()
            if summary is not None
        ]

    def _summaries(self, receiver: Peer, now_s: float) -> dict[int, Summary]:
        fleet, own = self._fleet, self._fleet.own
        found: dict[int, Summary | None] = {}
        if not fleet.is_large:
            found[OWN_SUMMARY] = self._capacity.own_summary(now_s)
        elif receiver.record.zone == own.zone:
            found[OWN_SUMMARY] = self._capacity.own_summary(now_s)
            if fleet.is_gateway(now_s):
                for zone_id, zone in self._zones.items():
                    if zone != own.zone:
                        found[zone_id] = self._capacity.summary_from(zone, now_s)
        elif fleet.is_gateway(now_s):
            others = [peer.record.name for peer in fleet.in_own_zone(now_s)]
            found[short_id(own.zone)] = self._capacity.summary_of(others, now_s)
        return {zone: summary for zone, summary in found.items() if summary is not None}

    def apply(
        self, sender: Peer, entries: Any, transit_max_s: float, now_s: float
    ) -> None:
        """Apply the summaries of a report.

        Parameters
        ----------
        sender : Peer
        entries : object
            As in `ScarcityReport.regional`.
        transit_max_s : float
            Upper bound of the time that the report was on the way.
        now_s : float
        """
        if entries is None or not self._capacity.is_active:
            return
        try:
            checked = msgspec.convert(entries, Entries)
        except msgspec.ValidationError:
            self._telemetry.count("peers.regional_rejected")
            return
        for entry in checked:
            if entry.zone == OWN_SUMMARY:
                source, region = sender.record.name, sender.record.region
            elif entry.zone in self._zones and not self._is_own_zone(entry.zone):
                source = self._zones[entry.zone]
                region = self._region_of[source]
            else:
                continue
            self._capacity.apply_summary(
                source, region, entry.to_summary(transit_max_s, now_s)
            )

    def _is_own_zone(self, zone_id: int) -> bool:
        # The hosts of the own zone report themselves; their sum would count them twice.
        return self._zones[zone_id] == self._fleet.own.zone

    def record_telemetry(self) -> None:
        """Log changes of scarcity, and count requests that they affected."""
        capacity = self._capacity
        if not capacity.is_active:
            return
        capacity.update(self._clock.now_s())
        for change in capacity.take_changes():
            scarcity = change.scarcity
            self._telemetry.log(
                REGION_SCARCITY,
                service=change.service,
                region=change.region,
                is_scarce=scarcity.is_scarce,
                admitted_share=round(scarcity.admitted_share, 3),
                avoided_share=round(scarcity.avoided_share, 3),
                age_s=round(change.age_s, 2),
                summaries=change.sources,
                **{
                    count.name.lower(): value
                    for count, value in zip(Count, scarcity.counts, strict=True)
                },
            )
        avoided, rejected, shift_rejected = self._counted
        self._counted = (
            capacity.avoided_count,
            capacity.rejected_count,
            capacity.shift_rejected_count,
        )
        if capacity.avoided_count > avoided:
            self._telemetry.count("regions.avoided", capacity.avoided_count - avoided)
        if capacity.rejected_count > rejected:
            self._telemetry.count(
                "regions.rejected", capacity.rejected_count - rejected
            )
        if capacity.shift_rejected_count > shift_rejected:
            self._telemetry.count(
                "regions.shift_rejected", capacity.shift_rejected_count - shift_rejected
            )
