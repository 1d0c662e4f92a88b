"""Lends the quota tokens of organisations to hosts, within a limit over all hosts."""

from __future__ import annotations

from cardamomquay.quota._admission import MAX_GRANT_WAIT_S
from cardamomquay.quota._admission import AdmittedWithToken
from cardamomquay.quota._admission import BorrowedQuotaAdmission
from cardamomquay.quota._borrowed_tokens import BorrowedTokens
from cardamomquay.quota._borrowed_tokens import Token
from cardamomquay.quota._largest_excess import largest_excess
from cardamomquay.quota._lender import TokenLender
from cardamomquay.quota._messages import CONFIG_PROPAGATION_S
from cardamomquay.quota._messages import GRANT_MARGIN_S
from cardamomquay.quota._messages import GRANT_VALID_S
from cardamomquay.quota._messages import NEW_LENDER_DELAY_S
from cardamomquay.quota._messages import GrantStatus
from cardamomquay.quota._messages import RateLimit
from cardamomquay.quota._messages import TokenGrant
from cardamomquay.quota._messages import TokenRequest
from cardamomquay.quota._messages import TokenTransport
from cardamomquay.quota._portions import Portion
from cardamomquay.quota._portions import divide_limit
from cardamomquay.quota._portions import portions_of
from cardamomquay.quota._request_sender import TokenRequestSender

__all__ = [
    "CONFIG_PROPAGATION_S",
    "GRANT_MARGIN_S",
    "GRANT_VALID_S",
    "MAX_GRANT_WAIT_S",
    "NEW_LENDER_DELAY_S",
    "AdmittedWithToken",
    "BorrowedQuotaAdmission",
    "BorrowedTokens",
    "GrantStatus",
    "Portion",
    "RateLimit",
    "Token",
    "TokenGrant",
    "TokenLender",
    "TokenRequest",
    "TokenRequestSender",
    "TokenTransport",
    "divide_limit",
    "largest_excess",
    "portions_of",
]
