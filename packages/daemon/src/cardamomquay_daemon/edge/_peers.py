"""Exchanges reports between hosts by UDP.

Reports carry current state and running totals, and deltas repeat recent changes, so a
lost datagram does no harm. Entries on warm objects are sent once; they are only hints.
The first datagrams contain the name of the sender; once the receiver has sent a report
back, the sender is identified by its address.

In a small fleet each host reports to all others. In a large one it reports to its zone,
and the gateways of the zones forward digests of the reports.
"""

from __future__ import annotations

import asyncio
import math
import random
from contextlib import suppress
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING
from typing import cast

import msgspec

from cardamomquay.fleet import HostPhase
from cardamomquay.fleet import HostRecord
from cardamomquay.gossip import encode_observations
from cardamomquay.placement import short_id
from cardamomquay.platform import revision_era
from cardamomquay_daemon.edge._events import PEER_LOST
from cardamomquay_daemon.edge._events import PEER_REGAINED
from cardamomquay_daemon.edge._events import ROW_REJECTED
from cardamomquay_daemon.edge._events import STORE_READING
from cardamomquay_daemon.edge._events import UPSTREAM_LEAVING
from cardamomquay_daemon.edge._events import UPSTREAM_RATE_LIMIT
from cardamomquay_daemon.edge._gateway import Gateway
from cardamomquay_daemon.edge._host_table import HostTable
from cardamomquay_daemon.edge._regional_reports import RegionalReports
from cardamomquay_daemon.edge._reports import HostDigest
from cardamomquay_daemon.edge._reports import LargeFleetReport
from cardamomquay_daemon.edge._reports import Report
from cardamomquay_daemon.edge._reports import ReportContent
from cardamomquay_daemon.edge._reports import RolloutReport
from cardamomquay_daemon.edge._reports import ScarcityReport
from cardamomquay_daemon.edge._reports import UsageDatagram
from cardamomquay_daemon.edge._usage_totals import UsageTotals

if TYPE_CHECKING:
    from cardamomquay.clock import Clock
    from cardamomquay.fleet import FleetView
    from cardamomquay.fleet import Peer
    from cardamomquay.gossip import Observation
    from cardamomquay_daemon.edge._eligibility import Eligibility
    from cardamomquay_daemon.edge._feeds import StoreFeeds
    from cardamomquay_daemon.edge._platform_store import PlatformStore
    from cardamomquay_daemon.edge._poison_guard import PoisonGuard
    from cardamomquay_daemon.edge._restart_watch import RestartWatch
    from cardamomquay_daemon.edge._rollout_control import RolloutControl
    from cardamomquay_daemon.edge._state import HostState
    from cardamomquay_daemon.edge._telemetry import EdgeTelemetry
    from cardamomquay_daemon.edge._upstream_deltas import UpstreamDelta
    from cardamomquay_daemon.edge._usage_reports import UsageMessage
    from cardamomquay_daemon.edge._usage_reports import UsageReports
    from cardamomquay_daemon.edge._warm_objects import WarmObjectReports

REPORT_PERIOD_S = 1.0
# In a large fleet, a reader also reports to its zone this long before each periodic
# report, so that its changes arrive well within `Bounds.drain_s`.
ZONE_REPORT_LEAD_S = 0.5
# Hosts that do not report are sent reports less often.
SILENT_PEER_REPORT_PERIOD_S = 5.0
# The table is read seldom, since hosts also learn of each other from the sender records
# in reports.
HOST_TABLE_READ_PERIOD_S = 15.0
# In a large fleet all totals are sent this often, for hosts that have just started and
# missed the first full list; other reports contain only recent changes.
FULL_USAGE_PERIOD_S = 8.0
# Minimum time between two reports that are sent ahead of the period. A report takes up
# to 0.06 s between regions; more frequent ones would hardly make quotas more accurate.
URGENT_REPORT_SPACING_S = 0.1
# Time between two reports of the same news.
NEWS_SPACING_S = 0.15
# Without an echo, a report is taken to have been on the way for at most this long.
FIRST_REPORT_TRANSIT_MAX_S = 1.0
# Number of leaving upstreams that fit into one report beside its other content, the
# latest ones. A large release stops fewer within the time for which they are reported.
LEAVING_MAX = 60
# Number of observations that fit into one report beside its other content.
OBSERVATIONS_MAX = 60


