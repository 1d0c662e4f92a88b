"""Reports of hosts, and what they add up to for each move."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.moves._evidence import Evidence
from cardamomquay.moves._evidence import Recent
from cardamomquay.moves._evidence import WarmUp
from cardamomquay.moves._windows import BUCKET_COUNT
from cardamomquay.moves._windows import NOTHING
from cardamomquay.moves._windows import HostReport
from cardamomquay.moves._windows import Totals

if TYPE_CHECKING:
    from cardamomquay.moves._judge import Judgement
    from cardamomquay.moves._rows import Move

# Hosts apply a step up to a read interval after its commit. Requests from before
# say nothing about the new share.
SETTLE_S = 1.0
# A host that has not reported for this time counts as missing.
REPORT_FRESH_S = 2.0


@dataclass(frozen=True, slots=True)
class HeardReport:
    """A host's newest report and when it was taken, on this host's clock."""

    incarnation: str
    taken_at_s: float
    report: HostReport


@dataclass(frozen=True, slots=True)
class Track:
    """What one host has collected about one move.

    Parameters
    ----------
    identity : tuple of str
        Move id and both pools.
    fleet, own : Evidence
        From all hosts' reports, and from this host's own.
    share_percent : float
    step_at_s : float
        When this host saw the share change.
    """

    identity: tuple[str, str, str]
    fleet: Evidence
    own: Evidence
    share_percent: float
    step_at_s: float

    def with_share(self, share_percent: float, now_s: float) -> Track:
        """Start a new proof if the share has changed."""
        if share_percent == self.share_percent:
            return self
        return replace(
            self,
            fleet=self.fleet.restarted(),
            share_percent=share_percent,
            step_at_s=now_s,
        )

    def add(
        self, route: str, before: HeardReport, after: HeardReport, is_own: bool
    ) -> Track:
        """Add what a host saw between two of its reports."""
        _, from_pool, to_pool = self.identity
        new = _added(route, to_pool, before, after)
        old = _added(route, from_pool, before, after)
        if new.count == 0 and old.count == 0:
            return self
        settled = before.taken_at_s >= self.step_at_s + SETTLE_S
        track = replace(self, fleet=self.fleet.add(new, old, settled))
        return replace(track, own=self.own.add(new, old)) if is_own else track


def identity_of(move: Move) -> tuple[str, str, str]:
    """Return what tells a move from others of its route."""
    return move.move_id, move.from_pool, move.to_pool


def begin_track(move: Move, now_s: float) -> Track:
    """Return a track that takes over the figures of the move's row."""
    evidence = Evidence()
    try:
        old = move.figures["old"]
        buckets = tuple(float(b) for b in old["buckets"])
        if len(buckets) == BUCKET_COUNT:
            recent = Recent(float(old["count"]), float(old["errors"]), buckets)
            warm_up = WarmUp(over=move.figures["warm_up_over"] is True)
            evidence = Evidence(old=recent, warm_up=warm_up)
    except (KeyError, TypeError, ValueError):
        # The first rows of a move have no figures yet.
        evidence = Evidence()
    return Track(identity_of(move), evidence, Evidence(), move.share_percent, now_s)


def figures_of(track: Track | None, judgement: Judgement) -> dict[str, Any]:
    """Return the figures that a step's row holds for operators and successors."""
    if track is None:
        return {}
    evidence = track.fleet
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


def _added(route: str, pool: str, before: HeardReport, after: HeardReport) -> Totals:
    newer = after.report.totals.get((route, pool), NOTHING)
    return newer.since(before.report.totals.get((route, pool), NOTHING))
