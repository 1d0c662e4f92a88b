from __future__ import annotations

import unittest
from dataclasses import replace
from itertools import pairwise

from moves.fleet import PLAN
from moves.fleet import ROUTE
from moves.fleet import Fleet
from moves.fleet import with_plan

from cardamomquay.moves import TAKE_BACK_MIN_S
from cardamomquay.moves import VIEW_VALID_S
from cardamomquay.moves import HostReport
from cardamomquay.moves import Move
from cardamomquay.moves import MoveState
from cardamomquay.moves import RequestTotals
from cardamomquay.moves import Verdict
from cardamomquay.moves import VersionPicker
from cardamomquay.moves import judge
from cardamomquay.moves import move_row_key
from cardamomquay.moves import parse_move
from cardamomquay.moves._evidence import EProcess
from cardamomquay.moves._observations import ReceivedReport
from cardamomquay.moves._observations import begin_observations
from cardamomquay.platform import Conflicted

ALLOWED_NEXT_STATES = {
    MoveState.PLANNED: {MoveState.RAMPING, MoveState.TAKING_BACK},
    MoveState.RAMPING: {
        MoveState.RAMPING,
        MoveState.HOLDING,
        MoveState.COMPLETED,
        MoveState.TAKING_BACK,
    },
    MoveState.HOLDING: {MoveState.RAMPING, MoveState.HOLDING, MoveState.TAKING_BACK},
    MoveState.COMPLETED: {MoveState.TAKING_BACK},
    MoveState.TAKING_BACK: {MoveState.TAKEN_BACK},
    MoveState.TAKEN_BACK: set(),
}


def check_history(case: unittest.TestCase, history: list[Move]) -> None:
    """Check that no step is skipped, repeated or reverted."""
    for before, after in pairwise(history):
        case.assertGreaterEqual(after.fence, before.fence)
        if (before.move_id, before.to_pool) != (after.move_id, after.to_pool):
            case.assertEqual((after.state, after.step), (MoveState.PLANNED, 0))
            case.assertIn(before.state, (MoveState.COMPLETED, MoveState.TAKEN_BACK))
            continue
        case.assertEqual(after.step, before.step + 1)
        case.assertIn(after.state, ALLOWED_NEXT_STATES[before.state])
        increase = after.share_percent - before.share_percent
        case.assertLessEqual(increase, PLAN.step_cap_percent)
        if not after.proved:
            case.assertLessEqual(after.share_percent, PLAN.cap_percent)
        if after.state is MoveState.TAKEN_BACK:
            case.assertGreaterEqual(after.elapsed_s - before.elapsed_s, TAKE_BACK_MIN_S)
        if after.state is MoveState.HOLDING:
            case.assertEqual(increase, 0)


def make_ramping_fleet(share: float = 30.0) -> Fleet:
    """Return a fleet 0.5 s after its move reached a share."""
    fleet = Fleet()
    fleet.elect(0)
    assert fleet.run(
        100.0, lambda: (m := fleet.move()) is not None and m.share_percent >= share
    )
    fleet.run(0.5)
    return fleet


