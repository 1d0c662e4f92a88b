"""Relays requests: authorisation, admission, choice of the upstream, retries."""

from __future__ import annotations

import time
import uuid
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.balancing import Observation
from cardamomquay.balancing import ObservedResult
from cardamomquay.balancing import Reservation
from cardamomquay.idempotency import Claim
from cardamomquay.idempotency import Proceed
from cardamomquay.idempotency import RecordedAnswer
from cardamomquay.idempotency import Replay
from cardamomquay.idempotency import digest_request
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.retries import NOT_RUN_REASONS
from cardamomquay.retries import FailedAttempt
from cardamomquay.retries import RetryPolicy
from cardamomquay_daemon._attempt_results import RESULTS_COUNTED_FOR_MOVES
from cardamomquay_daemon._attempt_results import answer_size_bytes
from cardamomquay_daemon._attempt_results import observation_of
from cardamomquay_daemon._attempt_results import refusal_of
from cardamomquay_daemon._caller_messages import CallerRequest
from cardamomquay_daemon._caller_messages import RelayedAnswer
from cardamomquay_daemon._upstream_client import UpstreamAnswer
from cardamomquay_daemon._upstream_client import UpstreamClient
from cardamomquay_daemon._upstream_client import UpstreamFailure
from cardamomquay_daemon._upstream_client import UpstreamRequest

if TYPE_CHECKING:
    from cardamomquay.admission import Admission
    from cardamomquay.admission import Admitted
    from cardamomquay.balancing import UpstreamChooser
    from cardamomquay.clock import Clock
    from cardamomquay.config import Config
    from cardamomquay.config import Pool
    from cardamomquay.config import Route
    from cardamomquay.idempotency import IdempotencyRegistry
    from cardamomquay.reducer import Identity
    from cardamomquay.steering import BudgetReservation
    from cardamomquay.steering import TrafficBudgets
    from cardamomquay_daemon._moves import VersionMoves
    from cardamomquay_daemon._runtime import Runtime
    from cardamomquay_daemon._telemetry import Telemetry


@dataclass(frozen=True, slots=True)
class _AuthorisedRequest:
    """A request that may use its route.

    `organisation` is empty on a route that is open to all. Such a request needs no
    quota token.
    """

    config: Config
    route: Route
    organisation: str


