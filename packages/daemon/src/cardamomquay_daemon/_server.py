"""HTTP listeners over cheroot."""

from __future__ import annotations

import threading
from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import Any

from cheroot import wsgi
from cheroot.ssl.builtin import BuiltinSSLAdapter

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cardamomquay_daemon._settings import Limits
    from cardamomquay_daemon._settings import TlsFiles

SHUTDOWN_TIMEOUT_S = 30


def make_server(
    address: str, application: Any, limits: Limits, tls: TlsFiles | None
) -> wsgi.Server:
    """Return a server that is bound and does not accept yet.

    Parameters
    ----------
    address : str
        ``ip:port``.
    application : WSGI application
    limits : Limits
    tls : TlsFiles or None

    Returns
    -------
    cheroot.wsgi.Server

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    host, _, port = address.rpartition(":")
    server = wsgi.Server(
        (host.strip("[]"), int(port)),
        application,
        numthreads=limits.request_threads,
        request_queue_size=1024,
        timeout=max(1, round(limits.idle_timeout_s)),
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        server_name="cardamomquay",
    )
    server.max_request_header_size = limits.header_bytes
    server.max_request_body_size = limits.body_bytes
    server.keep_alive_conn_limit = 1024
    if tls is not None:
        server.ssl_adapter = BuiltinSSLAdapter(
            tls.certificate, tls.private_key, tls.client_authority
        )
    server.prepare()
    return server


@contextmanager
def serving(server: wsgi.Server, name: str) -> Iterator[None]:
    """Serve for the time of a ``with`` block; open requests finish."""
    thread = threading.Thread(target=server.serve, name=name, daemon=True)
    thread.start()
    try:
        yield
    finally:
        server.stop()
        thread.join(timeout=SHUTDOWN_TIMEOUT_S)
