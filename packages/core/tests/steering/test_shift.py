from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cardamomquay.outcomes import RefusalReason
from cardamomquay.steering import RegionState
from cardamomquay.steering import ShiftInputs
from cardamomquay.steering import ShiftPlan
from cardamomquay.steering import divide_fairly
from cardamomquay.steering import plan_shift

if TYPE_CHECKING:
    from collections.abc import Mapping

OPEN, DRAINING, LOST = RegionState.OPEN, RegionState.DRAINING, RegionState.LOST
REGIONS = ("mtl", "qc", "sag")
ORDER = {r: tuple(o for o in REGIONS if o != r) for r in REGIONS}
LINKS = {(a, b): 1e6 for a in REGIONS for b in REGIONS if a != b}
REFUSED = ""


def make_inputs(
    states: Mapping[str, RegionState] | None = None,
    capacity: Mapping[str, float] | None = None,
    **kwargs: object,
) -> ShiftInputs:
    base = ShiftInputs(
        demand={r: {"a": 60.0, "b": 40.0} for r in REGIONS},
        weights={"a": 1.0, "b": 1.0},
        capacity=capacity or dict.fromkeys(REGIONS, 300.0),
        states=dict.fromkeys(REGIONS, OPEN) | dict(states or {}),
        nearest_regions=ORDER,
        link_capacity=LINKS,
    )
    return replace(base, **kwargs)  # type: ignore[arg-type]


def run(inputs: list[ShiftInputs], elapsed_s: float = 0.5) -> list[ShiftPlan]:
    plans: list[ShiftPlan] = []
    for step_inputs in inputs:
        current = plans[-1].shares if plans else {}
        plans.append(plan_shift(step_inputs, current, elapsed_s))
    return plans


