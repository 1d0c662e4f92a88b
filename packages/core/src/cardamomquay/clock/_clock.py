"""Monotonic clocks that include the time for which a host is suspended."""

from __future__ import annotations

import time
from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import threading


class Clock(ABC):
    """Monotonic time in seconds, from an arbitrary origin."""

    @abstractmethod
    def now_s(self) -> float:
        """Return the current time.

        Returns
        -------
        float
            Seconds since an arbitrary origin, including time spent suspended.
        """

    @abstractmethod
    def wait(self, condition: threading.Condition, timeout_s: float) -> bool:
        """Wait on a condition until it is notified or `timeout_s` has passed.

        Parameters
        ----------
        condition : threading.Condition
            Condition whose lock the caller holds.
        timeout_s : float
            Maximum wait in seconds of this clock.

        Returns
        -------
        bool
            False if the timeout passed without a notification.
        """


class SystemClock(Clock):
    """The operating system's boot-time clock, which includes suspended time.

    A lease that expires while its holder is suspended must count as expired when
    the holder resumes. ``CLOCK_MONOTONIC`` stops during suspension.
    """

    def now_s(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wait(self, condition: threading.Condition, timeout_s: float) -> bool:
        return condition.wait(max(0.0, timeout_s))


class ManualClock(Clock):
    """A clock that moves only when a test calls `advance`.

    Parameters
    ----------
    start_s : float, default=0.0
        Initial time in seconds.
    """

    def __init__(self, start_s: float = 0.0) -> None:
        self._now_s = start_s
        self._waiters: set[threading.Condition] = set()

    def now_s(self) -> float:
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Advance the clock and notify every waiting condition.

        Parameters
        ----------
        seconds : float
            Seconds to add.

        Raises
        ------
        ValueError
            If `seconds` is negative.
        """
        if seconds < 0:
            raise ValueError(f"cannot advance a clock by {seconds} s")
        self._now_s += seconds
        for condition in tuple(self._waiters):
            with condition:
                condition.notify_all()

    def wait(self, condition: threading.Condition, timeout_s: float) -> bool:
        due_s = self._now_s + timeout_s
        self._waiters.add(condition)
        try:
            notified = condition.wait()
        finally:
            self._waiters.discard(condition)
        return notified and self._now_s < due_s
