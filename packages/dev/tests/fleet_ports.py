from __future__ import annotations

import socket
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

FIRST_PORT = 26000
LAST_PORT = 32000
PORTS_PER_BLOCK = 200


@contextmanager
def reserved_ports() -> Iterator[int]:
    """Reserve a block of ports and yield the first one.

    The last port of the block stays bound, so that another run of these tests on the
    same machine takes another block.
    """
    guard, base = _reserve()
    with guard:
        yield base


def _reserve() -> tuple[socket.socket, int]:
    for base in range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK):
        try:
            guard = socket.create_server(("127.0.0.1", base + PORTS_PER_BLOCK - 1))
        except OSError:
            continue
        try:
            for offset in range(PORTS_PER_BLOCK - 1):
                socket.create_server(("127.0.0.1", base + offset)).close()
        except OSError:
            guard.close()
            continue
        return guard, base
    raise RuntimeError("no block of free ports on 127.0.0.1")
