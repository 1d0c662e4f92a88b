"""Records what upstreams say of themselves in the headers of their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomquay.fleet_limits import PAUSE_MAX_S
from cardamomquay.fleet_limits import life_id
from cardamomquay_daemon.edge._events import UPSTREAM_LEAVING
from cardamomquay_daemon.edge._events import UPSTREAM_PAUSED
from cardamomquay_daemon.edge._events import UPSTREAM_RATE_LIMIT
from cardamomquay_daemon.edge._headers import RETRY_AFTER
from cardamomquay_daemon.edge._headers import UNAVAILABLE_STATUS
from cardamomquay_daemon.edge._headers import parse_rate_limit
from cardamomquay_daemon.edge._headers import parse_retry_after_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomquay.clock import Clock
    from cardamomquay.traffic import Upstream
    from cardamomquay_daemon.edge._eligibility import Eligibility
    from cardamomquay_daemon.edge._header_names import HeaderNames
    from cardamomquay_daemon.edge._http_client import HttpAnswer
    from cardamomquay_daemon.edge._telemetry import EdgeTelemetry
    from cardamomquay_daemon.edge._upstream_connections import UpstreamConnections

LEAVING_VALUE = b"1"
# Pause of an upstream whose header cannot be read, such as one with a date, which needs
# a common clock: the shortest pause that can be named in whole seconds.
UNREADABLE_PAUSE_S = 1.0


class AnswerNotices:
    """Records rate limits, pauses and notices to leave.

    Parameters
    ----------
    connections : UpstreamConnections
    names : HeaderNames
    clock : Clock
    eligibility : Eligibility
    telemetry : EdgeTelemetry
    report_urgently : callable
        Reports to the other hosts ahead of the period.
    """

    def __init__(
        self,
        connections: UpstreamConnections,
        names: HeaderNames,
        clock: Clock,
        eligibility: Eligibility,
        telemetry: EdgeTelemetry,
        report_urgently: Callable[[], None],
    ) -> None:
        self._connections = connections
        self._names = names
        self._clock = clock
        self._eligibility = eligibility
        self._telemetry = telemetry
        self._report_urgently = report_urgently

    def record(
        self,
        upstream: Upstream,
        answer: HttpAnswer,
        request_id: str,
        *,
        is_signed: bool,
    ) -> float | None:
        """Record what an answer says, and return the pause that it asks for.

        Parameters
        ----------
        upstream : Upstream
        answer : HttpAnswer
            Of this upstream, not of another one at its former address.
        request_id : str
        is_signed : bool
            Whether it has the upstream's signature.

        Returns
        -------
        float or None
            In seconds; None if the answer asks for no pause.
        """
        self._record_rate_limit(upstream, answer, is_signed=is_signed)
        self._record_leaving(upstream, answer, request_id)
        return self._record_pause(upstream, answer, request_id)

    def _record_leaving(
        self, upstream: Upstream, answer: HttpAnswer, request_id: str
    ) -> None:
        if (answer.header(self._names.leaving) or b"").strip() != LEAVING_VALUE:
            return
        # Connections that are in use are closed when their answers have arrived.
        self._connections.drop(upstream.instance)
        now_s = self._clock.now_s()
        if self._eligibility.notices.record_leaving(life_id(upstream), now_s):
            self._telemetry.count("upstreams.leaving")
            self._telemetry.log(
                UPSTREAM_LEAVING,
                instance=upstream.instance,
                service=upstream.service,
                entry_state=str(upstream.state),
                request=request_id,
                source="answer",
            )
            self._report_urgently()

    def _record_pause(
        self, upstream: Upstream, answer: HttpAnswer, request_id: str
    ) -> float | None:
        value = answer.header(RETRY_AFTER)
        if answer.status != UNAVAILABLE_STATUS or value is None:
            return None
        named_s = parse_retry_after_s(value)
        if named_s is None or named_s > PAUSE_MAX_S:
            self._telemetry.count("upstreams.retry_after_malformed")
        pause_s = min(PAUSE_MAX_S, UNREADABLE_PAUSE_S if named_s is None else named_s)
        if pause_s <= 0.0:
            return pause_s
        now_s = self._clock.now_s()
        self._eligibility.notices.record_pause(upstream, pause_s, now_s)
        self._telemetry.count("upstreams.pauses")
        self._telemetry.log(
            UPSTREAM_PAUSED,
            instance=upstream.instance,
            service=upstream.service,
            pause_s=pause_s,
            is_readable=named_s is not None,
            request=request_id,
        )
        return pause_s

    def _record_rate_limit(
        self, upstream: Upstream, answer: HttpAnswer, *, is_signed: bool
    ) -> None:
        value = answer.header(self._names.rate_limit)
        per_s = parse_rate_limit(value)
        if value is None and not is_signed:
            # Only an answer with the upstream's signature proves that a limit ended.
            return
        if value is not None and per_s is None:
            # An unreadable limit says nothing about the one named before.
            self._telemetry.count("upstreams.rate_limit_malformed")
            return
        limits = self._eligibility.rate_limits
        before_per_s = limits.limit_per_s(upstream.instance)
        if limits.record_answer(upstream.instance, per_s, self._clock.now_s()):
            self._telemetry.log(
                UPSTREAM_RATE_LIMIT,
                instance=upstream.instance,
                service=upstream.service,
                per_s=per_s,
                before_per_s=before_per_s,
                source="answer",
            )
            # Most hosts get no answer from this upstream before they would exceed the
            # limit.
            self._report_urgently()
