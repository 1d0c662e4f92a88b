"""HTTP clients of the platform's table service, object store and host list."""

from __future__ import annotations

import io
import json
import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import pycurl

from cardamomquay.platform import Committed
from cardamomquay.platform import Conflicted
from cardamomquay.platform import HostList
from cardamomquay.platform import ListedHost
from cardamomquay.platform import ObjectStore
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey
from cardamomquay.platform import RowsRead
from cardamomquay.platform import TableService
from cardamomquay.platform import Transaction
from cardamomquay.platform import Unavailable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomquay_daemon._telemetry import Telemetry

CONNECT_TIMEOUT_MS = 500
CALL_TIMEOUT_MS = 1500
# HTTP status codes.
OK = 200
NOT_FOUND = 404
CONFLICT = 409
SERVICE_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes


class PlatformConnection:
    """Calls the platform; each thread has a connection of its own.

    Parameters
    ----------
    base_url : str
        For example ``http://127.0.0.1:7000``.
    telemetry : Telemetry, optional
        Counts the calls and their bytes.
    """

    def __init__(self, base_url: str, telemetry: Telemetry | None = None) -> None:
        self._base_url = base_url
        self._telemetry = telemetry
        self._thread_local = threading.local()

    def call(
        self, method: str, path: str, body: bytes | None = None
    ) -> _Answer | Unavailable:
        """Make one call.

        Parameters
        ----------
        method, path : str
        body : bytes, optional

        Returns
        -------
        _Answer or Unavailable
        """
        curl = self._curl_handle()
        buffer = io.BytesIO()
        curl.setopt(pycurl.URL, self._base_url + path)
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.WRITEDATA, buffer)
        if body is not None:
            curl.setopt(pycurl.POSTFIELDS, body)
        try:
            curl.perform()
        except pycurl.error as exc:
            code = exc.args[0]
            self._thread_local.curl = None
            curl.close()
            # Without a connection the request was not sent, so nothing was committed.
            refused = code == pycurl.E_COULDNT_CONNECT
            return Unavailable(f"curl error {code}", not refused, refused)
        if self._telemetry is not None:
            self._telemetry.count("platform.calls")
            self._telemetry.count("platform.bytes", _transferred_bytes(curl))
        status = int(curl.getinfo(pycurl.RESPONSE_CODE))
        # A 503 shows that nothing was committed; a higher status does not.
        if status >= SERVICE_UNAVAILABLE:
            return Unavailable(
                f"status {status}", status != SERVICE_UNAVAILABLE, refused=True
            )
        return _Answer(status, buffer.getvalue())

    def _curl_handle(self) -> pycurl.Curl:
        curl: pycurl.Curl | None = getattr(self._thread_local, "curl", None)
        if curl is None:
            curl = pycurl.Curl()
            self._thread_local.curl = curl
        curl.reset()
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.TIMEOUT_MS, CALL_TIMEOUT_MS)
        curl.setopt(pycurl.HTTPHEADER, ["Content-Type: application/json", "Expect:"])
        return curl


class HttpTableService(TableService):
    """The platform's table service over HTTP."""

    def __init__(self, connection: PlatformConnection) -> None:
        self._connection = connection

    def read(self, keys: Sequence[RowKey]) -> RowsRead | Unavailable:
        request = {"keys": [[key.table, key.key] for key in keys]}
        return self._post_read("/v1/read", request)

    def scan(self, table: str) -> RowsRead | Unavailable:
        return self._post_read("/v1/scan", {"table": table})

    def transact(
        self, transaction: Transaction
    ) -> Committed | Conflicted | Unavailable:
        request = {
            "conditions": [
                [c.key.table, c.key.key, c.version] for c in transaction.conditions
            ],
            "writes": [[w.key.table, w.key.key, w.value] for w in transaction.writes],
        }
        answer = self._post("/v1/transact", request)
        if isinstance(answer, Unavailable):
            return answer
        document = json.loads(answer.body)
        if answer.status == CONFLICT:
            return Conflicted(tuple(_parse_row(row) for row in document["rows"]))
        return Committed(int(document["revision"]))

    def _post_read(self, path: str, request: Any) -> RowsRead | Unavailable:
        answer = self._post(path, request)
        if isinstance(answer, Unavailable):
            return answer
        document = json.loads(answer.body)
        rows = tuple(_parse_row(row) for row in document["rows"])
        return RowsRead(int(document["revision"]), rows)

    def _post(self, path: str, request: Any) -> _Answer | Unavailable:
        answer = self._connection.call("POST", path, json.dumps(request).encode())
        if isinstance(answer, _Answer) and answer.status not in {OK, CONFLICT}:
            return Unavailable(f"status {answer.status}")
        return answer


class HttpObjectStore(ObjectStore):
    """The platform's object store over HTTP."""

    def __init__(self, connection: PlatformConnection) -> None:
        self._connection = connection

    def get(self, name: str) -> bytes | Unavailable | None:
        answer = self._connection.call("GET", f"/v1/objects/{name}")
        if isinstance(answer, Unavailable):
            return answer
        return None if answer.status == NOT_FOUND else answer.body

    def put(self, name: str, data: bytes) -> Unavailable | None:
        answer = self._connection.call("PUT", f"/v1/objects/{name}", data)
        return answer if isinstance(answer, Unavailable) else None


class HttpHostList(HostList):
    """The platform's host list over HTTP."""

    def __init__(self, connection: PlatformConnection) -> None:
        self._connection = connection

    def list_hosts(self) -> tuple[ListedHost, ...] | Unavailable:
        answer = self._connection.call("GET", "/v1/hosts")
        if isinstance(answer, Unavailable):
            return answer
        document = json.loads(answer.body)
        return tuple(ListedHost(**host) for host in document["hosts"])


def _transferred_bytes(curl: pycurl.Curl) -> int:
    """Return the bytes of a call, sent and received, including headers."""
    sizes = (
        pycurl.REQUEST_SIZE,
        pycurl.SIZE_UPLOAD,
        pycurl.HEADER_SIZE,
        pycurl.SIZE_DOWNLOAD,
    )
    return sum(int(curl.getinfo(size)) for size in sizes)


def _parse_row(document: Any) -> Row:
    table, key, version, value = document
    return Row(RowKey(table, key), version, value)
