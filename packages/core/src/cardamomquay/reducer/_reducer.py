"""Reducer that applies events to an immutable state, composed of slice reducers.

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
        Unique to one run of the daemon. Sorts after those of earlier runs, unless the
        wall clock was behind when this run started.
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
    """Periodic event on which reducers start whatever is due."""


@dataclass(frozen=True, slots=True)
class Effect:
    """Output of the reducer: an action that the daemon has to carry out."""


@dataclass(frozen=True, slots=True)
class CoreState:
    """Immutable state of all slice reducers.

    Parameters
    ----------
    identity : Identity
    states : immutables.Map
        State of each slice reducer, by its type.
    """

    identity: Identity
    states: immutables.Map[type, Any]

    def state_of(self, state_type: type[S]) -> S:
        """Return the state of the slice reducer that has this state type.

        Parameters
        ----------
        state_type : type

        Returns
        -------
        object of that type

        Raises
        ------
        KeyError
            If no slice reducer has such a state.
        """
        return cast("S", self.states[state_type])


class SliceReducer(ABC, Generic[S]):
    """Reducer of one slice of the state.

    Attributes
    ----------
    state_type : type
        Type of the slice; no two slice reducers of a root reducer share one.
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
            State of this slice reducer.
        event : Event
        core : CoreState
            States of all slice reducers. Those earlier in the order have already
            applied the event.

        Returns
        -------
        state : object
        effects : tuple of Effect
        """


class RootReducer:
    """Applies each event to all slice reducers in a fixed order.

    Parameters
    ----------
    slice_reducers : sequence of SliceReducer
        In order: each one sees the updated states of those before it.
    """

    def __init__(self, slice_reducers: Sequence[SliceReducer[Any]]) -> None:
        self._slice_reducers = tuple(slice_reducers)

    def initial(self, identity: Identity) -> CoreState:
        """Return the state of a host that has just started."""
        states = {
            reducer.state_type: reducer.initial(identity)
            for reducer in self._slice_reducers
        }
        return CoreState(identity, immutables.Map(states))

    def reduce(
        self, core: CoreState, event: Event
    ) -> tuple[CoreState, tuple[Effect, ...]]:
        """Apply an event with every slice reducer.

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
        for reducer in self._slice_reducers:
            state = core.states[reducer.state_type]
            new_state, slice_effects = reducer.reduce(state, event, core)
            effects.extend(slice_effects)
            if new_state is not state:
                core = replace(
                    core, states=core.states.set(reducer.state_type, new_state)
                )
        return core, tuple(effects)
