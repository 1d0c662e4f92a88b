from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.steering import HeadroomAccount
from cardamomquay.steering import HeadroomReservation

MB = 1e6
OUTBOUND = ("fyn", "jylland")
INBOUND = ("jylland", "fyn")


def account(rate: float = 100.0, link: float = 35 * MB) -> HeadroomAccount:
    return HeadroomAccount({"jylland": rate}, {OUTBOUND: link, INBOUND: link}, 0.0)


def reserve(
    target: HeadroomAccount, now_s: float, origin: str = "fyn", size: float = 1000.0
) -> HeadroomReservation | Refusal:
    return target.reserve("lookup", origin, "jylland", size, now_s)


class HeadroomAccountTest(unittest.TestCase):
    def admitted(self, target: HeadroomAccount, tries: int, now_s: float) -> int:
        got = [reserve(target, now_s) for _ in range(tries)]
        return sum(isinstance(g, HeadroomReservation) for g in got)

    def test_refusals(self) -> None:
        """Guards against requests that a region or link has no capacity for."""
        cases = {
            "room": (account(), "fyn", None),
            "region full": (account(rate=1.0), "fyn", RefusalReason.REGION_FULL),
            "link back full": (
                HeadroomAccount({"jylland": 100.0}, {OUTBOUND: MB, INBOUND: 0.0}, 0.0),
                "fyn",
                RefusalReason.LINK_FULL,
            ),
            "no link": (account(), "sjaelland", RefusalReason.LINK_FULL),
            "no region": (
                HeadroomAccount({}, {OUTBOUND: MB, INBOUND: MB}, 0.0),
                "fyn",
                RefusalReason.REGION_FULL,
            ),
        }
        for name, (target, origin, reason) in cases.items():
            with self.subTest(name):
                got = reserve(target, 0.0, origin)
                if reason is None:
                    self.assertIsInstance(got, HeadroomReservation)
                else:
                    assert isinstance(got, Refusal)
                    self.assertIs(got.reason, reason)
                    self.assertTrue(got.not_run)

    def test_region_rate(self) -> None:
        """Guards against requests from other regions above the region's rate."""
        target = account(rate=100.0)
        total = sum(self.admitted(target, 50, i / 10) for i in range(101))
        self.assertLessEqual(total, 100 * 10 + 25)
        self.assertGreaterEqual(total, 950)

    def test_own_requests_come_first(self) -> None:
        """Guards against failover traffic that displaces a region's own requests."""
        target = account(rate=100.0)
        for _ in range(40):
            self.assertIsInstance(reserve(target, 0.0, "jylland"), HeadroomReservation)
        self.assertEqual(self.admitted(target, 5, 0.0), 0)
        self.assertEqual(target.headroom("jylland", 0.0), 0.0)
        fresh = account(rate=100.0)
        self.assertEqual(self.admitted(fresh, 50, 0.0), 18, "a quarter is reserved")

    def test_real_sizes_correct_the_estimate(self) -> None:
        """Guards against a link overloaded by answers larger than estimated."""
        target = account(rate=1e6, link=8 * MB)
        sent = 0.0
        for tick in range(1000):
            for _ in range(20):
                got = reserve(target, tick / 100, size=0.0)
                if isinstance(got, HeadroomReservation):
                    target.settle(got, 400_000.0, tick / 100)
                    sent += 400_000.0
        self.assertLessEqual(sent, 8 * MB * 10.25 + 400_000.0)
        self.assertGreaterEqual(sent, 8 * MB * 9.5)

    def test_small_answers_give_bytes_back(self) -> None:
        """Guards against a link left idle because answers were overestimated."""
        target = account(link=4 * 65536.0)
        got = reserve(target, 0.0, size=0.0)
        assert isinstance(got, HeadroomReservation)
        self.assertIsInstance(reserve(target, 0.0, size=0.0), Refusal)
        target.settle(got, 1000.0, 0.0)
        self.assertGreater(self.admitted(target, 10, 0.0), 5)

    def test_cancelled_request(self) -> None:
        """Guards against capacity that stays reserved for requests never sent."""
        target = account(rate=8.0)
        for _ in range(50):
            got = reserve(target, 0.0)
            assert isinstance(got, HeadroomReservation)
            target.cancel(got, 0.0)

    def test_lower_rate(self) -> None:
        """Guards against a burst at the old rate after the rate is lowered."""
        target = account(rate=100.0)
        target.apply({"jylland": 8.0}, {OUTBOUND: MB, INBOUND: MB}, 0.0)
        self.assertEqual(self.admitted(target, 50, 0.0), 1)

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from((0.0, 0.01, 0.2)),
                st.floats(0.0, 200_000.0),
                st.booleans(),
            ),
            max_size=80,
        )
    )
    def test_link_bytes_are_bounded(
        self, steps: list[tuple[float, float, bool]]
    ) -> None:
        """Guards against answers that exceed a link's rate, in any order."""
        rate = 1 * MB
        target = account(rate=1e6, link=rate)
        open_reservations: list[tuple[HeadroomReservation, float]] = []
        now_s = sent = over = 0.0
        for pause_s, size, answer in steps:
            now_s += pause_s
            got = reserve(target, now_s, size=0.0)
            if isinstance(got, HeadroomReservation):
                open_reservations.append((got, size))
            if answer and open_reservations:
                first, real = open_reservations.pop(0)
                target.settle(first, real, now_s)
                sent += real
                over += max(0.0, real - first.answer_bytes)
            self.assertLessEqual(sent, rate * (now_s + 0.25) + over + 1e-3)


if __name__ == "__main__":
    unittest.main()
