"""The commands of the operators' command line."""

from __future__ import annotations

import json
import secrets
import sys
import time
import uuid
from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.config import TABLES
from cardamomquay.config import digest_secret
from cardamomquay_cli._client import NoReply

if TYPE_CHECKING:
    from cardamomquay_cli._client import OperatorClient

HTTP_OK = 200
UNAUTHORIZED = 401
WAIT_POLL_S = 0.05


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    REJECTED = 4
    CONFLICT = 5
    UNSETTLED = 6
    TIMED_OUT = 7


@dataclass(frozen=True, slots=True)
class Result:
    """What a command prints and returns.

    Parameters
    ----------
    code : ExitCode
    document : object
        Printed by ``--json``.
    text : str
        Printed otherwise.
    """

    code: ExitCode
    document: Any
    text: str


class Command(ABC):
    """One command.

    Attributes
    ----------
    name, usage, summary : str
    """

    name: str
    usage: str
    summary: str

    @abstractmethod
    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        """Carry out the command."""

    def usage_error(self) -> Result:
        """Return the result of a call with wrong arguments."""
        text = f"usage: cardamomquay {self.name} {self.usage}"
        return Result(ExitCode.USAGE, {"error": text}, text)


class Show(Command):
    """Shows tables or one row."""

    name = "show"
    usage = "[TABLE [KEY]]"
    summary = "Show the configuration, a table or a row."

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        reply = client.get("/v1/config")
        if isinstance(reply, NoReply) or reply.status != HTTP_OK:
            return failure(reply)
        tables = reply.document["tables"]
        document: Any = reply.document
        if arguments:
            if arguments[0] not in TABLES:
                return self.usage_error()
            document = tables[arguments[0]]
        if len(arguments) > 1:
            document = document.get(arguments[1])
            if document is None:
                text = f"no row {arguments[0]}/{arguments[1]}"
                return Result(ExitCode.FAILED, {"error": text}, text)
        return Result(ExitCode.OK, document, json.dumps(document, indent=2))


class Set(Command):
    """Sets a row."""

    name = "set"
    usage = "TABLE KEY JSON"
    summary = "Set a row; the whole configuration is checked first."

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if len(arguments) != 3 or arguments[0] not in TABLES:
            return self.usage_error()
        try:
            value = json.loads(arguments[2])
        except ValueError as exc:
            text = f"value is not JSON: {exc}"
            return Result(ExitCode.USAGE, {"error": text}, text)
        return edit(client, [change(arguments[0], arguments[1], value)])


class Delete(Command):
    """Deletes a row."""

    name = "delete"
    usage = "TABLE KEY"
    summary = "Delete a row."

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if len(arguments) != 2 or arguments[0] not in TABLES:
            return self.usage_error()
        return edit(client, [change(arguments[0], arguments[1], None)])


class Grant(Command):
    """Grants a key to an organisation."""

    name = "grant"
    usage = "KEY_ID ORGANISATION [-]"
    summary = "Grant a key; its secret is made, or read from standard input with -."

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if not 2 <= len(arguments) <= 3 or arguments[2:] not in ([], ["-"]):
            return self.usage_error()
        key_id, organisation = arguments[:2]
        shown = client.get("/v1/config")
        if isinstance(shown, NoReply) or shown.status != HTTP_OK:
            return failure(shown)
        row = shown.document["tables"]["organisations"].get(organisation)
        if row is None:
            text = f"no organisation {organisation}"
            return Result(ExitCode.FAILED, {"error": text}, text)
        given = len(arguments) > 2
        secret = sys.stdin.read().strip() if given else secrets.token_hex(20)
        salt = secrets.token_hex(16)
        value = {
            "holder": organisation,
            "owner": row["owner"],
            "salt": salt,
            "digest": digest_secret(salt, secret),
        }
        result = edit(client, [change("keys", key_id, value)])
        if result.code is not ExitCode.OK or given:
            return result
        # The secret is shown once; only its digest is stored.
        document = {**result.document, "key": f"{key_id}.{secret}"}
        text = f"{result.text}\nkey: {key_id}.{secret}"
        return Result(ExitCode.OK, document, text)


