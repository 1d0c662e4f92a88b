"""Baseline of the relay benchmark: relays to its targets in turn, with no other logic.

It uses the daemon's HTTP libraries. ``/constant`` returns a constant answer, the
baseline of look-ups.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from absl import app
from absl import flags
from werkzeug import Request
from werkzeug import Response

from cardamomquay.config import Upstream
from cardamomquay_daemon._upstream_client import UpstreamAnswer
from cardamomquay_daemon._upstream_client import UpstreamClient
from cardamomquay_daemon._upstream_client import UpstreamRequest
from cardamomquay_dev.standins._serve import make_server
from cardamomquay_dev.standins._serve import serve_until_stopped

if TYPE_CHECKING:
    from collections.abc import Iterable

    from _typeshed.wsgi import StartResponse
    from _typeshed.wsgi import WSGIEnvironment

LISTEN = flags.DEFINE_string("bare_listen", "127.0.0.1:7200", "ip:port.")
TARGETS = flags.DEFINE_list("targets", [], "Upstream addresses.")
THREADS = 32
ANSWER_BYTES_MAX = 8_388_608
CONSTANT_BODY = b'{"hosts": [], "ttl_s": 2.0, "complete": true, "config_version": 1}'


class BareRelay:
    """WSGI application that sends each request to the next target."""

    def __init__(self, targets: list[str]) -> None:
        self._client = UpstreamClient(ANSWER_BYTES_MAX)
        self._next_targets = itertools.cycle(
            Upstream(target, target, "", "", 1, 1) for target in targets
        )

    def __call__(
        self, environ: WSGIEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        request = Request(environ, populate_request=False)
        if request.path == "/constant":
            response = Response(CONSTANT_BODY, mimetype="application/json")
            return response(environ, start_response)
        outgoing = UpstreamRequest(
            request.method, request.path, tuple(request.headers.items()), b"", 5.0, True
        )
        answer = self._client.send(next(self._next_targets), outgoing)
        if not isinstance(answer, UpstreamAnswer):
            return Response("no answer\n", 502)(environ, start_response)
        response = Response(answer.body, answer.status)
        response.headers.extend(answer.headers)
        return response(environ, start_response)


def main(argv: list[str]) -> None:
    """Serve the bare relay."""
    application = BareRelay(TARGETS.value)
    serve_until_stopped([make_server(LISTEN.value, application, THREADS)])


if __name__ == "__main__":
    app.run(main)
