from __future__ import annotations

import unittest
from dataclasses import replace

from edge.support import RelayFixture
from edge.support import config

from cardamomquay.clock import ManualClock
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
