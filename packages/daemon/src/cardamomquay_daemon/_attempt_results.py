"""Converts results of attempts to observations of upstreams and to refusals."""

from __future__ import annotations

from cardamomquay.balancing import Observation
from cardamomquay.balancing import ObservedResult
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.outcomes import RetryReason
from cardamomquay_daemon._upstream_client import UpstreamAnswer
from cardamomquay_daemon._upstream_client import UpstreamFailure

MIN_FAILED_STATUS = 500
# Results that a version move counts for the pool of the attempt. Not counted are
# attempts that the upstream shed, and those that this host refused before it called
# the upstream (`NOT_SENT`). An attempt whose upstream received nothing is counted.
RESULTS_COUNTED_FOR_MOVES = frozenset(
    {
        ObservedResult.ANSWERED,
        ObservedResult.FAILED,
        ObservedResult.TIMED_OUT,
        ObservedResult.UNREACHABLE,
    }
)


def answer_size_bytes(answer: UpstreamAnswer) -> int:
    """Return the size of headers and body, as charged to traffic budgets."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers


def observation_of(result: UpstreamAnswer | UpstreamFailure) -> Observation:
    """Return what an attempt has shown about its upstream."""
    if isinstance(result, UpstreamAnswer):
        failed = result.status >= MIN_FAILED_STATUS
        kind = ObservedResult.FAILED if failed else ObservedResult.ANSWERED
        return Observation(kind, result.latency_s)
    kinds = {
        RetryReason.CONNECTION_REFUSED: ObservedResult.UNREACHABLE,
        RetryReason.NOTHING_SENT: ObservedResult.UNREACHABLE,
        RetryReason.SHED_NOT_RUN: ObservedResult.SHED,
        RetryReason.TIMEOUT_AFTER_SENDING: ObservedResult.TIMED_OUT,
    }
    kind = kinds.get(result.reason, ObservedResult.FAILED)
    return Observation(kind, result.latency_s)


def refusal_of(failure: UpstreamFailure) -> Refusal:
    """Return the refusal that a caller receives after a failed attempt."""
    if failure.cut:
        return Refusal(RefusalReason.ANSWER_CUT)
    match failure.reason:
        case RetryReason.CONNECTION_REFUSED | RetryReason.NOTHING_SENT:
            return Refusal(RefusalReason.UPSTREAM_UNREACHABLE)
        case RetryReason.SHED_NOT_RUN:
            return Refusal(RefusalReason.POOL_BUSY, "upstreams shed load")
        case RetryReason.TIMEOUT_AFTER_SENDING:
            return Refusal(RefusalReason.UPSTREAM_TIMEOUT)
        case _:
            return Refusal(RefusalReason.UPSTREAM_FAILED)
