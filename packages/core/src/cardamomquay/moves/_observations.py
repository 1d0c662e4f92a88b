"""Collects the evidence about each move from the reports of hosts."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.moves._counters import BUCKET_COUNT
from cardamomquay.moves._counters import NO_REQUESTS
from cardamomquay.moves._counters import HostReport
from cardamomquay.moves._counters import RequestTotals
from cardamomquay.moves._evidence import DecayedTotals
from cardamomquay.moves._evidence import Evidence
from cardamomquay.moves._evidence import WarmUp

if TYPE_CHECKING:
    from cardamomquay.moves._judge import Judgement
    from cardamomquay.moves._rows import Move

# Reports prove a version good at a new share only if their interval began at least this
# long after this host saw the share. Other hosts apply a step up to one read interval
# after its commit, so earlier requests are no evidence for the new share.
SHARE_SETTLE_S = 1.0
# A host whose last report is older counts as not reporting.
REPORT_MAX_AGE_S = 2.0


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """The newest report of a host, and when it was taken on this host's clock."""

    incarnation: str
    taken_at_s: float
    report: HostReport


@dataclass(frozen=True, slots=True)
class MoveObservations:
    """Evidence that this host has collected about one move.

    Parameters
    ----------
    move_identity : tuple of str
        Move id, old pool and new pool.
    fleet, local : Evidence
        From the reports of all hosts, and from those of this host only.
    share_percent : float
        Current share of the new pool.
    share_since_s : float
        When this host first saw the current share.
    """

    move_identity: tuple[str, str, str]
    fleet: Evidence
    local: Evidence
    share_percent: float
    share_since_s: float

    def with_share(self, share_percent: float, now_s: float) -> MoveObservations:
        """Restart the proof that the version is good if the share has changed."""
        if share_percent == self.share_percent:
            return self
        return replace(
            self,
            fleet=self.fleet.with_proof_restarted(),
            share_percent=share_percent,
            share_since_s=now_s,
        )

    def add(
        self, route: str, before: ReceivedReport, after: ReceivedReport, is_own: bool
    ) -> MoveObservations:
        """Add the requests that a host counted between two of its reports."""
        _, from_pool, to_pool = self.move_identity
        new = _requests_between(route, to_pool, before, after)
        old = _requests_between(route, from_pool, before, after)
        if new.count == 0 and old.count == 0:
            return self
        settled = before.taken_at_s >= self.share_since_s + SHARE_SETTLE_S
        observed = replace(self, fleet=self.fleet.add(new, old, settled))
        return replace(observed, local=self.local.add(new, old)) if is_own else observed


def move_identity_of(move: Move) -> tuple[str, str, str]:
    """Return what distinguishes a move from other moves of its route."""
    return move.move_id, move.from_pool, move.to_pool


def begin_observations(move: Move, now_s: float) -> MoveObservations:
    """Start observing a move, with the figures that its row holds."""
    evidence = Evidence()
    try:
        old = move.figures["old"]
        buckets = tuple(float(b) for b in old["buckets"])
        if len(buckets) == BUCKET_COUNT:
            old_totals = DecayedTotals(
                float(old["count"]), float(old["errors"]), buckets
            )
            warm_up = WarmUp(over=move.figures["warm_up_over"] is True)
            evidence = Evidence(old=old_totals, warm_up=warm_up)
    except (KeyError, TypeError, ValueError):
        # The first row of a move has no figures yet.
        evidence = Evidence()
    return MoveObservations(
        move_identity_of(move), evidence, Evidence(), move.share_percent, now_s
    )


def figures_of(
    observed: MoveObservations | None, judgement: Judgement
) -> dict[str, Any]:
    """Return the figures to store in the row, for operators and later controllers."""
    if observed is None:
        return {}
    evidence = observed.fleet
    return {
        "verdict": judgement.verdict.value,
        "confidence": round(judgement.confidence, 6),
        "new_count": evidence.new.count,
        "new_errors": evidence.new.errors,
        "warm_up_over": evidence.warm_up.over,
        "old": {
            "count": round(evidence.old.count, 2),
            "errors": round(evidence.old.errors, 3),
            "buckets": [round(b, 2) for b in evidence.old.buckets],
        },
    }


def _requests_between(
    route: str, pool: str, before: ReceivedReport, after: ReceivedReport
) -> RequestTotals:
    newer = after.report.totals.get((route, pool), NO_REQUESTS)
    return newer.since(before.report.totals.get((route, pool), NO_REQUESTS))
