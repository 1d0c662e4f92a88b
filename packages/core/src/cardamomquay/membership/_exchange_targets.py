"""Selects the hosts to exchange records with next."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import xxhash

from cardamomquay.membership._records import MemberState
from cardamomquay.membership._state import PeerTarget

if TYPE_CHECKING:
    from cardamomquay.membership._state import MembershipState

# Hosts to call in each round, every `EXCHANGE_INTERVAL_S`. Two are enough: replies
# include newer records of all other hosts, so most records arrive without a call to
# their host.
NOT_DEAD_TARGETS_PER_ROUND = 2
# Detects dead hosts that have returned after a partition or a pause.
DEAD_TARGETS_PER_ROUND = 1
# A host whose record is older than this is called on the next tick, without waiting for
# the round, so that a healthy host is not suspected (`SUSPECT_AFTER_S`).
OVERDUE_AFTER_S = 0.9
CALL_RETRY_DELAY_S = 0.3


def choose_exchange_targets(
    state: MembershipState, now_s: float
) -> tuple[PeerTarget, ...]:
    """Choose the hosts to call in a round, separately among dead and other hosts.

    Those whose last contact is the longest ago come first. A contact is a record that
    the host sent, or a call to it by this host.

    Parameters
    ----------
    state : MembershipState
    now_s : float

    Returns
    -------
    tuple of PeerTarget
    """
    not_dead: list[tuple[float, int, str]] = []
    dead: list[tuple[float, int, str]] = []
    for name in state.members:
        if name == state.own_host:
            continue
        # Breaks ties differently on each host, so that hosts that start at the same
        # time do not all call the same ones.
        tie_breaker = xxhash.xxh32_intdigest(f"{state.own_host}/{name}".encode())
        is_dead = state.state_of(name, now_s) is MemberState.DEAD
        last_contact_s = max(_sent_after_s(state, name), _called_at_s(state, name))
        (dead if is_dead else not_dead).append((last_contact_s, tie_breaker, name))
    chosen = (
        *heapq.nsmallest(NOT_DEAD_TARGETS_PER_ROUND, not_dead),
        *heapq.nsmallest(DEAD_TARGETS_PER_ROUND, dead),
    )
    return tuple(_target(state, name) for _, _, name in chosen)


def overdue_targets(state: MembershipState, now_s: float) -> tuple[PeerTarget, ...]:
    """Return the hosts to call now because their records are too old.

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
        and now_s - _sent_after_s(state, name) >= OVERDUE_AFTER_S
        and now_s - _called_at_s(state, name) >= CALL_RETRY_DELAY_S
        and state.state_of(name, now_s) is not MemberState.DEAD
    )


def _sent_after_s(state: MembershipState, name: str) -> float:
    member = state.members[name]
    return member.sent_after_s if member.has_dated_record else float("-inf")


def _called_at_s(state: MembershipState, name: str) -> float:
    return state.called_at_s.get(name, float("-inf"))


def _target(state: MembershipState, name: str) -> PeerTarget:
    return PeerTarget(name, state.members[name].record.peer_address)
