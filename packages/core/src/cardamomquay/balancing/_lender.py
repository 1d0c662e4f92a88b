"""Lending of the slots of one pool in one region."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cardamomquay.balancing._health import PassiveHealth
from cardamomquay.balancing._messages import SlotCount
from cardamomquay.balancing._messages import SlotGrant

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomquay.balancing._messages import SlotRequest
    from cardamomquay.config import Upstream

GRANT_S = 2.0
# Covers differences of clock rates and the cancellation of a late request.
RECLAIM_MARGIN_S = 0.25
BORROWERS_MAX = 64
TURN_S = 1.0


@dataclass(slots=True)
class _Loan:
    sequence: int = -1
    counts: Counter[str] = field(default_factory=Counter)
    valid_until_s: float = 0.0
    demand: int = 0
    wanted: int = 0
    spare_connections: int = 0
    avoid: frozenset[str] = frozenset()


def divide_slots(
    demands: Mapping[tuple[str, str], int], total: int, turn: int
) -> dict[tuple[str, str], int]:
    """Divide whole slots by max-min fairness.

    Parameters
    ----------
    demands : mapping
        Slots demanded by each borrower.
    total : int
    turn : int
        Decides which borrowers get the slots that remain from the division.

    Returns
    -------
    dict
    """
    level = 0
    left = total
    ordered = sorted(demands.values())
    for index, demand in enumerate(ordered):
        waiting = len(ordered) - index
        if (demand - level) * waiting > left:
            level, left = level + left // waiting, left % waiting
            break
        left -= (demand - level) * waiting
        level = demand
    hungry = [key for key, demand in demands.items() if demand > level]
    lucky = {hungry[(turn + i) % len(hungry)] for i in range(left if hungry else 0)}
    return {
        key: min(demand, level + int(key in lucky)) for key, demand in demands.items()
    }


class SlotLender:
    """Records which slots are out and to whom; the caller serialises access.

    Slots lent never exceed an upstream's slots or its connection cap. A borrower
    keeps one connection for each slot that it holds, and a fixed number of idle
    ones, since returning a slot would otherwise cost a new connection later.

    Parameters
    ----------
    upstreams : sequence of Upstream
        Those of one pool in one region.
    longest_deadline_s : float
        Longest deadline of the routes of the pool.
    now_s : float
        Start of the lender. Until the slots of a predecessor are certainly unused
        it lends none, and only adopts slots that borrowers still hold.
    first : bool, default=False
        Whether the resource certainly had no lender before.
    borrowers_max : int, default=64
        Borrowers among which the idle connections are divided.
    """

    def __init__(
        self,
        upstreams: Sequence[Upstream],
        longest_deadline_s: float,
        now_s: float,
        first: bool = False,
        borrowers_max: int = BORROWERS_MAX,
    ) -> None:
        self._borrowers_max = borrowers_max
        self._longest_deadline_s = longest_deadline_s
        self._silent_until_s = now_s if first else now_s + self._reclaim_s(GRANT_S)
        self._loans: dict[tuple[str, str], _Loan] = {}
        self._upstreams: dict[str, Upstream] = {}
        self.health = PassiveHealth(now_s)
        self.apply_upstreams(upstreams, longest_deadline_s, now_s)

    def apply_upstreams(
        self, upstreams: Sequence[Upstream], longest_deadline_s: float, now_s: float
    ) -> None:
        """Apply a configuration.

        Parameters
        ----------
        upstreams : sequence of Upstream
        longest_deadline_s : float
        now_s : float
        """
        self._upstreams = {upstream.name: upstream for upstream in upstreams}
        # Requests sent under an older configuration keep its longer deadline.
        self._longest_deadline_s = max(self._longest_deadline_s, longest_deadline_s)
        draining = [u.name for u in upstreams if u.draining]
        self.health.set_upstreams(self._upstreams, draining, now_s)

    def lend(self, request: SlotRequest, now_s: float) -> SlotGrant | None:
        """Answer a borrower.

        Parameters
        ----------
        request : SlotRequest
        now_s : float

        Returns
        -------
        SlotGrant or None
            None for a request that is older than one answered before.
        """
        self._reclaim(now_s)
        key = (request.borrower, request.incarnation)
        loan = self._loans.setdefault(key, _Loan())
        if request.sequence <= loan.sequence:
            return None
        loan.sequence = request.sequence
        for report in request.reports:
            self.health.apply_report(report, now_s)
        self._keep(loan, request, now_s)
        loan.valid_until_s = now_s + GRANT_S
        loan.demand = request.demand
        loan.wanted = max(request.demand, request.wanted)
        loan.spare_connections = self._spare_connections(loan, now_s)
        loan.avoid = frozenset(request.avoid)
        usable = {name: self._usable(name, now_s) for name in self._upstreams}
        keep, contended = self._fair_slots(key, sum(usable.values()), now_s)
        if now_s >= self._silent_until_s:
            self._lend_new(loan, keep, usable, now_s)
        counts = tuple(
            SlotCount(name, slots, self.health.usable_share(name, now_s))
            for name, slots in sorted(loan.counts.items())
        )
        stopped = tuple(name for name in loan.counts if usable.get(name, 0) == 0)
        return SlotGrant(
            counts, GRANT_S, keep, stopped, contended, loan.spare_connections
        )

    def outstanding(self, upstream: str, now_s: float) -> int:
        """Return the slots of an upstream that may be in use."""
        self._reclaim(now_s)
        return sum(loan.counts[upstream] for loan in self._loans.values())

    def _capacity(self, name: str) -> int:
        upstream = self._upstreams[name]
        return min(upstream.slots, upstream.connections)

    def _usable(self, name: str, now_s: float) -> int:
        share = self.health.usable_share(name, now_s)
        # A ramp below one slot lends one; the borrower lets it rest between uses.
        return max(1, int(share * self._capacity(name))) if share > 0 else 0

    def _spare_connections(self, loan: _Loan, now_s: float) -> int:
        if now_s < self._silent_until_s:
            return 0
        budget = min(
            (max(0, u.connections - u.slots) for u in self._upstreams.values()),
            default=0,
        )
        others = sum(o.spare_connections for o in self._loans.values() if o is not loan)
        return max(0, min(budget // self._borrowers_max, budget - others))

    def _reclaim_s(self, grant_s: float) -> float:
        return grant_s + self._longest_deadline_s + RECLAIM_MARGIN_S

    def _reclaim(self, now_s: float) -> None:
        wait_s = self._reclaim_s(0.0)
        for key, loan in tuple(self._loans.items()):
            if loan.counts or loan.spare_connections:
                gone = now_s >= loan.valid_until_s + wait_s
            else:
                # The sequence number is kept until a delayed request is harmless.
                gone = now_s >= loan.valid_until_s + GRANT_S
            if gone and loan.sequence >= 0:
                del self._loans[key]

    def _keep(self, loan: _Loan, request: SlotRequest, now_s: float) -> None:
        silent = now_s < self._silent_until_s
        kept: Counter[str] = Counter()
        for item in request.holding:
            known = loan.counts[item.upstream]
            if silent and request.holding_valid and item.upstream in self._upstreams:
                # The predecessor lent these slots to this borrower alone.
                free = self._capacity(item.upstream) - sum(
                    other.counts[item.upstream] for other in self._loans.values()
                )
                known += min(max(0, free), max(0, item.slots - known))
            slots = min(item.slots, known)
            if slots > 0:
                kept[item.upstream] += slots
        loan.counts = kept

    def _fair_slots(
        self, key: tuple[str, str], total: int, now_s: float
    ) -> tuple[int, bool]:
        """Slots that a borrower may keep, and whether slots are short.

        What borrowers need now is divided first. Only what is left serves their
        next peaks, or idle slots of one host would make requests of another wait.
        """
        loans = {
            other: loan
            for other, loan in sorted(self._loans.items())
            if now_s < loan.valid_until_s
        }
        # With fewer slots than borrowers the spare slots have to take turns, or the
        # last borrowers would never get one.
        turn = int(now_s / TURN_S)
        needs = {other: loan.demand for other, loan in loans.items()}
        first = divide_slots(needs, total, turn)
        spare = total - sum(first.values())
        extras = {other: loan.wanted - first[other] for other, loan in loans.items()}
        keep = first[key] + divide_slots(extras, spare, turn)[key]
        return keep, sum(extras.values()) > spare

    def _lend_new(
        self, loan: _Loan, keep: int, usable: dict[str, int], now_s: float
    ) -> None:
        out: Counter[str] = Counter()
        for other in self._loans.values():
            out.update(other.counts)
        free = {
            name: min(usable[name], self._capacity(name)) - out[name]
            for name in self._upstreams
            if name not in loan.avoid
        }
        held = sum(n for name, n in loan.counts.items() if usable.get(name, 0) > 0)
        while held < keep:
            choices = [name for name, slots in free.items() if slots > 0]
            if not choices:
                return
            # Cheap upstreams first, and different ones so that a retry has a choice.
            name = min(
                choices,
                key=lambda n: (
                    self.health.cost_s(n, now_s) * (1 + loan.counts[n]),
                    loan.counts[n],
                    -free[n],
                    n,
                ),
            )
            loan.counts[name] += 1
            free[name] -= 1
            held += 1
