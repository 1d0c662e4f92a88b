"""Records in which hosts describe themselves to each other."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import StrEnum

import immutables


class MemberState(StrEnum):
    """State of a host as seen by another host."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class StoreReport(StrEnum):
    """Result of a host's last read of the store (the platform's table service)."""

    NONE = "none"
    READ = "read"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A host's description of itself.

    Parameters
    ----------
    host, incarnation : str
    sequence : int
        Grows with each new record of an incarnation; see `SEQUENCE_UNITS_PER_S`.
    region, availability_zone : str
    address, peer_address : str
        ``ip:port`` for callers and for other hosts' daemons.
    leaving : bool
        Whether a planned stop of the host has begun.
    config_version : int
        Version of the configuration in force on the host.
    store_report : StoreReport
    store_report_at_s : float
        Start of the read that gave the report, on the clock of the host that keeps this
        record: peers send it as an age, which the receiver converts.
    load : float
        Share of the host's request threads that are busy, 0 to 1.
    extra : immutables.Map
        State that other parts of the daemon share with its peers, as JSON by name.
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
class KnownRecord:
    """Identifies the newest record of a host that the sender has."""

    host: str
    incarnation: str
    sequence: int


@dataclass(frozen=True, slots=True)
class SentRecord:
    """A record as sent to a peer, with ages at the time of sending in place of times.

    Parameters
    ----------
    record : MemberRecord
        Its `store_report_at_s` is meaningless until `to_receiver_clock` sets it. Fields
        that do not change during an incarnation are empty if the receiver has them.
    heard_age_s : float
        Age of the sender's `Member.sent_after_s` for the host, 0 for its own record.
    store_report_age_s : float
        How long ago the read began that gave the store report.
    """

    record: MemberRecord
    heard_age_s: float
    store_report_age_s: float

    def without_static_fields(self) -> SentRecord:
        """Return a copy without the fields that do not change during an incarnation."""
        record = replace(
            self.record, region="", availability_zone="", address="", peer_address=""
        )
        return replace(self, record=record)

    def to_receiver_clock(
        self, message_sent_after_s: float
    ) -> tuple[MemberRecord, float]:
        """Convert the ages to times on the receiver's clock.

        Parameters
        ----------
        message_sent_after_s : float
            On the receiver's clock: the message was sent at this time or later.

        Returns
        -------
        record : MemberRecord
        record_sent_after_s : float
            See `Member`: the host sent this record at this time or later.
        """
        report_at_s = message_sent_after_s - max(0.0, self.store_report_age_s)
        record = replace(self.record, store_report_at_s=report_at_s)
        return record, message_sent_after_s - max(0.0, self.heard_age_s)
