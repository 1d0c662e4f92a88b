"""Commands that grant and withdraw keys."""

from __future__ import annotations

import secrets
import sys
from typing import TYPE_CHECKING

from absl import flags

from cardamomquay.config import digest_secret
from cardamomquay_cli._editing import EDIT_FLAGS
from cardamomquay_cli._editing import fetch_config
from cardamomquay_cli._editing import row_change
from cardamomquay_cli._editing import send_edit
from cardamomquay_cli._results import Command
from cardamomquay_cli._results import ExitCode
from cardamomquay_cli._results import Result
from cardamomquay_cli._results import command_failure

if TYPE_CHECKING:
    from cardamomquay_cli._client import OperatorClient

REPLACE = flags.DEFINE_bool("replace", False, "Replace a key that exists.")
SECRET_BYTES = 20
SALT_BYTES = 16


class Grant(Command):
    """Grants a key to an organisation."""

    name = "grant"
    usage = "KEY_ID ORGANISATION [-]"
    summary = (
        "Grant a key; its secret is generated, or read from standard input with -."
    )
    details = (
        "Callers send KEY_ID.SECRET in X-Api-Key. The secret is shown once; only a\n"
        "salted digest of it is stored."
    )
    flags = ("replace", *EDIT_FLAGS)

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if not 2 <= len(arguments) <= 3 or arguments[2:] not in ([], ["-"]):
            return self.usage_error()
        key_id, organisation = arguments[:2]
        if "." in key_id:
            return self.usage_error(
                "a key id must not contain a dot: in KEY_ID.SECRET a dot follows it"
            )
        config = fetch_config(client)
        if isinstance(config, Result):
            return config
        row = config.row("organisations", organisation)
        if row is None:
            return command_failure(f"no organisation {organisation}")
        if config.row("keys", key_id) is not None and not REPLACE.value:
            return command_failure(
                f"key {key_id} exists; --replace gives it a new secret"
            )
        is_secret_given = len(arguments) > 2
        secret = (
            sys.stdin.read().strip()
            if is_secret_given
            else secrets.token_hex(SECRET_BYTES)
        )
        if not secret:
            return self.usage_error("the secret is empty")
        salt = secrets.token_hex(SALT_BYTES)
        value = {
            "holder": organisation,
            "owner": row["owner"],
            "salt": salt,
            "digest": digest_secret(salt, secret),
        }
        result = send_edit(client, config, [row_change("keys", key_id, value)])
        # An unsettled edit may have been accepted, so its secret is shown too.
        if is_secret_given or result.code not in {
            ExitCode.OK,
            ExitCode.UNSETTLED,
            ExitCode.TIMED_OUT,
        }:
            return result
        document = {**result.document, "key": f"{key_id}.{secret}"}
        return Result(result.code, document, f"{result.text}\nkey: {key_id}.{secret}")


class Withdraw(Command):
    """Withdraws a key."""

    name = "withdraw"
    usage = "KEY_ID"
    summary = "Withdraw a key; it stops working within 3 s of the acceptance."
    flags = EDIT_FLAGS

    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        if len(arguments) != 1:
            return self.usage_error()
        config = fetch_config(client)
        if isinstance(config, Result):
            return config
        if config.row("keys", arguments[0]) is None:
            return command_failure(f"no key {arguments[0]}")
        return send_edit(client, config, [row_change("keys", arguments[0], None)])
