"""Edits with an unknown outcome, and the API keys that they would withdraw.

An edit is unsettled after the answer to its transaction was lost: it may have been
accepted. While the store is down this cannot be checked, so the keys that the edit
withdraws are refused until it is settled. It is settled once a later version is in
force: the edit is then part of that version or can no longer be accepted.
"""

from __future__ import annotations

import json
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

import immutables

from cardamomquay.config import CONFIG_HEAD_KEY
from cardamomquay.config import parse_head
from cardamomquay.config_sync._reducer import ConfigState
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
from cardamomquay.reducer import SliceReducer
from cardamomquay.reducer import Tick

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cardamomquay.config import ConfigEdit
    from cardamomquay.platform import JsonValue
    from cardamomquay.platform import Row

UNSETTLED_EDITS_KEY = "unsettled_edits"
SETTLE_INTERVAL_S = 0.5
SETTLE_TIMEOUT_S = 4.0
# Hosts in the store's region settle edits reported by peers after this delay, in case
# the host that submitted the edit is gone.
PEER_EDIT_SETTLE_DELAY_S = 10.0


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
        Ids of the API keys that the edit withdraws.
    owner : str
        Owner named in the edit.
    """

    edit_id: str
    base_version: int
    keys: tuple[str, ...] = ()
    owner: str = ""


@dataclass(frozen=True, slots=True)
class EditOutcomeUnknown(Event):
    """The answer to an edit's transaction was lost, so it may have been accepted."""

    unsettled: UnsettledEdit


@dataclass(frozen=True, slots=True)
class SettlementAttempted(Event):
    """An attempt to settle edits has ended, whether or not it settled any."""


@dataclass(frozen=True, slots=True)
class SettleEdits(Effect):
    """Settle edits in the store; `SettlementAttempted` follows after the attempt.

    Each edit is looked up. One that is not found is prevented from being accepted
    later, by a `settlement_transaction`.
    """

    edits: tuple[UnsettledEdit, ...]


@dataclass(frozen=True, slots=True)
class TrackedEdit:
    """An unsettled edit that this host keeps track of.

    Parameters
    ----------
    unsettled : UnsettledEdit
    settle_after_s : float
        When this host starts to settle it; infinity if it leaves that to other hosts.
    """

    unsettled: UnsettledEdit
    settle_after_s: float


@dataclass(frozen=True, slots=True)
class UnsettledEditsState:
    """Unsettled edits by id, and when the next attempt to settle them is due."""

    edits: immutables.Map[str, TrackedEdit] = field(default_factory=immutables.Map)
    due_s: float = float("-inf")


class UnsettledEditsReducer(SliceReducer[UnsettledEditsState]):
    """Keeps unsettled edits, from this host and its peers, until they are settled.

    A later version in force settles an edit.
    """

    state_type = UnsettledEditsState

    def initial(self, identity: Identity) -> UnsettledEditsState:
        return UnsettledEditsState()

    def reduce(
        self, state: UnsettledEditsState, event: Event, core: CoreState
    ) -> tuple[UnsettledEditsState, tuple[Effect, ...]]:
        version = core.state_of(ConfigState).version
        for edit_id, tracked in state.edits.items():
            if tracked.unsettled.base_version < version:
                state = replace(state, edits=state.edits.delete(edit_id))
        match event:
            case EditOutcomeUnknown(unsettled=edit):
                # The delay lets the operator request that submitted the edit check the
                # store itself first.
                return _track(state, edit, event.now_s + SETTLE_INTERVAL_S, version), ()
            case ExchangeAnswered() | ExchangeReceived():
                return _track_peer_edits(state, event, core), ()
            case SettlementAttempted():
                return replace(state, due_s=event.now_s + SETTLE_INTERVAL_S), ()
            case Tick() if state.edits and event.now_s >= state.due_s:
                due = tuple(
                    tracked.unsettled
                    for tracked in state.edits.values()
                    if event.now_s >= tracked.settle_after_s
                )
                if not due:
                    return state, ()
                # `SettlementAttempted` sets the next due time; this one applies if it
                # does not come.
                due_s = event.now_s + SETTLE_TIMEOUT_S
                return replace(state, due_s=due_s), (SettleEdits(due),)
            case _:
                return state, ()


def _track(
    state: UnsettledEditsState, edit: UnsettledEdit, settle_after_s: float, version: int
) -> UnsettledEditsState:
    if edit.base_version < version:
        return state
    tracked = state.edits.get(edit.edit_id)
    if tracked is not None and tracked.settle_after_s <= settle_after_s:
        return state
    edits = state.edits.set(edit.edit_id, TrackedEdit(edit, settle_after_s))
    return replace(state, edits=edits)


def _track_peer_edits(
    state: UnsettledEditsState,
    event: ExchangeAnswered | ExchangeReceived,
    core: CoreState,
) -> UnsettledEditsState:
    """Keep track of peers' unsettled edits, in case those peers are lost."""
    version = core.state_of(ConfigState).version
    in_store_region = core.identity.region == core.identity.store_region
    delay_s = PEER_EDIT_SETTLE_DELAY_S if in_store_region else float("inf")
    records = (
        event.records if isinstance(event, ExchangeAnswered) else (event.sender_record,)
    )
    for received in records:
        text = received.record.extra.get(UNSETTLED_EDITS_KEY)
        if text is not None:
            for edit in _parse_edits(text):
                state = _track(state, edit, event.now_s + delay_s, version)
    return state


def _parse_edits(text: str) -> list[UnsettledEdit]:
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


def unsettled_edits_entry(core: CoreState) -> Mapping[str, str]:
    """Return the `extra` entry of this host's record that lists its unsettled edits."""
    state = core.states.get(UnsettledEditsState)
    if state is None or not state.edits:
        return {}
    edits = [asdict(tracked.unsettled) for tracked in state.edits.values()]
    return {UNSETTLED_EDITS_KEY: json.dumps(edits)}


def refused_keys(core: CoreState) -> frozenset[str]:
    """Return the ids of the API keys that unsettled edits withdraw.

    Parameters
    ----------
    core : CoreState

    Returns
    -------
    frozenset of str
    """
    state = core.states.get(UnsettledEditsState)
    if state is None or not state.edits:
        return frozenset()
    return frozenset(
        key for tracked in state.edits.values() for key in tracked.unsettled.keys
    )


def withdrawn_keys(rows: tuple[Row, ...], edit: ConfigEdit) -> tuple[str, ...]:
    """Return the ids of the API keys that an edit deletes or changes.

    Parameters
    ----------
    rows : tuple of Row
        Rows of the configuration before the edit.
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


def settlement_transaction(head: Row, edit: UnsettledEdit) -> Transaction | None:
    """Return a transaction that prevents an edit from being accepted later.

    The edit's transaction may still be on its way to the store, and is conditional on
    the version of the head row. This one creates a new version without changes, so the
    condition fails from then on.

    Parameters
    ----------
    head : Row
        The head row, read in the same call that did not find the edit.
    edit : UnsettledEdit

    Returns
    -------
    Transaction or None
        None if the head is no longer at the edit's base version, so the edit cannot be
        accepted anyway.
    """
    version, _, _ = parse_head(head)
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
        conditions=(Condition(CONFIG_HEAD_KEY, head.version),),
        writes=(
            Write(CONFIG_HEAD_KEY, value),
            Write(RowKey("edits", f"{version + 1:012d}"), audit),
            Write(RowKey("edit_ids", edit_id), {"version": version + 1}),
        ),
    )
