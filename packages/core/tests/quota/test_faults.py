from __future__ import annotations

import unittest
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from cardamomquay.config import Organisation
from cardamomquay_dev.lending_fleet import LendingFleet

if TYPE_CHECKING:
    from collections.abc import Callable

HOSTS = {"h1": "a", "h2": "a", "h3": "a"}
ORGANISATION = Organisation("o", "x", rate_per_s=40.0, burst=40)
LOWERED = Organisation("o", "x", rate_per_s=10.0, burst=10)
FAULT_AT_S = 4.0


def new_fleet(seed: int = 1, organisation: Organisation = ORGANISATION) -> LendingFleet:
    return LendingFleet(HOSTS, [organisation], Random(seed))


def ask_steadily(
    fleet: LendingFleet,
    from_s: float,
    to_s: float,
    per_s: float,
    send_delay_s: float = 0.0,
) -> None:
    for index in range(int((to_s - from_s) * per_s)):
        host = sorted(HOSTS)[index % len(HOSTS)]
        ask = partial(fleet.request, host, "o", send_delay_s)
        fleet.loop.at(from_s + index / per_s, ask)


def lender_host(fleet: LendingFleet) -> str:
    return fleet.holders["quota.o.a"]


def other_host(fleet: LendingFleet) -> str:
    return next(name for name in sorted(HOSTS) if name != lender_host(fleet))


class FaultTest(unittest.TestCase):
    """Guards against more runs than rate and burst allow, and against none at all.

    Callers send three times the rate from 2 s to 14 s; a fault occurs at 4 s.
    """

    def lose_answers(self, fleet: LendingFleet) -> None:
        fleet.faults.lose_answers = 10

    def repeat_and_reorder(self, fleet: LendingFleet) -> None:
        fleet.faults.duplicates = 500
        fleet.faults.jitter_s = 0.4

    def kill_borrower(self, fleet: LendingFleet) -> None:
        name = other_host(fleet)
        fleet.kill(name)
        fleet.loop.after(1.0, lambda: fleet.restart(name))

    def replace_lender(self, fleet: LendingFleet) -> None:
        portion = fleet.portions["o"][0]
        old, new = lender_host(fleet), other_host(fleet)
        fleet.kill(old)
        fleet.loop.after(6.0, lambda: self.assertTrue(fleet.take_over(portion, new)))

    def pause_lender(self, fleet: LendingFleet) -> None:
        """The old lender resumes while a new one lends, and some hosts still ask it.

        Two of the three hosts act on the lenders' rows from before the change.
        """
        portion = fleet.portions["o"][0]
        old, new = lender_host(fleet), other_host(fleet)
        fleet.pause(old, 7.5)

        def take_over() -> None:
            self.assertTrue(fleet.take_over(portion, new))
            fleet.holders[portion.resource] = old

        fleet.loop.after(6.0, take_over)
        fleet.loop.after(8.5, lambda: fleet.holders.update({portion.resource: new}))

    def stop_store(self, fleet: LendingFleet) -> None:
        fleet.store_down = True

    def run_fault(self, fault: Callable[[LendingFleet], None]) -> LendingFleet:
        fleet = new_fleet()
        ask_steadily(fleet, 2.0, 14.0, 120.0, send_delay_s=0.3)
        fleet.loop.at(FAULT_AT_S, lambda: fault(fleet))
        fleet.loop.run_until(16.0)
        return fleet

    def test_bound_and_recovery(self) -> None:
        faults = (
            self.lose_answers,
            self.repeat_and_reorder,
            self.kill_borrower,
            self.replace_lender,
            self.pause_lender,
            self.stop_store,
        )
        for fault in faults:
            with self.subTest(fault.__name__):
                fleet = self.run_fault(fault)
                self.assertLessEqual(fleet.excess(ORGANISATION), 1e-6)
                late = [at_s for at_s in fleet.runs["o"] if at_s > 13.0]
                self.assertGreater(len(late), 15)

    def test_store_outage_has_no_effect(self) -> None:
        with_outage = self.run_fault(self.stop_store)
        without = self.run_fault(lambda fleet: None)
        self.assertEqual(with_outage.runs, without.runs)


class LoweredRateTest(unittest.TestCase):
    def test_lowered_under_load(self) -> None:
        """Guards against using tokens of the old rate after it was lowered."""
        fleet = new_fleet()
        ask_steadily(fleet, 2.0, 10.0, 120.0)
        fleet.loop.at(5.0, lambda: fleet.set_organisations([LOWERED]))
        fleet.loop.run_until(11.0)
        self.assertLessEqual(fleet.excess(ORGANISATION), 1e-6)
        self.assertLessEqual(fleet.excess(LOWERED, from_s=5.0), 1e-6)
        self.assertGreater(sum(at_s > 6.0 for at_s in fleet.runs["o"]), 20)


class SuspendedHostTest(unittest.TestCase):
    def test_tokens_expire_while_a_host_is_suspended(self) -> None:
        """Guards against a resumed host that uses tokens lent again meanwhile."""
        fleet = new_fleet()
        fleet.claim(fleet.portions["o"][0], "h2")
        fleet.loop.run_until(4.0)
        for _ in range(40):
            fleet.request("h1", "o", send_delay_s=0.05)
        fleet.loop.run_until(4.04)
        fleet.pause("h1", 2.5)
        ask_steadily(fleet, 6.4, 7.0, 100.0)
        fleet.loop.run_until(8.0)
        expired = [reason for _, _, reason in fleet.refusals if reason == "expired"]
        self.assertLessEqual(fleet.excess(ORGANISATION), 1e-6)
        self.assertEqual(len(expired), 40)


if __name__ == "__main__":
    unittest.main()
