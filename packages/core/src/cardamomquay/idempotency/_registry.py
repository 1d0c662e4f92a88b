"""Idempotency registries that keep claims as rows of the table service."""

from __future__ import annotations

import threading
from abc import abstractmethod
from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.idempotency._changes import AnswerChange
from cardamomquay.idempotency._changes import ClaimChange
from cardamomquay.idempotency._changes import ReleaseChange
from cardamomquay.idempotency._changes import commit_batch
from cardamomquay.idempotency._claims import IdempotencyRegistry
from cardamomquay.idempotency._claims import Proceed
from cardamomquay.idempotency._claims import claim_row_key
from cardamomquay.idempotency._claims import parse_answer
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.platform import Unavailable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomquay.idempotency._changes import ClaimRowChange
    from cardamomquay.idempotency._claims import Claim
    from cardamomquay.idempotency._claims import RecordedAnswer
    from cardamomquay.idempotency._claims import Replay
    from cardamomquay.platform import TableService

# Bounds of the claims kept in memory. Beyond them the oldest is dropped: for a held
# claim this costs one more read, for a pending release the claim stays in the store
# as "outcome unknown".
HELD_CLAIMS_MAX = 4096
PENDING_RELEASES_MAX = 1024
RELEASE_BATCH_CLAIMS = 64
# If the store's answer to the write of a claim was lost, the write may still be applied
# after a read that does not find the claim. This is the number of further reads before
# the claim counts as never written.
LATE_COMMIT_CHECKS = 5


class BaseIdempotencyRegistry(IdempotencyRegistry):
    """Base class of registries that keep claims as rows of the table service.

    Parameters
    ----------
    tables : TableService
    """

    def __init__(self, tables: TableService) -> None:
        self._tables = tables
        self._state_lock = threading.Lock()
        # By claim id: the version of the claim's row, and whether a write of the claim
        # may still be applied because the store's answer to it was lost.
        self._held_claims: OrderedDict[str, tuple[int, bool]] = OrderedDict()
        # By claim id: the claim, and the number of checks still to make.
        self._pending_releases: OrderedDict[str, tuple[Claim, int]] = OrderedDict()

    @abstractmethod
    def try_claim(self, claim: Claim) -> Proceed | Replay | Refusal: ...

    @abstractmethod
    def record_answer(self, claim: Claim, answer: RecordedAnswer) -> bool: ...

    @abstractmethod
    def release(self, claim: Claim) -> None: ...

    def find_answer(
        self, organisation: str, idempotency_key: str
    ) -> RecordedAnswer | Refusal:
        found = self._tables.read((claim_row_key(organisation, idempotency_key),))
        if isinstance(found, Unavailable):
            return Refusal(RefusalReason.STORE_UNAVAILABLE)
        value = found.rows[0].value
        if value is None:
            return Refusal(RefusalReason.NO_ROUTE, "no request with this key")
        return parse_answer(value) or Refusal(RefusalReason.OUTCOME_UNKNOWN)

    def release_pending(self) -> int:
        with self._state_lock:
            batch = list(self._pending_releases.values())[:RELEASE_BATCH_CLAIMS]
        changes = [ReleaseChange(claim, None) for claim, _ in batch]
        # Two claims of one idempotency key share a row, which a transaction can write
        # only once; the other change stays pending.
        changes_by_row = {change.claim.row_key: change for change in changes}
        commit_batch(self._tables, list(changes_by_row.values()))
        with self._state_lock:
            for (claim, checks), change in zip(batch, changes, strict=True):
                if not change.outcome:
                    self._pending_releases.move_to_end(claim.claim_id)
                elif change.claim_found or checks <= 1:
                    self._pending_releases.pop(claim.claim_id, None)
                else:
                    self._pending_releases[claim.claim_id] = (claim, checks - 1)
            return len(self._pending_releases)

    def _commit_changes(self, changes: Sequence[ClaimRowChange[Any]]) -> None:
        """Commit a batch and update the held claims and the pending releases."""
        try:
            commit_batch(self._tables, changes)
        except Exception:
            # Callers get the exception and no outcome, so no request is sent for a
            # claim of the batch; `_track` adds these claims to the pending releases.
            for change in changes:
                change.outcome = None
            raise
        finally:
            with self._state_lock:
                for change in changes:
                    self._track(change)

    def _track(self, change: ClaimRowChange[Any]) -> None:
        """Update the held claims and the pending releases after a change.

        The caller holds `_state_lock`.
        """
        claim_id = change.claim.claim_id
        if isinstance(change, ReleaseChange):
            _, in_doubt = self._held_claims.pop(claim_id, (0, False))
            if in_doubt or not change.outcome:
                checks = LATE_COMMIT_CHECKS if in_doubt else 1
                self._add_pending_release(change.claim, checks)
        elif isinstance(change, AnswerChange):
            self._held_claims.pop(claim_id, None)
        elif isinstance(change.outcome, Proceed) and change.version is not None:
            self._held_claims[claim_id] = (change.version, change.in_doubt)
            if len(self._held_claims) > HELD_CLAIMS_MAX:
                self._held_claims.popitem(last=False)
        elif change.in_doubt or change.outcome is None:
            self._add_pending_release(change.claim, LATE_COMMIT_CHECKS)

    def _add_pending_release(self, claim: Claim, checks: int) -> None:
        self._pending_releases[claim.claim_id] = (claim, checks)
        if len(self._pending_releases) > PENDING_RELEASES_MAX:
            self._pending_releases.popitem(last=False)

    def _known_version(self, claim: Claim) -> int | None:
        with self._state_lock:
            version, _ = self._held_claims.get(claim.claim_id, (None, False))
            return version


class UnbatchedIdempotencyRegistry(BaseIdempotencyRegistry):
    """Commits each claim and each answer in its own transaction.

    Parameters
    ----------
    tables : TableService
    """

    def try_claim(self, claim: Claim) -> Proceed | Replay | Refusal:
        change = ClaimChange(claim)
        self._commit_changes([change])
        return change.outcome or Refusal(RefusalReason.STORE_UNAVAILABLE)

    def record_answer(self, claim: Claim, answer: RecordedAnswer) -> bool:
        change = AnswerChange(claim, answer, self._known_version(claim))
        self._commit_changes([change])
        return bool(change.outcome)

    def release(self, claim: Claim) -> None:
        self._commit_changes([ReleaseChange(claim, self._known_version(claim))])
