"""Handles a caller's request: admission, choice of upstreams, attempts and answer."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import msgspec

from cardamomquay.caller_memory import RunningRequests
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.placement import AdmissionClaim
from cardamomquay.placement import CallerTimeouts
from cardamomquay.placement import PlacementRequest
from cardamomquay.placement import RequestTiming
from cardamomquay.regional_capacity import RegionChoice
from cardamomquay.traffic import RouteKind
from cardamomquay.traffic import WeightedRoundRobin
from cardamomquay_daemon.edge._attempts import NOT_RUN_STATUSES
from cardamomquay_daemon.edge._attempts import Attempt
from cardamomquay_daemon.edge._attempts import AttemptOutcome
from cardamomquay_daemon.edge._attempts import AttemptResult
from cardamomquay_daemon.edge._caller_conn import CallerAnswer
from cardamomquay_daemon.edge._caller_memory import DEFAULT_REQUESTS_MAX
from cardamomquay_daemon.edge._eligibility import PAUSED_DETAIL
from cardamomquay_daemon.edge._events import REQUEST_CANCELLED
from cardamomquay_daemon.edge._events import REQUEST_DONE
from cardamomquay_daemon.edge._headers import RETRY_AFTER
from cardamomquay_daemon.edge._headers import bearer_key
from cardamomquay_daemon.edge._headers import caller_answer_headers
from cardamomquay_daemon.edge._headers import object_key
from cardamomquay_daemon.edge._headers import parse_caller_timeout_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomquay.clock import Clock
    from cardamomquay.events import LogEvent
    from cardamomquay.placement import Candidate
    from cardamomquay.traffic import Organisation
    from cardamomquay.traffic import Route
    from cardamomquay_daemon.edge._attempts import AttemptSender
    from cardamomquay_daemon.edge._caller_conn import CallerRequest
    from cardamomquay_daemon.edge._eligibility import Eligibility
    from cardamomquay_daemon.edge._header_names import HeaderNames
    from cardamomquay_daemon.edge._poison_guard import PoisonGuard
    from cardamomquay_daemon.edge._settings import Bounds
    from cardamomquay_daemon.edge._state import HostState
    from cardamomquay_daemon.edge._telemetry import EdgeTelemetry

# Keys are refused if the evidence for the configuration is older than `Bounds.revoke_s`
# less this margin, which covers the time from the check of a key until the request
# reaches the upstream.
REVOKE_MARGIN_S = 0.5
# If the evidence is older than `Bounds.config_s` plus this margin, an unknown key or
# route may have been added since. The request is then refused with status 503 and a
# retry delay instead of 401 or 404.
DENIAL_EVIDENCE_MARGIN_S = 1.0
# After an attempt that could not reach its upstream, a request is retried as long as it
# has had fewer attempts than this.
CONNECT_ATTEMPTS_MAX = 4
# Interval of checks whether an upstream has loaded an object.
OBJECT_LOAD_POLL_INTERVAL_S = 0.05
NOT_READY_RETRY_AFTER_S = 0.5
# A host reads its state within two round trips to the store, so requests that arrive
# before that wait for it instead of being refused. If the host has not read it after
# `START_DURATION_S`, the store is out of reach, and requests are refused at once.
START_WAIT_MAX_S = 0.3
START_DURATION_S = 1.0
START_POLL_INTERVAL_S = 0.01
# A caller that has spent at least this time counts as one that has waited before it
# came back; one that was refused and retries at once has spent less.
RETURN_WAIT_MIN_S = 0.1
STALE_CONFIG_RETRY_AFTER_S = 0.5
# Retry delays of requests for which too many others run, spread so that their callers
# do not return together.
TOO_MANY_RUNNING_RETRY_AFTER_S = (0.5, 1.5)
TOO_MANY_RUNNING_DETAIL = "too many requests run"


@dataclass(slots=True)
class RequestContext:
    """State of a request while it is handled.

    Parameters
    ----------
    request : CallerRequest
    request_id : str
    route : Route or None
    service : str
        Service chosen for the request; empty before that.
    organisation : Organisation or None
    object_key : str
        Key of the object that the request concerns; empty without one.
    timeout_at_s : float
        Time at which attempts end, on the clock of the event loop.
    objective_at_s : float
        Time at which the latency objective is missed, counting the time that the
        caller has spent on its own earlier attempts.
    caller_timeout_at_s : float
        Time at which the caller gives up.
    is_return : bool
        Whether the caller has waited before it sent the request again.
    is_admitted : bool
        Whether an upstream was chosen, for which the request may still wait.
    attempts : list of Attempt
        Attempts of this host.
    fingerprint : int or None
        Identifies the same request of the same caller; None until it is needed.
    region_choice : RegionChoice
        What was decided from the room of regions.
    """

    request: CallerRequest
    request_id: str
    route: Route | None = None
    service: str = ""
    organisation: Organisation | None = None
    object_key: str = ""
    timeout_at_s: float = 0.0
    objective_at_s: float = 0.0
    caller_timeout_at_s: float = 0.0
    is_return: bool = False
    is_admitted: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    fingerprint: int | None = None
    region_choice: RegionChoice = field(default_factory=RegionChoice)


class Relay:
    """Forwards requests of callers to upstreams.

    Parameters
    ----------
    state : HostState
    bounds : Bounds
    names : HeaderNames
    clock : Clock
    attempt_sender : AttemptSender
    eligibility : Eligibility
    poison_guard : PoisonGuard
    telemetry : EdgeTelemetry
    on_admitted : callable
        Called with the organisation's name for each request that its quota admits.
    report_news : callable
        Reports to the other hosts ahead of the period, as soon as it may.
    running : RunningRequests, optional
        Bounds the requests that run at once.
    """

    def __init__(
        self,
        state: HostState,
        bounds: Bounds,
        names: HeaderNames,
        clock: Clock,
        attempt_sender: AttemptSender,
        eligibility: Eligibility,
        poison_guard: PoisonGuard,
        telemetry: EdgeTelemetry,
        on_admitted: Callable[[str], None],
        report_news: Callable[[], None],
        running: RunningRequests | None = None,
    ) -> None:
        # An object without requests is false.
        self._running = (
            RunningRequests(DEFAULT_REQUESTS_MAX) if running is None else running
        )
        self._poison_guard = poison_guard
        self._report_news = report_news
        self._on_admitted = on_admitted
        self._state = state
        self._bounds = bounds
        self._names = names
        self._clock = clock
        self._attempt_sender = attempt_sender
        self._eligibility = eligibility
        self._telemetry = telemetry
        self._caller_timeouts = CallerTimeouts()
        self._started_s = clock.now_s()
        self._round_robins: dict[str, WeightedRoundRobin] = {}

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answer a request; an unexpected exception results in status 500."""
        request_id = (request.header(self._names.request_id) or b"").decode("latin-1")
        context = RequestContext(request, request_id)
        context.region_choice = self._eligibility.regions.begin()
        try:
            result = await self._answer(context)
        except asyncio.CancelledError:
            self._log_result(context, REQUEST_CANCELLED, None)
            raise
        except Exception as exc:
            self._telemetry.record_task_failure("request", exc)
            result = Refusal(RefusalReason.INTERNAL_ERROR)
        if isinstance(result, Refusal):
            self._telemetry.count(f"refused.{result.reason}")
        self._log_result(context, REQUEST_DONE, result)
        return self._caller_answer(context, result)

    async def _answer(self, context: RequestContext) -> AttemptResult | Refusal:
        await self._wait_until_loaded()
        refusal = self._match_and_authorize(context)
        if refusal is not None:
            return refusal
        refusal = self._poison_guard.refusal(context)
        if refusal is not None:
            return refusal
        route = context.route
        assert route is not None
        context.service = self._round_robins.setdefault(
            route.name, WeightedRoundRobin()
        ).choose(route)
        self._eligibility.priority_mix.record(context.service, route.priority)
        with self._running.run(context.service) as may_run:
            if may_run:
                return await self._send(context)
        return Refusal(
            RefusalReason.POOL_BUSY,
            TOO_MANY_RUNNING_DETAIL,
            random.uniform(*TOO_MANY_RUNNING_RETRY_AFTER_S),
        )

    async def _send(self, context: RequestContext) -> AttemptResult | Refusal:
        """Send a request to upstreams until one answers or it may not be retried."""
        candidate = await self._choose_upstream(context)
        if isinstance(candidate, Refusal):
            return candidate
        # Other hosts may have reported a crash while this one waited for an object.
        refusal = self._poison_guard.refusal(context) or self._eligibility.admit(
            context.organisation, self._clock.now_s()
        )
        if refusal is not None:
            return refusal
        if context.organisation is not None:
            self._on_admitted(context.organisation.name)
        self._eligibility.record_request(context.service, self._clock.now_s())
        while True:
            result = await self._attempt_sender.send(candidate, context)
            attempt = context.attempts[-1]
            if self._poison_guard.record_result(context, attempt, result):
                self._report_news()
            if result.outcome is AttemptOutcome.ANSWERED:
                return result
            next_candidate = await self._choose_upstream(context)
            if isinstance(next_candidate, Refusal) or not self._may_retry(
                context, result, next_candidate
            ):
                if (
                    isinstance(next_candidate, Refusal)
                    and next_candidate.detail == PAUSED_DETAIL
                ):
                    result.retry_after_s = next_candidate.effective_retry_after_s or 0.0
                return self._final_failure(context, result)
            candidate = next_candidate

    async def _wait_until_loaded(self) -> None:
        """Wait for the first read of the store, for a short time after a start."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + START_WAIT_MAX_S
        while (
            not self._state.is_loaded
            and loop.time() < until_s
            and self._clock.now_s() - self._started_s < START_DURATION_S
        ):
            await asyncio.sleep(START_POLL_INTERVAL_S)

    def _match_and_authorize(self, context: RequestContext) -> Refusal | None:
        config = self._state.config
        if config is None or not self._state.is_loaded:
            return Refusal(
                RefusalReason.NOT_READY, retry_after_s=NOT_READY_RETRY_AFTER_S
            )
        request = context.request
        hostname = (request.header(b"host") or b"").decode("latin-1").partition(":")[0]
        path = request.target.decode("latin-1").partition("?")[0]
        evidence_age_s = self._clock.now_s() - self._state.config_confirmed_s
        route = config.match(hostname, path)
        if route is None:
            if evidence_age_s > DENIAL_EVIDENCE_MARGIN_S + self._bounds.config_s:
                return self._stale_config_refusal()
            return Refusal(RefusalReason.NO_ROUTE)
        context.route = route
        if not route.is_public:
            key = bearer_key(request)
            if not self.accepts_keys():
                return self._stale_config_refusal()
            name = config.keys.get(key) if key is not None else None
            if name is None:
                if evidence_age_s > DENIAL_EVIDENCE_MARGIN_S + self._bounds.config_s:
                    return self._stale_config_refusal()
                is_missing = key is None
                return Refusal(
                    RefusalReason.KEY_MISSING
                    if is_missing
                    else RefusalReason.KEY_REJECTED
                )
            context.organisation = config.organisations[name]
        context.object_key = object_key(request, self._names.affinity_cookie)
        caller_timeout_s = (
            parse_caller_timeout_s(request, self._names) or route.timeout_s
        )
        spent_s = self._caller_timeouts.spent_s(route.name, caller_timeout_s)
        timeout_at_s = request.received_s + min(route.timeout_s, caller_timeout_s)
        if (
            timeout_at_s > self._state.answers_due_s
            and route.kind is not RouteKind.IDEMPOTENT
        ):
            # Its outcome would be unknown if the process ended before the answer.
            return Refusal(RefusalReason.STOPPING)
        context.timeout_at_s = min(timeout_at_s, self._state.answers_due_s)
        context.objective_at_s = request.received_s + route.objective_s - spent_s
        context.caller_timeout_at_s = request.received_s + caller_timeout_s
        context.is_return = spent_s >= RETURN_WAIT_MIN_S
        return None

    def _stale_config_refusal(self) -> Refusal:
        return Refusal(
            RefusalReason.CONFIGURATION_STALE, retry_after_s=STALE_CONFIG_RETRY_AFTER_S
        )

    def accepts_keys(self) -> bool:
        """Whether the evidence for the configuration is recent enough for keys."""
        if not self._bounds.fail_closed:
            return True
        age_s = self._clock.now_s() - self._state.config_confirmed_s
        return age_s < self._bounds.revoke_s - REVOKE_MARGIN_S

    async def _choose_upstream(self, context: RequestContext) -> Candidate | Refusal:
        """Choose an upstream; wait while another request loads the object there."""
        while True:
            candidate = self._choose_now(context)
            if isinstance(candidate, Refusal) or candidate.object_load_wait_s <= 0.0:
                return candidate
            await asyncio.sleep(
                min(candidate.object_load_wait_s, OBJECT_LOAD_POLL_INTERVAL_S)
            )

    def _choose_now(self, context: RequestContext) -> Candidate | Refusal:
        route = context.route
        assert route is not None
        regions = route.allowed_regions
        if context.organisation is not None and context.organisation.allowed_regions:
            organisation_regions = context.organisation.allowed_regions
            regions = (
                regions & organisation_regions if regions else organisation_regions
            )
            if not regions:
                return Refusal(RefusalReason.POOL_EMPTY)
        placement_request = PlacementRequest(
            route.name, context.service, context.object_key, route.objective_s, regions
        )
        tried = {attempt.instance for attempt in context.attempts}
        loop_time_s = asyncio.get_running_loop().time()
        timing = RequestTiming(
            context.timeout_at_s - loop_time_s,
            context.objective_at_s - loop_time_s,
            context.caller_timeout_at_s - loop_time_s,
        )
        config = self._state.config
        assert config is not None
        organisation = context.organisation
        claim = AdmissionClaim(
            config.priority_of(route, organisation),
            route.name,
            organisation.name if organisation else "",
            context.is_return,
            context.is_admitted,
        )
        result = self._eligibility.choose(
            placement_request,
            tried,
            timing,
            self._clock.now_s(),
            claim,
            context.region_choice,
        )
        context.is_admitted = not isinstance(result, Refusal)
        return result

    def _may_retry(
        self, context: RequestContext, failed: AttemptResult, candidate: Candidate
    ) -> bool:
        route = context.route
        assert route is not None
        if failed.outcome is AttemptOutcome.TIMED_OUT:
            return False
        if self._poison_guard.refusal(context) is not None:
            return False
        if context.organisation is not None and not self.accepts_keys():
            return False
        remaining_s = context.timeout_at_s - asyncio.get_running_loop().time()
        if candidate.min_latency_s > remaining_s:
            return False
        if failed.outcome is AttemptOutcome.NOT_SENT:
            return len(context.attempts) < CONNECT_ATTEMPTS_MAX
        may_have_arrived_count = sum(
            attempt.may_have_arrived for attempt in context.attempts
        )
        if may_have_arrived_count >= route.max_attempts:
            return False
        has_not_run = failed.outcome is AttemptOutcome.NOT_RUN
        if not has_not_run and route.kind is not RouteKind.IDEMPOTENT:
            return False
        return self._eligibility.take_retry(context.service, self._clock.now_s())

    @staticmethod
    def _final_failure(
        context: RequestContext, last: AttemptResult
    ) -> AttemptResult | Refusal:
        if last.outcome is AttemptOutcome.FAILED:
            return last
        # A request must not be refused as not run if any attempt may have run it.
        if any(attempt.may_have_run for attempt in context.attempts):
            is_timeout = last.outcome is AttemptOutcome.TIMED_OUT
            return Refusal(
                RefusalReason.UPSTREAM_TIMEOUT
                if is_timeout
                else RefusalReason.ANSWER_CUT
            )
        if last.outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.TIMED_OUT):
            return Refusal(RefusalReason.UPSTREAM_UNREACHABLE)
        return Refusal(RefusalReason.POOL_BUSY, retry_after_s=last.retry_after_s)

    def _caller_answer(
        self, context: RequestContext, result: AttemptResult | Refusal
    ) -> CallerAnswer:
        if isinstance(result, AttemptResult):
            assert result.answer is not None
            return CallerAnswer(
                result.answer.status,
                caller_answer_headers(
                    result.answer.status, result.answer.headers, self._names
                ),
                result.answer.body,
            )
        headers = [(b"content-type", b"application/json")]
        if context.request_id:
            headers.append((self._names.request_id, context.request_id.encode()))
        retry_after_s = result.effective_retry_after_s
        if retry_after_s is not None and result.status in NOT_RUN_STATUSES:
            headers.append((RETRY_AFTER, f"{retry_after_s:.2f}".encode()))
        body = msgspec.json.encode(
            {
                "reason": str(result.reason),
                "not_run": result.not_run,
                "retry_after_s": retry_after_s,
            }
        )
        return CallerAnswer(result.status, headers, body)

    def _log_result(
        self,
        context: RequestContext,
        event: LogEvent,
        result: AttemptResult | Refusal | None,
    ) -> None:
        loop_time_s = asyncio.get_running_loop().time()
        elapsed_s = loop_time_s - context.request.received_s
        config = self._state.config
        detail = ""
        if isinstance(result, AttemptResult) and result.answer is not None:
            status, reason = result.answer.status, "answered"
        elif isinstance(result, Refusal):
            status, reason = result.status, str(result.reason)
            detail = result.detail
        else:
            status, reason = 0, "caller_left"
        self._telemetry.count(f"requests.{status}")
        self._telemetry.observe("requests", elapsed_s)
        self._telemetry.log(
            event,
            request=context.request_id,
            route=context.route.name if context.route else None,
            service=context.service,
            organisation=context.organisation.name if context.organisation else None,
            object=context.object_key,
            status=status,
            reason=reason,
            detail=detail,
            elapsed_s=round(elapsed_s, 4),
            config=config.version if config else None,
            config_age_s=round(self._clock.now_s() - self._state.config_confirmed_s, 2),
            tries=[attempt.as_fields() for attempt in context.attempts],
        )
