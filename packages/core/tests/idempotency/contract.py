"""What every `OnceRegistry` has to do, with faults of the table service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from idempotency.support import answer
from idempotency.support import claim
from table_service.faulty import FaultyTables

from cardamomquay.idempotency import Proceed
from cardamomquay.idempotency import Replay
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason

if TYPE_CHECKING:
    import unittest

    from cardamomquay.idempotency import Claim
    from cardamomquay.idempotency import OnceRegistry

    Base = unittest.TestCase
else:
    Base = object

REPLAY = Replay(answer())
UNKNOWN = RefusalReason.OUTCOME_UNKNOWN
UNAVAILABLE = RefusalReason.STORE_UNAVAILABLE


def told(outcome: object) -> object:
    return outcome.reason if isinstance(outcome, Refusal) else outcome


class OnceRegistryContract(Base):
    """Mixed into a `TestCase` that defines `make`."""

    def make(self, tables: FaultyTables) -> OnceRegistry:
        raise NotImplementedError

    def setUp(self) -> None:
        self.tables = FaultyTables()
        self.registry = self.make(self.tables)
        self.other = self.make(self.tables)

    def row(self, of: Claim) -> dict | None:
        return self.tables.inner._row(of.row_key).value

    def test_first_and_second_host(self) -> None:
        """Guards against a second run, and against a replay of another request."""
        cases = {  # what the first host does; what a second one is told
            "claimed only": (lambda c: None, "b", UNKNOWN),
            "answered": (lambda c: self.registry.record(c, answer()), "b", REPLAY),
            "abandoned": (self.registry.abandon, "b", Proceed()),
            "another body": (
                lambda c: self.registry.record(c, answer()),
                "other",
                RefusalReason.IDEMPOTENCY_KEY_REUSED,
            ),
        }
        for name, (act, body, expected) in cases.items():
            with self.subTest(name):
                first = claim("1", key=name)
                self.assertEqual(self.registry.begin(first), Proceed())
                act(first)
                second = claim("2", key=name, body=body)
                self.assertEqual(told(self.other.begin(second)), expected)

    def test_begin_with_faults(self) -> None:
        """Guards against a send without a claim, and a claim that is never released.

        Each case: fates of the transactions, failing reads, whether the store is
        down; what the host is told; what a second host is told after the release
        of what is open.
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
        for name, (fates, unreadable, down, expected, second) in cases.items():
            with self.subTest(name):
                self.setUp()
                self.tables.fates = list(fates)
                self.tables.unreadable = unreadable
                self.tables.inner.faults.down = down
                outcome = self.registry.begin(claim("1"))
                self.assertEqual(told(outcome), expected)
                self.tables.fates.clear()
                self.tables.inner.faults.down = False
                self.registry.release_pending()
                self.tables.deliver_late()
                for _ in range(5):
                    still_open = self.registry.release_pending()
                self.assertEqual(still_open, 0)
                self.assertEqual(told(self.other.begin(claim("2"))), second)

    def test_record_with_faults(self) -> None:
        """Guards against a recorded answer that is reported as lost, or changed."""
        cases = {
            "lost": (["lost"], 0, True, REPLAY),
            "dropped": (["dropped"], 0, True, REPLAY),
            "late": (["late"], 0, True, REPLAY),
            "lost, unreadable": (["lost"], 1, False, REPLAY),
            "dropped, unreadable": (["dropped"], 1, False, UNKNOWN),
        }
        for name, (fates, unreadable, recorded, second) in cases.items():
            with self.subTest(name):
                self.setUp()
                first = claim("1")
                self.registry.begin(first)
                self.tables.fates = list(fates)
                self.tables.unreadable = unreadable
                self.assertIs(self.registry.record(first, answer()), recorded)
                self.tables.deliver_late()
                self.assertEqual(told(self.other.begin(claim("2"))), second)
        self.assertFalse(self.other.record(claim("2"), answer("other")))

    def test_abandon_with_faults(self) -> None:
        """Guards against a claim that stays "outcome unknown" though nothing ran."""
        cases = {
            "lost": (["lost"], 0, False),
            "dropped": (["dropped"], 0, False),
            "lost, unreadable": (["lost"], 1, False),
            "dropped, unreadable": (["dropped"], 1, False),
            "late": (["late"], 0, False),
            "down": ([], 0, True),
        }
        for name, (fates, unreadable, down) in cases.items():
            with self.subTest(name):
                self.setUp()
                first = claim("1")
                self.registry.begin(first)
                self.tables.fates = list(fates)
                self.tables.unreadable = unreadable
                self.tables.inner.faults.down = down
                self.registry.abandon(first)
                self.tables.inner.faults.down = False
                self.assertEqual(self.registry.release_pending(), 0)
                self.assertIsNone(self.row(first))
                self.assertEqual(self.other.begin(claim("2")), Proceed())
                self.registry.abandon(first)
                self.tables.deliver_late()
                self.assertIsNotNone(self.row(first), "released another's claim")

    def test_an_answered_claim_is_not_abandoned(self) -> None:
        """Guards against a second run of an answered request."""
        first = claim("1")
        self.registry.begin(first)
        self.registry.record(first, answer())
        self.registry.abandon(first)
        self.assertEqual(self.other.begin(claim("2")), REPLAY)

    def test_outcome(self) -> None:
        """Guards against a later question that gets another's or no answer."""
        reason = RefusalReason.NO_ROUTE
        self.assertEqual(told(self.other.outcome("org", "k")), reason)
        first = claim("1")
        self.registry.begin(first)
        self.assertEqual(told(self.other.outcome("org", "k")), UNKNOWN)
        self.registry.record(first, answer())
        self.assertEqual(self.other.outcome("org", "k"), answer())
        self.tables.unreadable = 1
        self.assertEqual(told(self.other.outcome("org", "k")), UNAVAILABLE)
