"""Numbered log events and statsd counters."""

from __future__ import annotations

import sys
import threading
from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

import eliot
import statsd

from cardamomquay.events import LogEvent

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cardamomquay.outcomes import RefusalReason
    from cardamomquay.outcomes import RetryReason

METRIC_PREFIX = "cardamomquay"


DAEMON_STARTED = LogEvent(1001, "daemon_started", "The daemon listens.")
DAEMON_STOPPING = LogEvent(1002, "daemon_stopping", "A planned stop began.")
DAEMON_STOPPED = LogEvent(1003, "daemon_stopped", "The daemon has stopped.")
CERTIFICATE_EXPIRES = LogEvent(
    1004, "certificate_expires", "A listener's certificate expires within 14 days."
)
CONFIG_IN_FORCE = LogEvent(2001, "config_in_force", "A new version is in force.")
CONFIG_OLDER_IGNORED = LogEvent(
    2002, "config_older_ignored", "A source offered an older configuration."
)
CONFIG_INVALID = LogEvent(
    2003, "config_invalid", "The stored configuration did not validate."
)
EDIT_ACCEPTED = LogEvent(2004, "edit_accepted", "An operator's edit was committed.")
EDIT_REJECTED = LogEvent(2005, "edit_rejected", "An edit was refused.")
EDIT_UNSETTLED = LogEvent(
    2006, "edit_unsettled", "The answer to an edit was lost; it is being settled."
)
STORE_UNAVAILABLE = LogEvent(
    3001, "store_unavailable", "A call of the platform failed."
)
EDIT_SETTLED = LogEvent(
    2008, "edit_settled", "An edit whose answer was lost cannot be accepted any more."
)
PEER_FAILED = LogEvent(4001, "peer_failed", "A call of another daemon failed.")
CONFIG_WITHOUT_EVIDENCE = LogEvent(
    2007, "config_without_evidence", "A peer's configuration was not shown current."
)
MEMBER_STATE = LogEvent(4002, "member_state", "The state of a host changed.")
LEASE_ACQUIRED = LogEvent(5001, "lease_acquired", "This host holds a new host lease.")
LEASE_LOST = LogEvent(5002, "lease_lost", "This host's lease was taken away.")
LEASES_RECLAIMED = LogEvent(
    5003, "leases_reclaimed", "Expired leases of other hosts were deleted."
)
MOVE_CHANGED = LogEvent(6001, "move_changed", "A version move took a step.")
MOVE_STOPPED = LogEvent(
    6002, "move_stopped", "This host stopped a version move by itself."
)
EFFECT_FAILED = LogEvent(9001, "effect_failed", "An effect raised an exception.")
REQUEST_FAILED = LogEvent(
    9002, "request_failed", "A request raised an exception and got a 500."
)

CATALOGUE = tuple(
    value for value in tuple(globals().values()) if isinstance(value, LogEvent)
)
# Counters other than those of refusals and retries. `docs/counters.md` is generated
# from these texts.
COUNTERS = {
    "claims.expired": "Records of non-repeatable requests deleted after 72 hours.",
    "claims.not_recorded": "Outcomes of non-repeatable requests that were not stored.",
    "config.older_ignored": "Configurations that were not newer than the one in force.",
    "edits.accepted": "Operators' edits that this daemon committed.",
    "edits.conflicted": "Operators' edits that another edit came before.",
    "edits.rejected": "Operators' edits that were not permitted or not valid.",
    "edits.unsettled": "Operators' edits whose outcome was not confirmed in time.",
    "effects.failed": "Effects that raised an exception.",
    "effects.unhandled": "Effects without a handler.",
    "events.dropped": "Events dropped because the queue was full.",
    "lookups.answered": "Look-ups of hosts that were answered.",
    "operators.rejected": "Calls of the operator port without a valid operator key.",
    "peers.bytes_received": "Bytes received from other daemons.",
    "peers.bytes_sent": "Bytes sent to other daemons.",
    "peers.exchange_failed": "Exchanges with a peer that gave no usable answer.",
    "peers.exchange_skipped": "Exchanges left out while the one before was running.",
    "platform.bytes": "Bytes of calls of the platform, both directions.",
    "platform.calls": "Calls of the platform.",
    "requests.answered": "Requests that got an upstream's or a recorded answer.",
    "requests.replayed": "Requests that got a recorded answer.",
    "store.unavailable": "Reads of the head row that failed.",
}


class Telemetry:
    """Writes log events and keeps counters; thread-safe.

    Parameters
    ----------
    host : str
    statsd_address : str or None
        ``ip:port``. Without it, counters are kept in memory only.
    """

    def __init__(self, host: str, statsd_address: str | None = None) -> None:
        self._host = host
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._client: Any = None
        if statsd_address is not None:
            address, _, port = statsd_address.rpartition(":")
            self._client = statsd.StatsClient(address, int(port), METRIC_PREFIX)

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        with self._lock:
            self._counts[name] += value
        if self._client is not None:
            self._client.incr(name, value)

    def record_refusal(self, reason: RefusalReason) -> None:
        """Count a refusal."""
        self.count(f"refused.{reason}")

    def record_retry(self, reason: RetryReason) -> None:
        """Count a retry."""
        self.count(f"retried.{reason}")

    def counts(self) -> Mapping[str, int]:
        """Return a copy of all counters."""
        with self._lock:
            return dict(self._counts)

    def log(self, event: LogEvent, **fields: Any) -> None:
        """Write a log event with its number and further fields."""
        eliot.log_message(
            message_type=event.name, number=event.number, host=self._host, **fields
        )

    def record_effect_failure(self, effect: str, exc: Exception) -> None:
        """Log and count an effect or other background work that raised."""
        self.count("effects.failed")
        self.log(EFFECT_FAILED, effect=effect, error=repr(exc))


def log_to(path: str | None) -> None:
    """Append log events to a file, or write them to standard error without a path."""
    target = sys.stderr if path is None else open(path, "a", encoding="utf-8")  # noqa: SIM115
    eliot.to_file(target)
