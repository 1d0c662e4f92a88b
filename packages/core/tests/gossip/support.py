"""Reports of observations without other content."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomquay.gossip import encode_observations

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomquay.gossip import ObservationLog


def report_entries(
    log: ObservationLog,
    receiver: str,
    may_send: Callable[[str | None], bool],
    now_s: float,
    count_max: int = 40,
) -> list[int]:
    """Return what a host's next report to another one contains."""
    return encode_observations(log.take(receiver, may_send, now_s, count_max), now_s)
