"""Log events and counters of an edge host."""

from __future__ import annotations

from cardamomquay.events import LogEvent

STARTED = LogEvent(1101, "edge_started", "The host listens.")
STOPPING = LogEvent(1102, "edge_stopping", "A planned stop began.")
STOPPED = LogEvent(1103, "edge_stopped", "The host has stopped.")
RELOADED = LogEvent(1104, "settings_reloaded", "The settings file was read again.")
SETTINGS_REJECTED = LogEvent(
    1105,
    "settings_rejected",
    "The settings file could not be used; the previous settings remain in force.",
)
LINES_DROPPED = LogEvent(
    1106, "log_lines_dropped", "Lines were dropped because the reader was slow."
)
LISTEN_FAILED = LogEvent(
    1107,
    "listen_failed",
    "The host cannot listen at an address yet, and tries again until it can.",
)
LISTENING = LogEvent(
    1108, "listening", "The host listens at an address after earlier failures."
)
CONFIG_IN_FORCE = LogEvent(
    2101, "edge_config_in_force", "A configuration version is in force."
)
CONFIG_OLDER = LogEvent(
    2102, "edge_config_older", "A source offered an older configuration."
)
ROW_REJECTED = LogEvent(
    2103, "row_rejected", "A row, or an item in it, could not be read and was skipped."
)
ZONE_EVACUATED = LogEvent(
    2104, "zone_evacuation", "A zone's evacuation began or ended."
)
UPSTREAM_CHANGED = LogEvent(
    2201, "upstream_changed", "An upstream was registered, changed or removed."
)
UPSTREAM_RATE_LIMIT = LogEvent(
    2202,
    "upstream_rate_limit",
    "An upstream named another rate limit than before; null if it named none.",
)
UPSTREAM_LEAVING = LogEvent(
    2203, "upstream_leaving", "An upstream said in an answer that it is about to stop."
)
UPSTREAM_PAUSED = LogEvent(
    2204, "upstream_paused", "An upstream asked this host for a pause."
)
UPSTREAM_SUSPECTED = LogEvent(
    2205,
    "upstream_restart_suspected",
    "An upstream may have started again, so it counts as cold.",
)
UPSTREAM_REACHED = LogEvent(
    2206,
    "upstream_reached",
    "A suspected upstream runs; it stays cold for `cold_left_s` if it has started.",
)
CONNECTIONS_LOST = LogEvent(
    2207,
    "connections_lost",
    "Connections to many upstreams ended at once; this says nothing about them.",
)
STORE_LOST = LogEvent(3101, "store_lost", "Calls to the store fail.")
STORE_REGAINED = LogEvent(3102, "store_regained", "Calls to the store succeed again.")
STORE_READING = LogEvent(
    3103, "store_reading", "The host began or stopped reading the store for its zone."
)
STORE_RESTORED = LogEvent(
    3104, "store_restored", "The store came back from a copy and is in a later era."
)
PEER_LOST = LogEvent(4101, "peer_lost", "Another host no longer reports.")
PEER_REGAINED = LogEvent(4102, "peer_regained", "Another host reports again.")
ZONE_GATEWAY = LogEvent(
    4103,
    "zone_gateway",
    "The host began or stopped forwarding reports between its zone and the others.",
)
REGION_SCARCITY = LogEvent(
    4104,
    "region_scarcity",
    "A service began or ceased to be scarce in a region, as seen by this host.",
)
ROLLOUT_CHANGED = LogEvent(6101, "rollout_changed", "A roll-out changed its state.")
USAGE_HOLDER_CHANGED = LogEvent(
    6201, "usage_holder_changed", "This host became the holder of the usage reports."
)
USAGE_REPORTED = LogEvent(
    6202, "usage_reported", "The platform accepted the usage report of a window."
)
USAGE_REFUSED = LogEvent(
    6203,
    "usage_report_failed",
    "The platform did not accept a usage report, or did not respond.",
)
USAGE_MISSED = LogEvent(
    6204, "usage_windows_missed", "Windows were given up; they will not be reported."
)
REQUEST_DONE = LogEvent(
    7101, "request_done", "A request got its final answer; `tries` lists the attempts."
)
REQUEST_CANCELLED = LogEvent(
    7102, "request_cancelled", "The caller disconnected before the answer."
)
REQUEST_SUSPECTED = LogEvent(
    7103,
    "request_suspected",
    "An upstream ended, or cut its answer, while it had a request of this host, or "
    "reports of other hosts began the request's quarantine.",
)
REQUEST_CLEARED = LogEvent(
    7104,
    "request_cleared",
    "A request under suspicion got a complete answer at this host, or one at another "
    "host ended its quarantine.",
)
CALLERS_ENDED = LogEvent(
    7105,
    "callers_ended",
    "Requests were refused or connections closed for memory or descriptors; at most "
    "one line a second.",
)
TASK_FAILED = LogEvent(9101, "edge_task_failed", "A task raised an exception.")

