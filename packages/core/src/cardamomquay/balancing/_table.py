"""The slots that a host has borrowed from one lender, and who waits for them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.balancing._chooser import ObservedResult
from cardamomquay.balancing._chooser import Reservation
from cardamomquay.balancing._health import PassiveHealth
from cardamomquay.balancing._line import LenderLine
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
    from cardamomquay.config import Upstream

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
    line: LenderLine
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
    by_zone : bool, default=False
        Whether each availability zone of the region has a lender of its own.
    """

    def __init__(
        self,
        pool: Pool,
        region: str,
        borrower: str,
        incarnation: str,
        now_s: float,
        *,
        by_zone: bool = False,
    ) -> None:
        self._by_zone = by_zone
        self._lines: dict[str, LenderLine] = {}
        self._region = region
        self._borrower = borrower
        self._incarnation = incarnation
        self._held: dict[str, _Held] = {}
        self._demands: deque[tuple[float, int]] = deque()
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
        for upstream in self._upstreams.values():
            self._lines.setdefault(self._zone(upstream), LenderLine())
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
        known = self._upstreams.get(upstream)
        line = None if known is None else self._lines[self._zone(known)]
        if line is None or now_s >= line.valid_until_s:
            return self.in_use(upstream)
        return self.held(upstream) + line.spare_connections

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
        if observation.result is ObservedResult.ANSWERED:
            self._mean_latency_s += 0.1 * (observation.latency_s - self._mean_latency_s)
        held = self._held.get(name)
        if held is not None:
            held.line.report(name, observation)
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
        for zone, line in self._lines.items():
            request = self._line_call(zone, line, now_s)
            if request is not None:
                return request
        return None

    def _line_call(
        self, zone: str, line: LenderLine, now_s: float
    ) -> SlotRequest | None:
        names = [n for n, u in self._upstreams.items() if self._zone(u) == zone]
        held = {n: h for n, h in self._held.items() if h.line is line}
        if not names and not held:
            return None
        age_s = now_s - line.called_at_s
        if age_s < (CALL_TIMEOUT_S if line.outstanding else MIN_GAP_S):
            return None
        if line.outstanding:
            line.answers = False
        sharing = max(1, sum(other.answers for other in self._lines.values()))
        # A lender that does not answer is asked too, for when it returns.
        demand = self._in_use(line) + -(-self.waiting // sharing)
        wanted = max(demand, -(-self._note_demand(now_s) // sharing))
        if age_s < self._interval_s(line, demand, wanted):
            return None
        self._drop_surplus(line, wanted, now_s)
        request = SlotRequest(
            self._pool,
            self._region,
            self._borrower,
            self._incarnation,
            line.sequence + 1,
            tuple(SlotCount(n, h.slots) for n, h in held.items() if h.slots),
            now_s < line.valid_until_s,
            demand,
            wanted,
            tuple(n for n in names if self.health.usable_share(n, now_s) == 0),
            tuple(line.reports.values()),
            zone,
        )
        line.start_call(demand, wanted, now_s)
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
        line = self._lines[request.zone]
        if request.sequence != line.sequence or not line.outstanding:
            return
        line.outstanding = False
        line.answers = grant is not None
        if grant is None:
            return
        granted = {item.upstream: item for item in grant.slots}
        for name in granted:
            self._held.setdefault(name, _Held(line, used_at_s=now_s))
        for name, held in tuple(self._held.items()):
            if held.line is not line:
                continue
            item = granted.get(name)
            held.slots = 0 if item is None else item.slots
            held.share = 1.0 if item is None else item.share
            if held.slots == 0 and held.in_use == 0:
                del self._held[name]
        line.apply(grant)
        self.settle(now_s)

    def _zone(self, upstream: Upstream) -> str:
        return upstream.availability_zone if self._by_zone else ""

    def _pick(self, ticket: Ticket, now_s: float) -> Reservation | None:
        best: tuple[tuple[float, float, str], str] | None = None
        usable = [
            line
            for line in self._lines.values()
            if now_s < line.valid_until_s and self._in_use(line) < line.keep
        ]
        for name, held in self._held.items():
            if held.line not in usable or name in ticket.excluded:
                continue
            if not self._is_open(name, held, now_s):
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
        until_s = held.line.valid_until_s
        return Reservation(self._pool, self._upstreams[name], until_s)

    def _is_open(self, name: str, held: _Held, now_s: float) -> bool:
        return (
            held.in_use < held.slots
            and held.rest_until_s <= now_s
            and name in self._upstreams
            and name not in held.line.stopped
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

    def _in_use(self, line: LenderLine | None = None) -> int:
        return sum(
            held.in_use
            for held in self._held.values()
            if line is None or held.line is line
        )

    def _interval_s(self, line: LenderLine, demand: int, wanted: int) -> float:
        held = sum(held.slots for held in self._held.values() if held.line is line)
        idle = held - self._in_use(line)
        if demand > max(held, line.told_demand) or (held > line.keep and idle > 0):
            return MIN_GAP_S
        if wanted and not held and not line.told_wanted:
            return MIN_GAP_S
        if self._queue:
            return WAITING_INTERVAL_S
        if line.contended and idle > 0:
            return CONTENDED_INTERVAL_S
        return BUSY_INTERVAL_S if wanted else IDLE_INTERVAL_S

    def _drop_surplus(self, line: LenderLine, wanted: int, now_s: float) -> None:
        own = {name: held for name, held in self._held.items() if held.line is line}
        for name, held in own.items():
            usable = name in self._upstreams and name not in line.stopped
            if not usable or self.health.usable_share(name, now_s) == 0:
                held.slots = min(held.slots, held.in_use)
        allowed = min(line.keep, wanted)
        surplus = sum(held.slots for held in own.values()) - allowed
        by_cost = sorted(
            own, key=lambda n: (self.health.cost_s(n, now_s), -own[n].used_at_s)
        )
        while surplus > 0 and by_cost:
            held = own[by_cost.pop()]
            idle = max(0, held.slots - held.in_use)
            held.slots -= min(idle, surplus)
            surplus -= min(idle, surplus)
