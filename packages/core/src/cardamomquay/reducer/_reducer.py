"""Reducer that applies events to an immutable state, composed of parts.

The reducer does no input or output. It returns effects, which the daemon carries out;
their outcomes come back as events.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from typing import Generic
from typing import TypeVar
from typing import cast

import immutables

if TYPE_CHECKING:
    from collections.abc import Sequence

S = TypeVar("S")


@dataclass(frozen=True, slots=True)
class Identity:
    """A host's name, location and addresses, from its settings.

    Parameters
    ----------
    host : str
        Name of the host.
    incarnation : str
        Unique to one run of the daemon.
    region, availability_zone : str
    store_region : str
        Region of the platform's table service (the store).
    address : str
        ``ip:port`` that callers connect to.
    peer_address : str
        ``ip:port`` that other hosts' daemons connect to.
    """

    host: str
    incarnation: str
    region: str
    availability_zone: str
    store_region: str
    address: str = ""
    peer_address: str = ""


@dataclass(frozen=True, slots=True)
class Event:
    """Input of the reducer: something that happened at `now_s` on the host's clock."""

    now_s: float


@dataclass(frozen=True, slots=True)
class Tick(Event):
    """Periodic event on which parts start whatever is due."""


@dataclass(frozen=True, slots=True)
class Effect:
    """Output of the reducer: an action that the daemon has to carry out."""


@dataclass(frozen=True, slots=True)
class CoreState:
    """Immutable state of all parts.

    Parameters
    ----------
    identity : Identity
    parts : immutables.Map
        State of each part, by its type.
    """

    identity: Identity
    parts: immutables.Map[type, Any]

    def part(self, state_type: type[S]) -> S:
        """Return the state of the part that has this state type.

        Parameters
        ----------
        state_type : type

        Returns
        -------
        object of that type

        Raises
        ------
        KeyError
            If no part has such a state.
        """
        return cast("S", self.parts[state_type])


class Part(ABC, Generic[S]):
    """Reducer of one part of the state.

    Attributes
    ----------
    state_type : type
        Type of the part's state; no two parts of a reducer share one.
    """

    state_type: type[S]

    @abstractmethod
    def initial(self, identity: Identity) -> S:
        """Return the state of a host that has just started."""

    @abstractmethod
    def reduce(
        self, state: S, event: Event, core: CoreState
    ) -> tuple[S, tuple[Effect, ...]]:
        """Apply an event.

        Parameters
        ----------
        state : object
            State of this part.
        event : Event
        core : CoreState
            States of all parts. Parts earlier in the order have already applied the
            event.

        Returns
        -------
        state : object
        effects : tuple of Effect
        """


class Reducer:
    """Applies each event to all parts in a fixed order.

    Parameters
    ----------
    parts : sequence of Part
        In order: each part sees the updated states of the parts before it.
    """

    def __init__(self, parts: Sequence[Part[Any]]) -> None:
        self._parts = tuple(parts)

    def initial(self, identity: Identity) -> CoreState:
        """Return the state of a host that has just started."""
        states = {part.state_type: part.initial(identity) for part in self._parts}
        return CoreState(identity, immutables.Map(states))

    def reduce(
        self, core: CoreState, event: Event
    ) -> tuple[CoreState, tuple[Effect, ...]]:
        """Apply an event to every part.

        Parameters
        ----------
        core : CoreState
        event : Event

        Returns
        -------
        state : CoreState
            The same object if nothing changed.
        effects : tuple of Effect
        """
        effects: list[Effect] = []
        for part in self._parts:
            state = core.parts[part.state_type]
            new_state, part_effects = part.reduce(state, event, core)
            effects.extend(part_effects)
            if new_state is not state:
                core = replace(core, parts=core.parts.set(part.state_type, new_state))
        return core, tuple(effects)
