"""What hosts know about each other."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class MemberState(StrEnum):
    """Whether a host takes part."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class StoreReport(StrEnum):
    """What a host's newest read of the table service showed."""

    NONE = "none"
    READ = "read"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A host's statement about itself.

    Parameters
    ----------
    host, incarnation : str
    sequence : int
        Grows with each new statement of an incarnation.
    region, availability_zone : str
    address, peer_address : str
        ``ip:port`` for callers and for daemons.
    leaving : bool
    config_version : int
    store_report : StoreReport
    store_report_at_s : float
        Start of the read that gave the report, on the reader's own clock of the
        record: a receiver converts it from an age.
    load : float
        Share of the host's request threads that are busy, 0 to 1.
    """

    host: str
    incarnation: str
    sequence: int
    region: str
    availability_zone: str
    address: str
    peer_address: str
    leaving: bool = False
    config_version: int = 0
    store_report: StoreReport = StoreReport.NONE
    store_report_at_s: float = 0.0
    load: float = 0.0
