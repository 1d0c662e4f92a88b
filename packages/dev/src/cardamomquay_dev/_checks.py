"""Checks the records of callers and upstreams after a run."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay_dev._fleet import TENANTS

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomquay_dev._callers import Sent

# Non-repeatable requests during the store outage, and after a possible run. Refusals
# by limit are needed only for organisations above their rate.
NEEDED_REASONS = frozenset({"store_unavailable", "outcome_unknown"})
PREFIX_MIN = 20
LIMIT_REASONS = frozenset({"limit_exceeded", "quota_unavailable"})


@dataclass(frozen=True, slots=True)
class RunRecord:
    """A request that an upstream ran; `base_id` is the same for all attempts."""

    upstream: str
    pool: str
    attempt_id: str
    organisation: str
    started_s: float
    key_seen: bool
    answer_bytes: int
    answer_digest: str

    @property
    def base_id(self) -> str:
        """Request id without the number of the attempt."""
        return self.attempt_id.rpartition(".")[0]


def read_runs(document: Any) -> list[RunRecord]:
    """Return the runs of an upstreams' stand-in."""
    return [
        RunRecord(run[0], run[1], run[2], run[3], run[5], run[7], run[8], run[9])
        for run in document["runs"]
    ]


def check_requests(sent: Sequence[Sent]) -> dict[str, Any]:
    """Count what callers got."""
    refused: Counter[str] = Counter()
    answered = lost = mismatched = without_need = 0
    above_rate = {t.name for t in TENANTS if t.offered_per_s > t.rate_per_s}
    for request in sent:
        last = request.last
        if last.answered:
            answered += 1
            mismatched += last.mismatched
        elif last.status:
            refused[last.reason] += 1
            needed = last.reason in NEEDED_REASONS or (
                last.reason in LIMIT_REASONS and request.organisation in above_rate
            )
            without_need += not needed
        else:
            lost += 1
    return {
        "sent": len(sent),
        "answered": answered,
        "refused": dict(refused),
        "refused_without_need": without_need,
        "lost": lost,
        "mismatched": mismatched,
    }


def check_non_repeatable(
    sent: Sequence[Sent], runs: Sequence[RunRecord]
) -> dict[str, int]:
    """Count runs of requests that may run at most once."""
    times = Counter(run.base_id for run in runs)
    once = [request for request in sent if not request.repeatable]
    return {
        "sent": len(once),
        "ran_once": sum(times[r.request_id] == 1 for r in once),
        "ran_twice": sum(times[r.request_id] > 1 for r in once),
        "refused_but_ran": refused_but_ran(sent, runs),
        "unknown": sum(r.last.reason == "outcome_unknown" for r in once),
    }


def refused_but_ran(sent: Sequence[Sent], runs: Sequence[RunRecord]) -> int:
    """Count attempts that were refused as not run and ran all the same."""
    ran = {run.attempt_id for run in runs}
    return sum(
        attempt.not_run and attempt.attempt_id in ran
        for request in sent
        for attempt in request.attempts
    )


def check_limits(
    sent: Sequence[Sent], runs: Sequence[RunRecord], seconds: float
) -> list[dict[str, Any]]:
    """Compare what ran of each organisation with its entitlement."""
    starts: defaultdict[str, list[float]] = defaultdict(list)
    for run in runs:
        starts[run.organisation].append(run.started_s)
    by_tenant: defaultdict[str, list[Sent]] = defaultdict(list)
    for request in sent:
        by_tenant[request.organisation].append(request)
    rows = []
    for tenant in TENANTS:
        times = sorted(starts[tenant.name])
        refused = sum(
            request.last.reason in LIMIT_REASONS for request in by_tenant[tenant.name]
        )
        within = tenant.offered_per_s <= tenant.rate_per_s
        rows.append(
            {
                "organisation": tenant.name,
                "rate_per_s": tenant.rate_per_s,
                "burst": tenant.burst,
                "offered": len(by_tenant[tenant.name]),
                "ran": len(times),
                "bound": round(tenant.rate_per_s * seconds + tenant.burst, 1),
                "largest_excess": round(
                    largest_excess(times, tenant.rate_per_s, tenant.burst), 2
                ),
                "wrongly_refused": refused if within else 0,
                "refused_by_limit": refused,
            }
        )
    return rows


def check_move(
    runs: Sequence[RunRecord], old_pool: str, new_pool: str, started_s: float
) -> dict[str, float]:
    """Return what a new version received.

    Parameters
    ----------
    runs : sequence of RunRecord
    old_pool, new_pool : str
    started_s : float
        Wall time at which the move was asked for.

    Returns
    -------
    dict
        The largest share of the new version among the requests since `started_s`,
        over all prefixes of at least 20, and the times of its first and last run.
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
        if count >= PREFIX_MIN:
            largest = max(largest, new / count)
    times = [time_s for time_s, is_new in ordered if is_new]
    return {
        "largest_share": round(largest, 4),
        "runs": len(times),
        "first_run_s": min(times, default=-1.0),
        "last_run_s": max(times, default=-1.0),
    }


def check_regions(
    runs: Sequence[RunRecord], regions: Mapping[str, str], capacity_per_s: float
) -> list[dict[str, Any]]:
    """Return the busiest second of each region.

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


def check_links(
    sent: Sequence[Sent],
    runs: Sequence[RunRecord],
    regions: Mapping[str, str],
    host_regions: Mapping[str, str],
    caps: Mapping[tuple[str, str], float],
) -> list[dict[str, Any]]:
    """Return the busiest second of each link in bytes of answers.

    The host that an attempt went to comes from the caller's record and the upstream
    that ran it from the upstream's.

    Parameters
    ----------
    sent : sequence of Sent
    runs : sequence of RunRecord
    regions : mapping
        Region of each upstream.
    host_regions : mapping
        Region of each host's address.
    caps : mapping
        Cap in bytes/s of each pair of regions; 0 for a pair without a link.
    """
    hosts = {a.attempt_id: a.host for request in sent for a in request.attempts}
    counts: Counter[tuple[tuple[str, str], int]] = Counter()
    for run in runs:
        host = hosts.get(run.attempt_id)
        if host is None:
            continue
        link = (regions[run.upstream], host_regions[host])
        if link[0] != link[1]:
            counts[link, int(run.started_s)] += run.answer_bytes
    used = {link for link, _ in counts}
    return [
        {
            "from": link[0],
            "to": link[1],
            "cap_bytes_per_s": caps.get(link, 0.0),
            "peak_bytes_per_s": _peak(counts, link),
        }
        for link in sorted(used | set(caps))
    ]


def _peak(counts: Counter[tuple[Any, int]], name: Any) -> int:
    return max((n for (key, _), n in counts.items() if key == name), default=0)


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
    # The level of a full bucket that each run drains by one: the bound is exceeded
    # by as much as the level falls below zero.
    level = burst
    last = times[0] if times else 0.0
    for time_s in times:
        level = min(burst, level + (time_s - last) * rate_per_s) - 1.0
        last = time_s
        worst = max(worst, -level)
    return worst
