"""Measures the prefix table that maps client blocks to sites."""

from __future__ import annotations

import ipaddress
import json
import sys
import time
from random import Random
from typing import TYPE_CHECKING

from cardamomquay.host_lookup import PrefixTable
from cardamomquay.host_lookup import build_table
from cardamomquay.host_lookup import decode_table

if TYPE_CHECKING:
    from collections.abc import Callable

BLOCK_COUNTS = (36_000, 120_000, 360_000)
SITE_COUNT = 150
IPV6_SHARE = 0.2
LOOKUP_COUNT = 20_000
UPDATE_COUNT = 50


def random_blocks(count: int, random: Random) -> dict[str, str]:
    """Draw client blocks of several prefix lengths, some inside others.

    Parameters
    ----------
    count : int
    random : random.Random

    Returns
    -------
    dict of str to str
        Site by prefix.
    """
    blocks: dict[str, str] = {}
    while len(blocks) < count:
        site = f"site-{random.randrange(SITE_COUNT):03d}"
        if random.random() < IPV6_SHARE:
            length = random.randint(32, 56)
            # Upper 64 bits of an address in 2000::/3, the global unicast addresses.
            high_bits = (0x2000 << 48) | random.getrandbits(61)
            value = high_bits >> (64 - length) << (64 - length)
            address = str(ipaddress.IPv6Address(value << 64))
        else:
            length = random.choice((16, 18, 20, 22, 24, 24, 24, 24, 26, 28))
            value = random.getrandbits(32) >> (32 - length) << (32 - length)
            address = str(ipaddress.IPv4Address(value))
        blocks[f"{address}/{length}"] = site
    return blocks


def _elapsed_s(action: Callable[[], object]) -> float:
    started = time.perf_counter()
    action()
    return time.perf_counter() - started


def _measure_size(count: int, random: Random) -> dict[str, float]:
    blocks = random_blocks(count, random)
    built: list[PrefixTable] = []

    def build() -> None:
        table = build_table(1, blocks.items())
        assert isinstance(table, PrefixTable)
        built.append(table)

    build_s = _elapsed_s(build)
    table = built[0]
    data = table.encode()
    encode_s = _elapsed_s(table.encode)
    decode_s = _elapsed_s(lambda: decode_table(data))
    addresses = [prefix.partition("/")[0] for prefix in blocks]
    lookup_addresses = [random.choice(addresses) for _ in range(LOOKUP_COUNT)]
    changed = random.sample(sorted(blocks), UPDATE_COUNT)
    lookup_s = _elapsed_s(
        lambda: [table.site_of(address) for address in lookup_addresses]
    )
    updates = [
        (prefix, f"site-{i % SITE_COUNT:03d}") for i, prefix in enumerate(changed)
    ]
    update_s = _elapsed_s(lambda: [table.with_block(p, s, 2) for p, s in updates])
    return {
        "blocks": count,
        "build_s": round(build_s, 3),
        "encode_s": round(encode_s, 3),
        "decode_s": round(decode_s, 3),
        "encoded_bytes": len(data),
        "array_bytes": table.nbytes(),
        "lookup_us": round(lookup_s / LOOKUP_COUNT * 1e6, 2),
        "update_us": round(update_s / UPDATE_COUNT * 1e6, 1),
    }


def measure_lookup(seed: int) -> dict[str, dict[str, float]]:
    """Measure building, encoding, look-ups and updates at several sizes.

    Parameters
    ----------
    seed : int

    Returns
    -------
    dict
        By number of blocks: times and sizes, with the unit at the end of the key.
    """
    random = Random(seed)
    return {str(count): _measure_size(count, random) for count in BLOCK_COUNTS}


if __name__ == "__main__":
    print(json.dumps(measure_lookup(int(sys.argv[1])), indent=2))
