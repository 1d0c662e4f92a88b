"""Which hosts live, which of them callers should use, and which read the store.

Load pattern: eighty hosts that each follow the store make 170 calls a second for the
same few changes. In a large fleet one host of each availability zone reads for the
others, and a host that is not told in time reads for itself.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum

from cardamomquay.placement import rank_of

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
    """Another host, as this one sees it."""

    record: HostRecord
    phase: HostPhase = HostPhase.STARTING
    incarnation: int = 0
    heard_s: float = -math.inf
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
        """Whether few hosts read the store for the others."""
        return len(self.peers) >= ALL_READ_HOSTS_MAX

    def in_own_zone(self, now_s: float) -> list[Peer]:
        """Return the peers of this host's availability zone that were heard lately."""
        return [peer for peer in self.live(now_s) if peer.record.zone == self.own.zone]

    def is_reader(self, now_s: float) -> bool:
        """Tell whether this host reads the store for its availability zone.

        Two hosts may do so for a moment, which costs calls but no correctness.
        """
        if not self.is_large:
            return True
        zone = self.own.zone
        own = rank_of(zone, self.own.name)
        return not any(
            peer.phase is HostPhase.READY
            and now_s - peer.orders_seen_s < READER_PROOF_S
            and rank_of(zone, peer.record.name) > own
            for peer in self.in_own_zone(now_s)
        )

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
