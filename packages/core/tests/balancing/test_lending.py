from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cardamomquay.balancing import RECLAIM_MARGIN_S
from cardamomquay.balancing import SLOT_GRANT_VALID_S
from cardamomquay.balancing import SlotCount
from cardamomquay.balancing import SlotGrant
from cardamomquay.balancing import SlotLender
from cardamomquay.balancing import SlotRequest
from cardamomquay.balancing import UpstreamReport
from cardamomquay.config import Upstream

if TYPE_CHECKING:
    from collections.abc import Sequence

LONGEST_TIMEOUT_S = 5.0
RECLAIM_S = SLOT_GRANT_VALID_S + LONGEST_TIMEOUT_S + RECLAIM_MARGIN_S


def upstreams(count: int, slots: int = 3, connections: int = 330) -> list[Upstream]:
    return [
        Upstream(f"u{i}", f"10.0.0.{i + 1}:80", "mtl", "mtl-a", slots, connections)
        for i in range(count)
    ]


class Borrower:
    """Sends requests as a daemon does, without a `BorrowedSlots`."""

    def __init__(self, lender: SlotLender, name: str, incarnation: str = "1") -> None:
        self.lender = lender
        self.request = SlotRequest("browse", "mtl", name, incarnation, 0)
        self.grant: SlotGrant | None = None
        self.slots: dict[str, int] = {}

    def call(
        self,
        now_s: float,
        demand: int,
        valid: bool = True,
        reports: Sequence[UpstreamReport] = (),
    ) -> int:
        self.request = replace(
            self.request,
            sequence=self.request.sequence + 1,
            holding=tuple(SlotCount(n, c) for n, c in self.slots.items()),
            holding_valid=valid,
            demand=demand,
            reports=tuple(reports),
        )
        self.grant = self.lender.lend(self.request, now_s)
        if self.grant is not None:
            self.slots = {i.upstream: i.slots for i in self.grant.slots}
        return sum(self.slots.values())


