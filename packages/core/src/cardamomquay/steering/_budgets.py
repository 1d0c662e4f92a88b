"""Reserves tokens of the shared region and link budgets for each request."""

from __future__ import annotations

import itertools
import math
import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.quota import BorrowedTokens
from cardamomquay.quota import Token
from cardamomquay.quota import TokenRequestSender
from cardamomquay.quota import TokenTransport
from cardamomquay.steering._budget_limits import Budget
from cardamomquay.steering._budget_limits import link_resource
from cardamomquay.steering._budget_limits import region_resource

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomquay.clock import Clock
    from cardamomquay.reducer import Identity

# Longest waits for a lender of the own region's budget, and of any other budget. A
# round trip takes 1 to 2 ms within a region and up to 110 ms between regions.
LOCAL_WAIT_S = 0.02
REMOTE_WAIT_S = 0.15
# Assumed size of a route's answers before the first one.
INITIAL_ANSWER_BYTES = 16 * 1024.0
# Weight of a new answer in the exponentially weighted mean of the sizes.
SAMPLE_WEIGHT = 0.05
# Bytes left over from too high estimates pay for later answers of this host. They are
# limited to this many tokens, so that they cannot add up to a burst.
BALANCE_MAX_TOKENS = 8


@dataclass(frozen=True, slots=True)
class _Need:
    """Requests or bytes of one budget, and the reason of a refusal without them."""

    resource: str
    amount: float
    reason: RefusalReason


@dataclass(frozen=True, slots=True, eq=False)
class _Charge:
    """Requests or bytes taken from one budget, and the tokens taken to cover them."""

    host_budget: _HostBudget
    tokens: tuple[Token, ...]
    amount: float


@dataclass(frozen=True, slots=True, eq=False)
class BudgetReservation:
    """Tokens reserved for one request until its answer has arrived.

    Parameters
    ----------
    route, region : str
    charges : tuple of _Charge
        One charge for each budget.
    answer : _Charge or None
        The charge for the answer's bytes; None inside a region.
    """

    route: str
    region: str
    charges: tuple[_Charge, ...]
    answer: _Charge | None = None

    @property
    def valid_until_s(self) -> float:
        """Time by which the request must be sent, on this host's clock."""
        ends = (
            token.valid_until_s for charge in self.charges for token in charge.tokens
        )
        return min(ends, default=float("inf"))


class _HostBudget:
    """One budget on this host: borrowed tokens and a balance of bytes."""

    def __init__(self, budget: Budget, borrowed: BorrowedTokens) -> None:
        self.budget = budget
        self.borrowed = borrowed
        self._lock = threading.Lock()
        # Bytes paid for but not used; negative if estimates were too low.
        self._balance = 0.0
        self._balance_valid_until_s = float("-inf")

    def debit(self, amount: float, now_s: float) -> int:
        """Take an amount from the balance; return the tokens needed to cover it."""
        token_bytes = self.budget.bytes_per_token
        if token_bytes == 0:
            return math.ceil(amount)
        with self._lock:
            if now_s >= self._balance_valid_until_s:
                # Without a valid grant a link must carry nothing, so a positive
                # balance expires with the tokens that were taken last.
                self._balance = min(0.0, self._balance)
            lacking = max(0.0, amount - self._balance)
            # A lender never lends more than the burst at once; the rest stays as a
            # negative balance.
            count = min(math.ceil(lacking / token_bytes), self.budget.limit.burst)
            self._balance += count * token_bytes - amount
            return count

    def extend_balance(self, tokens: Sequence[Token]) -> None:
        """Keep a positive balance until the tokens that were taken last expire."""
        if tokens:
            with self._lock:
                self._balance_valid_until_s = tokens[-1].valid_until_s

    def adjust_balance(self, amount: float) -> None:
        """Add unused bytes (positive) or bytes not yet paid for (negative)."""
        token_bytes = self.budget.bytes_per_token
        if token_bytes == 0:
            return
        with self._lock:
            max_balance = float(BALANCE_MAX_TOKENS * token_bytes)
            self._balance = min(max_balance, self._balance + amount)

    def refund(self, charge: _Charge) -> None:
        """Undo `debit` and return the tokens."""
        token_bytes = self.budget.bytes_per_token
        if token_bytes:
            with self._lock:
                self._balance += charge.amount - len(charge.tokens) * token_bytes
        for token in charge.tokens:
            self.borrowed.return_token(token)


