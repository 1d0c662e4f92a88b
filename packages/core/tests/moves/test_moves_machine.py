from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from moves.fleet import PLAN
from moves.fleet import Fleet
from moves.fleet import with_plan
from moves.test_moves import check_history

from cardamomquay.moves import VIEW_VALID_S
from cardamomquay.moves import MoveState
from cardamomquay.platform import Faults

HOSTS = 3
host_indexes = st.integers(0, HOSTS - 1)


class MovesMachine(RuleBasedStateMachine):
    """Changes controllers, the store, configurations and versions in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.case = unittest.TestCase()
        self.fleet = Fleet(HOSTS)
        self.fleet.requests_per_step = 4
        self.fleet.elect(0)
        self.taken_back_s: float | None = None
        self.checked_rows = 0
        self.edits = 1
        self.run_for(5.0)

    # Most rules advance the time; otherwise few runs would reach the later states.
    @rule(seconds=st.sampled_from((0.25, 1.0, 5.0)))
    def run_shortly(self, seconds: float) -> None:
        self.run_for(seconds)

    @rule(seconds=st.sampled_from((10.0, 20.0, 40.0)))
    def run_long(self, seconds: float) -> None:
        self.run_for(seconds)

    @rule()
    def heal_and_run(self) -> None:
        self.fleet.tables.faults = Faults()
        for host in self.fleet.hosts:
            host.paused = host.mute = False
            host.release()
        self.record_take_back()
        self.run_for(20.0)

    @rule(host=host_indexes, seconds=st.sampled_from((3.0, 1e9, 1e9)))
    def elect(self, host: int, seconds: float) -> None:
        # The former controller is not informed, as if it were paused.
        self.fleet.elect(host, seconds)

    @rule(first=host_indexes, second=host_indexes)
    def race(self, first: int, second: int) -> None:
        """Let two hosts act as the controller by one claim, with delayed writes."""
        one, two = self.fleet.elect(first), self.fleet.hosts[second]
        election = one.moves.controller
        two.grant_lease(election.fence, 1e9)
        two.send(replace(election, now_s=two.now_s()))
        one.hold_writes = two.hold_writes = True
        self.run_for(20.0)
        one.release()
        two.release()
        self.record_take_back()

    @rule(host=host_indexes)
    def hold_writes(self, host: int) -> None:
        self.fleet.hosts[host].hold_writes = True

    @rule(
        host=host_indexes,
        kind=st.sampled_from(
            ("paused", "mute", "lose_answers", "down", "unreachable", "bad")
        ),
    )
    def fault(self, host: int, kind: str) -> None:
        match kind:
            case "paused" | "mute":
                setattr(self.fleet.hosts[host], kind, True)
            case "bad":
                # The index of the host selects an error rate of 0, 50% or 100%.
                self.fleet.error_rate["new"] = 0.5 * host
            case _:
                setattr(self.fleet.tables.faults, kind, 1)

    @rule(kind=st.sampled_from(("remove", "restore", "target", "again", "again")))
    def edit(self, kind: str) -> None:
        self.edits += 1
        self.fleet.error_rate["new"] = 0.0
        plans = {
            "remove": None,
            "restore": PLAN,
            "target": with_plan(to_pool="newer"),
            "again": with_plan(move_id=f"m{self.edits}"),
        }
        self.fleet.edit(plans[kind])

    def run_for(self, seconds: float) -> None:
        end_s = self.fleet.now_s + seconds
        while self.fleet.now_s < end_s:
            self.fleet.step()
            self.record_take_back()

    def record_take_back(self) -> None:
        history = self.fleet.tables.history
        for move in history[self.checked_rows :]:
            if move.state is MoveState.TAKING_BACK:
                self.taken_back_s = self.fleet.now_s
            elif move.state is not MoveState.TAKEN_BACK:
                self.taken_back_s = None
        self.checked_rows = len(history)

    @invariant()
    def steps_follow_each_other(self) -> None:
        check_history(self.case, self.fleet.tables.history)

    @invariant()
    def taken_back_moves_get_no_requests(self) -> None:
        if self.taken_back_s is None:
            return
        if self.fleet.now_s - self.taken_back_s <= VIEW_VALID_S + 0.5:
            return
        if self.fleet.tables.faults.down:
            # Hosts that have confirmed an outage keep using the rows that they know.
            return
        limit_s = self.taken_back_s + VIEW_VALID_S + 0.5
        late = [sent for sent in self.fleet.sent_new[-30:] if sent[0] > limit_s]
        self.case.assertEqual(late, [])


MovesMachineTest = MovesMachine.TestCase
MovesMachineTest.settings = settings(
    derandomize=True, max_examples=20, stateful_step_count=20, deadline=None
)

if __name__ == "__main__":
    unittest.main()
