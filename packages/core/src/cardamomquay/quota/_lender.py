"""The lender of a portion."""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cardamomquay.admission import TokenBucket
from cardamomquay.leases import is_lease_valid
from cardamomquay.quota._clipped import ClippedAccrual
from cardamomquay.quota._messages import CONFIG_IN_FORCE_S
from cardamomquay.quota._messages import GRANT_MARGIN_S
from cardamomquay.quota._messages import GRANT_VALID_S
from cardamomquay.quota._messages import NEW_LENDER_SILENCE_S
from cardamomquay.quota._messages import Grant
from cardamomquay.quota._messages import GrantStatus
from cardamomquay.quota._messages import Limit

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomquay.leases import LeaseState
    from cardamomquay.quota._messages import GrantRequest


# A late copy of a request whose account is forgotten can be granted again. Its
# borrower drops the answer, and the tokens expire unused.
FORGET_AFTER_S = 10.0


@dataclass(slots=True)
class _Lent:
    amount: int
    lent_at_s: float

    @property
    def expires_at_s(self) -> float:
        return self.lent_at_s + GRANT_VALID_S + GRANT_MARGIN_S


@dataclass(slots=True)
class _Account:
    """What one incarnation of a borrower may still hold."""

    seen_at_s: float
    number: int = -1
    answer: Grant | None = None
    spent_total: int = 0
    returned_total: int = 0
    lent: deque[_Lent] = field(default_factory=deque)

    def outstanding(self) -> int:
        return sum(lent.amount for lent in self.lent)


class Lender:
    """Lends the tokens of one portion; thread-safe.

    The level and the tokens that borrowers may still hold never add up to more than
    the burst. Together with the validity of grants this bounds the runs in every
    window of t seconds by ``rate * t + burst``, over all hosts.

    Parameters
    ----------
    resource : str
    fence : int
        Fence of the lender's row.
    limit : Limit
    lease : callable
        Returns the state of this host's lease.
    lease_fence : int
        Fence of the host lease under which the row was claimed. A lease that was
        lost and acquired again does not make this lender valid again, since another
        host may have taken the row over in between.
    now_s : float
        Time after the claim was committed.
    silence_s : float, default=NEW_LENDER_SILENCE_S
        Seconds before the first token accrues. Tokens of the predecessor can run
        until then; tokens accrued meanwhile would come on top of its whole burst.
    """

    def __init__(
        self,
        resource: str,
        fence: int,
        limit: Limit,
        *,
        lease: Callable[[], LeaseState],
        lease_fence: int,
        now_s: float,
        silence_s: float = NEW_LENDER_SILENCE_S,
    ) -> None:
        self.resource = resource
        self.fence = fence
        self._limit = limit
        self._lease = lease
        self._lease_fence = lease_fence
        self._lends_from_s = now_s + silence_s
        self._bucket = TokenBucket(limit.rate_per_s, limit.burst, self._lends_from_s)
        self._clipped = ClippedAccrual()
        self._raise_due_s = float("inf")
        self._accounts: dict[tuple[str, str], _Account] = {}
        self._lock = threading.Lock()

    def lend(self, request: GrantRequest, now_s: float) -> Grant:
        """Account for a borrower's report and lend what it wants.

        Parameters
        ----------
        request : GrantRequest
        now_s : float
            Time at which the request was received, on this host's clock.

        Returns
        -------
        Grant
            `granted` may be less than wanted, or 0.
        """
        with self._lock:
            if not self._may_lend(now_s):
                return Grant(GrantStatus.LEASE_INVALID)
            if request.fence > self.fence:
                return Grant(GrantStatus.NOT_LENDER)
            self._expire(now_s)
            key = (request.borrower, request.incarnation)
            account = self._accounts.setdefault(key, _Account(now_s))
            account.seen_at_s = now_s
            if request.number < account.number:
                return Grant(GrantStatus.STALE, self.fence)
            if request.number == account.number and account.answer is not None:
                return account.answer
            self._settle(account, request, now_s)
            account.number = request.number
            account.answer = self._grant(account, request, now_s)
            return account.answer

    def change(self, limit: Limit, now_s: float) -> None:
        """Apply a new limit: what is lower at once, what is higher after 4 s.

        Parameters
        ----------
        limit : Limit
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
            self._bucket.change(rate, burst, now_s)
            self._clipped.clear()
            self._refill(now_s)
            self._raise_due_s = now_s + CONFIG_IN_FORCE_S

    def outstanding(self, now_s: float) -> int:
        """Return the tokens that borrowers may still send."""
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
        clipped = self._bucket.refill(now_s, room)
        if clipped > 0:
            self._clipped.add(now_s - clipped / self._bucket.rate_per_s, now_s)
        if now_s >= self._raise_due_s:
            self._raise_due_s = float("inf")
            self._bucket.change(self._limit.rate_per_s, self._limit.burst, now_s)
            self._clipped.clear()

    def _expire(self, now_s: float) -> None:
        # In the order of expiry: the level grows only up to the burst less what was
        # outstanding at the time.
        due = sorted(
            (lent.expires_at_s, key)
            for key, account in self._accounts.items()
            for lent in account.lent
            if lent.expires_at_s <= now_s
        )
        for expires_at_s, key in due:
            self._refill(expires_at_s)
            self._accounts[key].lent.popleft()
        self._refill(now_s)
        for key, account in tuple(self._accounts.items()):
            if not account.lent and now_s - account.seen_at_s > FORGET_AFTER_S:
                del self._accounts[key]

    def _settle(self, account: _Account, request: GrantRequest, now_s: float) -> None:
        """Replace what was lent before the request by what the borrower holds."""
        own = request.fence == self.fence
        held = request.held if own else 0
        released = max(0, account.outstanding() - held)
        lent_s = account.lent[0].lent_at_s if account.lent else now_s
        spare = released
        # The oldest go first, so what remains expires late rather than early.
        while spare > 0:
            oldest = account.lent[0]
            taken = min(spare, oldest.amount)
            oldest.amount -= taken
            spare -= taken
            if oldest.amount == 0:
                account.lent.popleft()
        if not own:
            account.spent_total = account.returned_total = 0
            return
        spent = max(0, request.spent_total - account.spent_total)
        returned = max(0, request.returned_total - account.returned_total)
        account.spent_total = max(request.spent_total, account.spent_total)
        account.returned_total = max(request.returned_total, account.returned_total)
        # Only tokens that were outstanding until now may be lent again. A report
        # that arrives after their expiry would otherwise create tokens.
        self._bucket.level += max(0, min(returned, released - spent))
        # The ages were true at sending, so the tokens were spent no later than this.
        ages_s = sorted(request.spent_ages_s)[: min(spent, released)]
        self._bucket.level += self._clipped.recover(
            (max(lent_s, now_s - age_s) for age_s in ages_s), self._bucket.rate_per_s
        )

    def _grant(self, account: _Account, request: GrantRequest, now_s: float) -> Grant:
        if now_s < self._lends_from_s:
            wait_s = self._lends_from_s - now_s
            return Grant(GrantStatus.STARTING, self.fence, retry_after_s=wait_s)
        granted = max(0, min(request.wanted, int(self._bucket.level)))
        if granted > 0:
            self._bucket.level -= granted
            account.lent.append(_Lent(granted, now_s))
        wait_s = 0.0
        if granted < request.wanted:
            wait_s = self._bucket.seconds_until()
        return Grant(GrantStatus.LENT, self.fence, granted, GRANT_VALID_S, wait_s)