class History(Command):
    """Shows who changed what and when."""

    name = "history"
    usage = ""
    summary = "Show who changed what and when, newest first."

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        reply = client.get("/v1/edits")
        if isinstance(reply, NoReply) or reply.status != HTTP_OK:
            return failure(reply)
        lines = []
        for entry in reply.document["edits"]:
            rows = ", ".join(change["row"] for change in entry["changes"])
            lines.append(
                f"{entry['version']:>6}  {entry['accepted_at']}  "
                f"{entry['operator']} ({entry['owner']})  {rows}"
            )
        return Result(ExitCode.OK, reply.document, "\n".join(lines) or "no edits")


class Status(Command):
    """Shows which version is in force on each host."""

    name = "status"
    usage = ""
    summary = "Show hosts, their state and the version in force on each."

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        reply = client.get("/v1/status")
        if isinstance(reply, NoReply) or reply.status != HTTP_OK:
            return failure(reply)
        document = reply.document
        lines = [f"version {document['config_version']} on {document['host']}"]
        lines += [
            f"{host['host']:<16} {host['region']:<12} {host['state']:<8} "
            f"{host['config_version']}"
            for host in document["hosts"]
        ]
        return Result(ExitCode.OK, document, "\n".join(lines))


class Wait(Command):
    """Waits until a version is in force on every live host."""

    name = "wait"
    usage = "VERSION [SECONDS]"
    summary = "Wait until a version is in force on every live host."

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if not 1 <= len(arguments) <= 2 or not all(a.isdecimal() for a in arguments):
            return self.usage_error()
        version = int(arguments[0])
        end = time.monotonic() + (int(arguments[1]) if len(arguments) > 1 else 10)
        behind: list[str] = []
        while time.monotonic() < end:
            reply = client.get("/v1/status")
            if not isinstance(reply, NoReply) and reply.status == HTTP_OK:
                behind = [
                    host["host"]
                    for host in reply.document["hosts"]
                    if host["state"] == "live" and host["config_version"] < version
                ]
                if not behind:
                    text = f"version {version} is in force on every live host"
                    in_force = {"version": version, "in_force": True}
                    return Result(ExitCode.OK, in_force, text)
            time.sleep(WAIT_POLL_S)
        text = f"version {version} is not in force on: {', '.join(behind) or 'unknown'}"
        document = {"version": version, "in_force": False, "behind": behind}
        return Result(ExitCode.TIMED_OUT, document, text)


COMMANDS: dict[str, Command] = {
    command.name: command
    for command in (Show(), Set(), Delete(), Grant(), History(), Status(), Wait())
}


def change(table: str, key: str, value: Any) -> dict[str, Any]:
    """Return one change of an edit."""
    return {"table": table, "key": key, "value": value}


def edit(client: OperatorClient, changes: list[dict[str, Any]]) -> Result:
    """Send an edit of the version that is stored now.

    Parameters
    ----------
    client : OperatorClient
    changes : list of dict

    Returns
    -------
    Result
    """
    shown = client.get("/v1/config")
    if isinstance(shown, NoReply) or shown.status != HTTP_OK:
        return failure(shown)
    document = {
        "edit_id": uuid.uuid4().hex,
        "expected_version": shown.document["head"]["version"],
        "changes": changes,
    }
    reply = client.post("/v1/edits", document)
    if isinstance(reply, NoReply):
        return failure(reply)
    match reply.status:
        case 200:
            text = f"accepted as version {reply.document['version']}"
            return Result(ExitCode.OK, reply.document, text)
        case 422:
            lines = [
                f"{f['source']}: {f['path']} found {f['found']}, "
                f"expected {f['expected']}"
                for f in reply.document["findings"]
            ]
            return Result(ExitCode.REJECTED, reply.document, "\n".join(lines))
        case 409:
            other = reply.document["conflict"]
            text = (
                f"not accepted: {other['operator']} changed the configuration first "
                f"(version {other['version']}, edit {other['edit_id']})"
            )
            return Result(ExitCode.CONFLICT, reply.document, text)
        case 504:
            text = (
                f"not known whether edit {document['edit_id']} was accepted; "
                "see `cardamomquay history`"
            )
            return Result(ExitCode.UNSETTLED, reply.document, text)
        case _:
            return failure(reply)


def failure(reply: Any) -> Result:
    """Return the result of a call that gave no usable answer."""
    if isinstance(reply, NoReply):
        document = {"error": reply.detail}
        return Result(ExitCode.UNREACHABLE, document, f"no answer: {reply.detail}")
    text = str(reply.document.get("error", f"status {reply.status}"))
    code = ExitCode.REJECTED if reply.status == UNAUTHORIZED else ExitCode.FAILED
    return Result(code, reply.document, text)
