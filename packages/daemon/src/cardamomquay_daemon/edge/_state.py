"""Configuration, operator's orders and upstreams as known to a host."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cardamomquay.traffic import UpstreamTable

if TYPE_CHECKING:
    from cardamomquay.rollouts import Rollout
    from cardamomquay.traffic import TrafficConfig


@dataclass
class HostState:
    """State that is written by the store feeds and read while requests are handled.

    Revisions include the era of the store; see `cardamomquay.platform.make_revision`.

    Parameters
    ----------
    config : TrafficConfig or None
        None until the first one has been read.
    config_confirmed_s : float
        Latest time at which `config` was known to be the newest, on a clock that also
        runs while the machine is suspended.
    orders_confirmed_s : float
        Latest time at which all of the operator's orders were known.
    orders_revision : int
        Revision of the store up to which all of the operator's orders are known; 0
        before the first read.
    latest_order_revision : int
        Revision of the latest known order.
    upstreams : UpstreamTable
    upstreams_revision : int
        Revision of the store up to which all changes of upstreams are known; 0 before
        the first read.
    upstreams_confirmed_s : float
        Latest time at which all changes of upstreams were known; minus infinity before
        the first read.
    evacuated_zones : set of str
    rollouts : dict of str to Rollout
        By service.
    is_stopping : bool
    answers_due_s : float
        Time, on the clock of the event loop, at which all requests have to be answered,
        since the process ends; infinity unless it is stopping.
    has_read_hosts : bool
        Whether the table of hosts has been read. A host that does not know the others
        would use the limits shared by all hosts as if it were the only one.
    """

    config: TrafficConfig | None = None
    config_confirmed_s: float = -math.inf
    orders_confirmed_s: float = -math.inf
    orders_revision: int = 0
    latest_order_revision: int = 0
    upstreams: UpstreamTable = field(default_factory=UpstreamTable)
    upstreams_revision: int = 0
    upstreams_confirmed_s: float = -math.inf
    evacuated_zones: set[str] = field(default_factory=set)
    rollouts: dict[str, Rollout] = field(default_factory=dict)
    is_stopping: bool = False
    answers_due_s: float = math.inf
    has_read_hosts: bool = False

    @property
    def is_loaded(self) -> bool:
        """Whether enough has been read to handle requests."""
        has_read_feeds = (
            self.config is not None and self.upstreams_confirmed_s > -math.inf
        )
        return has_read_feeds and self.has_read_hosts
