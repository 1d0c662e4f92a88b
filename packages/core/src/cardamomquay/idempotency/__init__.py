"""At-most-once execution: idempotency key claims and recorded answers."""

from __future__ import annotations

from cardamomquay.idempotency._batched import BatchedIdempotencyRegistry
from cardamomquay.idempotency._batcher import CONCURRENT_COMMITS_MAX
from cardamomquay.idempotency._batcher import ClaimBatcher
from cardamomquay.idempotency._changes import AnswerChange
from cardamomquay.idempotency._changes import ClaimChange
from cardamomquay.idempotency._changes import ClaimRowChange
from cardamomquay.idempotency._changes import ReleaseChange
from cardamomquay.idempotency._changes import commit_batch
from cardamomquay.idempotency._claims import Claim
from cardamomquay.idempotency._claims import IdempotencyRegistry
from cardamomquay.idempotency._claims import Proceed
from cardamomquay.idempotency._claims import RecordedAnswer
from cardamomquay.idempotency._claims import Replay
from cardamomquay.idempotency._claims import claim_row_key
from cardamomquay.idempotency._claims import decide_claim
from cardamomquay.idempotency._claims import digest_request
from cardamomquay.idempotency._registry import UnbatchedIdempotencyRegistry
from cardamomquay.idempotency._sweep import SweepDone
from cardamomquay.idempotency._sweep import SweepFenced
from cardamomquay.idempotency._sweep import SweepInterrupted
from cardamomquay.idempotency._sweep import sweep_claims

__all__ = [
    "CONCURRENT_COMMITS_MAX",
    "AnswerChange",
    "ClaimRowChange",
    "Claim",
    "ClaimBatcher",
    "ClaimChange",
    "BatchedIdempotencyRegistry",
    "IdempotencyRegistry",
    "Proceed",
    "RecordedAnswer",
    "ReleaseChange",
    "Replay",
    "SweepDone",
    "SweepFenced",
    "SweepInterrupted",
    "UnbatchedIdempotencyRegistry",
    "claim_row_key",
    "commit_batch",
    "decide_claim",
    "digest_request",
    "sweep_claims",
]
