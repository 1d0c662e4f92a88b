"""Reasons for which a request is refused or retried."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RefusalReason(StrEnum):
    """Machine-readable reason of a refusal, sent to the caller."""

    NOT_READY = "not_ready"
    CONFIGURATION_STALE = "configuration_stale"
    NO_ROUTE = "no_route"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    TARGET_TOO_LONG = "target_too_long"
    REQUEST_TIMEOUT = "request_timeout"
    NOT_IMPLEMENTED = "not_implemented"
    VERSION_NOT_SUPPORTED = "version_not_supported"
    INTERNAL_ERROR = "internal_error"
    KEY_MISSING = "key_missing"
    KEY_REJECTED = "key_rejected"
    ORGANISATION_NOT_ALLOWED = "organisation_not_allowed"
    LIMIT_EXCEEDED = "limit_exceeded"
    QUOTA_UNAVAILABLE = "quota_unavailable"
    POOL_BUSY = "pool_busy"
    POOL_EMPTY = "pool_empty"
    REGION_FULL = "region_full"
    LINK_FULL = "link_full"
    DEADLINE_PASSED = "deadline_passed"
    IDEMPOTENCY_KEY_MISSING = "idempotency_key_missing"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    STORE_UNAVAILABLE = "store_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    ANSWER_CUT = "answer_cut"
    STOPPING = "stopping"
    REQUEST_QUARANTINED = "request_quarantined"


class RetryReason(StrEnum):
    """Reason for which a request may be sent to another upstream."""

    CONNECTION_REFUSED = "connection_refused"
    NOTHING_SENT = "nothing_sent"
    SHED_NOT_RUN = "shed_not_run"
    FAILURE_AFTER_SENDING = "repeatable_failure"
    TIMEOUT_AFTER_SENDING = "repeatable_timeout"
    HEDGE = "hedge"


@dataclass(frozen=True, slots=True)
class RefusalProperties:
    """HTTP status and retry properties of a refusal reason.

    Parameters
    ----------
    status : int
        HTTP status.
    not_run : bool
        Whether the request is known not to have run.
    retry_after_s : float or None
        Seconds after which a retry may succeed.
    """

    status: int
    not_run: bool
    retry_after_s: float | None = None


REFUSAL_PROPERTIES: dict[RefusalReason, RefusalProperties] = {
    RefusalReason.NOT_READY: RefusalProperties(503, True, 1.0),
    RefusalReason.CONFIGURATION_STALE: RefusalProperties(503, True, 1.0),
    RefusalReason.NO_ROUTE: RefusalProperties(404, True),
    RefusalReason.METHOD_NOT_ALLOWED: RefusalProperties(405, True),
    RefusalReason.BAD_REQUEST: RefusalProperties(400, True),
    RefusalReason.BODY_TOO_LARGE: RefusalProperties(413, True),
    RefusalReason.HEADERS_TOO_LARGE: RefusalProperties(431, True),
    RefusalReason.TARGET_TOO_LONG: RefusalProperties(414, True),
    RefusalReason.REQUEST_TIMEOUT: RefusalProperties(408, True),
    RefusalReason.NOT_IMPLEMENTED: RefusalProperties(501, True),
    RefusalReason.VERSION_NOT_SUPPORTED: RefusalProperties(505, True),
    # The error may have occurred after the request was sent.
    RefusalReason.INTERNAL_ERROR: RefusalProperties(500, False),
    RefusalReason.KEY_MISSING: RefusalProperties(401, True),
    RefusalReason.KEY_REJECTED: RefusalProperties(401, True),
    RefusalReason.ORGANISATION_NOT_ALLOWED: RefusalProperties(403, True),
    RefusalReason.LIMIT_EXCEEDED: RefusalProperties(429, True, 1.0),
    RefusalReason.QUOTA_UNAVAILABLE: RefusalProperties(503, True, 1.0),
    RefusalReason.POOL_BUSY: RefusalProperties(503, True, 1.0),
    RefusalReason.POOL_EMPTY: RefusalProperties(503, True, 5.0),
    RefusalReason.REGION_FULL: RefusalProperties(503, True, 2.0),
    RefusalReason.LINK_FULL: RefusalProperties(503, True, 2.0),
    RefusalReason.DEADLINE_PASSED: RefusalProperties(504, True),
    RefusalReason.IDEMPOTENCY_KEY_MISSING: RefusalProperties(400, True),
    RefusalReason.IDEMPOTENCY_KEY_REUSED: RefusalProperties(422, True),
    RefusalReason.STORE_UNAVAILABLE: RefusalProperties(503, True, 5.0),
    RefusalReason.OUTCOME_UNKNOWN: RefusalProperties(409, False),
    RefusalReason.UPSTREAM_FAILED: RefusalProperties(502, False),
    RefusalReason.UPSTREAM_TIMEOUT: RefusalProperties(504, False),
    RefusalReason.UPSTREAM_UNREACHABLE: RefusalProperties(503, True, 1.0),
    RefusalReason.ANSWER_CUT: RefusalProperties(502, False),
    RefusalReason.STOPPING: RefusalProperties(503, True, 0.0),
    RefusalReason.REQUEST_QUARANTINED: RefusalProperties(503, True, 60.0),
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """The outcome of a request that the host answers instead of an upstream.

    Parameters
    ----------
    reason : RefusalReason
    detail : str
        Human-readable text; must not contain an API key or a header value.
    retry_after_s : float or None
        Overrides the `retry_after_s` of the reason, in seconds.
    """

    reason: RefusalReason
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """HTTP status."""
        return REFUSAL_PROPERTIES[self.reason].status

    @property
    def not_run(self) -> bool:
        """Whether the request is known not to have run."""
        return REFUSAL_PROPERTIES[self.reason].not_run

    @property
    def effective_retry_after_s(self) -> float | None:
        """Seconds after which a retry may succeed, or None."""
        if self.retry_after_s is not None:
            return self.retry_after_s
        return REFUSAL_PROPERTIES[self.reason].retry_after_s
