"""Lends slots of pools to hosts, and borrows them from other hosts' lenders."""

from __future__ import annotations

import threading
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.balancing import SlotLender
from cardamomquay.balancing import SlotTransport
from cardamomquay.leases import LeaseState
from cardamomquay.leases import is_lease_valid
from cardamomquay.lenders import LendersState
from cardamomquay_daemon import _slot_codec
from cardamomquay_daemon._peer import PeerFailure

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from cardamomquay.balancing import SlotChooser
    from cardamomquay.balancing import SlotGrant
    from cardamomquay.balancing import SlotRequest
    from cardamomquay.clock import Clock
    from cardamomquay.config import Config
    from cardamomquay.config import Upstream
    from cardamomquay.lenders import StartLending
    from cardamomquay.lenders import StopLending
    from cardamomquay_daemon._peer import PeerNode
    from cardamomquay_daemon._runtime import Runtime

SLOTS_PREFIX = "slots:"
CALL_TIMEOUT_S = 0.25
POLL_INTERVAL_S = 0.02


def slot_resource(pool: str, region: str, zone: str) -> str:
    """Return the resource name of a pool's slots in an availability zone."""
    return f"{SLOTS_PREFIX}{pool}:{region}:{zone}"


def is_slot_resource(resource: str) -> bool:
    """Return whether a resource is a pool's slots in an availability zone."""
    return resource.startswith(SLOTS_PREFIX)


def slot_resources(config: Config) -> Mapping[str, str]:
    """Return the region of each slot resource of a configuration."""
    return {
        slot_resource(
            pool.name, upstream.region, upstream.availability_zone
        ): upstream.region
        for pool in config.pools.values()
        for upstream in pool.upstreams
    }


@dataclass(slots=True)
class _ActiveLender:
    lender: SlotLender
    lease_fence: int


class SlotLending(SlotTransport):
    """Runs the slot lenders of this host and sends requests to those of others.

    Parameters
    ----------
    runtime : Runtime
    clock : Clock
    peers : PeerNode
    host : str
    """

    def __init__(
        self, runtime: Runtime, clock: Clock, peers: PeerNode, host: str
    ) -> None:
        self._runtime = runtime
        self._clock = clock
        self._peers = peers
        self._host = host
        self._lock = threading.Lock()
        self._lenders: dict[str, _ActiveLender] = {}

    def start(self, effect: StartLending) -> None:
        """Start the lender of a resource.

        The first lender of a resource lends at once. A later one only confirms slots
        that borrowers still hold, until no other slot of its predecessor can be in use.
        """
        _, pool, region, zone = effect.resource.split(":")
        config = self._runtime.snapshot.config
        assert config is not None
        lender = SlotLender(
            _upstreams_in_zone(config, pool, region, zone),
            _longest_timeout_s(config, pool),
            self._clock.now_s(),
            is_first_lender=effect.fence == 1,
        )
        with self._lock:
            self._lenders[effect.resource] = _ActiveLender(lender, effect.lease_fence)

    def stop(self, effect: StopLending) -> None:
        """Stop the lender of a resource."""
        with self._lock:
            self._lenders.pop(effect.resource, None)

    def apply(self, config: Config) -> None:
        """Apply a configuration to the lenders of this host."""
        now_s = self._clock.now_s()
        with self._lock:
            for resource, active in self._lenders.items():
                _, pool, region, zone = resource.split(":")
                active.lender.apply_upstreams(
                    _upstreams_in_zone(config, pool, region, zone),
                    _longest_timeout_s(config, pool),
                    now_s,
                )

    def lend(self, request: SlotRequest) -> SlotGrant | None:
        """Answer a request; None if nothing is lent.

        This host lends the slots only under the host lease for which the lender was
        started. The lender ignores a request that is not newer than the last one of the
        same run of the borrower that it answered.
        """
        now_s = self._clock.now_s()
        lease = self._runtime.snapshot.core.state_of(LeaseState)
        with self._lock:
            active = self._lenders.get(
                slot_resource(request.pool, request.region, request.zone)
            )
            if active is None or lease.fence != active.lease_fence:
                return None
            if not is_lease_valid(lease, now_s):
                return None
            return active.lender.lend(request, now_s)

    def answer_borrower(self, message: Any) -> Any:
        """Return the grant message that answers a borrower's request message."""
        return _slot_codec.grant_to_wire(
            self.lend(_slot_codec.request_from_wire(message))
        )

    def borrow(self, request: SlotRequest) -> SlotGrant | None:
        lenders = self._runtime.snapshot.core.state_of(LendersState)
        row = lenders.lender_of(
            slot_resource(request.pool, request.region, request.zone)
        )
        if row is None:
            return None
        if row.host == self._host:
            return self.lend(request)
        message = _slot_codec.request_to_wire(request)
        fut = self._peers.call_host(row.host, "BorrowSlots", message, CALL_TIMEOUT_S)
        try:
            # The call ends after its own timeout unless the asyncio thread is delayed.
            reply = fut.result(2 * CALL_TIMEOUT_S)
        except TimeoutError:
            return None
        if isinstance(reply, PeerFailure):
            return None
        return _slot_codec.grant_from_wire(reply)


@contextmanager
def polling(chooser: SlotChooser) -> Iterator[None]:
    """Make the chooser's calls to lenders in a thread during a ``with`` block.

    The thread polls at least every `POLL_INTERVAL_S`, and at once when a request waits
    for a slot.
    """
    stopping = threading.Event()

    def poll() -> None:
        while not stopping.is_set():
            chooser.poll()
            chooser.wait_for_demand(POLL_INTERVAL_S)

    thread = threading.Thread(target=poll, name="slots", daemon=True)
    thread.start()
    try:
        yield
    finally:
        stopping.set()
        thread.join(timeout=2.0)


def _upstreams_in_zone(
    config: Config, pool: str, region: str, zone: str
) -> list[Upstream]:
    pool_config = config.pools.get(pool)
    upstreams = () if pool_config is None else pool_config.upstreams
    return [
        upstream
        for upstream in upstreams
        if (upstream.region, upstream.availability_zone) == (region, zone)
    ]


def _longest_timeout_s(config: Config, pool: str) -> float:
    """Return the longest timeout of the routes whose requests can use a pool."""
    return max(
        (
            route.timeout_s
            for route in config.routes.values()
            if route.pool == pool
            or (route.move is not None and route.move.to_pool == pool)
        ),
        default=0.0,
    )
