"""The type of numbered log events."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A log event as listed in ``docs/events.md``."""

    number: int
    name: str
    meaning: str
