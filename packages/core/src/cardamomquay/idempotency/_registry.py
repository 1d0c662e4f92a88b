"""The shared records of non-repeatable requests, in the table service."""

from __future__ import annotations

import threading
from abc import abstractmethod
from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.idempotency._changes import AbandonChange
from cardamomquay.idempotency._changes import AnswerChange
from cardamomquay.idempotency._changes import ClaimChange
from cardamomquay.idempotency._changes import commit_group
from cardamomquay.idempotency._claims import OnceRegistry
from cardamomquay.idempotency._claims import Proceed
from cardamomquay.idempotency._claims import claim_row_key
from cardamomquay.idempotency._claims import read_answer
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.platform import Unavailable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomquay.idempotency._changes import Change
    from cardamomquay.idempotency._claims import Claim
    from cardamomquay.idempotency._claims import RecordedAnswer
    from cardamomquay.idempotency._claims import Replay
    from cardamomquay.platform import TableService

# Bounds of what a daemon remembers; beyond them the oldest is dropped, which costs
# a read more, or leaves a claim as "outcome unknown".
VERSIONS_MAX = 4096
PENDING_MAX = 1024
PENDING_BATCH = 64
# A claim whose answer was lost may still be written after a read that misses it,
# so this many more looks are taken before it counts as never written.
LATE_COMMIT_CHECKS = 5


class DurableOnceRegistry(OnceRegistry):
    """What registries in the table service share.

    Parameters
    ----------
    tables : TableService
    """

    def __init__(self, tables: TableService) -> None:
        self._tables = tables
        self._memory_lock = threading.Lock()
        self._versions: OrderedDict[str, int] = OrderedDict()
        self._pending: OrderedDict[str, tuple[Claim, int]] = OrderedDict()

    @abstractmethod
    def begin(self, claim: Claim) -> Proceed | Replay | Refusal: ...

    @abstractmethod
    def record(self, claim: Claim, answer: RecordedAnswer) -> bool: ...

    @abstractmethod
    def abandon(self, claim: Claim) -> None: ...

    def outcome(self, organisation: str, key: str) -> RecordedAnswer | Refusal:
        found = self._tables.read((claim_row_key(organisation, key),))
        if isinstance(found, Unavailable):
            return Refusal(RefusalReason.STORE_UNAVAILABLE)
        value = found.rows[0].value
        if value is None:
            return Refusal(RefusalReason.NO_ROUTE, "no request with this key")
        return read_answer(value) or Refusal(RefusalReason.OUTCOME_UNKNOWN)

    def release_pending(self) -> int:
        with self._memory_lock:
            batch = list(self._pending.values())[:PENDING_BATCH]
        changes = [AbandonChange(claim, None) for claim, _ in batch]
        # Two attempts with one idempotency key share a row.
        rows = {change.claim.row_key: change for change in changes}
        commit_group(self._tables, list(rows.values()))
        with self._memory_lock:
            for (claim, checks), change in zip(batch, changes, strict=True):
                if not change.outcome:
                    self._pending.move_to_end(claim.claim_id)
                elif change.row_seen or checks <= 1:
                    self._pending.pop(claim.claim_id, None)
                else:
                    self._pending[claim.claim_id] = (claim, checks - 1)
            return len(self._pending)

    def _settle(self, changes: Sequence[Change[Any]]) -> None:
        """Commit a group and remember what later changes need."""
        try:
            commit_group(self._tables, changes)
        except Exception:
            # Nobody learns these outcomes, so no claim of the group is acted on.
            for change in changes:
                change.outcome = None
            raise
        finally:
            with self._memory_lock:
                for change in changes:
                    self._remember(change)

    def _remember(self, change: Change[Any]) -> None:
        claim_id = change.claim.claim_id
        if isinstance(change, AbandonChange):
            self._versions.pop(claim_id, None)
            if not change.outcome:
                self._add_pending(change.claim, 1)
        elif isinstance(change, AnswerChange):
            self._versions.pop(claim_id, None)
        elif isinstance(change.outcome, Proceed) and change.version is not None:
            self._versions[claim_id] = change.version
            if len(self._versions) > VERSIONS_MAX:
                self._versions.popitem(last=False)
        elif change.doubtful or change.outcome is None:
            self._add_pending(change.claim, LATE_COMMIT_CHECKS)

    def _add_pending(self, claim: Claim, checks: int) -> None:
        self._pending[claim.claim_id] = (claim, checks)
        if len(self._pending) > PENDING_MAX:
            self._pending.popitem(last=False)

    def _known_version(self, claim: Claim) -> int | None:
        with self._memory_lock:
            return self._versions.get(claim.claim_id)


class TableOnceRegistry(DurableOnceRegistry):
    """Writes each claim and each answer as a transaction of its own.

    Parameters
    ----------
    tables : TableService
    """

    def begin(self, claim: Claim) -> Proceed | Replay | Refusal:
        change = ClaimChange(claim)
        self._settle([change])
        return change.outcome or Refusal(RefusalReason.STORE_UNAVAILABLE)

    def record(self, claim: Claim, answer: RecordedAnswer) -> bool:
        change = AnswerChange(claim, answer, self._known_version(claim))
        self._settle([change])
        return bool(change.outcome)

    def abandon(self, claim: Claim) -> None:
        self._settle([AbandonChange(claim, self._known_version(claim))])
