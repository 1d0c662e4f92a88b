"""Health of the upstreams of a pool, judged by real answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.balancing._chooser import ObservedResult

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cardamomquay.balancing._chooser import Observation

EVIDENCE_HALF_LIFE_S = 2.0
# Three failures close together, since a single failure is often the request's own.
EVIDENCE_MIN = 2.5
BAD_ERROR_SHARE = 0.5
EJECTION_MIN_S = 1.0
# A health endpoint may report wrong values. After this time an ejected upstream
# is tried with real requests even if its probes fail.
EJECTION_MAX_S = 16.0
RAMP_START_SHARE = 0.1
RAMP_STEP_S = 1.0
# A ramp that reached its full share without an ejection resets the back-off.
STEADY_AFTER_S = 10.0
PROBE_IDLE_S = 2.0
PROBE_INTERVAL_S = 1.0
LATENCY_WEIGHT = 0.2
FAILED_RESULTS = frozenset(
    {ObservedResult.FAILED, ObservedResult.TIMED_OUT, ObservedResult.UNREACHABLE}
)


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Sum of the observations of an upstream since the report before.

    Parameters
    ----------
    upstream : str
    answered, failed, shed : int
    latency_sum_s : float
        Of the answered requests.
    """

    upstream: str
    answered: int = 0
    failed: int = 0
    shed: int = 0
    latency_sum_s: float = 0.0


@dataclass(slots=True)
class _Record:
    latency_s: float | None = None
    good: float = 0.0
    bad: float = 0.0
    shed: float = 0.0
    decayed_at_s: float = 0.0
    seen_at_s: float = 0.0
    probed_at_s: float = float("-inf")
    ejected_at_s: float | None = None
    ejections: int = 0
    ramp_from_s: float | None = None

    def decay(self, now_s: float) -> None:
        factor = 0.5 ** (max(0.0, now_s - self.decayed_at_s) / EVIDENCE_HALF_LIFE_S)
        self.good *= factor
        self.bad *= factor
        self.shed *= factor
        self.decayed_at_s = max(now_s, self.decayed_at_s)

    def looks_bad(self) -> bool:
        total = self.good + self.bad
        return total >= EVIDENCE_MIN and self.bad / total >= BAD_ERROR_SHARE

    def ejection_s(self) -> float:
        return min(EJECTION_MAX_S, EJECTION_MIN_S * 2.0 ** (self.ejections - 1))


