from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from unittest import mock

import msgspec
from edge.support import FakeTelemetry
from edge.support import config
from edge.support import upstream
from edge.test_feeds import HEARTBEAT_S
from edge.test_feeds import FakePlatform
from edge.test_feeds import RecordingListener

from cardamomquay.clock import ManualClock
from cardamomquay.fleet import FleetView
from cardamomquay.fleet import HostPhase
from cardamomquay.fleet import HostRecord
from cardamomquay.placement import Placement
from cardamomquay.placement import ZoneLatencies
from cardamomquay.placement import short_id
from cardamomquay.platform import Committed
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Unavailable
from cardamomquay.platform import make_revision
from cardamomquay.traffic import Organisation
from cardamomquay_daemon.edge import Bounds
from cardamomquay_daemon.edge._eligibility import Eligibility
from cardamomquay_daemon.edge._feeds import StoreFeeds
from cardamomquay_daemon.edge._peers import FULL_USAGE_PERIOD_S
from cardamomquay_daemon.edge._peers import PeerProtocol
from cardamomquay_daemon.edge._poison_guard import PoisonGuard
from cardamomquay_daemon.edge._reports import Report
from cardamomquay_daemon.edge._rollout_control import RolloutControl
from cardamomquay_daemon.edge._state import HostState
from cardamomquay_daemon.edge._usage_totals import USAGE_CHANGE_REPEAT_S
from cardamomquay_daemon.edge._warm_objects import ENTRIES_MAX
from cardamomquay_daemon.edge._warm_objects import WAITING_ENTRIES_MAX
from cardamomquay_daemon.edge._warm_objects import WarmEntryQueue
from cardamomquay_daemon.edge._warm_objects import WarmObjectReports

if TYPE_CHECKING:
    from cardamomquay.fleet_limits import FleetQuota

REGION_OF = {"a": "A", "b": "B", "c": "C"}


class Host:
    """One host, whose reports the tests deliver."""

    def __init__(
        self, name: str, clock: ManualClock, network: dict[str, Any], zone: str = "a"
    ) -> None:
        self.clock = clock
        self.network = network
        network[name] = self
        self.address = (name, 7000)
        self.state = HostState(
            config=config(), config_confirmed_s=clock.now_s(), has_read_hosts=True
        )
        region = REGION_OF[zone]
        self.fleet = FleetView(HostRecord(name, f"{name}:80", name, 7000, zone, region))
        self.fleet.own_phase = HostPhase.READY
        self.telemetry = FakeTelemetry()
        self.placement = Placement(ZoneLatencies(zone, REGION_OF))
        self.eligibility = Eligibility(
            self.state, self.placement, self.fleet, Bounds(), clock.now_s()
        )
        self.eligibility.apply_config(clock.now_s())
        self.warm_objects = WarmObjectReports(self.placement, clock)
        platform = self.platform = FakePlatform()
        telemetry: Any = self.telemetry
        rollouts = RolloutControl(
            self.state, self.fleet, platform, clock, telemetry, Bounds(), lambda: None
        )
        self.listener = RecordingListener()
        self.feeds = StoreFeeds(
            platform,
            self.state,
            clock,
            telemetry,
            HEARTBEAT_S,
            Bounds(),
            self.listener,
            lambda: self.fleet.is_reader(clock.now_s()),
        )
        self.poison_guard = PoisonGuard(clock, telemetry, self.eligibility.observations)
        self.peers = PeerProtocol(
            self.fleet,
            self.state,
            platform,
            clock,
            telemetry,
            self.eligibility,
            rollouts,
            self.warm_objects,
            self.feeds,
            self.poison_guard,
            incarnation=hash(name) & 0xFFFF,
        )
        self.sent: list[tuple[bytes, str]] = []
        transport: Any = self
        self.peers.connection_made(transport)

    def sendto(self, data: bytes, addr: tuple[str, int]) -> None:
        self.sent.append((data, addr[0]))

    def deliver(self) -> None:
        sent, self.sent = self.sent, []
        for data, name in sent:
            if name in self.network:
                self.network[name].peers.datagram_received(data, self.address)


