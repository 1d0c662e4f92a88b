"""At most once: claims of idempotency keys and recorded answers."""

from __future__ import annotations

from cardamomquay.idempotency._claims import Claim
from cardamomquay.idempotency._claims import OnceRegistry
from cardamomquay.idempotency._claims import Proceed
from cardamomquay.idempotency._claims import RecordedAnswer
from cardamomquay.idempotency._claims import Replay
from cardamomquay.idempotency._claims import claim_row_key
from cardamomquay.idempotency._claims import decide_claim
from cardamomquay.idempotency._claims import digest_request
from cardamomquay.idempotency._registry import TableOnceRegistry

__all__ = [
    "Claim",
    "OnceRegistry",
    "Proceed",
    "RecordedAnswer",
    "Replay",
    "TableOnceRegistry",
    "claim_row_key",
    "decide_claim",
    "digest_request",
]
