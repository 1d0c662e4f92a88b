"""Sends edits of the configuration and settles those whose answer is lost."""

from __future__ import annotations

import json
import time
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import quote

from absl import flags

from cardamomquay_cli._client import NoReply
from cardamomquay_cli._hosts import wait_in_force
from cardamomquay_cli._results import HTTP_OK
from cardamomquay_cli._results import ExitCode
from cardamomquay_cli._results import Result
from cardamomquay_cli._results import failure

if TYPE_CHECKING:
    from cardamomquay_cli._client import OperatorClient

EDIT_ID = flags.DEFINE_string(
    "edit_id", None, "Id of the edit; a new one by default. Reuse it to retry an edit."
)
WAIT_S = flags.DEFINE_float(
    "wait_s",
    0.0,
    "Wait for up to this many seconds until the edit is in force on every live host.",
    lower_bound=0.0,
)
EDIT_FLAGS = ("edit_id", "wait_s")
SETTLE_ATTEMPTS = 5
SETTLE_PAUSE_S = 0.5


@dataclass(frozen=True, slots=True)
class Shown:
    """The stored configuration that an edit is made from."""

    version: int
    tables: dict[str, dict[str, Any]]
    document: Any

    def row(self, table: str, key: str) -> dict[str, Any] | None:
        """Return a copy of a row, or None."""
        value = self.tables.get(table, {}).get(key)
        return None if value is None else dict(value)


def fetch_config(client: OperatorClient) -> Shown | Result:
    """Read the stored configuration."""
    reply = client.get("/v1/config")
    if isinstance(reply, NoReply) or reply.status != HTTP_OK:
        return failure(reply)
    document = reply.document
    return Shown(int(document["head"]["version"]), document["tables"], document)


def change(table: str, key: str, value: Any) -> dict[str, Any]:
    """Return one change of an edit; a value of None deletes the row."""
    return {"table": table, "key": key, "value": value}


def parse_json(text: str) -> Any:
    """Read JSON and reject names that stand twice in one object.

    Raises
    ------
    ValueError
        If the text is not JSON, or a name is repeated.
    """
    return json.loads(text, object_pairs_hook=_unique_names)


def _unique_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    names = [name for name, _ in pairs]
    for name in names:
        if names.count(name) > 1:
            raise ValueError(f"name {name!r} stands twice in one object")
    return dict(pairs)


def send_edit(
    client: OperatorClient, shown: Shown, changes: list[dict[str, Any]]
) -> Result:
    """Send an edit that is conditional on the version it was made from.

    Parameters
    ----------
    client : OperatorClient
    shown : Shown
        What the changes were made from. A later version is a conflict.
    changes : list of dict

    Returns
    -------
    Result
    """
    edit_id = EDIT_ID.value or uuid.uuid4().hex
    document = {
        "edit_id": edit_id,
        "expected_version": shown.version,
        "changes": changes,
    }
    reply = client.post("/v1/edits", document)
    if isinstance(reply, NoReply):
        if not reply.may_have_arrived:
            return failure(reply)
        return _settle_repeatedly(client, edit_id, shown.version)
    match reply.status:
        case 200:
            return _accepted(client, {**reply.document, "edit_id": edit_id})
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
            return _settle_repeatedly(client, edit_id, shown.version)
        case _:
            return failure(reply)


def settle(
    client: OperatorClient, edit_id: str, expected_version: int | None
) -> Result:
    """Ask whether an edit was accepted.

    Parameters
    ----------
    client : OperatorClient
    edit_id : str
    expected_version : int or None
        Version that the edit was made from. Without it, an edit that is not
        stored stays unsettled, because its transaction may still be on its way.

    Returns
    -------
    Result
    """
    query = "" if expected_version is None else f"?expected_version={expected_version}"
    reply = client.get(f"/v1/edits/{quote(edit_id, safe='')}{query}")
    if isinstance(reply, NoReply) or reply.status != HTTP_OK:
        return failure(reply)
    document = reply.document
    match document["state"]:
        case "accepted":
            text = f"edit {edit_id} was accepted as version {document['version']}"
            return Result(ExitCode.OK, document, text)
        case "not_accepted":
            text = (
                f"edit {edit_id} was not accepted: version "
                f"{document['head_version']} was accepted in its place"
            )
            return Result(ExitCode.CONFLICT, document, text)
        case _:
            return _unsettled(edit_id, expected_version)


def _settle_repeatedly(
    client: OperatorClient, edit_id: str, expected_version: int
) -> Result:
    result = _unsettled(edit_id, expected_version)
    for _ in range(SETTLE_ATTEMPTS):
        time.sleep(SETTLE_PAUSE_S)
        settled = settle(client, edit_id, expected_version)
        if settled.code is ExitCode.OK:
            return _accepted(client, {**settled.document, "accepted": True})
        if settled.code is ExitCode.CONFLICT:
            return settled
    return result


def _unsettled(edit_id: str, expected_version: int | None) -> Result:
    document = {
        "accepted": None,
        "edit_id": edit_id,
        "expected_version": expected_version,
    }
    version = "VERSION" if expected_version is None else str(expected_version)
    text = (
        f"not known yet whether edit {edit_id} was accepted; "
        f"run `cardamomquay settle {edit_id} {version}`"
    )
    return Result(ExitCode.UNSETTLED, document, text)


def _accepted(client: OperatorClient, document: dict[str, Any]) -> Result:
    version = int(document["version"])
    text = f"accepted as version {version}"
    if not WAIT_S.value:
        return Result(ExitCode.OK, document, text)
    waited = wait_in_force(client, version, WAIT_S.value)
    return Result(
        waited.code, {**document, **waited.document}, f"{text}\n{waited.text}"
    )
