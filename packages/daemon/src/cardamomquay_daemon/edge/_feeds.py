"""Keeps the host's state up to date with the operator's orders and upstream entries.

The operator's orders are the configuration, evacuations of zones and roll-outs that the
operator has written to the store; upstreams write their own entries.

In a large fleet one host of each zone, the reader, reads the store and reports the
changes to its zone. Another host reads the store itself only if its state was last
confirmed to be current longer ago than a limit, or if a report shows that it lacks
changes.
"""

from __future__ import annotations

import asyncio
import math
from abc import ABC
from abc import abstractmethod
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING

from cardamomquay.platform import Unavailable
from cardamomquay.platform import revision_era
from cardamomquay.platform import revision_version
from cardamomquay.traffic import UpstreamState
from cardamomquay_daemon.edge._events import CONFIG_IN_FORCE
from cardamomquay_daemon.edge._events import CONFIG_OLDER
from cardamomquay_daemon.edge._events import STORE_LOST
from cardamomquay_daemon.edge._events import STORE_REGAINED
from cardamomquay_daemon.edge._events import STORE_RESTORED
from cardamomquay_daemon.edge._events import UPSTREAM_CHANGED
from cardamomquay_daemon.edge._events import ZONE_EVACUATED
from cardamomquay_daemon.edge._platform_store import RevisionCompacted
from cardamomquay_daemon.edge._upstream_deltas import UpstreamChangeLog

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomquay.clock import Clock
    from cardamomquay.rollouts import RolloutOrder
    from cardamomquay.traffic import TrafficConfig
    from cardamomquay.traffic import Upstream
    from cardamomquay_daemon.edge._platform_store import OperatorChanges
    from cardamomquay_daemon.edge._platform_store import PlatformStore
    from cardamomquay_daemon.edge._platform_store import UpstreamChanges
    from cardamomquay_daemon.edge._settings import Bounds
    from cardamomquay_daemon.edge._state import HostState
    from cardamomquay_daemon.edge._telemetry import EdgeTelemetry
    from cardamomquay_daemon.edge._upstream_deltas import UpstreamDelta

# Longest time for which the store holds one read of the operator's changes open. Each
# answer proves that the configuration is current, so this has to stay well below the
# time in which a withdrawn key stops working.
OPERATOR_LONG_POLL_S = 1.2
# Well below `Bounds.drain_s`, within which a draining upstream has to be noticed.
UPSTREAM_READ_PERIOD_S = 0.8
# A host that is not a reader reads the store itself when its state was last confirmed
# longer ago than these shares of `Bounds.config_s` and `Bounds.drain_s`; the rest of
# the bound is for the call to the store.
ORDERS_AGE_MAX_SHARE = 0.8
UPSTREAMS_AGE_MAX_SHARE = 0.75
# Shortest time between two checks whether the state was confirmed recently enough.
AGE_CHECK_PERIOD_S = 0.1
# Longest time between two checks whether this host has become a reader. Hundreds of
# hosts spend most of their processor time on waking up.
READER_CHECK_PERIOD_S = 0.4
RETRY_DELAY_MIN_S = 0.1
RETRY_DELAY_MAX_S = 0.8
# Entries that lapsed during an outage of the store are removed this long after its end.
# Upstreams that still run write them again within about 2 s.
LAPSED_ENTRY_TIMEOUT_S = 2.2
# A host may have read its first configuration from a store that was restored from an
# older copy. It hears from all other hosts within this time after that.
FIRST_REPORTS_S = 3.0
# Reads that do not show the newest version reported by another host are no evidence for
# this long; the operator writes it to the store again.
REPORTED_CONFIG_TIMEOUT_S = 10.0
# Entries in a restored store that are older than the known state of their upstreams are
# not applied for this many heartbeats. Upstreams that still run write them again, and
# the store removes the others after three heartbeats. An entry of an upstream that is
# known to leave is not applied after that either.
OUTDATED_ENTRY_HEARTBEATS = 4.0
# Upstreams that left are remembered for this long; a copy of the store is younger.
LEFT_UPSTREAM_TIMEOUT_S = 60.0
# After a restore of the store, orders that it has lost stay in force for this long. The
# operator writes them again; one that is still missing then was withdrawn.
RESTORED_ORDERS_TIMEOUT_S = 3.0


