from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass
from dataclasses import field
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
from cardamomquay_daemon.edge import Bounds
from cardamomquay_daemon.edge import HistoryGone
from cardamomquay_daemon.edge import OperatorChanges
from cardamomquay_daemon.edge import PlatformFeed
from cardamomquay_daemon.edge import UpstreamChanges
from cardamomquay_daemon.edge._feeds import FeedListener
from cardamomquay_daemon.edge._feeds import StoreFeeds
from cardamomquay_daemon.edge._state import HostState

if TYPE_CHECKING:
    from cardamomquay.rollouts import RolloutOrder
    from cardamomquay.rollouts import RolloutOutcome
    from cardamomquay.traffic import Upstream

HEARTBEAT_S = 1.5


@dataclass
class FakePlatform(PlatformFeed):
    """Returns answers from a script, then waits for ever."""

    operator: list[Any] = field(default_factory=list)
    servers: list[Any] = field(default_factory=list)
    asked: list[tuple[str, int | None]] = field(default_factory=list)
    rows: dict[str, Row] = field(default_factory=dict)
    commits: list[RolloutOutcome] = field(default_factory=list)
    lost_answers: int = 0

    async def operator_changes(self, after: int | None, wait_s: float) -> Any:
        self.asked.append(("operator", after))
        return await self._next(self.operator)

    async def upstream_changes(self, after: int | None, wait_s: float) -> Any:
        self.asked.append(("servers", after))
        return await self._next(self.servers)

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


class Listener(FeedListener):
    """Keeps what it is told."""

    def __init__(self) -> None:
        self.upstreams: list[tuple[Upstream | None, Upstream | None]] = []
        self.zones: list[str] = []
        self.rollouts: list[tuple[str, RolloutOrder | None]] = []

    def on_config(self) -> None:
        pass

    def on_upstream(self, before: Upstream | None, after: Upstream | None) -> None:
        self.upstreams.append((before, after))

    def on_zone_returned(self, zone: str) -> None:
        self.zones.append(zone)

    def on_rollout(self, service: str, order: RolloutOrder | None) -> None:
        self.rollouts.append((service, order))


def operator(
    revision: int = 1,
    *,
    is_snapshot: bool = False,
    version: int | None = None,
    **zones: bool,
) -> OperatorChanges:
    served = config(version=version) if version is not None else None
    return OperatorChanges(revision, is_snapshot, served, dict(zones), {})


class FeedCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.state = HostState()
        self.platform = FakePlatform()
        self.listener = Listener()
        self.telemetry = FakeTelemetry()
        self.feeds = StoreFeeds(
            self.platform,
            self.state,
            self.clock,
            self.telemetry,  # type: ignore[arg-type]
            HEARTBEAT_S,
            Bounds(),
            self.listener,
        )

    async def play(self, work: Any) -> None:
        """Run a feed until its script is used up, with all pauses left out."""
        pauses = mock.patch(
            "cardamomquay_daemon.edge._feeds.asyncio.sleep", mock.AsyncMock()
        )
        with pauses:
            task = asyncio.create_task(work)
            while self.platform.operator or self.platform.servers:
                await asyncio.wait((task,), timeout=0)
            await asyncio.wait((task,), timeout=0)
            task.cancel()


class OperatorFeedTest(FeedCase):
    """Guards against older configurations, and orders lost with the history."""

    async def test_a_configuration_never_goes_back(self) -> None:
        self.platform.operator = [
            operator(1, is_snapshot=True, version=7),
            operator(2, version=5),
        ]
        await self.play(self.feeds.follow_operator())
        assert self.state.config is not None
        self.assertEqual(self.state.config.version, 7)

    async def test_lost_history_starts_with_a_snapshot(self) -> None:
        self.platform.operator = [
            operator(5, is_snapshot=True, version=7, a=True),
            HistoryGone(),
            operator(9, is_snapshot=True, version=8),
        ]
        await self.play(self.feeds.follow_operator())
        self.assertEqual(
            self.platform.asked[:3],
            [("operator", None), ("operator", 5), ("operator", None)],
        )
        # The order to empty zone a was taken back in the gap.
        self.assertEqual(self.state.evacuated_zones, set())
        self.assertEqual(self.listener.zones, ["a"])

    async def test_failed_calls_prove_nothing(self) -> None:
        self.platform.operator = [operator(1, is_snapshot=True, version=7)]
        await self.play(self.feeds.follow_operator())
        self.clock.advance(10.0)
        self.platform.operator = [Unavailable("status_503"), Unavailable("no_answer")]
        await self.play(self.feeds.follow_operator())
        self.assertEqual(self.state.config_seen_s, 100.0)
        names = [name for name, _ in self.telemetry.events]
        self.assertEqual(names.count("store_lost"), 1)


class UpstreamFeedTest(FeedCase):
    """Guards against upstreams that are given up with the store, or kept too long."""

    def setUp(self) -> None:
        super().setUp()
        self.state.config = config()
        self.first = upstream("h:1", "i-1")
        self.second = upstream("h:2", "i-2")

    async def read(self, *changes: Any) -> set[str]:
        self.platform.servers = list(changes)
        await self.play(self.feeds.follow_upstreams())
        return set(self.state.upstreams.by_instance)

    def all_of(self, *present: Upstream) -> UpstreamChanges:
        return UpstreamChanges(1, True, present, ())

    async def test_a_removed_entry_is_gone_at_once(self) -> None:
        await self.read(self.all_of(self.first, self.second))
        gone = UpstreamChanges(2, False, (), ("i-1",))
        self.assertEqual(await self.read(gone), {"i-2"})

    async def test_entries_that_lapsed_with_the_store_may_come_back(self) -> None:
        await self.read(self.all_of(self.first, self.second))
        self.clock.advance(6.0)
        self.assertEqual(await self.read(self.all_of(self.first)), {"i-1", "i-2"})
        self.clock.advance(1.0)
        back = UpstreamChanges(3, False, (self.second,), ())
        self.assertEqual(await self.read(back), {"i-1", "i-2"})

    async def test_an_entry_that_stays_away_is_gone(self) -> None:
        await self.read(self.all_of(self.first, self.second))
        self.clock.advance(6.0)
        await self.read(self.all_of(self.first))
        for _ in range(3):
            self.clock.advance(0.8)
            present = await self.read(UpstreamChanges(2, False, (), ()))
        self.assertEqual(present, {"i-1"})
