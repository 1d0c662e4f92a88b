"""Measures the table of client blocks."""

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

SIZES = (36_000, 120_000, 360_000)
SITES = 150
IPV6_SHARE = 0.2
LOOKUPS = 20_000
UPDATES = 50


def random_blocks(count: int, random: Random) -> dict[str, str]:
    """Draw client blocks of mixed lengths, some inside others.

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
        site = f"site-{random.randrange(SITES):03d}"
        if random.random() < IPV6_SHARE:
            length = random.randint(32, 56)
            top = (0x2000 << 48) | random.getrandbits(61)
            value = top >> (64 - length) << (64 - length)
            address = str(ipaddress.IPv6Address(value << 64))
        else:
            length = random.choice((16, 18, 20, 22, 24, 24, 24, 24, 26, 28))
            value = random.getrandbits(32) >> (32 - length) << (32 - length)
            address = str(ipaddress.IPv4Address(value))
        blocks[f"{address}/{length}"] = site
    return blocks


def _seconds(action: Callable[[], object]) -> float:
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

    build_s = _seconds(build)
    table = built[0]
    data = table.encode()
    encode_s = _seconds(table.encode)
    decode_s = _seconds(lambda: decode_table(data))
    addresses = [prefix.partition("/")[0] for prefix in blocks]
    asked = [random.choice(addresses) for _ in range(LOOKUPS)]
    changed = random.sample(sorted(blocks), UPDATES)
    lookup_s = _seconds(lambda: [table.site_of(address) for address in asked])
    updates = [(prefix, f"site-{i % SITES:03d}") for i, prefix in enumerate(changed)]
    update_s = _seconds(lambda: [table.with_block(p, s, 2) for p, s in updates])
    return {
        "blocks": count,
        "build_s": round(build_s, 3),
        "encode_s": round(encode_s, 3),
        "decode_s": round(decode_s, 3),
        "encoded_bytes": len(data),
        "array_bytes": table.nbytes(),
        "lookup_us": round(lookup_s / LOOKUPS * 1e6, 2),
        "update_us": round(update_s / UPDATES * 1e6, 1),
    }


def measure_lookup(seed: int) -> dict[str, dict[str, float]]:
    """Measure build, encoding, look-ups and updates at several sizes.

    Parameters
    ----------
    seed : int

    Returns
    -------
    dict
        By number of blocks: seconds, bytes and microseconds.
    """
    random = Random(seed)
    return {str(count): _measure_size(count, random) for count in SIZES}


if __name__ == "__main__":
    print(json.dumps(measure_lookup(int(sys.argv[1])), indent=2))
