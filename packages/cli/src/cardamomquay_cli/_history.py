"""Commands that show edits and find out their outcome."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from absl import flags

from cardamomquay_cli._client import NoAnswer
from cardamomquay_cli._editing import settle
from cardamomquay_cli._results import HTTP_OK
from cardamomquay_cli._results import Command
from cardamomquay_cli._results import ExitCode
from cardamomquay_cli._results import Result
from cardamomquay_cli._results import call_failure

if TYPE_CHECKING:
    from cardamomquay_cli._client import OperatorClient

LIMIT = flags.DEFINE_integer(
    "limit", 50, "Number of edits to show.", lower_bound=1, upper_bound=1000
)
BEFORE = flags.DEFINE_integer("before", None, "Show only edits before this version.")
SHOW_VALUES = flags.DEFINE_bool("values", False, "Show old and new values.")


class History(Command):
    """Shows who changed what and when."""

    name = "history"
    usage = "[TABLE[/KEY]]"
    summary = "Show who changed what and when, newest first, for both owners."
    details = "With TABLE or TABLE/KEY, show only edits of these rows."
    flags = ("limit", "before", "values")

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if len(arguments) > 1:
            return self.usage_error()
        before = "" if BEFORE.value is None else f"&before={BEFORE.value}"
        answer = client.get(f"/v1/edits?limit={LIMIT.value}{before}")
        if isinstance(answer, NoAnswer) or answer.status != HTTP_OK:
            return call_failure(answer)
        row_filter = arguments[0] if arguments else ""
        edits = [
            entry for entry in answer.document["edits"] if _matches(entry, row_filter)
        ]
        lines = [line for entry in edits for line in _lines(entry)]
        return Result(ExitCode.OK, {"edits": edits}, "\n".join(lines) or "no edits")


class Settle(Command):
    """Finds out whether an edit was accepted."""

    name = "settle"
    usage = "EDIT_ID [EXPECTED_VERSION]"
    summary = "Find out whether an edit whose answer was lost was accepted."
    details = (
        "EXPECTED_VERSION is the version on which the edit is based. Without it, an\n"
        "edit that is not stored stays unsettled, because it may still arrive."
    )

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if not 1 <= len(arguments) <= 2 or not all(
            a.isdecimal() for a in arguments[1:]
        ):
            return self.usage_error()
        version = int(arguments[1]) if len(arguments) > 1 else None
        return settle(client, arguments[0], version)


def _matches(entry: dict[str, Any], row_filter: str) -> bool:
    return not row_filter or any(
        change["row"] == row_filter or change["row"].startswith(f"{row_filter}/")
        for change in entry["changes"]
    )


def _lines(entry: dict[str, Any]) -> list[str]:
    rows = ", ".join(
        f"{change['row']}{_change_suffix(change)}" for change in entry["changes"]
    )
    lines = [
        f"{entry['version']:>6}  {entry['accepted_at']}  "
        f"{entry['operator']} ({entry['owner']})  {rows}"
    ]
    if SHOW_VALUES.value:
        for change in entry["changes"]:
            lines.append(f"        {change['row']}")
            lines += [f"          - {text}" for text in _fields(change, "old", "new")]
            lines += [f"          + {text}" for text in _fields(change, "new", "old")]
    return lines


def _change_suffix(change: dict[str, Any]) -> str:
    if change["old"] is None:
        return " (new)"
    return " (deleted)" if change["new"] is None else ""


def _fields(change: dict[str, Any], side: str, other_side: str) -> list[str]:
    """Return the fields of one side that differ from the other side."""
    values = change[side] or {}
    others = change[other_side] or {}
    return [
        f"{name}: {json.dumps(value)}"
        for name, value in values.items()
        # `...` stands for an absent field; it differs from every JSON value.
        if others.get(name, ...) != value
    ]
