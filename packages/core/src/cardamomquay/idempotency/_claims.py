"""Claims of idempotency keys: a non-repeatable request runs at most once."""

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
    """The wish to run a non-repeatable request.

    Parameters
    ----------
    claim_id : str
        Unique to this attempt; tells a lost answer from another host's claim.
    organisation, idempotency_key : str
    request_digest : str
        Digest of method, path and body.
    host, incarnation : str
        Who claims.
    claimed_at_s : float or None
        Wall time of the claim, in seconds since the epoch. Records expire by it,
        so one without it is kept for ever.
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
        """Row that holds the claim."""
        return claim_row_key(self.organisation, self.idempotency_key)


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """An upstream's whole answer.

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
    """The claim is this host's; the request may be sent once."""


@dataclass(frozen=True, slots=True)
class Replay:
    """The request has run; this is its recorded answer."""

    answer: RecordedAnswer


class OnceRegistry(ABC):
    """Records of non-repeatable requests that all hosts share."""

    @abstractmethod
    def begin(self, claim: Claim) -> Proceed | Replay | Refusal:
        """Claim an idempotency key before sending.

        Parameters
        ----------
        claim : Claim

        Returns
        -------
        Proceed, Replay or Refusal
            A refusal for want of the store is true: the claim's request must then
            not be sent, and the claim is released later if it was written.
        """

    @abstractmethod
    def record(self, claim: Claim, answer: RecordedAnswer) -> bool:
        """Record the answer of a claimed request.

        Returns
        -------
        bool
            False if it could not be recorded; a replay then gets
            "outcome unknown".
        """

    @abstractmethod
    def abandon(self, claim: Claim) -> None:
        """Release the claim of a request that has certainly not run.

        A claim that cannot be released now is released by `release_pending`.
        """

    def release_pending(self) -> int:
        """Try again to release claims whose release, or whose writing, is open.

        Returns
        -------
        int
            Claims that are still open.
        """
        return 0

    @abstractmethod
    def outcome(self, organisation: str, key: str) -> RecordedAnswer | Refusal:
        """Return the recorded answer of an idempotency key."""


def claim_row_key(organisation: str, idempotency_key: str) -> RowKey:
    """Return the row of a claim; the key is hashed, as callers choose its text."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return RowKey(CLAIMS_TABLE, f"{organisation}:{digest}")


def digest_request(method: str, path: str, body: bytes) -> str:
    """Return the digest that tells a replay from a reused idempotency key."""
    digest = hashlib.sha256(f"{method} {path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


def claim_value(claim: Claim) -> dict[str, JsonValue]:
    """Return the row value of a fresh claim."""
    return {
        "claim_id": claim.claim_id,
        "request_digest": claim.request_digest,
        "host": claim.host,
        "incarnation": claim.incarnation,
        "claimed_at_s": claim.claimed_at_s,
        "answer": None,
    }


def answered_value(claim: Claim, answer: RecordedAnswer) -> dict[str, JsonValue]:
    """Return the row value of a claim with its answer."""
    if len(answer.body) > RECORDED_BODY_MAX_BYTES:
        digest = hashlib.sha256(answer.body).hexdigest()
        headers = (("X-Body-Sha256", digest),)
        answer = RecordedAnswer(answer.status, headers, b"")
    value = claim_value(claim)
    value["answer"] = {
        "status": answer.status,
        "headers": [list(header) for header in answer.headers],
        "body": base64.b64encode(answer.body).decode("ascii"),
    }
    return value


def read_answer(value: Mapping[str, JsonValue]) -> RecordedAnswer | None:
    """Return the answer that a claim row holds, or None."""
    answer = value.get("answer")
    if not isinstance(answer, dict):
        return None
    headers = tuple((str(name), str(text)) for name, text in answer["headers"])
    return RecordedAnswer(
        int(answer["status"]), headers, base64.b64decode(answer["body"])
    )


def decide_claim(row: Row, claim: Claim) -> Proceed | Replay | Refusal:
    """Decide what a claim row that was found means for a claim.

    Parameters
    ----------
    row : Row
        The row, which may be absent.
    claim : Claim

    Returns
    -------
    Proceed, Replay or Refusal
        Proceed only if the row carries the claim's own id.
    """
    if row.value is None:
        return Refusal(RefusalReason.STORE_UNAVAILABLE, "claim not written")
    if row.value["claim_id"] == claim.claim_id:
        return Proceed()
    if row.value["request_digest"] != claim.request_digest:
        return Refusal(RefusalReason.IDEMPOTENCY_KEY_REUSED)
    answer = read_answer(row.value)
    if answer is None:
        return Refusal(RefusalReason.OUTCOME_UNKNOWN)
    return Replay(answer)
