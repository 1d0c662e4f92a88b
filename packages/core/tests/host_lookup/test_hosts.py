from __future__ import annotations

import unittest
from dataclasses import replace

import immutables

from cardamomquay.host_lookup import HostRanker
from cardamomquay.host_lookup import LookupRequest
from cardamomquay.host_lookup import RankingInputs
from cardamomquay.host_lookup import rank_hosts
from cardamomquay.membership import Member
from cardamomquay.membership import MemberRecord
from cardamomquay.membership import MembershipState

NOW_S = 100.0
INPUTS = RankingInputs(region_order={"mtl": ("qc", "sag")})
CALLER = LookupRequest("mtl", "mtl-a", "org")


def record(host: str, load: float = 0.0, leaving: bool = False) -> MemberRecord:
    """Return the record of a host named by region, zone letter and number."""
    region, zone = host.split("-")
    return MemberRecord(
        host, "1", 1, region, f"{region}-{zone[0]}", "10.0.0.1:80", "", leaving,
        load=load,
    )  # fmt: skip


def members(*records: MemberRecord, age_s: float = 0.0) -> MembershipState:
    return MembershipState(
        immutables.Map({r.host: Member(r, NOW_S - age_s) for r in records})
    )


ALL = [record(f"{r}-{z}1") for r in ("sag", "qc", "mtl") for z in "ba"]


class RankHostsTest(unittest.TestCase):
    def names(
        self, state: MembershipState, inputs: RankingInputs = INPUTS
    ) -> list[str]:
        answer = rank_hosts(state, CALLER, NOW_S, inputs)
        return [host.host for host in answer.hosts]

    def test_order(self) -> None:
        """Guards against callers sent to distant or full regions, or to busy hosts."""
        plain = ["mtl-a1", "mtl-b1", "qc-a1", "qc-b1", "sag-a1", "sag-b1"]
        full = replace(INPUTS, headroom={"mtl": 0.0})
        holder = replace(INPUTS, holders={"org": frozenset({"mtl-b1", "sag-b1"})})
        cases = {
            "by location and latency": (INPUTS, plain),
            "own region full": (full, plain[2:] + plain[:2]),
            "holders first in their region": (
                holder,
                ["mtl-b1", "mtl-a1", "qc-a1", "qc-b1", "sag-b1", "sag-a1"],
            ),
            "another organisation's holders": (
                replace(INPUTS, holders={"other": frozenset({"mtl-b1"})}),
                plain,
            ),
        }
        for name, (inputs, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(self.names(members(*ALL), inputs), expected)

    def test_load(self) -> None:
        """Guards against wrong load reports that exclude or overload a host."""
        cases = {0.0: 400, 0.5: 200, 1.0: 20, 7.0: 20, -3.0: 400, float("nan"): 200}
        for load, weight in cases.items():
            with self.subTest(load=load):
                state = members(record("mtl-a1", load))
                answer = rank_hosts(state, CALLER, NOW_S, INPUTS)
                self.assertEqual(answer.hosts[0].weight, weight)
        order = self.names(members(record("mtl-a1", 0.9), record("mtl-a2", 0.1)))
        self.assertEqual(order, ["mtl-a2", "mtl-a1"])
        low = replace(INPUTS, headroom={"mtl": 0.5})
        answer = rank_hosts(members(*ALL), CALLER, NOW_S, low)
        self.assertEqual(answer.hosts[0].weight, 200)

    def test_states(self) -> None:
        """Guards against callers sent to leaving or dead hosts, or to no host."""
        leaving = members(record("mtl-a1", leaving=True), record("qc-a1"))
        self.assertEqual(self.names(leaving), ["qc-a1"])
        for age_s, count, complete in (
            (0.0, 6, True),
            (2.0, 6, False),
            (6.0, 0, False),
        ):
            with self.subTest(age_s=age_s):
                state = members(*ALL, age_s=age_s)
                answer = rank_hosts(state, CALLER, NOW_S, INPUTS)
                self.assertEqual(
                    (len(answer.hosts), answer.complete), (count, complete)
                )

    def test_size(self) -> None:
        """Guards against answers that grow with the fleet."""
        many = [record(f"mtl-a{i}") for i in range(520)]
        self.assertEqual(len(self.names(members(*many))), 24)

    def test_unknown_caller(self) -> None:
        """Guards against a preference among hosts if the caller's region is unknown."""
        answer = rank_hosts(members(*ALL), LookupRequest(), NOW_S, INPUTS)
        self.assertEqual({host.weight for host in answer.hosts}, {100})

    def test_cached_answers(self) -> None:
        """Guards against cached answers that are too old."""
        ranker, state = HostRanker(), members(*ALL, age_s=1.4)
        first = ranker.rank(state, CALLER, NOW_S, INPUTS)
        self.assertIs(ranker.rank(state, CALLER, NOW_S + 0.1, INPUTS), first)
        self.assertFalse(ranker.rank(state, CALLER, NOW_S + 0.3, INPUTS).complete)
        other = LookupRequest("qc", "qc-a", "org")
        self.assertEqual(ranker.rank(state, other, NOW_S, INPUTS).hosts[0].region, "qc")
        fewer = members(*ALL[:1])
        self.assertEqual(len(ranker.rank(fewer, CALLER, NOW_S + 0.6, INPUTS).hosts), 1)


if __name__ == "__main__":
    unittest.main()
