"""Registered upstreams and their reported state."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum


class UpstreamState(StrEnum):
    """State that an upstream reports about itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Upstream:
    """One registered instance of an upstream.

    Parameters
    ----------
    instance : str
        Instance identifier, which the upstream checks on each request.
    service, address, zone, version : str
        `address` is ``host:port``; `version` is that of its software.
    capacity : int
        Number of requests that it runs at the same time.
    state : UpstreamState
    warm_up_left_s : float
        Reported time for which it is still cold.
    started_at_ms : int
        Unix time of its start in milliseconds; 0 if unknown.
    sequence : int
        Number of the report since that start; upstreams that differ only in it compare
        as equal.
    """

    instance: str
    service: str
    address: str
    zone: str
    version: str
    capacity: int
    state: UpstreamState
    warm_up_left_s: float = 0.0
    started_at_ms: int = 0
    sequence: int = field(default=0, compare=False)

    def is_same_start(self, other: Upstream) -> bool:
        """Whether both are known to be reports of the same start."""
        return self.started_at_ms == other.started_at_ms != 0

    def is_earlier_start(self, other: Upstream) -> bool:
        """Whether this is a report of an earlier start, by its machine's clock."""
        return 0 < self.started_at_ms < other.started_at_ms


class UpstreamTable:
    """The currently registered upstreams, by instance and by service."""

    def __init__(self) -> None:
        self.by_instance: dict[str, Upstream] = {}
        self._by_service: dict[str, dict[str, Upstream]] = {}
        self._cached_lists: dict[str, tuple[Upstream, ...]] = {}

    def put(self, upstream: Upstream) -> Upstream | None:
        """Add or replace an upstream, and return the previous one."""
        previous = self.by_instance.get(upstream.instance)
        if previous == upstream:
            self.by_instance[upstream.instance] = upstream
            return previous
        if previous is not None and previous.service != upstream.service:
            self.remove(upstream.instance)
        # A changed upstream keeps its position, so that cached rankings stay valid.
        self.by_instance[upstream.instance] = upstream
        service = self._by_service.setdefault(upstream.service, {})
        service[upstream.instance] = upstream
        self._cached_lists.pop(upstream.service, None)
        return previous

    def remove(self, instance: str) -> Upstream | None:
        """Remove an upstream and return it; None if there was none."""
        previous = self.by_instance.pop(instance, None)
        if previous is not None:
            del self._by_service[previous.service][instance]
            self._cached_lists.pop(previous.service, None)
        return previous

    def of_service(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service in the order of registration."""
        listed = self._cached_lists.get(service)
        if listed is None:
            listed = tuple(self._by_service.get(service, {}).values())
            self._cached_lists[service] = listed
        return listed