class FeedListener(ABC):
    """Receives the changes that the feeds apply to the host's state."""

    @abstractmethod
    def on_config(self) -> None:
        """Handle a new configuration that is in force."""

    @abstractmethod
    def on_upstream(self, before: Upstream | None, after: Upstream | None) -> None:
        """Handle the registration, change or removal of an upstream."""

    @abstractmethod
    def on_evacuation_end(self, zone: str) -> None:
        """Handle the end of an evacuation of a zone."""

    @abstractmethod
    def on_rollout(self, service: str, order: RolloutOrder | None) -> None:
        """Handle a new roll-out order for a service; None if it was removed."""


class StoreFeeds:
    """Applies changes from the store, or reported by a reader, to the host's state.

    Parameters
    ----------
    platform : PlatformStore
    state : HostState
    clock : Clock
    telemetry : EdgeTelemetry
    heartbeat_s : float
        Interval at which upstreams renew their entries.
    bounds : Bounds
        With shorter bounds the feeds read more often.
    listener : FeedListener
    is_reader : callable
        Returns whether this host reads the store regularly, for its zone or, in a small
        fleet, for itself.
    """

    def __init__(
        self,
        platform: PlatformStore,
        state: HostState,
        clock: Clock,
        telemetry: EdgeTelemetry,
        heartbeat_s: float,
        bounds: Bounds,
        listener: FeedListener,
        is_reader: Callable[[], bool],
    ) -> None:
        self._platform = platform
        self._state = state
        self._clock = clock
        self._telemetry = telemetry
        self._heartbeat_s = heartbeat_s
        self._outdated_entry_timeout_s = OUTDATED_ENTRY_HEARTBEATS * heartbeat_s
        self._listener = listener
        self._operator_long_poll_s = min(OPERATOR_LONG_POLL_S, bounds.revoke_s / 4)
        self._upstream_read_period_s = min(UPSTREAM_READ_PERIOD_S, bounds.drain_s / 3)
        self._is_reader = is_reader
        self._orders_age_max_s = min(
            ORDERS_AGE_MAX_SHARE * bounds.config_s, bounds.revoke_s / 2
        )
        self._upstreams_age_max_s = UPSTREAMS_AGE_MAX_SHARE * bounds.drain_s
        self._orders_missing = asyncio.Event()
        self._upstream_changes_missing = asyncio.Event()
        self.upstream_change_log = UpstreamChangeLog(clock)
        self._delta_source: tuple[str, int] | None = None
        self._delta_sequence = 0
        self._failing_feeds: dict[str, str] = {}
        self._store_regained_s = float("-inf")
        self._restored_s = float("-inf")
        # Time at which orders still missing in the restored store are withdrawn.
        self._lost_orders_due_s = math.inf
        # Instances without an entry in the store that are still in this host's state.
        self._lapsed: set[str] = set()
        # Time of the start, or of the first configuration once that has been read: the
        # store may be away when the host starts.
        self._started_s = clock.now_s()
        # Newest version that another host has reported, and when it was first reported.
        self._reported_config = (0, math.inf)
        self._entries_restored_s = float("-inf")
        # Entries in the restored store that are older than the known state.
        self._outdated: dict[str, Upstream] = {}
        # Last state of upstreams that left, and when they were removed.
        self._left: dict[str, tuple[Upstream, float]] = {}

    async def follow_operator(self) -> None:
        """Read and apply the operator's changes until cancelled."""
        after_revision: int | None = None
        retry_s = RETRY_DELAY_MIN_S
        while True:
            if after_revision is not None:
                await self._wait_until_due(self._orders_missing, self._orders_due_s)
            if self._clock.now_s() >= self._lost_orders_due_s:
                self._lost_orders_due_s = math.inf
                after_revision = None
            began_s = self._clock.now_s()
            is_long_poll = after_revision is not None and self._is_reader()
            wait_s = self._operator_long_poll_s if is_long_poll else 0.0
            changes = await self._platform.operator_changes(after_revision, wait_s)
            self._record_call("operator", changes)
            if isinstance(changes, Unavailable):
                await asyncio.sleep(retry_s)
                retry_s = min(RETRY_DELAY_MAX_S, 2 * retry_s)
                continue
            retry_s = RETRY_DELAY_MIN_S
            if isinstance(changes, RevisionCompacted):
                after_revision = None
                continue
            after_revision = changes.revision
            self._apply_operator_changes(changes, began_s)

    def _orders_due_s(self) -> float:
        """Return the time at which a host that is not a reader reads the orders."""
        confirmed_s = self._state.orders_confirmed_s
        return min(confirmed_s + self._orders_age_max_s, self._lost_orders_due_s)

    async def follow_upstreams(self) -> None:
        """Read and apply the upstreams' entries until cancelled."""
        has_snapshot = False
        retry_s = RETRY_DELAY_MIN_S
        while True:
            if has_snapshot:
                await self._wait_until_due(
                    self._upstream_changes_missing,
                    lambda: (
                        self._state.upstreams_confirmed_s + self._upstreams_age_max_s
                    ),
                )
            began_s = self._clock.now_s()
            after_revision = self._state.upstreams_revision if has_snapshot else None
            changes = await self._platform.upstream_changes(after_revision, 0.0)
            self._record_call("upstreams", changes)
            if isinstance(changes, Unavailable):
                await asyncio.sleep(retry_s)
                retry_s = min(RETRY_DELAY_MAX_S, 2 * retry_s)
                continue
            retry_s = RETRY_DELAY_MIN_S
            if isinstance(changes, RevisionCompacted):
                has_snapshot = False
                continue
            if changes.revision < self._state.upstreams_revision:
                # A delta from another host was applied during this read, so the answer
                # may be out of date.
                continue
            has_snapshot = True
            self._apply_upstream_changes(changes, began_s)
            elapsed_s = self._clock.now_s() - began_s
            await asyncio.sleep(max(0.0, self._upstream_read_period_s - elapsed_s))

    async def _wait_until_due(
        self, missing: asyncio.Event, due_s: Callable[[], float]
    ) -> None:
        """Wait until this host has to read the store.

        A reader reads it at once, and so does a host that knows of missing changes. Any
        other host reads it when its state was last confirmed too long ago.
        """
        while not (
            self._is_reader() or missing.is_set() or self._clock.now_s() >= due_s()
        ):
            self._apply_deferred_changes()
            wait_s = due_s() - self._clock.now_s()
            if self._has_deferred_changes:
                wait_s = AGE_CHECK_PERIOD_S
            with suppress(TimeoutError):
                async with asyncio.timeout(
                    min(READER_CHECK_PERIOD_S, max(AGE_CHECK_PERIOD_S, wait_s))
                ):
                    await missing.wait()
        missing.clear()

    def apply_peer_orders(self, order_revision: int, confirmed_s: float) -> None:
        """Apply what another host reported about the operator's latest order.

        Parameters
        ----------
        order_revision : int
            Revision that includes the latest order.
        confirmed_s : float
            Latest time at which there was no later order.
        """
        if order_revision > self._state.orders_revision:
            self._orders_missing.set()
            return
        self._state.orders_confirmed_s = max(
            self._state.orders_confirmed_s, confirmed_s
        )

    def record_reported_config(self, version: int) -> None:
        """Record the version of the configuration that another host has in force.

        Parameters
        ----------
        version : int
            0 if it has none.
        """
        now_s = self._clock.now_s()
        if version > self._reported_config[0]:
            self._reported_config = (version, now_s)
        if not self._has_started and self._is_config_outdated():
            self._state.config_confirmed_s = -math.inf

    def apply_config_evidence(self, confirmed_s: float) -> None:
        """Record that the store had no newer configuration, unless that is disproved.

        A read of the store, by any host, that does not show what another host had read
        before proves nothing. On a host that has just started, neither do those from
        before the first report of a newer configuration: the store may have been
        restored before all of them.

        Parameters
        ----------
        confirmed_s : float
            Time at which the read began.
        """
        if not self._is_config_outdated(confirmed_s if self._has_started else math.inf):
            state = self._state
            state.config_confirmed_s = max(state.config_confirmed_s, confirmed_s)

    @property
    def _has_started(self) -> bool:
        """Whether all other hosts have had the time to report to this one."""
        return self._clock.now_s() - self._started_s >= FIRST_REPORTS_S

    def _is_config_outdated(self, before_s: float = math.inf) -> bool:
        """Whether another host reported a newer configuration, before a given time."""
        config = self._state.config
        version, reported_s = self._reported_config
        is_recent = self._clock.now_s() - reported_s < REPORTED_CONFIG_TIMEOUT_S
        is_older = config is not None and config.version < version
        return is_older and is_recent and reported_s < before_s

    def apply_upstream_delta(
        self, source: tuple[str, int], delta: UpstreamDelta, confirmed_s: float
    ) -> None:
        """Apply changes of upstreams that another host has read.

        Parameters
        ----------
        source : tuple of str and int
            Name and incarnation of that host.
        delta : UpstreamDelta
        confirmed_s : float
            Lower bound of the time at which that host read them.
        """
        state = self._state
        if delta.revision < state.upstreams_revision:
            return
        is_continuation = source == self._delta_source and (
            delta.since_sequence <= self._delta_sequence
        )
        if is_continuation:
            changes = [c for c in delta.changes if c.sequence > self._delta_sequence]
        elif delta.since_revision <= state.upstreams_revision:
            changes = [
                c for c in delta.changes if c.revision > state.upstreams_revision
            ]
        else:
            self._upstream_changes_missing.set()
            return
        self._delta_source, self._delta_sequence = source, delta.sequence
        state.upstreams_revision = delta.revision
        state.upstreams_confirmed_s = max(state.upstreams_confirmed_s, confirmed_s)
        for change in changes:
            if change.entry is None:
                self._lapsed.discard(change.instance)
                self._remove(change.instance, change.last_sequence)
            else:
                self._put_or_defer(change.entry.to_upstream(change.instance))

    def _record_call(self, feed: str, answer: object) -> None:
        self._telemetry.count(f"store.{feed}_calls")
        if isinstance(answer, Unavailable):
            self._telemetry.count(f"store.{feed}_failed")
            if feed not in self._failing_feeds:
                self._failing_feeds[feed] = answer.reason
                self._telemetry.log(STORE_LOST, feed=feed, reason=answer.reason)
            return
        if self._failing_feeds.pop(feed, None) is not None:
            self._telemetry.log(STORE_REGAINED, feed=feed)

    def _apply_operator_changes(self, changes: OperatorChanges, began_s: float) -> None:
        state = self._state
        if state.orders_revision and (
            revision_era(changes.revision) > revision_era(state.orders_revision)
        ):
            self._restored_s = self._clock.now_s()
            self._telemetry.log(
                STORE_RESTORED,
                era=revision_era(changes.revision),
                version=revision_version(changes.revision),
                version_before=revision_version(state.orders_revision),
            )
        state.orders_revision = max(state.orders_revision, changes.revision)
        if (
            changes.is_snapshot
            or changes.config is not None
            or changes.evacuated
            or changes.rollouts
        ):
            state.latest_order_revision = changes.revision
        if changes.config is not None:
            self._apply_config(changes.config)
        if changes.is_snapshot:
            self._withdraw_missing_orders(changes)
        for zone, is_evacuated in changes.evacuated.items():
            if is_evacuated == (zone in state.evacuated_zones):
                continue
            if is_evacuated:
                state.evacuated_zones.add(zone)
            else:
                state.evacuated_zones.discard(zone)
                self._listener.on_evacuation_end(zone)
            self._telemetry.log(ZONE_EVACUATED, zone=zone, is_evacuated=is_evacuated)
        for service, order in changes.rollouts.items():
            self._listener.on_rollout(service, order)
        self.apply_config_evidence(began_s)
        state.orders_confirmed_s = max(state.orders_confirmed_s, began_s)

    def _withdraw_missing_orders(self, changes: OperatorChanges) -> None:
        """Add the withdrawal of orders that a snapshot does not contain.

        After a restore of the store they may have been lost with the latest writes.
        """
        zones = self._state.evacuated_zones - set(changes.evacuated)
        services = set(self._state.rollouts) - set(changes.rollouts)
        due_s = self._restored_s + RESTORED_ORDERS_TIMEOUT_S
        if (zones or services) and self._clock.now_s() < due_s:
            self._lost_orders_due_s = due_s
            return
        changes.evacuated.update(dict.fromkeys(zones, False))
        changes.rollouts.update(dict.fromkeys(services))

    def _apply_config(self, config: TrafficConfig) -> None:
        before = self._state.config
        if before is not None and config.version < before.version:
            self._telemetry.log(
                CONFIG_OLDER, version=config.version, in_force=before.version
            )
            return
        if before is None:
            self._started_s = self._clock.now_s()
        self._state.config = config
        self._listener.on_config()
        self._telemetry.log(
            CONFIG_IN_FORCE,
            version=config.version,
            routes=len(config.routes),
            organisations=len(config.organisations),
        )

    def _apply_upstream_changes(self, changes: UpstreamChanges, began_s: float) -> None:
        state = self._state
        # A longer gap than expected means an outage of the store, in which entries may
        # have lapsed although their upstreams still run.
        gap_s = began_s - state.upstreams_confirmed_s
        expected_gap_s = self._heartbeat_s
        if not self._is_reader():
            expected_gap_s = max(
                expected_gap_s, self._upstreams_age_max_s + RETRY_DELAY_MAX_S
            )
        was_restored = bool(state.upstreams_revision) and (
            revision_era(changes.revision) > revision_era(state.upstreams_revision)
        )
        if was_restored:
            self._entries_restored_s = self._clock.now_s()
        if was_restored or (state.is_loaded and gap_s > expected_gap_s):
            self._store_regained_s = self._clock.now_s()
        state.upstreams_confirmed_s = max(state.upstreams_confirmed_s, began_s)
        state.upstreams_revision = changes.revision
        # The next delta is compared by revision, so that changes that this read
        # includes are not applied again.
        self._delta_source = None
        if changes.is_snapshot:
            self.upstream_change_log.record_snapshot(changes.revision)
        removed = set(changes.removed)
        if changes.is_snapshot:
            present = {upstream.instance for upstream in changes.present}
            removed |= {*state.upstreams.by_instance, *self._outdated} - present
        for instance in removed & self._outdated.keys():
            # The older entry is gone. It must not be applied later, when the removal
            # will not be read again.
            if instance in state.upstreams.by_instance:
                del self._outdated[instance]
            else:
                self._remove(instance)
        for upstream in changes.present:
            self._put_or_defer(upstream)
        self._lapsed |= removed & state.upstreams.by_instance.keys()
        self._apply_deferred_changes()

    @property
    def has_lapsed_entries(self) -> bool:
        """Whether entries that lapsed during an outage may still be restored.

        Until they are removed or restored, the change log does not contain their
        removal, and must not be reported as complete.
        """
        return bool(self._lapsed)

    @property
    def _has_deferred_changes(self) -> bool:
        """Whether changes are to be applied when their time has passed."""
        return bool(self._lapsed) or any(
            not self._is_known_to_leave(upstream)
            for upstream in self._outdated.values()
        )

    def _is_outdated(self, upstream: Upstream) -> bool:
        """Whether an entry in a restored store is older than the known state."""
        if self._is_known_to_leave(upstream):
            return True
        now_s = self._clock.now_s()
        if now_s - self._entries_restored_s >= self._outdated_entry_timeout_s:
            return False
        known = self._state.upstreams.by_instance.get(upstream.instance)
        left, _ = self._left.get(upstream.instance, (None, 0.0))
        latest = known or left
        if latest is None:
            return False
        if upstream.is_earlier_start(latest):
            return True
        if not upstream.is_same_start(latest):
            return False
        # The last report of an upstream that has left says nothing new.
        return upstream.sequence < latest.sequence or (
            known is None and upstream.sequence == latest.sequence
        )

    def _is_known_to_leave(self, upstream: Upstream) -> bool:
        """Whether a later report of the same start said that an upstream leaves.

        An upstream whose entry was removed has left; its last report is the latest one
        that is known. Reports without a number cannot be told from later ones.
        """
        known = self._state.upstreams.by_instance.get(upstream.instance)
        if known is not None:
            return (
                known.state is UpstreamState.DRAINING
                and upstream.is_same_start(known)
                and upstream.sequence < known.sequence
            )
        left, _ = self._left.get(upstream.instance, (None, 0.0))
        return (
            left is not None
            and upstream.is_same_start(left)
            and upstream.sequence <= left.sequence != 0
        )

    def _apply_deferred_changes(self) -> None:
        """Remove upstreams without an entry, and apply entries that seemed outdated.

        After an outage of the store, upstreams first have `LAPSED_ENTRY_TIMEOUT_S` to
        write their entries again. An outdated entry that is still there after
        `OUTDATED_ENTRY_HEARTBEATS` is renewed by its upstream, unless that is known to
        leave.
        """
        now_s = self._clock.now_s()
        if now_s - self._store_regained_s >= LAPSED_ENTRY_TIMEOUT_S:
            for instance in self._lapsed:
                self._remove(instance)
            self._lapsed.clear()
        if now_s - self._entries_restored_s >= self._outdated_entry_timeout_s:
            for upstream in tuple(self._outdated.values()):
                if not self._is_known_to_leave(upstream):
                    self._put(upstream)

    def _put_or_defer(self, upstream: Upstream) -> None:
        """Apply an entry, unless it is older than the known state."""
        if self._is_outdated(upstream):
            self._lapsed.discard(upstream.instance)
            self._outdated[upstream.instance] = upstream
        else:
            self._put(upstream)

    def _put(self, upstream: Upstream) -> None:
        # Hosts that have read the store have another state of this upstream, which they
        # replace only if the change log contains this one.
        was_deferred = (
            upstream.instance in self._lapsed or upstream.instance in self._outdated
        )
        self._lapsed.discard(upstream.instance)
        self._outdated.pop(upstream.instance, None)
        self._left.pop(upstream.instance, None)
        before = self._state.upstreams.put(upstream)
        if before != upstream or was_deferred:
            self._record_change(upstream.instance, upstream)
        if before != upstream:
            self._notify_and_log(before, upstream)

    def _remove(self, instance: str, last_sequence: int = 0) -> None:
        was_outdated = self._outdated.pop(instance, None) is not None
        before = self._state.upstreams.remove(instance)
        if before is not None:
            last_sequence = max(last_sequence, before.sequence)
            self._record_left(replace(before, sequence=last_sequence))
        if before is not None or was_outdated:
            self._record_change(instance, None, last_sequence)
        if before is not None:
            self._notify_and_log(before, None)

    def _record_left(self, upstream: Upstream) -> None:
        now_s = self._clock.now_s()
        oldest_s = now_s - LEFT_UPSTREAM_TIMEOUT_S
        for instance, (_, removed_s) in tuple(self._left.items()):
            if removed_s >= oldest_s:
                break
            del self._left[instance]
        self._left[upstream.instance] = (upstream, now_s)

    def _record_change(
        self, instance: str, upstream: Upstream | None, last_sequence: int = 0
    ) -> None:
        revision = self._state.upstreams_revision
        self.upstream_change_log.record_change(
            instance, upstream, revision, last_sequence
        )

    def _notify_and_log(self, before: Upstream | None, after: Upstream | None) -> None:
        self._listener.on_upstream(before, after)
        upstream = after or before
        assert upstream is not None
        if (
            before
            and after
            and (before.state, before.version, before.started_at_ms)
            == (
                after.state,
                after.version,
                after.started_at_ms,
            )
        ):
            return
        self._telemetry.log(
            UPSTREAM_CHANGED,
            instance=upstream.instance,
            service=upstream.service,
            zone=upstream.zone,
            version=upstream.version,
            state=str(after.state) if after else "removed",
            read_age_s=round(
                self._clock.now_s() - self._state.upstreams_confirmed_s, 3
            ),
        )
