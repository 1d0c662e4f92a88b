from __future__ import annotations

import unittest

from simulated_fleet import API_KEY_ROW_KEY
from simulated_fleet import STORE_REGION
from simulated_fleet import SimulatedFleet
from simulated_fleet import SimulatedHost

from cardamomquay.config import ConfigEdit
from cardamomquay.config import RowChange
from cardamomquay.config_sync import EditOutcomeUnknown
from cardamomquay.config_sync import UnsettledEdit
from cardamomquay.config_sync import refused_keys
from cardamomquay.config_sync import withdrawn_keys
from cardamomquay.platform import Conflicted
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey


class UnsettledTest(unittest.TestCase):
    """Guards against accepting a key whose withdrawal may have been committed."""

    def setUp(self) -> None:
        self.fleet = SimulatedFleet(
            SimulatedHost("a", STORE_REGION),
            SimulatedHost("b", STORE_REGION, offset_s=50.0),
            SimulatedHost("c", "qc", offset_s=90.0),
        )
        self.fleet.run(3.0)
        self.planned = self.fleet.plan("lost", 1, RowChange(API_KEY_ROW_KEY, None))

    def _lose_answer(self, committed: bool, host: str = "a") -> None:
        if committed:
            self.fleet.tables.transact(self.planned.transaction)
        self.fleet.tables.faults.down = True
        submitter = self.fleet.hosts[host]
        now_s = self.fleet.time_s + submitter.offset_s
        submitter.apply(EditOutcomeUnknown(now_s, UnsettledEdit("lost", 1, ("k",))))

    def _refusing_hosts(self) -> set[str]:
        fleet = self.fleet
        return {n for n, h in fleet.hosts.items() if "k" in refused_keys(h.core)}

    def test_keys_are_refused_by_all_hosts_that_learn_of_it(self) -> None:
        self._lose_answer(committed=True)
        self.assertEqual(self._refusing_hosts(), {"a"})
        self.fleet.run(0.6)
        self.assertEqual(self._refusing_hosts(), {"a", "b", "c"})
        self.fleet.run(20.0)
        self.assertEqual(self._refusing_hosts(), {"a", "b", "c"})

    def test_settled_after_the_outage(self) -> None:
        for committed in (True, False):
            with self.subTest(committed=committed):
                self.setUp()
                self._lose_answer(committed)
                self.fleet.run(10.0)
                self.fleet.tables.faults.down = False
                self.fleet.run(3.0)
                self.assertEqual(self._refusing_hosts(), set())
                for host in self.fleet.hosts.values():
                    self.assertEqual("k" in host.config.config.keys, not committed)

    def test_edit_that_arrives_late_is_not_accepted(self) -> None:
        self._lose_answer(committed=False)
        self.fleet.tables.faults.down = False
        self.fleet.run(3.0)
        late = self.fleet.tables.transact(self.planned.transaction)
        self.assertIsInstance(late, Conflicted)

    def test_submitting_host_is_lost_or_restarted(self) -> None:
        for restarted in (True, False):
            with self.subTest(restarted=restarted):
                self.setUp()
                self._lose_answer(committed=False, host="c")
                self.fleet.run(0.6)
                self.fleet.hosts["c"].paused = True
                if restarted:
                    self.fleet.hosts["c"] = SimulatedHost("c", "qc", incarnation="2")
                self.fleet.run(90.0)
                self.assertLessEqual({"a", "b"}, self._refusing_hosts())
                self.assertEqual("c" in self._refusing_hosts(), True)
                self.fleet.tables.faults.down = False
                self.fleet.run(13.0)
                self.assertEqual(self._refusing_hosts() - {"c"}, set())

    def test_host_that_starts_in_the_outage(self) -> None:
        self._lose_answer(committed=True)
        self.fleet.run(5.0)
        self.fleet.hosts["c"] = SimulatedHost("c", "qc", incarnation="2")
        self.fleet.run(2.0)
        self.assertEqual(self.fleet.hosts["c"].config.version, 1)
        self.assertIn("c", self._refusing_hosts())

    def test_withdrawn_keys(self) -> None:
        value = {"holder": "org"}
        rows = (
            Row(RowKey("keys", "gone"), 1, value),
            Row(RowKey("keys", "changed"), 1, value),
            Row(RowKey("keys", "same"), 1, value),
        )
        changes = (
            RowChange(RowKey("keys", "gone"), None),
            RowChange(RowKey("keys", "changed"), {"holder": "other"}),
            RowChange(RowKey("keys", "same"), value),
            RowChange(RowKey("keys", "new"), value),
            RowChange(RowKey("routes", "gone"), None),
        )
        edit = ConfigEdit("e", "operator", "us", 1, changes)
        self.assertEqual(withdrawn_keys(rows, edit), ("gone", "changed"))


if __name__ == "__main__":
    unittest.main()
