from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any

from cardamomquay_dev._callers import Attempt
from cardamomquay_dev._callers import RequestRecord
from cardamomquay_dev._checks import RunRecord
from cardamomquay_dev._fleet import KURVEHAENG
from cardamomquay_dev._recovery_cases import Edit
from cardamomquay_dev._recovery_cases import ObservedVersion
from cardamomquay_dev._recovery_cases import PlannedStop
from cardamomquay_dev._recovery_cases import Timeline
from cardamomquay_dev.measure_recovery import report_case

HOST = "127.0.0.1:1"
ORGANISATION = "garden-firm"
EDIT = Edit(KURVEHAENG, 0, 2, 4.5, 10.0)


def make_attempt(number: int = 1, **changes: Any) -> Attempt:
    attempt = Attempt(f"r{number}.0", HOST, 11.0, 11.1, status=200, answered=True)
    attempt.answer_digest = f"r{number}"
    for name, value in changes.items():
        setattr(attempt, name, value)
    return attempt


def make_request(*attempts: Attempt) -> RequestRecord:
    request_id = attempts[0].attempt_id.partition(".")[0]
    return RequestRecord(request_id, ORGANISATION, "pledges", False, list(attempts))


def make_run(attempt_id: str = "r1.0", started_s: float = 11.0) -> RunRecord:
    digest = attempt_id.partition(".")[0]
    return RunRecord(
        "u", "pledges", attempt_id, ORGANISATION, started_s, False, 9, digest
    )


def make_timeline(**changes: Any) -> Timeline:
    result = Timeline(
        fault_s=5.0,
        restored_s=10.0,
        edits=[EDIT],
        observed_versions=[ObservedVersion("h", 9.0, 1), ObservedVersion("h", 11.0, 2)],
        final_timeouts_s={KURVEHAENG: 4.5},
    )
    for name, value in changes.items():
        setattr(result, name, value)
    return result


def broken_guarantees(
    requests: list[RequestRecord],
    runs: list[RunRecord],
    timeline: Timeline | None = None,
) -> list[str]:
    report = report_case("pause", requests, runs, timeline or make_timeline(), 0.0)
    return [name for name, value in report["verdict"].items() if value == "broken"]


class VerdictTest(unittest.TestCase):
    def test_nothing_broken(self) -> None:
        self.assertEqual(
            broken_guarantees([make_request(make_attempt())], [make_run()]), []
        )

    def test_each_guarantee(self) -> None:
        """Guards against a verdict that overlooks a broken guarantee."""
        refused = make_attempt(answered=False, status=503, not_run=True, reason="x")
        cut = make_attempt(answered=False, status=0, reason="no_answer")
        stop = PlannedStop(HOST, 11.05, 12.0)
        observed_versions = [ObservedVersion("h", 15.0, 1)]
        cases: dict[str, tuple[Any, ...]] = {
            "G4": ([], [make_run(f"r{n}.0") for n in range(25)]),
            "G6": ([make_request(make_attempt(answer_digest="other"))], [make_run()]),
            "G7": ([make_request(refused)], [make_run()]),
            "G8": ([make_request(make_attempt())], [make_run(), make_run("r1.1")]),
            "G10": ([make_request(cut)], [], make_timeline(planned_stops=[stop])),
            "G11 late": ([], [], make_timeline(observed_versions=observed_versions)),
            "G11 reverted": (
                [],
                [],
                make_timeline(
                    observed_versions=[
                        ObservedVersion("h", 8.0, 2),
                        ObservedVersion("h", 9.0, 1),
                    ]
                ),
            ),
            "G11 overwritten": (
                [],
                [],
                make_timeline(final_timeouts_s={KURVEHAENG: 5.0}),
            ),
            "G11 same": (
                [],
                [],
                make_timeline(edits=[EDIT, replace(EDIT, ended_s=9.0)]),
            ),
            "G11 none": ([], [], make_timeline(edits=[])),
        }
        for name, case in cases.items():
            with self.subTest(name):
                self.assertEqual(broken_guarantees(*case), [name.partition(" ")[0]])

    def test_refusals_without_need(self) -> None:
        """Guards against needed refusals that count towards the recovery time."""
        requests = [
            make_request(
                make_attempt(
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
        timeline = make_timeline(outages=[(8.0, 10.0)])
        recovery = report_case("pause", requests, [], timeline, 0.0)["recovery"]
        self.assertEqual(recovery["unneeded_end_s"], 3.0)
        self.assertEqual(recovery["unneeded"], {"store_unavailable": 1, "not_ready": 1})
        self.assertEqual(recovery["unneeded_before_fault"], 1)

    def test_refusals_by_limit(self) -> None:
        """Guards against refusals by limit that count as unneeded during a burst.

        Without a burst, or without a lender, they are unneeded.
        """
        cases = {  # reason, number of simultaneous requests at burst 24, unneeded
            "alone": ("limit_exceeded", 1, {"limit_exceeded": 1}),
            "in a burst": ("limit_exceeded", 30, {}),
            "no lender": ("quota_unavailable", 30, {"quota_unavailable": 1}),
        }
        for name, (reason, count, expected) in cases.items():
            with self.subTest(name):
                requests = [
                    make_request(make_attempt(number)) for number in range(1, count)
                ]
                requests.append(
                    make_request(make_attempt(0, answered=False, reason=reason))
                )
                for request in requests:
                    request.organisation = "swing-sag"
                recovery = report_case("pause", requests, [], make_timeline(), 0.0)
                self.assertEqual(recovery["recovery"]["unneeded"], expected)


if __name__ == "__main__":
    unittest.main()
