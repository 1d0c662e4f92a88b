"""Upstreams as they register themselves, and what a host believes of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class UpstreamState(StrEnum):
    """State that an upstream reports of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Upstream:
    """One incarnation of an upstream.

    Parameters
    ----------
    instance : str
        Identity that the upstream checks on each request.
    service, address, zone, version : str
        `address` is ``host:port``; `version` is that of its software.
    capacity : int
        Requests that it runs at the same time.
    state : UpstreamState
    warm_up_left_s : float
        How much longer it stays cold, as reported.
    born_ms : int
        Unix time of its start in milliseconds; 0 if unknown.
    """

    instance: str
    service: str
    address: str
    zone: str
    version: str
    capacity: int
    state: UpstreamState
    warm_up_left_s: float = 0.0
    born_ms: int = 0


class UpstreamTable:
    """The upstreams that are registered now, by instance and by service."""

    def __init__(self) -> None:
        self.by_instance: dict[str, Upstream] = {}
        self._by_service: dict[str, dict[str, Upstream]] = {}
        self._listed: dict[str, tuple[Upstream, ...]] = {}

    def put(self, upstream: Upstream) -> Upstream | None:
        """Add or replace an upstream, and return what stood there before."""
        before = self.by_instance.get(upstream.instance)
        if before == upstream:
            return before
        if before is not None and before.service != upstream.service:
            self.remove(upstream.instance)
        # An upstream that changes keeps its place in the order.
        self.by_instance[upstream.instance] = upstream
        service = self._by_service.setdefault(upstream.service, {})
        service[upstream.instance] = upstream
        self._listed.pop(upstream.service, None)
        return before

    def remove(self, instance: str) -> Upstream | None:
        """Remove an upstream and return it, or None if there was none."""
        before = self.by_instance.pop(instance, None)
        if before is not None:
            del self._by_service[before.service][instance]
            self._listed.pop(before.service, None)
        return before

    def of_service(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service in the order of their arrival."""
        listed = self._listed.get(service)
        if listed is None:
            listed = tuple(self._by_service.get(service, {}).values())
            self._listed[service] = listed
        return listed
