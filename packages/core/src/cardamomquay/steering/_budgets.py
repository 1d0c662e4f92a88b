"""Takes what a request needs of the shared budgets of regions and links."""

from __future__ import annotations

import itertools
import math
import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.quota import LenderCalls
from cardamomquay.quota import LenderDirectory
from cardamomquay.quota import Purse
from cardamomquay.quota import Token
from cardamomquay.steering._budget_limits import Budget
from cardamomquay.steering._budget_limits import link_resource
from cardamomquay.steering._budget_limits import region_resource

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomquay.clock import Clock
    from cardamomquay.reducer import Identity

# A round trip takes 1 to 2 ms within a region and up to 110 ms between regions.
LOCAL_WAIT_S = 0.02
REMOTE_WAIT_S = 0.15
FIRST_ESTIMATE_BYTES = 16 * 1024.0
ESTIMATE_WEIGHT = 0.05
# What over-estimates leave is used by later answers of the host up to this many
# tokens, and lost beyond them, so that saved bytes do not add up to a burst.
CREDIT_MAX_TOKENS = 8


@dataclass(frozen=True, slots=True)
class _Need:
    resource: str
    amount: float
    reason: RefusalReason


@dataclass(frozen=True, slots=True, eq=False)
class _Taken:
    budget: _HostBudget
    tokens: tuple[Token, ...]
    amount: float


@dataclass(frozen=True, slots=True, eq=False)
class BudgetReservation:
    """What one request took of the budgets, until its answer is known.

    Parameters
    ----------
    route, region : str
    taken : tuple
    answer : _Taken or None
        The part that stands for the answer's bytes; None inside a region.
    """

    route: str
    region: str
    taken: tuple[_Taken, ...]
    answer: _Taken | None = None

    @property
    def valid_until_s(self) -> float:
        """The request must be sent before, on the host's clock."""
        ends = (token.valid_until_s for part in self.taken for token in part.tokens)
        return min(ends, default=float("inf"))


class _HostBudget:
    """One budget on this host: borrowed tokens, and bytes to settle."""

    def __init__(self, budget: Budget, purse: Purse) -> None:
        self.budget = budget
        self.purse = purse
        self._lock = threading.Lock()
        # Bytes that are paid for and unused; negative where estimates were too low.
        self._balance = 0.0
        self._credit_until_s = float("-inf")

    def charge(self, amount: float, now_s: float) -> int:
        """Charge an amount to the balance and return the tokens that it lacks."""
        size = self.budget.token_bytes
        if size == 0:
            return math.ceil(amount)
        with self._lock:
            if now_s >= self._credit_until_s:
                # Without a valid grant a link carries nothing, saved bytes neither.
                self._balance = min(0.0, self._balance)
            lacking = max(0.0, amount - self._balance)
            # More than the burst can never be lent at once; the rest stays owed.
            count = min(math.ceil(lacking / size), self.budget.limit.burst)
            self._balance += count * size - amount
            return count

    def granted(self, tokens: Sequence[Token]) -> None:
        """Let saved bytes be used as long as the tokens that were taken last."""
        if tokens:
            with self._lock:
                self._credit_until_s = tokens[-1].valid_until_s

    def correct(self, amount: float) -> None:
        """Add bytes that were not used, or take off bytes that were not paid for."""
        size = self.budget.token_bytes
        if size == 0:
            return
        with self._lock:
            most = float(CREDIT_MAX_TOKENS * size)
            self._balance = min(most, self._balance + amount)

    def refund(self, taken: _Taken) -> None:
        """Undo `charge` and return the tokens."""
        size = self.budget.token_bytes
        if size:
            with self._lock:
                self._balance += taken.amount - len(taken.tokens) * size
        for token in taken.tokens:
            self.purse.give_back(token)


