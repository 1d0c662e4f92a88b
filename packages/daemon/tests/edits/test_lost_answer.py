from __future__ import annotations

import unittest
from types import SimpleNamespace
from unittest import mock

from cardamomquay.clock import ManualClock
from cardamomquay.config import CONFIG_HEAD_KEY
from cardamomquay.config import Config
from cardamomquay.config import ConfigEdit
from cardamomquay.config import Route
from cardamomquay.config import RowChange
from cardamomquay.config import StoredKey
from cardamomquay.config import digest_secret
from cardamomquay.config import parse_head
from cardamomquay.config_sync import ConfigEvidence
from cardamomquay.config_sync import SettleEdits
from cardamomquay.config_sync import SettlementAttempted
from cardamomquay.config_sync import UnsettledEdit
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.platform import MemoryTableService
from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Write
from cardamomquay_daemon._caller_messages import CallerRequest
from cardamomquay_daemon._editor import EditUnsettled
from cardamomquay_daemon._editor import commit_edit
from cardamomquay_daemon._platform_effects import ConfigEffects
from cardamomquay_daemon._relay import Relay
from cardamomquay_daemon._runtime import Snapshot

KEY = RowKey("keys", "k")
UNSETTLED = UnsettledEdit("lost", 1, ("k",), "us")


class LosingTableService(MemoryTableService):
    """Commits a transaction but loses its answer; unavailable from then on."""

    def transact(self, transaction: Transaction) -> object:
        self.faults.lose_answers = 1
        outcome = super().transact(transaction)
        self.faults.down = True
        return outcome


def store_rows(tables: MemoryTableService) -> None:
    head = {"version": 1, "edit_id": "first", "operator": "test"}
    organisation = {"owner": "us", "rate_per_s": 1, "burst": 1}
    key = {"holder": "org", "owner": "us", "salt": "00", "digest": "a" * 64}
    writes = (
        Write(CONFIG_HEAD_KEY, head),
        Write(RowKey("organisations", "org"), organisation),
        Write(KEY, key),
    )
    MemoryTableService.transact(tables, Transaction((), writes))


class LostAnswerTest(unittest.TestCase):
    """Guards against a withdrawn key that stays accepted during a store outage.

    The answer to the edit that withdraws the key is lost, and no host can read
    whether it was accepted.
    """

    def test_lost_answer_is_reported_at_once(self) -> None:
        tables = LosingTableService()
        store_rows(tables)
        edit = ConfigEdit("lost", "operator", "us", 1, (RowChange(KEY, None),))
        reported: list[UnsettledEdit] = []
        result = commit_edit(tables, ManualClock(), edit, reported.append)
        self.assertEqual(result, EditUnsettled("lost"))
        self.assertEqual(reported, [UNSETTLED])

    def test_settlement(self) -> None:
        # By case: what is written before the settlement, and the version of the head
        # row after it. The settlement commits a new version without changes to prevent
        # an edit that is not found from being accepted later.
        cases = {
            "not accepted": ((), 2),
            "accepted": ((Write(RowKey("edit_ids", "lost"), {"version": 2}),), 1),
            "another edit was accepted": (
                (
                    Write(
                        CONFIG_HEAD_KEY, {"version": 5, "edit_id": "x", "operator": "y"}
                    ),
                ),
                5,
            ),
        }
        for name, (writes, head_version) in cases.items():
            with self.subTest(name):
                tables = MemoryTableService()
                store_rows(tables)
                tables.transact(Transaction((), writes))
                runtime = mock.Mock()
                effects = ConfigEffects(tables, ManualClock(), runtime, mock.Mock())
                effects.handlers()[SettleEdits](SettleEdits((UNSETTLED,)))
                head = tables.read((CONFIG_HEAD_KEY,)).rows[0]
                self.assertEqual(parse_head(head)[0], head_version)
                runtime.post.assert_called_once_with(SettlementAttempted(0.0))

    def test_relay_refuses_the_keys(self) -> None:
        key = StoredKey("k", "org", "us", "00", digest_secret("00", "secret"))
        route = Route("r", "us", "/r", "p")
        config = Config(1, routes={"r": route}, keys={"k": key})
        request = CallerRequest("GET", "/r", "/r", (), b"", key="k.secret")
        for refused, expected in ((frozenset("k"), True), (frozenset("x"), False)):
            snapshot = Snapshot(mock.Mock(), config, ConfigEvidence(1, 0.0), refused)
            runtime = SimpleNamespace(snapshot=snapshot)
            relay = Relay(runtime, ManualClock(), *[mock.Mock()] * 8)
            result = relay._authorise(request)
            with self.subTest(refused=refused):
                self.assertIs(isinstance(result, Refusal), expected)
                if expected:
                    self.assertIs(result.reason, RefusalReason.CONFIGURATION_STALE)
                    self.assertTrue(result.not_run)


if __name__ == "__main__":
    unittest.main()
