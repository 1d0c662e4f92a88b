"""Descriptions of each refusal and retry reason, shown in the documentation."""

from __future__ import annotations

from cardamomquay.outcomes._refusals import RefusalReason
from cardamomquay.outcomes._refusals import RetryReason

REFUSAL_MEANINGS: dict[RefusalReason, str] = {
    RefusalReason.NOT_READY: "The daemon has no configuration yet.",
    RefusalReason.CONFIGURATION_STALE: (
        "The daemon cannot prove that its configuration is current."
    ),
    RefusalReason.NO_ROUTE: "No route has a prefix of the path.",
    RefusalReason.METHOD_NOT_ALLOWED: (
        "The route, or the daemon, does not take the method."
    ),
    RefusalReason.BAD_REQUEST: (
        "The request is malformed or ambiguous; the detail says how."
    ),
    RefusalReason.BODY_TOO_LARGE: "The body exceeds limits.body_bytes.",
    RefusalReason.HEADERS_TOO_LARGE: (
        "The request line and headers exceed limits.header_bytes."
    ),
    RefusalReason.TARGET_TOO_LONG: (
        "The request line alone exceeds limits.header_bytes."
    ),
    RefusalReason.REQUEST_TIMEOUT: (
        "The request arrived too slowly; see limits.idle_timeout_s."
    ),
    RefusalReason.NOT_IMPLEMENTED: "The transfer coding is not known.",
    RefusalReason.VERSION_NOT_SUPPORTED: (
        "The protocol version is not HTTP/1.0 or HTTP/1.1."
    ),
    RefusalReason.INTERNAL_ERROR: (
        "An unexpected error occurred in the daemon; the request may have run."
    ),
    RefusalReason.KEY_MISSING: (
        "The route is not open to all and the request has no key."
    ),
    RefusalReason.KEY_REJECTED: "The key is unknown, withdrawn or wrong.",
    RefusalReason.ORGANISATION_NOT_ALLOWED: "The organisation may not use the route.",
    RefusalReason.LIMIT_EXCEEDED: "The organisation's rate and burst are used up.",
    RefusalReason.QUOTA_UNAVAILABLE: "No quota could be borrowed for the organisation.",
    RefusalReason.POOL_BUSY: (
        "No upstream of the pool has a free slot, or all shed load."
    ),
    RefusalReason.POOL_EMPTY: "The pool has no upstream that takes work.",
    RefusalReason.REGION_FULL: "The regions that could serve the request are full.",
    RefusalReason.LINK_FULL: "The links to other regions are full.",
    RefusalReason.DEADLINE_PASSED: "The request's deadline passed before it was sent.",
    RefusalReason.IDEMPOTENCY_KEY_MISSING: (
        "The route is not repeatable and the request has no Idempotency-Key."
    ),
    RefusalReason.IDEMPOTENCY_KEY_REUSED: (
        "The Idempotency-Key came with another request before."
    ),
    RefusalReason.STORE_UNAVAILABLE: (
        "The table service is down, so nothing can run at most once."
    ),
    RefusalReason.OUTCOME_UNKNOWN: (
        "The request was claimed before and has no recorded outcome."
    ),
    RefusalReason.UPSTREAM_FAILED: (
        "The upstream failed after it may have run the request."
    ),
    RefusalReason.UPSTREAM_TIMEOUT: "The upstream did not answer before the deadline.",
    RefusalReason.UPSTREAM_UNREACHABLE: "No upstream could be reached.",
    RefusalReason.ANSWER_CUT: "The upstream's answer began and did not end.",
    RefusalReason.STOPPING: "The daemon is stopping.",
    RefusalReason.REQUEST_QUARANTINED: (
        "Upstreams ended each time they ran the same request of the caller."
    ),
}
RETRY_MEANINGS: dict[RetryReason, str] = {
    RetryReason.CONNECTION_REFUSED: "The upstream refused the connection.",
    RetryReason.NOTHING_SENT: (
        "The connection broke before a byte of the request was sent."
    ),
    RetryReason.SHED_NOT_RUN: (
        "The upstream shed the request and said that it had not run."
    ),
    RetryReason.FAILURE_AFTER_SENDING: "A repeatable request failed.",
    RetryReason.TIMEOUT_AFTER_SENDING: "A repeatable request timed out.",
    RetryReason.HEDGE: "A second copy of a slow read.",
}
