from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from leases.lease_hosts import SimulatedLeaseHost
from leases.lease_hosts import exchange
from leases.lease_hosts import stored_lease

from cardamomquay.clock import ManualClock
from cardamomquay.leases import LeaseReleaseRequested
from cardamomquay.leases import LeaseRowsRead
from cardamomquay.leases import LeaseRowsWritten
from cardamomquay.leases import ReadLeaseRows
from cardamomquay.leases import WriteLeaseRows
from cardamomquay.platform import MemoryTableService

REGIONS = {"a": "qc", "m1": "mtl", "m2": "mtl"}
NAMES = st.sampled_from(sorted(REGIONS))
# Numbers of steps of 0.5 s.
STEPS = [1, 2, 3, 5, 8, 13, 21]
PAUSE_STEPS = [2, 16, 24]
PAUSE_POINTS = [WriteLeaseRows, LeaseRowsWritten, ReadLeaseRows, LeaseRowsRead]


class LeaseMachine(RuleBasedStateMachine):
    """Guards against two valid leases of one host, and fencing tokens that do not grow.

    Hosts are paused, killed, replaced and partitioned from the store; transactions lose
    their answers, commit late or are dropped; the store goes down. At every step a host
    may treat its lease as valid only while the stored row belongs to its incarnation.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock(100.0)
        self.tables = MemoryTableService()
        self.incarnation_count = 0
        self.hosts = [self.new_host(name) for name in REGIONS]
        self.paused: set[str] = set()
        self.highest_fences: dict[str, int] = {}
        self.incarnation_by_fence: dict[tuple[str, int], str] = {}
        self.unreachable_tables = MemoryTableService()
        self.unreachable_tables.faults.unreachable = True
        # Long enough for the hosts that reclaim to watch every lease.
        self.time_passes(24)

    def new_host(self, name: str) -> SimulatedLeaseHost:
        self.incarnation_count += 1
        region = REGIONS[name]
        return SimulatedLeaseHost(
            name, str(self.incarnation_count), region, self.clock, self.tables
        )

    @property
    def running(self) -> list[SimulatedLeaseHost]:
        return [h for h in self.hosts if h.identity.incarnation not in self.paused]

    @rule(steps=st.sampled_from(STEPS))
    def time_passes(self, steps: int) -> None:
        for _ in range(steps):
            self.clock.advance(0.5)
            for host in self.running:
                host.tick()
                self.valid_leases_match_stored_rows()
            if self.running:
                exchange(self.running)

    @rule(
        name=NAMES,
        point=st.sampled_from(PAUSE_POINTS),
        away=st.sampled_from(PAUSE_STEPS),
    )
    def pause(self, name: str, point: type, away: int) -> None:
        """Pause the running incarnations of a host and start a new one.

        Each is paused right before an effect or event of the given type, if one comes.
        `away` is how many steps pass afterwards.
        """
        for host in self.running:
            if host.identity.host == name:
                for _ in range(40):
                    waiting = [effect for _, effect in host.pending_effects[:1]]
                    if any(
                        isinstance(x, point) for x in waiting + host.pending_answers[:1]
                    ):
                        break
                    host.step()
                self.paused.add(host.identity.incarnation)
        self.hosts.append(self.new_host(name))
        self.time_passes(away)

    @rule()
    def resume(self) -> None:
        self.paused.clear()
        for host in self.hosts:
            host.run_pending()
            self.valid_leases_match_stored_rows()
            host.tick()
            self.valid_leases_match_stored_rows()

    @rule(name=NAMES, cut=st.booleans())
    def link_to_store(self, name: str, cut: bool) -> None:
        for host in self.hosts:
            if host.identity.host == name:
                host.tables = self.unreachable_tables if cut else self.tables

    @rule(name=NAMES)
    def kill(self, name: str) -> None:
        self.hosts = [h for h in self.hosts if h.identity.host != name]
        self.hosts.append(self.new_host(name))

    @rule(name=NAMES)
    def stop(self, name: str) -> None:
        for host in self.running:
            if host.identity.host == name:
                host.apply(LeaseReleaseRequested(self.clock.now_s()))
                host.run_pending()
        self.hosts.append(self.new_host(name))

    @rule(fates=st.lists(st.sampled_from(["ok", "lost", "late", "dropped"])))
    def answers_go_wrong(self, fates: list[str]) -> None:
        self.tables.faults.fates = fates

    @rule()
    def late_commit(self) -> None:
        self.tables.commit_delayed()

    @rule(down=st.booleans())
    def outage(self, down: bool) -> None:
        self.tables.faults.down = down

    @invariant()
    def valid_leases_match_stored_rows(self) -> None:
        for host in self.hosts:
            if not host.valid:
                continue
            name, lease = host.identity.host, host.lease
            row = stored_lease(self.tables, name)
            assert row is not None, f"{name} counts a reclaimed lease as valid"
            assert row.incarnation == host.identity.incarnation, (
                f"{name} counts the lease of its successor as valid"
            )
            assert row.fence == lease.fence
        for name in REGIONS:
            row = stored_lease(self.tables, name)
            if row is not None:
                assert row.fence >= self.highest_fences.get(name, 0), (
                    "the fencing token has decreased"
                )
                self.highest_fences[name] = row.fence
                first_incarnation = self.incarnation_by_fence.setdefault(
                    (name, row.fence), row.incarnation
                )
                assert first_incarnation == row.incarnation, (
                    "two incarnations have the same fencing token"
                )


LeaseMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    stateful_step_count=12,
)
LeaseMachineTest = LeaseMachine.TestCase
