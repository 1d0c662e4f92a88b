"""Measures how a small fleet recovers, from records of callers and upstreams."""

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
from cardamomquay_dev._callers import Organisation
from cardamomquay_dev._fleet import REGIONS
from cardamomquay_dev._fleet import SERVICES
from cardamomquay_dev._fleet import TENANTS
from cardamomquay_dev._fleet import plan_fleet
from cardamomquay_dev._http import get_json
from cardamomquay_dev._processes import running_fleet
from cardamomquay_dev._recovery_cases import ACCEPTED
from cardamomquay_dev._recovery_cases import CASES
from cardamomquay_dev._recovery_cases import CONFLICTED
from cardamomquay_dev._recovery_cases import UNSETTLED
from cardamomquay_dev._recovery_cases import RecoveryCase

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomquay_dev._callers import Sent
    from cardamomquay_dev._recovery_cases import Timeline

SEED = flags.DEFINE_integer("recovery_seed", 20261204, "Seed of the callers.")
BASE_PORT = flags.DEFINE_integer(
    "recovery_base_port", 28000, "First of about 200 ports."
)
LOGS = flags.DEFINE_string(
    "recovery_logs", "", "Directory that keeps settings and logs."
)
# A case takes 14 s besides its fault. Eight planned stops of 6 s and more one after
# the other take over a minute.
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
# Requests under way at the end of traffic are recorded by then.
SETTLE_S = 1.0
# Answers of the store reach callers this much after it is up again, by the daemons'
# interval of 0.5 s between reads and the callers' retries.
OUTAGE_TAIL_S = 1.0
# Unlike quota_unavailable, which says that no lender answered, and is never needed.
LIMIT_EXCEEDED = "limit_exceeded"
# Tokens that are lent and not used are missing elsewhere for this time.
TOKENS_OUT_S = 1.25
ABOVE_RATE = frozenset(t.name for t in TENANTS if t.offered_per_s > t.rate_per_s)
ONCE_POOLS = frozenset(service.pool for service in SERVICES if not service.repeatable)


def measure_recovery(seed: int, base_port: int = 28000) -> dict[str, Any]:
    """Run all cases, each with a fleet of its own.

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
    """Run one case.

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
            organisations = [
                Organisation(fleet, tenant, REGIONS[tenant.owner][number % 3], seed)
                for number, tenant in enumerate(TENANTS)
            ]
            started_s = time.time()
            threads = [
                threading.Thread(target=organisation.run, args=(TRAFFIC_S[name],))
                for organisation in organisations
            ]
            threads.append(threading.Thread(target=case.run))
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            time.sleep(SETTLE_S)
            document = get_json(f"http://{fleet.upstream_control}/control/runs")
    sent = [sent for organisation in organisations for sent in organisation.sent]
    runs = _checks.read_runs(document)
    return report_case(name, sent, runs, case.timeline, started_s)


def report_case(
    name: str,
    sent: Sequence[Sent],
    runs: Sequence[_checks.RunRecord],
    timeline: Timeline,
    started_s: float,
) -> dict[str, Any]:
    """Return the figures and the verdict of a case from its records."""
    once = _checks.check_non_repeatable(sent, runs)
    requests = _checks.check_requests(sent)
    del requests["refused"], requests["refused_without_need"]
    sends = [record for request in sent for record in _send_records(request)]
    ran = [_run_record(run) for run in runs]
    limits = _checks.check_limits(sent, runs, time.time() - started_s)
    report: dict[str, Any] = {
        "case": name,
        "requests": requests,
        "lost_unreachable": sum(_is_unreachable(request) for request in sent),
        "refused": _refusals(sent, started_s),
        "non_repeatable": once,
        "largest_excess": {
            row["organisation"]: row["largest_excess"] for row in limits
        },
        "rate_violations": sum(
            len(
                history.check_rate_bound(
                    [run for run in ran if run.organisation == tenant.name],
                    tenant.rate_per_s,
                    tenant.burst,
                )
            )
            for tenant in TENANTS
        ),
        "answer_violations": _named(history.check_answer_integrity(sends, ran)),
        "not_run_violations": _named(history.check_not_run_answers(sends, ran)),
        "ran_twice": _named(history.check_at_most_once(ran)),
        "cut_by_planned_stops": _cut(sent, timeline),
        "planned_stops": len(timeline.stops),
        "recovery": _recovery(sent, timeline),
        "configuration": _configuration(timeline),
        "failures": timeline.failures,
    }
    report["verdict"] = _verdict(report)
    return report


def _send_records(request: Sent) -> list[history.SendRecord]:
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
        idempotency_key=run.base_id if run.pool in ONCE_POOLS else None,
        answer_digest=run.answer_digest,
    )


def _named(violations: Sequence[history.Violation]) -> list[str]:
    return [repr(violation) for violation in violations]


def _is_unreachable(request: Sent) -> bool:
    """Whether no host took any attempt, so that nothing was lost on the way."""
    return all(a.reason == "connection_refused" for a in request.attempts)


def _refusals(sent: Sequence[Sent], started_s: float) -> dict[str, dict[str, float]]:
    """Count final refusals by reason, with the times of the first and the last."""
    times: defaultdict[str, list[float]] = defaultdict(list)
    for request in sent:
        last = request.last
        if last.status and not last.answered:
            times[last.reason].append(last.ended_s - started_s)
    return {
        reason: {
            "count": len(found),
            "first_s": round(min(found), 2),
            "last_s": round(max(found), 2),
            "seconds": len({int(at_s) for at_s in found}),
        }
        for reason, found in times.items()
    }


