"""Runs a task periodically in a thread of its own."""

from __future__ import annotations

import threading
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from cardamomquay_daemon._telemetry import Telemetry

STOP_TIMEOUT_S = 2.0


@contextmanager
def run_periodically(
    name: str, interval_s: float, task: Callable[[], object], telemetry: Telemetry
) -> Iterator[None]:
    """Repeat `task` in a thread for the duration of a ``with`` block.

    Parameters
    ----------
    name : str
        Name of the thread, also logged with an exception.
    interval_s : float
        Pause before each run, in seconds.
    task : callable
        An exception is logged and does not stop later runs.
    telemetry : Telemetry
    """
    stopping = threading.Event()

    def loop() -> None:
        while not stopping.wait(interval_s):
            try:
                task()
            except Exception as exc:
                telemetry.record_effect_failure(name, exc)

    thread = threading.Thread(target=loop, name=name, daemon=True)
    thread.start()
    try:
        yield
    finally:
        stopping.set()
        thread.join(timeout=STOP_TIMEOUT_S)
