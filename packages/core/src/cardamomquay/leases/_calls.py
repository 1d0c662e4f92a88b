"""Effects that the shell carries out for the leases, and the events they cause."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event

if TYPE_CHECKING:
    from cardamomquay.platform import Committed
    from cardamomquay.platform import Conflicted
    from cardamomquay.platform import RowKey
    from cardamomquay.platform import RowsRead
    from cardamomquay.platform import Transaction
    from cardamomquay.platform import Unavailable


@dataclass(frozen=True, slots=True)
class ReadLeaseRows(Effect):
    """Call `TableService.read`; the answer is `LeaseRowsRead` with the same call."""

    call: int
    keys: tuple[RowKey, ...]


@dataclass(frozen=True, slots=True)
class WriteLeaseRows(Effect):
    """Call `TableService.transact` once; the answer is `LeaseRowsWritten`.

    The shell does not repeat the call: the part settles a lost answer itself.
    """

    call: int
    transaction: Transaction


@dataclass(frozen=True, slots=True)
class ScanLeases(Effect):
    """Call `TableService.scan` of `LEASES_TABLE`; the answer is `LeasesScanned`."""


@dataclass(frozen=True, slots=True)
class LeaseAcquired(Effect):
    """Tells the shell that this host holds a new lease."""

    fence: int


@dataclass(frozen=True, slots=True)
class LeaseLost(Effect):
    """Tells the shell that this host's lease was taken away."""

    fence: int


@dataclass(frozen=True, slots=True)
class LeaseReleased(Effect):
    """Tells the shell that a planned stop may go on: the lease row is gone."""


@dataclass(frozen=True, slots=True)
class LeasesReclaimed(Effect):
    """Tells the shell which hosts' expired leases this host has deleted."""

    hosts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LeaseRowsRead(Event):
    """The outcome of `ReadLeaseRows`."""

    call: int
    result: RowsRead | Unavailable


@dataclass(frozen=True, slots=True)
class LeaseRowsWritten(Event):
    """The outcome of `WriteLeaseRows`."""

    call: int
    result: Committed | Conflicted | Unavailable


@dataclass(frozen=True, slots=True)
class LeasesScanned(Event):
    """The outcome of `ScanLeases`."""

    result: RowsRead | Unavailable


@dataclass(frozen=True, slots=True)
class ReleaseLeaseRequested(Event):
    """A planned stop has returned all that depends on the lease."""