# Meanings of the counters, except for those named after a refusal reason or a status.
COUNTERS = {
    "admission.floor": "Requests sent since their route or organisation would starve.",
    "admission.hopeless": "Requests refused since they would not end within their "
    "timeout.",
    "admission.idle": "Requests sent since a slot was free, though others go first.",
    "admission.sent": "Requests sent by priority and value.",
    "admission.value": "Requests refused since others go first.",
    "log.lines_dropped": "Log lines dropped because their reader was slow.",
    "lookups.answered": "Look-ups answered with at least one host.",
    "lookups.empty": "Look-ups refused because no host was ready.",
    "peers.bytes_sent": "Bytes of reports to other hosts.",
    "peers.malformed": "Reports of other hosts that could not be read.",
    "peers.regional_rejected": (
        "Reports of other hosts whose summaries of regions could not be read."
    ),
    "regions.avoided": (
        "Choices of an upstream that left out a region in which the service is scarce."
    ),
    "regions.rejected": (
        "Requests bound to a region that were rejected for its lack of room."
    ),
    "regions.shift_rejected": (
        "Requests bound to a region that were rejected because too large a share of "
        "the requests would have run there."
    ),
    "rows.rejected": "Rows of the store that could not be read and were skipped.",
    "requests.bodies_rejected": (
        "Requests refused because there was no memory for them."
    ),
    "callers.ended": (
        "Connections that gave way for memory or descriptors: those without progress, "
        "also if a request runs behind answers that their caller does not read."
    ),
    "callers.connections_refused": (
        "Connections closed at once because requests ran on all others."
    ),
    "store.operator_calls": "Reads of the operator's rows.",
    "store.operator_failed": "Reads of the operator's rows without a usable answer.",
    "store.upstreams_calls": "Reads of the upstreams' entries.",
    "store.upstreams_failed": "Reads of the upstreams' entries without an answer.",
    "peers.observations_rejected": (
        "Observations in reports of other hosts that made no sense."
    ),
    "usage.holder_changes": "Times that this host became the holder of usage reports.",
    "usage.malformed": "Messages of other hosts on usage that could not be read.",
    "usage.platform_calls": "Usage reports sent to the platform, repeats included.",
    "usage.platform_failed": "Usage reports that the platform did not accept.",
    "usage.store_calls": "Calls to the store for usage reports.",
    "usage.windows_late": "Windows reported later than the bound.",
    "usage.windows_missed": "Windows that were given up.",
    "usage.windows_reported": "Windows reported by this host.",
    "upstreams.connections_lost": (
        "Times that an upstream ended all connections of this host."
    ),
    "upstreams.suspected": "Upstreams that may have started again.",
    "upstreams.leaving": "Upstreams that said in an answer that they are stopping.",
    "upstreams.pauses": "Answers in which an upstream asked for a pause.",
    "upstreams.retry_after_malformed": (
        "Pauses of upstreams that could not be read or were too long."
    ),
    "upstreams.rate_limit_malformed": (
        "Answers with a rate limit that could not be read."
    ),
    "tasks.failed": "Tasks and requests that raised an exception.",
}

CATALOGUE = tuple(
    value for value in tuple(globals().values()) if isinstance(value, LogEvent)
)
