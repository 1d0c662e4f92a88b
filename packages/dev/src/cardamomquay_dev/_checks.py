"""Summarises what callers and upstreams recorded during a run."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay_dev._fleet import ORGANISATIONS

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomquay_dev._callers import RequestRecord

# Reasons of needed refusals, which the rules demand in a run with faults:
# non-repeatable requests are refused during a store outage, and when an earlier attempt
# may have run. Refusals by limit are needed only for organisations above their rate.
NEEDED_REASONS = frozenset({"store_unavailable", "outcome_unknown"})
# Shares over fewer requests vary too much to be compared with a cap.
SHARE_REQUESTS_MIN = 20
LIMIT_REASONS = frozenset({"limit_exceeded", "quota_unavailable"})


@dataclass(frozen=True, slots=True)
class RunRecord:
    """An attempt that an upstream ran, as the upstream recorded it.

    `key_seen` says whether the attempt still contained a caller's key.
    """

    upstream: str
    pool: str
    attempt_id: str
    organisation: str
    started_s: float
    key_seen: bool
    answer_bytes: int
    answer_digest: str

    @property
    def request_id(self) -> str:
        """The request's id, the same for all of its attempts."""
        return self.attempt_id.rpartition(".")[0]


def read_runs(document: Any) -> list[RunRecord]:
    """Return the runs in the ``/control/runs`` document of the upstreams' stand-in."""
    return [
        RunRecord(run[0], run[1], run[2], run[3], run[5], run[7], run[8], run[9])
        for run in document["runs"]
    ]


def summarise_requests(requests: Sequence[RequestRecord]) -> dict[str, Any]:
    """Count requests by the result of their final attempt.

    Lost requests got neither an answer nor a refusal.
    """
    refused: Counter[str] = Counter()
    answered = lost = mismatched = without_need = 0
    above_rate = {
        organisation.name
        for organisation in ORGANISATIONS
        if organisation.offered_per_s > organisation.rate_per_s
    }
    for request in requests:
        final_attempt = request.final_attempt
        if final_attempt.answered:
            answered += 1
            mismatched += final_attempt.mismatched
        elif final_attempt.status:
            refused[final_attempt.reason] += 1
            needed = final_attempt.reason in NEEDED_REASONS or (
                final_attempt.reason in LIMIT_REASONS
                and request.organisation in above_rate
            )
            without_need += not needed
        else:
            lost += 1
    return {
        "sent": len(requests),
        "answered": answered,
        "refused": dict(refused),
        "refused_without_need": without_need,
        "lost": lost,
        "mismatched": mismatched,
    }


def summarise_non_repeatable(
    requests: Sequence[RequestRecord], runs: Sequence[RunRecord]
) -> dict[str, int]:
    """Count the non-repeatable requests by how often they ran."""
    run_counts = Counter(run.request_id for run in runs)
    non_repeatable = [request for request in requests if not request.repeatable]
    return {
        "sent": len(non_repeatable),
        "ran_once": sum(run_counts[r.request_id] == 1 for r in non_repeatable),
        "ran_twice": sum(run_counts[r.request_id] > 1 for r in non_repeatable),
        "refused_but_ran": count_refused_but_ran(requests, runs),
        "unknown": sum(
            r.final_attempt.reason == "outcome_unknown" for r in non_repeatable
        ),
    }


def count_refused_but_ran(
    requests: Sequence[RequestRecord], runs: Sequence[RunRecord]
) -> int:
    """Count attempts that were refused as not run but ran."""
    ran = {run.attempt_id for run in runs}
    return sum(
        attempt.not_run and attempt.attempt_id in ran
        for request in requests
        for attempt in request.attempts
    )


def summarise_limits(
    requests: Sequence[RequestRecord], runs: Sequence[RunRecord], seconds: float
) -> list[dict[str, Any]]:
    """Compare the runs of each organisation with its rate and burst."""
    starts: defaultdict[str, list[float]] = defaultdict(list)
    for run in runs:
        starts[run.organisation].append(run.started_s)
    requests_by_organisation: defaultdict[str, list[RequestRecord]] = defaultdict(list)
    for request in requests:
        requests_by_organisation[request.organisation].append(request)
    rows = []
    for organisation in ORGANISATIONS:
        times = sorted(starts[organisation.name])
        refused = sum(
            request.final_attempt.reason in LIMIT_REASONS
            for request in requests_by_organisation[organisation.name]
        )
        is_within_rate = organisation.offered_per_s <= organisation.rate_per_s
        rows.append(
            {
                "organisation": organisation.name,
                "rate_per_s": organisation.rate_per_s,
                "burst": organisation.burst,
                "offered": len(requests_by_organisation[organisation.name]),
                "ran": len(times),
                "bound": round(
                    organisation.rate_per_s * seconds + organisation.burst, 1
                ),
                "largest_excess": round(
                    largest_excess(times, organisation.rate_per_s, organisation.burst),
                    2,
                ),
                "wrongly_refused": refused if is_within_rate else 0,
                "refused_by_limit": refused,
            }
        )
    return rows