class StepsTest(unittest.TestCase):
    """Guards against steps that are skipped, repeated, reverted or never taken."""

    def assert_completes(self, fleet: Fleet) -> None:
        self.assertTrue(fleet.run_to(MoveState.COMPLETED), fleet.move())
        check_history(self, fleet.tables.history)

    def test_good_version(self) -> None:
        fleet = make_ramping_fleet()
        self.assert_completes(fleet)
        fleet.edit(None, pool="new")
        fleet.run(5.0)
        self.assertTrue(fleet.is_in(MoveState.COMPLETED))

    def test_controller_killed(self) -> None:
        fleet = make_ramping_fleet()
        fleet.hosts[0].paused = True
        fleet.run(7.0)
        fleet.elect(1)
        self.assert_completes(fleet)

    def test_controller_paused_past_its_lease(self) -> None:
        """A host that resumes must not act on its expired lease."""
        fleet = Fleet()
        fleet.elect(0, seconds=5.0)
        fleet.run(4.0)
        steps = len(fleet.tables.history)
        fleet.hosts[0].paused = True
        fleet.run(20.0)
        fleet.hosts[0].paused = False
        fleet.error_rate["new"] = 1.0
        fleet.run(10.0)
        self.assertEqual(len(fleet.tables.history), steps)

    def test_write_left_by_a_paused_controller(self) -> None:
        """A delayed transaction must fail once a successor is elected."""
        fleet = make_ramping_fleet(5.0)
        former = fleet.hosts[0]
        former.hold_writes = True
        fleet.run(60.0, lambda: bool(former.delayed_writes))
        before = fleet.row()
        fleet.elect(1)
        former.release()
        self.assertEqual(fleet.row(), before)
        self.assert_completes(fleet)

    def test_two_controllers(self) -> None:
        """Two hosts that both act as the controller must take only one step."""
        fleet = make_ramping_fleet(5.0)
        first, second = fleet.hosts[:2]
        election = first.moves.controller
        second.grant_lease(fleet.fence, 1e9)
        second.send(
            type(election)(second.now_s(), True, election.fence, election.row_version)
        )
        first.hold_writes = second.hold_writes = True
        fleet.run(60.0, lambda: bool(first.delayed_writes and second.delayed_writes))
        late = second.delayed_writes[0].transaction
        first.release()
        second.release()
        self.assertIsInstance(fleet.tables.transact(late), Conflicted)
        self.assert_completes(fleet)

    def test_lower_fence_does_not_act(self) -> None:
        """A controller with an older fencing token must not change a newer row."""
        fleet = make_ramping_fleet(5.0)
        controller = fleet.hosts[0]
        election = controller.moves.controller
        stale = type(election)(
            controller.now_s(), True, election.fence - 1, election.row_version
        )
        controller.send(stale)
        steps = len(fleet.tables.history)
        fleet.run(60.0)
        self.assertEqual(len(fleet.tables.history), steps)

    def test_lost_answers(self) -> None:
        """A step whose answer is lost must not be repeated or assumed committed."""
        fleet = Fleet()
        fleet.elect(0)

        def lose() -> bool:
            fleet.tables.faults.lose_answers = 1
            return fleet.is_in(MoveState.COMPLETED)

        self.assertTrue(fleet.run(300.0, lose))
        self.assertEqual(fleet.tables.conflicts, 0)
        check_history(self, fleet.tables.history)

    def test_outcome_never_reported(self) -> None:
        """A step whose outcome is never reported must not block its move."""
        fleet = make_ramping_fleet(5.0)
        controller = fleet.hosts[0]
        controller.hold_writes = True
        fleet.run(60.0, lambda: bool(controller.delayed_writes))
        controller.delayed_writes.clear()
        controller.hold_writes = False
        self.assert_completes(fleet)

    def test_new_controller_reads_first(self) -> None:
        """A new controller must not act on rows that it read before its election.

        They may lack its predecessor's last step.
        """
        fleet = make_ramping_fleet(5.0)
        fleet.tables.faults.down = True
        fleet.run(5.0)
        fleet.tables.faults.down = False
        successor = fleet.hosts[1]
        successor.paused = True
        fleet.elect(1)
        sent = []
        successor.perform = sent.append
        fleet.error_rate["new"] = 1.0
        successor.paused = False
        fleet.run(5.0)
        self.assertEqual([e for e in sent if type(e).__name__ == "WriteMoveStep"], [])

    def test_malformed_rows(self) -> None:
        incomplete = {"route": "r", "share_percent": 400.0}
        for value in (None, {}, incomplete, {"state": 3}):
            self.assertIsNone(parse_move(value))


