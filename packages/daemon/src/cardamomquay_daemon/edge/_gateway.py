"""Forwards digests of reports between the zones of a large fleet."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING

from cardamomquay_daemon.edge._events import ZONE_GATEWAY
from cardamomquay_daemon.edge._host_digests import FORWARD_PERIOD_S
from cardamomquay_daemon.edge._host_digests import KEEPALIVE_PERIOD_S
from cardamomquay_daemon.edge._host_digests import HostDigests
from cardamomquay_daemon.edge._reports import ReportContent
from cardamomquay_daemon.edge._warm_objects import WarmEntryQueue

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomquay.clock import Clock
    from cardamomquay.fleet import FleetView
    from cardamomquay.fleet import Peer
    from cardamomquay.gossip import ObservationLog
    from cardamomquay_daemon.edge._telemetry import EdgeTelemetry

# A gateway reports to its zone at least this often, so that its loss is noticed.
ZONE_KEEPALIVE_PERIOD_S = 0.3
# Hosts that would not replace a lost gateway look for changes less often.
OTHER_HOSTS_CHECK_PERIOD_S = 0.6
# A host that is not the gateway of its zone also forwards digests to its zone for this
# long after the gateway of another zone has sent it some: that gateway may not know
# which host is the gateway here.
OTHER_ZONE_DIGESTS_FORWARD_S = 1.0


class Gateway:
    """Forwards digests of hosts while this host acts as a gateway.

    It does so if it is the gateway of its zone, or if the gateway of another zone has
    just sent it digests.

    Parameters
    ----------
    fleet : FleetView
    clock : Clock
    telemetry : EdgeTelemetry
    send : callable
        Sends content to a peer; gets the peer, the time and the content.
    own_content : callable
        Returns the content of this host's own report at the given time.
    observations : ObservationLog
        Reports contain the observations that are passed on. New ones are a reason to
        send a report.
    """

    def __init__(
        self,
        fleet: FleetView,
        clock: Clock,
        telemetry: EdgeTelemetry,
        send: Callable[[Peer, float, ReportContent], None],
        own_content: Callable[[float], ReportContent],
        observations: ObservationLog,
    ) -> None:
        self._observations = observations
        # Number of observations that this host had learned when it last sent reports.
        self._sent_to_gateways_count = 0
        self._sent_to_zone_count = 0
        self._fleet = fleet
        self._clock = clock
        self._telemetry = telemetry
        self._send = send
        self._own_content = own_content
        self._was_gateway = False
        self._digests_from_other_zone_s = float("-inf")
        self._sent_to_gateways_s = float("-inf")
        self._sent_to_zone_s = float("-inf")
        self._has_digests = asyncio.Event()
        self._warm_entries = WarmEntryQueue()
        self.digests = HostDigests(fleet)

    async def run(self) -> None:
        """Forward digests until cancelled."""
        while True:
            if not self._fleet.is_gateway_candidate(self._clock.now_s()):
                with suppress(TimeoutError):
                    async with asyncio.timeout(OTHER_HOSTS_CHECK_PERIOD_S):
                        await self._has_digests.wait()
                self._has_digests.clear()
            await asyncio.sleep(FORWARD_PERIOD_S)
            self.forward()

    def record_digests_from_other_zone(self, now_s: float) -> None:
        """Record that another zone's gateway sent digests of the hosts of that zone."""
        self._digests_from_other_zone_s = now_s
        self._has_digests.set()

    def forward_warm_objects(
        self, now_warm: list[int], warming: list[int], now_s: float
    ) -> None:
        """Include entries of another zone's host in the next round to the own zone.

        Parameters
        ----------
        now_warm, warming : list of int
            As in `WarmObjectReports.take`.
        now_s : float
        """
        if self._was_gateway:
            self._warm_entries.add(now_warm, warming, now_s)

    def forward(self) -> None:
        """Send the own zone's digests to other gateways, and theirs to the own zone."""
        now_s = self._clock.now_s()
        is_gateway = self._fleet.is_gateway(now_s)
        self._log_role_change(is_gateway, now_s)
        if is_gateway:
            self._send_to_gateways(now_s)
        if (
            is_gateway
            or now_s - self._digests_from_other_zone_s < OTHER_ZONE_DIGESTS_FORWARD_S
        ):
            self._send_to_own_zone(now_s)

    def _log_role_change(self, is_gateway: bool, now_s: float) -> None:
        if is_gateway == self._was_gateway:
            return
        self._was_gateway = is_gateway
        self._telemetry.log(
            ZONE_GATEWAY,
            is_gateway=is_gateway,
            zone=self._fleet.own.zone,
            heard_in_zone=len(self._fleet.in_own_zone(now_s)),
        )

    def _send_to_gateways(self, now_s: float) -> None:
        digests = self.digests.take_due(of_own_zone=True, now_s=now_s)
        learned_count = self._observations.learned_count
        is_empty = not digests and learned_count == self._sent_to_gateways_count
        if is_empty and now_s - self._sent_to_gateways_s < KEEPALIVE_PERIOD_S:
            return
        self._sent_to_gateways_s = now_s
        self._sent_to_gateways_count = learned_count
        content = replace(self._own_content(now_s), upstreams=None, digests=digests)
        for peer in self._fleet.other_gateways(now_s):
            self._send(peer, now_s, content)
            if self._observations.has_more:
                self._sent_to_gateways_count = -1

    def _send_to_own_zone(self, now_s: float) -> None:
        digests = self.digests.take_due(of_own_zone=False, now_s=now_s)
        now_warm, warming = self._warm_entries.take(now_s)
        learned_count = self._observations.learned_count
        has_observations = learned_count != self._sent_to_zone_count
        is_empty = not (digests or now_warm or warming or has_observations)
        if is_empty and now_s - self._sent_to_zone_s < ZONE_KEEPALIVE_PERIOD_S:
            return
        self._sent_to_zone_s = now_s
        self._sent_to_zone_count = learned_count
        content = ReportContent(digests=digests, now_warm=now_warm, warming=warming)
        for peer in self._fleet.in_own_zone(now_s):
            self._send(peer, now_s, content)
            if self._observations.has_more:
                self._sent_to_zone_count = -1
