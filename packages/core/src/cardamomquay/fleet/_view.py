"""Which hosts live, which of them callers should use, and which work for others.

Load pattern: eighty hosts that each follow the store make 170 calls a second for the
same few changes. In a large fleet one host of each availability zone reads for the
others, and a host that is not told in time reads for itself.

Load pattern: eighty hosts that each report to all others send 6,300 datagrams a second,
most of them between zones, which costs more bytes than the callers' requests. In a
large fleet one host of each zone, its gateway, passes reports on between the zones.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

from cardamomquay.placement import rank_of

if TYPE_CHECKING:
    from collections.abc import Iterable

# A host that was silent for this long is not named to callers. Reports come every
# second, and single datagrams are lost.
SILENT_S = 3.2
# A host that was silent for this long no longer counts in divisions of limits.
GONE_S = 20.0
# Callers get at least this many addresses where the region has them, so that one
# dead host does not stop them.
ADDRESSES_MIN = 2
ADDRESSES_MAX = 32
# In fleets of up to this many hosts each one reads the store: their calls cost less
# than the delay of a second hop.
ALL_READ_HOSTS_MAX = 24
# A host whose proof of the operator's orders is older does not read for others.
READER_PROOF_S = 3.0
# A gateway that its zone has not heard for this long is replaced; until then, quotas do
# not include what the zone and the others run. Hosts report to their zone twice a
# second and gateways three times; a second gateway for a moment does no harm.
GATEWAY_SILENT_S = 0.8
# Hosts of another zone that are told while its gateway is not known.
GATEWAYS_TRIED = 3
# How long a request counts as unknown to other hosts after its host has reported it:
# the way of a datagram with the spacing of reports, and in a large fleet the rounds of
# the gateways. Those take about 0.2 s; with 0.25 s stated, the model of a hot
# organisation refuses 2 to 4% of the usual requests, and with 0.15 s up to 1%.
DIRECT_DELAY_S = 0.1
GATEWAY_DELAY_S = 0.15


class HostPhase(IntEnum):
    """What a host can do now."""

    STARTING = 0
    READY = 1
    LEAVING = 2


@dataclass(frozen=True, slots=True)
class HostRecord:
    """Where a host is.

    Parameters
    ----------
    name : str
    caller_address : str
        ``ip:port`` at which callers reach it; empty if it takes none.
    peer_ip : str
    peer_port : int
    zone, region : str
    """

    name: str
    caller_address: str
    peer_ip: str
    peer_port: int
    zone: str
    region: str


@dataclass
class Peer:
    """Another host, as this one sees it.

    Parameters
    ----------
    record : HostRecord
    phase : HostPhase
    incarnation, former_incarnation : int
        Of the host's latest start, and of the one before.
    stamp : int
        The host's clock in its latest report of totals, in milliseconds.
    heard_s : float
        Time of its latest report, to this host or to one that passed it on.
    direct_s : float
        Time of its latest report to this host.
    config_version : int
    orders_seen_s : float
    """

    record: HostRecord
    phase: HostPhase = HostPhase.STARTING
    incarnation: int = 0
    former_incarnation: int = 0
    stamp: int = 0
    heard_s: float = -math.inf
    direct_s: float = -math.inf
    config_version: int = 0
    orders_seen_s: float = -math.inf

    def is_live(self, now_s: float) -> bool:
        """Whether the host was heard lately."""
        return now_s - self.heard_s < SILENT_S

    def is_gone(self, now_s: float) -> bool:
        """Whether the host was silent for so long that it is no longer at work."""
        return now_s - self.heard_s >= GONE_S


class FleetView:
    """The hosts of the fleet.

    Parameters
    ----------
    own : HostRecord
    """

    def __init__(self, own: HostRecord) -> None:
        self.own = own
        self.own_phase = HostPhase.STARTING
        self.peers: dict[str, Peer] = {}

    def learn(self, record: HostRecord) -> Peer | None:
        """Add or update a host; None for this host's own record."""
        if record.name == self.own.name:
            return None
        peer = self.peers.get(record.name)
        if peer is None:
            peer = self.peers[record.name] = Peer(record)
        elif peer.record != record:
            # A host that took over the name of another starts unheard.
            peer.record = record
            peer.heard_s = -math.inf
            peer.phase = HostPhase.STARTING
        return peer

    def live(self, now_s: float) -> list[Peer]:
        """Return the peers heard lately."""
        return [peer for peer in self.peers.values() if peer.is_live(now_s)]

    def counted(self, now_s: float) -> int:
        """Return the hosts that may be at work though they are not heard."""
        return 1 + sum(not peer.is_gone(now_s) for peer in self.peers.values())

    @property
    def is_large(self) -> bool:
        """Whether few hosts read the store and pass reports on for the others."""
        return len(self.peers) >= ALL_READ_HOSTS_MAX

    def in_own_zone(self, now_s: float) -> list[Peer]:
        """Return the peers of this host's availability zone that were heard lately."""
        return [peer for peer in self.live(now_s) if peer.record.zone == self.own.zone]

    def is_reader(self, now_s: float) -> bool:
        """Tell whether this host reads the store for its availability zone.

        Two hosts may do so for a moment, which costs calls but no correctness.
        """
        return not self.is_large or self._is_first_of(
            peer
            for peer in self.in_own_zone(now_s)
            if now_s - peer.orders_seen_s < READER_PROOF_S
        )

    @property
    def report_delay_s(self) -> float:
        """How long a reported request is unknown to other hosts, in seconds."""
        return GATEWAY_DELAY_S if self.is_large else DIRECT_DELAY_S

    def is_gateway(self, now_s: float) -> bool:
        """Tell whether this host passes reports on between its zone and the others.

        Two hosts may do so for a moment; what they pass on is the same.
        """
        if not self.is_large or self.own_phase is not HostPhase.READY:
            return False
        return self._is_first_of(
            peer
            for peer in self.in_own_zone(now_s)
            if now_s - peer.heard_s < GATEWAY_SILENT_S
        )

    def _is_first_of(self, peers: Iterable[Peer]) -> bool:
        """Tell whether no ready one of some peers of the own zone ranks higher."""
        zone = self.own.zone
        own = rank_of(zone, self.own.name)
        return not any(
            peer.phase is HostPhase.READY and rank_of(zone, peer.record.name) > own
            for peer in peers
        )

    def other_gateways(self, now_s: float) -> list[Peer]:
        """Return for each other zone the hosts that pass reports on there.

        One that has reported to this host lately does so for its zone. Where none has,
        as when all hosts start or the gateway was lost, the first ones by rank learn
        that this host is the gateway of its zone.
        """
        by_zone: dict[str, list[Peer]] = {}
        for peer in self.live(now_s):
            if peer.record.zone != self.own.zone:
                by_zone.setdefault(peer.record.zone, []).append(peer)
        gateways: list[Peer] = []
        for zone, peers in by_zone.items():
            peers.sort(
                key=lambda peer: (
                    peer.phase is HostPhase.READY,
                    rank_of(zone, peer.record.name),
                ),
                reverse=True,
            )
            heard = [p for p in peers if now_s - p.direct_s < GATEWAY_SILENT_S]
            gateways += heard[:1] or peers[:GATEWAYS_TRIED]
        return gateways

    def addresses_for(self, zone: str, region: str, now_s: float) -> list[str]:
        """Return the addresses that a caller should use.

        Parameters
        ----------
        zone, region : str
            Where the caller is.
        now_s : float

        Returns
        -------
        list of str
            Hosts of the caller's zone; with fewer than two, those of its region; all
            if the region has none.
        """
        ready = [
            peer.record
            for peer in self.live(now_s)
            if peer.phase is HostPhase.READY and peer.record.caller_address
        ]
        if self.own_phase is HostPhase.READY and self.own.caller_address:
            ready.append(self.own)
        in_zone = [record for record in ready if record.zone == zone]
        in_region = [record for record in ready if record.region == region]
        chosen = in_zone if len(in_zone) >= ADDRESSES_MIN else in_region or ready
        return sorted(record.caller_address for record in chosen)[:ADDRESSES_MAX]
