"""Reports between hosts, by datagrams.

A datagram carries the whole state that it reports, so a lost one does no harm. The
sender is known by its name only in the first datagrams, and by its address once the
other side has answered.

In a small fleet each host reports to all others. In a large one it reports to its zone,
and the gateways of the zones pass digests of the reports on.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import cast

import msgspec

from cardamomquay.fleet import HostPhase
from cardamomquay.fleet import HostRecord
from cardamomquay.placement import short_id
from cardamomquay_daemon.edge._events import PEER_LOST
from cardamomquay_daemon.edge._events import PEER_REGAINED
from cardamomquay_daemon.edge._events import ROW_REJECTED
from cardamomquay_daemon.edge._events import STORE_READING
from cardamomquay_daemon.edge._gateway import Gateway
from cardamomquay_daemon.edge._host_table import HostTable
from cardamomquay_daemon.edge._reports import HostDigest
from cardamomquay_daemon.edge._reports import LargeFleetReport
from cardamomquay_daemon.edge._reports import News
from cardamomquay_daemon.edge._reports import Report
from cardamomquay_daemon.edge._reports import RolloutReport
from cardamomquay_daemon.edge._usage_totals import UsageTotals

if TYPE_CHECKING:
    from cardamomquay.clock import Clock
    from cardamomquay.fleet import FleetView
    from cardamomquay.fleet import Peer
    from cardamomquay_daemon.edge._eligibility import Eligibility
    from cardamomquay_daemon.edge._feeds import StoreFeeds
    from cardamomquay_daemon.edge._platform_feed import PlatformFeed
    from cardamomquay_daemon.edge._rollout_control import RolloutControl
    from cardamomquay_daemon.edge._state import HostState
    from cardamomquay_daemon.edge._telemetry import EdgeTelemetry
    from cardamomquay_daemon.edge._upstream_news import UpstreamNews
    from cardamomquay_daemon.edge._warmth import WarmthNews

REPORT_PERIOD_S = 1.0
# Hosts that read the store for others tell their zone more often, so that what is told
# stays well within the time for a drain.
ZONE_PERIOD_S = 0.5
# Silent hosts are greeted more rarely.
SILENT_PERIOD_S = 5.0
# The table of hosts is read again this often, beside what hosts tell of themselves.
HOSTS_PERIOD_S = 15.0
# In a large fleet all totals are told this often, for hosts that have just started and
# missed the first list; otherwise only the latest are.
WHOLE_USAGE_PERIOD_S = 8.0
# Least time between two reports that do not wait for the period. A report takes up to
# 0.06 s between regions; more of them would not agree the quotas much better.
URGENT_SPACING_S = 0.1


class Peers(asyncio.DatagramProtocol):
    """Exchanges reports with other hosts.

    Parameters
    ----------
    fleet : FleetView
    state : HostState
    platform : PlatformFeed
    clock : Clock
    telemetry : EdgeTelemetry
    eligibility : Eligibility
    rollouts : RolloutControl
    warmth : WarmthNews
    feeds : StoreFeeds
    incarnation : int
    """

    def __init__(
        self,
        fleet: FleetView,
        state: HostState,
        platform: PlatformFeed,
        clock: Clock,
        telemetry: EdgeTelemetry,
        eligibility: Eligibility,
        rollouts: RolloutControl,
        warmth: WarmthNews,
        feeds: StoreFeeds,
        incarnation: int,
    ) -> None:
        self._feeds = feeds
        self._warmth = warmth
        self._usage = UsageTotals(state, eligibility)
        self._table = HostTable(platform, fleet.own, telemetry, self._learn)
        self._rollouts = rollouts
        self._fleet = fleet
        self._state = state
        self._clock = clock
        self._telemetry = telemetry
        self._incarnation = incarnation
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Report)
        self._by_address: dict[tuple[str, int], Peer] = {}
        self._by_token: dict[int, Peer] = {}
        self.gateway = Gateway(
            fleet,
            clock,
            telemetry,
            self._send,
            lambda now_s: self._news(now_s, self._rollout_reports()),
        )
        self._stamps: dict[str, int] = {}
        self._reported_s: dict[str, float] = {}
        self._live: set[str] = set()
        self._was_reader = False
        self._whole_usage_s: dict[str, float] = {}
        self._urgent_s = float("-inf")
        self._warmth_s = float("-inf")
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            report = self._decoder.decode(data)
        except msgspec.MsgspecError as exc:
            self._telemetry.count("peers.malformed")
            self._telemetry.log(ROW_REJECTED, source="peer", error=str(exc))
            return
        peer = self._by_address.get(addr)
        if report.record is not None:
            name, caller_address, peer_port, zone, region = report.record
            record = HostRecord(name, caller_address, addr[0], peer_port, zone, region)
            peer = self._learn(record)
        if peer is None:
            return
        self._apply(peer, report)

    def _apply(self, peer: Peer, report: Report) -> None:
        now_s = self._clock.now_s()
        if (
            report.incarnation == peer.incarnation
            and report.report_clock_ms < peer.report_clock_ms
        ):
            return
        is_new = report.incarnation != peer.incarnation
        if not self._take_state(peer, report):
            return
        peer.last_report_s = peer.last_direct_report_s = now_s
        self._stamps[peer.record.name] = report.report_clock_ms
        if report.echo > int(now_s * 1000):
            # The clock value is from an earlier boot, whose clock had run longer.
            report.echo = 0
        if report.echo and report.evidence_ms >= 0:
            self._use_evidence(report)
        if report.large is not None:
            self._apply_large(peer, report, report.large, now_s)
        self._usage.apply(peer.record.name, report, now_s)
        self._warmth.apply(report.handled, report.warming)
        self._note_rollouts(peer, report)
        if is_new or (report.record is not None and self._is_distant(peer)):
            # The other host knows no totals of this one, or the first answer was lost.
            self._whole_usage_s.pop(peer.record.name, None)
            self._send(peer, now_s, News(self._usage.whole()))

    def _take_state(self, peer: Peer, told: Report | HostDigest) -> bool:
        """Take over phase and version; return False for a host's earlier start."""
        if told.incarnation != peer.incarnation:
            # Reports of the earlier start may still be on their way.
            if told.incarnation == peer.former_incarnation:
                return False
            self._usage.note_restart(peer.record.name)
            peer.former_incarnation = peer.incarnation
            peer.incarnation = told.incarnation
            peer.report_clock_ms = 0
        if told.usage is not None:
            peer.report_clock_ms = told.report_clock_ms
        peer.phase = HostPhase(told.phase)
        peer.config_version = told.config_version
        return True

    def _note_rollouts(self, peer: Peer, told: Report | HostDigest) -> None:
        for rollout in told.rollouts:
            self._rollouts.note_view(peer.record.name, rollout.to_view())

    def _apply_large(
        self, peer: Peer, report: Report, large: LargeFleetReport, now_s: float
    ) -> None:
        peer.orders_seen_s = now_s - large.orders_ms / 1000.0
        if report.echo:
            self._use_store_news(peer, report.echo, large)
        is_distant = self._is_distant(peer)
        self.gateway.digests.note(peer, report, now_s)
        if large.digests and is_distant:
            self.gateway.note_taken_for_gateway(now_s)
        for digest in large.digests:
            self._apply_digest(digest, now_s, is_passed_on=is_distant)

    def _apply_digest(
        self, digest: HostDigest, now_s: float, *, is_passed_on: bool
    ) -> None:
        peer = self._by_token.get(digest.host)
        if peer is None:
            return
        if (
            digest.incarnation == peer.incarnation
            and digest.report_clock_ms <= peer.report_clock_ms
        ):
            return
        if not self._take_state(peer, digest):
            return
        peer.last_report_s = max(peer.last_report_s, now_s - digest.age_ms / 1000.0)
        self._usage.apply(peer.record.name, digest, now_s)
        self._note_rollouts(peer, digest)
        if is_passed_on:
            self.gateway.digests.note(peer, digest, now_s)

    def _is_distant(self, peer: Peer) -> bool:
        """Whether gateways pass reports on between this host and the peer."""
        return self._fleet.is_large and peer.record.zone != self._fleet.own.zone

    def _use_evidence(self, report: Report) -> None:
        config = self._state.config
        if config is None or config.version != report.config_version:
            return
        # The evidence is as old as stated when the other host answered, and it
        # answered after this host had sent the clock value that it returns.
        seen_s = (report.echo - report.evidence_ms) / 1000.0
        self._state.config_seen_s = max(self._state.config_seen_s, seen_s)

    def _use_store_news(self, peer: Peer, echo: int, report: LargeFleetReport) -> None:
        seen_s = (echo - report.orders_ms) / 1000.0
        self._feeds.note_orders(report.orders_changed, seen_s)
        if report.upstreams is not None:
            seen_s = (echo - report.upstreams.seen_ms) / 1000.0
            source = (peer.record.name, peer.incarnation)
            self._feeds.apply_news(source, report.upstreams, seen_s)

    def note_admitted(self, organisation: str) -> None:
        """Report at once if other hosts should hear of an organisation's requests."""
        if self._usage.is_due(organisation):
            self.report_soon()

    def report_soon(self) -> None:
        """Report to all hosts unless that was done a moment ago."""
        now_s = self._clock.now_s()
        if now_s - self._urgent_s < URGENT_SPACING_S:
            return
        self._urgent_s = now_s
        self.report()

    def report_warmth(self) -> None:
        """Report first requests for objects to the hosts of the own region."""
        now_s = self._clock.now_s()
        if now_s - self._warmth_s < URGENT_SPACING_S or not self._warmth.is_due:
            return
        self._warmth_s = now_s
        self._report_to_region(now_s)

    async def run(self) -> None:
        """Find the other hosts, register this one and report until cancelled."""
        await self._find_hosts()
        read_s = self._clock.now_s()
        self.report()
        # Hosts start together; reports at the same moment would show the requests of a
        # whole period at once.
        await asyncio.sleep(random.uniform(0.0, REPORT_PERIOD_S))
        while True:
            now_s = self._clock.now_s()
            if now_s - read_s > HOSTS_PERIOD_S and self._fleet.is_reader(now_s):
                read_s = now_s
                await self._table.read()
            self.report()
            await asyncio.sleep(REPORT_PERIOD_S - ZONE_PERIOD_S)
            self.report_to_zone()
            await asyncio.sleep(ZONE_PERIOD_S)

    def report_to_zone(self) -> None:
        """Tell the own zone what this host has read of the store for it."""
        now_s = self._clock.now_s()
        if not self._fleet.is_large:
            return
        self._note_reading(now_s)
        news = self._news(now_s, [])
        for peer in self._fleet.in_own_zone(now_s):
            self._send(peer, now_s, news)

    def _note_reading(self, now_s: float) -> None:
        is_reader = self._fleet.is_reader(now_s)
        if is_reader == self._was_reader:
            return
        self._was_reader = is_reader
        self._telemetry.log(
            STORE_READING,
            is_reader=is_reader,
            zone=self._fleet.own.zone,
            heard_in_zone=len(self._fleet.in_own_zone(now_s)),
            orders_age_s=round(now_s - self._state.orders_seen_s, 2),
            upstreams_age_s=round(now_s - self._state.upstreams_seen_s, 2),
        )

    def _news(self, now_s: float, rollouts: list[RolloutReport]) -> News:
        whole = self._usage.whole()
        if not self._fleet.is_large:
            return News(whole, whole, rollouts)
        latest = self._usage.latest(whole, now_s)
        return News(whole, latest, rollouts, upstreams=self._upstream_news(now_s))

    def _large_fleet_report(
        self, peer: Peer, now_s: float, news: News, is_whole: bool
    ) -> LargeFleetReport | None:
        state = self._state
        if not self._fleet.is_large or not state.orders_revision:
            return None
        orders_ms = int((now_s - state.orders_seen_s) * 1000.0)
        in_zone = peer.record.zone == self._fleet.own.zone
        return LargeFleetReport(
            state.orders_changed,
            orders_ms,
            is_whole,
            news.upstreams if in_zone else None,
            news.digests,
        )

    def _upstream_news(self, now_s: float) -> UpstreamNews | None:
        state = self._state
        is_told = self._fleet.is_large and self._fleet.is_reader(now_s)
        if not is_told or not state.is_loaded or self._feeds.has_lapsed:
            return None
        return self._feeds.upstream_log.news(
            state.upstreams_revision, state.upstreams_seen_s
        )

    def report(self) -> None:
        """Report to all hosts that are due."""
        now_s = self._clock.now_s()
        news = self._news(now_s, self._rollout_reports())
        self._usage.note_told()
        is_gateway = self._fleet.is_gateway(now_s)
        for peer in self._fleet.peers.values():
            is_live = peer.is_live(now_s)
            self._note_liveness(peer, is_live)
            if self._is_due(peer, now_s, is_live=is_live, is_gateway=is_gateway):
                self._send(peer, now_s, news)
        self._report_to_region(now_s)

    def _is_due(
        self, peer: Peer, now_s: float, *, is_live: bool, is_gateway: bool
    ) -> bool:
        is_distant = self._is_distant(peer)
        if is_live and not is_distant:
            return True
        reported_s = self._reported_s.get(peer.record.name, float("-inf"))
        if now_s - reported_s < SILENT_PERIOD_S:
            return False
        # Hosts of other zones are greeted once; if they fall silent, by the gateway.
        is_unknown = peer.last_direct_report_s == float("-inf")
        return is_unknown or not is_distant or (is_gateway and not is_live)

    def _rollout_reports(self) -> list[RolloutReport]:
        return [
            RolloutReport.from_view(rollout.snapshot())
            for rollout in self._state.rollouts.values()
        ]

    def _report_to_region(self, now_s: float) -> None:
        # Callers of a region ask for objects of their own, so hosts elsewhere have no
        # use for what is warm, and bytes between regions and zones are dear.
        handled, warming = self._warmth.take()
        if not handled and not warming:
            return
        news = News(handled=handled, warming=warming)
        for peer in self._fleet.live(now_s):
            if peer.record.region == self._fleet.own.region:
                self._send(peer, now_s, news)

    def _note_liveness(self, peer: Peer, is_live: bool) -> None:
        name = peer.record.name
        if not is_live and peer.is_gone(self._clock.now_s()):
            self._usage.forget(name)
        if is_live and name not in self._live:
            self._live.add(name)
            self._telemetry.log(PEER_REGAINED, peer=name, phase=peer.phase.name)
        elif not is_live and name in self._live:
            self._live.discard(name)
            silent_s = round(self._clock.now_s() - peer.last_report_s, 1)
            self._telemetry.log(PEER_LOST, peer=name, silent_s=silent_s)

    async def _find_hosts(self) -> None:
        # The answer to a write may be lost. A host that does not know of the others
        # by then would spend the quotas that they share a second time.
        await self._table.read_surely()
        if self._fleet.peers:
            self._state.knows_hosts = True
            self.report()
        if not self._table.is_registered:
            await self._table.register()
            await self._table.read_surely()
        self._state.knows_hosts = True

    def _learn(self, record: HostRecord) -> Peer | None:
        peer = self._fleet.update_host(record)
        if peer is not None:
            self._by_address[(record.peer_ip, record.peer_port)] = peer
            self._by_token[short_id(record.name)] = peer
        return peer

    def _send(
        self,
        peer: Peer,
        now_s: float,
        news: News,
    ) -> None:
        if self._transport is None:
            return
        own = self._fleet.own
        name = peer.record.name
        config = self._state.config
        evidence_s = now_s - self._state.config_seen_s
        told_s = self._whole_usage_s.get(name, float("-inf"))
        is_whole = news.usage is not None and now_s - told_s >= WHOLE_USAGE_PERIOD_S
        if is_whole and config is not None and peer.config_version == config.version:
            self._whole_usage_s[name] = now_s
        knows_us = self._stamps.get(name) is not None and peer.is_live(now_s)
        report = Report(
            self._incarnation,
            int(self._fleet.own_phase),
            int(now_s * 1000),
            self._stamps.get(name, 0),
            config.version if config else 0,
            self._usage.names_digest,
            int(evidence_s * 1000) if config else -1,
            None
            if knows_us
            else (own.name, own.caller_address, own.peer_port, own.zone, own.region),
            news.usage if is_whole else news.latest_usage,
            news.rollouts,
            news.handled,
            news.warming,
            self._large_fleet_report(peer, now_s, news, is_whole),
        )
        self._reported_s[name] = now_s
        data = self._encoder.encode(report)
        self._telemetry.count("peers.bytes_sent", len(data))
        # A full socket buffer drops the report; the next one carries the same state.
        with suppress(OSError):
            self._transport.sendto(data, (peer.record.peer_ip, peer.record.peer_port))
