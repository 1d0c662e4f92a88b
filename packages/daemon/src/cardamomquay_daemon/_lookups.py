"""Answers look-ups, in which callers ask which hosts to use."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from cardamomquay.host_lookup import LookupRequest
from cardamomquay.host_lookup import RankedHost
from cardamomquay.host_lookup import RankingInputs
from cardamomquay.host_lookup import rank_hosts
from cardamomquay.membership import MembershipState

if TYPE_CHECKING:
    from cardamomquay.clock import Clock
    from cardamomquay.config import Config
    from cardamomquay_daemon._runtime import Runtime
    from cardamomquay_daemon._runtime import Snapshot

# Short in comparison with the 2 s for which callers cache an answer.
CACHE_S = 0.2
CACHED_ANSWERS_MAX = 1024
# Maximum number of hosts in an answer that ignores the age of the hosts' reports;
# `rank_hosts` has the same maximum.
KNOWN_HOSTS_MAX = 24


class Lookups:
    """Encodes answers and caches them for a short time; thread-safe.

    Parameters
    ----------
    runtime : Runtime
    clock : Clock
    """

    def __init__(self, runtime: Runtime, clock: Clock) -> None:
        self._runtime = runtime
        self._clock = clock
        self._answers: dict[LookupRequest, tuple[float, bytes]] = {}

    def answer(self, request: LookupRequest) -> bytes:
        """Return the JSON document for a look-up.

        Parameters
        ----------
        request : LookupRequest

        Returns
        -------
        bytes
            At most `CACHE_S` old.
        """
        now_s = self._clock.now_s()
        cached = self._answers.get(request)
        if cached is not None and now_s - cached[0] < CACHE_S:
            return cached[1]
        answer = self._build_answer(request, now_s)
        if len(self._answers) >= CACHED_ANSWERS_MAX:
            self._answers.clear()
        self._answers[request] = (now_s, answer)
        return answer

    def _build_answer(self, request: LookupRequest, now_s: float) -> bytes:
        snapshot = self._runtime.snapshot
        config = snapshot.config
        regions = () if config is None else regions_for_caller(config, request)
        inputs = RankingInputs(region_order={request.region: regions})
        members = snapshot.core.state_of(MembershipState)
        ranked = rank_hosts(members, request, now_s, inputs)
        hosts = _without_draining(ranked.hosts, snapshot)
        complete = ranked.complete and config is not None
        if regions:
            reachable = _in_regions(hosts, regions)
            if not reachable:
                # After a pause, or while it is partitioned, this host has no recent
                # report of any peer. A host that may be gone is then a better answer
                # than one that cannot reach the caller's pools.
                reachable = _without_draining(_known_hosts(members, regions), snapshot)
                complete = False
            # If there is no such host either, hosts in other regions are returned.
            hosts = reachable or hosts
        # Draining hosts are returned only if no other host is left.
        hosts = hosts or ranked.hosts
        document = {
            "hosts": [
                {
                    "host": host.host,
                    "address": host.address,
                    "region": host.region,
                    "weight": host.weight,
                }
                for host in hosts
            ],
            "ttl_s": ranked.ttl_s,
            "complete": complete,
            "config_version": 0 if config is None else config.version,
        }
        return json.dumps(document).encode()


def regions_for_caller(config: Config, request: LookupRequest) -> tuple[str, ...]:
    """Return the regions whose hosts can serve a caller, in order of preference.

    Parameters
    ----------
    config : Config
    request : LookupRequest

    Returns
    -------
    tuple of str
        The caller's region and the regions linked with it. If the caller's region is
        unknown, the regions of its organisation's owner; empty if the organisation is
        unknown too.
    """
    if request.region in config.regions:
        return config.reachable_regions(request.region)
    organisation = config.organisations.get(request.organisation)
    if organisation is None:
        return ()
    return tuple(
        region.name
        for region in config.regions.values()
        if region.owner == organisation.owner
    )


def _without_draining(
    hosts: tuple[RankedHost, ...], snapshot: Snapshot
) -> tuple[RankedHost, ...]:
    config = snapshot.config
    if config is None:
        return hosts
    return tuple(h for h in hosts if not config.is_draining(h.host, h.region))


def _in_regions(
    hosts: tuple[RankedHost, ...], regions: tuple[str, ...]
) -> tuple[RankedHost, ...]:
    return tuple(host for host in hosts if host.region in regions)


def _known_hosts(
    members: MembershipState, regions: tuple[str, ...]
) -> tuple[RankedHost, ...]:
    """Return the hosts of some regions, regardless of the age of their reports."""
    records = (member.record for member in members.members.values())
    return tuple(
        RankedHost(record.host, record.address, record.region, 1)
        for record in records
        if record.region in regions and not record.leaving
    )[:KNOWN_HOSTS_MAX]
