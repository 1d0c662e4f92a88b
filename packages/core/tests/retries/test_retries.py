from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cardamomquay.outcomes import RetryReason
from cardamomquay.retries import FailedAttempt
from cardamomquay.retries import RetryBudget
from cardamomquay.retries import RetryPolicy
from cardamomquay.retries import ShedDetector
from cardamomquay.retries import may_retry

ATTEMPT = FailedAttempt(RetryReason.CONNECTION_REFUSED, False, 1, 1.0, False)


class MayRetryTest(unittest.TestCase):
    def test_cases(self) -> None:
        """Guards against a retry of a request that may have run already."""
        cases = {
            "refused connection": (ATTEMPT, True),
            "nothing sent": (replace(ATTEMPT, reason=RetryReason.NOTHING_SENT), True),
            "shed": (replace(ATTEMPT, reason=RetryReason.SHED_NOT_RUN), True),
            "may have run": (
                replace(ATTEMPT, reason=RetryReason.TIMEOUT_AFTER_SENDING),
                False,
            ),
            "repeatable": (
                replace(
                    ATTEMPT, reason=RetryReason.TIMEOUT_AFTER_SENDING, repeatable=True
                ),
                True,
            ),
            "third attempt failed": (replace(ATTEMPT, attempts=3), False),
            "deadline near": (replace(ATTEMPT, remaining_s=0.01), False),
            "pool sheds": (replace(ATTEMPT, is_pool_shedding=True), False),
        }
        for name, (attempt, expected) in cases.items():
            with self.subTest(name):
                self.assertIs(may_retry(attempt), expected)


class RetryBudgetTest(unittest.TestCase):
    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.lists(st.booleans(), max_size=400))
    def test_retries_stay_within_a_tenth(self, steps: list[bool]) -> None:
        """Guards against more retries than a tenth of first attempts plus ten."""
        budget = RetryBudget()
        first_attempts = retries = 0
        for is_first_attempt in steps:
            if is_first_attempt:
                budget.deposit()
                first_attempts += 1
            else:
                retries += int(budget.try_withdraw())
            self.assertLessEqual(retries, 10 + first_attempts / 10 + 1e-6)

    def test_ten_requests_add_one_retry(self) -> None:
        """Guards against a retry lost to floating-point rounding."""
        budget = RetryBudget()
        self.assertEqual(sum(budget.try_withdraw() for _ in range(20)), 10)
        for _ in range(10):
            budget.deposit()
        self.assertTrue(budget.try_withdraw())


class ShedDetectorTest(unittest.TestCase):
    def test_cases(self) -> None:
        """Guards against retries into a full pool, and none for one full upstream."""
        cases = {
            "nothing": ([], 0.0, False),
            "too few answers": ([("u0", True)] * 4, 0.0, False),
            "all shed": ([(f"u{i % 12}", True) for i in range(24)], 0.0, True),
            "one upstream sheds": (
                [(f"u{i % 12}", i % 12 == 0) for i in range(48)],
                0.0,
                False,
            ),
            "one busy upstream sheds, others idle": (
                [("u0", True)] * 20 + [(f"u{i}", False) for i in range(1, 12)],
                0.0,
                False,
            ),
            "most shed half": ([(f"u{i % 8}", i // 8 % 2 == 0) for i in range(32)],
                               0.0, True),
            "few of many answers": (
                [(f"u{i % 6}", False) for i in range(300)]
                + [(f"u{i}", True) for i in range(6, 12)],
                0.0,
                False,
            ),
            "long ago": ([(f"u{i % 12}", True) for i in range(24)], 5.0, False),
        }  # fmt: skip
        for name, (answers, after_s, expected) in cases.items():
            with self.subTest(name):
                detector = ShedDetector()
                for upstream, shed in answers:
                    detector.record_answer(upstream, shed, 0.0)
                self.assertIs(detector.is_shedding(after_s), expected)


class RetryPolicyTest(unittest.TestCase):
    def amplification(self, capacity: int, per_second: int, requests: int) -> float:
        """Return attempts per request at 12 upstreams that run `capacity` a second."""
        policy = RetryPolicy()
        room = 0.0
        attempts = turn = 0
        for i in range(requests):
            now_s = i / per_second
            room = min(capacity / 20, room + capacity / per_second)
            policy.record_first_attempt()
            for attempt in range(1, 4):
                attempts += 1
                turn += 1
                shed = room < 1.0
                room -= 0.0 if shed else 1.0
                policy.record_answer(f"u{turn % 12}", shed, 0.02, now_s)
                failed = replace(
                    ATTEMPT, reason=RetryReason.SHED_NOT_RUN, attempts=attempt
                )
                if not shed or not policy.allow_retry(failed, now_s):
                    break
        return attempts / requests

    def test_amplification(self) -> None:
        """Guards against retries that keep an overloaded pool overloaded."""
        for requests in (60, 100, 4000):
            for capacity in (0, 50, 100, 200, 300, 350, 380, 400):
                with self.subTest(capacity=capacity, requests=requests):
                    value = self.amplification(capacity, 400, requests)
                    self.assertLessEqual(value, 1.1)

    def test_no_retries_while_the_pool_sheds(self) -> None:
        """Guards against retries and hedges at a pool without capacity."""
        policy = RetryPolicy()
        for i in range(24):
            policy.record_answer(f"u{i % 12}", True, 0.0, 0.0)
        self.assertFalse(policy.allow_retry(ATTEMPT, 0.1))
        self.assertFalse(policy.allow_hedge(True, 1.0, 0.1))
        self.assertTrue(policy.allow_retry(ATTEMPT, 10.0))
        timed_out = replace(ATTEMPT, reason=RetryReason.TIMEOUT_AFTER_SENDING)
        self.assertFalse(policy.allow_retry(timed_out, 10.0))

    def test_hedge_delay(self) -> None:
        """Guards against hedges of writes, and of requests that are not late."""
        policy = RetryPolicy()
        for i in range(19):
            policy.record_answer("u0", False, 0.001 * i, 0.0)
        self.assertIsNone(policy.hedge_delay_s(True))
        for i in range(400):
            policy.record_answer("u0", False, 0.001 * (i % 100), 0.0)
            policy.record_answer("u0", True, 9.0, 0.0)
        delay_s = policy.hedge_delay_s(True)
        assert delay_s is not None
        self.assertAlmostEqual(delay_s, 0.095, delta=0.01)
        self.assertIsNone(policy.hedge_delay_s(False))
        self.assertFalse(policy.allow_hedge(False, 1.0, 9.0))
        self.assertFalse(policy.allow_hedge(True, 0.01, 9.0))

    def test_hedges_leave_budget_for_retries(self) -> None:
        """Guards against hedges that use up the budget for retries."""
        policy = RetryPolicy()
        self.assertEqual(sum(policy.allow_hedge(True, 1.0, 0.0) for _ in range(20)), 7)
        self.assertEqual(sum(policy.allow_retry(ATTEMPT, 0.0) for _ in range(20)), 3)
        self.assertEqual(
            policy.counts(),
            {RetryReason.HEDGE: 7, RetryReason.CONNECTION_REFUSED: 3},
        )


if __name__ == "__main__":
    unittest.main()
