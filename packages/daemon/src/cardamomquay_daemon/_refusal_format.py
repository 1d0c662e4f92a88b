"""Body and headers of the HTTP response for a refusal."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomquay.outcomes import Refusal


def refusal_body(refusal: Refusal) -> bytes:
    """Return the JSON body of a refusal."""
    document = {
        "reason": str(refusal.reason),
        "not_run": refusal.not_run,
        "retry_after_s": refusal.effective_retry_after_s,
        "detail": refusal.detail,
    }
    return json.dumps(document).encode()


def refusal_headers(refusal: Refusal) -> dict[str, str]:
    """Return headers that repeat fields of the body, for callers that ignore it."""
    headers = {
        "X-Cardamomquay-Reason": str(refusal.reason),
        "X-Cardamomquay-Not-Run": "true" if refusal.not_run else "false",
    }
    if refusal.effective_retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(refusal.effective_retry_after_s))
    return headers
