"""Settings of an edge host."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomquay.usage import UsageBounds


@dataclass(frozen=True, slots=True)
class Listeners:
    """Listening addresses as ``(ip, port)``; None if the host does not serve them.

    Parameters
    ----------
    callers : tuple of str and int, or None
        Requests to relay.
    readiness : tuple of str and int, or None
        Readiness checks.
    directory : tuple of str and int, or None
        Look-ups of hosts.
    peers : tuple of str and int
        Reports of other hosts.
    metrics : tuple of str and int, or None
    """

    callers: tuple[str, int] | None
    readiness: tuple[str, int] | None
    directory: tuple[str, int] | None
    peers: tuple[str, int]
    metrics: tuple[str, int] | None


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the system has to keep in a deployment; times are in seconds.

    Parameters
    ----------
    drain_s : float
        Time from the start of an upstream's drain until it gets no new requests.
    config_s : float
        Time from the acceptance of a configuration until it is in force.
    revoke_s : float
        Time from the withdrawal of a key until no request runs with it.
    fail_closed : bool
        Whether a host that may have missed the withdrawal of a key refuses all keys.
    grace_s : float
        Time from the signal to stop until the process is killed.
    retry_ratio : float
        Retries allowed per request to a service.
    retry_minimum : float
        Further retries allowed in each window, for all hosts together.
    retry_window_s : float
        Length of the sliding window in which requests and retries are counted.
    quota_window_s : float
        Length of any window in which requests are compared with a quota.
    quota_overage, quota_slack : float
        Tolerated excess over a quota in a window, as a share and as a number of
        requests.
    canary_share, canary_slack : float
        From the order of a roll-out to its deadline, a bad version may get this share
        of the requests, and this number of further requests.
    warm_up_overage, warm_up_slack : float
        In any second, a cold upstream may get the warm-up request rate of its service
        times the factor `warm_up_overage`, plus `warm_up_slack` requests.
    directory_ttl_s : float
        Longest time for which callers may cache a look-up answer.
    max_shift : float
        Largest share of the requests from one region that may change the region in
        which they run from one window of 2 s to the next; 0 for no bound.
    """

    drain_s: float = 2.5
    config_s: float = 2.5
    revoke_s: float = 5.0
    fail_closed: bool = True
    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_minimum: float = 50.0
    retry_window_s: float = 10.0
    quota_window_s: float = 5.0
    quota_overage: float = 0.1
    quota_slack: float = 20.0
    canary_share: float = 0.1
    canary_slack: float = 0.0
    warm_up_overage: float = 1.5
    warm_up_slack: float = 5.0
    directory_ttl_s: float = 5.0
    max_shift: float = 0.0


@dataclass(frozen=True, slots=True)
class UsageSettings:
    """Settings of the usage reports.

    Parameters
    ----------
    address : tuple of str and int
        Of the platform.
    path : bytes
        Target of the call that reports a window.
    holder_header, token_header : bytes
        Names of the headers with the name of the holder and with its token.
    bounds : UsageBounds
    """

    address: tuple[str, int]
    path: bytes
    holder_header: bytes
    token_header: bytes
    bounds: UsageBounds


@dataclass(frozen=True, slots=True)
class EdgeSettings:
    """Settings of one host.

    Parameters
    ----------
    name : str
        The host's own name.
    ip : str
        Address to which other hosts send their reports.
    zone, region : str
    region_of : dict of str to str
        Region by availability zone.
    listeners : Listeners
    store_address : tuple of str and int
    heartbeat_s : float
        Interval at which upstreams renew their entries.
    bounds : Bounds
    memory_bytes : int
        Memory that the process may use.
    descriptors_max : int
        File descriptors that the process may open.
    usage : UsageSettings or None
        None if the host does not report usage.
    """

    name: str
    ip: str
    zone: str
    region: str
    region_of: dict[str, str]
    listeners: Listeners
    store_address: tuple[str, int]
    heartbeat_s: float
    bounds: Bounds
    memory_bytes: int = 300_000_000
    descriptors_max: int = 4096
    usage: UsageSettings | None = None
