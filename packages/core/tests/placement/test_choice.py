from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from cardamomquay.placement import Candidate
from cardamomquay.placement import LoadReport
from cardamomquay.placement import Placement
from cardamomquay.placement import PlacementRequest
from cardamomquay.placement import ZoneLatencies
from cardamomquay.placement import short_id
from cardamomquay.placement._observations import PEER_WARMING_MAX
from cardamomquay_dev.lab.load_model import REGION_OF
from cardamomquay_dev.lab.load_model import make_upstream

if TYPE_CHECKING:
    from cardamomquay.traffic import Upstream

UPSTREAMS = [make_upstream(n, zone) for n, zone in enumerate("aabbbbcccccc")]


def request(
    key: str, allowed_regions: frozenset[str] = frozenset()
) -> PlacementRequest:
    return PlacementRequest("r", "browse", key, 0.6, allowed_regions)


class PlacementTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.placement = Placement(ZoneLatencies("a", REGION_OF))

    def choose(
        self, key: str, now_s: float = 0.0, upstreams: list[Upstream] | None = None
    ) -> Candidate:
        chosen = self.placement.choose(
            request(key), UPSTREAMS if upstreams is None else upstreams, (), now_s
        )
        assert chosen is not None
        return chosen

    def mark_warm(self, number: int, *keys: str) -> None:
        for key in keys:
            self.placement.record_of(UPSTREAMS[number]).record_warm(short_id(key))


class AffinityTest(PlacementTestCase):
    """Guards against cold requests although another upstream has the object warm."""

    def test_hosts_of_a_region_choose_the_same_upstream(self) -> None:
        other = Placement(ZoneLatencies("a", REGION_OF))
        for number in range(50):
            first = self.choose(str(number)).upstream
            second = other.choose(request(str(number)), UPSTREAMS, (), 0.0)
            assert second is not None
            self.assertEqual(first, second.upstream)

    def test_objects_are_spread_with_preference_for_the_own_region(self) -> None:
        # Weights: two upstreams of zone a with 3, four of b and six of c with 1 each.
        chosen = Counter(self.choose(str(n)).upstream.zone for n in range(3000))
        self.assertAlmostEqual(chosen["a"] / 3000, 6 / 16, delta=0.04)
        self.assertAlmostEqual(chosen["c"] / 3000, 6 / 16, delta=0.04)

    def test_a_warm_upstream_is_preferred_to_the_first_rank(self) -> None:
        # With as many objects everywhere, no upstream takes over objects from others.
        for number in range(12):
            self.mark_warm(number, *(f"other-{number}-{n}" for n in range(6)))
        first = self.choose("1").upstream
        warm = 5 if first != UPSTREAMS[5] else 6
        self.mark_warm(warm, "1")
        chosen = self.choose("1")
        self.assertEqual(chosen.upstream, UPSTREAMS[warm])
        self.assertTrue(chosen.is_warm)

    def test_a_warm_upstream_with_a_long_queue_is_avoided(self) -> None:
        for number in range(12):
            self.mark_warm(number, *(f"other-{number}-{n}" for n in range(6)))
        self.mark_warm(5, "1")
        self.placement.record_of(UPSTREAMS[5]).record_load_report(
            LoadReport(3, 9, 3), 0.0
        )
        self.assertNotEqual(self.choose("1").upstream, UPSTREAMS[5])

    def test_an_object_found_cold_is_no_longer_warm(self) -> None:
        self.mark_warm(5, "1")
        record = self.placement.record_of(UPSTREAMS[5])
        record.record_cold(short_id("1"))
        self.assertFalse(record.is_warm(short_id("1")))


class FirstRequestTest(PlacementTestCase):
    """Guards against concurrent first requests for one object."""

    def test_later_requests_wait_for_the_first_one(self) -> None:
        first = self.choose("1")
        self.assertEqual(first.object_load_wait_s, 0.0)
        record = self.placement.record_of(first.upstream)
        record.record_warming(short_id("1"), 0.9)
        second = self.choose("1", now_s=0.4)
        self.assertEqual(second.upstream, first.upstream)
        self.assertAlmostEqual(second.object_load_wait_s, 0.5)

    def test_a_lost_first_request_is_not_waited_for(self) -> None:
        first = self.choose("1")
        record = self.placement.record_of(first.upstream)
        record.apply_peer_warming(short_id("1"), 0.9)
        self.assertEqual(self.choose("1", now_s=1.3).object_load_wait_s, 0.0)
        record.record_warming(short_id("1"), 2.0)
        record.clear_warming(short_id("1"))
        self.assertEqual(self.choose("1", now_s=1.3).object_load_wait_s, 0.0)


class ChosenKeysTest(PlacementTestCase):
    """Guards against tables that grow with the keys that callers choose."""

    def test_first_requests_of_other_hosts_are_bounded(self) -> None:
        record = self.placement.record_of(UPSTREAMS[0])
        for number in range(10_000):
            record.apply_peer_warming(number, 0.9)
        self.assertLessEqual(record.object_count, PEER_WARMING_MAX)
        self.assertIsNotNone(record.warm_at_s(9_999, 0.0))


