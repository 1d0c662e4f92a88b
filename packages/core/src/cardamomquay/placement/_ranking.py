"""Rendezvous hashing, the same on every host."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

RANK_BYTES = 8
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
