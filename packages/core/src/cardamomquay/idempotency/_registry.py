"""The shared records of non-repeatable requests, in the table service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomquay.idempotency._claims import OnceRegistry
from cardamomquay.idempotency._claims import Proceed
from cardamomquay.idempotency._claims import answered_value
from cardamomquay.idempotency._claims import claim_row_key
from cardamomquay.idempotency._claims import claim_value
from cardamomquay.idempotency._claims import decide_claim
from cardamomquay.idempotency._claims import read_answer
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.platform import Committed
from cardamomquay.platform import Condition
from cardamomquay.platform import Conflicted
from cardamomquay.platform import Transaction
from cardamomquay.platform import Unavailable
from cardamomquay.platform import Write

if TYPE_CHECKING:
    from cardamomquay.idempotency._claims import Claim
    from cardamomquay.idempotency._claims import RecordedAnswer
    from cardamomquay.idempotency._claims import Replay
    from cardamomquay.platform import TableService


class TableOnceRegistry(OnceRegistry):
    """Writes each claim and each answer as a transaction of its own.

    Parameters
    ----------
    tables : TableService
    """

    def __init__(self, tables: TableService) -> None:
        self._tables = tables

    def begin(self, claim: Claim) -> Proceed | Replay | Refusal:
        outcome = self._tables.transact(
            Transaction(
                (Condition(claim.row_key, 0),),
                (Write(claim.row_key, claim_value(claim)),),
            )
        )
        match outcome:
            case Committed():
                return Proceed()
            case Conflicted(rows=rows):
                return decide_claim(rows[0], claim)
            case Unavailable(may_have_committed=False):
                return Refusal(RefusalReason.STORE_UNAVAILABLE)
            case _:
                return self._settle(claim)

    def record(self, claim: Claim, answer: RecordedAnswer) -> bool:
        return self._replace(claim, Write(claim.row_key, answered_value(claim, answer)))

    def abandon(self, claim: Claim) -> None:
        self._replace(claim, Write(claim.row_key, None))

    def outcome(self, organisation: str, key: str) -> RecordedAnswer | Refusal:
        found = self._tables.read((claim_row_key(organisation, key),))
        if isinstance(found, Unavailable):
            return Refusal(RefusalReason.STORE_UNAVAILABLE)
        value = found.rows[0].value
        if value is None:
            return Refusal(RefusalReason.NO_ROUTE, "no request with this key")
        return read_answer(value) or Refusal(RefusalReason.OUTCOME_UNKNOWN)

    def _settle(self, claim: Claim) -> Proceed | Replay | Refusal:
        """Read the row back after an answer was lost."""
        found = self._tables.read((claim.row_key,))
        if isinstance(found, Unavailable):
            return Refusal(RefusalReason.STORE_UNAVAILABLE)
        return decide_claim(found.rows[0], claim)

    def _replace(self, claim: Claim, write: Write) -> bool:
        found = self._tables.read((claim.row_key,))
        if isinstance(found, Unavailable):
            return False
        row = found.rows[0]
        if row.value is None or row.value["claim_id"] != claim.claim_id:
            return False
        outcome = self._tables.transact(
            Transaction((Condition(claim.row_key, row.version),), (write,))
        )
        return isinstance(outcome, Committed)
