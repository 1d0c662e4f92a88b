"""Measures costs of the core by the number of hosts, upstreams and client blocks."""

from __future__ import annotations

import gc
import json
import random
import time
import tracemalloc
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import numpy as np

from cardamomquay.config import Config
from cardamomquay.config import Pool
from cardamomquay.config import Route
from cardamomquay.config import Upstream
from cardamomquay.config_sync import ConfigLoaded
from cardamomquay.config_sync import ConfigReducer
from cardamomquay.config_sync import UnsettledEditsReducer
from cardamomquay.config_sync import exchange_reply
from cardamomquay.config_sync import exchange_request
from cardamomquay.host_lookup import LookupRequest
from cardamomquay.host_lookup import rank_hosts
from cardamomquay.membership import ExchangeAnswered
from cardamomquay.membership import HostsListed
from cardamomquay.membership import MemberRecord
from cardamomquay.membership import MembershipReducer
from cardamomquay.membership import MembershipState
from cardamomquay.membership import PeerTarget
from cardamomquay.membership import SentRecord
from cardamomquay.membership import StoreReport
from cardamomquay.platform import ListedHost
from cardamomquay.reducer import Identity
from cardamomquay.reducer import RootReducer
from cardamomquay.reducer import Tick
from cardamomquay_daemon import _peer_codec
from cardamomquay_daemon._runtime import build_snapshot

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomquay.reducer import CoreState

REGIONS = 7
ZONES = 27
ROUND_S = 0.2
ROUNDS = 3
SEED = 20_261_204


@dataclass(frozen=True, slots=True)
class HostCosts:
    """Costs at one number of hosts; times in microseconds, sizes in bytes.

    `answer_of_*` are times to reduce the answer to an exchange, by the number of
    records in it. `statement_us` and `statement_bytes` are of the reply to an exchange
    that holds the records of all hosts. `memory_a_host` is memory of the core per host.
    """

    hosts: int
    tick_us: float
    answer_of_two_records_us: float
    answer_of_all_records_us: float
    snapshot_us: float
    statement_us: float
    request_bytes: int
    statement_bytes: int
    record_bytes: float
    memory_a_host: float
    lookup_us: float
    lookup_answer_bytes: int


def call_time_us(call: Callable[[], object]) -> float:
    """Return the mean time of a call in the fastest of `ROUNDS` rounds."""
    shortest_s = float("inf")
    for _ in range(ROUNDS):
        count = 0
        started = time.perf_counter()
        while (elapsed_s := time.perf_counter() - started) < ROUND_S:
            call()
            count += 1
        shortest_s = min(shortest_s, elapsed_s / count)
    return round(shortest_s * 1e6, 2)


def member_record(number: int) -> MemberRecord:
    """Return a member record as large as that of a daemon."""
    region = f"region-{number % REGIONS}"
    # An incarnation is a start time in Unix milliseconds and six random digits, in hex.
    return MemberRecord(
        host=f"host-{number:03d}",
        incarnation=f"{1_796_357_195_700 + number:012x}0123ab",
        sequence=1_000_000_000 + number,
        region=region,
        availability_zone=f"{region}-{number % ZONES:02d}",
        address=f"10.1.{number // 250}.{number % 250 + 1}:7001",
        peer_address=f"10.1.{number // 250}.{number % 250 + 1}:7003",
        config_version=350,
        store_report=StoreReport.READ,
        load=0.25,
    )


def core_with_hosts(hosts: int) -> tuple[RootReducer, CoreState]:
    """Return a reducer, and the state of a host that has all others' records."""
    reducer = RootReducer(
        (MembershipReducer(), ConfigReducer(), UnsettledEditsReducer())
    )
    own = member_record(0)
    identity = Identity(
        own.host,
        own.incarnation,
        own.region,
        own.availability_zone,
        own.region,
        own.address,
        own.peer_address,
    )
    core = reducer.initial(identity)
    core, _ = reducer.reduce(core, ConfigLoaded(1.0, Config(350), 1.0))
    listed = tuple(
        ListedHost(r.host, r.address, r.peer_address, r.region, r.availability_zone)
        for r in map(member_record, range(hosts))
    )
    core, _ = reducer.reduce(core, HostsListed(1.0, listed))
    core, _ = reducer.reduce(core, _exchange_answer(1.0, tuple(range(1, hosts))))
    return reducer, core


def _exchange_answer(now_s: float, numbers: tuple[int, ...]) -> ExchangeAnswered:
    records = tuple(SentRecord(member_record(n), 0.0, 0.1) for n in numbers)
    sender = member_record(numbers[0])
    target = PeerTarget(sender.host, sender.peer_address)
    return ExchangeAnswered(now_s, now_s, target, sender.host, records, 350, 0.1)


