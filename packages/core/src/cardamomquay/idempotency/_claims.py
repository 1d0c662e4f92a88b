"""Claims of idempotency keys, so that non-repeatable requests run at most once."""

from __future__ import annotations

import base64
import hashlib
from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cardamomquay.platform import JsonValue

CLAIMS_TABLE = "claims"
RECORDED_BODY_MAX_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Claim:
    """A host's claim to run a non-repeatable request.

    Parameters
    ----------
    claim_id : str
        Unique id of this attempt to claim the key. If the store's answer to the write
        was lost, it shows whether the stored claim is this one or another.
    organisation, idempotency_key : str
    request_digest : str
        Digest of method, path and body.
    host, incarnation : str
        The claiming host, and the id of the run of its daemon.
    claimed_at_s : float or None
        Wall-clock time of the claim, in seconds since the epoch. The age of its row
        is counted from this time; a row without it never expires.
    """

    claim_id: str
    organisation: str
    idempotency_key: str
    request_digest: str
    host: str
    incarnation: str
    claimed_at_s: float | None = None

    @property
    def row_key(self) -> RowKey:
        """Key of the row that holds the claim."""
        return claim_row_key(self.organisation, self.idempotency_key)


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """A complete answer of an upstream.

    Parameters
    ----------
    status : int
    headers : tuple of (str, str)
    body : bytes
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Proceed:
    """The claim is held by this host; the request may be sent once."""


@dataclass(frozen=True, slots=True)
class Replay:
    """The request has run before; holds the recorded answer."""

    answer: RecordedAnswer


class IdempotencyRegistry(ABC):
    """Claims and answers of non-repeatable requests, shared by all hosts."""

    @abstractmethod
    def try_claim(self, claim: Claim) -> Proceed | Replay | Refusal:
        """Claim an idempotency key before the request is sent.

        Parameters
        ----------
        claim : Claim

        Returns
        -------
        Proceed, Replay or Refusal
            If the store is unavailable, the request is refused as not run. It must
            then not be sent; the claim is released later if it was written.
        """

    @abstractmethod
    def record_answer(self, claim: Claim, answer: RecordedAnswer) -> bool:
        """Record the answer to a claimed request.

        Returns
        -------
        bool
            False if it could not be recorded; a later request with the same key is
            then refused with "outcome unknown".
        """

    @abstractmethod
    def release(self, claim: Claim) -> None:
        """Release the claim of a request that is known not to have run.

        If this fails, `release_pending` tries again.
        """

    def release_pending(self) -> int:
        """Retry failed releases, and release unused claims that may have been written.

        Returns
        -------
        int
            Number of claims still to be released.
        """
        return 0

    @abstractmethod
    def find_answer(
        self, organisation: str, idempotency_key: str
    ) -> RecordedAnswer | Refusal:
        """Return the recorded answer for an idempotency key, or a refusal."""


def claim_row_key(organisation: str, idempotency_key: str) -> RowKey:
    """Return the key of a claim row.

    The idempotency key is hashed because callers choose its text.
    """
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return RowKey(CLAIMS_TABLE, f"{organisation}:{digest}")


def digest_request(method: str, path: str, body: bytes) -> str:
    """Return the digest that shows whether a key was used for another request."""
    digest = hashlib.sha256(f"{method} {path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


def claim_row_value(claim: Claim) -> dict[str, JsonValue]:
    """Return the row value of a claim without an answer."""
    return {
        "claim_id": claim.claim_id,
        "request_digest": claim.request_digest,
        "host": claim.host,
        "incarnation": claim.incarnation,
        "claimed_at_s": claim.claimed_at_s,
        "answer": None,
    }


def answer_row_value(claim: Claim, answer: RecordedAnswer) -> dict[str, JsonValue]:
    """Return the row value of a claim with its answer.

    If the body exceeds `RECORDED_BODY_MAX_BYTES`, the recorded answer has no body, and
    its only header is ``X-Body-Sha256`` with the body's digest.
    """
    if len(answer.body) > RECORDED_BODY_MAX_BYTES:
        digest = hashlib.sha256(answer.body).hexdigest()
        headers = (("X-Body-Sha256", digest),)
        answer = RecordedAnswer(answer.status, headers, b"")
    value = claim_row_value(claim)
    value["answer"] = {
        "status": answer.status,
        "headers": [list(header) for header in answer.headers],
        "body": base64.b64encode(answer.body).decode("ascii"),
    }
    return value


def parse_answer(value: Mapping[str, JsonValue]) -> RecordedAnswer | None:
    """Return the answer stored in a claim row, or None."""
    answer = value.get("answer")
    if not isinstance(answer, dict):
        return None
    headers = tuple((str(name), str(text)) for name, text in answer["headers"])
    return RecordedAnswer(
        int(answer["status"]), headers, base64.b64decode(answer["body"])
    )


def decide_claim(row: Row, claim: Claim) -> Proceed | Replay | Refusal:
    """Return the outcome of a claim, given the current row of its key.

    Parameters
    ----------
    row : Row
        The row, which may not exist.
    claim : Claim

    Returns
    -------
    Proceed, Replay or Refusal
        Proceed only if the row has the id of the claim.
    """
    if row.value is None:
        return Refusal(RefusalReason.STORE_UNAVAILABLE, "claim not written")
    if row.value["claim_id"] == claim.claim_id:
        return Proceed()
    if row.value["request_digest"] != claim.request_digest:
        return Refusal(RefusalReason.IDEMPOTENCY_KEY_REUSED)
    answer = parse_answer(row.value)
    if answer is None:
        return Refusal(RefusalReason.OUTCOME_UNKNOWN)
    return Replay(answer)