class PassiveHealth:
    """Latency and errors of each upstream of a pool; the caller serialises access.

    An upstream whose recent requests mostly failed is ejected for a time that
    doubles with each ejection. It returns after a good probe, with a ramp. When
    more than half of the pool looks bad, a fault of the measurement is the likelier
    cause: health is then ignored and every upstream is used.

    Load shedding is not a failure: an upstream that sheds is healthy and full.

    Parameters
    ----------
    now_s : float, default=0.0
        Time of the start.
    needs_probe : bool, default=True
        Whether an ejected upstream returns only after a good probe. A borrower of
        slots sends no probes: its lender does, and lends no slot before.
    """

    def __init__(self, now_s: float = 0.0, needs_probe: bool = True) -> None:
        self._needs_probe = needs_probe
        self._records: dict[str, _Record] = {}
        self._started_at_s = now_s
        self._draining: frozenset[str] = frozenset()

    def set_upstreams(
        self, names: Iterable[str], draining: Iterable[str], now_s: float
    ) -> None:
        """Apply the pool's list.

        Upstreams of the first list count as warm, since a daemon that starts knows
        nothing of them and a ramp of the whole pool would refuse most requests.
        Upstreams that appear later, or return from draining, get a ramp.

        Parameters
        ----------
        names, draining : iterable of str
            All upstreams, and those among them that get no new work.
        now_s : float
        """
        first = not self._records
        listed = set(names)
        for name in self._records.keys() - listed:
            del self._records[name]
        for name in sorted(listed - self._records.keys()):
            ramp = None if first else now_s
            self._records[name] = _Record(
                decayed_at_s=now_s, seen_at_s=now_s, ramp_from_s=ramp
            )
        now_draining = frozenset(draining)
        for name in (self._draining - now_draining) & listed:
            self._records[name].ramp_from_s = now_s
        self._draining = now_draining

    def observe(self, name: str, observation: Observation, now_s: float) -> None:
        """Learn from one request."""
        result = observation.result
        if result is ObservedResult.NOT_SENT:
            return
        answered = result is ObservedResult.ANSWERED
        self.apply_report(
            UpstreamReport(
                name,
                answered=int(answered),
                failed=int(result in FAILED_RESULTS),
                shed=int(result is ObservedResult.SHED),
                latency_sum_s=observation.latency_s if answered else 0.0,
            ),
            now_s,
        )

    def apply_report(self, report: UpstreamReport, now_s: float) -> None:
        """Learn from several requests.

        Parameters
        ----------
        report : UpstreamReport
        now_s : float
        """
        record = self._records.get(report.upstream)
        if record is None or report.answered + report.failed + report.shed == 0:
            return
        record.decay(now_s)
        record.seen_at_s = now_s
        record.good += report.answered
        record.bad += report.failed
        record.shed += report.shed
        if report.answered:
            mean_s = report.latency_sum_s / report.answered
            weight = 1.0 - (1.0 - LATENCY_WEIGHT) ** report.answered
            old_s = mean_s if record.latency_s is None else record.latency_s
            record.latency_s = old_s + weight * (mean_s - old_s)
        self._judge(record, now_s)

    def probe_done(self, name: str, healthy: bool, now_s: float) -> None:
        """Learn from a probe.

        Parameters
        ----------
        name : str
        healthy : bool
        now_s : float
        """
        record = self._records.get(name)
        if record is None:
            return
        record.probed_at_s = now_s
        if record.ejected_at_s is None:
            if not healthy and now_s - record.seen_at_s >= PROBE_IDLE_S:
                record.decay(now_s)
                record.bad += 1.0
                self._judge(record, now_s)
            return
        if healthy and now_s - record.ejected_at_s >= record.ejection_s():
            self._return(record, now_s)

    def probes_due(self, now_s: float) -> tuple[str, ...]:
        """Return the upstreams without traffic whose next probe is due."""
        due = []
        for name, record in self._records.items():
            if now_s - record.probed_at_s < PROBE_INTERVAL_S or name in self._draining:
                continue
            if record.ejected_at_s is not None:
                wait_s = record.ejection_s()
                idle = now_s - record.ejected_at_s >= wait_s
            else:
                idle = now_s - record.seen_at_s >= PROBE_IDLE_S
            if idle:
                due.append(name)
        return tuple(sorted(due))

    def is_ignored(self) -> bool:
        """Whether more than half of the pool looks bad."""
        bad = sum(r.ejected_at_s is not None for r in self._records.values())
        return bad * 2 > len(self._records)

    def usable_share(self, name: str, now_s: float) -> float:
        """Return the share of an upstream's slots that may be used.

        Parameters
        ----------
        name : str
        now_s : float

        Returns
        -------
        float
            0 for an ejected or unknown upstream, 0.1 to 0.8 in a ramp, else 1.
        """
        record = self._records.get(name)
        if record is None or name in self._draining:
            return 0.0
        if record.ejected_at_s is not None:
            if self.is_ignored():
                return 1.0
            wait_s = EJECTION_MAX_S if self._needs_probe else record.ejection_s()
            if now_s - record.ejected_at_s < wait_s:
                return 0.0
            self._return(record, now_s)
        if record.ramp_from_s is None:
            return 1.0
        steps = int((now_s - record.ramp_from_s) / RAMP_STEP_S)
        share = min(1.0, RAMP_START_SHARE * 2.0 ** min(steps, 8))
        if share == 1.0 and now_s - record.ramp_from_s >= STEADY_AFTER_S:
            record.ramp_from_s = None
            record.ejections = 0
        return share

    def cost_s(self, name: str, now_s: float) -> float:
        """Return the expected cost of a request, for ordering upstreams.

        Parameters
        ----------
        name : str
        now_s : float

        Returns
        -------
        float
            Latency in seconds, increased by recent errors and shedding. An upstream
            without answers counts as the mean of the others.
        """
        record = self._records.get(name)
        if record is None:
            return float("inf")
        latency_s = record.latency_s
        if latency_s is None:
            known = [
                r.latency_s for r in self._records.values() if r.latency_s is not None
            ]
            latency_s = sum(known) / len(known) if known else 0.0
        if self.is_ignored():
            return latency_s
        record.decay(now_s)
        # Two good answers that nobody saw keep a single failure from deciding.
        tried = record.good + record.bad + record.shed + 2.0
        return latency_s * (1.0 + 4.0 * (record.bad + record.shed) / tried)

    def _judge(self, record: _Record, now_s: float) -> None:
        if record.ejected_at_s is None:
            if record.looks_bad():
                record.ejected_at_s = now_s
                record.ejections += 1
                record.ramp_from_s = None
            return
        # Real answers arrive here only while health is ignored. They clear the
        # upstream without a ramp, since it carries its full load already.
        if self.is_ignored() and record.good > record.bad:
            record.ejected_at_s = None

    @staticmethod
    def _return(record: _Record, now_s: float) -> None:
        record.ejected_at_s = None
        record.ramp_from_s = now_s
        record.good = record.bad = record.shed = 0.0
        record.seen_at_s = now_s
