"""Lends tokens of quota portions and traffic budgets to hosts, and borrows them."""

from __future__ import annotations

from concurrent.futures import Future
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.leases import LeaseState
from cardamomquay.lenders import LendersState
from cardamomquay.quota import CONFIG_PROPAGATION_S
from cardamomquay.quota import NEW_LENDER_DELAY_S
from cardamomquay.quota import GrantStatus
from cardamomquay.quota import TokenGrant
from cardamomquay.quota import TokenLender
from cardamomquay.quota import TokenRequest
from cardamomquay.quota import TokenTransport
from cardamomquay.quota import portions_of
from cardamomquay.steering import budgets_of
from cardamomquay_daemon._peer import PeerFailure
from cardamomquay_daemon.wire import peer_pb2

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cardamomquay.clock import Clock
    from cardamomquay.config import Config
    from cardamomquay.lenders import StartLending
    from cardamomquay.lenders import StopLending
    from cardamomquay.quota import RateLimit
    from cardamomquay_daemon._peer import PeerNode
    from cardamomquay_daemon._runtime import Runtime

CALL_TIMEOUT_S = 0.25


def token_resources(config: Config) -> Mapping[str, str]:
    """Return the region of each token resource: quota portions and budgets."""
    budgets = {b.resource: b.region for b in budgets_of(config).values()}
    portions = {
        portion.resource: portion.region
        for portions in portions_of(config).values()
        for portion in portions
    }
    return {**budgets, **portions}


def _limits_by_resource(config: Config) -> dict[str, RateLimit]:
    budgets = {b.resource: b.limit for b in budgets_of(config).values()}
    portions = {
        portion.resource: portion.limit
        for portions in portions_of(config).values()
        for portion in portions
    }
    return {**budgets, **portions}


class TokenLending(TokenTransport):
    """Runs the token lenders of this host and sends requests to those of others.

    Parameters
    ----------
    runtime : Runtime
    clock : Clock
    peers : PeerNode
    host : str
    """

    def __init__(
        self, runtime: Runtime, clock: Clock, peers: PeerNode, host: str
    ) -> None:
        self._runtime = runtime
        self._clock = clock
        self._peers = peers
        self._host = host
        # By resource, for every resource that this host has to lend. One for which the
        # configuration in force has no limit has no entry in `_lenders`.
        self._start_effects: dict[str, StartLending] = {}
        self._lenders: dict[str, TokenLender] = {}
        self._limits: dict[str, RateLimit] = {}

    def start(self, effect: StartLending) -> None:
        """Start the lender of a portion or budget."""
        self._start_effects[effect.resource] = effect
        # The first lender (fence 1) of a resource lends a new portion or budget. Until
        # all hosts have the new configuration, its rate may still be lent as part of
        # other portions.
        start_delay_s = (
            CONFIG_PROPAGATION_S if effect.fence == 1 else NEW_LENDER_DELAY_S
        )
        self._create_lender(effect, start_delay_s)

    def stop(self, effect: StopLending) -> None:
        """Stop the lender of a portion or budget."""
        self._start_effects.pop(effect.resource, None)
        self._lenders.pop(effect.resource, None)

    def apply(self, config: Config) -> None:
        """Apply the rate limits of a configuration to the lenders."""
        self._limits = _limits_by_resource(config)
        now_s = self._clock.now_s()
        for resource, effect in self._start_effects.items():
            limit = self._limits.get(resource)
            lender = self._lenders.get(resource)
            if limit is None:
                self._lenders.pop(resource, None)
            elif lender is None:
                self._create_lender(effect, CONFIG_PROPAGATION_S)
            else:
                lender.change_limit(limit, now_s)

    def _create_lender(self, effect: StartLending, start_delay_s: float) -> None:
        limit = self._limits.get(effect.resource)
        if limit is None:
            # The configuration in force here does not have this resource.
            return
        self._lenders[effect.resource] = TokenLender(
            effect.resource,
            effect.fence,
            limit,
            lease=self._lease_state,
            lease_fence=effect.lease_fence,
            now_s=self._clock.now_s(),
            start_delay_s=start_delay_s,
        )

    def borrow(self, request: TokenRequest) -> Future[TokenGrant]:
        row = self._runtime.snapshot.core.state_of(LendersState).lender_of(
            request.resource
        )
        answer: Future[TokenGrant] = Future()
        if row is None or not row.host:
            answer.set_result(TokenGrant(GrantStatus.NO_ANSWER))
        elif row.host == self._host:
            answer.set_result(self._lend(request))
        else:
            self._send_request(row.host, request, answer)
        return answer

    def answer_borrower(self, message: Any) -> Any:
        """Return the grant message that answers a borrower's request message."""
        return _grant_to_wire(self._lend(_request_from_wire(message)))

    def _lend(self, request: TokenRequest) -> TokenGrant:
        lender = self._lenders.get(request.resource)
        if lender is None:
            return TokenGrant(GrantStatus.NOT_LENDER)
        return lender.lend(request, self._clock.now_s())

    def _send_request(
        self, host: str, request: TokenRequest, answer: Future[TokenGrant]
    ) -> None:
        message = _request_to_wire(request)
        fut = self._peers.call_host(host, "BorrowTokens", message, CALL_TIMEOUT_S)

        def complete_answer(fut: Future[Any]) -> None:
            failed = fut.cancelled() or fut.exception() is not None
            if failed or isinstance(fut.result(), PeerFailure):
                answer.set_result(TokenGrant(GrantStatus.NO_ANSWER))
            else:
                answer.set_result(_grant_from_wire(fut.result()))

        fut.add_done_callback(complete_answer)

    def _lease_state(self) -> LeaseState:
        return self._runtime.snapshot.core.state_of(LeaseState)


def _request_to_wire(request: TokenRequest) -> Any:
    return peer_pb2.TokenRequest(
        resource=request.resource,
        borrower=request.borrower,
        incarnation=request.incarnation,
        number=request.sequence,
        fence=request.fence,
        wanted=request.wanted,
        held=request.held,
        spent_total=request.spent_total,
        returned_total=request.returned_total,
        spent_ages_s=request.spent_ages_s,
    )


def _request_from_wire(message: Any) -> TokenRequest:
    return TokenRequest(
        resource=message.resource,
        borrower=message.borrower,
        incarnation=message.incarnation,
        sequence=message.number,
        fence=message.fence,
        wanted=message.wanted,
        held=message.held,
        spent_total=message.spent_total,
        returned_total=message.returned_total,
        spent_ages_s=tuple(message.spent_ages_s),
    )


def _grant_to_wire(grant: TokenGrant) -> Any:
    return peer_pb2.TokenGrant(
        status=str(grant.status),
        fence=grant.fence,
        granted=grant.granted,
        valid_s=grant.valid_s,
        retry_after_s=grant.retry_after_s,
    )


def _grant_from_wire(message: Any) -> TokenGrant:
    try:
        status = GrantStatus(message.status)
    except ValueError:
        return TokenGrant(GrantStatus.NO_ANSWER)
    return TokenGrant(
        status,
        message.fence,
        message.granted,
        message.valid_s,
        message.retry_after_s,
    )
