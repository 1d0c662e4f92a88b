"""Writes ``docs/events.md`` and ``docs/counters.md`` from the daemon's catalogues."""

from __future__ import annotations

import sys
from pathlib import Path

from cardamomquay.outcomes import REFUSAL_MEANINGS
from cardamomquay.outcomes import REFUSAL_PROPERTIES
from cardamomquay.outcomes import RETRY_MEANINGS
from cardamomquay_daemon._telemetry import CATALOGUE
from cardamomquay_daemon._telemetry import COUNTERS
from cardamomquay_daemon._telemetry import METRIC_PREFIX
from cardamomquay_daemon.edge._events import CATALOGUE as EDGE_CATALOGUE
from cardamomquay_daemon.edge._events import COUNTERS as EDGE_COUNTERS

DOCS = Path("docs")
COMMAND = "python -m cardamomquay_dev.catalogue"


def events_page() -> str:
    """Return the page of the numbered log events."""
    lines = [
        "# Log events",
        "",
        f"This page is written by `{COMMAND}`.",
        "",
        "A daemon writes one JSON object a line to `log_file`, or to standard error.",
        "`message_type` is the event's name, `number` its number and `host` the host;",
        "further fields depend on the event. `timestamp` is in seconds since 1970.",
        "Numbers are not reused. No event holds a key or a header of a request.",
        "A host on the users' platform writes the same form to standard output; see",
        "`OPERATIONS.md`.",
        "",
        "| number | name | meaning |",
        "| --- | --- | --- |",
    ]
    lines += [
        f"| {event.number} | `{event.name}` | {event.meaning} |"
        for event in sorted(
            (*CATALOGUE, *EDGE_CATALOGUE), key=lambda event: event.number
        )
    ]
    return "\n".join(lines) + "\n"


def counters_page() -> str:
    """Return the page of the counters."""
    lines = [
        "# Counters",
        "",
        f"This page is written by `{COMMAND}`.",
        "",
        "A daemon counts in memory (`GET /v1/counters` on the operator port). With",
        f"`statsd` in its settings it also sends `{METRIC_PREFIX}.<name>` over UDP.",
        "Counters start at 0 with the daemon and have no unit.",
        "",
        "## Refusals",
        "",
        "One counter for each reason that a caller can see in `X-Cardamomquay-Reason`.",
        "",
        "| counter | status | not run | retry after | meaning |",
        "| --- | --- | --- | --- | --- |",
    ]
    for reason, properties in REFUSAL_PROPERTIES.items():
        retry = (
            ""
            if properties.retry_after_s is None
            else f"{properties.retry_after_s:g} s"
        )
        lines.append(
            f"| `refused.{reason}` | {properties.status} "
            f"| {str(properties.not_run).lower()} | {retry} "
            f"| {REFUSAL_MEANINGS[reason]} |"
        )
    lines += [
        "",
        "## Retries",
        "",
        "One counter for each reason why a request was sent to a second upstream.",
        "",
        "| counter | meaning |",
        "| --- | --- |",
    ]
    lines += [
        f"| `retried.{reason}` | {meaning} |"
        for reason, meaning in RETRY_MEANINGS.items()
    ]
    lines += ["", "## Others", "", "| counter | meaning |", "| --- | --- |"]
    lines += [f"| `{name}` | {COUNTERS[name]} |" for name in sorted(COUNTERS)]
    lines += [
        "",
        "## Hosts on the users' platform",
        "",
        "Served as text on the last port for traffic between hosts, with dots written",
        "as `_` and `cardamomquay_` before the name. `refused.<reason>` counts as",
        "above; `requests.<status>` counts final answers, 0 for callers that left;",
        "`cardamomquay_requests_seconds_bucket` is a histogram of their latency.",
        "`admission.<rule>` counts only for services with different priorities.",
        "",
        "| counter | meaning |",
        "| --- | --- |",
    ]
    lines += [f"| `{name}` | {EDGE_COUNTERS[name]} |" for name in sorted(EDGE_COUNTERS)]
    return "\n".join(lines) + "\n"


def main() -> int:
    """Write both pages."""
    (DOCS / "events.md").write_text(events_page(), encoding="utf-8")
    (DOCS / "counters.md").write_text(counters_page(), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
