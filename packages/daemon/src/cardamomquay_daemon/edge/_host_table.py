"""Reads and writes the table of hosts in the platform's store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from cardamomquay.fleet import HostRecord
from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Unavailable
from cardamomquay.platform import Write
from cardamomquay_daemon.edge._addresses import check_address
from cardamomquay_daemon.edge._addresses import parse_address
from cardamomquay_daemon.edge._events import ROW_REJECTED

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomquay_daemon.edge._platform_store import PlatformStore
    from cardamomquay_daemon.edge._telemetry import EdgeTelemetry

HOSTS_TABLE = "hosts"
RETRY_DELAY_S = 0.5


class HostRow(msgspec.Struct):
    """A row of the table of hosts."""

    caller_address: str
    peer_ip: str
    peer_port: int
    zone: str
    region: str

    def check(self) -> None:
        """Check the addresses of another host.

        Raises
        ------
        ValueError
            If one is invalid. A datagram sent there would end the exchange of reports
            with all hosts.
        """
        check_address(self.peer_ip, self.peer_port)
        if self.caller_address:
            parse_address(self.caller_address)


class HostTable:
    """Reads the hosts of the fleet, and registers this one.

    Parameters
    ----------
    platform : PlatformStore
    own : HostRecord
    telemetry : EdgeTelemetry
    on_host : callable
        Called with the record of each host that was read.
    """

    def __init__(
        self,
        platform: PlatformStore,
        own: HostRecord,
        telemetry: EdgeTelemetry,
        on_host: Callable[[HostRecord], object],
    ) -> None:
        self._platform = platform
        self._own = own
        self._telemetry = telemetry
        self._on_host = on_host
        self.is_registered = False

    async def read_until_success(self) -> None:
        """Read the table, and retry until that succeeds."""
        while not await self.read():
            await asyncio.sleep(RETRY_DELAY_S)

    async def register(self) -> None:
        """Write this host's row, and retry until the store confirms it."""
        while not await self._write_own_row():
            await asyncio.sleep(RETRY_DELAY_S)

    async def register_again(self) -> bool:
        """Write this host's row if it is missing; return False if a call fails.

        A store that was restored from a copy has lost the rows of hosts that started
        after the copy was made. Hosts that start later would not find them.
        """
        if not await self.read():
            return False
        return self.is_registered or await self._write_own_row()

    async def _write_own_row(self) -> bool:
        key = RowKey(HOSTS_TABLE, self._own.name)
        write = Transaction((), (Write(key, msgspec.to_builtins(self._own_row())),))
        written = await self._platform.transact(write)
        return not isinstance(written, Unavailable)

    def _own_row(self) -> HostRow:
        own = self._own
        return HostRow(
            own.caller_address, own.peer_ip, own.peer_port, own.zone, own.region
        )

    async def read(self) -> bool:
        """Read the table; return whether that succeeded."""
        result = await self._platform.scan(HOSTS_TABLE)
        if isinstance(result, Unavailable):
            return False
        self.is_registered = False
        for row in result.rows:
            try:
                host = msgspec.convert(row.value, HostRow)
                host.check()
            except ValueError as exc:
                self._telemetry.count("rows.rejected")
                self._telemetry.log(ROW_REJECTED, source=str(row.key), error=str(exc))
                continue
            if row.key.key == self._own.name:
                self.is_registered = host == self._own_row()
            self._on_host(
                HostRecord(
                    row.key.key,
                    host.caller_address,
                    host.peer_ip,
                    host.peer_port,
                    host.zone,
                    host.region,
                )
            )
        return True
