from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace
from typing import Any
from unittest import mock

from edge.support import RelayFixture
from edge.support import config
from edge.support import route
from edge.support import upstream

from cardamomquay.clock import ManualClock
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.placement import AdmissionClaim
from cardamomquay.placement import LoadReport
from cardamomquay.placement import PlacementRequest
from cardamomquay.placement import RequestTiming
from cardamomquay.traffic import Organisation


class NewOrganisationTest(unittest.TestCase):
    """Guards against refusing the first requests of a new organisation."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.fixture = RelayFixture(self.clock, config())
        self.added = Organisation("tango", 0, 50.0, 50.0)

    def admit_requests(self) -> int:
        now_s = self.clock.now_s()
        eligibility = self.fixture.eligibility
        return sum(eligibility.admit(self.added, now_s) is None for _ in range(40))

    def set_organisations(self, *organisations: Organisation) -> None:
        by_name = {organisation.name: organisation for organisation in organisations}
        before = self.fixture.state.config
        assert before is not None
        version = before.version + 1
        after = replace(before, version=version, organisations=by_name)
        self.fixture.state.config = after
        self.fixture.eligibility.apply_config(self.clock.now_s())

    def test_it_may_use_its_burst_at_once(self) -> None:
        self.set_organisations(self.added)
        self.assertEqual(self.admit_requests(), 40)

    def test_it_gets_no_new_burst_after_removal_and_return(self) -> None:
        self.set_organisations(self.added)
        self.admit_requests()
        self.set_organisations()
        self.set_organisations(self.added)
        self.assertLess(self.admit_requests(), 40)


class PrioritiesTest(unittest.IsolatedAsyncioTestCase):
    """Guards against refusing urgent requests first, and against a changed rule for
    services whose requests all have the same priority.
    """

    def refused(self, *priorities: int) -> tuple[RelayFixture, Counter[str]]:
        """Return which routes had requests refused while all upstreams had queues."""
        routes = [
            route(name=f"r{n}", prefix=f"/{n}/", priority=priority)
            for n, priority in enumerate(priorities)
        ]
        fixture = RelayFixture(ManualClock(100.0), config(*routes), upstream("h:1"))
        record = fixture.placement.record_of(upstream("h:1"))
        record.service_load.add_report(0.0, 100.0)
        for each in routes:
            fixture.eligibility.priority_mix.record("browse", each.priority)
        refused: Counter[str] = Counter()
        timing = RequestTiming(2.0, 0.5, 4.0)
        for step in range(400):
            now_s = 100.0 + 0.02 * step
            # The queue keeps the admitted share near a half.
            share = fixture.eligibility.value_admission.admitted_share(
                "browse", frozenset()
            )
            waiting = 4 if share > 0.5 else 0
            record.record_load_report(LoadReport(3, waiting, 3), now_s)
            for each in routes:
                request = PlacementRequest(
                    each.name, "browse", "", each.objective_s, frozenset()
                )
                claim = AdmissionClaim((0, each.priority), each.name, "salsa")
                result = fixture.eligibility.choose(request, (), timing, now_s, claim)
                refused[each.name] += isinstance(result, Refusal)
        return fixture, refused

    async def test_less_urgent_route_is_refused_first(self) -> None:
        fixture, refused = self.refused(1, 0)
        self.assertGreater(refused["r0"], 1.5 * refused["r1"])
        counters = fixture.telemetry.counters
        self.assertEqual(counters["admission.value"], refused.total())
        self.assertEqual(sum(counters.values()), 800)

    async def test_equal_priorities_are_decided_by_the_present_rule(self) -> None:
        fixture, refused = self.refused(2, 2)
        self.assertEqual(fixture.telemetry.counters, {})
        share = fixture.eligibility.value_admission.admitted_share(
            "browse", frozenset()
        )
        self.assertEqual(share, 1.0)
        self.assertLess(abs(refused["r0"] - refused["r1"]), 40)

    async def test_relay_passes_priority_and_organisation(self) -> None:
        fixture = RelayFixture(
            ManualClock(100.0), config(route(priority=2)), upstream("h:1")
        )
        claims: list[AdmissionClaim | None] = []

        def choose(*args: Any) -> Refusal:
            claims.append(args[4])
            return Refusal(RefusalReason.POOL_BUSY)

        with mock.patch.object(fixture.eligibility, "choose", choose):
            await fixture.ask(headers=((b"deadline-ms", b"3000"),))
            await fixture.ask(headers=((b"deadline-ms", b"2000"),))
        self.assertEqual(
            claims,
            [
                AdmissionClaim((0, 2), "r", "salsa", is_return=is_return)
                for is_return in (False, True)
            ],
        )