def summarise_move(
    runs: Sequence[RunRecord], old_pool: str, new_pool: str, started_s: float
) -> dict[str, float]:
    """Return the share and the times of the requests that a new version ran.

    Parameters
    ----------
    runs : sequence of RunRecord
    old_pool, new_pool : str
    started_s : float
        Unix time at which the move was requested.

    Returns
    -------
    dict
        The largest share of the new version among the first n requests since
        `started_s`, over all n of at least 20, the number of its runs, and the Unix
        times of its first and last run, -1 without any.
    """
    ordered = sorted(
        (run.started_s, run.pool == new_pool)
        for run in runs
        if run.pool in {old_pool, new_pool} and run.started_s >= started_s
    )
    new = 0
    largest = 0.0
    for count, (_, is_new) in enumerate(ordered, start=1):
        new += is_new
        if count >= SHARE_REQUESTS_MIN:
            largest = max(largest, new / count)
    times = [time_s for time_s, is_new in ordered if is_new]
    return {
        "largest_share": round(largest, 4),
        "runs": len(times),
        "first_run_s": min(times, default=-1.0),
        "last_run_s": max(times, default=-1.0),
    }


def summarise_regions(
    runs: Sequence[RunRecord], regions: Mapping[str, str], capacity_per_s: float
) -> list[dict[str, Any]]:
    """Return the capacity and the busiest second of each region, in requests.

    Parameters
    ----------
    runs : sequence of RunRecord
    regions : mapping
        Region of each upstream.
    capacity_per_s : float
    """
    counts: Counter[tuple[str, int]] = Counter()
    for run in runs:
        counts[regions[run.upstream], int(run.started_s)] += 1
    return [
        {"name": name, "capacity": capacity_per_s, "peak": _peak(counts, name)}
        for name in sorted(set(regions.values()))
    ]


def summarise_links(
    requests: Sequence[RequestRecord],
    runs: Sequence[RunRecord],
    regions: Mapping[str, str],
    host_regions: Mapping[str, str],
    caps: Mapping[tuple[str, str], float],
) -> list[dict[str, Any]]:
    """Return the busiest second of each link between regions, in bytes of answers.

    The caller's record names the host of an attempt, the upstream's record the
    upstream that ran it.

    Parameters
    ----------
    requests : sequence of RequestRecord
    runs : sequence of RunRecord
    regions : mapping
        Region of each upstream.
    host_regions : mapping
        Region of each host's address.
    caps : mapping
        Cap in bytes/s by region of the upstream and region of the host. A pair that is
        missing has no link, and a cap of 0.
    """
    hosts = {
        attempt.attempt_id: attempt.host
        for request in requests
        for attempt in request.attempts
    }
    link_bytes: Counter[tuple[tuple[str, str], int]] = Counter()
    for run in runs:
        host = hosts.get(run.attempt_id)
        if host is None:
            continue
        link = (regions[run.upstream], host_regions[host])
        if link[0] != link[1]:
            link_bytes[link, int(run.started_s)] += run.answer_bytes
    used = {link for link, _ in link_bytes}
    return [
        {
            "from": link[0],
            "to": link[1],
            "cap_bytes_per_s": caps.get(link, 0.0),
            "peak_bytes_per_s": _peak(link_bytes, link),
        }
        for link in sorted(used | set(caps))
    ]


def _peak(totals: Counter[tuple[Any, int]], name: Any) -> int:
    """Return the largest total of a region or link among all seconds."""
    return max((total for (key, _), total in totals.items() if key == name), default=0)


def largest_excess(times: Sequence[float], rate_per_s: float, burst: float) -> float:
    """Return the largest excess of runs over ``rate * t + burst`` in any window.

    Parameters
    ----------
    times : sequence of float
        Sorted start times in seconds.
    rate_per_s, burst : float

    Returns
    -------
    float
        Not positive if the bound holds.
    """
    worst = -burst
    # Simulates a token bucket, full at first, from which each run takes one token even
    # if it is empty: the excess is how far the level falls below zero.
    level = burst
    last_s = times[0] if times else 0.0
    for time_s in times:
        level = min(burst, level + (time_s - last_s) * rate_per_s) - 1.0
        last_s = time_s
        worst = max(worst, -level)
    return worst
