"""Runs the reducer on one thread, and most handlers of its effects in an executor."""

from __future__ import annotations

import queue
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.config_sync import ConfigEvidence
from cardamomquay.config_sync import ConfigState
from cardamomquay.config_sync import config_evidence
from cardamomquay.config_sync import is_config_current
from cardamomquay.config_sync import refused_keys
from cardamomquay.reducer import CoreState
from cardamomquay.reducer import Effect
from cardamomquay.reducer import Event
from cardamomquay.reducer import Tick

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from cardamomquay.clock import Clock
    from cardamomquay.config import Config
    from cardamomquay.reducer import Identity
    from cardamomquay.reducer import RootReducer
    from cardamomquay_daemon._telemetry import Telemetry

from contextlib import contextmanager

TICK_INTERVAL_S = 0.1
EFFECT_THREADS = 16


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Immutable view of the state, read by the threads that serve requests.

    Parameters
    ----------
    core : CoreState
    config : Config or None
    evidence : ConfigEvidence
    refused_keys : frozenset of str
        Ids of the keys that unsettled edits withdraw. An edit is unsettled while it is
        not known whether it was accepted.
    """

    core: CoreState
    config: Config | None
    evidence: ConfigEvidence
    refused_keys: frozenset[str] = frozenset()

    def is_config_current(self, now_s: float) -> bool:
        """Whether the configuration is proved current at `now_s`.

        Only then may routes that need a key be served.
        """
        return is_config_current(self.evidence, now_s)


def build_snapshot(core: CoreState, now_s: float) -> Snapshot:
    """Return the snapshot for a core state."""
    return Snapshot(
        core,
        core.state_of(ConfigState).config,
        config_evidence(core, now_s),
        refused_keys(core),
    )


class Runtime:
    """Applies events in order and passes their effects to handlers.

    Parameters
    ----------
    reducer : RootReducer
    identity : Identity
    clock : Clock
    telemetry : Telemetry
    queue_size : int
        Maximum number of waiting events; further ones are dropped and counted.
    """

    def __init__(
        self,
        reducer: RootReducer,
        identity: Identity,
        clock: Clock,
        telemetry: Telemetry,
        queue_size: int,
    ) -> None:
        self._reducer = reducer
        self._clock = clock
        self._telemetry = telemetry
        self._events: queue.Queue[Event | None] = queue.Queue(queue_size)
        self._handlers: dict[type[Effect], Callable[[Any], None]] = {}
        self._ordered_handlers: dict[type[Effect], Callable[[Any], None]] = {}
        self._listeners: list[Callable[[Snapshot], None]] = []
        self._executor = ThreadPoolExecutor(EFFECT_THREADS, "effect")
        self._stopping = threading.Event()
        core = reducer.initial(identity)
        self.snapshot = build_snapshot(core, clock.now_s())

    def add_handlers(
        self, handlers: Mapping[type[Effect], Callable[[Any], None]]
    ) -> None:
        """Add handlers of effects, by effect type.

        They run in threads of the executor, in any order, and may post events.
        """
        self._handlers.update(handlers)

    def add_ordered_handlers(
        self, handlers: Mapping[type[Effect], Callable[[Any], None]]
    ) -> None:
        """Add handlers that run in order on the reducer's thread and must not block."""
        self._ordered_handlers.update(handlers)

    def add_listener(self, listener: Callable[[Snapshot], None]) -> None:
        """Call `listener` on the reducer's thread with each new snapshot."""
        self._listeners.append(listener)

    def post(self, event: Event) -> bool:
        """Queue an event.

        Returns
        -------
        bool
            False if the queue was full and the event was dropped.
        """
        try:
            self._events.put_nowait(event)
        except queue.Full:
            self._telemetry.count("events.dropped")
            return False
        return True

    @contextmanager
    def running(self) -> Iterator[None]:
        """Context manager that runs the threads of the reducer and of the ticks."""
        threads = [
            threading.Thread(target=self._reduce_loop, name="reducer", daemon=True),
            threading.Thread(target=self._tick_loop, name="ticks", daemon=True),
        ]
        for thread in threads:
            thread.start()
        try:
            yield
        finally:
            self._stopping.set()
            self._events.put(None)
            for thread in threads:
                thread.join(timeout=2.0)
            self._executor.shutdown(wait=False, cancel_futures=True)

    def _tick_loop(self) -> None:
        while not self._stopping.wait(TICK_INTERVAL_S):
            self.post(Tick(self._clock.now_s()))

    def _reduce_loop(self) -> None:
        while (event := self._events.get()) is not None:
            core, effects = self._reducer.reduce(self.snapshot.core, event)
            if core is not self.snapshot.core or isinstance(event, Tick):
                self.snapshot = build_snapshot(core, event.now_s)
                for listener in self._listeners:
                    listener(self.snapshot)
            for effect in effects:
                self._dispatch(effect)

    def _dispatch(self, effect: Effect) -> None:
        ordered_handler = self._ordered_handlers.get(type(effect))
        if ordered_handler is not None:
            self._run_handler(ordered_handler, effect)
            return
        handler = self._handlers.get(type(effect))
        if handler is None:
            self._telemetry.count("effects.unhandled")
            return
        self._executor.submit(self._run_handler, handler, effect)

    def _run_handler(self, handler: Callable[[Any], None], effect: Effect) -> None:
        try:
            handler(effect)
        except Exception as exc:  # A failing handler must not stop the others.
            self._telemetry.record_effect_failure(type(effect).__name__, exc)
