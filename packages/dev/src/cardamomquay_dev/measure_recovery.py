"""Measures a small fleet's recovery from faults by callers' and upstreams' records."""

from __future__ import annotations

import json
import sys
import tempfile
import threading
import time
from collections import Counter
from collections import defaultdict
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from absl import app
from absl import flags

from cardamomquay import history
from cardamomquay_dev import _checks
from cardamomquay_dev._callers import OrganisationCallers
from cardamomquay_dev._fleet import ORGANISATIONS
from cardamomquay_dev._fleet import REGIONS
from cardamomquay_dev._fleet import SERVICES
from cardamomquay_dev._fleet import plan_fleet
from cardamomquay_dev._http import get_json
from cardamomquay_dev._processes import running_fleet
from cardamomquay_dev._recovery_cases import CASES
from cardamomquay_dev._recovery_cases import EXIT_ACCEPTED
from cardamomquay_dev._recovery_cases import EXIT_CONFLICT
from cardamomquay_dev._recovery_cases import EXIT_UNSETTLED
from cardamomquay_dev._recovery_cases import RecoveryCase

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomquay_dev._callers import RequestRecord
    from cardamomquay_dev._recovery_cases import Timeline

SEED = flags.DEFINE_integer("recovery_seed", 20261204, "Seed of the callers.")
BASE_PORT = flags.DEFINE_integer(
    "recovery_base_port", 28000, "First of about 200 ports."
)
LOGS = flags.DEFINE_string(
    "recovery_logs", "", "Directory that keeps settings and logs."
)
# A case takes 14 s besides its fault. The eight planned stops of ``replace``, one after
# the other, take 6 s or more each, so over a minute with the restarts.
TRAFFIC_S = {
    "pause": 22.0,
    "replace": 80.0,
    "kill_all": 20.0,
    "kill_all_store_down": 22.0,
    "long_outage": 25.0,
    "kill_in_outage": 23.0,
    "race_edits": 22.0,
}
CONFIG_BOUND_S = 4.0
# Upstreams have recorded the last requests after this time.
SETTLE_S = 1.0
# Callers may get refusals for this long after the store is up again: daemons read it
# every 0.5 s, and callers retry.
REFUSALS_AFTER_OUTAGE_S = 1.0
# A refusal for this reason is needed above the rate. One for quota_unavailable is never
# needed: no quota is known, no lender answered in time, or the token has expired.
LIMIT_EXCEEDED = "limit_exceeded"
# Tokens lent to a host that does not use them are missing elsewhere for this long.
UNUSED_TOKENS_LENT_S = 1.25
ORGANISATIONS_ABOVE_RATE = frozenset(
    organisation.name
    for organisation in ORGANISATIONS
    if organisation.offered_per_s > organisation.rate_per_s
)
NON_REPEATABLE_POOLS = frozenset(
    service.pool for service in SERVICES if not service.repeatable
)


def measure_recovery(seed: int, base_port: int = 28000) -> dict[str, Any]:
    """Run all cases, each on a fleet of its own.

    Parameters
    ----------
    seed : int
    base_port : int, default=28000
        First of about 200 ports.

    Returns
    -------
    dict
        The report of each case by its name.
    """
    return {name: measure_case(name, seed, base_port) for name in CASES}


def measure_case(
    name: str, seed: int, base_port: int, logs: Path | None = None
) -> dict[str, Any]:
    """Run one case and return its report.

    Parameters
    ----------
    name : str
        One of `CASES`.
    seed, base_port : int
    logs : Path, optional
        Directory that keeps settings and logs; a temporary one by default.

    Returns
    -------
    dict
    """
    with tempfile.TemporaryDirectory(prefix="cardamomquay-") as temporary:
        fleet = plan_fleet(logs or Path(temporary), base_port)
        with running_fleet(fleet) as processes:
            case = RecoveryCase(name, fleet, processes)
            all_callers = [
                OrganisationCallers(
                    fleet, organisation, REGIONS[organisation.owner][number % 3], seed
                )
                for number, organisation in enumerate(ORGANISATIONS)
            ]
            started_s = time.time()
            threads = [
                threading.Thread(target=callers.run, args=(TRAFFIC_S[name],))
                for callers in all_callers
            ]
            threads.append(threading.Thread(target=case.run))
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            time.sleep(SETTLE_S)
            document = get_json(f"http://{fleet.upstream_control_address}/control/runs")
    requests = [request for callers in all_callers for request in callers.requests]
    runs = _checks.read_runs(document)
    return report_case(name, requests, runs, case.timeline, started_s)


