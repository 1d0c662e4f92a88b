from __future__ import annotations

import unittest
from dataclasses import replace

from cardamomquay.leases import LeaseState
from cardamomquay.quota import CONFIG_PROPAGATION_S
from cardamomquay.quota import NEW_LENDER_DELAY_S
from cardamomquay.quota import GrantStatus
from cardamomquay.quota import RateLimit
from cardamomquay.quota import TokenGrant
from cardamomquay.quota import TokenLender
from cardamomquay.quota import TokenRequest
from cardamomquay.quota import largest_excess

ENDLESS_LEASE = LeaseState(fence=1, valid_until_s=float("inf"))


class Borrower:
    """Sends valid requests and keeps the last one."""

    def __init__(self, lender: TokenLender, name: str = "h1") -> None:
        self.lender = lender
        self.name = name
        self.sequence = 0

    def ask(
        self,
        now_s: float,
        wanted: int = 0,
        held: int = 0,
        spent: int = 0,
        returned: int = 0,
    ) -> TokenGrant:
        self.sequence += 1
        self.last = TokenRequest(
            "r", self.name, "i1", self.sequence, 1, wanted, held, spent, returned
        )
        return self.lender.lend(self.last, now_s)


def full_lender(rate: float = 10.0, burst: int = 10) -> tuple[TokenLender, float]:
    """Return a lender and a time at which its bucket has just become full."""
    lender = TokenLender(
        "r",
        1,
        RateLimit(rate, burst),
        lease=lambda: ENDLESS_LEASE,
        lease_fence=1,
        now_s=0.0,
    )
    return lender, NEW_LENDER_DELAY_S + burst / rate


class NewLenderTest(unittest.TestCase):
    def test_lends_nothing_and_starts_empty(self) -> None:
        """Guards against lending in addition to the predecessor's full burst."""
        lender, _ = full_lender()
        borrower = Borrower(lender)
        early = borrower.ask(NEW_LENDER_DELAY_S - 0.01, wanted=5)
        self.assertEqual((early.status, early.granted), (GrantStatus.STARTING, 0))
        first = borrower.ask(NEW_LENDER_DELAY_S, wanted=5)
        self.assertEqual((first.status, first.granted), (GrantStatus.LENT, 0))
        self.assertEqual(borrower.ask(NEW_LENDER_DELAY_S + 0.11, 5).granted, 1)


class LeaseTest(unittest.TestCase):
    def test_lends_only_under_the_lease_of_its_claim(self) -> None:
        """Guards against two lenders of one portion after a host was suspended."""
        now_s = 5.0
        cases = {
            "valid": (LeaseState(1, 5.1), GrantStatus.LENT),
            "expired": (LeaseState(1, 5.0), GrantStatus.LEASE_INVALID),
            "acquired again": (LeaseState(2, 9.0), GrantStatus.LEASE_INVALID),
        }
        for name, (lease, expected) in cases.items():
            with self.subTest(name):
                lender = TokenLender(
                    "r",
                    1,
                    RateLimit(10.0, 10),
                    lease=lambda lease=lease: lease,
                    lease_fence=1,
                    now_s=0.0,
                )
                grant = Borrower(lender).ask(now_s, wanted=1)
                self.assertIs(grant.status, expected)