class TrafficBudgets:
    """Budgets of regions and links on one host; thread-safe.

    Failover, drain and moves draw on the same budgets, which one lender each lends
    to all hosts. Locks cover one budget at a time. A request for another region needs
    one token of the region and the bytes of both links; without them it is refused.
    A request inside its region needs a token of the region too. While no lender of
    that budget answers, it runs without: the upstreams' slots bound it, and requests
    from other regions are refused as soon as the last grants have expired.

    Parameters
    ----------
    clock : Clock
    directory : LenderDirectory
    identity : Identity
        Of this host.
    max_wait_s : float, default=REMOTE_WAIT_S
        Longest wait for a lender, in seconds; at most `LOCAL_WAIT_S` for the budget
        of the own region.
    """

    def __init__(
        self,
        clock: Clock,
        directory: LenderDirectory,
        identity: Identity,
        max_wait_s: float = REMOTE_WAIT_S,
    ) -> None:
        self.max_wait_s = max_wait_s
        self._clock = clock
        self._calls = LenderCalls(clock, directory)
        self._identity = identity
        self._numbers = itertools.count(1)
        # Both are replaced or extended as a whole, so readers need no lock.
        self._budgets: dict[str, _HostBudget] = {}
        self._estimates: dict[str, float] = {}

    def apply(self, budgets: Mapping[str, Budget]) -> None:
        """Apply the budgets of a configuration; lower limits take effect at once."""
        applied = {}
        for resource, budget in budgets.items():
            known = self._budgets.get(resource)
            if known is None or known.budget.token_bytes != budget.token_bytes:
                purse = Purse(
                    (resource,),
                    budget.limit,
                    self._identity.host,
                    self._identity.incarnation,
                    self._numbers,
                )
                applied[resource] = _HostBudget(budget, purse)
            else:
                known.purse.change((resource,), budget.limit)
                known.budget = budget
                applied[resource] = known
        self._budgets = applied

    def reserve(
        self, route: str, region: str, request_bytes: int, deadline_s: float
    ) -> BudgetReservation | Refusal:
        """Take what a request to upstreams in a region needs.

        Waits for a lender only while this host has no token of a budget.

        Parameters
        ----------
        route : str
            Requests of one route have similar answers.
        region : str
        request_bytes : int
        deadline_s : float

        Returns
        -------
        BudgetReservation or Refusal
            `REGION_FULL` or `LINK_FULL`; nothing is kept then.
        """
        home = self._identity.region
        needs = [_Need(region_resource(region), 1.0, RefusalReason.REGION_FULL)]
        if region != home:
            estimate = self._estimates.get(route, FIRST_ESTIMATE_BYTES)
            there, back = link_resource(home, region), link_resource(region, home)
            needs.append(_Need(there, request_bytes, RefusalReason.LINK_FULL))
            needs.append(_Need(back, estimate, RefusalReason.LINK_FULL))
        taken: list[_Taken] = []
        for need in needs:
            part = self._take(need, deadline_s, local=region == home)
            if isinstance(part, Refusal):
                for other in taken:
                    other.budget.refund(other)
                return part
            if part is not None:
                taken.append(part)
        answer = taken[-1] if region != home else None
        return BudgetReservation(route, region, tuple(taken), answer)

    def mark_sent(self, reservation: BudgetReservation) -> None:
        """Note that the request is sent; `cancel` has no effect any more."""
        now_s = self._clock.now_s()
        for part in reservation.taken:
            for token in part.tokens:
                part.budget.purse.mark_sent(token, now_s)

    def settle(self, reservation: BudgetReservation, answer_bytes: int) -> None:
        """Correct the estimate by the real size of a sent request's answer.

        Parameters
        ----------
        reservation : BudgetReservation
        answer_bytes : int
            Bytes that arrived; too few are paid for by later requests of this host.
        """
        answer = reservation.answer
        if answer is None:
            return
        answer.budget.correct(answer.amount - answer_bytes)
        known = self._estimates.get(reservation.route)
        if known is None:
            self._estimates[reservation.route] = float(answer_bytes)
        else:
            change = ESTIMATE_WEIGHT * (answer_bytes - known)
            self._estimates[reservation.route] = known + change

    def cancel(self, reservation: BudgetReservation) -> None:
        """Return everything of a request that was certainly not sent."""
        for part in reservation.taken:
            part.budget.refund(part)

    def maintain(self) -> None:
        """Return, report and renew; to be called every 100 ms."""
        now_s = self._clock.now_s()
        for budget in self._budgets.values():
            self._calls.send(budget.purse, budget.purse.maintain(now_s))

    def _take(
        self, need: _Need, deadline_s: float, *, local: bool
    ) -> _Taken | Refusal | None:
        """Take one need; None if it may run without."""
        budget = self._budgets.get(need.resource)
        if budget is None:
            # A link or a foreign region without a known capacity carries nothing.
            return None if local else Refusal(need.reason, f"no {need.resource}")
        now_s = self._clock.now_s()
        count = budget.charge(need.amount, now_s)
        purse = budget.purse
        purse.note_demand(now_s, count)
        tokens = purse.take_many(count, now_s)
        if tokens is None:
            wait_s = min(self.max_wait_s, LOCAL_WAIT_S if local else REMOTE_WAIT_S)
            until_s = min(deadline_s, now_s + wait_s)
            purse.begin_wait(count)
            try:
                tokens = self._wait(purse, count, until_s, local=local)
            finally:
                purse.end_wait(count)
        else:
            self._calls.send(purse, purse.plan(now_s))
        if tokens is not None:
            budget.granted(tokens)
            return _Taken(budget, tokens, need.amount)
        # Undoes the charge, for which no token was taken.
        if budget.budget.token_bytes:
            paid = count * budget.budget.token_bytes
            budget.correct(need.amount - paid)
        if local and purse.denial(self._clock.now_s()) is None:
            return None
        return Refusal(need.reason, f"no grant of {need.resource}")

    def _wait(
        self, purse: Purse, count: int, until_s: float, *, local: bool
    ) -> tuple[Token, ...] | None:
        while True:
            now_s = self._clock.now_s()
            with purse.condition:
                changes = purse.changes
            self._calls.send(purse, purse.plan(now_s))
            tokens = purse.take_many(count, now_s)
            if tokens is not None or now_s >= until_s:
                return tokens
            due_s = purse.denial(now_s)
            if due_s is None and purse.is_hopeless(now_s):
                # No lender answers, and the next attempt is not due.
                return None
            if due_s is not None and (
                not local or now_s + due_s >= until_s or purse.is_crowded(now_s)
            ):
                return None
            wait_s = min(until_s - now_s, purse.pause_s(now_s))
            with purse.condition:
                if purse.changes == changes:
                    self._clock.wait(purse.condition, wait_s)
