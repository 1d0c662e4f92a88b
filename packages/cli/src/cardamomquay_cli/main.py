"""Entry point of ``cardamomquay``."""

from __future__ import annotations

import json
import os
import sys

from absl import app
from absl import flags

from cardamomquay_cli._client import OperatorClient
from cardamomquay_cli._commands import COMMANDS
from cardamomquay_cli._commands import ExitCode

SERVER = flags.DEFINE_list(
    "server",
    ["http://127.0.0.1:8081"],
    "Operator ports of daemons, tried in order; also CARDAMOMQUAY_SERVER.",
)
KEY_FILE = flags.DEFINE_string(
    "key_file", None, "File with the operator's key; also CARDAMOMQUAY_KEY."
)
AUTHORITY = flags.DEFINE_string(
    "authority", None, "File with the operator ports' certificate authority."
)
JSON = flags.DEFINE_bool("json", False, "Print JSON.")


def usage() -> str:
    """Return the text that lists the commands."""
    lines = ["usage: cardamomquay [flags] COMMAND [arguments]", "", "commands:"]
    for command in COMMANDS.values():
        lines.append(f"  {command.name + ' ' + command.usage:<24} {command.summary}")
    lines += ["", "`cardamomquay --help` lists the flags."]
    return "\n".join(lines)


def main(argv: list[str]) -> int:
    """Run one command.

    Returns
    -------
    int
        See `ExitCode`.
    """
    command = COMMANDS.get(argv[1]) if len(argv) > 1 else None
    if command is None:
        print(usage(), file=sys.stderr)
        return ExitCode.USAGE
    servers = SERVER.value
    if not SERVER.present and "CARDAMOMQUAY_SERVER" in os.environ:
        servers = os.environ["CARDAMOMQUAY_SERVER"].split(",")
    client = OperatorClient(servers, _key(), AUTHORITY.value)
    result = command.run(client, argv[2:])
    if JSON.value:
        print(json.dumps(result.document, indent=2))
    else:
        stream = sys.stdout if result.code is ExitCode.OK else sys.stderr
        print(result.text, file=stream)
    return result.code


def _key() -> str:
    if KEY_FILE.value is None:
        return os.environ.get("CARDAMOMQUAY_KEY", "")
    with open(KEY_FILE.value, encoding="utf-8") as file:
        return file.read().strip()


def run() -> None:
    """Console script."""
    app.run(main)


if __name__ == "__main__":
    run()
