"""Deletes expired claims of non-repeatable requests, on the controller only."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from cardamomquay.idempotency import sweep_claims
from cardamomquay.lenders import LendersState
from cardamomquay.lenders import lender_row_key
from cardamomquay.platform import Condition
from cardamomquay_daemon._moves import MOVE_CONTROLLER_RESOURCE

if TYPE_CHECKING:
    from cardamomquay.platform import TableService
    from cardamomquay.reducer import Identity
    from cardamomquay_daemon._runtime import Runtime
    from cardamomquay_daemon._telemetry import Telemetry

SWEEP_INTERVAL_S = 3600.0


class ClaimSweep:
    """Deletes expired claims while this host is the controller.

    The controller is the host that lends the resource `MOVE_CONTROLLER_RESOURCE`.

    Parameters
    ----------
    tables : TableService
    runtime : Runtime
    identity : Identity
    telemetry : Telemetry
    """

    def __init__(
        self,
        tables: TableService,
        runtime: Runtime,
        identity: Identity,
        telemetry: Telemetry,
    ) -> None:
        self._tables = tables
        self._runtime = runtime
        self._identity = identity
        self._telemetry = telemetry

    def run(self) -> None:
        """Delete expired claims once; do nothing if this host is not the controller.

        Each deletion requires the controller's lender row to be unchanged, so a former
        controller with an outdated row deletes nothing.
        """
        lenders = self._runtime.snapshot.core.state_of(LendersState)
        row = lenders.lender_of(MOVE_CONTROLLER_RESOURCE)
        if row is None or row.incarnation != self._identity.incarnation:
            return
        condition = Condition(lender_row_key(MOVE_CONTROLLER_RESOURCE), row.version)
        swept = sweep_claims(self._tables, time.time(), condition)
        self._telemetry.count("claims.expired", swept.expired)
