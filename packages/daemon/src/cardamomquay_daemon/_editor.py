"""Reads and edits the configuration that the table service stores."""

from __future__ import annotations

import time
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from cardamomquay.config import CONFIG_HEAD_KEY
from cardamomquay.config import TABLES
from cardamomquay.config import Config
from cardamomquay.config import EditConflict
from cardamomquay.config import EditRejected
from cardamomquay.config import parse_config
from cardamomquay.config import parse_head
from cardamomquay.config import plan_edit
from cardamomquay.config_sync import UnsettledEdit
from cardamomquay.config_sync import withdrawn_keys
from cardamomquay.platform import Committed
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey
from cardamomquay.platform import Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomquay.clock import Clock
    from cardamomquay.config import ConfigEdit
    from cardamomquay.outcomes import Finding
    from cardamomquay.platform import TableService

READ_ATTEMPTS = 5
READ_RETRY_PAUSE_S = 0.05


@dataclass(frozen=True, slots=True)
class StoredConfig:
    """All configuration rows of one version.

    Parameters
    ----------
    head : Row
    rows : tuple of Row
    confirmed_at_s : float
        Start of the last read that returned this head.
    """

    head: Row
    rows: tuple[Row, ...]
    confirmed_at_s: float


@dataclass(frozen=True, slots=True)
class EditAccepted:
    """The edit has been committed.

    Parameters
    ----------
    config : Config
        The newest configuration, which may be later than the one that the edit made.
    confirmed_at_s : float
        Start of the last call to the store whose answer shows that `config` is the
        newest.
    version : int
        Version that the edit made.
    """

    config: Config
    confirmed_at_s: float
    version: int


@dataclass(frozen=True, slots=True)
class EditUnsettled:
    """It is not known yet whether the edit was committed."""

    edit_id: str


class EditState(StrEnum):
    """What the store shows about an edit with a given id."""

    ACCEPTED = "accepted"
    NOT_ACCEPTED = "not_accepted"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class EditStatus:
    """Whether an edit was accepted.

    Parameters
    ----------
    state : EditState
    version : int
        Version that the edit made, 0 if it was not accepted.
    head_version : int
        Newest version of the configuration.
    """

    state: EditState
    version: int
    head_version: int


def read_edit_status(
    tables: TableService, edit_id: str, expected_version: int | None
) -> EditStatus | Unavailable:
    """Read from the store whether an edit with this id was accepted.

    Parameters
    ----------
    tables : TableService
    edit_id : str
    expected_version : int or None
        Version that the edit is conditional on. As long as it is the newest one, an
        edit that is not stored can still be accepted. With None, the state of an edit
        that is not stored is `UNKNOWN`.

    Returns
    -------
    EditStatus or Unavailable
    """
    found = tables.read((RowKey("edit_ids", edit_id), CONFIG_HEAD_KEY))
    if isinstance(found, Unavailable):
        return found
    id_row, head = found.rows
    head_version, _, _ = parse_head(head)
    if id_row.value is not None:
        version = int(str(id_row.value["version"]))
        return EditStatus(EditState.ACCEPTED, version, head_version)
    if expected_version is not None and head_version != expected_version:
        return EditStatus(EditState.NOT_ACCEPTED, 0, head_version)
    return EditStatus(EditState.UNKNOWN, 0, head_version)


def read_stored_config(
    tables: TableService, clock: Clock
) -> StoredConfig | Unavailable:
    """Read the head row and all configuration rows of the same version.

    Parameters
    ----------
    tables : TableService
    clock : Clock

    Returns
    -------
    StoredConfig or Unavailable
    """
    for attempt in range(READ_ATTEMPTS):
        if attempt:
            time.sleep(READ_RETRY_PAUSE_S)
        before = tables.read((CONFIG_HEAD_KEY,))
        if isinstance(before, Unavailable):
            return before
        rows: list[Row] = []
        is_outdated = False
        for table in TABLES:
            scan = tables.scan(table)
            if isinstance(scan, Unavailable):
                return scan
            # The version of a row is the revision at which it was last written.
            is_outdated = is_outdated or scan.revision < before.rows[0].version
            rows.extend(scan.rows)
        started_s = clock.now_s()
        after = tables.read((CONFIG_HEAD_KEY,))
        if isinstance(after, Unavailable):
            return after
        if not is_outdated and after.rows[0].version == before.rows[0].version:
            return StoredConfig(after.rows[0], tuple(rows), started_s)
    return Unavailable("the configuration changed during each read")


