"""One roll-out as a host sees it: which version gets a request, and what is next.

Load pattern: a new version gets the requests of a growing part of the objects, not a
random part of the requests, so that it warms up for what it will serve, while the old
version keeps the rest warm.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cardamomquay.placement import rank_of
from cardamomquay.rollouts._orders import RolloutOutcome
from cardamomquay.rollouts._tally import VersionTallies

if TYPE_CHECKING:
    from cardamomquay.rollouts._orders import RolloutOrder

# Part of the permitted share that an unproved version gets; the share of the objects
# is not exactly that of the requests.
CANARY_USED_SHARE = 0.8
# Part of the objects that the new version gets in each later step.
STEP_SHARES = (0.3, 0.6, 1.0)
LAST_STEP = len(STEP_SHARES)
# Parts of the order's duration: the first step's least and usual end, and the length
# of each later one.
PROOF_SHARE = 0.4
PROOF_LATE_SHARE = 0.55
STEP_LENGTH_SHARE = 0.07
# Answers of the new version that prove it, and those that do when time is short.
PROOF_ANSWERS = 20
PROOF_ANSWERS_LATE = 6
# Time before the deadline at which a version that was not proved is taken back.
GIVE_UP_S = 0.7
RANKS = 2**64


@dataclass(frozen=True, slots=True)
class RolloutView:
    """What hosts tell each other of a roll-out.

    Parameters
    ----------
    service : str
    revision : int
        Revision of the order.
    step : int
    outcome : RolloutOutcome
    tallies : VersionTallies
        Of the telling host alone.
    """

    service: str
    revision: int
    step: int
    outcome: RolloutOutcome
    tallies: VersionTallies


@dataclass
class Rollout:
    """State of one order on one host.

    Parameters
    ----------
    order : RolloutOrder
    seen_s : float
        When this host first saw the order.
    drain_s : float
        Longest time that a request on the old version may still run.
    canary_share : float
        Share of the requests that an unproved version may get.
    step, step_since_s : int and float
    outcome : RolloutOutcome
    row_version : int
        Version of the service's row, which may be that of an earlier order; 0 if there
        is none.
    is_recorded : bool
        Whether the row is that of this order.
    is_known : bool
        Whether the row was read. Before, the order may have ended long ago.
    is_withheld : bool
        Whether the new version gets nothing although the outcome is not stored yet.
    own : VersionTallies
        Answers that this host saw.
    """

    order: RolloutOrder
    seen_s: float
    drain_s: float
    canary_share: float = 0.1
    step: int = 0
    step_since_s: float = 0.0
    outcome: RolloutOutcome = RolloutOutcome.RUNNING
    row_version: int = 0
    is_recorded: bool = False
    is_known: bool = False
    is_withheld: bool = False
    own: VersionTallies = field(default_factory=VersionTallies)
    _peers: dict[str, VersionTallies] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.step_since_s = self.seen_s

    @property
    def share(self) -> float:
        """Part of the objects that the new version gets."""
        if self.outcome is RolloutOutcome.COMPLETED:
            return 1.0
        if self.outcome is RolloutOutcome.ROLLED_BACK:
            return 0.0
        if self.is_withheld or not self.is_known:
            return 0.0
        if self.step == 0:
            return CANARY_USED_SHARE * self.canary_share
        return STEP_SHARES[self.step - 1]

    def gets_new(self, object_key: str) -> bool:
        """Tell whether an object's requests go to the new version."""
        share = self.share
        if share <= 0.0 or share >= 1.0:
            return share >= 1.0
        rank = rank_of(f"{self.order.service}:{self.order.to_version}", object_key)
        return rank < share * RANKS

    def totals(self) -> VersionTallies:
        """Return the figures of all hosts."""
        total = VersionTallies()
        total.add(self.own)
        for tallies in self._peers.values():
            total.add(tallies)
        return total

    def note_peer(self, host: str, view: RolloutView, now_s: float) -> None:
        """Take over what another host tells."""
        if view.revision != self.order.revision:
            return
        self._peers[host] = view.tallies
        if self.outcome is RolloutOutcome.RUNNING:
            if view.outcome is not RolloutOutcome.RUNNING:
                self.outcome = view.outcome
            elif view.step > self.step:
                self._enter(view.step, now_s)

    def view(self) -> RolloutView:
        """Return what this host tells others."""
        return RolloutView(
            self.order.service,
            self.order.revision,
            self.step,
            self.outcome,
            self.own,
        )

    def next_outcome(self, now_s: float, is_controller: bool) -> RolloutOutcome:
        """Advance the steps, and return the outcome that follows from what is known.

        Parameters
        ----------
        now_s : float
        is_controller : bool
            Whether this host advances the steps. Any host may take a version back.

        Returns
        -------
        RolloutOutcome
        """
        if self.outcome is not RolloutOutcome.RUNNING:
            return self.outcome
        totals = self.totals()
        if totals.is_bad:
            return RolloutOutcome.ROLLED_BACK
        if not is_controller:
            return RolloutOutcome.RUNNING
        elapsed_s = now_s - self.seen_s
        if self.step == 0:
            if self._is_proved(totals, elapsed_s):
                self._enter(1, now_s)
            elif elapsed_s >= self.order.duration_s - GIVE_UP_S:
                return RolloutOutcome.ROLLED_BACK
            return RolloutOutcome.RUNNING
        in_step_s = now_s - self.step_since_s
        if self.step < LAST_STEP:
            if in_step_s >= STEP_LENGTH_SHARE * self.order.duration_s:
                self._enter(self.step + 1, now_s)
            return RolloutOutcome.RUNNING
        if in_step_s >= self.drain_s:
            return RolloutOutcome.COMPLETED
        return RolloutOutcome.RUNNING

    def _is_proved(self, totals: VersionTallies, elapsed_s: float) -> bool:
        duration_s = self.order.duration_s
        if elapsed_s < PROOF_SHARE * duration_s:
            return False
        is_late = elapsed_s >= PROOF_LATE_SHARE * duration_s
        needed = PROOF_ANSWERS_LATE if is_late else PROOF_ANSWERS
        return totals.new.answers >= needed

    def _enter(self, step: int, now_s: float) -> None:
        self.step = step
        self.step_since_s = now_s
