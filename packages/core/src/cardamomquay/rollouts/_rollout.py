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
from cardamomquay.rollouts._answer_counts import AnswerCounts
from cardamomquay.rollouts._orders import RolloutOutcome
from cardamomquay.rollouts._tally import VersionTallies

if TYPE_CHECKING:
    from cardamomquay.rollouts._orders import RolloutOrder

# Part of the canary share that is used in the canary step, since a share of the objects
# is not exactly the same share of the requests.
CANARY_USED_SHARE = 0.8
# Part of the canary slack that is used in the canary step. With few requests a second,
# the canary share alone gives too few answers to judge a version by.
SLACK_USED_SHARE = 0.5
# Largest share of the requests in the canary step, as a multiple of the canary share.
CANARY_MAX_FACTOR = 2.0
# The rate of requests is estimated from this time on, from the answers so far. Answers
# lag behind requests by about `ANSWER_DELAY_S`.
RATE_ESTIMATE_MIN_S = 2.0
ANSWER_DELAY_S = 1.0
# The requests of the chosen objects may be far fewer or more than their share: of two
# dozen objects, the canary share may contain none. Then up to this many times as many
# objects are used, or as few.
OBJECTS_MAX_FACTOR = 2.0
OBJECTS_MIN_FACTOR = 0.5
# Answers more or fewer than expected that may be chance.
ANSWERS_BY_CHANCE = 3
# Part of the requests that a bad version may get after which a version that is not
# proven is rolled back. The rest is for requests whose answers are not counted yet.
UNPROVEN_USED_SHARE = 0.7
# Share of the objects that the new version gets in each step after the canary step.
STEP_SHARES = (0.3, 0.6, 1.0)
LAST_STEP = len(STEP_SHARES)
# Shares of the order's duration: the earliest end of the canary step, the time from
# which fewer answers are enough to end it, and the length of each later step except the
# last, which takes `Rollout.old_version_timeout_s`.
PROOF_MIN_TIME_SHARE = 0.4
PROOF_LATE_TIME_SHARE = 0.55
STEP_TIME_SHARE = 0.07
# Number of answers of the new version that are needed to end the canary step, early and
# late in that step.
PROOF_ANSWERS = 20
PROOF_ANSWERS_LATE = 6
# Evidence that the version is good that is needed to enter each step after the canary
# step; see `VersionTallies.log_likelihood_ratio`.
STEP_LOG_RATIOS = (-1.0, -2.0, -3.0)
PROVEN_LOG_RATIO = STEP_LOG_RATIOS[-1]
# Time before the deadline at which a version that is not in the last step is rolled
# back.
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
    canary_share, canary_slack : float
        A bad version may get this share of the requests from the order to its
        deadline, and this number of further requests.
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
    own_counts : AnswerCounts
        Answers seen by this host.
    """

    order: RolloutOrder
    seen_s: float
    old_version_timeout_s: float
    canary_share: float = 0.1
    canary_slack: float = 0.0
    step: int = 0
    step_entered_s: float = 0.0
    outcome: RolloutOutcome = RolloutOutcome.RUNNING
    row_version: int = 0
    is_recorded: bool = False
    is_row_read: bool = False
    is_suspended: bool = False
    own_counts: AnswerCounts = field(default_factory=AnswerCounts)
    _peer_tallies: dict[str, VersionTallies] = field(default_factory=dict)
    _canary_objects_share: float = 0.0
    _totals_at_step: VersionTallies = field(default_factory=VersionTallies)

    def __post_init__(self) -> None:
        self.step_entered_s = self.seen_s
        self._canary_objects_share = CANARY_USED_SHARE * self.canary_share

    @property
    def own_tallies(self) -> VersionTallies:
        """Answers that this host has counted."""
        return self.own_counts.tallies

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
            return self._canary_objects_share
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
        # A version that fails only under more load would be hidden by the good answers
        # of the steps before.
        if totals.is_new_worse or totals.since(self._totals_at_step).is_new_worse:
            return RolloutOutcome.ROLLED_BACK
        if self._is_share_used_up(totals):
            return RolloutOutcome.ROLLED_BACK
        elapsed_s = now_s - self.seen_s
        self._update_canary_share(totals, elapsed_s)
        if not is_controller:
            return RolloutOutcome.RUNNING
        return self._next_step(totals, elapsed_s, now_s)

    def _next_step(
        self, totals: VersionTallies, elapsed_s: float, now_s: float
    ) -> RolloutOutcome:
        """Advance the step if the evidence allows it, and return the outcome."""
        in_step_s = now_s - self.step_entered_s
        is_proven = totals.log_likelihood_ratio <= PROVEN_LOG_RATIO
        if self.step == LAST_STEP:
            if in_step_s >= self.old_version_timeout_s and is_proven:
                return RolloutOutcome.COMPLETED
        elif self._is_step_over(totals, elapsed_s, in_step_s):
            is_late = elapsed_s >= self._last_step_due_s()
            next_step = LAST_STEP if is_late and is_proven else self.step + 1
            if totals.log_likelihood_ratio <= STEP_LOG_RATIOS[next_step - 1]:
                self._enter_step(next_step, now_s)
                return RolloutOutcome.RUNNING
        is_ending = elapsed_s >= self.order.duration_s - ROLL_BACK_MARGIN_S
        if is_ending and not (self.step == LAST_STEP and is_proven):
            return RolloutOutcome.ROLLED_BACK
        return RolloutOutcome.RUNNING

    def _last_step_due_s(self) -> float:
        """Return the time since the order at which the last step should begin."""
        return self.order.duration_s - ROLL_BACK_MARGIN_S - self.old_version_timeout_s

    def _is_step_over(
        self, totals: VersionTallies, elapsed_s: float, in_step_s: float
    ) -> bool:
        duration_s = self.order.duration_s
        if self.step > 0:
            is_late = elapsed_s >= self._last_step_due_s()
            return is_late or in_step_s >= STEP_TIME_SHARE * duration_s
        if elapsed_s < PROOF_MIN_TIME_SHARE * duration_s:
            return False
        is_late = elapsed_s >= PROOF_LATE_TIME_SHARE * duration_s
        needed = PROOF_ANSWERS_LATE if is_late else PROOF_ANSWERS
        return totals.new.answers >= needed

    def _is_share_used_up(self, totals: VersionTallies) -> bool:
        """Whether a version that is not proven has got all that a bad one may get."""
        answers = totals.new.answers + totals.old.answers
        allowed = self.canary_share * answers + self.canary_slack
        return (
            self.step > 0
            and totals.new.answers > UNPROVEN_USED_SHARE * allowed
            and totals.log_likelihood_ratio > PROVEN_LOG_RATIO
        )

    def _update_canary_share(self, totals: VersionTallies, elapsed_s: float) -> None:
        """Adapt the canary step's share to the rate of requests.

        All hosts compute about the same share, since it follows from the totals.
        """
        if self.step > 0 or elapsed_s < RATE_ESTIMATE_MIN_S:
            return
        answers = totals.new.answers + totals.old.answers
        per_s = answers / (elapsed_s - ANSWER_DELAY_S)
        expected = max(1.0, per_s * self.order.duration_s)
        target = CANARY_USED_SHARE * self.canary_share
        target += SLACK_USED_SHARE * self.canary_slack / expected
        target = min(target, CANARY_MAX_FACTOR * self.canary_share)
        expected_new = target * answers
        few = expected_new / (totals.new.answers + ANSWERS_BY_CHANCE)
        many = expected_new / max(1, totals.new.answers - ANSWERS_BY_CHANCE)
        at_least = target * min(OBJECTS_MAX_FACTOR, few)
        at_most = target * max(OBJECTS_MIN_FACTOR, many)
        # Otherwise unchanged, since objects that move between the versions have to be
        # loaded again.
        self._canary_objects_share = min(
            at_most, max(at_least, self._canary_objects_share)
        )

    def _enter_step(self, step: int, now_s: float) -> None:
        self.step = step
        self.step_entered_s = now_s
        self._totals_at_step = self.totals()