def report_case(
    name: str,
    requests: Sequence[RequestRecord],
    runs: Sequence[_checks.RunRecord],
    timeline: Timeline,
    started_s: float,
) -> dict[str, Any]:
    """Return the figures of a case and a verdict on each guarantee."""
    non_repeatable = _checks.summarise_non_repeatable(requests, runs)
    request_counts = _checks.summarise_requests(requests)
    del request_counts["refused"], request_counts["refused_without_need"]
    send_records = [record for request in requests for record in _send_records(request)]
    run_records = [_run_record(run) for run in runs]
    limits = _checks.summarise_limits(requests, runs, time.time() - started_s)
    report: dict[str, Any] = {
        "case": name,
        "requests": request_counts,
        "lost_unreachable": sum(_is_unreachable(request) for request in requests),
        "refused": _refusals(requests, started_s),
        "non_repeatable": non_repeatable,
        "largest_excess": {
            row["organisation"]: row["largest_excess"] for row in limits
        },
        "rate_violations": sum(
            len(
                history.check_rate_bound(
                    [
                        run
                        for run in run_records
                        if run.organisation == organisation.name
                    ],
                    organisation.rate_per_s,
                    organisation.burst,
                )
            )
            for organisation in ORGANISATIONS
        ),
        "answer_violations": _violation_texts(
            history.check_answer_integrity(send_records, run_records)
        ),
        "not_run_violations": _violation_texts(
            history.check_not_run_answers(send_records, run_records)
        ),
        "ran_twice": _violation_texts(history.check_at_most_once(run_records)),
        "cut_by_planned_stops": _count_cut_requests(requests, timeline),
        "planned_stops": len(timeline.planned_stops),
        "recovery": _recovery(requests, timeline),
        "configuration": _configuration(timeline),
        "failures": timeline.failures,
    }
    report["verdict"] = _verdict(report)
    return report


def _send_records(request: RequestRecord) -> list[history.SendRecord]:
    key = None if request.repeatable else request.request_id
    return [
        history.SendRecord(
            request_id=attempt.attempt_id,
            organisation=request.organisation,
            idempotency_key=key,
            status=attempt.status or None,
            not_run=attempt.not_run,
            from_upstream=attempt.answered,
            replayed=attempt.replayed,
            answer_digest=attempt.answer_digest,
        )
        for attempt in request.attempts
    ]


def _run_record(run: _checks.RunRecord) -> history.RunRecord:
    return history.RunRecord(
        request_id=run.attempt_id,
        organisation=run.organisation,
        upstream=run.upstream,
        started_s=run.started_s,
        idempotency_key=run.request_id if run.pool in NON_REPEATABLE_POOLS else None,
        answer_digest=run.answer_digest,
    )


def _violation_texts(violations: Sequence[history.Violation]) -> list[str]:
    return [repr(violation) for violation in violations]


def _is_unreachable(request: RequestRecord) -> bool:
    """Whether every connection was refused, so that no attempt was sent."""
    return all(attempt.reason == "connection_refused" for attempt in request.attempts)


def _refusals(
    requests: Sequence[RequestRecord], started_s: float
) -> dict[str, dict[str, float]]:
    """Return count and times, since the start, of the final refusals of each reason.

    `seconds` is the number of different seconds in which there was one.
    """
    times: defaultdict[str, list[float]] = defaultdict(list)
    for request in requests:
        final_attempt = request.final_attempt
        if final_attempt.status and not final_attempt.answered:
            times[final_attempt.reason].append(final_attempt.ended_s - started_s)
    return {
        reason: {
            "count": len(found),
            "first_s": round(min(found), 2),
            "last_s": round(max(found), 2),
            "seconds": len({int(at_s) for at_s in found}),
        }
        for reason, found in times.items()
    }


def _count_cut_requests(requests: Sequence[RequestRecord], timeline: Timeline) -> int:
    """Count attempts that a planned stop ended without an answer."""
    return sum(
        attempt.reason == "no_answer"
        and attempt.host == stop.address
        and attempt.ended_s >= stop.started_s
        and attempt.sent_s <= stop.ended_s
        for stop in timeline.planned_stops
        for request in requests
        for attempt in request.attempts
    )


def _recovery(requests: Sequence[RequestRecord], timeline: Timeline) -> dict[str, Any]:
    """Return when callers are served again, in seconds from the end of the fault.

    `unneeded` counts the requests, by reason, that ended after the start of the fault
    without an answer or a needed refusal; `unneeded_end_s` is the time of the last one.
    """
    restored_s = timeline.restored_s
    times_above_rate_s = _times_above_rate_s(requests)
    answers = [
        attempt.ended_s - restored_s
        for request in requests
        for attempt in request.attempts
        if attempt.answered and attempt.sent_s >= restored_s
    ]
    unneeded = [
        request.final_attempt
        for request in requests
        if not request.final_attempt.answered
        and not _is_needed_refusal(request, timeline, times_above_rate_s)
    ]
    after = [attempt for attempt in unneeded if attempt.ended_s >= timeline.fault_s]
    ends = [attempt.ended_s - restored_s for attempt in after]
    return {
        "fault_lasted_s": round(restored_s - timeline.fault_s, 2),
        "first_answer_s": round(min(answers, default=-1.0), 2),
        "unneeded_end_s": round(max(ends, default=0.0), 2),
        "unneeded": dict(Counter(attempt.reason for attempt in after)),
        "unneeded_before_fault": len(unneeded) - len(after),
    }


