"""Checks whether the relay kept its guarantees, from records of concurrent requests.

G4, G6, G7 and G8 are the numbers of the guarantees on the design page.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from cardamomquay.history._records import AnswerMisdelivered
from cardamomquay.history._records import AnswerUnmatched
from cardamomquay.history._records import AnswerWithoutRun
from cardamomquay.history._records import RanDespiteNotRun
from cardamomquay.history._records import RanTwice
from cardamomquay.history._records import RateExceeded
from cardamomquay.history._records import Violation

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomquay.history._records import RunRecord
    from cardamomquay.history._records import SendRecord

# Absorbs rounding errors of rate * time; far below one run.
ROUNDING_TOLERANCE_RUNS = 1e-6


def check_at_most_once(runs: Sequence[RunRecord]) -> tuple[RanTwice, ...]:
    """Find idempotency keys whose request ran more than once (G8).

    Parameters
    ----------
    runs : sequence of RunRecord

    Returns
    -------
    tuple of RanTwice
    """
    by_key: defaultdict[tuple[str, str], list[RunRecord]] = defaultdict(list)
    for run in runs:
        if run.idempotency_key is not None:
            by_key[run.organisation, run.idempotency_key].append(run)
    return tuple(
        RanTwice(organisation, key, tuple(key_runs))
        for (organisation, key), key_runs in by_key.items()
        if len(key_runs) > 1
    )


def check_not_run_answers(
    sends: Sequence[SendRecord], runs: Sequence[RunRecord]
) -> tuple[RanDespiteNotRun, ...]:
    """Find requests that ran although the answer stated "not run" (G7).

    Parameters
    ----------
    sends : sequence of SendRecord
    runs : sequence of RunRecord
        All runs, including those that started after the answer.

    Returns
    -------
    tuple of RanDespiteNotRun
    """
    by_request = _by_request(runs)
    return tuple(
        RanDespiteNotRun(send, tuple(by_request[send.request_id]))
        for send in sends
        if send.not_run and send.request_id in by_request
    )


def check_answer_integrity(
    sends: Sequence[SendRecord], runs: Sequence[RunRecord]
) -> tuple[Violation, ...]:
    """Find upstream answers that are incomplete or belong to another request (G6).

    A replayed answer must be the answer of a run with the same idempotency key.

    Parameters
    ----------
    sends : sequence of SendRecord
    runs : sequence of RunRecord
        Answers to different requests must have different digests.

    Returns
    -------
    tuple of AnswerWithoutRun, AnswerUnmatched or AnswerMisdelivered
    """
    by_request = _by_request(runs)
    by_key: defaultdict[tuple[str, str | None], list[RunRecord]] = defaultdict(list)
    by_digest: dict[str | None, RunRecord] = {}
    for run in runs:
        by_key[run.organisation, run.idempotency_key].append(run)
        by_digest.setdefault(run.answer_digest, run)
    violations: list[Violation] = []
    for send in sends:
        if not send.from_upstream:
            continue
        expected_runs = by_request.get(send.request_id, [])
        if send.replayed and send.idempotency_key is not None:
            expected_runs = by_key.get((send.organisation, send.idempotency_key), [])
        if any(run.answer_digest == send.answer_digest for run in expected_runs):
            continue
        other = by_digest.get(send.answer_digest)
        if other is not None:
            violations.append(AnswerMisdelivered(send, other.request_id))
        elif expected_runs:
            violations.append(AnswerUnmatched(send))
        else:
            violations.append(AnswerWithoutRun(send))
    return tuple(violations)


def check_rate_bound(
    runs: Sequence[RunRecord], rate_per_s: float, burst: float
) -> tuple[RateExceeded, ...]:
    """Find the window that exceeds rate * time + burst by the most runs (G4).

    Parameters
    ----------
    runs : sequence of RunRecord
        Runs of one organisation.
    rate_per_s, burst : float
        The organisation's limit.

    Returns
    -------
    tuple of RateExceeded
        The worst window, or empty if every window is within the limit.
    """
    starts = sorted(run.started_s for run in runs)
    worst: RateExceeded | None = None
    worst_excess = ROUNDING_TOLERANCE_RUNS
    # The window from run `first` to run `last` holds last - first + 1 runs. For each
    # `last`, the excess is largest for the `first` that maximises
    # rate * start time - index.
    first = 0
    for last, end_s in enumerate(starts):
        if rate_per_s * end_s - last > rate_per_s * starts[first] - first:
            first = last
        count = last - first + 1
        allowed = rate_per_s * (end_s - starts[first]) + burst
        if count - allowed > worst_excess:
            worst_excess = count - allowed
            worst = RateExceeded(starts[first], end_s, count, allowed)
    return () if worst is None else (worst,)


def _by_request(runs: Sequence[RunRecord]) -> dict[str, list[RunRecord]]:
    by_request: defaultdict[str, list[RunRecord]] = defaultdict(list)
    for run in runs:
        by_request[run.request_id].append(run)
    return dict(by_request)
