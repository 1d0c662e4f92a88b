"""Prefixes of one address family, and their flattening into sorted ranges."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np
from numpy.typing import NDArray

# Site index of addresses without a site; the highest one that fits into uint16.
NO_SITE = 0xFFFF
AddressArray = NDArray[np.unsignedinteger[Any]]


@dataclass(frozen=True, slots=True, eq=False)
class PrefixArrays:
    """Prefixes, sorted by network and length; immutable.

    Parameters
    ----------
    bits : int
        32, or 64 for the upper half of an IPv6 address.
    networks : array of shape (n,), uint32 or uint64
    lengths : array of shape (n,), uint8
    sites : array of shape (n,), uint16
        Index of the site of each prefix.
    """

    bits: int
    networks: AddressArray
    lengths: NDArray[np.uint8]
    sites: NDArray[np.uint16]

    def ends(self) -> AddressArray:
        """Return the last address of each prefix; the array has shape (n,)."""
        dtype = self.networks.dtype
        host_bits = (self.bits - self.lengths.astype(np.int64)).astype(np.uint64)
        # A shift by 64 bits is undefined, so the mask is built from its highest bit.
        top = np.left_shift(np.uint64(1), np.maximum(host_bits, 1) - np.uint64(1))
        mask = np.where(host_bits == 0, 0, top | (top - np.uint64(1)))
        return self.networks | mask.astype(dtype)

    def find(self, network: int, length: int) -> tuple[int, bool]:
        """Return the position of a prefix, and whether it is present."""
        key = self.networks.dtype.type(network)
        low = int(np.searchsorted(self.networks, key, side="left"))
        high = int(np.searchsorted(self.networks, key, side="right"))
        at = low + int(np.searchsorted(self.lengths[low:high], length))
        return at, at < high and int(self.lengths[at]) == length

    def replaced(self, network: int, length: int, site: int | None) -> PrefixArrays:
        """Return a copy with the site index of one prefix set; None removes it."""
        at, present = self.find(network, length)
        if present and site is not None:
            sites = self.sites.copy()
            sites[at] = site
            return PrefixArrays(self.bits, self.networks, self.lengths, sites)
        if present:
            return PrefixArrays(
                self.bits,
                np.delete(self.networks, at),
                np.delete(self.lengths, at),
                np.delete(self.sites, at),
            )
        if site is None:
            return self
        dtype = self.networks.dtype.type
        return PrefixArrays(
            self.bits,
            np.insert(self.networks, at, dtype(network)),
            np.insert(self.lengths, at, np.uint8(length)),
            np.insert(self.sites, at, np.uint16(site)),
        )

    def covering_site(self, network: int, length: int) -> int:
        """Return the site index of the closest prefix that contains the given one.

        `NO_SITE` if no shorter prefix contains it.
        """
        for shorter in range(length - 1, -1, -1):
            shift = self.bits - shorter
            at, present = self.find(network >> shift << shift, shorter)
            if present:
                return int(self.sites[at])
        return NO_SITE


@dataclass(frozen=True, slots=True, eq=False)
class Ranges:
    """Disjoint ranges that cover all addresses; immutable.

    Parameters
    ----------
    starts : array of shape (n,), sorted, the first is 0
    sites : array of shape (n,), uint16
        Index of the site from each start to the next one; `NO_SITE` for none.
    """

    starts: AddressArray
    sites: NDArray[np.uint16]

    def site_index_at(self, address: int) -> int:
        """Return the index of the site of an address."""
        # With a key of another type, numpy would convert the whole array.
        key = self.starts.dtype.type(address)
        return int(self.sites[self.starts.searchsorted(key, side="right") - 1])


def flatten(prefixes: PrefixArrays, first: int, last: int, default: int) -> Ranges:
    """Flatten nested prefixes into ranges; longer prefixes take precedence.

    Parameters
    ----------
    prefixes : PrefixArrays
        Prefixes within the range.
    first, last : int
        First and last address of the range to cover.
    default : int
        Index of the site where no prefix matches.

    Returns
    -------
    Ranges
    """
    dtype = prefixes.networks.dtype
    ends = prefixes.ends()
    after = ends[ends != dtype.type(last)] + dtype.type(1)
    first_key = np.array([first], dtype)
    starts = np.unique(np.concatenate([first_key, prefixes.networks, after]))
    sites = np.full(len(starts), default, np.uint16)
    # Prefixes of equal length do not overlap, so all of one length are applied at once.
    for length in np.unique(prefixes.lengths):
        chosen = prefixes.lengths == length
        low = np.searchsorted(starts, prefixes.networks[chosen], side="left")
        high = np.searchsorted(starts, ends[chosen], side="right")
        change = np.zeros(len(starts) + 1, np.int32)
        change[low] += 1
        change[high] -= 1
        inside = np.cumsum(change[:-1]) > 0
        opened = np.zeros(len(starts), np.int32)
        opened[low] = 1
        # Position, among the prefixes of this length, of the last one that starts at or
        # before each range.
        prefix_index = np.cumsum(opened) - 1
        sites[inside] = prefixes.sites[chosen][prefix_index[inside]]
    return _merge_equal_neighbours(starts, sites)


def splice(ranges: Ranges, prefixes: PrefixArrays, network: int, length: int) -> Ranges:
    """Return the ranges after a change of one prefix.

    Only the part that the prefix covers is computed again.

    Parameters
    ----------
    ranges : Ranges
        Ranges before the change.
    prefixes : PrefixArrays
        Prefixes after the change.
    network, length : int
        The changed prefix.

    Returns
    -------
    Ranges
    """
    dtype = prefixes.networks.dtype.type
    last = network | ((1 << (prefixes.bits - length)) - 1)
    low = int(np.searchsorted(prefixes.networks, dtype(network), side="left"))
    high = int(np.searchsorted(prefixes.networks, dtype(last), side="right"))
    # Shorter prefixes with the same network sort first and cover the block.
    while low < high and int(prefixes.lengths[low]) < length:
        low += 1
    inside = PrefixArrays(
        prefixes.bits,
        prefixes.networks[low:high],
        prefixes.lengths[low:high],
        prefixes.sites[low:high],
    )
    default = prefixes.covering_site(network, length)
    part = flatten(inside, network, last, default)
    before = int(np.searchsorted(ranges.starts, dtype(network), side="left"))
    after = int(np.searchsorted(ranges.starts, dtype(last), side="right"))
    starts = [ranges.starts[:before], part.starts]
    sites = [ranges.sites[:before], part.sites]
    if last != (1 << prefixes.bits) - 1:
        # The range that contains the end of the block continues after it.
        starts.append(np.array([last + 1], dtype))
        sites.append(ranges.sites[after - 1 : after])
        if after < len(ranges.starts) and int(ranges.starts[after]) == last + 1:
            starts.pop()
            sites.pop()
    starts.append(ranges.starts[after:])
    sites.append(ranges.sites[after:])
    return _merge_equal_neighbours(np.concatenate(starts), np.concatenate(sites))


def _merge_equal_neighbours(starts: AddressArray, sites: NDArray[np.uint16]) -> Ranges:
    changes = np.concatenate([[True], sites[1:] != sites[:-1]])
    return Ranges(starts[changes], sites[changes])
