"""State machine of one roll-out on one host.

The new version gets the requests for a growing share of the objects, not a random share
of the requests. It thus warms up for the objects that it will serve, while the other
objects stay warm at the old version.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from cardamomquay.placement import rendezvous_hash
from cardamomquay.platform import revision_era
from cardamomquay.rollouts._orders import RolloutOutcome
from cardamomquay.rollouts._tally import VersionTallies

if TYPE_CHECKING:
    from cardamomquay.rollouts._orders import RolloutOrder

# Part of the canary share that is used in the canary step, since a share of the objects
# is not exactly the same share of the requests.
CANARY_USED_SHARE = 0.8
# Share of the objects that the new version gets in each step after the canary step.
STEP_SHARES = (0.3, 0.6, 1.0)
LAST_STEP = len(STEP_SHARES)
# Shares of the order's duration: the earliest end of the canary step, the time from
# which fewer answers are enough to end it, and the length of each later step except the
# last, which takes `Rollout.old_version_timeout_s`.
PROOF_MIN_TIME_SHARE = 0.4
PROOF_LATE_TIME_SHARE = 0.55
STEP_TIME_SHARE = 0.07
# Number of answers of the new version that prove it and so end the canary step, early
# and late in that step. If they show that it is worse, it is rolled back before.
PROOF_ANSWERS = 20
PROOF_ANSWERS_LATE = 6
# Time before the deadline at which a version that is not proven is rolled back.
ROLL_BACK_MARGIN_S = 0.7
# Number of different results of `rendezvous_hash`.
HASH_RANGE = 2**64


@dataclass(frozen=True, slots=True)
class RolloutSnapshot:
    """State of a roll-out that hosts report to each other.

    Parameters
    ----------
    service : str
    revision : int
        Revision of the order.
    step : int
    outcome : RolloutOutcome
    tallies : VersionTallies
        Answers seen by the reporting host alone.
    """

    service: str
    revision: int
    step: int
    outcome: RolloutOutcome
    tallies: VersionTallies


@dataclass
class Rollout:
    """State of one roll-out order on one host.

    Parameters
    ----------
    order : RolloutOrder
    seen_s : float
        When this host first saw the order.
    old_version_timeout_s : float
        Longest time for which a request to the old version may still run; also the
        length of the last step.
    canary_share : float
        Share of the requests that the new version may get in the canary step.
    step, step_entered_s : int and float
        Current step and when it began; step 0 is the canary step.
    outcome : RolloutOutcome
    row_version : int
        Version of the service's row in the store, which may belong to an earlier order;
        0 if there is none.
    is_recorded : bool
        Whether the row belongs to this order.
    is_row_read : bool
        Whether the row was read. Until then, the order may have ended long ago.
    is_suspended : bool
        Whether requests to the new version are stopped before the outcome is stored.
    own_tallies : VersionTallies
        Answers seen by this host.
    """

    order: RolloutOrder
    seen_s: float
    old_version_timeout_s: float
    canary_share: float = 0.1
    step: int = 0
    step_entered_s: float = 0.0
    outcome: RolloutOutcome = RolloutOutcome.RUNNING
    row_version: int = 0
    is_recorded: bool = False
    is_row_read: bool = False
    is_suspended: bool = False
    own_tallies: VersionTallies = field(default_factory=VersionTallies)
    _peer_tallies: dict[str, VersionTallies] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.step_entered_s = self.seen_s

    @property
    def share(self) -> float:
        """Share of the objects that the new version gets."""
        if self.outcome is RolloutOutcome.COMPLETED:
            return 1.0
        if self.outcome is RolloutOutcome.ROLLED_BACK:
            return 0.0
        if self.is_suspended or not self.is_row_read:
            return 0.0
        if self.step == 0:
            return CANARY_USED_SHARE * self.canary_share
        return STEP_SHARES[self.step - 1]

    def is_continued_by(self, order: RolloutOrder) -> bool:
        """Return whether an order is this one, as found in a restored store.

        The restored store either still has the order, or the operator has written it
        again, at another revision.
        """
        return revision_era(order.revision) > revision_era(
            self.order.revision
        ) and order == replace(self.order, revision=order.revision)

    def continue_as(self, order: RolloutOrder) -> None:
        """Go on with the same order in a restored store, whose row may be older."""
        self.order = order
        self.row_version = 0
        self.is_recorded = self.is_row_read = False

    def uses_new_version(self, object_key: str) -> bool:
        """Return whether requests for an object go to the new version."""
        share = self.share
        if share <= 0.0 or share >= 1.0:
            return share >= 1.0
        hash_value = rendezvous_hash(
            f"{self.order.service}:{self.order.to_version}", object_key
        )
        return hash_value < share * HASH_RANGE

    def totals(self) -> VersionTallies:
        """Return the sum of the tallies of all hosts."""
        total = VersionTallies()
        total.add(self.own_tallies)
        for tallies in self._peer_tallies.values():
            total.add(tallies)
        return total

    def apply_peer_state(
        self, host: str, snapshot: RolloutSnapshot, now_s: float
    ) -> None:
        """Update the state from a report of another host."""
        if snapshot.revision != self.order.revision:
            return
        self._peer_tallies[host] = snapshot.tallies
        if self.outcome is RolloutOutcome.RUNNING:
            if snapshot.outcome is not RolloutOutcome.RUNNING:
                self.outcome = snapshot.outcome
            elif snapshot.step > self.step:
                self._enter_step(snapshot.step, now_s)

    def snapshot(self) -> RolloutSnapshot:
        """Return the state that this host reports to others."""
        return RolloutSnapshot(
            self.order.service,
            self.order.revision,
            self.step,
            self.outcome,
            self.own_tallies,
        )

    def next_outcome(self, now_s: float, is_controller: bool) -> RolloutOutcome:
        """Advance the steps, and return the outcome that follows from the tallies.

        Parameters
        ----------
        now_s : float
        is_controller : bool
            Whether this host advances the steps. Any host may roll back.

        Returns
        -------
        RolloutOutcome
        """
        if self.outcome is not RolloutOutcome.RUNNING:
            return self.outcome
        totals = self.totals()
        if totals.is_new_worse:
            return RolloutOutcome.ROLLED_BACK
        if not is_controller:
            return RolloutOutcome.RUNNING
        elapsed_s = now_s - self.seen_s
        if self.step == 0:
            if self._is_proven(totals, elapsed_s):
                self._enter_step(1, now_s)
            elif elapsed_s >= self.order.duration_s - ROLL_BACK_MARGIN_S:
                return RolloutOutcome.ROLLED_BACK
            return RolloutOutcome.RUNNING
        in_step_s = now_s - self.step_entered_s
        if self.step < LAST_STEP:
            if in_step_s >= STEP_TIME_SHARE * self.order.duration_s:
                self._enter_step(self.step + 1, now_s)
            return RolloutOutcome.RUNNING
        if in_step_s >= self.old_version_timeout_s:
            return RolloutOutcome.COMPLETED
        return RolloutOutcome.RUNNING

    def _is_proven(self, totals: VersionTallies, elapsed_s: float) -> bool:
        duration_s = self.order.duration_s
        if elapsed_s < PROOF_MIN_TIME_SHARE * duration_s:
            return False
        is_late = elapsed_s >= PROOF_LATE_TIME_SHARE * duration_s
        needed = PROOF_ANSWERS_LATE if is_late else PROOF_ANSWERS
        return totals.new.answers >= needed

    def _enter_step(self, step: int, now_s: float) -> None:
        self.step = step
        self.step_entered_s = now_s
