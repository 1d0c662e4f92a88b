"""Messages between a borrower of tokens and a lender, and their transport."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from concurrent.futures import Future

GRANT_VALID_S = 1.0
# Covers drift between two clocks and the time from the check of a grant to the first
# byte that is sent.
GRANT_MARGIN_S = 0.25
NEW_LENDER_DELAY_S = GRANT_VALID_S + GRANT_MARGIN_S
# Every host applies a new configuration within this time. Until then another portion
# may still be lent at a rate that the new configuration gives to this one.
CONFIG_PROPAGATION_S = 4.0


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate and burst of a token bucket."""

    rate_per_s: float
    burst: int


class GrantStatus(StrEnum):
    """Result of a request for tokens."""

    # The lender answered; it may have granted fewer tokens than wanted, or none.
    LENT = "lent"
    # The lender does not lend yet; tokens of its predecessor may still be in use.
    STARTING = "starting"
    # The host lease under which the lender claimed the resource is not valid now.
    LEASE_INVALID = "lease_invalid"
    # The host does not lend the resource, or the borrower knows a newer lender.
    NOT_LENDER = "not_lender"
    # The lender has already answered a request with a higher number.
    STALE = "stale"
    NO_ANSWER = "no_answer"


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Reports a borrower's use of the tokens of one resource and requests more.

    Parameters
    ----------
    resource : str
    borrower, incarnation : str
        Name of the borrowing host, and identifier of its daemon's run.
    sequence : int
        Increases with each request of an incarnation for a resource. A borrower
        ignores the answers to all but its newest request.
    fence : int
        Fencing token of the lender that `held` and the totals refer to, 0 for none.
    wanted : int
        Number of tokens requested.
    held : int
        Number of valid tokens of that lender whose requests are not sent yet.
    spent_total, returned_total : int
        Totals over all grants of that lender to this incarnation.
    spent_ages_s : tuple of float
        Seconds since each token was spent, for the tokens not reported before.
    """

    resource: str
    borrower: str
    incarnation: str
    sequence: int
    fence: int
    wanted: int
    held: int
    spent_total: int
    returned_total: int
    spent_ages_s: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class TokenGrant:
    """Answer of a lender to a `TokenRequest`.

    Parameters
    ----------
    status : GrantStatus
    fence : int
        Fencing token of the lender that answers, 0 for none.
    granted : int
        Number of tokens lent.
    valid_s : float
        Validity in seconds, counted from the start of the borrower's call.
    retry_after_s : float
        Seconds until the lender may have more tokens.
    """

    status: GrantStatus
    fence: int = 0
    granted: int = 0
    valid_s: float = 0.0
    retry_after_s: float = 0.0


class TokenTransport(ABC):
    """Sends requests for tokens to the lender of a resource."""

    @abstractmethod
    def borrow(self, request: TokenRequest) -> Future[TokenGrant]:
        """Send a request to the lender of its resource, without blocking.

        Parameters
        ----------
        request : TokenRequest

        Returns
        -------
        Future of TokenGrant
            An exception, or the status `NO_ANSWER`, means that no lender answered.
        """
