"""Commands that drain and undrain upstreams and hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cardamomquay_cli._editing import EDIT_FLAGS
from cardamomquay_cli._editing import change
from cardamomquay_cli._editing import fetch_config
from cardamomquay_cli._editing import send_edit
from cardamomquay_cli._hosts import fetch_status
from cardamomquay_cli._results import Command
from cardamomquay_cli._results import Result
from cardamomquay_cli._results import failed

if TYPE_CHECKING:
    from cardamomquay_cli._client import OperatorClient


class Drain(Command):
    """Drains an upstream."""

    name = "drain"
    usage = "POOL UPSTREAM"
    summary = "Give an upstream no new work from 3 s after the acceptance."
    flags = EDIT_FLAGS

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        return _set_upstream(self, client, arguments, draining=True)


class Undrain(Command):
    """Gives a drained upstream work again."""

    name = "undrain"
    usage = "POOL UPSTREAM"
    summary = "Give a drained upstream work again."
    flags = EDIT_FLAGS

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        return _set_upstream(self, client, arguments, draining=False)


class DrainHost(Command):
    """Sends callers away from a host."""

    name = "drain-host"
    usage = "HOST"
    summary = "Send callers to other hosts; the host goes on serving late ones."
    details = (
        "The wish is a row of the table `hosts` and survives a restart of the host.\n"
        "Only an owner of the host's region may drain it."
    )
    flags = EDIT_FLAGS

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        return _set_host(self, client, arguments, draining=True)


class UndrainHost(Command):
    """Sends callers to a host again."""

    name = "undrain-host"
    usage = "HOST"
    summary = "Send callers to a drained host again."
    flags = EDIT_FLAGS

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        return _set_host(self, client, arguments, draining=False)


def _set_upstream(
    command: Command, client: OperatorClient, arguments: list[str], draining: bool
) -> Result:
    if len(arguments) != 2:
        return command.usage_error()
    pool, name = arguments
    shown = fetch_config(client)
    if isinstance(shown, Result):
        return shown
    row = shown.row("pools", pool)
    if row is None:
        return failed(f"no pool {pool}")
    if name not in {upstream["name"] for upstream in row["upstreams"]}:
        return failed(f"no upstream {name} in pool {pool}")
    row["upstreams"] = [
        {**upstream, "draining": draining} if upstream["name"] == name else upstream
        for upstream in row["upstreams"]
    ]
    return send_edit(client, shown, [change("pools", pool, row)])


def _set_host(
    command: Command, client: OperatorClient, arguments: list[str], draining: bool
) -> Result:
    if len(arguments) != 1:
        return command.usage_error()
    host = arguments[0]
    shown = fetch_config(client)
    if isinstance(shown, Result):
        return shown
    row: dict[str, Any] | None = shown.row("hosts", host)
    if row is None:
        status = fetch_status(client)
        if isinstance(status, Result):
            return status
        regions = {entry["host"]: entry["region"] for entry in status["hosts"]}
        region = shown.row("regions", regions.get(host, ""))
        if region is None:
            return failed(f"no host {host}, or its region is not in `regions`")
        row = {"owner": region["owner"], "region": regions[host]}
    row["draining"] = draining
    return send_edit(client, shown, [change("hosts", host, row)])
