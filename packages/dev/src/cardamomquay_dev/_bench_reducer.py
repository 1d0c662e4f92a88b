"""Measures the time that the reducer needs per event, by the number of hosts."""

from __future__ import annotations

import time
from typing import Any

from cardamomquay.config_sync import ConfigReducer
from cardamomquay.config_sync import HeadRead
from cardamomquay.membership import HostsListed
from cardamomquay.membership import MembershipReducer
from cardamomquay.platform import ListedHost
from cardamomquay.reducer import Event
from cardamomquay.reducer import Identity
from cardamomquay.reducer import RootReducer
from cardamomquay.reducer import Tick

HOST_COUNTS = (12, 120, 520)
EVENTS = 20_000


def measure_reducer(events: int = EVENTS) -> dict[str, Any]:
    """Return microseconds per event at each number of hosts.

    Parameters
    ----------
    events : int
        Number of events to reduce at each number of hosts.

    Returns
    -------
    dict
        By number of hosts: microseconds per event of a sequence that alternates ticks
        and reads of the configuration head, and microseconds per list of hosts.
    """
    return {str(hosts): _measure_hosts(hosts, events) for hosts in HOST_COUNTS}


def _measure_hosts(hosts: int, events: int) -> dict[str, float]:
    reducer = RootReducer((MembershipReducer(), ConfigReducer()))
    identity = Identity("host-0", "incarnation", "mtl", "mtl-a", "mtl")
    core = reducer.initial(identity)
    listed = tuple(
        ListedHost(
            f"host-{n}", f"127.0.0.1:{n + 1}", "127.0.0.1:1", f"r{n % 7}", f"z{n % 27}"
        )
        for n in range(hosts)
    )
    core, _ = reducer.reduce(core, HostsListed(0.0, listed))
    sample: list[Event] = []
    for n in range(events):
        now_s = n * 0.01
        sample.append(Tick(now_s) if n % 2 else HeadRead(now_s, now_s - 0.005, 0))
    started = time.perf_counter()
    for event in sample:
        core, _ = reducer.reduce(core, event)
    event_us = (time.perf_counter() - started) / events * 1e6
    started = time.perf_counter()
    list_count = max(1, events // 500)
    for n in range(list_count):
        core, _ = reducer.reduce(core, HostsListed(events * 0.01 + n, listed))
    list_us = (time.perf_counter() - started) / list_count * 1e6
    return {"event_us": round(event_us, 2), "host_list_us": round(list_us, 1)}
