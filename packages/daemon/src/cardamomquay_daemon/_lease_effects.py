"""Handlers of the effects that read and write leases and lender rows."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.leases import LEASES_TABLE
from cardamomquay.leases import LeaseAcquired
from cardamomquay.leases import LeaseLost
from cardamomquay.leases import LeaseReleased
from cardamomquay.leases import LeasesReclaimed
from cardamomquay.leases import ReadLeaseRows
from cardamomquay.leases import ScanLeases
from cardamomquay.leases import WriteLeaseRows
from cardamomquay.leases import run_lease_effect
from cardamomquay.lenders import LENDERS_TABLE
from cardamomquay.lenders import LenderRowsWritten
from cardamomquay.lenders import LendersScanned
from cardamomquay.lenders import ScanLenders
from cardamomquay.lenders import WriteLenderRows
from cardamomquay_daemon._telemetry import LEASE_ACQUIRED
from cardamomquay_daemon._telemetry import LEASE_LOST
from cardamomquay_daemon._telemetry import LEASES_RECLAIMED

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from cardamomquay.clock import Clock
    from cardamomquay.platform import TableService
    from cardamomquay.reducer import Effect
    from cardamomquay_daemon._runtime import Runtime
    from cardamomquay_daemon._telemetry import Telemetry


class LeaseEffects:
    """Reads and writes lease rows and lender rows in the table service.

    Attributes
    ----------
    released : threading.Event
        Set when this host's lease row has been deleted at a planned stop.
    """

    def __init__(
        self,
        tables: TableService,
        clock: Clock,
        runtime: Runtime,
        telemetry: Telemetry,
    ) -> None:
        self._tables = tables
        self._clock = clock
        self._runtime = runtime
        self._telemetry = telemetry
        self.released = threading.Event()

    def handlers(self) -> Mapping[type[Effect], Callable[[Any], None]]:
        """Return the handler of each effect type."""
        return {
            ReadLeaseRows: self._run_lease_effect,
            WriteLeaseRows: self._run_lease_effect,
            ScanLeases: self._run_lease_effect,
            ScanLenders: self._scan_lenders,
            WriteLenderRows: self._write_lenders,
            LeaseAcquired: self._log_acquired,
            LeaseLost: self._log_lost,
            LeaseReleased: lambda _: self.released.set(),
            LeasesReclaimed: self._log_reclaimed,
        }

    def _run_lease_effect(self, effect: Effect) -> None:
        event = run_lease_effect(effect, self._tables, self._clock)
        if event is not None:
            self._runtime.post(event)

    def _scan_lenders(self, effect: ScanLenders) -> None:
        lenders = self._tables.scan(LENDERS_TABLE)
        leases = self._tables.scan(LEASES_TABLE)
        now_s = self._clock.now_s()
        self._runtime.post(LendersScanned(now_s, effect.call_number, lenders, leases))

    def _write_lenders(self, effect: WriteLenderRows) -> None:
        result = self._tables.transact(effect.transaction)
        self._runtime.post(
            LenderRowsWritten(self._clock.now_s(), effect.call_number, result)
        )

    def _log_acquired(self, effect: LeaseAcquired) -> None:
        self._telemetry.log(LEASE_ACQUIRED, fence=effect.fence)

    def _log_lost(self, effect: LeaseLost) -> None:
        self._telemetry.log(LEASE_LOST, fence=effect.fence)

    def _log_reclaimed(self, effect: LeasesReclaimed) -> None:
        self._telemetry.log(LEASES_RECLAIMED, hosts=list(effect.hosts))
