"""Interface of the decision whether a request is sent or refused at once."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomquay.placement._overload import RequestTiming
    from cardamomquay.placement._placement import Candidate


@dataclass(frozen=True, slots=True)
class AdmissionClaim:
    """What a request states about its urgency.

    Parameters
    ----------
    priority : tuple of (int, int)
        Priority of the organisation, then that of the route; 0 is the highest.
    route : str
    organisation : str
        Empty on a public route.
    is_return : bool
        Whether the caller comes back after it has waited.
    is_admitted : bool
        Whether the request was admitted before and waits for its object.
    """

    priority: tuple[int, int]
    route: str
    organisation: str = ""
    is_return: bool = False
    is_admitted: bool = False


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request for which an upstream was chosen.

    Parameters
    ----------
    candidate : Candidate
        The chosen upstream, with the expected work and latency.
    timing : RequestTiming
    claim : AdmissionClaim
    objective_s : float
        Latency objective of the route.
    allowed_regions : frozenset of str
        Regions that may serve the request; empty for all.
    """

    candidate: Candidate
    timing: RequestTiming
    claim: AdmissionClaim
    objective_s: float
    allowed_regions: frozenset[str] = frozenset()

    @property
    def service(self) -> str:
        """Name of the service that the request is for."""
        return self.candidate.upstream.service


class AdmissionRule(StrEnum):
    """Why a request is sent or refused.

    Attributes
    ----------
    SENT
        There is room for it.
    IDLE
        Sent since a slot is free, though others go first.
    FLOOR
        Sent since its route or organisation would starve.
    HOPELESS
        Refused since it is not expected to end within its timeout.
    VALUE
        Refused since others go first.
    QUEUE
        Refused by the rule that knows no priorities.
    """

    SENT = "sent"
    IDLE = "idle"
    FLOOR = "floor"
    HOPELESS = "hopeless"
    VALUE = "value"
    QUEUE = "queue"


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a request is sent, and why.

    Parameters
    ----------
    rule : AdmissionRule
    retry_delay_s : float or None
        Delay after which a refused caller should return; None if the request is sent.
    inputs : dict of str to object
        What the decision was based on, for the log line of a refusal.
    """

    rule: AdmissionRule
    retry_delay_s: float | None = None
    inputs: dict[str, object] = field(default_factory=dict)


class FleetScarcity(ABC):
    """What the other hosts know about the scarcity of services."""

    @abstractmethod
    def admitted_share(
        self, service: str, regions: frozenset[str], now_s: float
    ) -> float | None:
        """Return the share of the offered work for which there is capacity.

        Parameters
        ----------
        service : str
        regions : frozenset of str
            Regions in which the work may run; empty for all.
        now_s : float

        Returns
        -------
        float or None
            From 0 to 1; None if there is no report from the last 2 s.
        """


class UnknownScarcity(FleetScarcity):
    """Knows nothing, so that the host decides alone."""

    def admitted_share(
        self, service: str, regions: frozenset[str], now_s: float
    ) -> float | None:
        """Return None."""
        return None


class AdmissionControl(ABC):
    """Decides which requests are sent, and which are refused at once."""

    @abstractmethod
    def decide(self, request: AdmissionRequest, now_s: float) -> AdmissionDecision:
        """Decide about a request, and record its choice of an upstream.

        Parameters
        ----------
        request : AdmissionRequest
        now_s : float

        Returns
        -------
        AdmissionDecision
        """
