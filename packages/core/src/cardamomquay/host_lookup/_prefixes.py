"""Table of client address blocks: longest-prefix match from addresses to sites.

A block is an address prefix with the name of its site. The table stores and returns
site names, but does not interpret them.
"""

from __future__ import annotations

import json
import socket
import zlib
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Any

import numpy as np
import xxhash

from cardamomquay.host_lookup._ranges import NO_SITE
from cardamomquay.host_lookup._ranges import PrefixArrays
from cardamomquay.host_lookup._ranges import Ranges
from cardamomquay.host_lookup._ranges import flatten
from cardamomquay.host_lookup._ranges import splice
from cardamomquay.outcomes import Finding

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

# `source` of findings about a table.
SOURCE = "prefix_table"
MAGIC = b"CQPT"
# Version of the encoding.
FORMAT = 1
CHECKSUM_BYTES = 8
# Size of the field that contains the length of the header.
HEADER_LENGTH_BYTES = 4
BLOCKS_MAX = 4_000_000
IPV4_BITS = 32
# IPv6 blocks are /64 or shorter, so only the upper half of an address is compared.
IPV6_BITS = 64
# Start of IPv6 addresses that map IPv4 addresses (``::ffff:0:0/96``).
MAPPED_PREFIX = bytes(10) + b"\xff\xff"
DTYPES: dict[int, Any] = {IPV4_BITS: np.uint32, IPV6_BITS: np.uint64}


class TableRefusalReason(StrEnum):
    """Why an encoded table was refused."""

    DAMAGED = "damaged"
    OLD = "old"
    UNKNOWN_FORMAT = "unknown_format"


@dataclass(frozen=True, slots=True)
class TableRefused:
    """An encoded table that was refused."""

    reason: TableRefusalReason
    detail: str


