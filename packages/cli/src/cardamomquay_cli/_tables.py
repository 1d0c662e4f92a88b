"""Commands that show and edit rows of the tables."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.config import TABLES
from cardamomquay_cli._editing import EDIT_FLAGS
from cardamomquay_cli._editing import fetch_config
from cardamomquay_cli._editing import parse_json
from cardamomquay_cli._editing import row_change
from cardamomquay_cli._editing import send_edit
from cardamomquay_cli._results import Command
from cardamomquay_cli._results import ExitCode
from cardamomquay_cli._results import Result
from cardamomquay_cli._results import command_failure

if TYPE_CHECKING:
    from cardamomquay_cli._client import OperatorClient

TABLE_HELP = f"TABLE is one of: {', '.join(TABLES)}."


class Show(Command):
    """Shows tables or one row."""

    name = "show"
    usage = "[TABLE [KEY]]"
    summary = "Show the configuration, a table or a row."
    details = f"{TABLE_HELP}\nBoth owners' rows are shown to every operator."

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if len(arguments) > 2 or (arguments and arguments[0] not in TABLES):
            return self.usage_error()
        config = fetch_config(client)
        if isinstance(config, Result):
            return config
        document: Any = config.document
        if arguments:
            document = config.tables[arguments[0]]
        if len(arguments) > 1:
            document = document.get(arguments[1])
            if document is None:
                return command_failure(f"no row {arguments[0]}/{arguments[1]}")
        return Result(ExitCode.OK, document, json.dumps(document, indent=2))


class Set(Command):
    """Sets a row."""

    name = "set"
    usage = "TABLE KEY JSON"
    summary = "Set a whole row."
    details = f"{TABLE_HELP}\nThe whole configuration is checked before it is stored."
    flags = EDIT_FLAGS

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if len(arguments) != 3 or arguments[0] not in TABLES:
            return self.usage_error()
        try:
            value = parse_json(arguments[2])
        except ValueError as exc:
            return self.usage_error(f"invalid JSON: {exc}")
        if not isinstance(value, dict):
            return self.usage_error("a row is a JSON object")
        config = fetch_config(client)
        if isinstance(config, Result):
            return config
        return send_edit(
            client, config, [row_change(arguments[0], arguments[1], value)]
        )


class Patch(Command):
    """Changes fields of a row."""

    name = "patch"
    usage = "TABLE KEY FIELD=VALUE..."
    summary = "Change fields of a row and keep its other fields."
    details = (
        f"{TABLE_HELP}\nA VALUE that is not valid JSON is taken as a string."
        "\nA FIELD without =VALUE goes back to its default."
    )
    flags = EDIT_FLAGS

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if len(arguments) < 3 or arguments[0] not in TABLES:
            return self.usage_error()
        table, key, *fields = arguments
        config = fetch_config(client)
        if isinstance(config, Result):
            return config
        row = config.row(table, key)
        if row is None:
            return command_failure(f"no row {table}/{key}")
        for text in fields:
            name, separator, value = text.partition("=")
            if separator:
                row[name] = _parse_value(value)
            else:
                row.pop(name, None)
        return send_edit(client, config, [row_change(table, key, row)])


class Delete(Command):
    """Deletes a row."""

    name = "delete"
    usage = "TABLE KEY"
    summary = "Delete a row."
    details = TABLE_HELP
    flags = EDIT_FLAGS

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if len(arguments) != 2 or arguments[0] not in TABLES:
            return self.usage_error()
        config = fetch_config(client)
        if isinstance(config, Result):
            return config
        if config.row(arguments[0], arguments[1]) is None:
            return command_failure(f"no row {arguments[0]}/{arguments[1]}")
        return send_edit(client, config, [row_change(arguments[0], arguments[1], None)])


class Apply(Command):
    """Changes several rows in one edit."""

    name = "apply"
    usage = "FILE"
    summary = "Change several rows, of several tables, in one edit."
    details = (
        'FILE holds JSON of the form {"routes": {"browse": {...}}, "pools": {...}}.\n'
        "A null row is deleted. All changes are accepted together or not at all."
    )
    flags = EDIT_FLAGS

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if len(arguments) != 1:
            return self.usage_error()
        try:
            document = parse_json(Path(arguments[0]).read_text(encoding="utf-8"))
        except (OSError, ValueError) as exc:
            return self.usage_error(f"{arguments[0]}: {exc}")
        if not isinstance(document, dict) or not all(
            table in TABLES and isinstance(rows, dict)
            for table, rows in document.items()
        ):
            return self.usage_error(
                f"{arguments[0]}: not a JSON object with the rows of known tables"
            )
        changes = [
            row_change(table, key, value)
            for table, rows in document.items()
            for key, value in rows.items()
        ]
        if not changes:
            return self.usage_error(f"{arguments[0]}: no rows")
        config = fetch_config(client)
        if isinstance(config, Result):
            return config
        return send_edit(client, config, changes)


def _parse_value(text: str) -> Any:
    try:
        return parse_json(text)
    except ValueError:
        return text
