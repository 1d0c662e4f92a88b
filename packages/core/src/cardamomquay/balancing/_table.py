"""The slots that a host has borrowed from one lender, and who waits for them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from cardamomquay.balancing._chooser import ObservedResult
from cardamomquay.balancing._chooser import Reservation
from cardamomquay.balancing._health import FAILED_RESULTS
from cardamomquay.balancing._health import PassiveHealth
from cardamomquay.balancing._health import UpstreamReport
from cardamomquay.balancing._messages import SlotCount
from cardamomquay.balancing._messages import SlotRequest
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from cardamomquay.balancing._chooser import Observation
    from cardamomquay.balancing._messages import SlotGrant
    from cardamomquay.config import Pool

BUSY_INTERVAL_S = 0.2
IDLE_INTERVAL_S = 0.5
# Under contention, 0.02 s sheds less and 0.05 s costs fewer calls; see
# `measure_balancing`.
WAITING_INTERVAL_S = 0.03
CONTENDED_INTERVAL_S = 0.03
MIN_GAP_S = 0.005
CALL_TIMEOUT_S = 0.25
# Slots for the highest demand of this time are kept while no other host needs them,
# so that they are not returned and borrowed again between two requests.
DEMAND_WINDOW_S = 1.0
SPARE_SLOTS = 1
QUEUE_MAX = 64
REST_MAX_S = 1.0


@dataclass(slots=True, eq=False)
class Ticket:
    """A request that waits for a slot; `result` is set when it is decided."""

    organisation: str
    excluded: frozenset[str]
    deadline_s: float
    tag: float = 0.0
    result: Reservation | Refusal | None = None


@dataclass(slots=True)
class _Held:
    slots: int = 0
    in_use: int = 0
    share: float = 1.0
    rest_until_s: float = 0.0
    used_at_s: float = 0.0


class SlotTable:
    """Slots of one pool in one region on one host; the caller serialises access.

    Waiting requests get slots by weighted fairness between organisations.

    Parameters
    ----------
    pool : Pool
    region : str
    borrower, incarnation : str
        This host and its run.
    now_s : float
    """

    def __init__(
        self, pool: Pool, region: str, borrower: str, incarnation: str, now_s: float
    ) -> None:
        self._region = region
        self._borrower = borrower
        self._incarnation = incarnation
        self._held: dict[str, _Held] = {}
        self._stopped: frozenset[str] = frozenset()
        self._keep = 0
        self._valid_until_s = float("-inf")
        self._sequence = 0
        self._called_at_s = float("-inf")
        self._outstanding = False
        self._told_demand = 0
        self._told_wanted = 0
        self._contended = False
        self._spare_connections = 0
        self._demands: deque[tuple[float, int]] = deque()
        self._reports: dict[str, UpstreamReport] = {}
        self._queue: list[Ticket] = []
        self._weights: Mapping[str, float] = {}
        self._virtual = 0.0
        self._last_tags: dict[str, float] = {}
        self._mean_latency_s = 0.0
        self.health = PassiveHealth(now_s, needs_probe=False)
        self.apply_pool(pool, now_s)

    def apply_pool(self, pool: Pool, now_s: float) -> None:
        """Apply a configuration; upstreams that drain get no new work at once."""
        self._pool = pool.name
        self._upstreams = {
            u.name: u for u in pool.upstreams if u.region == self._region
        }
        draining = [u.name for u in self._upstreams.values() if u.draining]
        self.health.set_upstreams(self._upstreams, draining, now_s)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set each organisation's weight, its entitled rate; 1 by default."""
        self._weights = weights

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    def held(self, upstream: str) -> int:
        """Return the slots held of an upstream."""
        held = self._held.get(upstream)
        return 0 if held is None else max(held.slots, held.in_use)

    def connections_allowed(self, upstream: str, now_s: float) -> int:
        """Return how many connections this host may keep open to an upstream."""
        if now_s >= self._valid_until_s:
            return self.in_use(upstream)
        return self.held(upstream) + self._spare_connections

    def in_use(self, upstream: str) -> int:
        """Return the slots of an upstream that requests use now."""
        held = self._held.get(upstream)
        return 0 if held is None else held.in_use

    def submit(
        self,
        organisation: str,
        excluded: Collection[str],
        deadline_s: float,
        now_s: float,
    ) -> Ticket:
        """Ask for a slot.

        Parameters
        ----------
        organisation : str
        excluded : collection of str
        deadline_s : float
            Latest time until which the request may wait.
        now_s : float

        Returns
        -------
        Ticket
            Decided at once, or later by `settle`.
        """
        ticket = Ticket(organisation, frozenset(excluded), deadline_s)
        usable = [u.name for u in self._upstreams.values() if not u.draining]
        if not set(usable) - ticket.excluded:
            reason = RefusalReason.POOL_BUSY if usable else RefusalReason.POOL_EMPTY
            ticket.result = Refusal(reason, f"pool {self._pool} has no other upstream")
            return ticket
        self.settle(now_s)
        weight = max(self._weights.get(organisation, 1.0), 1e-6)
        start = max(self._virtual, self._last_tags.get(organisation, 0.0))
        ticket.tag = start + 1.0 / weight
        if not any(w.excluded <= ticket.excluded for w in self._queue):
            ticket.result = self._pick(ticket, now_s)
        if ticket.result is None and not self._may_wait(ticket, now_s):
            self._note_demand(now_s, unmet=1)
            ticket.result = Refusal(
                RefusalReason.POOL_BUSY, f"pool {self._pool}: {self.waiting} waiting"
            )
            return ticket
        self._last_tags[organisation] = ticket.tag
        if ticket.result is None:
            self._queue.append(ticket)
            self._note_demand(now_s)
        return ticket

    def cancel(self, ticket: Ticket) -> None:
        """Withdraw a request that waits."""
        if ticket in self._queue:
            self._queue.remove(ticket)

    def release(
        self, reservation: Reservation, observation: Observation, now_s: float
    ) -> None:
        """Return a slot to this host's free ones and learn from the request.

        Parameters
        ----------
        reservation : Reservation
        observation : Observation
        now_s : float
        """
        name = reservation.upstream.name
        self.health.observe(name, observation, now_s)
        self._add_report(name, observation)
        held = self._held.get(name)
        if held is not None and held.in_use > 0:
            held.in_use -= 1
            held.used_at_s = now_s
            slots = held.share * reservation.upstream.slots
            if slots < 1.0:
                # Spreads the use of one slot so that the ramp's share holds.
                rest_s = observation.latency_s * (1.0 / max(slots, 0.01) - 1.0)
                held.rest_until_s = now_s + min(REST_MAX_S, rest_s)
        self.settle(now_s)

    def settle(self, now_s: float) -> None:
        """Refuse requests whose wait is over and give free slots to the others."""
        for ticket in [t for t in self._queue if now_s >= t.deadline_s]:
            ticket.result = Refusal(RefusalReason.POOL_BUSY, "no slot in time")
            self._queue.remove(ticket)
        for ticket in sorted(self._queue, key=lambda t: t.tag):
            ticket.result = self._pick(ticket, now_s)
            if ticket.result is not None:
                self._queue.remove(ticket)

    def next_call(self, now_s: float) -> SlotRequest | None:
        """Return the request that is due to the lender, if any.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        SlotRequest or None
        """
        if not self._upstreams and not self._held:
            return None
        age_s = now_s - self._called_at_s
        if age_s < (CALL_TIMEOUT_S if self._outstanding else MIN_GAP_S):
            return None
        demand = self.waiting + self._in_use()
        wanted = self._note_demand(now_s)
        if age_s < self._interval_s(demand, wanted):
            return None
        self._drop_surplus(wanted, now_s)
        request = SlotRequest(
            self._pool,
            self._region,
            self._borrower,
            self._incarnation,
            self._sequence + 1,
            tuple(SlotCount(n, h.slots) for n, h in self._held.items() if h.slots),
            now_s < self._valid_until_s,
            demand,
            wanted,
            tuple(
                name
                for name in self._upstreams
                if self.health.usable_share(name, now_s) == 0
            ),
            tuple(self._reports.values()),
        )
        self._sequence += 1
        self._reports.clear()
        self._called_at_s = now_s
        self._told_demand = demand
        self._told_wanted = wanted
        self._outstanding = True
        return request

    def apply_reply(
        self, request: SlotRequest, grant: SlotGrant | None, now_s: float
    ) -> None:
        """Apply the lender's reply; a reply to an older request is ignored.

        Parameters
        ----------
        request : SlotRequest
        grant : SlotGrant or None
        now_s : float
        """
        if request.sequence != self._sequence or not self._outstanding:
            return
        self._outstanding = False
        if grant is None:
            return
        granted = {item.upstream: item for item in grant.slots}
        for name in granted.keys() - self._held.keys():
            self._held[name] = _Held(used_at_s=now_s)
        for name, held in tuple(self._held.items()):
            item = granted.get(name)
            held.slots = 0 if item is None else item.slots
            held.share = 1.0 if item is None else item.share
            if held.slots == 0 and held.in_use == 0:
                del self._held[name]
        self._keep = grant.keep
        self._stopped = frozenset(grant.stopped)
        self._contended = grant.contended
        self._spare_connections = grant.spare_connections
        # Dated from the start of the call: the lender dates it from a later time.
        self._valid_until_s = self._called_at_s + grant.valid_s
        self.settle(now_s)

    def _pick(self, ticket: Ticket, now_s: float) -> Reservation | None:
        if now_s >= self._valid_until_s or self._in_use() >= self._keep:
            return None
        best: tuple[tuple[float, float, str], str] | None = None
        for name, held in self._held.items():
            if name in ticket.excluded or not self._is_open(name, held, now_s):
                continue
            cost = (self.health.cost_s(name, now_s), -held.used_at_s, name)
            if best is None or cost < best[0]:
                best = (cost, name)
        if best is None:
            return None
        name = best[1]
        held = self._held[name]
        held.in_use += 1
        held.used_at_s = now_s
        self._virtual = max(self._virtual, ticket.tag)
        self._note_demand(now_s)
        return Reservation(self._pool, self._upstreams[name], self._valid_until_s)

    def _is_open(self, name: str, held: _Held, now_s: float) -> bool:
        return (
            held.in_use < held.slots
            and held.rest_until_s <= now_s
            and name in self._upstreams
            and name not in self._stopped
            and self.health.usable_share(name, now_s) > 0
        )

    def _may_wait(self, ticket: Ticket, now_s: float) -> bool:
        held = sum(held.slots for held in self._held.values())
        expected_s = self._mean_latency_s * self.waiting / max(1, held)
        if now_s + expected_s >= ticket.deadline_s:
            return False
        if self.waiting < QUEUE_MAX:
            return True
        # A full queue drops a request of the organisation that waits most, for its
        # weight, unless that is the new request's own.
        last = max(self._queue, key=lambda t: t.tag)
        if last.tag <= ticket.tag:
            return False
        last.result = Refusal(RefusalReason.POOL_BUSY, "queue is full")
        self._queue.remove(last)
        return True

    def _note_demand(self, now_s: float, unmet: int = 0) -> int:
        demand = self.waiting + self._in_use() + unmet
        while self._demands and self._demands[0][0] < now_s - DEMAND_WINDOW_S:
            self._demands.popleft()
        while self._demands and self._demands[-1][1] <= demand:
            self._demands.pop()
        self._demands.append((now_s, demand))
        highest = self._demands[0][1]
        return highest + SPARE_SLOTS if highest else 0

    def _in_use(self) -> int:
        return sum(held.in_use for held in self._held.values())

    def _interval_s(self, demand: int, wanted: int) -> float:
        held = sum(held.slots for held in self._held.values())
        idle = held - self._in_use()
        if demand > max(held, self._told_demand) or (held > self._keep and idle > 0):
            return MIN_GAP_S
        if wanted and not held and not self._told_wanted:
            return MIN_GAP_S
        if self._queue:
            return WAITING_INTERVAL_S
        if self._contended and idle > 0:
            return CONTENDED_INTERVAL_S
        return BUSY_INTERVAL_S if wanted else IDLE_INTERVAL_S

    def _drop_surplus(self, wanted: int, now_s: float) -> None:
        for name, held in self._held.items():
            usable = name in self._upstreams and name not in self._stopped
            if not usable or self.health.usable_share(name, now_s) == 0:
                held.slots = min(held.slots, held.in_use)
        allowed = min(self._keep, wanted)
        surplus = sum(held.slots for held in self._held.values()) - allowed
        by_cost = sorted(
            self._held,
            key=lambda n: (self.health.cost_s(n, now_s), -self._held[n].used_at_s),
        )
        while surplus > 0 and by_cost:
            held = self._held[by_cost.pop()]
            idle = max(0, held.slots - held.in_use)
            held.slots -= min(idle, surplus)
            surplus -= min(idle, surplus)

    def _add_report(self, name: str, observation: Observation) -> None:
        result = observation.result
        old = self._reports.get(name, UpstreamReport(name))
        if result is ObservedResult.ANSWERED:
            self._mean_latency_s += 0.1 * (observation.latency_s - self._mean_latency_s)
            old = replace(
                old,
                answered=old.answered + 1,
                latency_sum_s=old.latency_sum_s + observation.latency_s,
            )
        elif result is ObservedResult.SHED:
            old = replace(old, shed=old.shed + 1)
        elif result in FAILED_RESULTS:
            old = replace(old, failed=old.failed + 1)
        self._reports[name] = old
