"""One reducer over all events, composed of parts."""

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
    """What a host knows about itself from its settings.

    Parameters
    ----------
    host : str
        Name of the host.
    incarnation : str
        Unique to one run of the daemon.
    region, availability_zone : str
    store_region : str
        Region of the platform's table service.
    address : str
        ``ip:port`` for callers.
    peer_address : str
        ``ip:port`` for other daemons.
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
    """Something that happened, at `now_s` on the host's clock."""

    now_s: float


@dataclass(frozen=True, slots=True)
class Tick(Event):
    """The passing of time; parts start what is due."""


@dataclass(frozen=True, slots=True)
class Effect:
    """Something that the shell has to do."""


@dataclass(frozen=True, slots=True)
class CoreState:
    """State of all parts; immutable.

    Parameters
    ----------
    identity : Identity
    parts : immutables.Map
        State of each part, by the type of the state.
    """

    identity: Identity
    parts: immutables.Map[type, Any]

    def part(self, state_type: type[S]) -> S:
        """Return the state of one part.

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
    """Decisions about one kind of state.

    Attributes
    ----------
    state_type : type
        Type of the state, unique among the parts of a reducer.
    """

    state_type: type[S]

    @abstractmethod
    def initial(self, identity: Identity) -> S:
        """Return the state of a host that has just started."""

    @abstractmethod
    def reduce(
        self, own: S, event: Event, core: CoreState
    ) -> tuple[S, tuple[Effect, ...]]:
        """Apply an event.

        Parameters
        ----------
        own : object
            State of this part.
        event : Event
        core : CoreState
            All states, with those of earlier parts after the same event.

        Returns
        -------
        state : object
        effects : tuple of Effect
        """


class Reducer:
    """Applies events to the parts in a fixed order.

    Parameters
    ----------
    parts : sequence of Part
        A part sees the new states of the parts before it.
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
        """Apply one event to every part.

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
            own = core.parts[part.state_type]
            new, wanted = part.reduce(own, event, core)
            effects.extend(wanted)
            if new is not own:
                core = replace(core, parts=core.parts.set(part.state_type, new))
        return core, tuple(effects)
