from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any

from cardamomquay_dev._callers import Attempt
from cardamomquay_dev._callers import Sent
from cardamomquay_dev._checks import RunRecord
from cardamomquay_dev._fleet import KURVEHAENG
from cardamomquay_dev._recovery_cases import Edit
from cardamomquay_dev._recovery_cases import Seen
from cardamomquay_dev._recovery_cases import Stop
from cardamomquay_dev._recovery_cases import Timeline
from cardamomquay_dev.measure_recovery import report_case

HOST = "127.0.0.1:1"
ORGANISATION = "garden-firm"
EDIT = Edit(KURVEHAENG, 0, 2, 4.5, 10.0)


def answered(number: int = 1, **changes: Any) -> Attempt:
    attempt = Attempt(f"r{number}.0", HOST, 11.0, 11.1, status=200, answered=True)
    attempt.answer_digest = f"r{number}"
    for name, value in changes.items():
        setattr(attempt, name, value)
    return attempt


def sent(*attempts: Attempt) -> Sent:
    request_id = attempts[0].attempt_id.partition(".")[0]
    return Sent(request_id, ORGANISATION, "pledges", False, list(attempts))


def ran(attempt_id: str = "r1.0", started_s: float = 11.0) -> RunRecord:
    digest = attempt_id.partition(".")[0]
    return RunRecord(
        "u", "pledges", attempt_id, ORGANISATION, started_s, False, 9, digest
    )


def timeline(**changes: Any) -> Timeline:
    kept = Timeline(
        fault_s=5.0,
        restored_s=10.0,
        edits=[EDIT],
        seen=[Seen("h", 9.0, 1), Seen("h", 11.0, 2)],
        routes_at_end={KURVEHAENG: 4.5},
    )
    for name, value in changes.items():
        setattr(kept, name, value)
    return kept


def broken(
    requests: list[Sent], runs: list[RunRecord], line: Timeline | None = None
) -> list[str]:
    report = report_case("pause", requests, runs, line or timeline(), 0.0)
    return [name for name, value in report["verdict"].items() if value == "broken"]


class VerdictTest(unittest.TestCase):
    def test_nothing_broken(self) -> None:
        self.assertEqual(broken([sent(answered())], [ran()]), [])

    def test_each_guarantee(self) -> None:
        """Guards against a verdict that holds whatever the records say."""
        refused = answered(answered=False, status=503, not_run=True, reason="x")
        cut = answered(answered=False, status=0, reason="no_answer")
        stop = Stop(HOST, 11.05, 12.0)
        seen = [Seen("h", 15.0, 1)]
        cases: dict[str, tuple[Any, ...]] = {
            "G4": ([], [ran(f"r{n}.0") for n in range(25)]),
            "G6": ([sent(answered(answer_digest="other"))], [ran()]),
            "G7": ([sent(refused)], [ran()]),
            "G8": ([sent(answered())], [ran(), ran("r1.1")]),
            "G10": ([sent(cut)], [], timeline(stops=[stop])),
            "G11 late": ([], [], timeline(seen=seen)),
            "G11 reverted": (
                [],
                [],
                timeline(seen=[Seen("h", 8.0, 2), Seen("h", 9.0, 1)]),
            ),
            "G11 overwritten": ([], [], timeline(routes_at_end={KURVEHAENG: 5.0})),
            "G11 same": ([], [], timeline(edits=[EDIT, replace(EDIT, ended_s=9.0)])),
            "G11 none": ([], [], timeline(edits=[])),
        }
        for name, case in cases.items():
            with self.subTest(name):
                self.assertEqual(broken(*case), [name.partition(" ")[0]])

    def test_refusals_without_need(self) -> None:
        """Guards against needed refusals that lengthen the measured recovery."""
        requests = [
            sent(
                answered(
                    number,
                    answered=False,
                    status=503,
                    reason=reason,
                    sent_s=ended_s,
                    ended_s=ended_s,
                )
            )
            for number, (reason, ended_s) in enumerate(
                [
                    ("store_unavailable", 9.0),
                    ("store_unavailable", 12.0),
                    ("not_ready", 13.0),
                    ("limit_exceeded", 14.0),
                    ("pool_empty", 4.0),
                ]
            )
        ]
        line = timeline(outages=[(8.0, 10.0)])
        recovery = report_case("pause", requests, [], line, 0.0)["recovery"]
        self.assertEqual(recovery["unneeded_end_s"], 3.0)
        self.assertEqual(recovery["unneeded"], {"store_unavailable": 1, "not_ready": 1})
        self.assertEqual(recovery["unneeded_before_fault"], 1)

    def test_refusals_by_limit(self) -> None:
        """Guards against a limit blamed for a burst, or excused without one."""
        cases = {  # requests of an organisation with burst 24 in the same instant
            "alone": ("limit_exceeded", 1, {"limit_exceeded": 1}),
            "in a burst": ("limit_exceeded", 30, {}),
            "no lender": ("quota_unavailable", 30, {"quota_unavailable": 1}),
        }
        for name, (reason, count, expected) in cases.items():
            with self.subTest(name):
                requests = [sent(answered(number)) for number in range(1, count)]
                requests.append(sent(answered(0, answered=False, reason=reason)))
                for request in requests:
                    request.organisation = "swing-sag"
                recovery = report_case("pause", requests, [], timeline(), 0.0)
                self.assertEqual(recovery["recovery"]["unneeded"], expected)


if __name__ == "__main__":
    unittest.main()
