"""Reducer that applies events to an immutable state and returns effects as data."""

from __future__ import annotations

from cardamomquay.reducer._reducer import CoreState
from cardamomquay.reducer._reducer import Effect
from cardamomquay.reducer._reducer import Event
from cardamomquay.reducer._reducer import Identity
from cardamomquay.reducer._reducer import RootReducer
from cardamomquay.reducer._reducer import SliceReducer
from cardamomquay.reducer._reducer import Tick

__all__ = [
    "CoreState",
    "Effect",
    "Event",
    "Identity",
    "SliceReducer",
    "RootReducer",
    "Tick",
]
