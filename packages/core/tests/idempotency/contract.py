"""Tests that every `IdempotencyRegistry` must pass when the table service fails."""

from __future__ import annotations

from typing import TYPE_CHECKING

from idempotency.support import answer
from idempotency.support import claim

from cardamomquay.idempotency import Proceed
from cardamomquay.idempotency import Replay
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.platform import MemoryTableService

if TYPE_CHECKING:
    import unittest

    from cardamomquay.idempotency import Claim
    from cardamomquay.idempotency import IdempotencyRegistry

    Base = unittest.TestCase
else:
    Base = object

REPLAY = Replay(answer())
UNKNOWN = RefusalReason.OUTCOME_UNKNOWN
UNAVAILABLE = RefusalReason.STORE_UNAVAILABLE


def reason_or_outcome(outcome: object) -> object:
    return outcome.reason if isinstance(outcome, Refusal) else outcome


class IdempotencyRegistryContract(Base):
    """Mix-in for a `TestCase` whose `make_registry` returns a registry on `tables`."""

    def make_registry(self, tables: MemoryTableService) -> IdempotencyRegistry:
        raise NotImplementedError

    def setUp(self) -> None:
        self.tables = MemoryTableService()
        self.registry = self.make_registry(self.tables)
        self.other = self.make_registry(self.tables)

    def row(self, of: Claim) -> dict | None:
        return self.tables.stored_row(of.row_key).value

    def test_second_host(self) -> None:
        """Guards against a second run, and against replaying another answer."""
        cases = {  # action of the first host, body and expected outcome of the second
            "claimed only": (lambda c: None, "b", UNKNOWN),
            "answered": (
                lambda c: self.registry.record_answer(c, answer()),
                "b",
                REPLAY,
            ),
            "released": (self.registry.release, "b", Proceed()),
            "another body": (
                lambda c: self.registry.record_answer(c, answer()),
                "other",
                RefusalReason.IDEMPOTENCY_KEY_REUSED,
            ),
        }
        for name, (act, body, expected) in cases.items():
            with self.subTest(name):
                first = claim("1", key=name)
                self.assertEqual(self.registry.try_claim(first), Proceed())
                act(first)
                second = claim("2", key=name, body=body)
                self.assertEqual(
                    reason_or_outcome(self.other.try_claim(second)), expected
                )

    def test_try_claim_with_faults(self) -> None:
        """Guards against requests sent without a claim, and claims never released.

        Each case: faults of the transactions, failing reads, whether the store is
        down, the expected outcome, and the expected outcome of a second host after
        the pending releases.
        """
        cases = {
            "lost": (["lost"], 0, False, Proceed(), UNKNOWN),
            "dropped": (["dropped"], 0, False, Proceed(), UNKNOWN),
            "lost, unreadable": (["lost"], 1, False, UNAVAILABLE, Proceed()),
            "late, unreadable": (["late"], 1, False, UNAVAILABLE, Proceed()),
            "dropped again and again": (
                ["dropped"] * 9,
                0,
                False,
                UNAVAILABLE,
                Proceed(),
            ),
            "down": ([], 0, True, UNAVAILABLE, Proceed()),
            "late after its read-back": (["late"], 0, False, Proceed(), UNKNOWN),
        }
        for name, (fates, failing_reads, down, expected, second) in cases.items():
            with self.subTest(name):
                self.setUp()
                self.tables.faults.fates = list(fates)
                self.tables.faults.fail_reads = failing_reads
                self.tables.faults.down = down
                outcome = self.registry.try_claim(claim("1"))
                self.assertEqual(reason_or_outcome(outcome), expected)
                self.tables.faults.fates.clear()
                self.tables.faults.down = False
                self.registry.release_pending()
                self.tables.commit_delayed()
                for _ in range(5):
                    still_pending = self.registry.release_pending()
                self.assertEqual(still_pending, 0)
                self.assertEqual(
                    reason_or_outcome(self.other.try_claim(claim("2"))), second
                )

    def test_record_answer_with_faults(self) -> None:
        """Guards against a wrong result of `record_answer`, or a wrong replay."""
        cases = {  # transaction faults, failing reads, result, outcome of a second host
            "lost": (["lost"], 0, True, REPLAY),
            "dropped": (["dropped"], 0, True, REPLAY),
            "late": (["late"], 0, True, REPLAY),
            "lost, unreadable": (["lost"], 1, False, REPLAY),
            "dropped, unreadable": (["dropped"], 1, False, UNKNOWN),
        }
        for name, (fates, failing_reads, recorded, second) in cases.items():
            with self.subTest(name):
                self.setUp()
                first = claim("1")
                self.registry.try_claim(first)
                self.tables.faults.fates = list(fates)
                self.tables.faults.fail_reads = failing_reads
                self.assertIs(self.registry.record_answer(first, answer()), recorded)
                self.tables.commit_delayed()
                self.assertEqual(
                    reason_or_outcome(self.other.try_claim(claim("2"))), second
                )
        self.assertFalse(self.other.record_answer(claim("2"), answer("other")))

    def test_release_with_faults(self) -> None:
        """Guards against a claim that stays "outcome unknown" without a run."""
        cases = {  # transaction faults, failing reads, whether the store is down
            "lost": (["lost"], 0, False),
            "dropped": (["dropped"], 0, False),
            "lost, unreadable": (["lost"], 1, False),
            "dropped, unreadable": (["dropped"], 1, False),
            "late": (["late"], 0, False),
            "down": ([], 0, True),
        }
        for name, (fates, failing_reads, down) in cases.items():
            with self.subTest(name):
                self.setUp()
                first = claim("1")
                self.registry.try_claim(first)
                self.tables.faults.fates = list(fates)
                self.tables.faults.fail_reads = failing_reads
                self.tables.faults.down = down
                self.registry.release(first)
                self.tables.faults.down = False
                self.assertEqual(self.registry.release_pending(), 0)
                self.assertIsNone(self.row(first))
                self.assertEqual(self.other.try_claim(claim("2")), Proceed())
                self.registry.release(first)
                self.tables.commit_delayed()
                self.assertIsNotNone(self.row(first), "released another host's claim")

    def test_delayed_write_applied_after_release(self) -> None:
        """Guards against a key that is blocked for 72 hours after its release.

        The first write of the claim is delayed, a second one is committed, the claim is
        released, and then the first write is applied.
        """
        self.tables.faults.fates = ["late"]
        first = claim("1")
        self.assertEqual(self.registry.try_claim(first), Proceed())
        self.registry.release(first)
        self.tables.commit_delayed()
        self.assertIsNotNone(self.row(first))
        self.registry.release_pending()
        self.assertIsNone(self.row(first))

    def test_claim_with_an_answer_is_not_released(self) -> None:
        """Guards against a second run of a request with a recorded answer."""
        first = claim("1")
        self.registry.try_claim(first)
        self.registry.record_answer(first, answer())
        self.registry.release(first)
        self.assertEqual(self.other.try_claim(claim("2")), REPLAY)

    def test_find_answer(self) -> None:
        """Guards against look-ups that return a wrong or no answer."""
        reason = RefusalReason.NO_ROUTE
        self.assertEqual(reason_or_outcome(self.other.find_answer("org", "k")), reason)
        first = claim("1")
        self.registry.try_claim(first)
        self.assertEqual(reason_or_outcome(self.other.find_answer("org", "k")), UNKNOWN)
        self.registry.record_answer(first, answer())
        self.assertEqual(self.other.find_answer("org", "k"), answer())
        self.tables.faults.fail_reads = 1
        self.assertEqual(
            reason_or_outcome(self.other.find_answer("org", "k")), UNAVAILABLE
        )
