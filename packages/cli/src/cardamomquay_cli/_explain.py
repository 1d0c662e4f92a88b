"""Explains the outcome of a request from collected logs."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from absl import flags

from cardamomquay_cli._results import Command
from cardamomquay_cli._results import ExitCode
from cardamomquay_cli._results import Result
from cardamomquay_cli._results import command_failure

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from cardamomquay_cli._client import OperatorClient

LOGS = flags.DEFINE_list(
    "logs", ["-"], "Log files of all hosts, read in turn; - is standard input."
)
NEAR_S = flags.DEFINE_float(
    "near_s", 5.0, "Show changes of up to this many seconds before the outcome."
)

# Events that end a request.
OUTCOME_EVENTS = ("request_done", "request_cancelled")
# Events that show how the state of a host, or its view of the fleet, changed.
HOST_EVENTS = frozenset(
    (
        "connections_lost",
        "edge_config_in_force",
        "edge_started",
        "edge_stopping",
        "log_lines_dropped",
        "peer_lost",
        "rollout_changed",
        "store_lost",
        "store_regained",
        "upstream_changed",
        "upstream_reached",
        "upstream_restart_suspected",
        "zone_evacuation",
    )
)
REASON_MEANINGS = {
    "answered": "an upstream answered; the last attempt shows its status",
    "answer_cut": (
        "the answer was cut off or malformed, and the upstream may have run the request"
    ),
    "caller_left": "the caller closed its connection before the answer",
    "configuration_stale": "the host could not prove that its configuration is current",
    "key_missing": "the request had no key",
    "key_rejected": "the configuration in force does not contain the key",
    "limit_exceeded": "the organisation had used up its quota over all hosts",
    "no_route": "no route of the configuration in force matches",
    "not_ready": "the host had not read the configuration yet",
    "pool_busy": "no upstream could answer in time",
    "pool_empty": "no upstream of the service may get requests",
    "upstream_timeout": (
        "the route's or the caller's timeout passed while an upstream had the request"
    ),
    "upstream_unreachable": "no upstream accepted a connection",
}


@dataclass
class RequestRecords:
    """Log records that concern one request."""

    outcomes: list[dict[str, Any]] = field(default_factory=list)
    changes: list[dict[str, Any]] = field(default_factory=list)


class Explain(Command):
    """Explains the outcome of a request."""

    name = "explain"
    usage = "REQUEST_ID"
    summary = "Explain the outcome of a request from collected logs."
    details = (
        "It needs no daemon. Give the logs of all hosts: each retry by a caller has a\n"
        "new request id, and a change may have reached other hosts first."
    )
    flags = ("logs", "near_s")

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if len(arguments) != 1:
            return self.usage_error()
        try:
            records = list(_records(LOGS.value))
        except OSError as exc:
            return self.usage_error(f"--logs: {exc}")
        selected = select_records(records, arguments[0], NEAR_S.value)
        if not selected.outcomes:
            return command_failure(
                f"no outcome of {arguments[0]}: the host that got it was killed, or "
                "its logs are missing"
            )
        document = {"outcomes": selected.outcomes, "changes": selected.changes}
        return Result(ExitCode.OK, document, "\n".join(_lines(selected)))


def select_records(
    records: Iterable[dict[str, Any]], request_id: str, near_s: float
) -> RequestRecords:
    """Select the records that concern a request.

    Parameters
    ----------
    records : iterable of dict
    request_id : str
    near_s : float
        Changes of up to this many seconds before the outcome are selected.

    Returns
    -------
    RequestRecords
        `changes` holds events of the host that got the request; of the events
        `upstream_changed` only those of upstreams to which the request was sent.
    """
    selected = RequestRecords()
    host_events = []
    for record in records:
        message_type = record.get("message_type")
        if message_type in OUTCOME_EVENTS and record.get("request") == request_id:
            selected.outcomes.append(record)
        elif message_type in HOST_EVENTS:
            host_events.append(record)
    for outcome in selected.outcomes:
        end_s = outcome["timestamp"]
        tried = {attempt["upstream"] for attempt in outcome["tries"]}
        selected.changes += [
            host_event
            for host_event in host_events
            if end_s - near_s <= host_event["timestamp"] <= end_s
            and host_event["host"] == outcome["host"]
            and (
                not host_event["message_type"].startswith("upstream_")
                or host_event["instance"] in tried
            )
        ]
    selected.changes.sort(key=lambda record: record["timestamp"])
    return selected


def _records(paths: Iterable[str]) -> Iterator[dict[str, Any]]:
    for path in paths:
        if path == "-":
            yield from _parse(sys.stdin)
            continue
        with open(path, encoding="utf-8", errors="replace") as file:
            yield from _parse(file)


def _parse(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        # The JSON may follow a prefix, such as a time and a host name.
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            # A line that is incomplete because its host was killed.
            continue
        if isinstance(record, dict) and "timestamp" in record:
            yield record


def _lines(selected: RequestRecords) -> Iterator[str]:
    for outcome in selected.outcomes:
        reason = outcome["reason"]
        yield (
            f"{outcome['request']} on {outcome['host']}: {outcome['status']} after "
            f"{outcome['elapsed_s']:.3f} s, {reason}: "
            f"{REASON_MEANINGS.get(reason, reason)}"
        )
        yield (
            f"  route {outcome['route']}, service {outcome['service'] or '-'}, "
            f"organisation {outcome['organisation'] or '-'}, object "
            f"{outcome['object'] or '-'}"
        )
        yield (
            f"  configuration {outcome['config']}, last confirmed as current "
            f"{outcome['config_age_s']} s before the outcome"
        )
        for number, attempt in enumerate(outcome["tries"], 1):
            warmth = "warm" if attempt["warm"] else "cold"
            if attempt.get("warming_up"):
                warmth += ", upstream warming up after a start"
            pause_s = attempt.get("pause_s")
            pause = f", asked for a pause of {pause_s} s" if pause_s is not None else ""
            yield (
                f"  attempt {number}: {attempt['upstream']} in {attempt['zone']}, "
                f"{warmth}, {attempt['occupied']} requests running or waiting, "
                f"expected {attempt['expected_s']} s: {attempt['outcome']} "
                f"({attempt['detail']}) after {attempt['took_s']:.3f} s{pause}"
            )
        end_s = outcome["timestamp"]
        for change in selected.changes:
            fields = {
                name: value
                for name, value in change.items()
                if name not in {"message_type", "timestamp", "number", "host"}
            }
            before_s = end_s - change["timestamp"]
            yield f"  {before_s:.2f} s before: {change['message_type']} {fields}"
