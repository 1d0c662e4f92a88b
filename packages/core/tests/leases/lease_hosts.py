"""Simulated hosts that run the lease reducer against one table service.

Time advances only when a test advances the clock.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from cardamomquay.config_sync import ConfigReducer
from cardamomquay.config_sync import ConfigState
from cardamomquay.config_sync import HeadRead
from cardamomquay.config_sync import HeadReadFailed
from cardamomquay.config_sync import ReadHead
from cardamomquay.leases import LeaseReducer
from cardamomquay.leases import LeaseState
from cardamomquay.leases import is_lease_valid
from cardamomquay.leases import lease_row_key
from cardamomquay.leases import parse_lease_row
from cardamomquay.leases import run_lease_effect
from cardamomquay.membership import Member
from cardamomquay.membership import MemberRecord
from cardamomquay.membership import MembershipReducer
from cardamomquay.membership import MembershipState
from cardamomquay.platform import Unavailable
from cardamomquay.reducer import Identity
from cardamomquay.reducer import RootReducer
from cardamomquay.reducer import Tick

if TYPE_CHECKING:
    from cardamomquay.clock import ManualClock
    from cardamomquay.leases import LeaseRow
    from cardamomquay.platform import MemoryTableService
    from cardamomquay.reducer import Effect
    from cardamomquay.reducer import Event

STORE_REGION = "mtl"


class SimulatedLeaseHost:
    """The reducer of one host's daemon, without threads.

    `pending_effects` holds the effects that have not been carried out yet,
    `pending_answers` the events that have not been applied yet, and `notifications` the
    effects that need no answer.
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        region: str,
        clock: ManualClock,
        tables: MemoryTableService,
    ) -> None:
        self.identity = Identity(host, incarnation, region, "a", STORE_REGION)
        self.clock = clock
        self.tables = tables
        self.reducer = RootReducer(
            [MembershipReducer(), ConfigReducer(), LeaseReducer()]
        )
        self.core = self.reducer.initial(self.identity)
        self.pending_effects: list[tuple[float, Effect]] = []
        self.pending_answers: list[Event] = []
        self.notifications: list[Effect] = []

    @property
    def lease(self) -> LeaseState:
        return self.core.state_of(LeaseState)

    @property
    def valid(self) -> bool:
        return is_lease_valid(self.lease, self.clock.now_s())

    def apply(self, event: Event) -> None:
        self.core, effects = self.reducer.reduce(self.core, event)
        self.pending_effects += [(event.now_s, effect) for effect in effects]

    def execute(self) -> None:
        """Carry out the oldest pending effect at the table service."""
        started_s, effect = self.pending_effects.pop(0)
        match effect:
            case ReadHead():
                # Uses a scan, so that `Faults.fail_reads` affects only reads of leases.
                result = self.tables.scan("config")
                failed = isinstance(result, Unavailable)
                self.pending_answers.append(
                    HeadReadFailed(0.0, started_s, result.refused)
                    if failed
                    else HeadRead(0.0, started_s, 0)
                )
            case _:
                event = run_lease_effect(effect, self.tables, self.clock)
                if event is None:
                    self.notifications.append(effect)
                else:
                    self.pending_answers.append(event)

    def deliver(self) -> None:
        """Apply the oldest answer, with the current time as its time of arrival."""
        self.apply(replace(self.pending_answers.pop(0), now_s=self.clock.now_s()))

    def step(self) -> None:
        """Carry out one effect, apply one answer, or advance the time by 0.5 s.

        A test can pause the host between two steps.
        """
        if self.pending_effects:
            self.execute()
        elif self.pending_answers:
            self.deliver()
        else:
            self.clock.advance(0.5)
            self.apply(Tick(self.clock.now_s()))

    def run_pending(self) -> None:
        while self.pending_effects or self.pending_answers:
            if self.pending_effects:
                self.execute()
            else:
                self.deliver()

    def tick(self) -> None:
        self.apply(Tick(self.clock.now_s()))
        self.run_pending()

    def notifications_of(self, kind: type) -> list[Effect]:
        return [effect for effect in self.notifications if isinstance(effect, kind)]


def exchange(hosts: list[SimulatedLeaseHost]) -> None:
    """Give every host the newest store reports of all hosts."""
    for host in hosts:
        members = host.core.state_of(MembershipState).members
        for other in hosts:
            config = other.core.state_of(ConfigState)
            identity = other.identity
            record = MemberRecord(
                identity.host,
                identity.incarnation,
                0,
                identity.region,
                "a",
                "",
                "",
                store_report=config.store_report,
                store_report_at_s=config.store_report_at_s,
            )
            members = members.set(identity.host, Member(record, host.clock.now_s()))
        state = replace(host.core.state_of(MembershipState), members=members)
        host.core = replace(
            host.core, states=host.core.states.set(MembershipState, state)
        )


def run(hosts: list[SimulatedLeaseHost], seconds: float, step_s: float = 0.5) -> None:
    for _ in range(round(seconds / step_s)):
        hosts[0].clock.advance(step_s)
        for host in hosts:
            host.tick()
        exchange(hosts)


def stored_lease(tables: MemoryTableService, host: str) -> LeaseRow | None:
    """Return the stored lease of a host, regardless of simulated faults."""
    return parse_lease_row(tables.stored_row(lease_row_key(host)))
