"""Admission of requests with tokens borrowed from lenders."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.admission import Admission
from cardamomquay.admission import Admitted
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.quota._borrowed_tokens import Purse
from cardamomquay.quota._borrowed_tokens import Token
from cardamomquay.quota._messages import LenderDirectory
from cardamomquay.quota._messages import Limit
from cardamomquay.quota._request_sender import LenderCalls

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomquay.clock import Clock
    from cardamomquay.quota._portions import Portion
    from cardamomquay.reducer import Identity

# A round trip between regions takes up to 110 ms.
MAX_GRANT_WAIT_S = 0.15


@dataclass(frozen=True, slots=True)
class LentAdmitted(Admitted):
    """A borrowed token was taken."""

    token: Token


class LentQuotaAdmission(Admission):
    """Admits requests with tokens borrowed from the lenders of quota portions.

    Parameters
    ----------
    clock : Clock
    directory : LenderDirectory
    identity : Identity
        Identity of this host.
    max_wait_s : float, default=MAX_GRANT_WAIT_S
        Longest wait for a grant, in seconds.
    """

    def __init__(
        self,
        clock: Clock,
        directory: LenderDirectory,
        identity: Identity,
        max_wait_s: float = MAX_GRANT_WAIT_S,
    ) -> None:
        self._clock = clock
        self._sender = LenderCalls(clock, directory)
        self._identity = identity
        self.max_wait_s = max_wait_s
        self._request_numbers = itertools.count(1)
        # The dict is replaced, never changed, so readers need no lock.
        self._purses: dict[str, Purse] = {}

    def apply(self, portions: Mapping[str, Sequence[Portion]]) -> None:
        """Apply the portions of a configuration, by organisation."""
        purses = {}
        for name, organisation_portions in portions.items():
            own_first = sorted(
                organisation_portions, key=lambda p: p.region != self._identity.region
            )
            resources = tuple(portion.resource for portion in own_first)
            limit = Limit(
                sum(portion.limit.rate_per_s for portion in organisation_portions),
                sum(portion.limit.burst for portion in organisation_portions),
            )
            purse = self._purses.get(name)
            if purse is None:
                identity = self._identity
                purse = Purse(
                    resources,
                    limit,
                    identity.host,
                    identity.incarnation,
                    self._request_numbers,
                )
            else:
                purse.change(resources, limit)
            purses[name] = purse
        self._purses = purses

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
        purse = self._purses.get(organisation)
        if purse is None:
            return Refusal(RefusalReason.QUOTA_UNAVAILABLE, "no quota known")
        now_s = self._clock.now_s()
        if first:
            purse.note_demand(now_s)
        token = purse.take(now_s)
        if token is not None:
            self._sender.send(purse, purse.plan(now_s))
            return LentAdmitted(token.valid_until_s, token)
        if first and purse.is_crowded(now_s):
            return self.refuse(organisation)
        if first:
            purse.begin_wait()
        outcome = self._ask_and_take(organisation, purse, now_s)
        if first and outcome is not None:
            purse.end_wait()
        return outcome

    def end_wait(self, organisation: str) -> None:
        """Stop counting a request as waiting: it was admitted, refused or cancelled."""
        purse = self._purses.get(organisation)
        if purse is not None:
            purse.end_wait()

    def pause_s(self, organisation: str) -> float:
        """Return the seconds until a waiting request should call `try_admit` again."""
        purse = self._purses.get(organisation)
        return 0.0 if purse is None else purse.pause_s(self._clock.now_s())

    def refuse(self, organisation: str) -> Refusal:
        """Return the refusal for a request that got no token in time."""
        purse = self._purses.get(organisation)
        now_s = self._clock.now_s()
        retry_after_s = None if purse is None else purse.denial(now_s)
        if retry_after_s is None:
            detail = "no lender answered in time"
            return Refusal(RefusalReason.QUOTA_UNAVAILABLE, detail)
        return Refusal(RefusalReason.LIMIT_EXCEEDED, retry_after_s=retry_after_s)

    def mark_sent(self, organisation: str, admitted: Admitted) -> None:
        purse = self._purses.get(organisation)
        if purse is not None and isinstance(admitted, LentAdmitted):
            purse.mark_sent(admitted.token, self._clock.now_s())

    def give_back(self, organisation: str, admitted: Admitted) -> None:
        purse = self._purses.get(organisation)
        if purse is not None and isinstance(admitted, LentAdmitted):
            purse.give_back(admitted.token)

    def maintain(self) -> None:
        """Return idle tokens, report spent ones and renew; call it every 100 ms."""
        now_s = self._clock.now_s()
        for purse in self._purses.values():
            self._sender.send(purse, purse.maintain(now_s))

    def _ask_and_take(
        self, organisation: str, purse: Purse, now_s: float
    ) -> Admitted | Refusal | None:
        self._sender.send(purse, purse.plan(now_s))
        token = purse.take(self._clock.now_s())
        if token is not None:
            return LentAdmitted(token.valid_until_s, token)
        if not purse.is_hopeless(now_s):
            return None
        # A lender counts tokens as outstanding until they are reported as spent, so it
        # can lack one for a moment. A short wait then avoids a refusal.
        exhausted_for_s = purse.denial(now_s)
        if exhausted_for_s is not None and exhausted_for_s <= self.max_wait_s:
            return None
        return self.refuse(organisation)

    def _wait(self, organisation: str, until_s: float) -> Admitted | Refusal:
        while True:
            purse = self._purses.get(organisation)
            if purse is None:
                return self.refuse(organisation)
            with purse.condition:
                changes = purse.changes
            outcome = self.try_admit(organisation)
            if outcome is not None:
                return outcome
            remaining_s = until_s - self._clock.now_s()
            if remaining_s <= 0:
                return self.refuse(organisation)
            remaining_s = min(remaining_s, purse.pause_s(self._clock.now_s()))
            with purse.condition:
                if purse.changes == changes:
                    self._clock.wait(purse.condition, remaining_s)
