"""Admission of requests with tokens borrowed from lenders."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.admission import Admission
from cardamomquay.admission import Admitted
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.quota._borrowed_tokens import BorrowedTokens
from cardamomquay.quota._borrowed_tokens import Token
from cardamomquay.quota._messages import RateLimit
from cardamomquay.quota._messages import TokenTransport
from cardamomquay.quota._request_sender import TokenRequestSender

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomquay.clock import Clock
    from cardamomquay.quota._portions import Portion
    from cardamomquay.reducer import Identity

# Longest wait of a request for a token; a round trip between regions takes up to
# 110 ms.
MAX_GRANT_WAIT_S = 0.15


@dataclass(frozen=True, slots=True)
class AdmittedWithToken(Admitted):
    """Admission of a request with a borrowed token."""

    token: Token


class BorrowedQuotaAdmission(Admission):
    """Admits requests with tokens borrowed from the lenders of quota portions.

    Parameters
    ----------
    clock : Clock
    transport : TokenTransport
    identity : Identity
        Identity of this host.
    max_wait_s : float, default=MAX_GRANT_WAIT_S
        Longest wait for a grant, in seconds.
    """

    def __init__(
        self,
        clock: Clock,
        transport: TokenTransport,
        identity: Identity,
        max_wait_s: float = MAX_GRANT_WAIT_S,
    ) -> None:
        self._clock = clock
        self._sender = TokenRequestSender(clock, transport)
        self._identity = identity
        self.max_wait_s = max_wait_s
        self._request_numbers = itertools.count(1)
        # The dict is replaced, never changed, so readers need no lock.
        self._borrowed: dict[str, BorrowedTokens] = {}

    def apply(self, portions: Mapping[str, Sequence[Portion]]) -> None:
        """Apply the portions of a configuration, by organisation."""
        all_borrowed = {}
        for name, organisation_portions in portions.items():
            own_first = sorted(
                organisation_portions, key=lambda p: p.region != self._identity.region
            )
            resources = tuple(portion.resource for portion in own_first)
            limit = RateLimit(
                sum(portion.limit.rate_per_s for portion in organisation_portions),
                sum(portion.limit.burst for portion in organisation_portions),
            )
            borrowed = self._borrowed.get(name)
            if borrowed is None:
                identity = self._identity
                borrowed = BorrowedTokens(
                    resources,
                    limit,
                    identity.host,
                    identity.incarnation,
                    self._request_numbers,
                )
            else:
                borrowed.change_limit(resources, limit)
            all_borrowed[name] = borrowed
        self._borrowed = all_borrowed

    def admit(self, organisation: str, deadline_s: float) -> Admitted | Refusal:
        now_s = self._clock.now_s()
        until_s = min(deadline_s, now_s + self.max_wait_s)
        outcome = self.try_admit(organisation, first=True)
        if outcome is not None:
            return outcome
        try:
            return self._wait(organisation, until_s)
        finally:
            self.end_wait(organisation)

    def try_admit(
        self, organisation: str, *, first: bool = False
    ) -> Admitted | Refusal | None:
        """Take one token without waiting.

        Parameters
        ----------
        organisation : str
        first : bool, default=False
            Whether this is the first attempt of the request; only that one counts as
            demand.

        Returns
        -------
        Admitted, Refusal or None
            None if a lender's answer or a token is expected soon. The request then
            counts as waiting until `end_wait`.
        """
        borrowed = self._borrowed.get(organisation)
        if borrowed is None:
            return Refusal(RefusalReason.QUOTA_UNAVAILABLE, "no quota known")
        now_s = self._clock.now_s()
        if first:
            borrowed.record_demand(now_s)
        token = borrowed.take(now_s)
        if token is not None:
            self._sender.send(borrowed, borrowed.plan(now_s))
            return AdmittedWithToken(token.valid_until_s, token)
        if first and borrowed.is_queue_full(now_s):
            return self.refuse(organisation)
        if first:
            borrowed.begin_wait()
        outcome = self._ask_and_take(organisation, borrowed, now_s)
        if first and outcome is not None:
            borrowed.end_wait()
        return outcome

    def end_wait(self, organisation: str) -> None:
        """Stop counting a request as waiting: it was admitted, refused or cancelled."""
        borrowed = self._borrowed.get(organisation)
        if borrowed is not None:
            borrowed.end_wait()

    def seconds_until_retry(self, organisation: str) -> float:
        """Return the seconds until a waiting request should call `try_admit` again."""
        borrowed = self._borrowed.get(organisation)
        return (
            0.0
            if borrowed is None
            else borrowed.seconds_until_retry(self._clock.now_s())
        )

    def refuse(self, organisation: str) -> Refusal:
        """Return the refusal for a request that got no token in time."""
        borrowed = self._borrowed.get(organisation)
        now_s = self._clock.now_s()
        retry_after_s = None if borrowed is None else borrowed.exhausted_for_s(now_s)
        if retry_after_s is None:
            detail = "no answer of a lender in time"
            return Refusal(RefusalReason.QUOTA_UNAVAILABLE, detail)
        return Refusal(RefusalReason.LIMIT_EXCEEDED, retry_after_s=retry_after_s)

    def mark_sent(self, organisation: str, admitted: Admitted) -> None:
        borrowed = self._borrowed.get(organisation)
        if borrowed is not None and isinstance(admitted, AdmittedWithToken):
            borrowed.mark_sent(admitted.token, self._clock.now_s())

    def return_token(self, organisation: str, admitted: Admitted) -> None:
        borrowed = self._borrowed.get(organisation)
        if borrowed is not None and isinstance(admitted, AdmittedWithToken):
            borrowed.return_token(admitted.token)

    def maintain(self) -> None:
        """Return idle tokens, report spent ones, renew the stock; call every 100 ms."""
        now_s = self._clock.now_s()
        for borrowed in self._borrowed.values():
            self._sender.send(borrowed, borrowed.maintain(now_s))

    def _ask_and_take(
        self, organisation: str, borrowed: BorrowedTokens, now_s: float
    ) -> Admitted | Refusal | None:
        self._sender.send(borrowed, borrowed.plan(now_s))
        token = borrowed.take(self._clock.now_s())
        if token is not None:
            return AdmittedWithToken(token.valid_until_s, token)
        if not borrowed.is_blocked(now_s):
            return None
        # A lender counts tokens as outstanding until they are reported as spent, so it
        # can lack one for a moment. A short wait then avoids a refusal.
        exhausted_for_s = borrowed.exhausted_for_s(now_s)
        if exhausted_for_s is not None and exhausted_for_s <= self.max_wait_s:
            return None
        return self.refuse(organisation)

    def _wait(self, organisation: str, until_s: float) -> Admitted | Refusal:
        while True:
            borrowed = self._borrowed.get(organisation)
            if borrowed is None:
                return self.refuse(organisation)
            with borrowed.condition:
                changes = borrowed.change_count
            outcome = self.try_admit(organisation)
            if outcome is not None:
                return outcome
            remaining_s = until_s - self._clock.now_s()
            if remaining_s <= 0:
                return self.refuse(organisation)
            remaining_s = min(
                remaining_s, borrowed.seconds_until_retry(self._clock.now_s())
            )
            with borrowed.condition:
                if borrowed.change_count == changes:
                    self._clock.wait(borrowed.condition, remaining_s)
