"""Messages between hosts, encoded as MessagePack arrays."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Annotated
from typing import Any

import msgspec

from cardamomquay.rollouts import RolloutOutcome
from cardamomquay.rollouts import RolloutSnapshot
from cardamomquay.rollouts import Tally
from cardamomquay.rollouts import VersionTallies
from cardamomquay_daemon.edge._addresses import PORT_MAX
from cardamomquay_daemon.edge._upstream_deltas import UpstreamDelta  # noqa: TC001

# A datagram to another port would close the socket of the reports.
Port = Annotated[int, msgspec.Meta(ge=1, le=PORT_MAX)]


class RolloutReport(msgspec.Struct, array_like=True):
    """A host's state of one roll-out as it is sent; see `RolloutSnapshot`.

    `new` and `old` hold the fields of `Tally` for the two versions: the numbers of
    answers, errors and slow answers.
    """

    service: str
    revision: int
    step: int
    outcome: RolloutOutcome
    new: tuple[int, int, int]
    old: tuple[int, int, int]

    @classmethod
    def from_snapshot(cls, snapshot: RolloutSnapshot) -> RolloutReport:
        """Return a snapshot as it is sent."""
        new, old = snapshot.tallies.new, snapshot.tallies.old
        return cls(
            snapshot.service,
            snapshot.revision,
            snapshot.step,
            snapshot.outcome,
            (new.answers, new.errors, new.slow),
            (old.answers, old.errors, old.slow),
        )

    def to_snapshot(self) -> RolloutSnapshot:
        """Return the snapshot that was sent."""
        tallies = VersionTallies(Tally(*self.new), Tally(*self.old))
        return RolloutSnapshot(
            self.service, self.revision, self.step, self.outcome, tallies
        )


class HostDigest(msgspec.Struct, array_like=True):
    """Summary of another host's latest reports, sent by gateways.

    Parameters without a description are as in `Report`.

    Parameters
    ----------
    host : int
        Short identifier of the host's name.
    incarnation : int
    phase : int
    report_clock_ms : int
        The host's clock in its latest report of totals, in milliseconds.
    report_age_ms : int
        Time since its latest report, of totals or not, arrived, in milliseconds.
    config_version : int
    names_hash : int
    is_usage_full : bool
        Whether `usage` lists all organisations, not only those that changed.
    usage : list of int
    rollouts : list of RolloutReport
    """

    host: int
    incarnation: int
    phase: int
    report_clock_ms: int
    report_age_ms: int
    config_version: int
    names_hash: int
    is_usage_full: bool
    usage: list[int]
    rollouts: list[RolloutReport] = []


class LargeFleetReport(msgspec.Struct, array_like=True):
    """Part of a report that only hosts of a large fleet send.

    Parameters
    ----------
    latest_order_revision : int
        Revision that includes the operator's latest order known to the host.
    orders_age_ms : int
        Age of the evidence that there was no later order, in milliseconds.
    is_usage_full : bool
        Whether the report's usage lists all organisations, not only those that changed.
    upstreams : UpstreamDelta or None
        From a host that reads the store for its availability zone.
    digests : list of HostDigest
        From the gateway of a zone.
    """

    latest_order_revision: int
    orders_age_ms: int
    is_usage_full: bool
    upstreams: UpstreamDelta | None
    digests: list[HostDigest] = []


class Report(msgspec.Struct, array_like=True):
    """State that one host sends another.

    Parameters
    ----------
    incarnation : int
        Differs between starts of the same host.
    phase : int
        Value of the sender's `HostPhase`.
    report_clock_ms : int
        Sender's clock in milliseconds.
    echoed_clock_ms : int
        Latest `report_clock_ms` received from the other host; 0 without one.
    config_version : int
    names_hash : int
        Hash below 128 of the organisations' names, to which the indices in `usage`
        refer.
    evidence_age_ms : int
        Age of the evidence that no newer configuration had been accepted; -1 if the
        sender has none.
    sender : tuple or None
        Name, address for callers, port for reports, zone and region of the sender,
        until the other host has sent a report back.
    usage : list of int or None
        Alternating index of an organisation, in the order of their names, and its
        running total of requests. Organisations left out have no requests, or no recent
        ones. None if the report has no totals.
    rollouts : list of RolloutReport
    now_warm, warming : list of int
        Changes of warm objects; see `WarmObjectReports.take`.
    large : LargeFleetReport or None
    rate_limits : list of int
        Rate limits that upstreams named, in groups of three: short identifier of the
        upstream, limit in requests in 1,000 seconds or -1 if it names none any more,
        and age of the answer in milliseconds.
    crashes : list of int
        Crashes of upstreams and answers that clear requests, to and from hosts of an
        earlier version without `observations`, in groups of three: fingerprint of the
        request, short identifier of the upstream that ended or -1 for an answer, and
        age in milliseconds.
    leaving : list of int
        Lives of upstreams that said in an answer that they are about to stop; see
        `cardamomquay.fleet_limits.life_id`.
    echo_held_ms : int
        Time from the arrival of the report with `echoed_clock_ms` until this report, in
        milliseconds.
    observations : list of int or None
        As returned by `cardamomquay.gossip.encode_observations`; None from hosts of an
        earlier version. Not checked here, so that a wrong entry does not make the whole
        report malformed.
    """

    incarnation: int
    phase: int
    report_clock_ms: int
    echoed_clock_ms: int
    config_version: int
    names_hash: int
    evidence_age_ms: int
    sender: tuple[str, str, Port, str, str] | None = None
    usage: list[int] | None = None
    rollouts: list[RolloutReport] = []
    now_warm: list[int] = []
    warming: list[int] = []
    large: LargeFleetReport | None = None
    rate_limits: list[int] = []
    crashes: list[int] = []
    leaving: list[int] = []
    echo_held_ms: int = 0
    observations: Any = None

    @property
    def is_usage_full(self) -> bool:
        """Whether `usage` lists all organisations, not only those that changed."""
        return self.large is None or self.large.is_usage_full


class ScarcityReport(Report, array_like=True):
    """Report of a host while services are scarce in some region.

    Other reports are sent without the further field, so that they have no more bytes.
    Hosts of an earlier version ignore it.

    Parameters
    ----------
    regional : list or None
        Summaries as in `cardamomquay_daemon.edge._regional_reports`. Not checked here,
        so that a wrong one does not make the whole report malformed.
    """

    regional: Any = None


class UsageDatagram(ScarcityReport, array_like=True):
    """A report that contains only a message about usage.

    Hosts of an earlier version read it as a report that is older than the latest one,
    and ignore it.

    Parameters
    ----------
    usage_message : UsageMessage or None
        Checked by `UsageReports`; None in other reports.
    """

    usage_message: Any = None


@dataclass(frozen=True, slots=True)
class ReportContent:
    """Content from which the reports to several hosts are made.

    Parameters
    ----------
    usage, usage_delta : list of int or None
        Totals of all organisations, and of those whose total changed recently; in a
        small fleet both list all. Each report contains one of the two.
    rollouts : list of RolloutReport
    now_warm, warming : list of int
    upstreams : UpstreamDelta or None
        Left out of reports to other zones.
    digests : list of HostDigest
    is_for_new_host : bool
        Whether the receiver has just started and lacks earlier observations.
    """

    usage: list[int] | None = None
    usage_delta: list[int] | None = None
    rollouts: list[RolloutReport] = field(default_factory=list)
    now_warm: list[int] = field(default_factory=list)
    warming: list[int] = field(default_factory=list)
    upstreams: UpstreamDelta | None = None
    digests: list[HostDigest] = field(default_factory=list)
    is_for_new_host: bool = False
