"""What borrowers and lenders say to each other."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from concurrent.futures import Future

GRANT_VALID_S = 1.0
# Covers drift between two clocks and the time from the check of a grant to the
# first byte sent.
GRANT_MARGIN_S = 0.25
NEW_LENDER_SILENCE_S = GRANT_VALID_S + GRANT_MARGIN_S
# A configuration is in force on every host within 4 s. Until then another portion
# may still be lent at the rate that this one takes over.
CONFIG_IN_FORCE_S = 4.0


@dataclass(frozen=True, slots=True)
class Limit:
    """Tokens a second, and tokens at once."""

    rate_per_s: float
    burst: int


class GrantStatus(StrEnum):
    """How a request for tokens ended."""

    LENT = "lent"
    STARTING = "starting"
    LEASE_INVALID = "lease_invalid"
    NOT_LENDER = "not_lender"
    STALE = "stale"
    NO_ANSWER = "no_answer"


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """A borrower's report and request for one resource.

    Parameters
    ----------
    resource : str
    borrower, incarnation : str
    number : int
        Grows with each request of an incarnation for a resource. A borrower drops
        the answer to any request but its last.
    fence : int
        Fence of the lender that `held` and the totals refer to, 0 for none.
    wanted : int
    held : int
        Valid tokens of that lender that are not sent yet.
    spent_total, returned_total : int
        Cumulative over the grants of that lender to this incarnation.
    spent_ages_s : tuple of float
        Seconds since each token was spent that no earlier request reported.
    """

    resource: str
    borrower: str
    incarnation: str
    number: int
    fence: int
    wanted: int
    held: int
    spent_total: int
    returned_total: int
    spent_ages_s: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Grant:
    """Answer to a `GrantRequest`.

    Parameters
    ----------
    status : GrantStatus
    fence : int
        Fence of the answering lender, 0 for none.
    granted : int
    valid_s : float
        Validity from the start of the borrower's call.
    retry_after_s : float
        Seconds until the lender may have more.
    """

    status: GrantStatus
    fence: int = 0
    granted: int = 0
    valid_s: float = 0.0
    retry_after_s: float = 0.0


class LenderDirectory(ABC):
    """Finds the lender of a resource and carries requests to it."""

    @abstractmethod
    def borrow(self, request: GrantRequest) -> Future[Grant]:
        """Send a request to the lender of its resource, without blocking.

        Parameters
        ----------
        request : GrantRequest

        Returns
        -------
        Future of Grant
            An exception, or the status `NO_ANSWER`, means that no lender answered.
        """
