"""Choice of upstreams."""

from __future__ import annotations

from cardamomquay.balancing._chooser import Observation
from cardamomquay.balancing._chooser import ObservedResult
from cardamomquay.balancing._chooser import RandomChooser
from cardamomquay.balancing._chooser import Reservation
from cardamomquay.balancing._chooser import RoundRobinChooser
from cardamomquay.balancing._chooser import UpstreamChooser
from cardamomquay.balancing._health import PassiveHealth
from cardamomquay.balancing._health import UpstreamReport

__all__ = [
    "Observation",
    "ObservedResult",
    "PassiveHealth",
    "RandomChooser",
    "Reservation",
    "RoundRobinChooser",
    "UpstreamChooser",
    "UpstreamReport",
]
