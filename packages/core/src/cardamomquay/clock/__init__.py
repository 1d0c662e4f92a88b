"""Monotonic clocks for production and tests."""

from __future__ import annotations

from cardamomquay.clock._clock import Clock
from cardamomquay.clock._clock import ManualClock
from cardamomquay.clock._clock import SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock"]
