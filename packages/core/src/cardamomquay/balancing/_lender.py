"""Lends the slots of one pool in one region to the hosts that use them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cardamomquay.balancing._health import PoolHealth
from cardamomquay.balancing._messages import SlotCount
from cardamomquay.balancing._messages import SlotGrant

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomquay.balancing._messages import SlotRequest
    from cardamomquay.config import Upstream

SLOT_GRANT_VALID_S = 2.0
# Covers the clock drift between two hosts and the time that it takes to cancel a
# request at its deadline.
RECLAIM_MARGIN_S = 0.25
# Each borrower may keep one of this many equal parts of an upstream's connections above
# its slots as idle connections. When all are assigned, further borrowers get none.
SPARE_CONNECTION_PARTS = 64
# Time after which another borrower gets a slot when there are fewer slots than
# borrowers.
ROTATION_INTERVAL_S = 1.0


@dataclass(slots=True)
class _BorrowerAccount:
    """Slots lent to one incarnation of a borrower, and its last reported demand."""

    sequence: int = -1
    # Number of slots lent, by upstream.
    counts: Counter[str] = field(default_factory=Counter)
    valid_until_s: float = 0.0
    demand: int = 0
    wanted: int = 0
    spare_connections: int = 0
    avoid: frozenset[str] = frozenset()


def divide_slots(
    demands: Mapping[tuple[str, str], int], total: int, turn: int
) -> dict[tuple[str, str], int]:
    """Divide slots among borrowers by max-min fairness, in whole slots.

    Parameters
    ----------
    demands : mapping
        Number of slots that each borrower demands.
    total : int
        Number of slots to divide.
    turn : int
        Determines which borrowers get the slots that are left over by the integer
        division; increase it to let others have them.

    Returns
    -------
    dict
        Number of slots for each borrower.
    """
    # Number of slots for each borrower that demands at least as many.
    fair_share = 0
    remaining = total
    ordered = sorted(demands.values())
    for index, demand in enumerate(ordered):
        unserved = len(ordered) - index
        if (demand - fair_share) * unserved > remaining:
            fair_share, remaining = (
                fair_share + remaining // unserved,
                remaining % unserved,
            )
            break
        remaining -= (demand - fair_share) * unserved
        fair_share = demand
    unmet = [key for key, demand in demands.items() if demand > fair_share]
    get_one_more = {
        unmet[(turn + i) % len(unmet)] for i in range(remaining if unmet else 0)
    }
    return {
        key: min(demand, fair_share + int(key in get_one_more))
        for key, demand in demands.items()
    }


class SlotLender:
    """Lends slots and records which borrower holds which; not thread-safe.

    The slots lent never exceed an upstream's slots or its connection limit. A
    borrower keeps one connection for each slot that it holds, and some idle ones
    besides, so that a slot which it returns and borrows again needs no new
    connection.

    Parameters
    ----------
    upstreams : sequence of Upstream
        Upstreams of one pool in one region.
    longest_timeout_s : float
        Longest timeout of the routes of the pool.
    now_s : float
        Current time. The lender lends no slot until all slots lent by its predecessor
        are certainly unused; it only confirms slots that borrowers still hold.
    is_first_lender : bool, default=False
        Whether these slots certainly had no lender before.
    spare_connection_parts : int, default=64
        Number of equal parts into which an upstream's connections above its slots are
        divided; each borrower may keep one part as idle connections.
    """

    def __init__(
        self,
        upstreams: Sequence[Upstream],
        longest_timeout_s: float,
        now_s: float,
        is_first_lender: bool = False,
        spare_connection_parts: int = SPARE_CONNECTION_PARTS,
    ) -> None:
        self._spare_connection_parts = spare_connection_parts
        self._longest_timeout_s = longest_timeout_s
        self._lends_from_s = (
            now_s
            if is_first_lender
            else now_s + self._reclaim_after_s(SLOT_GRANT_VALID_S)
        )
        self._accounts: dict[tuple[str, str], _BorrowerAccount] = {}
        self._upstreams: dict[str, Upstream] = {}
        self.health = PoolHealth(now_s)
        self.apply_upstreams(upstreams, longest_timeout_s, now_s)

    def apply_upstreams(
        self, upstreams: Sequence[Upstream], longest_timeout_s: float, now_s: float
    ) -> None:
        """Apply a configuration.

        Parameters
        ----------
        upstreams : sequence of Upstream
        longest_timeout_s : float
        now_s : float
        """
        self._upstreams = {upstream.name: upstream for upstream in upstreams}
        # Requests sent under an older configuration may have its longer timeout.
        self._longest_timeout_s = max(self._longest_timeout_s, longest_timeout_s)
        draining = [u.name for u in upstreams if u.draining]
        self.health.set_upstreams(self._upstreams, draining, now_s)

    def lend(self, request: SlotRequest, now_s: float) -> SlotGrant | None:
        """Answer the request of a borrower.

        Parameters
        ----------
        request : SlotRequest
        now_s : float

        Returns
        -------
        SlotGrant or None
            None if the request is not newer than the last one of the same run of the
            borrower that was answered.
        """
        self._reclaim(now_s)
        key = (request.borrower, request.incarnation)
        account = self._accounts.setdefault(key, _BorrowerAccount())
        if request.sequence <= account.sequence:
            return None
        account.sequence = request.sequence
        for report in request.reports:
            self.health.apply_report(report, now_s)
        self._update_holding(account, request, now_s)
        account.valid_until_s = now_s + SLOT_GRANT_VALID_S
        account.demand = request.demand
        account.wanted = max(request.demand, request.wanted)
        account.spare_connections = self._spare_connections(account, now_s)
        account.avoid = frozenset(request.avoid)
        usable = {name: self._usable_slots(name, now_s) for name in self._upstreams}
        keep, contended = self._fair_slots(key, sum(usable.values()), now_s)
        if now_s >= self._lends_from_s:
            self._lend_new(account, keep, usable, now_s)
        counts = tuple(
            SlotCount(name, slots, self.health.usable_share(name, now_s))
            for name, slots in sorted(account.counts.items())
        )
        # Where more slots are lent than may be used, for example after an operator
        # lowered their number, each borrower that asks returns its slots until the
        # rest fits.
        stopped = tuple(
            name
            for name in account.counts
            if sum(other.counts[name] for other in self._accounts.values())
            > usable.get(name, 0)
        )
        return SlotGrant(
            counts,
            SLOT_GRANT_VALID_S,
            keep,
            stopped,
            contended,
            account.spare_connections,
        )

    def outstanding(self, upstream: str, now_s: float) -> int:
        """Return the number of slots of an upstream that may be in use."""
        self._reclaim(now_s)
        return sum(account.counts[upstream] for account in self._accounts.values())

    def _capacity(self, name: str) -> int:
        upstream = self._upstreams[name]
        return min(upstream.slots, upstream.connections)

    def _usable_slots(self, name: str, now_s: float) -> int:
        share = self.health.usable_share(name, now_s)
        # For a ramp share below one slot, one slot is lent, and the borrower pauses
        # between its uses.
        return max(1, int(share * self._capacity(name))) if share > 0 else 0

    def _spare_connections(self, account: _BorrowerAccount, now_s: float) -> int:
        if now_s < self._lends_from_s:
            return 0
        spare_per_upstream = min(
            (max(0, u.connections - u.slots) for u in self._upstreams.values()),
            default=0,
        )
        others = sum(
            other.spare_connections
            for other in self._accounts.values()
            if other is not account
        )
        return max(
            0,
            min(
                spare_per_upstream // self._spare_connection_parts,
                spare_per_upstream - others,
            ),
        )

    def _reclaim_after_s(self, valid_s: float) -> float:
        return valid_s + self._longest_timeout_s + RECLAIM_MARGIN_S

    def _reclaim(self, now_s: float) -> None:
        wait_s = self._reclaim_after_s(0.0)
        for key, account in tuple(self._accounts.items()):
            if account.counts or account.spare_connections:
                expired = now_s >= account.valid_until_s + wait_s
            else:
                # Kept for its sequence number, so that a delayed request is detected.
                expired = now_s >= account.valid_until_s + SLOT_GRANT_VALID_S
            if expired and account.sequence >= 0:
                del self._accounts[key]

    def _update_holding(
        self, account: _BorrowerAccount, request: SlotRequest, now_s: float
    ) -> None:
        is_starting = now_s < self._lends_from_s
        holding: Counter[str] = Counter()
        for item in request.holding:
            confirmed = account.counts[item.upstream]
            if (
                is_starting
                and request.holding_valid
                and item.upstream in self._upstreams
            ):
                # The predecessor lent these slots to no other borrower.
                free = self._capacity(item.upstream) - sum(
                    other.counts[item.upstream] for other in self._accounts.values()
                )
                confirmed += min(max(0, free), max(0, item.slots - confirmed))
            slots = min(item.slots, confirmed)
            if slots > 0:
                holding[item.upstream] += slots
        account.counts = holding

    def _fair_slots(
        self, key: tuple[str, str], total: int, now_s: float
    ) -> tuple[int, bool]:
        """Return how many slots a borrower may keep, and whether slots are scarce.

        Current demand is served first. Only the slots left over are divided by what
        borrowers want for their next peaks; otherwise requests of one host would wait
        while another host holds idle slots.
        """
        accounts = {
            other: account
            for other, account in self._accounts.items()
            if now_s < account.valid_until_s
        }
        if sum(account.wanted for account in accounts.values()) <= total:
            return accounts[key].wanted, False
        # With fewer slots than borrowers the slots left over rotate; otherwise the last
        # borrowers would never get one.
        turn = int(now_s / ROTATION_INTERVAL_S)
        accounts = dict(sorted(accounts.items()))
        needs = {other: account.demand for other, account in accounts.items()}
        assigned = divide_slots(needs, total, turn)
        spare = total - sum(assigned.values())
        extras = {
            other: account.wanted - assigned[other]
            for other, account in accounts.items()
        }
        keep = assigned[key] + divide_slots(extras, spare, turn)[key]
        return keep, sum(extras.values()) > spare

    def _lend_new(
        self, account: _BorrowerAccount, keep: int, usable: dict[str, int], now_s: float
    ) -> None:
        held = sum(n for name, n in account.counts.items() if usable.get(name, 0) > 0)
        if held >= keep:
            return
        lent: Counter[str] = Counter()
        for other in self._accounts.values():
            for name, slots in other.counts.items():
                lent[name] += slots
        free = {
            name: min(usable[name], self._capacity(name)) - lent[name]
            for name in self._upstreams
            if name not in account.avoid
        }
        while held < keep:
            choices = [name for name, slots in free.items() if slots > 0]
            if not choices:
                return
            # Prefers upstreams of low cost, and different ones, so that a retry can use
            # another upstream.
            name = min(
                choices,
                key=lambda n: (
                    self.health.cost_s(n, now_s) * (1 + account.counts[n]),
                    account.counts[n],
                    -free[n],
                    n,
                ),
            )
            account.counts[name] += 1
            free[name] -= 1
            held += 1
