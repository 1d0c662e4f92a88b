"""Endpoints for host look-ups, readiness checks and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomquay.fleet import HostPhase
from cardamomquay_daemon.edge._caller_conn import CallerAnswer

if TYPE_CHECKING:
    from cardamomquay.clock import Clock
    from cardamomquay.fleet import FleetView
    from cardamomquay_daemon.edge._caller_conn import CallerRequest
    from cardamomquay_daemon.edge._caller_protocol import CallerProtocol
    from cardamomquay_daemon.edge._telemetry import EdgeTelemetry

# Time for which callers may cache a look-up answer, unless the deployment requires a
# shorter one. It is short so that callers stop using a stopping host soon; some callers
# cache answers for three times as long.
LOOKUP_TTL_S = 2.0
JSON_HEADERS = [(b"content-type", b"application/json")]
TEXT_HEADERS = [(b"content-type", b"text/plain; version=0.0.4")]


class Endpoints:
    """Endpoints that the host answers itself, without an upstream.

    Parameters
    ----------
    caller_protocol : CallerProtocol
    fleet : FleetView
    clock : Clock
    telemetry : EdgeTelemetry
    ttl_max_s : float
        Longest time for which callers may cache a look-up answer.
    """

    def __init__(
        self,
        caller_protocol: CallerProtocol,
        fleet: FleetView,
        clock: Clock,
        telemetry: EdgeTelemetry,
        ttl_max_s: float,
    ) -> None:
        self._ttl_s = min(LOOKUP_TTL_S, ttl_max_s)
        self._caller_protocol = caller_protocol
        self._fleet = fleet
        self._clock = clock
        self._telemetry = telemetry

    async def look_up(self, request: CallerRequest) -> CallerAnswer:
        """Return the addresses of the hosts that a caller should use."""
        lookup = self._caller_protocol.parse_lookup(request.target.decode("latin-1"))
        if lookup is None:
            return CallerAnswer(404)
        addresses = self._fleet.addresses_for(
            lookup.zone, lookup.region, self._clock.now_s()
        )
        self._telemetry.count("lookups.answered" if addresses else "lookups.empty")
        if not addresses:
            return CallerAnswer(503)
        body = self._caller_protocol.encode_lookup(addresses, self._ttl_s)
        return CallerAnswer(200, list(JSON_HEADERS), body)

    async def readiness(self, request: CallerRequest) -> CallerAnswer:
        """Return 200 if this host accepts callers, 503 otherwise."""
        path = request.target.decode("latin-1").partition("?")[0]
        if not self._caller_protocol.is_readiness_path(path):
            return CallerAnswer(404)
        is_ready = self._fleet.own_phase is HostPhase.READY
        return CallerAnswer(200 if is_ready else 503)

    async def metrics(self, request: CallerRequest) -> CallerAnswer:
        """Return counters and histograms as text."""
        return CallerAnswer(200, list(TEXT_HEADERS), self._telemetry.as_text())
