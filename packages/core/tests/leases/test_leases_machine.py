from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from leases.hosts import LeaseHost
from leases.hosts import exchange
from leases.hosts import stored_lease
from table_service.faulty import FaultyTables

from cardamomquay.clock import ManualClock
from cardamomquay.leases import ReleaseLeaseRequested
from cardamomquay.reducer import Tick

REGIONS = {"a": "qc", "m1": "mtl", "m2": "mtl"}
NAMES = st.sampled_from(sorted(REGIONS))


class LeaseMachine(RuleBasedStateMachine):
    """Guards against two holders of one row, and fences that do not grow.

    Hosts are paused, killed and replaced, answers are lost, late or dropped, the
    store goes down. A holder counts its lease as valid only while the row is its.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock(100.0)
        self.tables = FaultyTables()
        self.runs = 0
        self.hosts = [self.new_host(name) for name in REGIONS]
        self.paused: set[str] = set()
        self.fences: dict[str, int] = {}
        self.owners: dict[tuple[str, int], str] = {}

    def new_host(self, name: str) -> LeaseHost:
        self.runs += 1
        region = REGIONS[name]
        return LeaseHost(name, str(self.runs), region, self.clock, self.tables)

    @property
    def running(self) -> list[LeaseHost]:
        return [h for h in self.hosts if h.identity.incarnation not in self.paused]

    @rule(steps=st.integers(1, 16))
    def time_passes(self, steps: int) -> None:
        for _ in range(steps):
            self.clock.advance(0.5)
            for host in self.running:
                host.tick()
                self.rows_agree()
            if self.running:
                exchange(self.running)

    @rule(name=NAMES, steps=st.integers(0, 4))
    def pause(self, name: str, steps: int) -> None:
        """Pause the name's hosts after some steps and start one more run of it."""
        for host in self.running:
            if host.identity.host == name:
                host.post(Tick(self.clock.now_s()))
                for _ in range(steps):
                    if host.issued or host.answers:
                        host.step()
                self.paused.add(host.identity.incarnation)
        self.hosts.append(self.new_host(name))

    @rule()
    def resume(self) -> None:
        self.paused.clear()
        for host in self.hosts:
            host.tick()
            self.rows_agree()

    @rule(name=NAMES)
    def kill(self, name: str) -> None:
        self.hosts = [h for h in self.hosts if h.identity.host != name]
        self.hosts.append(self.new_host(name))

    @rule(name=NAMES)
    def stop(self, name: str) -> None:
        for host in self.running:
            if host.identity.host == name:
                host.post(ReleaseLeaseRequested(self.clock.now_s()))
                host.settle()
        self.hosts.append(self.new_host(name))

    @rule(fates=st.lists(st.sampled_from(["ok", "lost", "late", "dropped"])))
    def answers_go_wrong(self, fates: list[str]) -> None:
        self.tables.fates = fates

    @precondition(lambda self: self.tables.late)
    @rule()
    def late_commit(self) -> None:
        self.tables.deliver_late()

    @rule(down=st.booleans())
    def outage(self, down: bool) -> None:
        self.tables.inner.faults.down = down

    @invariant()
    def rows_agree(self) -> None:
        for host in self.hosts:
            if not host.valid:
                continue
            name, lease = host.identity.host, host.lease
            row = stored_lease(self.tables, name)
            assert row is not None, f"{name} acts on a lease that was reclaimed"
            assert row.incarnation == host.identity.incarnation, f"{name} was replaced"
            assert row.fence == lease.fence
        for name in REGIONS:
            row = stored_lease(self.tables, name)
            if row is not None:
                assert row.fence >= self.fences.get(name, 0), "the fence went back"
                self.fences[name] = row.fence
                owner = self.owners.setdefault((name, row.fence), row.incarnation)
                assert owner == row.incarnation, "two runs got the same fence"


LeaseMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=25,
)
LeaseMachineTest = LeaseMachine.TestCase
