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
    upstreams : UpstreamTable
    upstreams_seen_s : float
        Time of the latest read of the upstreams; minus infinity before the first.
    evacuated_zones : set of str
    rollouts : dict of str to Rollout
        By service.
    is_stopping : bool
    """

    config: TrafficConfig | None = None
    config_seen_s: float = -math.inf
    upstreams: UpstreamTable = field(default_factory=UpstreamTable)
    upstreams_seen_s: float = -math.inf
    evacuated_zones: set[str] = field(default_factory=set)
    rollouts: dict[str, Rollout] = field(default_factory=dict)
    is_stopping: bool = False

    @property
    def is_loaded(self) -> bool:
        """Whether requests can be judged at all."""
        return self.config is not None and self.upstreams_seen_s > -math.inf
