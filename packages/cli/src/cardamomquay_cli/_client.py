"""Calls the operator port of a daemon."""

from __future__ import annotations

import io
import json
from dataclasses import dataclass
from typing import Any

import pycurl

CONNECT_TIMEOUT_MS = 2000
CALL_TIMEOUT_MS = 20_000


@dataclass(frozen=True, slots=True)
class Reply:
    """Status and JSON document of an answer."""

    status: int
    document: Any


@dataclass(frozen=True, slots=True)
class NoReply:
    """No daemon answered."""

    detail: str


class OperatorClient:
    """Talks to the first reachable daemon of a list.

    Parameters
    ----------
    servers : list of str
        Base URLs of operator ports.
    key : str
        The operator's key.
    authority : str or None
        File with the certificate authority of the operator ports.
    """

    def __init__(
        self, servers: list[str], key: str, authority: str | None = None
    ) -> None:
        self._servers = servers
        self._key = key
        self._authority = authority

    def get(self, path: str) -> Reply | NoReply:
        """Read a resource."""
        return self._call("GET", path, None)

    def post(self, path: str, document: Any) -> Reply | NoReply:
        """Send a document.

        An edit is sent to the next daemon only under the same edit id, which
        makes the second one find the first.
        """
        return self._call("POST", path, json.dumps(document).encode())

    def _call(self, method: str, path: str, body: bytes | None) -> Reply | NoReply:
        failure = NoReply("no server given")
        for server in self._servers:
            outcome = self._call_one(server, method, path, body)
            if isinstance(outcome, Reply):
                return outcome
            failure = outcome
        return failure

    def _call_one(
        self, server: str, method: str, path: str, body: bytes | None
    ) -> Reply | NoReply:
        curl = pycurl.Curl()
        buffer = io.BytesIO()
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.URL, server.rstrip("/") + path)
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.TIMEOUT_MS, CALL_TIMEOUT_MS)
        curl.setopt(pycurl.HTTPHEADER, [f"X-Operator-Key: {self._key}", "Expect:"])
        curl.setopt(pycurl.WRITEDATA, buffer)
        if body is not None:
            curl.setopt(pycurl.POSTFIELDS, body)
        if self._authority is not None:
            curl.setopt(pycurl.CAINFO, self._authority)
        try:
            curl.perform()
            status = int(curl.getinfo(pycurl.RESPONSE_CODE))
        except pycurl.error as exc:
            return NoReply(f"{server}: {exc}")
        finally:
            curl.close()
        try:
            return Reply(status, json.loads(buffer.getvalue()))
        except ValueError:
            return NoReply(f"{server}: status {status} without JSON")
