"""Chooses upstreams by the slots that this host has borrowed; thread-safe."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from cardamomquay.balancing._borrowed_slots import BorrowedSlots
from cardamomquay.balancing._chooser import UpstreamChooser
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomquay.balancing._borrowed_slots import PendingReservation
    from cardamomquay.balancing._chooser import Observation
    from cardamomquay.balancing._chooser import Reservation
    from cardamomquay.balancing._messages import SlotTransport
    from cardamomquay.clock import Clock
    from cardamomquay.config import Pool


# Longest wait for a slot in a region that is not the last one to try, so that time is
# left for the next region.
REGION_WAIT_S = 0.05


class SlotChooser(UpstreamChooser):
    """Reserves slots borrowed from the lender of each pool and region; thread-safe.

    Parameters
    ----------
    clock : Clock
    transport : SlotTransport
    host, incarnation, region : str
        Name of this host, identifier of its daemon's run, and its region.
    by_zone : bool, default=False
        Whether each availability zone of a region has its own lender, so that the
        loss of one host stops only a part of a pool.
    """

    def __init__(
        self,
        clock: Clock,
        transport: SlotTransport,
        host: str,
        incarnation: str,
        region: str,
        *,
        by_zone: bool = False,
    ) -> None:
        self._by_zone = by_zone
        self._clock = clock
        self._transport = transport
        self._host = host
        self._incarnation = incarnation
        self._home_region = region
        lock = threading.RLock()
        # Notified when a waiting request may have got its result.
        self._changed = threading.Condition(lock)
        # A separate condition, so that a released slot does not wake the polling
        # thread, which would compete with the request threads for the processor.
        self._waiter_added = threading.Condition(lock)
        self._borrowed_slots: dict[tuple[str, str], BorrowedSlots] = {}
        self._regions: dict[str, tuple[str, ...]] = {}
        self._weights: Mapping[str, float] = {}

    def apply(self, pools: Mapping[str, Pool], weights: Mapping[str, float]) -> None:
        """Apply a configuration.

        Parameters
        ----------
        pools : mapping of str to Pool
        weights : mapping of str to float
            Entitled rate (`rate_per_s`) of each organisation, its weight in the queue.
        """
        now_s = self._clock.now_s()
        with self._changed:
            self._weights = weights
            for (name, _), borrowed in tuple(self._borrowed_slots.items()):
                if name in pools:
                    borrowed.apply_pool(pools[name], now_s)
                    borrowed.set_weights(weights)
            self._changed.notify_all()

    def set_regions(self, pool: str, regions: Sequence[str]) -> None:
        """Set the regions in which requests of a pool may use upstreams.

        Parameters
        ----------
        pool : str
        regions : sequence of str
            In the order in which they are tried. Without this call it is the host's own
            region only.
        """
        with self._changed:
            self._regions[pool] = tuple(regions)

    def reserve(
        self,
        pool: Pool,
        organisation: str,
        excluded: Collection[str],
        deadline_s: float,
    ) -> Reservation | Refusal:
        refusal = Refusal(RefusalReason.POOL_EMPTY)
        with self._changed:
            regions = self._regions.get(pool.name, (self._home_region,))
            for rank, region in enumerate(regions, start=1):
                borrowed = self._borrowed_slots_of(pool, region)
                now_s = self._clock.now_s()
                until_s = deadline_s
                if rank < len(regions):
                    until_s = min(deadline_s, now_s + REGION_WAIT_S)
                pending = borrowed.submit(organisation, excluded, until_s, now_s)
                if pending.result is None:
                    self._waiter_added.notify_all()
                    self._wait(borrowed, pending)
                assert pending.result is not None
                if not isinstance(pending.result, Refusal):
                    return pending.result
                # If any region was busy, that is the refusal's reason, also if others
                # have no upstreams.
                if refusal.reason is not RefusalReason.POOL_BUSY:
                    refusal = pending.result
        return refusal

    def release(self, reservation: Reservation, observation: Observation) -> None:
        with self._changed:
            key = (reservation.pool, reservation.upstream.region)
            borrowed = self._borrowed_slots.get(key)
            if borrowed is not None:
                waiting = borrowed.waiting
                borrowed.release(reservation, observation, self._clock.now_s())
                if waiting:
                    self._changed.notify_all()

    def connections_allowed(self, pool: str, upstream: str, region: str) -> int:
        """Return the number of connections this host may keep open to an upstream."""
        with self._changed:
            borrowed = self._borrowed_slots.get((pool, region))
            if borrowed is None:
                return 0
            return borrowed.connections_allowed(upstream, self._clock.now_s())

    def poll(self) -> int:
        """Make the calls to lenders that are due, and wait for their replies.

        Request threads must not call it, because it blocks.

        Returns
        -------
        int
            Number of calls made.
        """
        with self._changed:
            now_s = self._clock.now_s()
            due_calls = []
            for borrowed in self._borrowed_slots.values():
                borrowed.process_queue(now_s)
                while (request := borrowed.next_call(now_s)) is not None:
                    due_calls.append((borrowed, request))
            self._changed.notify_all()
        for borrowed, request in due_calls:
            grant = self._transport.borrow(request)
            with self._changed:
                borrowed.apply_reply(request, grant, self._clock.now_s())
                self._changed.notify_all()
        return len(due_calls)

    def wait_for_demand(self, timeout_s: float) -> None:
        """Block the thread that calls `poll` until a request waits for a slot."""
        with self._changed:
            if not any(borrowed.waiting for borrowed in self._borrowed_slots.values()):
                self._clock.wait(self._waiter_added, timeout_s)

    def _borrowed_slots_of(self, pool: Pool, region: str) -> BorrowedSlots:
        borrowed = self._borrowed_slots.get((pool.name, region))
        if borrowed is None:
            now_s = self._clock.now_s()
            borrowed = BorrowedSlots(
                pool,
                region,
                self._host,
                self._incarnation,
                now_s,
                by_zone=self._by_zone,
            )
            borrowed.set_weights(self._weights)
            self._borrowed_slots[pool.name, region] = borrowed
        return borrowed

    def _wait(self, borrowed: BorrowedSlots, pending: PendingReservation) -> None:
        while pending.result is None:
            now_s = self._clock.now_s()
            if now_s >= pending.deadline_s:
                borrowed.process_queue(now_s)
                continue
            self._clock.wait(self._changed, pending.deadline_s - now_s)
            borrowed.process_queue(self._clock.now_s())
