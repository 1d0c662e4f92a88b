"""Whether a service has room in a region, and how much of the demand it can serve."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cardamomquay.regional_capacity._counts import WINDOW_S
from cardamomquay.regional_capacity._counts import Count
from cardamomquay.regional_capacity._summaries import lacking
from cardamomquay.regional_capacity._summaries import pressure

if TYPE_CHECKING:
    from collections.abc import Sequence

# A region becomes scarce if this share of requests and attempts found no room, and this
# many in all. With less, queues and retries serve more callers than early rejection.
SCARCE_PRESSURE = 0.4
SCARCE_LACKING_MIN = 20
# Requests leave another region for this one only below this share, well before this one
# becomes scarce too.
ROOM_PRESSURE = 0.08
# It ceases to be scarce once the share has been below this for `RELEASE_S`.
RELEASED_PRESSURE = 0.03
RELEASE_S = 2.0
# The share of bound requests that is admitted aims at this much more than is answered
# if nothing was shed or queued, so that new room is found within seconds, and at less
# the closer the shed or queued share is to its target. With short queues slots stay
# busy although arrivals vary; longer ones only make answers later, and outlast the
# traffic of other requests.
PROBE_SHARE = 0.6
SHED_TARGET = 0.03
QUEUED_TARGET = 0.6
# Above a target it aims at less than is answered, by this share for each multiple of
# the target, and at most by the second.
BACK_OFF_SHARE = 0.15
BACK_OFF_MAX = 0.1
# Time constant with which the admitted share follows the counts. They are up to 3 s
# old, so a faster change would overshoot.
ADMITTED_SHARE_TIME_S = 0.5
# Smallest share of attempts that is taken to be answered in other regions.
SERVED_ELSEWHERE_MIN = 0.1
# A few requests are always sent, so that room is found again after an outage.
ADMITTED_SHARE_MIN = 0.02
# Requests that have left a region return more slowly than they left, and only after
# this time without scarcity, so that they do not return between two bursts.
RETURN_DELAY_S = 4.0
RETURN_SPEED = 0.5
# Share of `maxShift` by which the requests that leave scarce regions may change the
# distribution in one window. The rest is for changes of the traffic itself.
LEAVING_MARGIN = 0.5
# Smallest share of a service's requests that is assumed to run in the region, so that
# a wrong estimate does not let all of them leave at once.
HOME_SHARE_MIN = 0.15
# A host that was frozen makes up for at most this time.
STEP_MAX_S = 0.5


class RegionScarcity:
    """Scarcity of one service in one region, as seen by one host.

    Parameters
    ----------
    max_shift : float
        Largest share of a region's requests that may change the region in which they
        run from one window to the next.
    now_s : float

    Attributes
    ----------
    is_scarce : bool
    admitted_share : float
        Share of the bound requests that the host sends.
    avoided_share : float
        Share of the requests that may run elsewhere that leaves the region.
    counts : sequence of int
        Latest counts of all hosts, in the order of `Count`.
    """

    def __init__(self, max_shift: float, now_s: float) -> None:
        self._max_shift = max_shift
        self._updated_s = now_s
        self._scarce_s = -math.inf
        self._pressed_s = -math.inf
        self._home_count = 0.0
        self._flexible_count = 0.0
        self._credit = 0.5
        self.is_scarce = False
        self.admitted_share = 1.0
        self.avoided_share = 0.0
        self.counts: Sequence[int] = (0,) * len(Count)

    def update(
        self,
        counts: Sequence[int],
        elsewhere: Sequence[int],
        now_s: float,
        *,
        others_have_room: bool,
    ) -> None:
        """Apply the counts of all hosts.

        Parameters
        ----------
        counts : sequence of int
            In the order of `Count`.
        elsewhere : sequence of int
            Sums of the service's other regions.
        now_s : float
        others_have_room : bool
            Whether the service has room in another region. Otherwise requests that may
            run anywhere stay, or they would leave all the room here to bound ones.
        """
        elapsed_s = min(STEP_MAX_S, max(0.0, now_s - self._updated_s))
        self._updated_s = now_s
        self.counts = counts
        share = pressure(counts)
        if share >= SCARCE_PRESSURE and lacking(counts) >= SCARCE_LACKING_MIN:
            self.is_scarce = True
        if share >= RELEASED_PRESSURE:
            self._pressed_s = now_s
        elif now_s - self._pressed_s >= RELEASE_S:
            self.is_scarce = False
        if self.is_scarce:
            self._scarce_s = now_s
        weight = 1.0 - math.exp(-elapsed_s / ADMITTED_SHARE_TIME_S)
        self.admitted_share += weight * (
            self._served_share(elsewhere) - self.admitted_share
        )
        self._update_avoided_share(elapsed_s, now_s, others_have_room=others_have_room)

    def _served_share(self, elsewhere: Sequence[int]) -> float:
        """Return the share of the bound requests that should be sent."""
        if not self.is_scarce:
            return 1.0
        admitted, rejected = self.counts[Count.ADMITTED], self.counts[Count.REJECTED]
        answered, shed = self.counts[Count.ANSWERED], self.counts[Count.SHED]
        ended = answered + shed
        if ended == 0 or admitted + rejected == 0:
            return self.admitted_share
        # If all regions shed, bound requests are shed like the others. Rejecting a part
        # of them before would leave the region to requests that may run anywhere.
        shed_elsewhere = elsewhere[Count.SHED] / max(
            1, elsewhere[Count.SHED] + elsewhere[Count.ANSWERED]
        )
        queued_elsewhere = elsewhere[Count.QUEUED] / max(1, elsewhere[Count.ANSWERED])
        fill = max(
            shed / ended / max(SHED_TARGET, 1.1 * shed_elsewhere),
            self.counts[Count.QUEUED]
            / max(1, answered)
            / max(QUEUED_TARGET, queued_elsewhere),
        )
        if fill < 1.0:
            factor = 1.0 + PROBE_SHARE * (1.0 - fill) ** 2
        else:
            factor = 1.0 - min(BACK_OFF_MAX, BACK_OFF_SHARE * (fill - 1.0))
        factor /= max(SERVED_ELSEWHERE_MIN, 1.0 - shed_elsewhere)
        # The counts are seconds old, so the answered share is that of requests admitted
        # with the share of that time, not with the present one.
        share = factor * admitted / (admitted + rejected) * answered / ended
        # Other requests in the region are not rejected here, so without this bound
        # they would displace the bound ones.
        offered = admitted + rejected + self.counts[Count.FLEXIBLE]
        fair_share = factor * answered / offered
        return min(1.0, max(share, fair_share, ADMITTED_SHARE_MIN))

    def _update_avoided_share(
        self, elapsed_s: float, now_s: float, *, others_have_room: bool
    ) -> None:
        budget = LEAVING_MARGIN * self._max_shift * elapsed_s / WINDOW_S
        step = budget / max(HOME_SHARE_MIN, self.home_share)
        if not others_have_room:
            self.avoided_share = max(0.0, self.avoided_share - step)
        elif self.is_scarce:
            self.avoided_share = min(1.0, self.avoided_share + step)
        elif now_s - self._scarce_s >= RETURN_DELAY_S:
            self.avoided_share = max(0.0, self.avoided_share - RETURN_SPEED * step)

    @property
    def has_room(self) -> bool:
        """Whether requests that leave another region may come here."""
        return not self.is_scarce and pressure(self.counts) < ROOM_PRESSURE

    @property
    def home_share(self) -> float:
        """Share of the requests that may run elsewhere that would run here."""
        # Until some requests were seen, all are taken to run here.
        return (self._home_count + 2.0) / (self._flexible_count + 2.0)

    def record_flexible(self, *, is_here: bool) -> None:
        """Record where a request that was not told to leave this region is sent."""
        # Halved so that the estimate follows the last few hundred requests.
        if self._flexible_count >= 400.0:
            self._flexible_count /= 2.0
            self._home_count /= 2.0
        self._flexible_count += 1.0
        self._home_count += is_here

    def admit(self) -> bool:
        """Return whether a bound request may be sent.

        Of consecutive requests exactly the admitted share is sent, not a random number.
        """
        self._credit += self.admitted_share
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    @property
    def is_flooded(self) -> bool:
        """Whether upstreams shed so much that a retry would hardly find room."""
        answered, shed = self.counts[Count.ANSWERED], self.counts[Count.SHED]
        return self.is_scarce and shed >= SCARCE_PRESSURE * (answered + shed)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is left to decide."""
        return (
            not self.is_scarce
            and self.avoided_share <= 0.0
            and self.admitted_share > 0.999
            and lacking(self.counts) == 0
        )

    @property
    def has_been_scarce(self) -> bool:
        """Whether the region has been scarce since it was first looked at."""
        return self._scarce_s > -math.inf

    def is_recent(self, duration_s: float, now_s: float) -> bool:
        """Whether the region was scarce within the last seconds."""
        return now_s - self._scarce_s < duration_s
