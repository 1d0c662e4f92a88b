"""Answers to look-ups, to questions of readiness and for metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomquay.fleet import HostPhase
from cardamomquay_daemon.edge._caller_conn import CallerAnswer

if TYPE_CHECKING:
    from cardamomquay.clock import Clock
    from cardamomquay.fleet import FleetView
    from cardamomquay_daemon.edge._caller_conn import CallerRequest
    from cardamomquay_daemon.edge._dialect import Dialect
    from cardamomquay_daemon.edge._telemetry import EdgeTelemetry

# Longest time to keep an answer, unless the deployment says less. Short, so that
# callers leave a stopping host soon; some keep it three times as long.
LOOKUP_TTL_S = 2.0
JSON = [(b"content-type", b"application/json")]
TEXT = [(b"content-type", b"text/plain; version=0.0.4")]


class Endpoints:
    """The host's own small endpoints.

    Parameters
    ----------
    dialect : Dialect
    fleet : FleetView
    clock : Clock
    telemetry : EdgeTelemetry
    ttl_max_s : float
        Longest time that callers may keep an answer.
    """

    def __init__(
        self,
        dialect: Dialect,
        fleet: FleetView,
        clock: Clock,
        telemetry: EdgeTelemetry,
        ttl_max_s: float,
    ) -> None:
        self._ttl_s = min(LOOKUP_TTL_S, ttl_max_s)
        self._dialect = dialect
        self._fleet = fleet
        self._clock = clock
        self._telemetry = telemetry

    async def look_up(self, request: CallerRequest) -> CallerAnswer:
        """Tell a caller which hosts to use."""
        asked = self._dialect.parse_lookup(request.target.decode("latin-1"))
        if asked is None:
            return CallerAnswer(404)
        addresses = self._fleet.addresses_for(
            asked.zone, asked.region, self._clock.now_s()
        )
        self._telemetry.count("lookups.answered" if addresses else "lookups.empty")
        if not addresses:
            return CallerAnswer(503)
        body = self._dialect.encode_lookup(addresses, self._ttl_s)
        return CallerAnswer(200, list(JSON), body)

    async def readiness(self, request: CallerRequest) -> CallerAnswer:
        """Tell whether this host takes callers."""
        path = request.target.decode("latin-1").partition("?")[0]
        if not self._dialect.is_readiness(path):
            return CallerAnswer(404)
        is_ready = self._fleet.own_phase is HostPhase.READY
        return CallerAnswer(200 if is_ready else 503)

    async def metrics(self, request: CallerRequest) -> CallerAnswer:
        """Return counters and histograms."""
        return CallerAnswer(200, list(TEXT), self._telemetry.as_text())
