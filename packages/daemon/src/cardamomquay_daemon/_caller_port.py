"""The listener for callers: look-ups of hosts, and relayed requests."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from werkzeug import Request
from werkzeug import Response
from werkzeug.http import HTTP_STATUS_CODES

from cardamomquay.host_lookup import LookupRequest
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay_daemon._caller_messages import RelayedAnswer
from cardamomquay_daemon._lookups import Lookups
from cardamomquay_daemon._refusal_format import refusal_body
from cardamomquay_daemon._refusal_format import refusal_headers
from cardamomquay_daemon._request_checks import KEY_HEADER
from cardamomquay_daemon._request_checks import read_request
from cardamomquay_daemon._telemetry import REQUEST_FAILED

if TYPE_CHECKING:
    from collections.abc import Iterable

    from _typeshed.wsgi import StartResponse
    from _typeshed.wsgi import WSGIEnvironment

    from cardamomquay.clock import Clock
    from cardamomquay_daemon._relay import Relay
    from cardamomquay_daemon._runtime import Runtime
    from cardamomquay_daemon._telemetry import Telemetry

# Requests for paths under this prefix are answered by the daemon, not relayed.
API_PREFIX = "/.cardamomquay/v1/"
HOSTS_PATH = API_PREFIX + "hosts"
READ_METHODS = frozenset({"GET", "HEAD"})
READY_PATH = API_PREFIX + "ready"
OUTCOMES_PREFIX = API_PREFIX + "outcomes/"


class CallerPort:
    """WSGI application of the caller port.

    Parameters
    ----------
    runtime : Runtime
    clock : Clock
    relay : Relay
    telemetry : Telemetry
    body_max_bytes : int
        Maximum size of a request body.

    Attributes
    ----------
    leaving : bool
        Set when a planned stop begins. The port then reports that it is not ready and
        asks callers to close their connections.
    """

    def __init__(
        self,
        runtime: Runtime,
        clock: Clock,
        relay: Relay,
        telemetry: Telemetry,
        body_max_bytes: int,
    ) -> None:
        self._runtime = runtime
        self._clock = clock
        self._relay = relay
        self._telemetry = telemetry
        self._body_max_bytes = body_max_bytes
        self._lookups = Lookups(runtime, clock)
        self.leaving = False

    def __call__(
        self, environ: WSGIEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        request = Request(environ, populate_request=False)
        try:
            response = self._respond(request)
            if isinstance(response, RelayedAnswer):
                return self._send_answer(response, start_response)
        except Exception as exc:
            self._telemetry.record_refusal(RefusalReason.INTERNAL_ERROR)
            self._telemetry.log(REQUEST_FAILED, error=type(exc).__name__)
            response = refusal_response(Refusal(RefusalReason.INTERNAL_ERROR))
        if self.leaving or self._is_draining():
            response.headers["Connection"] = "close"
        return response(environ, start_response)

    def _send_answer(
        self, answer: RelayedAnswer, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Send a relayed or recorded answer without building a werkzeug response.

        Status, body and the headers of the answer are sent unchanged.
        """
        headers = [*answer.headers, ("Content-Length", str(len(answer.body)))]
        if answer.replayed:
            headers.append(("X-Cardamomquay-Replayed", "true"))
        if self.leaving or self._is_draining():
            headers.append(("Connection", "close"))
        phrase = HTTP_STATUS_CODES.get(answer.status, "Unknown")
        start_response(f"{answer.status} {phrase}", headers)
        return (answer.body,)

    def _respond(self, request: Request) -> Response | RelayedAnswer:
        path = request.path
        if path.startswith(API_PREFIX) and request.method not in READ_METHODS:
            self._telemetry.record_refusal(RefusalReason.METHOD_NOT_ALLOWED)
            return refusal_response(Refusal(RefusalReason.METHOD_NOT_ALLOWED))
        if path == HOSTS_PATH:
            return self._answer_lookup(request)
        if path == READY_PATH:
            has_config = self._runtime.snapshot.config is not None
            ready = has_config and not self.leaving and not self._is_draining()
            return Response(
                "ready\n" if ready else "not ready\n", 200 if ready else 503
            )
        if path.startswith(OUTCOMES_PREFIX):
            key = request.headers.get(KEY_HEADER, "")
            result = self._relay.outcome(key, path[len(OUTCOMES_PREFIX) :])
        elif path.startswith(API_PREFIX):
            result = Refusal(RefusalReason.NO_ROUTE)
        else:
            req = read_request(request, self._body_max_bytes)
            result = req if isinstance(req, Refusal) else self._relay.relay(req)
        if isinstance(result, Refusal):
            self._telemetry.record_refusal(result.reason)
            return refusal_response(result)
        self._telemetry.count("requests.answered")
        if result.replayed:
            self._telemetry.count("requests.replayed")
        return result

    def _is_draining(self) -> bool:
        """Whether operators are draining this host."""
        snapshot = self._runtime.snapshot
        identity = snapshot.core.identity
        return snapshot.config is not None and snapshot.config.is_draining(
            identity.host, identity.region
        )

    def _answer_lookup(self, request: Request) -> Response:
        self._telemetry.count("lookups.answered")
        body = self._lookups.answer(
            LookupRequest(
                region=request.args.get("region", ""),
                availability_zone=request.args.get("availability_zone", ""),
                organisation=request.args.get("organisation", ""),
            )
        )
        return Response(body, mimetype="application/json")


def json_response(document: object, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(json.dumps(document), status, mimetype="application/json")


def refusal_response(refusal: Refusal) -> Response:
    """Return the HTTP response for a refusal."""
    response = Response(
        refusal_body(refusal), refusal.status, mimetype="application/json"
    )
    response.headers.update(refusal_headers(refusal))
    return response
