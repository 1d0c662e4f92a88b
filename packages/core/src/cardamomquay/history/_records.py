"""What callers and upstreams record of requests, and what may be wrong with it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendRecord:
    """A request as its caller saw it.

    Parameters
    ----------
    request_id : str
        Unique to this send; a caller's retry has another one.
    organisation : str
    idempotency_key : str or None
        None for a request that may be repeated.
    status : int or None
        HTTP status; None if no answer came.
    not_run : bool
        Whether the answer said that the request has not run.
    from_upstream : bool
        Whether the answer is one of an upstream, not a refusal.
    replayed : bool
        Whether the answer was marked as a recorded one.
    answer_digest : str or None
        Digest of the body that was received.
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
    """A request as the upstream that ran it saw it.

    Parameters
    ----------
    request_id : str
    organisation : str
    upstream : str
    started_s : float
        Start of the run, on one clock for all upstreams, in seconds.
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
    """A record, or a set of records, that breaks a guarantee."""


@dataclass(frozen=True, slots=True)
class RanTwice(Violation):
    """A request that may not be repeated ran more than once (G8)."""

    organisation: str
    idempotency_key: str
    runs: tuple[RunRecord, ...]


@dataclass(frozen=True, slots=True)
class RanAfterAll(Violation):
    """A caller was told "not run", but the request ran (G7)."""

    send: SendRecord
    runs: tuple[RunRecord, ...]


@dataclass(frozen=True, slots=True)
class AnswerWithoutRun(Violation):
    """A caller got an upstream's answer to a request that no upstream ran (G6)."""

    send: SendRecord


@dataclass(frozen=True, slots=True)
class AnswerCut(Violation):
    """A caller got a body that no upstream produced (G6)."""

    send: SendRecord


@dataclass(frozen=True, slots=True)
class AnswerCrossed(Violation):
    """A caller got the answer to another request (G6)."""

    send: SendRecord
    other_request_id: str


@dataclass(frozen=True, slots=True)
class RateExceeded(Violation):
    """More runs started in a window than rate and burst allow (G4).

    Parameters
    ----------
    start_s, end_s : float
        First and last start in the window that exceeds the bound most.
    runs : int
    allowed : float
    """

    start_s: float
    end_s: float
    runs: int
    allowed: float