class TrafficBudgets:
    """Region and link budgets as used by one host; thread-safe.

    Failover, drain and version moves share these budgets. Each budget has one lender,
    which lends its tokens to all hosts. No lock covers more than one budget.

    A request to another region needs one token of that region and bytes of the links
    in both directions; without them it is refused. A request inside its own region
    needs one token of the region. While no lender of that budget answers, it is sent
    without a token: the upstreams' slots limit it, and requests from other regions are
    refused as soon as the last grants have expired.

    Parameters
    ----------
    clock : Clock
    transport : TokenTransport
    identity : Identity
        Of this host.
    max_wait_s : float, default=REMOTE_WAIT_S
        Longest wait for a lender, in seconds; never more than `LOCAL_WAIT_S` for the
        budget of this host's region.
    """

    def __init__(
        self,
        clock: Clock,
        transport: TokenTransport,
        identity: Identity,
        max_wait_s: float = REMOTE_WAIT_S,
    ) -> None:
        self.max_wait_s = max_wait_s
        self._clock = clock
        self._sender = TokenRequestSender(clock, transport)
        self._identity = identity
        self._request_numbers = itertools.count(1)
        # `_budgets` is replaced as a whole and `_estimates` changes one entry at a
        # time, so reading them needs no lock.
        self._budgets: dict[str, _HostBudget] = {}
        self._estimates: dict[str, float] = {}

    def apply(self, budgets: Mapping[str, Budget]) -> None:
        """Apply the budgets of a configuration; a lower limit takes effect at once."""
        applied = {}
        for resource, budget in budgets.items():
            known = self._budgets.get(resource)
            if known is None or known.budget.bytes_per_token != budget.bytes_per_token:
                borrowed = BorrowedTokens(
                    (resource,),
                    budget.limit,
                    self._identity.host,
                    self._identity.incarnation,
                    self._request_numbers,
                )
                applied[resource] = _HostBudget(budget, borrowed)
            else:
                known.borrowed.change_limit((resource,), budget.limit)
                known.budget = budget
                applied[resource] = known
        self._budgets = applied

    def reserve(
        self, route: str, region: str, request_bytes: int, deadline_s: float
    ) -> BudgetReservation | Refusal:
        """Reserve the tokens that a request to upstreams in a region needs.

        Waits for a lender only if this host has too few tokens of a budget.

        Parameters
        ----------
        route : str
            Answer sizes are estimated per route.
        region : str
        request_bytes : int
        deadline_s : float

        Returns
        -------
        BudgetReservation or Refusal
            A refusal (`REGION_FULL` or `LINK_FULL`) keeps no tokens.
        """
        own_region = self._identity.region
        needs = [_Need(region_resource(region), 1.0, RefusalReason.REGION_FULL)]
        if region != own_region:
            estimate = self._estimates.get(route, INITIAL_ANSWER_BYTES)
            outbound, inbound = (
                link_resource(own_region, region),
                link_resource(region, own_region),
            )
            needs.append(_Need(outbound, request_bytes, RefusalReason.LINK_FULL))
            needs.append(_Need(inbound, estimate, RefusalReason.LINK_FULL))
        charges: list[_Charge] = []
        for need in needs:
            charge = self._take_tokens(need, deadline_s, local=region == own_region)
            if isinstance(charge, Refusal):
                for other in charges:
                    other.host_budget.refund(other)
                return charge
            if charge is not None:
                charges.append(charge)
        answer = charges[-1] if region != own_region else None
        return BudgetReservation(route, region, tuple(charges), answer)

    def mark_sent(self, reservation: BudgetReservation) -> None:
        """Record that the request is being sent; `cancel` then returns no tokens."""
        now_s = self._clock.now_s()
        for charge in reservation.charges:
            for token in charge.tokens:
                charge.host_budget.borrowed.mark_sent(token, now_s)

    def settle(self, reservation: BudgetReservation, answer_bytes: int) -> None:
        """Replace the estimated size of the answer by the real one.

        Parameters
        ----------
        reservation : BudgetReservation
        answer_bytes : int
            Bytes that arrived. If the estimate was too low, later requests of this
            host pay for the rest.
        """
        answer = reservation.answer
        if answer is None:
            return
        answer.host_budget.adjust_balance(answer.amount - answer_bytes)
        known = self._estimates.get(reservation.route)
        if known is None:
            self._estimates[reservation.route] = float(answer_bytes)
        else:
            change = SAMPLE_WEIGHT * (answer_bytes - known)
            self._estimates[reservation.route] = known + change

    def cancel(self, reservation: BudgetReservation) -> None:
        """Return all tokens of a request that was not sent."""
        for charge in reservation.charges:
            charge.host_budget.refund(charge)

    def maintain(self) -> None:
        """Return unused tokens, report spent ones and renew grants.

        To be called every 100 ms.
        """
        now_s = self._clock.now_s()
        for host_budget in self._budgets.values():
            self._sender.send(
                host_budget.borrowed, host_budget.borrowed.maintain(now_s)
            )

    def _take_tokens(
        self, need: _Need, deadline_s: float, *, local: bool
    ) -> _Charge | Refusal | None:
        """Take the tokens of one need; None if the request may go without them."""
        host_budget = self._budgets.get(need.resource)
        if host_budget is None:
            # A link or another region without a configured capacity gets no traffic.
            return None if local else Refusal(need.reason, f"no {need.resource}")
        now_s = self._clock.now_s()
        count = host_budget.debit(need.amount, now_s)
        borrowed = host_budget.borrowed
        borrowed.record_demand(now_s, count)
        tokens = borrowed.take_many(count, now_s)
        if tokens is None:
            wait_s = min(self.max_wait_s, LOCAL_WAIT_S if local else REMOTE_WAIT_S)
            until_s = min(deadline_s, now_s + wait_s)
            borrowed.begin_wait(count)
            try:
                tokens = self._wait_for_tokens(borrowed, count, until_s, local=local)
            finally:
                borrowed.end_wait(count)
        else:
            self._sender.send(borrowed, borrowed.plan(now_s))
        if tokens is not None:
            host_budget.extend_balance(tokens)
            return _Charge(host_budget, tokens, need.amount)
        # Undoes the debit, since no tokens were taken for it.
        if host_budget.budget.bytes_per_token:
            paid = count * host_budget.budget.bytes_per_token
            host_budget.adjust_balance(need.amount - paid)
        # Unless the lender answered that it has no tokens, a local request goes without
        # one.
        if local and borrowed.exhausted_for_s(self._clock.now_s()) is None:
            return None
        return Refusal(need.reason, f"no grant of {need.resource}")

    def _wait_for_tokens(
        self, borrowed: BorrowedTokens, count: int, until_s: float, *, local: bool
    ) -> tuple[Token, ...] | None:
        while True:
            now_s = self._clock.now_s()
            with borrowed.condition:
                changes = borrowed.change_count
            self._sender.send(borrowed, borrowed.plan(now_s))
            tokens = borrowed.take_many(count, now_s)
            if tokens is not None or now_s >= until_s:
                return tokens
            retry_in_s = borrowed.exhausted_for_s(now_s)
            if retry_in_s is None and borrowed.is_blocked(now_s):
                # No lender answers, and the next attempt is not due yet.
                return None
            if retry_in_s is not None and (
                not local
                or now_s + retry_in_s >= until_s
                or borrowed.is_queue_full(now_s)
            ):
                return None
            wait_s = min(until_s - now_s, borrowed.seconds_until_retry(now_s))
            with borrowed.condition:
                if borrowed.change_count == changes:
                    self._clock.wait(borrowed.condition, wait_s)
