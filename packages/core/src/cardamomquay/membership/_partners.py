"""Which hosts to exchange records with next."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import xxhash

from cardamomquay.membership._records import MemberState
from cardamomquay.membership._state import PeerTarget

if TYPE_CHECKING:
    from cardamomquay.membership._state import MembershipState

# Calls a round. Answers pass on what is newer of all others, so that most hosts are
# heard of without a call.
PARTNERS = 2
# Hosts that are cut off or paused have to be found again when they return.
DEAD_PARTNERS = 1
# A host that is not heard of for so long is called at the next tick. This keeps a
# sound host's record younger than the time after which it would be suspected.
OVERDUE_AFTER_S = 0.9
RETRY_AFTER_S = 0.3


def choose_partners(state: MembershipState, now_s: float) -> tuple[PeerTarget, ...]:
    """Choose the hosts of which least was heard since they were called.

    Parameters
    ----------
    state : MembershipState
    now_s : float

    Returns
    -------
    tuple of PeerTarget
    """
    live: list[tuple[float, int, str]] = []
    dead: list[tuple[float, int, str]] = []
    for name in state.members:
        if name == state.own_host:
            continue
        # Hosts that start together must not all call the same ones.
        order = xxhash.xxh32_intdigest(f"{state.own_host}/{name}".encode())
        is_dead = state.state_of(name, now_s) is MemberState.DEAD
        touched_s = max(_heard_at_s(state, name), _called_at_s(state, name))
        (dead if is_dead else live).append((touched_s, order, name))
    chosen = (
        *heapq.nsmallest(PARTNERS, live),
        *heapq.nsmallest(DEAD_PARTNERS, dead),
    )
    return tuple(_target(state, name) for _, _, name in chosen)


def overdue_hosts(state: MembershipState, now_s: float) -> tuple[PeerTarget, ...]:
    """Return the hosts that have to be called before the next round.

    Parameters
    ----------
    state : MembershipState
    now_s : float

    Returns
    -------
    tuple of PeerTarget
    """
    return tuple(
        _target(state, name)
        for name in state.members
        if name != state.own_host
        and now_s - _heard_at_s(state, name) >= OVERDUE_AFTER_S
        and now_s - _called_at_s(state, name) >= RETRY_AFTER_S
        and state.state_of(name, now_s) is not MemberState.DEAD
    )


def _heard_at_s(state: MembershipState, name: str) -> float:
    member = state.members[name]
    return member.heard_at_s if member.heard else float("-inf")


def _called_at_s(state: MembershipState, name: str) -> float:
    return state.called_at_s.get(name, float("-inf"))


def _target(state: MembershipState, name: str) -> PeerTarget:
    return PeerTarget(name, state.members[name].record.peer_address)
