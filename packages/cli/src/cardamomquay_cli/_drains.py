"""Commands that drain and undrain upstreams and hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cardamomquay_cli._editing import EDIT_FLAGS
from cardamomquay_cli._editing import fetch_config
from cardamomquay_cli._editing import row_change
from cardamomquay_cli._editing import send_edit
from cardamomquay_cli._hosts import fetch_status
from cardamomquay_cli._results import Command
from cardamomquay_cli._results import Result
from cardamomquay_cli._results import command_failure

if TYPE_CHECKING:
    from cardamomquay_cli._client import OperatorClient


class Drain(Command):
    """Drains an upstream."""

    name = "drain"
    usage = "POOL UPSTREAM"
    summary = "Stop new requests to an upstream within 3 s of the acceptance."
    flags = EDIT_FLAGS

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        return _set_upstream_draining(self, client, arguments, draining=True)


class Undrain(Command):
    """Sends requests to a drained upstream again."""

    name = "undrain"
    usage = "POOL UPSTREAM"
    summary = "Send requests to a drained upstream again."
    flags = EDIT_FLAGS

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        return _set_upstream_draining(self, client, arguments, draining=False)


class DrainHost(Command):
    """Sends the callers of a host to other hosts."""

    name = "drain-host"
    usage = "HOST"
    summary = "Send callers to other hosts; the host still serves those that come."
    details = (
        "The drain is a row of the table `hosts` and survives a restart of the host.\n"
        "Only the owner of the host's region may drain the host."
    )
    flags = EDIT_FLAGS

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        return _set_host_draining(self, client, arguments, draining=True)


class UndrainHost(Command):
    """Sends callers to a host again."""

    name = "undrain-host"
    usage = "HOST"
    summary = "Send callers to a drained host again."
    flags = EDIT_FLAGS

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        return _set_host_draining(self, client, arguments, draining=False)


def _set_upstream_draining(
    command: Command, client: OperatorClient, arguments: list[str], draining: bool
) -> Result:
    if len(arguments) != 2:
        return command.usage_error()
    pool, name = arguments
    config = fetch_config(client)
    if isinstance(config, Result):
        return config
    row = config.row("pools", pool)
    if row is None:
        return command_failure(f"no pool {pool}")
    if name not in {upstream["name"] for upstream in row["upstreams"]}:
        return command_failure(f"no upstream {name} in pool {pool}")
    row["upstreams"] = [
        {**upstream, "draining": draining} if upstream["name"] == name else upstream
        for upstream in row["upstreams"]
    ]
    return send_edit(client, config, [row_change("pools", pool, row)])


def _set_host_draining(
    command: Command, client: OperatorClient, arguments: list[str], draining: bool
) -> Result:
    if len(arguments) != 1:
        return command.usage_error()
    host = arguments[0]
    config = fetch_config(client)
    if isinstance(config, Result):
        return config
    row: dict[str, Any] | None = config.row("hosts", host)
    if row is None:
        status = fetch_status(client)
        if isinstance(status, Result):
            return status
        regions = {entry["host"]: entry["region"] for entry in status["hosts"]}
        region = config.row("regions", regions.get(host, ""))
        if region is None:
            return command_failure(f"no host {host}, or its region is not in `regions`")
        row = {"owner": region["owner"], "region": regions[host]}
    row["draining"] = draining
    return send_edit(client, config, [row_change("hosts", host, row)])
