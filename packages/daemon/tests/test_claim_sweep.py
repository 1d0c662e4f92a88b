from __future__ import annotations

import time
import unittest
from types import SimpleNamespace

import immutables
from fakes import IDENTITY

from cardamomquay.idempotency import Claim
from cardamomquay.idempotency import UnbatchedIdempotencyRegistry
from cardamomquay.lenders import LenderRow
from cardamomquay.lenders import LendersState
from cardamomquay.lenders import lender_row_key
from cardamomquay.platform import Committed
from cardamomquay.platform import MemoryTableService
from cardamomquay.platform import Transaction
from cardamomquay.platform import Write
from cardamomquay_daemon._claim_sweep import ClaimSweep
from cardamomquay_daemon._telemetry import Telemetry

DAY_S = 86_400.0


class ClaimSweepTest(unittest.TestCase):
    """Guards against claims that are never deleted.

    Also guards against deletions by a host that is not, or no longer, the controller.
    """

    def setUp(self) -> None:
        self.tables = MemoryTableService()
        registry = UnbatchedIdempotencyRegistry(self.tables)
        # Claims expire after 72 hours.
        for name, age_s in (("old", 4 * DAY_S), ("new", DAY_S)):
            claimed_at_s = time.time() - age_s
            registry.try_claim(
                Claim(name, "salsa", name, "d", "host-a", "run-1", claimed_at_s)
            )
        self.telemetry = Telemetry("host-a")

    def write_controller_row(self) -> int:
        """Write the controller's lender row and return its new version."""
        outcome = self.tables.transact(
            Transaction((), (Write(lender_row_key("moves"), {"host": "host-a"}),))
        )
        assert isinstance(outcome, Committed)
        return outcome.revision

    def sweep(self, version: int, incarnation: str = IDENTITY.incarnation) -> int:
        """Sweep on a host that knows this row; return how many claims are left."""
        row = LenderRow("moves", "host-a", incarnation, 1, version)
        state = LendersState(rows=immutables.Map({"moves": row}))
        core = SimpleNamespace(state_of=lambda _: state)
        runtime = SimpleNamespace(snapshot=SimpleNamespace(core=core))
        ClaimSweep(self.tables, runtime, IDENTITY, self.telemetry).run()
        return len(self.tables.scan("claims").rows)

    def test_controller_deletes_expired_claims_only(self) -> None:
        self.assertEqual(self.sweep(self.write_controller_row()), 1)
        self.assertEqual(self.telemetry.counts()["claims.expired"], 1)

    def test_former_controller_deletes_nothing(self) -> None:
        version = self.write_controller_row()
        self.write_controller_row()
        self.assertEqual(self.sweep(version), 2)

    def test_other_hosts_delete_nothing(self) -> None:
        self.assertEqual(self.sweep(self.write_controller_row(), "another-run"), 2)


if __name__ == "__main__":
    unittest.main()
