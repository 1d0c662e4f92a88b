"""Rendezvous hashing, the same on every host."""

from __future__ import annotations

import math
from functools import lru_cache
from hashlib import blake2b

RANK_BYTES = 8
RANKS = 2**64
TOKEN_BITS = 32
CACHED_RANKS = 16384


@lru_cache(maxsize=CACHED_RANKS)
def rank_of(key: str, member: str) -> int:
    """Return the rank of a member for a key; the highest comes first.

    Parameters
    ----------
    key, member : str

    Returns
    -------
    int
        A 64-bit hash.
    """
    digest = blake2b(f"{key}\0{member}".encode(), digest_size=RANK_BYTES)
    return int.from_bytes(digest.digest(), "big")


@lru_cache(maxsize=CACHED_RANKS)
def weighted_rank(key: str, member: str, weight: float) -> float:
    """Return the rank of a member that wins keys in proportion to its weight.

    Weighted rendezvous hashing: a change of one weight moves only the keys that this
    member wins or loses.

    Parameters
    ----------
    key, member : str
    weight : float
        Above 0.

    Returns
    -------
    float
        The highest comes first.
    """
    return -weight / math.log((rank_of(key, member) + 1) / (RANKS + 2))


@lru_cache(maxsize=CACHED_RANKS)
def token_of(name: str) -> int:
    """Return the 32 bits by which hosts name an object or an upstream in reports."""
    return rank_of(name, "") >> TOKEN_BITS