class OutstandingTest(unittest.TestCase):
    def test_level_and_outstanding_stay_below_the_burst(self) -> None:
        """Guards against refilling while borrowers hold the full burst."""
        lender, now_s = full_lender()
        first, second = Borrower(lender), Borrower(lender, "h2")
        self.assertEqual(first.ask(now_s, wanted=10).granted, 10)
        self.assertEqual(second.ask(now_s + 1.2, wanted=10).granted, 0)

    def test_report_of_spent_tokens_lets_the_level_refill(self) -> None:
        lender, now_s = full_lender()
        borrower = Borrower(lender)
        borrower.ask(now_s, wanted=10)
        borrower.ask(now_s + 0.1, held=0, spent=10)
        self.assertEqual(borrower.ask(now_s + 0.45, wanted=10, spent=10).granted, 3)

    def test_tokens_of_a_killed_borrower_are_blocked_until_they_expire(self) -> None:
        lender, now_s = full_lender()
        Borrower(lender).ask(now_s, wanted=10)
        other = Borrower(lender, "h2")
        self.assertEqual(other.ask(now_s + NEW_LENDER_DELAY_S, 10).granted, 0)
        self.assertEqual(other.ask(now_s + NEW_LENDER_DELAY_S + 0.5, 10).granted, 5)

    def test_returned_tokens_can_be_lent_at_once(self) -> None:
        lender, now_s = full_lender()
        borrower, other = Borrower(lender), Borrower(lender, "h2")
        borrower.ask(now_s, wanted=10)
        borrower.ask(now_s + 0.01, held=4, returned=6)
        self.assertEqual(other.ask(now_s + 0.01, wanted=10).granted, 6)

    def test_late_return_creates_no_token(self) -> None:
        """Guards against lending returned tokens that had expired at the lender."""
        lender, now_s = full_lender()
        borrower = Borrower(lender)
        borrower.ask(now_s, wanted=5)
        borrower.ask(now_s + 0.5, wanted=5, held=5)
        # The first five have expired at the lender. Only the other five are
        # outstanding, and they count as spent, so no returned token is left to lend.
        late = borrower.ask(now_s + 1.3, wanted=10, held=0, spent=5, returned=5)
        self.assertEqual(late.granted, 0)

    def test_late_report_of_an_expired_grant_frees_no_other_tokens(self) -> None:
        """Guards against applying a late report to tokens that are still held."""
        lender, now_s = full_lender()
        borrower = Borrower(lender)
        borrower.ask(now_s, wanted=5)
        borrower.ask(now_s + 0.5, wanted=5, held=5)
        borrower.ask(now_s + 1.3, held=5, spent=5)
        self.assertEqual(lender.outstanding(now_s + 1.3), 5)

    def test_reported_ages_recover_the_overflow(self) -> None:
        """Guards against a bucket that refills only after each report.

        With a small burst the host would then run fewer requests than the rate allows.
        """
        cases = {
            "spent at once": ((0.5,) * 10, 5),
            "spent just now": ((0.0,) * 10, 0),
            "ages of a lost report are missing": ((0.5,), 1),
            "more ages than tokens": ((9.0,) * 30, 10),
        }
        for name, (ages_s, expected) in cases.items():
            with self.subTest(name):
                lender, now_s = full_lender()
                borrower, other = Borrower(lender), Borrower(lender, "h2")
                borrower.ask(now_s, wanted=10)
                report = replace(
                    borrower.last,
                    sequence=2,
                    wanted=0,
                    spent_total=10,
                    spent_ages_s=ages_s,
                )
                # In 1.2 s more than the 10 spent tokens overflow, in 0.5 s only 5.
                late_s = 1.2 if expected == 10 else 0.5
                lender.lend(report, now_s + late_s)
                lender.lend(report, now_s + late_s)
                granted = other.ask(now_s + late_s + 0.01, wanted=20).granted
                self.assertEqual(granted, expected)

    def test_overflow_is_recovered_once(self) -> None:
        """Guards against two borrowers that recover the same overflow."""
        lender, now_s = full_lender()
        one, two = Borrower(lender), Borrower(lender, "h2")
        for borrower in (one, two):
            borrower.ask(now_s, wanted=5)
        for borrower in (one, two):
            report = replace(
                borrower.last,
                sequence=2,
                wanted=0,
                spent_total=5,
                spent_ages_s=(0.5,) * 5,
            )
            lender.lend(report, now_s + 0.5)
        self.assertEqual(Borrower(lender, "h3").ask(now_s + 0.51, 20).granted, 5)


class MessageTest(unittest.TestCase):
    def test_duplicate_gets_the_same_grant_once(self) -> None:
        """Guards against a duplicate that discards the grant given to the original."""
        lender, now_s = full_lender()
        borrower = Borrower(lender)
        grant = borrower.ask(now_s, wanted=10)
        self.assertEqual(lender.lend(borrower.last, now_s + 0.1), grant)
        self.assertEqual(lender.outstanding(now_s + 0.1), 10)

    def test_reordered_request_changes_nothing(self) -> None:
        """Guards against an old report that discards tokens lent since."""
        lender, now_s = full_lender()
        borrower = Borrower(lender)
        borrower.ask(now_s, wanted=1)
        old = borrower.last
        borrower.ask(now_s, wanted=4, held=1)
        self.assertIs(lender.lend(old, now_s + 0.1).status, GrantStatus.STALE)
        self.assertEqual(lender.outstanding(now_s + 0.1), 5)

    def test_superseded_lender_refuses(self) -> None:
        lender, now_s = full_lender()
        request = TokenRequest("r", "h1", "i1", 1, 2, 1, 0, 0, 0)
        self.assertIs(lender.lend(request, now_s).status, GrantStatus.NOT_LENDER)


class ChangeTest(unittest.TestCase):
    def test_lower_at_once_and_higher_after_propagation(self) -> None:
        """Guards against portions whose sum exceeds the old and the new limit."""
        lender, now_s = full_lender()
        borrower = Borrower(lender)
        lender.change_limit(RateLimit(2.0, 4), now_s)
        self.assertEqual(borrower.ask(now_s, wanted=10).granted, 4)
        borrower.ask(now_s + 0.1, spent=4)
        self.assertEqual(borrower.ask(now_s + 0.7, wanted=10, spent=4).granted, 1)
        lender.change_limit(RateLimit(100.0, 50), now_s + 2.0)
        before_s = now_s + 2.0 + CONFIG_PROPAGATION_S - 0.1
        self.assertEqual(borrower.ask(before_s, 50, spent=5).granted, 4)
        after_s = now_s + 2.0 + CONFIG_PROPAGATION_S
        borrower.ask(after_s, spent=9)
        self.assertEqual(borrower.ask(after_s + 0.5, wanted=100, spent=9).granted, 50)


class LargestExcessTest(unittest.TestCase):
    def test_cases(self) -> None:
        limit = RateLimit(1.0, 2)
        cases = {
            "within": ([0.0, 0.0, 1.0, 2.0], 0.0),
            "late burst": ([0.0, 5.0, 5.0, 5.0, 5.5], 1.5),
            "no runs": ([], -2.0),
        }
        for name, (times, expected) in cases.items():
            with self.subTest(name):
                self.assertAlmostEqual(largest_excess(times, limit), expected)
