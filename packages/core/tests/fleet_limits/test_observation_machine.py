"""Hosts that exchange observations in any order, checked after each step.

Reports are delivered late, twice, in any order or never; hosts start anew, and their
clocks step.
"""

from __future__ import annotations

import os
from typing import Any

from fleet_limits.observing_fleet import ObservingHost
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from cardamomquay.fleet_limits import CLEARED
from cardamomquay.gossip import REPORT_REPEAT_S
from cardamomquay.gossip import Observation
from cardamomquay.gossip import encode_observations

HOSTS = 4
REQUESTS = 2
UPSTREAMS = 3
# By hand, more examples find rarer cases: EXAMPLES=2000.
EXAMPLES = int(os.environ.get("EXAMPLES", "30"))

hosts = st.integers(0, HOSTS - 1)
requests = st.integers(0, REQUESTS - 1)


class ModelledHost(ObservingHost):
    """A host, and what it should believe: sets of crashes and answers."""

    def __init__(self, name: int, origin: int, clock_offset_s: float):
        super().__init__(name, 0, origin, clock_offset_s)
        self.crashes: dict[int, set[tuple[int, int]]] = {}
        self.cleared: dict[int, set[tuple[int, int]]] = {}

    def note(self, observation: Observation) -> None:
        """Add an observation to the model."""
        if observation.kind == CLEARED.code:
            identity = (observation.value >> 32, observation.value % 2**32)
            self.cleared.setdefault(observation.subject, set()).add(identity)
        else:
            self.crashes.setdefault(observation.subject, set()).add(
                observation.identity
            )

    def expected(self, request: int) -> set[tuple[int, int]]:
        cleared = self.cleared.get(request, set())
        return {
            (origin, number)
            for origin, number in self.crashes.get(request, set())
            if not any(origin == o and number <= n for o, n in cleared)
        }

    def actual(self, request: int) -> set[tuple[int, int]]:
        suspect = self.requests._suspects.get(request)
        return set(suspect.crashes) if suspect else set()


class ObservationMachine(RuleBasedStateMachine):
    """Rules of what may happen to hosts and to reports on the way."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.next_origin = HOSTS
        self.hosts = [ModelledHost(i, i + 1, 1000.0 * i) for i in range(HOSTS)]
        # Sending time, receiver, entries, source.
        self.under_way: list[tuple[float, int, list[int], int]] = []
        # True time of each crash, and of each answer by what it clears.
        self.crashed_s: dict[tuple[int, int], float] = {}

    def _sync(self, host: ModelledHost) -> None:
        """Add what the host has just recorded to its model."""
        for item in (item for item, _ in host.log._known.values()):
            if item.origin == host.log.origin and item.identity not in host.learned_s:
                host.learned_s[item.identity] = host.clock_s(self.now_s)
                host.note(item)
                if item.kind == CLEARED.code:
                    identity = (item.value >> 32, item.value % 2**32)
                    # An answer clears only what was observed before it.
                    assert self.crashed_s[identity] <= self.now_s
                else:
                    self.crashed_s[item.identity] = self.now_s

    @rule(index=hosts, request=requests, upstream=st.integers(1, UPSTREAMS))
    def crash(self, index: int, request: int, upstream: int) -> None:
        host = self.hosts[index]
        host.requests.record_crash(request, upstream, 0.1, host.clock_s(self.now_s))
        self._sync(host)

    @rule(index=hosts, request=requests)
    def answer(self, index: int, request: int) -> None:
        host = self.hosts[index]
        known = host.actual(request)
        host.requests.record_answer(request, host.clock_s(self.now_s))
        self._sync(host)
        assert not host.actual(request), known

    @rule(index=hosts, receiver=hosts, is_gateway=st.booleans())
    def report(self, index: int, receiver: int, *, is_gateway: bool) -> None:
        host = self.hosts[index]
        clock_s = host.clock_s(self.now_s)
        chosen = host.log.take(
            str(receiver), lambda source: source is None or is_gateway, clock_s, 40
        )
        if receiver == index:
            return
        for item in chosen:
            since_s = clock_s - host.learned_s[item.identity]
            assert host.has_stepped or since_s <= REPORT_REPEAT_S + 1e-9
        entries = encode_observations(chosen, clock_s)
        self.under_way.append((self.now_s, receiver, entries, index))

    @rule(data=st.data(), is_last_copy=st.booleans())
    def deliver(self, data: Any, *, is_last_copy: bool) -> None:
        if not self.under_way:
            return
        index = data.draw(st.integers(0, len(self.under_way) - 1))
        sent_s, receiver, entries, source = self.under_way[index]
        if is_last_copy:
            del self.under_way[index]
        host = self.hosts[receiver]
        clock_s = host.clock_s(self.now_s)
        for item in host.log.apply_entries(
            entries, str(source), self.now_s - sent_s + 0.1, clock_s
        ):
            host.learned[item.identity] += 1
            host.learned_s[item.identity] = clock_s
            host.note(item)
            host.requests.apply(item, clock_s)

    @rule(seconds=st.floats(0.001, 3.0))
    def advance(self, seconds: float) -> None:
        self.now_s += seconds

    @rule(index=hosts)
    def restart(self, index: int) -> None:
        self.next_origin += 1
        self.hosts[index] = ModelledHost(index, self.next_origin, 0.0)

    @rule(index=hosts, step_s=st.floats(-5.0, 10.0))
    def step_clock(self, index: int, step_s: float) -> None:
        self.hosts[index].clock_offset_s += step_s
        self.hosts[index].has_stepped = True

    @invariant()
    def each_observation_was_new_once(self) -> None:
        for host in self.hosts:
            assert max(host.learned.values(), default=0) <= 1

    @invariant()
    def what_a_host_believes_depends_only_on_what_it_has_learned(self) -> None:
        for host in self.hosts:
            for request in range(REQUESTS):
                assert host.actual(request) == host.expected(request)

    @invariant()
    def a_count_is_between_one_and_the_number_of_observations(self) -> None:
        for host in self.hosts:
            for request in range(REQUESTS):
                known = len(host.actual(request))
                count = host.requests.crash_count(request)
                assert min(1, known) <= count <= known


ObservationMachine.TestCase.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=40,
    derandomize=EXAMPLES == 30,
    deadline=None,
)
ObservationMachineTest = ObservationMachine.TestCase
