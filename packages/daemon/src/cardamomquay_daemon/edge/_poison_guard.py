"""Keeps requests that crash upstreams from being sent again."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

from cardamomquay.fleet_limits import CrashObservation
from cardamomquay.fleet_limits import PoisonRequests
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.placement import short_id
from cardamomquay_daemon.edge._attempts import AttemptOutcome
from cardamomquay_daemon.edge._events import REQUEST_CLEARED
from cardamomquay_daemon.edge._events import REQUEST_SUSPECTED

if TYPE_CHECKING:
    from cardamomquay.clock import Clock
    from cardamomquay_daemon.edge._attempts import Attempt
    from cardamomquay_daemon.edge._attempts import AttemptResult
    from cardamomquay_daemon.edge._relay import RequestContext
    from cardamomquay_daemon.edge._telemetry import EdgeTelemetry

FINGERPRINT_BYTES = 8
# Upstream of an observation in a report that is an answer, not a crash.
NO_UPSTREAM = -1
# Number of observations that fit into one report beside its other content. The latest
# ones come first.
OBSERVATIONS_MAX = 40


class PoisonGuard:
    """Records crashes, refuses requests in quarantine, and reports both.

    Parameters
    ----------
    clock : Clock
    telemetry : EdgeTelemetry
    """

    def __init__(self, clock: Clock, telemetry: EdgeTelemetry) -> None:
        self._clock = clock
        self._telemetry = telemetry
        self.requests = PoisonRequests()

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
            observation = CrashObservation(
                fingerprint(context), short_id(attempt.instance), now_s
            )
            # An upstream that still listens has either been started again at once, or
            # cuts answers, which it may do to any request.
            if not attempt.upstream_may_have_crashed and self.requests.has_crashed(
                observation
            ):
                return False
            is_new = self.requests.apply(observation, now_s)
            if is_new:
                self._log(observation, context.request_id, "answer")
            return is_new
        has_answer = result.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.FAILED)
        if not has_answer or not len(self.requests):
            return False
        is_cleared = self.requests.record_answer(fingerprint(context), now_s)
        if is_cleared:
            observation = CrashObservation(fingerprint(context), None, now_s)
            self._log(observation, context.request_id, "answer")
        return is_cleared

    def report_entries(self, *, is_for_new_host: bool) -> list[int]:
        """Return the observations to include in a report; see `Report.crashes`.

        Parameters
        ----------
        is_for_new_host : bool
            Whether to include all crashes for which requests are quarantined.

        Returns
        -------
        list of int
        """
        now_s = self._clock.now_s()
        observations = self.requests.due_for_report(now_s)
        if is_for_new_host:
            observations = self.requests.crashes_of_quarantined(now_s)
        entries: list[int] = []
        for item in observations[:OBSERVATIONS_MAX]:
            upstream = NO_UPSTREAM if item.upstream is None else item.upstream
            age_ms = max(0, int((now_s - item.observed_s) * 1000.0))
            entries += (item.request, upstream, age_ms)
        return entries

    def apply_report_entries(self, entries: list[int], source: str) -> None:
        """Apply the observations of another host's report.

        Parameters
        ----------
        entries : list of int
        source : str
            Name of that host.
        """
        now_s = self._clock.now_s()
        for request, upstream, age_ms in zip(
            entries[::3], entries[1::3], entries[2::3], strict=False
        ):
            observation = CrashObservation(
                request,
                None if upstream == NO_UPSTREAM else upstream,
                now_s - max(0, age_ms) / 1000.0,
            )
            if self.requests.apply(observation, now_s):
                self._log(observation, None, f"reported by {source}")

    def _log(
        self, observation: CrashObservation, request_id: str | None, source: str
    ) -> None:
        now_s = self._clock.now_s()
        event = REQUEST_CLEARED if observation.upstream is None else REQUEST_SUSPECTED
        left_s = self.requests.quarantine_left_s(observation.request, now_s)
        self._telemetry.log(
            event,
            fingerprint=f"{observation.request:x}",
            request=request_id,
            upstream_id=observation.upstream,
            crashes=self.requests.crash_count(observation.request),
            quarantine_left_s=round(left_s, 1),
            age_s=round(now_s - observation.observed_s, 2),
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
