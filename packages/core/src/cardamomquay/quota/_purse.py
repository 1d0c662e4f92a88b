"""A host's borrowed tokens of one organisation."""

from __future__ import annotations

import math
import threading
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cardamomquay.quota._messages import Grant
from cardamomquay.quota._messages import GrantRequest
from cardamomquay.quota._messages import GrantStatus

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from cardamomquay.quota._messages import Limit

# Two asks for each stock of 0.2 s are about 10 a second for an active organisation.
AHEAD_S = 0.2
DEMAND_MEMORY_S = 0.5
# Unreported spending keeps the lender from refilling, so reports follow soon.
REPORT_INTERVAL_S = 0.1
# Idle tokens go back this long before they expire, or their refill time is lost.
RETURN_BEFORE_EXPIRY_S = 0.3
CALL_TIMEOUT_S = 0.5
# A call takes 1 to 2 ms within a region and up to 110 ms between regions. After
# these times others are asked for what it was to fetch.
LOCAL_PATIENCE_S = 0.02
REMOTE_PATIENCE_S = 0.15
FAILURE_PAUSE_S = 0.05
# A lender can be short of a token by less than the clock resolves.
SHORTEST_PAUSE_S = 0.002
# Requests may wait for as many tokens as accrue in the longest wait of one.
CROWD_S = 0.15
# An answer counts as "out of tokens" while the next one is under way.
DENIAL_MEMORY_S = 0.25


@dataclass(slots=True, eq=False)
class _Batch:
    account: _Account
    fence: int
    valid_until_s: float
    free: int
    taken: int = 0


@dataclass(slots=True, eq=False)
class _Account:
    """Dealings of this host with the lender of one resource."""

    resource: str
    patience_s: float = REMOTE_PATIENCE_S
    fence: int = 0
    spent_total: int = 0
    returned_total: int = 0
    batches: list[_Batch] = field(default_factory=list)
    pending: GrantRequest | None = None
    started_s: float = float("-inf")
    unreported: list[float] = field(default_factory=list)
    blocked_until_s: float = float("-inf")
    denied_at_s: float = float("-inf")

    def held(self) -> int:
        return sum(b.free + b.taken for b in self.batches if b.fence == self.fence)

    def is_available(self, now_s: float) -> bool:
        return self.pending is None and self.blocked_until_s <= now_s

    def is_slow(self, now_s: float) -> bool:
        return now_s - self.started_s > self.patience_s

    def is_denied(self, now_s: float) -> bool:
        return now_s - self.denied_at_s <= DENIAL_MEMORY_S


class Token:
    """A token taken from a `Purse`; it has to be sent before `valid_until_s`."""

    __slots__ = ("_batch", "_open")

    def __init__(self, batch: _Batch) -> None:
        self._batch = batch
        self._open = True

    @property
    def resource(self) -> str:
        """Portion that the token is of."""
        return self._batch.account.resource

    @property
    def valid_until_s(self) -> float:
        """End of the grant's validity, on the host's clock."""
        return self._batch.valid_until_s


