"""Health of the upstreams of a pool, derived from the results of requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.balancing._chooser import ObservedResult

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cardamomquay.balancing._chooser import Observation

OBSERVATION_HALF_LIFE_S = 2.0
# The numbers of results decay, so an ejection takes about three failures close
# together. A single failure is often caused by the request itself.
EJECTION_MIN_OBSERVATIONS = 2.5
EJECTION_FAILURE_SHARE = 0.5
EJECTION_MIN_S = 1.0
# Longest ejection. A health endpoint may report wrong values, so after this time an
# ejected upstream gets requests again even if its probes fail.
EJECTION_MAX_S = 16.0
# Share of its slots with which an upstream starts, and time after which it doubles.
RAMP_START_SHARE = 0.1
RAMP_STEP_S = 1.0
# If an upstream is not ejected again within this time after its readmission, its next
# ejection lasts `EJECTION_MIN_S` again.
BACKOFF_RESET_AFTER_S = 10.0
# Time without requests after which an upstream is probed.
PROBE_IDLE_S = 2.0
PROBE_INTERVAL_S = 1.0
# Weight of one answer in the moving average of the latency.
LATENCY_SAMPLE_WEIGHT = 0.2
FAILED_RESULTS = frozenset(
    {ObservedResult.FAILED, ObservedResult.TIMED_OUT, ObservedResult.UNREACHABLE}
)


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Totals of the observations of an upstream since the previous report.

    Parameters
    ----------
    upstream : str
    answered, failed, shed : int
        Numbers of requests by result.
    latency_sum_s : float
        Sum of the latencies of the answered requests.
    """

    upstream: str
    answered: int = 0
    failed: int = 0
    shed: int = 0
    latency_sum_s: float = 0.0


@dataclass(slots=True)
class _UpstreamHealth:
    """Health of one upstream.

    `latency_s` is a moving average. `successes`, `failures` and `shed` are numbers of
    results that decay with `OBSERVATION_HALF_LIFE_S`. `ejections` counts the ejections
    since the backoff was last reset.
    """

    latency_s: float | None = None
    successes: float = 0.0
    failures: float = 0.0
    shed: float = 0.0
    decayed_at_s: float = 0.0
    last_traffic_at_s: float = 0.0
    last_probe_at_s: float = float("-inf")
    ejected_at_s: float | None = None
    ejections: int = 0
    ramp_started_at_s: float | None = None

    def decay(self, now_s: float) -> None:
        factor = 0.5 ** (max(0.0, now_s - self.decayed_at_s) / OBSERVATION_HALF_LIFE_S)
        self.successes *= factor
        self.failures *= factor
        self.shed *= factor
        self.decayed_at_s = max(now_s, self.decayed_at_s)

    def is_failing(self) -> bool:
        total = self.successes + self.failures
        return (
            total >= EJECTION_MIN_OBSERVATIONS
            and self.failures / total >= EJECTION_FAILURE_SHARE
        )

    def ejection_duration_s(self) -> float:
        return min(EJECTION_MAX_S, EJECTION_MIN_S * 2.0 ** (self.ejections - 1))


