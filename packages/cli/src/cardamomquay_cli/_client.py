"""Calls the operator ports of daemons."""

from __future__ import annotations

import io
import json
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

import pycurl

CONNECT_TIMEOUT_MS = 2000
CALL_TIMEOUT_MS = 20_000
# Failures of libcurl after which no byte of the request has reached a daemon.
NOT_SENT_ERRORS = frozenset(
    {
        pycurl.E_URL_MALFORMAT,
        pycurl.E_UNSUPPORTED_PROTOCOL,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_SSL_CONNECT_ERROR,
        pycurl.E_SSL_CACERT_BADFILE,
        pycurl.E_SSL_CERTPROBLEM,
        pycurl.E_PEER_FAILED_VERIFICATION,
    }
)


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and JSON document of an answer."""

    status: int
    document: Any


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No daemon answered with a JSON document.

    Parameters
    ----------
    detail : str
    may_have_arrived : bool
        Whether a daemon may have received the request.
    """

    detail: str
    may_have_arrived: bool = False


@dataclass(frozen=True, slots=True)
class ClientTls:
    """Files for TLS with the operator ports.

    Parameters
    ----------
    authority : str or None
        Certificate authority that signs the daemons' certificates.
    certificate, private_key : str or None
        For daemons that ask operators for a certificate.
    """

    authority: str | None = None
    certificate: str | None = None
    private_key: str | None = None


class OperatorClient:
    """Sends requests to the first reachable daemon of a list.

    Parameters
    ----------
    servers : list of str
        Base URLs of operator ports.
    key : str
        The operator's key.
    tls : ClientTls
    """

    def __init__(
        self, servers: list[str], key: str, tls: ClientTls | None = None
    ) -> None:
        self._servers = servers
        self._key = key
        self._tls = tls or ClientTls()

    def get(self, path: str) -> Answer | NoAnswer:
        """Read a resource."""
        return self._call("GET", path, None)

    def get_all(self, path: str) -> list[Answer | NoAnswer]:
        """Read a resource of every daemon of the list at the same time."""
        with ThreadPoolExecutor(max_workers=min(32, len(self._servers))) as executor:
            return list(
                executor.map(
                    lambda server: self._call_one(server, "GET", path, None),
                    self._servers,
                )
            )

    def post(self, path: str, document: Any) -> Answer | NoAnswer:
        """Send a document.

        If a daemon does not answer, the document is sent to the next one. An edit keeps
        its edit id, so the next daemon can tell whether it is stored already.
        """
        return self._call("POST", path, json.dumps(document).encode())

    def _call(self, method: str, path: str, body: bytes | None) -> Answer | NoAnswer:
        details = []
        may_have_arrived = False
        for server in self._servers:
            outcome = self._call_one(server, method, path, body)
            if isinstance(outcome, Answer):
                return outcome
            details.append(outcome.detail)
            may_have_arrived = may_have_arrived or outcome.may_have_arrived
        return NoAnswer("; ".join(details) or "no server given", may_have_arrived)

    def _call_one(
        self, server: str, method: str, path: str, body: bytes | None
    ) -> Answer | NoAnswer:
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
        for option, value in (
            (pycurl.CAINFO, self._tls.authority),
            (pycurl.SSLCERT, self._tls.certificate),
            (pycurl.SSLKEY, self._tls.private_key),
        ):
            if value is not None:
                curl.setopt(option, value)
        try:
            curl.perform()
            status = int(curl.getinfo(pycurl.RESPONSE_CODE))
        except pycurl.error as exc:
            code, text = exc.args[0], exc.args[-1]
            never_connected = curl.getinfo(pycurl.CONNECT_TIME) == 0
            return NoAnswer(
                f"{server}: {text or f'libcurl error {code}'}",
                code not in NOT_SENT_ERRORS and not never_connected,
            )
        finally:
            curl.close()
        try:
            return Answer(status, json.loads(buffer.getvalue()))
        except ValueError:
            return NoAnswer(f"{server}: status {status} without JSON", True)
