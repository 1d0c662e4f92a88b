"""Tokens of one organisation, or of one region or link budget, borrowed by a host."""

from __future__ import annotations

import math
import threading
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cardamomquay.quota._messages import GrantStatus
from cardamomquay.quota._messages import TokenGrant
from cardamomquay.quota._messages import TokenRequest

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from cardamomquay.quota._messages import RateLimit

# The stock is enough for the current demand during this time. When half of it is used,
# a lender is asked for more: about 10 times a second for an active organisation.
STOCK_TARGET_S = 0.2
DEMAND_TIME_CONSTANT_S = 0.5
# Short, since the lender's bucket does not refill until spent tokens are reported.
REPORT_INTERVAL_S = 0.1
# Idle tokens are returned before they expire: the lender can lend returned tokens again
# at once, whereas expired ones have to accrue again.
RETURN_BEFORE_EXPIRY_S = 0.3
CALL_TIMEOUT_S = 0.5
# A call takes 1 to 2 ms within a region and up to 110 ms between regions. Without an
# answer after these times, other lenders are asked for the tokens.
LOCAL_SLOW_AFTER_S = 0.02
REMOTE_SLOW_AFTER_S = 0.15
# Shortest wait before asking a lender again that did not answer or does not lend now;
# the longest one is twice as long.
FAILURE_RETRY_S = 0.05
# Shortest wait before asking an exhausted lender again. The time until its next token
# can be shorter than the clock resolves.
MIN_RETRY_S = 0.002
# The queue is full when more requests wait than tokens accrue in this time. Equal to
# `MAX_GRANT_WAIT_S`, the longest wait of a request.
QUEUE_LIMIT_S = 0.15
# A lender that granted fewer tokens than wanted counts as exhausted for this time, so
# that it still does while the next call to it is pending.
EXHAUSTED_VALID_S = 0.25


@dataclass(slots=True, eq=False)
class _Batch:
    """Tokens of one grant: free ones, and ones taken whose request is not sent."""

    account: _LenderAccount
    fence: int
    valid_until_s: float
    free: int
    taken: int = 0


@dataclass(slots=True, eq=False)
class _LenderAccount:
    """State that this host keeps for the lender of one resource."""

    resource: str
    slow_after_s: float = REMOTE_SLOW_AFTER_S
    fence: int = 0
    spent_total: int = 0
    returned_total: int = 0
    batches: list[_Batch] = field(default_factory=list)
    pending: TokenRequest | None = None
    called_at_s: float = float("-inf")
    unreported_spent_at_s: list[float] = field(default_factory=list)
    blocked_until_s: float = float("-inf")
    exhausted_at_s: float = float("-inf")

    def held(self) -> int:
        return sum(b.free + b.taken for b in self.batches if b.fence == self.fence)

    def is_available(self, now_s: float) -> bool:
        return self.pending is None and self.blocked_until_s <= now_s

    def is_slow(self, now_s: float) -> bool:
        return now_s - self.called_at_s > self.slow_after_s

    def is_exhausted(self, now_s: float) -> bool:
        return now_s - self.exhausted_at_s <= EXHAUSTED_VALID_S


class Token:
    """A token of `BorrowedTokens`; its request must be sent before `valid_until_s`."""

    __slots__ = ("_batch", "_open")

    def __init__(self, batch: _Batch) -> None:
        self._batch = batch
        # False once the request is sent or the token is returned.
        self._open = True

    @property
    def resource(self) -> str:
        """Portion or budget that the token belongs to."""
        return self._batch.account.resource

    @property
    def valid_until_s(self) -> float:
        """End of the grant's validity, on the host's clock."""
        return self._batch.valid_until_s


