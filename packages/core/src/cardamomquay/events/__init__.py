"""The type of numbered log events."""

from __future__ import annotations

from cardamomquay.events._events import LogEvent

__all__ = ["LogEvent"]