class TakeBackTest(unittest.TestCase):
    """Guards against a bad version that still gets requests."""

    def fault_found_s(self, fleet: Fleet, seconds: float = 120.0) -> float:
        """Run until `judge` finds a fault in the observations of some host."""

        def is_found() -> bool:
            for host in fleet.hosts:
                observed = host.moves.observations.get(ROUTE)
                if observed and judge(observed.fleet).verdict is Verdict.BAD:
                    return True
            return False

        self.assertTrue(fleet.run(seconds, is_found))
        return fleet.now_s

    def assert_stops(self, fleet: Fleet, within_s: float = 3.0) -> None:
        found_s = self.fault_found_s(fleet)
        fleet.run(15.0)
        last_s = max(at for at, _ in fleet.sent_new)
        self.assertLessEqual(last_s - found_s, within_s)

    def test_faults(self) -> None:
        cases = {
            "fails at once": (0.0, {"error_rate": 0.3}),
            "slow at once": (0.0, {"latency_s": 0.1}),
            "fails later": (30.0, {"error_rate": 0.3}),
            "slow later": (30.0, {"latency_s": 0.1}),
            "fails after 100%": (45.0, {"error_rate": 0.3}),
        }
        for name, (at_s, fault) in cases.items():
            with self.subTest(name):
                fleet = Fleet()
                fleet.elect(0)
                fleet.run(at_s)
                for field, value in fault.items():
                    getattr(fleet, field)["new"] = value
                self.assert_stops(fleet)
                self.assertTrue(fleet.is_in(MoveState.TAKEN_BACK))
                check_history(self, fleet.tables.history)

    def test_store_down(self) -> None:
        """While the store is down, each host must stop a bad version by itself."""
        fleet = make_ramping_fleet()
        self.assertEqual(fleet.hosts[2].share(), 30.0)
        fleet.tables.faults.down = True
        fleet.run(5.0)
        self.assertEqual(fleet.hosts[2].share(), 30.0)
        fleet.error_rate["new"] = 0.3
        self.assert_stops(fleet)
        fleet.tables.faults.down = False
        self.assertTrue(fleet.run_to(MoveState.TAKEN_BACK, 15.0))

    def test_no_answers_from_the_store(self) -> None:
        """A host that cannot read a take-back must send to the old version."""
        fleet = make_ramping_fleet()
        fleet.tables.faults.unreachable = True
        fleet.run(VIEW_VALID_S + 0.5)
        self.assertEqual([host.share() for host in fleet.hosts], [0.0] * 3)

    def test_one_host_sees_the_fault(self) -> None:
        """A stop by one host must make the controller take the move back."""
        fleet = make_ramping_fleet()
        host = fleet.hosts[2]
        stops = host.moves.stopped | {(ROUTE, PLAN.move_id)}
        fields = {f: getattr(host.moves, f) for f in host.moves.__dataclass_fields__}
        state = type(host.moves)(**{**fields, "stopped": stops})
        states = host.core.states.set(type(state), state)
        host.core = type(host.core)(host.core.identity, states)
        self.assertTrue(fleet.run_to(MoveState.TAKEN_BACK, 6.0))
        self.assertEqual(fleet.move().reason, "stopped_by_h2")

    def test_deadline(self) -> None:
        """A move that can no longer finish in time must be taken back before then."""
        for name, plan, rate in (
            ("no requests", with_plan(finish_within_s=60.0), 0),
            ("too short", with_plan(finish_within_s=10.0), 10),
        ):
            with self.subTest(name):
                fleet = Fleet(plan=plan)
                fleet.requests_per_step = rate
                fleet.elect(0)
                fleet.run(plan.finish_within_s)
                self.assertTrue(fleet.is_in(MoveState.TAKEN_BACK))
                self.assertEqual(fleet.move().reason, "deadline")


