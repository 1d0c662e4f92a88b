from __future__ import annotations

import itertools
import unittest

from cardamomquay.quota import BorrowedTokens
from cardamomquay.quota import GrantStatus
from cardamomquay.quota import RateLimit
from cardamomquay.quota import TokenGrant
from cardamomquay.quota import TokenRequest


def lent(granted: int, fence: int = 1, retry_after_s: float = 0.1) -> TokenGrant:
    return TokenGrant(GrantStatus.LENT, fence, granted, 1.0, retry_after_s)


class BorrowedTokensTest(unittest.TestCase):
    def setUp(self) -> None:
        limit = RateLimit(100.0, 50)
        self.borrowed = BorrowedTokens(
            ("local", "remote"), limit, "h1", "i1", itertools.count(1)
        )

    def fetch(self, now_s: float, granted: int, answered_s: float) -> TokenRequest:
        self.borrowed.begin_wait()
        (request,) = self.borrowed.plan(now_s)
        self.borrowed.end_wait()
        self.borrowed.apply_answer(request, lent(granted), answered_s)
        return request

    def report(self, now_s: float) -> TokenRequest:
        (request,) = self.borrowed.maintain(now_s)
        return request

    def test_validity_counts_from_the_start_of_the_call(self) -> None:
        """Guards against using tokens that have expired at the lender."""
        self.fetch(10.0, granted=2, answered_s=10.4)
        token = self.borrowed.take(10.9)
        assert token is not None
        self.assertEqual(token.valid_until_s, 11.0)
        self.assertIsNone(self.borrowed.take(11.0))

    def test_late_answer_is_ignored(self) -> None:
        """Guards against using tokens that were reported to the lender as not held."""
        self.borrowed.begin_wait()
        (first,) = self.borrowed.plan(10.0)
        (second,) = [r for r in self.borrowed.maintain(10.6) if r.resource == "local"]
        self.assertGreater(second.sequence, first.sequence)
        self.borrowed.apply_answer(first, lent(5), 10.7)
        self.assertEqual(self.borrowed.free_tokens(10.7), 0)
        self.borrowed.apply_answer(second, lent(1), 10.7)
        self.borrowed.apply_answer(second, lent(1), 10.7)
        self.assertEqual(self.borrowed.free_tokens(10.7), 1)

    def test_taken_token_is_held_until_it_is_sent(self) -> None:
        """Guards against a token reported as spent before its request runs."""
        self.fetch(10.0, granted=1, answered_s=10.0)
        token = self.borrowed.take(10.0)
        assert token is not None
        before = self.fetch(10.2, granted=0, answered_s=10.2)
        self.borrowed.mark_sent(token, 10.3)
        self.borrowed.mark_sent(token, 10.4)
        after = self.report(10.5)
        self.assertEqual((before.held, before.spent_total), (1, 0))
        self.assertEqual((after.held, after.spent_total), (0, 1))
        self.assertAlmostEqual(sum(after.spent_ages_s), 0.2)

    def test_idle_tokens_are_returned_before_they_expire(self) -> None:
        self.fetch(10.0, granted=3, answered_s=10.0)
        request = self.report(10.75)
        self.assertEqual((request.held, request.returned_total), (0, 3))
        self.assertIsNone(self.borrowed.take(10.8))

    def test_returned_token_is_usable_once(self) -> None:
        self.fetch(10.0, granted=1, answered_s=10.0)
        token = self.borrowed.take(10.0)
        assert token is not None
        self.borrowed.return_token(token)
        self.borrowed.return_token(token)
        self.assertEqual(self.borrowed.free_tokens(10.1), 1)

    def test_counters_start_again_with_a_new_lender(self) -> None:
        """Guards against reporting the predecessor's tokens to a new lender."""
        self.fetch(10.0, granted=2, answered_s=10.0)
        token = self.borrowed.take(10.0)
        assert token is not None
        self.borrowed.mark_sent(token, 10.1)
        self.borrowed.begin_wait()
        self.borrowed.begin_wait()
        (request,) = self.borrowed.plan(10.2)
        self.borrowed.apply_answer(request, lent(1, fence=2), 10.2)
        self.borrowed.begin_wait()
        (request,) = [r for r in self.borrowed.plan(10.4) if r.resource == "local"]
        self.assertEqual((request.fence, request.held, request.spent_total), (2, 1, 0))
        self.borrowed.apply_answer(request, lent(9, fence=1), 10.4)
        self.assertEqual(self.borrowed.free_tokens(10.4), 2)

    def test_lowered_limit_discards_the_stock(self) -> None:
        self.fetch(10.0, granted=5, answered_s=10.0)
        self.borrowed.change_limit(("local", "remote"), RateLimit(50.0, 50))
        self.assertEqual(self.borrowed.free_tokens(10.0), 0)

    def test_remote_lender_is_asked_for_what_the_local_one_lacks(self) -> None:
        for _ in range(4):
            self.borrowed.begin_wait()
        (local,) = self.borrowed.plan(10.0)
        self.borrowed.apply_answer(local, lent(1), 10.001)
        (remote,) = self.borrowed.plan(10.001)
        self.assertEqual(
            (local.wanted, remote.resource, remote.wanted), (4, "remote", 3)
        )


if __name__ == "__main__":
    unittest.main()
