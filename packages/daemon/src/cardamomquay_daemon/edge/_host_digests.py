"""What the gateway of a zone passes on: a digest of each host's latest reports.

Load pattern: eighty hosts with twenty requests a second each, for dozens of
organisations. Each host reports to its own zone; the gateways exchange digests of
their hosts a few times a second and tell them to their zones. A digest holds running
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

# Pause between two rounds in which a gateway passes digests on.
GATEWAY_PERIOD_S = 0.15
# Changes are passed on for this long, in two rounds or three, since datagrams are lost.
REPEAT_S = 0.4
# A host without changes is passed on this often, so that it counts as alive.
ALIVE_PERIOD_S = 0.8
# All totals of a host are passed on this often, for hosts that have missed some.
WHOLE_PERIOD_S = 16.0


@dataclass
class _Passed:
    """What is passed on of one host."""

    incarnation: int = 0
    names_digest: int = -1
    phase: int = 0
    report_clock_ms: int = 0
    last_report_s: float = 0.0
    config_version: int = 0
    rollouts: list[RolloutReport] = field(default_factory=list)
    totals: dict[int, tuple[int, float]] = field(default_factory=dict)
    knows_all: bool = False
    changed_s: float = float("-inf")
    told_s: float = float("-inf")
    whole_s: float = float("-inf")


class HostDigests:
    """Keeps what other hosts have told, to be passed on by a gateway.

    Parameters
    ----------
    fleet : FleetView
    """

    def __init__(self, fleet: FleetView) -> None:
        self._fleet = fleet
        self._passed: dict[str, _Passed] = {}

    def note(self, peer: Peer, told: Report | HostDigest, now_s: float) -> None:
        """Take over what a host has reported, here or to another gateway."""
        passed = self._passed.setdefault(peer.record.name, _Passed())
        is_same = (passed.incarnation, passed.names_digest) == (
            told.incarnation,
            told.names_digest,
        )
        if not is_same:
            passed.totals.clear()
            passed.knows_all = False
            passed.whole_s = float("-inf")
        rollouts = told.rollouts or (passed.rollouts if is_same else [])
        if (passed.phase, passed.rollouts) != (told.phase, rollouts) or not is_same:
            passed.changed_s = now_s
        passed.incarnation, passed.names_digest = told.incarnation, told.names_digest
        passed.phase, passed.rollouts = told.phase, rollouts
        passed.last_report_s = peer.last_report_s
        passed.config_version = told.config_version
        if told.usage is None:
            return
        passed.report_clock_ms = told.report_clock_ms
        passed.knows_all = passed.knows_all or told.is_usage_whole
        for index, total in zip(told.usage[::2], told.usage[1::2], strict=False):
            before = passed.totals.get(index)
            if before is None or before[0] != total:
                passed.totals[index] = (total, now_s)
                passed.changed_s = now_s

    def take(self, *, of_own_zone: bool, now_s: float) -> list[HostDigest]:
        """Return what is due of the hosts of the own zone, or of all others.

        Parameters
        ----------
        of_own_zone : bool
        now_s : float

        Returns
        -------
        list of HostDigest
        """
        digests: list[HostDigest] = []
        has_whole = False
        for peer in self._fleet.live(now_s):
            passed = self._passed.get(peer.record.name)
            is_own = peer.record.zone == self._fleet.own.zone
            if passed is None or is_own != of_own_zone:
                continue
            has_changed = now_s - passed.changed_s <= REPEAT_S
            if not has_changed and now_s - passed.told_s < ALIVE_PERIOD_S:
                continue
            # One whole list a round keeps the datagrams small.
            is_whole = (
                passed.knows_all
                and not has_whole
                and now_s - passed.whole_s >= WHOLE_PERIOD_S
            )
            if is_whole:
                has_whole = True
                passed.whole_s = now_s
            passed.told_s = now_s
            digests.append(_digest(peer, passed, is_whole, now_s))
        return digests


def _digest(peer: Peer, passed: _Passed, is_whole: bool, now_s: float) -> HostDigest:
    usage: list[int] = []
    for index, (total, at_s) in passed.totals.items():
        if is_whole or now_s - at_s <= REPEAT_S:
            usage += (index, total)
    return HostDigest(
        short_id(peer.record.name),
        passed.incarnation,
        passed.phase,
        passed.report_clock_ms,
        max(0, int((now_s - passed.last_report_s) * 1000.0)),
        passed.config_version,
        passed.names_digest,
        is_whole,
        usage,
        passed.rollouts,
    )
