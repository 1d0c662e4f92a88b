"""Stand-in for the services of `cardamomquay.platform`, over HTTP.

``POST /v1/read``, ``/v1/scan`` and ``/v1/transact`` serve the tables,
``/v1/objects/<name>`` the objects and ``GET /v1/hosts`` the host list.
``POST /control/faults`` sets faults, ``POST /control/hosts`` sets the host list, and
``GET /control/load`` returns the number of calls of each kind so far.
"""

from __future__ import annotations

import json
import threading
import time
from collections import Counter
from dataclasses import asdict
from typing import TYPE_CHECKING
from typing import Any

from absl import app
from absl import flags
from werkzeug import Request
from werkzeug import Response

from cardamomquay.platform import Committed
from cardamomquay.platform import Condition
from cardamomquay.platform import Conflicted
from cardamomquay.platform import ListedHost
from cardamomquay.platform import MemoryHostList
from cardamomquay.platform import MemoryObjectStore
from cardamomquay.platform import MemoryTableService
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Unavailable
from cardamomquay.platform import Write
from cardamomquay_dev.standins._serve import json_response
from cardamomquay_dev.standins._serve import make_server
from cardamomquay_dev.standins._serve import serve_until_stopped

if TYPE_CHECKING:
    from collections.abc import Iterable

    from _typeshed.wsgi import StartResponse
    from _typeshed.wsgi import WSGIEnvironment

LISTEN = flags.DEFINE_string("platform_listen", "127.0.0.1:7000", "ip:port.")
THREADS = 64
# An unreachable service answers after the time-out of its clients.
UNREACHABLE_HOLD_S = 3.0


class PlatformApp:
    """WSGI application of the platform's stand-in."""

    def __init__(self) -> None:
        self.tables = MemoryTableService()
        self.objects = MemoryObjectStore()
        self.hosts = MemoryHostList()
        self._delay_s = 0.0
        self._lock = threading.Lock()
        self._calls: Counter[str] = Counter()

    def __call__(
        self, environ: WSGIEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        request = Request(environ, populate_request=False)
        return self._respond(request)(environ, start_response)

    def _respond(self, request: Request) -> Response:
        path = request.path
        if path.startswith("/control/"):
            return self._respond_control(request)
        with self._lock:
            self._calls[path.split("/")[2]] += 1
        if self._delay_s:
            time.sleep(self._delay_s)
        if path.startswith("/v1/objects/"):
            return self._respond_object(request, path.removeprefix("/v1/objects/"))
        if path == "/v1/hosts":
            return self._respond_host_list()
        document = json.loads(request.get_data())
        match path:
            case "/v1/read":
                keys = [RowKey(table, key) for table, key in document["keys"]]
                return _rows_response(self.tables.read(keys))
            case "/v1/scan":
                return _rows_response(self.tables.scan(document["table"]))
            case "/v1/transact":
                return _transaction_response(
                    self.tables.transact(_parse_transaction(document))
                )
            case _:
                return json_response({"error": "no such resource"}, 404)

    def _respond_object(self, request: Request, name: str) -> Response:
        if request.method == "PUT":
            stored = self.objects.put(name, request.get_data())
            return (
                Response("", 204) if stored is None else _unavailable_response(stored)
            )
        found = self.objects.get(name)
        if isinstance(found, Unavailable):
            return _unavailable_response(found)
        return Response("", 404) if found is None else Response(found)

    def _respond_host_list(self) -> Response:
        listed = self.hosts.list_hosts()
        if isinstance(listed, Unavailable):
            return _unavailable_response(listed)
        return json_response({"hosts": [asdict(host) for host in listed]})

    def _respond_control(self, request: Request) -> Response:
        if request.path == "/control/load":
            with self._lock:
                return json_response(dict(self._calls))
        document = json.loads(request.get_data())
        if request.path == "/control/hosts":
            self.hosts.hosts = tuple(ListedHost(**entry) for entry in document["hosts"])
            return json_response({})
        self._delay_s = float(document.pop("delay_s", self._delay_s))
        for faults in (self.tables.faults, self.objects.faults):
            for name, value in document.items():
                setattr(faults, name, value)
        return json_response({})


def _parse_transaction(document: Any) -> Transaction:
    return Transaction(
        tuple(
            Condition(RowKey(table, key), version)
            for table, key, version in document["conditions"]
        ),
        tuple(
            Write(RowKey(table, key), value) for table, key, value in document["writes"]
        ),
    )


def _row_document(row: Row) -> list[Any]:
    return [row.key.table, row.key.key, row.version, row.value]


def _rows_response(found: Any) -> Response:
    if isinstance(found, Unavailable):
        return _unavailable_response(found)
    rows = [_row_document(row) for row in found.rows]
    return json_response({"revision": found.revision, "rows": rows})


def _transaction_response(outcome: Committed | Conflicted | Unavailable) -> Response:
    match outcome:
        case Committed(revision=revision):
            return json_response({"revision": revision})
        case Conflicted(rows=rows):
            return json_response({"rows": [_row_document(row) for row in rows]}, 409)
        case _:
            return _unavailable_response(outcome)


def _unavailable_response(outcome: Unavailable) -> Response:
    if outcome.refused:
        return json_response({"error": outcome.reason}, 503)
    time.sleep(UNREACHABLE_HOLD_S)
    return json_response({"error": outcome.reason}, 504)


def main(argv: list[str]) -> None:
    """Serve the platform's stand-in."""
    serve_until_stopped([make_server(LISTEN.value, PlatformApp(), THREADS)])


if __name__ == "__main__":
    app.run(main)
