"""Digests of hosts' latest reports, which the gateways of zones forward.

Load pattern: eighty hosts with twenty requests a second each, for dozens of
organisations. Each host reports to its own zone; the gateways exchange digests of
their hosts a few times a second and send them to their zones. A digest holds running
totals, as reports do, so a lost or repeated one does no harm.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cardamomquay.placement import short_id
from cardamomquay_daemon.edge._reports import HostDigest
from cardamomquay_daemon.edge._reports import Report

if TYPE_CHECKING:
    from cardamomquay.fleet import FleetView
    from cardamomquay.fleet import Peer
    from cardamomquay_daemon.edge._reports import RolloutReport

FORWARD_PERIOD_S = 0.15
# Changes are repeated for this long, in two or three rounds, since datagrams are lost.
DIGEST_CHANGE_REPEAT_S = 0.4
# The digest of a host without changes is sent this often, so that it counts as live.
KEEPALIVE_PERIOD_S = 0.8
# All totals of a host are sent this often, for hosts that have missed some.
FULL_DIGEST_PERIOD_S = 16.0


@dataclass
class _ForwardedState:
    """Latest reported state of a host, and when it changed and was sent in a digest.

    Parameters
    ----------
    incarnation, phase, report_clock_ms, config_version, rollouts
        As in `HostDigest`.
    names_hash : int
        As in `HostDigest`; -1 before the first report.
    last_report_s : float
        Time of the latest report, of totals or not; `report_clock_ms` is that of the
        latest report of totals.
    totals : dict of int to tuple of int and float
        Total and time of its latest change, by index of the organisation.
    has_all_totals : bool
        Whether a full list of totals was received.
    changed_s, sent_s, full_sent_s : float
        Times of the latest change, digest, and digest with all totals.
    """

    incarnation: int = 0
    names_hash: int = -1
    phase: int = 0
    report_clock_ms: int = 0
    last_report_s: float = 0.0
    config_version: int = 0
    rollouts: list[RolloutReport] = field(default_factory=list)
    totals: dict[int, tuple[int, float]] = field(default_factory=dict)
    has_all_totals: bool = False
    changed_s: float = float("-inf")
    sent_s: float = float("-inf")
    full_sent_s: float = float("-inf")


class HostDigests:
    """Keeps the state that other hosts have reported, for a gateway to forward.

    Parameters
    ----------
    fleet : FleetView
    """

    def __init__(self, fleet: FleetView) -> None:
        self._fleet = fleet
        self._states: dict[str, _ForwardedState] = {}

    def apply_report(
        self, peer: Peer, report: Report | HostDigest, now_s: float
    ) -> None:
        """Apply what a host has reported, to this host or to another gateway."""
        state = self._states.setdefault(peer.record.name, _ForwardedState())
        # Totals start at 0 with each start of the host, and their indices refer to
        # other organisations when the names have changed.
        is_continuation = (state.incarnation, state.names_hash) == (
            report.incarnation,
            report.names_hash,
        )
        if not is_continuation:
            state.totals.clear()
            state.has_all_totals = False
            state.full_sent_s = float("-inf")
        # Some reports leave the roll-outs out.
        rollouts = report.rollouts or (state.rollouts if is_continuation else [])
        if (state.phase, state.rollouts) != (
            report.phase,
            rollouts,
        ) or not is_continuation:
            state.changed_s = now_s
        state.incarnation, state.names_hash = report.incarnation, report.names_hash
        state.phase, state.rollouts = report.phase, rollouts
        state.last_report_s = peer.last_report_s
        state.config_version = report.config_version
        if report.usage is None:
            return
        state.report_clock_ms = report.report_clock_ms
        state.has_all_totals = state.has_all_totals or report.is_usage_full
        for index, total in zip(report.usage[::2], report.usage[1::2], strict=False):
            before = state.totals.get(index)
            if before is None or before[0] != total:
                state.totals[index] = (total, now_s)
                state.changed_s = now_s

    def take_due(self, *, of_own_zone: bool, now_s: float) -> list[HostDigest]:
        """Return the digests that are due now, and record them as sent.

        Parameters
        ----------
        of_own_zone : bool
            Whether to return digests of the own zone's hosts, or of all others.
        now_s : float

        Returns
        -------
        list of HostDigest
        """
        digests: list[HostDigest] = []
        has_full = False
        for peer in self._fleet.live(now_s):
            state = self._states.get(peer.record.name)
            is_in_own_zone = peer.record.zone == self._fleet.own.zone
            if state is None or is_in_own_zone != of_own_zone:
                continue
            has_changed = now_s - state.changed_s <= DIGEST_CHANGE_REPEAT_S
            if not has_changed and now_s - state.sent_s < KEEPALIVE_PERIOD_S:
                continue
            # At most one full list in a round keeps the datagrams small.
            is_full = (
                state.has_all_totals
                and not has_full
                and now_s - state.full_sent_s >= FULL_DIGEST_PERIOD_S
            )
            if is_full:
                has_full = True
                state.full_sent_s = now_s
            state.sent_s = now_s
            digests.append(_make_digest(peer, state, is_full, now_s))
        return digests


def _make_digest(
    peer: Peer, state: _ForwardedState, is_full: bool, now_s: float
) -> HostDigest:
    usage: list[int] = []
    for index, (total, changed_s) in state.totals.items():
        if is_full or now_s - changed_s <= DIGEST_CHANGE_REPEAT_S:
            usage += (index, total)
    return HostDigest(
        short_id(peer.record.name),
        state.incarnation,
        state.phase,
        state.report_clock_ms,
        max(0, int((now_s - state.last_report_s) * 1000.0)),
        state.config_version,
        state.names_hash,
        is_full,
        usage,
        state.rollouts,
    )