class PoolHealth:
    """Latency and failures of each upstream of a pool; not thread-safe.

    An upstream is ejected when at least half of its recent requests failed, for a time
    that doubles with each ejection. It is readmitted after a successful probe, or after
    `EJECTION_MAX_S` without one, with a share of its slots that ramps up. When more
    than half of the pool is ejected, a fault of the measurement is the likelier cause:
    health is then ignored and every upstream is used.

    Load shedding is not a failure: an upstream that sheds is healthy and full.

    Parameters
    ----------
    now_s : float, default=0.0
        Current time.
    needs_probe : bool, default=True
        Whether an ejected upstream needs a successful probe to be readmitted before
        `EJECTION_MAX_S`. A borrower of slots sends no probes: its lender does, and
        lends no slot of the upstream until it has readmitted it.
    """

    def __init__(self, now_s: float = 0.0, needs_probe: bool = True) -> None:
        self._needs_probe = needs_probe
        self._records: dict[str, _UpstreamHealth] = {}
        self._started_at_s = now_s
        self._draining: frozenset[str] = frozenset()
        self._ejected_count = 0

    def set_upstreams(
        self, names: Iterable[str], draining: Iterable[str], now_s: float
    ) -> None:
        """Set the upstreams of the pool.

        Upstreams of the first list get their full share at once: a daemon that starts
        knows nothing about them, and a ramp of the whole pool would refuse most
        requests. Upstreams that are added later, or stop draining, get a ramp.

        Parameters
        ----------
        names, draining : iterable of str
            Names of all upstreams, and of those among them that get no new requests.
        now_s : float
        """
        is_first_list = not self._records
        listed = set(names)
        for name in self._records.keys() - listed:
            del self._records[name]
        for name in sorted(listed - self._records.keys()):
            ramp_started_at_s = None if is_first_list else now_s
            self._records[name] = _UpstreamHealth(
                decayed_at_s=now_s,
                last_traffic_at_s=now_s,
                ramp_started_at_s=ramp_started_at_s,
            )
        now_draining = frozenset(draining)
        for name in (self._draining - now_draining) & listed:
            self._records[name].ramp_started_at_s = now_s
        self._draining = now_draining
        self._ejected_count = sum(
            r.ejected_at_s is not None for r in self._records.values()
        )

    def record_observation(
        self, name: str, observation: Observation, now_s: float
    ) -> None:
        """Record the result of one request."""
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
        """Record the results of several requests.

        Parameters
        ----------
        report : UpstreamReport
        now_s : float
        """
        record = self._records.get(report.upstream)
        if record is None or report.answered + report.failed + report.shed == 0:
            return
        record.decay(now_s)
        record.last_traffic_at_s = now_s
        record.successes += report.answered
        record.failures += report.failed
        record.shed += report.shed
        if report.answered:
            mean_s = report.latency_sum_s / report.answered
            weight = 1.0 - (1.0 - LATENCY_SAMPLE_WEIGHT) ** report.answered
            previous_s = mean_s if record.latency_s is None else record.latency_s
            record.latency_s = previous_s + weight * (mean_s - previous_s)
        self._update_ejection(record, now_s)

    def record_probe(self, name: str, healthy: bool, now_s: float) -> None:
        """Record the result of a probe.

        Parameters
        ----------
        name : str
        healthy : bool
        now_s : float
        """
        record = self._records.get(name)
        if record is None:
            return
        record.last_probe_at_s = now_s
        if record.ejected_at_s is None:
            if not healthy and now_s - record.last_traffic_at_s >= PROBE_IDLE_S:
                record.decay(now_s)
                record.failures += 1.0
                self._update_ejection(record, now_s)
            return
        if healthy and now_s - record.ejected_at_s >= record.ejection_duration_s():
            self._readmit(record, now_s)

    def probes_due(self, now_s: float) -> tuple[str, ...]:
        """Return the upstreams that are due for a probe.

        These have had no recent requests, or the time of their ejection is over.
        """
        due = []
        for name, record in self._records.items():
            if (
                now_s - record.last_probe_at_s < PROBE_INTERVAL_S
                or name in self._draining
            ):
                continue
            if record.ejected_at_s is not None:
                wait_s = record.ejection_duration_s()
                is_due = now_s - record.ejected_at_s >= wait_s
            else:
                is_due = now_s - record.last_traffic_at_s >= PROBE_IDLE_S
            if is_due:
                due.append(name)
        return tuple(sorted(due))

    def is_ignored(self) -> bool:
        """Whether health is ignored because more than half of the pool is ejected."""
        return self._ejected_count * 2 > len(self._records)

    def usable_share(self, name: str, now_s: float) -> float:
        """Return the share of an upstream's slots that may be used.

        Readmits an ejected upstream that may return without a probe.

        Parameters
        ----------
        name : str
        now_s : float

        Returns
        -------
        float
            0 for a draining or unknown upstream, and for an ejected one unless health
            is ignored; 0.1 to 0.8 during a ramp; otherwise 1.
        """
        record = self._records.get(name)
        if record is None or name in self._draining:
            return 0.0
        if record.ejected_at_s is not None:
            if self.is_ignored():
                return 1.0
            wait_s = (
                EJECTION_MAX_S if self._needs_probe else record.ejection_duration_s()
            )
            if now_s - record.ejected_at_s < wait_s:
                return 0.0
            self._readmit(record, now_s)
        if record.ramp_started_at_s is None:
            return 1.0
        steps = int((now_s - record.ramp_started_at_s) / RAMP_STEP_S)
        # The share is 1 long before 8 steps; the limit avoids an overflow of the power.
        share = min(1.0, RAMP_START_SHARE * 2.0 ** min(steps, 8))
        if share == 1.0 and now_s - record.ramp_started_at_s >= BACKOFF_RESET_AFTER_S:
            record.ramp_started_at_s = None
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
            Latency in seconds, increased by recent failures and load shedding. For
            an upstream without a measured latency the mean of the others is used.
        """
        record = self._records.get(name)
        if record is None:
            return float("inf")
        latency_s = record.latency_s
        if latency_s is None:
            latencies_s = [
                r.latency_s for r in self._records.values() if r.latency_s is not None
            ]
            latency_s = sum(latencies_s) / len(latencies_s) if latencies_s else 0.0
        if self.is_ignored():
            return latency_s
        record.decay(now_s)
        # Two assumed successes, so that a single failure does not dominate the cost.
        # If nearly all requests fail or are shed, the cost is about five times the
        # latency.
        observations = record.successes + record.failures + record.shed + 2.0
        return latency_s * (1.0 + 4.0 * (record.failures + record.shed) / observations)

    def _update_ejection(self, record: _UpstreamHealth, now_s: float) -> None:
        if record.ejected_at_s is None:
            if record.is_failing():
                self._ejected_count += 1
                record.ejected_at_s = now_s
                record.ejections += 1
                record.ramp_started_at_s = None
            return
        # An ejected upstream gets requests only while health is ignored. It is then
        # readmitted without a ramp if its requests succeed, since it carries its full
        # load already.
        if self.is_ignored() and record.successes > record.failures:
            self._ejected_count -= 1
            record.ejected_at_s = None

    def _readmit(self, record: _UpstreamHealth, now_s: float) -> None:
        self._ejected_count -= 1
        record.ejected_at_s = None
        record.ramp_started_at_s = now_s
        record.successes = record.failures = record.shed = 0.0
        record.last_traffic_at_s = now_s