class PeerProtocol(asyncio.DatagramProtocol):
    """Exchanges reports with other hosts.

    Parameters
    ----------
    fleet : FleetView
    state : HostState
    platform : PlatformStore
    clock : Clock
    telemetry : EdgeTelemetry
    eligibility : Eligibility
    rollouts : RolloutControl
    warm_objects : WarmObjectReports
    feeds : StoreFeeds
    poison_guard : PoisonGuard
    incarnation : int

    Attributes
    ----------
    restart_watch : RestartWatch or None
        Gets the observations of other hosts.
    usage_reports : UsageReports or None
        Gets their messages about usage; None if this host does not report usage.
    """

    def __init__(
        self,
        fleet: FleetView,
        state: HostState,
        platform: PlatformStore,
        clock: Clock,
        telemetry: EdgeTelemetry,
        eligibility: Eligibility,
        rollouts: RolloutControl,
        warm_objects: WarmObjectReports,
        feeds: StoreFeeds,
        poison_guard: PoisonGuard,
        incarnation: int,
    ) -> None:
        self._feeds = feeds
        self._poison_guard = poison_guard
        self._warm_objects = warm_objects
        self._eligibility = eligibility
        self._usage = UsageTotals(state, eligibility)
        self._host_table = HostTable(platform, fleet.own, telemetry, self._update_host)
        self._rollouts = rollouts
        self._fleet = fleet
        self._state = state
        self._clock = clock
        self._telemetry = telemetry
        self._incarnation = incarnation
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(UsageDatagram)
        self._by_address: dict[tuple[str, int], Peer] = {}
        self._by_short_id: dict[int, Peer] = {}
        self.gateway = Gateway(
            fleet,
            clock,
            telemetry,
            self._send,
            lambda now_s: self._content(now_s, self._rollout_reports()),
            eligibility.observations,
        )
        self.regional = RegionalReports(
            fleet, eligibility.regions, eligibility.region_of_zone, clock, telemetry
        )
        self.restart_watch: RestartWatch | None = None
        self.usage_reports: UsageReports | None = None
        # Hosts of an earlier version, whose reports contain no observations.
        self._without_observations: set[str] = set()
        self._clock_to_echo_ms: dict[str, int] = {}
        # Time of arrival of the latest report, by host.
        self._received_s: dict[str, float] = {}
        self._sent_s: dict[str, float] = {}
        self._logged_as_live: set[str] = set()
        self._was_reader = False
        self._full_usage_sent_s: dict[str, float] = {}
        self._urgent_report_s = float("-inf")
        self._news_due_s = math.inf
        self._warm_objects_sent_s = float("-inf")
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            report = self._decoder.decode(data)
        except (msgspec.MsgspecError, RecursionError) as exc:
            self._telemetry.count("peers.malformed")
            self._telemetry.log(ROW_REJECTED, source="peer", error=str(exc))
            return
        peer = self._by_address.get(addr)
        if report.usage_message is not None:
            if self.usage_reports is not None:
                self.usage_reports.apply(peer, report.usage_message)
            return
        if report.sender is not None:
            name, caller_address, peer_port, zone, region = report.sender
            record = HostRecord(name, caller_address, addr[0], peer_port, zone, region)
            peer = self._update_host(record)
        if peer is None:
            return
        self._apply_report(peer, report)

    def _apply_report(self, peer: Peer, report: ScarcityReport) -> None:
        now_s = self._clock.now_s()
        if (
            report.incarnation == peer.incarnation
            and report.report_clock_ms < peer.report_clock_ms
        ):
            # Observations keep their identity, so their order does not matter.
            self._apply_observations(peer, report, now_s)
            return
        is_new = report.incarnation != peer.incarnation
        if not self._apply_state(peer, report):
            return
        peer.last_report_s = peer.last_direct_report_s = now_s
        self._clock_to_echo_ms[peer.record.name] = report.report_clock_ms
        self._received_s[peer.record.name] = now_s
        if report.echoed_clock_ms > int(now_s * 1000):
            # The clock value is from before the latest boot of this machine, when its
            # clock was further ahead.
            report.echoed_clock_ms = 0
        if report.echoed_clock_ms and report.evidence_age_ms >= 0:
            self._apply_evidence(report)
        if report.large is not None:
            self._apply_large_fleet_report(peer, report, report.large, now_s)
        self._usage.apply_report(peer.record.name, report, now_s)
        self._warm_objects.apply_report(report.now_warm, report.warming)
        if self._is_via_gateway(peer):
            self.gateway.forward_warm_objects(report.now_warm, report.warming, now_s)
        self._apply_rollouts(peer, report)
        self._apply_rate_limits(peer, report, now_s)
        self._apply_leaving(peer, report, now_s)
        self._apply_observations(peer, report, now_s)
        transit_max_s = _transit_max_s(report, now_s)
        self.regional.apply(peer, report.regional, transit_max_s, now_s)
        if is_new or (report.sender is not None and self._is_via_gateway(peer)):
            # The other host has no totals of this one, or the first report was lost.
            self._full_usage_sent_s.pop(peer.record.name, None)
            content = ReportContent(self._usage.full(), is_for_new_host=True)
            self._send(peer, now_s, content)

    def _apply_state(self, peer: Peer, report: Report | HostDigest) -> bool:
        """Apply phase and version; return False for a report of an earlier start."""
        if report.incarnation != peer.incarnation:
            # Reports of the host's earlier start may arrive late.
            if report.incarnation == peer.former_incarnation:
                return False
            self._usage.reset_totals(peer.record.name)
            peer.former_incarnation = peer.incarnation
            peer.incarnation = report.incarnation
            peer.report_clock_ms = 0
        # A report without totals does not advance the clock value, since a digest with
        # the totals of an earlier report would then be dropped.
        if report.usage is not None:
            peer.report_clock_ms = report.report_clock_ms
        peer.phase = HostPhase(report.phase)
        peer.config_version = report.config_version
        self._feeds.record_reported_config(report.config_version)
        return True

    def _apply_rollouts(self, peer: Peer, report: Report | HostDigest) -> None:
        for rollout in report.rollouts:
            self._rollouts.apply_peer_snapshot(peer.record.name, rollout.to_snapshot())

    def _apply_rate_limits(self, peer: Peer, report: Report, now_s: float) -> None:
        for limit in self._eligibility.apply_rate_limit_entries(
            report.rate_limits, _transit_max_s(report, now_s), now_s
        ):
            self._telemetry.log(
                UPSTREAM_RATE_LIMIT,
                instance=limit.instance,
                per_s=limit.per_s,
                age_s=round(now_s - limit.observed_s, 2),
                source=f"reported by {peer.record.name}",
            )

    def _apply_leaving(self, peer: Peer, report: Report, now_s: float) -> None:
        for life in report.leaving:
            if self._eligibility.notices.record_leaving(life, now_s):
                self._telemetry.log(
                    UPSTREAM_LEAVING,
                    life=life,
                    source=f"reported by {peer.record.name}",
                )

    def _apply_observations(self, peer: Peer, report: Report, now_s: float) -> None:
        name = peer.record.name
        if report.observations is None:
            self._without_observations.add(name)
            self._poison_guard.apply_unidentified_entries(report.crashes)
            return
        self._without_observations.discard(name)
        if not _has_echo(report, now_s):
            # Without an echo of this host's clock it is unknown for how long the report
            # was on the way. The observations are sent again.
            return
        log = self._eligibility.observations
        rejected_before = log.rejected_count
        observations = log.apply_entries(
            report.observations,
            name,
            _transit_max_s(report, now_s),
            now_s,
        )
        if log.rejected_count > rejected_before:
            self._telemetry.count(
                "peers.observations_rejected", log.rejected_count - rejected_before
            )
        self._poison_guard.apply(observations, f"reported by {name}")
        if observations and self.restart_watch is not None:
            self.restart_watch.apply(observations, f"reported by {name}")

    def _apply_large_fleet_report(
        self, peer: Peer, report: Report, large: LargeFleetReport, now_s: float
    ) -> None:
        peer.orders_confirmed_s = now_s - large.orders_age_ms / 1000.0
        if report.echoed_clock_ms:
            self._apply_store_reads(peer, report.echoed_clock_ms, large)
        is_via_gateway = self._is_via_gateway(peer)
        self.gateway.digests.apply_report(peer, report, now_s)
        if large.digests and is_via_gateway:
            self.gateway.record_digests_from_other_zone(now_s)
        for digest in large.digests:
            self._apply_digest(digest, now_s, is_forwarded=is_via_gateway)

    def _apply_digest(
        self, digest: HostDigest, now_s: float, *, is_forwarded: bool
    ) -> None:
        peer = self._by_short_id.get(digest.host)
        if peer is None:
            return
        if (
            digest.incarnation == peer.incarnation
            and digest.report_clock_ms <= peer.report_clock_ms
        ):
            return
        if not self._apply_state(peer, digest):
            return
        peer.last_report_s = max(
            peer.last_report_s, now_s - digest.report_age_ms / 1000.0
        )
        self._usage.apply_report(peer.record.name, digest, now_s)
        self._apply_rollouts(peer, digest)
        if is_forwarded:
            self.gateway.digests.apply_report(peer, digest, now_s)

    def _is_via_gateway(self, peer: Peer) -> bool:
        """Whether gateways forward reports between this host and the peer."""
        return self._fleet.is_large and peer.record.zone != self._fleet.own.zone

    def _apply_evidence(self, report: Report) -> None:
        config = self._state.config
        if config is None or config.version != report.config_version:
            return
        # The evidence had the stated age when the other host sent the report. That was
        # after this host had sent the clock value that the report echoes.
        confirmed_s = (report.echoed_clock_ms - report.evidence_age_ms) / 1000.0
        self._feeds.apply_config_evidence(confirmed_s)

    def _apply_store_reads(
        self, peer: Peer, echoed_clock_ms: int, large: LargeFleetReport
    ) -> None:
        confirmed_s = (echoed_clock_ms - large.orders_age_ms) / 1000.0
        self._feeds.apply_peer_orders(large.latest_order_revision, confirmed_s)
        if large.upstreams is not None:
            confirmed_s = (echoed_clock_ms - large.upstreams.read_age_ms) / 1000.0
            source = (peer.record.name, peer.incarnation)
            self._feeds.apply_upstream_delta(source, large.upstreams, confirmed_s)

    def report_if_due(self, organisation: str) -> None:
        """Report at once if other hosts need the organisation's new total."""
        if self._usage.is_report_due(organisation):
            self.report_urgently()

    def report_urgently(self) -> None:
        """Report ahead of the period, unless an urgent report was sent just before."""
        now_s = self._clock.now_s()
        if now_s - self._urgent_report_s < URGENT_REPORT_SPACING_S:
            return
        self._urgent_report_s = now_s
        self.report()

    def report_warm_objects(self) -> None:
        """Report warm objects to the hosts of this host's region.

        Only first requests for objects are a reason to report; other entries wait for
        the next report.
        """
        now_s = self._clock.now_s()
        if (
            now_s - self._warm_objects_sent_s < URGENT_REPORT_SPACING_S
            or not self._warm_objects.is_report_due
        ):
            return
        self._warm_objects_sent_s = now_s
        content = self._with_warm_objects(ReportContent())
        for peer in self._fleet.in_own_region(now_s):
            if not self._is_via_gateway(peer):
                self._send(peer, now_s, content)
        self._send_warm_objects_to_gateways(now_s, content)

    def report_news(self) -> None:
        """Report observations as soon as the spacing allows, and once more after it.

        The second report makes up for a lost one.
        """
        now_s = self._clock.now_s()
        self.report_urgently()
        self._news_due_s = now_s + NEWS_SPACING_S

    def report_due_news(self) -> None:
        """Send a report that `report_news` has announced, if it is due."""
        now_s = self._clock.now_s()
        if now_s >= self._news_due_s:
            self._news_due_s = math.inf
            self.report_urgently()

    async def run(self) -> None:
        """Find other hosts, register this one and send reports until cancelled."""
        await self._discover_hosts()
        read_s = self._clock.now_s()
        era = revision_era(self._state.orders_revision)
        self.report()
        # Hosts may start together. If all reported at the same moment, the requests of
        # a whole period would be counted at once.
        await asyncio.sleep(random.uniform(0.0, REPORT_PERIOD_S))
        while True:
            now_s = self._clock.now_s()
            if now_s - read_s > HOST_TABLE_READ_PERIOD_S and self._fleet.is_reader(
                now_s
            ):
                read_s = now_s
                await self._host_table.read()
            # The era of the first read counts as known.
            latest_era = revision_era(self._state.orders_revision)
            if latest_era != era and (
                not era or await self._host_table.register_again()
            ):
                era = latest_era
            self.report()
            await asyncio.sleep(REPORT_PERIOD_S - ZONE_REPORT_LEAD_S)
            self.report_to_zone()
            await asyncio.sleep(ZONE_REPORT_LEAD_S)

    def report_to_zone(self) -> None:
        """Report changes from the store to the zone if this host is its reader.

        Other hosts report to the reader only: its evidence counts from the latest clock
        value that it has received from them.
        """
        now_s = self._clock.now_s()
        if not self._fleet.is_large:
            return
        self._log_reader_change(now_s)
        reader = self._fleet.reader_of_zone(now_s)
        if self._fleet.is_reader(now_s) or reader is None:
            peers = self._fleet.in_own_zone(now_s)
        else:
            peers = [reader]
        content = self._content(now_s, [])
        for peer in peers:
            self._send(peer, now_s, content)

    def _log_reader_change(self, now_s: float) -> None:
        is_reader = self._fleet.is_reader(now_s)
        if is_reader == self._was_reader:
            return
        self._was_reader = is_reader
        self._telemetry.log(
            STORE_READING,
            is_reader=is_reader,
            zone=self._fleet.own.zone,
            heard_in_zone=len(self._fleet.in_own_zone(now_s)),
            orders_age_s=round(now_s - self._state.orders_confirmed_s, 2),
            upstreams_age_s=round(now_s - self._state.upstreams_confirmed_s, 2),
        )

    def _content(self, now_s: float, rollouts: list[RolloutReport]) -> ReportContent:
        full = self._usage.full()
        if not self._fleet.is_large:
            return ReportContent(full, full, rollouts)
        delta = self._usage.delta(full, now_s)
        return ReportContent(
            full, delta, rollouts, upstreams=self._upstream_delta(now_s)
        )

    def _large_fleet_report(
        self, peer: Peer, now_s: float, content: ReportContent, is_full: bool
    ) -> LargeFleetReport | None:
        state = self._state
        if not self._fleet.is_large or not state.orders_revision:
            return None
        orders_age_ms = int((now_s - state.orders_confirmed_s) * 1000.0)
        in_zone = peer.record.zone == self._fleet.own.zone
        return LargeFleetReport(
            state.latest_order_revision,
            orders_age_ms,
            is_full,
            content.upstreams if in_zone else None,
            content.digests,
        )

    def _upstream_delta(self, now_s: float) -> UpstreamDelta | None:
        state = self._state
        is_zone_reader = self._fleet.is_large and self._fleet.is_reader(now_s)
        if not is_zone_reader or not state.is_loaded or self._feeds.has_lapsed_entries:
            return None
        return self._feeds.upstream_change_log.delta(
            state.upstreams_revision, state.upstreams_confirmed_s
        )

    def report(self) -> None:
        """Send a report to each host that is due one."""
        now_s = self._clock.now_s()
        content = self._content(now_s, self._rollout_reports())
        self._usage.record_reported()
        is_gateway = self._fleet.is_gateway(now_s)
        region_content = self._with_warm_objects(content)
        for peer in self._fleet.peers.values():
            is_live = peer.is_live(now_s)
            self._record_liveness(peer, is_live)
            if self._is_due(peer, now_s, is_live=is_live, is_gateway=is_gateway):
                is_in_region = peer.record.region == self._fleet.own.region
                self._send(peer, now_s, region_content if is_in_region else content)
        self._send_warm_objects_to_gateways(now_s, region_content)

    def _is_due(
        self, peer: Peer, now_s: float, *, is_live: bool, is_gateway: bool
    ) -> bool:
        is_via_gateway = self._is_via_gateway(peer)
        if is_live and not is_via_gateway:
            return True
        sent_s = self._sent_s.get(peer.record.name, float("-inf"))
        if now_s - sent_s < SILENT_PEER_REPORT_PERIOD_S:
            return False
        # Each host reports to a host of another zone until that one has reported back.
        # After that, only the gateway reports to it, while it is not live.
        has_never_reported = peer.last_direct_report_s == float("-inf")
        return has_never_reported or not is_via_gateway or (is_gateway and not is_live)

    def _rollout_reports(self) -> list[RolloutReport]:
        return [
            RolloutReport.from_snapshot(rollout.snapshot())
            for rollout in self._state.rollouts.values()
        ]

    def _with_warm_objects(self, content: ReportContent) -> ReportContent:
        # Callers of different regions request different objects, so hosts elsewhere
        # have no use for these entries, and traffic between regions and zones is
        # costly.
        now_warm, warming = self._warm_objects.take()
        return replace(content, now_warm=now_warm, warming=warming)

    def _send_warm_objects_to_gateways(
        self, now_s: float, content: ReportContent
    ) -> None:
        """Send entries on warm objects to the other zones of a large fleet's region.

        Hosts that do not get them choose upstreams less well, so it does no harm that
        the receiver may no longer be the gateway.
        """
        if not self._fleet.is_large or not (content.now_warm or content.warming):
            return
        entries = ReportContent(now_warm=content.now_warm, warming=content.warming)
        for peer in self._fleet.gateways_of_region(now_s):
            self._send(peer, now_s, entries)

    def _record_liveness(self, peer: Peer, is_live: bool) -> None:
        name = peer.record.name
        if not is_live and peer.is_gone(self._clock.now_s()):
            self._usage.clear_host(name)
        if is_live and name not in self._logged_as_live:
            self._logged_as_live.add(name)
            self._telemetry.log(PEER_REGAINED, peer=name, phase=peer.phase.name)
        elif not is_live and name in self._logged_as_live:
            self._logged_as_live.discard(name)
            silent_s = round(self._clock.now_s() - peer.last_report_s, 1)
            self._telemetry.log(PEER_LOST, peer=name, silent_s=silent_s)

    async def _discover_hosts(self) -> None:
        # The table is read before this host's row is written, since the answer to the
        # write may be lost. A host that did not know the others until then would spend
        # the quotas that they share a second time.
        await self._host_table.read_until_success()
        if self._fleet.peers:
            self._state.has_read_hosts = True
            self.report()
        if not self._host_table.is_registered:
            await self._host_table.register()
            await self._host_table.read_until_success()
        self._state.has_read_hosts = True

    def _update_host(self, record: HostRecord) -> Peer | None:
        peer = self._fleet.update_host(record)
        if peer is not None:
            self._by_address[(record.peer_ip, record.peer_port)] = peer
            self._by_short_id[short_id(record.name)] = peer
        return peer

    def _send(
        self,
        peer: Peer,
        now_s: float,
        content: ReportContent,
    ) -> None:
        if self._transport is None:
            return
        own = self._fleet.own
        name = peer.record.name
        config = self._state.config
        confirmed_s = self._state.config_confirmed_s
        has_evidence = config is not None and confirmed_s > -math.inf
        full_sent_s = self._full_usage_sent_s.get(name, float("-inf"))
        is_full = (
            content.usage is not None and now_s - full_sent_s >= FULL_USAGE_PERIOD_S
        )
        # A host with another configuration may ignore the totals, so the next report to
        # it is a full one again.
        if is_full and config is not None and peer.config_version == config.version:
            self._full_usage_sent_s[name] = now_s
        has_reported = self._clock_to_echo_ms.get(name) is not None and peer.is_live(
            now_s
        )
        observations = self._observations(peer, now_s, content)
        crashes = []
        if name in self._without_observations:
            crashes = self._poison_guard.unidentified_entries(observations)
            observations = []
        regional = self.regional.entries(peer, now_s)
        report_type = partial(ScarcityReport, regional=regional) if regional else Report
        report = report_type(
            self._incarnation,
            int(self._fleet.own_phase),
            int(now_s * 1000),
            self._clock_to_echo_ms.get(name, 0),
            config.version if config else 0,
            self._usage.names_hash,
            int((now_s - confirmed_s) * 1000) if has_evidence else -1,
            None
            if has_reported
            else (own.name, own.caller_address, own.peer_port, own.zone, own.region),
            content.usage if is_full else content.usage_delta,
            content.rollouts,
            content.now_warm,
            content.warming,
            self._large_fleet_report(peer, now_s, content, is_full),
            self._eligibility.rate_limit_entries(now_s),
            crashes,
            self._eligibility.notices.leaving_for_report(now_s)[:LEAVING_MAX],
            int((now_s - self._received_s.get(name, now_s)) * 1000.0),
            encode_observations(observations, now_s),
        )
        self._sent_s[name] = now_s
        data = self._encoder.encode(report)
        self._telemetry.count("peers.bytes_sent", len(data))
        # A full socket buffer drops the report; the next one carries the same state.
        with suppress(OSError):
            self._transport.sendto(data, (peer.record.peer_ip, peer.record.peer_port))

    def send_usage_message(self, peer: Peer, message: UsageMessage) -> None:
        """Send a message about usage in a datagram of its own."""
        if self._transport is None:
            return
        # The report's clock value 0 is lower than that of any earlier report.
        datagram = UsageDatagram(
            self._incarnation,
            int(self._fleet.own_phase),
            0,
            0,
            self._state.config.version if self._state.config else 0,
            self._usage.names_hash,
            -1,
            observations=[],
            usage_message=message,
        )
        data = self._encoder.encode(datagram)
        self._telemetry.count("peers.bytes_sent", len(data))
        with suppress(OSError):
            self._transport.sendto(data, (peer.record.peer_ip, peer.record.peer_port))

    def _observations(
        self, receiver: Peer, now_s: float, content: ReportContent
    ) -> list[Observation]:
        log = self._eligibility.observations
        if content.is_for_new_host:
            crashes = self._poison_guard.crashes_for_new_host()[:OBSERVATIONS_MAX]
            return list(dict.fromkeys(crashes + log.latest(now_s, OBSERVATIONS_MAX)))
        observations = log.take(
            receiver.record.name,
            partial(self._passes_on, receiver),
            now_s,
            OBSERVATIONS_MAX,
            passes_late=not self._fleet.is_large,
        )
        if log.has_more:
            self._news_due_s = min(self._news_due_s, now_s + NEWS_SPACING_S)
        return observations

    def _passes_on(self, receiver: Peer, source: str | None) -> bool:
        """Whether a peer gets observations of another one from this host only."""
        if source is None:
            return True
        sender = self._fleet.peers.get(source)
        return sender is not None and (
            self._is_via_gateway(sender) != self._is_via_gateway(receiver)
        )


def _has_echo(report: Report, now_s: float) -> bool:
    """Whether a report echoes this host's clock since the latest boot."""
    return 0 < report.echoed_clock_ms <= now_s * 1000.0


def _transit_max_s(report: Report, now_s: float) -> float:
    """Return an upper bound of the time that a report was on the way.

    It left after the clock value that it echoes had arrived there and been held for the
    stated time.
    """
    if not _has_echo(report, now_s):
        return FIRST_REPORT_TRANSIT_MAX_S
    return now_s - (report.echoed_clock_ms + max(0, report.echo_held_ms)) / 1000.0
