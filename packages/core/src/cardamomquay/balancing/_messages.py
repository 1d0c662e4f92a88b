"""Messages between a borrower of slots and a lender, and their transport."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomquay.balancing._health import UpstreamReport


@dataclass(frozen=True, slots=True)
class SlotCount:
    """Number of slots of one upstream.

    Parameters
    ----------
    upstream : str
    slots : int
    share : float, default=1.0
        In a grant: the share of the upstream's slots that may be used, less than 1
        while the upstream ramps up.
    """

    upstream: str
    slots: int
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """States which slots a borrower keeps and how many it needs.

    Each request contains the complete state rather than changes, so a lost or
    repeated message does no harm.

    Parameters
    ----------
    pool, region : str
    borrower, incarnation : str
        Name of the borrowing host, and identifier of its daemon's run.
    sequence : int
        Increases with each request of the incarnation. The borrower uses only the
        reply to its newest request, and the lender ignores older requests.
    holding : tuple of SlotCount
        Slots that the borrower keeps. A slot that is missing here is returned: the
        borrower stopped using it before it sent the request.
    holding_valid : bool
        Whether the grant that `holding` comes from was valid when the call started.
    demand : int
        Number of slots that the borrower could use now, including those in use.
    wanted : int
        Number of slots that it would like to hold for its next peak; at least
        `demand`.
    avoid : tuple of str
        Upstreams of which the borrower wants no more slots.
    reports : tuple of UpstreamReport
        Results of requests since the previous call.
    zone : str
        Availability zone whose lender is asked; empty if the region has one lender.
    """

    pool: str
    region: str
    borrower: str
    incarnation: str
    sequence: int
    holding: tuple[SlotCount, ...] = ()
    holding_valid: bool = False
    demand: int = 0
    wanted: int = 0
    avoid: tuple[str, ...] = ()
    reports: tuple[UpstreamReport, ...] = ()
    zone: str = ""


@dataclass(frozen=True, slots=True)
class SlotGrant:
    """All slots that a borrower may use from now on.

    Parameters
    ----------
    slots : tuple of SlotCount
        The complete list: slots that the borrower keeps and new ones.
    valid_s : float
        Validity in seconds, counted from the start of the call.
    keep : int
        Number of slots that the borrower may keep. It returns the others as soon as
        they are idle.
    stopped : tuple of str
        Upstreams to which the borrower must send no new requests.
    contended : bool
        Whether borrowers want more slots than there are. The borrower then reports
        more often, so that its idle slots reach the others.
    spare_connections : int
        Number of idle connections that the borrower may keep open to each upstream
        while the grant is valid, in addition to one connection for each slot.
    """

    slots: tuple[SlotCount, ...]
    valid_s: float
    keep: int
    stopped: tuple[str, ...] = ()
    contended: bool = False
    spare_connections: int = 0


class SlotTransport(ABC):
    """Sends slot requests to the lender of a pool, region and zone."""

    @abstractmethod
    def borrow(self, request: SlotRequest) -> SlotGrant | None:
        """Send a request and return the lender's reply.

        Before the request is sent, the host must close its connections above
        `BorrowedSlots.connections_allowed`: on receiving it, the lender may lend the
        returned slots, and with them the connections, to another host.

        Parameters
        ----------
        request : SlotRequest

        Returns
        -------
        SlotGrant or None
            None if no lender answered or the lender ignored the request.
        """
