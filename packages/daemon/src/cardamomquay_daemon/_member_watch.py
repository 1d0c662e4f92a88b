"""Logs and counts changes of the states of hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomquay.membership import MembershipState
from cardamomquay.membership import MemberState
from cardamomquay_daemon._telemetry import MEMBER_STATE

if TYPE_CHECKING:
    from cardamomquay.clock import Clock
    from cardamomquay_daemon._runtime import Snapshot
    from cardamomquay_daemon._telemetry import Telemetry

INTERVAL_S = 0.1


class MemberWatch:
    """Listens to snapshots; called on the reducer's thread only.

    Parameters
    ----------
    clock : Clock
    telemetry : Telemetry
    """

    def __init__(self, clock: Clock, telemetry: Telemetry) -> None:
        self._clock = clock
        self._telemetry = telemetry
        self._states: dict[str, MemberState] = {}
        self._due_s = 0.0

    def __call__(self, snapshot: Snapshot) -> None:
        now_s = self._clock.now_s()
        if now_s < self._due_s:
            return
        self._due_s = now_s + INTERVAL_S
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
