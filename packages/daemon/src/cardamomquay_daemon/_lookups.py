"""Answers callers that ask which host to use."""

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

# Callers keep answers for 2 s, so this adds little.
CACHE_S = 0.2
CACHE_MAX = 1024
# As many as a ranked answer has.
UNHEARD_MAX = 24


class Lookups:
    """Encoded answers, kept for a short time; safe for threads.

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
        """Return the JSON document that answers a caller.

        Parameters
        ----------
        request : LookupRequest

        Returns
        -------
        bytes
            At most `CACHE_S` old.
        """
        now_s = self._clock.now_s()
        known = self._answers.get(request)
        if known is not None and now_s - known[0] < CACHE_S:
            return known[1]
        answer = self._rank(request, now_s)
        if len(self._answers) >= CACHE_MAX:
            self._answers.clear()
        self._answers[request] = (now_s, answer)
        return answer

    def _rank(self, request: LookupRequest, now_s: float) -> bytes:
        snapshot = self._runtime.snapshot
        config = snapshot.config
        reach = () if config is None else reach_of(config, request)
        inputs = RankingInputs(region_order={request.region: reach})
        members = snapshot.core.state_of(MembershipState)
        answer = rank_hosts(members, request, now_s, inputs)
        hosts = _not_drained(answer.hosts, snapshot)
        complete = answer.complete and config is not None
        if reach:
            near = _near(hosts, reach)
            if not near:
                # A host that resumes after a pause, or is cut off, has heard no peer.
                # Its callers are better served by hosts that may be gone than by one
                # that cannot reach their pools.
                near = _not_drained(_not_heard(members, reach), snapshot)
                complete = False
            hosts = near or hosts
        # Without a better host, one that is drained or far still serves its callers.
        hosts = hosts or answer.hosts
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
            "ttl_s": answer.ttl_s,
            "complete": complete,
            "config_version": 0 if config is None else config.version,
        }
        return json.dumps(document).encode()


def reach_of(config: Config, request: LookupRequest) -> tuple[str, ...]:
    """Return the regions whose hosts can serve a caller, the better ones first.

    Parameters
    ----------
    config : Config
    request : LookupRequest

    Returns
    -------
    tuple of str
        The caller's region and those linked with it; of a caller in an unknown
        region, the regions of its organisation's owner; empty if nothing is known.
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


def _not_drained(
    hosts: tuple[RankedHost, ...], snapshot: Snapshot
) -> tuple[RankedHost, ...]:
    config = snapshot.config
    if config is None:
        return hosts
    return tuple(h for h in hosts if not config.is_draining(h.host, h.region))


def _near(
    hosts: tuple[RankedHost, ...], reach: tuple[str, ...]
) -> tuple[RankedHost, ...]:
    return tuple(host for host in hosts if host.region in reach)


def _not_heard(
    members: MembershipState, reach: tuple[str, ...]
) -> tuple[RankedHost, ...]:
    """Return the hosts of some regions whether or not they were heard of late."""
    records = (member.record for member in members.members.values())
    return tuple(
        RankedHost(record.host, record.address, record.region, 1)
        for record in records
        if record.region in reach and not record.leaving
    )[:UNHEARD_MAX]
