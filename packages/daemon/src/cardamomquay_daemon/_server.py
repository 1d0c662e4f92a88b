"""HTTP servers, based on cheroot."""

from __future__ import annotations

import threading
from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import Any

from cheroot import wsgi

from cardamomquay_daemon._connections import DeadlineConnection
from cardamomquay_daemon._connections import TlsAdapter

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from cardamomquay.outcomes import RefusalReason
    from cardamomquay_daemon._settings import Limits
    from cardamomquay_daemon._settings import TlsFiles

SHUTDOWN_TIMEOUT_S = 30
KEEP_ALIVE_CONNECTIONS_MAX = 1024


class _Server(wsgi.Server):
    ConnectionClass = DeadlineConnection
    idle_timeout_s: float = 10.0
    on_refusal: Callable[[RefusalReason], None] | None = None
    _connections: Any

    def process_conn(self, conn: DeadlineConnection) -> None:
        # cheroot assigns a thread to a new connection at once, so a few silent
        # connections would occupy all threads. Here a connection waits for its first
        # bytes in the selector, as it does between requests.
        if conn.is_registered:
            super().process_conn(conn)
            return
        conn.is_registered = True
        self._connections.put(conn)

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Drop cheroot's messages, because they may contain data from a caller."""


def make_server(
    address: str,
    application: Any,
    limits: Limits,
    tls: TlsFiles | None,
    on_refusal: Callable[[RefusalReason], None] | None = None,
) -> wsgi.Server:
    """Return a server that is bound to its address but does not accept connections yet.

    Parameters
    ----------
    address : str
        ``ip:port``.
    application : WSGI application
    limits : Limits
    tls : TlsFiles or None
    on_refusal : callable, optional
        Called for each request that is refused before it reaches the application.

    Returns
    -------
    cheroot.wsgi.Server

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    host, _, port = address.rpartition(":")
    server = _Server(
        (host.strip("[]"), int(port)),
        application,
        numthreads=limits.request_threads,
        request_queue_size=1024,
        timeout=max(1, round(limits.idle_timeout_s)),
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        server_name="cardamomquay",
    )
    server.idle_timeout_s = limits.idle_timeout_s
    server.on_refusal = on_refusal
    server.max_request_header_size = limits.header_bytes
    server.max_request_body_size = limits.body_bytes
    server.keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS_MAX
    if tls is not None:
        server.ssl_adapter = TlsAdapter(tls)
    server.prepare()
    return server


@contextmanager
def serving(server: wsgi.Server, name: str) -> Iterator[None]:
    """Context manager that runs a server.

    On exit it waits up to `SHUTDOWN_TIMEOUT_S` for running requests to complete.
    """
    thread = threading.Thread(target=server.serve, name=name, daemon=True)
    thread.start()
    try:
        yield
    finally:
        server.stop()
        thread.join(timeout=SHUTDOWN_TIMEOUT_S)
