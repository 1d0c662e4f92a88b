"""Commands that grant and withdraw keys."""

from __future__ import annotations

import secrets
import sys
from typing import TYPE_CHECKING

from absl import flags

from cardamomquay.config import digest_secret
from cardamomquay_cli._editing import EDIT_FLAGS
from cardamomquay_cli._editing import change
from cardamomquay_cli._editing import fetch_config
from cardamomquay_cli._editing import send_edit
from cardamomquay_cli._results import Command
from cardamomquay_cli._results import ExitCode
from cardamomquay_cli._results import Result
from cardamomquay_cli._results import failed

if TYPE_CHECKING:
    from cardamomquay_cli._client import OperatorClient

REPLACE = flags.DEFINE_bool("replace", False, "Replace a key that exists.")
SECRET_BYTES = 20
SALT_BYTES = 16


class Grant(Command):
    """Grants a key to an organisation."""

    name = "grant"
    usage = "KEY_ID ORGANISATION [-]"
    summary = "Grant a key; its secret is made, or read from standard input with -."
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
                "a key id has no dot: the dot ends it in KEY_ID.SECRET"
            )
        shown = fetch_config(client)
        if isinstance(shown, Result):
            return shown
        row = shown.row("organisations", organisation)
        if row is None:
            return failed(f"no organisation {organisation}")
        if shown.row("keys", key_id) is not None and not REPLACE.value:
            return failed(f"key {key_id} exists; --replace gives it a new secret")
        given = len(arguments) > 2
        secret = sys.stdin.read().strip() if given else secrets.token_hex(SECRET_BYTES)
        if not secret:
            return self.usage_error("the secret is empty")
        salt = secrets.token_hex(SALT_BYTES)
        value = {
            "holder": organisation,
            "owner": row["owner"],
            "salt": salt,
            "digest": digest_secret(salt, secret),
        }
        result = send_edit(client, shown, [change("keys", key_id, value)])
        # An unsettled edit may turn out to be accepted, so its secret is shown too.
        if given or result.code not in {
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
        shown = fetch_config(client)
        if isinstance(shown, Result):
            return shown
        if shown.row("keys", arguments[0]) is None:
            return failed(f"no key {arguments[0]}")
        return send_edit(client, shown, [change("keys", arguments[0], None)])
