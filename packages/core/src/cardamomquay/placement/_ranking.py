"""Rendezvous hashing, with equal results on every host."""

from __future__ import annotations

import math
from functools import lru_cache
from hashlib import blake2b

HASH_BYTES = 8
HASH_RANGE = 2**64
# Also the number of bits that are dropped from the 64-bit hash.
SHORT_ID_BITS = 32
HASH_CACHE_SIZE = 16384


@lru_cache(maxsize=HASH_CACHE_SIZE)
def rendezvous_hash(key: str, member: str) -> int:
    """Return the hash of a member for a key; the member with the highest one wins.

    Parameters
    ----------
    key, member : str

    Returns
    -------
    int
        A 64-bit hash.
    """
    digest = blake2b(f"{key}\0{member}".encode(), digest_size=HASH_BYTES)
    return int.from_bytes(digest.digest(), "big")


@lru_cache(maxsize=HASH_CACHE_SIZE)
def weighted_rendezvous_score(key: str, member: str, weight: float) -> float:
    """Return the score of a member that wins keys in proportion to its weight.

    With weighted rendezvous hashing, a change of one weight moves only the keys that
    this member wins or loses.

    Parameters
    ----------
    key, member : str
    weight : float
        Above 0.

    Returns
    -------
    float
        The member with the highest score wins.
    """
    return -weight / math.log((rendezvous_hash(key, member) + 1) / (HASH_RANGE + 2))


@lru_cache(maxsize=HASH_CACHE_SIZE)
def short_id(name: str) -> int:
    """Return the 32-bit identifier of an object or an upstream in reports."""
    return rendezvous_hash(name, "") >> SHORT_ID_BITS
