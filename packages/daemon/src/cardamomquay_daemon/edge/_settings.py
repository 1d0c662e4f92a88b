"""Settings of an edge host, as the code uses them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Listeners:
    """Addresses as ``(ip, port)``; None where the host does not serve it."""

    callers: tuple[str, int] | None
    readiness: tuple[str, int] | None
    directory: tuple[str, int] | None
    peers: tuple[str, int]
    metrics: tuple[str, int] | None


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times in seconds and shares that a deployment promises.

    Parameters
    ----------
    drain_s : float
        From an upstream's leaving until it gets no new work.
    config_s : float
        From the acceptance of a configuration until it is in force.
    revoke_s : float
        From the withdrawal of a key until no request runs with it.
    fail_closed : bool
        Whether a host that may have missed a withdrawal refuses keys.
    grace_s : float
        From the signal to stop until the process is killed.
    retry_ratio : float
        Second attempts for each request to a service.
    retry_minimum : float
        Second attempts allowed beside, in each window.
    retry_window_s : float
    quota_window_s : float
    quota_overage, quota_slack : float
        Share and number of requests by which a quota may be exceeded in a window.
    canary_share : float
        Share of the requests that an unproved version may get.
    warm_up_overage, warm_up_slack : float
        Factor and number by which a cold upstream's rate may be exceeded.
    directory_ttl_s : float
        Longest time that callers keep an answer of the directory.
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
    warm_up_overage: float = 1.5
    warm_up_slack: float = 5.0
    directory_ttl_s: float = 5.0


@dataclass(frozen=True, slots=True)
class EdgeSettings:
    """Settings of one host.

    Parameters
    ----------
    name : str
        The host's own name.
    ip, zone, region : str
    region_of : dict of str to str
        Region by availability zone.
    listeners : Listeners
    store_address : tuple of str and int
    heartbeat_s : float
        How often upstreams register again.
    bounds : Bounds
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
