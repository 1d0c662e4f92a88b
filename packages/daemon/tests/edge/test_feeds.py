from __future__ import annotations

import asyncio
import math
import unittest
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from unittest import mock

from edge.support import FakeTelemetry
from edge.support import config
from edge.support import upstream

from cardamomquay.clock import ManualClock
from cardamomquay.platform import Committed
from cardamomquay.platform import Conflicted
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey
from cardamomquay.platform import RowsRead
from cardamomquay.platform import Transaction
from cardamomquay.platform import Unavailable
from cardamomquay.platform import Write
from cardamomquay.platform import make_revision
from cardamomquay.platform import revision_era
from cardamomquay.traffic import UpstreamState
from cardamomquay_daemon.edge import Bounds
from cardamomquay_daemon.edge import OperatorChanges
from cardamomquay_daemon.edge import PlatformStore
from cardamomquay_daemon.edge import RevisionCompacted
from cardamomquay_daemon.edge import UpstreamChanges
from cardamomquay_daemon.edge._feeds import AGE_CHECK_PERIOD_S
from cardamomquay_daemon.edge._feeds import FIRST_REPORTS_S
from cardamomquay_daemon.edge._feeds import LAPSED_ENTRY_TIMEOUT_S
from cardamomquay_daemon.edge._feeds import OUTDATED_ENTRY_HEARTBEATS
from cardamomquay_daemon.edge._feeds import REPORTED_CONFIG_TIMEOUT_S
from cardamomquay_daemon.edge._feeds import UPSTREAM_READ_PERIOD_S
from cardamomquay_daemon.edge._feeds import FeedListener
from cardamomquay_daemon.edge._feeds import StoreFeeds
from cardamomquay_daemon.edge._state import HostState
from cardamomquay_daemon.edge._upstream_deltas import UPSTREAM_CHANGE_REPEAT_S
from cardamomquay_daemon.edge._upstream_deltas import UpstreamChangeLog

if TYPE_CHECKING:
    from cardamomquay.rollouts import RolloutOrder
    from cardamomquay.rollouts import RolloutOutcome
    from cardamomquay.traffic import Upstream

HEARTBEAT_S = 1.5
DRAINING = UpstreamState.DRAINING


@dataclass
class FakePlatform(PlatformStore):
    """Returns scripted answers, then blocks.

    The next `lost_answers` commits of roll-outs take effect but seem to be unanswered.
    """

    operator: list[Any] = field(default_factory=list)
    upstreams: list[Any] = field(default_factory=list)
    calls: list[tuple[str, int | None]] = field(default_factory=list)
    rows: dict[str, Row] = field(default_factory=dict)
    commits: list[RolloutOutcome] = field(default_factory=list)
    lost_answers: int = 0

    async def operator_changes(self, after_revision: int | None, wait_s: float) -> Any:
        self.calls.append(("operator", after_revision))
        return await self._next(self.operator)

    async def upstream_changes(self, after_revision: int | None, wait_s: float) -> Any:
        self.calls.append(("upstreams", after_revision))
        return await self._next(self.upstreams)

    @staticmethod
    async def _next(script: list[Any]) -> Any:
        if not script:
            await asyncio.Event().wait()
        return script.pop(0)

    async def scan(self, table: str) -> RowsRead | Unavailable:
        return RowsRead(1, tuple(self.rows.values()))

    async def transact(
        self, transaction: Transaction
    ) -> Committed | Conflicted | Unavailable:
        return Committed(1)

    async def commit_rollout(
        self,
        service: str,
        to_version: str,
        outcome: RolloutOutcome,
        row: Write,
        expected_version: int,
    ) -> Committed | Conflicted | Unavailable:
        present = self.rows.get(service)
        if (present.version if present else 0) != expected_version:
            return Conflicted(())
        version = expected_version + 1
        self.rows[service] = Row(RowKey("rollouts", service), version, row.value)
        self.commits.append(outcome)
        if self.lost_answers:
            self.lost_answers -= 1
            return Unavailable("no_answer", may_have_committed=True)
        return Committed(version)


