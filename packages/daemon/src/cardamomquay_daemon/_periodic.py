"""Work that is repeated in a thread of its own."""

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
def repeating(
    name: str, interval_s: float, work: Callable[[], object], telemetry: Telemetry
) -> Iterator[None]:
    """Repeat `work` in a thread for the time of a ``with`` block.

    Parameters
    ----------
    name : str
        Name of the thread.
    interval_s : float
        Pause between two runs, in seconds.
    work : callable
        An exception is logged and does not end the repetition.
    telemetry : Telemetry
    """
    stopping = threading.Event()

    def repeat() -> None:
        while not stopping.wait(interval_s):
            try:
                work()
            except Exception as exc:
                telemetry.effect_failed(name, exc)

    thread = threading.Thread(target=repeat, name=name, daemon=True)
    thread.start()
    try:
        yield
    finally:
        stopping.set()
        thread.join(timeout=STOP_TIMEOUT_S)
