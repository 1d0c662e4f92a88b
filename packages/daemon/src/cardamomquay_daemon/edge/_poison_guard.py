"""Keeps requests that crash upstreams from being sent again."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

from cardamomquay.fleet_limits import CLEARED
from cardamomquay.fleet_limits import CRASHED
from cardamomquay.fleet_limits import PoisonRequests
from cardamomquay.fleet_limits import crashed_upstream
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.placement import short_id
from cardamomquay_daemon.edge._attempts import AttemptOutcome
from cardamomquay_daemon.edge._events import REQUEST_CLEARED
from cardamomquay_daemon.edge._events import REQUEST_SUSPECTED

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cardamomquay.clock import Clock
    from cardamomquay.events import LogEvent
    from cardamomquay.gossip import Observation
    from cardamomquay.gossip import ObservationLog
    from cardamomquay_daemon.edge._attempts import Attempt
    from cardamomquay_daemon.edge._attempts import AttemptResult
    from cardamomquay_daemon.edge._relay import RequestContext
    from cardamomquay_daemon.edge._telemetry import EdgeTelemetry

FINGERPRINT_BYTES = 8
# Upstream of an entry for hosts of an earlier version that is an answer, not a crash.
NO_UPSTREAM = -1
POISON_CODES = (CRASHED.code, CLEARED.code)


class PoisonGuard:
    """Records crashes, and refuses requests in quarantine.

    Parameters
    ----------
    clock : Clock
    telemetry : EdgeTelemetry
    observations : ObservationLog
        Passes crashes and answers on to the other hosts.
    """

    def __init__(
        self, clock: Clock, telemetry: EdgeTelemetry, observations: ObservationLog
    ) -> None:
        self._clock = clock
        self._telemetry = telemetry
        self.requests = PoisonRequests(observations)

    def refusal(self, context: RequestContext) -> Refusal | None:
        """Return the refusal of a request in quarantine; None if it may be sent."""
        if not len(self.requests):
            return None
        left_s = self.requests.quarantine_left_s(
            fingerprint(context), self._clock.now_s()
        )
        if left_s <= 0.0:
            return None
        crashes = self.requests.crash_count(fingerprint(context))
        detail = f"fingerprint {fingerprint(context):x}, {crashes} crashes"
        return Refusal(RefusalReason.REQUEST_QUARANTINED, detail, left_s)

    def record_result(
        self, context: RequestContext, attempt: Attempt, result: AttemptResult
    ) -> bool:
        """Record what an attempt shows; return whether other hosts need to know.

        Parameters
        ----------
        context : RequestContext
        attempt : Attempt
        result : AttemptResult

        Returns
        -------
        bool
        """
        now_s = self._clock.now_s()
        if attempt.upstream_may_have_crashed or attempt.answer_broke_off:
            request, upstream = fingerprint(context), short_id(attempt.instance)
            # An upstream that still listens has either been started again at once, or
            # cuts answers, which it may do to any request.
            if not attempt.upstream_may_have_crashed and self.requests.has_crashed(
                request, upstream
            ):
                return False
            is_new = self.requests.record_crash(
                request, upstream, attempt.took_s, now_s
            )
            if is_new:
                self._log(
                    REQUEST_SUSPECTED, request, "answer", context.request_id, upstream
                )
            return is_new
        has_answer = result.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.FAILED)
        if not has_answer or not len(self.requests):
            return False
        is_cleared = self.requests.record_answer(fingerprint(context), now_s)
        if is_cleared:
            self._log(
                REQUEST_CLEARED, fingerprint(context), "answer", context.request_id
            )
        return is_cleared

    def apply(self, observations: Iterable[Observation], source: str) -> None:
        """Apply the observations of another host that are new to this one.

        Only the begin and the end of a quarantine are logged: the host that has made an
        observation has logged it.

        Parameters
        ----------
        observations : iterable of Observation
        source : str
            Name of that host.
        """
        now_s = self._clock.now_s()
        were_quarantined: dict[int, bool] = {}
        for observation in observations:
            if observation.kind in POISON_CODES:
                request = observation.subject
                were_quarantined.setdefault(request, self._is_quarantined(request))
                self.requests.apply(observation, now_s)
        for request, was_quarantined in were_quarantined.items():
            is_quarantined = self._is_quarantined(request)
            if is_quarantined and not was_quarantined:
                self._log(REQUEST_SUSPECTED, request, source)
            elif was_quarantined and not is_quarantined:
                self._log(REQUEST_CLEARED, request, source)

    def crashes_for_new_host(self) -> list[Observation]:
        """Return the crashes for which requests are quarantined."""
        return self.requests.crashes_of_quarantined(self._clock.now_s())

    def unidentified_entries(self, observations: Iterable[Observation]) -> list[int]:
        """Return observations for a host of an earlier version; see `Report.crashes`.

        Parameters
        ----------
        observations : iterable of Observation

        Returns
        -------
        list of int
        """
        now_s = self._clock.now_s()
        entries: list[int] = []
        cleared: set[int] = set()
        for item in observations:
            is_answer = item.kind == CLEARED.code
            if item.kind not in POISON_CODES or item.subject in cleared:
                continue
            if is_answer:
                cleared.add(item.subject)
            upstream = NO_UPSTREAM if is_answer else crashed_upstream(item)
            age_ms = max(0, int((now_s - item.latest_s) * 1000.0))
            entries += (item.subject, upstream, age_ms)
        return entries

    def apply_unidentified_entries(self, entries: list[int]) -> None:
        """Apply the observations of a host of an earlier version."""
        now_s = self._clock.now_s()
        for request, upstream, age_ms in zip(
            entries[::3], entries[1::3], entries[2::3], strict=False
        ):
            self.requests.apply_unidentified(
                request,
                None if upstream == NO_UPSTREAM else upstream,
                now_s - max(0, age_ms) / 1000.0,
                now_s,
            )

    def _is_quarantined(self, request: int) -> bool:
        return self.requests.quarantine_left_s(request, self._clock.now_s()) > 0.0

    def _log(
        self,
        event: LogEvent,
        request: int,
        source: str,
        request_id: str | None = None,
        upstream: int | None = None,
    ) -> None:
        left_s = self.requests.quarantine_left_s(request, self._clock.now_s())
        self._telemetry.log(
            event,
            fingerprint=f"{request:x}",
            request=request_id,
            upstream_id=upstream,
            crashes=self.requests.crash_count(request),
            quarantine_left_s=round(left_s, 1),
            source=source,
        )


def fingerprint(context: RequestContext) -> int:
    """Return the hash of what makes two requests the same: caller, target and body."""
    if context.fingerprint is None:
        request = context.request
        organisation = context.organisation.name if context.organisation else ""
        digest = blake2b(digest_size=FINGERPRINT_BYTES)
        for part in (
            request.method,
            request.header(b"host") or b"",
            request.target,
            organisation.encode(),
            request.body,
        ):
            digest.update(b"%d:" % len(part))
            digest.update(part)
        context.fingerprint = int.from_bytes(digest.digest(), "big")
    return context.fingerprint