def host_costs(hosts: int) -> HostCosts:
    """Measure the reducer, the peer messages and look-ups with a number of hosts.

    Parameters
    ----------
    hosts : int

    Returns
    -------
    HostCosts
    """
    gc.collect()
    tracemalloc.start()
    reducer, core = core_with_hosts(hosts)
    gc.collect()
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    two_records = _exchange_answer(1.2, (1, 2))
    all_records = _exchange_answer(1.2, tuple(range(1, hosts)))
    request_wire = _peer_codec.request_to_wire(exchange_request(core, 1.2))
    # The largest reply: the host that asks for it knows all hosts, and each of its
    # records is older than the record that this host has.
    older_records = tuple(
        replace(known, sequence=0)
        for known in exchange_request(core, 1.2).known_records
    )
    reply_wire = _peer_codec.reply_to_wire(exchange_reply(core, 1.2, older_records))
    members = core.state_of(MembershipState)
    lookup_request = LookupRequest("region-1", "region-1-01")

    def answer_lookup() -> str:
        answer = rank_hosts(members, lookup_request, 1.2)
        return json.dumps(
            [[h.host, h.address, h.region, h.weight] for h in answer.hosts]
        )

    return HostCosts(
        hosts=hosts,
        tick_us=call_time_us(lambda: reducer.reduce(core, Tick(1.1))),
        answer_of_two_records_us=call_time_us(
            lambda: reducer.reduce(core, two_records)
        ),
        answer_of_all_records_us=call_time_us(
            lambda: reducer.reduce(core, all_records)
        ),
        snapshot_us=call_time_us(lambda: build_snapshot(core, 1.2)),
        statement_us=call_time_us(
            lambda: _peer_codec.reply_to_wire(
                exchange_reply(core, 1.2, older_records)
            ).SerializeToString()
        ),
        request_bytes=request_wire.ByteSize(),
        statement_bytes=reply_wire.ByteSize(),
        record_bytes=round(
            sum(r.ByteSize() for r in reply_wire.records) / len(reply_wire.records), 1
        ),
        memory_a_host=round(memory_bytes / hosts, 1),
        lookup_us=call_time_us(answer_lookup),
        lookup_answer_bytes=len(answer_lookup()),
    )


@dataclass(frozen=True, slots=True)
class ConfigCosts:
    """Size of a configuration on the wire, and times to encode and parse it."""

    upstreams: int
    wire_bytes: int
    encode_ms: float
    parse_ms: float


def config_costs(sites: int) -> ConfigCosts:
    """Measure a configuration with a route and a pool of 12 upstreams per site.

    Parameters
    ----------
    sites : int

    Returns
    -------
    ConfigCosts
    """
    pools = {
        f"pool-{s}": Pool(
            f"pool-{s}",
            "owner",
            tuple(
                Upstream(
                    f"pool-{s}-{u}",
                    f"10.2.{s % 250}.{u + 1}:8000",
                    f"region-{s % REGIONS}",
                    f"region-{s % REGIONS}-{s % ZONES:02d}",
                    3,
                    390,
                )
                for u in range(12)
            ),
        )
        for s in range(sites)
    }
    routes = {
        f"route-{s}": Route(f"route-{s}", "owner", f"/site-{s}", f"pool-{s}")
        for s in range(sites)
    }
    config = Config(350, "edit", routes=routes, pools=pools)
    message = _peer_codec.config_to_wire(config, 0.1)
    parsed = _peer_codec.config_from_wire(message)
    if parsed != config:
        raise RuntimeError("encoding and parsing changed the configuration")
    encode_us = call_time_us(lambda: _peer_codec.config_to_wire(config, 0.1))
    parse_us = call_time_us(lambda: _peer_codec.config_from_wire(message))
    return ConfigCosts(
        12 * sites,
        message.ByteSize(),
        round(encode_us / 1000, 2),
        round(parse_us / 1000, 2),
    )


@dataclass(frozen=True, slots=True)
class BlockCosts:
    """Size of a table of client blocks in sorted arrays, and time of a search."""

    blocks: int
    table_bytes: int
    search_us: float


def block_costs(blocks: int) -> BlockCosts:
    """Measure a binary search over the first addresses of client blocks.

    The arrays only approximate the product's `PrefixTable`, which `measure_lookup`
    measures.

    Parameters
    ----------
    blocks : int

    Returns
    -------
    BlockCosts
    """
    generator = random.Random(SEED)
    starts = np.array(sorted(generator.sample(range(2**32), blocks)), dtype=np.uint32)
    prefix_lengths = np.full(blocks, 24, dtype=np.uint8)
    sites = np.arange(blocks, dtype=np.uint16) % 150
    addresses = [np.uint32(generator.randrange(2**32)) for _ in range(1000)]
    indexes = iter(range(10**9))

    def search() -> int:
        address = addresses[next(indexes) % len(addresses)]
        return int(sites[max(0, int(starts.searchsorted(address, "right")) - 1)])

    size = starts.nbytes + prefix_lengths.nbytes + sites.nbytes
    return BlockCosts(blocks, size, call_time_us(search))
