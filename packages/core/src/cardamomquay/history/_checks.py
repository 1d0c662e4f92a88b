"""Checks of a history of concurrent requests."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from cardamomquay.history._records import AnswerCrossed
from cardamomquay.history._records import AnswerCut
from cardamomquay.history._records import AnswerWithoutRun
from cardamomquay.history._records import RanAfterAll
from cardamomquay.history._records import RanTwice
from cardamomquay.history._records import RateExceeded
from cardamomquay.history._records import Violation

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomquay.history._records import RunRecord
    from cardamomquay.history._records import SendRecord

# Absorbs the rounding of rate x time, far below one run.
ROUNDING_RUNS = 1e-6


def check_at_most_once(runs: Sequence[RunRecord]) -> tuple[RanTwice, ...]:
    """Find idempotency keys whose request ran more than once.

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
        RanTwice(organisation, key, tuple(found))
        for (organisation, key), found in by_key.items()
        if len(found) > 1
    )


def check_not_run_is_true(
    sends: Sequence[SendRecord], runs: Sequence[RunRecord]
) -> tuple[RanAfterAll, ...]:
    """Find sends answered "not run" that ran.

    Parameters
    ----------
    sends : sequence of SendRecord
    runs : sequence of RunRecord
        All runs, also those after the answer.

    Returns
    -------
    tuple of RanAfterAll
    """
    by_request = _by_request(runs)
    return tuple(
        RanAfterAll(send, tuple(by_request[send.request_id]))
        for send in sends
        if send.not_run and send.request_id in by_request
    )


def check_whole_answers(
    sends: Sequence[SendRecord], runs: Sequence[RunRecord]
) -> tuple[Violation, ...]:
    """Find upstream answers that are not the whole answer to the own request.

    A replayed answer has to be that of a run with the same idempotency key.

    Parameters
    ----------
    sends : sequence of SendRecord
    runs : sequence of RunRecord
        The answers of different requests have different digests.

    Returns
    -------
    tuple of AnswerWithoutRun, AnswerCut or AnswerCrossed
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
        own = by_request.get(send.request_id, [])
        if send.replayed and send.idempotency_key is not None:
            own = by_key.get((send.organisation, send.idempotency_key), [])
        if any(run.answer_digest == send.answer_digest for run in own):
            continue
        other = by_digest.get(send.answer_digest)
        if other is not None:
            violations.append(AnswerCrossed(send, other.request_id))
        elif own:
            violations.append(AnswerCut(send))
        else:
            violations.append(AnswerWithoutRun(send))
    return tuple(violations)


def check_rate_bound(
    runs: Sequence[RunRecord], rate_per_s: float, burst: float
) -> tuple[RateExceeded, ...]:
    """Find the window in which runs exceed rate x time + burst most.

    Parameters
    ----------
    runs : sequence of RunRecord
        Runs of one organisation.
    rate_per_s, burst : float

    Returns
    -------
    tuple of RateExceeded
        Empty, or the worst window.
    """
    starts = sorted(run.started_s for run in runs)
    worst: RateExceeded | None = None
    worst_excess = ROUNDING_RUNS
    # A window over runs first..last holds last - first + 1 runs. For each last, the
    # worst first is the one with the greatest rate x start - index.
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
