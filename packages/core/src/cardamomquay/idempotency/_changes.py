"""Changes of claim rows, and their commit in groups."""

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
from cardamomquay.idempotency._claims import answered_value
from cardamomquay.idempotency._claims import claim_value
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

# A round settles every row that conflicts, so more than two are needed only when
# answers are lost again and again.
COMMIT_ROUNDS = 4


class Change(ABC, Generic[T]):
    """A change of one claim row.

    Parameters
    ----------
    claim : Claim
    version : int or None
        Version that the row has to have; None if the row must be read first.

    Attributes
    ----------
    outcome : object or None
        Set once the change is settled.
    doubtful : bool
        Whether a write of it may take effect although its answer was lost.
    future : concurrent.futures.Future
        For who waits for the outcome.
    size_bytes : int
        Approximate size of the value.
    """

    size_bytes = 512

    def __init__(self, claim: Claim, version: int | None) -> None:
        self.claim = claim
        self.version = version
        self.outcome: T | None = None
        self.doubtful = False
        self.future: Future[T] = Future()

    @property
    @abstractmethod
    def value(self) -> Mapping[str, JsonValue] | None:
        """Value to write; None deletes the row."""

    @abstractmethod
    def apply_commit(self, revision: int) -> None:
        """Settle the change: it has been committed."""

    @abstractmethod
    def apply_row(self, row: Row) -> None:
        """Settle the change by the row found, or set the version to try with."""

    @abstractmethod
    def fail(self) -> None:
        """Settle the change: the store gave no usable answer."""


class ClaimChange(Change[ClaimOutcome]):
    """Writes a claim where there is none."""

    def __init__(self, claim: Claim) -> None:
        super().__init__(claim, 0)

    @property
    def value(self) -> Mapping[str, JsonValue]:
        return claim_value(self.claim)

    def apply_commit(self, revision: int) -> None:
        self.version = revision
        self.outcome = Proceed()

    def apply_row(self, row: Row) -> None:
        self.version = row.version
        if row.value is not None:
            self.outcome = decide_claim(row, self.claim)

    def fail(self) -> None:
        self.outcome = Refusal(RefusalReason.STORE_UNAVAILABLE)


class AnswerChange(Change[bool]):
    """Adds the answer to the own claim."""

    def __init__(
        self, claim: Claim, answer: RecordedAnswer, version: int | None
    ) -> None:
        super().__init__(claim, version)
        self._value = answered_value(claim, answer)
        # The body is kept in base64.
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


class AbandonChange(Change[bool]):
    """Deletes the own claim as long as it has no answer."""

    # Whether the own row was seen, or its deletion committed.
    row_seen = False

    @property
    def value(self) -> None:
        return None

    def apply_commit(self, revision: int) -> None:
        self.row_seen = True
        self.outcome = True

    def apply_row(self, row: Row) -> None:
        self.version = row.version
        if row.value is None or row.value["claim_id"] != self.claim.claim_id:
            self.outcome = True
            return
        self.row_seen = True
        if row.value["answer"] is not None:
            self.outcome = True

    def fail(self) -> None:
        self.outcome = False


def commit_group(tables: TableService, changes: Sequence[Change[Any]]) -> None:
    """Settle changes of different rows, in one transaction where possible.

    A change whose condition fails is settled by the row found, and the others are
    committed without it. After a lost answer all rows are read back. A claim that
    is written twice for that reason carries the same claim id both times, so
    whichever write takes effect first makes the later one conflict.

    Parameters
    ----------
    tables : TableService
    changes : sequence of Change
        Changes of different rows; each has an outcome afterwards.
    """
    for number in range(COMMIT_ROUNDS + 1):
        _read_rows(tables, [c for c in changes if c.outcome is None])
        waiting = [c for c in changes if c.outcome is None]
        if not waiting or number == COMMIT_ROUNDS:
            break
        _commit_once(tables, waiting)
    for change in changes:
        if change.outcome is None:
            change.fail()


def _read_rows(tables: TableService, changes: Sequence[Change[Any]]) -> None:
    unread = [change for change in changes if change.version is None]
    if not unread:
        return
    found = tables.read([change.claim.row_key for change in unread])
    if isinstance(found, Unavailable):
        for change in unread:
            change.fail()
        return
    for change, row in zip(unread, found.rows, strict=True):
        change.apply_row(row)


def _commit_once(tables: TableService, changes: Sequence[Change[Any]]) -> None:
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
            found = {row.key: row for row in rows}
            for change in changes:
                if change.claim.row_key in found:
                    change.apply_row(found[change.claim.row_key])
        case Unavailable(may_have_committed=True):
            for change in changes:
                change.doubtful = True
                change.version = None
        case _:
            for change in changes:
                change.fail()