class Purse:
    """Borrowed tokens of one organisation on one host; thread-safe.

    Parameters
    ----------
    resources : sequence of str
        Portions of the organisation, the one of the host's region first.
    limit : Limit
        Of the organisation as a whole; it sizes the stock.
    borrower, incarnation : str
        Name and incarnation of this host.
    numbers : iterator of int
        Grows over the life of the host, also when a purse is replaced by another.

    Attributes
    ----------
    condition : threading.Condition
        Notified when tokens or answers arrive.
    """

    def __init__(
        self,
        resources: Sequence[str],
        limit: Limit,
        borrower: str,
        incarnation: str,
        numbers: Iterator[int],
    ) -> None:
        self.condition = threading.Condition(threading.Lock())
        self.waiting = 0
        self.changes = 0
        self._limit = limit
        self._borrower = borrower
        self._incarnation = incarnation
        self._numbers = numbers
        self._accounts: dict[str, _Account] = {}
        self._set_resources(resources)
        self._next_expiry_s = float("inf")
        self._demand = 0.0
        self._demand_at_s = 0.0

    def begin_wait(self, tokens: int = 1) -> None:
        """Count a request that waits for tokens."""
        with self.condition:
            self.waiting += tokens

    def end_wait(self, tokens: int = 1) -> None:
        """Count a request off that has waited."""
        with self.condition:
            self.waiting -= tokens

    def note_demand(self, now_s: float, tokens: int = 1) -> None:
        """Count the tokens of one request, whether it gets them or not."""
        with self.condition:
            self._demand = self._decayed(now_s) + tokens
            self._demand_at_s = now_s

    def take(self, now_s: float) -> Token | None:
        """Take one token, or none.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        Token or None
            The token of the batch that expires first.
        """
        with self.condition:
            self._drop_expired(now_s)
            return self._take_one()

    def take_many(self, count: int, now_s: float) -> tuple[Token, ...] | None:
        """Take a number of tokens, or none if there are fewer."""
        with self.condition:
            self._drop_expired(now_s)
            if self._free() < count:
                return None
            taken = (self._take_one() for _ in range(count))
            return tuple(token for token in taken if token is not None)

    def mark_sent(self, token: Token, now_s: float) -> None:
        """Note that the token's request is sent; later calls have no effect.

        Until then the lender counts the token as outstanding. A token reported as
        spent before its request runs would let a window hold one run too many.
        """
        with self.condition:
            if not token._open:
                return
            token._open = False
            batch = token._batch
            batch.taken -= 1
            if batch.fence == batch.account.fence:
                batch.account.spent_total += 1
                batch.account.unreported.append(now_s)

    def give_back(self, token: Token) -> None:
        """Make a token usable again whose request was not sent."""
        with self.condition:
            if not token._open:
                return
            token._open = False
            token._batch.taken -= 1
            token._batch.free += 1
            self._notify()

    def change(self, resources: Sequence[str], limit: Limit) -> None:
        """Apply new portions and a limit; a lowered one discards the stock at once."""
        with self.condition:
            self._set_resources(resources)
            old, self._limit = self._limit, limit
            if limit.rate_per_s >= old.rate_per_s and limit.burst >= old.burst:
                return
            for account in self._accounts.values():
                # The answer under way was granted under the old limit.
                account.pending = None
                for batch in account.batches:
                    batch.free = 0

    def plan(self, now_s: float) -> list[GrantRequest]:
        """Decide which lenders to ask now.

        Parameters
        ----------
        now_s : float
            Start of the calls; validity of what they fetch counts from here.

        Returns
        -------
        list of GrantRequest
            To be sent; each has to be answered by `complete`.
        """
        with self.condition:
            self._drop_expired(now_s)
            return self._ask(self._needed(now_s), now_s)

    def maintain(self, now_s: float) -> list[GrantRequest]:
        """Return idle tokens, report spending and renew the stock.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        list of GrantRequest
            As for `plan`.
        """
        with self.condition:
            self._drop_expired(now_s)
            for account in self._accounts.values():
                if now_s - account.started_s > CALL_TIMEOUT_S:
                    account.pending = None
            withdrawn = self._withdraw_idle(now_s)
            requests = self._ask(self._needed(now_s), now_s)
            asked = {request.resource for request in requests}
            for name, account in self._accounts.items():
                if name in asked or account.pending is not None:
                    continue
                due = now_s - account.started_s >= REPORT_INTERVAL_S
                if name in withdrawn or (account.unreported and due):
                    requests.append(self._request(account, 0, now_s))
            return requests

    def complete(self, request: GrantRequest, grant: Grant, now_s: float) -> None:
        """Apply the answer to a request, or the lack of one.

        Parameters
        ----------
        request : GrantRequest
        grant : Grant
        now_s : float
        """
        with self.condition:
            account = self._accounts.get(request.resource)
            if account is None or account.pending is not request:
                # The lender was told, or will be, that these tokens are not held.
                return
            account.pending = None
            self._apply(account, request, grant, now_s)
            self._notify()

    def denial(self, now_s: float) -> float | None:
        """Return the seconds until a retry if all lenders are out of tokens."""
        with self.condition:
            accounts = self._accounts.values()
            if not all(account.is_denied(now_s) for account in accounts):
                return None
            return max(0.0, min(a.blocked_until_s for a in accounts) - now_s)

    def pause_s(self, now_s: float) -> float:
        """Return the seconds until another lender can be asked, at least 0.

        Infinity while only answers under way can help.
        """
        with self.condition:
            waits = [
                account.blocked_until_s - now_s
                for account in self._accounts.values()
                if account.pending is None and account.blocked_until_s > now_s
            ]
            return min(waits, default=float("inf"))

    def is_hopeless(self, now_s: float) -> bool:
        """Whether no answer is under way and no lender can be asked now."""
        with self.condition:
            return all(
                account.pending is None and account.blocked_until_s > now_s
                for account in self._accounts.values()
            )

    def is_crowded(self, now_s: float) -> bool:
        """Whether more requests wait than tokens can accrue while they do.

        Only while the lenders say that they are out of tokens. Without this bound an
        organisation above its rate would keep the threads of the host waiting.
        """
        with self.condition:
            rate = self._limit.rate_per_s
            if self.waiting <= max(1.0, rate * CROWD_S):
                return False
            return all(a.is_denied(now_s) for a in self._accounts.values())

    def free(self, now_s: float) -> int:
        """Return the tokens that can be taken now."""
        with self.condition:
            self._drop_expired(now_s)
            return self._free()

    def _set_resources(self, resources: Sequence[str]) -> None:
        known = self._accounts
        self._accounts = {n: known.get(n) or _Account(n) for n in resources}
        for index, account in enumerate(self._accounts.values()):
            account.patience_s = REMOTE_PATIENCE_S if index else LOCAL_PATIENCE_S

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

    def _free(self) -> int:
        return sum(b.free for a in self._accounts.values() for b in a.batches)

    def _notify(self) -> None:
        self.changes += 1
        self.condition.notify_all()

    def _decayed(self, now_s: float) -> float:
        return self._demand * math.exp((self._demand_at_s - now_s) / DEMAND_MEMORY_S)

    def _target(self, now_s: float) -> int:
        """Tokens to keep in stock for the present demand."""
        demand_per_s = self._decayed(now_s) / DEMAND_MEMORY_S
        # What hosts hold keeps the lender from refilling. Half the burst leaves it
        # room, also where the burst is short for the rate.
        ahead_s = min(AHEAD_S, self._limit.burst / self._limit.rate_per_s / 2)
        return round(min(demand_per_s, self._limit.rate_per_s) * ahead_s)

    def _needed(self, now_s: float) -> int:
        target = self._target(now_s)
        free = self._free()
        if self.waiting == 0 and free * 2 >= target:
            return 0
        coming = sum(
            account.pending.wanted
            for account in self._accounts.values()
            if account.pending is not None and not account.is_slow(now_s)
        )
        return max(0, target + self.waiting - free - coming)

    def _ask(self, needed: int, now_s: float) -> list[GrantRequest]:
        if needed <= 0:
            return []
        local, *others = self._accounts.values()
        if local.is_available(now_s):
            return [self._request(local, needed, now_s)]
        if local.pending is not None and not local.is_slow(now_s):
            # Its answer is due in a moment, and what it lacks is asked for then.
            return []
        available = [a for a in others if a.is_available(now_s)]
        if not available:
            return []
        wanted = math.ceil(needed / len(available))
        return [self._request(account, wanted, now_s) for account in available]

    def _request(self, account: _Account, wanted: int, now_s: float) -> GrantRequest:
        request = GrantRequest(
            resource=account.resource,
            borrower=self._borrower,
            incarnation=self._incarnation,
            number=next(self._numbers),
            fence=account.fence,
            wanted=wanted,
            held=account.held(),
            spent_total=account.spent_total,
            returned_total=account.returned_total,
            spent_ages_s=tuple(now_s - at_s for at_s in account.unreported),
        )
        account.pending = request
        account.started_s = now_s
        account.unreported = []
        return request

    def _apply(
        self, account: _Account, request: GrantRequest, grant: Grant, now_s: float
    ) -> None:
        lent = grant.status is GrantStatus.LENT
        if not lent or grant.fence < account.fence:
            wait_s = max(FAILURE_PAUSE_S, min(grant.retry_after_s, 2 * FAILURE_PAUSE_S))
            account.blocked_until_s = now_s + wait_s
            account.denied_at_s = float("-inf")
            return
        if grant.fence > account.fence:
            account.fence = grant.fence
            account.spent_total = account.returned_total = 0
            account.unreported = []
        if grant.granted > 0:
            valid_until_s = account.started_s + grant.valid_s
            batch = _Batch(account, grant.fence, valid_until_s, grant.granted)
            account.batches.append(batch)
            self._next_expiry_s = min(self._next_expiry_s, valid_until_s)
        if grant.granted < request.wanted:
            wait_s = max(SHORTEST_PAUSE_S, grant.retry_after_s)
            account.blocked_until_s = now_s + wait_s
            account.denied_at_s = now_s
        elif request.wanted > 0:
            account.denied_at_s = float("-inf")

    def _drop_expired(self, now_s: float) -> None:
        if now_s < self._next_expiry_s:
            return
        self._next_expiry_s = float("inf")
        for account in self._accounts.values():
            account.batches = [b for b in account.batches if b.valid_until_s > now_s]
            for batch in account.batches:
                self._next_expiry_s = min(self._next_expiry_s, batch.valid_until_s)

    def _withdraw_idle(self, now_s: float) -> set[str]:
        """Take tokens out of the stock to return them; name their resources."""
        surplus = self._free() - 2 * self._target(now_s)
        withdrawn = set()
        for name, account in self._accounts.items():
            if account.pending is not None:
                continue
            for batch in account.batches:
                if batch.free == 0 or batch.fence != account.fence:
                    continue
                late = batch.valid_until_s - now_s <= RETURN_BEFORE_EXPIRY_S
                amount = batch.free if late else max(0, min(surplus, batch.free))
                if amount > 0:
                    batch.free -= amount
                    surplus -= amount
                    account.returned_total += amount
                    withdrawn.add(name)
        return withdrawn
