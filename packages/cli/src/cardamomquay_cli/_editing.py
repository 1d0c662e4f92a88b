"""Sends edits of the configuration and finds out the outcome of unanswered ones."""

from __future__ import annotations

import json
import time
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import quote

from absl import flags

from cardamomquay_cli._client import NoAnswer
from cardamomquay_cli._hosts import wait_in_force
from cardamomquay_cli._results import HTTP_OK
from cardamomquay_cli._results import ExitCode
from cardamomquay_cli._results import Result
from cardamomquay_cli._results import call_failure

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
class StoredConfig:
    """The stored configuration on which an edit is based.

    Parameters
    ----------
    version : int
    tables : dict
        Rows by table and key.
    document : object
        The daemon's whole answer, of which `version` and `tables` are parts.
    """

    version: int
    tables: dict[str, dict[str, Any]]
    document: Any

    def row(self, table: str, key: str) -> dict[str, Any] | None:
        """Return a copy of a row, or None."""
        value = self.tables.get(table, {}).get(key)
        return None if value is None else dict(value)


def fetch_config(client: OperatorClient) -> StoredConfig | Result:
    """Read the stored configuration."""
    answer = client.get("/v1/config")
    if isinstance(answer, NoAnswer) or answer.status != HTTP_OK:
        return call_failure(answer)
    document = answer.document
    return StoredConfig(int(document["head"]["version"]), document["tables"], document)


def row_change(table: str, key: str, value: Any) -> dict[str, Any]:
    """Return one change of an edit; a value of None deletes the row."""
    return {"table": table, "key": key, "value": value}


def parse_json(text: str) -> Any:
    """Parse JSON and reject names that are repeated in one object.

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
            raise ValueError(f"name {name!r} is repeated in one object")
    return dict(pairs)


def send_edit(
    client: OperatorClient, config: StoredConfig, changes: list[dict[str, Any]]
) -> Result:
    """Send an edit that is accepted only if it is based on the newest version.

    Parameters
    ----------
    client : OperatorClient
    config : StoredConfig
        The configuration on which the changes are based. If a later version has been
        accepted, the edit is refused as a conflict.
    changes : list of dict

    Returns
    -------
    Result
    """
    edit_id = EDIT_ID.value or uuid.uuid4().hex
    document = {
        "edit_id": edit_id,
        "expected_version": config.version,
        "changes": changes,
    }
    answer = client.post("/v1/edits", document)
    if isinstance(answer, NoAnswer):
        if not answer.may_have_arrived:
            return call_failure(answer)
        return _settle_repeatedly(client, edit_id, config.version)
    match answer.status:
        case 200:
            return _accepted_result(client, {**answer.document, "edit_id": edit_id})
        case 422:
            lines = [
                f"{f['source']}: {f['path']} found {f['found']}, "
                f"expected {f['expected']}"
                for f in answer.document["findings"]
            ]
            return Result(ExitCode.REJECTED, answer.document, "\n".join(lines))
        case 409:
            other = answer.document["conflict"]
            text = (
                f"not accepted: {other['operator']} changed the configuration first "
                f"(version {other['version']}, edit {other['edit_id']})"
            )
            return Result(ExitCode.CONFLICT, answer.document, text)
        case 504:
            return _settle_repeatedly(client, edit_id, config.version)
        case _:
            return call_failure(answer)


def settle(
    client: OperatorClient, edit_id: str, expected_version: int | None
) -> Result:
    """Ask whether an edit was accepted.

    Parameters
    ----------
    client : OperatorClient
    edit_id : str
    expected_version : int or None
        Version on which the edit is based. Without it, an edit that is not stored
        stays unsettled, because its transaction may still arrive.

    Returns
    -------
    Result
    """
    query = "" if expected_version is None else f"?expected_version={expected_version}"
    answer = client.get(f"/v1/edits/{quote(edit_id, safe='')}{query}")
    if isinstance(answer, NoAnswer) or answer.status != HTTP_OK:
        return call_failure(answer)
    document = answer.document
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
            return _unsettled_result(edit_id, expected_version)


def _settle_repeatedly(
    client: OperatorClient, edit_id: str, expected_version: int
) -> Result:
    result = _unsettled_result(edit_id, expected_version)
    for _ in range(SETTLE_ATTEMPTS):
        time.sleep(SETTLE_PAUSE_S)
        settled = settle(client, edit_id, expected_version)
        if settled.code is ExitCode.OK:
            return _accepted_result(client, {**settled.document, "accepted": True})
        if settled.code is ExitCode.CONFLICT:
            return settled
    return result


def _unsettled_result(edit_id: str, expected_version: int | None) -> Result:
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


def _accepted_result(client: OperatorClient, document: dict[str, Any]) -> Result:
    version = int(document["version"])
    text = f"accepted as version {version}"
    if not WAIT_S.value:
        return Result(ExitCode.OK, document, text)
    wait_result = wait_in_force(client, version, WAIT_S.value)
    return Result(
        wait_result.code,
        {**document, **wait_result.document},
        f"{text}\n{wait_result.text}",
    )
