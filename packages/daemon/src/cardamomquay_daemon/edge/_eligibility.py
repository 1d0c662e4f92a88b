"""Quotas, retry budgets, warm-up limits and roll-outs applied to each request."""

from __future__ import annotations

import math
import random
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from cardamomquay.fleet import HostPhase
from cardamomquay.fleet_limits import CLEARED
from cardamomquay.fleet_limits import CRASHED
from cardamomquay.fleet_limits import RESTART_KINDS
from cardamomquay.fleet_limits import FleetQuota
from cardamomquay.fleet_limits import FleetRetryBudget
from cardamomquay.fleet_limits import HostReportTimes
from cardamomquay.fleet_limits import QuotaBounds
from cardamomquay.fleet_limits import RateLimitObservation
from cardamomquay.fleet_limits import SharingHost
from cardamomquay.fleet_limits import UpstreamNotices
from cardamomquay.fleet_limits import UpstreamRateLimits
from cardamomquay.fleet_limits import UpstreamRestarts
from cardamomquay.fleet_limits import WarmUpLimit
from cardamomquay.fleet_limits import WarmUpLimiter
from cardamomquay.gossip import ObservationLog
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.placement import AdmissionClaim
from cardamomquay.placement import AdmissionRequest
from cardamomquay.placement import OverloadControl
from cardamomquay.placement import PriorityMix
from cardamomquay.placement import ValueAdmission
from cardamomquay.placement import short_id
from cardamomquay.regional_capacity import RegionalCapacity
from cardamomquay.rollouts import RolloutOutcome
from cardamomquay.traffic import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Mapping

    from cardamomquay.fleet import FleetView
    from cardamomquay.gossip import Observation
    from cardamomquay.placement import AdmissionControl
    from cardamomquay.placement import Candidate
    from cardamomquay.placement import FleetScarcity
    from cardamomquay.placement import LoadReport
    from cardamomquay.placement import Placement
    from cardamomquay.placement import PlacementRequest
    from cardamomquay.placement import RequestTiming
    from cardamomquay.regional_capacity import RegionChoice
    from cardamomquay.traffic import Organisation
    from cardamomquay.traffic import Upstream
    from cardamomquay_daemon.edge._settings import Bounds
    from cardamomquay_daemon.edge._state import HostState

# Bounds of the retry delay for requests beyond a quota. Half of the maximum is the
# retry delay if no upstream can be chosen.
RETRY_AFTER_MIN_S = 0.2
RETRY_AFTER_MAX_S = 2.5
# Factors by which the shortest pause of all upstreams is multiplied to get the retry
# delay of callers.
PAUSE_SPREAD = (1.0, 1.3)
# Detail of a refusal because all upstreams asked for a pause.
PAUSED_DETAIL = "upstreams asked for a pause"
# An upstream's entry states the warm-up time that was left at its last heartbeat. When
# that time has passed, the upstream counts as cold for this much longer.
WARM_UP_MARGIN_S = 0.5
# Time for which an upstream of an evacuated zone counts as cold after the evacuation,
# in addition to the warm-up time of its service.
EVACUATION_END_MARGIN_S = 2.5
# Time for which the list of hosts that share rate limits is reused.
SHARING_HOSTS_PERIOD_S = 0.2
# Number of upstreams whose rate limits fit into one report beside its other content.
RATE_LIMITS_MAX = 60


