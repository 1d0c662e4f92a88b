"""Changes to claim rows, and their commit in batches."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from concurrent.futures import Future
from typing import TYPE_CHECKING
from typing import Any
from typing import Generic
from typing import TypeVar

from cardamomquay.idempotency._claims import RECORDED_BODY_MAX_BYTES
from cardamomquay.idempotency._claims import Proceed
from cardamomquay.idempotency._claims import Replay
from cardamomquay.idempotency._claims import answer_row_value
from cardamomquay.idempotency._claims import claim_row_value
from cardamomquay.idempotency._claims import decide_claim
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.platform import Committed
from cardamomquay.platform import Condition
from cardamomquay.platform import Conflicted
from cardamomquay.platform import Transaction
from cardamomquay.platform import Unavailable
from cardamomquay.platform import Write

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomquay.idempotency._claims import Claim
    from cardamomquay.idempotency._claims import RecordedAnswer
    from cardamomquay.platform import JsonValue
    from cardamomquay.platform import Row
    from cardamomquay.platform import TableService

T = TypeVar("T")
ClaimOutcome = Proceed | Replay | Refusal

# Each attempt resolves every conflicting row, so more than two are needed only if the
# store's answers are lost repeatedly.
COMMIT_ATTEMPTS_MAX = 4


class ClaimRowChange(ABC, Generic[T]):
    """A change to one claim row.

    Parameters
    ----------
    claim : Claim
    version : int or None
        Version that the row must have; None if it must be read first.

    Attributes
    ----------
    outcome : object or None
        Result of the change; None until it is resolved.
    in_doubt : bool
        Whether a write may still be applied because the store's answer to it was lost.
    future : concurrent.futures.Future
        Completed with the outcome by a batched registry.
    size_bytes : int
        Approximate size of the row value, of which 512 bytes stand for everything
        but the body of an answer.
    """

    size_bytes = 512

    def __init__(self, claim: Claim, version: int | None) -> None:
        self.claim = claim
        self.version = version
        self.outcome: T | None = None
        self.in_doubt = False
        self.future: Future[T] = Future()

    @property
    @abstractmethod
    def value(self) -> Mapping[str, JsonValue] | None:
        """Row value to write; None deletes the row."""

    @abstractmethod
    def apply_commit(self, revision: int) -> None:
        """Resolve the change after it has been committed."""

    @abstractmethod
    def apply_row(self, row: Row) -> None:
        """Resolve the change by the current row, or set its version for a retry."""

    @abstractmethod
    def fail(self) -> None:
        """Resolve the change as failed.

        The store returned no usable answer, or the change was not queued.
        """


class ClaimChange(ClaimRowChange[ClaimOutcome]):
    """Inserts a claim if its row does not exist."""

    def __init__(self, claim: Claim) -> None:
        super().__init__(claim, 0)

    @property
    def value(self) -> Mapping[str, JsonValue]:
        return claim_row_value(self.claim)

    def apply_commit(self, revision: int) -> None:
        self.version = revision
        self.outcome = Proceed()

    def apply_row(self, row: Row) -> None:
        self.version = row.version
        if row.value is not None:
            self.outcome = decide_claim(row, self.claim)

    def fail(self) -> None:
        self.outcome = Refusal(RefusalReason.STORE_UNAVAILABLE)


class AnswerChange(ClaimRowChange[bool]):
    """Adds the answer to a claim of this host."""

    def __init__(
        self, claim: Claim, answer: RecordedAnswer, version: int | None
    ) -> None:
        super().__init__(claim, version)
        self._value = answer_row_value(claim, answer)
        # The body is stored in base64.
        self.size_bytes += min(len(answer.body), RECORDED_BODY_MAX_BYTES) * 4 // 3

    @property
    def value(self) -> Mapping[str, JsonValue]:
        return self._value

    def apply_commit(self, revision: int) -> None:
        self.outcome = True

    def apply_row(self, row: Row) -> None:
        self.version = row.version
        if row.value is None or row.value["claim_id"] != self.claim.claim_id:
            self.outcome = False
        elif row.value["answer"] is not None:
            self.outcome = row.value["answer"] == self._value["answer"]

    def fail(self) -> None:
        self.outcome = False


class ReleaseChange(ClaimRowChange[bool]):
    """Deletes a claim of this host unless it has an answer."""

    # Whether a read found the claim in its row, or its deletion was committed.
    claim_found = False

    @property
    def value(self) -> None:
        return None

    def apply_commit(self, revision: int) -> None:
        self.claim_found = True
        self.outcome = True

    def apply_row(self, row: Row) -> None:
        self.version = row.version
        if row.value is None or row.value["claim_id"] != self.claim.claim_id:
            self.outcome = True
            return
        self.claim_found = True
        if row.value["answer"] is not None:
            self.outcome = True

    def fail(self) -> None:
        self.outcome = False


def commit_batch(tables: TableService, changes: Sequence[ClaimRowChange[Any]]) -> None:
    """Resolve changes to different rows, in one transaction where possible.

    A change whose condition fails is resolved by the current row, and the others
    are committed without it. If the store's answer to a transaction is lost, all its
    rows are read back. If a claim is then written again, both writes carry the same
    claim id, and the one that is applied first makes the other conflict.

    Parameters
    ----------
    tables : TableService
    changes : sequence of ClaimRowChange
        Changes to different rows; each has an outcome on return.
    """
    # The last pass commits nothing; it reads rows back if the last answer was lost.
    for attempt in range(COMMIT_ATTEMPTS_MAX + 1):
        _read_unknown_versions(tables, [c for c in changes if c.outcome is None])
        unresolved = [c for c in changes if c.outcome is None]
        if not unresolved or attempt == COMMIT_ATTEMPTS_MAX:
            break
        _commit_once(tables, unresolved)
    for change in changes:
        if change.outcome is None:
            change.fail()


def _read_unknown_versions(
    tables: TableService, changes: Sequence[ClaimRowChange[Any]]
) -> None:
    unknown = [change for change in changes if change.version is None]
    if not unknown:
        return
    rows_read = tables.read([change.claim.row_key for change in unknown])
    if isinstance(rows_read, Unavailable):
        for change in unknown:
            change.fail()
        return
    for change, row in zip(unknown, rows_read.rows, strict=True):
        change.apply_row(row)


def _commit_once(tables: TableService, changes: Sequence[ClaimRowChange[Any]]) -> None:
    result = tables.transact(
        Transaction(
            tuple(Condition(c.claim.row_key, c.version or 0) for c in changes),
            tuple(Write(c.claim.row_key, c.value) for c in changes),
        )
    )
    match result:
        case Committed(revision=revision):
            for change in changes:
                change.apply_commit(revision)
        case Conflicted(rows=rows):
            rows_read = {row.key: row for row in rows}
            for change in changes:
                if change.claim.row_key in rows_read:
                    change.apply_row(rows_read[change.claim.row_key])
        case Unavailable(may_have_committed=True):
            for change in changes:
                change.in_doubt = True
                change.version = None
        case _:
            for change in changes:
                change.fail()