def parse_stored_config(stored: StoredConfig) -> Config | tuple[Finding, ...]:
    """Parse stored rows; findings are returned if they are not valid."""
    version, edit_id, _ = parse_head(stored.head)
    return parse_config(version, edit_id, stored.rows)


def commit_edit(
    tables: TableService,
    clock: Clock,
    edit: ConfigEdit,
    on_outcome_unknown: Callable[[UnsettledEdit], None] | None = None,
) -> EditAccepted | EditRejected | EditConflict | EditUnsettled | Unavailable:
    """Check and commit an edit.

    Parameters
    ----------
    tables : TableService
    clock : Clock
    edit : ConfigEdit
    on_outcome_unknown : callable, optional
        Called before the store is read for the outcome, if the answer to the
        transaction was lost or is a conflict.

    Returns
    -------
    EditAccepted, EditRejected, EditConflict, EditUnsettled or Unavailable
        Unavailable only if this call certainly did not commit the edit, or if the edit
        was accepted but the stored configuration is not valid.
    """
    stored = read_stored_config(tables, clock)
    if isinstance(stored, Unavailable):
        return Unavailable(stored.reason)
    planned = plan_edit(stored.head, stored.rows, edit)
    if isinstance(planned, EditConflict):
        # The request may repeat an edit that was accepted earlier.
        return read_edit_outcome(tables, clock, edit)
    if isinstance(planned, EditRejected):
        return planned
    started_s = clock.now_s()
    outcome = tables.transact(planned.transaction)
    match outcome:
        case Committed():
            return EditAccepted(planned.config, started_s, planned.config.version)
        case Unavailable(may_have_committed=False):
            return outcome
        case _:
            if on_outcome_unknown is not None:
                keys = withdrawn_keys(stored.rows, edit)
                base_version = edit.expected_version
                on_outcome_unknown(
                    UnsettledEdit(edit.edit_id, base_version, keys, edit.owner)
                )
            return read_edit_outcome(tables, clock, edit)


def read_edit_outcome(
    tables: TableService, clock: Clock, edit: ConfigEdit
) -> EditAccepted | EditConflict | EditUnsettled | Unavailable:
    """Read the result of an edit that this request or an earlier one submitted.

    Parameters
    ----------
    tables : TableService
    clock : Clock
    edit : ConfigEdit

    Returns
    -------
    EditAccepted, EditConflict, EditUnsettled or Unavailable
        Unavailable if the edit was accepted but the stored configuration is not valid.
    """
    id_key = RowKey("edit_ids", edit.edit_id)
    found = tables.read((id_key, CONFIG_HEAD_KEY))
    if isinstance(found, Unavailable):
        return EditUnsettled(edit.edit_id)
    id_row, head = found.rows
    if id_row.value is None:
        version, edit_id, operator = parse_head(head)
        if version != edit.expected_version:
            # Another edit was accepted instead, so this one can no longer be.
            return EditConflict(version, edit_id, operator)
        return EditUnsettled(edit.edit_id)
    stored = read_stored_config(tables, clock)
    if isinstance(stored, Unavailable):
        return EditUnsettled(edit.edit_id)
    config = parse_stored_config(stored)
    if isinstance(config, tuple):
        return Unavailable("the stored configuration is not valid")
    accepted_version = int(str(id_row.value["version"]))
    return EditAccepted(config, stored.confirmed_at_s, accepted_version)
