from __future__ import annotations

import os
import unittest

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test
from usage.simulated_usage import Simulation

# More examples for a run by hand.
EXAMPLES = int(os.environ.get("USAGE_EXAMPLES", "40"))
STEPS = int(os.environ.get("USAGE_STEPS", "30"))
# Shrinking a failure takes minutes, so it is done by hand.
PHASES = tuple(Phase) if "USAGE_SHRINK" in os.environ else (Phase.generate,)
HOSTS = st.integers(0, 3).map(lambda number: f"h{number}")
# From the end of the faults: counts of killed hosts are waited for, and a term that has
# just begun is left to its holder.
CALM_LEAD_S = 20.0
CALM_S = 45.0


class ReporterMachine(RuleBasedStateMachine):
    """Hosts that report under faults, which hypothesis chooses and shrinks."""

    @initialize(host_count=st.integers(2, 4), seed=st.integers(0, 2**16))
    def start(self, host_count: int, seed: int) -> None:
        self.simulation = Simulation(host_count, seed)
        self.names = list(self.simulation.hosts)
        self.simulation.run(8.0)

    @rule(tenths=st.integers(1, 50))
    def advance(self, tenths: int) -> None:
        self.simulation.run(tenths / 10.0)

    @rule(name=HOSTS)
    def kill(self, name: str) -> None:
        if len(self.simulation.hosts) > 1:
            self.simulation.kill(name)

    @rule()
    def kill_holder(self) -> None:
        holder = self.simulation.holder()
        if holder is not None and len(self.simulation.hosts) > 1:
            self.simulation.kill(holder)

    @rule(name=HOSTS)
    def start_host(self, name: str) -> None:
        if name in self.names and name not in self.simulation.hosts:
            self.simulation.start(name)

    @rule(name=HOSTS)
    def freeze(self, name: str) -> None:
        self.simulation.freeze(name)

    @rule()
    def freeze_holder(self) -> None:
        holder = self.simulation.holder()
        if holder is not None:
            self.simulation.freeze(holder)

    @rule(name=HOSTS)
    def thaw(self, name: str) -> None:
        self.simulation.thaw(name)

    @rule(
        name=HOSTS,
        link=st.sampled_from(("reaches_store", "reaches_platform", "reaches_hosts")),
        is_up=st.booleans(),
    )
    def change_link(self, name: str, link: str, is_up: bool) -> None:
        if name in self.simulation.hosts:
            setattr(self.simulation.hosts[name], link, is_up)

    @rule(tenths=st.integers(20, 100), after=st.integers(1, 30))
    def cut_holder_from_platform(self, tenths: int, after: int) -> None:
        """Cut the holder off for long enough that another host takes over."""
        holder = self.simulation.holder()
        if holder is None:
            return
        host = self.simulation.hosts[holder]
        host.reaches_platform = False
        self.advance(tenths)
        host.reaches_platform = True
        self.advance(after)

    @rule(share=st.sampled_from((0.0, 0.1, 0.4)))
    def change_trouble(self, share: float) -> None:
        self.simulation.trouble = share

    @rule(number=st.integers(1, 3))
    def lose_responses(self, number: int) -> None:
        self.simulation.lost_responses = number

    @rule()
    def lose_call(self) -> None:
        self.simulation.lost_calls = 1

    @rule(delay_s=st.floats(0.5, 8.0))
    def delay_write(self, delay_s: float) -> None:
        self.simulation.delayed_writes.append(delay_s)

    @rule()
    def copy_store(self) -> None:
        self.simulation.store.copy()

    @rule(index=st.integers(0, 2))
    def restore_store(self, index: int) -> None:
        self.simulation.store.restore(index)

    @rule(is_down=st.booleans())
    def change_store(self, is_down: bool) -> None:
        self.simulation.is_store_down = is_down

    @rule(is_down=st.booleans())
    def change_platform(self, is_down: bool) -> None:
        self.simulation.is_platform_down = is_down

    @rule(error_s=st.floats(-2.0, 2.0))
    def jump_clock(self, error_s: float) -> None:
        # Only the first host's clock, so that most are right.
        host = self.simulation.hosts.get("h0")
        if host is not None and len(self.simulation.hosts) > 2:
            host.clock_error_s = error_s

    @invariant()
    def keeps_the_rules(self) -> None:
        if hasattr(self, "simulation"):
            assert self.simulation.violations() == []

    def teardown(self) -> None:
        if not hasattr(self, "simulation"):
            return
        simulation = self.simulation
        simulation.heal()
        for name in self.names:
            if name not in simulation.hosts:
                simulation.start(name)
        for host in simulation.hosts.values():
            host.clock_error_s = 0.0
        begin_s = simulation.now_s + CALM_LEAD_S
        simulation.run(CALM_S)
        assert simulation.violations() == []
        assert simulation.unreported(begin_s, simulation.now_s) == []


class ReporterMachineTest(unittest.TestCase):
    """Guards against reports that break a rule after some order of faults."""

    def test_rules_under_faults(self) -> None:
        run_state_machine_as_test(
            ReporterMachine,
            settings=settings(
                max_examples=EXAMPLES,
                stateful_step_count=STEPS,
                deadline=None,
                phases=PHASES,
                derandomize=True,
                database=None,
                suppress_health_check=list(HealthCheck),
            ),
        )