class PrefixTable:
    """Maps client addresses to sites; immutable.

    Parameters
    ----------
    version : int
    sites : tuple of str
        Site names, by the indices in the arrays.
    families : dict of int to PrefixArrays
        Prefixes of IPv4 and of IPv6, by `PrefixArrays.bits`.
    ranges : dict of int to Ranges, optional
        The flattened prefixes, computed if not given.
    """

    def __init__(
        self,
        version: int,
        sites: tuple[str, ...],
        families: dict[int, PrefixArrays],
        ranges: dict[int, Ranges] | None = None,
    ) -> None:
        self.version = version
        self.sites = sites
        self._families = families
        self._ranges = ranges or {
            bits: flatten(prefixes, 0, (1 << bits) - 1, NO_SITE)
            for bits, prefixes in families.items()
        }
        # The last entry is not used: `site_of` tests for `NO_SITE`.
        self._site_names: tuple[str | None, ...] = (*sites, None)

    def __len__(self) -> int:
        return sum(len(prefixes.sites) for prefixes in self._families.values())

    def nbytes(self) -> int:
        """Return the size of the arrays in bytes."""
        arrays = [
            array
            for bits, prefixes in self._families.items()
            for array in (
                prefixes.networks,
                prefixes.lengths,
                prefixes.sites,
                self._ranges[bits].starts,
                self._ranges[bits].sites,
            )
        ]
        return sum(array.nbytes for array in arrays)

    def site_of(self, address: str) -> str | None:
        """Find the site of a client address by its longest prefix.

        Parameters
        ----------
        address : str
            IPv4 or IPv6 without a port. An IPv4 address mapped into IPv6 counts as
            IPv4.

        Returns
        -------
        str or None
            None for an address without a block, and for an invalid address.
        """
        parsed = _parse_address(address)
        if parsed is None:
            return None
        bits, key = parsed
        index = self._ranges[bits].site_index_at(key)
        return None if index == NO_SITE else self._site_names[index]

    def with_block(
        self, prefix: str, site: str | None, version: int
    ) -> PrefixTable | Finding:
        """Return a table with one block set or removed.

        Parameters
        ----------
        prefix : str
        site : str or None
            None removes the block. An unknown site is added to the sites.
        version : int
            Version of the new table.

        Returns
        -------
        PrefixTable or Finding
        """
        parsed = _parse_prefix(prefix)
        if isinstance(parsed, Finding):
            return parsed
        if version <= self.version:
            return Finding(SOURCE, "version", str(version), f"above {self.version}")
        bits, network, length = parsed
        sites = self.sites
        if site is not None and site not in sites:
            sites = (*sites, site)
        index = None if site is None else sites.index(site)
        if len(sites) >= NO_SITE:
            return Finding(SOURCE, "sites", str(len(sites)), f"below {NO_SITE}")
        prefixes = self._families[bits].replaced(network, length, index)
        ranges = splice(self._ranges[bits], prefixes, network, length)
        return PrefixTable(
            version,
            sites,
            {**self._families, bits: prefixes},
            {**self._ranges, bits: ranges},
        )

    def encode(self) -> bytes:
        """Encode the table with its version and a checksum.

        Returns
        -------
        bytes
        """
        columns = []
        for bits in DTYPES:
            prefixes = self._families[bits]
            deltas = np.diff(prefixes.networks, prepend=prefixes.networks.dtype.type(0))
            little = deltas.astype(deltas.dtype.newbyteorder("<"))
            # Bytes of equal significance are grouped, which compresses better.
            planes = little.view(np.uint8).reshape(-1, bits // 8).T
            columns.append(planes.tobytes())
            columns.append(prefixes.lengths.tobytes())
            columns.append(prefixes.sites.astype("<u2").tobytes())
        header = {
            "format": FORMAT,
            "version": self.version,
            "sites": self.sites,
            "counts": [len(self._families[bits].sites) for bits in DTYPES],
        }
        head = json.dumps(header, separators=(",", ":")).encode()
        size = len(head).to_bytes(HEADER_LENGTH_BYTES, "little")
        body = MAGIC + size + head + zlib.compress(b"".join(columns), 6)
        return body + xxhash.xxh3_64_digest(body)


def build_table(
    version: int, blocks: Iterable[tuple[str, str]]
) -> PrefixTable | tuple[Finding, ...]:
    """Build a table.

    Parameters
    ----------
    version : int
    blocks : iterable of tuple of str
        Prefix, such as ``10.1.0.0/16``, and site name.

    Returns
    -------
    PrefixTable or tuple of Finding
    """
    findings: list[Finding] = []
    sites: dict[str, int] = {}
    seen: dict[tuple[int, int, int], int] = {}
    for prefix, site in blocks:
        parsed = _parse_prefix(prefix)
        if isinstance(parsed, Finding):
            findings.append(parsed)
        elif parsed in seen:
            findings.append(Finding(SOURCE, prefix, "two entries", "one entry"))
        else:
            seen[parsed] = sites.setdefault(site, len(sites))
    if len(sites) >= NO_SITE:
        findings.append(Finding(SOURCE, "sites", str(len(sites)), f"below {NO_SITE}"))
    if findings:
        return tuple(findings)
    families = {}
    for bits in DTYPES:
        rows = sorted(
            (network, length, site)
            for (family, network, length), site in seen.items()
            if family == bits
        )
        networks, lengths, indexes = zip(*rows, strict=True) if rows else ((), (), ())
        families[bits] = _make_arrays(bits, networks, lengths, indexes)
    return PrefixTable(version, tuple(sites), families)


def decode_table(data: bytes, newer_than: int = -1) -> PrefixTable | TableRefused:
    """Decode a table.

    Parameters
    ----------
    data : bytes
        Output of `PrefixTable.encode`.
    newer_than : int, default=-1
        Version of the table in use; equal and older versions are refused.

    Returns
    -------
    PrefixTable or TableRefused
    """
    damaged = TableRefusalReason.DAMAGED
    body, checksum = data[:-CHECKSUM_BYTES], data[-CHECKSUM_BYTES:]
    if not body.startswith(MAGIC):
        return TableRefused(TableRefusalReason.UNKNOWN_FORMAT, "not a prefix table")
    if xxhash.xxh3_64_digest(body) != checksum:
        return TableRefused(damaged, f"checksum mismatch in {len(data)} bytes")
    try:
        at = len(MAGIC) + HEADER_LENGTH_BYTES
        end = at + int.from_bytes(body[len(MAGIC) : at], "little")
        header = json.loads(body[at:end])
        if header["format"] != FORMAT:
            reason = TableRefusalReason.UNKNOWN_FORMAT
            return TableRefused(reason, f"unknown format {header['format']}")
        version = int(header["version"])
        if version <= newer_than:
            detail = f"version {version} is not newer than {newer_than}"
            return TableRefused(TableRefusalReason.OLD, detail)
        sites = tuple(str(site) for site in header["sites"])
        families = _decode_families(body[end:], header["counts"], len(sites))
    except (ValueError, KeyError, TypeError, zlib.error) as exc:
        return TableRefused(damaged, f"{type(exc).__name__}: {exc}")
    return PrefixTable(version, sites, families)


def _decode_families(
    packed: bytes, counts: Sequence[int], site_count: int
) -> dict[int, PrefixArrays]:
    # A block has its network, one byte for the length and two for the site index.
    sizes = [
        count * (bits // 8 + 3) for count, bits in zip(counts, DTYPES, strict=True)
    ]
    if min(counts) < 0 or sum(counts) > BLOCKS_MAX:
        raise ValueError(f"{counts} are invalid block counts")
    unpacker = zlib.decompressobj()
    # Reads one byte more than expected, to detect data that is too long.
    raw = unpacker.decompress(packed, sum(sizes) + 1)
    if len(raw) != sum(sizes) or not unpacker.eof:
        raise ValueError(f"{len(raw)} decompressed bytes, expected {sum(sizes)}")
    families = {}
    at = 0
    for count, (bits, dtype) in zip(counts, DTYPES.items(), strict=True):
        width = bits // 8
        planes = np.frombuffer(raw, np.uint8, count * width, at).reshape(width, -1)
        little = np.dtype(dtype).newbyteorder("<")
        deltas = np.ascontiguousarray(planes.T).view(little).reshape(-1)
        at += count * width
        lengths = np.frombuffer(raw, np.uint8, count, at)
        at += count
        indexes = np.frombuffer(raw, "<u2", count, at)
        at += 2 * count
        if count and (int(indexes.max()) >= site_count or int(lengths.max()) > bits):
            raise ValueError("block with unknown site or invalid prefix length")
        networks = np.cumsum(deltas, dtype=dtype)
        families[bits] = _make_arrays(bits, networks, lengths, indexes)
    return families


def _make_arrays(bits: int, networks: Any, lengths: Any, sites: Any) -> PrefixArrays:
    return PrefixArrays(
        bits,
        np.asarray(networks, DTYPES[bits]),
        np.asarray(lengths, np.uint8),
        np.asarray(sites, np.uint16),
    )


def _parse_address(address: str) -> tuple[int, int] | None:
    try:
        if ":" not in address:
            packed = socket.inet_pton(socket.AF_INET, address)
            return IPV4_BITS, int.from_bytes(packed, "big")
        packed = socket.inet_pton(socket.AF_INET6, address)
    except (OSError, ValueError):
        return None
    if packed.startswith(MAPPED_PREFIX):
        return IPV4_BITS, int.from_bytes(packed[12:], "big")
    return IPV6_BITS, int.from_bytes(packed[:8], "big")


def _parse_prefix(prefix: str) -> tuple[int, int, int] | Finding:
    address, separator, digits = prefix.partition("/")
    parsed = _parse_address(address)
    expected = "an IPv4 prefix, or an IPv6 prefix of /64 or shorter"
    if parsed is None or not separator or not digits.isdecimal():
        return Finding(SOURCE, "", repr(prefix), expected)
    bits, network = parsed
    length = int(digits)
    mapped = bits == IPV4_BITS and ":" in address
    if length > bits or mapped:
        return Finding(SOURCE, "", repr(prefix), expected)
    rest = network & ((1 << (bits - length)) - 1)
    low_half = bits == IPV6_BITS and any(socket.inet_pton(socket.AF_INET6, address)[8:])
    if rest or low_half:
        return Finding(SOURCE, "", repr(prefix), "no bits set beyond the length")
    return bits, network, length
