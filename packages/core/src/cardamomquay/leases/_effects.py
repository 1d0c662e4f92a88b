"""Effects and events of host leases, and the calls to the table service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.leases._rows import LEASES_TABLE
from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event

if TYPE_CHECKING:
    from cardamomquay.clock import Clock
    from cardamomquay.platform import Committed
    from cardamomquay.platform import Conflicted
    from cardamomquay.platform import RowKey
    from cardamomquay.platform import RowsRead
    from cardamomquay.platform import TableService
    from cardamomquay.platform import Transaction
    from cardamomquay.platform import Unavailable


@dataclass(frozen=True, slots=True)
class ReadLeaseRows(Effect):
    """Call `TableService.read`; the answer is `LeaseRowsRead`.

    The answer repeats `call_number`.
    """

    call_number: int
    keys: tuple[RowKey, ...]


@dataclass(frozen=True, slots=True)
class WriteLeaseRows(Effect):
    """Call `TableService.transact` once; the answer is `LeaseRowsWritten`.

    The answer repeats `call_number`.

    The call must not be retried: after a lost answer the reducer reads the row back.
    """

    call_number: int
    transaction: Transaction


@dataclass(frozen=True, slots=True)
class ScanLeases(Effect):
    """Call `TableService.scan` of `LEASES_TABLE`; the answer is `LeasesScanned`."""


@dataclass(frozen=True, slots=True)
class LeaseAcquired(Effect):
    """Notifies the daemon that this host has acquired a new lease."""

    fence: int


@dataclass(frozen=True, slots=True)
class LeaseLost(Effect):
    """Notifies the daemon that this host's lease was reclaimed.

    The reclaimer is another host, or a later run of the daemon on this host.
    """

    fence: int


@dataclass(frozen=True, slots=True)
class LeaseReleased(Effect):
    """Notifies the daemon that it has no lease row and a planned stop can go on."""


@dataclass(frozen=True, slots=True)
class LeasesReclaimed(Effect):
    """Notifies the daemon of the hosts whose expired leases this host has deleted."""

    hosts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LeaseRowsRead(Event):
    """The outcome of `ReadLeaseRows`."""

    call_number: int
    result: RowsRead | Unavailable


@dataclass(frozen=True, slots=True)
class LeaseRowsWritten(Event):
    """The outcome of `WriteLeaseRows`."""

    call_number: int
    result: Committed | Conflicted | Unavailable


@dataclass(frozen=True, slots=True)
class LeasesScanned(Event):
    """The outcome of `ScanLeases`."""

    result: RowsRead | Unavailable


@dataclass(frozen=True, slots=True)
class LeaseReleaseRequested(Event):
    """A planned stop has returned everything held under the lease, and releases it."""


def run_lease_effect(
    effect: Effect, tables: TableService, clock: Clock
) -> Event | None:
    """Carry out a lease effect that calls the table service.

    Parameters
    ----------
    effect : Effect
    tables : TableService
    clock : Clock

    Returns
    -------
    Event or None
        The event with the outcome; None for any other effect.
    """
    match effect:
        case ReadLeaseRows(call_number=call_number, keys=keys):
            found = tables.read(keys)
            return LeaseRowsRead(clock.now_s(), call_number, found)
        case WriteLeaseRows(call_number=call_number, transaction=transaction):
            result = tables.transact(transaction)
            return LeaseRowsWritten(clock.now_s(), call_number, result)
        case ScanLeases():
            scanned = tables.scan(LEASES_TABLE)
            return LeasesScanned(clock.now_s(), scanned)
        case _:
            return None
