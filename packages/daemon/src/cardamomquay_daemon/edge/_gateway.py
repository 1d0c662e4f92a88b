"""Passes reports on between the zones of a large fleet."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from cardamomquay_daemon.edge._events import ZONE_GATEWAY
from cardamomquay_daemon.edge._host_digests import ALIVE_PERIOD_S
from cardamomquay_daemon.edge._host_digests import GATEWAY_PERIOD_S
from cardamomquay_daemon.edge._host_digests import HostDigests
from cardamomquay_daemon.edge._reports import News

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomquay.clock import Clock
    from cardamomquay.fleet import FleetView
    from cardamomquay.fleet import Peer
    from cardamomquay_daemon.edge._telemetry import EdgeTelemetry

# A gateway is heard by its zone at least this often, so that its end shows soon.
HEARD_PERIOD_S = 0.3
# A host passes digests on to its zone for this long after the gateway of another zone
# has taken it for the gateway of its own.
TAKEN_FOR_GATEWAY_S = 1.0


class Gateway:
    """What a host does while it is the gateway of its zone.

    Parameters
    ----------
    fleet : FleetView
    clock : Clock
    telemetry : EdgeTelemetry
    send : callable
        Sends news to a peer at a time.
    own_news : callable
        Returns what this host reports of itself at a time.
    """

    def __init__(
        self,
        fleet: FleetView,
        clock: Clock,
        telemetry: EdgeTelemetry,
        send: Callable[[Peer, float, News], None],
        own_news: Callable[[float], News],
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._telemetry = telemetry
        self._send = send
        self._own_news = own_news
        self._was_gateway = False
        self._taken_s = float("-inf")
        self._told_gateways_s = float("-inf")
        self._told_zone_s = float("-inf")
        self.digests = HostDigests(fleet)

    async def run(self) -> None:
        """Pass reports on until cancelled."""
        while True:
            await asyncio.sleep(GATEWAY_PERIOD_S)
            self.pass_on()

    def note_taken_for_gateway(self, now_s: float) -> None:
        """Learn that another zone's gateway tells this host of its zone."""
        self._taken_s = now_s

    def pass_on(self) -> None:
        """Tell other gateways of the own zone, and the own zone of the others."""
        now_s = self._clock.now_s()
        is_gateway = self._fleet.is_gateway(now_s)
        self._note_change(is_gateway, now_s)
        if is_gateway:
            self._tell_gateways(now_s)
        if is_gateway or now_s - self._taken_s < TAKEN_FOR_GATEWAY_S:
            self._tell_own_zone(now_s)

    def _note_change(self, is_gateway: bool, now_s: float) -> None:
        if is_gateway == self._was_gateway:
            return
        self._was_gateway = is_gateway
        self._telemetry.log(
            ZONE_GATEWAY,
            is_gateway=is_gateway,
            zone=self._fleet.own.zone,
            heard_in_zone=len(self._fleet.in_own_zone(now_s)),
        )

    def _tell_gateways(self, now_s: float) -> None:
        digests = self.digests.take(of_own_zone=True, now_s=now_s)
        if not digests and now_s - self._told_gateways_s < ALIVE_PERIOD_S:
            return
        self._told_gateways_s = now_s
        news = replace(self._own_news(now_s), upstreams=None, digests=digests)
        for peer in self._fleet.other_gateways(now_s):
            self._send(peer, now_s, news)

    def _tell_own_zone(self, now_s: float) -> None:
        digests = self.digests.take(of_own_zone=False, now_s=now_s)
        if not digests and now_s - self._told_zone_s < HEARD_PERIOD_S:
            return
        self._told_zone_s = now_s
        for peer in self._fleet.in_own_zone(now_s):
            self._send(peer, now_s, News(digests=digests))
