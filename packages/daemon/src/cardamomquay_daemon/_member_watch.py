"""Logs and counts changes of hosts' states."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomquay.membership import MembershipState
from cardamomquay.membership import MemberState
from cardamomquay_daemon._telemetry import MEMBER_STATE

if TYPE_CHECKING:
    from cardamomquay.clock import Clock
    from cardamomquay_daemon._runtime import Snapshot
    from cardamomquay_daemon._telemetry import Telemetry

CHECK_INTERVAL_S = 0.1


class MemberWatch:
    """Compares the states of hosts in snapshots, at most every 0.1 s.

    A host that is not in a snapshot is treated as dead. Called on the reducer's thread
    only.

    Parameters
    ----------
    clock : Clock
    telemetry : Telemetry
    """

    def __init__(self, clock: Clock, telemetry: Telemetry) -> None:
        self._clock = clock
        self._telemetry = telemetry
        self._states: dict[str, MemberState] = {}
        self._next_check_s = 0.0

    def __call__(self, snapshot: Snapshot) -> None:
        now_s = self._clock.now_s()
        if now_s < self._next_check_s:
            return
        self._next_check_s = now_s + CHECK_INTERVAL_S
        members = snapshot.core.state_of(MembershipState)
        states = {name: members.state_of(name, now_s) for name in members.members}
        for name in self._states.keys() | states.keys():
            before = self._states.get(name, MemberState.DEAD)
            state = states.get(name, MemberState.DEAD)
            if state is before:
                continue
            self._telemetry.count(f"members.{state}")
            self._telemetry.log(
                MEMBER_STATE, member=name, state=str(state), before=str(before)
            )
        self._states = states
