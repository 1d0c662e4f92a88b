"""Lends the quota tokens of organisations to hosts, within a limit over all hosts."""

from __future__ import annotations

from cardamomquay.quota._admission import MAX_GRANT_WAIT_S
from cardamomquay.quota._admission import LentAdmitted
from cardamomquay.quota._admission import LentQuotaAdmission
from cardamomquay.quota._borrowed_tokens import Purse
from cardamomquay.quota._borrowed_tokens import Token
from cardamomquay.quota._largest_excess import largest_excess
from cardamomquay.quota._lender import Lender
from cardamomquay.quota._messages import CONFIG_IN_FORCE_S
from cardamomquay.quota._messages import GRANT_MARGIN_S
from cardamomquay.quota._messages import GRANT_VALID_S
from cardamomquay.quota._messages import NEW_LENDER_SILENCE_S
from cardamomquay.quota._messages import Grant
from cardamomquay.quota._messages import GrantRequest
from cardamomquay.quota._messages import GrantStatus
from cardamomquay.quota._messages import LenderDirectory
from cardamomquay.quota._messages import Limit
from cardamomquay.quota._portions import Portion
from cardamomquay.quota._portions import divide
from cardamomquay.quota._portions import portions_of
from cardamomquay.quota._request_sender import LenderCalls

__all__ = [
    "CONFIG_IN_FORCE_S",
    "GRANT_MARGIN_S",
    "GRANT_VALID_S",
    "MAX_GRANT_WAIT_S",
    "NEW_LENDER_SILENCE_S",
    "Grant",
    "GrantRequest",
    "GrantStatus",
    "Lender",
    "LenderCalls",
    "LenderDirectory",
    "LentAdmitted",
    "LentQuotaAdmission",
    "Limit",
    "Portion",
    "Purse",
    "Token",
    "divide",
    "largest_excess",
    "portions_of",
]
