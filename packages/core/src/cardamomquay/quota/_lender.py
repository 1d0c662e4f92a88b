"""Lends the tokens of a portion or budget to hosts."""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cardamomquay.admission import TokenBucket
from cardamomquay.leases import is_lease_valid
from cardamomquay.quota._messages import CONFIG_PROPAGATION_S
from cardamomquay.quota._messages import GRANT_MARGIN_S
from cardamomquay.quota._messages import GRANT_VALID_S
from cardamomquay.quota._messages import NEW_LENDER_DELAY_S
from cardamomquay.quota._messages import GrantStatus
from cardamomquay.quota._messages import RateLimit
from cardamomquay.quota._messages import TokenGrant
from cardamomquay.quota._overflow import OverflowSpans

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomquay.leases import LeaseState
    from cardamomquay.quota._messages import TokenRequest


# A borrower's account without loans is deleted this long after its last request. A
# delayed duplicate of a request is granted again if the account is already deleted. The
# borrower ignores the answer, and the tokens expire unused.
FORGET_AFTER_S = 10.0


@dataclass(slots=True)
class _Loan:
    """Tokens lent in one answer."""

    amount: int
    lent_at_s: float

    @property
    def expires_at_s(self) -> float:
        return self.lent_at_s + GRANT_VALID_S + GRANT_MARGIN_S


@dataclass(slots=True)
class _BorrowerAccount:
    """Tokens that one incarnation of a borrower may still hold."""

    last_request_at_s: float
    sequence: int = -1
    answer: TokenGrant | None = None
    spent_total: int = 0
    returned_total: int = 0
    loans: deque[_Loan] = field(default_factory=deque)

    def outstanding(self) -> int:
        return sum(loan.amount for loan in self.loans)


