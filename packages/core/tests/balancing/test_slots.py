from __future__ import annotations

import threading
import unittest
from dataclasses import replace

from cardamomquay.balancing import SLOT_GRANT_VALID_S
from cardamomquay.balancing import BorrowedSlots
from cardamomquay.balancing import Observation
from cardamomquay.balancing import ObservedResult
from cardamomquay.balancing import Reservation
from cardamomquay.balancing import SlotChooser
from cardamomquay.balancing import SlotCount
from cardamomquay.balancing import SlotGrant
from cardamomquay.balancing import SlotLender
from cardamomquay.balancing import SlotRequest
from cardamomquay.balancing import SlotTransport
from cardamomquay.clock import ManualClock
from cardamomquay.config import Pool
from cardamomquay.config import Upstream
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason

GOOD = Observation(ObservedResult.ANSWERED, 0.02)
FAILED = Observation(ObservedResult.UNREACHABLE, 0.0)
FAR_DEADLINE_S = 1e6


def make_pool(count: int, slots: int = 3) -> Pool:
    names = [f"u{i}" for i in range(count)]
    return Pool(
        "browse",
        "owner",
        tuple(
            Upstream(n, f"10.0.0.{i + 1}:80", "mtl", "mtl-a", slots, 330)
            for i, n in enumerate(names)
        ),
    )


class MemoryTransport(SlotTransport):
    """Calls a lender in the same process."""

    def __init__(self, clock: ManualClock, pool: Pool) -> None:
        self.clock = clock
        self.lender = SlotLender(
            pool.upstreams, 5.0, clock.now_s(), is_first_lender=True
        )
        self.requests: list[SlotRequest] = []

    def borrow(self, request: SlotRequest) -> SlotGrant | None:
        self.requests.append(request)
        return self.lender.lend(request, self.clock.now_s())


class BorrowedSlotsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.pool = make_pool(2)
        self.borrowed = BorrowedSlots(self.pool, "mtl", "h", "1", 0.0)

    def grant(self, now_s: float, keep: int = 6, share: float = 1.0) -> SlotRequest:
        """Make one call in which the lender grants two slots of each upstream."""
        request = self.borrowed.next_call(now_s)
        assert request is not None
        slots = (SlotCount("u0", 2, share), SlotCount("u1", 2, share))
        self.borrowed.apply_reply(
            request, SlotGrant(slots, SLOT_GRANT_VALID_S, keep), now_s
        )
        return request

    def take(self, now_s: float, organisation: str = "a") -> Reservation | Refusal:
        pending = self.borrowed.submit(organisation, (), now_s, now_s)
        assert pending.result is not None
        return pending.result

    def test_never_above_the_grant(self) -> None:
        """Guards against more requests than slots, and against using expired grants."""
        cases = {
            "valid": (0.0, 6, 4),
            "just valid": (SLOT_GRANT_VALID_S - 0.01, 6, 4),
            "expired": (SLOT_GRANT_VALID_S, 6, 0),
            "to be returned": (0.1, 1, 1),
        }
        for name, (now_s, keep, expected) in cases.items():
            with self.subTest(name):
                self.setUp()
                self.grant(0.0, keep)
                got = [self.take(now_s) for _ in range(6)]
                taken = [g for g in got if isinstance(g, Reservation)]
                self.assertEqual(len(taken), expected)
                self.assertTrue(
                    all(r.valid_until_s == SLOT_GRANT_VALID_S for r in taken)
                )

    def test_late_reply(self) -> None:
        """Guards against using slots that the lender has taken back meanwhile."""
        old = self.borrowed.next_call(0.0)
        assert old is not None
        self.borrowed.submit("a", (), FAR_DEADLINE_S, 0.0)
        self.assertIsNone(self.borrowed.next_call(0.2))
        self.assertIsNotNone(self.borrowed.next_call(0.3))
        late = SlotGrant((SlotCount("u0", 3),), SLOT_GRANT_VALID_S, 3)
        self.borrowed.apply_reply(old, late, 0.3)
        self.assertEqual(self.borrowed.held("u0"), 0)

    def test_slow_reply(self) -> None:
        """Guards against using a grant after it has expired at the lender."""
        request = self.borrowed.next_call(0.0)
        assert request is not None
        slots = (SlotCount("u0", 2), SlotCount("u1", 2))
        grant = SlotGrant(slots, SLOT_GRANT_VALID_S, 4, stopped=("u1",))
        self.borrowed.apply_reply(request, grant, 0.2)
        got = [self.take(SLOT_GRANT_VALID_S - 0.01) for _ in range(3)]
        self.assertEqual(
            [g.upstream.name for g in got if isinstance(g, Reservation)],
            ["u0", "u0"],
            "a stopped upstream gets no new requests",
        )
        self.borrowed.release(got[0], GOOD, SLOT_GRANT_VALID_S)  # type: ignore[arg-type]
        self.assertIsInstance(self.take(SLOT_GRANT_VALID_S), Refusal)

    def test_lenders_by_zone(self) -> None:
        """Guards against a pool that stops when one of its lenders is lost."""
        zones = ("mtl-a", "mtl-b")
        pool = Pool(
            "browse",
            "owner",
            tuple(
                replace(u, availability_zone=zone)
                for u, zone in zip(self.pool.upstreams, zones, strict=True)
            ),
        )
        lenders = {
            zone: SlotLender([upstream], 5.0, 0.0, is_first_lender=True)
            for zone, upstream in zip(zones, pool.upstreams, strict=True)
        }
        borrowed = BorrowedSlots(pool, "mtl", "h", "1", 0.0, by_zone=True)
        submitted = [borrowed.submit("a", (), FAR_DEADLINE_S, 0.0) for _ in range(6)]
        asked: dict[str, list[int]] = {zone: [] for zone in zones}
        for step in range(400):
            now_s = step / 100
            while (request := borrowed.next_call(now_s)) is not None:
                asked[request.zone].append(request.demand)
                lost = request.zone == "mtl-b" and now_s > 1.0
                grant = None if lost else lenders[request.zone].lend(request, now_s)
                borrowed.apply_reply(request, grant, now_s)
            if now_s == 1.0:
                got = {p.result.upstream.name for p in submitted
                       if isinstance(p.result, Reservation)}  # fmt: skip
                self.assertEqual(got, {"u0", "u1"})
                self.assertEqual(
                    asked["mtl-a"][0], 3, "half of the demand goes to each lender"
                )
                for pending in submitted:
                    assert isinstance(pending.result, Reservation)
                    borrowed.release(pending.result, GOOD, now_s)
        late = [borrowed.submit("a", (), FAR_DEADLINE_S, now_s) for _ in range(3)]
        now_s += 0.1
        request = borrowed.next_call(now_s)
        assert request is not None
        self.assertEqual((request.zone, request.demand), ("mtl-a", 3))
        borrowed.apply_reply(request, lenders["mtl-a"].lend(request, now_s), now_s)
        names = [p.result.upstream.name for p in late
                 if isinstance(p.result, Reservation)]  # fmt: skip
        self.assertEqual(names, ["u0"] * 3)

    def test_idle_slots_are_returned(self) -> None:
        """Guards against a host that keeps slots it does not use."""
        self.grant(0.0)
        first = self.take(0.0)
        assert isinstance(first, Reservation)
        self.borrowed.release(first, GOOD, 0.1)
        request = self.borrowed.next_call(2.0)
        assert request is not None
        self.assertLessEqual(sum(item.slots for item in request.holding), 2)
        self.assertEqual(self.grant(4.0).holding, ())

    def test_excluded_and_draining(self) -> None:
        """Guards against using an excluded upstream or a draining one."""
        self.grant(0.0)
        pending = self.borrowed.submit("a", ["u0"], 0.0, 0.0)
        assert isinstance(pending.result, Reservation)
        self.assertEqual(pending.result.upstream.name, "u1")
        self.borrowed.apply_pool(
            Pool(
                "browse",
                "owner",
                tuple(replace(u, draining=u.name == "u1") for u in self.pool.upstreams),
            ),
            0.1,
        )
        names = [self.take(0.1) for _ in range(4)]
        self.assertEqual(
            {n.upstream.name for n in names if isinstance(n, Reservation)}, {"u0"}
        )

    def test_failing_upstream_is_avoided(self) -> None:
        """Guards against requests to an upstream that refuses connections."""
        self.grant(0.0)
        for _ in range(3):
            pending = self.borrowed.submit("a", ["u1"], 0.0, 0.0)
            assert isinstance(pending.result, Reservation)
            self.borrowed.release(pending.result, FAILED, 0.0)
        got = self.take(0.0)
        assert isinstance(got, Reservation)
        self.assertEqual(got.upstream.name, "u1")
        request = self.borrowed.next_call(0.5)
        assert request is not None
        self.assertEqual(request.avoid, ("u0",))
        self.assertEqual({item.upstream for item in request.holding}, {"u1"})
        self.assertEqual(request.reports[0].failed, 3)

    def test_ramp_pauses_between_uses_of_a_slot(self) -> None:
        """Guards against one busy slot of three that turns a ramp of 10% into 33%."""
        self.grant(0.0, share=0.1)
        for excluded in (["u1"], ["u0"]):
            pending = self.borrowed.submit("a", excluded, 0.0, 0.0)
            assert isinstance(pending.result, Reservation)
            self.borrowed.release(pending.result, GOOD, 0.02)
        # A request of 0.02 s at 0.3 slots is followed by a pause of 0.047 s.
        self.assertIsInstance(self.take(0.06), Refusal)
        self.assertIsInstance(self.take(0.07), Reservation)

    def test_queue_is_bounded(self) -> None:
        """Guards against a queue too long to be served before its deadlines."""
        self.grant(0.0)
        held = [self.take(0.0) for _ in range(4)]
        submitted = [self.borrowed.submit("a", (), 1.0, 0.0) for _ in range(200)]
        shed = [p for p in submitted if isinstance(p.result, Refusal)]
        self.assertLessEqual(self.borrowed.waiting, 64)
        self.assertGreaterEqual(len(shed), 136)
        assert isinstance(held[0], Reservation)
        self.borrowed.process_queue(1.0)
        self.assertEqual(self.borrowed.waiting, 0)
        for pending in submitted:
            assert isinstance(pending.result, Refusal)
            self.assertIs(pending.result.reason, RefusalReason.POOL_BUSY)
            self.assertTrue(pending.result.not_run)

    def test_fair_queue(self) -> None:
        """Guards against one organisation that takes the slots of all others."""
        self.borrowed.set_weights({"big": 1.0, "small": 1.0, "double": 2.0})
        self.grant(0.0, keep=1)
        running = self.take(0.0)
        big = [self.borrowed.submit("big", (), FAR_DEADLINE_S, 0.0) for _ in range(80)]
        self.assertTrue(all(p.result is None for p in big[:64]))
        late = {
            name: [
                self.borrowed.submit(name, (), FAR_DEADLINE_S, 0.0)
                for _ in range(count)
            ]
            for name, count in (("small", 3), ("double", 6))
        }
        for _ in range(13):
            assert isinstance(running, Reservation)
            self.borrowed.release(running, GOOD, 0.0)
            running = Reservation("browse", running.upstream)
            served = {
                name: sum(isinstance(p.result, Reservation) for p in submitted)
                for name, submitted in late.items()
            }
        self.assertEqual(served, {"small": 3, "double": 6})


