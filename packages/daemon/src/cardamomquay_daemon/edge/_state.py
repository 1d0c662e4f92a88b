"""What a host believes of the configuration and of the upstreams."""

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
    """State that the feeds write and the request path reads.

    Parameters
    ----------
    config : TrafficConfig or None
        None until the first one was read.
    config_seen_s : float
        Latest time at which no newer configuration had been accepted, on the clock
        that counts suspension.
    orders_seen_s : float
        Latest time at which no order of the operator was missing here.
    orders_revision : int
        Revision up to which all of the operator's orders are known; 0 before.
    orders_changed : int
        Revision that includes the latest of them.
    upstreams : UpstreamTable
    upstreams_revision : int
        Revision up to which all changes of upstreams are known; 0 before.
    upstreams_seen_s : float
        Latest time at which no change of upstreams was missing here; minus infinity
        before the first read.
    evacuated_zones : set of str
    rollouts : dict of str to Rollout
        By service.
    is_stopping : bool
    knows_hosts : bool
        Whether the table of hosts was read. Without the others' reports, a host would
        spend limits that all share as if it were alone.
    """

    config: TrafficConfig | None = None
    config_seen_s: float = -math.inf
    orders_seen_s: float = -math.inf
    orders_revision: int = 0
    orders_changed: int = 0
    upstreams: UpstreamTable = field(default_factory=UpstreamTable)
    upstreams_revision: int = 0
    upstreams_seen_s: float = -math.inf
    evacuated_zones: set[str] = field(default_factory=set)
    rollouts: dict[str, Rollout] = field(default_factory=dict)
    is_stopping: bool = False
    knows_hosts: bool = False

    @property
    def is_loaded(self) -> bool:
        """Whether requests can be judged at all."""
        has_read = self.config is not None and self.upstreams_seen_s > -math.inf
        return has_read and self.knows_hosts