class RecordingListener(FeedListener):
    """Records its calls."""

    def __init__(self) -> None:
        self.upstreams: list[tuple[Upstream | None, Upstream | None]] = []
        self.ended_evacuations: list[str] = []
        self.rollouts: list[tuple[str, RolloutOrder | None]] = []

    def on_config(self) -> None:
        pass

    def on_upstream(self, before: Upstream | None, after: Upstream | None) -> None:
        self.upstreams.append((before, after))

    def on_evacuation_end(self, zone: str) -> None:
        self.ended_evacuations.append(zone)

    def on_rollout(self, service: str, order: RolloutOrder | None) -> None:
        self.rollouts.append((service, order))


def operator_changes(
    revision: int = 1,
    *,
    is_snapshot: bool = False,
    version: int | None = None,
    **evacuated: bool,
) -> OperatorChanges:
    served_config = config(version=version) if version is not None else None
    return OperatorChanges(revision, is_snapshot, served_config, dict(evacuated), {})


class FeedCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.state = HostState(has_read_hosts=True)
        self.platform = FakePlatform()
        self.listener = RecordingListener()
        self.telemetry = FakeTelemetry()
        self.is_reader = True
        self.feeds = StoreFeeds(
            self.platform,
            self.state,
            self.clock,
            self.telemetry,  # type: ignore[arg-type]
            HEARTBEAT_S,
            Bounds(),
            self.listener,
            lambda: self.is_reader,
        )

    async def run_script(self, work: Any) -> None:
        """Run a feed without pauses until all scripted answers are read."""
        pauses = mock.patch(
            "cardamomquay_daemon.edge._feeds.asyncio.sleep", mock.AsyncMock()
        )
        with pauses:
            task = asyncio.create_task(work)
            while self.platform.operator or self.platform.upstreams:
                await asyncio.wait((task,), timeout=0)
            await asyncio.wait((task,), timeout=0)
            task.cancel()


class OperatorFeedTest(FeedCase):
    """Guards against older configurations, and orders missed after a compaction."""

    async def test_a_configuration_never_goes_back(self) -> None:
        self.platform.operator = [
            operator_changes(1, is_snapshot=True, version=7),
            operator_changes(2, version=5),
        ]
        await self.run_script(self.feeds.follow_operator())
        assert self.state.config is not None
        self.assertEqual(self.state.config.version, 7)

    async def test_a_compacted_revision_is_followed_by_a_snapshot(self) -> None:
        self.platform.operator = [
            operator_changes(5, is_snapshot=True, version=7, a=True),
            RevisionCompacted(),
            operator_changes(9, is_snapshot=True, version=8),
        ]
        await self.run_script(self.feeds.follow_operator())
        self.assertEqual(
            self.platform.calls[:3],
            [("operator", None), ("operator", 5), ("operator", None)],
        )
        # The evacuation of zone a was taken back in the compacted changes.
        self.assertEqual(self.state.evacuated_zones, set())
        self.assertEqual(self.listener.ended_evacuations, ["a"])

    async def test_failed_calls_are_no_evidence(self) -> None:
        self.platform.operator = [operator_changes(1, is_snapshot=True, version=7)]
        await self.run_script(self.feeds.follow_operator())
        self.clock.advance(10.0)
        self.platform.operator = [Unavailable("status_503"), Unavailable("no_answer")]
        await self.run_script(self.feeds.follow_operator())
        self.assertEqual(self.state.config_confirmed_s, 100.0)
        names = [name for name, _ in self.telemetry.events]
        self.assertEqual(names.count("store_lost"), 1)


