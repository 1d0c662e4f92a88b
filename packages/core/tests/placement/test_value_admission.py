from __future__ import annotations

import random
import unittest
from collections import Counter
from dataclasses import replace

from cardamomquay.placement import AdmissionClaim
from cardamomquay.placement import AdmissionDecision
from cardamomquay.placement import AdmissionRequest
from cardamomquay.placement import Candidate
from cardamomquay.placement import FleetScarcity
from cardamomquay.placement import RequestTiming
from cardamomquay.placement import ValueAdmission
from cardamomquay_dev.lab.load_model import make_upstream

TIMING = RequestTiming(remaining_s=1.2, objective_left_s=0.6, caller_left_s=4.0)


def candidate(queue_wait_s: float = 0.4, work_s: float = 0.27) -> Candidate:
    """Return a candidate with measured work, 0.05 s away."""
    expected_s = queue_wait_s + work_s + 0.05
    return Candidate(
        make_upstream(1, "a"),
        expected_s,
        expected_s - 0.2 * work_s,
        expected_s,
        is_warm=work_s < 0.5,
        object_load_wait_s=0.0,
        queue_wait_s=queue_wait_s,
        work_s=work_s,
    )


class ScarceService(FleetScarcity):
    """Says that there is room for a tenth of the work."""

    def admitted_share(
        self, service: str, regions: frozenset[str], now_s: float
    ) -> float | None:
        return 0.1


