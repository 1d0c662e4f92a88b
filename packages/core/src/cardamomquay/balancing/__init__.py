"""Choice of an upstream for each request, and lending of upstream slots."""

from __future__ import annotations

from cardamomquay.balancing._borrowed_slots import BorrowedSlots
from cardamomquay.balancing._borrowed_slots import PendingReservation
from cardamomquay.balancing._chooser import Observation
from cardamomquay.balancing._chooser import ObservedResult
from cardamomquay.balancing._chooser import RandomChooser
from cardamomquay.balancing._chooser import Reservation
from cardamomquay.balancing._chooser import RoundRobinChooser
from cardamomquay.balancing._chooser import UpstreamChooser
from cardamomquay.balancing._health import PoolHealth
from cardamomquay.balancing._health import UpstreamReport
from cardamomquay.balancing._lender import RECLAIM_MARGIN_S
from cardamomquay.balancing._lender import SLOT_GRANT_VALID_S
from cardamomquay.balancing._lender import SlotLender
from cardamomquay.balancing._messages import SlotCount
from cardamomquay.balancing._messages import SlotGrant
from cardamomquay.balancing._messages import SlotRequest
from cardamomquay.balancing._messages import SlotTransport
from cardamomquay.balancing._slot_chooser import SlotChooser

__all__ = [
    "RECLAIM_MARGIN_S",
    "SLOT_GRANT_VALID_S",
    "BorrowedSlots",
    "Observation",
    "ObservedResult",
    "PoolHealth",
    "PendingReservation",
    "RandomChooser",
    "Reservation",
    "RoundRobinChooser",
    "SlotChooser",
    "SlotCount",
    "SlotGrant",
    "SlotLender",
    "SlotRequest",
    "SlotTransport",
    "UpstreamChooser",
    "UpstreamReport",
]