def _cut(sent: Sequence[Sent], timeline: Timeline) -> int:
    """Count attempts that a planned stop ended without an answer."""
    return sum(
        attempt.reason == "no_answer"
        and attempt.host == stop.address
        and attempt.ended_s >= stop.started_s
        and attempt.sent_s <= stop.ended_s
        for stop in timeline.stops
        for request in sent
        for attempt in request.attempts
    )


def _recovery(sent: Sequence[Sent], timeline: Timeline) -> dict[str, Any]:
    """Return seconds from the end of the fault until callers are served again."""
    restored_s = timeline.restored_s
    bursts_s = _bursts_s(sent)
    answers = [
        attempt.ended_s - restored_s
        for request in sent
        for attempt in request.attempts
        if attempt.answered and attempt.sent_s >= restored_s
    ]
    unneeded = [
        request.last
        for request in sent
        if not request.last.answered and not _is_needed(request, timeline, bursts_s)
    ]
    after = [a for a in unneeded if a.ended_s >= timeline.fault_s]
    ends = [attempt.ended_s - restored_s for attempt in after]
    return {
        "fault_lasted_s": round(restored_s - timeline.fault_s, 2),
        "first_answer_s": round(min(answers, default=-1.0), 2),
        "unneeded_end_s": round(max(ends, default=0.0), 2),
        "unneeded": dict(Counter(attempt.reason for attempt in after)),
        "unneeded_before_fault": len(unneeded) - len(after),
    }


def _bursts_s(sent: Sequence[Sent]) -> dict[str, list[float]]:
    """Return when callers asked for more than rate and burst allow, by organisation.

    Callers that were held up send at once what has piled up. A single bucket for each
    organisation decides here what the limit allows; organisations in
    `ABOVE_RATE` are above it all the time.
    """
    asked: defaultdict[str, list[float]] = defaultdict(list)
    for request in sent:
        asked[request.organisation] += [
            attempt.sent_s
            for attempt in request.attempts
            if attempt.answered or attempt.reason in {"no_answer", LIMIT_EXCEEDED}
        ]
    found: dict[str, list[float]] = {}
    for tenant in TENANTS:
        above = found[tenant.name] = []
        level = float(tenant.burst)
        last_s = 0.0
        for sent_s in sorted(asked[tenant.name]):
            level += (sent_s - last_s) * tenant.rate_per_s
            level = min(float(tenant.burst), level)
            last_s = sent_s
            if level >= 1.0:
                level -= 1.0
            else:
                above.append(sent_s)
    return found


def _is_needed(
    request: Sent, timeline: Timeline, bursts_s: Mapping[str, Sequence[float]]
) -> bool:
    last = request.last
    if last.reason == LIMIT_EXCEEDED:
        return request.organisation in ABOVE_RATE or any(
            abs(last.sent_s - burst_s) <= TOKENS_OUT_S
            for burst_s in bursts_s[request.organisation]
        )
    if last.reason == "store_unavailable":
        return any(
            down_s <= last.ended_s and last.sent_s <= up_s + OUTAGE_TAIL_S
            for down_s, up_s in timeline.outages
        )
    return False


def _configuration(timeline: Timeline) -> dict[str, Any]:
    """Compare what operators were told with what hosts showed."""
    accepted = [edit for edit in timeline.edits if edit.code == ACCEPTED]
    late = [
        seen.asked_s - edit.ended_s
        for edit in accepted
        for seen in timeline.seen
        if seen.asked_s > edit.ended_s and seen.version < edit.version
    ]
    highest: dict[str, int] = {}
    reverted = 0
    for seen in timeline.seen:
        reverted += seen.version < highest.get(seen.host, 0)
        highest[seen.host] = max(seen.version, highest.get(seen.host, 0))
    overwritten = 0
    for owner, timeout_s in timeline.routes_at_end.items():
        own = [edit for edit in accepted if edit.owner == owner]
        if own:
            newest = max(own, key=lambda edit: edit.version)
            possible = {
                edit.timeout_s
                for edit in timeline.edits
                if edit.owner == owner and (edit is newest or edit.code == UNSETTLED)
            }
            overwritten += timeout_s not in possible
    versions = [edit.version for edit in accepted]
    return {
        "accepted": len(accepted),
        "conflicts": sum(edit.code == CONFLICTED for edit in timeline.edits),
        "other_codes": [
            edit.code
            for edit in timeline.edits
            if edit.code not in {ACCEPTED, CONFLICTED}
        ],
        "in_force_s": round(max(late, default=0.0), 2),
        "reverted": reverted,
        "overwritten": overwritten,
        "same_version": len(versions) - len(set(versions)),
        "hosts_seen": len(highest),
    }


def _verdict(report: dict[str, Any]) -> dict[str, str]:
    """Judge each guarantee by the bounds of the design page."""
    config = report["configuration"]
    stops = report["planned_stops"]
    kept = {
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
    verdict = {name: "holds" if value else "broken" for name, value in kept.items()}
    if not stops:
        verdict["G10"] = "not exercised"
    return verdict


def main(argv: list[str]) -> int:
    """Run the cases that are named, or all, and print a JSON report."""
    names = argv[1:] or list(CASES)
    reports = {}
    for name in names:
        logs = Path(LOGS.value) / name if LOGS.value else None
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
        reports[name] = measure_case(name, SEED.value, BASE_PORT.value, logs)
    print(json.dumps(reports, indent=2))
    kept = all(
        "broken" not in report["verdict"].values() and not report["failures"]
        for report in reports.values()
    )
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(app.run(main))
