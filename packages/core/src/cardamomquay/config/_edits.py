"""Validation of configuration edits and their conversion to transactions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.config._model import TABLES
from cardamomquay.config._validate import parse_config
from cardamomquay.outcomes import Finding
from cardamomquay.platform import Condition
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Write

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomquay.config._model import Config
    from cardamomquay.platform import JsonValue

# The head row: version of the current configuration, and id and operator of the edit
# that made it. Every edit writes this row, so two edits of one version conflict.
CONFIG_HEAD_KEY = RowKey("config", "head")
# An edit may change only rows of the owner for whom it is made. This includes `regions`
# and `links`: the other owner relies on these rows too, but each describes the
# deployment of its own owner.
EDITABLE_TABLES = frozenset(TABLES)


@dataclass(frozen=True, slots=True)
class RowChange:
    """The new value of a row; None deletes the row."""

    key: RowKey
    value: Mapping[str, JsonValue] | None


@dataclass(frozen=True, slots=True)
class ConfigEdit:
    """An edit that an operator requests.

    Parameters
    ----------
    edit_id : str
        Unique id, by which the outcome is found after a lost answer.
    operator, owner : str
        The operator, and the owner for whom the operator makes the edit.
    expected_version : int
        Configuration version on which the edit is based.
    changes : tuple of RowChange
    accepted_at : str
        Wall-clock time for the audit row, in ISO 8601.
    key_id : str
        Id of the operator's key. The row of the key must exist in the rows to which
        the edit is applied: the host that accepted the key may have had an older
        configuration. If empty, this is not checked.
    """

    edit_id: str
    operator: str
    owner: str
    expected_version: int
    changes: tuple[RowChange, ...]
    accepted_at: str = ""
    key_id: str = ""


@dataclass(frozen=True, slots=True)
class PlannedEdit:
    """A valid edit: its transaction, and the resulting configuration."""

    transaction: Transaction
    config: Config


@dataclass(frozen=True, slots=True)
class EditRejected:
    """An edit that is not permitted or not valid, with the reasons."""

    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True)
class EditConflict:
    """Another edit was accepted first; describes the current version."""

    version: int
    edit_id: str
    operator: str


def parse_head(row: Row) -> tuple[int, str, str]:
    """Return the version, edit id and operator of the head row.

    Before the first edit there is no head row, and the version is 0.
    """
    if row.value is None:
        return 0, "", ""
    return (
        int(str(row.value["version"])),
        str(row.value["edit_id"]),
        str(row.value["operator"]),
    )


def plan_edit(
    head: Row, rows: Sequence[Row], edit: ConfigEdit
) -> PlannedEdit | EditRejected | EditConflict:
    """Check an edit against the current rows and convert it to a transaction.

    Parameters
    ----------
    head : Row
        The row of `CONFIG_HEAD_KEY`.
    rows : sequence of Row
        All configuration rows of the same snapshot.
    edit : ConfigEdit

    Returns
    -------
    PlannedEdit, EditRejected or EditConflict
    """
    version, edit_id, operator = parse_head(head)
    if version != edit.expected_version:
        return EditConflict(version, edit_id, operator)
    current = {row.key: row for row in rows}
    findings = _permission_findings(current, edit)
    if findings:
        return EditRejected(tuple(findings))
    merged = dict(current)
    for change in edit.changes:
        if change.value is None:
            merged.pop(change.key, None)
        else:
            merged[change.key] = Row(change.key, 0, change.value)
    config = parse_config(version + 1, edit.edit_id, merged.values())
    if isinstance(config, tuple):
        return EditRejected(config)
    return PlannedEdit(_transaction(head, current, edit, version + 1), config)


def _permission_findings(
    current: Mapping[RowKey, Row], edit: ConfigEdit
) -> list[Finding]:
    findings = []
    if edit.key_id and not _is_stored_operator_key(current, edit):
        source = f"operators/{edit.key_id}"
        findings.append(
            Finding(
                source,
                "",
                "no such key",
                "the key of an operator",
            )
        )
    seen: set[RowKey] = set()
    for change in edit.changes:
        if change.key in seen:
            findings.append(Finding(str(change.key), "", "two changes", "one change"))
        seen.add(change.key)
        if change.key.table not in EDITABLE_TABLES:
            findings.append(
                Finding(str(change.key), "", "an unknown table", ", ".join(TABLES))
            )
            continue
        old = current.get(change.key)
        # The row models report a missing or malformed owner of a new row.
        owners = [row.get("owner") for row in (change.value,) if row is not None]
        owners = [owner for owner in owners if isinstance(owner, str)]
        if old is not None and old.value is not None:
            owners.append(old.value.get("owner"))
        findings.extend(
            Finding(str(change.key), "owner", repr(owner), f"{edit.owner!r}")
            for owner in dict.fromkeys(owners)
            if owner != edit.owner
        )
    return findings


def _is_stored_operator_key(current: Mapping[RowKey, Row], edit: ConfigEdit) -> bool:
    row = current.get(RowKey("operators", edit.key_id))
    if row is None or row.value is None:
        return False
    return (row.value.get("holder"), row.value.get("owner")) == (
        edit.operator,
        edit.owner,
    )


def _transaction(
    head: Row, current: Mapping[RowKey, Row], edit: ConfigEdit, version: int
) -> Transaction:
    audit: dict[str, JsonValue] = {
        "version": version,
        "edit_id": edit.edit_id,
        "operator": edit.operator,
        "owner": edit.owner,
        "accepted_at": edit.accepted_at,
        "changes": [_audit_entry(current, change) for change in edit.changes],
    }
    head_value: dict[str, JsonValue] = {
        "version": version,
        "edit_id": edit.edit_id,
        "operator": edit.operator,
    }
    edit_id_key = RowKey("edit_ids", edit.edit_id)
    return Transaction(
        conditions=(
            Condition(CONFIG_HEAD_KEY, head.version),
            Condition(edit_id_key, 0),
        ),
        writes=(
            *(Write(change.key, change.value) for change in edit.changes),
            Write(CONFIG_HEAD_KEY, head_value),
            Write(RowKey("edits", f"{version:012d}"), audit),
            Write(edit_id_key, {"version": version}),
        ),
    )


def _audit_entry(current: Mapping[RowKey, Row], change: RowChange) -> JsonValue:
    old = current.get(change.key)
    return {
        "row": str(change.key),
        "old": None if old is None else old.value,
        "new": change.value,
    }