class RestoredConfigTest(FeedCase):
    """Guards against keys of an older configuration on a host that has just started.

    The store was restored from a copy older than the configuration of other hosts, and
    the operator has not written it again yet.
    """

    async def read(self, *changes: OperatorChanges) -> bool:
        """Read the store; return whether its configuration counts as current."""
        self.platform.operator = list(changes)
        await self.run_script(self.feeds.follow_operator())
        return self.clock.now_s() - self.state.config_confirmed_s < 1.0

    async def start(self) -> None:
        older = operator_changes(1, is_snapshot=True, version=5)
        self.assertTrue(await self.read(older))

    async def test_a_host_that_starts_does_not_trust_the_older_configuration(
        self,
    ) -> None:
        await self.start()
        self.feeds.record_reported_config(6)
        self.assertEqual(self.state.config_confirmed_s, -math.inf)
        self.clock.advance(1.0)
        self.assertFalse(await self.read(operator_changes(1)))
        self.clock.advance(1.0)
        self.assertTrue(await self.read(operator_changes(2, version=6)))

    async def test_a_report_before_the_first_read_counts(self) -> None:
        self.feeds.record_reported_config(6)
        self.clock.advance(0.1)
        older = operator_changes(1, is_snapshot=True, version=5)
        self.assertFalse(await self.read(older))

    async def test_a_report_during_the_first_read_counts(self) -> None:
        # The store answers late, and the first reports arrive before.
        async def report_then_answer(
            after_revision: int | None, wait_s: float
        ) -> OperatorChanges:
            if after_revision is not None:
                await asyncio.Event().wait()
            self.clock.advance(0.5)
            self.feeds.record_reported_config(6)
            return operator_changes(1, is_snapshot=True, version=5)

        with mock.patch.object(self.platform, "operator_changes", report_then_answer):
            task = asyncio.create_task(self.feeds.follow_operator())
            await asyncio.sleep(0.02)
            task.cancel()
        assert self.state.config is not None
        self.assertEqual(self.state.config.version, 5)
        self.assertEqual(self.state.config_confirmed_s, -math.inf)

    async def test_a_report_during_a_late_first_read_counts(self) -> None:
        # The host started in an outage of the store.
        self.clock.advance(FIRST_REPORTS_S + 7.0)
        await self.test_a_report_during_the_first_read_counts()

    async def test_a_version_that_is_not_written_again_is_given_up(self) -> None:
        await self.start()
        self.feeds.record_reported_config(6)
        self.clock.advance(REPORTED_CONFIG_TIMEOUT_S + 0.1)
        self.feeds.record_reported_config(6)
        self.assertTrue(await self.read(operator_changes(1)))

    async def test_a_host_that_has_run_for_long_keeps_its_evidence(self) -> None:
        await self.start()
        self.clock.advance(20.0)
        self.assertTrue(await self.read(operator_changes(1)))
        # Other hosts may get a new configuration a moment earlier.
        self.feeds.record_reported_config(6)
        self.assertEqual(self.state.config_confirmed_s, self.clock.now_s())
        self.clock.advance(2.0)
        self.assertFalse(await self.read(operator_changes(1)))


class UpstreamFeedTest(FeedCase):
    """Guards against upstreams lost in an outage of the store, or kept too long."""

    def setUp(self) -> None:
        super().setUp()
        self.state.config = config()
        self.first = upstream("h:1", "i-1")
        self.second = upstream("h:2", "i-2")

    async def read(self, *changes: Any) -> set[str]:
        self.platform.upstreams = list(changes)
        await self.run_script(self.feeds.follow_upstreams())
        return set(self.state.upstreams.by_instance)

    def snapshot(self, *present: Upstream) -> UpstreamChanges:
        return UpstreamChanges(1, True, present, ())

    async def test_a_removed_entry_is_gone_at_once(self) -> None:
        await self.read(self.snapshot(self.first, self.second))
        gone = UpstreamChanges(2, False, (), ("i-1",))
        self.assertEqual(await self.read(gone), {"i-2"})

    async def test_entries_that_lapsed_in_an_outage_may_be_restored(self) -> None:
        await self.read(self.snapshot(self.first, self.second))
        self.clock.advance(6.0)
        self.assertEqual(await self.read(self.snapshot(self.first)), {"i-1", "i-2"})
        self.clock.advance(1.0)
        back = UpstreamChanges(3, False, (self.second,), ())
        self.assertEqual(await self.read(back), {"i-1", "i-2"})

    async def test_an_entry_that_is_not_restored_is_removed(self) -> None:
        await self.read(self.snapshot(self.first, self.second))
        self.clock.advance(6.0)
        await self.read(self.snapshot(self.first))
        for _ in range(3):
            self.clock.advance(0.8)
            present = await self.read(UpstreamChanges(2, False, (), ()))
        self.assertEqual(present, {"i-1"})