class ValueAdmissionTest(unittest.TestCase):
    """Guards against admission by anything but priority, value and the floors."""

    def setUp(self) -> None:
        self.admission = ValueAdmission(random.Random(1))
        self.now_s = 100.0
        self.asked: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()

    def decide(
        self, claim: AdmissionClaim, chosen: Candidate, timing: RequestTiming = TIMING
    ) -> AdmissionDecision:
        self.now_s += 0.02
        request = AdmissionRequest(chosen, timing, claim, 0.6)
        return self.admission.decide(request, self.now_s)

    def ask(
        self, name: str, claim: AdmissionClaim, chosen: Candidate
    ) -> AdmissionDecision:
        decision = self.decide(claim, chosen)
        self.asked[name] += 1
        self.sent[name] += decision.retry_delay_s is None
        return decision

    def served(self, name: str) -> float:
        return self.sent[name] / self.asked[name]

    def steady_queue(self) -> Candidate:
        """Return a candidate whose queue keeps the share between 0.4 and 0.6."""
        pool_share = self.admission.admitted_share("browse", frozenset())
        return candidate(0.3 if pool_share > 0.5 else 0.1)

    def test_everything_is_sent_while_queues_are_short(self) -> None:
        for number in range(100):
            self.ask("all", AdmissionClaim((0, number % 3), "r"), candidate(0.1))
        self.assertEqual(self.served("all"), 1.0)

    def test_cold_requests_use_free_slots_although_time_is_short(self) -> None:
        # Refused as hopeless, they would never load their objects.
        timing = RequestTiming(remaining_s=1.4, objective_left_s=0.8, caller_left_s=5.6)
        cold = candidate(queue_wait_s=0.0, work_s=1.27)
        claim = AdmissionClaim((1, 1), "r")
        for _ in range(100):
            self.decide(claim, candidate(1.0))
        self.assertLess(self.admission.admitted_share("browse", frozenset()), 0.5)
        self.assertIsNone(self.decide(claim, cold, timing).retry_delay_s)

    def test_urgent_requests_go_first_and_others_get_the_floor(self) -> None:
        for _ in range(400):
            for priority in (0, 1):
                name = f"r{priority}"
                claim = AdmissionClaim((0, priority), name, "salsa")
                self.ask(name, claim, self.steady_queue())
        self.assertGreater(self.served("r0"), 1.5 * self.served("r1"))
        mean = (self.served("r0") + self.served("r1")) / 2
        self.assertGreater(self.served("r1"), mean / 4)

    def test_priority_of_the_organisation_goes_before_that_of_the_route(self) -> None:
        for _ in range(400):
            for name, priority in (("early", (0, 2)), ("late", (1, 0))):
                claim = AdmissionClaim(priority, "r", name)
                self.ask(name, claim, self.steady_queue())
        self.assertGreater(self.served("early"), self.served("late"))

    def test_urgent_route_of_late_organisations_is_not_sent_less(self) -> None:
        # The organisation's priority alone would send nearly all of the less urgent
        # route and only the floor of the urgent one.
        for _ in range(600):
            for name, priority in (("urgent", (1, 0)), ("other", (0, 2))):
                claim = AdmissionClaim(priority, name, f"of-{name}")
                self.ask(name, claim, self.steady_queue())
        self.assertGreater(self.served("urgent"), self.served("other") - 0.05)

    def test_organisation_with_cold_objects_only_does_not_starve(self) -> None:
        for _ in range(400):
            for _ in range(5):
                warm = self.steady_queue()
                self.ask("warm", AdmissionClaim((0, 0), "r", "warm"), warm)
            cold = candidate(self.steady_queue().queue_wait_s, 0.7)
            self.ask("cold", AdmissionClaim((0, 0), "r", "cold"), cold)
        self.assertGreater(self.served("warm"), self.served("cold"))
        mean = (self.served("warm") + self.served("cold")) / 2
        self.assertGreater(self.served("cold"), mean / 4)

    def test_returning_callers_that_waited_go_before_new_ones(self) -> None:
        late = replace(TIMING, objective_left_s=-0.4, caller_left_s=2.9)
        for _ in range(400):
            self.ask("new", AdmissionClaim((0, 0), "r", "o"), self.steady_queue())
            claim = AdmissionClaim((0, 0), "r", "o", is_return=True)
            decision = self.decide(claim, self.steady_queue(), late)
            self.asked["return"] += 1
            self.sent["return"] += decision.retry_delay_s is None
        self.assertGreater(self.served("return"), self.served("new"))

    def test_requests_that_would_end_after_the_timeout_are_not_sent(self) -> None:
        claim = AdmissionClaim((0, 0), "r")
        admitted = replace(claim, is_admitted=True)
        # With enough room, the estimate of one queue has to be far beyond the timeout.
        self.assertEqual(self.decide(claim, candidate(0.88)).rule, "sent")
        self.assertEqual(self.decide(claim, candidate(1.15)).rule, "hopeless")
        for _ in range(20):
            self.decide(claim, candidate(0.4))
        # A queue that lasts until just before the timeout: half of such requests would
        # occupy a slot and be cancelled.
        self.assertEqual(self.decide(claim, candidate(0.88)).rule, "hopeless")
        # While it waits for its object, it has become hopeless.
        self.assertEqual(self.decide(admitted, candidate(0.88)).rule, "hopeless")
        self.assertEqual(self.decide(admitted, candidate(0.5)).rule, "sent")

    def test_wrong_estimate_of_work_can_be_corrected(self) -> None:
        # If all cold requests counted as hopeless even at free slots, their work would
        # never be measured again.
        claim = AdmissionClaim((0, 0), "r")
        self.assertIsNone(self.decide(claim, candidate(0.0, 1.3)).retry_delay_s)

    def test_retry_delays_are_earlier_for_urgent_requests_and_spread(self) -> None:
        # The objective is missed already, so it does not limit the delay.
        late = replace(TIMING, objective_left_s=0.0)
        delays: dict[int, list[float]] = {0: [], 2: []}
        for _ in range(300):
            for priority, known in delays.items():
                claim = AdmissionClaim((0, priority), f"r{priority}", "o")
                delay_s = self.decide(claim, candidate(0.4), late).retry_delay_s
                if delay_s is not None:
                    known.append(delay_s)
        means = {p: sum(known) / len(known) for p, known in delays.items()}
        self.assertLess(means[0], means[2])
        self.assertLess(max(delays[2]), TIMING.caller_left_s / 3)
        self.assertGreater(max(delays[2]) - min(delays[2]), 0.2)

    def test_reports_of_other_hosts_lower_the_share(self) -> None:
        self.admission = ValueAdmission(random.Random(1), ScarceService())
        for _ in range(200):
            self.ask("all", AdmissionClaim((0, 0), "r", "o"), candidate(0.1))
        self.assertLess(self.served("all"), 0.6)

    def test_single_long_queues_cause_no_refusals(self) -> None:
        # One choice in eight meets a queue, as with an estimate that is too old.
        for number in range(200):
            wait_s = 0.5 if number % 8 == 0 else 0.02
            self.ask("all", AdmissionClaim((0, 0), "r", "o"), candidate(wait_s))
        self.assertGreater(self.served("all"), 0.95)

    def test_one_choice_after_a_freeze_does_not_change_the_share_much(self) -> None:
        for _ in range(100):
            self.ask("all", AdmissionClaim((0, 0), "r", "o"), self.steady_queue())
        before = self.admission.admitted_share("browse", frozenset())
        self.now_s += 60.0
        self.decide(AdmissionClaim((0, 0), "r", "o"), candidate(0.0))
        after = self.admission.admitted_share("browse", frozenset())
        self.assertLess(after, 1.5 * before)

    def test_pools_of_different_regions_are_independent(self) -> None:
        # A region that is full must not cause refusals in the others.
        bound = frozenset({"leinster"})
        for _ in range(200):
            self.now_s += 0.02
            claim = AdmissionClaim((0, 0), "r", "o")
            full = AdmissionRequest(candidate(0.5), TIMING, claim, 0.6, bound)
            self.admission.decide(full, self.now_s)
        self.assertLess(self.admission.admitted_share("browse", bound), 0.2)
        self.assertIsNone(self.decide(claim, candidate(0.1)).retry_delay_s)