class Relay:
    """Relays callers' requests to upstreams.

    Parameters
    ----------
    runtime : Runtime
    clock : Clock
    identity : Identity
    admission : Admission
    chooser : UpstreamChooser
    registry : IdempotencyRegistry
    client : UpstreamClient
    moves : VersionMoves
    telemetry : Telemetry
    budgets : TrafficBudgets
    """

    def __init__(
        self,
        runtime: Runtime,
        clock: Clock,
        identity: Identity,
        admission: Admission,
        chooser: UpstreamChooser,
        registry: IdempotencyRegistry,
        client: UpstreamClient,
        moves: VersionMoves,
        telemetry: Telemetry,
        budgets: TrafficBudgets,
    ) -> None:
        self._runtime = runtime
        self._clock = clock
        self._identity = identity
        self._admission = admission
        self._chooser = chooser
        self._registry = registry
        self._client = client
        self._moves = moves
        self._telemetry = telemetry
        self._budgets = budgets
        self._retry_policies: defaultdict[str, RetryPolicy] = defaultdict(RetryPolicy)

    def relay(self, req: CallerRequest) -> RelayedAnswer | Refusal:
        """Relay a request and return the answer or the refusal for its caller.

        Parameters
        ----------
        req : CallerRequest

        Returns
        -------
        RelayedAnswer or Refusal
        """
        authorised = self._authorise(req)
        if isinstance(authorised, Refusal):
            return authorised
        route = authorised.route
        timeout_s = min(req.timeout_s or route.timeout_s, route.timeout_s)
        deadline_s = self._clock.now_s() + timeout_s
        if not route.repeatable:
            return self._relay_non_repeatable(req, authorised, deadline_s)
        admitted = self._admit(authorised, deadline_s)
        if isinstance(admitted, Refusal):
            return admitted
        return self._send_with_retries(req, authorised, admitted, deadline_s)

    def outcome(self, key: str, idempotency_key: str) -> RelayedAnswer | Refusal:
        """Return the recorded answer of a non-repeatable request."""
        snapshot = self._runtime.snapshot
        if snapshot.config is None:
            return Refusal(RefusalReason.NOT_READY)
        if not snapshot.is_config_current(self._clock.now_s()):
            return Refusal(RefusalReason.CONFIGURATION_STALE)
        stored = snapshot.config.find_key(key)
        if stored is None:
            return Refusal(RefusalReason.KEY_REJECTED)
        found = self._registry.find_answer(stored.holder, idempotency_key)
        if isinstance(found, Refusal):
            return found
        return RelayedAnswer(found.status, found.headers, found.body, replayed=True)

    def _authorise(self, req: CallerRequest) -> _AuthorisedRequest | Refusal:
        snapshot = self._runtime.snapshot
        config = snapshot.config
        if config is None:
            return Refusal(RefusalReason.NOT_READY)
        route = config.route_for(req.path)
        if route is None:
            return Refusal(RefusalReason.NO_ROUTE)
        if req.method not in route.methods:
            return Refusal(RefusalReason.METHOD_NOT_ALLOWED)
        if route.open_to_all:
            return _AuthorisedRequest(config, route, "")
        if not snapshot.is_config_current(self._clock.now_s()):
            return Refusal(RefusalReason.CONFIGURATION_STALE)
        if not req.key:
            return Refusal(RefusalReason.KEY_MISSING)
        stored = config.find_key(req.key)
        if stored is None:
            return Refusal(RefusalReason.KEY_REJECTED)
        if stored.key_id in snapshot.refused_keys:
            return Refusal(
                RefusalReason.CONFIGURATION_STALE,
                "an edit that withdraws the key is not settled",
            )
        if not _may_use(route, stored.holder, stored.owner):
            return Refusal(RefusalReason.ORGANISATION_NOT_ALLOWED)
        return _AuthorisedRequest(config, route, stored.holder)

    def _admit(
        self, authorised: _AuthorisedRequest, deadline_s: float
    ) -> Admitted | Refusal | None:
        if not authorised.organisation:
            return None
        return self._admission.admit(authorised.organisation, deadline_s)

    def _relay_non_repeatable(
        self, req: CallerRequest, authorised: _AuthorisedRequest, deadline_s: float
    ) -> RelayedAnswer | Refusal:
        if not req.idempotency_key:
            return Refusal(RefusalReason.IDEMPOTENCY_KEY_MISSING)
        claim = Claim(
            claim_id=uuid.uuid4().hex,
            organisation=authorised.organisation,
            idempotency_key=req.idempotency_key,
            request_digest=digest_request(req.method, req.target, req.body),
            host=self._identity.host,
            incarnation=self._identity.incarnation,
            claimed_at_s=time.time(),
        )
        admitted = self._admit(authorised, deadline_s)
        if isinstance(admitted, Refusal):
            return admitted
        claim_result = self._registry.try_claim(claim)
        if not isinstance(claim_result, Proceed):
            self._return_token(authorised, admitted)
            if isinstance(claim_result, Replay):
                answer = claim_result.answer
                return RelayedAnswer(
                    answer.status, answer.headers, answer.body, replayed=True
                )
            return claim_result
        result = self._send_with_retries(req, authorised, admitted, deadline_s)
        if isinstance(result, RelayedAnswer):
            recorded = RecordedAnswer(result.status, result.headers, result.body)
            if not self._registry.record_answer(claim, recorded):
                self._telemetry.count("claims.not_recorded")
        elif result.not_run:
            self._registry.release(claim)
        return result

    def _send_with_retries(
        self,
        req: CallerRequest,
        authorised: _AuthorisedRequest,
        admitted: Admitted | None,
        deadline_s: float,
    ) -> RelayedAnswer | Refusal:
        route = authorised.route
        pool = self._moves.choose_pool(authorised.config, route)
        policy = self._retry_policies[pool.name]
        policy.record_first_attempt()
        excluded: set[str] = set()
        attempts = 0
        # First failure after which the request may have run. From then on no refusal
        # may say "not run", whatever the result of later attempts.
        may_have_run_failure: UpstreamFailure | None = None
        while True:
            result = self._send_attempt(
                req, authorised, pool, admitted, deadline_s, excluded
            )
            attempts += 1
            if isinstance(result, RelayedAnswer):
                return result
            if isinstance(result, Refusal):
                if may_have_run_failure is not None:
                    return refusal_of(may_have_run_failure)
                self._return_token(authorised, admitted)
                return result
            if result.reason not in NOT_RUN_REASONS:
                may_have_run_failure = may_have_run_failure or result
            failed = FailedAttempt(
                reason=result.reason,
                repeatable=route.repeatable,
                attempts=attempts,
                remaining_s=deadline_s - self._clock.now_s(),
                # `allow_retry` itself checks whether the pool sheds load.
                is_pool_shedding=False,
            )
            not_run = result.reason in NOT_RUN_REASONS
            if not_run:
                self._return_token(authorised, admitted)
            if not policy.allow_retry(failed, self._clock.now_s()):
                return refusal_of(may_have_run_failure or result)
            # The token of the last attempt was used up or returned, so the retry needs
            # another. With the current time as deadline it does not wait for one.
            admitted_again = self._admit(authorised, self._clock.now_s())
            if isinstance(admitted_again, Refusal):
                return refusal_of(may_have_run_failure or result)
            admitted = admitted_again
            self._telemetry.record_retry(result.reason)

    def _send_attempt(
        self,
        req: CallerRequest,
        authorised: _AuthorisedRequest,
        pool: Pool,
        admitted: Admitted | None,
        deadline_s: float,
        excluded: set[str],
    ) -> RelayedAnswer | Refusal | UpstreamFailure:
        reserved = self._reserve(req, authorised, pool, deadline_s, excluded)
        if isinstance(reserved, Refusal):
            return reserved
        reservation, budget = reserved
        excluded.add(reservation.upstream.name)
        observed = Observation(ObservedResult.NOT_SENT, 0.0)
        try:
            refusal = self._check_before_sending(
                req, authorised, admitted, reservation, deadline_s
            )
            if refusal is None and self._clock.now_s() >= budget.valid_until_s:
                refusal = Refusal(RefusalReason.REGION_FULL, "budget grant expired")
            if refusal is not None:
                return refusal
            self._budgets.mark_sent(budget)
            if admitted is not None:
                self._admission.mark_sent(authorised.organisation, admitted)
            result = self._client.send(
                reservation.upstream,
                self._upstream_request(req, authorised, deadline_s),
            )
            observed = observation_of(result)
            if isinstance(result, UpstreamAnswer):
                # After a failure the estimated answer size stays charged, because part
                # of the answer may have been transferred.
                self._budgets.settle(budget, answer_size_bytes(result))
        finally:
            # After the request was sent, this returns no tokens but still undoes the
            # debits from the byte balances of links, which is a known fault.
            self._budgets.cancel(budget)
            self._chooser.release(reservation, observed)
        self._retry_policies[pool.name].record_answer(
            reservation.upstream.name,
            observed.result is ObservedResult.SHED,
            observed.latency_s,
            self._clock.now_s(),
        )
        if observed.result in RESULTS_COUNTED_FOR_MOVES:
            failed = observed.result is not ObservedResult.ANSWERED
            self._moves.record_result(
                authorised.route, pool.name, failed, observed.latency_s
            )
        if isinstance(result, UpstreamFailure):
            return result
        return RelayedAnswer(result.status, result.headers, result.body)

    def _reserve(
        self,
        req: CallerRequest,
        authorised: _AuthorisedRequest,
        pool: Pool,
        deadline_s: float,
        excluded: set[str],
    ) -> tuple[Reservation, BudgetReservation] | Refusal:
        """Reserve a slot at an upstream, and traffic budgets of its region and links.

        Upstreams in a region without budget are excluded, and the next reachable region
        is tried.
        """
        budget_refusal: Refusal | None = None
        while True:
            reservation = self._chooser.reserve(
                pool, authorised.organisation, excluded, deadline_s
            )
            if isinstance(reservation, Refusal):
                return budget_refusal or reservation
            region = reservation.upstream.region
            size = len(req.target) + len(req.body)
            size += sum(len(name) + len(value) for name, value in req.headers)
            budget = self._budgets.reserve(
                authorised.route.name, region, size, deadline_s
            )
            if not isinstance(budget, Refusal):
                return reservation, budget
            self._chooser.release(
                reservation, Observation(ObservedResult.NOT_SENT, 0.0)
            )
            budget_refusal = budget_refusal or budget
            excluded.update(u.name for u in pool.upstreams if u.region == region)

    def _check_before_sending(
        self,
        req: CallerRequest,
        authorised: _AuthorisedRequest,
        admitted: Admitted | None,
        reservation: Reservation,
        deadline_s: float,
    ) -> Refusal | None:
        """Check what may have expired or changed since the request was admitted.

        It may have waited for a slot, or the host may have been suspended.
        """
        now_s = self._clock.now_s()
        if now_s >= deadline_s:
            return Refusal(RefusalReason.DEADLINE_PASSED)
        if now_s >= reservation.valid_until_s:
            return Refusal(RefusalReason.POOL_BUSY, "slot grant expired")
        if admitted is not None and now_s >= admitted.valid_until_s:
            return Refusal(RefusalReason.QUOTA_UNAVAILABLE, "quota grant expired")
        snapshot = self._runtime.snapshot
        if snapshot.config is authorised.config:
            if authorised.organisation and not snapshot.is_config_current(now_s):
                return Refusal(RefusalReason.CONFIGURATION_STALE)
            return None
        authorised_now = self._authorise(req)
        if isinstance(authorised_now, Refusal):
            return authorised_now
        if authorised_now.organisation != authorised.organisation:
            return Refusal(RefusalReason.KEY_REJECTED)
        return None

    def _upstream_request(
        self, req: CallerRequest, authorised: _AuthorisedRequest, deadline_s: float
    ) -> UpstreamRequest:
        remaining_s = max(0.001, deadline_s - self._clock.now_s())
        headers = (
            *req.headers,
            ("Request-Timeout-Ms", str(int(remaining_s * 1000))),
            ("X-Organisation", authorised.organisation or "-"),
        )
        return UpstreamRequest(
            method=req.method,
            target=req.target,
            headers=headers,
            body=req.body,
            timeout_s=remaining_s,
            repeatable=authorised.route.repeatable,
        )

    def _return_token(
        self, authorised: _AuthorisedRequest, admitted: Admitted | None
    ) -> None:
        if admitted is not None:
            self._admission.return_token(authorised.organisation, admitted)


def _may_use(route: Route, organisation: str, key_owner: str) -> bool:
    if route.organisations:
        return organisation in route.organisations
    return key_owner == route.owner
