"""The slots of one pool and region that this host has borrowed, and their queue."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.balancing._chooser import ObservedResult
from cardamomquay.balancing._chooser import Reservation
from cardamomquay.balancing._health import PoolHealth
from cardamomquay.balancing._lender_session import LenderSession
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

# Intervals of the calls to a lender: with demand and without.
BUSY_CALL_INTERVAL_S = 0.2
IDLE_CALL_INTERVAL_S = 0.5
# Intervals while requests wait for a slot, and while other hosts want this host's idle
# slots. A shorter interval, such as 0.02 s, sheds fewer requests; a longer one, such as
# 0.05 s, makes fewer calls. See `cardamomquay_dev.measure_balancing`.
WAITING_CALL_INTERVAL_S = 0.03
CONTENDED_CALL_INTERVAL_S = 0.03
# Interval while a call is urgent: demand exceeds the slots held and the demand last
# reported, idle slots must be returned, or the host holds no slot and has not yet
# reported that it wants one.
MIN_CALL_INTERVAL_S = 0.005
CALL_TIMEOUT_S = 0.25
# Slots for the highest demand during this time are kept while no other host needs them,
# so that they are not returned and borrowed again between two requests.
DEMAND_WINDOW_S = 1.0
# Slots wanted in addition to the highest demand.
SPARE_SLOTS = 1
# Longest queue, in requests.
QUEUE_MAX = 64
# Longest pause between two uses of a slot while its upstream ramps up.
RAMP_PAUSE_MAX_S = 1.0


@dataclass(slots=True, eq=False)
class PendingReservation:
    """A request for a slot; `result` is None while it waits."""

    organisation: str
    excluded: frozenset[str]
    deadline_s: float
    finish_tag: float = 0.0
    result: Reservation | Refusal | None = None


@dataclass(slots=True)
class _HeldSlots:
    """Slots of one upstream that this host holds.

    `share` and `paused_until_s` slow the use of the slots while the upstream ramps up.
    """

    session: LenderSession
    slots: int = 0
    in_use: int = 0
    share: float = 1.0
    paused_until_s: float = 0.0
    last_used_at_s: float = 0.0


class BorrowedSlots:
    """Borrowed slots of one pool in one region; not thread-safe.

    Waiting requests get slots in the order of weighted fair queueing between
    organisations.

    Parameters
    ----------
    pool : Pool
    region : str
    borrower, incarnation : str
        Name of this host, and identifier of its daemon's run.
    now_s : float
    by_zone : bool, default=False
        Whether each availability zone of the region has its own lender.
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
        self._sessions: dict[str, LenderSession] = {}
        self._region = region
        self._borrower = borrower
        self._incarnation = incarnation
        self._held: dict[str, _HeldSlots] = {}
        self._recent_demands: deque[tuple[float, int]] = deque()
        self._queue: list[PendingReservation] = []
        self._weights: Mapping[str, float] = {}
        self._virtual_time = 0.0
        self._last_finish_tags: dict[str, float] = {}
        self._mean_latency_s = 0.0
        self.health = PoolHealth(now_s, needs_probe=False)
        self.apply_pool(pool, now_s)

    def apply_pool(self, pool: Pool, now_s: float) -> None:
        """Apply a configuration; draining upstreams get no new requests from now on."""
        self._pool = pool.name
        self._upstreams = {
            u.name: u for u in pool.upstreams if u.region == self._region
        }
        for upstream in self._upstreams.values():
            self._sessions.setdefault(self._zone(upstream), LenderSession())
        draining = [u.name for u in self._upstreams.values() if u.draining]
        self.health.set_upstreams(self._upstreams, draining, now_s)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the weight (entitled rate) of each organisation; 1 by default."""
        self._weights = weights

    @property
    def waiting(self) -> int:
        """Number of requests waiting for a slot."""
        return len(self._queue)

    def held(self, upstream: str) -> int:
        """Return the number of slots of an upstream that this host holds.

        This includes slots that are still in use although the host may no longer use
        them for new requests.
        """
        held = self._held.get(upstream)
        return 0 if held is None else max(held.slots, held.in_use)

    def connections_allowed(self, upstream: str, now_s: float) -> int:
        """Return the number of connections this host may keep open to an upstream."""
        known = self._upstreams.get(upstream)
        session = None if known is None else self._sessions[self._zone(known)]
        if session is None or now_s >= session.valid_until_s:
            return self.in_use(upstream)
        return self.held(upstream) + session.spare_connections

    def in_use(self, upstream: str) -> int:
        """Return the number of slots of an upstream that are in use by requests."""
        held = self._held.get(upstream)
        return 0 if held is None else held.in_use

    def submit(
        self,
        organisation: str,
        excluded: Collection[str],
        deadline_s: float,
        now_s: float,
    ) -> PendingReservation:
        """Request a slot.

        Parameters
        ----------
        organisation : str
        excluded : collection of str
        deadline_s : float
            Time until which the request may wait.
        now_s : float

        Returns
        -------
        PendingReservation
            Its result is set now, or later by `process_queue`.
        """
        pending = PendingReservation(organisation, frozenset(excluded), deadline_s)
        usable = [u.name for u in self._upstreams.values() if not u.draining]
        if not set(usable) - pending.excluded:
            reason = RefusalReason.POOL_BUSY if usable else RefusalReason.POOL_EMPTY
            pending.result = Refusal(reason, f"pool {self._pool} has no other upstream")
            return pending
        self.process_queue(now_s)
        # The lower bound avoids a division by zero.
        weight = max(self._weights.get(organisation, 1.0), 1e-6)
        start_tag = max(
            self._virtual_time, self._last_finish_tags.get(organisation, 0.0)
        )
        pending.finish_tag = start_tag + 1.0 / weight
        # If a request that may use at least the same upstreams still waits, it has just
        # found no free slot, so there is none for this request either.
        if not any(p.excluded <= pending.excluded for p in self._queue):
            pending.result = self._pick(pending, now_s)
        if pending.result is None and not self._may_wait(pending, now_s):
            self._record_demand(now_s, unmet=1)
            pending.result = Refusal(
                RefusalReason.POOL_BUSY, f"pool {self._pool}: {self.waiting} waiting"
            )
            return pending
        self._last_finish_tags[organisation] = pending.finish_tag
        if pending.result is None:
            self._queue.append(pending)
            self._record_demand(now_s)
        return pending

    def cancel(self, pending: PendingReservation) -> None:
        """Remove a waiting request from the queue."""
        if pending in self._queue:
            self._queue.remove(pending)

    def release(
        self, reservation: Reservation, observation: Observation, now_s: float
    ) -> None:
        """Mark a slot as free again and record the result of its request.

        Parameters
        ----------
        reservation : Reservation
        observation : Observation
        now_s : float
        """
        name = reservation.upstream.name
        self.health.record_observation(name, observation, now_s)
        if observation.result is ObservedResult.ANSWERED:
            # Moving average in which the newest latency has a weight of 0.1.
            self._mean_latency_s += 0.1 * (observation.latency_s - self._mean_latency_s)
        held = self._held.get(name)
        if held is not None:
            held.session.record_observation(name, observation)
        if held is not None and held.in_use > 0:
            held.in_use -= 1
            held.last_used_at_s = now_s
            slots = held.share * reservation.upstream.slots
            if slots < 1.0:
                # The ramp allows less than one slot. The slot pauses after each use, so
                # that it is in use only for that part of the time.
                pause_s = observation.latency_s * (1.0 / max(slots, 0.01) - 1.0)
                held.paused_until_s = now_s + min(RAMP_PAUSE_MAX_S, pause_s)
        self.process_queue(now_s)

    def process_queue(self, now_s: float) -> None:
        """Refuse the requests past their deadline and give free slots to the others."""
        for pending in [p for p in self._queue if now_s >= p.deadline_s]:
            pending.result = Refusal(RefusalReason.POOL_BUSY, "no slot in time")
            self._queue.remove(pending)
        for pending in sorted(self._queue, key=lambda p: p.finish_tag):
            pending.result = self._pick(pending, now_s)
            if pending.result is not None:
                self._queue.remove(pending)

    def next_call(self, now_s: float) -> SlotRequest | None:
        """Start the next call that is due to a lender and return its request, if any.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        SlotRequest or None
        """
        for zone, session in self._sessions.items():
            request = self._next_session_call(zone, session, now_s)
            if request is not None:
                return request
        return None

    def _next_session_call(
        self, zone: str, session: LenderSession, now_s: float
    ) -> SlotRequest | None:
        names = [n for n, u in self._upstreams.items() if self._zone(u) == zone]
        held = {n: h for n, h in self._held.items() if h.session is session}
        if not names and not held:
            return None
        age_s = now_s - session.called_at_s
        if age_s < (CALL_TIMEOUT_S if session.awaits_reply else MIN_CALL_INTERVAL_S):
            return None
        if session.awaits_reply:
            session.is_responding = False
        responding_count = max(
            1, sum(other.is_responding for other in self._sessions.values())
        )
        # Demand is divided among the lenders that answered their last call. The others
        # are called too, so that this host notices when they answer again.
        demand = self._total_in_use(session) + -(-self.waiting // responding_count)
        wanted = max(demand, -(-self._record_demand(now_s) // responding_count))
        if age_s < self._call_interval_s(session, demand, wanted):
            return None
        self._return_surplus(session, wanted, now_s)
        request = SlotRequest(
            self._pool,
            self._region,
            self._borrower,
            self._incarnation,
            session.sequence + 1,
            tuple(SlotCount(n, h.slots) for n, h in held.items() if h.slots),
            now_s < session.valid_until_s,
            demand,
            wanted,
            tuple(n for n in names if self.health.usable_share(n, now_s) == 0),
            tuple(session.reports.values()),
            zone,
        )
        session.start_call(demand, wanted, now_s)
        return request

    def apply_reply(
        self, request: SlotRequest, grant: SlotGrant | None, now_s: float
    ) -> None:
        """Apply a lender's reply; a reply to an older request is ignored.

        Parameters
        ----------
        request : SlotRequest
        grant : SlotGrant or None
        now_s : float
        """
        session = self._sessions[request.zone]
        if request.sequence != session.sequence or not session.awaits_reply:
            return
        session.awaits_reply = False
        session.is_responding = grant is not None
        if grant is None:
            return
        granted = {item.upstream: item for item in grant.slots}
        for name in granted:
            self._held.setdefault(name, _HeldSlots(session, last_used_at_s=now_s))
        for name, held in tuple(self._held.items()):
            if held.session is not session:
                continue
            item = granted.get(name)
            held.slots = 0 if item is None else item.slots
            held.share = 1.0 if item is None else item.share
            if held.slots == 0 and held.in_use == 0:
                del self._held[name]
        session.apply_grant(grant)
        self.process_queue(now_s)

    def _zone(self, upstream: Upstream) -> str:
        return upstream.availability_zone if self._by_zone else ""

    def _pick(self, pending: PendingReservation, now_s: float) -> Reservation | None:
        best: tuple[tuple[float, float, str], str] | None = None
        usable = [
            session
            for session in self._sessions.values()
            if now_s < session.valid_until_s
            and self._total_in_use(session) < session.keep
        ]
        for name, held in self._held.items():
            if held.session not in usable or name in pending.excluded:
                continue
            if not self._has_free_slot(name, held, now_s):
                continue
            cost = (self.health.cost_s(name, now_s), -held.last_used_at_s, name)
            if best is None or cost < best[0]:
                best = (cost, name)
        if best is None:
            return None
        name = best[1]
        held = self._held[name]
        held.in_use += 1
        held.last_used_at_s = now_s
        self._virtual_time = max(self._virtual_time, pending.finish_tag)
        self._record_demand(now_s)
        until_s = held.session.valid_until_s
        return Reservation(self._pool, self._upstreams[name], until_s)

    def _has_free_slot(self, name: str, held: _HeldSlots, now_s: float) -> bool:
        return (
            held.in_use < held.slots
            and held.paused_until_s <= now_s
            and name in self._upstreams
            and name not in held.session.stopped
            and self.health.usable_share(name, now_s) > 0
        )

    def _may_wait(self, pending: PendingReservation, now_s: float) -> bool:
        """Whether a request may wait; can refuse another one to make room for it."""
        held = sum(held.slots for held in self._held.values())
        expected_s = self._mean_latency_s * self.waiting / max(1, held)
        if now_s + expected_s >= pending.deadline_s:
            return False
        if self.waiting < QUEUE_MAX:
            return True
        # A full queue drops the request that would be served last: one of the
        # organisation with the most waiting requests for its weight. That can be the
        # new request itself.
        last = max(self._queue, key=lambda p: p.finish_tag)
        if last.finish_tag <= pending.finish_tag:
            return False
        last.result = Refusal(RefusalReason.POOL_BUSY, "queue is full")
        self._queue.remove(last)
        return True

    def _record_demand(self, now_s: float, unmet: int = 0) -> int:
        """Record the current demand and return the number of slots wanted.

        That is the highest demand of the last `DEMAND_WINDOW_S` and `SPARE_SLOTS`, or 0
        without any demand. `unmet` is the number of requests that are being refused.
        """
        demand = self.waiting + self._total_in_use() + unmet
        while (
            self._recent_demands
            and self._recent_demands[0][0] < now_s - DEMAND_WINDOW_S
        ):
            self._recent_demands.popleft()
        while self._recent_demands and self._recent_demands[-1][1] <= demand:
            self._recent_demands.pop()
        self._recent_demands.append((now_s, demand))
        highest = self._recent_demands[0][1]
        return highest + SPARE_SLOTS if highest else 0

    def _total_in_use(self, session: LenderSession | None = None) -> int:
        return sum(
            held.in_use
            for held in self._held.values()
            if session is None or held.session is session
        )

    def _call_interval_s(
        self, session: LenderSession, demand: int, wanted: int
    ) -> float:
        held = sum(
            held.slots for held in self._held.values() if held.session is session
        )
        idle = held - self._total_in_use(session)
        if demand > max(held, session.reported_demand) or (
            held > session.keep and idle > 0
        ):
            return MIN_CALL_INTERVAL_S
        if wanted and not held and not session.reported_wanted:
            return MIN_CALL_INTERVAL_S
        if self._queue:
            return WAITING_CALL_INTERVAL_S
        if session.contended and idle > 0:
            return CONTENDED_CALL_INTERVAL_S
        return BUSY_CALL_INTERVAL_S if wanted else IDLE_CALL_INTERVAL_S

    def _return_surplus(
        self, session: LenderSession, wanted: int, now_s: float
    ) -> None:
        from_lender = {
            name: held for name, held in self._held.items() if held.session is session
        }
        for name, held in from_lender.items():
            usable = name in self._upstreams and name not in session.stopped
            if not usable or self.health.usable_share(name, now_s) == 0:
                held.slots = min(held.slots, held.in_use)
        allowed = min(session.keep, wanted)
        surplus = sum(held.slots for held in from_lender.values()) - allowed
        by_cost = sorted(
            from_lender,
            key=lambda n: (
                self.health.cost_s(n, now_s),
                -from_lender[n].last_used_at_s,
            ),
        )
        while surplus > 0 and by_cost:
            held = from_lender[by_cost.pop()]
            idle = max(0, held.slots - held.in_use)
            held.slots -= min(idle, surplus)
            surplus -= min(idle, surplus)
