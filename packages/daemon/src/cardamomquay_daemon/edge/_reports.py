"""Messages between hosts, encoded as MessagePack arrays."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

import msgspec

from cardamomquay.rollouts import RolloutOutcome
from cardamomquay.rollouts import RolloutSnapshot
from cardamomquay.rollouts import Tally
from cardamomquay.rollouts import VersionTallies
from cardamomquay_daemon.edge._upstream_news import UpstreamNews  # noqa: TC001


class RolloutReport(msgspec.Struct, array_like=True):
    """What a host tells of one roll-out; see `RolloutSnapshot`."""

    service: str
    revision: int
    step: int
    outcome: RolloutOutcome
    new: tuple[int, int, int]
    old: tuple[int, int, int]

    @classmethod
    def from_view(cls, view: RolloutSnapshot) -> RolloutReport:
        """Return a view as it is sent."""
        new, old = view.tallies.new, view.tallies.old
        return cls(
            view.service,
            view.revision,
            view.step,
            view.outcome,
            (new.answers, new.errors, new.slow),
            (old.answers, old.errors, old.slow),
        )

    def to_view(self) -> RolloutSnapshot:
        """Return the view that was sent."""
        tallies = VersionTallies(Tally(*self.new), Tally(*self.old))
        return RolloutSnapshot(
            self.service, self.revision, self.step, self.outcome, tallies
        )


class HostDigest(msgspec.Struct, array_like=True):
    """What a gateway passes on of another host's reports.

    Parameters
    ----------
    host : int
        Short identifier of the host's name.
    incarnation : int
    phase : int
    report_clock_ms : int
        The host's clock at its latest report, in milliseconds.
    age_ms : int
        Time since that report arrived, in milliseconds.
    config_version : int
    names_digest : int
    is_usage_whole : bool
        Whether `usage` lists all organisations, not only the latest.
    usage : list of int
    rollouts : list of RolloutReport
    """

    host: int
    incarnation: int
    phase: int
    report_clock_ms: int
    age_ms: int
    config_version: int
    names_digest: int
    is_usage_whole: bool
    usage: list[int]
    rollouts: list[RolloutReport] = []


class LargeFleetReport(msgspec.Struct, array_like=True):
    """What only hosts of a large fleet tell: what they know of the store.

    Parameters
    ----------
    orders_changed : int
        Revision that includes the operator's latest order known to the host.
    orders_ms : int
        Age of the proof that there was no later one, in milliseconds.
    is_usage_whole : bool
        Whether the report's usage lists all organisations, not only the latest.
    upstreams : UpstreamNews or None
        From a host that reads the store for its availability zone.
    digests : list of HostDigest
        From the gateway of a zone.
    """

    orders_changed: int
    orders_ms: int
    is_usage_whole: bool
    upstreams: UpstreamNews | None
    digests: list[HostDigest] = []


class Report(msgspec.Struct, array_like=True):
    """What one host tells another.

    Parameters
    ----------
    incarnation : int
        Differs between starts of the same host.
    phase : int
    report_clock_ms : int
        Sender's clock in milliseconds.
    echo : int
        Latest `report_clock_ms` received from the other host; 0 without one.
    config_version : int
    names_digest : int
        Digest below 128 of the organisations' names, by which `usage` is told.
    evidence_ms : int
        Age of the proof that no newer version had been accepted; -1 without one.
    record : tuple or None
        Name and place of the sender, until the other host has answered.
    usage : list of int or None
        Index and running total of requests, in turn, of organisations in the order of
        their names. Those left out have none, or none lately. None where the report
        does not tell.
    rollouts : list of RolloutReport
    handled, warming : list of int
        News of warm objects; see `WarmthNews`.
    large : LargeFleetReport or None
    """

    incarnation: int
    phase: int
    report_clock_ms: int
    echo: int
    config_version: int
    names_digest: int
    evidence_ms: int
    record: tuple[str, str, int, str, str] | None = None
    usage: list[int] | None = None
    rollouts: list[RolloutReport] = []
    handled: list[int] = []
    warming: list[int] = []
    large: LargeFleetReport | None = None

    @property
    def is_usage_whole(self) -> bool:
        """Whether `usage` lists all organisations, not only the latest."""
        return self.large is None or self.large.is_usage_whole


@dataclass(frozen=True, slots=True)
class News:
    """The parts of a report that are the same for all hosts.

    Parameters
    ----------
    usage, latest_usage : list of int or None
        Of all organisations, and of those whose total changed lately.
    rollouts : list of RolloutReport
    handled, warming : list of int
    upstreams : UpstreamNews or None
    digests : list of HostDigest
    """

    usage: list[int] | None = None
    latest_usage: list[int] | None = None
    rollouts: list[RolloutReport] = field(default_factory=list)
    handled: list[int] = field(default_factory=list)
    warming: list[int] = field(default_factory=list)
    upstreams: UpstreamNews | None = None
    digests: list[HostDigest] = field(default_factory=list)
