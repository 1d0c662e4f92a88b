"""Edits whose answer was lost, and the keys that they would withdraw.

Such an edit may have been accepted. An outage that begins right after it would hide
that for as long as it lasts, so the keys are refused until the edit is settled.
"""

from __future__ import annotations

import json
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

import immutables

from cardamomquay.config import HEAD
from cardamomquay.config import head_version
from cardamomquay.currency._part import ConfigState
from cardamomquay.membership import ExchangeAnswered
from cardamomquay.membership import ExchangeReceived
from cardamomquay.platform import Condition
from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Write
from cardamomquay.reducer import CoreState
from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event
from cardamomquay.reducer import Identity
from cardamomquay.reducer import Part
from cardamomquay.reducer import Tick

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cardamomquay.config import ConfigEdit
    from cardamomquay.platform import JsonValue
    from cardamomquay.platform import Row

UNSETTLED_EXTRA = "unsettled_edits"
SETTLE_INTERVAL_S = 0.5
SETTLE_TIMEOUT_S = 4.0
# A host of the store's region settles what it only heard of after this time, in
# case the host that lost the answer is gone.
ADOPTED_SETTLE_AFTER_S = 10.0


@dataclass(frozen=True, slots=True)
class UnsettledEdit:
    """An edit that may have been accepted as version `base_version` + 1.

    Parameters
    ----------
    edit_id : str
    base_version : int
        Version that the edit is conditional on. Once a later version is in force,
        the edit is either part of it or can no longer be accepted.
    keys : tuple of str
        Ids of the keys that the edit withdraws.
    owner : str
    """

    edit_id: str
    base_version: int
    keys: tuple[str, ...] = ()
    owner: str = ""


@dataclass(frozen=True, slots=True)
class EditAnswerLost(Event):
    """The answer to an edit's transaction was lost."""

    unsettled: UnsettledEdit


@dataclass(frozen=True, slots=True)
class SettleTried(Event):
    """An attempt to settle edits ended."""


@dataclass(frozen=True, slots=True)
class SettleEdits(Effect):
    """Settle edits in the store; `SettleTried` tells the end of the attempt."""

    edits: tuple[UnsettledEdit, ...]


@dataclass(frozen=True, slots=True)
class OpenEdit:
    """An edit that this host keeps until it is settled.

    Parameters
    ----------
    unsettled : UnsettledEdit
    settle_after_s : float
        When this host begins to settle it; infinity if it leaves that to others.
    """

    unsettled: UnsettledEdit
    settle_after_s: float


@dataclass(frozen=True, slots=True)
class UnsettledState:
    """Edits that are not settled, by id, and the time of the next attempt."""

    edits: immutables.Map[str, OpenEdit] = field(default_factory=immutables.Map)
    due_s: float = float("-inf")


class UnsettledPart(Part[UnsettledState]):
    """Keeps edits, own ones and heard ones, until a later version is in force."""

    state_type = UnsettledState

    def initial(self, identity: Identity) -> UnsettledState:
        return UnsettledState()

    def reduce(
        self, own: UnsettledState, event: Event, core: CoreState
    ) -> tuple[UnsettledState, tuple[Effect, ...]]:
        version = core.part(ConfigState).version
        for edit_id, kept in own.edits.items():
            if kept.unsettled.base_version < version:
                own = replace(own, edits=own.edits.delete(edit_id))
        match event:
            case EditAnswerLost(unsettled=edit):
                # The request that lost the answer looks into the store first.
                return _keep(own, edit, event.now_s + SETTLE_INTERVAL_S, version), ()
            case ExchangeAnswered() | ExchangeReceived():
                return _adopt(own, event, core), ()
            case SettleTried():
                return replace(own, due_s=event.now_s + SETTLE_INTERVAL_S), ()
            case Tick() if own.edits and event.now_s >= own.due_s:
                due = tuple(
                    kept.unsettled
                    for kept in own.edits.values()
                    if event.now_s >= kept.settle_after_s
                )
                if not due:
                    return own, ()
                due_s = event.now_s + SETTLE_TIMEOUT_S
                return replace(own, due_s=due_s), (SettleEdits(due),)
            case _:
                return own, ()