class JoinedUpstreamTest(PlacementTestCase):
    """Guards against upstreams that join and get no requests."""

    def test_it_gets_the_objects_for_which_it_ranks_first(self) -> None:
        present, joined = UPSTREAMS[:11], UPSTREAMS[11]
        for number in range(11):
            self.mark_warm(number, *(f"{number}-{n}" for n in range(6)))
        keys = [f"{number}-{n}" for number in range(11) for n in range(6)]
        got = [key for key in keys if self.choose(key).upstream == joined]
        self.assertTrue(got)
        self.placement.record_of(joined).record_warming(short_id(got[0]), 0.9)
        # Objects move one at a time, since cold requests would fill the slots.
        busy = [key for key in keys if self.choose(key, 0.1).upstream == joined]
        self.assertEqual(busy, [got[0]] if got[0] in busy else [])
        self.assertNotIn(joined, present)


class FaultTest(PlacementTestCase):
    """Guards against requests to failing upstreams, and against ejection of all."""

    def test_an_unreachable_upstream_is_ejected(self) -> None:
        first = self.choose("1").upstream
        record = self.placement.record_of(first)
        record.record_unreachable(0.0)
        record.record_unreachable(0.0)
        self.assertNotEqual(self.choose("1").upstream, first)
        self.assertEqual(self.choose("1", now_s=20.0).upstream, first)

    def test_with_all_ejected_one_is_still_tried(self) -> None:
        for member in UPSTREAMS:
            record = self.placement.record_of(member)
            record.record_unreachable(0.0)
            record.record_unreachable(0.0)
        self.assertIsNotNone(self.choose("1").upstream)

    def test_failing_and_slow_upstreams_are_avoided_until_the_fault_decays(
        self,
    ) -> None:
        for name in ("failing", "slow"):
            with self.subTest(name):
                placement = Placement(ZoneLatencies("a", REGION_OF))
                for number, member in enumerate(UPSTREAMS):
                    for n in range(6):
                        object_id = short_id(f"{number}-{n}")
                        placement.record_of(member).record_warm(object_id)
                record = placement.record_of(UPSTREAMS[4])
                for _ in range(5):
                    if name == "failing":
                        record.record_failure(0.0)
                    else:
                        record.record_speed_ratio(5.0, 0.0)
                chosen = placement.choose(request("4-1"), UPSTREAMS, (), 0.0)
                assert chosen is not None
                self.assertNotEqual(chosen.upstream, UPSTREAMS[4])
                later = placement.choose(request("4-1"), UPSTREAMS, (), 30.0)
                assert later is not None
                self.assertEqual(later.upstream, UPSTREAMS[4])


class AllowedRegionsTest(PlacementTestCase):
    """Guards against requests sent outside their allowed regions."""

    def test_only_allowed_regions_are_used(self) -> None:
        for number in range(50):
            wanted = request(str(number), frozenset({"B"}))
            chosen = self.placement.choose(wanted, UPSTREAMS, (), 0.0)
            assert chosen is not None
            self.assertEqual(chosen.upstream.zone, "b")
        nowhere = request("1", frozenset({"D"}))
        self.assertIsNone(self.placement.choose(nowhere, UPSTREAMS, (), 0.0))


class LargeServiceTest(PlacementTestCase):
    """Guards against choices from a cached ranking that is out of date."""

    MANY = tuple(make_upstream(number, "abc"[number % 3]) for number in range(126))

    def test_a_cached_ranking_is_renewed_when_members_change(self) -> None:
        first = self.choose("7", upstreams=list(self.MANY)).upstream
        rest = [member for member in self.MANY if member != first]
        fresh = Placement(ZoneLatencies("a", REGION_OF)).choose(
            request("7"), rest, (), 0.0
        )
        assert fresh is not None
        self.assertEqual(self.choose("7", upstreams=rest).upstream, fresh.upstream)
        back = self.choose("7", upstreams=list(self.MANY)).upstream
        self.assertEqual(back, first)

    def test_a_changed_upstream_is_returned_in_its_current_form(self) -> None:
        first = self.choose("7", upstreams=list(self.MANY)).upstream
        moved = replace(first, address="10.9.9.9:80")
        members = [moved if m == first else m for m in self.MANY]
        self.assertIs(self.choose("7", upstreams=members).upstream, moved)

    def test_a_warm_upstream_of_low_rank_is_found(self) -> None:
        for member in self.MANY:
            record = self.placement.record_of(member)
            for number in range(6):
                record.record_warm(short_id(f"{member.instance}-{number}"))
        lowest = self.placement._ranked(request("7"), self.MANY)[-1]
        self.placement.record_of(lowest).record_warm(short_id("7"))
        self.assertEqual(self.choose("7", upstreams=list(self.MANY)).upstream, lowest)
