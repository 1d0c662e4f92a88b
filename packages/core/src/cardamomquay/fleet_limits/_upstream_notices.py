"""What upstreams ask of hosts in their answers: to leave them, or to pause.

Load pattern: an upstream that is about to stop says so in its answers, while its entry
still says that it is ready, since the store is down, slow or restored. An upstream in
trouble rejects requests and names a pause; without one, each of its rejections is a
request that another upstream could have served.

A notice holds for one life of an upstream: from its start until it starts again.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from cardamomquay.placement import short_id

if TYPE_CHECKING:
    from cardamomquay.traffic import Upstream

# A notice to leave is remembered for this long; an upstream that has not ended by then
# is asked again.
LEAVING_TIMEOUT_S = 600.0
# Number of lives of upstreams whose notices are remembered, the latest ones.
NOTICES_MAX = 4096
# Longest pause that is kept. An upstream that names a longer one by mistake would
# otherwise get no request until it starts again.
PAUSE_MAX_S = 600.0
# Notices to leave are reported for this long, so that two lost reports do no harm.
REPORT_REPEAT_S = 2.2


def life_id(upstream: Upstream) -> int:
    """Return the 32-bit identifier of an upstream's life, from start to end."""
    return short_id(
        f"{upstream.instance}\0{upstream.started_at_ms}\0{upstream.address}"
    )


class UpstreamNotices:
    """Notices of upstreams, as known to one host."""

    def __init__(self) -> None:
        # Time at which this host learned of a notice to leave, by life.
        self._leaving_s: OrderedDict[int, float] = OrderedDict()
        self._paused_until_s: OrderedDict[int, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._leaving_s) + len(self._paused_until_s)

    def record_leaving(self, life: int, now_s: float) -> bool:
        """Record that an upstream leaves; return whether this host did not know it.

        An answer of the same life without the notice does not take it back: it may
        belong to an earlier request.
        """
        known_s = self._leaving_s.get(life, -math.inf)
        if now_s - known_s < LEAVING_TIMEOUT_S:
            return False
        self._leaving_s[life] = now_s
        self._leaving_s.move_to_end(life)
        if len(self._leaving_s) > NOTICES_MAX:
            self._leaving_s.popitem(last=False)
        return True

    def is_leaving(self, upstream: Upstream, now_s: float) -> bool:
        """Return whether an upstream has said that it leaves."""
        if not self._leaving_s:
            return False
        known_s = self._leaving_s.get(life_id(upstream), -math.inf)
        return now_s - known_s < LEAVING_TIMEOUT_S

    def record_pause(self, upstream: Upstream, pause_s: float, now_s: float) -> None:
        """Record that an upstream wants no request for a time, in seconds.

        A shorter pause named later does not end an earlier one sooner, since answers
        may arrive in another order than they were sent.
        """
        life = life_id(upstream)
        known_s = self._paused_until_s.get(life, -math.inf)
        until_s = now_s + min(PAUSE_MAX_S, pause_s)
        self._paused_until_s[life] = max(known_s, until_s)
        self._paused_until_s.move_to_end(life)
        if len(self._paused_until_s) > NOTICES_MAX:
            self._paused_until_s.popitem(last=False)

    def pause_left_s(self, upstream: Upstream, now_s: float) -> float:
        """Return for how long an upstream wants no request, in seconds."""
        if not self._paused_until_s:
            return 0.0
        life = life_id(upstream)
        until_s = self._paused_until_s.get(life, -math.inf)
        if until_s <= now_s:
            self._paused_until_s.pop(life, None)
            return 0.0
        return until_s - now_s

    def leaving_for_report(self, now_s: float) -> list[int]:
        """Return the lives of leaving upstreams to include in a report now."""
        lives = []
        for life, known_s in reversed(self._leaving_s.items()):
            if now_s - known_s > REPORT_REPEAT_S:
                break
            lives.append(life)
        return lives