class PeersTest(unittest.TestCase):
    """Guards against reports that wrongly change a host's state.

    These are late, malformed or repeated reports, and those of another configuration,
    start or boot.
    """

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        network: dict[str, Any] = {}
        self.one = Host("h1", self.clock, network)
        self.two = Host("h2", self.clock, network)
        self.one.fleet.update_host(self.two.fleet.own)
        self.one.peers._update_host(self.two.fleet.own)

    def exchange(self) -> None:
        for host in (self.one, self.two, self.one, self.two):
            host.peers.report()
            host.deliver()

    def test_hosts_learn_of_each_other(self) -> None:
        self.exchange()
        peer = self.two.fleet.peers["h1"]
        self.assertTrue(peer.is_live(self.clock.now_s()))
        self.assertIs(peer.phase, HostPhase.READY)
        self.assertEqual(peer.record.caller_address, "h1:80")

    def test_evidence_counts_from_the_echoed_clock_value(self) -> None:
        self.exchange()
        self.one.state.config_confirmed_s = 90.0
        self.two.state.config_confirmed_s = 99.0
        self.one.peers.report()
        self.one.deliver()
        self.clock.advance(3.0)
        self.two.state.config_confirmed_s = 102.5
        self.two.peers.report()
        # The report waits in the socket buffer while the receiving host is suspended.
        self.clock.advance(20.0)
        self.two.deliver()
        # Sent at 100.0, echoed with evidence that was 0.5 s old.
        self.assertAlmostEqual(self.one.state.config_confirmed_s, 99.5, places=2)

    def test_a_clock_value_of_an_earlier_boot_is_no_evidence(self) -> None:
        self.exchange()
        self.one.state.config_confirmed_s = 1.0
        self.two.state.config_confirmed_s = self.clock.now_s()
        # The monotonic clock has restarted; the other host echoes an earlier value.
        self.one.peers._clock = ManualClock(2.0)
        self.two.peers.report()
        self.two.deliver()
        self.assertEqual(self.one.state.config_confirmed_s, 1.0)

    def test_evidence_of_another_version_is_ignored(self) -> None:
        self.exchange()
        # A host that has just started drops its own evidence as well.
        self.clock.advance(20.0)
        self.one.state.config_confirmed_s = 90.0
        self.two.state.config = config(version=2)
        self.two.state.config_confirmed_s = 100.0
        self.exchange()
        self.assertEqual(self.one.state.config_confirmed_s, 90.0)

    def test_a_newer_configuration_of_another_host_is_no_evidence_for_an_older_one(
        self,
    ) -> None:
        self.two.state.config = config(version=2)
        self.exchange()
        self.assertEqual(self.one.state.config_confirmed_s, float("-inf"))

    def test_evidence_for_a_configuration_that_others_have_replaced_is_ignored(
        self,
    ) -> None:
        # Two hosts start on a restored store. One of them has not heard of the newer
        # configuration yet, and reports that it has just read the older one.
        self.exchange()
        self.one.feeds.record_reported_config(2)
        self.clock.advance(0.2)
        self.two.state.config_confirmed_s = self.clock.now_s()
        self.exchange()
        self.assertEqual(self.one.state.config_confirmed_s, float("-inf"))

    def test_only_earlier_evidence_counts_once_a_newer_configuration_is_known(
        self,
    ) -> None:
        self.exchange()
        self.clock.advance(20.0)
        self.two.state.config_confirmed_s = self.clock.now_s()
        self.one.feeds.record_reported_config(2)
        self.exchange()
        self.assertAlmostEqual(self.one.state.config_confirmed_s, 120.0, places=2)
        self.clock.advance(1.0)
        self.two.state.config_confirmed_s = self.clock.now_s()
        self.exchange()
        self.assertAlmostEqual(self.one.state.config_confirmed_s, 120.0, places=2)

    def test_requests_of_other_hosts_are_counted(self) -> None:
        self.exchange()
        organisation = config().organisations["salsa"]
        for _ in range(5):
            self.clock.advance(1.0)
            self.exchange()
        for _ in range(40):
            self.two.eligibility.admit(organisation, self.clock.now_s())
        self.exchange()
        quotas = [host.eligibility.quotas["salsa"] for host in (self.one, self.two)]
        left = [0, 0]
        for number, quota in enumerate(quotas):
            quota.record_own_report()
            while quota.admit(self.clock.now_s(), hosts=1):
                left[number] += 1
        self.assertEqual(quotas[1].admitted - left[1], 40)
        self.assertEqual(left[0], left[1])

    def test_warm_objects_are_reported(self) -> None:
        self.exchange()
        warm_upstream = upstream("h:1")
        object_id = short_id("7")
        for host in (self.one, self.two):
            host.placement.record_of(warm_upstream)
        record = self.two.placement.record_of(warm_upstream)
        self.two.warm_objects.record_warming(
            record, warm_upstream.instance, object_id, 0.9
        )
        self.exchange()
        record_at_one = self.one.placement.record_of(warm_upstream)
        self.assertIsNotNone(record_at_one.warm_at_s(object_id, self.clock.now_s()))
        self.two.warm_objects.record_warm(record, warm_upstream.instance, object_id)
        self.exchange()
        self.assertTrue(record_at_one.is_warm(object_id))

    def test_entries_on_objects_that_wait_are_bounded(self) -> None:
        queue = WarmEntryQueue()
        for number in range(10_000):
            queue.add_now_warm(1, number)
            queue.add_warming(1, number, 0.9)
        self.assertEqual(len(queue), 2 * WAITING_ENTRIES_MAX)
        reports = [queue.take(0.0) for _ in range(WAITING_ENTRIES_MAX // ENTRIES_MAX)]
        self.assertEqual(reports[-1][0][-2:], [1, 9_999])
        self.assertEqual(reports[-1][1][-3:], [1, 9_999, 900])
        self.assertEqual(queue.take(0.0), ([], []))

    def test_malformed_reports_harm_nothing(self) -> None:
        for data in (b"", b"\xc1", b"\x93\x01\x02\x03", b"x" * 2000):
            self.one.peers.datagram_received(data, ("h9", 7000))
        self.assertEqual(self.one.telemetry.counters["peers.malformed"], 4)

    def test_a_deeply_nested_report_counts_as_malformed(self) -> None:
        report = msgspec.to_builtins(Report(1, 1, 1, 0, 1, 1, -1))
        for nested in (b"\x91" * 1000, b"\x91" * 1000 + b"\x01"):
            with self.subTest(nested[-1:]):
                # A field that a later version of the report may add.
                data = msgspec.msgpack.encode([*report, 0])[:-1] + nested
                self.one.peers.datagram_received(data, ("h9", 7000))
        self.assertEqual(self.one.telemetry.counters["peers.malformed"], 2)

    def test_a_report_of_a_port_out_of_range_counts_as_malformed(self) -> None:
        for port in (0, 70_000, 2**40):
            report = Report(1, 1, 1, 0, 1, 1, -1, ("h9", "h9:80", port, "a", "A"))
            data = msgspec.msgpack.encode(report)
            self.one.peers.datagram_received(data, ("h9", 7000))
        self.assertEqual(self.one.telemetry.counters["peers.malformed"], 3)
        self.assertNotIn("h9", self.one.fleet.peers)

    def test_an_old_report_does_not_undo_a_new_one(self) -> None:
        self.exchange()
        self.two.peers.report()
        old, self.two.sent = self.two.sent, []
        self.clock.advance(1.0)
        self.two.fleet.own_phase = HostPhase.LEAVING
        self.two.peers.report()
        self.two.deliver()
        self.two.sent = old
        self.two.deliver()
        self.assertIs(self.one.fleet.peers["h2"].phase, HostPhase.LEAVING)

    def test_hosts_with_another_version_count_each_others_requests(self) -> None:
        self.exchange()
        self.two.state.config = config(version=2)
        self.clock.advance(1.0)
        organisation = config().organisations["salsa"]
        self.two.eligibility.admit(organisation, self.clock.now_s())
        self.exchange()
        usage = self.one.eligibility.quotas["salsa"]._peers["h2"]
        self.assertEqual(usage.total, 1)

    def test_totals_for_another_list_of_organisations_are_ignored(self) -> None:
        self.exchange()
        before = config(version=2)
        organisations = {"aero": Organisation("aero", 0, 9.0, 9.0)}
        organisations |= before.organisations
        self.two.state.config = replace(before, organisations=organisations)
        self.two.eligibility.apply_config(self.clock.now_s())
        self.clock.advance(1.0)
        for _ in range(5):
            self.two.eligibility.admit(organisations["aero"], self.clock.now_s())
        self.exchange()
        self.assertNotIn("h2", self.one.eligibility.quotas["salsa"]._peers)

    def test_the_first_list_of_a_host_charges_no_organisation(self) -> None:
        # A host that starts gets totals of several hours, none of them recent.
        now_s = self.clock.now_s()
        before = config()
        organisations = {
            name: Organisation(name, 0, 9.0, 9.0) for name in ("salsa", "tango")
        }
        for host in (self.one, self.two):
            host.state.config = replace(before, organisations=organisations)
            host.eligibility.apply_config(now_s)
        for quota in self.two.eligibility.quotas.values():
            quota.admitted = 500
        levels = [q._level for q in self.one.eligibility.quotas.values()]
        self.exchange()
        after = [q._level for q in self.one.eligibility.quotas.values()]
        self.assertEqual(after, levels)

    def test_a_restarted_host_is_charged_from_zero(self) -> None:
        self.exchange()
        self.clock.advance(1.0)
        organisation = config().organisations["salsa"]
        quota = self.two.eligibility.quotas["salsa"]
        for _ in range(7):
            self.two.eligibility.admit(organisation, self.clock.now_s())
        self.exchange()
        self.two.peers._incarnation += 1
        quota.admitted = 9
        level = self.one.eligibility.quotas["salsa"]._level
        self.two.peers.report()
        self.two.deliver()
        self.assertEqual(self.one.eligibility.quotas["salsa"]._level, level - 9)


class StartTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a host that serves before it knows who shares its quotas."""

    def setUp(self) -> None:
        self.host = Host("10.0.0.1", ManualClock(100.0), {})
        self.host.state.has_read_hosts = False

    def put_row(self, name: str) -> None:
        content = {
            "caller_address": f"{name}:80",
            "peer_ip": name,
            "peer_port": 7000,
            "zone": "a",
            "region": "A",
        }
        key = RowKey("hosts", name)
        self.host.platform.rows[name] = Row(key, 1, content)

    async def start(self) -> list[Transaction]:
        """Start the host while writes to the store are not answered."""
        written: list[Transaction] = []

        async def lose(transaction: Transaction) -> Committed:
            written.append(transaction)
            return await asyncio.get_running_loop().create_future()

        with mock.patch.object(self.host.platform, "transact", lose):
            task = asyncio.create_task(self.host.peers.run())
            await asyncio.sleep(0.02)
            task.cancel()
        return written

    async def test_a_host_reports_although_its_registration_is_not_answered(
        self,
    ) -> None:
        self.put_row("10.0.0.2")
        self.assertEqual(len(await self.start()), 1)
        self.assertTrue(self.host.state.has_read_hosts)
        self.assertIn("10.0.0.2", [name for _, name in self.host.sent])

    async def test_rows_with_an_invalid_address_are_skipped(self) -> None:
        # A datagram to such an address closes the socket of the reports.
        self.put_row("10.0.0.2")
        for name, changes in (
            ("10.0.0.3", {"peer_port": 70000}),
            ("10.0.0.4", {"peer_port": 10**30}),
            ("10.0.0.5", {"peer_ip": "a..b"}),
            ("10.0.0.6", {"caller_address": "10.0.0.6"}),
        ):
            self.put_row(name)
            row = self.host.platform.rows[name]
            self.host.platform.rows[name] = replace(row, value={**row.value, **changes})
        await self.start()
        self.assertEqual(set(self.host.fleet.peers), {"10.0.0.2"})

    async def test_a_restarted_host_does_not_write_again(self) -> None:
        self.put_row("10.0.0.1")
        self.put_row("10.0.0.2")
        self.assertEqual(await self.start(), [])
        self.assertTrue(self.host.state.has_read_hosts)

    async def run_until_idle(self) -> None:
        """Run reports without pauses for a moment."""
        sleep = asyncio.sleep
        with mock.patch(
            "cardamomquay_daemon.edge._peers.asyncio.sleep", lambda _: sleep(0.001)
        ):
            task = asyncio.create_task(self.host.peers.run())
            await sleep(0.02)
            self.host.state.orders_revision = make_revision(2, 5)
            self.host.platform.rows = dict(self.restored_rows)
            await sleep(0.05)
            task.cancel()

    async def test_a_host_whose_row_was_lost_registers_again(self) -> None:
        self.put_row("10.0.0.2")
        self.restored_rows = dict(self.host.platform.rows)
        self.put_row("10.0.0.1")
        for name, lost_answers, expected in (("at once", 0, 1), ("later", 2, 3)):
            with self.subTest(name):
                lost = [Unavailable("no_answer")] * lost_answers
                transact = mock.AsyncMock(side_effect=[*lost, Committed(1)])
                self.host.state.orders_revision = make_revision(1, 9)
                self.put_row("10.0.0.1")
                with mock.patch.object(self.host.platform, "transact", transact):
                    await self.run_until_idle()
                written = [call.args[0] for call in transact.call_args_list]
                keys = [transaction.writes[0].key.key for transaction in written]
                self.assertEqual(keys, ["10.0.0.1"] * expected)

    async def test_a_host_whose_row_was_kept_does_not_write_again(self) -> None:
        self.put_row("10.0.0.1")
        self.restored_rows = dict(self.host.platform.rows)
        self.host.state.orders_revision = make_revision(1, 9)
        transact = mock.AsyncMock()
        with mock.patch.object(self.host.platform, "transact", transact):
            await self.run_until_idle()
        transact.assert_not_called()

    async def test_a_first_host_waits_for_its_registration(self) -> None:
        self.assertEqual(len(await self.start()), 1)
        self.assertFalse(self.host.state.has_read_hosts)
        self.assertFalse(self.host.state.is_loaded)


class LargeFleetTest(PeersTest):
    """Guards against hosts of a large fleet that miss what their reader has read."""

    def setUp(self) -> None:
        super().setUp()
        for host in (self.one, self.two):
            for number in range(80):
                name = f"s{number}"
                host.fleet.update_host(
                    HostRecord(name, f"{name}:80", name, 7000, "a", "A")
                )
            host.state.orders_revision = host.state.upstreams_revision = 5
            host.state.orders_confirmed_s = host.state.upstreams_confirmed_s = 100.0
            host.feeds.upstream_change_log.record_snapshot(5)

    def test_one_host_reads_for_the_zone(self) -> None:
        self.exchange()
        now_s = self.clock.now_s()
        reading = [host.fleet.is_reader(now_s) for host in (self.one, self.two)]
        self.assertEqual(sorted(reading), [False, True])

    def test_a_change_of_the_reader_is_logged(self) -> None:
        self.exchange()
        for host in (self.one, self.two):
            host.peers.report_to_zone()
            host.peers.report_to_zone()
        logged = [
            fields["is_reader"]
            for host in (self.one, self.two)
            for name, fields in host.telemetry.events
            if name == "store_reading"
        ]
        self.assertEqual(logged, [True])

    def test_changes_of_upstreams_reach_the_zone(self) -> None:
        self.exchange()
        hosts = [self.one, self.two]
        hosts.sort(key=lambda host: host.fleet.is_reader(self.clock.now_s()))
        receiver, reader = hosts
        self.clock.advance(0.5)
        reader.feeds.upstream_change_log.record_change("i-1", upstream("h:1"), 6)
        reader.state.upstreams_revision = 6
        reader.state.upstreams_confirmed_s = self.clock.now_s()
        reader.peers.report_to_zone()
        reader.deliver()
        self.assertIn("i-1", receiver.state.upstreams.by_instance)
        # The latest clock value that the reader can echo is from the exchange above.
        self.assertAlmostEqual(receiver.state.upstreams_confirmed_s, 100.0, places=2)

    def test_a_reader_with_lapsed_entries_reports_no_changes(self) -> None:
        self.exchange()
        hosts = [self.one, self.two]
        hosts.sort(key=lambda host: host.fleet.is_reader(self.clock.now_s()))
        _, reader = hosts
        reader.feeds._lapsed.add("i-1")
        reader.state.upstreams_revision = 6
        reader.sent.clear()
        reader.peers.report_to_zone()
        reports = [msgspec.msgpack.decode(data, type=Report) for data, _ in reader.sent]
        self.assertTrue(reports)
        self.assertTrue(all(r.large and r.large.upstreams is None for r in reports))

    def test_a_later_order_is_reported(self) -> None:
        self.exchange()
        self.two.state.latest_order_revision = self.two.state.orders_revision = 8
        self.two.peers.report()
        self.two.deliver()
        self.assertTrue(self.one.feeds._orders_missing.is_set())

    def admit(self, host: Host, count: int) -> None:
        organisation = config().organisations["salsa"]
        for _ in range(count):
            host.eligibility.admit(organisation, self.clock.now_s())

    def counted(self) -> int:
        """Return how many requests of the second host the first one has counted."""
        usage = self.one.eligibility.quotas["salsa"]._peers.get("h2")
        return usage.total if usage else 0

    def test_only_recent_changes_are_sent_again(self) -> None:
        self.exchange()
        self.clock.advance(1.0)
        self.admit(self.two, 3)
        self.exchange()
        self.assertEqual(self.counted(), 3)
        self.clock.advance(USAGE_CHANGE_REPEAT_S + 0.5)
        self.two.peers.report()
        sent = [data for data, name in self.two.sent if name == "h1"]
        report = msgspec.msgpack.decode(sent[0], type=Report)
        self.assertEqual(report.usage, [])

    def forget_totals_of_other(self) -> FleetQuota:
        """Let the first host forget the second one, which has admitted 50 requests."""
        self.exchange()
        self.clock.advance(1.0)
        self.admit(self.two, 50)
        quota = self.one.eligibility.quotas["salsa"]
        self.one.eligibility.report_times.clear_host("h2")
        quota.clear_peer("h2")
        return quota

    def test_a_total_before_the_first_full_list_is_no_increase(self) -> None:
        quota = self.forget_totals_of_other()
        level = quota._level
        self.two.peers.report()
        self.two.deliver()
        self.assertGreaterEqual(quota._level, level)
        self.clock.advance(FULL_USAGE_PERIOD_S)
        level = quota._level
        self.exchange()
        self.assertEqual(self.counted(), 50)
        self.assertGreaterEqual(quota._level, level)

    def test_an_increase_before_the_first_full_list_is_counted(self) -> None:
        quota = self.forget_totals_of_other()
        self.two.peers.report()
        self.two.deliver()
        level = quota._level
        self.admit(self.two, 7)
        self.two.peers.report()
        self.two.deliver()
        self.assertEqual(quota._level, level - 7)
