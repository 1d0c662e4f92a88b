"""Commands that show hosts and wait until a version is in force on them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay_cli._client import Answer
from cardamomquay_cli._results import HTTP_OK
from cardamomquay_cli._results import Command
from cardamomquay_cli._results import ExitCode
from cardamomquay_cli._results import Result
from cardamomquay_cli._results import call_failure

if TYPE_CHECKING:
    from cardamomquay_cli._client import OperatorClient

WAIT_DEFAULT_S = 10
WAIT_POLL_S = 0.1
# A suspect host may still serve requests with an old configuration.
LIVE_STATES = frozenset({"live", "suspect"})


class Status(Command):
    """Shows which version is in force on each host."""

    name = "status"
    summary = "Show hosts, their state and the version in force on each."
    details = (
        "Asks every daemon of --server. A host has version 0 if it was not asked and\n"
        "no daemon that was asked has a report of it."
    )

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if arguments:
            return self.usage_error()
        document = fetch_status(client)
        if isinstance(document, Result):
            return document
        lines = [f"version {document['config_version']} on {document['host']}"]
        lines += [
            f"{host['host']:<16} {host['region']:<12} {host['availability_zone']:<14} "
            f"{host['state']:<8} {host['config_version']}"
            f"{'  draining' if host.get('draining') else ''}"
            for host in document["hosts"]
        ]
        return Result(ExitCode.OK, document, "\n".join(lines))


class Wait(Command):
    """Waits until a version is in force on every live host."""

    name = "wait"
    usage = "VERSION [SECONDS]"
    summary = "Wait until a version is in force on every live host."
    details = (
        f"Waits {WAIT_DEFAULT_S} s by default. With 0 s it checks once. Suspect hosts\n"
        "count as live, since they may still serve requests."
    )

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if not 1 <= len(arguments) <= 2 or not all(a.isdecimal() for a in arguments):
            return self.usage_error()
        seconds = int(arguments[1]) if len(arguments) > 1 else WAIT_DEFAULT_S
        return wait_in_force(client, int(arguments[0]), seconds)


def fetch_status(client: OperatorClient) -> dict[str, Any] | Result:
    """Return the first answering daemon's status, with the hosts that any daemon knows.

    A host's version is the one that its own daemon reports. If that daemon did not
    answer, it is the newest one that another daemon reports for the host.
    """
    answers = client.get_all("/v1/status")
    ok_answers = [a for a in answers if isinstance(a, Answer) and a.status == HTTP_OK]
    if not ok_answers:
        error_answers = [answer for answer in answers if isinstance(answer, Answer)]
        return call_failure((error_answers or answers)[0])
    hosts: dict[str, dict[str, Any]] = {}
    for answer in ok_answers:
        for host in answer.document["hosts"]:
            host_entry = hosts.setdefault(host["host"], dict(host))
            host_entry["config_version"] = max(
                host_entry["config_version"], host["config_version"]
            )
    for answer in ok_answers:
        document = answer.document
        entry = hosts.get(document["host"])
        if entry is not None:
            entry["config_version"] = document["config_version"]
    merged = dict(ok_answers[0].document)
    merged["hosts"] = [hosts[name] for name in sorted(hosts)]
    return merged


def wait_in_force(client: OperatorClient, version: int, seconds: float) -> Result:
    """Wait until a version is in force on every live host.

    Parameters
    ----------
    client : OperatorClient
    version : int
    seconds : float
        Longest time to wait; 0 checks once.

    Returns
    -------
    Result
    """
    started_s = time.monotonic()
    while True:
        status = fetch_status(client)
        if isinstance(status, Result) and status.code is ExitCode.REJECTED:
            return status
        behind = None if isinstance(status, Result) else _hosts_behind(status, version)
        if behind == []:
            text = f"version {version} is in force on every live host"
            return Result(ExitCode.OK, {"version": version, "in_force": True}, text)
        if time.monotonic() - started_s >= seconds:
            break
        time.sleep(WAIT_POLL_S)
    names = (
        "unknown hosts, as no daemon reported its status"
        if behind is None
        else ", ".join(behind)
    )
    text = f"version {version} is not in force on: {names}"
    document = {"version": version, "in_force": False, "behind": behind}
    return Result(ExitCode.TIMED_OUT, document, text)


def _hosts_behind(status: dict[str, Any], version: int) -> list[str]:
    return [
        host["host"]
        for host in status["hosts"]
        if host["state"] in LIVE_STATES and host["config_version"] < version
    ]
