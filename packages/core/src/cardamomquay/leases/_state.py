"""State of this host's lease."""

from __future__ import annotations

from dataclasses import dataclass

LEASE_TTL_S = 6.0
LEASE_RENEWAL_S = 2.0
LEASE_SAFETY_S = 0.5


@dataclass(frozen=True, slots=True)
class LeaseState:
    """What this host holds.

    Parameters
    ----------
    fence : int
        Fencing token of the lease; 0 without a lease.
    valid_until_s : float
        On the host's clock, `LEASE_SAFETY_S` before the lease can be reclaimed.
    """

    fence: int = 0
    valid_until_s: float = float("-inf")


def is_lease_valid(state: LeaseState, now_s: float) -> bool:
    """Whether this host may act on what it holds.

    Parameters
    ----------
    state : LeaseState
    now_s : float

    Returns
    -------
    bool
    """
    return state.fence > 0 and now_s < state.valid_until_s
