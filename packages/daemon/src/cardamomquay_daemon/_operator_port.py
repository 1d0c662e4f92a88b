"""HTTP port on which operators read and edit the configuration."""

from __future__ import annotations

import json
import re
import uuid
from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING
from typing import Any

from werkzeug import Request
from werkzeug import Response

from cardamomquay.config import TABLES
from cardamomquay.config import ConfigEdit
from cardamomquay.config import EditConflict
from cardamomquay.config import EditRejected
from cardamomquay.config import RowChange
from cardamomquay.config import StoredKey
from cardamomquay.config_sync import ConfigLoaded
from cardamomquay.config_sync import ConfigState
from cardamomquay.config_sync import EditOutcomeUnknown
from cardamomquay.membership import MembershipState
from cardamomquay.platform import RowKey
from cardamomquay.platform import Unavailable
from cardamomquay_daemon._caller_port import json_response
from cardamomquay_daemon._editor import EditAccepted
from cardamomquay_daemon._editor import EditUnsettled
from cardamomquay_daemon._editor import commit_edit
from cardamomquay_daemon._editor import read_edit_status
from cardamomquay_daemon._editor import read_stored_config
from cardamomquay_daemon._telemetry import EDIT_ACCEPTED
from cardamomquay_daemon._telemetry import EDIT_REJECTED
from cardamomquay_daemon._telemetry import EDIT_UNSETTLED
from cardamomquay_daemon._telemetry import REQUEST_FAILED

if TYPE_CHECKING:
    from collections.abc import Iterable

    from _typeshed.wsgi import StartResponse
    from _typeshed.wsgi import WSGIEnvironment

    from cardamomquay.clock import Clock
    from cardamomquay.config_sync import UnsettledEdit
    from cardamomquay.platform import TableService
    from cardamomquay_daemon._runtime import Runtime
    from cardamomquay_daemon._telemetry import Telemetry

EDIT_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
NUMBER_PATTERN = re.compile(r"[0-9]{1,15}")
OPERATOR_KEY_HEADER = "X-Operator-Key"
EDIT_PATH_PREFIX = "/v1/edits/"
EDITS_SHOWN_DEFAULT = 50
EDITS_SHOWN_MAX = 1000


