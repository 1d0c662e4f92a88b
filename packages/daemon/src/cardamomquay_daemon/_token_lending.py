"""Lends tokens of organisations and of budgets, and borrows them."""

from __future__ import annotations

from concurrent.futures import Future
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.leases import LeaseState
from cardamomquay.lenders import LendersState
from cardamomquay.quota import CONFIG_IN_FORCE_S
from cardamomquay.quota import NEW_LENDER_SILENCE_S
from cardamomquay.quota import Grant
from cardamomquay.quota import GrantRequest
from cardamomquay.quota import GrantStatus
from cardamomquay.quota import Lender
from cardamomquay.quota import LenderDirectory
from cardamomquay.quota import portions_of
from cardamomquay.steering import budgets_of
from cardamomquay_daemon._peer import PeerFailure
from cardamomquay_daemon.wire import peer_pb2

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cardamomquay.clock import Clock
    from cardamomquay.config import Config
    from cardamomquay.lenders import LendingStarted
    from cardamomquay.lenders import LendingStopped
    from cardamomquay.quota import Limit
    from cardamomquay_daemon._peer import PeerNode
    from cardamomquay_daemon._runtime import Runtime

CALL_DEADLINE_S = 0.25


def token_resources(config: Config) -> Mapping[str, str]:
    """Return the region of each portion and budget of a configuration."""
    budgets = {b.resource: b.region for b in budgets_of(config).values()}
    portions = {
        portion.resource: portion.region
        for portions in portions_of(config).values()
        for portion in portions
    }
    return {**budgets, **portions}


def _limits(config: Config) -> dict[str, Limit]:
    budgets = {b.resource: b.limit for b in budgets_of(config).values()}
    portions = {
        portion.resource: portion.limit
        for portions in portions_of(config).values()
        for portion in portions
    }
    return {**budgets, **portions}


class TokenLending(LenderDirectory):
    """The token lenders of this host, and the way to those of others.

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
        self._held: dict[str, LendingStarted] = {}
        self._lenders: dict[str, Lender] = {}
        self._limits: dict[str, Limit] = {}

    def start(self, effect: LendingStarted) -> None:
        """Begin to lend a portion."""
        self._held[effect.resource] = effect
        # The rate of a new portion may still be lent by others, under the
        # configuration before.
        silence_s = CONFIG_IN_FORCE_S if effect.fence == 1 else NEW_LENDER_SILENCE_S
        self._create(effect, silence_s)

    def stop(self, effect: LendingStopped) -> None:
        """End the lending of a portion."""
        self._held.pop(effect.resource, None)
        self._lenders.pop(effect.resource, None)

    def apply(self, config: Config) -> None:
        """Apply the limits of a configuration."""
        self._limits = _limits(config)
        now_s = self._clock.now_s()
        for resource, effect in self._held.items():
            limit = self._limits.get(resource)
            lender = self._lenders.get(resource)
            if limit is None:
                self._lenders.pop(resource, None)
            elif lender is None:
                self._create(effect, CONFIG_IN_FORCE_S)
            else:
                lender.change(limit, now_s)

    def _create(self, effect: LendingStarted, silence_s: float) -> None:
        limit = self._limits.get(effect.resource)
        if limit is None:
            # The portion left the configuration since it was claimed.
            return
        self._lenders[effect.resource] = Lender(
            effect.resource,
            effect.fence,
            limit,
            lease=self._lease,
            lease_fence=effect.lease_fence,
            now_s=self._clock.now_s(),
            silence_s=silence_s,
        )

    def borrow(self, request: GrantRequest) -> Future[Grant]:
        row = self._runtime.snapshot.core.part(LendersState).lender_of(request.resource)
        answer: Future[Grant] = Future()
        if row is None or not row.host:
            answer.set_result(Grant(GrantStatus.NO_ANSWER))
        elif row.host == self._host:
            answer.set_result(self._lend(request))
        else:
            self._ask(row.host, request, answer)
        return answer

    def serve(self, message: Any) -> Any:
        """Answer the message of a borrower."""
        return _grant_to_wire(self._lend(_request_from_wire(message)))

    def _lend(self, request: GrantRequest) -> Grant:
        lender = self._lenders.get(request.resource)
        if lender is None:
            return Grant(GrantStatus.NOT_LENDER)
        return lender.lend(request, self._clock.now_s())

    def _ask(self, host: str, request: GrantRequest, answer: Future[Grant]) -> None:
        message = _request_to_wire(request)
        fut = self._peers.call_host(host, "BorrowTokens", message, CALL_DEADLINE_S)

        def done(fut: Future[Any]) -> None:
            failed = fut.cancelled() or fut.exception() is not None
            if failed or isinstance(fut.result(), PeerFailure):
                answer.set_result(Grant(GrantStatus.NO_ANSWER))
            else:
                answer.set_result(_grant_from_wire(fut.result()))

        fut.add_done_callback(done)

    def _lease(self) -> LeaseState:
        return self._runtime.snapshot.core.part(LeaseState)


def _request_to_wire(request: GrantRequest) -> Any:
    return peer_pb2.TokenRequest(
        resource=request.resource,
        borrower=request.borrower,
        incarnation=request.incarnation,
        number=request.number,
        fence=request.fence,
        wanted=request.wanted,
        held=request.held,
        spent_total=request.spent_total,
        returned_total=request.returned_total,
        spent_ages_s=request.spent_ages_s,
    )


def _request_from_wire(message: Any) -> GrantRequest:
    return GrantRequest(
        resource=message.resource,
        borrower=message.borrower,
        incarnation=message.incarnation,
        number=message.number,
        fence=message.fence,
        wanted=message.wanted,
        held=message.held,
        spent_total=message.spent_total,
        returned_total=message.returned_total,
        spent_ages_s=tuple(message.spent_ages_s),
    )


def _grant_to_wire(grant: Grant) -> Any:
    return peer_pb2.TokenGrant(
        status=str(grant.status),
        fence=grant.fence,
        granted=grant.granted,
        valid_s=grant.valid_s,
        retry_after_s=grant.retry_after_s,
    )


def _grant_from_wire(message: Any) -> Grant:
    try:
        status = GrantStatus(message.status)
    except ValueError:
        return Grant(GrantStatus.NO_ANSWER)
    return Grant(
        status,
        message.fence,
        message.granted,
        message.valid_s,
        message.retry_after_s,
    )
