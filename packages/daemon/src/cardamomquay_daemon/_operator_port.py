"""The operator port: show and edit the configuration."""

from __future__ import annotations

import json
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
from cardamomquay.currency import ConfigLoaded
from cardamomquay.currency import ConfigState
from cardamomquay.currency import EditAnswerLost
from cardamomquay.membership import MembershipState
from cardamomquay.platform import RowKey
from cardamomquay.platform import Unavailable
from cardamomquay_daemon._caller_port import json_response
from cardamomquay_daemon._editor import EditAccepted
from cardamomquay_daemon._editor import EditUnsettled
from cardamomquay_daemon._editor import commit_edit
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
    from cardamomquay.currency import UnsettledEdit
    from cardamomquay.platform import TableService
    from cardamomquay_daemon._runtime import Runtime
    from cardamomquay_daemon._telemetry import Telemetry

OPERATOR_HEADER = "X-Operator-Key"
EDITS_SHOWN = 50


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
        except Exception as exc:
            self._telemetry.log(REQUEST_FAILED, error=type(exc).__name__)
            response = json_response({"error": "internal error"}, 500)
        return response(environ, start_response)

    def _respond(self, request: Request) -> Response:
        config = self._runtime.snapshot.config
        if config is None:
            return json_response({"error": "not ready"}, 503)
        operator = config.find_operator(request.headers.get(OPERATOR_HEADER, ""))
        if operator is None:
            return json_response({"error": "operator key missing or rejected"}, 401)
        match (request.method, request.path):
            case ("GET", "/v1/config"):
                return self._show()
            case ("GET", "/v1/edits"):
                return self._edits()
            case ("GET", "/v1/status"):
                return self._status()
            case ("GET", "/v1/counters"):
                return json_response(self._telemetry.counts())
            case ("POST", "/v1/edits"):
                return self._edit(request, operator)
            case _:
                return json_response({"error": "no such resource"}, 404)

    def _show(self) -> Response:
        stored = read_stored_config(self._tables, self._clock)
        if isinstance(stored, Unavailable):
            return json_response({"error": f"store: {stored.reason}"}, 503)
        tables: dict[str, dict[str, Any]] = {table: {} for table in TABLES}
        for row in stored.rows:
            tables[row.key.table][row.key.key] = row.value
        head = dict(stored.head.value or {"version": 0})
        return json_response({"head": head, "tables": tables})

    def _edits(self) -> Response:
        scan = self._tables.scan("edits")
        if isinstance(scan, Unavailable):
            return json_response({"error": f"store: {scan.reason}"}, 503)
        newest = [row.value for row in scan.rows[-EDITS_SHOWN:]]
        return json_response({"edits": newest[::-1]})

    def _status(self) -> Response:
        snapshot = self._runtime.snapshot
        now_s = self._clock.now_s()
        members = snapshot.core.part(MembershipState)
        own = snapshot.core.part(ConfigState)
        identity = snapshot.core.identity
        hosts = [
            {
                "host": name,
                "region": member.record.region,
                "availability_zone": member.record.availability_zone,
                "state": str(members.state_of(name, now_s)),
                "config_version": (
                    own.version
                    if name == identity.host
                    else member.record.config_version
                ),
                "heard": member.heard or name == identity.host,
            }
            for name, member in sorted(members.members.items())
        ]
        return json_response(
            {
                "host": identity.host,
                "config_version": own.version,
                "current": snapshot.is_current(now_s),
                "hosts": hosts,
            }
        )

    def _edit(self, request: Request, operator: StoredKey) -> Response:
        try:
            document = json.loads(request.get_data())
            edit = _parse_edit(document, operator)
        except (KeyError, TypeError, ValueError) as exc:
            return json_response({"error": f"malformed edit: {exc}"}, 400)
        result = commit_edit(self._tables, self._clock, edit, self._answer_lost)
        match result:
            case EditAccepted(config=config):
                self._runtime.post(
                    ConfigLoaded(self._clock.now_s(), config, result.confirmed_at_s)
                )
                self._telemetry.log(
                    EDIT_ACCEPTED,
                    version=config.version,
                    edit_id=edit.edit_id,
                    operator=edit.operator,
                )
                return json_response({"accepted": True, "version": config.version}, 200)
            case EditRejected(findings=findings):
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
                self._telemetry.log(EDIT_UNSETTLED, edit_id=edit.edit_id)
                return json_response({"accepted": None, "edit_id": edit.edit_id}, 504)
            case Unavailable(reason=reason):
                return json_response(
                    {"accepted": False, "error": f"store: {reason}"}, 503
                )

    def _answer_lost(self, unsettled: UnsettledEdit) -> None:
        self._runtime.post(EditAnswerLost(self._clock.now_s(), unsettled))


def _parse_edit(document: Any, operator: StoredKey) -> ConfigEdit:
    changes = tuple(
        RowChange(RowKey(str(c["table"]), str(c["key"])), c["value"])
        for c in document["changes"]
    )
    return ConfigEdit(
        edit_id=str(document.get("edit_id") or uuid.uuid4().hex),
        operator=operator.holder,
        owner=operator.owner,
        expected_version=int(document["expected_version"]),
        changes=changes,
        accepted_at=datetime.now(UTC).isoformat(timespec="milliseconds"),
    )
