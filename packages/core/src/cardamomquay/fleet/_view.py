"""Which hosts are live, which ones callers should use, and which ones act for others.

Eighty hosts that each watch the store make 170 calls a second for the same few changes.
In a large fleet one host of each availability zone reads the store for the others, and
a host that gets no update in time reads it itself.

Eighty hosts that each report to all others send 6,300 datagrams a second, most of them
between zones, which takes more bytes than the callers' requests. In a large fleet one
host of each zone, its gateway, forwards reports between the zones.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

from cardamomquay.placement import rendezvous_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

# A host without a report for this long is not offered to callers. Reports are sent at
# least every second, and single datagrams may be lost.
LIVE_TIMEOUT_S = 3.2
# A host without a report for this long no longer counts when limits are divided.
GONE_TIMEOUT_S = 20.0
# Time for which a count of the hosts is reused. The count is needed for each request,
# and changes only when a host becomes known or has been silent for `GONE_TIMEOUT_S`.
HOST_COUNT_PERIOD_S = 0.1
# Callers get at least this many addresses if the region has them, so that they can work
# around one dead host.
ADDRESSES_MIN = 2
ADDRESSES_MAX = 32
# In fleets of up to this many hosts each one reads the store: their calls are a smaller
# cost than the delay of changes that come through a reader.
SMALL_FLEET_HOSTS_MAX = 24
# A host that last confirmed longer ago than this that it knew the operator's latest
# orders does not read the store for others.
READER_ORDERS_AGE_MAX_S = 3.0
# A gateway without a report for this long is replaced; until then, quotas in its zone
# and in the others do not include each other's requests. In a large fleet, hosts report
# to their own zone twice a second, and gateways at least three times a second; two
# gateways for a short time do no harm.
GATEWAY_TIMEOUT_S = 0.8
# Number of hosts of another zone that are sent reports while its gateway is not known.
GATEWAY_CANDIDATES = 3
# Time for which quotas assume that a reported request is unknown to other hosts: the
# transmission and spacing of reports, and in a large fleet forwarding by the gateways.
# Forwarding takes about 0.2 s; with 0.25 s here, the simulation of eighty hosts with
# gateways refuses 2 to 4% of the requests of an organisation that sends five eighths of
# its quota, and with 0.15 s up to 1%.
DIRECT_REPORT_DELAY_S = 0.1
GATEWAY_REPORT_DELAY_S = 0.15


class HostPhase(IntEnum):
    """Phase in the life cycle of a host."""

    STARTING = 0
    READY = 1
    LEAVING = 2


@dataclass(frozen=True, slots=True)
class HostRecord:
    """Name, addresses and location of a host.

    Parameters
    ----------
    name : str
    caller_address : str
        ``ip:port`` at which callers reach it; empty if it accepts no callers.
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
    """State of another host, from its reports.

    Parameters
    ----------
    record : HostRecord
    phase : HostPhase
    incarnation, former_incarnation : int
        Identifiers of the host's latest start, and of the one before.
    report_clock_ms : int
        The host's clock in its latest report of totals, in milliseconds.
    last_report_s : float
        Time of its latest report, direct or forwarded.
    last_direct_report_s : float
        Time of its latest direct report.
    config_version : int
    orders_confirmed_s : float
        Time at which it last confirmed that it knew the operator's latest orders.
    """

    record: HostRecord
    phase: HostPhase = HostPhase.STARTING
    incarnation: int = 0
    former_incarnation: int = 0
    report_clock_ms: int = 0
    last_report_s: float = -math.inf
    last_direct_report_s: float = -math.inf
    config_version: int = 0
    orders_confirmed_s: float = -math.inf

    def is_live(self, now_s: float) -> bool:
        """Whether the host has reported recently."""
        return now_s - self.last_report_s < LIVE_TIMEOUT_S

    def is_gone(self, now_s: float) -> bool:
        """Whether the host has not reported for so long that it no longer runs."""
        return now_s - self.last_report_s >= GONE_TIMEOUT_S