class TokenLender:
    """Lends the tokens of one resource; thread-safe.

    The level of the bucket plus the tokens that borrowers may still hold never exceed
    the burst. Together with the limited validity of grants, this limits the requests
    run on all hosts to ``rate * t + burst`` in every window of t seconds.

    Parameters
    ----------
    resource : str
    fence : int
        Fencing token of the lender's row.
    limit : RateLimit
    lease : callable
        Returns the state of this host's lease.
    lease_fence : int
        Fencing token of the host lease under which the row was claimed. A lease that
        was lost and acquired again does not make this lender valid again, since
        another host may have taken over the row in between.
    now_s : float
        A time after the claim was committed.
    start_delay_s : float, default=NEW_LENDER_DELAY_S
        Seconds until the first token accrues. Until then requests can run on tokens
        of the predecessor, whose full burst may be in use; tokens accrued meanwhile
        would be added to it.
    """

    def __init__(
        self,
        resource: str,
        fence: int,
        limit: RateLimit,
        *,
        lease: Callable[[], LeaseState],
        lease_fence: int,
        now_s: float,
        start_delay_s: float = NEW_LENDER_DELAY_S,
    ) -> None:
        self.resource = resource
        self.fence = fence
        self._limit = limit
        self._lease = lease
        self._lease_fence = lease_fence
        self._lends_from_s = now_s + start_delay_s
        self._bucket = TokenBucket(limit.rate_per_s, limit.burst, self._lends_from_s)
        self._overflow = OverflowSpans()
        self._raise_limit_at_s = float("inf")
        self._accounts: dict[tuple[str, str], _BorrowerAccount] = {}
        self._lock = threading.Lock()

    def lend(self, request: TokenRequest, now_s: float) -> TokenGrant:
        """Apply a borrower's report and lend it the tokens that it wants.

        Parameters
        ----------
        request : TokenRequest
        now_s : float
            Time at which the request was received, on this host's clock.

        Returns
        -------
        TokenGrant
            `granted` may be less than `wanted`, or 0.
        """
        with self._lock:
            if not self._may_lend(now_s):
                return TokenGrant(GrantStatus.LEASE_INVALID)
            if request.fence > self.fence:
                return TokenGrant(GrantStatus.NOT_LENDER)
            self._expire(now_s)
            key = (request.borrower, request.incarnation)
            account = self._accounts.setdefault(key, _BorrowerAccount(now_s))
            account.last_request_at_s = now_s
            if request.sequence < account.sequence:
                return TokenGrant(GrantStatus.STALE, self.fence)
            if request.sequence == account.sequence and account.answer is not None:
                return account.answer
            self._apply_report(account, request, now_s)
            account.sequence = request.sequence
            account.answer = self._grant(account, request, now_s)
            return account.answer

    def change_limit(self, limit: RateLimit, now_s: float) -> None:
        """Apply a new limit.

        Lower values apply at once, higher ones after `CONFIG_PROPAGATION_S`.

        Parameters
        ----------
        limit : RateLimit
        now_s : float
        """
        with self._lock:
            self._expire(now_s)
            self._refill(now_s)
            if limit == self._limit:
                return
            self._limit = limit
            rate = min(limit.rate_per_s, self._bucket.rate_per_s)
            burst = min(limit.burst, self._bucket.burst)
            self._bucket.change_limit(rate, burst, now_s)
            self._overflow.clear()
            self._refill(now_s)
            self._raise_limit_at_s = now_s + CONFIG_PROPAGATION_S

    def outstanding(self, now_s: float) -> int:
        """Return the number of tokens that borrowers may still use."""
        with self._lock:
            self._expire(now_s)
            return self._outstanding()

    def _may_lend(self, now_s: float) -> bool:
        lease = self._lease()
        return lease.fence == self._lease_fence and is_lease_valid(lease, now_s)

    def _outstanding(self) -> int:
        return sum(account.outstanding() for account in self._accounts.values())

    def _refill(self, now_s: float) -> None:
        room = self._bucket.burst - self._outstanding()
        overflow = self._bucket.refill(now_s, room)
        if overflow > 0:
            self._overflow.add(now_s - overflow / self._bucket.rate_per_s, now_s)
        if now_s >= self._raise_limit_at_s:
            self._raise_limit_at_s = float("inf")
            self._bucket.change_limit(self._limit.rate_per_s, self._limit.burst, now_s)
            self._overflow.clear()

    def _expire(self, now_s: float) -> None:
        # In the order of expiry, since the level is refilled only up to the burst minus
        # the tokens outstanding at the time.
        due = sorted(
            (loan.expires_at_s, key)
            for key, account in self._accounts.items()
            for loan in account.loans
            if loan.expires_at_s <= now_s
        )
        for expires_at_s, key in due:
            self._refill(expires_at_s)
            self._accounts[key].loans.popleft()
        self._refill(now_s)
        for key, account in tuple(self._accounts.items()):
            if not account.loans and now_s - account.last_request_at_s > FORGET_AFTER_S:
                del self._accounts[key]

    def _apply_report(
        self, account: _BorrowerAccount, request: TokenRequest, now_s: float
    ) -> None:
        """Reduce what is outstanding to what the borrower reports that it holds."""
        is_same_lender = request.fence == self.fence
        held = request.held if is_same_lender else 0
        released = max(0, account.outstanding() - held)
        oldest_lent_at_s = account.loans[0].lent_at_s if account.loans else now_s
        to_remove = released
        # Removes the oldest loans, so that the rest expires too late, never too early.
        while to_remove > 0:
            oldest = account.loans[0]
            taken = min(to_remove, oldest.amount)
            oldest.amount -= taken
            to_remove -= taken
            if oldest.amount == 0:
                account.loans.popleft()
        if not is_same_lender:
            account.spent_total = account.returned_total = 0
            return
        spent = max(0, request.spent_total - account.spent_total)
        returned = max(0, request.returned_total - account.returned_total)
        account.spent_total = max(request.spent_total, account.spent_total)
        account.returned_total = max(request.returned_total, account.returned_total)
        # Only tokens that were outstanding until now may be lent again; otherwise a
        # report that arrives after their expiry would create tokens.
        self._bucket.level += max(0, min(returned, released - spent))
        # The ages were measured when the request was sent, so the tokens were spent at
        # these times or earlier.
        ages_s = sorted(request.spent_ages_s)[: min(spent, released)]
        self._bucket.level += self._overflow.recover(
            (max(oldest_lent_at_s, now_s - age_s) for age_s in ages_s),
            self._bucket.rate_per_s,
        )

    def _grant(
        self, account: _BorrowerAccount, request: TokenRequest, now_s: float
    ) -> TokenGrant:
        if now_s < self._lends_from_s:
            wait_s = self._lends_from_s - now_s
            return TokenGrant(GrantStatus.STARTING, self.fence, retry_after_s=wait_s)
        granted = max(0, min(request.wanted, int(self._bucket.level)))
        if granted > 0:
            self._bucket.level -= granted
            account.loans.append(_Loan(granted, now_s))
        wait_s = 0.0
        if granted < request.wanted:
            wait_s = self._bucket.seconds_until()
        return TokenGrant(GrantStatus.LENT, self.fence, granted, GRANT_VALID_S, wait_s)