def _keep(
    own: UnsettledState, edit: UnsettledEdit, settle_after_s: float, version: int
) -> UnsettledState:
    if edit.base_version < version:
        return own
    kept = own.edits.get(edit.edit_id)
    if kept is not None and kept.settle_after_s <= settle_after_s:
        return own
    edits = own.edits.set(edit.edit_id, OpenEdit(edit, settle_after_s))
    return replace(own, edits=edits)


def _adopt(
    own: UnsettledState, event: ExchangeAnswered | ExchangeReceived, core: CoreState
) -> UnsettledState:
    """Keep what peers keep, so that it outlives the host that lost the answer."""
    version = core.part(ConfigState).version
    in_store_region = core.identity.region == core.identity.store_region
    wait_s = ADOPTED_SETTLE_AFTER_S if in_store_region else float("inf")
    for received in event.records:
        text = received.record.extra.get(UNSETTLED_EXTRA)
        if text is not None:
            for edit in _parse(text):
                own = _keep(own, edit, event.now_s + wait_s, version)
    return own


def _parse(text: str) -> list[UnsettledEdit]:
    try:
        return [
            UnsettledEdit(
                str(entry["edit_id"]),
                int(entry["base_version"]),
                tuple(str(key) for key in entry["keys"]),
                str(entry["owner"]),
            )
            for entry in json.loads(text)
        ]
    except (KeyError, TypeError, ValueError):
        return []


def unsettled_extra(core: CoreState) -> Mapping[str, str]:
    """Return the entry of the own record that tells peers of unsettled edits."""
    own = core.parts.get(UnsettledState)
    if own is None or not own.edits:
        return {}
    edits = [asdict(kept.unsettled) for kept in own.edits.values()]
    return {UNSETTLED_EXTRA: json.dumps(edits)}


def refused_keys(core: CoreState) -> frozenset[str]:
    """Return the ids of keys that an unsettled edit withdraws.

    Parameters
    ----------
    core : CoreState

    Returns
    -------
    frozenset of str
    """
    own = core.parts.get(UnsettledState)
    if own is None or not own.edits:
        return frozenset()
    return frozenset(key for kept in own.edits.values() for key in kept.unsettled.keys)


def withdrawn_keys(rows: tuple[Row, ...], edit: ConfigEdit) -> tuple[str, ...]:
    """Return the ids of the keys that an edit deletes or changes.

    Parameters
    ----------
    rows : tuple of Row
        Configuration before the edit.
    edit : ConfigEdit

    Returns
    -------
    tuple of str
    """
    stored = {row.key: row.value for row in rows if row.key.table == "keys"}
    return tuple(
        change.key.key
        for change in edit.changes
        if change.key in stored and stored[change.key] != change.value
    )


def plan_settlement(head: Row, edit: UnsettledEdit) -> Transaction | None:
    """Return a transaction after which an edit cannot be accepted any more.

    It makes a version without changes. The edit's own transaction is conditional on
    the head, so it may still be on its way to the store.

    Parameters
    ----------
    head : Row
        The head row, read together with the absence of the edit.
    edit : UnsettledEdit

    Returns
    -------
    Transaction or None
        None if the head has passed the edit.
    """
    version, _, _ = head_version(head)
    if version != edit.base_version:
        return None
    edit_id = f"settle-{edit.edit_id}"
    value: dict[str, JsonValue] = {
        "version": version + 1,
        "edit_id": edit_id,
        "operator": "settlement",
    }
    audit: dict[str, JsonValue] = {
        **value,
        "owner": edit.owner,
        "accepted_at": "",
        "changes": [],
    }
    return Transaction(
        conditions=(Condition(HEAD, head.version),),
        writes=(
            Write(HEAD, value),
            Write(RowKey("edits", f"{version + 1:012d}"), audit),
            Write(RowKey("edit_ids", edit_id), {"version": version + 1}),
        ),
    )