class SlotChooserTest(unittest.TestCase):
    def chooser(self) -> tuple[ManualClock, MemoryTransport, SlotChooser, Pool]:
        clock, pool = ManualClock(100.0), make_pool(2)
        transport = MemoryTransport(clock, pool)
        return clock, transport, SlotChooser(clock, transport, "h", "1", "mtl"), pool

    def test_waits_for_the_lender(self) -> None:
        """Guards against refusing the first request because no slot is held yet."""
        _, transport, chooser, pool = self.chooser()
        results: list[Reservation | Refusal] = []
        thread = threading.Thread(
            target=lambda: results.append(chooser.reserve(pool, "a", (), 101.0))
        )
        thread.start()
        while not transport.requests:
            chooser.poll()
        thread.join(10.0)
        self.assertIsInstance(results[0], Reservation)
        assert isinstance(results[0], Reservation)
        chooser.release(results[0], GOOD)
        self.assertIsInstance(chooser.reserve(pool, "a", (), 100.0), Reservation)

    def test_lender_lost(self) -> None:
        """Guards against new requests on slots whose grant has expired."""
        clock, _, chooser, pool = self.chooser()
        chooser.reserve(pool, "a", (), 100.0)
        chooser.poll()
        for after_s, expected in ((1.9, Reservation), (2.0, Refusal)):
            clock.advance(100.0 + after_s - clock.now_s())
            got = chooser.reserve(pool, "a", (), clock.now_s())
            self.assertIsInstance(got, expected)
        self.assertEqual(chooser.connections_allowed("browse", "u1", "mtl"), 0)

    def test_next_region_when_the_first_is_busy(self) -> None:
        """Guards against waiting in a full region until the deadline."""
        clock, transport, chooser, pool = self.chooser()
        far = replace(pool.upstreams[0], name="far", region="qc")
        both = Pool("browse", "owner", (pool.upstreams[0], far))
        lenders = {
            "mtl": SlotLender((pool.upstreams[0],), 5.0, 100.0, is_first_lender=True),
            "qc": SlotLender((far,), 5.0, 100.0, is_first_lender=True),
        }
        transport.borrow = lambda r: lenders[r.region].lend(r, clock.now_s())  # type: ignore[method-assign]
        chooser.set_regions("browse", ["mtl", "qc"])
        results: list[Reservation | Refusal] = []
        for _ in range(4):
            thread = threading.Thread(
                target=lambda: results.append(chooser.reserve(both, "a", (), 110.0))
            )
            thread.start()
            while thread.is_alive():
                chooser.poll()
                clock.advance(0.01)
                thread.join(0.001)
        names = [r.upstream.name for r in results if isinstance(r, Reservation)]
        self.assertEqual(names, ["u0", "u0", "u0", "far"])
        self.assertLess(clock.now_s(), 105.0)

    def test_draining_upstream(self) -> None:
        """Guards against new requests over 3 s after an upstream starts draining."""
        for lender_lost in (False, True):
            with self.subTest(lender_lost=lender_lost):
                clock, transport, chooser, pool = self.chooser()
                chooser.reserve(pool, "a", (), 100.0)
                chooser.poll()
                draining = [replace(u, draining=True) for u in pool.upstreams]
                transport.lender.apply_upstreams(draining, 5.0, 100.0)
                latest_s = 0.0
                for _ in range(50):
                    clock.advance(0.1)
                    if not lender_lost:
                        chooser.poll()
                    got = chooser.reserve(pool, "a", (), clock.now_s())
                    if isinstance(got, Reservation):
                        latest_s = got.valid_until_s
                        chooser.release(got, GOOD)
                self.assertLess(latest_s, 103.0)

    def test_regions(self) -> None:
        """Guards against using other regions too early, or never once they are set."""
        clock, pool = ManualClock(100.0), make_pool(1)
        transport = MemoryTransport(clock, pool)
        chooser = SlotChooser(clock, transport, "h", "1", "qc")
        got = chooser.reserve(pool, "a", (), 100.0)
        assert isinstance(got, Refusal)
        self.assertIs(got.reason, RefusalReason.POOL_EMPTY)
        chooser.set_regions("browse", ["qc", "mtl"])
        chooser.reserve(pool, "a", (), 100.0)
        chooser.poll()
        self.assertIsInstance(chooser.reserve(pool, "a", (), 100.0), Reservation)


if __name__ == "__main__":
    unittest.main()