class OperatorPort:
    """WSGI application of the operator port.

    Parameters
    ----------
    runtime : Runtime
    clock : Clock
    tables : TableService
    telemetry : Telemetry
    """

    def __init__(
        self,
        runtime: Runtime,
        clock: Clock,
        tables: TableService,
        telemetry: Telemetry,
    ) -> None:
        self._runtime = runtime
        self._clock = clock
        self._tables = tables
        self._telemetry = telemetry

    def __call__(
        self, environ: WSGIEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        request = Request(environ, populate_request=False)
        try:
            response = self._respond(request)
        except TimeoutError:
            response = json_response({"error": "the body stalled"}, 408)
        except Exception as exc:
            self._telemetry.log(REQUEST_FAILED, error=type(exc).__name__)
            response = json_response({"error": "internal error"}, 500)
        return response(environ, start_response)

    def _respond(self, request: Request) -> Response:
        config = self._runtime.snapshot.config
        if config is None:
            return json_response({"error": "not ready"}, 503)
        operator = config.find_operator(request.headers.get(OPERATOR_KEY_HEADER, ""))
        if operator is None:
            self._telemetry.count("operators.rejected")
            return json_response({"error": "operator key missing or rejected"}, 401)
        if request.method == "GET" and request.path.startswith(EDIT_PATH_PREFIX):
            return self._show_edit_status(request)
        match (request.method, request.path):
            case ("GET", "/v1/config"):
                return self._show_config()
            case ("GET", "/v1/edits"):
                return self._list_edits(request)
            case ("GET", "/v1/moves"):
                return self._list_moves()
            case ("GET", "/v1/status"):
                return self._show_status()
            case ("GET", "/v1/counters"):
                return json_response(self._telemetry.counts())
            case ("POST", "/v1/edits"):
                return self._submit_edit(request, operator)
            case _:
                return json_response({"error": "no such resource"}, 404)

    def _show_config(self) -> Response:
        stored = read_stored_config(self._tables, self._clock)
        if isinstance(stored, Unavailable):
            return json_response({"error": f"store: {stored.reason}"}, 503)
        tables: dict[str, dict[str, Any]] = {table: {} for table in TABLES}
        for row in stored.rows:
            tables[row.key.table][row.key.key] = row.value
        head = dict(stored.head.value or {"version": 0})
        return json_response({"head": head, "tables": tables})

    def _list_edits(self, request: Request) -> Response:
        limit = min(
            _number_argument(request, "limit") or EDITS_SHOWN_DEFAULT, EDITS_SHOWN_MAX
        )
        before = _number_argument(request, "before")
        scan = self._tables.scan("edits")
        if isinstance(scan, Unavailable):
            return json_response({"error": f"store: {scan.reason}"}, 503)
        rows = sorted(scan.rows, key=lambda row: row.key.key, reverse=True)
        if before is not None:
            rows = [row for row in rows if int(row.key.key) < before]
        return json_response({"edits": [row.value for row in rows[:limit]]})

    def _show_edit_status(self, request: Request) -> Response:
        edit_id = request.path[len(EDIT_PATH_PREFIX) :]
        found = read_edit_status(
            self._tables, edit_id, _number_argument(request, "expected_version")
        )
        if isinstance(found, Unavailable):
            return json_response({"error": f"store: {found.reason}"}, 503)
        document = {
            "edit_id": edit_id,
            "state": str(found.state),
            "version": found.version,
            "head_version": found.head_version,
        }
        return json_response(document)

    def _list_moves(self) -> Response:
        """Return the stored moves by route.

        A configured move of which the store has no state yet is shown as planned.
        """
        stored = read_stored_config(self._tables, self._clock)
        if isinstance(stored, Unavailable):
            return json_response({"error": f"store: {stored.reason}"}, 503)
        scan = self._tables.scan("moves")
        if isinstance(scan, Unavailable):
            return json_response({"error": f"store: {scan.reason}"}, 503)
        moves: dict[str, Any] = {row.key.key: row.value for row in scan.rows}
        for row in stored.rows:
            configured_move: Any = (row.value or {}).get("move")
            if row.key.table != "routes" or configured_move is None:
                continue
            stored_move = moves.get(row.key.key)
            if (
                stored_move is None
                or stored_move.get("move_id") != configured_move["move_id"]
            ):
                moves[row.key.key] = {
                    **configured_move,
                    "state": "planned",
                    "share_percent": 0.0,
                }
        return json_response({"moves": moves})

    def _show_status(self) -> Response:
        snapshot = self._runtime.snapshot
        now_s = self._clock.now_s()
        members = snapshot.core.state_of(MembershipState)
        config_state = snapshot.core.state_of(ConfigState)
        identity = snapshot.core.identity
        config = snapshot.config
        hosts = [
            {
                "host": name,
                "region": member.record.region,
                "availability_zone": member.record.availability_zone,
                "state": str(members.state_of(name, now_s)),
                "config_version": (
                    config_state.version
                    if name == identity.host
                    else member.record.config_version
                ),
                "heard": member.has_dated_record or name == identity.host,
                "draining": config is not None
                and config.is_draining(name, member.record.region),
            }
            for name, member in sorted(members.members.items())
        ]
        return json_response(
            {
                "host": identity.host,
                "config_version": config_state.version,
                "current": snapshot.is_config_current(now_s),
                "hosts": hosts,
            }
        )

    def _submit_edit(self, request: Request, operator: StoredKey) -> Response:
        try:
            document = json.loads(request.get_data(), object_pairs_hook=_unique_names)
            edit = _parse_edit(document, operator)
        except (KeyError, TypeError, ValueError) as exc:
            text = f"malformed edit: {type(exc).__name__}: {exc}"
            return json_response({"error": text}, 400)
        result = commit_edit(
            self._tables, self._clock, edit, self._post_outcome_unknown
        )
        match result:
            case EditAccepted(config=config):
                self._runtime.post(
                    ConfigLoaded(self._clock.now_s(), config, result.confirmed_at_s)
                )
                self._telemetry.count("edits.accepted")
                self._telemetry.log(
                    EDIT_ACCEPTED,
                    version=result.version,
                    edit_id=edit.edit_id,
                    operator=edit.operator,
                )
                document = {"accepted": True, "version": result.version}
                return json_response(document)
            case EditRejected(findings=findings):
                self._telemetry.count("edits.rejected")
                self._telemetry.log(
                    EDIT_REJECTED, edit_id=edit.edit_id, findings=len(findings)
                )
                return json_response(
                    {
                        "accepted": False,
                        "findings": [
                            {
                                "source": finding.source,
                                "path": finding.path,
                                "found": finding.found,
                                "expected": finding.expected,
                            }
                            for finding in findings
                        ],
                    },
                    422,
                )
            case EditConflict():
                self._telemetry.count("edits.conflicted")
                return json_response(
                    {
                        "accepted": False,
                        "conflict": {
                            "version": result.version,
                            "edit_id": result.edit_id,
                            "operator": result.operator,
                        },
                    },
                    409,
                )
            case EditUnsettled():
                self._telemetry.count("edits.unsettled")
                self._telemetry.log(EDIT_UNSETTLED, edit_id=edit.edit_id)
                return json_response({"accepted": None, "edit_id": edit.edit_id}, 504)
            case Unavailable(reason=reason):
                return json_response(
                    {"accepted": False, "error": f"store: {reason}"}, 503
                )

    def _post_outcome_unknown(self, unsettled: UnsettledEdit) -> None:
        self._runtime.post(EditOutcomeUnknown(self._clock.now_s(), unsettled))


def _number_argument(request: Request, name: str) -> int | None:
    """Return a query argument, None if it is missing or not 1 to 15 digits."""
    text = request.args.get(name, "")
    return int(text) if NUMBER_PATTERN.fullmatch(text) else None


def _unique_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document = dict(pairs)
    if len(document) < len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"name {duplicate!r} stands twice in one object")
    return document


def _parse_edit(document: Any, operator: StoredKey) -> ConfigEdit:
    changes = tuple(
        RowChange(RowKey(str(entry["table"]), str(entry["key"])), entry["value"])
        for entry in document["changes"]
    )
    edit_id = str(document.get("edit_id") or uuid.uuid4().hex)
    if not EDIT_ID_PATTERN.fullmatch(edit_id):
        raise ValueError("edit_id has 1 to 64 letters, digits, dots or dashes")
    if not changes:
        raise ValueError("changes is empty")
    for change in changes:
        if not isinstance(change.value, dict | None):
            raise ValueError(f"{change.key} is neither an object nor null")
    return ConfigEdit(
        edit_id=edit_id,
        operator=operator.holder,
        owner=operator.owner,
        expected_version=int(document["expected_version"]),
        changes=changes,
        accepted_at=datetime.now(UTC).isoformat(timespec="milliseconds"),
        key_id=operator.key_id,
    )
