"""Entry point of the command ``cardamomquay``."""

from __future__ import annotations

import json
import os
import sys

from absl import app
from absl import flags

from cardamomquay_cli._client import ClientTls
from cardamomquay_cli._client import OperatorClient
from cardamomquay_cli._commands import COMMANDS
from cardamomquay_cli._results import EXIT_MEANINGS
from cardamomquay_cli._results import Command
from cardamomquay_cli._results import ExitCode
from cardamomquay_cli._results import Result

SERVER = flags.DEFINE_list(
    "server",
    ["http://127.0.0.1:8081"],
    "Operator ports of daemons, tried in order. The environment variable "
    "CARDAMOMQUAY_SERVER replaces the default.",
)
KEY_FILE = flags.DEFINE_string(
    "key_file",
    None,
    "File with the operator's key. Without this flag, the key is the value of the "
    "environment variable CARDAMOMQUAY_KEY.",
)
AUTHORITY = flags.DEFINE_string(
    "authority", None, "File with the operator ports' certificate authority."
)
CLIENT_CERTIFICATE = flags.DEFINE_string(
    "client_certificate", None, "File with the operator's own certificate."
)
CLIENT_KEY = flags.DEFINE_string(
    "client_key", None, "File with the private key of --client_certificate."
)
JSON_OUTPUT = flags.DEFINE_bool("json", False, "Print JSON.")
COMMON_FLAGS = (
    "server",
    "key_file",
    "authority",
    "client_certificate",
    "client_key",
    "json",
)
HELP_FLAGS = frozenset({"--help", "-help", "-h", "--helpfull", "--helpshort"})


def usage() -> str:
    """Return the help of the whole command line."""
    lines = ["usage: cardamomquay [flags] COMMAND [arguments]", "", "commands:"]
    for command in COMMANDS.values():
        lines.append(f"  {command.name + ' ' + command.usage:<36} {command.summary}")
    lines += ["", "flags:", *_flag_lines(COMMON_FLAGS), "", "exit codes:"]
    lines += [f"  {code:d}  {meaning}" for code, meaning in EXIT_MEANINGS.items()]
    lines += ["", "`cardamomquay COMMAND --help` explains a command."]
    return "\n".join(lines)


def command_help(command: Command) -> str:
    """Return the help of a command."""
    lines = [f"usage: cardamomquay {command.name} {command.usage}".rstrip(), ""]
    lines += [command.summary]
    if command.details:
        lines += [command.details]
    if command.flags:
        lines += ["", "flags of this command:", *_flag_lines(command.flags)]
    lines += ["", "flags:", *_flag_lines(COMMON_FLAGS)]
    return "\n".join(lines)


def _flag_lines(names: tuple[str, ...]) -> list[str]:
    lines = []
    for name in names:
        flag = flags.FLAGS[name]
        default = flag.default_as_str
        default_text = f" (default {default})" if default is not None else ""
        lines.append(f"  --{name:<20} {flag.help}{default_text}")
    return lines


def parse_flags(argv: list[str]) -> list[str]:
    """Parse the flags; print the help, or the error of a wrong flag.

    Raises
    ------
    SystemExit
        With 0 after help, with `ExitCode.USAGE` after a wrong flag.
    """
    if HELP_FLAGS & set(argv[1:]):
        named_commands = [COMMANDS[word] for word in argv[1:] if word in COMMANDS]
        print(command_help(named_commands[0]) if named_commands else usage())
        sys.exit(ExitCode.OK)
    try:
        remaining: list[str] = flags.FLAGS(argv)
    except flags.Error as exc:
        print(f"{exc}\n`cardamomquay --help` lists the flags.", file=sys.stderr)
        sys.exit(ExitCode.USAGE)
    return remaining


def main(argv: list[str]) -> int:
    """Run one command.

    Returns
    -------
    int
        See `ExitCode`.
    """
    command = COMMANDS.get(argv[1]) if len(argv) > 1 else None
    if command is None:
        text = usage()
        if len(argv) > 1:
            text = f"no command {argv[1]!r}\n{text}"
        return _print_result(
            Result(ExitCode.USAGE, {"error": text.splitlines()[0]}, text)
        )
    unsupported = _unsupported_flags(command)
    if unsupported:
        return _print_result(
            command.usage_error(f"not a flag of this command: --{unsupported[0]}")
        )
    servers = SERVER.value
    if not SERVER.present and "CARDAMOMQUAY_SERVER" in os.environ:
        servers = os.environ["CARDAMOMQUAY_SERVER"].split(",")
    try:
        key = _read_key()
    except OSError as exc:
        return _print_result(command.usage_error(f"--key_file: {exc}"))
    tls = ClientTls(AUTHORITY.value, CLIENT_CERTIFICATE.value, CLIENT_KEY.value)
    return _print_result(command.run(OperatorClient(servers, key, tls), argv[2:]))


def _unsupported_flags(command: Command) -> list[str]:
    """Return the given flags that belong to other commands only."""
    names = {name for other in COMMANDS.values() for name in other.flags}
    return sorted(
        name for name in names - set(command.flags) if flags.FLAGS[name].present
    )


def _print_result(result: Result) -> int:
    if JSON_OUTPUT.value:
        print(json.dumps(result.document, indent=2))
    else:
        stream = sys.stdout if result.code is ExitCode.OK else sys.stderr
        print(result.text, file=stream)
    return result.code


def _read_key() -> str:
    if KEY_FILE.value is None:
        return os.environ.get("CARDAMOMQUAY_KEY", "")
    with open(KEY_FILE.value, encoding="utf-8") as file:
        return file.read().strip()


def run() -> None:
    """Run the console script."""
    app.run(main, flags_parser=parse_flags)


if __name__ == "__main__":
    run()