class FleetView:
    """The fleet as known to one host.

    Parameters
    ----------
    own : HostRecord
    """

    def __init__(self, own: HostRecord) -> None:
        self.own = own
        self.own_phase = HostPhase.STARTING
        self.peers: dict[str, Peer] = {}
        self._by_zone: dict[str, dict[str, Peer]] = {}
        self._host_count = (-math.inf, 0)

    def update_host(self, record: HostRecord) -> Peer | None:
        """Add or update a host; return None for this host's own record."""
        if record.name == self.own.name:
            return None
        peer = self.peers.get(record.name)
        if peer is None:
            peer = self.peers[record.name] = Peer(record)
            self._by_zone.setdefault(record.zone, {})[record.name] = peer
            self._host_count = (-math.inf, 0)
        elif peer.record != record:
            # A new host with the name of an earlier one has not reported yet.
            self._by_zone[peer.record.zone].pop(record.name)
            self._by_zone.setdefault(record.zone, {})[record.name] = peer
            peer.record = record
            peer.last_report_s = -math.inf
            peer.phase = HostPhase.STARTING
        return peer

    def live(self, now_s: float) -> list[Peer]:
        """Return the peers that have reported recently."""
        return [peer for peer in self.peers.values() if peer.is_live(now_s)]

    def host_count(self, now_s: float) -> int:
        """Return the number of hosts that may be running, this one included.

        The number is up to `HOST_COUNT_PERIOD_S` old.
        """
        counted_s, count = self._host_count
        if not counted_s <= now_s < counted_s + HOST_COUNT_PERIOD_S:
            count = 1 + sum(not peer.is_gone(now_s) for peer in self.peers.values())
            self._host_count = (now_s, count)
        return count

    @property
    def is_large(self) -> bool:
        """Whether some hosts read the store and forward reports for the others."""
        return len(self.peers) >= SMALL_FLEET_HOSTS_MAX

    def in_own_zone(self, now_s: float) -> list[Peer]:
        """Return the live peers in this host's availability zone."""
        return [peer for peer in self._in_zone(self.own.zone) if peer.is_live(now_s)]

    def in_own_region(self, now_s: float) -> list[Peer]:
        """Return the live peers in this host's region."""
        return [
            peer
            for zone_peers in self._by_zone.values()
            for peer in zone_peers.values()
            if peer.record.region == self.own.region and peer.is_live(now_s)
        ]

    def _in_zone(self, zone: str) -> Iterable[Peer]:
        return self._by_zone.get(zone, {}).values()

    def is_reader(self, now_s: float) -> bool:
        """Return whether this host reads the store for its availability zone.

        Hosts that start together have one reader for each zone as well, before any of
        them is ready. Two hosts may briefly read, which costs extra calls but does no
        harm.
        """
        if not self.is_large:
            return True
        own = self._reader_rank(self.own_phase, self.own.name)
        return not any(
            self._reader_rank(peer.phase, peer.record.name) > own
            for peer in self._reader_candidates(now_s)
        )

    def _reader_candidates(self, now_s: float) -> Iterable[Peer]:
        """Yield the live peers of the zone that know the operator's latest orders."""
        for peer in self.in_own_zone(now_s):
            has_orders = now_s - peer.orders_confirmed_s < READER_ORDERS_AGE_MAX_S
            if has_orders and peer.phase is not HostPhase.LEAVING:
                yield peer

    def _reader_rank(self, phase: HostPhase, name: str) -> tuple[bool, int]:
        return phase is HostPhase.READY, rendezvous_hash(self.own.zone, name)

    @property
    def report_delay_s(self) -> float:
        """Time for which a reported request is unknown to other hosts, in seconds."""
        return GATEWAY_REPORT_DELAY_S if self.is_large else DIRECT_REPORT_DELAY_S

    def is_gateway(self, now_s: float) -> bool:
        """Return whether this host forwards reports between its zone and the others.

        Two hosts may briefly do so; they forward the same reports.
        """
        if not self.is_large or self.own_phase is not HostPhase.READY:
            return False
        return self._ranks_first_among(
            peer
            for peer in self.in_own_zone(now_s)
            if now_s - peer.last_report_s < GATEWAY_TIMEOUT_S
        )

    def is_gateway_candidate(self, now_s: float) -> bool:
        """Return whether this host may soon have to replace its zone's gateway."""
        if not self.is_large:
            return False
        own = rendezvous_hash(self.own.zone, self.own.name)
        higher_ranked = sum(
            peer.phase is HostPhase.READY
            and rendezvous_hash(self.own.zone, peer.record.name) > own
            for peer in self.in_own_zone(now_s)
        )
        return higher_ranked < GATEWAY_CANDIDATES

    def reader_of_zone(self, now_s: float) -> Peer | None:
        """Return the peer that reads the store for this host's zone, if known."""
        return max(
            self._reader_candidates(now_s),
            key=lambda peer: self._reader_rank(peer.phase, peer.record.name),
            default=None,
        )

    def gateways_of_region(self, now_s: float) -> list[Peer]:
        """Return the likely gateway of each other zone in this host's region."""
        gateways = []
        for zone, zone_peers in self._by_zone.items():
            if zone == self.own.zone:
                continue
            peers = [
                peer
                for peer in zone_peers.values()
                if peer.record.region == self.own.region
                and peer.phase is HostPhase.READY
                and peer.is_live(now_s)
            ]
            if peers:
                gateways.append(
                    max(peers, key=lambda p: rendezvous_hash(zone, p.record.name))
                )
        return gateways

    def _ranks_first_among(self, peers: Iterable[Peer]) -> bool:
        """Return whether no ready peer among those given ranks above this host."""
        zone = self.own.zone
        own = rendezvous_hash(zone, self.own.name)
        return not any(
            peer.phase is HostPhase.READY
            and rendezvous_hash(zone, peer.record.name) > own
            for peer in peers
        )

    def other_gateways(self, now_s: float) -> list[Peer]:
        """Return the hosts to which reports for each other zone are sent.

        A host that has recently reported directly to this one is the gateway of its
        zone. If none has, as after a start of all hosts or the loss of a gateway, the
        highest ranked hosts of the zone get the reports, and so learn that this host is
        the gateway of its own zone.
        """
        gateways: list[Peer] = []
        for zone, zone_peers in self._by_zone.items():
            if zone == self.own.zone:
                continue
            peers = [peer for peer in zone_peers.values() if peer.is_live(now_s)]
            peers.sort(
                key=lambda peer: (
                    peer.phase is HostPhase.READY,
                    rendezvous_hash(zone, peer.record.name),
                ),
                reverse=True,
            )
            direct_reporters = [
                p for p in peers if now_s - p.last_direct_report_s < GATEWAY_TIMEOUT_S
            ]
            gateways += direct_reporters[:1] or peers[:GATEWAY_CANDIDATES]
        return gateways

    def addresses_for(self, zone: str, region: str, now_s: float) -> list[str]:
        """Return the addresses of hosts that a caller should use.

        Parameters
        ----------
        zone, region : str
            Location of the caller.
        now_s : float

        Returns
        -------
        list of str
            Hosts of the caller's zone; if there are fewer than two, those of its
            region; if there are none, all hosts.
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
