"""Finds the cause of one request's outcome in collected logs."""

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
from cardamomquay_cli._results import failed

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from cardamomquay_cli._client import OperatorClient

LOGS = flags.DEFINE_list(
    "logs", ["-"], "Log files of all hosts, read in turn; - is standard input."
)
NEAR_S = flags.DEFINE_float(
    "near_s", 5.0, "Seconds before the outcome from which changes are shown."
)

OUTCOMES = ("request_done", "request_cancelled")
# Events that say what a host believed; those of other hosts tell of the fleet.
BELIEFS = frozenset(
    (
        "edge_config_in_force",
        "edge_started",
        "edge_stopping",
        "log_lines_dropped",
        "peer_lost",
        "rollout_changed",
        "store_lost",
        "store_regained",
        "upstream_changed",
        "zone_evacuation",
    )
)
CAUSES = {
    "answered": "an upstream answered; its status stands in the last attempt",
    "answer_cut": "an upstream broke off and may have run the request",
    "caller_left": "the caller closed its connection before the answer",
    "configuration_stale": "the host could not prove that the key still holds",
    "key_missing": "the request had no key",
    "key_rejected": "the configuration in force does not hold the key",
    "limit_exceeded": "the organisation had used up its quota over all hosts",
    "no_route": "no route of the configuration in force matches",
    "not_ready": "the host had not read the configuration yet",
    "pool_busy": "no upstream could answer in time",
    "pool_empty": "no upstream of the service may get requests",
    "upstream_timeout": "the route's time ended while an upstream had the request",
    "upstream_unreachable": "no upstream accepted a connection",
}


@dataclass
class Story:
    """What logs tell of one request."""

    outcomes: list[dict[str, Any]] = field(default_factory=list)
    changes: list[dict[str, Any]] = field(default_factory=list)


class Explain(Command):
    """Explains the outcome of a request."""

    name = "explain"
    usage = "REQUEST_ID"
    summary = "Explain the outcome of a request from collected logs."
    details = (
        "It needs no daemon. Give the logs of all hosts: a request that came back has\n"
        "a new id, and a change may have reached other hosts first."
    )
    flags = ("logs", "near_s")

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if len(arguments) != 1:
            return self.usage_error()
        try:
            records = list(_records(LOGS.value))
        except OSError as exc:
            return self.usage_error(f"--logs: {exc}")
        story = collect(records, arguments[0], NEAR_S.value)
        if not story.outcomes:
            return failed(
                f"no outcome of {arguments[0]}: the host that took it was killed, or "
                "its logs are missing"
            )
        document = {"outcomes": story.outcomes, "changes": story.changes}
        return Result(ExitCode.OK, document, "\n".join(_lines(story)))


def collect(records: Iterable[dict[str, Any]], request_id: str, near_s: float) -> Story:
    """Pick the records that concern a request.

    Parameters
    ----------
    records : iterable of dict
    request_id : str
    near_s : float
        Seconds before the outcome from which changes are picked.

    Returns
    -------
    Story
        Changes concern the host that took the request, or an upstream it tried.
    """
    story = Story()
    beliefs = []
    for record in records:
        kind = record.get("message_type")
        if kind in OUTCOMES and record.get("request") == request_id:
            story.outcomes.append(record)
        elif kind in BELIEFS:
            beliefs.append(record)
    for outcome in story.outcomes:
        end_s = outcome["timestamp"]
        tried = {attempt["upstream"] for attempt in outcome["tries"]}
        story.changes += [
            belief
            for belief in beliefs
            if end_s - near_s <= belief["timestamp"] <= end_s
            and belief["host"] == outcome["host"]
            and (
                belief["message_type"] != "upstream_changed"
                or belief["instance"] in tried
            )
        ]
    story.changes.sort(key=lambda record: record["timestamp"])
    return story


def _records(paths: Iterable[str]) -> Iterator[dict[str, Any]]:
    for path in paths:
        if path == "-":
            yield from _parse(sys.stdin)
            continue
        with open(path, encoding="utf-8", errors="replace") as file:
            yield from _parse(file)


def _parse(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            # A line that was cut when its host was killed.
            continue
        if isinstance(record, dict) and "timestamp" in record:
            yield record


def _lines(story: Story) -> Iterator[str]:
    for outcome in story.outcomes:
        reason = outcome["reason"]
        yield (
            f"{outcome['request']} on {outcome['host']}: {outcome['status']} after "
            f"{outcome['elapsed_s']:.3f} s, {reason}: {CAUSES.get(reason, reason)}"
        )
        yield (
            f"  route {outcome['route']}, service {outcome['service'] or '-'}, "
            f"organisation {outcome['organisation'] or '-'}, object "
            f"{outcome['object'] or '-'}"
        )
        yield (
            f"  configuration {outcome['config']}, proved {outcome['config_age_s']} s "
            "before"
        )
        for number, attempt in enumerate(outcome["tries"], 1):
            warmth = "warm" if attempt["warm"] else "cold"
            yield (
                f"  attempt {number}: {attempt['upstream']} in {attempt['zone']}, "
                f"{warmth}, {attempt['occupied']} requests there, expected "
                f"{attempt['expected_s']} s: {attempt['outcome']} "
                f"({attempt['detail']}) after {attempt['took_s']:.3f} s"
            )
        end_s = outcome["timestamp"]
        for change in story.changes:
            fields = {
                name: value
                for name, value in change.items()
                if name not in {"message_type", "timestamp", "number", "host"}
            }
            before_s = end_s - change["timestamp"]
            yield f"  {before_s:.2f} s before: {change['message_type']} {fields}"
