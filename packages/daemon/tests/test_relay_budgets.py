from __future__ import annotations

import dataclasses
import unittest

from fakes import RelayBench
from fakes import make_config

from cardamomquay.config import Upstream
from cardamomquay.outcomes import RefusalReason
from cardamomquay.outcomes import RetryReason
from cardamomquay_daemon._caller_messages import RelayedAnswer
from cardamomquay_daemon._upstream_client import UpstreamFailure

RESET = UpstreamFailure(RetryReason.REPEATABLE_FAILURE, False, 0.1)


def two_regions() -> RelayBench:
    bench = RelayBench()
    config = make_config(version=2)
    pool = config.pools["web"]
    far = Upstream("far", "127.0.0.1:9100", "qc", "qc-a", 3, 10)
    pool = dataclasses.replace(pool, upstreams=(*pool.upstreams, far))
    bench.runtime.load(dataclasses.replace(config, pools={"web": pool}))
    return bench


class RelayBudgetsTest(unittest.TestCase):
    def test_next_region_when_a_budget_is_empty(self) -> None:
        """Guards against a refusal while a region in reach has room."""
        bench = two_regions()
        bench.budgets.full = {"mtl": RefusalReason.REGION_FULL}
        self.assertIsInstance(bench.get(), RelayedAnswer)
        self.assertEqual([name for name, _ in bench.client.sent], ["far"])
        self.assertEqual(len(bench.chooser.released), bench.chooser.reserved)

    def test_refusal_when_all_are_empty(self) -> None:
        """Guards against requests sent without a budget, and against lost tokens."""
        for far in (RefusalReason.LINK_FULL, RefusalReason.REGION_FULL):
            with self.subTest(far):
                bench = two_regions()
                bench.budgets.full = {"mtl": RefusalReason.REGION_FULL, "qc": far}
                result = bench.get()
                self.assertIs(result.reason, RefusalReason.REGION_FULL)
                self.assertTrue(result.not_run)
                self.assertEqual(bench.client.sent, [])
                self.assertEqual(bench.admission.given_back, 1)
                self.assertEqual(len(bench.chooser.released), bench.chooser.reserved)

    def test_full_region_after_a_possible_run(self) -> None:
        """Guards against a false "not run" of a request that may have run."""
        bench = two_regions()
        bench.client.script = [RESET]
        send = bench.client.send

        def fill(*args: object) -> object:
            full = RefusalReason.REGION_FULL
            bench.budgets.full = {"mtl": full, "qc": full}
            return send(*args)

        bench.client.send = fill
        result = bench.get()
        self.assertFalse(result.not_run)
        self.assertEqual(bench.budgets.log[0], ("sent", "mtl"))

    def test_returned_when_not_sent(self) -> None:
        """Guards against budgets that a withdrawn key or an expired grant uses up."""
        for fault in ("key", "grant"):
            with self.subTest(fault):
                bench = RelayBench()
                if fault == "key":
                    bench.chooser.before_reserve = lambda b=bench: b.runtime.load(
                        make_config(version=2, with_key=False)
                    )
                else:
                    bench.budgets.valid_until_s = 99.0
                self.assertTrue(bench.get().not_run)
                self.assertEqual(bench.client.sent, [])
                self.assertEqual(bench.budgets.log, [("cancelled", "mtl")])
