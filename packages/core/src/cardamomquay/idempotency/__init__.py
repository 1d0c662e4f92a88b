"""At-most-once execution: idempotency key claims and recorded responses."""

from __future__ import annotations

from cardamomquay.idempotency._batched import GroupedOnceRegistry
from cardamomquay.idempotency._batcher import COMMITS_MAX
from cardamomquay.idempotency._batcher import ClaimBatcher
from cardamomquay.idempotency._changes import AnswerChange
from cardamomquay.idempotency._changes import Change
from cardamomquay.idempotency._changes import ClaimChange
from cardamomquay.idempotency._changes import ReleaseChange
from cardamomquay.idempotency._changes import commit_group
from cardamomquay.idempotency._claims import Claim
from cardamomquay.idempotency._claims import OnceRegistry
from cardamomquay.idempotency._claims import Proceed
from cardamomquay.idempotency._claims import RecordedAnswer
from cardamomquay.idempotency._claims import Replay
from cardamomquay.idempotency._claims import claim_row_key
from cardamomquay.idempotency._claims import decide_claim
from cardamomquay.idempotency._claims import digest_request
from cardamomquay.idempotency._registry import TableOnceRegistry
from cardamomquay.idempotency._sweep import SweepDone
from cardamomquay.idempotency._sweep import SweepFenced
from cardamomquay.idempotency._sweep import SweepInterrupted
from cardamomquay.idempotency._sweep import sweep_claims

__all__ = [
    "COMMITS_MAX",
    "AnswerChange",
    "Change",
    "Claim",
    "ClaimBatcher",
    "ClaimChange",
    "GroupedOnceRegistry",
    "OnceRegistry",
    "Proceed",
    "RecordedAnswer",
    "ReleaseChange",
    "Replay",
    "SweepDone",
    "SweepFenced",
    "SweepInterrupted",
    "TableOnceRegistry",
    "claim_row_key",
    "commit_group",
    "decide_claim",
    "digest_request",
    "sweep_claims",
]
