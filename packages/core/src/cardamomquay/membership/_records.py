"""What hosts know about each other."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import StrEnum

import immutables


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
    extra : immutables.Map
        State of other parts as JSON, by name.
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
    extra: immutables.Map[str, str] = field(default_factory=immutables.Map)


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """A record as a peer stated it, with ages at the time of sending.

    Parameters
    ----------
    record : MemberRecord
        Its `store_report_at_s` has no meaning before `dated` set it.
    heard_age_s : float
        How long ago the sender knew the record to be current.
    store_report_age_s : float
    """

    record: MemberRecord
    heard_age_s: float
    store_report_age_s: float

    def dated(self, sent_after_s: float) -> tuple[MemberRecord, float]:
        """Convert the ages to the receiver's clock.

        Parameters
        ----------
        sent_after_s : float
            Time on the receiver's clock before which the message was not sent.

        Returns
        -------
        record : MemberRecord
        heard_at_s : float
            The host made this statement or a newer one at this time or later.
        """
        report_at_s = sent_after_s - max(0.0, self.store_report_age_s)
        record = replace(self.record, store_report_at_s=report_at_s)
        return record, sent_after_s - max(0.0, self.heard_age_s)
