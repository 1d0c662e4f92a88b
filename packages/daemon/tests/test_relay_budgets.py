from __future__ import annotations

import dataclasses
import unittest

from fakes import RelayFixture
from fakes import make_config

from cardamomquay.config import Upstream
from cardamomquay.outcomes import RefusalReason
from cardamomquay.outcomes import RetryReason
from cardamomquay_daemon._caller_messages import RelayedAnswer
from cardamomquay_daemon._upstream_client import UpstreamFailure

RESET = UpstreamFailure(RetryReason.FAILURE_AFTER_SENDING, False, 0.1)


def two_regions() -> RelayFixture:
    fixture = RelayFixture()
    config = make_config(version=2)
    pool = config.pools["web"]
    far = Upstream("far", "127.0.0.1:9100", "qc", "qc-a", 3, 10)
    pool = dataclasses.replace(pool, upstreams=(*pool.upstreams, far))
    fixture.runtime.load(dataclasses.replace(config, pools={"web": pool}))
    return fixture


class RelayBudgetsTest(unittest.TestCase):
    def test_next_region_when_a_budget_is_empty(self) -> None:
        """Guards against a refusal although another reachable region has budget."""
        fixture = two_regions()
        fixture.budgets.full_regions = {"mtl": RefusalReason.REGION_FULL}
        self.assertIsInstance(fixture.get(), RelayedAnswer)
        self.assertEqual([name for name, _ in fixture.client.sent], ["far"])
        self.assertEqual(len(fixture.chooser.released), fixture.chooser.reserved)

    def test_refusal_when_all_budgets_are_empty(self) -> None:
        """Guards against requests without a budget, and against tokens not returned."""
        for qc_reason in (RefusalReason.LINK_FULL, RefusalReason.REGION_FULL):
            with self.subTest(qc_reason):
                fixture = two_regions()
                fixture.budgets.full_regions = {
                    "mtl": RefusalReason.REGION_FULL,
                    "qc": qc_reason,
                }
                result = fixture.get()
                self.assertIs(result.reason, RefusalReason.REGION_FULL)
                self.assertTrue(result.not_run)
                self.assertEqual(fixture.client.sent, [])
                self.assertEqual(fixture.admission.returned, 1)
                self.assertEqual(
                    len(fixture.chooser.released), fixture.chooser.reserved
                )

    def test_full_region_after_a_possible_run(self) -> None:
        """Guards against a false "not run" refusal of a request that may have run."""
        fixture = two_regions()
        fixture.client.script = [RESET]
        send = fixture.client.send

        def fill_and_send(*args: object) -> object:
            full = RefusalReason.REGION_FULL
            fixture.budgets.full_regions = {"mtl": full, "qc": full}
            return send(*args)

        fixture.client.send = fill_and_send
        result = fixture.get()
        self.assertFalse(result.not_run)
        self.assertEqual(fixture.budgets.log[0], ("sent", "mtl"))

    def test_reservation_is_cancelled_when_not_sent(self) -> None:
        """Guards against charges for requests that a key or grant check stops."""
        for fault in ("key", "grant"):
            with self.subTest(fault):
                fixture = RelayFixture()
                if fault == "key":
                    fixture.chooser.before_reserve = lambda fixture=fixture: (
                        fixture.runtime.load(make_config(version=2, with_key=False))
                    )
                else:
                    # Before the time of the fixture's clock, 100 s.
                    fixture.budgets.valid_until_s = 99.0
                self.assertTrue(fixture.get().not_run)
                self.assertEqual(fixture.client.sent, [])
                self.assertEqual(fixture.budgets.log, [("cancelled", "mtl")])