class SlotLenderTest(unittest.TestCase):
    def lender(self, count: int = 4, **kwargs: int) -> SlotLender:
        return SlotLender(
            upstreams(count, **kwargs), LONGEST_TIMEOUT_S, 0.0, is_first_lender=True
        )

    def test_caps(self) -> None:
        """Guards against lending more than the slots or connections of an upstream."""
        for slots, connections, expected in ((3, 330, 3), (4, 2, 2), (1, 330, 1)):
            with self.subTest(slots=slots, connections=connections):
                lender = self.lender(1, slots=slots, connections=connections)
                borrowers = [Borrower(lender, f"h{i}") for i in range(3)]
                total = sum(b.call(0.0, 9) for b in borrowers)
                self.assertEqual(total, expected)

    def test_connections_of_all_hosts(self) -> None:
        """Guards against idle connections above the connection limit of an upstream."""
        lender = self.lender(1, slots=3, connections=70)
        borrowers = [Borrower(lender, f"h{i:02}") for i in range(100)]
        spare = 0
        for borrower in borrowers:
            borrower.call(0.0, 1)
            assert borrower.grant is not None
            spare += borrower.grant.spare_connections
        self.assertLessEqual(spare + 3, 70)
        self.assertGreaterEqual(spare, 64)

    def test_lost_borrower(self) -> None:
        """Guards against lending a slot again while its last request may still run."""
        cases = {SLOT_GRANT_VALID_S + 0.1: 0, RECLAIM_S - 0.01: 0, RECLAIM_S: 3}
        for now_s, expected in cases.items():
            with self.subTest(now_s=now_s):
                lender = self.lender(1)
                self.assertEqual(Borrower(lender, "lost").call(0.0, 3), 3)
                self.assertEqual(Borrower(lender, "other").call(now_s, 3), expected)

    def test_restarted_borrower_is_a_new_one(self) -> None:
        """Guards against a restarted host that keeps the slots of its crashed run."""
        lender = self.lender(1)
        Borrower(lender, "h", "1").call(0.0, 3)
        second = Borrower(lender, "h", "2")
        second.slots = {"u0": 3}
        self.assertEqual(second.call(0.1, 3), 0)

    def test_late_and_repeated_requests(self) -> None:
        """Guards against a delayed or repeated request that changes what is lent."""
        lender = self.lender(1)
        borrower = Borrower(lender, "h")
        borrower.call(0.0, 1)
        old = borrower.request
        borrower.call(0.1, 3)
        self.assertIsNone(lender.lend(old, 0.2))
        self.assertIsNone(lender.lend(borrower.request, 0.2))
        self.assertEqual(lender.outstanding("u0", 0.2), 3)

    def test_lost_reply(self) -> None:
        """Guards against slots that leak when a reply is lost."""
        lender = self.lender(1)
        borrower = Borrower(lender, "h")
        borrower.call(0.0, 3)
        borrower.slots = {}
        self.assertEqual(borrower.call(0.3, 1), 1)
        self.assertEqual(lender.outstanding("u0", 0.3), 1)

    def test_new_lender_lends_nothing_at_first(self) -> None:
        """Guards against lending a slot that the lost predecessor has lent out."""
        for after_s, expected in ((0.0, 0), (RECLAIM_S - 0.01, 0), (RECLAIM_S, 3)):
            with self.subTest(after_s=after_s):
                lender = SlotLender(upstreams(1), LONGEST_TIMEOUT_S, 100.0)
                borrower = Borrower(lender, f"h{after_s}")
                self.assertEqual(borrower.call(100.0 + after_s, 3), expected)

    def test_new_lender_confirms_valid_slots(self) -> None:
        """Guards against a planned change of lender that interrupts all requests."""
        for valid, held, expected in ((True, 2, 2), (False, 2, 0), (True, 9, 3)):
            with self.subTest(valid=valid, held=held):
                lender = SlotLender(upstreams(1), LONGEST_TIMEOUT_S, 100.0)
                borrower = Borrower(lender, "h")
                borrower.slots = {"u0": held}
                self.assertEqual(borrower.call(100.1, 9, valid), expected)

    def test_fair_division(self) -> None:
        """Guards against hosts that keep many slots while others have too few."""
        lender = self.lender(4)
        big, small = Borrower(lender, "big"), Borrower(lender, "small")
        self.assertEqual(big.call(0.0, 20), 12)
        small.call(0.1, 2)
        big.call(0.2, 20)
        assert big.grant is not None
        self.assertEqual(big.grant.keep, 10)
        big.slots["u0"] -= 2
        big.call(0.3, 20)
        self.assertEqual(small.call(0.4, 2), 2)

    def test_current_demand_before_peaks(self) -> None:
        """Guards against a host that keeps idle slots while another waits for them."""
        lender = self.lender(4)
        idle, busy = Borrower(lender, "a"), Borrower(lender, "b")
        idle.request = replace(idle.request, wanted=12)
        idle.call(0.0, 1)
        busy.call(0.0, 11)
        idle.call(0.1, 1)
        assert idle.grant is not None
        self.assertEqual((idle.grant.keep, idle.grant.contended), (1, True))

    def test_fewer_slots_than_borrowers(self) -> None:
        """Guards against hosts that never get a slot."""
        lender = self.lender(1, slots=2)
        borrowers = [Borrower(lender, f"h{i}") for i in range(5)]
        kept = set()
        for second in range(6):
            for borrower in borrowers:
                borrower.call(float(second), 3)
                assert borrower.grant is not None
                if borrower.grant.keep:
                    kept.add(borrower.request.borrower)
                else:
                    borrower.slots = {}
        self.assertEqual(len(kept), 5)

    def test_failing_upstream_is_stopped_for_all_hosts(self) -> None:
        """Guards against each host detecting a failing upstream only by itself."""
        lender = self.lender(4)
        first, second = Borrower(lender, "a"), Borrower(lender, "b")
        first.call(0.0, 6)
        second.call(0.0, 6)
        first.call(0.1, 6, reports=[UpstreamReport("u0", failed=5)])
        second.call(0.2, 6)
        assert second.grant is not None
        self.assertEqual(set(second.grant.stopped), {"u0"} & set(second.slots))
        second.slots = {}
        second.call(0.3, 9)
        self.assertNotIn("u0", second.slots)

    def test_ramp_limits_the_slots_of_all_hosts(self) -> None:
        """Guards against full load from many hosts on an upstream that ramps up."""
        lender = self.lender(3, slots=10)
        lender.apply_upstreams(upstreams(4, slots=10), LONGEST_TIMEOUT_S, 10.0)
        for after_s, expected in ((0.0, 1), (1.0, 2), (2.0, 4), (3.0, 8), (4.0, 10)):
            for i in range(40):
                Borrower(lender, f"h{i}", str(after_s)).call(10.0 + after_s, 1)
            lent = lender.outstanding("u3", 10.0 + after_s)
            self.assertEqual(lent, expected)

    def test_lowered_slots(self) -> None:
        """Guards against hosts that keep slots which an operator has removed."""
        lender = self.lender(2)
        first, second = Borrower(lender, "a"), Borrower(lender, "b")
        first.call(0.0, 3)
        second.call(0.0, 3)
        lender.apply_upstreams(upstreams(2, slots=1), LONGEST_TIMEOUT_S, 0.1)
        for step in range(1, 9):
            for borrower in (first, second):
                borrower.call(0.1 + step / 10, 3)
                assert borrower.grant is not None
                for name in borrower.grant.stopped:
                    del borrower.slots[name]
        for name in ("u0", "u1"):
            self.assertEqual(lender.outstanding(name, 1.0), 1)
            self.assertEqual(
                first.slots.get(name, 0) + second.slots.get(name, 0), 1, name
            )

    def test_draining(self) -> None:
        """Guards against new requests over 3 s after an upstream starts draining."""
        lender = self.lender(2)
        borrower = Borrower(lender, "h")
        borrower.call(0.0, 6)
        draining = [replace(u, draining=u.name == "u0") for u in upstreams(2)]
        lender.apply_upstreams(draining, LONGEST_TIMEOUT_S, 0.5)
        borrower.call(0.6, 6)
        assert borrower.grant is not None
        self.assertEqual(borrower.grant.stopped, ("u0",))
        self.assertLess(
            SLOT_GRANT_VALID_S + 0.5,
            3.0,
            "without a lender, a borrower stops when its grant expires",
        )

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 3),
                st.integers(0, 9),
                st.booleans(),
                st.sampled_from(("answered", "answered", "reply lost", "request lost")),
                st.sampled_from((0.0, 0.5, 1.9, 3.0, 7.0)),
            ),
            max_size=40,
        )
    )
    def test_never_above_the_slots(
        self, steps: list[tuple[int, int, bool, str, float]]
    ) -> None:
        """Guards against any order of calls and losses that lends a slot twice."""
        lender = self.lender(2)
        borrowers = [Borrower(lender, f"h{i}") for i in range(4)]
        valid_until_s = [0.0] * 4
        now_s = 0.0
        for index, demand, returns, delivery, pause_s in steps:
            now_s += pause_s
            borrower = borrowers[index]
            if returns:
                borrower.slots = {}
            before = dict(borrower.slots)
            if delivery != "request lost":
                borrower.call(now_s, demand, now_s < valid_until_s[index])
            if delivery == "answered":
                valid_until_s[index] = now_s + SLOT_GRANT_VALID_S
            else:
                borrower.slots = before
            for name in ("u0", "u1"):
                in_use = sum(
                    b.slots.get(name, 0)
                    for b, until_s in zip(borrowers, valid_until_s, strict=True)
                    if now_s < until_s + LONGEST_TIMEOUT_S
                )
                self.assertLessEqual(in_use, 3)


if __name__ == "__main__":
    unittest.main()
