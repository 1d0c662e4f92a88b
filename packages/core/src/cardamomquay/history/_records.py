"""Records of requests by callers and upstreams, and violations found in them.

G4, G6, G7 and G8 are the numbers of the violated guarantees on the design page.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendRecord:
    """One request as recorded by its caller.

    Parameters
    ----------
    request_id : str
        Unique per attempt; a retry by the caller has a new id.
    organisation : str
    idempotency_key : str or None
        None for a request that is safe to repeat.
    status : int or None
        HTTP status; None if no answer arrived.
    not_run : bool
        Whether the answer stated that the request was not run.
    from_upstream : bool
        Whether the answer came from an upstream rather than being a refusal.
    replayed : bool
        Whether the answer was marked as replayed from an earlier run.
    answer_digest : str or None
        Digest of the received body.
    """

    request_id: str
    organisation: str
    idempotency_key: str | None = None
    status: int | None = None
    not_run: bool = False
    from_upstream: bool = False
    replayed: bool = False
    answer_digest: str | None = None


@dataclass(frozen=True, slots=True)
class RunRecord:
    """One run of a request as recorded by the upstream.

    Parameters
    ----------
    request_id : str
    organisation : str
    upstream : str
    started_s : float
        Start of the run in seconds, on a clock that all upstreams share.
    idempotency_key : str or None
    answer_digest : str or None
        Digest of the body that the upstream produced.
    """

    request_id: str
    organisation: str
    upstream: str
    started_s: float
    idempotency_key: str | None = None
    answer_digest: str | None = None


@dataclass(frozen=True, slots=True)
class Violation:
    """One or more records that break a guarantee."""


@dataclass(frozen=True, slots=True)
class RanTwice(Violation):
    """A request with an idempotency key ran more than once (G8)."""

    organisation: str
    idempotency_key: str
    runs: tuple[RunRecord, ...]


@dataclass(frozen=True, slots=True)
class RanDespiteNotRun(Violation):
    """A request ran although its answer stated "not run" (G7)."""

    send: SendRecord
    runs: tuple[RunRecord, ...]


@dataclass(frozen=True, slots=True)
class AnswerWithoutRun(Violation):
    """A caller received an upstream answer to a request that never ran (G6)."""

    send: SendRecord


@dataclass(frozen=True, slots=True)
class AnswerUnmatched(Violation):
    """A caller received a body that differs from every upstream answer (G6)."""

    send: SendRecord


@dataclass(frozen=True, slots=True)
class AnswerMisdelivered(Violation):
    """A caller received the answer to another request (G6)."""

    send: SendRecord
    other_request_id: str


@dataclass(frozen=True, slots=True)
class RateExceeded(Violation):
    """More runs started in a time window than rate and burst allow (G4).

    Parameters
    ----------
    start_s, end_s : float
        First and last start of a run in the window that exceeds the limit most.
    runs : int
        Runs in the window.
    allowed : float
        Runs that rate and burst allow in the window.
    """

    start_s: float
    end_s: float
    runs: int
    allowed: float
