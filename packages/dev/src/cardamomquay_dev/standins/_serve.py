"""Serves the WSGI applications of the stand-ins."""

from __future__ import annotations

import json
import signal
import threading
from typing import TYPE_CHECKING
from typing import Any

from cheroot import wsgi
from werkzeug import Response

if TYPE_CHECKING:
    from collections.abc import Sequence


def make_server(address: str, application: Any, threads: int) -> wsgi.Server:
    """Return a server that is bound to ``ip:port``."""
    host, _, port = address.rpartition(":")
    server = wsgi.Server(
        (host, int(port)), application, numthreads=threads, request_queue_size=512
    )
    server.keep_alive_conn_limit = 1024
    server.shutdown_timeout = 1
    server.prepare()
    return server


def serve_until_stopped(servers: Sequence[wsgi.Server]) -> None:
    """Serve all servers until SIGTERM or SIGINT."""
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    for server in servers:
        threading.Thread(target=server.serve, daemon=True).start()
    stop.wait()


def json_response(document: object, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(json.dumps(document), status, mimetype="application/json")
