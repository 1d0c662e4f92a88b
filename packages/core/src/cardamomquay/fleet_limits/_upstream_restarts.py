"""Upstreams that may have started again, as known to one host.

An upstream may end and be back within a fraction of a second, with the same name and
empty caches. Its entry in the store shows the start up to seconds later, and a host
whose connections were idle, or that had none, has seen nothing of it. So hosts tell
each other when an upstream refuses a connection or ends connections, and treat it as
cold until it is known since when it runs.

Any upstream may cut a connection to one host. Ended connections concern the other hosts
only if two hosts report them at about the same time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

from cardamomquay.gossip import ObservationKind
from cardamomquay.placement import short_id

if TYPE_CHECKING:
    from cardamomquay.gossip import Observation
    from cardamomquay.gossip import ObservationLog
    from cardamomquay.traffic import Upstream

# An upstream refused a connection; no value.
REFUSED = ObservationKind(1, reserved_places=16, per_subject_max=1)
# An upstream ended all connections of a host; no value.
CONNECTIONS_LOST = ObservationKind(2, reserved_places=8, per_subject_max=2)
# An upstream answered a request that was sent at the stated time. The value is the time
# for which the connection had been open then, in milliseconds.
REACHED = ObservationKind(3, reserved_places=8, per_subject_max=1)
RESTART_KINDS = (REFUSED, CONNECTIONS_LOST, REACHED)

# Hosts notice the end of an upstream within this time of each other: the transmission
# between regions, and until a connection is used.
LOSS_WINDOW_S = 0.5
# Connections that only this host lost count for this long; another one reports the same
# by then.
CONFIRMATION_TIME_S = 0.7
# Losses that are kept of each upstream; two different hosts suffice.
LOSSES_MAX = 4
# A host reports the same upstream again after this time, and one that the others know
# of after the renewal period.
REPEATED_REPORT_PERIOD_S = 1.0
RENEWAL_PERIOD_S = 5.0
# An unreachable upstream may be replaced by a cold one, whose entry takes up to this
# long to arrive.
ENTRY_DELAY_S = 2.5
# A host reports that it has reached an upstream this long after the evidence, since the
# other hosts know the time of the evidence only within bounds.
REACH_MARGIN_S = 0.3
# Hosts that may use a suspected upstream tell the others when they reach it. After this
# time without evidence or such news the suspicion is dropped.
SUSPICION_TIMEOUT_S = 20.0
# An upstream that has written this many heartbeats of the same start since the evidence
# has not started again. Fewer may have been on the way.
REFUTING_HEARTBEATS = 3
EXPIRY_CHECK_PERIOD_S = 1.0


class Suspicion(IntEnum):
    """Whether an upstream may have started again, and which hosts assume so."""

    NONE = 0
    OWN = 1
    SHARED = 2


@dataclass(slots=True)
class _Suspicion:
    """What is known of an upstream that may have started again.

    Parameters
    ----------
    earliest_s, latest_s : float
        Bounds of the time of the upstream's end, by the latest evidence.
    sequence : int
        Latest heartbeat that was known then.
    is_shared : bool
        Whether the other hosts know of it.
    shared_s : float
        Time of the latest evidence that the other hosts know of.
    up_since_s : float
        Time since which the upstream has run at the latest; infinity while unknown.
    reach_reported_s : float
        Time for which this host has last reported that it had reached the upstream.
    own_hold_s : float
        Time for which the evidence counts if other hosts do not know of it.
    """

    earliest_s: float
    latest_s: float
    sequence: int
    is_shared: bool
    shared_s: float = -math.inf
    up_since_s: float = math.inf
    reach_reported_s: float = -math.inf
    own_hold_s: float = 0.0

    def cold_until_s(self, warm_up_s: float) -> float:
        """Return until when the upstream counts as cold."""
        if self.up_since_s < math.inf:
            return self.up_since_s + warm_up_s
        if self.is_shared:
            return self.latest_s + max(SUSPICION_TIMEOUT_S, warm_up_s)
        return self.latest_s + self.own_hold_s


@dataclass(frozen=True, slots=True)
class _Loss:
    """Connections of one host that an upstream ended, at the latest at this time."""

    origin: int
    earliest_s: float
    latest_s: float


class UpstreamRestarts:
    """Suspected starts of upstreams, from this host's connections and from reports.

    Parameters
    ----------
    observations : ObservationLog
        Sends observations to the other hosts.
    """

    def __init__(self, observations: ObservationLog) -> None:
        self._observations = observations
        self._suspicions: dict[str, _Suspicion] = {}
        self._losses: dict[str, list[_Loss]] = {}
        # Latest time for which each upstream is known to have run without interruption:
        # upper bound of the begin, and lower bound of the end.
        self._reaches: dict[str, tuple[float, float]] = {}
        # Latest time at which each upstream may have started by its entry.
        self._started_by_s: dict[str, float] = {}
        self._reported_s: dict[tuple[int, str], float] = {}
        self._expiry_checked_s = -math.inf

    def __len__(self) -> int:
        return len(self._suspicions)

    def __contains__(self, instance: str) -> bool:
        return instance in self._suspicions

    def is_cold(self, upstream: Upstream, warm_up_s: float, now_s: float) -> bool:
        """Return whether an upstream may be cold after a start.

        Parameters
        ----------
        upstream : Upstream
            With its latest heartbeat.
        warm_up_s : float
            Time for which an upstream is cold after its start.
        now_s : float

        Returns
        -------
        bool
        """
        self._drop_expired(now_s)
        suspicion = self._suspicions.get(upstream.instance)
        if suspicion is None:
            return False
        is_refuted = (
            suspicion.up_since_s == math.inf
            and upstream.started_at_ms != 0
            and upstream.sequence >= suspicion.sequence + REFUTING_HEARTBEATS
        )
        if is_refuted or now_s >= suspicion.cold_until_s(warm_up_s):
            del self._suspicions[upstream.instance]
            return False
        return warm_up_s > 0.0

    def record_unreachable(
        self, upstream: Upstream, warm_up_s: float, now_s: float
    ) -> None:
        """Record that this host could not reach an upstream, for whatever reason."""
        hold_s = ENTRY_DELAY_S + warm_up_s
        self._suspect(upstream, now_s, now_s, is_shared=False, own_hold_s=hold_s)

    def record_lost_here(
        self, upstream: Upstream, now_s: float, *, earliest_s: float
    ) -> None:
        """Record lost connections before it is known whether to report them.

        The parameters are those of `record_lost`.
        """
        self._suspect(
            upstream,
            earliest_s,
            now_s,
            is_shared=False,
            own_hold_s=CONFIRMATION_TIME_S,
        )

    def withdraw(self, instance: str, now_s: float) -> None:
        """Drop a suspicion of this host only, whose evidence proved to be no evidence.

        Parameters
        ----------
        instance : str
        now_s : float
            Evidence up to this time is dropped.
        """
        suspicion = self._suspicions.get(instance)
        if suspicion and not suspicion.is_shared and suspicion.latest_s <= now_s:
            del self._suspicions[instance]

    def record_refused(
        self, upstream: Upstream, now_s: float, *, earliest_s: float
    ) -> bool:
        """Record that nothing listens at the address of an upstream.

        Parameters
        ----------
        upstream : Upstream
        now_s : float
        earliest_s : float
            Lower bound of the time at which the connection was refused.

        Returns
        -------
        bool
            Whether other hosts need to know now.
        """
        is_known = self._is_known(upstream.instance, now_s)
        self._suspect(upstream, earliest_s, now_s, is_shared=not is_known)
        return not is_known and self._report(REFUSED, upstream, earliest_s, now_s)

    def record_lost(
        self, upstream: Upstream, now_s: float, *, earliest_s: float
    ) -> bool:
        """Record that an upstream has ended all connections of this host.

        Parameters
        ----------
        upstream : Upstream
        now_s : float
        earliest_s : float
            Time at which the upstream was last known to run.

        Returns
        -------
        bool
            Whether other hosts need to know now.
        """
        if self._is_known(upstream.instance, now_s):
            self.record_lost_here(upstream, now_s, earliest_s=earliest_s)
            return False
        loss = _Loss(self._observations.origin, earliest_s, now_s)
        self._suspect_after_loss(upstream, loss)
        return self._report(CONNECTIONS_LOST, upstream, earliest_s, now_s)

    def record_reached(
        self, upstream: Upstream, open_since_s: float, until_s: float, now_s: float
    ) -> bool:
        """Record that an upstream has answered a request.

        Parameters
        ----------
        upstream : Upstream
        open_since_s : float
            Time at which the connection was accepted.
        until_s : float
            Time at which the request was sent.
        now_s : float

        Returns
        -------
        bool
            Whether other hosts need to know now.
        """
        instance = upstream.instance
        self._remember_reach(instance, open_since_s, until_s)
        suspicion = self._suspicions.get(instance)
        if suspicion is None or until_s < suspicion.latest_s + REACH_MARGIN_S:
            return False
        was_reached = suspicion.up_since_s < math.inf
        self._apply_reached(instance, open_since_s, until_s)
        # The first report may not show to all hosts that it is later than the evidence.
        is_due = until_s - suspicion.reach_reported_s >= REPEATED_REPORT_PERIOD_S
        if not (suspicion.is_shared and is_due):
            return False
        suspicion.reach_reported_s = until_s
        self._observations.record(
            REACHED,
            short_id(instance),
            math.floor((until_s - open_since_s) * 1000.0),
            now_s,
            until_s,
            until_s,
        )
        return not was_reached

    def record_start(self, instance: str, started_by_s: float) -> None:
        """Record that the entry of an upstream shows a new start.

        Parameters
        ----------
        instance : str
        started_by_s : float
            Latest time at which it may have started. Evidence from before concerns the
            earlier start; later evidence is newer than the entry.
        """
        self._started_by_s[instance] = started_by_s
        suspicion = self._suspicions.get(instance)
        if suspicion is not None and suspicion.latest_s <= started_by_s:
            del self._suspicions[instance]

    def apply(self, observation: Observation, upstream: Upstream) -> bool:
        """Apply an observation of another host; return whether it changes anything.

        Parameters
        ----------
        observation : Observation
            Of one of `RESTART_KINDS`, and of this upstream.
        upstream : Upstream

        Returns
        -------
        bool
        """
        earliest_s, latest_s = observation.earliest_s, observation.latest_s
        if observation.kind == REACHED.code:
            open_since_s = latest_s - observation.value / 1000.0
            self._remember_reach(upstream.instance, open_since_s, earliest_s)
            return self._apply_reached(upstream.instance, open_since_s, earliest_s)
        if latest_s <= self._started_by_s.get(upstream.instance, -math.inf):
            # The entry has shown the start that followed.
            return False
        if observation.kind == REFUSED.code:
            return self._suspect(upstream, earliest_s, latest_s, is_shared=True)
        loss = _Loss(observation.origin, earliest_s, latest_s)
        return self._suspect_after_loss(upstream, loss)

    def suspicion_of(self, instance: str) -> Suspicion:
        """Return what is suspected of an upstream that has not been reached since."""
        suspicion = self._suspicions.get(instance)
        if suspicion is None or suspicion.up_since_s < math.inf:
            return Suspicion.NONE
        return Suspicion.SHARED if suspicion.is_shared else Suspicion.OWN

    def cold_left_s(self, instance: str, warm_up_s: float, now_s: float) -> float:
        """Return for how long a reached upstream stays cold, in seconds."""
        suspicion = self._suspicions.get(instance)
        if suspicion is None:
            return 0.0
        return max(0.0, suspicion.up_since_s + warm_up_s - now_s)

    def clear_upstream(self, instance: str) -> None:
        """Drop what is known of an upstream that is gone."""
        self._suspicions.pop(instance, None)
        self._losses.pop(instance, None)
        self._reaches.pop(instance, None)
        self._started_by_s.pop(instance, None)
        for kind in RESTART_KINDS:
            self._reported_s.pop((kind.code, instance), None)

    def _drop_expired(self, now_s: float) -> None:
        """Drop suspicions of upstreams that this host does not use."""
        if now_s - self._expiry_checked_s < EXPIRY_CHECK_PERIOD_S:
            return
        self._expiry_checked_s = now_s
        for instance, suspicion in tuple(self._suspicions.items()):
            if now_s >= suspicion.cold_until_s(SUSPICION_TIMEOUT_S):
                del self._suspicions[instance]

    def _is_known(self, instance: str, now_s: float) -> bool:
        """Whether the other hosts know that an upstream may have started again."""
        suspicion = self._suspicions.get(instance)
        return (
            suspicion is not None
            and suspicion.up_since_s == math.inf
            and now_s - suspicion.shared_s < RENEWAL_PERIOD_S
        )

    def _report(
        self, kind: ObservationKind, upstream: Upstream, earliest_s: float, now_s: float
    ) -> bool:
        key = (kind.code, upstream.instance)
        if now_s - self._reported_s.get(key, -math.inf) < REPEATED_REPORT_PERIOD_S:
            return False
        self._reported_s[key] = now_s
        self._observations.record(
            kind, short_id(upstream.instance), 0, now_s, earliest_s, now_s
        )
        return True

    def _suspect_after_loss(self, upstream: Upstream, loss: _Loss) -> bool:
        losses = self._losses.setdefault(upstream.instance, [])
        is_confirmed = any(
            other.origin != loss.origin
            and abs(other.latest_s - loss.latest_s) < LOSS_WINDOW_S
            for other in losses
        )
        losses.append(loss)
        losses.sort(key=lambda item: item.latest_s)
        del losses[:-LOSSES_MAX]
        is_own = loss.origin == self._observations.origin
        if not is_confirmed and not is_own:
            return False
        return self._suspect(
            upstream,
            loss.earliest_s,
            loss.latest_s,
            is_shared=is_confirmed,
            own_hold_s=CONFIRMATION_TIME_S,
        )

    def _suspect(
        self,
        upstream: Upstream,
        earliest_s: float,
        latest_s: float,
        *,
        is_shared: bool,
        own_hold_s: float = 0.0,
    ) -> bool:
        """Apply evidence; return whether it changes what is known of the upstream."""
        instance = upstream.instance
        suspicion = self._suspicions.get(instance)
        if suspicion is None:
            suspicion = _Suspicion(earliest_s, latest_s, upstream.sequence, is_shared)
            suspicion.shared_s = latest_s if is_shared else -math.inf
            suspicion.own_hold_s = own_hold_s
            self._suspicions[instance] = suspicion
            return not self._apply_known_reach(instance)
        if latest_s <= suspicion.up_since_s < math.inf:
            # The upstream has been reached after it.
            return False
        if suspicion.up_since_s < math.inf:
            suspicion.is_shared = is_shared
            suspicion.shared_s = -math.inf
            suspicion.reach_reported_s = -math.inf
            is_new = True
        else:
            is_new = is_shared and not suspicion.is_shared
            suspicion.is_shared = suspicion.is_shared or is_shared
        if is_shared:
            suspicion.shared_s = max(suspicion.shared_s, latest_s)
        suspicion.up_since_s = math.inf
        if latest_s > suspicion.latest_s:
            suspicion.earliest_s, suspicion.latest_s = earliest_s, latest_s
            suspicion.sequence = upstream.sequence
            suspicion.own_hold_s = max(suspicion.own_hold_s, own_hold_s)
        return not self._apply_known_reach(instance) and is_new

    def _remember_reach(
        self, instance: str, open_since_s: float, until_s: float
    ) -> None:
        known = self._reaches.get(instance)
        if known is None or until_s > known[1]:
            self._reaches[instance] = (open_since_s, until_s)

    def _apply_known_reach(self, instance: str) -> bool:
        """Apply an answer of the upstream that was known before the evidence.

        Reports arrive in any order.
        """
        reach = self._reaches.get(instance)
        return reach is not None and self._apply_reached(instance, *reach)

    def _apply_reached(
        self, instance: str, open_since_s: float, until_s: float
    ) -> bool:
        """Apply that an upstream ran without interruption for a time.

        Parameters
        ----------
        instance : str
        open_since_s : float
            Upper bound of the begin.
        until_s : float
            Lower bound of the end.
        """
        suspicion = self._suspicions.get(instance)
        if suspicion is None or until_s < suspicion.latest_s:
            return False
        if open_since_s < suspicion.earliest_s:
            # The upstream has run all the time: it ended only some connections.
            del self._suspicions[instance]
            return True
        was_unknown = suspicion.up_since_s == math.inf
        suspicion.up_since_s = min(suspicion.up_since_s, open_since_s)
        return was_unknown