class MeasurementsTest(unittest.TestCase):
    """Guards against steps without enough measurements."""

    def test_missing_measurements_hold(self) -> None:
        fleet = Fleet(plan=with_plan(finish_within_s=120.0))
        fleet.elect(0)
        fleet.run(6.0)
        for host in fleet.hosts:
            host.mute = host.name != "h0"
        fleet.run(30.0)
        self.assertTrue(fleet.is_in(MoveState.HOLDING))
        self.assertEqual(fleet.move().share_percent, 5.0)
        for host in fleet.hosts:
            host.mute = False
        self.assertTrue(fleet.run_to(MoveState.COMPLETED, 80.0))
        check_history(self, fleet.tables.history)

    def test_measurements_missing_until_the_deadline(self) -> None:
        fleet = Fleet(plan=with_plan(finish_within_s=40.0))
        fleet.elect(0)
        fleet.run(6.0)
        for host in fleet.hosts:
            host.mute = True
        self.assertTrue(fleet.run_to(MoveState.TAKEN_BACK, 40.0))

    def test_each_step_needs_its_own_proof(self) -> None:
        """Requests at a smaller share must not prove a version good at a larger one."""
        observed = begin_observations(
            Move(ROUTE, "m1", "old", "new", share_percent=5.0), 0.0
        )
        proof = EProcess((9.0,))
        good = replace(observed.fleet, proof_by_errors=proof, proof_by_latency=proof)
        observed = replace(observed, fleet=good).with_share(30.0, 10.0)
        self.assertIs(judge(observed.fleet).verdict, Verdict.UNPROVEN)

        def report(at_s: float, count: int) -> ReceivedReport:
            fast = RequestTotals(count, 0, (count, *(0,) * 19))
            totals = {(ROUTE, "new"): fast, (ROUTE, "old"): fast}
            return ReceivedReport("i", at_s, HostReport(totals))

        known = observed.add(ROUTE, report(8.0, 0), report(9.0, 200), is_own=False)
        for began_s, is_proof in ((10.5, False), (11.5, True)):
            after = report(12.0, 400)
            added = known.add(ROUTE, report(began_s, 200), after, is_own=False)
            self.assertEqual(added.fleet.proof_by_errors.log_value > 0, is_proof)

    def test_lagging_reports(self) -> None:
        """Reports that lag by less than the limit must not stop a move."""
        fleet = Fleet()
        fleet.elect(0)
        fleet.hosts[1].reports_lag_s = 1.2
        self.assertTrue(fleet.run_to(MoveState.COMPLETED, 120.0))


class EditTest(unittest.TestCase):
    """Guards against a move that continues although an operator changed it."""

    def fleet_after_edit(self, plan, seconds: float = 5.0) -> Fleet:
        fleet = make_ramping_fleet()
        self.assertEqual(fleet.move().share_percent, 30.0)
        fleet.edit(plan)
        self.assertEqual(fleet.hosts[1].share(), 0.0)
        fleet.run(seconds)
        check_history(self, fleet.tables.history)
        return fleet

    def test_removed(self) -> None:
        fleet = self.fleet_after_edit(None)
        self.assertTrue(fleet.is_in(MoveState.TAKEN_BACK))
        self.assertEqual(fleet.move().reason, "move_removed")

    def test_another_target(self) -> None:
        fleet = self.fleet_after_edit(with_plan(to_pool="newer"), 6.0)
        self.assertEqual(fleet.move().to_pool, "newer")
        states = [m.state for m in fleet.tables.history if m.to_pool == "new"]
        self.assertEqual(states[-1], MoveState.TAKEN_BACK)

    def test_same_move_again(self) -> None:
        """A move that was taken back must need a new id to start again."""
        fleet = self.fleet_after_edit(None)
        fleet.edit(PLAN)
        fleet.run(10.0)
        self.assertTrue(fleet.is_in(MoveState.TAKEN_BACK))
        fleet.edit(with_plan(move_id="m2"))
        fleet.run(2.0)
        self.assertTrue(fleet.is_in(MoveState.RAMPING))

    def test_cap_lowered_before_proof(self) -> None:
        fleet = Fleet()
        fleet.elect(0)
        fleet.run(5.0)
        fleet.edit(with_plan(cap_percent=1.0))
        self.assertEqual([host.share() for host in fleet.hosts], [1.0] * 3)
        fleet.run(1.0)
        self.assertEqual(fleet.move().share_percent, 1.0)


class ExposureTest(unittest.TestCase):
    """Guards against too many requests to a version that is not yet proved good."""

    def test_sum_over_hosts(self) -> None:
        for share in (0.7, 5.0, 33.0, 100.0):
            pickers = [VersionPicker() for _ in range(12)]
            sent = 0
            for index in range(2400):
                sent += pickers[index % 12].pick_new("r", share)
                self.assertLessEqual(sent, (index + 1) * share / 100 + 1e-6)
            self.assertGreater(sent, 2400 * share / 100 - 12)

    def test_fleet_before_proof(self) -> None:
        fleet = Fleet()
        fleet.elect(0)
        while not (fleet.move() and fleet.move().proved):
            fleet.step()
            # Requests of the step that proves the version still went by the old share.
            allowed = fleet.requests * PLAN.cap_percent / 100
            self.assertLessEqual(len(fleet.sent_new), allowed)

    def test_key(self) -> None:
        self.assertEqual(str(move_row_key("r")), "moves/r")


if __name__ == "__main__":
    unittest.main()