class BorrowedTokens:
    """Borrowed tokens of one organisation or budget on this host; thread-safe.

    Parameters
    ----------
    resources : sequence of str
        Portions of the organisation, the one of the host's region first; or a budget.
    limit : RateLimit
        Limit over all resources; it determines the size of the stock.
    borrower, incarnation : str
        Name of this host, and identifier of its daemon's run.
    request_numbers : iterator of int
        Increasing numbers for requests. All objects of a host that borrow the same
        resource one after the other must share it.

    Attributes
    ----------
    condition : threading.Condition
        Notified when tokens or answers arrive.
    change_count : int
        Number of notifications so far.
    waiting : int
        Number of tokens that waiting requests need.
    """

    def __init__(
        self,
        resources: Sequence[str],
        limit: RateLimit,
        borrower: str,
        incarnation: str,
        request_numbers: Iterator[int],
    ) -> None:
        self.condition = threading.Condition(threading.Lock())
        self.waiting = 0
        self.change_count = 0
        self._limit = limit
        self._borrower = borrower
        self._incarnation = incarnation
        self._request_numbers = request_numbers
        self._accounts: dict[str, _LenderAccount] = {}
        self._set_resources(resources)
        self._next_expiry_s = float("inf")
        self._demand = 0.0
        self._demand_at_s = 0.0

    def begin_wait(self, tokens: int = 1) -> None:
        """Count a request as waiting for tokens."""
        with self.condition:
            self.waiting += tokens

    def end_wait(self, tokens: int = 1) -> None:
        """Stop counting a request as waiting."""
        with self.condition:
            self.waiting -= tokens

    def record_demand(self, now_s: float, tokens: int = 1) -> None:
        """Add the tokens of one request to the demand, whether it gets them or not."""
        with self.condition:
            self._demand = self._decayed_demand(now_s) + tokens
            self._demand_at_s = now_s

    def take(self, now_s: float) -> Token | None:
        """Take one token if there is one.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        Token or None
            A token of the grant that expires first.
        """
        with self.condition:
            self._drop_expired(now_s)
            return self._take_one()

    def take_many(self, count: int, now_s: float) -> tuple[Token, ...] | None:
        """Take a number of tokens, or return None if there are fewer."""
        with self.condition:
            self._drop_expired(now_s)
            if self._free_count() < count:
                return None
            taken = (self._take_one() for _ in range(count))
            return tuple(token for token in taken if token is not None)

    def mark_sent(self, token: Token, now_s: float) -> None:
        """Record that the token's request is sent; repeated calls have no effect.

        Until this is reported, the lender counts the token as outstanding. If a token
        were reported as spent before its request runs, a window could contain one run
        more than the limit allows.
        """
        with self.condition:
            if not token._open:
                return
            token._open = False
            batch = token._batch
            batch.taken -= 1
            if batch.fence == batch.account.fence:
                batch.account.spent_total += 1
                batch.account.unreported_spent_at_s.append(now_s)

    def return_token(self, token: Token) -> None:
        """Return a token to the stock, because its request was not sent."""
        with self.condition:
            if not token._open:
                return
            token._open = False
            token._batch.taken -= 1
            token._batch.free += 1
            self._notify_waiters()

    def change_limit(self, resources: Sequence[str], limit: RateLimit) -> None:
        """Apply new resources and a new limit; a lower limit discards the stock."""
        with self.condition:
            self._set_resources(resources)
            old, self._limit = self._limit, limit
            if limit.rate_per_s >= old.rate_per_s and limit.burst >= old.burst:
                return
            for account in self._accounts.values():
                # A pending answer may be granted under the old limit, so it is ignored.
                account.pending = None
                for batch in account.batches:
                    batch.free = 0

    def plan(self, now_s: float) -> list[TokenRequest]:
        """Decide which lenders to ask now.

        Parameters
        ----------
        now_s : float
            Start of the calls, from which the validity of their grants is counted.

        Returns
        -------
        list of TokenRequest
            The caller sends them and passes each answer to `apply_answer`.
        """
        with self.condition:
            self._drop_expired(now_s)
            return self._request_tokens(self._tokens_to_request(now_s), now_s)

    def maintain(self, now_s: float) -> list[TokenRequest]:
        """Return idle tokens, report spent ones and renew the stock.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        list of TokenRequest
            To be sent as those of `plan`.
        """
        with self.condition:
            self._drop_expired(now_s)
            for account in self._accounts.values():
                if now_s - account.called_at_s > CALL_TIMEOUT_S:
                    account.pending = None
            returned_to = self._return_idle(now_s)
            requests = self._request_tokens(self._tokens_to_request(now_s), now_s)
            asked = {request.resource for request in requests}
            for name, account in self._accounts.items():
                if name in asked or account.pending is not None:
                    continue
                due = now_s - account.called_at_s >= REPORT_INTERVAL_S
                if name in returned_to or (account.unreported_spent_at_s and due):
                    requests.append(self._request(account, 0, now_s))
            return requests

    def apply_answer(
        self, request: TokenRequest, grant: TokenGrant, now_s: float
    ) -> None:
        """Apply the answer to a request, or the lack of one.

        Parameters
        ----------
        request : TokenRequest
        grant : TokenGrant
        now_s : float
        """
        with self.condition:
            account = self._accounts.get(request.resource)
            if account is None or account.pending is not request:
                # The borrower reports in a later request that it does not hold these
                # tokens.
                return
            account.pending = None
            self._apply(account, request, grant, now_s)
            self._notify_waiters()

    def exhausted_for_s(self, now_s: float) -> float | None:
        """Return the seconds until a lender may have tokens again.

        None unless all lenders are exhausted.
        """
        with self.condition:
            accounts = self._accounts.values()
            if not all(account.is_exhausted(now_s) for account in accounts):
                return None
            return max(0.0, min(a.blocked_until_s for a in accounts) - now_s)

    def seconds_until_retry(self, now_s: float) -> float:
        """Return the seconds until the next blocked lender can be asked.

        Infinity if no lender is blocked, so that only pending answers can help.
        """
        with self.condition:
            waits = [
                account.blocked_until_s - now_s
                for account in self._accounts.values()
                if account.pending is None and account.blocked_until_s > now_s
            ]
            return min(waits, default=float("inf"))

    def is_blocked(self, now_s: float) -> bool:
        """Whether no answer is pending and no lender can be asked now."""
        with self.condition:
            return all(
                account.pending is None and account.blocked_until_s > now_s
                for account in self._accounts.values()
            )

    def is_queue_full(self, now_s: float) -> bool:
        """Whether more requests wait than can get tokens in time.

        False unless all lenders are exhausted. Without this limit an organisation
        above its rate would occupy the threads of the host with waiting requests.
        """
        with self.condition:
            rate = self._limit.rate_per_s
            if self.waiting <= max(1.0, rate * QUEUE_LIMIT_S):
                return False
            return all(a.is_exhausted(now_s) for a in self._accounts.values())

    def free_tokens(self, now_s: float) -> int:
        """Return the number of tokens that can be taken now."""
        with self.condition:
            self._drop_expired(now_s)
            return self._free_count()

    def _set_resources(self, resources: Sequence[str]) -> None:
        known = self._accounts
        self._accounts = {n: known.get(n) or _LenderAccount(n) for n in resources}
        for index, account in enumerate(self._accounts.values()):
            account.slow_after_s = REMOTE_SLOW_AFTER_S if index else LOCAL_SLOW_AFTER_S

    def _take_one(self) -> Token | None:
        batch = self._first_to_expire()
        if batch is None:
            return None
        batch.free -= 1
        batch.taken += 1
        return Token(batch)

    def _first_to_expire(self) -> _Batch | None:
        first = None
        for account in self._accounts.values():
            for batch in account.batches:
                if batch.free > 0 and (
                    first is None or batch.valid_until_s < first.valid_until_s
                ):
                    first = batch
        return first

    def _free_count(self) -> int:
        return sum(b.free for a in self._accounts.values() for b in a.batches)

    def _notify_waiters(self) -> None:
        self.change_count += 1
        self.condition.notify_all()

    def _decayed_demand(self, now_s: float) -> float:
        return self._demand * math.exp(
            (self._demand_at_s - now_s) / DEMAND_TIME_CONSTANT_S
        )

    def _target_stock(self, now_s: float) -> int:
        """Return the number of tokens to keep in stock for the current demand."""
        demand_per_s = self._decayed_demand(now_s) / DEMAND_TIME_CONSTANT_S
        # The lender's bucket refills only up to the burst minus the tokens that hosts
        # hold. At most half of the burst is kept in stock, which leaves room for
        # refilling even where the burst is small compared with the rate.
        stock_s = min(STOCK_TARGET_S, self._limit.burst / self._limit.rate_per_s / 2)
        return round(min(demand_per_s, self._limit.rate_per_s) * stock_s)

    def _tokens_to_request(self, now_s: float) -> int:
        target = self._target_stock(now_s)
        free = self._free_count()
        if self.waiting == 0 and free * 2 >= target:
            return 0
        expected = sum(
            account.pending.wanted
            for account in self._accounts.values()
            if account.pending is not None and not account.is_slow(now_s)
        )
        return max(0, target + self.waiting - free - expected)

    def _request_tokens(self, needed: int, now_s: float) -> list[TokenRequest]:
        if needed <= 0:
            return []
        local, *others = self._accounts.values()
        if local.is_available(now_s):
            return [self._request(local, needed, now_s)]
        if local.pending is not None and not local.is_slow(now_s):
            # Its answer is expected soon. Only then are the others asked for the tokens
            # that it did not lend.
            return []
        available = [a for a in others if a.is_available(now_s)]
        if not available:
            return []
        wanted = math.ceil(needed / len(available))
        return [self._request(account, wanted, now_s) for account in available]

    def _request(
        self, account: _LenderAccount, wanted: int, now_s: float
    ) -> TokenRequest:
        request = TokenRequest(
            resource=account.resource,
            borrower=self._borrower,
            incarnation=self._incarnation,
            sequence=next(self._request_numbers),
            fence=account.fence,
            wanted=wanted,
            held=account.held(),
            spent_total=account.spent_total,
            returned_total=account.returned_total,
            spent_ages_s=tuple(now_s - at_s for at_s in account.unreported_spent_at_s),
        )
        account.pending = request
        account.called_at_s = now_s
        account.unreported_spent_at_s = []
        return request

    def _apply(
        self,
        account: _LenderAccount,
        request: TokenRequest,
        grant: TokenGrant,
        now_s: float,
    ) -> None:
        is_lent = grant.status is GrantStatus.LENT
        if not is_lent or grant.fence < account.fence:
            wait_s = max(FAILURE_RETRY_S, min(grant.retry_after_s, 2 * FAILURE_RETRY_S))
            account.blocked_until_s = now_s + wait_s
            account.exhausted_at_s = float("-inf")
            return
        if grant.fence > account.fence:
            account.fence = grant.fence
            account.spent_total = account.returned_total = 0
            account.unreported_spent_at_s = []
        if grant.granted > 0:
            valid_until_s = account.called_at_s + grant.valid_s
            batch = _Batch(account, grant.fence, valid_until_s, grant.granted)
            account.batches.append(batch)
            self._next_expiry_s = min(self._next_expiry_s, valid_until_s)
        if grant.granted < request.wanted:
            wait_s = max(MIN_RETRY_S, grant.retry_after_s)
            account.blocked_until_s = now_s + wait_s
            account.exhausted_at_s = now_s
        elif request.wanted > 0:
            account.exhausted_at_s = float("-inf")

    def _drop_expired(self, now_s: float) -> None:
        if now_s < self._next_expiry_s:
            return
        self._next_expiry_s = float("inf")
        for account in self._accounts.values():
            account.batches = [b for b in account.batches if b.valid_until_s > now_s]
            for batch in account.batches:
                self._next_expiry_s = min(self._next_expiry_s, batch.valid_until_s)

    def _return_idle(self, now_s: float) -> set[str]:
        """Remove idle tokens from the stock and return the resources to report to."""
        # Up to twice the target stays in stock.
        surplus = self._free_count() - 2 * self._target_stock(now_s)
        returned_to = set()
        for name, account in self._accounts.items():
            if account.pending is not None:
                continue
            for batch in account.batches:
                if batch.free == 0 or batch.fence != account.fence:
                    continue
                is_expiring = batch.valid_until_s - now_s <= RETURN_BEFORE_EXPIRY_S
                amount = batch.free if is_expiring else max(0, min(surplus, batch.free))
                if amount > 0:
                    batch.free -= amount
                    surplus -= amount
                    account.returned_total += amount
                    returned_to.add(name)
        return returned_to
