"""Microseconds an event in the reducer, by the number of hosts."""

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

HOSTS = (12, 120, 520)
EVENTS = 20_000


def measure_reducer(events: int = EVENTS) -> dict[str, Any]:
    """Return microseconds an event at each number of hosts.

    Parameters
    ----------
    events : int

    Returns
    -------
    dict
    """
    return {str(hosts): _measure(hosts, events) for hosts in HOSTS}


def _measure(hosts: int, events: int) -> dict[str, float]:
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
    lists = max(1, events // 500)
    for n in range(lists):
        core, _ = reducer.reduce(core, HostsListed(events * 0.01 + n, listed))
    list_us = (time.perf_counter() - started) / lists * 1e6
    return {"event_us": round(event_us, 2), "host_list_us": round(list_us, 1)}