class RestoredUpstreamsTest(FeedCase):
    """Guards against upstreams that a restored store brings back after they left.

    The store is restored from a copy in which they were still ready.
    """

    def setUp(self) -> None:
        super().setUp()
        self.state.config = config()
        self.ready = upstream("h:1", "i-1", started_at_ms=1000, sequence=3)
        self.draining = replace(self.ready, state=DRAINING, sequence=4)
        self.revision = 0

    async def read(self, *present: Upstream, removed: tuple[str, ...] = ()) -> None:
        """Read changes from the store."""
        self.revision += 1
        changes = UpstreamChanges(self.revision, False, present, removed)
        self.platform.upstreams = [changes]
        await self.run_script(self.feeds.follow_upstreams())

    async def read_snapshot(self, *present: Upstream) -> None:
        """Read the whole table, as after a restore or a compaction."""
        self.revision += 1
        changes = UpstreamChanges(self.revision, True, present, ())
        self.platform.upstreams = [changes]
        await self.run_script(self.feeds.follow_upstreams())

    async def read_restored(self, *present: Upstream) -> None:
        """Read the whole table of a store that was restored."""
        self.revision = make_revision(revision_era(self.revision) + 1, 1)
        await self.read_snapshot(*present)

    async def run_for(self, seconds: float) -> None:
        """Read the store regularly; it has no changes."""
        end_s = self.clock.now_s() + seconds
        while self.clock.now_s() < end_s:
            self.clock.advance(UPSTREAM_READ_PERIOD_S)
            await self.read()

    def is_ready(self) -> bool:
        known = self.state.upstreams.by_instance.get("i-1")
        return known is not None and known.state is UpstreamState.READY

    async def test_a_removal_read_after_a_gap_is_kept(self) -> None:
        # Soak seed 15: the host could not read the store for more than a heartbeat when
        # its time to wait for newer entries ended. The removal was read with that read.
        for has_left in (False, True):
            with self.subTest(has_left=has_left):
                self.setUp()
                await self.read_snapshot(self.ready)
                await self.read(self.draining)
                if has_left:
                    await self.read(removed=("i-1",))
                await self.read_restored(self.ready)
                self.clock.advance(OUTDATED_ENTRY_HEARTBEATS * HEARTBEAT_S + 0.1)
                await self.read(removed=("i-1",))
                self.assertFalse(self.is_ready())
                await self.run_for(LAPSED_ENTRY_TIMEOUT_S + 1.0)
                self.assertEqual(self.state.upstreams.by_instance, {})

    async def test_an_older_entry_does_not_bring_it_back(self) -> None:
        # The entry stays in the store, since nothing removes or renews it.
        for has_left in (False, True):
            with self.subTest(has_left=has_left):
                self.setUp()
                await self.read_snapshot(self.ready)
                await self.read(self.draining)
                if has_left:
                    await self.read(removed=("i-1",))
                await self.read_restored(self.ready)
                await self.run_for(OUTDATED_ENTRY_HEARTBEATS * HEARTBEAT_S + 2.0)
                self.assertFalse(self.is_ready())
                # Changes were compacted, so that the whole table is read again.
                await self.read_snapshot(self.ready)
                self.assertFalse(self.is_ready())
                await self.read(self.ready)
                self.assertFalse(self.is_ready())

    async def test_a_later_report_brings_it_back(self) -> None:
        later = replace(self.ready, sequence=5)
        restarted = replace(self.ready, started_at_ms=2000, sequence=1)
        for back in (later, restarted):
            for has_left in (False, True):
                with self.subTest(back=back, has_left=has_left):
                    self.setUp()
                    await self.read_snapshot(self.ready)
                    await self.read(self.draining)
                    if has_left:
                        await self.read(removed=("i-1",))
                    await self.read_restored(self.ready)
                    await self.run_for(OUTDATED_ENTRY_HEARTBEATS * HEARTBEAT_S + 2.0)
                    await self.read(back)
                    self.assertTrue(self.is_ready())

    async def test_an_older_entry_of_one_that_stays_is_applied_in_the_end(self) -> None:
        # The wait is for entries that are renewed; this one is not.
        await self.read_snapshot(replace(self.ready, capacity=5, sequence=4))
        await self.read_restored(self.ready)
        known = self.state.upstreams.by_instance
        await self.run_for(OUTDATED_ENTRY_HEARTBEATS * HEARTBEAT_S - 1.0)
        self.assertEqual(known["i-1"].capacity, 5)
        await self.run_for(2.0)
        self.assertEqual(known["i-1"].capacity, 3)

    async def test_an_entry_of_an_earlier_start_is_not_applied(self) -> None:
        # Soak seed 3: hosts took it for another start, of an upstream that is warm, and
        # sent 18 requests in a second to one that was cold.
        restarted = replace(self.ready, started_at_ms=2000, sequence=1)
        for has_left in (False, True):
            with self.subTest(has_left=has_left):
                self.setUp()
                known = self.state.upstreams.by_instance
                await self.read_snapshot(self.ready)
                await self.read(restarted)
                if has_left:
                    await self.read(removed=("i-1",))
                before = dict(known)
                await self.read_restored(self.ready)
                await self.run_for(OUTDATED_ENTRY_HEARTBEATS * HEARTBEAT_S - 1.0)
                self.assertEqual(known, before)
                again = replace(restarted, started_at_ms=3000)
                await self.read(again)
                self.assertEqual(known, {"i-1": again})

    async def test_a_start_that_seems_earlier_is_applied_in_the_end(self) -> None:
        # The wall clock of the upstream's machine was set back before it started.
        await self.read_snapshot(self.ready)
        await self.read_restored(replace(self.ready, started_at_ms=500))
        await self.run_for(OUTDATED_ENTRY_HEARTBEATS * HEARTBEAT_S + 1.0)
        known = self.state.upstreams.by_instance
        self.assertEqual(known["i-1"].started_at_ms, 500)
        # Without a restore it is applied at once.
        await self.read(replace(self.ready, started_at_ms=400))
        await self.run_for(OUTDATED_ENTRY_HEARTBEATS * HEARTBEAT_S)
        await self.read(replace(self.ready, started_at_ms=300))
        self.assertEqual(known["i-1"].started_at_ms, 300)

    async def test_without_sequences_an_entry_that_stays_is_applied(self) -> None:
        # No later report could be told from an older one.
        unnumbered = replace(self.ready, sequence=0)
        await self.read_snapshot(unnumbered)
        await self.read(removed=("i-1",))
        await self.read_restored(unnumbered)
        self.assertFalse(self.is_ready())
        await self.run_for(OUTDATED_ENTRY_HEARTBEATS * HEARTBEAT_S + 1.0)
        self.assertTrue(self.is_ready())

    async def test_an_entry_missing_in_a_later_snapshot_is_not_applied(self) -> None:
        await self.read_snapshot(self.ready)
        await self.read(removed=("i-1",))
        await self.read_restored(self.ready)
        # The removal is among compacted changes.
        await self.read_snapshot()
        await self.run_for(OUTDATED_ENTRY_HEARTBEATS * HEARTBEAT_S + 1.0)
        self.assertEqual(self.state.upstreams.by_instance, {})