class PlanShiftTest(unittest.TestCase):
    def test_drain_and_return(self) -> None:
        """Guards against jumps, and against refusals despite enough capacity."""
        plans = run([make_inputs({"mtl": DRAINING})] * 20 + [make_inputs()] * 20)
        home = [plan.shares["mtl"].get("mtl", 0.0) for plan in plans]
        for i in range(20):
            self.assertAlmostEqual(home[i], 1 - 0.05 * (i + 1))
            self.assertAlmostEqual(home[20 + i], 0.05 * (i + 1))
        self.assertFalse(any(REFUSED in plan.shares["mtl"] for plan in plans))
        self.assertAlmostEqual(plans[19].shares["mtl"]["qc"], 1.0)

    def test_lost_region(self) -> None:
        """Guards against traffic to a lost region, and all of it moving at once."""
        plans = run([make_inputs({"mtl": LOST})] * 20)
        self.assertNotIn("mtl", plans[0].shares["mtl"])
        self.assertAlmostEqual(plans[0].shares["mtl"]["qc"], 0.05)
        self.assertAlmostEqual(plans[0].shares["mtl"][REFUSED], 0.95)
        self.assertIs(plans[0].reasons["mtl"], RefusalReason.REGION_FULL)
        self.assertAlmostEqual(plans[19].shares["mtl"]["qc"], 1.0)

    def test_region_lost_during_a_planned_drain(self) -> None:
        """Guards against a drain that continues towards a lost region."""
        drain = make_inputs({"mtl": DRAINING})
        both = make_inputs(
            {"mtl": DRAINING, "qc": LOST}, dict.fromkeys(REGIONS, 1000.0)
        )
        plans = run([drain] * 10 + [both] * 30)
        before, after = plans[9].shares["mtl"], plans[10].shares["mtl"]
        self.assertAlmostEqual(before["qc"], 0.5)
        self.assertNotIn("qc", after)
        self.assertAlmostEqual(after["sag"], 0.05)
        self.assertAlmostEqual(after["mtl"], 0.5)
        self.assertAlmostEqual(plans[-1].shares["mtl"]["sag"], 1.0)
        self.assertAlmostEqual(plans[-1].shares["qc"]["sag"], 1.0)

    def test_limits(self) -> None:
        """Guards against a drain or failover that overloads a region or link."""
        little = dict.fromkeys(REGIONS, 130.0)
        thin = {**LINKS, ("mtl", "qc"): 10.0, ("mtl", "sag"): 20.0}
        cases = {
            "regions": (
                make_inputs({"mtl": LOST}, little),
                60.0,
                RefusalReason.REGION_FULL,
            ),
            "links": (
                make_inputs({"mtl": LOST}, link_capacity=thin),
                30.0,
                RefusalReason.LINK_FULL,
            ),
            "no capacity known": (
                make_inputs({"mtl": LOST}, {"mtl": 100.0}),
                0.0,
                RefusalReason.REGION_FULL,
            ),
        }
        for name, (inputs, served, reason) in cases.items():
            with self.subTest(name):
                plan = run([inputs] * 40)[-1]
                share = 1 - plan.shares["mtl"][REFUSED]
                self.assertAlmostEqual(share * 100, served)
                self.assertIs(plan.reasons["mtl"], reason)

    def test_fair_refusal(self) -> None:
        """Guards against one organisation that takes all remaining capacity."""
        inputs = make_inputs(
            {"mtl": LOST},
            dict.fromkeys(REGIONS, 130.0),
            demand={"mtl": {"big": 1000.0, "small": 20.0}, "qc": {"a": 100.0},
                    "sag": {"a": 100.0}},
            weights={"big": 1.0, "small": 1.0},
        )  # fmt: skip
        admitted = run([inputs] * 40)[-1].admitted["mtl"]
        self.assertAlmostEqual(admitted["small"], 1.0)
        self.assertAlmostEqual(admitted["big"], 0.04)

    def test_paused_controller(self) -> None:
        """Guards against a jump after the controller was paused."""
        for elapsed_s, moved in ((60.0, 0.1), (0.0, 0.0), (-5.0, 0.0)):
            with self.subTest(elapsed_s=elapsed_s):
                plan = plan_shift(make_inputs({"mtl": DRAINING}), {}, elapsed_s)
                self.assertAlmostEqual(plan.shares["mtl"].get("qc", 0.0), moved)

    def test_target_fills_up_meanwhile(self) -> None:
        """Guards against shares that are kept when the serving region fills up."""
        busy = make_inputs({"mtl": DRAINING}, {"mtl": 300.0, "qc": 120.0, "sag": 100.0})
        plans = run([make_inputs({"mtl": DRAINING})] * 10 + [busy])
        self.assertAlmostEqual(plans[9].shares["mtl"]["qc"], 0.5)
        self.assertLessEqual(plans[10].shares["mtl"]["qc"] * 100, 20.0 + 1e-6)

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.lists(
                    st.sampled_from((OPEN, DRAINING, LOST)), min_size=3, max_size=3
                ),
                st.lists(st.floats(0.0, 300.0), min_size=3, max_size=3),
                st.lists(st.floats(0.0, 200.0), min_size=3, max_size=3),
                st.floats(0.0, 150.0),
            ),
            min_size=1,
            max_size=12,
        )
    )
    def test_never_over_cap_or_capacity(
        self,
        steps: list[tuple[list[RegionState], list[float], list[float], float]],
    ) -> None:
        """Guards against a step above a cap or capacity, for any order of faults."""
        shares: dict[str, dict[str, float]] = {}
        for states, capacities, demands, link in steps:
            capacity = dict(zip(REGIONS, capacities, strict=True))
            demand = {r: {"a": d} for r, d in zip(REGIONS, demands, strict=True)}
            state = dict(zip(REGIONS, states, strict=True))
            step = make_inputs(
                state, capacity, demand=demand, link_capacity=dict.fromkeys(LINKS, link)
            )
            plan = plan_shift(step, shares, 0.5)
            for region, dests in plan.shares.items():
                self.assertAlmostEqual(sum(dests.values()), 1.0)
                self.assertTrue(all(share >= -1e-9 for share in dests.values()))
                old = shares.get(region, {region: 1.0})
                grown = sum(
                    max(0.0, share - old.get(dest, 0.0))
                    for dest, share in dests.items()
                    if dest != REFUSED
                )
                self.assertLessEqual(grown, 0.05 + 1e-9)
                for dest, share in dests.items():
                    if dest in {REFUSED, region}:
                        continue
                    self.assertIsNot(state[dest], LOST)
                    self.assertLessEqual(share * demand[region]["a"], link + 1e-6)
            for dest in REGIONS:
                own = plan.shares[dest].get(dest, 0.0) * demand[dest]["a"]
                foreign = sum(
                    plan.shares[r].get(dest, 0.0) * demand[r]["a"]
                    for r in REGIONS
                    if r != dest
                )
                room = max(0.0, capacity[dest] - own)
                self.assertLessEqual(foreign, room + 1e-6)
            shares = plan.shares


class DivideFairlyTest(unittest.TestCase):
    def test_weighted_max_min_shares(self) -> None:
        """Guards against shares above the demand, and unfair shares."""
        cases = {
            "enough": ({"a": 1.0, "b": 2.0}, {}, 9.0, {"a": 1.0, "b": 2.0}),
            "equal": ({"a": 9.0, "b": 9.0}, {}, 4.0, {"a": 2.0, "b": 2.0}),
            "weights": ({"a": 9.0, "b": 9.0}, {"b": 3.0}, 4.0, {"a": 1.0, "b": 3.0}),
            "small one first": ({"a": 1.0, "b": 9.0}, {}, 4.0, {"a": 1.0, "b": 3.0}),
            "nothing": ({"a": 1.0}, {}, -1.0, {"a": 0.0}),
        }
        for name, (demands, weights, total, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(divide_fairly(demands, weights, total), expected)


if __name__ == "__main__":
    unittest.main()
