"""A baseline for slot lending: divides slots by rendezvous hash, without a lender."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import xxhash

from cardamomquay.balancing import SlotCount
from cardamomquay.balancing import SlotGrant

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomquay.config import Upstream

EPOCH_S = 2.0


def rotating_grant(
    host: str, live_hosts: Sequence[str], upstreams: Sequence[Upstream], now_s: float
) -> SlotGrant:
    """Compute the slots of a host in the current epoch.

    Each slot belongs to the live host with the highest hash of epoch, slot and host.
    Hosts that count different hosts as live can both own a slot.

    Parameters
    ----------
    host : str
    live_hosts : sequence of str
        Hosts that `host` counts as live, itself included.
    upstreams : sequence of Upstream
    now_s : float

    Returns
    -------
    SlotGrant
    """
    epoch = int(now_s / EPOCH_S)
    own_slots: Counter[str] = Counter()
    for upstream in upstreams:
        for index in range(0 if upstream.draining else upstream.slots):
            slot = f"{epoch}/{upstream.name}/{index}"
            _, owner = max(
                (xxhash.xxh64_intdigest(f"{slot}/{h}".encode()), h) for h in live_hosts
            )
            own_slots[upstream.name] += int(owner == host)
    slots = tuple(SlotCount(name, count) for name, count in own_slots.items() if count)
    valid_s = (epoch + 1) * EPOCH_S - now_s
    return SlotGrant(slots, valid_s, sum(own_slots.values()))