class RestoredReaderTest(FeedCase):
    """Guards against changes in a restored store that a reader does not report.

    Another host, which has started since the restore, has read the store as it is. The
    reader still knows the state before the restore, and reports the difference to its
    own state only.
    """

    async def asyncSetUp(self) -> None:
        self.state.config = config()
        self.ready = upstream("h:1", "i-1", started_at_ms=1000, sequence=3)
        self.draining = replace(self.ready, state=DRAINING, sequence=4)
        self.restored = make_revision(1, 1)
        self.other_state = HostState(has_read_hosts=True, config=config())
        self.other_platform = FakePlatform()
        self.other = StoreFeeds(
            self.other_platform,
            self.other_state,
            self.clock,
            self.telemetry,  # type: ignore[arg-type]
            HEARTBEAT_S,
            Bounds(),
            self.listener,
            lambda: False,
        )

    async def read(self, *changes: UpstreamChanges) -> None:
        """Let the reader read changes."""
        self.platform.upstreams = list(changes)
        await self.run_script(self.feeds.follow_upstreams())

    async def start_other(self, *present: Upstream) -> None:
        """Let the other host start, and the reader read the restored store as well."""
        changes = UpstreamChanges(self.restored, True, present, ())
        await self.read(changes)
        self.other_platform.upstreams = [changes]
        task = asyncio.create_task(self.other.follow_upstreams())
        await asyncio.sleep(0.02)
        task.cancel()
        self.report()

    def report(self) -> None:
        """Let the reader report to the other host."""
        if self.feeds.has_lapsed_entries:
            return
        now_s = self.clock.now_s()
        delta = self.feeds.upstream_change_log.delta(
            self.state.upstreams_revision, now_s
        )
        self.other.apply_upstream_delta(("h1", 7), delta, now_s)

    def known_to_other(self) -> Upstream | None:
        return self.other_state.upstreams.by_instance.get("i-1")

    async def test_the_removal_of_an_older_entry_is_reported(self) -> None:
        await self.read(
            UpstreamChanges(1, True, (self.ready,), ()),
            UpstreamChanges(2, False, (), ("i-1",)),
        )
        await self.start_other(self.ready)
        self.assertEqual(self.known_to_other(), self.ready)
        await self.read(UpstreamChanges(self.restored + 1, False, (), ("i-1",)))
        self.report()
        self.assertIsNone(self.known_to_other())

    async def test_a_state_that_is_written_again_is_reported(self) -> None:
        await self.read(
            UpstreamChanges(1, True, (self.ready,), ()),
            UpstreamChanges(2, False, (self.draining,), ()),
        )
        await self.start_other(self.ready)
        again = replace(self.draining, sequence=5)
        await self.read(UpstreamChanges(self.restored + 1, False, (again,), ()))
        self.report()
        self.assertEqual(self.known_to_other(), self.draining)

    async def test_an_entry_that_is_written_again_is_reported(self) -> None:
        await self.read(UpstreamChanges(1, True, (self.ready,), ()))
        await self.start_other()
        self.assertIsNone(self.known_to_other())
        again = replace(self.ready, sequence=4)
        await self.read(UpstreamChanges(self.restored + 1, False, (again,), ()))
        self.report()
        self.assertEqual(self.known_to_other(), self.ready)


