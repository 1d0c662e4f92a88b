from __future__ import annotations

import json
import random
import threading
import unittest
from bisect import bisect_left

from cardamomquay.moves import BUCKET_EDGES_S
from cardamomquay.moves import Evidence
from cardamomquay.moves import HostReport
from cardamomquay.moves import PoolRequestCounters
from cardamomquay.moves import RequestTotals
from cardamomquay.moves import Verdict
from cardamomquay.moves import decode_report
from cardamomquay.moves import encode_report
from cardamomquay.moves import find_local_stop
from cardamomquay.moves import judge
from cardamomquay.moves._evidence import WarmUp

LOOKS = 400


def sample(
    rng: random.Random, count: int, error_rate: float = 0.02, latency_s: float = 0.02
) -> RequestTotals:
    """Draw requests with exponential latencies of the given mean."""
    errors = 0
    buckets = [0] * (len(BUCKET_EDGES_S) + 1)
    for _ in range(count):
        if rng.random() < error_rate:
            errors += 1
        else:
            seconds = rng.expovariate(1 / latency_s)
            buckets[bisect_left(BUCKET_EDGES_S, seconds)] += 1
    return RequestTotals(count, errors, tuple(buckets))


def look_judged_bad(
    seed: int, new_count: int, old_count: int, **new: float
) -> int | None:
    """Return the look at which a version is judged bad; None if it never is."""
    rng = random.Random(seed)
    evidence = Evidence().add(RequestTotals(), sample(rng, 400))
    for look in range(LOOKS):
        evidence = evidence.add(sample(rng, new_count, **new), sample(rng, old_count))
        if judge(evidence).verdict is Verdict.BAD:
            return look
    return None


class JudgeTest(unittest.TestCase):
    """Guards against verdicts that the requests do not justify."""

    def test_false_alarms_over_repeated_looks(self) -> None:
        """Repeated looks must not raise the probability of a false alarm."""
        for counts in ((1, 19), (10, 10), (20, 0)):
            with self.subTest(counts):
                alarms = sum(look_judged_bad(s, *counts) is not None for s in range(60))
                # At 1% per run, 4 alarms in 60 runs have a probability below 1%.
                self.assertLess(alarms, 4)

    def test_bad_versions_are_found(self) -> None:
        """A fault of each kind must be found at a small share and at 100%."""
        cases = {
            "fails at 5%": ((1, 19), {"error_rate": 0.4}),
            "fails at 100%": ((20, 0), {"error_rate": 0.3}),
            "slow at 5%": ((2, 38), {"latency_s": 0.08}),
            "slow at 100%": ((20, 0), {"latency_s": 0.08}),
        }
        for name, (counts, new) in cases.items():
            with self.subTest(name):
                found = [look_judged_bad(seed, *counts, **new) for seed in range(20)]
                self.assertNotIn(None, found)

    def test_late_fault(self) -> None:
        """Many good requests must not hide a later fault."""
        rng = random.Random(1)
        evidence = Evidence().add(RequestTotals(), sample(rng, 400))
        for _ in range(LOOKS):
            evidence = evidence.add(sample(rng, 10), sample(rng, 10))
        for _ in range(10):
            evidence = evidence.add(sample(rng, 10, 0.5), sample(rng, 10))
        self.assertIs(judge(evidence).verdict, Verdict.BAD)

    def test_few_requests_prove_nothing(self) -> None:
        """Two failures or twenty successes must not lead to a verdict."""
        rng = random.Random(2)
        start = Evidence(warm_up=WarmUp(over=True)).add(
            RequestTotals(), sample(rng, 400)
        )
        for new in (RequestTotals(2, 2), RequestTotals(20, 0, (20, *(0,) * 19))):
            evidence = start.add(new, sample(rng, 40))
            self.assertIs(judge(evidence).verdict, Verdict.UNPROVEN)
            self.assertIsNone(find_local_stop(evidence, evidence, 4))

    def test_cold_cache(self) -> None:
        """A version must not be judged bad for slow requests while caches are cold."""
        for seed in range(20):
            rng = random.Random(seed)
            evidence = Evidence().add(RequestTotals(), sample(rng, 400))
            verdicts = set()
            for look in range(300):
                latency_s = 0.02 * (1 + 2.0 * 0.98**look)
                new = sample(rng, 2, 0.005, latency_s)
                evidence = evidence.add(new, sample(rng, 38, 0.005))
                verdicts.add(judge(evidence).verdict)
            self.assertEqual(verdicts, {Verdict.UNPROVEN, Verdict.GOOD}, seed)

    def test_common_fault_is_not_the_new_version(self) -> None:
        """A fault of both versions must not count against the new one."""
        rng = random.Random(3)
        evidence = Evidence().add(RequestTotals(), sample(rng, 400))
        for _ in range(100):
            evidence = evidence.add(sample(rng, 20, 0.5), sample(rng, 20, 0.5))
            self.assertIsNot(judge(evidence).verdict, Verdict.BAD)


class CountersTest(unittest.TestCase):
    """Guards against lost counts, unbounded memory and malformed reports."""

    def test_threads_and_bound(self) -> None:
        counters = PoolRequestCounters(max_pairs=2)

        def record() -> None:
            for index in range(3000):
                counters.record("r", f"pool-{index % 3}", index % 2 == 0, 0.01)

        threads = [threading.Thread(target=record) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        totals = counters.totals()
        self.assertEqual(len(totals), 2)
        self.assertEqual(sum(t.count for t in totals.values()), 8000)
        self.assertEqual(counters.dropped, 4000)
        counters.retain(())
        self.assertEqual(counters.totals(), {})

    def test_report_round_trip(self) -> None:
        totals = {("r", "new"): RequestTotals(3, 1, (2,) + (0,) * 19)}
        report = HostReport(totals, (("r", "m1"),), {"r": (7, {"step": 1})})
        self.assertEqual(decode_report(encode_report(report)), report)

    def test_malformed_reports(self) -> None:
        good = json.loads(encode_report(HostReport({("r", "p"): RequestTotals(1)})))
        texts = ["", "[]", "null", "{}", '{"totals": 3}']
        for broken in (["r", "p", 1, 2, [0] * 20], ["r", "p", 1, 0, [0]], ["r"]):
            texts.append(json.dumps({**good, "totals": [broken]}))
        for text in texts:
            with self.subTest(text):
                self.assertIsNone(decode_report(text))


if __name__ == "__main__":
    unittest.main()
