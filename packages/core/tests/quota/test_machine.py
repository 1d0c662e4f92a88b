from __future__ import annotations

import unittest
from random import Random

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from cardamomquay.config import Organisation
from cardamomquay.leases import LEASE_TTL_S
from cardamomquay_dev.lending_fleet import LendingFleet

HOSTS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
HIGH = Organisation("o", "x", rate_per_s=20.0, burst=24)
LOW = Organisation("o", "x", rate_per_s=5.0, burst=8)

hosts = st.sampled_from(sorted(HOSTS))
gaps_s = st.sampled_from([0.05, 0.2, 0.6, 0.9, 1.3])
send_delays_s = st.sampled_from([0.0, 0.3, 0.9])


class LendingMachine(RuleBasedStateMachine):
    """Bursts, idle times and faults over four hosts of two regions."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = LendingFleet(HOSTS, [HIGH], Random(7))
        self.high = self.fleet.portions["o"]
        self.lowered_at_s: float | None = None
        self.advance(5.0)

    def advance(self, seconds: float) -> None:
        self.fleet.loop.run_until(self.fleet.loop.now_s() + seconds)

    def ask(self, host: str, send_delay_s: float) -> None:
        for _ in range(30):
            self.fleet.request(host, "o", send_delay_s)

    @rule(first=hosts, second=hosts, gap_s=gaps_s, send_delay_s=send_delays_s)
    def bursts(
        self, first: str, second: str, gap_s: float, send_delay_s: float
    ) -> None:
        """Request more than the burst twice; the first requests are sent later."""
        self.ask(first, send_delay_s)
        self.advance(gap_s)
        self.ask(second, 0.0)
        self.advance(0.05)

    @rule(seconds=st.sampled_from([0.2, 1.1, 2.5]))
    def wait(self, seconds: float) -> None:
        self.advance(seconds)

    @rule(
        lost=st.sampled_from([0, 2]),
        duplicates=st.sampled_from([0, 3]),
        jitter_s=st.sampled_from([0.0, 0.05, 0.6]),
    )
    def disturb_messages(self, lost: int, duplicates: int, jitter_s: float) -> None:
        self.fleet.faults.lose_answers = lost
        self.fleet.faults.duplicates = duplicates
        self.fleet.faults.jitter_s = jitter_s

    @rule(host=hosts, seconds=st.sampled_from([0.3, 0.8, 1.5]))
    def pause(self, host: str, seconds: float) -> None:
        self.fleet.pause(host, seconds)

    @rule(host=hosts)
    def kill_and_restart(self, host: str) -> None:
        # A host that has lost its memory can lend again only after a new claim.
        self.fleet.kill(host)
        self.fleet.restart(host)

    @rule(
        index=st.integers(0, 1),
        host=hosts,
        killed=st.booleans(),
        gap_s=st.sampled_from([0.0, 0.2, 1.25]),
    )
    def replace_lender(self, index: int, host: str, killed: bool, gap_s: float) -> None:
        """Take a portion over as soon as the lease of its lender can be reclaimed.

        A lender that is cut off from the store, and that some hosts still ask, lends
        until its lease ends by its own clock.
        """
        portion = self.fleet.portions["o"][index]
        old = self.fleet.holders[portion.resource]
        if old == host or self.fleet.store_down:
            return
        holder = self.fleet.hosts[old]
        if killed:
            self.fleet.kill(old)
        else:
            holder.cut_off_from_store = True
            self.fleet.faults.stale_view_share = 0.5
        # The lease of a lender that is cut off ends 5.5 s after its last renewal by its
        # own clock: LEASE_TTL_S less LEASE_SAFETY_MARGIN_S.
        self.fleet.loop.run_until(holder.lease_renewed_s + 5.45)
        self.ask(host, 0.9)
        self.fleet.loop.run_until(holder.lease_renewed_s + LEASE_TTL_S)
        # Has no effect if a pause in an earlier step has delayed a renewal until now.
        self.fleet.take_over(portion, host)
        self.advance(gap_s)
        for name in sorted(HOSTS):
            self.ask(name, 0.0)
        self.advance(0.2)
        if killed:
            self.fleet.restart(old)
        holder.cut_off_from_store = False

    @rule()
    def use_current_views(self) -> None:
        self.fleet.faults.stale_view_share = 0.0

    @rule()
    def lower_rate(self) -> None:
        if self.lowered_at_s is None:
            self.fleet.set_organisations([LOW])
            self.lowered_at_s = self.fleet.loop.now_s()

    @rule(down=st.booleans())
    def store_outage(self, down: bool) -> None:
        self.fleet.store_down = down

    @invariant()
    def no_window_exceeds_the_bound(self) -> None:
        assert (excess := self.fleet.excess(HIGH)) <= 1e-6, excess
        for portion in self.high:
            excess = self.fleet.portion_excess(portion)
            assert excess <= 1e-6, (portion.resource, excess)
        if self.lowered_at_s is not None:
            # Requests admitted under the old limit are sent while their grant is valid.
            from_s = self.lowered_at_s + 1.0
            assert (excess := self.fleet.excess(LOW, from_s)) <= 1e-6, excess


class LendingMachineTest(LendingMachine.TestCase):
    """Guards against runs above rate and burst under any sequence of faults."""

    settings = settings(
        derandomize=True,
        max_examples=120,
        stateful_step_count=20,
        deadline=None,
        # Without the shrink phase, which would take minutes.
        phases=(Phase.explicit, Phase.generate),
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )


if __name__ == "__main__":
    unittest.main()
