"""Listens at an address, as soon as no other process uses it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

from cardamomquay_daemon.edge._events import LISTEN_FAILED
from cardamomquay_daemon.edge._events import LISTENING

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cardamomquay_daemon.edge._telemetry import EdgeTelemetry

# A former process of the host may hold its ports for some seconds, and a connection to
# another host may have one as its local port.
RETRY_PERIOD_S = 0.2


class Socket(Protocol):
    """A listening server, or a transport of datagrams."""

    def close(self) -> None:
        """Stop listening."""


class Listener:
    """Listens at one address.

    Parameters
    ----------
    name : str
        What the address is for.
    address : tuple of str and int
    bind : callable
        Listens at the address; raises OSError if that is not possible now.
    telemetry : EdgeTelemetry
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        bind: Callable[[], Awaitable[Socket]],
        telemetry: EdgeTelemetry,
    ) -> None:
        self._name = name
        self._address = address
        self._bind = bind
        self._telemetry = telemetry
        self._socket: Socket | None = None
        self._has_failed = False
        self._is_closed = False

    @property
    def is_open(self) -> bool:
        """Whether the address is in use by this process."""
        return self._socket is not None

    async def open(self) -> None:
        """Listen, and retry until that is possible or the listener is closed."""
        while not (self._is_closed or await self.try_open()):
            await asyncio.sleep(RETRY_PERIOD_S)

    async def try_open(self) -> bool:
        """Listen; return whether that succeeded."""
        fields = {"listener": self._name, "address": "{}:{}".format(*self._address)}
        try:
            self._socket = await self._bind()
        except OSError as exc:
            if not self._has_failed:
                self._telemetry.log(LISTEN_FAILED, **fields, error=str(exc))
            self._has_failed = True
            return False
        if self._has_failed:
            self._telemetry.log(LISTENING, **fields)
        if self._is_closed:
            self._socket.close()
        return True

    def close(self) -> None:
        """Stop listening; does nothing if the listener is closed already."""
        self._is_closed = True
        if self._socket is not None:
            self._socket.close()