class UpstreamDeltaTest(FeedCase):
    """Guards against hosts that miss or undo changes that their reader reports."""

    async def asyncSetUp(self) -> None:
        self.first = upstream("10.0.0.1:80")
        await self.read(1, self.first)
        self.is_reader = False
        self.reader_log = UpstreamChangeLog(self.clock)
        self.reader_log.record_snapshot(1)
        self.platform.calls.clear()

    async def read(self, revision: int, *present: Upstream) -> None:
        self.platform.upstreams.append(
            UpstreamChanges(revision, revision == 1, present, ())
        )
        task = asyncio.create_task(self.feeds.follow_upstreams())
        await asyncio.sleep(0.02)
        task.cancel()

    def apply_delta(self, revision: int, confirmed_s: float | None = None) -> None:
        confirmed_s = self.clock.now_s() if confirmed_s is None else confirmed_s
        delta = self.reader_log.delta(revision, confirmed_s)
        self.feeds.apply_upstream_delta(("h1", 7), delta, confirmed_s)

    def known_upstreams(self) -> set[str]:
        return set(self.state.upstreams.by_instance)

    async def test_changes_are_applied_once(self) -> None:
        second = upstream("10.0.0.2:80", "i-2")
        self.reader_log.record_change("i-2", second, 2)
        self.apply_delta(2)
        self.reader_log.record_change("i-1", None, 3)
        self.apply_delta(3)
        self.apply_delta(3)
        self.assertEqual(self.known_upstreams(), {"i-2"})
        self.assertEqual(len(self.listener.upstreams), 3)

    async def test_the_next_report_repeats_the_changes_of_a_lost_one(self) -> None:
        self.apply_delta(1)
        self.reader_log.record_change("i-2", upstream("10.0.0.2:80", "i-2"), 2)
        self.reader_log.delta(2, self.clock.now_s())
        self.clock.advance(1.0)
        self.apply_delta(3)
        self.assertEqual(self.known_upstreams(), {"i-1", "i-2"})

    async def test_a_removed_upstream_stays_away_after_a_restore(self) -> None:
        # The reader has read reports that repeat the state, and are not in its changes.
        ready = upstream("10.0.0.2:80", "i-2", started_at_ms=1000, sequence=3)
        self.reader_log.record_change("i-2", ready, 2)
        self.apply_delta(2)
        self.reader_log.record_change("i-2", None, 3, last_sequence=9)
        self.apply_delta(3)
        self.assertEqual(self.known_upstreams(), {"i-1"})
        self.is_reader = True
        older = replace(ready, sequence=8)
        await self.read(make_revision(1, 1), self.first, older)
        self.assertEqual(self.known_upstreams(), {"i-1"})
        await self.read(make_revision(1, 2), replace(ready, sequence=10))
        self.assertEqual(self.known_upstreams(), {"i-1", "i-2"})

    async def test_an_older_entry_that_another_host_reports_is_not_applied(
        self,
    ) -> None:
        # The reader did not know that the upstream leaves when the store was restored.
        draining = upstream(
            "10.0.0.2:80", "i-2", started_at_ms=1000, sequence=4, state=DRAINING
        )
        self.is_reader = True
        await self.read(2, draining)
        self.is_reader = False
        ready = replace(draining, state=UpstreamState.READY, sequence=3)
        self.reader_log.record_change("i-2", ready, 3)
        self.apply_delta(3)
        known = self.state.upstreams.by_instance
        self.assertIs(known["i-2"].state, DRAINING)
        self.reader_log.record_change("i-2", replace(ready, sequence=5), 4)
        self.apply_delta(4)
        self.assertIs(known["i-2"].state, UpstreamState.READY)

    async def test_a_host_that_missed_too_much_reads_the_store(self) -> None:
        self.apply_delta(1)
        self.reader_log.record_change("i-2", upstream("10.0.0.2:80", "i-2"), 2)
        self.clock.advance(UPSTREAM_CHANGE_REPEAT_S + 1.0)
        self.apply_delta(5)
        self.assertEqual(self.known_upstreams(), {"i-1"})
        task = asyncio.create_task(self.feeds.follow_upstreams())
        await asyncio.sleep(0.02)
        task.cancel()
        self.assertEqual(self.platform.calls, [("upstreams", None)])

    async def lapse_entry_during_outage(self) -> asyncio.Task[None]:
        """Let this host, as a reader, find the entry missing after an outage."""
        self.is_reader = True
        self.state.config = config()
        self.platform.upstreams.append(UpstreamChanges(1, True, (self.first,), ()))
        task = asyncio.create_task(self.feeds.follow_upstreams())
        await asyncio.sleep(0.02)
        task.cancel()
        self.clock.advance(6.0)
        self.platform.upstreams.append(UpstreamChanges(3, True, (), ()))
        task = asyncio.create_task(self.feeds.follow_upstreams())
        await asyncio.sleep(0.02)
        return task

    async def test_a_non_reader_removes_a_lapsed_entry_without_another_read(
        self,
    ) -> None:
        # Soak seed 604 with 30 hosts: hosts that read the store only once after an
        # outage kept removed upstreams for seven seconds, until their next read.
        task = await self.lapse_entry_during_outage()
        self.is_reader = False
        self.assertTrue(self.feeds.has_lapsed_entries)
        self.assertEqual(self.known_upstreams(), {"i-1"})
        self.clock.advance(LAPSED_ENTRY_TIMEOUT_S + 0.1)
        self.state.upstreams_confirmed_s = self.clock.now_s()
        await asyncio.sleep(UPSTREAM_READ_PERIOD_S + 2.5 * AGE_CHECK_PERIOD_S)
        task.cancel()
        self.assertEqual(self.known_upstreams(), set())
        self.assertFalse(self.feeds.has_lapsed_entries)

    async def test_a_deferred_removal_is_in_the_change_log_once_it_is_done(
        self,
    ) -> None:
        task = await self.lapse_entry_during_outage()
        task.cancel()
        log = self.feeds.upstream_change_log
        now_s = self.clock.now_s()
        self.assertEqual(log.delta(3, now_s).changes, [])
        self.assertTrue(self.feeds.has_lapsed_entries)
        self.clock.advance(LAPSED_ENTRY_TIMEOUT_S + 0.1)
        self.feeds._apply_deferred_changes()
        self.assertFalse(self.feeds.has_lapsed_entries)
        logged = [(c.instance, c.entry) for c in log.delta(3, now_s).changes]
        self.assertEqual(logged, [("i-1", None)])

    async def test_an_older_delta_undoes_nothing(self) -> None:
        self.reader_log.record_change("i-1", replace(self.first, state=DRAINING), 2)
        old = self.reader_log.delta(2, self.clock.now_s())
        self.state.upstreams_revision = 9
        self.feeds.apply_upstream_delta(("h1", 7), old, self.clock.now_s())
        self.assertEqual(self.state.upstreams.by_instance["i-1"], self.first)
        # A change that this host has read itself is not applied again by a later delta.
        self.feeds.apply_upstream_delta(
            ("h1", 7), self.reader_log.delta(9, self.clock.now_s()), self.clock.now_s()
        )
        self.assertEqual(self.state.upstreams.by_instance["i-1"], self.first)

    async def test_an_answer_older_than_a_delta_is_dropped(self) -> None:
        self.is_reader = True
        answered = asyncio.Event()

        async def apply_delta_then_answer(
            after_revision: int | None, wait_s: float
        ) -> UpstreamChanges:
            if answered.is_set():
                await asyncio.Event().wait()
            answered.set()
            self.reader_log.record_change("i-1", replace(self.first, state=DRAINING), 6)
            self.apply_delta(6)
            return UpstreamChanges(5, True, (self.first,), ())

        with mock.patch.object(
            self.platform, "upstream_changes", apply_delta_then_answer
        ):
            task = asyncio.create_task(self.feeds.follow_upstreams())
            await asyncio.sleep(0.02)
            task.cancel()
        self.assertIs(self.state.upstreams.by_instance["i-1"].state, DRAINING)

    async def test_a_host_reads_the_store_without_deltas(self) -> None:
        self.apply_delta(1)
        self.clock.advance(Bounds().drain_s - 0.1)
        self.platform.upstreams.append(UpstreamChanges(1, True, (self.first,), ()))
        task = asyncio.create_task(self.feeds.follow_upstreams())
        await asyncio.sleep(0.02)
        task.cancel()
        self.assertEqual(self.state.upstreams_confirmed_s, self.clock.now_s())

    async def test_an_order_that_another_host_knows_is_read_at_once(self) -> None:
        self.platform.operator.append(operator_changes(1, is_snapshot=True, version=1))
        task = asyncio.create_task(self.feeds.follow_operator())
        await asyncio.sleep(0.02)
        self.feeds.apply_peer_orders(1, self.clock.now_s())
        await asyncio.sleep(0.02)
        self.assertEqual(self.platform.calls, [("operator", None)])
        self.platform.operator.append(operator_changes(4, a=True))
        self.feeds.apply_peer_orders(4, self.clock.now_s())
        await asyncio.sleep(0.02)
        task.cancel()
        self.assertEqual(self.platform.calls, [("operator", None), ("operator", 1)])
        self.assertEqual(self.state.evacuated_zones, {"a"})
        self.assertEqual(self.state.latest_order_revision, 4)

    async def test_a_confirmation_counts_only_with_all_orders_known(self) -> None:
        self.state.orders_revision = 3
        self.feeds.apply_peer_orders(4, 200.0)
        self.assertLess(self.state.orders_confirmed_s, 200.0)
        self.feeds.apply_peer_orders(3, 200.0)
        self.assertEqual(self.state.orders_confirmed_s, 200.0)
