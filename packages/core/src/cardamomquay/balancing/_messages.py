"""Messages between a borrower of slots and the lender, and their transport."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomquay.balancing._health import UpstreamReport


@dataclass(frozen=True, slots=True)
class SlotCount:
    """Slots of one upstream.

    Parameters
    ----------
    upstream : str
    slots : int
    share : float, default=1.0
        In a grant, the share of the upstream's capacity that its ramp allows.
    """

    upstream: str
    slots: int
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """What a borrower keeps and needs.

    The request states the whole position, so a lost or repeated message does no
    harm.

    Parameters
    ----------
    pool, region : str
    borrower, incarnation : str
    sequence : int
        Grows with each request of the incarnation. The borrower uses only the
        reply to its newest request, and the lender ignores older requests.
    holding : tuple of SlotCount
        Slots that the borrower keeps. A slot left out is returned: the borrower
        stopped its use before it sent the request.
    holding_valid : bool
        Whether the grant of `holding` was still valid when the call started.
    demand : int
        Slots that the borrower could use now, those in use included.
    wanted : int
        Slots that it would like to hold, for its next peak; at least `demand`.
    avoid : tuple of str
        Upstreams of which the borrower wants no further slot.
    reports : tuple of UpstreamReport
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


@dataclass(frozen=True, slots=True)
class SlotGrant:
    """The borrower's whole position from now on.

    Parameters
    ----------
    slots : tuple of SlotCount
        All slots of the borrower, old and new.
    valid_s : float
        Validity from the start of the call, in seconds.
    keep : int
        Slots that the borrower may keep; it returns further ones as they fall idle.
    stopped : tuple of str
        Upstreams that get no new work.
    contended : bool
        Whether borrowers need more slots than there are. The borrower then reports
        sooner, so that its idle slots reach the others.
    spare_connections : int
        Idle connections that the borrower may keep open to each upstream, besides
        one for each slot, while the grant is valid.
    """

    slots: tuple[SlotCount, ...]
    valid_s: float
    keep: int
    stopped: tuple[str, ...] = ()
    contended: bool = False
    spare_connections: int = 0


class SlotTransport(ABC):
    """Carries slot requests to the lender of a pool and region."""

    @abstractmethod
    def borrow(self, request: SlotRequest) -> SlotGrant | None:
        """Ask the lender.

        Before it sends the request, the host closes its connections above
        `SlotTable.connections_allowed`, since the lender may then lend the slots,
        and with them the connections, to another host.

        Parameters
        ----------
        request : SlotRequest

        Returns
        -------
        SlotGrant or None
            None if no lender answered, or the lender ignored the request.
        """