class Eligibility:
    """Decides whether a request may run, and which upstreams may get it.

    Parameters
    ----------
    state : HostState
    placement : Placement
    fleet : FleetView
    bounds : Bounds
    now_s : float
        Start time of the host, from which the retry budgets grow.
    count : callable, optional
        Adds to the counter of a name.
    scarcity : FleetScarcity, optional
        What the other hosts know about the scarcity of services.
    """

    def __init__(
        self,
        state: HostState,
        placement: Placement,
        fleet: FleetView,
        bounds: Bounds,
        now_s: float,
        count: Callable[[str], None] | None = None,
        scarcity: FleetScarcity | None = None,
    ) -> None:
        self._state = state
        self._placement = placement
        self._fleet = fleet
        self._bounds = bounds
        self._started_s = now_s
        self.quotas: dict[str, FleetQuota] = {}
        self.report_times = HostReportTimes()
        self._known_organisations: set[str] | None = None
        self._quota_bounds = QuotaBounds(
            bounds.quota_window_s, bounds.quota_overage, bounds.quota_slack
        )
        self._retry_budgets: dict[str, FleetRetryBudget] = {}
        self._rng = random.Random()
        self._overload_control = OverloadControl(self._rng)
        self.value_admission = ValueAdmission(self._rng, scarcity)
        self.priority_mix = PriorityMix()
        self._count = count
        self.regions = RegionalCapacity(fleet.own.region, bounds.max_shift, self._rng)
        self._warm_up_limiter = WarmUpLimiter(fleet.own.name)
        self.rate_limits = UpstreamRateLimits(fleet.own.name)
        self.notices = UpstreamNotices()
        # Distinguishes this host's observations from those of its earlier starts.
        self.observations = ObservationLog(
            random.getrandbits(32), (CRASHED, *RESTART_KINDS, CLEARED)
        )
        self.restarts = UpstreamRestarts(self.observations)
        self._listed_hosts: tuple[float, list[SharingHost]] = (-math.inf, [])
        self._by_short_id: dict[int, str] = {}
        self._cold_until_s: dict[str, float] = {}
        self._accepted_versions: dict[str, set[str]] = {}

    def admit(self, organisation: Organisation | None, now_s: float) -> Refusal | None:
        """Count a request against its organisation's quota.

        Parameters
        ----------
        organisation : Organisation or None
        now_s : float

        Returns
        -------
        Refusal or None
            None if the request may run.
        """
        if organisation is None or organisation.rate_per_s <= 0.0:
            return None
        quota = self.quotas[organisation.name]
        fleet = self._fleet
        if quota.admit(now_s, fleet.host_count(now_s), fleet.report_delay_s):
            return None
        retry_after_s = min(
            RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, quota.retry_after_s())
        )
        return Refusal(RefusalReason.LIMIT_EXCEEDED, retry_after_s=retry_after_s)

    def apply_config(self, now_s: float) -> None:
        """Apply the limits of a new configuration."""
        config = self._state.config
        if config is None:
            return
        self.regions.apply_config(
            has_bound_requests=any(route.allowed_regions for route in config.routes)
            or any(org.allowed_regions for org in config.organisations.values())
        )
        is_first_config = self._known_organisations is None
        known = self._known_organisations or set()
        self._known_organisations = known | set(config.organisations)
        for organisation in config.organisations.values():
            if organisation.rate_per_s <= 0.0:
                self.quotas.pop(organisation.name, None)
                continue
            rate_per_s, size = self._quota_bounds.bucket(
                organisation.rate_per_s, organisation.burst
            )
            quota = self.quotas.get(organisation.name)
            if quota is None:
                margin = self._quota_bounds.margin
                quota = FleetQuota(rate_per_s, size, now_s, margin, self.report_times)
                # A new organisation has spent no tokens, so its bucket starts full. At
                # the start of the host, and for an organisation that had no limit until
                # now, the bucket starts empty.
                if not is_first_config and organisation.name not in known:
                    quota.fill()
                self.quotas[organisation.name] = quota
            quota.set_limit(rate_per_s, size, now_s)

    def record_request(self, service: str, now_s: float) -> None:
        """Count a caller's request, which adds to the retry budget of its service."""
        self._retry_budget(service).record_request(now_s)

    def take_retry(self, service: str, now_s: float) -> bool:
        """Take a retry from the budget of a service if one is available."""
        hosts = self._fleet.host_count(now_s)
        return self._retry_budget(service).try_take(now_s, hosts)

    @property
    def region_of_zone(self) -> Mapping[str, str]:
        """Region by availability zone."""
        return self._placement.region_of_zone

    def record_answered(
        self, upstream: Upstream, report: LoadReport | None, now_s: float
    ) -> None:
        """Record that an upstream ran and answered a request, and its load report."""
        region = self._placement.region_of(upstream)
        if region is not None and self.regions.is_active:
            is_queued = report is not None and 2 * report.waiting > report.slots
            self.regions.record_answered(
                upstream.service, region, now_s, is_queued=is_queued
            )

    def record_shed(self, upstream: Upstream, now_s: float) -> None:
        """Record that an upstream shed a request since all its slots were taken."""
        region = self._placement.region_of(upstream)
        if region is not None and self.regions.is_active:
            self.regions.record_shed(upstream.service, region, now_s)

    def record_sent(
        self,
        upstream: Upstream,
        now_s: float,
        choice: RegionChoice | None = None,
    ) -> None:
        """Record that a request is sent to an upstream."""
        region = self._placement.region_of(upstream)
        if region is not None and choice is not None and self.regions.is_active:
            self.regions.record_sent(upstream.service, region, choice, now_s)
        self.rate_limits.record_sent(upstream.instance)
        if self.is_cold(upstream, now_s):
            self._warm_up_limiter.record_sent(
                upstream.instance, self._warm_up_limit_of(upstream), now_s
            )

    def rate_limit_entries(self, now_s: float) -> list[int]:
        """Return the rate limits to include in a report; see `Report.rate_limits`."""
        entries: list[int] = []
        for latest in self.rate_limits.due_for_report(now_s)[:RATE_LIMITS_MAX]:
            entries += (
                short_id(latest.instance),
                -1 if latest.per_s is None else round(latest.per_s * 1000.0),
                max(0, int((now_s - latest.observed_s) * 1000.0)),
            )
        return entries

    def apply_rate_limit_entries(
        self, entries: list[int], transit_max_s: float, now_s: float
    ) -> list[RateLimitObservation]:
        """Apply the rate limits of another host's report.

        Parameters
        ----------
        entries : list of int
            As in `Report.rate_limits`. Upstreams that this host does not know are left
            out.
        transit_max_s : float
            Upper bound of the time that the report was on the way.
        now_s : float

        Returns
        -------
        list of RateLimitObservation
            The limits that are new to this host.
        """
        reported = [
            RateLimitObservation(
                self._by_short_id[upstream_id],
                None if per_ks < 0 else per_ks / 1000.0,
                now_s - age_ms / 1000.0,
            )
            for upstream_id, per_ks, age_ms in zip(
                entries[::3], entries[1::3], entries[2::3], strict=False
            )
            if upstream_id in self._by_short_id
        ]
        return [
            item
            for item in reported
            if self.rate_limits.apply_report(item, now_s, transit_max_s)
        ]

    def is_withheld(self, upstream: Upstream, now_s: float) -> bool:
        """Return whether an upstream has asked not to be sent requests now."""
        return (
            self.notices.is_leaving(upstream, now_s)
            or self.notices.pause_left_s(upstream, now_s) > 0.0
        )

    def record_unreachable(self, upstream: Upstream, now_s: float) -> None:
        """Record that an upstream is unreachable; it may be cold when it returns."""
        warm_up_s = self.warm_up_s(upstream)
        if warm_up_s > 0.0:
            self.restarts.record_unreachable(upstream, warm_up_s, now_s)

    def apply_evacuation_end(self, zone: str, now_s: float) -> None:
        """Treat the upstreams of a zone as cold after its evacuation has ended."""
        for upstream in self._state.upstreams.by_instance.values():
            warm_up_s = self.warm_up_s(upstream)
            if upstream.zone == zone and warm_up_s > 0.0:
                before_s = self._cold_until_s.get(upstream.instance, -math.inf)
                until_s = now_s + EVACUATION_END_MARGIN_S + warm_up_s
                self._cold_until_s[upstream.instance] = max(before_s, until_s)

    def upstream_of(self, upstream_id: int) -> Upstream | None:
        """Return the upstream with a short identifier; None if it is not known."""
        instance = self._by_short_id.get(upstream_id)
        return self._state.upstreams.by_instance.get(instance) if instance else None

    def observations_of(self, upstream: Upstream, now_s: float) -> list[Observation]:
        """Return what other hosts have recently reported of an upstream."""
        return self.observations.known_of(short_id(upstream.instance), now_s)

    def apply_upstream_change(
        self, before: Upstream | None, after: Upstream | None, now_s: float
    ) -> None:
        """Apply a change of an upstream's entry; None means that there is no entry."""
        if after is None:
            if before is not None:
                self._by_short_id.pop(short_id(before.instance), None)
                self._cold_until_s.pop(before.instance, None)
                self._warm_up_limiter.clear_upstream(before.instance)
                self.rate_limits.clear_upstream(before.instance)
                self.restarts.clear_upstream(before.instance)
            return
        self._by_short_id[short_id(after.instance)] = after.instance
        if before is not None and before.started_at_ms != after.started_at_ms:
            self.rate_limits.clear_upstream(after.instance)
            elapsed_s = max(0.0, self.warm_up_s(after) - after.warm_up_left_s)
            self.restarts.record_start(after.instance, now_s - elapsed_s)
        if after.warm_up_left_s > 0.0:
            until_s = now_s + after.warm_up_left_s + WARM_UP_MARGIN_S
            self._cold_until_s[after.instance] = until_s
        if after.service not in self._state.rollouts:
            self._accept_version(after)

    def choose(
        self,
        request: PlacementRequest,
        tried: Collection[str],
        timing: RequestTiming,
        now_s: float,
        claim: AdmissionClaim | None = None,
        region_choice: RegionChoice | None = None,
    ) -> Candidate | Refusal:
        """Choose an upstream for the next attempt of a request.

        Parameters
        ----------
        request : PlacementRequest
        tried : collection of str
            Instances of earlier attempts. Only first attempts are refused because of
            overload.
        timing : RequestTiming
        now_s : float
        claim : AdmissionClaim, optional
            Used if the requests of the service have different priorities.
        region_choice : RegionChoice, optional
            What was decided for the request from the room of regions.

        Returns
        -------
        Candidate or Refusal
        """
        region_choice = region_choice or self.regions.begin()
        allowed = [
            upstream
            for upstream in self._of_allowed_version(request, bool(tried))
            if upstream.state is UpstreamState.READY
            and upstream.zone not in self._state.evacuated_zones
            and not self.notices.is_leaving(upstream, now_s)
        ]
        upstreams = self._within_warm_up_limits(allowed, now_s)
        # Passed on as excluded, since the ranking of an object is computed again when
        # the set of upstreams changes.
        pauses_s = self._pauses_s(upstreams, now_s)
        waits_s = self._rate_limit_waits_s(upstreams, now_s) | pauses_s
        excluded = {*tried, *waits_s} if waits_s else tried
        candidate = self._choose_by_region(
            request, upstreams, excluded, region_choice, now_s
        )
        if (
            candidate is None
            and pauses_s
            and not {upstream.instance for upstream in upstreams}
            - pauses_s.keys()
            - set(tried)
        ):
            # Spread, so that callers do not come back together.
            retry_after_s = min(pauses_s.values()) * self._rng.uniform(*PAUSE_SPREAD)
            return Refusal(
                RefusalReason.POOL_BUSY,
                PAUSED_DETAIL,
                max(RETRY_AFTER_MIN_S, retry_after_s),
            )
        if candidate is None:
            reason = RefusalReason.POOL_BUSY if allowed else RefusalReason.POOL_EMPTY
            retry_after_s = min((RETRY_AFTER_MAX_S / 2, *waits_s.values()))
            detail = "rate limits named by upstreams" if waits_s else ""
            return Refusal(reason, detail, max(RETRY_AFTER_MIN_S, retry_after_s))
        refusal = self._overload_refusal(
            request, candidate, timing, claim, bool(tried), now_s
        )
        if self.regions.is_active:
            rejection = self._apply_region(
                request,
                allowed,
                candidate,
                region_choice,
                now_s,
                is_refused=refusal is not None,
            )
            if rejection is not None:
                return rejection
        return refusal or candidate

    def _overload_refusal(
        self,
        request: PlacementRequest,
        candidate: Candidate,
        timing: RequestTiming,
        claim: AdmissionClaim | None,
        is_retry: bool,
        now_s: float,
    ) -> Refusal | None:
        """Return a refusal because of overload; None if the request may be sent."""
        config = self._state.config
        control: AdmissionControl = self._overload_control
        if claim is None:
            claim = AdmissionClaim((0, 0), request.route)
        elif (
            config is not None
            and config.has_competing_priorities(request.service)
            and self.priority_mix.is_competing(request.service)
        ):
            control = self.value_admission
            # An attempt after the first belongs to a request that was admitted.
            claim = replace(claim, is_admitted=claim.is_admitted or is_retry)
        decision = control.decide(
            AdmissionRequest(
                candidate, timing, claim, request.objective_s, request.allowed_regions
            ),
            now_s,
        )
        if is_retry:
            return None
        is_by_value = control is self.value_admission
        if is_by_value and self._count is not None and not claim.is_admitted:
            self._count(f"admission.{decision.rule}")
        if decision.retry_delay_s is None:
            return None
        detail = (
            f"best {candidate.upstream.instance} warm={candidate.is_warm} "
            f"wait={candidate.object_load_wait_s:.2f} "
            f"queue={candidate.queue_wait_s:.2f} "
            f"finish={candidate.expected_latency_s:.2f} "
            f"left={timing.remaining_s:.2f} "
            f"objective_left={timing.objective_left_s:.2f}"
        )
        if decision.inputs:
            detail += "".join(f" {k}={v}" for k, v in decision.inputs.items())
            detail += f" rule={decision.rule}"
        return Refusal(RefusalReason.POOL_BUSY, detail, decision.retry_delay_s)

    def _choose_by_region(
        self,
        request: PlacementRequest,
        upstreams: list[Upstream],
        excluded: Collection[str],
        choice: RegionChoice,
        now_s: float,
    ) -> Candidate | None:
        """Choose an upstream, in a region with room if the request may run there."""
        if not self.regions.is_active:
            return self._placement.choose(request, upstreams, excluded, now_s)
        regions = self._regions_of(upstreams) - {""}
        if request.allowed_regions:
            regions &= request.allowed_regions
        avoided = self.regions.avoided_regions(request.service, regions, choice, now_s)
        candidate = None
        if avoided:
            left = {
                upstream.instance
                for upstream in upstreams
                if self._placement.region_of(upstream) in avoided
            }
            candidate = self._placement.choose(
                request, upstreams, {*excluded, *left}, now_s
            )
        if candidate is None:
            avoided = set()
            candidate = self._placement.choose(request, upstreams, excluded, now_s)
        if candidate is not None:
            chosen = self._placement.region_of(candidate.upstream) or ""
            self.regions.record_choice(
                request.service, regions, avoided, chosen, choice
            )
        return candidate

    def _regions_of(self, upstreams: Collection[Upstream]) -> set[str]:
        return {self._placement.region_of(upstream) or "" for upstream in upstreams}

    def _apply_region(
        self,
        request: PlacementRequest,
        upstreams: Collection[Upstream],
        candidate: Candidate,
        choice: RegionChoice,
        now_s: float,
        *,
        is_refused: bool,
    ) -> Refusal | None:
        """Count a choice; return the rejection of a request bound to scarce regions."""
        service = request.service
        region = self._placement.region_of(candidate.upstream)
        if region is None:
            return None
        if is_refused:
            self.regions.record_refused(service, region, now_s)
        present = self._regions_of(upstreams)
        if not request.allowed_regions or present <= request.allowed_regions:
            return None
        others = (present & request.allowed_regions) - {region}
        if any(not self.regions.is_scarce(service, other) for other in others):
            return None
        rejection = (
            self.regions.explain_refused(service, region)
            if is_refused
            else self.regions.admit(service, region, choice, now_s)
        )
        if rejection is None:
            return None
        return Refusal(
            RefusalReason.REGION_FULL, rejection.detail, rejection.retry_delay_s
        )

    def _of_allowed_version(
        self, request: PlacementRequest, is_retry: bool
    ) -> tuple[Upstream, ...]:
        upstreams = self._state.upstreams.of_service(request.service)
        rollout = self._state.rollouts.get(request.service)
        if rollout is None:
            accepted = self._accepted_versions.get(request.service, set())
            # A version that appeared without a roll-out order gets no requests unless
            # there is no other.
            return tuple(u for u in upstreams if u.version in accepted) or upstreams
        target = rollout.order.to_version
        new = tuple(u for u in upstreams if u.version == target)
        old = tuple(u for u in upstreams if u.version != target)
        if rollout.outcome is RolloutOutcome.COMPLETED:
            return new or old
        if rollout.outcome is RolloutOutcome.ROLLED_BACK:
            return old
        # Retries go to the old version, since the new one may have failed.
        if (
            new
            and not (is_retry and old)
            and rollout.uses_new_version(request.object_key)
        ):
            return new
        return old or new

    def _within_warm_up_limits(
        self, allowed: list[Upstream], now_s: float
    ) -> list[Upstream]:
        if not len(self.restarts) and all(
            now_s >= until_s for until_s in self._cold_until_s.values()
        ):
            return allowed
        cold = [u for u in allowed if self.is_cold(u, now_s)]
        withheld = {
            upstream.instance
            for upstream in cold
            if self._fleet.own_phase is HostPhase.LEAVING
            or not self._warm_up_limiter.may_send(
                upstream.instance,
                self._warm_up_limit_of(upstream),
                partial(self._live_peers, now_s),
                now_s,
            )
        }
        return [u for u in allowed if u.instance not in withheld]

    def _pauses_s(self, upstreams: list[Upstream], now_s: float) -> dict[str, float]:
        """Return the upstreams that asked for a pause, with the time that is left."""
        if not len(self.notices):
            return {}
        left_s = {
            upstream.instance: self.notices.pause_left_s(upstream, now_s)
            for upstream in upstreams
        }
        return {instance: pause_s for instance, pause_s in left_s.items() if pause_s}

    def _rate_limit_waits_s(
        self, upstreams: list[Upstream], now_s: float
    ) -> dict[str, float]:
        """Return the upstreams whose rate limit is used up, with the time to wait."""
        if not len(self.rate_limits):
            return {}
        hosts = partial(self._sharing_hosts, now_s)
        waits_s = {
            upstream.instance: self.rate_limits.wait_s(
                upstream.instance, self._placement.region_of(upstream), hosts, now_s
            )
            for upstream in upstreams
            if upstream.instance in self.rate_limits
        }
        return {instance: wait_s for instance, wait_s in waits_s.items() if wait_s > 0}

    def _sharing_hosts(self, now_s: float) -> list[SharingHost]:
        """Return the hosts that may use parts of upstreams' rate limits.

        The list is up to `SHARING_HOSTS_PERIOD_S` old.
        """
        listed_s, hosts = self._listed_hosts
        if listed_s <= now_s < listed_s + SHARING_HOSTS_PERIOD_S:
            return hosts
        fleet = self._fleet
        hosts = [
            SharingHost(peer.record.name, peer.record.region, peer.is_live(now_s))
            for peer in fleet.peers.values()
            if peer.phase is not HostPhase.LEAVING and not peer.is_gone(now_s)
        ]
        if fleet.own_phase is not HostPhase.LEAVING:
            hosts.append(SharingHost(fleet.own.name, fleet.own.region, is_live=True))
        self._listed_hosts = (now_s, hosts)
        return hosts

    def _live_peers(self, now_s: float) -> list[str]:
        """Return the live hosts that may use cold upstreams, except this one."""
        return [
            peer.record.name
            for peer in self._fleet.live(now_s)
            if peer.phase is not HostPhase.LEAVING
        ]

    def is_cold(self, upstream: Upstream, now_s: float) -> bool:
        """Return whether an upstream is cold, or may be so after a start."""
        is_known_cold = now_s < self._cold_until_s.get(upstream.instance, -math.inf)
        if is_known_cold or upstream.instance not in self.restarts:
            return is_known_cold
        # Lists of upstreams may lack the latest heartbeat.
        latest = self._state.upstreams.by_instance.get(upstream.instance, upstream)
        return self.restarts.is_cold(latest, self.warm_up_s(upstream), now_s)

    def warm_up_s(self, upstream: Upstream) -> float:
        """Return the time for which an upstream is cold after its start."""
        config = self._state.config
        service = config.services.get(upstream.service) if config else None
        return service.warm_up_s if service else 0.0

    def _warm_up_limit_of(self, upstream: Upstream) -> WarmUpLimit:
        config = self._state.config
        service = config.services.get(upstream.service) if config else None
        per_s = service.warm_up_rate_per_s if service else 0.0
        return WarmUpLimit(
            per_s, self._bounds.warm_up_overage, self._bounds.warm_up_slack
        )

    def _accept_version(self, upstream: Upstream) -> None:
        """Accept an upstream's version unless another accepted version has upstreams.

        Until `HostState.is_loaded` is true, every version is accepted.
        """
        accepted = self._accepted_versions.setdefault(upstream.service, set())
        versions = {
            u.version for u in self._state.upstreams.of_service(upstream.service)
        }
        if not accepted & (versions - {upstream.version}) or not self._state.is_loaded:
            accepted.add(upstream.version)

    def _retry_budget(self, service: str) -> FleetRetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._retry_budgets[service] = FleetRetryBudget(
                self._bounds.retry_ratio,
                self._bounds.retry_minimum,
                self._bounds.retry_window_s,
                self._started_s,
            )
        return budget
