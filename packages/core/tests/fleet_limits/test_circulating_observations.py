"""Load pattern: hosts that report crashes and answers to each other, far apart.

The time on the way is unknown and may be long. An observation that each host dated anew
would count as new at each of them, and be passed on without end.
"""

from __future__ import annotations

import unittest

from fleet_limits.observing_fleet import ObservingFleet

from cardamomquay.fleet_limits import CLEARED
from cardamomquay.gossip import REPORT_REPEAT_S

DEADLY = 0xDEADC0DE12345678
# Hosts, zones.
FLEETS = ((12, 1), (40, 1), (200, 5))
# After this time all hosts know of an observation, or never will.
SETTLED_S = 8.0


class CirculatingObservationsTest(unittest.TestCase):
    """Guards against observations that count as new again at each host."""

    def assert_dies_out(self, fleet: ObservingFleet) -> None:
        for host in fleet.hosts:
            self.assertLessEqual(max(host.learned.values(), default=0), 1, host.name)
            allowed_s = REPORT_REPEAT_S * (2.0 if host.has_stepped else 1.0)
            for identity, sent_s in host.sent_until_s.items():
                learned_s = host.learned_s.get(identity)
                if learned_s is not None:
                    self.assertLessEqual(sent_s - learned_s, allowed_s + 1e-9)
        sent = fleet.entries_sent
        fleet.run(SETTLED_S)
        self.assertEqual(fleet.entries_sent, sent)

    def assert_count(self, fleet: ObservingFleet, request: int, count: int) -> None:
        for host in fleet.hosts:
            self.assertEqual(host.requests.crash_count(request), count, host.name)

    def test_each_host_takes_an_observation_as_new_once(self) -> None:
        for hosts, zones in FLEETS:
            with self.subTest(hosts=hosts):
                fleet = ObservingFleet(hosts, zones, loss_share=0.1)
                for second in range(10):
                    host = fleet.rng.choice(fleet.hosts)
                    if second % 3 == 2:
                        fleet.answer(host, DEADLY)
                    else:
                        fleet.crash(host, DEADLY, second)
                    fleet.run(fleet.rng.uniform(0.1, 1.0))
                    if second == 4:
                        fleet.restart(hosts - 1)
                    stepping = fleet.rng.choice(fleet.hosts)
                    fleet.step_clock(stepping, fleet.rng.choice((-3.0, 5.0, 100.0)))
                fleet.run(SETTLED_S)
                self.assert_dies_out(fleet)

    def test_an_answer_clears_only_crashes_from_before_it(self) -> None:
        for hosts, zones in FLEETS:
            for seed in range(3):
                with self.subTest(hosts=hosts, seed=seed):
                    fleet = ObservingFleet(hosts, zones, seed)
                    first, second, third = fleet.rng.sample(fleet.hosts, 3)
                    fleet.crash(first, DEADLY, 1)
                    fleet.crash(second, DEADLY, 2)
                    fleet.run(SETTLED_S)
                    self.assert_count(fleet, DEADLY, 2)
                    fleet.answer(third, DEADLY)
                    # Before the answer is known there.
                    fleet.crash(first, DEADLY, 1)
                    fleet.run(0.01)
                    fleet.crash(second, DEADLY, 3)
                    fleet.run(SETTLED_S)
                    self.assert_count(fleet, DEADLY, 2)
                    for upstream in (4, 5):
                        fleet.crash(fleet.rng.choice(fleet.hosts), DEADLY, upstream)
                    fleet.run(SETTLED_S)
                    self.assert_count(fleet, DEADLY, 4)
                    self.assert_dies_out(fleet)

    def test_crashes_after_an_answer_count_though_clocks_step(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                fleet = ObservingFleet(12, seed=seed)
                fleet.crash(fleet.hosts[0], DEADLY, 1)
                fleet.run(1.0)
                fleet.answer(fleet.hosts[1], DEADLY)
                # As after a suspension, and as no clock should.
                fleet.step_clock(fleet.hosts[0], 10.0)
                fleet.step_clock(fleet.hosts[2], -10.0)
                fleet.step_clock(fleet.hosts[3], 100.0)
                for index, upstream in ((0, 2), (2, 3), (3, 4)):
                    fleet.crash(fleet.hosts[index], DEADLY, upstream)
                    fleet.run(0.05)
                fleet.run(SETTLED_S)
                self.assert_count(fleet, DEADLY, 3)

    def test_a_crash_that_arrives_after_its_answer_does_not_count(self) -> None:
        sender, answering, receiver = ObservingFleet(3).hosts
        sender.requests.record_crash(DEADLY, 1, 0.1, 10.0)
        crash = sender.log.take("1", lambda _: True, 10.0, 40)
        answering.log._learn(crash[0], "0", 10.1)
        answering.requests.apply(crash[0], 10.1)
        answering.requests.record_answer(DEADLY, 10.2)
        answer = answering.log.take("2", lambda source: source is None, 10.2, 40)
        self.assertEqual([item.kind for item in answer], [CLEARED.code])
        receiver.requests.apply(answer[0], 10.3)
        self.assertFalse(receiver.requests.apply(crash[0], 10.4))
        self.assertEqual(receiver.requests.crash_count(DEADLY), 0)

    def test_two_crashes_of_one_upstream_within_a_second_are_two(self) -> None:
        for hosts, zones in FLEETS:
            for seed in range(5):
                with self.subTest(hosts=hosts, seed=seed):
                    fleet = ObservingFleet(hosts, zones, seed, loss_share=0.0)
                    zone = [host for host in fleet.hosts if host.zone == 0]
                    first, second = fleet.rng.sample(zone, 2)
                    fleet.crash(first, DEADLY, 1)
                    fleet.run(0.75)
                    fleet.crash(second, DEADLY, 1, ran_s=0.2)
                    fleet.run(SETTLED_S)
                    self.assert_count(fleet, DEADLY, 2)

    def test_one_crash_that_several_hosts_observe_is_one(self) -> None:
        for hosts, zones in FLEETS:
            for seed in range(5):
                with self.subTest(hosts=hosts, seed=seed):
                    fleet = ObservingFleet(hosts, zones, seed)
                    for host in fleet.rng.sample(fleet.hosts, 8):
                        ran_s = fleet.rng.uniform(0.5, 2.0)
                        fleet.crash(host, DEADLY, 1, ran_s)
                        fleet.run(fleet.rng.uniform(0.0, 0.05))
                    fleet.run(SETTLED_S)
                    self.assert_count(fleet, DEADLY, 1)

    def test_a_host_that_starts_learns_of_a_quarantine_and_passes_nothing_on(
        self,
    ) -> None:
        for hosts, zones in FLEETS:
            with self.subTest(hosts=hosts):
                fleet = ObservingFleet(hosts, zones)
                for upstream in (1, 2, 3):
                    fleet.crash(fleet.hosts[0], DEADLY, upstream)
                fleet.crash(fleet.hosts[0], 5, 1)
                # Longer than the observations are sent and accepted.
                fleet.run(30.0)
                sent = fleet.entries_sent
                # A gateway.
                started = fleet.restart(1)
                fleet.run(SETTLED_S)
                left_s = started.requests.quarantine_left_s(
                    DEADLY, started.clock_s(fleet.now_s)
                )
                self.assertAlmostEqual(left_s, 60.0 - 30.0 - SETTLED_S, delta=1.0)
                self.assertEqual(started.requests.crash_count(5), 0)
                self.assertEqual(fleet.entries_sent, sent)
                # The others already know what the new host could tell.
                self.assertEqual(max(fleet.hosts[2].learned.values()), 1)

    def test_a_crash_that_many_hosts_observe_is_sent_by_few(self) -> None:
        fleet = ObservingFleet(40)
        for host in fleet.hosts:
            fleet.crash(host, DEADLY, 1, ran_s=2.0)
            fleet.run(0.02)
        fleet.run(SETTLED_S)
        observations = {
            identity for host in fleet.hosts for identity in host.sent_until_s
        }
        # Hosts that hear of the crash before they notice it report nothing.
        self.assertLess(len(observations), 20)
        self.assert_count(fleet, DEADLY, 1)


if __name__ == "__main__":
    unittest.main()
