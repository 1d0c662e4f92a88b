from __future__ import annotations

import ipaddress
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cardamomquay.host_lookup import PrefixTable
from cardamomquay.host_lookup import TableRefusalReason
from cardamomquay.host_lookup import TableRefused
from cardamomquay.host_lookup import build_table
from cardamomquay.host_lookup import decode_table
from cardamomquay.outcomes import Finding

BLOCKS = {
    "10.0.0.0/8": "a",
    "10.1.0.0/16": "b",
    "10.1.2.0/24": "c",
    "10.1.2.3/32": "a",
    "192.168.0.0/16": "b",
    "255.255.255.255/32": "c",
    "2001:db8::/32": "a",
    "2001:db8:1::/48": "b",
}


def build(blocks: dict[str, str], version: int = 1) -> PrefixTable:
    table = build_table(version, blocks.items())
    assert isinstance(table, PrefixTable), table
    return table


def site_by_scan(blocks: dict[str, str], address: str) -> str | None:
    """Find the longest-prefix match by trying every block."""
    ip = ipaddress.ip_address(address)
    found = [(n.prefixlen, s) for b, s in blocks.items()
             if ip in (n := ipaddress.ip_network(b))]  # fmt: skip
    return max(found)[1] if found else None


def boundary_addresses(blocks: dict[str, str]) -> set[str]:
    """Return the first and last address of each block and their neighbours."""
    found = set()
    for block in blocks:
        network = ipaddress.ip_network(block)
        for address in (network.network_address, network.broadcast_address):
            top = 2**address.max_prefixlen - 1
            for value in (int(address) - 1, int(address), int(address) + 1):
                found.add(str(type(address)(min(max(value, 0), top))))
    return found


def ipv4_block(network: int, length: int) -> str:
    # Only sixteen networks, so that blocks are often nested or adjacent.
    value = (network << 28) >> (32 - length) << (32 - length) if length else 0
    return f"{ipaddress.IPv4Address(value)}/{length}"


IPV4_BLOCKS = st.builds(ipv4_block, st.integers(0, 15), st.integers(0, 6))
IPV6_BLOCKS = st.sampled_from(
    ["::/0", "8000::/1", "fe00::/7", "2001:db8::/32", "2001:db8:0:1::/64"]
)
TABLES = st.dictionaries(IPV4_BLOCKS | IPV6_BLOCKS, st.sampled_from("abc"), max_size=12)


class PrefixTableTest(unittest.TestCase):
    def test_cases(self) -> None:
        """Guards against a match of a wider or of a different block."""
        cases = {
            "10.255.0.1": "a",
            "10.1.255.255": "b",
            "10.1.2.2": "c",
            "10.1.2.3": "a",
            "10.1.2.4": "c",
            "10.2.0.0": "a",
            "9.255.255.255": None,
            "11.0.0.0": None,
            "0.0.0.0": None,
            "255.255.255.254": None,
            "255.255.255.255": "c",
            "::ffff:10.1.2.3": "a",
            "2001:db8::1": "a",
            "2001:db8:1:ffff:ffff:ffff:ffff:ffff": "b",
            "2001:db9::": None,
            "::": None,
            "10.1.2": None,
            "10.1.2.3:80": None,
            "fe80::1%eth0": None,
            "": None,
        }
        table = build(BLOCKS)
        for address, site in cases.items():
            with self.subTest(address):
                self.assertEqual(table.site_of(address), site)

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(TABLES, IPV4_BLOCKS | IPV6_BLOCKS, st.sampled_from(["a", "d", None]))
    def test_against_a_search_of_all_blocks(
        self, blocks: dict[str, str], changed: str, site: str | None
    ) -> None:
        """Guards against errors with nested blocks, and in updates of single blocks."""
        table = build(blocks)
        for address in boundary_addresses(blocks | {changed: "a"}):
            self.assertEqual(table.site_of(address), site_by_scan(blocks, address))
        updated = table.with_block(changed, site, 2)
        assert isinstance(updated, PrefixTable)
        blocks = {k: v for k, v in blocks.items() if k != changed}
        if site is not None:
            blocks[changed] = site
        decoded = decode_table(updated.encode(), 1)
        assert isinstance(decoded, PrefixTable)
        self.assertEqual(len(updated), len(blocks))
        for address in boundary_addresses(blocks | {changed: "a"}):
            expected = site_by_scan(blocks, address)
            self.assertEqual(updated.site_of(address), expected)
            self.assertEqual(decoded.site_of(address), expected)

    def test_findings(self) -> None:
        """Guards against a table built from invalid or ambiguous blocks."""
        bad = ("10.0.0.1/8", "10.0.0.0", "10.0.0.0/33", "x/8", "2001:db8::/65",
               "2001:db8::1/64", "::ffff:10.0.0.0/32", "10.0.0.0/-1")  # fmt: skip
        result = build_table(1, [(prefix, "a") for prefix in bad])
        assert isinstance(result, tuple)
        self.assertEqual(len(result), len(bad))
        twice = build_table(1, [("10.0.0.0/8", "a"), ("10.0.0.0/8", "b")])
        self.assertIsInstance(twice, tuple)
        table = build(BLOCKS, 3)
        self.assertIsInstance(table.with_block("10.0.0.1/8", "a", 4), Finding)
        self.assertIsInstance(table.with_block("10.0.0.0/8", "a", 3), Finding)

    def test_refused_bytes(self) -> None:
        """Guards against use of a damaged or older table."""
        data = build(BLOCKS, 5).encode()
        flipped = bytes([data[30] ^ 1])
        cases = {
            "same version": (data, 5, TableRefusalReason.OLD),
            "older": (data, 9, TableRefusalReason.OLD),
            "bit flipped": (data[:30] + flipped + data[31:], 4, "damaged"),
            "cut": (data[:-20], 4, "damaged"),
            "nothing": (b"", 4, "unknown_format"),
            "other file": (b"x" * 200, 4, "unknown_format"),
        }
        for name, (given_data, newer_than, reason) in cases.items():
            with self.subTest(name):
                result = decode_table(given_data, newer_than)
                assert isinstance(result, TableRefused)
                self.assertEqual(result.reason, reason)
        newer = decode_table(data, 4)
        assert isinstance(newer, PrefixTable)
        self.assertEqual(newer.version, 5)

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.integers(0, 10_000), st.integers(1, 255))
    def test_every_flipped_byte_is_refused(self, position: int, mask: int) -> None:
        """Guards against damage that the checksum does not detect."""
        data = bytearray(build(BLOCKS).encode())
        data[position % len(data)] ^= mask
        self.assertIsInstance(decode_table(bytes(data)), TableRefused)


if __name__ == "__main__":
    unittest.main()