def _times_above_rate_s(requests: Sequence[RequestRecord]) -> dict[str, list[float]]:
    """Return, by organisation, when callers sent more than rate and burst allow.

    After a fault, callers send the requests that it delayed all at the same time. One
    token bucket for each organisation decides what the limit allows. Organisations in
    `ORGANISATIONS_ABOVE_RATE` exceed it all the time.
    """
    sending_times: defaultdict[str, list[float]] = defaultdict(list)
    for request in requests:
        sending_times[request.organisation] += [
            attempt.sent_s
            for attempt in request.attempts
            if attempt.answered or attempt.reason in {"no_answer", LIMIT_EXCEEDED}
        ]
    found: dict[str, list[float]] = {}
    for organisation in ORGANISATIONS:
        above = found[organisation.name] = []
        level = float(organisation.burst)
        last_s = 0.0
        for sent_s in sorted(sending_times[organisation.name]):
            level += (sent_s - last_s) * organisation.rate_per_s
            level = min(float(organisation.burst), level)
            last_s = sent_s
            if level >= 1.0:
                level -= 1.0
            else:
                above.append(sent_s)
    return found


def _is_needed_refusal(
    request: RequestRecord,
    timeline: Timeline,
    times_above_rate_s: Mapping[str, Sequence[float]],
) -> bool:
    final_attempt = request.final_attempt
    if final_attempt.reason == LIMIT_EXCEEDED:
        return request.organisation in ORGANISATIONS_ABOVE_RATE or any(
            abs(final_attempt.sent_s - above_rate_s) <= UNUSED_TOKENS_LENT_S
            for above_rate_s in times_above_rate_s[request.organisation]
        )
    if final_attempt.reason == "store_unavailable":
        return any(
            down_s <= final_attempt.ended_s
            and final_attempt.sent_s <= up_s + REFUSALS_AFTER_OUTAGE_S
            for down_s, up_s in timeline.outages
        )
    return False


def _configuration(timeline: Timeline) -> dict[str, Any]:
    """Compare the results of operators' edits with the versions that hosts showed."""
    accepted = [edit for edit in timeline.edits if edit.exit_code == EXIT_ACCEPTED]
    late = [
        observed.asked_s - edit.ended_s
        for edit in accepted
        for observed in timeline.observed_versions
        if observed.asked_s > edit.ended_s and observed.version < edit.version
    ]
    highest: dict[str, int] = {}
    reverted = 0
    for observed in timeline.observed_versions:
        reverted += observed.version < highest.get(observed.host, 0)
        highest[observed.host] = max(observed.version, highest.get(observed.host, 0))
    overwritten = 0
    for owner, timeout_s in timeline.final_timeouts_s.items():
        own = [edit for edit in accepted if edit.owner == owner]
        if own:
            newest = max(own, key=lambda edit: edit.version)
            possible = {
                edit.timeout_s
                for edit in timeline.edits
                if edit.owner == owner
                and (edit is newest or edit.exit_code == EXIT_UNSETTLED)
            }
            overwritten += timeout_s not in possible
    versions = [edit.version for edit in accepted]
    return {
        "accepted": len(accepted),
        "conflicts": sum(edit.exit_code == EXIT_CONFLICT for edit in timeline.edits),
        "other_codes": [
            edit.exit_code
            for edit in timeline.edits
            if edit.exit_code not in {EXIT_ACCEPTED, EXIT_CONFLICT}
        ],
        "in_force_s": round(max(late, default=0.0), 2),
        "reverted": reverted,
        "overwritten": overwritten,
        "same_version": len(versions) - len(set(versions)),
        "hosts_seen": len(highest),
    }


def _verdict(report: dict[str, Any]) -> dict[str, str]:
    """Judge each guarantee by its bounds in the design page.

    The guarantees have their numbers there: G4 rate limits, G6 integrity of answers, G7
    requests that were reported as not run, G8 at most one run of a non-repeatable
    request, G10 planned stops, G11 configuration edits.
    """
    config = report["configuration"]
    planned_stops = report["planned_stops"]
    held = {
        "G4": max(report["largest_excess"].values()) <= 0
        and report["rate_violations"] == 0,
        "G6": not report["answer_violations"] and report["requests"]["mismatched"] == 0,
        "G7": not report["not_run_violations"],
        "G8": not report["ran_twice"],
        "G10": report["cut_by_planned_stops"] == 0,
        "G11": config["accepted"] > 0
        and config["in_force_s"] <= CONFIG_BOUND_S
        and config["reverted"] + config["overwritten"] + config["same_version"] == 0,
    }
    verdict = {name: "holds" if value else "broken" for name, value in held.items()}
    if not planned_stops:
        verdict["G10"] = "not exercised"
    return verdict


def main(argv: list[str]) -> int:
    """Run the named cases, or all without names, and print a JSON report."""
    names = argv[1:] or list(CASES)
    reports = {}
    for name in names:
        logs = Path(LOGS.value) / name if LOGS.value else None
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
        reports[name] = measure_case(name, SEED.value, BASE_PORT.value, logs)
    print(json.dumps(reports, indent=2))
    all_held = all(
        "broken" not in report["verdict"].values() and not report["failures"]
        for report in reports.values()
    )
    return 0 if all_held else 1


if __name__ == "__main__":
    sys.exit(app.run(main))
